//! The attempt sender against an upstream on a raw socket: what an HTTP client might do by
//! itself, and how far a failed attempt got.
#![allow(clippy::unwrap_used)]

mod support;

use bytes::Bytes;
use clock::Clock;
use daemon::answer::{Answer, AnswerBody};
use daemon::attempts::{AttemptSender, plain_client};
use daemon::connection_share::ConnectionShares;
use daemon::request::CallRequest;
use daemon::send_gate::{GatedBody, SendGate};
use decision_core::{Attempt, FailureStage};
use domain::{AttemptId, ByteCount, CallId, Connections, Millis};
use futures_util::{FutureExt, StreamExt, future::join_all};
use reqwest::{Body, Url};
use rstest::rstest;
use std::net::SocketAddr;
use std::pin::pin;
use support::{Behaviour, RawUpstream, header};

const HELD: ByteCount = ByteCount(16);
const LONG: Millis = Millis::from_secs(30);
const PLENTY: Connections = Connections(16);

/// How an attempt must end, as text that a table can hold.
#[derive(Debug, Clone, PartialEq, Eq)]
enum End {
    Whole(u16, &'static str),
    /// Status, and the stage at which its stream breaks off.
    Cut(u16, FailureStage),
    Failed(FailureStage),
}

struct Fixture {
    sender: AttemptSender,
    clock: Clock,
}

impl Fixture {
    fn new() -> Fixture {
        let clock = Clock::start();
        let host = "e1".parse().unwrap();
        let zone = "kariakoo".parse().unwrap();
        Fixture { sender: AttemptSender::new(plain_client().unwrap(), clock, &host, &zone), clock }
    }

    fn attempt(&self, address: SocketAddr, timeout: Millis) -> Attempt {
        Attempt {
            attempt: AttemptId(1),
            call: CallId(1),
            service: "parts".parse().unwrap(),
            upstream: "parts-1".parse().unwrap(),
            address,
            deadline_ms: self.clock.now() + timeout,
            spent_attempts: 2,
            depth: 3,
            connections: PLENTY,
        }
    }

