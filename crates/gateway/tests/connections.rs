//! The idle connections of all hosts leave room below an upstream's connection limit.
//!
//! Otherwise the upstream resets the connections of a host that starts to send, and its requests
//! that must not run twice fail.
#![allow(clippy::unwrap_used)]

mod support;

use domain::Connections;
use std::time::Duration;
use support::caller::{Caller, post};
use support::upstream::StandInUpstream;
use support::{caller_address, fleet, on_one_thread, published, routing};

const HOSTS: usize = 3;

/// Connections that the upstream accepts from all hosts together.
const MAX_CONNECTIONS: u32 = 12;

/// Concurrent requests of one host; the upstream has six slots.
const CONCURRENT_REQUESTS: usize = 5;

/// Time in which a host closes surplus idle connections.
const IDLE_TIME: Duration = Duration::from_secs(1);

#[test]
fn idle_connections_leave_room_for_requests() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        upstream.set_work_ms(30);
        upstream.set_max_connections(MAX_CONNECTIONS);
        let published = published(&[&upstream]);
        let mut routing = routing(2);
        routing.services[0].max_connections = Connections(MAX_CONNECTIONS);
        published.write_routing(routing);
        let hosts = fleet(HOSTS, &published).await;
        for (number, host) in hosts.iter().enumerate() {
            let address = caller_address(host);
            let calls: Vec<_> = (0..CONCURRENT_REQUESTS)
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
            tokio::time::sleep(IDLE_TIME).await;
            println!("after host {number}: {} open, {} reset", upstream.open(), upstream.resets());
        }
        assert_eq!(upstream.resets(), 0);
        assert!(upstream.open() <= MAX_CONNECTIONS / 2, "{} are kept open", upstream.open());
    });
}
