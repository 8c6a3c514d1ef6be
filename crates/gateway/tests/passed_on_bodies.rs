//! Bodies that are passed on while they arrive, as no memory is left to collect them, and what
//! follows if something fails halfway.
#![allow(clippy::unwrap_used)]

mod support;

use gateway::run::Gateway;
use rstest::rstest;
use std::time::Duration;
use support::bodies::{
    BODY_BYTES, Frame, ONE_READ_BYTES, encode, fill_memory, held_for_requests, receive, start, text,
};
use support::caller::{Caller, get, post};
use support::upstream::{Behaviour, StandInUpstream};
use support::{LogsOnFailure, caller_address, on_one_thread, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Bytes of a body that is longer than what is held of it.
const LONG: usize = 700_000;

async fn connect(gateway: &Gateway) -> TcpStream {
    TcpStream::connect(caller_address(gateway)).await.unwrap()
}

/// Has small requests served, so that the host knows the upstream.
async fn serve_small(gateway: &Gateway, name: &str) {
    let mut small = Caller::connect(caller_address(gateway)).await;
    for round in 0..50 {
        let got = small.exchange(&post("/once/x", &format!("{name}-{round}"), "{}")).await;
        assert_eq!(got.status, 200);
    }
}

fn long(id: &str, frame: Frame) -> Vec<u8> {
    encode("/once/x", id, text(LONG, 1).as_bytes(), frame)
}

/// Guards against a body that is altered where pieces meet, against bytes of it that are taken for
/// the next request, and against a connection that is closed though all was read.
#[rstest]
#[case::length(Frame::Length)]
#[case::in_large_chunks(Frame::Chunks(100_000))]
#[case::in_small_chunks(Frame::Chunks(700))]
fn a_body_that_is_passed_on_arrives_unchanged_and_the_connection_stays_open(
    #[case] frame: Frame,
    #[values(1, 1_000, 50_000)] piece_bytes: usize,
) {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let gateway = start(&[&upstream]).await;
        let _logs = LogsOnFailure::of([&gateway]);
        let _others = fill_memory(&gateway).await;
        let mut stream = connect(&gateway).await;
        for id in ["id-1", "id-2"] {
            let bytes = long(id, frame);
            // Odd pieces at the beginning, where framing and head are.
            let (first, rest) = bytes.split_at(2_000);
            for piece in first.chunks(piece_bytes) {
                stream.write_all(piece).await.unwrap();
                tokio::task::yield_now().await;
            }
            stream.write_all(rest).await.unwrap();
            assert_eq!(receive(&mut stream).await.unwrap().0.status, 200);
        }
        stream.write_all(get("/any/x", "id-3").as_bytes()).await.unwrap();
        assert_eq!(receive(&mut stream).await.unwrap().0.status, 200);
        let received = upstream.requests();
        assert_eq!(received.len(), 3);
        assert!(received[..2].iter().all(|it| it.body == text(LONG, 1)), "a body is altered");
        let log = gateway.host().log.take_buffered();
        assert_eq!(log.matches("body-passed-on").count(), 2, "{log}");
    });
}

/// Guards against a request that is sent again without the part of its body that was sent before,
/// and against a wrong "not run".
#[rstest]
#[case::passed_on(false, 1)]
#[case::collected(true, 2)]
fn a_rejected_body_is_sent_again_only_if_it_is_held(#[case] has_memory: bool, #[case] sent: usize) {
    on_one_thread(async {
        let upstreams = [StandInUpstream::start("i-1").await, StandInUpstream::start("i-2").await];
        let gateway = start(&[&upstreams[0], &upstreams[1]]).await;
        let _logs = LogsOnFailure::of([&gateway]);
        let _others = if has_memory { Vec::new() } else { fill_memory(&gateway).await };
        upstreams.iter().for_each(|it| it.add_to_script([Behaviour::NotRun]));
        let mut stream = connect(&gateway).await;
        stream.write_all(&long("id-1", Frame::Length)).await.unwrap();
        let (head, _) = receive(&mut stream).await.unwrap();
        assert!(head.status == 503 && head.fields.get("retry-after").is_some());
        let received: Vec<_> = upstreams.iter().flat_map(StandInUpstream::requests).collect();
        assert_eq!(received.len(), sent);
        assert!(received.iter().all(|it| it.body == text(LONG, 1)));
    });
}

