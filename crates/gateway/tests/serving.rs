//! Requests through a gateway, with upstreams that misbehave.
#![allow(clippy::unwrap_used)]

mod support;

use rstest::rstest;
use support::caller::{Caller, get, post};
use support::upstream::{Behaviour, StandInUpstream};
use support::{caller_address, on_one_thread, ready, upstream_item, wait_until};

/// Sends one request through a gateway with one upstream; returns the response, and the number of
/// requests that the upstream received.
async fn send_one(request: String, act: Behaviour) -> (support::caller::CallerResponse, usize) {
    let upstream = StandInUpstream::start("i-1").await;
    let (gateway, _) = ready(&[&upstream]).await;
    upstream.add_to_script([act]);
    let got = Caller::connect(caller_address(&gateway)).await.exchange(&request).await;
    (got, upstream.requests().len())
}

#[rstest]
#[case::answer(Behaviour::Respond, 200, 1)]
#[case::unframed(Behaviour::Unframed, 200, 1)]
#[case::error_of_its_own(Behaviour::Status(500), 500, 1)]
#[case::unavailable_without_not_run_header(Behaviour::Status(503), 502, 1)]
#[case::too_many_requests_without_not_run_header(Behaviour::UnsealedStatus(429), 502, 1)]
#[case::success_without_seal(Behaviour::Unsealed, 502, 1)]
#[case::cut(Behaviour::Truncated, 502, 1)]
#[case::garbage(Behaviour::Garbage, 502, 1)]
#[case::reset(Behaviour::Reset, 502, 1)]
#[case::mute(Behaviour::NoResponse, 504, 1)]
fn at_most_once_requests_are_sent_once(
    #[case] act: Behaviour,
    #[case] status: u16,
    #[case] sent: usize,
) {
    on_one_thread(async {
        let (got, seen) = send_one(post("/once/x", "id-1", "{}"), act.clone()).await;
        assert_eq!((got.status, seen), (status, sent), "{act:?} {got:?}");
        assert_eq!(got.id, "id-1");
        assert!(got.retry_after.is_none());
    });
}

#[rstest]
#[case::answer(Behaviour::Respond)]
#[case::success_without_seal(Behaviour::Unsealed)]
#[case::unavailable_without_not_run_header(Behaviour::UnsealedStatus(503))]
#[case::error(Behaviour::Status(500))]
#[case::cut(Behaviour::Truncated)]
#[case::garbage(Behaviour::Garbage)]
#[case::reset(Behaviour::Reset)]
#[case::shed(Behaviour::NotRun)]
fn an_idempotent_request_is_retried_on_another_upstream(#[case] act: Behaviour) {
    on_one_thread(async {
        let (first, second) =
            (StandInUpstream::start("i-1").await, StandInUpstream::start("i-2").await);
        let (gateway, _) = ready(&[&first, &second]).await;
        // The first one is chosen first, and misbehaves once.
        first.add_to_script([act.clone()]);
        second.set_load("5,0,6,100");
        let got =
            Caller::connect(caller_address(&gateway)).await.exchange(&get("/any/x", "id-1")).await;
        assert_eq!(got.status, 200, "{act:?} {got:?}");
        assert!(got.is_sealed);
        assert_eq!(got.id, "id-1");
    });
}

