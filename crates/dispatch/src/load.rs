//! What an upstream tells of its load.

use domain::Slots;
use serde::{Deserialize, Serialize};

/// Load of an upstream at the moment it answered.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it can work on at once.
    pub slots: Slots,
    /// How long work takes there at this moment, in percent of the usual time.
    pub slowness_percent: u32,
}

/// Percent that stands for the usual working time.
const USUAL_PERCENT: f64 = 100.0;

/// Less slowness than this is taken for a fault of what told it.
pub(crate) const LEAST_SLOWNESS: f64 = 0.1;

impl LoadReport {
    /// How long work takes there, in times of the usual.
    pub fn slowness(&self) -> f64 {
        f64::from(self.slowness_percent) / USUAL_PERCENT
    }
}
