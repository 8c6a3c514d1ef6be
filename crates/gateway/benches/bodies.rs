//! Cost of a request by the size of its body, collected and passed on. Caller, host and upstream
//! share a thread, whose processor time is measured, so what differs between two hosts is the host.
#![allow(clippy::unwrap_used)]

#[path = "../tests/support/mod.rs"]
mod support;

use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use gateway::run::Gateway;
use std::time::Duration;
use support::bodies::{Frame, encode, fill_memory, held_for_requests, start};
use support::thread_time::processor_time;
use support::upstream::StandInUpstream;
use support::{caller_address, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::{Builder, Runtime};
use tokio::task::LocalSet;

/// Sizes of bodies, in bytes.
const SIZES: [usize; 5] = [300, 15_000, 60_000, 1_000_000, 4_000_000];

/// Sizes of chunks, in bytes.
const CHUNK_SIZES: [usize; 5] = [1, 4, 32, 1_000, 64_000];

/// Length of a body in chunks.
const CHUNKED_BYTES: usize = 200_000;

/// A host with an upstream, and a caller's connection.
struct Bench {
    runtime: Runtime,
    tasks: LocalSet,
    gateway: Gateway,
    _upstream: StandInUpstream,
    stream: TcpStream,
    /// Callers that take the memory for large requests, until their deadlines.
    others: Vec<TcpStream>,
    is_full: bool,
}

impl Bench {
    fn new(is_full: bool) -> Bench {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        let tasks = LocalSet::new();
        let (gateway, upstream, stream) = tasks.block_on(&runtime, async {
            let upstream = StandInUpstream::start("i-1").await;
            let gateway = start(&[&upstream]).await;
            let stream = TcpStream::connect(caller_address(&gateway)).await.unwrap();
            (gateway, upstream, stream)
        });
        let others = Vec::new();
        Bench { runtime, tasks, gateway, _upstream: upstream, stream, others, is_full }
    }

    /// Sends requests one after the other, and returns the thread's time for them.
    fn measure(&mut self, request: &[u8], count: u64) -> Duration {
        let Bench { runtime, tasks, gateway, stream, others, is_full, .. } = self;
        tasks.block_on(runtime, async {
            if *is_full {
                others.clear();
                wait_until("they have left", || held_for_requests(gateway) < 100_000).await;
                *others = fill_memory(gateway).await;
            }
            let before = processor_time();
            for _ in 0..count {
                exchange(stream, request).await;
            }
            processor_time().saturating_sub(before)
        })
    }
}

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

fn bodies(criterion: &mut Criterion) {
    for (group, is_full) in [("collected", false), ("passed on", true)] {
        let mut group = criterion.benchmark_group(group);
        for bytes in SIZES {
            for (frame, name) in [(Frame::Length, "length"), (Frame::Chunks(16_384), "chunks")] {
                let request = encode("/once/x", "id-1", &vec![b'x'; bytes], frame);
                let mut bench = Bench::new(is_full);
                group.throughput(Throughput::Bytes(bytes as u64));
                group.sample_size(20);
                group.bench_function(format!("{bytes} B, {name}"), |bencher| {
                    bencher.iter_custom(|count| bench.measure(&request, count));
                });
            }
        }
        group.finish();
    }
}

/// A body of the same length in chunks of several sizes.
fn chunks(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("chunks");
    for chunk_bytes in CHUNK_SIZES {
        let body = vec![b'x'; CHUNKED_BYTES];
        let request = encode("/once/x", "id-1", &body, Frame::Chunks(chunk_bytes));
        let mut bench = Bench::new(false);
        group.throughput(Throughput::Bytes(CHUNKED_BYTES as u64));
        group.sample_size(10);
        group.bench_function(format!("of {chunk_bytes} B"), |bencher| {
            bencher.iter_custom(|count| bench.measure(&request, count));
        });
    }
    group.finish();
}

criterion_group!(benches, bodies, chunks);
criterion_main!(benches);
