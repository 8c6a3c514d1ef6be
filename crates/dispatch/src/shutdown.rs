//! The schedule of a planned stop.

use domain::Millis;

/// Time for the platform to notice that readiness failed: two checks a second apart, and the
/// network latency.
const READINESS_NOTICE_MS: Millis = Millis(2_300);

/// Time before the kill at which the process ends by itself.
const KILL_MARGIN_MS: Millis = Millis(350);

/// When a stopping process does what.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// It was asked to stop; readiness fails.
    pub begun_ms: Millis,
    /// New connections are refused, and idle ones are closed.
    pub closes_idle_ms: Millis,
    /// The process ends, whatever is still open.
    pub ends_ms: Millis,
}

impl ShutdownSchedule {
    /// The schedule of a stop that begins now, and may take this time until the process is killed.
    pub fn begin(now_ms: Millis, time_to_kill_ms: Millis) -> ShutdownSchedule {
        let longest_ms = time_to_kill_ms.since(KILL_MARGIN_MS);
        ShutdownSchedule {
            begun_ms: now_ms,
            closes_idle_ms: now_ms + READINESS_NOTICE_MS.min(longest_ms),
            ends_ms: now_ms + longest_ms,
        }
    }
}
