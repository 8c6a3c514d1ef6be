//! The operators' page names every metric and every cause.
#![allow(clippy::unwrap_used)]

use daemon::edge::EdgeRefusal;
use daemon::metrics::{CallOutcome, Direction, Metrics};
use decision_core::{AttemptEnd, RefusalCause};
use http::header;
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
    metrics.call(CallOutcome::Answered, Duration::ZERO);
    metrics.refusal("x".to_owned());
    metrics.attempt(AttemptEnd::Completed);
    metrics.probe();
    metrics.control_bytes(Direction::In, 1);
    metrics.peer_message_refused("x");
    metrics.peer_messages_dropped(1);
    metrics.platform_read();
    let (page, rendered) = (page(), metrics.render());
    let types = rendered.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let names: Vec<&str> = types.filter_map(|line| line.split(' ').next()).collect();
    assert_eq!(names.len(), 9, "{names:?}");
    for name in names {
        let rows = [format!("| `{name}` |"), format!("| `{name}{{")];
        assert!(rows.iter().any(|row| page.contains(row)), "{name}");
    }
}

#[rstest]
fn page_states_every_cause_with_its_status(
    #[values(
        RefusalCause::NoRoute,
        RefusalCause::NotConfigured,
        RefusalCause::TooDeep,
        RefusalCause::HostFull,
        RefusalCause::QueueFull,
        RefusalCause::CallerShare,
        RefusalCause::WouldExpire,
        RefusalCause::Expired,
        RefusalCause::NoUpstream,
        RefusalCause::UpstreamRefused,
        RefusalCause::UpstreamFailed,
        RefusalCause::Stopping,
        RefusalCause::DuplicateKey,
        RefusalCause::KeyUnconfirmed
    )]
    cause: RefusalCause,
) {
    check_row(&cause.to_string(), cause.status());
}

#[rstest]
fn page_states_every_cause_at_the_edge_with_its_status(
    #[values(
        EdgeRefusal::BodyTooLarge { max_bytes: 1 },
        EdgeRefusal::BodyCut,
        EdgeRefusal::Header(header::HOST),
        EdgeRefusal::Target,
        EdgeRefusal::HttpVersion,
        EdgeRefusal::Upgrade,
        EdgeRefusal::Internal
    )]
    refusal: EdgeRefusal,
) {
    check_row(refusal.cause(), refusal.status().as_u16());
}

fn check_row(cause: &str, status: u16) {
    let row = format!("| `{cause}` | {status} |");
    assert!(page().contains(&row), "{row}");
}
