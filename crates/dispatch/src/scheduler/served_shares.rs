//! Which part of the requests of each priority is placed.
//!
//! The order of the queue and the reserve follow from expectations. The shares that were actually
//! placed correct both: no priority should be served more often than a more urgent one of its cell,
//! and none less often than [`MIN_SHARE`] of what a more urgent one gets.

use super::request::QueuedRequest;
use crate::decaying_sum::DecayingSum;
use domain::{FastMap, Millis};

/// Time in which earlier requests decay to 1/e. It covers several bursts, as a reserve that comes
/// and goes within one burst serves neither priority.
const DECAY_MS: f64 = 5_000.0;

/// Part of the requests of a priority that is placed at least, in relation to more urgent ones.
const MIN_SHARE: f64 = 0.05;

/// Recent requests of a priority from which on its share is known.
const MIN_REQUESTS: f64 = 1.0;

/// Shares of the priorities of one cell.
#[derive(Debug, Default)]
pub(super) struct ServedShares {
    priorities: FastMap<u32, Served>,
}

#[derive(Debug)]
struct Served {
    /// Placed or refused.
    all: DecayingSum,
    placed: DecayingSum,
}

impl Default for Served {
    fn default() -> Served {
        Served { all: DecayingSum::new(DECAY_MS), placed: DecayingSum::new(DECAY_MS) }
    }
}

impl ServedShares {
    /// Records a request that was placed or refused. A host's further attempts don't count.
    pub(super) fn record(&mut self, now_ms: Millis, request: &QueuedRequest, is_placed: bool) {
        if request.is_retry() {
            return;
        }
        let served = self.priorities.entry(request.priority).or_default();
        served.all.add(now_ms, 1.0);
        if is_placed {
            served.placed.add(now_ms, 1.0);
        }
    }

    /// Drops priorities without recent requests.
    pub(super) fn expire(&mut self, now_ms: Millis) {
        self.priorities.retain(|_, served| served.all.at(now_ms) >= 0.01);
    }

    /// Whether a priority is served more often than a more urgent one.
    pub(super) fn exceeds_more_urgent(&self, now_ms: Millis, priority: u32) -> bool {
        self.compare(now_ms, priority, |share, urgent_share| share > urgent_share)
    }

    /// Whether a priority is served so much less often than a more urgent one that its requests go
    /// first.
    pub(super) fn is_starved(&self, now_ms: Millis, priority: u32) -> bool {
        // A single one of fewer requests would exceed that share.
        let all = self.priorities.get(&priority).map_or(0.0, |served| served.all.at(now_ms));
        all >= 1.0 / MIN_SHARE
            && self.compare(now_ms, priority, |share, urgent| share < MIN_SHARE * urgent)
    }

    /// Whether `holds` is true of the share of a priority and that of any more urgent one.
    fn compare(&self, now_ms: Millis, priority: u32, holds: impl Fn(f64, f64) -> bool) -> bool {
        let Some(share) = self.share(now_ms, priority) else { return false };
        let urgent = self.priorities.keys().filter(|other| **other < priority);
        urgent.filter_map(|other| self.share(now_ms, *other)).any(|urgent| holds(share, urgent))
    }

    /// Part of a priority's requests that is placed, 0 to 1; none if too few are known.
    fn share(&self, now_ms: Millis, priority: u32) -> Option<f64> {
        let served = self.priorities.get(&priority)?;
        let all = served.all.at(now_ms);
        (all >= MIN_REQUESTS).then(|| served.placed.at(now_ms) / all)
    }
}
