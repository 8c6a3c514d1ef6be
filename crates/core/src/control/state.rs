//! What the control part of a host remembers between events.

use crate::confirmation::{Confirmation, StartLimits};
use crate::event::{ConfigKey, ReadOutcome};
use domain::{Incarnation, Millis, ServiceName, Version};
use serde::Serialize;
use std::collections::BTreeMap;

/// A reading that has not come back by then is lost.
const READING_LOST_AFTER_MS: Millis = Millis(25_000);
/// Time to the next reading after the first that failed; doubles.
const FAILED_AGAIN_AFTER_MS: Millis = Millis(500);
/// Doublings of that time at most.
const MAX_DOUBLINGS: u32 = 3;
/// Time to the next reading of a value that is not published.
const MISSING_AGAIN_AFTER_MS: Millis = Millis(1000);
/// Time after which a peer is asked once more for the same version.
const PULL_AGAIN_AFTER_MS: Millis = Millis(300);
/// Rounds of questions in one run, as a power of two.
const ROUND_BITS: u32 = 16;
/// Versions asked for at the same time, a bound.
const MAX_PULLS: usize = 16;

/// Readings of one value.
#[derive(Debug, Serialize)]
pub struct ReadState {
    /// Whether this host waits at the service for news.
    pub watching: bool,
    /// A reading is out; it is lost by then.
    pub out_until_ms: Option<Millis>,
    /// A watcher reads again then.
    pub watch_ms: Millis,
    /// Anybody else does so then.
    pub poll_ms: Millis,
    /// Readings that failed in a row.
    pub failures: u32,
}

impl ReadState {
    fn new(now_ms: Millis) -> ReadState {
        let due_ms = now_ms;
        ReadState {
            watching: false,
            out_until_ms: None,
            watch_ms: due_ms,
            poll_ms: due_ms,
            failures: 0,
        }
    }

    /// When a reading is due.
    pub fn due_ms(&self) -> Millis {
        match self.out_until_ms {
            Some(lost_ms) => lost_ms,
            None if self.watching => self.watch_ms.min(self.poll_ms),
            None => self.poll_ms,
        }
    }

    /// Notes that a reading left.
    pub fn note_sent(&mut self, now_ms: Millis) {
        self.out_until_ms = Some(now_ms + READING_LOST_AFTER_MS);
    }

    /// Notes what came of a reading; the next poll is due after `poll_after_ms`.
    pub fn note_outcome(&mut self, now_ms: Millis, outcome: &ReadOutcome, poll_after_ms: Millis) {
        self.out_until_ms = None;
        let failed = *outcome == ReadOutcome::Unavailable;
        self.failures = if failed { self.failures.saturating_add(1) } else { 0 };
        let again_after_ms = match outcome {
            ReadOutcome::Value(_) | ReadOutcome::Unchanged => Millis::ZERO,
            ReadOutcome::Missing => MISSING_AGAIN_AFTER_MS,
            ReadOutcome::Unavailable => {
                let doublings = (self.failures - 1).min(MAX_DOUBLINGS);
                Millis(FAILED_AGAIN_AFTER_MS.0 << doublings)
            }
        };
        self.watch_ms = now_ms + again_after_ms;
        self.poll_ms = now_ms + again_after_ms.max(poll_after_ms);
    }

    /// Reads again soon, whatever was planned.
    pub fn read_now(&mut self, now_ms: Millis) {
        (self.out_until_ms, self.watch_ms, self.poll_ms) = (None, now_ms, now_ms);
    }
}

/// Readings, questions and pulls that are under way.
#[derive(Debug, Serialize)]
pub struct ControlState {
    /// When it may start without its peers.
    pub limits: StartLimits,
    /// Questions to the peers, while they are open.
    pub confirmation: Option<Confirmation>,
    /// Services that the configuration no longer names, and since when.
    pub retired: BTreeMap<ServiceName, Millis>,
    base: ReadState,
    overlay: ReadState,
    /// Number of the last round of questions; other numbers in each run.
    pub rounds: u64,
    #[serde(skip)]
    pulls: BTreeMap<(ConfigKey, Version), Millis>,
    #[serde(skip)]
    list_pull_ms: Option<Millis>,
}

impl ControlState {
    /// A host that starts now; it reads and asks at once.
    pub fn new(now_ms: Millis, incarnation: Incarnation) -> ControlState {
        ControlState {
            limits: StartLimits::default(),
            confirmation: None,
            retired: BTreeMap::new(),
            base: ReadState::new(now_ms),
            overlay: ReadState::new(now_ms),
            rounds: incarnation.0 << ROUND_BITS,
            pulls: BTreeMap::new(),
            list_pull_ms: None,
        }
    }

    /// Readings of a value.
    pub fn read(&self, key: ConfigKey) -> &ReadState {
        match key {
            ConfigKey::Base => &self.base,
            ConfigKey::Overlay => &self.overlay,
        }
    }

    /// Readings of a value.
    pub fn read_mut(&mut self, key: ConfigKey) -> &mut ReadState {
        match key {
            ConfigKey::Base => &mut self.base,
            ConfigKey::Overlay => &mut self.overlay,
        }
    }

    /// Whether the configuration service failed this host the last time.
    pub fn reads_fail(&self) -> bool {
        self.base.failures > 0 || self.overlay.failures > 0
    }

    /// Whether a version is to be asked for now, and not already on its way.
    pub fn start_pull(&mut self, now_ms: Millis, key: ConfigKey, version: Version) -> bool {
        self.pulls.retain(|_, asked_ms| now_ms.since(*asked_ms) < PULL_AGAIN_AFTER_MS);
        if self.pulls.len() >= MAX_PULLS || self.pulls.contains_key(&(key, version)) {
            return false;
        }
        self.pulls.insert((key, version), now_ms);
        true
    }

    /// Whether the host list is to be asked for now, and not already on its way.
    pub fn start_list_pull(&mut self, now_ms: Millis) -> bool {
        let asked = self.list_pull_ms.is_some_and(|ms| now_ms.since(ms) < PULL_AGAIN_AFTER_MS);
        if !asked {
            self.list_pull_ms = Some(now_ms);
        }
        !asked
    }

    /// When something here is due.
    pub fn due_ms(&self) -> Millis {
        let ask_ms = self.confirmation.as_ref().map(Confirmation::ask_ms);
        let reads_ms = self.base.due_ms().min(self.overlay.due_ms());
        reads_ms.min(ask_ms.unwrap_or(Millis::MAX))
    }
}