    async fn send(&self, attempt: &Attempt, body: &'static str) -> Result<Answer, FailureStage> {
        let gate = self.sender.gate(attempt);
        self.sender.send(attempt, &request(body), &gate, HELD).await
    }
}

fn request(body: &'static str) -> CallRequest {
    let (mut head, ()) = http::Request::post("/orders?x=1")
        .header("host", "parts.test")
        .body(())
        .unwrap()
        .into_parts();
    if body.is_empty() {
        head.method = http::Method::GET;
    }
    let mut request = CallRequest::from_head(head).unwrap();
    request.body = Bytes::from_static(body.as_bytes());
    request
}

async fn end_of(sent: Result<Answer, FailureStage>) -> End {
    let answer = match sent {
        Err(stage) => return End::Failed(stage),
        Ok(answer) => answer,
    };
    let status = answer.status.as_u16();
    match answer.body {
        AnswerBody::Whole(bytes) => {
            End::Whole(status, String::from_utf8(bytes.to_vec()).unwrap().leak())
        }
        AnswerBody::Stream { mut rest, .. } => {
            let mut read = Vec::new();
            while let Some(chunk) = rest.next().await {
                match chunk {
                    Ok(bytes) => read.extend_from_slice(&bytes),
                    Err(stage) => return End::Cut(status, stage),
                }
            }
            End::Whole(status, String::from_utf8(read).unwrap().leak())
        }
    }
}

const LARGE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n01234567890123456789";
const LARGE_CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
                             14\r\n01234567890123456789\r\n0\r\n\r\n";

#[rstest]
#[case::whole(Behaviour::ok(), End::Whole(200, "ok"))]
#[case::chunked(
    Behaviour::write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
    End::Whole(200, "ok")
)]
#[case::large(Behaviour::write(LARGE), End::Whole(200, "01234567890123456789"))]
#[case::large_chunked(Behaviour::write(LARGE_CHUNKED), End::Whole(200, "01234567890123456789"))]
#[case::no_content(Behaviour::write("HTTP/1.1 204 No Content\r\n\r\n"), End::Whole(204, ""))]
#[case::redirect_not_followed(
    Behaviour::write("HTTP/1.1 307 Moved\r\nlocation: /other\r\ncontent-length: 0\r\n\r\n"),
    End::Whole(307, "")
)]
#[case::refusal_not_repeated(
    Behaviour::write("HTTP/1.1 503 Busy\r\nretry-after: 0\r\ncontent-length: 0\r\n\r\n"),
    End::Whole(503, "")
)]
#[case::encoding_kept(
    Behaviour::write("HTTP/1.1 200 OK\r\ncontent-encoding: gzip\r\ncontent-length: 4\r\n\r\nnogz"),
    End::Whole(200, "nogz")
)]
#[case::closed_before_answer(
    Behaviour::write_and_close(""),
    End::Failed(FailureStage::AfterSending)
)]
#[case::closed_within_head(
    Behaviour::write_and_close("HTTP/1.1 200 OK\r\ncontent-le"),
    End::Failed(FailureStage::AfterSending)
)]
#[case::no_http(
    Behaviour::write_and_close("hello\r\n\r\n"),
    End::Failed(FailureStage::AfterSending)
)]
#[case::upgraded_unasked(
    Behaviour::write(
        "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n"
    ),
    End::Failed(FailureStage::AfterSending)
)]
#[case::short_length_cut(
    Behaviour::write_and_close("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok"),
    End::Failed(FailureStage::AnswerCut)
)]
#[case::short_chunked_cut(
    Behaviour::write_and_close("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n"),
    End::Failed(FailureStage::AnswerCut)
)]
#[case::large_length_cut(
    Behaviour::write_and_close("HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\nok"),
    End::Cut(200, FailureStage::AnswerCut)
)]
#[case::large_chunked_cut(
    Behaviour::write_and_close(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n14\r\n01234567890123456789\r\n"
    ),
    End::Cut(200, FailureStage::AnswerCut)
)]
#[case::end_unknowable(
    Behaviour::write_and_close("HTTP/1.1 200 OK\r\n\r\nmaybe whole"),
    End::Failed(FailureStage::AnswerCut)
)]
#[tokio::test]
async fn arrives_once(
    #[case] behaviour: Behaviour,
    #[case] expected: End,
    #[values("", "payload")] body: &'static str,
) {
    let upstream = RawUpstream::start(vec![behaviour]).await;
    let fixture = Fixture::new();
    let attempt = fixture.attempt(upstream.address, LONG);
    let end = end_of(fixture.send(&attempt, body).await).await;
    assert_eq!(end, expected);
    let seen = upstream.seen();
    assert_eq!(seen.requests.len(), 1, "{seen:?}");
    assert_eq!(seen.connections, 1, "{seen:?}");
}

/// The second request goes out on the first one's connection, or finds it closed.
#[rstest]
#[case::reused(vec![Behaviour::ok()], End::Whole(200, "ok"))]
#[case::closed_when_it_arrives(
    vec![Behaviour::ok(), Behaviour::write_and_close("")],
    End::Failed(FailureStage::AfterSending)
)]
#[tokio::test]
async fn arrives_once_on_a_reused_connection(
    #[case] script: Vec<Behaviour>,
    #[case] expected: End,
    #[values("", "payload")] body: &'static str,
) {
    let upstream = RawUpstream::start(script).await;
    let fixture = Fixture::new();
    let attempt = fixture.attempt(upstream.address, LONG);
    assert_eq!(end_of(fixture.send(&attempt, body).await).await, End::Whole(200, "ok"));
    assert_eq!(end_of(fixture.send(&attempt, body).await).await, expected);
    let seen = upstream.seen();
    assert_eq!(seen.requests.len(), 2, "{seen:?}");
    assert_eq!(seen.connections, 1, "{seen:?}");
}

