//! What an upstream tells of its load.

use domain::Slots;
use serde::Serialize;

/// Load of an upstream at the moment it answered.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
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
