//! Which upstream is preferred, and whom a host asks.
#![allow(clippy::unwrap_used)]

mod support;

use dispatch::{
    AttemptFailure, Candidate, CostInputs, ProbeFailure, ServiceLoad, SpeedCurve, UpstreamState,
    ZoneScope,
};
use domain::{Millis, Slots, UpstreamId};
use published::{Evacuations, RunStart, UpstreamMode};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use support::{entry, entry_in, id, known, report, set};

const NOW: Millis = Millis(10_000);

fn told(running: u32, waiting: u32, slowness_percent: u32, age_ms: u64) -> UpstreamState {
    let mut known = known("i-1");
    known.record_report(NOW - Millis(age_ms), report(running, waiting, slowness_percent));
    known
}

fn failing(failures: u32) -> UpstreamState {
    let mut known = told(0, 0, 100, 0);
    for _ in 0..failures {
        known.record_sent(NOW);
        known.record_ended(NOW, Some(AttemptFailure::Disconnected));
    }
    known.record_report(NOW, report(0, 0, 100));
    known
}

fn cost(known: &UpstreamState) -> f64 {
    estimate_cost(known, ServiceLoad::default(), false).cost
}

fn estimate_cost(known: &UpstreamState, load: ServiceLoad, is_other_zone: bool) -> Candidate {
    let curve = SpeedCurve::new(Slots(support::SLOTS));
    dispatch::estimate_cost(known, CostInputs { load, curve: &curve, now_ms: NOW, is_other_zone })
}

#[rstest]
#[case::idle_before_busy(told(0, 0, 100, 0), told(5, 0, 100, 0))]
#[case::busy_before_full(told(5, 0, 100, 0), told(6, 3, 100, 0))]
#[case::usual_before_slow(told(3, 0, 100, 0), told(0, 0, 700, 0))]
#[case::full_before_very_slow(told(6, 1, 100, 0), told(0, 0, 700, 0))]
#[case::fresh_good_before_unknown(told(2, 0, 100, 0), known("i-1"))]
#[case::unknown_before_fresh_slow(known("i-1"), told(0, 0, 700, 0))]
#[case::fresh_fair_before_old_slow(told(1, 0, 150, 0), told(0, 0, 700, 500))]
#[case::sound_before_failing(told(4, 0, 100, 0), failing(3))]
fn prefers(#[case] better: UpstreamState, #[case] worse: UpstreamState) {
    assert!(cost(&better) < cost(&worse), "{} {}", cost(&better), cost(&worse));
}

/// A service whose upstreams told this load over and over.
fn service(running: u32, waiting: u32, slowness_percent: u32) -> ServiceLoad {
    let mut load = ServiceLoad::default();
    for _ in 0..200 {
        load.record(&report(running, waiting, slowness_percent), 0);
    }
    load
}

#[rstest]
#[case::all_full_the_old_report_is_no_idle_upstream(
    service(6, 8, 300),
    told(6, 6, 300, 0),
    told(6, 8, 300, 900)
)]
#[case::all_full_nothing_known(service(6, 8, 300), told(6, 4, 300, 0), known("i-1"))]
#[case::all_idle_nothing_known(service(0, 0, 100), known("i-1"), told(4, 0, 150, 0))]
#[case::all_idle_an_old_report_of_a_full_one(
    service(0, 0, 100),
    told(6, 8, 300, 2_000),
    told(4, 0, 150, 0)
)]
fn what_is_not_known_is_as_the_service(
    #[case] load: ServiceLoad,
    #[case] better: UpstreamState,
    #[case] worse: UpstreamState,
) {
    let cost = |known| estimate_cost(known, load, false).cost;
    assert!(cost(&better) < cost(&worse), "{} {}", cost(&better), cost(&worse));
}

#[test]
fn failures_make_it_worse_but_not_longer() {
    let (sound, failing) = (told(0, 0, 100, 0), failing(5));
    let work = |known| estimate_cost(known, ServiceLoad::default(), false).work;
    assert!((work(&sound) - work(&failing)).abs() < 1e-9);
}