/// An upstream's error response is kept while the request is retried, and delivered if the retry brings
/// no better response.
#[rstest]
#[case::no_other_upstream(&[], 1)]
#[case::the_other_resets_the_connection(&[Behaviour::Reset], 2)]
#[case::the_other_refuses(&[Behaviour::NotRun], 2)]
#[case::the_other_does_not_respond(&[Behaviour::NoResponse], 2)]
fn an_upstreams_error_is_delivered_if_its_retry_fails(
    #[case] other: &'static [Behaviour],
    #[case] sent: usize,
) {
    on_one_thread(async move {
        let first = StandInUpstream::start("i-1").await;
        let second = StandInUpstream::start("i-2").await;
        let (gateway, published) = ready(&[&first]).await;
        first.add_to_script([Behaviour::Slow(40), Behaviour::Status(500)]);
        second.add_to_script(other.iter().cloned());
        second.set_load("5,0,6,100");
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        // The first upstream becomes known, so that the next request goes to it first.
        assert_eq!(caller.exchange(&get("/any/x", "id-0")).await.status, 200);
        if !other.is_empty() {
            published.write("servers", upstream_item(second.id(), second.address()));
            wait_until("both are known", || {
                gateway.host().published_state().upstreams().count() == 2
            })
            .await;
        }
        let got = caller.exchange(&get("/any/x", "id-1")).await;
        assert_eq!((got.status, got.is_sealed), (500, true), "{got:?}");
        assert_eq!(got.body, "i-1 ran id-1");
        assert_eq!(first.requests().len() - 1 + second.requests().len(), sent);
    });
}

#[test]
fn a_shed_at_most_once_request_is_retried_on_another_upstream() {
    on_one_thread(async {
        let (first, second) =
            (StandInUpstream::start("i-1").await, StandInUpstream::start("i-2").await);
        let (gateway, _) = ready(&[&first, &second]).await;
        first.add_to_script([Behaviour::NotRun]);
        second.set_load("5,0,6,100");
        let got = Caller::connect(caller_address(&gateway))
            .await
            .exchange(&post("/once/x", "id-1", "{}"))
            .await;
        assert_eq!(got.status, 200);
        assert_eq!(second.requests().len(), 1);
    });
}

#[test]
fn a_request_shed_by_all_upstreams_is_refused_with_retry_after() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _) = ready(&[&upstream]).await;
        upstream.add_to_script(std::iter::repeat_n(Behaviour::NotRun, 9));
        let got = Caller::connect(caller_address(&gateway))
            .await
            .exchange(&post("/once/x", "id-1", "{}"))
            .await;
        assert_eq!(got.status, 503, "{got:?}");
        assert!(got.retry_after.unwrap() > 0.0);
    });
}

#[test]
fn a_request_is_forwarded_unchanged() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _) = ready(&[&upstream]).await;
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        caller.exchange(&post("/once/x?y=z", "id-1", "{\"a\":1}")).await;
        let chunked = "POST /once/c HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id-2\r\n\
                       Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        caller.exchange(chunked).await;
        let seen = upstream.requests();
        assert_eq!(seen[0].line, "POST /once/x?y=z");
        assert_eq!((seen[0].id.as_str(), seen[0].body.as_str()), ("id-1", "{\"a\":1}"));
        assert_eq!(seen[0].expected, "i-1");
        // What is left of the route's timeout, which is shorter than the caller's deadline.
        assert!((1..=1_200).contains(&seen[0].deadline_ms), "{}", seen[0].deadline_ms);
        assert_eq!((seen[1].id.as_str(), seen[1].body.as_str()), ("id-2", "abcde"));
    });
}

#[test]
fn an_extra_response_is_discarded() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _) = ready(&[&upstream]).await;
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        for round in 0..20 {
            upstream.add_to_script([Behaviour::Duplicated]);
            let id = format!("id-{round}");
            let got = caller.exchange(&post("/once/x", &id, "{}")).await;
            assert_eq!((got.status, got.id.as_str()), (200, id.as_str()));
            assert_eq!(got.body, format!("i-1 ran {id}"));
        }
    });
}

#[test]
fn an_address_that_another_upstream_took_is_not_used() {
    on_one_thread(async {
        let (old, new) = (StandInUpstream::start("i-2").await, StandInUpstream::start("i-3").await);
        let (gateway, published) = ready(&[&new]).await;
        // `i-1` is still published with the address that `i-2` has now.
        published.write("servers", support::upstream_item("i-1", old.address()));
        wait_until("it is known", || {
            gateway.host().upstreams.borrow().count_eligible(&support::service()) == 2
        })
        .await;
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        for round in 0..10 {
            let got = caller.exchange(&post("/once/x", &format!("id-{round}"), "{}")).await;
            assert_eq!(got.status, 200);
        }
        assert!(old.requests().is_empty());
        assert_eq!(new.requests().len(), 10);
    });
}

