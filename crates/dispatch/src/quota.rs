//! Keeps the requests of each organisation within its quota, over all hosts together.
//!
//! One host owns each quota ([`QuotaOwner`]) and is asked for a token with each request. The owner
//! estimates which part of the fleet it reaches ([`Reach`]) and grants that part of the rate, so the
//! parts of a split fleet stay within the tolerance together. A host that reaches no owner goes on
//! with a share of its own ([`QuotaClient`]).

mod client;
mod message;
mod owner;
mod ownership;
mod reach;
mod token_bucket;

pub use client::QuotaClient;
pub use message::{QuotaMessage, Verdict};
pub use owner::{QuotaDump, QuotaOwner};
pub use ownership::candidates;
pub use reach::{PING_INTERVAL_MS, Ping, Reach};

use domain::{Millis, Share};
use published::Quota;

/// By how much the fleet may exceed a quota in a window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaTolerance {
    /// Part of the requests that a quota allows in a window.
    pub over: Share,
    /// Further requests in each window.
    pub slack: f64,
    /// Length of the window.
    pub window_ms: Millis,
}

impl QuotaTolerance {
    /// Requests beyond a quota that are allowed in a window.
    pub fn allowance(&self, quota: Quota) -> f64 {
        let window_s = self.window_ms.as_f64() / 1_000.0;
        let allowed = quota.rate.0 * window_s + f64::from(quota.burst);
        allowed * self.over.0 + self.slack
    }
}

/// Part of the allowance that hosts without an owner may start with together, and again by which a
/// bucket may exceed the burst.
const ALLOWANCE_PART: f64 = 0.2;

/// Time after which an organisation without requests is forgotten.
const UNUSED_MS: Millis = Millis(60_000);
