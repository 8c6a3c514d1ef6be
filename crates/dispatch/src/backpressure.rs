//! What upstreams say in their answers of the load that they bear.
//!
//! One that refuses a request may ask the host that sent it to back off for a while; that holds for this
//! host alone. An upstream in need limits the requests a second that it takes from all hosts together.
//! One that is leaving wants nothing new from any host, for the rest of its run. Both are
//! said in answers, so one host hears of it first. Hosts tell each other ([`message`]): the last word
//! of the upstream holds, by when it was said, and a run that has ended says nothing of the next.
//! How many of these requests are whose is [`crate::fleet_rate`]'s matter.

mod message;
mod rate_limit;
mod stated;

pub use message::{BackpressureMessage, BackpressureUpdate};
pub use rate_limit::LimitChange;

use crate::fleet_rate::FleetRate;
use domain::{FastMap, Millis, PerSecond, SignedTime, UpstreamId};
use published::RunStart;
use serde::{Deserialize, Serialize};
use stated::{Leaving, Stated};
use std::cmp::Reverse;

/// What was said of an upstream that is not published is kept for so long: an entry may lapse while
/// the source is away, and be back.
const KEPT_MS: Millis = Millis(60_000);

/// Upstreams that one message tells of: 30 bytes each, all in one datagram.
const MOST_TOLD: usize = 128;

/// Longest time for which an upstream is left alone because it asked for it. One that names a year is
/// tried again with a request a minute of each host.
pub const LONGEST_BACKOFF_MS: Millis = Millis(60_000);

/// What one answer says.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Backpressure {
    /// Requests that the upstream takes from all hosts together; none if it takes what comes.
    pub rate_limit: Option<PerSecond>,
    /// For so long it wants nothing from the host that it answers.
    pub backoff_ms: Option<Millis>,
    /// It is leaving: it wants nothing new from any host.
    pub is_leaving: bool,
}

/// What an upstream answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// A request that it served. Only these say by a mark that is missing that something is over.
    Served,
    /// A request that it refused or failed.
    Failed,
    /// A health check.
    HealthCheck,
}

/// Something else holds of an upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct BackpressureChange {
    /// Which upstream.
    pub upstream: UpstreamId,
    /// What became of its limit, if anything did.
    pub limit: Option<LimitChange>,
    /// For so long this host leaves it alone, if that began.
    pub backoff_ms: Option<Millis>,
    /// It said for the first time that it is leaving.
    pub is_leaving: bool,
}

/// What is known of all upstreams.
#[derive(Debug, Default)]
pub struct BackpressureSet {
    stated: FastMap<UpstreamId, Stated>,
}

impl BackpressureSet {
    /// A run of an upstream answered this host, which had sent it `sent_before` requests in the second
    /// before.
    pub fn record(
        &mut self,
        now_ms: Millis,
        at: (&UpstreamId, RunStart),
        kind: ResponseKind,
        said: Backpressure,
        sent_before: f64,
    ) -> Option<BackpressureChange> {
        if !self.is_evidence(at.0, kind, said) {
            return None;
        }
        let stated = self.of_run(at)?;
        stated.note_heard(now_ms, said);
        let for_ms = said.backoff_ms.unwrap_or_default().min(LONGEST_BACKOFF_MS);
        let begins = stated.back_off(now_ms, for_ms);
        let limit = match (kind, said.rate_limit) {
            (ResponseKind::Failed | ResponseKind::HealthCheck, None) => None,
            (_, rate) => stated.limit.note(now_ms, rate, sent_before),
        };
        let is_leaving = said.is_leaving && stated.leave(Leaving::Untold);
        let backoff_ms = begins.then_some(for_ms);
        let change = BackpressureChange { upstream: at.0.clone(), limit, backoff_ms, is_leaving };
        (limit.is_some() || begins || is_leaving).then_some(change)
    }

    /// The same of an answer to another host, which tells the fleet of it.
    pub fn record_forwarded(
        &mut self,
        now_ms: Millis,
        at: (&UpstreamId, RunStart),
        kind: ResponseKind,
        said: Backpressure,
        sent_before: f64,
    ) {
        // The backoff is the other host's alone.
        let said = Backpressure { backoff_ms: None, ..said };
        if !self.is_evidence(at.0, kind, said) {
            return;
        }
        let Some(stated) = self.of_run(at) else { return };
        stated.note_heard(now_ms, said);
        if said.is_leaving {
            stated.leave(Leaving::Told);
        }
        if kind == ResponseKind::Served || said.rate_limit.is_some() {
            let said_now = SignedTime::from_age(now_ms, Millis::ZERO);
            stated.limit.take(now_ms, said_now, said.rate_limit, sent_before);
        }
    }

