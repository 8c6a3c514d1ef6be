//! What one run of an upstream says of the load that it bears.

use super::rate_limit::RateLimit;
use super::{Backpressure, BackpressureUpdate};
use domain::{Millis, UpstreamId};
use published::RunStart;
use rustc_hash::FxHasher;
use std::hash::{Hash, Hasher};

/// The last word of one run, and whether peers know of it.
#[derive(Debug)]
pub(super) struct Stated {
    pub(super) run: RunStart,
    /// When it last said anything, or a peer told of it.
    pub(super) heard_ms: Millis,
    pub(super) limit: RateLimit,
    /// Until then this host leaves it alone; no peer is told.
    pub(super) backoff_until_ms: Millis,
    pub(super) leaving: Leaving,
}

/// Whether a run said that it is leaving; it never takes that back.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Leaving {
    #[default]
    No,
    /// This host heard it, and peers are to be told.
    Untold,
    Told,
}

impl Stated {
    pub(super) fn of_run(run: RunStart) -> Stated {
        Stated {
            run,
            heard_ms: Millis::ZERO,
            limit: RateLimit::default(),
            backoff_until_ms: Millis::ZERO,
            leaving: Leaving::No,
        }
    }

    /// An answer that says nothing lets what was said before be forgotten.
    pub(super) fn note_heard(&mut self, now_ms: Millis, said: Backpressure) {
        if said != Backpressure::default() {
            self.heard_ms = now_ms;
        }
    }

    /// It asked this host to back off; true if that begins now.
    pub(super) fn back_off(&mut self, now_ms: Millis, for_ms: Millis) -> bool {
        let was_backing_off = now_ms < self.backoff_until_ms;
        self.backoff_until_ms = self.backoff_until_ms.max(now_ms + for_ms);
        !was_backing_off && for_ms > Millis::ZERO
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving != Leaving::No
    }

    /// Whether the fleet has anything to hear of it, if only that a limit is over.
    pub(super) fn concerns_peers(&self) -> bool {
        self.limit.was_named() || self.is_leaving()
    }

    /// It said that it is leaving; true if that is new.
    pub(super) fn leave(&mut self, leaving: Leaving) -> bool {
        let is_new = !self.is_leaving();
        if is_new {
            self.leaving = leaving;
        }
        is_new
    }

    /// Whether peers are to be told; from then on they are taken to have heard it.
    pub(super) fn take_untold(&mut self) -> bool {
        let was_told = self.leaving != Leaving::Untold;
        if !was_told {
            self.leaving = Leaving::Told;
        }
        self.limit.take_untold() || !was_told
    }

    pub(super) fn is_untold(&self) -> bool {
        self.limit.is_untold() || self.leaving == Leaving::Untold
    }

    /// Digest of what peers need to hold; none if that is nothing.
    pub(super) fn digest(&self, id: &UpstreamId) -> Option<u64> {
        let limit = self.limit.told().map(|told| told.0.to_bits());
        let holds = limit.is_some() || self.is_leaving();
        let mut hasher = FxHasher::default();
        (id, self.run, limit, self.is_leaving()).hash(&mut hasher);
        holds.then(|| hasher.finish())
    }

    /// What peers are told of it.
    pub(super) fn tell(&self, now_ms: Millis, id: &UpstreamId) -> BackpressureUpdate {
        BackpressureUpdate {
            upstream: id.clone(),
            run: self.run,
            rate_limit: self.limit.rate(),
            is_leaving: self.is_leaving(),
            age_ms: self.limit.age_ms(now_ms),
        }
    }
}
