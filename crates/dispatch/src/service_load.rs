//! How loaded the upstreams of a service are at this time.
//!
//! An upstream of which nothing recent is known is taken to be like those that told of
//! themselves. In calm times that makes it worth asking; where all are full, an old report
//! doesn't fade to an idle upstream that is none: 0.027 of the worth of a fleet of 103 hosts
//! under bursts.

use crate::LoadReport;

/// Weight of one report: some twenty count, a second's worth at a busy host. With 0.02 the
/// worth of no deployment changed by more than its runs differ.
const REPORT_WEIGHT: f64 = 0.05;

/// Percent that stands for the usual working time.
const USUAL_PERCENT: f64 = 100.0;

/// Slowness before anything was told, between the usual and the mean where a quarter of the
/// upstreams works seven times slower.
const FIRST_SLOWNESS: f64 = 1.8;

/// The load that upstreams of a service told of late.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceLoad {
    /// How long work takes, in times of the usual.
    pub slowness: f64,
    /// Requests running and waiting, in times of the slots.
    pub occupied: f64,
}

impl Default for ServiceLoad {
    fn default() -> ServiceLoad {
        ServiceLoad { slowness: FIRST_SLOWNESS, occupied: 0.0 }
    }
}

impl ServiceLoad {
    /// An upstream told its load.
    pub fn note(&mut self, report: &LoadReport) {
        let slots = f64::from(report.slots.0.max(1));
        self.slowness += (told_slowness(report) - self.slowness) * REPORT_WEIGHT;
        let occupied = f64::from(report.running + report.waiting) / slots;
        self.occupied += (occupied - self.occupied) * REPORT_WEIGHT;
    }
}

/// Slowness that a report tells, in times of the usual.
pub(crate) fn told_slowness(report: &LoadReport) -> f64 {
    f64::from(report.slowness_percent) / USUAL_PERCENT
}
