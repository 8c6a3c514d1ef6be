//! Time that passes for a thread by its own doing.
//!
//! A test that shares the processor with hundreds of others may be held up for longer than what it
//! measures. The kernel counts for how long a thread was ready to run and did not, so that time can
//! be left out; what is left is time in which it ran or waited for something.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

/// Measures time without that in which the thread was ready, but other threads ran.
pub struct ThreadTime {
    started: Instant,
    /// Time for which it was ready before.
    ready: Duration,
}

impl ThreadTime {
    pub fn start() -> ThreadTime {
        ThreadTime { started: Instant::now(), ready: ready_time() }
    }

    pub fn elapsed(&self) -> Duration {
        self.started.elapsed().saturating_sub(self.held_up())
    }

    /// For how long it was ready and other threads ran.
    pub fn held_up(&self) -> Duration {
        ready_time().saturating_sub(self.ready)
    }
}

/// Processor time of this thread, as the kernel counts it.
pub fn processor_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap();
    Duration::from_nanos(text.split(' ').next().unwrap().parse().unwrap())
}

/// For how long this thread was ready to run while others ran; zero if the kernel doesn't count it.
fn ready_time() -> Duration {
    let Ok(text) = std::fs::read_to_string("/proc/thread-self/schedstat") else {
        return Duration::ZERO;
    };
    let ready_ns = text.split_whitespace().nth(1).and_then(|number| number.parse().ok());
    Duration::from_nanos(ready_ns.unwrap_or_default())
}
