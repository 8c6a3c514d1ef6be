//! Moving average of the load that the upstreams of a service report.
//!
//! An upstream without a recent report is assumed to be like those that reported. In quiet times
//! that makes it worth a probe; when all are full, an upstream with an old report doesn't count as
//! idle.

use crate::LoadReport;

/// Weight of one report in the moving averages: some twenty count, a second's worth at a busy host.
const REPORT_WEIGHT: f64 = 0.05;

/// Slowness before the first report: between an undisturbed upstream's and the mean where a quarter
/// are slowed down seven times.
const INITIAL_SLOWNESS: f64 = 1.8;

/// Recent load of the upstreams of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceLoad {
    /// Service time, in multiples of the baseline.
    pub slowness: f64,
    /// Requests of other hosts, processed or queued, per slot.
    pub others_per_slot: f64,
}

impl Default for ServiceLoad {
    fn default() -> ServiceLoad {
        ServiceLoad { slowness: INITIAL_SLOWNESS, others_per_slot: 0.0 }
    }
}

impl ServiceLoad {
    /// Records a report; `in_flight` of its requests are this host's own.
    pub fn record(&mut self, report: &LoadReport, in_flight: u32) {
        let slots = f64::from(report.slots.0.max(1));
        self.slowness += (report.slowness() - self.slowness) * REPORT_WEIGHT;
        self.others_per_slot +=
            (other_requests(report, in_flight) / slots - self.others_per_slot) * REPORT_WEIGHT;
    }
}

/// Requests in a report beyond this host's own.
pub(crate) fn other_requests(report: &LoadReport, in_flight: u32) -> f64 {
    f64::from((report.running + report.waiting).saturating_sub(in_flight))
}
