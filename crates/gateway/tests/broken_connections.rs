//! An upstream that broke a connection during a request: whether it crashed, and the request's
//! fingerprint.
#![allow(clippy::unwrap_used)]

mod support;

use domain::RequestFingerprint;
use gateway::http1::read_request;
use gateway::serve::fingerprint;
use rstest::rstest;
use support::caller::{Caller, get};
use support::upstream::{Behaviour, StandInUpstream};
use support::{caller_address, on_one_thread, ready, wait_until};

/// A process that ended is distinguished from a connection that only broke.
#[rstest]
#[case::ended(Behaviour::Crash(5), true)]
#[case::reset(Behaviour::Reset, false)]
#[case::cut_short(Behaviour::Truncated, false)]
#[case::garbage(Behaviour::Garbage, false)]
fn an_upstream_has_crashed_only_if_its_process_ended(
    #[case] act: Behaviour,
    #[case] has_crashed: bool,
) {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _published) = ready(&[&upstream]).await;
        upstream.add_to_script([act]);
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        caller.exchange(&get("/any/x", "id-1")).await;
        let counted = format!("gateway_broken_off_total{{has_crashed=\"{has_crashed}\"");
        wait_until("it was checked", || gateway.host().metrics.render().contains(&counted)).await;
    });
}

/// Guards against taking a port that outlives its process for a process that lives: the request that
/// crashed it ran on, and others that were beside it were suspected.
#[rstest]
fn an_upstream_has_crashed_though_its_port_is_open_for_a_while(
    #[values(5, 50, 200, 500)] port_ms: u64,
) {
    on_one_thread(async move {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _published) = ready(&[&upstream]).await;
        upstream.add_to_script([Behaviour::CrashBehindOpenPort(port_ms)]);
        Caller::connect(caller_address(&gateway)).await.exchange(&get("/any/x", "id-1")).await;
        let counted = "gateway_broken_off_total{has_crashed=\"true\"";
        wait_until("it was checked", || gateway.host().metrics.render().contains(counted)).await;
    });
}

/// Idle connections in the pool end with the process, and don't count as open.
#[test]
fn an_upstream_has_crashed_also_if_the_pool_has_connections_to_it() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _published) = ready(&[&upstream]).await;
        upstream.add_to_script([Behaviour::Slow(20), Behaviour::Slow(20), Behaviour::Slow(20)]);
        let address = caller_address(&gateway);
        let side_by_side = (0..3).map(|number| {
            let text = get("/any/x", &format!("id-{number}"));
            tokio::task::spawn_local(
                async move { Caller::connect(address).await.exchange(&text).await },
            )
        });
        for response in side_by_side.collect::<Vec<_>>() {
            response.await.unwrap();
        }
        assert!(gateway.host().pool.borrow().len() > 1);
        upstream.add_to_script([Behaviour::Crash(5)]);
        Caller::connect(address).await.exchange(&get("/any/x", "id-9")).await;
        let counted = "gateway_broken_off_total{has_crashed=\"true\"";
        wait_until("it was checked", || gateway.host().metrics.render().contains(counted)).await;
    });
}

fn fingerprint_of(text: &str, body: &str) -> RequestFingerprint {
    let mut bytes = text.as_bytes().to_vec();
    let head = read_request(&mut bytes, 4_096).unwrap().unwrap();
    fingerprint(&head, body.as_bytes(), Some("x-caller"))
}

const FIRST: &str = "GET /any/x?page=1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: 1\r\n\r\n";

/// A repeated request has another id, a shorter deadline and another connection.
#[test]
fn a_repeated_request_has_the_same_fingerprint() {
    let again = "GET /any/x?page=1 HTTP/1.1\r\nHOST: A.example\r\nX-Request-Id: 2\r\n\
                 X-Deadline-Ms: 90\r\nConnection: close\r\n\r\n";
    assert_eq!(fingerprint_of(FIRST, ""), fingerprint_of(again, ""));
}

/// The framing of a body isn't part of the fingerprint.
#[test]
fn a_chunked_body_has_the_same_fingerprint_as_one_with_a_length() {
    let order =
        |framing: &str| format!("POST /once/x HTTP/1.1\r\nHost: a.example\r\n{framing}\r\n\r\n");
    let with_length = fingerprint_of(&order("Content-Length: 2"), "{}");
    assert_eq!(with_length, fingerprint_of(&order("Transfer-Encoding: chunked"), "{}"));
}

#[rstest]
#[case::method(&FIRST.replace("GET", "PUT"), "")]
#[case::authority(&FIRST.replace("a.example", "b.example"), "")]
#[case::path(&FIRST.replace("/x", "/y"), "")]
#[case::query(&FIRST.replace("page=1", "page=2"), "")]
#[case::body(FIRST, "x")]
#[case::named_caller(&with_header("X-Caller: b"), "")]
#[case::credentials(&with_header("Authorization: Bearer b"), "")]
#[case::session(&with_header("Cookie: id=b"), "")]
fn another_request_has_another_fingerprint(#[case] text: &str, #[case] body: &str) {
    assert_ne!(fingerprint_of(FIRST, ""), fingerprint_of(text, body));
}

/// The first request with one more header.
fn with_header(header: &str) -> String {
    FIRST.replace("\r\n\r\n", &format!("\r\n{header}\r\n\r\n"))
}

/// Headers that proxies and clients change with each attempt aren't part of the fingerprint.
#[rstest]
#[case::trace("Traceparent: 00-1-2-01")]
#[case::agent("User-Agent: other/2")]
#[case::forwarded("X-Forwarded-For: 192.0.2.7")]
fn other_headers_do_not_change_the_fingerprint(#[case] header: &str) {
    assert_eq!(fingerprint_of(FIRST, ""), fingerprint_of(&with_header(header), ""));
}
