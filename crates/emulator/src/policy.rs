//! By what requests find their upstream.

use serde::{Deserialize, Serialize};

/// A rule of placing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The product's scheduler, over a network that takes its time.
    Scheduled,
    /// A queue that sees every upstream as it is, places at no cost, and knows how upstreams
    /// slow down; it does not know when neighbours will come.
    PerfectQueue,
    /// Any upstream.
    Random,
    /// The emptier of two, as it is at that moment.
    TwoChoices,
}

impl Policy {
    /// All of them.
    pub const ALL: [Policy; 4] =
        [Policy::Scheduled, Policy::PerfectQueue, Policy::Random, Policy::TwoChoices];
}
