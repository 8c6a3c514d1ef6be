//! Requests of a service with a scheduler in each availability zone.
#![allow(clippy::unwrap_used)]

mod support;

use dispatch::{FULL_SUBSET_MAX, RouteKey};
use domain::Millis;
use support::caller::{Caller, get};
use support::upstream::StandInUpstream;
use support::{caller_address, on_one_thread, ready, service};

/// Load of an upstream with all slots taken and as many requests again that wait.
const FULL: &str = "6,6,6,100";

/// Longer than any objective, so that no request may wait for a slot.
const SERVICE_TIME_MS: Millis = Millis(10_000);

/// Most requests until one is refused without a submission: on a busy machine, the interval of
/// trials may pass between any two.
const MAX_REQUESTS: usize = 500;

/// Guards against submitting a request to a scheduler that has just refused another one, and
/// against a log and a metric that don't say so.
#[test]
fn with_no_room_in_any_zone_a_request_is_refused_without_a_submission() {
    on_one_thread(async {
        let mut upstreams = Vec::new();
        for number in 0..=FULL_SUBSET_MAX {
            let upstream = StandInUpstream::start(&format!("i-{number}")).await;
            upstream.set_load(FULL);
            upstreams.push(upstream);
        }
        let (gateway, _) = ready(&upstreams.iter().collect::<Vec<_>>()).await;
        let host = gateway.host();
        let (service, route) = (service(), RouteKey::ONLY);
        host.upstreams.borrow_mut().record_duration(&service, route, SERVICE_TIME_MS, 1.0);
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        let mut log = String::new();
        for round in 0..MAX_REQUESTS {
            let got = caller.exchange(&get("/any/x", &format!("id-{round}"))).await;
            log.push_str(&host.log.take_buffered());
            assert_eq!(got.status, 503, "{log}");
            if log.contains("\"event\":\"not-submitted\"") {
                break;
            }
        }
        let metrics = host.metrics.render();
        let is_counted =
            |reason| metrics.contains(&format!("zone_choices_total{{reason=\"{reason}"));
        assert!(is_counted("local-zone") && is_counted("not-submitted"), "{metrics}\n{log}");
    });
}
