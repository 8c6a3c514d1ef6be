//! Planned stops: a request that becomes ready to be sent meanwhile gets a whole, true response, or
//! was not read.
#![allow(clippy::unwrap_used)]

mod support;

use clock::Moment;
use domain::Millis;
use gateway::run::Gateway;
use rstest::rstest;
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

/// Guards against a stop that lets the caller of a request that has arrived in part wait until the
/// end of the process, and then closes the connection without a word.
#[rstest]
#[case::half_a_head("POST /once/x HTTP/1.1\r\nHost: a.exam", 2_550)]
#[case::half_a_body(
    "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: late\r\nX-Deadline-Ms: 8000\r\n\
     Content-Length: 10\r\n\r\nhalf",
    2_300
)]
#[case::half_a_chunk(
    "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: late\r\n\
     Transfer-Encoding: chunked\r\n\r\na\r\nhalf",
    2_300
)]
#[case::a_body_that_waits_to_be_asked_for(
    "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: late\r\nExpect: 100-continue\r\n\
     Content-Length: 10\r\n\r\n",
    2_300
)]
fn a_request_that_arrives_in_part_is_refused_before_the_end_of_a_stop(
    #[case] part: &'static str,
    #[case] refused_after_ms: u64,
) {
    on_one_thread(async move {
        let upstream = StandInUpstream::start("i-1").await;
        let gateway = start_host(&upstream).await;
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        let calling = async {
            let begun = Moment::now();
            // A head is refused as late 500 ms after it began.
            tokio::time::sleep(Duration::from_millis(2_200)).await;
            caller.send(part).await;
            let got = loop {
                match caller.receive().await {
                    Some(interim) if interim.status == 100 => {}
                    got => break got,
                }
            };
            (got, begun.elapsed())
        };
        let (got, after) = tokio::select! {
            biased;
            got = calling => got,
            () = gateway.stop() => panic!("no response before the process ends"),
        };
        let got = got.expect("a refusal");
        assert_eq!((got.status, got.cause.as_str(), got.closes), (503, "stopping", true));
        // The schedule counts whole milliseconds, and callers get the last responses within 100.
        let expected_ms = refused_after_ms - 1..refused_after_ms + 100;
        assert!(expected_ms.contains(&(after.as_millis() as u64)), "{after:?}");
        assert!(upstream.requests().is_empty());
    });
}
