//! Policies that choose an upstream for each request.

use serde::{Deserialize, Serialize};

/// How an upstream is chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The load balancer's scheduler, reached over a network with delay.
    Scheduled,
    /// An ideal queue without network delay: it sees the current state of every upstream and
    /// knows how load slows it down, but not when noisy neighbours will start.
    PerfectQueue,
    /// A random upstream.
    Random,
    /// Of two random upstreams the one with fewer running requests at that moment.
    TwoChoices,
}

impl Policy {
    /// All policies.
    pub const ALL: [Policy; 4] =
        [Policy::Scheduled, Policy::PerfectQueue, Policy::Random, Policy::TwoChoices];
}
