//! Cost of a request by the size of its body, collected and passed on. Caller, host and upstream
//! share a thread, whose processor time is measured, so what differs between two hosts is the host.
#![allow(clippy::unwrap_used)]

#[path = "../tests/support/mod.rs"]
mod support;

use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use gateway::run::Gateway;
use support::bodies::{Frame, encode, fill_memory, start};
use support::thread_time::processor_time;
use support::upstream::StandInUpstream;
use support::{caller_address, on_one_thread};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sizes of bodies, in bytes.
const SIZES: [usize; 5] = [300, 15_000, 60_000, 1_000_000, 4_000_000];

/// Sends a request and reads its short response.
async fn exchange(stream: &mut TcpStream, request: &[u8]) {
    let (mut reader, mut writer) = stream.split();
    let mut response = Vec::new();
    let reading = async {
        while !response.windows(4).any(|part| part == b"ran ") {
            assert!(reader.read_buf(&mut response).await.unwrap() > 0);
        }
    };
    let (sent, ()) = tokio::join!(writer.write_all(request), reading);
    sent.unwrap();
    assert!(response.starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(&response));
}

/// Sends requests on a new connection, and returns the thread's time for them.
async fn measure(gateway: &Gateway, request: &[u8], count: u64) -> std::time::Duration {
    let mut stream = TcpStream::connect(caller_address(gateway)).await.unwrap();
    exchange(&mut stream, request).await;
    let before = processor_time();
    for _ in 0..count {
        exchange(&mut stream, request).await;
    }
    processor_time().saturating_sub(before)
}

fn bodies(criterion: &mut Criterion) {
    for (group, is_full) in [("collected", false), ("passed on", true)] {
        let mut group = criterion.benchmark_group(group);
        for bytes in SIZES {
            for (frame, name) in [(Frame::Length, "length"), (Frame::Chunks(16_384), "chunks")] {
                let request = encode("/once/x", "id-1", &vec![b'x'; bytes], frame);
                group.throughput(Throughput::Bytes(bytes as u64));
                group.sample_size(10);
                group.bench_function(format!("{bytes} B, {name}"), |bencher| {
                    bencher.iter_custom(|count| {
                        let mut took = std::time::Duration::ZERO;
                        on_one_thread(async {
                            let upstream = StandInUpstream::start("i-1").await;
                            let gateway = start(&[&upstream]).await;
                            let _others =
                                if is_full { fill_memory(&gateway).await } else { Vec::new() };
                            took = measure(&gateway, &request, count).await;
                        });
                        took
                    });
                });
            }
        }
        group.finish();
    }
}

criterion_group!(benches, bodies);
criterion_main!(benches);
