//! The account of a host's memory, under drawn schedules.
#![allow(clippy::unwrap_used)]

mod support;

use domain::ByteCount;
use gateway::memory::{
    HeldBytes, HeldFor, HostMemory, MIN_RESPONSE_BYTES, OpenRequest, RECEIVE_BUFFER_BYTES,
    StreamPermit,
};
use proptest::prelude::*;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use support::bodies::{
    Frame, MAX_REQUEST_BYTES, MEMORY_BYTES, ONE_READ_BYTES, encode, held_for_requests, receive,
    start, text,
};
use support::upstream::StandInUpstream;
use support::{caller_address, on_one_thread, wait_until};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// What all responses may hold.
const MAX_RESPONSE_BYTES: usize = MEMORY_BYTES / 32 * 10;

/// What the kernel may hold for bodies that are passed on.
const MAX_RECEIVED_BYTES: usize = MEMORY_BYTES / 32 * 3;

/// Bytes of the largest small request.
const MAX_SMALL_BYTES: usize = 16_384;

/// A step of a schedule. Each reader asks before it reads, as the host does.
#[derive(Debug, Clone)]
enum Step {
    /// Reads bytes for a large request, if there is room.
    ReadLarge(usize),
    /// Reads bytes for a small request, if there is room.
    ReadSmall(usize),
    /// Reads bytes of a response, if there is room.
    ReadResponse(usize),
    /// Begins to serve a request, if its response has room.
    Open,
    /// Begins to pass on a body of which this much is left.
    PassOn(usize),
    /// Drops what was held by this one of the earlier steps.
    Drop(usize),
    /// Holds less for this one of the earlier steps.
    Shrink(usize, usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (1..400_000_usize).prop_map(Step::ReadLarge),
        3 => (1..MAX_SMALL_BYTES).prop_map(Step::ReadSmall),
        3 => (1..65_536_usize).prop_map(Step::ReadResponse),
        2 => Just(Step::Open),
        2 => (1..200_000_usize).prop_map(Step::PassOn),
        3 => any::<usize>().prop_map(Step::Drop),
        1 => (any::<usize>(), 0..1_000_usize).prop_map(|(at, bytes)| Step::Shrink(at, bytes)),
    ];
    prop::collection::vec(step, 1..400)
}

/// What a step holds, until it is dropped.
#[derive(Debug)]
enum Holding {
    Bytes(HeldBytes),
    Open { _guard: OpenRequest },
    Stream { _permit: StreamPermit },
}

fn hold(memory: &Rc<HostMemory>, held_for: HeldFor, bytes: usize) -> Holding {
    let held = memory.hold(held_for);
    held.set(bytes);
    Holding::Bytes(held)
}

fn run(memory: &Rc<HostMemory>, holdings: &mut Vec<Holding>, step: &Step) {
    let new = match *step {
        Step::ReadLarge(bytes) if memory.has_room_for_request(bytes) => {
            Some(hold(memory, HeldFor::Requests, bytes))
        }
        Step::ReadSmall(bytes) if memory.has_room_for_small_request() => {
            Some(hold(memory, HeldFor::ReadAhead, bytes))
        }
        Step::ReadResponse(bytes) if memory.has_room_for_response(bytes) => {
            Some(hold(memory, HeldFor::Responses, bytes))
        }
        Step::Open => {
            let guard = memory.open_request();
            memory.has_room_for_open_requests().then_some(Holding::Open { _guard: guard })
        }
        Step::PassOn(left) => memory.permit_stream(left).map(|it| Holding::Stream { _permit: it }),
        Step::Drop(at) if !holdings.is_empty() => {
            holdings.swap_remove(at % holdings.len());
            None
        }
        Step::Shrink(at, bytes) if !holdings.is_empty() => {
            let at = at % holdings.len();
            if let Holding::Bytes(held) = &holdings[at] {
                held.set(held.get().min(bytes));
            }
            None
        }
        _ => None,
    };
    holdings.extend(new);
}

/// A body: how its caller frames it, and in which pieces and pauses it sends.
#[derive(Debug, Clone)]
struct Upload {
    bytes: usize,
    frame: Frame,
    piece_bytes: usize,
    pause_every: usize,
}

fn uploads() -> impl Strategy<Value = Vec<Upload>> {
    let frame = prop_oneof![
        Just(Frame::Length),
        prop_oneof![1..10_usize, 10..2_000_usize, 2_000..200_000_usize].prop_map(Frame::Chunks),
    ];
    let bytes = prop_oneof![0..100_usize, 100..70_000_usize, 70_000..3_000_000_usize];
    let upload = (bytes, frame, 1_000..200_000_usize, 1..20_usize).prop_map(
        |(bytes, frame, piece_bytes, pause_every)| {
            // Chunks of some bytes are dear to parse; the body is shorter for them.
            let most = match frame {
                Frame::Chunks(size) => (size * 20_000).min(bytes),
                Frame::Length => bytes,
            };
            Upload { bytes: most, frame, piece_bytes, pause_every }
        },
    );
    prop::collection::vec(upload, 1..16)
}

