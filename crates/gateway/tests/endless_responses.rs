//! Upstreams that send bytes without end: an exchange ends in time, whatever never ends of it.
#![allow(clippy::unwrap_used)]

mod support;

use gateway::run::Gateway;
use rstest::rstest;
use std::time::{Duration, Instant};
use support::caller::{Caller, get};
use support::upstream::{Endless, StandInUpstream};
use support::{LogsOnFailure, caller_address, on_one_thread, ready, wait_until};

/// Most bytes that the sender of a malformed response gets rid of: what is read of it, and the
/// sockets' buffers on both sides.
const MAX_MALFORMED_BYTES: usize = 8 << 20;

/// A host with one upstream.
async fn start_host() -> (StandInUpstream, Gateway, LogsOnFailure) {
    let upstream = StandInUpstream::start("i-1").await;
    let (gateway, _published) = ready(&[&upstream]).await;
    let logs = LogsOnFailure::of([&gateway]);
    (upstream, gateway, logs)
}

/// Guards against collecting a response to a probe that never ends: a health check needs no body of
/// more than some kilobytes.
#[rstest]
fn a_probe_whose_response_never_ends_is_given_up_at_once(
    #[values(
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
        let (upstream, gateway, _logs) = start_host().await;
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
