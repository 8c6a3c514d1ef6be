//! Callers' requests through the real process, on raw sockets.
#![allow(clippy::unwrap_used)]

mod support;

use rstest::rstest;
use support::daemon::{Daemon, HELD_BYTES, MAX_BODY_BYTES, verdict};
use support::{Behaviour, RawUpstream, header, read_to_end};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

async fn start(script: Vec<Behaviour>) -> (RawUpstream, Daemon) {
    let upstream = RawUpstream::start(script).await;
    let daemon = Daemon::start(upstream.address).await;
    (upstream, daemon)
}

const GET: &str = "GET /parts/7 HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";

#[tokio::test]
async fn passes_end_to_end_headers_only() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nkeep-alive: 5\r\nx-mine: 1\r\n\
                  connection: x-hop\r\nx-hop: 1\r\nx-load: 1/0\r\nx-cause: forged\r\n\
                  x-outcome: not-run\r\nx-tag: a\r\nx-tag: b\r\n\r\nok";
    let (upstream, daemon) = start(vec![Behaviour::write(answer)]).await;
    let answer = daemon
        .call(
            "POST /parts/7?a=%20b HTTP/1.1\r\nhost: h\r\nconnection: close, x-hop\r\nx-hop: 1\r\n\
             te: trailers\r\ntrailer: x\r\nkeep-alive: 5\r\nproxy-authorization: x\r\n\
             upgrade: h2c\r\nhttp2-settings: x\r\nx-timeout-ms: 9000\r\nx-depth: 2\r\n\
             x-spent-attempts: 1\r\nx-mine: 1\r\ntransfer-encoding: chunked\r\n\r\n\
             3\r\nabc\r\n0\r\n\r\n",
        )
        .await;
    let request = &upstream.seen().requests[0];
    assert!(request.starts_with("POST /parts/7?a=%20b HTTP/1.1\r\n"), "{request}");
    assert!(request.ends_with("\r\n\r\nabc"), "{request}");
    let stripped = [
        "x-hop",
        "te",
        "trailer",
        "keep-alive",
        "proxy-authorization",
        "upgrade",
        "http2-settings",
        "x-timeout-ms",
        "transfer-encoding",
        "connection",
    ];
    for name in stripped {
        assert_eq!(header(request, name), None, "{name}: {request}");
    }
    for (name, value) in [
        ("host", "h"),
        ("x-mine", "1"),
        ("x-depth", "3"),
        ("x-spent-attempts", "2"),
        ("content-length", "3"),
        ("x-entry-host", "e1"),
        ("x-entry-zone", "kariakoo"),
    ] {
        assert_eq!(header(request, name), Some(value), "{name}: {request}");
    }
    for name in ["x-hop", "keep-alive", "x-load", "x-cause", "x-outcome"] {
        assert_eq!(header(&answer, name), None, "{name}: {answer}");
    }
    for (name, value) in [("x-mine", "1"), ("x-upstream", "parts-1"), ("content-length", "2")] {
        assert_eq!(header(&answer, name), Some(value), "{name}: {answer}");
    }
    assert!(answer.contains("x-tag: a\r\nx-tag: b\r\n"), "{answer}");
    assert!(answer.ends_with("\r\n\r\nok"), "{answer}");
}

fn post(head: &str, body: &str) -> String {
    format!("POST /parts HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{head}\r\n{body}")
}

fn large_body() -> String {
    let body = "x".repeat(MAX_BODY_BYTES + 1);
    format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len())
}

