//! What is known of an upstream that broke off a request.
#![allow(clippy::unwrap_used)]

mod support;

use domain::RequestFingerprint;
use gateway::http1::read_request;
use gateway::serve::fingerprint;
use rstest::rstest;
use support::caller::{Caller, get};
use support::upstream::{Behaviour, StandInUpstream};
use support::{caller_address, on_one_thread, ready, wait_until};

/// A process that ended is told apart from a connection that only broke.
#[rstest]
#[case::ended(Behaviour::Crash(5), true)]
#[case::reset(Behaviour::Reset, false)]
#[case::cut_short(Behaviour::Truncated, false)]
#[case::spoilt(Behaviour::Garbage, false)]
fn it_has_crashed_only_if_its_process_ended(#[case] act: Behaviour, #[case] has_crashed: bool) {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _published) = ready(&[&upstream]).await;
        upstream.add_to_script([act]);
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        caller.exchange(&get("/any/x", "id-1")).await;
        let counted = format!("gateway_broken_off_total{{has_crashed=\"{has_crashed}\"");
        wait_until("it was looked at", || gateway.host().metrics.render().contains(&counted)).await;
    });
}

/// Other kept connections end with the process, and are no sign of life.
#[test]
fn it_has_crashed_also_if_connections_to_it_were_kept() {
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
        for asked in side_by_side.collect::<Vec<_>>() {
            asked.await.unwrap();
        }
        assert!(gateway.host().pool.borrow().len() > 1);
        upstream.add_to_script([Behaviour::Crash(5)]);
        Caller::connect(address).await.exchange(&get("/any/x", "id-9")).await;
        let counted = "gateway_broken_off_total{has_crashed=\"true\"";
        wait_until("it was looked at", || gateway.host().metrics.render().contains(counted)).await;
    });
}

fn of(text: &str, body: &str) -> RequestFingerprint {
    let mut bytes = text.as_bytes().to_vec();
    let head = read_request(&mut bytes, 4_096).unwrap().unwrap();
    fingerprint(&head, body.as_bytes(), Some("x-caller"))
}

const FIRST: &str = "GET /any/x?page=1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: 1\r\n\r\n";

/// A request that comes again has another id, a shorter deadline and a connection of its own.
#[test]
fn a_request_that_comes_again_has_the_same_fingerprint() {
    let again = "GET /any/x?page=1 HTTP/1.1\r\nHOST: A.example\r\nX-Request-Id: 2\r\n\
                 X-Deadline-Ms: 90\r\nConnection: close\r\n\r\n";
    assert_eq!(of(FIRST, ""), of(again, ""));
}

/// A body is the same however it is sent.
#[test]
fn a_body_in_chunks_has_the_fingerprint_of_one_with_a_length() {
    let order =
        |framing: &str| format!("POST /once/x HTTP/1.1\r\nHost: a.example\r\n{framing}\r\n\r\n");
    let with_length = of(&order("Content-Length: 2"), "{}");
    assert_eq!(with_length, of(&order("Transfer-Encoding: chunked"), "{}"));
}

#[rstest]
#[case::method(&FIRST.replace("GET", "PUT"), "")]
#[case::authority(&FIRST.replace("a.example", "b.example"), "")]
#[case::path(&FIRST.replace("/x", "/y"), "")]
#[case::query(&FIRST.replace("page=1", "page=2"), "")]
#[case::body(FIRST, "x")]
#[case::named_caller(&with("X-Caller: b"), "")]
#[case::credentials(&with("Authorization: Bearer b"), "")]
#[case::session(&with("Cookie: id=b"), "")]
fn another_request_has_another_one(#[case] text: &str, #[case] body: &str) {
    assert_ne!(of(FIRST, ""), of(text, body));
}

/// The first one with a header more.
fn with(header: &str) -> String {
    FIRST.replace("\r\n\r\n", &format!("\r\n{header}\r\n\r\n"))
}

/// What proxies and clients add anew to each sending doesn't set it apart.
#[rstest]
#[case::trace("Traceparent: 00-1-2-01")]
#[case::agent("User-Agent: other/2")]
#[case::forwarded("X-Forwarded-For: 192.0.2.7")]
fn other_headers_make_no_difference(#[case] header: &str) {
    assert_eq!(of(FIRST, ""), of(&with(header), ""));
}