#[test]
fn an_early_response_closes_the_connection_to_the_upstream() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _) = ready(&[&upstream]).await;
        upstream.add_to_script([Behaviour::EarlyResponse]);
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        let long = "x".repeat(90_000);
        let got = caller.exchange(&post("/once/x", "id-1", &long)).await;
        assert!(matches!(got.status, 413 | 502), "{got:?}");
        let got = caller.exchange(&post("/once/x", "id-2", "{}")).await;
        assert_eq!((got.status, got.body.as_str()), (200, "i-1 ran id-2"));
        assert_eq!(upstream.requests().last().unwrap().body, "{}");
    });
}

#[test]
fn pipelined_requests_run_concurrently_and_are_answered_in_order() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _) = ready(&[&upstream]).await;
        upstream.add_to_script([Behaviour::Slow(300), Behaviour::Respond, Behaviour::Respond]);
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        let three: String = (0..3).map(|n| get("/any/x", &format!("id-{n}"))).collect();
        caller.send(&three).await;
        // All three have arrived while the first is still being served.
        wait_until("all arrived", || upstream.requests().len() == 3).await;
        for n in 0..3 {
            let got = caller.receive().await.unwrap();
            assert_eq!((got.status, got.id), (200, format!("id-{n}")));
        }
    });
}

#[test]
fn a_pipelined_at_most_once_request_waits_for_earlier_ones() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _) = ready(&[&upstream]).await;
        upstream.add_to_script([Behaviour::Slow(100), Behaviour::Respond, Behaviour::Respond]);
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        let all = [get("/any/x", "id-0"), post("/once/x", "id-1", "{}"), get("/any/y", "id-2")];
        caller.send(&all.concat()).await;
        for n in 0..3 {
            assert_eq!(caller.receive().await.unwrap().id, format!("id-{n}"));
        }
        let order: Vec<String> = upstream.requests().into_iter().map(|seen| seen.id).collect();
        assert_eq!(order, ["id-0", "id-1", "id-2"]);
    });
}

#[test]
fn an_idempotent_request_is_cancelled_when_its_caller_disconnects() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _) = ready(&[&upstream]).await;
        upstream.add_to_script([Behaviour::Slow(5_000), Behaviour::Slow(5_000)]);
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        caller.send(&[get("/any/x", "id-0"), get("/any/x", "id-1")].concat()).await;
        wait_until("both arrived", || upstream.requests().len() == 2).await;
        drop(caller);
        wait_until("both were withdrawn", || upstream.abandoned() == 2).await;
        assert_eq!(gateway.host().open_requests.get(), 0);
        let log = gateway.host().log.take_buffered();
        assert_eq!(log.matches("\"event\":\"caller-gone\"").count(), 2, "{log}");
    });
}

#[test]
fn an_at_most_once_request_completes_when_its_caller_disconnects() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _) = ready(&[&upstream]).await;
        upstream.add_to_script([Behaviour::Slow(200)]);
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        caller.send(&post("/once/x", "id-0", "{}")).await;
        wait_until("it arrived", || upstream.requests().len() == 1).await;
        drop(caller);
        wait_until("it ended", || gateway.host().open_requests.get() == 0).await;
        assert_eq!(upstream.abandoned(), 0);
        let log = gateway.host().log.take_buffered();
        assert!(
            log.contains("\"event\":\"caller-gone\"") && log.contains("\"runs_on\":true"),
            "{log}"
        );
    });
}