#[rstest]
#[case::unknown_route("GET /nowhere HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n".into(), 404, Some("no-route"))]
#[case::odd_path("GET /%ff/%00 HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n".into(), 404, Some("no-route"))]
#[case::dot_segments("GET /parts/../x HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n".into(), 400, Some("bad-target"))]
#[case::encoded_dot_segments("GET /parts/%2e%2e/x HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n".into(), 400, Some("bad-target"))]
#[case::http_1_0("GET /parts HTTP/1.0\r\nhost: h\r\n\r\n".into(), 505, Some("http-version"))]
#[case::connect("CONNECT h:1 HTTP/1.1\r\nhost: h:1\r\n\r\n".into(), 501, Some("upgrade"))]
#[case::upgrade(post("upgrade: websocket\r\n", ""), 501, Some("upgrade"))]
#[case::bad_timeout(post("x-timeout-ms: soon\r\n", ""), 400, Some("bad-header"))]
#[case::two_keys(post("idempotency-key: a\r\nidempotency-key: b\r\n", ""), 400, Some("bad-header"))]
#[case::too_deep(post("x-depth: 8\r\n", ""), 508, Some("too-deep"))]
#[case::large_body(post(&format!("content-length: {}\r\n", MAX_BODY_BYTES + 1), ""), 413, Some("body-too-large"))]
#[case::large_body_expected(post(&format!("expect: 100-continue\r\ncontent-length: {}\r\n", MAX_BODY_BYTES + 1), ""), 413, Some("body-too-large"))]
#[case::large_chunked_body(post("transfer-encoding: chunked\r\n", &large_body()), 413, Some("body-too-large"))]
#[case::large_head(post(&format!("x-long: {}\r\n", "x".repeat(60_000)), ""), 431, None)]
#[case::many_headers(post(&"x-many: 1\r\n".repeat(101), ""), 431, None)]
#[case::two_lengths(post("content-length: 1\r\ncontent-length: 2\r\n", "ab"), 400, None)]
#[case::bad_length(post("content-length: x\r\n", ""), 400, None)]
#[case::not_chunked_last(post("transfer-encoding: chunked, gzip\r\n", "0\r\n\r\n"), 400, None)]
#[case::malformed("nonsense\r\n\r\n".into(), 400, None)]
#[case::bad_header_name(post("x y: 1\r\n", ""), 400, None)]
#[tokio::test]
async fn refuses(#[case] request: String, #[case] status: u16, #[case] cause: Option<&str>) {
    let (upstream, daemon) = start(vec![Behaviour::ok()]).await;
    let answer = daemon.call(&request).await;
    assert_eq!(verdict(&answer), (status, cause), "{answer}");
    if cause.is_some() {
        assert_eq!(header(&answer, "x-outcome"), Some("not-run"), "{answer}");
        assert!(answer.contains("\"remedy\":"), "{answer}");
    }
    assert_eq!(upstream.seen().connections, 0);
    // Nothing of it harms the next call.
    assert_eq!(verdict(&daemon.call(GET).await), (200, None));
}

/// Two lengths that conflict: the chunked one counts, as the standard says, nothing after
/// it on the connection is taken for a request, and one well-framed request goes on.
#[rstest]
#[case::length_first("content-length: 3\r\ntransfer-encoding: chunked\r\n")]
#[case::length_last("transfer-encoding: chunked\r\ncontent-length: 3\r\n")]
#[tokio::test]
async fn conflicting_lengths_smuggle_nothing(#[case] lengths: &str) {
    let (upstream, daemon) = start(vec![Behaviour::ok()]).await;
    let answer = daemon
        .call(&format!(
            "POST /parts HTTP/1.1\r\nhost: h\r\n{lengths}\r\n1\r\nA\r\n0\r\n\r\n\
             GET /parts/smuggled HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"
        ))
        .await;
    let seen = upstream.seen();
    assert!(!seen.requests.iter().any(|request| request.contains("smuggled")), "{seen:?}");
    for request in &seen.requests {
        assert_eq!(header(request, "content-length"), Some("1"), "{request}");
        assert_eq!(header(request, "transfer-encoding"), None, "{request}");
    }
    assert!(answer.starts_with("HTTP/1.1 "), "{answer}");
}

#[tokio::test]
async fn continues_a_body_that_waits() {
    let (upstream, daemon) = start(vec![Behaviour::ok()]).await;
    let mut stream = TcpStream::connect(daemon.caller).await.unwrap();
    let head = post("expect: 100-continue\r\ncontent-length: 3\r\n", "");
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut interim = [0; 25];
    stream.read_exact(&mut interim).await.unwrap();
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"abc").await.unwrap();
    let answer = read_to_end(&mut stream).await;
    assert_eq!(verdict(&answer).0, 200, "{answer}");
    let request = &upstream.seen().requests[0];
    assert_eq!(header(request, "expect"), None);
    assert!(request.ends_with("\r\n\r\nabc"));
}

