//! The process's one clock.
//!
//! Monotonic, in milliseconds since the process started. It runs on while the process is
//! stopped by a signal, so a process that wakes up late sees how late it is.

use domain::Millis;
use std::time::{Duration, Instant};

/// Milliseconds since the start of the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that stands at zero now.
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    /// The time.
    pub fn now(&self) -> Millis {
        Millis(u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// Time left until a point, zero if it has passed.
    pub fn until(&self, point: Millis) -> Duration {
        let point = Duration::from_millis(point.0.min(FAR_AHEAD_MS));
        point.saturating_sub(self.start.elapsed())
    }
}

/// Sleeps are cut here, so that a point that never comes can't overflow a timer.
const FAR_AHEAD_MS: u64 = 1000 * 60 * 60 * 24 * 365;