#[rstest]
#[case::no_route("GET /none/ HTTP/1.1\r\nHost: a.example\r\n\r\n", 404)]
#[case::no_host("GET /any/ HTTP/1.1\r\nHost: b.example\r\n\r\n", 404)]
#[case::two_lengths(
    "POST /once/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    400
)]
#[case::length_and_chunks(
    "POST /once/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    400
)]
#[case::bare_line_feeds("GET /any/ HTTP/1.1\nHost: a.example\n\n", 400)]
#[case::too_large("POST /once/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 100001\r\n\r\n", 413)]
#[case::never_whole("GET /any/ HTTP/1.1\r\nHost: a.exa", 408)]
fn invalid_requests_are_refused_and_never_run(#[case] text: &str, #[case] status: u16) {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _) = ready(&[&upstream]).await;
        let got = Caller::connect(caller_address(&gateway)).await.exchange(text).await;
        assert_eq!(got.status, status, "{got:?}");
        assert!(upstream.requests().is_empty());
    });
}

#[test]
fn a_valid_request_before_a_malformed_one_is_served_and_later_ones_are_not() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _) = ready(&[&upstream]).await;
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        let all = [get("/any/x", "id-0"), "BAD\r\n\r\n".to_owned(), get("/any/x", "id-2")];
        caller.send(&all.concat()).await;
        assert_eq!(caller.receive().await.unwrap().id, "id-0");
        let malformed = caller.receive().await.unwrap();
        assert_eq!((malformed.status, malformed.closes), (400, true));
        assert!(caller.receive().await.is_none());
        assert_eq!(upstream.requests().len(), 1);
    });
}

#[test]
fn a_slow_upstream_is_avoided() {
    on_one_thread(async {
        let (slow, normal) =
            (StandInUpstream::start("i-1").await, StandInUpstream::start("i-2").await);
        let (gateway, _) = ready(&[&slow, &normal]).await;
        slow.set_load("0,0,6,700");
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        for round in 0..20 {
            caller.exchange(&get("/any/x", &format!("id-{round}"))).await;
        }
        assert_eq!(normal.requests().len(), 20);
        // Now their loads are swapped, which is noticed once the load reports are outdated.
        slow.set_load("0,0,6,100");
        normal.set_load("0,0,6,700");
        let mut round = 20;
        while slow.requests().is_empty() {
            assert!(round < 2_000, "the changed load was not noticed");
            caller.exchange(&get("/any/x", &format!("id-{round}"))).await;
            round += 1;
        }
        for round in round..round + 20 {
            caller.exchange(&get("/any/x", &format!("id-{round}"))).await;
        }
        assert_eq!(slow.requests().len(), 21);
    });
}

#[test]
fn an_unwell_upstream_is_used_only_if_there_is_no_other() {
    on_one_thread(async {
        let (unwell, well) =
            (StandInUpstream::start("i-1").await, StandInUpstream::start("i-2").await);
        let (gateway, published) = ready(&[&unwell, &well]).await;
        unwell.set_healthy(false);
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        for round in 0..5 {
            caller.exchange(&get("/any/x", &format!("id-{round}"))).await;
        }
        assert!(unwell.requests().is_empty());
        published.remove(&"i-2".parse().unwrap());
        wait_until("it is gone", || {
            gateway.host().upstreams.borrow().count_eligible(&support::service()) == 1
        })
        .await;
        assert_eq!(caller.exchange(&get("/any/x", "id-9")).await.status, 200);
        assert_eq!(unwell.requests().len(), 1);
    });
}

#[test]
fn connections_are_reused() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _) = ready(&[&upstream]).await;
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        for round in 0..30 {
            caller.exchange(&get("/any/x", &format!("id-{round}"))).await;
        }
        assert!(upstream.connections() <= 2, "{}", upstream.connections());
    });
}

#[test]
fn a_refusal_by_the_host_has_no_seal() {
    on_one_thread(async {
        let (got, _) = send_one(post("/once/x", "id-1", "{}"), Behaviour::Reset).await;
        assert_eq!(got.cause, "upstream-failed");
        assert!(!got.is_sealed);
        assert!(got.body.is_empty());
    });
}