#[rstest]
#[case::stated("content-length: 9\r\n", "abc")]
#[case::chunked("transfer-encoding: chunked\r\n", "3\r\nabc\r\n")]
#[tokio::test]
async fn a_cut_request_reaches_nobody(#[case] framing: &str, #[case] body: &str) {
    let (upstream, daemon) = start(vec![Behaviour::ok()]).await;
    let mut stream = TcpStream::connect(daemon.caller).await.unwrap();
    stream.write_all(post(framing, body).as_bytes()).await.unwrap();
    stream.shutdown().await.unwrap();
    read_to_end(&mut stream).await;
    assert_eq!(upstream.seen().connections, 0);
}

/// Behaviour, then the outcome header of the daemon's own answer, if it gives one.
#[rstest]
#[case::before_head("", Some("unknown"))]
#[case::held("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok", Some("unknown"))]
#[case::held_chunked(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n",
    Some("unknown")
)]
#[case::unframed("HTTP/1.1 200 OK\r\n\r\nok", Some("unknown"))]
#[case::streamed("HTTP/1.1 200 OK\r\ncontent-length: 999\r\n\r\nok", None)]
#[case::streamed_chunked(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
     78\r\n012345678901234567890123456789012345678901234567890123456789\
     012345678901234567890123456789012345678901234567890123456789\r\n",
    None
)]
#[tokio::test]
async fn a_cut_answer_never_looks_complete(#[case] cut: &str, #[case] outcome: Option<&str>) {
    let (upstream, daemon) = start(vec![Behaviour::write_and_close(cut)]).await;
    let answer = daemon.call(GET).await;
    match outcome {
        Some(_) => {
            assert_eq!(verdict(&answer), (502, Some("upstream-failed")), "{answer}");
            assert_eq!(header(&answer, "x-outcome"), outcome, "{answer}");
        }
        None => assert!(!is_complete(&answer), "{answer}"),
    }
    assert_eq!(upstream.seen().requests.len(), 1);
    assert_eq!(
        verdict(&daemon.call("GET /x HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n").await).0,
        404
    );
}

fn is_complete(answer: &str) -> bool {
    let Some((_, body)) = answer.split_once("\r\n\r\n") else { return false };
    match header(answer, "content-length") {
        Some(length) => body.len() == length.parse::<usize>().unwrap(),
        None => body.ends_with("\r\n0\r\n\r\n"),
    }
}

#[rstest]
#[case::held(HELD_BYTES)]
#[case::streamed(HELD_BYTES + 1)]
#[case::long(3_000_000)]
#[tokio::test]
async fn large_answers_come_whole(#[case] length: usize, #[values(false, true)] chunked: bool) {
    let body = "y".repeat(length);
    let answer = match chunked {
        true => format!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n"
        ),
        false => format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}"),
    };
    let (upstream, daemon) = start(vec![Behaviour::write(&answer)]).await;
    for _ in 0..2 {
        let answer = daemon.call(GET).await;
        assert!(is_complete(&answer));
        let body = answer.split_once("\r\n\r\n").unwrap().1;
        assert_eq!(body.bytes().filter(|&byte| byte == b'y').count(), length);
    }
    // Each counts as completed, and its connection is kept.
    let counted = |metrics: &str| metrics.contains("jujubedeal_attempts_total{");
    let metrics = daemon.wait_for("/metrics", counted).await;
    assert!(metrics.contains("jujubedeal_attempts_total{end=\"completed\""), "{metrics}");
    // A kept connection is idle a moment after its answer; a call in that moment opens
    // another. Without keeping, each call would.
    for _ in 0..MORE_CALLS {
        daemon.call(GET).await;
    }
    let connections = upstream.seen().connections;
    assert!(connections <= 1 + MORE_CALLS / 2, "{connections}");
}

