//! The backpressure in upstreams' responses, and how hosts broadcast it.

use super::super::id;
use super::{
    DIGEST_INTERVAL_MS, Event, Fault, LATENCY_MS, LimitReason, REBROADCAST_MS, Simulation,
};
use dispatch::backpressure::{Backpressure, BackpressureUpdate};
use dispatch::scheduler::Outcome;
use domain::{Millis, PerSecond, UpstreamId};
use published::RunStart;
use rand::RngExt;

impl Simulation {
    /// The backpressure that an upstream states in its responses now.
    pub(super) fn backpressure_of(&self, upstream: &UpstreamId) -> Backpressure {
        let mut stated = Backpressure::default();
        match self.scenario.limit_reason {
            LimitReason::Cold => {}
            LimitReason::Limited { from_ms, until_ms } => {
                let is_limited = (from_ms..until_ms).contains(&self.now_ms);
                stated.rate_limit = is_limited.then_some(PerSecond(self.scenario.rate));
            }
            LimitReason::Leaving { from_ms } => {
                stated.is_leaving = self.now_ms >= from_ms && self.is_every_third(upstream);
            }
            LimitReason::Refusing { backoff_ms, .. } => {
                stated.backoff_ms = self.is_refusing(upstream).then_some(Millis(backoff_ms));
            }
        }
        stated
    }

    pub(super) fn is_every_third(&self, upstream: &UpstreamId) -> bool {
        let mut sequence = (0..self.scenario.upstreams).step_by(3);
        sequence.any(|number| id(&format!("i-{number}")) == *upstream)
    }

    pub(super) fn is_refusing(&self, upstream: &UpstreamId) -> bool {
        match self.scenario.limit_reason {
            LimitReason::Refusing { from_ms, .. } => {
                self.now_ms >= from_ms && self.is_every_third(upstream)
            }
            LimitReason::Cold | LimitReason::Limited { .. } | LimitReason::Leaving { .. } => false,
        }
    }

    /// A host handles a response, and broadcasts what it changed.
    pub(super) fn handle_response(&mut self, host: usize, upstream: &UpstreamId, outcome: Outcome) {
        let (now_ms, at) = (Millis(self.now_ms), (upstream, RunStart::default()));
        if outcome.backpressure != Backpressure::default() {
            let received = self.received.entry(upstream.clone()).or_default();
            received.stated_ms.entry(host).or_insert(self.now_ms);
        }
        let upstreams = &mut self.hosts[host].upstreams;
        upstreams.record_backpressure(now_ms, at, outcome.response_kind(), outcome.backpressure);
        let updates = upstreams.backpressure_mut().take_pending(now_ms);
        if !updates.is_empty() {
            self.broadcast(host, &updates);
            for after_ms in REBROADCAST_MS {
                let (age_ms, updates) = (Millis(after_ms), updates.clone());
                self.schedule(after_ms, Event::Rebroadcast { host, updates, age_ms });
            }
        }
    }

    pub(super) fn broadcast(&mut self, host: usize, updates: &[BackpressureUpdate]) {
        for to in (0..self.hosts.len()).filter(|&to| to != host) {
            self.send(host, to, || Event::Updates { to, updates: updates.to_vec() });
        }
    }

    /// Each host sends one peer its digest, and the updates that the peer then requests.
    pub(super) fn exchange_digests(&mut self) {
        if !self.now_ms.is_multiple_of(DIGEST_INTERVAL_MS) {
            return;
        }
        for host in 0..self.hosts.len() {
            let to = self.rng.random_range(0..self.hosts.len());
            let digest = |at: usize| self.hosts[at].upstreams.backpressure().digest();
            let arrives = self.scenario.fault != Fault::Lossy || self.rng.random_bool(0.5);
            if self.is_up(host) && arrives && digest(host) != digest(to) {
                let updates = self.hosts[host].upstreams.backpressure().export(Millis(self.now_ms));
                if self.can_reach(host, to) {
                    self.schedule(3 * LATENCY_MS, Event::Updates { to, updates });
                }
            }
        }
    }
}