/// Guards against an early response that its caller never reads, as a reset overtakes it.
#[test]
fn an_early_response_reaches_a_caller_that_sends_on() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let gateway = start(&[&upstream]).await;
        let _others = fill_memory(&gateway).await;
        upstream.add_to_script([Behaviour::EarlyResponse]);
        let mut stream = connect(&gateway).await;
        let body = text(8 << 20, 1);
        stream.write_all(&encode("/once/x", "id-1", body.as_bytes(), Frame::Length)).await.unwrap();
        let (head, _) = receive(&mut stream).await.unwrap();
        assert_eq!(head.status, 413);
        assert!(head.fields.lists("connection", "close"));
        assert_eq!(stream.read(&mut [0]).await.unwrap(), 0);
    });
}

/// Guards against a response that waits for a body which nobody passes on any more.
#[test]
fn a_response_that_begins_before_the_body_ends_is_whole() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let gateway = start(&[&upstream]).await;
        let _logs = LogsOnFailure::of([&gateway]);
        let _others = fill_memory(&gateway).await;
        upstream.add_to_script([Behaviour::Echo]);
        let (mut reader, mut writer) = connect(&gateway).await.into_split();
        let sending = tokio::task::spawn_local(async move {
            for piece in long("id-1", Frame::Length).chunks(50_000) {
                writer.write_all(piece).await.unwrap();
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            writer
        });
        let mut received = Vec::new();
        let reading = async {
            while !received.ends_with(b"\r\n0\r\n\r\n") {
                assert!(reader.read_buf(&mut received).await.unwrap() > 0, "it is broken off");
            }
        };
        assert!(tokio::time::timeout(support::WAIT_TIMEOUT, reading).await.is_ok());
        let _writer = sending.await.unwrap();
        assert!(received.len() > LONG);
    });
}

/// Guards against a request that runs though its caller left before the end of its body.
#[rstest]
fn an_incomplete_request_ends_with_its_caller(#[values("/once/x", "/any/x")] path: &str) {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let gateway = start(&[&upstream]).await;
        let _others = fill_memory(&gateway).await;
        let filled = held_for_requests(&gateway);
        let mut stream = connect(&gateway).await;
        let bytes = encode(path, "id-1", text(LONG, 1).as_bytes(), Frame::Length);
        stream.write_all(&bytes[..bytes.len() - 1]).await.unwrap();
        wait_until("it is passed on", || upstream.open() > 0).await;
        drop(stream);
        wait_until("its connection is closed", || upstream.open() == 0).await;
        assert_eq!(upstream.requests(), []);
        wait_until("it is released", || held_for_requests(&gateway) == filled).await;
        assert_eq!(gateway.host().memory.streams(), 0);
    });
}

/// Guards against a caller that holds an upstream beyond its own deadline, and an upstream that is
/// blamed for it.
#[test]
fn a_caller_that_stops_is_answered_at_its_deadline() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let gateway = start(&[&upstream]).await;
        let _logs = LogsOnFailure::of([&gateway]);
        let _others = fill_memory(&gateway).await;
        let mut stream = connect(&gateway).await;
        let bytes = String::from_utf8(long("id-1", Frame::Length)).unwrap();
        let bytes = bytes.replace("X-Deadline-Ms: 8000", "X-Deadline-Ms: 900");
        stream.write_all(&bytes.as_bytes()[..LONG / 2]).await.unwrap();
        assert_eq!(receive(&mut stream).await.unwrap().0.status, 504);
        let host = gateway.host();
        let id = "i-1".parse().unwrap();
        assert_eq!(host.upstreams.borrow().get(&id).unwrap().failure_rate(host.now_ms()), 0.0);
        let got =
            Caller::connect(caller_address(&gateway)).await.exchange(&get("/any/x", "id-2")).await;
        assert_eq!(got.status, 200);
    });
}