/// Calls that must share connections.
const MORE_CALLS: usize = 10;

#[rstest]
#[case::before_head("")]
#[case::held("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok")]
#[case::streamed("HTTP/1.1 200 OK\r\ncontent-length: 999\r\n\r\nok")]
#[tokio::test]
async fn a_caller_that_hangs_up_cancels_the_upstream_request(#[case] first: &str) {
    let (upstream, daemon) = start(vec![Behaviour::write(first)]).await;
    let mut stream = TcpStream::connect(daemon.caller).await.unwrap();
    stream.write_all(GET.as_bytes()).await.unwrap();
    upstream.wait_for(|seen| seen.requests.len() == 1).await;
    drop(stream);
    upstream.wait_for(|seen| seen.closed == 1).await;
    let idle = |state: &str| state.contains("\"calls\": 0") && !state.contains("\"in_flight\": 1");
    daemon.wait_for("/state", idle).await;
}

#[rstest]
#[case::head("HEAD", "HTTP/1.1 200 OK\r\ncontent-length: 5000\r\n\r\n", 200, Some("5000"))]
#[case::not_modified("GET", "HTTP/1.1 304 X\r\netag: x\r\n\r\n", 304, None)]
#[case::empty_error("GET", "HTTP/1.1 404 X\r\ncontent-length: 0\r\n\r\n", 404, Some("0"))]
#[tokio::test]
async fn bodiless_answers_stay_so(
    #[case] method: &str,
    #[case] behaviour: &str,
    #[case] status: u16,
    #[case] length: Option<&str>,
) {
    let (_upstream, daemon) = start(vec![Behaviour::write(behaviour)]).await;
    let answer = daemon.call(&GET.replace("GET", method)).await;
    assert_eq!(verdict(&answer), (status, None), "{answer}");
    assert_eq!(header(&answer, "content-length"), length, "{answer}");
    assert!(answer.ends_with("\r\n\r\n"), "{answer}");
}

#[tokio::test]
async fn speaks_http_2_with_prior_knowledge() {
    let body = "z".repeat(5000);
    let large = format!("HTTP/1.1 200 OK\r\ncontent-length: 5000\r\n\r\n{body}");
    let cut = "HTTP/1.1 200 OK\r\ncontent-length: 5000\r\n\r\nz";
    let (upstream, daemon) =
        start(vec![Behaviour::ok(), Behaviour::write(&large), Behaviour::write_and_close(cut)])
            .await;
    let client = reqwest::Client::builder().http2_prior_knowledge().no_proxy().build().unwrap();
    let url = format!("http://{}/parts", daemon.caller);
    let post = || client.post(&url).body("abc").send();
    assert_eq!(post().await.unwrap().text().await.unwrap(), "ok");
    assert_eq!(post().await.unwrap().text().await.unwrap(), body);
    post().await.unwrap().text().await.unwrap_err();
    let requests = upstream.seen().requests;
    assert_eq!(requests.len(), 3);
    assert_eq!(header(&requests[0], "host"), Some(daemon.caller.to_string().as_str()));
}

/// The head of a streamed answer and what came before the break reach the caller, however
/// soon the break follows.
#[rstest]
#[case::stated("content-length: 5000\r\n\r\nz")]
#[case::stated_without_body("content-length: 5000\r\n\r\n")]
#[tokio::test]
async fn a_break_does_not_overtake_the_head(#[case] cut: &str, #[values(1, 2)] version: u8) {
    let cut = format!("HTTP/1.1 200 OK\r\nx-mine: 1\r\n{cut}");
    let (_upstream, daemon) = start(vec![Behaviour::write_and_close(&cut)]).await;
    let builder = reqwest::Client::builder().no_proxy();
    let builder = if version == 2 { builder.http2_prior_knowledge() } else { builder };
    let client = builder.build().unwrap();
    let url = format!("http://{}/parts", daemon.caller);
    for _ in 0..10 {
        let answer = client.get(&url).send().await.unwrap();
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.headers()["x-mine"], "1");
        answer.bytes().await.unwrap_err();
    }
}