#[test]
fn failures_are_forgotten() {
    let known = failing(5);
    assert!(known.failure_rate(NOW) > 0.5);
    assert!(known.failure_rate(NOW + Millis(20_000)) < 0.1);
}

#[test]
fn what_was_sent_since_a_report_counts() {
    let mut known = told(0, 0, 100, 0);
    let idle = cost(&known);
    for _ in 0..6 {
        known.record_sent(NOW);
    }
    assert!(cost(&known) > idle + 0.5);
    known.record_withdrawn();
    assert_eq!(known.in_flight(), 5);
}

#[test]
fn another_zone_is_dearer() {
    let known = told(0, 0, 100, 0);
    let near = estimate_cost(&known, ServiceLoad::default(), false);
    let far = estimate_cost(&known, ServiceLoad::default(), true);
    assert!(far.cost > near.cost);
    assert!((far.work - near.work).abs() < 1e-9);
}

fn asked(set: &dispatch::UpstreamSet, excluded: &[&str], most: usize) -> Vec<String> {
    reached(set, excluded, most, ZoneScope::Local)
}

fn reached(
    set: &dispatch::UpstreamSet,
    excluded: &[&str],
    most: usize,
    reach: ZoneScope,
) -> Vec<String> {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let excluded: Vec<_> = excluded.iter().map(|name| id(name)).collect();
    let ids = set.choose_probe_targets(
        NOW,
        &"parts".parse().unwrap(),
        &excluded,
        (most, reach),
        |_| false,
        &mut rng,
    );
    let mut names: Vec<String> = ids.iter().map(ToString::to_string).collect();
    names.sort();
    names
}

#[test]
fn its_own_zone_is_asked_first() {
    let set =
        set(&[entry("far-1", "temeke"), entry("near-1", "kariakoo"), entry("near-2", "kariakoo")]);
    assert_eq!(asked(&set, &[], 2), ["near-1", "near-2"]);
    assert_eq!(asked(&set, &["near-1"], 2), ["far-1", "near-2"]);
    assert_eq!(reached(&set, &[], 1, ZoneScope::Other), ["far-1"]);
    assert_eq!(reached(&set, &["far-1"], 2, ZoneScope::Other), ["near-1", "near-2"]);
}

#[test]
fn who_leaves_is_not_asked() {
    let set = set(&[entry("i-1", "kariakoo"), entry_in("i-2", "kariakoo", UpstreamMode::Draining)]);
    assert_eq!(asked(&set, &[], 3), ["i-1"]);
    assert!(!set.accepts_requests(&id("i-2")));
    assert_eq!(set.count_eligible(&"parts".parse().unwrap()), 1);
}

#[test]
fn who_can_not_be_reached_is_left_alone_unless_nobody_else_is_there() {
    let mut set = set(&[entry("i-1", "kariakoo"), entry("i-2", "kariakoo")]);
    set.get_mut(&id("i-1")).unwrap().record_probe_failure(NOW, ProbeFailure::Unreachable);
    assert_eq!(asked(&set, &[], 3), ["i-2"]);
    assert_eq!(asked(&set, &["i-2"], 3), ["i-1"]);
    set.get_mut(&id("i-1")).unwrap().record_probe_success();
    assert_eq!(asked(&set, &[], 3), ["i-1", "i-2"]);
}

#[test]
fn the_time_it_is_left_alone_grows_and_ends() {
    let mut known = known("i-1");
    let mut spans = Vec::new();
    for _ in 0..6 {
        known.record_probe_failure(NOW, ProbeFailure::TimedOut);
        let span = (0..10_000).find(|&ms| !known.is_excluded(NOW + Millis(ms))).unwrap();
        spans.push(span);
    }
    assert_eq!(spans, [250, 500, 1_000, 2_000, 2_000, 2_000]);
}

