//! Callers that are late or send in small pieces delay nobody else.
#![allow(clippy::unwrap_used)]

mod support;

use std::io::Write;
use std::sync::mpsc;
use std::time::Duration;
use support::bodies::{Frame, encode, held_for_requests, receive, start, text};
use support::caller::{Caller, get};
use support::upstream::{Behaviour, StandInUpstream};
use support::{LogsOnFailure, caller_address, on_one_thread, ready, wait_until};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Runs a test on a thread of its own, and fails if the thread is kept for longer than this.
fn within<F: Future<Output = ()>>(limit: Duration, test: impl FnOnce() -> F + Send + 'static) {
    let (done, is_done) = mpsc::channel();
    let running = std::thread::spawn(move || {
        on_one_thread(test());
        let _ = done.send(());
    });
    match is_done.recv_timeout(limit) {
        Err(mpsc::RecvTimeoutError::Timeout) => panic!("one connection keeps the thread"),
        Ok(()) | Err(mpsc::RecvTimeoutError::Disconnected) => running.join().unwrap(),
    }
}

/// Guards against the failure of review/1: a head that stays incomplete behind a pending request
/// returns the same passed moment again and again, and nobody else is served.
#[test]
fn a_late_head_behind_a_pending_request_stalls_nobody() {
    within(Duration::from_secs(15), async || {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _) = ready(&[&upstream]).await;
        let _logs = LogsOnFailure::of([&gateway]);
        upstream.add_to_script([Behaviour::Slow(1_100)]);
        let mut late = TcpStream::connect(caller_address(&gateway)).await.unwrap();
        let text = get("/any/x", "slow") + &get("/any/x", "late")[..40];
        late.write_all(text.as_bytes()).await.unwrap();
        wait_until("the first is being served", || upstream.requests().len() == 1).await;
        // Until the head is late: 500 ms.
        tokio::time::sleep(Duration::from_millis(600)).await;
        let mut other = Caller::connect(caller_address(&gateway)).await;
        assert_eq!(other.exchange(&get("/any/x", "other")).await.status, 200);
        let mut buffer = Vec::new();
        for status in [200, 408] {
            let got = support::bodies::receive_next(&mut late, &mut buffer).await.unwrap();
            assert_eq!(got.0.status, status);
        }
    });
}

/// Guards against a caller that is refused as late, though its request had arrived before this
/// process was held up.
#[test]
fn a_host_that_was_suspended_reads_before_it_judges_a_caller_as_late() {
    within(Duration::from_secs(15), async || {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _) = ready(&[&upstream]).await;
        let _logs = LogsOnFailure::of([&gateway]);
        let text = get("/any/x", "id-1").replace("X-Deadline-Ms: 1200", "X-Deadline-Ms: 9000");
        let (first, rest) = text.split_at(40);
        let mut stream = TcpStream::connect(caller_address(&gateway)).await.unwrap();
        stream.write_all(first.as_bytes()).await.unwrap();
        tokio::time::sleep(Duration::from_millis(100)).await;
        // Both in one turn of this thread, which the host shares.
        socket2::SockRef::from(&stream).send(rest.as_bytes()).unwrap();
        clock::testing::suspend(Duration::from_secs(4));
        assert_eq!(receive(&mut stream).await.unwrap().0.status, 200);
    });
}

/// Guards against a caller that is never refused, as each byte that it sends earns it more time.
#[test]
fn a_head_that_trickles_in_is_refused() {
    within(Duration::from_secs(15), async || {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _) = ready(&[&upstream]).await;
        let mut stream = TcpStream::connect(caller_address(&gateway)).await.unwrap();
        let (mut reader, mut writer) = stream.split();
        let trickling = async {
            for byte in get("/any/x", "id-1").as_bytes().chunks(1) {
                if writer.write_all(byte).await.is_err() {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        };
        let mut response = [0; 12];
        tokio::select! {
            () = trickling => panic!("it was never refused"),
            read = tokio::io::AsyncReadExt::read_exact(&mut reader, &mut response) => {
                read.unwrap();
            }
        }
        assert_eq!(&response, b"HTTP/1.1 408");
    });
}

/// Guards against the failure of review/2: a body in small chunks is read in one go, and costs the
/// square of what is read ahead, while nobody else is served.
#[test]
fn a_body_in_small_chunks_stalls_nobody() {
    const BYTES: usize = 4 << 20;
    within(Duration::from_secs(60), async || {
        let upstream = StandInUpstream::start("i-1").await;
        let gateway = start(&[&upstream]).await;
        let _logs = LogsOnFailure::of([&gateway]);
        let address = caller_address(&gateway);
        let mut small = Caller::connect(address).await;
        assert_eq!(small.exchange(&get("/any/x", "before")).await.status, 200);
        let sending = std::thread::spawn(move || {
            let body = text(BYTES, 1);
            let bytes = encode("/once/x", "large", body.as_bytes(), Frame::Chunks(16));
            let mut stream = std::net::TcpStream::connect(address).unwrap();
            stream.write_all(&bytes).unwrap();
            stream
        });
        let has_large = || upstream.requests().iter().any(|it| it.id == "large");
        wait_until("its head is read", || held_for_requests(&gateway) > 100_000 || has_large())
            .await;
        let mut served = 0;
        while !has_large() {
            let got = small.exchange(&get("/any/x", &format!("small-{served}"))).await;
            assert_eq!(got.status, 200);
            served += 1;
        }
        assert!(served >= 10, "{served} others were served meanwhile");
        drop(sending.join().unwrap());
    });
}