    /// Takes what a peer told; `sent_before` as for [`BackpressureSet::note`].
    pub fn merge(
        &mut self,
        now_ms: Millis,
        told: Vec<BackpressureUpdate>,
        sent_before: impl Fn(&UpstreamId) -> f64,
    ) -> Vec<BackpressureChange> {
        let take = |told: BackpressureUpdate| {
            let said = SignedTime::from_age(now_ms, told.age_ms);
            let stated = self.of_run((&told.upstream, told.run))?;
            stated.heard_ms = now_ms;
            let before = sent_before(&told.upstream);
            let limit = stated.limit.take(now_ms, said, told.rate_limit, before);
            let is_leaving = told.is_leaving && !stated.is_leaving();
            if told.is_leaving {
                // Who was told tells nobody.
                stated.leaving = Leaving::Told;
            }
            let change =
                BackpressureChange { upstream: told.upstream, limit, backoff_ms: None, is_leaving };
            (limit.is_some() || is_leaving).then_some(change)
        };
        told.into_iter().take(MOST_TOLD).filter_map(take).collect()
    }

    /// What the whole fleet may send to a run of an upstream; none if that is not limited.
    pub fn rate_limit(&self, id: &UpstreamId, run: RunStart) -> Option<FleetRate> {
        self.of(id, run)?.limit.in_force()
    }

    /// Whether a run of an upstream said that it is leaving.
    pub fn is_leaving(&self, id: &UpstreamId, run: RunStart) -> bool {
        self.of(id, run).is_some_and(Stated::is_leaving)
    }

    /// How many upstreams said that they are leaving.
    pub fn count_leaving(&self) -> usize {
        self.stated.values().filter(|stated| stated.is_leaving()).count()
    }

    /// How much longer this host leaves a run of an upstream alone, as it was asked to.
    pub fn remaining_backoff(
        &self,
        now_ms: Millis,
        id: &UpstreamId,
        run: RunStart,
    ) -> Option<Millis> {
        let stated = self.of(id, run)?;
        (now_ms < stated.backoff_until_ms).then(|| stated.backoff_until_ms.since(now_ms))
    }

    /// Upstreams that this host leaves alone, as they asked it to.
    pub fn upstreams_in_backoff(&self, now_ms: Millis) -> impl Iterator<Item = &UpstreamId> {
        let in_force = move |(_, stated): &(&UpstreamId, &Stated)| now_ms < stated.backoff_until_ms;
        self.stated.iter().filter(in_force).map(|(id, _)| id)
    }

    /// Whether no upstream says anything.
    pub fn is_empty(&self) -> bool {
        self.stated.is_empty()
    }

    /// How many upstreams limit what they take.
    pub fn count_limited(&self) -> usize {
        self.stated.values().filter(|stated| stated.limit.in_force().is_some()).count()
    }

    /// Digest of what holds: equal on hosts that need to tell each other nothing.
    pub fn digest(&self) -> u64 {
        let digests = self.stated.iter().filter_map(|(id, stated)| stated.digest(id));
        digests.fold(0, u64::wrapping_add)
    }

    /// Whether peers are to be told of something.
    pub fn has_pending(&self) -> bool {
        self.stated.values().any(Stated::is_untold)
    }

    /// What peers are to be told now; they are taken to hear it.
    pub fn take_pending(&mut self, now_ms: Millis) -> Vec<BackpressureUpdate> {
        let untold = self.stated.iter_mut().filter_map(|(id, stated)| {
            let is_untold = stated.take_untold();
            is_untold.then(|| stated.tell(now_ms, id))
        });
        untold.take(MOST_TOLD).collect()
    }

    /// What a peer that holds something else is told; where that is too much, the latest of it.
    pub fn export(&self, now_ms: Millis) -> Vec<BackpressureUpdate> {
        let mut of_peers: Vec<(&UpstreamId, &Stated)> =
            self.stated.iter().filter(|(_, stated)| stated.concerns_peers()).collect();
        of_peers.sort_by_key(|(id, stated)| (Reverse(stated.heard_ms), *id));
        let told = of_peers.into_iter().take(MOST_TOLD);
        told.map(|(id, stated)| stated.tell(now_ms, id)).collect()
    }

    /// Forgets upstreams that are gone for good.
    pub fn forget(&mut self, now_ms: Millis, is_known: impl Fn(&UpstreamId) -> bool) {
        self.stated.retain(|id, stated| {
            let is_recent = now_ms.since(stated.heard_ms) < KEPT_MS;
            let is_backing_off = now_ms < stated.backoff_until_ms;
            let holds = stated.limit.in_force().is_some() || stated.is_leaving();
            is_recent || is_backing_off || (is_known(id) && holds)
        });
    }

    /// Whether an answer is evidence of anything new. Of an upstream that never said anything
    /// nothing is kept.
    fn is_evidence(&self, id: &UpstreamId, kind: ResponseKind, said: Backpressure) -> bool {
        let ends_something = kind == ResponseKind::Served && self.stated.contains_key(id);
        said != Backpressure::default() || ends_something
    }

    /// What a run of an upstream says, if it says anything.
    fn of(&self, id: &UpstreamId, run: RunStart) -> Option<&Stated> {
        self.stated.get(id).filter(|stated| stated.run.is_same(run))
    }

    /// The same, to be changed; nothing of a later run is given up for an earlier one.
    fn of_run(&mut self, (id, run): (&UpstreamId, RunStart)) -> Option<&mut Stated> {
        let stated = self.stated.entry(id.clone()).or_insert_with(|| Stated::of_run(run));
        if run.is_after(stated.run) {
            *stated = Stated::of_run(run);
        }
        stated.run.is_same(run).then_some(stated)
    }
}
