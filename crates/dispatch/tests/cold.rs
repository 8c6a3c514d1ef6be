//! The whole fleet sends a cold upstream no more than its rate, and uses that rate.
#![allow(clippy::unwrap_used)]

mod support;

use dispatch::{ProbeFailure, UpstreamSet, Warmth};
use domain::{Connections, Millis, PerSecond};
use published::{Change, Entry, Evacuations, Item, PublishedState, Revision, RunStart};
use published::{ServiceSettings, Upstream};
use rstest::rstest;
use std::sync::Arc;
use support::rate_simulation::{Arrivals, Fault, LimitReason, Scenario, Simulation};
use support::{entry, id};

/// What a cold upstream bears in a second, by the platform: this multiple of its rate, and this
/// many more.
const BEARABLE_MULTIPLE: f64 = 1.5;
const BEARABLE_EXTRA: f64 = 8.0;

const RATE: f64 = 2.0;

/// Most arrivals at one upstream within any second.
fn most_in_a_second(arrivals: &Arrivals) -> usize {
    let within = |times: &Vec<u64>, from: u64| {
        times.iter().filter(|at_ms| (from..from + 1_000).contains(*at_ms)).count()
    };
    let most = |times: &Vec<u64>| times.iter().map(|&from| within(times, from)).max();
    arrivals.values().filter_map(most).max().unwrap_or_default()
}

fn scenario(hosts: usize, fault: Fault, seed: u64) -> Scenario {
    let limit_reason = LimitReason::Cold;
    Scenario {
        hosts,
        upstreams: 24,
        rate: RATE,
        limit_reason,
        duration_ms: 3_000,
        service_time_ms: 440,
        demand: 1.5,
        fault,
        seed,
    }
}

#[rstest]
#[case::no_fault(Fault::Nothing)]
#[case::lossy(Fault::Lossy)]
#[case::a_third_is_cut_off(Fault::CutOff { every: 3 })]
#[case::all_are_cut_off(Fault::CutOff { every: 1 })]
#[case::split(Fault::Split)]
#[case::schedulers_are_killed(Fault::SchedulersKilled { each_ms: 300 })]
fn no_cold_upstream_receives_more_than_it_bears(
    #[case] fault: Fault,
    #[values(13, 111, 472)] hosts: usize,
) {
    for seed in 0..4 {
        let most = most_in_a_second(&Simulation::run(&scenario(hosts, fault, seed)));
        let bearable = RATE * BEARABLE_MULTIPLE + BEARABLE_EXTRA;
        println!("{hosts} hosts, {fault:?}, seed {seed}: {most} of {bearable} in a second");
        assert!(most as f64 <= bearable, "{most} in a second, seed {seed}");
    }
}

/// Each host schedules for itself until it knows the others, which takes a second or two.
#[rstest]
fn no_cold_upstream_receives_too_much_while_the_fleet_starts(#[values(13, 111, 472)] hosts: usize) {
    for seed in 0..4 {
        let scenario = Scenario { duration_ms: 1_900, ..scenario(hosts, Fault::JustStarted, seed) };
        let most = most_in_a_second(&Simulation::run(&scenario));
        println!("{hosts} hosts that have just started, seed {seed}: {most} in a second");
        assert!(
            most as f64 <= RATE * BEARABLE_MULTIPLE + BEARABLE_EXTRA,
            "{most} in a second, seed {seed}"
        );
    }
}

/// Without faults, not even the extra requests that an upstream bears are sent.
#[rstest]
fn without_faults_the_rate_is_kept_and_used(#[values(13, 111, 472)] hosts: usize) {
    for seed in 0..4 {
        let scenario = scenario(hosts, Fault::Nothing, seed);
        let arrivals = Simulation::run(&scenario);
        let most = most_in_a_second(&arrivals);
        assert!(most as f64 <= RATE * BEARABLE_MULTIPLE, "{most} in a second, seed {seed}");
        let sent: usize = arrivals.values().map(Vec::len).sum();
        let allowed = RATE * scenario.upstreams as f64 * scenario.duration_ms as f64 / 1_000.0;
        println!("{hosts} hosts, seed {seed}: {most} in a second, {sent} of {allowed} in all");
        assert!(sent as f64 >= 0.9 * allowed, "{sent} of {allowed}, seed {seed}");
    }
}

const NOW: Millis = Millis(10_000);

fn cold_entry(left_ms: u64) -> Entry<Arc<Upstream>> {
    let entry = entry("i-1", "kariakoo");
    let value = Upstream { warmup_left_ms: Millis(left_ms), ..(*entry.value).clone() };
    Entry { value: Arc::new(value), ..entry }
}