/// The upstream closes right after its answer: whether the pool notices in time or not, no
/// request arrives twice, and none that is said not to have been sent arrives at all.
#[rstest]
#[tokio::test]
async fn never_twice_when_an_idle_connection_closes(#[values("", "payload")] body: &'static str) {
    let close = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let upstream = RawUpstream::start(vec![Behaviour::write_and_close(close)]).await;
    let fixture = Fixture::new();
    let attempt = fixture.attempt(upstream.address, LONG);
    let (mut answered, mut unknown) = (0, 0);
    for _ in 0..50 {
        match end_of(fixture.send(&attempt, body).await).await {
            End::Whole(200, "ok") => answered += 1,
            End::Failed(FailureStage::AfterSending) => unknown += 1,
            other => panic!("unexpected {other:?}"),
        }
    }
    let arrived = upstream.seen().requests.len();
    assert!(answered <= arrived && arrived <= answered + unknown, "{answered} {unknown} {arrived}");
}

#[rstest]
#[case::silent(Behaviour::Silent, End::Failed(FailureStage::TimedOut))]
#[case::head_then_silent(
    Behaviour::write("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok"),
    End::Failed(FailureStage::TimedOut)
)]
#[case::large_then_silent(
    Behaviour::write("HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\nok"),
    End::Cut(200, FailureStage::TimedOut)
)]
#[tokio::test]
async fn ends_at_the_deadline(#[case] behaviour: Behaviour, #[case] expected: End) {
    let upstream = RawUpstream::start(vec![behaviour]).await;
    let fixture = Fixture::new();
    let attempt = fixture.attempt(upstream.address, Millis(2000));
    assert_eq!(end_of(fixture.send(&attempt, "payload").await).await, expected);
    upstream.wait_for(|seen| seen.closed == 1).await;
}

#[rstest]
#[tokio::test]
async fn sends_nothing_after_the_deadline(#[values("", "payload")] body: &'static str) {
    let upstream = RawUpstream::start(vec![Behaviour::ok()]).await;
    let fixture = Fixture::new();
    let attempt = fixture.attempt(upstream.address, Millis::ZERO);
    let expected = End::Failed(FailureStage::BeforeSending);
    assert_eq!(end_of(fixture.send(&attempt, body).await).await, expected);
    assert_eq!(upstream.seen().bytes, 0);
}

#[tokio::test]
async fn a_refused_connection_is_before_sending() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let fixture = Fixture::new();
    let attempt = fixture.attempt(closed, LONG);
    let end = end_of(fixture.send(&attempt, "payload").await).await;
    assert_eq!(end, End::Failed(FailureStage::BeforeSending));
}

/// The proof behind "not run": behind a shut gate not even the head leaves, on a new
/// connection and on a reused one.
#[rstest]
#[case::shut(true, LONG)]
#[case::expired(false, Millis::ZERO)]
#[tokio::test]
async fn a_shut_gate_lets_no_byte_out(#[case] shut: bool, #[case] time: Millis) {
    let upstream = RawUpstream::start(vec![Behaviour::ok()]).await;
    let client = plain_client().unwrap();
    let url: Url = format!("http://{}/", upstream.address).parse().unwrap();
    for warm in [false, true] {
        if warm {
            client.get(url.clone()).send().await.unwrap().bytes().await.unwrap();
        }
        let before = upstream.seen().bytes;
        let gate = SendGate::new(Clock::start(), time);
        if shut {
            assert!(gate.shut());
        }
        let body = Body::wrap(GatedBody::new(gate.clone(), Bytes::from_static(b"payload")));
        client.post(url.clone()).body(body).send().await.unwrap_err();
        assert!(gate.is_shut());
        assert!(!gate.pass());
        // The connection is given up; wait for its end, then count.
        upstream.wait_for(|seen| seen.closed == 1 + usize::from(warm)).await;
        assert_eq!(upstream.seen().bytes, before);
    }
}