/// Guards against memory that is held for a request which can't be served any more.
#[test]
fn a_body_that_is_not_collected_by_its_deadline_is_dropped() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let gateway = start(&[&upstream]).await;
        let mut stream = connect(&gateway).await;
        let bytes = String::from_utf8(long("id-1", Frame::Length)).unwrap();
        let bytes = bytes.replace("X-Deadline-Ms: 8000", "X-Deadline-Ms: 300");
        stream.write_all(&bytes.as_bytes()[..LONG / 2]).await.unwrap();
        let (head, _) = receive(&mut stream).await.unwrap();
        assert_eq!(head.status, 408);
        assert_eq!(upstream.requests(), []);
        drop(stream);
        wait_until("it is released", || held_for_requests(&gateway) == 0).await;
    });
}

/// Guards against a body beyond the limit, or with malformed framing, that runs all the same.
#[rstest]
#[case::too_large(BODY_BYTES + 1, b"", 413)]
#[case::malformed(LONG, b"no size\r\n", 400)]
fn a_body_that_turns_out_wrong_is_refused_midway(
    #[case] bytes: usize,
    #[case] wrong: &[u8],
    #[case] status: u16,
) {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let gateway = start(&[&upstream]).await;
        let _others = fill_memory(&gateway).await;
        let mut stream = connect(&gateway).await;
        let body = text(bytes, 1);
        let mut sent = encode("/once/x", "id-1", body.as_bytes(), Frame::Chunks(100_000));
        if !wrong.is_empty() {
            sent.truncate(sent.len() - b"0\r\n\r\n".len());
            sent.extend_from_slice(wrong);
        }
        stream.write_all(&sent).await.unwrap();
        assert_eq!(receive(&mut stream).await.unwrap().0.status, status);
        assert_eq!(upstream.requests(), []);
    });
}

/// Guards against small requests that suffer for callers that send large ones slowly, also on the
/// slots of upstreams.
#[test]
fn many_slow_bodies_leave_small_requests_alone() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let gateway = start(&[&upstream]).await;
        let _logs = LogsOnFailure::of([&gateway]);
        serve_small(&gateway, "before").await;
        let _others = fill_memory(&gateway).await;
        let mut slow = Vec::new();
        for n in 0..20 {
            let mut stream = connect(&gateway).await;
            let bytes = long(&format!("slow-{n}"), Frame::Length);
            stream.write_all(&bytes[..ONE_READ_BYTES]).await.unwrap();
            slow.push((stream, bytes));
        }
        wait_until("all are passed on", || gateway.host().memory.streams() == 20).await;
        serve_small(&gateway, "small").await;
        for (stream, bytes) in &mut slow {
            stream.write_all(&bytes[ONE_READ_BYTES..]).await.unwrap();
        }
        for (mut stream, _) in slow {
            let status = receive(&mut stream).await.unwrap().0.status;
            // All are complete at the same moment, at an upstream with six slots.
            assert!([200, 503].contains(&status), "{status}");
        }
    });
}

/// Guards against a kernel that holds more than is left for it.
#[test]
fn more_slow_bodies_than_fit_are_refused_before_they_are_sent() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let gateway = start(&[&upstream]).await;
        let _logs = LogsOnFailure::of([&gateway]);
        serve_small(&gateway, "before").await;
        let _others = fill_memory(&gateway).await;
        let mut slow = Vec::new();
        let refused = loop {
            assert!(slow.len() < 100, "none is refused");
            let mut stream = connect(&gateway).await;
            let bytes = long(&format!("slow-{}", slow.len()), Frame::Length);
            stream.write_all(&bytes[..ONE_READ_BYTES]).await.unwrap();
            let passed_on = slow.len() + 1;
            let is_passed_on = || gateway.host().memory.streams() == passed_on;
            tokio::select! {
                () = wait_until("it is passed on", is_passed_on) => slow.push(stream),
                response = receive(&mut stream) => break response,
            }
        };
        let (head, _) = refused.unwrap();
        assert_eq!((head.status, head.fields.get("x-refusal-cause")), (503, Some("overloaded")));
        assert!(head.fields.get("retry-after").is_some());
        assert_eq!(slow.len(), 24, "3/32 of 16 MiB hold 24 receive buffers");
    });
}
