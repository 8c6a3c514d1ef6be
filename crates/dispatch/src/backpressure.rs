//! Backpressure: what upstreams state in their responses about their load, and about leaving.
//!
//! An upstream that refuses a request may ask the host that sent it to back off for a while; that
//! concerns this host only. An overloaded upstream limits the requests a second that it accepts
//! from all hosts together. A leaving one wants no new request from any host for the rest of its
//! process run. The last two concern the fleet, but only one host receives the response, so hosts
//! broadcast them ([`message`]). The latest statement of the upstream wins, and statements of one
//! process run don't apply to the next. [`crate::fleet_rate`] divides a limited rate among the
//! hosts.

mod message;
mod rate_limit;
mod statements;

pub use message::{BackpressureMessage, BackpressureUpdate};
pub use rate_limit::LimitChange;

use crate::fleet_rate::FleetRate;
use domain::{FastMap, Millis, PerSecond, SignedTime, UpstreamId};
use published::RunStart;
use serde::{Deserialize, Serialize};
use statements::{Leaving, Statements};
use std::cmp::Reverse;

/// How long the statements of an unpublished upstream are kept: its entry may expire while the
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
    statements: FastMap<UpstreamId, Statements>,
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
        let statements = self.get_mut(at)?;
        statements.refresh(now_ms, stated);
        let for_ms = stated.backoff_ms.unwrap_or_default().min(LONGEST_BACKOFF_MS);
        let begins = statements.start_backoff(now_ms, for_ms);
        let limit = match (kind, stated.rate_limit) {
            (ResponseKind::Failed | ResponseKind::HealthCheck, None) => None,
            (_, rate) => statements.limit.record(now_ms, rate, sent_before),
        };
        let is_leaving = stated.is_leaving && statements.record_leaving(Leaving::Pending);
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
        let Some(statements) = self.get_mut(at) else { return };
        statements.refresh(now_ms, stated);
        if stated.is_leaving {
            statements.record_leaving(Leaving::Known);
        }
        if kind == ResponseKind::Served || stated.rate_limit.is_some() {
            let stated_now = SignedTime::from_age(now_ms, Millis::ZERO);
            statements.limit.merge(now_ms, stated_now, stated.rate_limit, sent_before);
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
            let statements = self.get_mut((&update.upstream, update.run))?;
            statements.stated_ms = now_ms;
            let before = sent_before(&update.upstream);
            let limit = statements.limit.merge(now_ms, stated, update.rate_limit, before);
            let is_leaving = update.is_leaving && !statements.is_leaving();
            if update.is_leaving {
                // A host that received an update doesn't broadcast it.
                statements.leaving = Leaving::Known;
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
        self.get(id, run).is_some_and(Statements::is_leaving)
    }

    /// Number of upstreams that announced that they are leaving.
    pub fn count_leaving(&self) -> usize {
        self.statements.values().filter(|statements| statements.is_leaving()).count()
    }

    /// Time for which this host must still back off from a process run of an upstream; none if it
    /// need not.
    pub fn remaining_backoff(
        &self,
        now_ms: Millis,
        id: &UpstreamId,
        run: RunStart,
    ) -> Option<Millis> {
        let statements = self.get(id, run)?;
        (now_ms < statements.backoff_until_ms).then(|| statements.backoff_until_ms.since(now_ms))
    }

    /// Upstreams that this host backs off from.
    pub fn upstreams_in_backoff(&self, now_ms: Millis) -> impl Iterator<Item = &UpstreamId> {
        let in_force = move |(_, statements): &(&UpstreamId, &Statements)| {
            now_ms < statements.backoff_until_ms
        };
        self.statements.iter().filter(in_force).map(|(id, _)| id)
    }

    /// Whether no upstream stated anything.
    pub fn is_empty(&self) -> bool {
        self.statements.is_empty()
    }

    /// Number of upstreams with a rate limit.
    pub fn count_limited(&self) -> usize {
        self.statements.values().filter(|statements| statements.limit.in_force().is_some()).count()
    }

    /// Digest of everything that peers need to know: equal on hosts that have the same.
    pub fn digest(&self) -> u64 {
        let digests = self.statements.iter().filter_map(|(id, statements)| statements.digest(id));
        digests.fold(0, u64::wrapping_add)
    }

    /// Whether there are updates to broadcast.
    pub fn has_pending(&self) -> bool {
        self.statements.values().any(Statements::has_pending)
    }

    /// Takes the updates to broadcast; they count as received from then on.
    pub fn take_pending(&mut self, now_ms: Millis) -> Vec<BackpressureUpdate> {
        let pending = self.statements.iter_mut().filter_map(|(id, statements)| {
            let has_pending = statements.take_pending();
            has_pending.then(|| statements.to_update(now_ms, id))
        });
        pending.take(MAX_UPDATES).collect()
    }

    /// All updates for a peer with a different digest; if they exceed one message, the latest.
    pub fn export(&self, now_ms: Millis) -> Vec<BackpressureUpdate> {
        let mut concerning_peers: Vec<(&UpstreamId, &Statements)> =
            self.statements.iter().filter(|(_, statements)| statements.concerns_peers()).collect();
        concerning_peers.sort_by_key(|(id, statements)| (Reverse(statements.stated_ms), *id));
        let latest = concerning_peers.into_iter().take(MAX_UPDATES);
        latest.map(|(id, statements)| statements.to_update(now_ms, id)).collect()
    }

    /// Drops upstreams that stated nothing recently and that this host doesn't back off from,
    /// unless they still exist and have a limit or are leaving.
    pub fn forget(&mut self, now_ms: Millis, is_known: impl Fn(&UpstreamId) -> bool) {
        self.statements.retain(|id, statements| {
            let is_recent = now_ms.since(statements.stated_ms) < RETENTION_MS;
            let is_backing_off = now_ms < statements.backoff_until_ms;
            let is_limited_or_leaving =
                statements.limit.in_force().is_some() || statements.is_leaving();
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
        let ends_something = kind == ResponseKind::Served && self.statements.contains_key(id);
        stated != Backpressure::default() || ends_something
    }

    /// The statements of a process run, if there are any.
    fn get(&self, id: &UpstreamId, run: RunStart) -> Option<&Statements> {
        self.statements.get(id).filter(|statements| statements.run.is_same(run))
    }

    /// The same, mutable; a later process run replaces an earlier one. None for an ended run.
    fn get_mut(&mut self, (id, run): (&UpstreamId, RunStart)) -> Option<&mut Statements> {
        let statements = self.statements.entry(id.clone()).or_insert_with(|| Statements::new(run));
        if run.is_after(statements.run) {
            *statements = Statements::new(run);
        }
        statements.run.is_same(run).then_some(statements)
    }
}