#[test]
fn knowledge_stays_over_a_change_of_entries() {
    let mut set = set(&[entry("i-1", "kariakoo"), entry("i-2", "kariakoo")]);
    set.record_report(NOW, (&id("i-1"), RunStart::default()), report(5, 0, 100));
    set.sync(
        NOW,
        [entry("i-1", "kariakoo"), entry("i-3", "kariakoo")].iter(),
        &Evacuations::default(),
    );
    assert!(set.get(&id("i-1")).unwrap().report(NOW).is_some());
    assert!(set.get(&id("i-2")).is_none());
    assert!(set.get(&id("i-3")).unwrap().report(NOW).is_none());
}

#[test]
fn the_usual_time_is_learned_from_answers_that_were_expected_soon() {
    let mut set = set(&[entry("i-1", "kariakoo")]);
    let service = "parts".parse().unwrap();
    assert_eq!(set.expected_ms(&service, 1.0), None);
    set.record_duration(&service, Millis(9_000), 5.0);
    assert_eq!(set.expected_ms(&service, 1.0), None);
    set.record_duration(&service, Millis(100), 1.0);
    assert_eq!(set.expected_ms(&service, 2.0), Some(Millis(200)));
}

#[test]
fn busy_upstreams_that_take_longer_than_expected_are_expected_to() {
    let mut set = set(&[entry("i-1", "kariakoo")]);
    let service = "parts".parse().unwrap();
    set.record_duration(&service, Millis(100), 1.0);
    for _ in 0..200 {
        set.record_duration(&service, Millis(600), 3.0);
    }
    let busy_ms = set.expected_ms(&service, 3.0).unwrap();
    assert!(busy_ms > Millis(580) && busy_ms <= Millis(600), "{busy_ms}");
    assert_eq!(set.expected_ms(&service, 1.0), Some(Millis(100)));
}

/// Of equals the connected one is asked; one that is known to be slow is not.
#[rstest]
#[case::equals(100, "i-2")]
#[case::the_connected_one_is_slow(700, "i-1")]
fn a_connected_upstream_is_asked_by_preference(#[case] slowness: u32, #[case] wanted: &str) {
    let mut set = support::set(&[entry("i-1", "kariakoo"), entry("i-2", "kariakoo")]);
    let now_ms = Millis(1_000);
    set.record_report(now_ms, (&id("i-1"), RunStart::default()), report(0, 0, 100));
    set.record_report(now_ms, (&id("i-2"), RunStart::default()), report(0, 0, slowness));
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    for _ in 0..50 {
        let is_connected = |other: &UpstreamId| other.as_str() == "i-2";
        let service = "parts".parse().unwrap();
        let one = (1, ZoneScope::Local);
        let asked = set.choose_probe_targets(now_ms, &service, &[], one, is_connected, &mut rng);
        assert_eq!(asked, [id(wanted)]);
    }
}

/// An upstream that is added is asked like those to which there are connections; one that was
/// there when the host started is not.
#[rstest]
#[case::added(10_000, 11_000, true)]
#[case::added_long_ago(10_000, 40_000, false)]
#[case::there_from_the_start(1_000, 11_000, false)]
fn a_newcomer_needs_no_connection(
    #[case] joined_ms: u64,
    #[case] now_ms: u64,
    #[case] is_asked: bool,
) {
    let (old, new) = (entry("i-1", "kariakoo"), entry("i-2", "kariakoo"));
    let mut set = support::set(std::slice::from_ref(&old));
    set.sync(Millis(joined_ms), [old, new].iter(), &Evacuations::default());
    let now_ms = Millis(now_ms);
    for name in ["i-1", "i-2"] {
        set.record_report(now_ms, (&id(name), RunStart::default()), report(0, 0, 100));
    }
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let is_connected = |other: &UpstreamId| other.as_str() == "i-1";
    let service = "parts".parse().unwrap();
    let mut ask = || {
        set.choose_probe_targets(
            now_ms,
            &service,
            &[],
            (1, ZoneScope::Local),
            is_connected,
            &mut rng,
        )
    };
    let asked = (0..50).filter(|_| ask() == [id("i-2")]).count();
    assert_eq!(asked > 10, is_asked, "{asked} of 50");
}
