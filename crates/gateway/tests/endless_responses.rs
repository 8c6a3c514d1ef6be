//! Upstreams that send bytes without end: an exchange ends in time, whatever never ends of it.
#![allow(clippy::unwrap_used)]

mod support;

use gateway::run::Gateway;
use rstest::rstest;
use std::time::{Duration, Instant};
use support::caller::{Caller, get};
use support::upstream::{Behaviour, Endless, StandInUpstream};
use support::{LogsOnFailure, caller_address, on_one_thread, ready, wait_until};

/// How long the caller of an endless response waits.
const DEADLINE: Duration = Duration::from_millis(600);

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