fn settings(cold_rate: Option<PerSecond>) -> ServiceSettings {
    ServiceSettings {
        name: "parts".parse().unwrap(),
        health_path: "/healthz".to_owned(),
        max_connections: Connections(100),
        cold_rate,
    }
}

fn set_of(entry: &Entry<Arc<Upstream>>, cold_rate: Option<PerSecond>) -> UpstreamSet {
    let mut set = UpstreamSet::new("front-1".parse().unwrap(), "kariakoo".parse().unwrap());
    set.sync(NOW, std::iter::once(entry), &Evacuations::default());
    set.set_cold_rates(std::iter::once(&settings(cold_rate)));
    set
}

/// An event that affects an upstream's warmth.
#[derive(Debug, Clone, Copy)]
enum Event {
    Entry(u64),
    HealthCheck(Option<u64>),
    Unreachable,
    Evacuated,
    Restored,
}

#[rstest]
#[case::warm(&[Event::Entry(0)], Warmth::Warm)]
#[case::just_started(&[Event::Entry(3_000)], Warmth::Cold)]
#[case::cold_again(&[Event::Entry(0), Event::HealthCheck(Some(2_500))], Warmth::Cold)]
#[case::cold_again_by_its_entry(&[Event::Entry(0), Event::Entry(2_500)], Warmth::Cold)]
#[case::warm_before_its_entry_says_so(&[Event::Entry(3_000), Event::HealthCheck(None)], Warmth::Warm)]
#[case::a_late_entry_shortens_nothing(&[Event::HealthCheck(Some(2_500)), Event::Entry(0)], Warmth::Cold)]
#[case::down(&[Event::Entry(0), Event::Unreachable], Warmth::Unknown)]
#[case::down_and_back(&[Event::Unreachable, Event::HealthCheck(Some(2_900))], Warmth::Cold)]
#[case::not_down_after_all(&[Event::Unreachable, Event::HealthCheck(None)], Warmth::Warm)]
#[case::evacuated(&[Event::Entry(0), Event::Evacuated, Event::Restored], Warmth::Unknown)]
#[case::restored_warm(&[Event::Evacuated, Event::Restored, Event::HealthCheck(Some(0))], Warmth::Warm)]
fn coldness_is_learned(#[case] events: &[Event], #[case] expected: Warmth) {
    let mut set = set_of(&cold_entry(0), Some(PerSecond(RATE)));
    let mut state = PublishedState::default();
    let upstream = (&id("i-1"), RunStart::default());
    for (revision, event) in (2..).zip(events) {
        match *event {
            Event::Entry(left_ms) => {
                let entry = Entry { revision: Revision(revision), ..cold_entry(left_ms) };
                set.sync(NOW, std::iter::once(&entry), state.evacuations());
            }
            Event::HealthCheck(left_ms) => {
                set.record_warmup_left(NOW, upstream, left_ms.map(Millis))
            }
            Event::Unreachable => {
                set.get_mut(upstream.0)
                    .unwrap()
                    .record_probe_failure(NOW, ProbeFailure::Unreachable);
            }
            Event::Evacuated | Event::Restored => {
                let zone: domain::ZoneName = "kariakoo".parse().unwrap();
                let revision = Revision(revision);
                let change = match event {
                    Event::Evacuated => {
                        Change::Written(Entry { revision, value: Item::Evacuation(zone) })
                    }
                    _ => Change::EvacuationEnded(published::EvacuationEnd { zone, revision }),
                };
                state.apply_changes(NOW, Revision(0), revision, vec![change]);
                let entry = cold_entry(0);
                set.sync(NOW, std::iter::once(&entry), state.evacuations());
            }
        }
    }
    assert_eq!(set.get(upstream.0).unwrap().warmth(NOW), expected);
    assert_eq!(set.fleet_rate(NOW, upstream.0).is_some(), expected != Warmth::Warm);
}

#[test]
fn a_cold_upstream_becomes_warm_after_its_stated_time() {
    let set = set_of(&cold_entry(3_000), Some(PerSecond(RATE)));
    let state = set.get(&id("i-1")).unwrap();
    assert_eq!(state.warmth(NOW + Millis(2_999)), Warmth::Cold);
    assert_eq!(state.warmth(NOW + Millis(3_000)), Warmth::Warm);
}

/// Without a rate limit for cold upstreams, a cold one is only assumed to be slow, and its
/// responses don't report being cold.
#[test]
fn without_a_stated_rate_nothing_is_limited() {
    let mut set = set_of(&cold_entry(3_000), None);
    assert_eq!(set.fleet_rate(NOW, &id("i-1")), None);
    set.record_warmup_left(NOW, (&id("i-1"), RunStart::default()), None);
    assert_eq!(set.get(&id("i-1")).unwrap().warmth(NOW), Warmth::Cold);
}
