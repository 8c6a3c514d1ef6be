//! Whole runs against upstreams on raw sockets that answer well or badly.

#![allow(clippy::unwrap_used)]

use domain::{ByteCount, Millis, Share};
use load::{
    Arrivals, Caller, LoadPlan, LoadReport, RouteLoad, Stream, Target, Targets, body_hash, drive,
};
use rstest::rstest;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const REQUESTS: u32 = 5;

/// What the peer does with each request.
#[derive(Debug, Clone, Copy)]
enum Peer {
    Answers,
    AnswersSomeoneElse,
    Refuses,
    CutsBody,
    CutsChunks,
    ClosesBeforeAnswer,
    StaysSilent,
    Redirects,
}

/// So long that a busy machine can't turn an answer into a loss.
const AMPLE_MS: Millis = Millis::from_secs(600);
/// For peers that never answer.
const SHORT_MS: Millis = Millis(100);

fn plan(timeout_ms: Millis) -> LoadPlan {
    let route = RouteLoad {
        path: "/x".to_owned(),
        weight: Share(1.0),
        at_most_once: true,
        body_bytes: ByteCount(10),
        timeout_ms,
    };
    LoadPlan {
        seed: 1,
        warm_up_ms: Millis(0),
        duration_ms: Millis(1),
        grace_ms: SHORT_MS,
        streams: vec![Stream {
            arrivals: Arrivals::Bursts { size: REQUESTS, every_ms: Millis(1000) },
            callers: vec![Caller { caller: "a".parse().unwrap(), weight: Share(1.0) }],
            routes: vec![route],
        }],
    }
}

async fn serve(peer: Peer) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(converse(stream, peer));
        }
    });
    address
}

/// An address that refuses connections: no other test listens on this IP.
async fn closed_address() -> SocketAddr {
    TcpListener::bind("127.0.0.3:0").await.unwrap().local_addr().unwrap()
}

async fn converse(mut stream: TcpStream, peer: Peer) {
    while let Some((id, body)) = read_request(&mut stream).await {
        let echo = echo(&id, &body);
        let head = "HTTP/1.1 200 OK\r\nx-upstream: u1\r\n";
        let (text, closes) = match peer {
            Peer::Answers => (with_length(head, &echo, echo.len()), false),
            Peer::AnswersSomeoneElse => {
                let other = self::echo("t-999", &body);
                (with_length(head, &other, other.len()), false)
            }
            Peer::Refuses => {
                let head = "HTTP/1.1 503 X\r\nx-cause: queue-full\r\nx-outcome: not-run\r\n";
                (with_length(head, "", 0), false)
            }
            Peer::CutsBody => (with_length(head, &echo, echo.len() + 1), true),
            Peer::CutsChunks => {
                let chunk = format!("{:x}\r\n{echo}\r\n", echo.len());
                (format!("{head}transfer-encoding: chunked\r\n\r\n{chunk}"), true)
            }
            Peer::ClosesBeforeAnswer => (String::new(), true),
            Peer::StaysSilent => (String::new(), false),
            Peer::Redirects => {
                let head = "HTTP/1.1 302 Found\r\nx-upstream: u1\r\nlocation: /y\r\n";
                (with_length(head, "", 0), false)
            }
        };
        stream.write_all(text.as_bytes()).await.unwrap();
        if closes {
            return;
        }
    }
}

fn with_length(head: &str, body: &str, length: usize) -> String {
    format!("{head}content-length: {length}\r\n\r\n{body}")
}

fn echo(id: &str, body: &[u8]) -> String {
    let (length, hash) = (body.len(), body_hash(body));
    format!(
        r#"{{"upstream":"u1","request":"{id}","body_bytes":{length},"body_hash":"{hash}","padding":""}}"#
    )
}

/// Id and body of the next request; none when the other side is done.
async fn read_request(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let header = |name: &str| {
                let line = head.lines().find_map(|line| line.strip_prefix(name))?;
                Some(line.trim().to_owned())
            };
            let length: usize = header("content-length:").unwrap().parse().unwrap();
            if body.len() >= length {
                return Some((header("x-request:").unwrap(), body.as_bytes().to_vec()));
            }
        }
        let mut buffer = [0; 1024];
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

async fn run(timeout_ms: Millis, addresses: &[SocketAddr]) -> LoadReport {
    let targets = Targets::new(
        addresses.iter().map(|a| Target { caller_address: *a, readiness_address: None }),
    );
    let outcome = drive(&plan(timeout_ms), "t", &targets, std::future::pending()).await.unwrap();
    assert_eq!(outcome.at_most_once.len(), REQUESTS as usize);
    assert_eq!(outcome.told_not_run.len() as u64, outcome.report.refused_total());
    outcome.report
}

/// Counts: answered, refused, failed, lost, wrong.
fn check(report: &LoadReport, expected: [u64; 5]) {
    let found = [report.answered, report.refused_total(), report.failed, report.lost, report.wrong];
    assert_eq!(found, expected, "{report:?}");
    assert_eq!(report.sent, found.iter().sum::<u64>());
    assert_eq!(report.at_most_once_answered, report.answered);
}

#[rstest]
#[case(Peer::Answers, [5, 0, 0, 0, 0])]
#[case(Peer::AnswersSomeoneElse, [0, 0, 0, 0, 5])]
#[case(Peer::Refuses, [0, 5, 0, 0, 0])]
#[case(Peer::CutsBody, [0, 0, 0, 5, 0])]
#[case(Peer::CutsChunks, [0, 0, 0, 5, 0])]
#[case(Peer::ClosesBeforeAnswer, [0, 0, 0, 5, 0])]
#[case(Peer::StaysSilent, [0, 0, 0, 5, 0])]
#[case(Peer::Redirects, [0, 0, 5, 0, 0])]
#[tokio::test]
async fn each_answer_is_classified(#[case] peer: Peer, #[case] expected: [u64; 5]) {
    let timeout_ms = match peer {
        Peer::StaysSilent => SHORT_MS,
        _ => AMPLE_MS,
    };
    check(&run(timeout_ms, &[serve(peer).await]).await, expected);
}

#[tokio::test]
async fn a_refused_connection_moves_to_another_target_once() {
    let report = run(AMPLE_MS, &[closed_address().await, serve(Peer::Answers).await]).await;
    check(&report, [5, 0, 0, 0, 0]);
    assert!(report.retargeted > 0, "{report:?}");
}

#[tokio::test]
async fn nothing_moves_after_sending() {
    let addresses = [serve(Peer::ClosesBeforeAnswer).await, serve(Peer::Answers).await];
    let report = run(AMPLE_MS, &addresses).await;
    assert_eq!(report.retargeted, 0);
    assert!(report.lost > 0 && report.answered > 0, "{report:?}");
}

#[tokio::test]
async fn without_a_listener_all_is_lost() {
    check(&run(AMPLE_MS, &[closed_address().await]).await, [0, 0, 0, 5, 0]);
}

#[tokio::test]
async fn a_stop_ends_the_load() {
    let targets = Targets::new([Target {
        caller_address: serve(Peer::Answers).await,
        readiness_address: None,
    }]);
    let endless = LoadPlan { duration_ms: Millis::from_secs(3600), ..plan(AMPLE_MS) };
    let outcome = drive(&endless, "t", &targets, std::future::ready(())).await.unwrap();
    assert_eq!(outcome.report.sent, 0);
}
