//! The promises on real processes: sockets, signals, cuts and platform outages.
//!
//! The daemon and the stand-ins are built by cargo before the first site starts (see
//! `fleet::Binaries`). Sites run one after the other, and every wait is for a condition.

#![allow(clippy::unwrap_used)]

mod support;

use domain::{ByteCount, Millis, PerSecond, Share, Version};
use fleet::{
    Client, ConfigFaults, EntryHostProcess, HostListFaults, LIMIT, Signal, Site, Versions,
    wait_until,
};
use load::{Arrivals, Caller, Ledger, LedgerCheck, LoadPlan, RouteLoad, Stream, Target, Targets};
use serde::Deserialize;
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::{TIMEOUT_MS, Trial, is_whole, plan};
use tokio::sync::oneshot;

const LONG_DEADLINE_MS: Millis = Millis::from_secs(20);

#[tokio::test]
async fn a_host_paused_past_its_deadlines_sends_nothing_again() {
    let mut trial = Trial::start(plan(Millis(300), false)).await;
    let keys = trial.fresh_keys(120);
    let paused_orders = trial.send_orders(0, &keys);
    trial.runs_one_of(&keys).await;
    trial.site.entry_hosts[0].process.signal(Signal::SIGSTOP).unwrap();
    let paused_at = Instant::now();
    assert!(paused_orders.iter().any(|order| !order.is_finished()));

    trial.serves_reads(1).await;
    trial.serves_reads(2).await;
    trial.order(1, &keys).await;
    trial.serves_orders(2).await;
    let timeout = Duration::from_millis(TIMEOUT_MS.0);
    let are_past = async || paused_at.elapsed() > timeout;
    wait_until("the deadlines have passed", LIMIT, are_past).await.unwrap();

    trial.site.entry_hosts[0].process.signal(Signal::SIGCONT).unwrap();
    trial.note(paused_orders).await;
    trial.order(0, &keys).await;
    trial.serves_orders(0).await;
    assert!(trial.asked.iter().all(|asked| is_whole(&asked.verdict)));
    trial.check_orders().await;
}

#[tokio::test]
async fn a_killed_host_leaves_no_key_to_run_again() {
    let mut trial = Trial::start(plan(Millis(100), false)).await;
    let answered = trial.serves_orders(0).await;
    let done = trial.fresh_keys(20);
    trial.order(0, &done).await;
    let cut_off = trial.fresh_keys(60);
    let orders = trial.send_orders(0, &cut_off);
    trial.runs_one_of(&cut_off).await;
    trial.site.entry_hosts[0].process.kill().await.unwrap();
    trial.note(orders).await;

    let keys = [vec![answered], done, cut_off].concat();
    trial.order(1, &keys).await;
    trial.order(2, &keys).await;
    trial.site.start_again(0).await.unwrap();
    trial.order(0, &keys).await;
    for host in 0..3 {
        trial.serves_orders(host).await;
    }
    trial.order(0, &keys).await;
    trial.check_orders().await;
}

#[tokio::test]
async fn a_host_starts_without_the_platform_and_never_goes_back() {
    let mut trial = Trial::start(plan(Millis(5), false)).await;
    let version = trial.site.publish_overlay(&overlay(300)).await.unwrap();
    trial.site.overlay_in_force(version).await.unwrap();
    let newest = trial.site.entry_hosts[0].versions(&trial.site.client).await.unwrap();

    set_platform(&trial.site, ConfigFaults { down: true, ..Default::default() }, true).await;
    kill_and_start(&mut trial.site, newest).await;
    trial.serves_reads(0).await;

    let older = Some(Version(version.0 - 1));
    let stale = ConfigFaults { stale_at: older, ..Default::default() };
    set_platform(&trial.site, stale, false).await;
    kill_and_start(&mut trial.site, newest).await;
    trial.serves_reads(0).await;
    for host in &trial.site.entry_hosts {
        assert_eq!(host.versions(&trial.site.client).await.unwrap(), newest);
    }

    set_platform(&trial.site, ConfigFaults::default(), false).await;
    let next = trial.site.publish_overlay(&overlay(400)).await.unwrap();
    trial.site.overlay_in_force(next).await.unwrap();
    trial.serves_orders(0).await;
    trial.check_orders().await;
}

#[tokio::test]
async fn halves_that_were_cut_run_no_key_twice_and_agree_again() {
    let mut trial = Trial::start(plan(Millis(20), true)).await;
    let cut_off = trial.site.entry_hosts[0].settings.host.clone();
    let before = trial.site.entry_hosts[0].versions(&trial.site.client).await.unwrap();
    let stale_at = Some(before.overlay);
    let stale = ConfigFaults { stale_at, stale_reader: Some(cut_off), ..Default::default() };
    set_platform(&trial.site, stale, false).await;

    trial.site.cut_halves(true);
    let version = trial.site.publish_overlay(&overlay(300)).await.unwrap();
    for host in &trial.site.entry_hosts[1..] {
        in_force(host, &trial.site.client, version).await;
    }
    let keys = trial.fresh_keys(20);
    let sides = [trial.send_orders(0, &keys), trial.send_orders(1, &keys)];
    for orders in sides {
        trial.note(orders).await;
    }
    trial.serves_reads(0).await;
    trial.serves_orders(1).await;
    let during = trial.site.entry_hosts[0].versions(&trial.site.client).await.unwrap();
    assert_eq!(during, before, "the cut does not cut");

    trial.site.cut_halves(false);
    trial.site.overlay_in_force(version).await.unwrap();
    for host in 0..3 {
        trial.order(host, &keys).await;
        trial.serves_orders(host).await;
    }
    trial.check_orders().await;
}

