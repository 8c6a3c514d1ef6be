//! Upstreams that send bytes without end: an exchange ends in time, whatever never ends of it.
#![allow(clippy::unwrap_used)]

mod support;

use gateway::run::Gateway;
use rstest::rstest;
use std::time::{Duration, Instant};
use support::caller::{Caller, get};
use support::upstream::{Behaviour, Endless, StandInUpstream};
use support::{LogsOnFailure, caller_address, on_one_thread, ready, wait_until};
use tokio::io::AsyncReadExt;

/// How long the caller of an endless response waits, and the time to end it.
const DEADLINE: Duration = Duration::from_millis(600);
const SLACK: Duration = Duration::from_millis(250);

/// Most bytes that the sender of a malformed response gets rid of: what is read of it, and the
/// sockets' buffers on both sides.
const MAX_MALFORMED_BYTES: usize = 8 << 20;

fn order(id: &str) -> String {
    format!(
        "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {}\r\nContent-Length: 2\r\n\r\n{{}}",
        DEADLINE.as_millis()
    )
}

/// A host with one upstream that responds endlessly to its first order.
async fn start_with(endless: Endless) -> (StandInUpstream, Gateway, LogsOnFailure) {
    let upstream = StandInUpstream::start("i-1").await;
    let (gateway, _published) = ready(&[&upstream]).await;
    upstream.set_script_of("endless", [Behaviour::Endless(endless)]);
    let logs = LogsOnFailure::of([&gateway]);
    (upstream, gateway, logs)
}

/// Reads until the connection ends.
async fn read_to_end(caller: &mut Caller) {
    let mut bytes = vec![0; 64 * 1024];
    while matches!(caller.stream.read(&mut bytes).await, Ok(read) if read > 0) {}
}

/// Guards against a response whose body never ends, and which the host passes on past the time that
/// its caller and its route allow.
#[rstest]
#[case::chunks(Endless::Chunks)]
#[case::chunks_of_a_byte(Endless::SmallChunks)]
#[case::without_a_length(Endless::Body)]
fn a_body_without_end_is_broken_off_at_the_deadline(#[case] endless: Endless) {
    on_one_thread(async move {
        let (upstream, gateway, _logs) = start_with(endless).await;
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        let begun = Instant::now();
        caller.send(&order("endless")).await;
        let ended = tokio::time::timeout(DEADLINE + SLACK, read_to_end(&mut caller)).await;
        assert!(ended.is_ok(), "its caller still gets bytes");
        assert!(begun.elapsed() > DEADLINE - SLACK);
        wait_until("the upstream is told", || upstream.abandoned() == 1).await;
        assert!(begun.elapsed() < DEADLINE + SLACK);
    });
}

/// Guards against reading on for ever for a caller that left an order with an endless response.
#[rstest]
#[case::chunks(Endless::Chunks)]
#[case::chunks_of_a_byte(Endless::SmallChunks)]
#[case::without_a_length(Endless::Body)]
fn a_body_without_end_is_not_read_on_for_a_caller_that_left(#[case] endless: Endless) {
    on_one_thread(async move {
        let (upstream, gateway, _logs) = start_with(endless).await;
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        let begun = Instant::now();
        caller.send(&order("endless")).await;
        wait_until("it responds", || upstream.written() > 0).await;
        drop(caller);
        wait_until("the upstream is told", || upstream.abandoned() == 1).await;
        assert!(begun.elapsed() < DEADLINE + SLACK, "{:?}", begun.elapsed());
        let is_free = || gateway.host().open_requests.get() == 0;
        wait_until("no request is open", is_free).await;
    });
}

/// Guards against a sender without end that takes the host from all others until its request is due:
/// beyond 16 MiB it is read at 8 MiB/s.
#[rstest]
#[case::its_caller_reads(true)]
#[case::its_caller_has_left(false)]
fn a_body_without_end_is_read_at_a_moderate_pace(#[case] is_awaited: bool) {
    on_one_thread(async move {
        let (upstream, gateway, _logs) = start_with(Endless::Chunks).await;
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        // The route allows 1.2 s.
        caller.send(&order("endless").replace("Deadline-Ms: 600", "Deadline-Ms: 1200")).await;
        wait_until("it responds", || upstream.written() > 0).await;
        if is_awaited {
            read_to_end(&mut caller).await;
        } else {
            drop(caller);
        }
        wait_until("the upstream is told", || upstream.abandoned() == 1).await;
        // What is read in full, a second's worth at that pace, and the sockets' buffers.
        let most = (16 + 8 + 8) << 20;
        assert!(upstream.written() < most, "{}", upstream.written());
    });
}

/// Guards against reading bytes that are no response until the deadline.
#[rstest]
#[case::interim_responses(Endless::Interim)]
#[case::a_header_line(Endless::HeaderLine)]
#[case::header_lines(Endless::HeaderLines)]
#[case::a_chunk_extension(Endless::ChunkExtension)]
#[case::trailers(Endless::Trailers)]
#[case::bytes_behind_a_response(Endless::Rest)]
fn a_malformed_response_without_end_is_given_up_at_once(#[case] endless: Endless) {
    on_one_thread(async move {
        let (upstream, gateway, _logs) = start_with(endless).await;
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        let begun = Instant::now();
        let got = caller.exchange(&order("endless")).await;
        assert!(begun.elapsed() < DEADLINE / 2, "{:?}", begun.elapsed());
        // A complete response is delivered, whatever stands behind it.
        let expected = if endless == Endless::Rest { 200 } else { 502 };
        assert_eq!(got.status, expected, "{got:?}");
        wait_until("the upstream is told", || upstream.abandoned() == 1).await;
        assert!(upstream.written() < MAX_MALFORMED_BYTES, "{}", upstream.written());
    });
}

/// Guards against collecting a response to a probe that never ends: a health check needs no body of
/// more than some kilobytes.
#[rstest]
fn a_probe_whose_response_never_ends_is_given_up_at_once(
    #[values(
        Endless::Interim,
        Endless::HeaderLine,
        Endless::HeaderLines,
        Endless::Chunks,
        Endless::SmallChunks,
        Endless::ChunkExtension,
        Endless::Trailers,
        Endless::Body,
        Endless::Rest
    )]
    endless: Endless,
) {
    on_one_thread(async move {
        let (upstream, gateway, _logs) = start_with(Endless::Rest).await;
        upstream.set_endless_health(Some(endless));
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        caller.send(&get("/any/x", "id-1")).await;
        wait_until("it is probed", || upstream.probes() > 0).await;
        let begun = Instant::now();
        wait_until("the upstream is told", || upstream.abandoned() > 0).await;
        assert!(begun.elapsed() < Duration::from_millis(150), "{:?}", begun.elapsed());
        let bytes_per_probe = upstream.written() / upstream.probes() as usize;
        assert!(bytes_per_probe < MAX_MALFORMED_BYTES, "{bytes_per_probe}");
    });
}
