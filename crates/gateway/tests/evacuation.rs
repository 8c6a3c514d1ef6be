//! While a zone is evacuated, no request is lost, and none is sent to the zone.
#![allow(clippy::unwrap_used)]

mod support;

use published::{Item, Upstream};
use std::sync::Arc;
use std::time::Duration;
use support::caller::{Caller, get, post};
use support::source::Published;
use support::thread_time::ThreadTime;
use support::upstream::{Behaviour, StandInUpstream};
use support::{caller_address, on_one_thread, ready, upstream_item, wait_until};

const ZONE: &str = "kariakoo";

/// Longest time between the publication of an evacuation and its taking effect.
const MAX_DELAY: Duration = Duration::from_millis(300);

fn evacuate(published: &Published) {
    published.write("op/evacuate", Item::Evacuation(ZONE.parse().unwrap()));
}

fn in_zone(upstream: &StandInUpstream, zone: &str) -> Item {
    let Item::Upstream(entry) = upstream_item(upstream.id(), upstream.address()) else {
        unreachable!()
    };
    let availability_zone = zone.parse().unwrap();
    Item::Upstream(Arc::new(Upstream { availability_zone, ..(*entry).clone() }))
}

#[test]
fn requests_move_to_the_other_zone_and_come_back() {
    on_one_thread(async {
        let (local, remote) =
            (StandInUpstream::start("i-1").await, StandInUpstream::start("i-2").await);
        let (gateway, published) = ready(&[&local]).await;
        published.write("servers", in_zone(&remote, "temeke"));
        wait_until("both are known", || gateway.host().published_state().upstreams().count() == 2)
            .await;
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        for number in 0..5 {
            assert_eq!(
                caller.exchange(&post("/once/x", &format!("a-{number}"), "{}")).await.status,
                200
            );
        }
        assert_eq!(local.requests().len(), 5);
        let time = ThreadTime::start();
        evacuate(&published);
        let is_in_force =
            || gateway.host().published_state().evacuations().contains(&ZONE.parse().unwrap());
        wait_until("it is in force", is_in_force).await;
        assert!(time.elapsed() <= MAX_DELAY);
        for number in 0..5 {
            assert_eq!(
                caller.exchange(&post("/once/x", &format!("b-{number}"), "{}")).await.status,
                200
            );
        }
        assert_eq!((local.requests().len(), remote.requests().len()), (5, 5));
        published.end_evacuation(&ZONE.parse().unwrap());
        wait_until("it has ended", || !is_in_force()).await;
        for number in 0..5 {
            assert_eq!(
                caller.exchange(&post("/once/x", &format!("c-{number}"), "{}")).await.status,
                200
            );
        }
        assert_eq!((local.requests().len(), remote.requests().len()), (10, 5));
    });
}

#[test]
fn running_requests_complete_in_an_evacuated_zone() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, published) = ready(&[&upstream]).await;
        upstream.add_to_script([Behaviour::Slow(200)]);
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        caller.send(&post("/once/x", "id-1", "{}")).await;
        wait_until("it runs", || upstream.requests().len() == 1).await;
        evacuate(&published);
        let got = caller.receive().await.unwrap();
        assert_eq!((got.status, got.is_sealed), (200, true));
    });
}

#[test]
fn requests_are_refused_at_once_if_every_zone_is_evacuated() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, published) = ready(&[&upstream]).await;
        evacuate(&published);
        let zone = ZONE.parse().unwrap();
        wait_until("it is in force", || {
            gateway.host().published_state().evacuations().contains(&zone)
        })
        .await;
        let time = ThreadTime::start();
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        let got = caller.exchange(&get("/any/x", "id-1")).await;
        assert_eq!(got.status, 503);
        assert_eq!(got.cause, "zones-evacuated");
        assert!(got.retry_after.is_some());
        assert!(time.elapsed() < Duration::from_millis(100));
        assert!(upstream.requests().is_empty());
        published.end_evacuation(&zone);
        wait_until("it has ended", || {
            !gateway.host().published_state().evacuations().contains(&zone)
        })
        .await;
        assert_eq!(caller.exchange(&get("/any/x", "id-2")).await.status, 200);
    });
}