#[tokio::test]
async fn parts_that_are_told_twice_to_stop_lose_nothing() {
    let mut trial = Trial::start(plan(Millis(100), false)).await;
    let version = trial.site.publish_overlay(&long_deadline()).await.unwrap();
    trial.site.overlay_in_force(version).await.unwrap();
    let load = load_plan(&trial.site);
    let targets = Targets::new(trial.site.entry_hosts.iter().map(|host| Target {
        caller_address: host.settings.caller_address,
        readiness_address: Some(host.settings.operator_address),
    }));
    let (done, stop) = oneshot::channel::<()>();
    let driver = load::drive(&load, "load", &targets, async {
        let _ = stop.await;
    });
    let stops = async {
        stop_twice(&mut trial.site).await;
        done.send(()).unwrap();
    };
    let (outcome, ()) = tokio::join!(driver, stops);

    let outcome = outcome.unwrap();
    let ledgers = trial.site.ledgers().await.unwrap();
    let ledgers: Vec<Ledger> = ledgers.into_iter().map(|runs| Ledger { runs }).collect();
    let report = &outcome.report;
    assert_eq!((report.lost, report.wrong), (0, 0), "{:?}", report.samples);
    assert_eq!(LedgerCheck::new(&outcome, &ledgers), LedgerCheck::default());
    // A stop may make a call come back; it cuts none whose request left.
    let is_cut = |outcome: &String| outcome != "not-run";
    assert!(!report.refused_outcomes.keys().any(is_cut), "{:?}", report.refused);
    assert_eq!(report.failed, 0);
    assert!(report.at_most_once_answered > 0 && report.answered > report.at_most_once_answered);
}

/// Two signals to an entry host and to an upstream; both must end with code 0.
async fn stop_twice(site: &mut Site) {
    answers_some(site).await;
    let host = &mut site.entry_hosts[1];
    let operator = host.settings.operator_address;
    host.process.signal(Signal::SIGTERM).unwrap();
    let is_leaving = async || !site.client.is_ok(operator, "/readyz").await;
    wait_until("the entry host is leaving", LIMIT, is_leaving).await.unwrap();
    host.process.stop().await.unwrap();
    site.start_again(1).await.unwrap();

    let upstream = site.plan.services[0].upstream_id(0);
    site.upstreams[&upstream].process.signal(Signal::SIGTERM).unwrap();
    site.drain_upstream(&upstream).await.unwrap();
    answers_some(site).await;
}

/// Waits until the upstreams have begun some more requests.
async fn answers_some(site: &Site) {
    let begun = async || -> usize {
        site.ledgers().await.unwrap().iter().map(std::collections::BTreeMap::len).sum()
    };
    let before = begun().await;
    let more = async || begun().await > before + 20;
    wait_until("the load goes on", LIMIT, more).await.unwrap();
}

fn load_plan(site: &Site) -> LoadPlan {
    let service = &site.plan.services[0];
    let route = |path, at_most_once| RouteLoad {
        path,
        weight: Share(0.5),
        at_most_once,
        body_bytes: ByteCount(1000),
        timeout_ms: LONG_DEADLINE_MS,
    };
    LoadPlan {
        seed: 1,
        warm_up_ms: Millis::ZERO,
        duration_ms: Millis::from_secs(600),
        grace_ms: Millis::from_secs(30),
        streams: vec![Stream {
            arrivals: Arrivals::Poisson { per_second: PerSecond(100.0) },
            callers: vec![Caller { caller: "clinic".parse().unwrap(), weight: Share(1.0) }],
            routes: vec![route(service.read_path(), false), route(service.order_path(), true)],
        }],
    }
}

/// An overlay under which no call expires, however slow the machine.
fn long_deadline() -> serde_json::Value {
    json!({ "services": { "portal": { "deadline_ms": LONG_DEADLINE_MS } } })
}

/// An overlay that differs from others in its queue limit.
fn overlay(queue_limit: u32) -> serde_json::Value {
    json!({ "services": { "portal": { "queue_limit": queue_limit } } })
}

async fn set_platform(site: &Site, config_faults: ConfigFaults, list_down: bool) {
    site.config_service.set_faults(&site.client, &config_faults).await.unwrap();
    let list_faults = HostListFaults { down: list_down };
    site.host_lists[0].set_faults(&site.client, &list_faults).await.unwrap();
}

async fn in_force(host: &EntryHostProcess, client: &Client, version: Version) {
    let is_in_force =
        async || host.versions(client).await.is_ok_and(|found| found.overlay >= version);
    let condition = format!("overlay {version} is in force at {}", host.settings.host);
    wait_until(&condition, LIMIT, is_in_force).await.unwrap();
}

/// Kills and starts the first entry host; what it puts in force is what was before.
async fn kill_and_start(site: &mut Site, expected: Versions) {
    site.entry_hosts[0].process.kill().await.unwrap();
    let operator = site.entry_hosts[0].settings.operator_address;
    let watch = watch_versions(site.client.clone(), operator, expected);
    tokio::select! {
        started = site.start_again(0) => started.unwrap(),
        () = watch => {}
    }
    assert_eq!(site.entry_hosts[0].versions(&site.client).await.unwrap(), expected);
}

/// The part of a state dump that is read here.
#[derive(Debug, Deserialize)]
struct State {
    versions: Versions,
}

/// Reads the versions in force again and again: none at first, then these; never returns.
async fn watch_versions(client: Client, operator: SocketAddr, expected: Versions) {
    let none = Versions { base: Version(0), overlay: Version(0) };
    loop {
        if let Ok(state) = client.json::<State>(operator, "/state").await {
            let found = state.versions;
            assert!(found == none || found == expected, "{found:?} came into force");
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
