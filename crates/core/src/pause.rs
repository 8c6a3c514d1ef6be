//! Pauses of this process.
//!
//! A stopped process does not notice. It wakes up and believes its last view of the
//! world, so the first sign is a jump of the clock between two events. A running host is
//! never without an event for longer than a heartbeat takes.

use crate::membership::HEARTBEAT_EVERY_MS;
use domain::Millis;
use serde::Serialize;

/// Time without any event that is taken for a pause.
pub const PAUSED_AFTER_MS: Millis = Millis(HEARTBEAT_EVERY_MS.0 * 2);

/// When this process was last paused.
#[derive(Debug, Clone, Serialize)]
pub struct PauseWatch {
    last_event_ms: Millis,
    resumed_ms: Option<Millis>,
    pauses: u64,
}

impl PauseWatch {
    /// A process that starts now.
    pub fn new(now_ms: Millis) -> PauseWatch {
        PauseWatch { last_event_ms: now_ms, resumed_ms: None, pauses: 0 }
    }

    /// Notes an event. Returns the length of the pause that it ended, if it ended one.
    pub fn note_event(&mut self, now_ms: Millis) -> Option<Millis> {
        let gap_ms = now_ms.since(self.last_event_ms);
        self.last_event_ms = self.last_event_ms.max(now_ms);
        if gap_ms < PAUSED_AFTER_MS {
            return None;
        }
        self.resumed_ms = Some(now_ms);
        self.pauses += 1;
        Some(gap_ms)
    }

    /// When the process last woke up from a pause.
    pub fn resumed_ms(&self) -> Option<Millis> {
        self.resumed_ms
    }

    /// Whether the process woke up from a pause less than `span_ms` ago.
    pub fn resumed_within(&self, now_ms: Millis, span_ms: Millis) -> bool {
        self.resumed_ms.is_some_and(|resumed_ms| now_ms.since(resumed_ms) < span_ms)
    }
}
