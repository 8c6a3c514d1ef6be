//! Load reports of upstreams.

use domain::Slots;
use serde::{Deserialize, Serialize};

/// Load of an upstream when it answered.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests being processed.
    pub running: u32,
    /// Requests queued at the upstream.
    pub waiting: u32,
    /// Requests that it can process at once.
    pub slots: Slots,
    /// Service time there at that moment, in percent of the baseline.
    pub slowness_percent: u32,
}

const BASELINE_PERCENT: f64 = 100.0;

/// Lower slowness is taken for a faulty report.
pub(crate) const MIN_SLOWNESS: f64 = 0.1;

impl LoadReport {
    /// Service time there, in multiples of the baseline.
    pub fn slowness(&self) -> f64 {
        f64::from(self.slowness_percent) / BASELINE_PERCENT
    }
}
