//! The schedule of a planned stop, and until when it lets requests be sent.
//!
//! What is sent has to be answered before the process ends. That is certain for a request whose
//! final response is due by then. One that is due later is sent only early in the stop, and only if
//! it is expected to take far less than the time left: a caller that is refused can send it to
//! another host, and one whose request is cut can't know whether it ran.

use domain::Millis;

/// Time for the platform to notice that readiness failed: two checks a second apart, and the
/// network latency.
const READINESS_NOTICE_MS: Millis = Millis(2_300);

/// Time before the kill at which the process ends by itself.
const KILL_MARGIN_MS: Millis = Millis(350);

/// Time before the end by which responses must be ready, so that they are written.
const WRITE_TIME_MS: Millis = Millis(100);

/// A request that is due after the end is sent if this multiple of its expected duration is left.
const EXPECTED_DURATIONS: u64 = 2;

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

    /// When the last responses must be ready.
    pub fn last_response_ms(&self) -> Millis {
        self.ends_ms - WRITE_TIME_MS
    }

    /// Until when a request may be sent whose final response is due at `due_ms`, and which is
    /// expected to take `expected_ms`, if that is known.
    pub fn send_by_ms(&self, due_ms: Millis, expected_ms: Option<Millis>) -> Millis {
        if due_ms <= self.last_response_ms() {
            return due_ms;
        }
        let expected_ms = expected_ms.unwrap_or(Millis::ZERO);
        let longest_ms = Millis(expected_ms.0.saturating_mul(EXPECTED_DURATIONS));
        self.closes_idle_ms.min(self.last_response_ms() - longest_ms)
    }
}
