//! The operators' address: where requests and responses end.
#![allow(clippy::unwrap_used)]

mod support;

use dispatch::quarantine::Crash;
use domain::{Millis, RequestFingerprint};
use gateway::run::Gateway;
use published::RunStart;
use rstest::rstest;
use std::time::Duration;
use support::caller::Caller;
use support::{on_one_thread, ready, wait_until};
use tokio::io::AsyncReadExt;

const FINGERPRINT: &str = "0123456789abcdef0123456789abcdef";

/// Quarantines a request, as after three crashes.
async fn hold(gateway: &Gateway) {
    let host = gateway.host();
    wait_until("the crashes are past", || host.now_ms() > Millis(90)).await;
    let fingerprint: RequestFingerprint = FINGERPRINT.parse().unwrap();
    for number in 0..3 {
        let crash = Crash {
            upstream: format!("i-{number}").parse().unwrap(),
            run: RunStart::default(),
            seen_by: "front-9".parse().unwrap(),
            sent_ms: Millis(30 * number),
            crashed_ms: Millis(30 * number + 20),
        };
        host.quarantine.borrow_mut().record_crash(fingerprint, crash);
    }
    assert_eq!(held(gateway), 1);
}

fn held(gateway: &Gateway) -> usize {
    let host = gateway.host();
    host.quarantine.borrow().count_held(host.now_ms())
}

async fn connect(gateway: &Gateway) -> Caller {
    let operator = gateway.host().settings.borrow().operator.unwrap();
    Caller::connect(operator).await
}

/// A request that lifts the quarantine, if it is taken for one.
fn lift() -> String {
    format!("POST /quarantine/lift/{FINGERPRINT} HTTP/1.1\r\nHost: x\r\n\r\n")
}

fn with_length() -> String {
    let body = lift();
    format!("POST /metrics HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

fn with_chunks() -> String {
    let body = lift();
    let head = "PUT /state HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    format!("{head}{:x}\r\n{body}\r\n0\r\n\r\n", body.len())
}

fn too_large() -> String {
    let body = lift().repeat(200);
    format!("POST /metrics HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

fn cut_short() -> String {
    format!("POST /metrics HTTP/1.1\r\nHost: x\r\nContent-Length: 9999\r\n\r\n{}", lift())
}

/// Guards against taking the body of a request for the next request: it lifted a quarantine.
#[rstest]
#[case::with_length(with_length(), true)]
#[case::with_chunks(with_chunks(), true)]
#[case::too_large(too_large(), false)]
#[case::cut_short(cut_short(), false)]
fn a_body_is_not_the_next_request(#[case] request: String, #[case] keeps_connection: bool) {
    on_one_thread(async move {
        let (gateway, _published) = ready(&[]).await;
        hold(&gateway).await;
        let mut operator = connect(&gateway).await;
        operator.send(&request).await;
        if keeps_connection {
            assert_eq!(operator.receive().await.unwrap().status, 200);
            let next = operator.exchange("GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n").await;
            assert_eq!(next.status, 404, "the response to this request, and to no other");
        } else {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        assert_eq!(held(&gateway), 1);
    });
}

/// Guards against a body in the response to `HEAD`, which its client takes for the next response.
#[test]
fn a_response_to_head_has_no_body() {
    on_one_thread(async {
        let (gateway, _published) = ready(&[]).await;
        let mut operator = connect(&gateway).await;
        let request = |method| format!("{method} /state HTTP/1.1\r\nHost: x\r\n\r\n");
        operator.send(&request("HEAD")).await;
        operator.send("GET /nothing HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").await;
        let mut received = String::new();
        operator.stream.read_to_string(&mut received).await.unwrap();
        let (head, rest) = received.split_once("\r\n\r\n").unwrap();
        assert!(head.starts_with("HTTP/1.1 200 ") && head.contains("content-length: "), "{head}");
        assert!(rest.starts_with("HTTP/1.1 404 "), "{rest}");
    });
}

/// The quarantine is still lifted by a request with a body.
#[test]
fn a_quarantine_is_lifted_by_a_request_with_a_body() {
    on_one_thread(async {
        let (gateway, _published) = ready(&[]).await;
        hold(&gateway).await;
        let mut operator = connect(&gateway).await;
        let request = lift().replace("\r\n\r\n", "\r\nContent-Length: 2\r\n\r\n{}");
        assert_eq!(operator.exchange(&request).await.status, 200);
        assert_eq!(held(&gateway), 0);
    });
}
