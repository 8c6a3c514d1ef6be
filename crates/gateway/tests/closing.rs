//! Ends of callers' connections: a request gets its response, or was not read.
#![allow(clippy::unwrap_used)]

mod support;

use dispatch::ShutdownSchedule;
use domain::Millis;
use gateway::run::Gateway;
use rstest::rstest;
use std::time::Duration;
use support::caller::{Caller, get, post};
use support::upstream::{Behaviour, StandInUpstream};
use support::{caller_address, on_one_thread, ready, routing, wait_until};

/// Begins the part of a stop in which idle connections are closed.
fn close_idle(gateway: &Gateway) {
    let host = gateway.host();
    let time_to_kill_ms = host.settings.borrow().limits.stop_ms;
    host.shutdown.begin(ShutdownSchedule::begin(host.now_ms(), time_to_kill_ms));
    host.shutdown.close_idle();
}

/// The `caller-closed` lines of the log.
fn closed(gateway: &Gateway) -> Vec<serde_json::Value> {
    let log = gateway.host().log.take_buffered();
    let lines = log.lines().map(|line| serde_json::from_str::<serde_json::Value>(line).unwrap());
    lines.filter(|line| line["event"] == "caller-closed").collect()
}

/// Guards against a stop that drops a request of which the host had read a part.
#[rstest]
#[case::half_a_head(20)]
#[case::a_head_without_its_end(100)]
#[case::half_a_body(-3)]
fn a_request_that_is_being_read_at_a_stop_is_served(#[case] cut: isize) {
    on_one_thread(async move {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _published) = ready(&[&upstream]).await;
        let request = post("/once/x", "id-1", "a whole order");
        let at = match usize::try_from(cut) {
            Ok(from_start) => from_start,
            Err(_) => request.len() - cut.unsigned_abs(),
        };
        let (first, rest) = request.split_at(at);
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        caller.send(first).await;
        // The host has read it.
        tokio::time::sleep(Duration::from_millis(50)).await;
        close_idle(&gateway);
        tokio::time::sleep(Duration::from_millis(50)).await;
        caller.send(rest).await;
        let got = caller.receive().await.expect("an answer or a refusal");
        assert_eq!((got.status, got.id.as_str(), got.closes), (200, "id-1", true));
        assert_eq!(upstream.requests()[0].body, "a whole order");
    });
}

/// Guards against a body that comes a byte at a time, for as long as its caller likes. Callers may
/// be idle for 100 ms here.
#[test]
fn a_body_that_comes_too_slowly_is_refused() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, published) = ready(&[&upstream]).await;
        let mut routing = routing(2);
        routing.limits.idle_timeout_ms = Millis(100);
        published.write_routing(routing);
        let limits = || gateway.host().table.borrow().as_ref().map(|it| it.routing().limits);
        let is_in_force = || limits().is_some_and(|limits| limits.idle_timeout_ms == Millis(100));
        wait_until("it is in force", is_in_force).await;
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        let request = post("/once/x", "id-1", &"x".repeat(200));
        let (head, body) = request.split_at(request.len() - 200);
        caller.send(head).await;
        for byte in body.split_inclusive('x') {
            if caller.stream.try_write(byte.as_bytes()).is_err() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let got = caller.receive().await.expect("a refusal");
        assert_eq!((got.status, got.cause.as_str()), (408, "slow-request"));
        assert!(upstream.requests().is_empty());
    });
}

/// Guards against a stop that drops a request which arrives in the same moment.
#[test]
fn a_request_that_arrives_with_the_stop_is_served() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _published) = ready(&[&upstream]).await;
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        assert_eq!(caller.exchange(&get("/any/x", "id-1")).await.status, 200);
        // Without an await in between, the host learns of both at once.
        let late = get("/any/x", "id-2");
        assert_eq!(caller.stream.try_write(late.as_bytes()).unwrap(), late.len());
        close_idle(&gateway);
        let got = caller.receive().await.expect("an answer or a refusal");
        assert_eq!((got.status, got.id.as_str(), got.closes), (200, "id-2", true));
    });
}

/// Guards against reading and dropping a request that was delayed until its idle connection ended:
/// its caller could not tell whether it ran.
#[test]
fn a_request_that_arrives_after_the_end_of_its_idle_connection_is_not_read() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _published) = ready(&[&upstream]).await;
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        assert_eq!(caller.exchange(&get("/any/x", "id-1")).await.status, 200);
        close_idle(&gateway);
        assert!(caller.receive().await.is_none());
        caller.send(&post("/once/x", "id-2", "{}")).await;
        let is_closed = || gateway.host().open_caller_connections.get() == 0;
        wait_until("it is closed", is_closed).await;
        let closed = closed(&gateway);
        assert_eq!(closed.len(), 1, "{closed:?}");
        assert_eq!(
            (&closed[0]["end"], &closed[0]["dropped_bytes"]),
            (&"stopping".into(), &0.into())
        );
        // The reset shows that nothing was read.
        let is_reset = || caller.stream.try_write(b"x").is_err();
        wait_until("the connection is reset", is_reset).await;
        assert_eq!(upstream.requests().len(), 1);
    });
}

/// Guards against a request that runs though its caller has left and the upstream to which it had
/// been sent did not run it.
#[test]
fn a_request_that_did_not_run_is_not_sent_again_for_a_caller_that_left() {
    on_one_thread(async {
        let upstreams = [StandInUpstream::start("i-1").await, StandInUpstream::start("i-2").await];
        upstreams.iter().for_each(|it| it.set_work_ms(150));
        upstreams.iter().for_each(|it| it.add_to_script([Behaviour::NotRun]));
        let (gateway, _published) = ready(&[&upstreams[0], &upstreams[1]]).await;
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        caller.send(&post("/once/x", "id-1", "{}")).await;
        let sent = || upstreams.iter().map(|it| it.requests().len()).sum::<usize>();
        wait_until("it was sent", || sent() == 1).await;
        drop(caller);
        wait_until("it has ended", || gateway.host().open_requests.get() == 0).await;
        assert_eq!(sent(), 1);
    });
}
