//! Backpressure: what upstreams state in their responses about their load, and about leaving.
//!
//! An upstream that refuses a request may ask the host that sent it to back off for a while; that
//! concerns this host only. An overloaded upstream limits the requests a second that it accepts
//! from all hosts together. A leaving one wants no new request from any host for the rest of its
//! process run. The last two concern the fleet, but only one host receives the response, so hosts
//! broadcast them ([`message`]). What the upstream stated last applies, and nothing that one
//! process run stated applies to the next. [`crate::fleet_rate`] divides a limited rate among the
//! hosts.

mod message;
mod rate_limit;
mod run;

pub use message::{BackpressureMessage, BackpressureUpdate};
pub use rate_limit::LimitChange;

use crate::fleet_rate::FleetRate;
use domain::{FastMap, Millis, PerSecond, SignedTime, UpstreamId};
use published::RunStart;
use run::{Leaving, RunBackpressure};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;

/// How long the backpressure of an unpublished upstream is kept: its entry may expire while the
/// source is unreachable, and return.
const RETENTION_MS: Millis = Millis(60_000);

/// Upstreams in one message: 30 bytes each, to fit in one datagram.
const MAX_UPDATES: usize = 128;

/// Longest backoff that an upstream can ask for. One that asks for a year receives a request of
/// each host every minute.
pub const LONGEST_BACKOFF_MS: Millis = Millis(60_000);

/// The backpressure in one response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Backpressure {
    /// Requests a second that the upstream accepts from all hosts together; none if it is
    /// unlimited.
    pub rate_limit: Option<PerSecond>,
    /// Time for which the receiving host is to back off.
    pub backoff_ms: Option<Millis>,
    /// It is leaving: no host is to send new requests.
    pub is_leaving: bool,
}

/// What kind of response it was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// To a request that it served. Only here does an absent header mean that a limit is over.
    Served,
    /// To a request that it refused, or that failed.
    Failed,
    /// To a health check.
    HealthCheck,
}

/// A change in what an upstream states.
#[derive(Debug, Clone, PartialEq)]
pub struct BackpressureChange {
    /// Which upstream.
    pub upstream: UpstreamId,
    /// The change of its rate limit.
    pub limit: Option<LimitChange>,
    /// For how long this host backs off, if it has just begun to.
    pub backoff_ms: Option<Millis>,
    /// It announced for the first time that it is leaving.
    pub is_leaving: bool,
}

/// Backpressure of all upstreams that stated any.
#[derive(Debug, Default)]
pub struct BackpressureSet {
    /// What the latest known process run of each upstream stated.
    latest_runs: FastMap<UpstreamId, RunBackpressure>,
}

impl BackpressureSet {
    /// Records the backpressure in a response of an upstream's process run to this host, which had
    /// sent it `sent_before` requests in the second before; returns what changed.
    pub fn record(
        &mut self,
        now_ms: Millis,
        at: (&UpstreamId, RunStart),
        kind: ResponseKind,
        stated: Backpressure,
        sent_before: f64,
    ) -> Option<BackpressureChange> {
        if !self.may_change_anything(at.0, kind, stated) {
            return None;
        }
        let known = self.get_mut(at)?;
        known.refresh(now_ms, stated);
        let for_ms = stated.backoff_ms.unwrap_or_default().min(LONGEST_BACKOFF_MS);
        let begins = known.start_backoff(now_ms, for_ms);
        let limit = match (kind, stated.rate_limit) {
            (ResponseKind::Failed | ResponseKind::HealthCheck, None) => None,
            (_, rate) => known.limit.record(now_ms, rate, sent_before),
        };
        let is_leaving = stated.is_leaving && known.record_leaving(Leaving::Pending);
        let backoff_ms = begins.then_some(for_ms);
        let change = BackpressureChange { upstream: at.0.clone(), limit, backoff_ms, is_leaving };
        (limit.is_some() || begins || is_leaving).then_some(change)
    }

    /// Records the backpressure in a response to another host, which itself broadcasts it to the
    /// fleet.
    pub fn record_forwarded(
        &mut self,
        now_ms: Millis,
        at: (&UpstreamId, RunStart),
        kind: ResponseKind,
        stated: Backpressure,
        sent_before: f64,
    ) {
        // The backoff is the other host's alone.
        let stated = Backpressure { backoff_ms: None, ..stated };
        if !self.may_change_anything(at.0, kind, stated) {
            return;
        }
        let Some(known) = self.get_mut(at) else { return };
        known.refresh(now_ms, stated);
        if stated.is_leaving {
            known.record_leaving(Leaving::Known);
        }
        if kind == ResponseKind::Served || stated.rate_limit.is_some() {
            let stated_now = SignedTime::from_age(now_ms, Millis::ZERO);
            known.limit.merge(now_ms, stated_now, stated.rate_limit, sent_before);
        }
    }

    /// Merges a peer's updates; `sent_before` as for [`BackpressureSet::record`].
    pub fn merge(
        &mut self,
        now_ms: Millis,
        updates: Vec<BackpressureUpdate>,
        sent_before: impl Fn(&UpstreamId) -> f64,
    ) -> Vec<BackpressureChange> {
        let merge_one = |update: BackpressureUpdate| {
            let stated = SignedTime::from_age(now_ms, update.age_ms);
            let known = self.get_mut((&update.upstream, update.run))?;
            known.stated_ms = now_ms;
            let before = sent_before(&update.upstream);
            let limit = known.limit.merge(now_ms, stated, update.rate_limit, before);
            let is_leaving = update.is_leaving && !known.is_leaving();
            if update.is_leaving {
                // A host that received an update doesn't broadcast it.
                known.leaving = Leaving::Known;
            }
            let change = BackpressureChange {
                upstream: update.upstream,
                limit,
                backoff_ms: None,
                is_leaving,
            };
            (limit.is_some() || is_leaving).then_some(change)
        };
        updates.into_iter().take(MAX_UPDATES).filter_map(merge_one).collect()
    }

