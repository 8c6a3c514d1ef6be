//! An upstream restarts under its id while requests are in flight to its former run.
#![allow(clippy::unwrap_used)]

mod support;

use gateway::run::Gateway;
use rstest::rstest;
use std::time::{Duration, Instant};
use support::caller::{Caller, get, post};
use support::source::Published;
use support::upstream::{Behaviour, StandInUpstream};
use support::{caller_address, on_one_thread, routing, run_item, settings, start, wait_until};

/// A gateway in front of one upstream whose run started at 100 ms.
async fn gateway_before_restart(former: &StandInUpstream) -> (Gateway, Published) {
    let published = Published::default();
    published.write_routing(routing(1));
    published.write("servers", run_item("i-1", former.address(), 100));
    let gateway = start(settings(&[]), &published).await;
    wait_until("it is ready", || gateway.host().is_ready()).await;
    (gateway, published)
}

/// Sends a request whose upstream does not respond and restarts. Returns the status, and how often
/// that upstream and a busier one received the request.
async fn request_across_a_restart(request: String, later_start_ms: u64) -> (u16, usize, usize) {
    let (former, later) =
        (StandInUpstream::start("i-1").await, StandInUpstream::start("i-1").await);
    let other = StandInUpstream::start("i-2").await;
    other.set_load("5,0,6,100");
    let (gateway, published) = gateway_before_restart(&former).await;
    published.write("servers", run_item("i-2", other.address(), 100));
    wait_until("both are known", || gateway.host().published_state().upstreams().count() == 2)
        .await;
    former.add_to_script([Behaviour::NoResponse]);
    let mut caller = Caller::connect(caller_address(&gateway)).await;
    let restarting = async {
        wait_until("it was sent", || !former.requests().is_empty()).await;
        published.write("servers", run_item("i-1", later.address(), later_start_ms));
    };
    let (got, ()) = tokio::join!(caller.exchange(&request), restarting);
    (got.status, former.requests().len() + later.requests().len(), other.requests().len())
}

#[rstest]
#[case::at_most_once(post("/once/x", "id-1", "{}"), 502, 0)]
#[case::idempotent(get("/any/x", "id-1"), 200, 1)]
fn requests_to_the_former_run_may_have_run(
    #[case] request: String,
    #[case] status: u16,
    #[case] elsewhere: usize,
) {
    on_one_thread(async {
        let start = Instant::now();
        assert_eq!(request_across_a_restart(request, 200).await, (status, 1, elsewhere));
        // The final response comes before the caller's deadline.
        assert!(start.elapsed() < Duration::from_millis(1_000), "{:?}", start.elapsed());
    });
}

#[test]
fn late_entries_of_an_earlier_run_are_ignored() {
    on_one_thread(async {
        let (status, sent, elsewhere) =
            request_across_a_restart(post("/once/x", "id-1", "{}"), 50).await;
        assert_eq!((status, sent, elsewhere), (504, 1, 0));
    });
}

#[test]
fn idle_connections_to_the_former_run_are_not_reused() {
    on_one_thread(async {
        let (former, later) =
            (StandInUpstream::start("i-1").await, StandInUpstream::start("i-1").await);
        let (gateway, published) = gateway_before_restart(&former).await;
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        assert_eq!(caller.exchange(&get("/any/x", "id-1")).await.status, 200);
        assert!(!gateway.host().pool.borrow().is_empty());
        published.write("servers", run_item("i-1", later.address(), 200));
        wait_until("the restart is known", || gateway.host().pool.borrow().is_empty()).await;
        assert_eq!(caller.exchange(&post("/once/x", "id-2", "{}")).await.status, 200);
        assert_eq!((former.requests().len(), later.requests().len()), (1, 1));
    });
}
