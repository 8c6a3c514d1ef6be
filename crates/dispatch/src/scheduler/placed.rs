//! Placed requests, and how many others run beside each.

use super::fresh_report::fresh_report;
use super::request::{Key, QueuedRequest};
use crate::cold::Warmth;
use crate::cost::Candidate;
use crate::curve::Occupancy;
use crate::route_times::RouteKey;
use crate::upstream::UpstreamState;
use domain::{FastMap, Millis, UpstreamId};
use published::RunStart;

/// How long after its caller's deadline a placed request without a reported end is dropped.
const EXPIRE_AFTER_MS: Millis = Millis(100);

/// Part of the expected duration by which most actual durations differ at most.
const DURATION_SPREAD: f64 = 1.0 / 3.0;

#[derive(Debug, Default)]
pub(super) struct PlacedSet {
    placed: FastMap<Key, Placed>,
}

/// A placed request.
#[derive(Debug)]
pub(super) struct Placed {
    pub(super) upstream: UpstreamId,
    /// The upstream's run at placement.
    pub(super) run: RunStart,
    pub(super) route: RouteKey,
    pub(super) work: f64,
    /// Slowness at placement, if a fresh report stated it.
    pub(super) slowness: Option<f64>,
    pub(super) occupancy: Occupancy,
    /// Until when time is included in `occupancy`.
    occupancy_until_ms: Millis,
    expires_ms: Millis,
    placed_ms: Millis,
    /// Expected duration, if one was learned.
    expected_ms: Option<Millis>,
}

impl Placed {
    /// Probability that it ends within this time, 0 to 1, if durations are distributed evenly
    /// within [`DURATION_SPREAD`] of the expected one. One that takes longer may never end.
    pub(super) fn end_probability(&self, now_ms: Millis, span_ms: Millis) -> f64 {
        let Some(expected_ms) = self.expected_ms.map(Millis::as_f64) else { return 0.0 };
        let (shortest_ms, longest_ms) =
            (expected_ms * (1.0 - DURATION_SPREAD), expected_ms * (1.0 + DURATION_SPREAD));
        let elapsed_ms = now_ms.since(self.placed_ms).as_f64();
        let from_ms = elapsed_ms.max(shortest_ms);
        match from_ms < longest_ms {
            true => {
                ((elapsed_ms + span_ms.as_f64() - from_ms) / (longest_ms - from_ms)).clamp(0.0, 1.0)
            }
            false => 0.0,
        }
    }

    fn is_at(&self, upstream: &UpstreamId, run: RunStart) -> bool {
        self.upstream == *upstream && self.run.is_same(run)
    }
}

impl PlacedSet {
    pub(super) fn contains(&self, key: Key) -> bool {
        self.placed.contains_key(&key)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.placed.is_empty()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Placed> {
        self.placed.values()
    }

    /// Adds a request that the upstream already counts as in flight.
    pub(super) fn add(
        &mut self,
        now_ms: Millis,
        request: &QueuedRequest,
        candidate: &Candidate,
        expected_ms: Option<Millis>,
        state: &UpstreamState,
    ) {
        let at = (&candidate.upstream, state.entry.run);
        self.add_time(now_ms, at, state.in_flight() - 1);
        let placed = Placed {
            upstream: candidate.upstream.clone(),
            run: state.entry.run,
            route: request.route,
            work: candidate.work,
            // The time on a cold upstream says nothing about the baseline.
            slowness: fresh_report(state, now_ms)
                .filter(|_| state.warmth(now_ms) == Warmth::Warm)
                .map(|report| report.slowness()),
            occupancy: Occupancy::new(state.in_flight()),
            occupancy_until_ms: now_ms,
            expires_ms: request.end_ms + EXPIRE_AFTER_MS,
            placed_ms: now_ms,
            expected_ms,
        };
        self.placed.insert(request.key, placed);
    }

    /// Removes a request that ended or was withdrawn.
    pub(super) fn remove(&mut self, now_ms: Millis, key: Key) -> Option<Placed> {
        let placed = self.placed.get(&key)?;
        let (upstream, run) = (placed.upstream.clone(), placed.run);
        let running = self.placed.values().filter(|placed| placed.is_at(&upstream, run)).count();
        self.add_time(now_ms, (&upstream, run), running as u32);
        self.placed.remove(&key)
    }

    /// Requests whose callers no longer wait.
    pub(super) fn expired(&self, now_ms: Millis) -> Vec<Key> {
        let expired = self.placed.iter().filter(|(_, placed)| placed.expires_ms <= now_ms);
        expired.map(|(key, _)| *key).collect()
    }

    /// Adds the time since the last change, during which this many requests ran on the upstream.
    fn add_time(&mut self, now_ms: Millis, (upstream, run): (&UpstreamId, RunStart), running: u32) {
        for placed in self.placed.values_mut().filter(|placed| placed.is_at(upstream, run)) {
            placed.occupancy.add(running, now_ms.since(placed.occupancy_until_ms).as_f64());
            placed.occupancy_until_ms = now_ms;
        }
    }
}