async fn send(address: std::net::SocketAddr, upload: Upload, number: usize) -> u16 {
    let Upload { bytes, frame, piece_bytes, pause_every } = upload;
    let body = text(bytes, number);
    let bytes = encode("/once/x", &format!("id-{number}"), body.as_bytes(), frame);
    let mut stream = TcpStream::connect(address).await.unwrap();
    for (n, piece) in bytes.chunks(piece_bytes).enumerate() {
        stream.write_all(piece).await.unwrap();
        if n % pause_every == 0 {
            tokio::time::sleep(std::time::Duration::from_millis(1)).await;
        }
    }
    receive(&mut stream).await.unwrap().0.status
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    /// Guards against an order of steps after which more is held than a share allows, or an account
    /// that doesn't return to zero.
    #[test]
    fn no_share_is_exceeded(steps in steps()) {
        let memory = HostMemory::new(Some(ByteCount(MEMORY_BYTES as u64)));
        let mut holdings = Vec::new();
        for step in &steps {
            run(&memory, &mut holdings, step);
            let held = holdings.iter().map(|it| match it {
                Holding::Bytes(held) => held.get(),
                Holding::Open { .. } | Holding::Stream { .. } => 0,
            });
            let counted = memory.request_bytes() + memory.held_bytes(HeldFor::Responses);
            prop_assert_eq!(held.sum::<usize>(), counted);
            prop_assert!(memory.request_bytes() <= MAX_REQUEST_BYTES + MAX_SMALL_BYTES);
            let open = holdings.iter().filter(|it| matches!(it, Holding::Open { .. })).count();
            prop_assert!(open * MIN_RESPONSE_BYTES <= MAX_RESPONSE_BYTES);
            prop_assert!(memory.held_bytes(HeldFor::Responses) <= MEMORY_BYTES / 4);
            let streams = holdings.iter().filter(|it| matches!(it, Holding::Stream { .. })).count();
            prop_assert_eq!(streams, memory.streams());
        }
        drop(holdings);
        prop_assert_eq!(memory.request_bytes() + memory.held_bytes(HeldFor::Responses), 0);
        prop_assert_eq!(memory.streams(), 0);
    }

    /// Guards against a connection that waits for memory though there is some.
    #[test]
    fn whoever_waits_for_room_is_woken(bytes in 1..MEMORY_BYTES, parts in 1..50_usize) {
        let memory = HostMemory::new(Some(ByteCount(MEMORY_BYTES as u64)));
        let held: Vec<_> = (0..parts).map(|_| memory.hold(HeldFor::Requests)).collect();
        held.iter().for_each(|it| it.set(bytes));
        let mut waiting = Box::pin(memory.small_requests_have_room());
        let mut context = Context::from_waker(Waker::noop());
        let is_ready = waiting.as_mut().poll(&mut context) == Poll::Ready(());
        prop_assert_eq!(is_ready, memory.has_room_for_small_request());
        if !is_ready {
            drop(held);
            prop_assert_eq!(waiting.as_mut().poll(&mut context), Poll::Ready(()));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 12, ..ProptestConfig::default() })]

    /// Guards against bodies that are altered, not served or held beyond the bound in an order that
    /// no other test has.
    #[test]
    fn drawn_uploads_are_served_within_the_memory(uploads in uploads()) {
        on_one_thread(async {
            let names: Vec<_> = (0..3).map(|n| format!("i-{n}")).collect();
            let mut upstreams = Vec::new();
            for name in &names {
                upstreams.push(StandInUpstream::start(name).await);
            }
            let gateway = start(&upstreams.iter().collect::<Vec<_>>()).await;
            let _logs = support::LogsOnFailure::of([&gateway]);
            let address = caller_address(&gateway);
            let sending = uploads.iter().cloned().enumerate();
            let sending: Vec<_> =
                sending.map(|(n, it)| tokio::task::spawn_local(send(address, it, n))).collect();
            let mut most = 0;
            while sending.iter().any(|sent| !sent.is_finished()) {
                most = most.max(held_for_requests(&gateway));
                tokio::task::yield_now().await;
            }
            for sent in sending {
                assert_eq!(sent.await.unwrap(), 200);
            }
            assert!(most <= MAX_REQUEST_BYTES + ONE_READ_BYTES, "{most} bytes were held");
            let received: Vec<_> = upstreams.iter().flat_map(StandInUpstream::requests).collect();
            assert_eq!(received.len(), uploads.len());
            for request in received {
                let n: usize = request.id.strip_prefix("id-").unwrap().parse().unwrap();
                assert!(request.body == text(uploads[n].bytes, n), "{} is altered", request.id);
            }
            wait_until("all is released", || held_for_requests(&gateway) == 0).await;
        });
    }
}

/// The bounds that the design states.
#[test]
fn the_kernel_holds_no_more_than_its_share() {
    let memory = HostMemory::new(Some(ByteCount(MEMORY_BYTES as u64)));
    let large: Vec<_> = std::iter::from_fn(|| memory.permit_stream(usize::MAX)).collect();
    assert_eq!(large.len(), MAX_RECEIVED_BYTES / RECEIVE_BUFFER_BYTES as usize);
    drop(large);
    let small: Vec<_> = std::iter::from_fn(|| memory.permit_stream(10_000)).collect();
    assert_eq!(small.len(), MAX_RECEIVED_BYTES / 10_000);
}
