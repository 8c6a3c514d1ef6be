//! A host whose own retries are spent asks the scheduler for one, and ends the request as before if
//! it gets none.
#![allow(clippy::unwrap_used)]

mod support;

use domain::Millis;
use gateway::run::Gateway;
use gateway::settings::Settings;
use rstest::rstest;
use std::time::Duration;
use support::caller::{Caller, get};
use support::upstream::{Behaviour, StandInUpstream};
use support::{LogsOnFailure, caller_address, on_one_thread, ready};

/// Loads of upstreams that are slowed down, one more than the other: the scheduler places requests,
/// at first on the faster one.
const LOADS: [&str; 2] = ["0,0,6,150", "0,0,6,600"];

/// Long enough for a slow machine: the test must end before it is over twice.
const WINDOW: Duration = Duration::from_secs(2);

/// Leaves the host one retry of its own.
fn without_slack(gateway: &Gateway) {
    let mut settings: Settings = gateway.host().settings.borrow().clone();
    settings.limits.retries.slack = 0.0;
    settings.limits.retries.window_ms = Millis(WINDOW.as_millis() as u64);
    gateway.host().reload(settings);
}

fn asked(gateway: &Gateway, is_granted: bool) -> bool {
    let series = format!("gateway_asked_repeats_total{{is_granted=\"{is_granted}\"");
    let text = gateway.host().metrics.render();
    text.lines().any(|line| line.starts_with(&series) && line.ends_with(" 1"))
}

/// Guards against retries that go unused at the scheduler, and against a request without a grant
/// that ends otherwise than one whose host had no retry left: as run though it didn't, as not run
/// though it may have, or without the upstream's own response.
#[rstest]
#[case::not_run(Behaviour::NotRun, 503, "upstreams-refused")]
#[case::broken(Behaviour::Reset, 502, "upstream-failed")]
#[case::error_response(Behaviour::Status(500), 500, "")]
fn a_retry_beyond_the_hosts_own_needs_a_grant(
    #[case] behaviour: Behaviour,
    #[case] status: u16,
    #[case] cause: &str,
) {
    on_one_thread(async {
        let upstreams = [StandInUpstream::start("i-1").await, StandInUpstream::start("i-2").await];
        upstreams.iter().zip(LOADS).for_each(|(upstream, load)| upstream.set_load(load));
        let (gateway, _) = ready(&[&upstreams[0], &upstreams[1]]).await;
        let _logs = LogsOnFailure::of([&gateway]);
        without_slack(&gateway);
        // A host that schedules lends itself nothing in its first window.
        tokio::time::sleep(WINDOW).await;
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        for round in 0..8 {
            assert_eq!(caller.exchange(&get("/any/x", &format!("id-{round}"))).await.status, 200);
        }
        let mut fails = async |id: &str| {
            upstreams[0].add_to_script([behaviour.clone()]);
            caller.exchange(&get("/any/x", id)).await
        };
        assert_eq!(fails("own").await.status, 200);
        assert!(!asked(&gateway, true));
        // Ten requests allow one retry of all hosts.
        assert_eq!(fails("granted").await.status, 200);
        assert!(asked(&gateway, true));
        let refused = fails("refused").await;
        assert_eq!((refused.status, refused.cause.as_str()), (status, cause));
        assert_eq!(refused.retry_after.is_some(), status == 503);
        assert!(asked(&gateway, false));
        let last = upstreams[1].requests().into_iter().map(|request| request.id);
        assert!(last.into_iter().all(|id| id != "refused"));
    });
}
