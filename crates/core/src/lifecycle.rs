//! The stop of this entry host.
//!
//! Readiness fails first; calls that still come in during the notice are served, so
//! that a balancer which lags costs nobody a request; the process may end once the
//! notice has passed and no call is left.

use domain::Millis;
use serde::Serialize;

/// Notices after which calls that still come are refused.
const REFUSE_AFTER_NOTICES: u64 = 10;

/// Where the host stands between start and stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Lifecycle {
    /// Serving, or about to.
    Running,
    /// Asked to stop.
    Stopping {
        /// When it was asked.
        since_ms: Millis,
    },
    /// Done; nothing comes any more.
    Stopped,
}

impl Lifecycle {
    /// Asks for the stop; a second time changes nothing. Returns whether it was the first.
    pub fn request_stop(&mut self, now_ms: Millis) -> bool {
        let first = *self == Lifecycle::Running;
        if first {
            *self = Lifecycle::Stopping { since_ms: now_ms };
        }
        first
    }

    /// Whether the host is on its way out.
    pub fn is_leaving(self) -> bool {
        self != Lifecycle::Running
    }

    /// Whether calls that come in now are refused.
    pub fn refuses_calls(self, now_ms: Millis, notice_ms: Millis) -> bool {
        match self {
            Lifecycle::Running => false,
            Lifecycle::Stopping { since_ms } => {
                now_ms.since(since_ms) >= Millis(notice_ms.0 * REFUSE_AFTER_NOTICES)
            }
            Lifecycle::Stopped => true,
        }
    }

    /// Ends the host if the notice has passed and no call is left. Returns whether it ended now.
    pub fn end_if_done(&mut self, now_ms: Millis, notice_ms: Millis, calls: usize) -> bool {
        let done = match *self {
            Lifecycle::Stopping { since_ms } => calls == 0 && now_ms.since(since_ms) >= notice_ms,
            Lifecycle::Running | Lifecycle::Stopped => false,
        };
        if done {
            *self = Lifecycle::Stopped;
        }
        done
    }
}
