//! What can go wrong in an upstream.

use crate::upstream::Load;
use domain::{Millis, Share};
use serde::{Deserialize, Serialize};

/// Faults of an upstream; the default is none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamFaults {
    /// Part of the requests answered at once by a 500, outside the slots. Counted as run.
    pub fail_fast_share: Share,
    /// Work takes this many times longer.
    pub slow_factor: f64,
    /// Work hangs this long before it goes on, in its slot.
    pub stall_ms: Millis,
    /// Part of the answers whose connection closes in the middle of the body.
    pub cut_answer_share: Share,
    /// Part of the requests that run and are then closed without any answer.
    pub close_before_answer_share: Share,
    /// How many of the next connections are closed as soon as they are accepted.
    pub close_on_accept: u32,
    /// Every request is answered by a 302 to this location and does not run.
    pub redirect: Option<String>,
    /// Reported instead of the real load.
    pub lie_load: Option<Load>,
    /// Reported instead of the real health.
    pub lie_health: Option<Health>,
    /// The load is reported as it was this long ago.
    pub late_load_ms: Millis,
    /// Part of the answers whose text stops half way although its length is declared so.
    pub truncated_content_share: Share,
    /// Answers are sent chunked, without a declared length.
    pub chunked: bool,
    /// A neighbour on the same machine steals time now and then.
    pub noisy: Option<Noise>,
}

impl Default for UpstreamFaults {
    fn default() -> UpstreamFaults {
        UpstreamFaults {
            fail_fast_share: Share(0.0),
            slow_factor: 1.0,
            stall_ms: Millis::ZERO,
            cut_answer_share: Share(0.0),
            close_before_answer_share: Share(0.0),
            close_on_accept: 0,
            redirect: None,
            lie_load: None,
            lie_health: None,
            late_load_ms: Millis::ZERO,
            truncated_content_share: Share(0.0),
            chunked: false,
            noisy: None,
        }
    }
}

/// What an upstream says of its health.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// It works.
    Serving,
    /// It has just started and is slow.
    Starting,
    /// It drains.
    Leaving,
    /// It says 500.
    Unhealthy,
}

/// A neighbour that steals time in regular bursts.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Noise {
    /// From the start of one burst to the start of the next.
    pub every_ms: Millis,
    /// Length of a burst.
    pub for_ms: Millis,
    /// Work that starts in a burst takes this many times longer.
    pub factor: f64,
}

impl Noise {
    /// The factor in force this long after the start.
    pub(crate) fn factor_at(self, elapsed_ms: Millis) -> f64 {
        match elapsed_ms.0.checked_rem(self.every_ms.0) {
            Some(into_period) if into_period < self.for_ms.0 => self.factor,
            _ => 1.0,
        }
    }
}
