//! A host whose machine was suspended must count the suspended time in deadlines, timeouts and the age
//! of its state.
//!
//! The tests move the clock as a suspension does: time passes, but the runtime's timers don't advance.
#![allow(clippy::unwrap_used)]

mod support;

use clock::testing::suspend;
use rstest::rstest;
use std::time::{Duration, Instant};
use support::caller::{Caller, get, post};
use support::upstream::{Behaviour, StandInUpstream};
use support::{caller_address, fleet, on_one_thread, published, ready, wait_until};

/// Longer than any deadline and objective of the routes.
const SECONDS: Duration = Duration::from_secs(6);

/// Much less than the rest of a deadline when the machine was suspended.
const AT_ONCE: Duration = Duration::from_millis(500);

/// A request that expired while it waited for an upstream is not sent.
#[rstest]
#[case::idempotent(get("/any/x", "id-1"))]
#[case::at_most_once(post("/once/x", "id-1", "{}"))]
fn an_expired_request_is_not_sent(#[case] request: String) {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        upstream.set_load("6,6,6,100");
        let (gateway, _published) = ready(&[&upstream]).await;
        let address = caller_address(&gateway);
        let asked = upstream.probes();
        let asking = async { Caller::connect(address).await.exchange(&request).await };
        let suspending = async {
            wait_until("it probes for capacity", || upstream.probes() > asked).await;
            suspend(SECONDS);
            upstream.set_load("0,0,6,100");
        };
        let (got, ()) = tokio::join!(asking, suspending);
        assert_eq!((got.status, got.cause.as_str()), (503, "expired"), "{got:?}");
        assert!(upstream.requests().is_empty());
    });
}

/// A request in flight gets its final response as soon as the machine resumes.
#[test]
fn an_expired_request_in_flight_is_answered_at_once() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _published) = ready(&[&upstream]).await;
        upstream.add_to_script([Behaviour::NoResponse, Behaviour::NoResponse]);
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        caller.send(&post("/once/x", "id-1", "{}")).await;
        wait_until("it arrived", || !upstream.requests().is_empty()).await;
        suspend(SECONDS);
        let begun = Instant::now();
        assert_eq!(caller.receive().await.unwrap().status, 504);
        assert!(begun.elapsed() < AT_ONCE, "{:?}", begun.elapsed());
    });
}

/// An idle connection ages: an at-most-once request gets a new one.
#[test]
fn an_idle_connection_ages() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _published) = ready(&[&upstream]).await;
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        assert_eq!(caller.exchange(&get("/any/x", "id-1")).await.status, 200);
        assert!(!gateway.host().pool.borrow().is_empty());
        let before = upstream.connections();
        suspend(Duration::from_secs(9));
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        assert_eq!(caller.exchange(&post("/once/x", "id-2", "{}")).await.status, 200);
        assert!(
            upstream.connections() > before,
            "it was sent on a connection that was idle for 9 s"
        );
    });
}

/// The published state and upstreams' load reports age.
#[test]
fn state_and_load_reports_age() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _published) = ready(&[&upstream]).await;
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        caller.exchange(&get("/any/x", "id-1")).await;
        let host = gateway.host();
        let report_age_ms = || {
            let upstreams = host.upstreams.borrow();
            let known = upstreams.get(&"i-1".parse().unwrap()).unwrap();
            known.report(host.now_ms()).unwrap().1
        };
        assert!(report_age_ms().0 < 6_000);
        suspend(SECONDS);
        assert!(report_age_ms().0 >= 6_000);
        assert!(host.state_age_ms().unwrap().0 >= 6_000);
        wait_until("it was read again", || host.state_age_ms().unwrap().0 < 3_000).await;
    });
}

/// A caller's connection that was idle during the suspension is closed at once.
#[test]
fn a_callers_idle_connection_ages() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _published) = ready(&[&upstream]).await;
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        assert_eq!(caller.exchange(&get("/any/x", "id-1")).await.status, 200);
        suspend(Duration::from_secs(11));
        let begun = Instant::now();
        assert!(caller.receive().await.is_none());
        assert!(begun.elapsed() < AT_ONCE, "{:?}", begun.elapsed());
    });
}

/// The host doesn't drop its peers after the suspension.
#[test]
fn peers_are_not_dropped() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let published = published(&[&upstream]);
        let hosts = fleet(3, &published).await;
        suspend(Duration::from_secs(120));
        // Some rounds of the periodic maintenance, which runs twice a second.
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_millis(1_200) {
            assert_eq!(hosts[0].host().host_count(), 3);
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
}
