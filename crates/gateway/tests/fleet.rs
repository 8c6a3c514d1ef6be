//! Several hosts share one source: what one host reads reaches all, also while the source fails.
#![allow(clippy::unwrap_used)]

mod support;

use domain::{Millis, Version};
use gateway::run::Gateway;
use gateway::source::SourceError;
use rstest::rstest;
use std::cell::RefCell;
use std::time::Duration;
use support::caller::{Caller, get};
use support::source::Published;
use support::thread_time::ThreadTime;
use support::upstream::StandInUpstream;
use support::{
    LogsOnFailure, caller_address, fleet, knows, on_one_thread, published, routing, service,
    settings, start, wait_until,
};

fn version(gateway: &Gateway) -> Option<Version> {
    let table = gateway.host().table.borrow();
    table.as_ref().map(|table| table.routing().version)
}

fn eligible_upstreams(gateway: &Gateway) -> usize {
    gateway.host().upstreams.borrow().count_eligible(&service())
}

#[test]
fn a_change_that_one_host_reads_reaches_all() {
    on_one_thread(async {
        let published = published(&[]);
        let hosts = fleet(5, &published).await;
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let before = published.calls();
        published.write_routing(routing(2));
        wait_until("it is in force", || hosts.iter().all(|h| version(h) == Some(Version(2)))).await;
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let calls = published.calls() - before;
        assert!(calls <= 8, "{calls} calls of five hosts in 1.5 s");
    });
}

/// Starts hosts in two availability zones; the first is the seed.
async fn fleet_of_two_zones(sizes: [(&str, usize); 2], published: &Published) -> Vec<Gateway> {
    let mut hosts = Vec::new();
    let mut seeds = Vec::new();
    for (zone, size) in sizes {
        for _ in 0..size {
            let mut own = settings(&seeds);
            own.availability_zone = zone.parse().unwrap();
            seeds.truncate(1);
            seeds.push(own.peers);
            own.seeds = vec![seeds[0].ip()];
            hosts.push(start(own, published).await);
        }
    }
    let all = hosts.len();
    wait_until("all know each other", || hosts.iter().all(|host| knows(host, all))).await;
    hosts
}

#[rstest]
#[case::small(2)]
#[case::larger_than_a_datagram(500)]
#[case::large_enough_to_limit_concurrent_replies(4_000)]
fn a_change_reaches_all_hosts_of_another_zone(#[case] routes: usize) {
    on_one_thread(async move {
        let published = published(&[]);
        let hosts = fleet_of_two_zones([("kariakoo", 4), ("temeke", 5)], &published).await;
        let _logs = LogsOnFailure::of(&hosts);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let before = published.calls();
        published.write_routing(large_routing(2, routes));
        wait_until("it is in force", || hosts.iter().all(|h| version(h) == Some(Version(2)))).await;
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let calls = published.calls() - before;
        assert!(calls <= 8, "{calls} calls of nine hosts in 1.5 s");
    });
}

fn large_routing(version: u64, routes: usize) -> published::Routing {
    let mut large = routing(version);
    for number in large.routes.len()..routes {
        let mut route = large.routes[0].clone();
        route.name = format!("route-{number}");
        route.prefix = format!("/p{number}/");
        large.routes.push(route);
    }
    large
}

#[test]
fn a_large_change_reaches_all_hosts() {
    on_one_thread(async {
        let published = published(&[]);
        let hosts = fleet(3, &published).await;
        published.write_routing(large_routing(2, 500));
        wait_until("it is in force", || hosts.iter().all(|h| version(h) == Some(Version(2)))).await;
    });
}

#[test]
fn all_hosts_know_of_joined_and_removed_upstreams() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let published = published(&[&upstream]);
        let hosts = fleet(3, &published).await;
        wait_until("all know it", || hosts.iter().all(|h| eligible_upstreams(h) == 1)).await;
        published.remove(&"i-1".parse().unwrap());
        wait_until("all know that it is gone", || hosts.iter().all(|h| eligible_upstreams(h) == 0))
            .await;
    });
}

#[test]
fn everything_is_read_again_once_the_history_is_gone() {
    on_one_thread(async {
        let published = published(&[]);
        let hosts = fleet(2, &published).await;
        published.write_routing(routing(2));
        published.forget_history();
        wait_until("it is in force", || hosts.iter().all(|h| version(h) == Some(Version(2)))).await;
    });
}

#[test]
fn requests_are_served_while_the_source_is_down_and_updates_resume_after() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let published = published(&[&upstream]);
        let hosts = fleet(2, &published).await;
        wait_until("both are ready", || hosts.iter().all(|h| eligible_upstreams(h) == 1)).await;
        published.fail(Some(SourceError::Refused { status: 503 }));
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        for host in &hosts {
            let got =
                Caller::connect(caller_address(host)).await.exchange(&get("/any/x", "id-1")).await;
            assert_eq!(got.status, 200);
        }
        published.write_routing(routing(2));
        published.fail(None);
        wait_until("it is in force", || hosts.iter().all(|h| version(h) == Some(Version(2)))).await;
        // A host that was reading when a peer told it says so once its own read ends.
        let log = RefCell::new(String::new());
        let has_logged = |event: &str| {
            log.borrow_mut().extend(hosts.iter().map(|h| h.host().log.take_buffered()));
            log.borrow().contains(&format!("\"event\":\"{event}\""))
        };
        wait_until("the loss is logged", || has_logged("source-lost")).await;
        wait_until("the recovery is logged", || has_logged("source-regained")).await;
    });
}

