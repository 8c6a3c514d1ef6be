//! Responses stay within the host's memory, whatever their status, size and place in a pipeline.
#![allow(clippy::unwrap_used)]

mod support;

use gateway::http1::Framing;
use gateway::memory::HeldFor;
use rstest::rstest;
use support::bodies::{MEMORY_BYTES, ONE_READ_BYTES, receive, receive_next, start, watch};
use support::caller::{Caller, get, post};
use support::upstream::{Behaviour, BodyEnd, LongBody, StandInUpstream, long_body};
use support::{LogsOnFailure, caller_address, on_one_thread, wait_until};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};

/// What all responses may hold.
const MAX_RESPONSE_BYTES: usize = MEMORY_BYTES / 32 * 10;

/// Guards against failures of upstreams with long bodies that are held whole, up to 16 MiB each.
#[rstest]
#[case::delivered("POST", "/once/x", 1)]
#[case::kept_during_a_retry("GET", "/any/x", 2)]
fn long_failures_of_upstreams_stay_within_the_memory_and_are_delivered(
    #[case] method: &str,
    #[case] path: &str,
    #[case] attempts: usize,
) {
    const BYTES: usize = 4 << 20;
    const CALLERS: usize = 5;
    on_one_thread(async {
        let upstreams = [StandInUpstream::start("i-1").await, StandInUpstream::start("i-2").await];
        let gateway = start(&[&upstreams[0], &upstreams[1]]).await;
        let _logs = LogsOnFailure::of([&gateway]);
        let most = watch(&gateway, |memory| memory.held_bytes(HeldFor::Responses));
        for upstream in &upstreams {
            upstream.add_to_script(vec![Behaviour::LongFailure(BYTES); CALLERS * attempts]);
        }
        let mut callers = Vec::new();
        for n in 0..CALLERS {
            let socket = TcpSocket::new_v4().unwrap();
            socket.set_recv_buffer_size(16 * 1024).unwrap();
            let mut stream = socket.connect(caller_address(&gateway)).await.unwrap();
            let id = format!("id-{n}");
            let text = if method == "GET" { get(path, &id) } else { post(path, &id, "{}") };
            stream.write_all(text.as_bytes()).await.unwrap();
            callers.push(stream);
        }
        let received = || upstreams.iter().map(|it| it.requests().len()).sum::<usize>();
        wait_until("all were sent", || received() == CALLERS * attempts).await;
        for mut stream in callers {
            let (head, body) = receive(&mut stream).await.unwrap();
            assert_eq!(head.status, 500);
            assert!(body == long_body(BYTES), "{} bytes", body.len());
        }
        let most = most.get();
        assert!(most <= MAX_RESPONSE_BYTES + ONE_READ_BYTES, "{most} bytes were held");
        assert_eq!(gateway.host().memory.held_bytes(HeldFor::Responses), 0);
    });
}

/// Guards against responses that pile up behind a slow one in a pipeline.
#[test]
fn pipelined_responses_stay_within_the_memory_and_keep_their_order() {
    const BYTES: usize = 60_000;
    const CALLERS: usize = 6;
    const PIPELINED: usize = 32;
    on_one_thread(async {
        let mut upstreams = Vec::new();
        for n in 0..16 {
            upstreams.push(StandInUpstream::start(&format!("i-{n}")).await);
        }
        let gateway = start(&upstreams.iter().collect::<Vec<_>>()).await;
        let _logs = LogsOnFailure::of([&gateway]);
        let most = watch(&gateway, |memory| memory.held_bytes(HeldFor::Responses));
        let mut small = Caller::connect(caller_address(&gateway)).await;
        for round in 0..50 {
            let got = small.exchange(&post("/once/x", &format!("before-{round}"), "{}")).await;
            assert_eq!(got.status, 200);
        }
        let framing = Framing::Length(BYTES as u64);
        let whole = Behaviour::Long(LongBody { bytes: BYTES, framing, end: BodyEnd::Whole });
        for upstream in &upstreams {
            upstream.add_to_script([Behaviour::Slow(1_500)]);
            upstream.add_to_script(vec![whole.clone(); CALLERS * PIPELINED]);
        }
        let request = |n, k| get("/any/x", &format!("id-{n}-{k}")).replace("1200", "8000");
        let mut callers = Vec::new();
        for n in 0..CALLERS {
            let mut stream = TcpStream::connect(caller_address(&gateway)).await.unwrap();
            stream.write_all(request(n, 0).as_bytes()).await.unwrap();
            callers.push(stream);
        }
        let received = || upstreams.iter().map(|it| it.requests().len()).sum::<usize>();
        wait_until("the first are being served", || received() == 50 + CALLERS).await;
        for (n, stream) in callers.iter_mut().enumerate() {
            let rest: String = (1..PIPELINED).map(|k| request(n, k)).collect();
            stream.write_all(rest.as_bytes()).await.unwrap();
        }
        for (n, stream) in callers.iter_mut().enumerate() {
            let mut buffer = Vec::new();
            for k in 0..PIPELINED {
                let (head, body) = receive_next(stream, &mut buffer).await.unwrap();
                assert_eq!(head.fields.get("x-request-id"), Some(format!("id-{n}-{k}").as_str()));
                assert_eq!(head.status, 200);
                assert!(body.len() < 100 || body == long_body(BYTES), "{} bytes", body.len());
            }
        }
        let most = most.get();
        assert!(most <= MAX_RESPONSE_BYTES, "{most} bytes were held");
    });
}
