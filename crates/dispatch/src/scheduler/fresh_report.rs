//! Load reports that are recent enough to place requests by.

use crate::LoadReport;
use crate::upstream::UpstreamState;
use domain::Millis;

/// Age up to which a report is as good as a probe: the load of upstreams shifts within 300 to 500 ms,
/// so one in forty has changed since.
const FRESH_MS: Millis = Millis(25);

/// The upstream's last report, if it is recent enough.
pub(super) fn fresh_report(state: &UpstreamState, now_ms: Millis) -> Option<LoadReport> {
    let report = state.report(now_ms).filter(|(_, age_ms)| *age_ms <= FRESH_MS);
    report.map(|(report, _)| report)
}