#[test]
fn without_a_routing_it_is_not_ready_and_sends_retry_after() {
    on_one_thread(async {
        let published = Published::default();
        published.fail(Some(SourceError::Unreachable("cut".to_owned())));
        let gateway = start(settings(&[]), &published).await;
        let got =
            Caller::connect(caller_address(&gateway)).await.exchange(&get("/any/x", "id-1")).await;
        assert_eq!((got.status, got.cause.as_str()), (503, "not-configured"));
        assert!(got.retry_after.is_some());
        assert!(!gateway.host().is_ready());
        published.fail(None);
        published.write_routing(routing(1));
        wait_until("it is ready", || gateway.host().is_ready()).await;
    });
}

/// Guards against holding a request for the first routing until after its caller's deadline.
#[test]
fn a_request_waits_for_the_first_routing_until_its_deadline() {
    on_one_thread(async {
        let published = Published::default();
        published.fail(Some(SourceError::Unreachable("cut".to_owned())));
        let gateway = start(settings(&[]), &published).await;
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        let hasty = get("/any/x", "id-1").replace("X-Deadline-Ms: 1200", "X-Deadline-Ms: 40");
        let time = ThreadTime::start();
        let got = caller.exchange(&hasty).await;
        assert_eq!((got.status, got.cause.as_str()), (503, "not-configured"));
        assert!(time.elapsed() < Duration::from_millis(90), "{:?}", time.elapsed());
    });
}

#[test]
fn a_request_waits_for_the_first_routing() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let published = published(&[&upstream]);
        let gateway = start(settings(&[]), &published).await;
        // Nothing was read yet.
        assert!(!gateway.host().is_ready());
        let got =
            Caller::connect(caller_address(&gateway)).await.exchange(&get("/any/x", "id-1")).await;
        assert_eq!(got.status, 200, "{got:?}");
    });
}

#[test]
fn a_stop_cuts_nothing() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let published = published(&[&upstream]);
        let hosts = fleet(2, &published).await;
        wait_until("both are ready", || hosts.iter().all(|h| eligible_upstreams(h) == 1)).await;
        let (leaving, staying) = (&hosts[0], &hosts[1]);
        upstream.add_to_script([support::upstream::Behaviour::Slow(2_800)]);
        let mut slow = Caller::connect(caller_address(leaving)).await;
        let mut idle = Caller::connect(caller_address(leaving)).await;
        // It may take longer than the route's timeout: what counts is that there is a response.
        slow.send(&get("/any/x", "id-slow")).await;
        wait_until("it arrived", || upstream.requests().len() == 1).await;
        let stopping = leaving.stop();
        let requests = async {
            wait_until("it is stopping", || leaving.host().is_stopping()).await;
            assert!(!leaving.host().is_ready());
            let got = idle.exchange(&get("/any/y", "id-kept")).await;
            assert_eq!((got.status, got.closes), (200, true));
            let got = Caller::connect(caller_address(leaving))
                .await
                .exchange(&get("/any/y", "id-new"))
                .await;
            assert_eq!((got.status, got.closes), (200, true));
            let got = slow.receive().await.expect("cut");
            assert!(matches!(got.status, 200 | 504), "{got:?}");
        };
        tokio::join!(stopping, requests);
        assert_eq!(leaving.host().open_caller_connections.get(), 0);
        wait_until("the other knows", || staying.host().host_count() == 1).await;
    });
}

#[test]
fn all_hosts_know_the_same_members() {
    on_one_thread(async {
        let published = published(&[]);
        let hosts = fleet(4, &published).await;
        let digests: Vec<u64> = hosts.iter().map(|h| h.host().members().digest()).collect();
        assert!(digests.windows(2).all(|pair| pair[0] == pair[1]), "{digests:?}");
        assert_eq!(hosts[0].host().fleet_size().hosts, 4);
        assert!(hosts[0].host().state_age_ms().unwrap() < Millis(5_000));
    });
}

#[test]
fn a_metrics_address_in_use_does_not_prevent_the_start() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let published = published(&[&upstream]);
        let mut settings = settings(&[]);
        settings.metrics = Some(settings.peers);
        let gateway = start(settings, &published).await;
        let got =
            Caller::connect(caller_address(&gateway)).await.exchange(&get("/any/x", "id-1")).await;
        assert_eq!(got.status, 200);
        let log = gateway.host().log.take_buffered();
        assert!(log.contains("\"event\":\"no-metrics\""), "{log}");
    });
}
