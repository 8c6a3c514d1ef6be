//! Quotas of organisations, over all hosts of a fleet.
#![allow(clippy::unwrap_used)]

mod support;

use domain::PerSecond;
use gateway::run::Gateway;
use published::{KeyDigest, Organisation, Quota, Routing};
use support::caller::{Caller, CallerResponse};
use support::source::Published;
use support::upstream::StandInUpstream;
use support::{caller_address, fleet, on_one_thread, published, routing, wait_until};

/// So slow that no token is added while a test runs.
const NO_REFILL: PerSecond = PerSecond(0.001);

fn organisation(name: &str, quota: Option<Quota>) -> Organisation {
    let keys = vec![KeyDigest::of(format!("key-of-{name}").as_bytes())];
    Organisation { name: name.parse().unwrap(), keys, priority: None, quota }
}

fn limited(version: u64, quota: Quota) -> Routing {
    let organisations = vec![organisation("acme", Some(quota)), organisation("free", None)];
    Routing { organisations: Some(organisations), ..routing(version) }
}

async fn started(size: usize, quota: Quota) -> (Vec<Gateway>, Published, StandInUpstream) {
    let upstream = StandInUpstream::start("i-1").await;
    let published = published(&[&upstream]);
    published.write_routing(limited(2, quota));
    let hosts = fleet(size, &published).await;
    wait_until("all are ready", || hosts.iter().all(|host| host.host().is_ready())).await;
    (hosts, published, upstream)
}

async fn send(host: &Gateway, organisation: &str, id: &str) -> CallerResponse {
    let request = format!(
        "GET /once/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1200\r\n\
         Authorization: Bearer key-of-{organisation}\r\n\r\n"
    );
    Caller::connect(caller_address(host)).await.exchange(&request).await
}

async fn send_to_each(hosts: &[Gateway], organisation: &str, rounds: usize) -> Vec<u16> {
    let mut statuses = Vec::new();
    for round in 0..rounds {
        for (number, host) in hosts.iter().enumerate() {
            let got =
                send(host, organisation, &format!("id-{organisation}-{round}-{number}")).await;
            statuses.push(got.status);
        }
    }
    statuses
}

/// Each host admits the whole quota, or callers beyond it aren't told when to come back.
#[test]
fn all_hosts_share_one_quota() {
    on_one_thread(async {
        let (hosts, _, upstream) = started(3, Quota { rate: NO_REFILL, burst: 2 }).await;
        let statuses = send_to_each(&hosts, "acme", 5).await;
        let served = statuses.iter().filter(|status| **status == 200).count();
        assert_eq!(served, 2, "{statuses:?}");
        assert_eq!(statuses.iter().filter(|status| **status == 429).count(), 13, "{statuses:?}");
        assert_eq!(upstream.requests().len(), 2);
        let got = send(&hosts[0], "acme", "id-late").await;
        assert_eq!(got.cause, "over-quota");
        assert!(got.retry_after.is_some_and(|after_s| after_s > 0.0));
    });
}

/// An organisation without a quota, or another one's requests, are limited too.
#[test]
fn organisations_without_a_quota_are_not_limited() {
    on_one_thread(async {
        let (hosts, _, _) = started(2, Quota { rate: NO_REFILL, burst: 1 }).await;
        send_to_each(&hosts, "acme", 3).await;
        assert_eq!(send_to_each(&hosts, "free", 4).await, [200; 8]);
    });
}

/// A host that doesn't reach the owner of a quota refuses requests as over the quota, or serves
/// without any limit.
#[test]
fn a_host_without_an_owner_serves_its_share_only() {
    on_one_thread(async {
        let (mut hosts, _, upstream) = started(2, Quota { rate: NO_REFILL, burst: 1 }).await;
        // The other host is dead, but still a member.
        drop(hosts.pop());
        let statuses = send_to_each(&hosts, "acme", 20).await;
        assert!(upstream.requests().len() <= 3, "{statuses:?}");
        assert!(statuses.iter().all(|status| [200, 429, 503].contains(status)), "{statuses:?}");
    });
}

/// A changed quota waits for old buckets to drain, or for a restart.
#[test]
fn a_raised_quota_is_in_force_with_its_version() {
    on_one_thread(async {
        let (hosts, published, _) = started(2, Quota { rate: NO_REFILL, burst: 1 }).await;
        assert!(send_to_each(&hosts, "acme", 3).await.contains(&429));
        published.write_routing(limited(3, Quota { rate: PerSecond(10_000.0), burst: 100 }));
        wait_until("it is in force", || {
            hosts.iter().all(|host| {
                let table = host.host().table.borrow().clone();
                table.is_some_and(|table| table.routing().version.0 == 3)
            })
        })
        .await;
        tokio::time::sleep(std::time::Duration::from_millis(1_100)).await;
        assert_eq!(send_to_each(&hosts, "acme", 5).await, [200; 10]);
    });
}