    /// The rate that the whole fleet may send to a process run of an upstream; none if it is
    /// unlimited.
    pub fn rate_limit(&self, id: &UpstreamId, run: RunStart) -> Option<FleetRate> {
        self.get(id, run)?.limit.in_force()
    }

    /// Whether a process run of an upstream announced that it is leaving.
    pub fn is_leaving(&self, id: &UpstreamId, run: RunStart) -> bool {
        self.get(id, run).is_some_and(RunBackpressure::is_leaving)
    }

    /// Number of upstreams that announced that they are leaving.
    pub fn count_leaving(&self) -> usize {
        self.latest_runs.values().filter(|known| known.is_leaving()).count()
    }

    /// Time for which this host must still back off from a process run of an upstream; none if it
    /// need not.
    pub fn remaining_backoff(
        &self,
        now_ms: Millis,
        id: &UpstreamId,
        run: RunStart,
    ) -> Option<Millis> {
        let known = self.get(id, run)?;
        (now_ms < known.backoff_until_ms).then(|| known.backoff_until_ms.since(now_ms))
    }

    /// Upstreams that this host backs off from.
    pub fn upstreams_in_backoff(&self, now_ms: Millis) -> impl Iterator<Item = &UpstreamId> {
        let in_force =
            move |(_, known): &(&UpstreamId, &RunBackpressure)| now_ms < known.backoff_until_ms;
        self.latest_runs.iter().filter(in_force).map(|(id, _)| id)
    }

    /// Whether no upstream stated anything.
    pub fn is_empty(&self) -> bool {
        self.latest_runs.is_empty()
    }

    /// Number of upstreams with a rate limit.
    pub fn count_limited(&self) -> usize {
        self.latest_runs.values().filter(|known| known.limit.in_force().is_some()).count()
    }

    /// Digest of everything that peers need to know: equal on hosts that have the same.
    pub fn digest(&self) -> u64 {
        let digests = self.latest_runs.iter().filter_map(|(id, known)| known.digest(id));
        digests.fold(0, u64::wrapping_add)
    }

    /// Whether there are updates to broadcast.
    pub fn has_pending(&self) -> bool {
        self.latest_runs.values().any(RunBackpressure::has_pending)
    }

    /// Takes the updates to broadcast; they count as received from then on.
    pub fn take_pending(&mut self, now_ms: Millis) -> Vec<BackpressureUpdate> {
        let pending = self.latest_runs.iter_mut().filter_map(|(id, known)| {
            let has_pending = known.take_pending();
            has_pending.then(|| known.to_update(now_ms, id))
        });
        pending.take(MAX_UPDATES).collect()
    }

    /// All updates for a peer with a different digest; if they exceed one message, the latest.
    pub fn export(&self, now_ms: Millis) -> Vec<BackpressureUpdate> {
        let mut concerning_peers: Vec<(&UpstreamId, &RunBackpressure)> =
            self.latest_runs.iter().filter(|(_, known)| known.concerns_peers()).collect();
        concerning_peers.sort_by_key(|(id, known)| (Reverse(known.stated_ms), *id));
        let latest = concerning_peers.into_iter().take(MAX_UPDATES);
        latest.map(|(id, known)| known.to_update(now_ms, id)).collect()
    }

    /// Drops upstreams that stated nothing recently and that this host doesn't back off from,
    /// unless they still exist and have a limit or are leaving.
    pub fn forget(&mut self, now_ms: Millis, is_known: impl Fn(&UpstreamId) -> bool) {
        self.latest_runs.retain(|id, known| {
            let is_recent = now_ms.since(known.stated_ms) < RETENTION_MS;
            let is_backing_off = now_ms < known.backoff_until_ms;
            let is_limited_or_leaving = known.limit.in_force().is_some() || known.is_leaving();
            is_recent || is_backing_off || (is_known(id) && is_limited_or_leaving)
        });
    }

    /// Whether a response may change anything. Upstreams that never stated anything have no state
    /// here.
    fn may_change_anything(
        &self,
        id: &UpstreamId,
        kind: ResponseKind,
        stated: Backpressure,
    ) -> bool {
        let ends_something = kind == ResponseKind::Served && self.latest_runs.contains_key(id);
        stated != Backpressure::default() || ends_something
    }

    /// The backpressure of a process run, if it stated any.
    fn get(&self, id: &UpstreamId, run: RunStart) -> Option<&RunBackpressure> {
        self.latest_runs.get(id).filter(|known| known.run.is_same(run))
    }

    /// The same, mutable; a later process run replaces an earlier one. None for an ended run.
    fn get_mut(&mut self, (id, run): (&UpstreamId, RunStart)) -> Option<&mut RunBackpressure> {
        let known = self.latest_runs.entry(id.clone()).or_insert_with(|| RunBackpressure::new(run));
        if run.is_after(known.run) {
            *known = RunBackpressure::new(run);
        }
        known.run.is_same(run).then_some(known)
    }
}
