//! An upstream may announce in a response that it leaves, before its published entry says so. No host
//! may send requests to it from then on, since an upstream that stops breaks those in flight.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::{Duration, Instant};
use support::caller::{Caller, get, post};
use support::upstream::StandInUpstream;
use support::{caller_address, fleet, on_one_thread, published, wait_until};

/// After this time no request may arrive from any host.
const GRACE: Duration = Duration::from_millis(500);

#[test]
fn an_upstream_that_announces_leaving_gets_no_new_requests_from_any_host() {
    on_one_thread(async {
        let leaving = StandInUpstream::start("i-1").await;
        let other = StandInUpstream::start("i-2").await;
        let published = published(&[&leaving, &other]);
        let hosts = fleet(3, &published).await;
        let mut connected = Vec::new();
        for host in &hosts {
            connected.push(Caller::connect(caller_address(host)).await);
        }
        leaving.set_extra_headers(&["x-upstream-leaving: 1"]);
        let begun = Instant::now();
        let mut number = 0;
        let mut announced = None;
        while begun.elapsed() < Duration::from_secs(3) {
            for caller in &mut connected {
                number += 1;
                let text = match number % 2 {
                    0 => get("/any/x", &format!("id-{number}")),
                    _ => post("/once/x", &format!("id-{number}"), "{}"),
                };
                assert_eq!(caller.exchange(&text).await.status, 200, "the other has capacity");
            }
            if announced.is_none() && leaving.arrived(begun..Instant::now()) > 0 {
                announced = Some(Instant::now());
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let announced = announced.expect("it was never used");
        let later = leaving.arrived(announced + GRACE..Instant::now());
        assert_eq!(later, 0, "{later} requests after it announced that it leaves");
        wait_until("its entry is still there", || {
            hosts.iter().all(|host| host.host().published_state().upstreams().count() == 2)
        })
        .await;
    });
}
