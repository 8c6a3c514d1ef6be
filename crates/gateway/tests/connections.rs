//! An upstream accepts so many connections from all hosts together, and resets the rest.
//!
//! What happens: hosts take turns with a few requests at once, far fewer than the upstream works on. The
//! last of them is reset, as the idle connections that the others keep fill the upstream; a request
//! that must not run twice is then refused.
//!
//! The cause: each host keeps the same number of idle connections, however many the service's
//! settings let all of them have.
//!
//! The evidence: the connections that are open while nothing is asked, and the resets.
#![allow(clippy::unwrap_used)]

mod support;

use domain::Connections;
use std::time::Duration;
use support::caller::{Caller, post};
use support::upstream::StandInUpstream;
use support::{caller_address, fleet, on_one_thread, published, routing};

const HOSTS: usize = 3;
const ACCEPTED: u32 = 12;

/// Requests of a host at once; the upstream has six slots.
const AT_ONCE: usize = 5;

/// Time in which a host closes what it doesn't keep.
const QUIET: Duration = Duration::from_secs(1);

#[test]
fn what_a_fleet_keeps_leaves_room_for_what_it_sends() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        upstream.set_work_ms(30);
        upstream.set_max_connections(ACCEPTED);
        let published = published(&[&upstream]);
        let mut routing = routing(2);
        routing.services[0].max_connections = Connections(ACCEPTED);
        published.write_routing(routing);
        let hosts = fleet(HOSTS, &published).await;
        for (number, host) in hosts.iter().enumerate() {
            let address = caller_address(host);
            let calls: Vec<_> = (0..AT_ONCE)
                .map(|call| {
                    let text = post("/once/x", &format!("{number}-{call}"), "a");
                    tokio::task::spawn_local(async move {
                        Caller::connect(address).await.exchange(&text).await.status
                    })
                })
                .collect();
            for call in calls {
                assert_eq!(call.await.unwrap(), 200, "host {number}");
            }
            tokio::time::sleep(QUIET).await;
            println!("after host {number}: {} open, {} reset", upstream.open(), upstream.resets());
        }
        assert_eq!(upstream.resets(), 0);
        assert!(upstream.open() <= ACCEPTED / 2, "{} are kept", upstream.open());
    });
}
