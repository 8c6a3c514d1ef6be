//! What upstreams say in their answers, and how hosts tell each other.

use super::super::id;
use super::{Event, Harm, OFFER_EACH_MS, Play, Reason, TELL_AGAIN_MS, WAY_MS};
use dispatch::backpressure::{Backpressure, BackpressureUpdate};
use dispatch::scheduler::Outcome;
use domain::{Millis, PerSecond, UpstreamId};
use published::RunStart;
use rand::RngExt;

impl Play {
    /// What an upstream says in its answers now.
    pub(super) fn said(&self, upstream: &UpstreamId) -> Backpressure {
        let mut said = Backpressure::default();
        match self.site.reason {
            Reason::Cold => {}
            Reason::Limited { from_ms, until_ms } => {
                let is_limited = (from_ms..until_ms).contains(&self.now_ms);
                said.rate_limit = is_limited.then_some(PerSecond(self.site.rate));
            }
            Reason::Leaving { from_ms } => {
                said.is_leaving = self.now_ms >= from_ms && self.is_third(upstream);
            }
            Reason::Refusing { backoff_ms, .. } => {
                said.backoff_ms = self.refuses(upstream).then_some(Millis(backoff_ms));
            }
        }
        said
    }

    pub(super) fn is_third(&self, upstream: &UpstreamId) -> bool {
        let mut numbered = (0..self.site.upstreams).step_by(3);
        numbered.any(|number| id(&format!("i-{number}")) == *upstream)
    }

    pub(super) fn refuses(&self, upstream: &UpstreamId) -> bool {
        match self.site.reason {
            Reason::Refusing { from_ms, .. } => self.now_ms >= from_ms && self.is_third(upstream),
            Reason::Cold | Reason::Limited { .. } | Reason::Leaving { .. } => false,
        }
    }

    /// A host hears an answer, and tells the others if it is news.
    pub(super) fn note_said(&mut self, host: usize, upstream: &UpstreamId, outcome: Outcome) {
        let (now_ms, at) = (Millis(self.now_ms), (upstream, RunStart::default()));
        if outcome.backpressure != Backpressure::default() {
            let reached = self.reached.entry(upstream.clone()).or_default();
            reached.told.entry(host).or_insert(self.now_ms);
        }
        let upstreams = &mut self.hosts[host].upstreams;
        upstreams.record_backpressure(now_ms, at, outcome.response_kind(), outcome.backpressure);
        let told = upstreams.backpressure_mut().take_pending(now_ms);
        if !told.is_empty() {
            self.tell_all(host, &told);
            for after_ms in TELL_AGAIN_MS {
                let (age_ms, told) = (Millis(after_ms), told.clone());
                self.push(after_ms, Event::TellAgain { host, told, age_ms });
            }
        }
    }

    pub(super) fn tell_all(&mut self, host: usize, told: &[BackpressureUpdate]) {
        for to in (0..self.hosts.len()).filter(|&to| to != host) {
            self.carry(host, to, || Event::Told { to, told: told.to_vec() });
        }
    }

    /// Each host offers one peer what that may have missed, and tells it if it asks.
    pub(super) fn offer(&mut self) {
        if !self.now_ms.is_multiple_of(OFFER_EACH_MS) {
            return;
        }
        for host in 0..self.hosts.len() {
            let to = self.rng.random_range(0..self.hosts.len());
            let digest = |at: usize| self.hosts[at].upstreams.backpressure().digest();
            let arrives = self.site.harm != Harm::Lossy || self.rng.random_bool(0.5);
            if self.is_up(host) && arrives && digest(host) != digest(to) {
                let told = self.hosts[host].upstreams.backpressure().export(Millis(self.now_ms));
                if self.reaches(host, to) {
                    self.push(3 * WAY_MS, Event::Told { to, told });
                }
            }
        }
    }
}
