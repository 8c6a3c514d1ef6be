//! Requests of a service with a scheduler in each availability zone.
#![allow(clippy::unwrap_used)]

mod support;

use dispatch::FULL_SUBSET_MAX;
use support::caller::{Caller, get};
use support::upstream::StandInUpstream;
use support::{caller_address, on_one_thread, ready};

/// Most requests until one is refused without a submission: first some are served, and on a busy
/// machine the interval of trials may pass between any two.
const MAX_REQUESTS: usize = 500;

/// Guards against submitting a request to a scheduler that has just refused another one, and
/// against a log and a metric that don't say so.
#[test]
fn with_no_room_in_any_zone_a_request_is_refused_without_a_submission() {
    on_one_thread(async {
        let mut upstreams = Vec::new();
        for number in 0..=FULL_SUBSET_MAX {
            let upstream = StandInUpstream::start(&format!("i-{number}")).await;
            // One request in four seconds.
            upstream.set_extra_headers(&["x-upstream-limit: 0"]);
            upstreams.push(upstream);
        }
        let (gateway, _) = ready(&upstreams.iter().collect::<Vec<_>>()).await;
        let host = gateway.host();
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        let mut log = String::new();
        for round in 0..MAX_REQUESTS {
            let got = caller.exchange(&get("/any/x", &format!("id-{round}"))).await;
            log.push_str(&host.log.take_buffered());
            if log.contains("\"event\":\"not-submitted\"") {
                assert_eq!((got.status, got.cause.as_str()), (503, "overloaded"), "{log}");
                break;
            }
        }
        let metrics = host.metrics.render();
        let is_counted =
            |reason| metrics.contains(&format!("zone_choices_total{{reason=\"{reason}"));
        assert!(is_counted("local-zone") && is_counted("not-submitted"), "{metrics}\n{log}");
    });
}
