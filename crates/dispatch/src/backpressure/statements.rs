//! What one process run of an upstream stated, and whether peers know it.

use super::rate_limit::RateLimit;
use super::{Backpressure, BackpressureUpdate};
use domain::{Millis, UpstreamId};
use published::RunStart;
use rustc_hash::FxHasher;
use std::hash::{Hash, Hasher};

/// The latest statements of one process run.
#[derive(Debug)]
pub(super) struct Statements {
    pub(super) run: RunStart,
    /// When the upstream, or a peer, last stated anything.
    pub(super) stated_ms: Millis,
    pub(super) limit: RateLimit,
    /// End of this host's backoff, which isn't broadcast.
    pub(super) backoff_until_ms: Millis,
    pub(super) leaving: Leaving,
}

/// Whether a process run announced that it is leaving, which it can't take back.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Leaving {
    #[default]
    No,
    /// This host received the announcement, and has yet to broadcast it.
    Pending,
    Known,
}

impl Statements {
    pub(super) fn new(run: RunStart) -> Statements {
        Statements {
            run,
            stated_ms: Millis::ZERO,
            limit: RateLimit::default(),
            backoff_until_ms: Millis::ZERO,
            leaving: Leaving::No,
        }
    }

    /// Refreshes the time of the last statement, unless the response states nothing.
    pub(super) fn refresh(&mut self, now_ms: Millis, stated: Backpressure) {
        if stated != Backpressure::default() {
            self.stated_ms = now_ms;
        }
    }

    /// Backs off from the upstream; true if the backoff begins now.
    pub(super) fn start_backoff(&mut self, now_ms: Millis, for_ms: Millis) -> bool {
        let was_backing_off = now_ms < self.backoff_until_ms;
        self.backoff_until_ms = self.backoff_until_ms.max(now_ms + for_ms);
        !was_backing_off && for_ms > Millis::ZERO
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving != Leaving::No
    }

    /// Whether peers need an update, if only that a limit is over.
    pub(super) fn concerns_peers(&self) -> bool {
        self.limit.was_stated() || self.is_leaving()
    }

    /// Records that it is leaving; true if that is new.
    pub(super) fn record_leaving(&mut self, leaving: Leaving) -> bool {
        let is_new = !self.is_leaving();
        if is_new {
            self.leaving = leaving;
        }
        is_new
    }

    /// Whether there is an update to broadcast; it counts as received from then on.
    pub(super) fn take_pending(&mut self) -> bool {
        let was_known = self.leaving != Leaving::Pending;
        if !was_known {
            self.leaving = Leaving::Known;
        }
        self.limit.take_pending() || !was_known
    }

    pub(super) fn has_pending(&self) -> bool {
        self.limit.is_pending() || self.leaving == Leaving::Pending
    }

    /// Digest of what peers need to know; none if that is nothing.
    pub(super) fn digest(&self, id: &UpstreamId) -> Option<u64> {
        let limit = self.limit.broadcast_rate().map(|rate| rate.0.to_bits());
        let has_any = limit.is_some() || self.is_leaving();
        let mut hasher = FxHasher::default();
        (id, self.run, limit, self.is_leaving()).hash(&mut hasher);
        has_any.then(|| hasher.finish())
    }

    /// The update for peers.
    pub(super) fn to_update(&self, now_ms: Millis, id: &UpstreamId) -> BackpressureUpdate {
        BackpressureUpdate {
            upstream: id.clone(),
            run: self.run,
            rate_limit: self.limit.rate(),
            is_leaving: self.is_leaving(),
            age_ms: self.limit.age_ms(now_ms),
        }
    }
}
