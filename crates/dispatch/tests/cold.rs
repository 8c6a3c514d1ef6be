//! Cold upstreams get no more than they bear from the whole fleet, and as much as that.
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

/// What the platform says a cold upstream bears in a second: so many times its rate, and some more.
const BORNE_OVER: f64 = 1.5;
const BORNE_SLACK: f64 = 8.0;

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
#[case::calm(Fault::Nothing)]
#[case::lossy(Fault::Lossy)]
#[case::a_third_is_cut_off(Fault::CutOff { every: 3 })]
#[case::all_are_cut_off(Fault::CutOff { every: 1 })]
#[case::split(Fault::Split)]
#[case::schedulers_are_killed(Fault::SchedulersKilled { each_ms: 300 })]
fn no_cold_upstream_gets_more_than_it_bears(
    #[case] fault: Fault,
    #[values(13, 111, 472)] hosts: usize,
) {
    for seed in 0..4 {
        let most = most_in_a_second(&Simulation::run(&scenario(hosts, fault, seed)));
        let borne = RATE * BORNE_OVER + BORNE_SLACK;
        println!("{hosts} hosts, {fault:?}, seed {seed}: {most} of {borne} in a second");
        assert!(most as f64 <= borne, "{most} in a second, seed {seed}");
    }
}

/// Each host schedules for itself until it has heard of the others, which takes a second or two.
#[rstest]
fn a_fleet_that_has_just_started_stays_within_it(#[values(13, 111, 472)] hosts: usize) {
    for seed in 0..4 {
        let scenario = Scenario { duration_ms: 1_900, ..scenario(hosts, Fault::JustStarted, seed) };
        let most = most_in_a_second(&Simulation::run(&scenario));
        println!("{hosts} hosts that have just started, seed {seed}: {most} in a second");
        assert!(most as f64 <= RATE * BORNE_OVER + BORNE_SLACK, "{most} in a second, seed {seed}");
    }
}

/// The slack is for what nobody foresees: in calm times it is not touched.
#[rstest]
fn in_calm_times_the_rate_is_kept_and_used(#[values(13, 111, 472)] hosts: usize) {
    for seed in 0..4 {
        let scenario = scenario(hosts, Fault::Nothing, seed);
        let arrivals = Simulation::run(&scenario);
        let most = most_in_a_second(&arrivals);
        assert!(most as f64 <= RATE * BORNE_OVER, "{most} in a second, seed {seed}");
        let got: usize = arrivals.values().map(Vec::len).sum();
        let allowed = RATE * scenario.upstreams as f64 * scenario.duration_ms as f64 / 1_000.0;
        println!("{hosts} hosts, seed {seed}: {most} in a second, {got} of {allowed} in all");
        assert!(got as f64 >= 0.9 * allowed, "{got} of {allowed}, seed {seed}");
    }
}

const NOW: Millis = Millis(10_000);

fn told_cold(left_ms: u64) -> Entry<Arc<Upstream>> {
    let entry = entry("i-1", "kariakoo");
    let value = Upstream { warmup_left_ms: Millis(left_ms), ..(*entry.value).clone() };
    Entry { value: Arc::new(value), ..entry }
}

fn states(cold_rate: Option<PerSecond>) -> ServiceSettings {
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
    set.set_cold_rates(std::iter::once(&states(cold_rate)));
    set
}

/// What is told of an upstream.
#[derive(Debug, Clone, Copy)]
enum Told {
    Entry(u64),
    Answer(Option<u64>),
    Unreachable,
    Evacuated,
    Restored,
}

#[rstest]
#[case::warm(&[Told::Entry(0)], Warmth::Warm)]
#[case::just_started(&[Told::Entry(3_000)], Warmth::Cold)]
#[case::cold_again(&[Told::Entry(0), Told::Answer(Some(2_500))], Warmth::Cold)]
#[case::cold_again_by_its_entry(&[Told::Entry(0), Told::Entry(2_500)], Warmth::Cold)]
#[case::warm_before_its_entry_says_so(&[Told::Entry(3_000), Told::Answer(None)], Warmth::Warm)]
#[case::a_late_entry_shortens_nothing(&[Told::Answer(Some(2_500)), Told::Entry(0)], Warmth::Cold)]
#[case::down(&[Told::Entry(0), Told::Unreachable], Warmth::Unknown)]
#[case::down_and_back(&[Told::Unreachable, Told::Answer(Some(2_900))], Warmth::Cold)]
#[case::not_down_after_all(&[Told::Unreachable, Told::Answer(None)], Warmth::Warm)]
#[case::evacuated(&[Told::Entry(0), Told::Evacuated, Told::Restored], Warmth::Unknown)]
#[case::taken_back_warm(&[Told::Evacuated, Told::Restored, Told::Answer(Some(0))], Warmth::Warm)]
fn coldness_is_learned(#[case] told: &[Told], #[case] wanted: Warmth) {
    let mut set = set_of(&told_cold(0), Some(PerSecond(RATE)));
    let mut picture = PublishedState::default();
    let upstream = (&id("i-1"), RunStart::default());
    for (revision, told) in (2..).zip(told) {
        match *told {
            Told::Entry(left_ms) => {
                let entry = Entry { revision: Revision(revision), ..told_cold(left_ms) };
                set.sync(NOW, std::iter::once(&entry), picture.evacuations());
            }
            Told::Answer(left_ms) => set.record_warmup_left(NOW, upstream, left_ms.map(Millis)),
            Told::Unreachable => {
                set.get_mut(upstream.0)
                    .unwrap()
                    .record_probe_failure(NOW, ProbeFailure::Unreachable);
            }
            Told::Evacuated | Told::Restored => {
                let zone: domain::ZoneName = "kariakoo".parse().unwrap();
                let revision = Revision(revision);
                let change = match told {
                    Told::Evacuated => {
                        Change::Written(Entry { revision, value: Item::Evacuation(zone) })
                    }
                    _ => Change::EvacuationEnded(published::EvacuationEnd { zone, revision }),
                };
                picture.apply_changes(NOW, Revision(0), revision, vec![change]);
                let entry = told_cold(0);
                set.sync(NOW, std::iter::once(&entry), picture.evacuations());
            }
        }
    }
    assert_eq!(set.get(upstream.0).unwrap().warmth(NOW), wanted);
    assert_eq!(set.fleet_rate(NOW, upstream.0).is_some(), wanted != Warmth::Warm);
}

#[test]
fn it_warms_up_by_itself() {
    let set = set_of(&told_cold(3_000), Some(PerSecond(RATE)));
    let known = set.get(&id("i-1")).unwrap();
    assert_eq!(known.warmth(NOW + Millis(2_999)), Warmth::Cold);
    assert_eq!(known.warmth(NOW + Millis(3_000)), Warmth::Warm);
}

/// Where no rate is stated a cold upstream is taken to be slow, and nothing is held back; its
/// answers tell nothing of coldness there.
#[test]
fn without_a_stated_rate_nothing_is_held_back() {
    let mut set = set_of(&told_cold(3_000), None);
    assert_eq!(set.fleet_rate(NOW, &id("i-1")), None);
    set.record_warmup_left(NOW, (&id("i-1"), RunStart::default()), None);
    assert_eq!(set.get(&id("i-1")).unwrap().warmth(NOW), Warmth::Cold);
}