#[tokio::test]
async fn tells_the_upstream_what_it_needs() {
    let upstream = RawUpstream::start(vec![Behaviour::ok()]).await;
    let fixture = Fixture::new();
    let attempt = fixture.attempt(upstream.address, LONG);
    fixture.send(&attempt, "payload").await.unwrap();
    let request = &upstream.seen().requests[0];
    assert!(request.starts_with("POST /orders?x=1 HTTP/1.1\r\n"), "{request}");
    assert!(request.ends_with("\r\n\r\npayload"), "{request}");
    for (name, value) in [
        ("host", "parts.test"),
        ("content-length", "7"),
        ("x-spent-attempts", "2"),
        ("x-depth", "3"),
        ("x-entry-host", "e1"),
        ("x-entry-zone", "kariakoo"),
    ] {
        assert_eq!(header(request, name), Some(value), "{name}");
    }
    let left_ms: u64 = header(request, "x-deadline-ms").unwrap().parse().unwrap();
    assert!((1..=LONG.0).contains(&left_ms), "{left_ms}");
}

#[tokio::test]
async fn dropping_an_answer_closes_the_connection() {
    let upstream = RawUpstream::start(vec![Behaviour::write(
        "HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\nok",
    )])
    .await;
    let fixture = Fixture::new();
    let attempt = fixture.attempt(upstream.address, LONG);
    let answer = fixture.send(&attempt, "payload").await.unwrap();
    drop(answer);
    upstream.wait_for(|seen| seen.closed == 1).await;
}

/// However many attempts there are, they use no more connections than allowed, and the
/// later ones use those of the earlier ones.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn stays_within_its_connections(
    #[values(1, 2, 7)] connections: u32,
    #[values("", "payload")] body: &'static str,
) {
    let mut script: Vec<_> =
        [LARGE, LARGE_CHUNKED].repeat(20).into_iter().map(Behaviour::write).collect();
    script.push(Behaviour::ok());
    let upstream = RawUpstream::start(script).await;
    let fixture = Fixture::new();
    let mut attempt = fixture.attempt(upstream.address, LONG);
    attempt.connections = Connections(connections);
    let sending = (0..200).map(|_| async { end_of(fixture.send(&attempt, body).await).await });
    for end in join_all(sending).await {
        assert!(matches!(end, End::Whole(200, _)), "{end:?}");
    }
    let seen = upstream.seen();
    assert_eq!(seen.requests.len(), 200);
    assert!(seen.connections <= connections as usize, "{}", seen.connections);
}

/// An attempt that gets no connection has sent nothing by its deadline.
#[rstest]
#[tokio::test]
async fn waits_for_a_connection_until_the_deadline(#[values("", "payload")] body: &'static str) {
    let upstream = RawUpstream::start(vec![Behaviour::Silent]).await;
    let fixture = Fixture::new();
    let attempt = |timeout| Attempt {
        connections: Connections(1),
        ..fixture.attempt(upstream.address, timeout)
    };
    let (long, short) = (attempt(LONG), attempt(Millis(100)));
    let mut first = pin!(fixture.send(&long, body));
    tokio::select! {
        _ = &mut first => panic!("answered"),
        _ = upstream.wait_for(|seen| seen.requests.len() == 1) => {}
    }
    let end = end_of(fixture.send(&short, body).await).await;
    assert_eq!(end, End::Failed(FailureStage::BeforeSending));
    assert_eq!(upstream.seen().requests.len(), 1);
    assert_eq!(upstream.seen().connections, 1);
}

/// The share that was stated last counts, also for connections in use; a connection comes
/// free when its attempt is let go of.
#[rstest]
#[case::same(2, 2, 2)]
#[case::more(1, 3, 3)]
#[case::fewer(3, 1, 1)]
#[tokio::test]
async fn follows_a_change_of_its_connections(
    #[case] before: u32,
    #[case] after: u32,
    #[case] expected: usize,
) {
    let shares = ConnectionShares::default();
    let address = "127.0.0.1:1".parse().unwrap();
    let take = |connections| shares.permit(address, Connections(connections)).now_or_never();
    let used: Vec<_> = (0..before).map(|_| take(before).unwrap()).collect();
    assert!(take(before).is_none());
    let more: Vec<_> = std::iter::from_fn(|| take(after)).collect();
    assert_eq!(more.len(), expected.saturating_sub(used.len()));
    drop(used);
    drop(more);
    let again: Vec<_> = std::iter::from_fn(|| take(after)).collect();
    assert_eq!(again.len(), expected);
}
