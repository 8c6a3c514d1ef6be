//! Requests that have their place, and beside how many others they run.

use super::freshness::just_told;
use super::job::{Job, Key};
use crate::choice::Candidate;
use crate::cold::Warmth;
use crate::curve::Occupancy;
use crate::upstream::UpstreamState;
use domain::{FastMap, Millis, UpstreamId};
use published::RunStart;

/// What is left of a request that was placed and never ended: it ends with its caller's time.
const FORGET_AFTER_MS: Millis = Millis(100);

/// Requests in their places.
#[derive(Debug, Default)]
pub(super) struct PlacedSet {
    placed: FastMap<Key, Placed>,
}

/// A request that has its place.
#[derive(Debug)]
pub(super) struct Placed {
    pub(super) upstream: UpstreamId,
    /// The run that it went to.
    pub(super) run: RunStart,
    pub(super) work: f64,
    /// Slowness that was told when it was placed, if that was just then.
    pub(super) slowness: Option<f64>,
    pub(super) spent: Occupancy,
    /// Until then the time is in `spent`.
    noted_ms: Millis,
    forget_ms: Millis,
}

impl Placed {
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

    /// A request goes to an upstream, which counts it as open already.
    pub(super) fn add(
        &mut self,
        now_ms: Millis,
        job: &Job,
        candidate: &Candidate,
        known: &UpstreamState,
    ) {
        let at = (&candidate.upstream, known.entry.run);
        self.note_time(now_ms, at, known.in_flight() - 1);
        let placed = Placed {
            upstream: candidate.upstream.clone(),
            run: known.entry.run,
            work: candidate.work,
            // What a cold one takes says nothing of the usual time.
            slowness: just_told(known, now_ms)
                .filter(|_| known.warmth(now_ms) == Warmth::Warm)
                .map(|report| report.slowness()),
            spent: Occupancy::new(known.in_flight()),
            noted_ms: now_ms,
            forget_ms: job.end_ms + FORGET_AFTER_MS,
        };
        self.placed.insert(job.key, placed);
    }

    /// Takes one out that ended or was withdrawn.
    pub(super) fn take(&mut self, now_ms: Millis, key: Key) -> Option<Placed> {
        let placed = self.placed.get(&key)?;
        let (upstream, run) = (placed.upstream.clone(), placed.run);
        let running = self.placed.values().filter(|placed| placed.is_at(&upstream, run)).count();
        self.note_time(now_ms, (&upstream, run), running as u32);
        self.placed.remove(&key)
    }

    /// Those whose callers' time is over.
    pub(super) fn over(&self, now_ms: Millis) -> Vec<Key> {
        let over = self.placed.iter().filter(|(_, placed)| placed.forget_ms <= now_ms);
        over.map(|(key, _)| *key).collect()
    }

    /// So many ran on an upstream until now.
    fn note_time(
        &mut self,
        now_ms: Millis,
        (upstream, run): (&UpstreamId, RunStart),
        running: u32,
    ) {
        for placed in self.placed.values_mut().filter(|placed| placed.is_at(upstream, run)) {
            placed.spent.add(running, now_ms.since(placed.noted_ms).as_f64());
            placed.noted_ms = now_ms;
        }
    }
}
