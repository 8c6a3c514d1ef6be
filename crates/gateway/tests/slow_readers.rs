//! Upstreams that read the body of a request slowly, as they may: their window is closed, and their
//! machine acknowledges each probe of it.
#![allow(clippy::unwrap_used)]

mod support;

use domain::{ByteCount, Millis};
use rstest::rstest;
use support::caller::{Caller, post};
use support::upstream::{Behaviour, StandInUpstream};
use support::{caller_address, on_one_thread, published, routing, settings, start, wait_until};

/// More than the sockets buffer.
const BODY_BYTES: usize = 3_000_000;

/// How long the upstream reads nothing: longer than bytes may stay unacknowledged.
const PAUSE_MS: u64 = 3_800;

/// Guards against an order that is cut by a timer of the host, though its upstream lives and its
/// request has time left.
#[rstest]
#[case::time_left(8_000, 200)]
#[case::no_time_left(1_000, 504)]
fn an_order_whose_upstream_reads_slowly_has_its_time(
    #[case] allowed_ms: u64,
    #[case] expected: u16,
) {
    on_one_thread(async move {
        let upstream = StandInUpstream::start("i-1").await;
        upstream.set_script_of("id-1", [Behaviour::LateReader(PAUSE_MS)]);
        let published = published(&[&upstream]);
        let mut routing = routing(2);
        routing.limits.body_bytes = ByteCount(2 * BODY_BYTES as u64);
        routing.routes.iter_mut().for_each(|route| route.timeout_ms = Millis(allowed_ms));
        published.write_routing(routing);
        let gateway = start(settings(&[]), &published).await;
        wait_until("it is ready", || gateway.host().is_ready()).await;
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        let order = post("/once/x", "id-1", &"x".repeat(BODY_BYTES));
        let order = order.replace("X-Deadline-Ms: 1500", &format!("X-Deadline-Ms: {allowed_ms}"));
        let got = caller.exchange(&order).await;
        assert_eq!(got.status, expected, "{got:?}");
        // The same upstream serves others, on connections that were kept, too.
        let got = caller.exchange(&post("/once/x", "id-2", "{}")).await;
        assert_eq!(got.status, 200, "{got:?}");
    });
}
