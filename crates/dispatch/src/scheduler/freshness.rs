//! What upstreams told just now.

use crate::LoadReport;
use crate::upstream::UpstreamState;
use domain::Millis;

/// A report of this age is as good as asking: the load of upstreams shifts within 300 to
/// 500 ms, so one in forty has changed since.
const FRESH_MS: Millis = Millis(25);

/// What an upstream told just now.
pub(super) fn just_told(known: &UpstreamState, now_ms: Millis) -> Option<LoadReport> {
    let report = known.report(now_ms).filter(|(_, age_ms)| *age_ms <= FRESH_MS);
    report.map(|(report, _)| report)
}
