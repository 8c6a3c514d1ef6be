//! Whether a process stood still: its machine was suspended, or it was stopped.

use crate::Millis;

/// A process that was not seen awake for so long stood still; it looks twice a second.
const STOOD_STILL_MS: Millis = Millis(2_000);

/// When a process was last seen awake; never while nobody says so.
#[derive(Debug, Default)]
pub struct SuspensionDetector {
    awake_ms: Option<Millis>,
}

impl SuspensionDetector {
    /// Whether it was ever seen awake.
    pub fn has_record(&self) -> bool {
        self.awake_ms.is_some()
    }

    /// It is awake now; for how long it stood still before, nothing if it didn't.
    pub fn record_awake(&mut self, now_ms: Millis) -> Millis {
        let since_ms =
            self.awake_ms.replace(now_ms).map_or(Millis::ZERO, |at_ms| now_ms.since(at_ms));
        if since_ms >= STOOD_STILL_MS { since_ms } else { Millis::ZERO }
    }
}
