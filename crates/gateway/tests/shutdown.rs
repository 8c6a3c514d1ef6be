//! Planned stops: a request that becomes ready to be sent meanwhile gets a whole, true response, or
//! was not read.
#![allow(clippy::unwrap_used)]

mod support;

use domain::Millis;
use gateway::run::Gateway;
use std::time::Duration;
use support::caller::Caller;
use support::upstream::{Behaviour, StandInUpstream};
use support::{caller_address, on_one_thread, published, routing, settings, start, wait_until};

/// Longest time that callers and routes allow: longer than a stop.
const LONG_MS: u64 = 8_000;

/// Time to the kill of a host that is stopped: it closes idle connections after 2.3 s, and ends
/// after 2.65 s.
const STOP_MS: Millis = Millis(3_000);

/// A host whose routes allow [`LONG_MS`], with one upstream.
async fn start_host(upstream: &StandInUpstream) -> Gateway {
    let published = published(&[upstream]);
    let mut routing = routing(2);
    routing.routes.iter_mut().for_each(|route| route.timeout_ms = Millis(LONG_MS));
    published.write_routing(routing);
    let mut settings = settings(&[]);
    settings.limits.stop_ms = STOP_MS;
    let gateway = start(settings, &published).await;
    wait_until("it is ready", || gateway.host().is_ready()).await;
    gateway
}

fn long_get(id: &str) -> String {
    format!(
        "GET /any/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {LONG_MS}\r\n\r\n"
    )
}

/// Guards against a pipelined request that is sent so late in a stop that the end of the process
/// cuts it.
#[test]
fn a_pipelined_request_that_cannot_finish_before_the_end_of_a_stop_is_not_sent() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let gateway = start_host(&upstream).await;
        upstream.add_to_script([Behaviour::Slow(2_500), Behaviour::Slow(1_000)]);
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        caller.send(&long_get("first")).await;
        wait_until("it arrived", || upstream.requests().len() == 1).await;
        let calling = async {
            tokio::time::sleep(Duration::from_millis(2_400)).await;
            caller.send(&long_get("second")).await;
            (caller.receive().await, caller.receive().await)
        };
        // What isn't received by the end of the process never is.
        let responses = tokio::select! {
            biased;
            responses = calling => Some(responses),
            () = gateway.stop() => None,
        };
        let (first, second) = responses.expect("both are answered before the process ends");
        assert_eq!(first.unwrap().status, 200);
        let second = second.expect("a refusal");
        assert_eq!((second.status, second.cause.as_str(), second.closes), (503, "stopping", true));
        assert_eq!(upstream.requests().len(), 1);
    });
}
