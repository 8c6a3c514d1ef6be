//! An upstream states how many requests a second it accepts from all hosts together. The fleet must
//! keep this limit, whether a scheduler places the requests or hosts choose upstreams themselves.
#![allow(clippy::unwrap_used)]

mod support;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::caller::{Caller, get};
use support::upstream::StandInUpstream;
use support::{caller_address, fleet, on_one_thread, published};

/// A third to a fifth of the rate before. The first window that is checked includes the second before
/// the limit was stated, so a much lower limit could not be kept.
const LIMIT_PER_S: f64 = 6.0;

/// Time before and after the limit is stated.
const BEFORE: Duration = Duration::from_secs(1);
const AFTER: Duration = Duration::from_secs(7);

/// From this time after the limit was stated, arrivals are counted in every window of this length.
const WATCHED_AFTER: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);

/// Arrivals allowed in a window: the limit times this factor, plus the slack.
const ALLOWED_OVER: f64 = 1.5;
const ALLOWED_SLACK: f64 = 5.0;

const PAUSE: Duration = Duration::from_millis(50);

#[test]
fn a_fleet_keeps_the_rate_limit_that_an_upstream_states() {
    on_one_thread(async {
        let limited = StandInUpstream::start("i-1").await;
        let others = [StandInUpstream::start("i-2").await, StandInUpstream::start("i-3").await];
        let published = published(&[&limited, &others[0], &others[1]]);
        let hosts = fleet(3, &published).await;
        let begun = Instant::now();
        let end = begun + BEFORE + AFTER;
        let calling = hosts.iter().enumerate().map(|(number, host)| {
            let address = caller_address(host);
            tokio::task::spawn_local(async move {
                let mut caller = Caller::connect(address).await;
                let (mut asked, mut served) = (0, 0);
                while Instant::now() < end {
                    asked += 1;
                    let got = caller.exchange(&get("/any/x", &format!("{number}-{asked}"))).await;
                    served += usize::from(got.status == 200);
                    tokio::time::sleep(PAUSE).await;
                }
                (asked, served)
            })
        });
        let calling: Vec<_> = calling.collect();
        tokio::time::sleep(BEFORE).await;
        let stated = Instant::now();
        let before = limited.arrived(begun..stated);
        assert!(before > 2, "the others leave nothing to it: {before}");
        limited.set_extra_headers(&[&format!("x-upstream-limit: {LIMIT_PER_S}")]);
        for callers in calling {
            let (asked, served) = callers.await.unwrap();
            assert_eq!(served, asked, "the others have capacity");
        }
        let most = limited.max_arrived_within(WINDOW, stated + WATCHED_AFTER..end);
        let allowed = LIMIT_PER_S * WINDOW.as_secs_f64() * ALLOWED_OVER + ALLOWED_SLACK;
        println!("{before} in a second before, {most} in four seconds of {allowed} allowed");
        assert!(most as f64 <= allowed, "{most} of {allowed} allowed");
        assert!(limited.arrived(stated + WATCHED_AFTER..end) >= 4, "it still gets requests");
    });
}

/// A larger site: 13 hosts, eight upstreams of three slots, and noisy neighbours that slow down a third
/// of the upstreams by a factor of seven, drawn anew twice a second.
const HOSTS: usize = 13;
const UPSTREAMS: usize = 8;
const WORK_MS: u64 = 60;
const CALLS_PER_S: u64 = 75;
const NEIGHBOURS_CHANGE_EVERY: Duration = Duration::from_millis(500);
const LIMITS_PER_S: [f64; 2] = [2.2, 4.3];

/// A host's requests count from this time after it delivered the first response that states the limit.
const DELIVERED_BEFORE: Duration = Duration::from_millis(500);

/// Number of seeds, set by hand for longer runs.
fn seed_count() -> u64 {
    std::env::var("LIMIT_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(1)
}

#[test]
fn a_fleet_of_13_hosts_keeps_two_rate_limits() {
    for seed in 0..seed_count() {
        on_one_thread(run_site(seed));
    }
}

async fn run_site(seed: u64) {
    let mut upstreams = Vec::new();
    for number in 0..UPSTREAMS {
        let upstream = StandInUpstream::start(&format!("i-{number}")).await;
        upstream.set_load("0,0,3,100");
        upstream.set_work_ms(WORK_MS);
        upstreams.push(upstream);
    }
    let published = published(&upstreams.iter().collect::<Vec<_>>());
    let hosts = fleet(HOSTS, &published).await;
    let addresses: Vec<SocketAddr> = hosts.iter().map(caller_address).collect();
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let begun = Instant::now();
    let (stated, end) = (begun + 2 * BEFORE, begun + 2 * BEFORE + AFTER);
    let mut asked: u64 = 0;
    let mut changes = 0;
    let mut calls = Vec::new();
    while Instant::now() < end {
        let now = Instant::now();
        if now >= stated {
            for (upstream, limit) in upstreams.iter().zip(LIMITS_PER_S) {
                upstream.set_extra_headers(&[&format!("x-upstream-limit: {limit}")]);
            }
        }
        if now >= begun + NEIGHBOURS_CHANGE_EVERY * changes {
            changes += 1;
            for upstream in &upstreams {
                let slowness = if rng.random_bool(0.35) { 7 } else { 1 };
                upstream.set_load(&format!("0,0,3,{}", 100 * slowness));
                upstream.set_work_ms(WORK_MS * slowness);
            }
        }
        let due = now.duration_since(begun).as_millis() as u64 * CALLS_PER_S / 1_000;
        while asked < due {
            asked += 1;
            let host = rng.random_range(0..HOSTS);
            let (address, id) = (addresses[host], format!("h{host}-{asked}"));
            calls.push(tokio::task::spawn_local(async move {
                Caller::connect(address).await.exchange(&get("/any/x", &id)).await.status
            }));
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let mut served = 0;
    for call in calls {
        served += u64::from(call.await.unwrap() == 200);
    }
    for (upstream, limit) in upstreams.iter().zip(LIMITS_PER_S) {
        let most = most_from_informed_hosts(upstream, stated, end);
        let allowed = limit * WINDOW.as_secs_f64() * ALLOWED_OVER + ALLOWED_SLACK;
        let before = upstream.arrived(stated - BEFORE..stated);
        println!(
            "seed {seed}, {limit} a second, {before} in the second before: {most} of {allowed} allowed"
        );
        assert!(
            most as f64 <= allowed,
            "seed {seed}: {most} of {allowed} allowed, {before} before"
        );
    }
    println!("seed {seed}: {served} of {asked} served");
    assert!(served * 20 > asked * 19, "{served} of {asked}: the others have capacity");
}

/// Most requests in a window, from hosts that had delivered a response with the limit in time.
fn most_from_informed_hosts(upstream: &StandInUpstream, stated: Instant, end: Instant) -> usize {
    let arrivals: Vec<Vec<Instant>> =
        (0..HOSTS).map(|host| upstream.arrivals_with_prefix(&format!("h{host}-"))).collect();
    let delivered = |of_host: &Vec<Instant>| of_host.iter().find(|at| **at >= stated).copied();
    let within = |last: Instant| {
        let is_informed = |of_host: &&Vec<Instant>| {
            delivered(of_host).is_some_and(|at| at + DELIVERED_BEFORE <= last)
        };
        let informed = arrivals.iter().filter(is_informed).flatten();
        informed.filter(|at| **at <= last && last.duration_since(**at) < WINDOW).count()
    };
    let ends = arrivals.iter().flatten().filter(|at| (stated + WATCHED_AFTER..end).contains(*at));
    ends.map(|last| within(*last)).max().unwrap_or_default()
}