/// Starts a gateway whose callers may be idle for 100 ms.
async fn start_with_short_idle_timeout(upstream: &StandInUpstream) -> gateway::run::Gateway {
    let (gateway, published) = ready(&[upstream]).await;
    let mut start_with_short_idle_timeout = support::routing(2);
    start_with_short_idle_timeout.limits.idle_timeout_ms = domain::Millis(100);
    published.write_routing(start_with_short_idle_timeout);
    wait_until("it is in force", || {
        let table = gateway.host().table.borrow();
        table.as_ref().is_some_and(|table| table.routing().version == domain::Version(2))
    })
    .await;
    gateway
}

#[test]
fn a_caller_that_waits_for_a_response_is_not_idle() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let gateway = start_with_short_idle_timeout(&upstream).await;
        upstream.add_to_script([Behaviour::Slow(500)]);
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        let got = caller.exchange(&get("/any/x", "id-1")).await;
        assert_eq!((got.status, got.id.as_str()), (200, "id-1"));
        // Then the connection is idle, and is closed.
        assert!(caller.receive().await.is_none());
    });
}

#[test]
fn a_delayed_request_finds_its_idle_connection_open() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let gateway = start_with_short_idle_timeout(&upstream).await;
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        assert_eq!(caller.exchange(&get("/any/x", "id-1")).await.status, 200);
        tokio::time::sleep(std::time::Duration::from_millis(150)).await;
        assert_eq!(caller.exchange(&get("/any/x", "id-2")).await.status, 200);
        // It is closed later.
        assert!(caller.receive().await.is_none());
    });
}

#[test]
fn without_probes_a_connection_is_opened_only_to_the_chosen_upstream() {
    on_one_thread(async {
        let upstreams = [
            StandInUpstream::start("i-1").await,
            StandInUpstream::start("i-2").await,
            StandInUpstream::start("i-3").await,
        ];
        let published = support::source::Published::default();
        published.write_routing(support::routing(1));
        for upstream in &upstreams {
            published.write("servers", support::upstream_item(upstream.id(), upstream.address()));
        }
        let mut settings = support::settings(&[]);
        settings.limits.probes = domain::PerSecond(0.001);
        let gateway = support::start(settings, &published).await;
        wait_until("it is ready", || gateway.host().is_ready()).await;
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        let connections = || upstreams.iter().map(StandInUpstream::connections).sum::<u32>();
        let host = gateway.host();
        for upstream in &upstreams {
            let (id, now_ms) = (upstream.id().parse().unwrap(), host.now_ms());
            for budget in
                [&host.probe_budget, &host.zone_probe_budget, &host.placement.probe_budget]
            {
                assert!(budget.borrow_mut().try_spend(now_ms, &id, 1.0));
            }
        }
        for round in 0..4 {
            let before = connections();
            let got = caller.exchange(&post("/once/x", &format!("id-{round}"), "{}")).await;
            assert_eq!(got.status, 200);
            assert_eq!(connections() - before, 1);
            // Longer than an idle connection is trusted with an at-most-once request.
            tokio::time::sleep(std::time::Duration::from_millis(350)).await;
        }
    });
}

/// Guards against a proper request that is refused for the number of its headers, though their bytes
/// are within the limit, and against work that grows with their square.
#[test]
fn a_request_with_many_headers_is_served() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _published) = ready(&[&upstream]).await;
        let many: String = (0..300).map(|n| format!("A{n}: {n}\r\n")).collect();
        let text = get("/any/x", "id-1").replace("\r\n\r\n", &format!("\r\n{many}\r\n"));
        assert!(text.len() < 4_096, "{} bytes", text.len());
        let got = Caller::connect(caller_address(&gateway)).await.exchange(&text).await;
        assert_eq!((got.status, got.body.as_str()), (200, "i-1 ran id-1"));
    });
}
