//! An upstream that leaves may say so in its answers before anything else tells.
//!
//! What happened: an entry may be a heartbeat old, or never say that its upstream leaves. A host that had
//! handed such an answer to a caller sent on until the entry was gone, and an upstream that ends breaks off what it
//! is given last.
//!
//! The cause: the same as for limits and for the time to stay away: a mark that nothing reads.
//!
//! The evidence: this test; 514 and 528 requests later than half a second after the first such answer.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::{Duration, Instant};
use support::caller::{Caller, get, post};
use support::upstream::StandInUpstream;
use support::{caller_address, fleet, on_one_thread, published, wait_until};

/// From then on none may arrive, from any host in touch.
const GRACE: Duration = Duration::from_millis(500);

#[test]
fn an_upstream_that_says_it_leaves_gets_nothing_new_from_any_host() {
    on_one_thread(async {
        let leaving = StandInUpstream::start("i-1").await;
        let other = StandInUpstream::start("i-2").await;
        let published = published(&[&leaving, &other]);
        let hosts = fleet(3, &published).await;
        let mut kept = Vec::new();
        for host in &hosts {
            kept.push(Caller::connect(caller_address(host)).await);
        }
        leaving.set_extra_headers(&["x-upstream-leaving: 1"]);
        let begun = Instant::now();
        let mut number = 0;
        let mut told = None;
        while begun.elapsed() < Duration::from_secs(3) {
            for caller in &mut kept {
                number += 1;
                let text = match number % 2 {
                    0 => get("/any/x", &format!("id-{number}")),
                    _ => post("/once/x", &format!("id-{number}"), "{}"),
                };
                assert_eq!(caller.exchange(&text).await.status, 200, "the other has room");
            }
            if told.is_none() && leaving.arrived(begun..Instant::now()) > 0 {
                told = Some(Instant::now());
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let told = told.expect("it was never used");
        let later = leaving.arrived(told + GRACE..Instant::now());
        assert_eq!(later, 0, "{later} requests after it said that it leaves");
        wait_until("its entry is still there", || {
            hosts.iter().all(|host| host.host().published_state().upstreams().count() == 2)
        })
        .await;
    });
}
