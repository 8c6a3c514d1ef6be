//! Detects that a process did not run for a while: its machine was suspended, or it was stopped.

use crate::Millis;

/// Shortest gap between two records that counts as a suspension. Records come twice a second.
const MIN_SUSPENSION_MS: Millis = Millis(2_000);

/// Measures the gaps between the times at which a process recorded that it runs.
#[derive(Debug, Default)]
pub struct SuspensionDetector {
    last_awake_ms: Option<Millis>,
}

impl SuspensionDetector {
    /// Whether [`SuspensionDetector::record_awake`] was ever called.
    pub fn has_record(&self) -> bool {
        self.last_awake_ms.is_some()
    }

    /// Records that the process runs now. Returns for how long it was suspended since the
    /// last record, or zero if it wasn't.
    pub fn record_awake(&mut self, now_ms: Millis) -> Millis {
        let since_ms =
            self.last_awake_ms.replace(now_ms).map_or(Millis::ZERO, |at_ms| now_ms.since(at_ms));
        if since_ms >= MIN_SUSPENSION_MS { since_ms } else { Millis::ZERO }
    }
}
