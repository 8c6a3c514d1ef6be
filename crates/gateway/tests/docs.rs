//! The operators' page lists all metrics, and all causes of refusals with their status.
#![allow(clippy::unwrap_used)]

use dispatch::attempts::Cause;
use dispatch::rejections::RejectionState;
use dispatch::scheduler::QueueFigures;
use domain::ByteCount;
use gateway::event_log::RetryCharge;
use gateway::memory::HeldFor;
use gateway::metrics::{Metrics, StateFigures, TunnelResult};
use rstest::rstest;
use std::path::Path;
use std::time::Duration;

fn page() -> String {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    std::fs::read_to_string(page).unwrap()
}

#[test]
fn page_names_every_metric() {
    let metrics = Metrics::new().unwrap();
    metrics.response_forwarded("r", 200, Duration::from_millis(3));
    metrics.request_refused("r", Cause::NoRoute);
    let service = "orders".parse().unwrap();
    metrics.attempt_sent(&service, Some(RetryCharge::Charged));
    metrics.retry_denied(&service);
    metrics.probe_sent();
    metrics.connection_opened();
    metrics.peer_bytes_sent(3);
    metrics.tunnel_requested(TunnelResult::Opened);
    metrics.caller_hung_up();
    metrics.body_passed_on();
    metrics.upstream_broke_off(true);
    let state_age = Some(Duration::ZERO);
    let values = StateFigures {
        source_calls: 1,
        budget_hosts: 1,
        log_lines_dropped: 0,
        open_requests: 0,
        quarantined: 0,
        evacuated_zones: 0,
        cold_upstreams: 0,
        excluded_upstreams: 0,
        unreached_upstreams: 0,
        upstream_silence: Some(Duration::ZERO),
        links_down: 0,
        open_tunnels: 0,
        limited_upstreams: 0,
        backing_off: 0,
        leaving_upstreams: 0,
        queue: QueueFigures::default(),
        unread_headers: 0,
        held_bytes: [0; HeldFor::ALL.len()],
        memory_bytes: Some(ByteCount(1)),
        resident_bytes: Some(ByteCount(1)),
        state_age,
    };
    metrics.record_state(&values);
    let (page, text) = (page(), metrics.render());
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let names: Vec<&str> = types.filter_map(|line| line.split(' ').next()).collect();
    assert_eq!(names.len(), 36, "{names:?}");
    for name in names {
        assert!(page.contains(&format!("`{name}`")), "{name}");
    }
}

/// Guards against a metric that operators can't look up.
#[test]
fn page_names_the_metric_of_rejections() {
    let metrics = Metrics::new().unwrap();
    metrics.refused_after_rejections(RejectionState::Full);
    let name = "gateway_refusals_after_rejections_total";
    assert!(metrics.render().contains(name) && page().contains(name));
}

#[rstest]
fn page_states_every_cause_with_its_status(
    #[values(
        Cause::NotConfigured,
        Cause::NoRoute,
        Cause::UnknownKey,
        Cause::KeyUnconfirmed,
        Cause::OverQuota,
        Cause::QuotaUnconfirmed,
        Cause::NoUpstream,
        Cause::ZonesEvacuated,
        Cause::UpstreamsLimited,
        Cause::Overloaded,
        Cause::UpstreamsRefused,
        Cause::CrashesUpstreams,
        Cause::Expired,
        Cause::Stopping,
        Cause::UpstreamFailed,
        Cause::TimedOut
    )]
    cause: Cause,
) {
    let row = format!("| `{}` | {} |", cause.as_str(), cause.status());
    assert!(page().contains(&row), "{row}");
}
