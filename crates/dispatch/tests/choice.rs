//! Costs of upstreams, and the choice of upstreams to probe.
#![allow(clippy::unwrap_used)]

mod support;

use dispatch::{
    AttemptFailure, Candidate, CostInputs, ProbeFailure, RouteKey, ServiceLoad, SpeedCurve,
    UpstreamState, ZoneScope,
};
use domain::{Millis, Slots, UpstreamId};
use published::{Evacuations, RunStart, UpstreamMode};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use support::{entry, entry_in, id, report, set, upstream_state};

const NOW: Millis = Millis(10_000);

fn reported(running: u32, waiting: u32, slowness_percent: u32, age_ms: u64) -> UpstreamState {
    let mut state = upstream_state("i-1");
    state.record_report(NOW - Millis(age_ms), report(running, waiting, slowness_percent));
    state
}

fn failing(failures: u32) -> UpstreamState {
    let mut state = reported(0, 0, 100, 0);
    for _ in 0..failures {
        state.record_sent(NOW);
        state.record_ended(NOW, Some(AttemptFailure::Disconnected));
    }
    state.record_report(NOW, report(0, 0, 100));
    state
}

fn cost(state: &UpstreamState) -> f64 {
    estimate_cost(state, ServiceLoad::default(), false).cost
}

fn estimate_cost(state: &UpstreamState, load: ServiceLoad, is_other_zone: bool) -> Candidate {
    let curve = SpeedCurve::new(Slots(support::SLOTS));
    let inputs =
        CostInputs { load, curve: &curve, now_ms: NOW, is_other_zone, mean_to_route_ratio: 1.0 };
    dispatch::estimate_cost(state, inputs)
}

#[rstest]
#[case::idle_before_busy(reported(0, 0, 100, 0), reported(5, 0, 100, 0))]
#[case::busy_before_full(reported(5, 0, 100, 0), reported(6, 3, 100, 0))]
#[case::normal_before_slow(reported(3, 0, 100, 0), reported(0, 0, 700, 0))]
#[case::full_before_very_slow(reported(6, 1, 100, 0), reported(0, 0, 700, 0))]
#[case::fresh_good_before_unknown(reported(2, 0, 100, 0), upstream_state("i-1"))]
#[case::unknown_before_fresh_slow(upstream_state("i-1"), reported(0, 0, 700, 0))]
#[case::fresh_fair_before_old_slow(reported(1, 0, 150, 0), reported(0, 0, 700, 500))]
#[case::healthy_before_failing(reported(4, 0, 100, 0), failing(3))]
fn lower_cost_is_preferred(#[case] better: UpstreamState, #[case] worse: UpstreamState) {
    assert!(cost(&better) < cost(&worse), "{} {}", cost(&better), cost(&worse));
}

/// Load of a service whose upstreams repeatedly reported this.
fn service(running: u32, waiting: u32, slowness_percent: u32) -> ServiceLoad {
    let mut load = ServiceLoad::default();
    for _ in 0..200 {
        load.record(&report(running, waiting, slowness_percent), 0);
    }
    load
}

#[rstest]
#[case::all_full_an_old_report_does_not_count_as_idle(
    service(6, 8, 300),
    reported(6, 6, 300, 0),
    reported(6, 8, 300, 900)
)]
#[case::all_full_nothing_known(service(6, 8, 300), reported(6, 4, 300, 0), upstream_state("i-1"))]
#[case::all_idle_nothing_known(service(0, 0, 100), upstream_state("i-1"), reported(4, 0, 150, 0))]
#[case::all_idle_an_old_report_of_a_full_one(
    service(0, 0, 100),
    reported(6, 8, 300, 2_000),
    reported(4, 0, 150, 0)
)]
fn unknown_load_is_taken_from_the_service(
    #[case] load: ServiceLoad,
    #[case] better: UpstreamState,
    #[case] worse: UpstreamState,
) {
    let cost = |state| estimate_cost(state, load, false).cost;
    assert!(cost(&better) < cost(&worse), "{} {}", cost(&better), cost(&worse));
}

#[test]
fn failures_raise_the_cost_but_not_the_expected_work() {
    let (healthy, failing) = (reported(0, 0, 100, 0), failing(5));
    let work = |state| estimate_cost(state, ServiceLoad::default(), false).work;
    assert!((work(&healthy) - work(&failing)).abs() < 1e-9);
}

#[test]
fn failures_fade() {
    let state = failing(5);
    assert!(state.failure_rate(NOW) > 0.5);
    assert!(state.failure_rate(NOW + Millis(20_000)) < 0.1);
}

#[test]
fn requests_sent_since_a_report_count() {
    let mut state = reported(0, 0, 100, 0);
    let idle = cost(&state);
    for _ in 0..6 {
        state.record_sent(NOW);
    }
    assert!(cost(&state) > idle + 0.5);
    state.record_withdrawn();
    assert_eq!(state.in_flight(), 5);
}

#[test]
fn another_zone_costs_more() {
    let state = reported(0, 0, 100, 0);
    let local = estimate_cost(&state, ServiceLoad::default(), false);
    let other = estimate_cost(&state, ServiceLoad::default(), true);
    assert!(other.cost > local.cost);
    assert!((other.work - local.work).abs() < 1e-9);
}

fn probed_in_zone(set: &dispatch::UpstreamSet, excluded: &[&str], most: usize) -> Vec<String> {
    probed(set, excluded, most, ZoneScope::Local)
}

fn probed(
    set: &dispatch::UpstreamSet,
    excluded: &[&str],
    most: usize,
    scope: ZoneScope,
) -> Vec<String> {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let excluded: Vec<_> = excluded.iter().map(|name| id(name)).collect();
    let ids = set.choose_probe_targets(
        NOW,
        &"parts".parse().unwrap(),
        &excluded,
        (most, scope),
        |_| false,
        &mut rng,
    );
    let mut names: Vec<String> = ids.iter().map(ToString::to_string).collect();
    names.sort();
    names
}

#[test]
fn the_local_zone_is_probed_first() {
    let set =
        set(&[entry("far-1", "temeke"), entry("near-1", "kariakoo"), entry("near-2", "kariakoo")]);
    assert_eq!(probed_in_zone(&set, &[], 2), ["near-1", "near-2"]);
    assert_eq!(probed_in_zone(&set, &["near-1"], 2), ["far-1", "near-2"]);
    assert_eq!(probed(&set, &[], 1, ZoneScope::Other), ["far-1"]);
    assert_eq!(probed(&set, &["far-1"], 2, ZoneScope::Other), ["near-1", "near-2"]);
}

#[test]
fn draining_upstreams_are_not_probed() {
    let set = set(&[entry("i-1", "kariakoo"), entry_in("i-2", "kariakoo", UpstreamMode::Draining)]);
    assert_eq!(probed_in_zone(&set, &[], 3), ["i-1"]);
    assert!(!set.accepts_requests(&id("i-2")));
    assert_eq!(set.count_eligible(&"parts".parse().unwrap()), 1);
}

#[test]
fn unreachable_upstreams_are_excluded_unless_there_are_no_others() {
    let mut set = set(&[entry("i-1", "kariakoo"), entry("i-2", "kariakoo")]);
    set.get_mut(&id("i-1")).unwrap().record_probe_failure(NOW, ProbeFailure::Unreachable);
    assert_eq!(probed_in_zone(&set, &[], 3), ["i-2"]);
    assert_eq!(probed_in_zone(&set, &["i-2"], 3), ["i-1"]);
    set.get_mut(&id("i-1")).unwrap().record_probe_success();
    assert_eq!(probed_in_zone(&set, &[], 3), ["i-1", "i-2"]);
}

#[test]
fn the_exclusion_grows_up_to_a_limit() {
    let mut state = upstream_state("i-1");
    let mut exclusions_ms = Vec::new();
    for _ in 0..6 {
        state.record_probe_failure(NOW, ProbeFailure::TimedOut);
        let excluded_ms = (0..10_000).find(|&ms| !state.is_excluded(NOW + Millis(ms))).unwrap();
        exclusions_ms.push(excluded_ms);
    }
    assert_eq!(exclusions_ms, [250, 500, 1_000, 2_000, 2_000, 2_000]);
}

#[test]
fn state_survives_a_change_of_entries() {
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
fn the_baseline_is_learned_from_responses_with_little_expected_work() {
    let mut set = set(&[entry("i-1", "kariakoo")]);
    let service = "parts".parse().unwrap();
    assert_eq!(set.expected_ms(&service, RouteKey::ONLY, 1.0), None);
    set.record_duration(&service, RouteKey::ONLY, Millis(9_000), 5.0);
    assert_eq!(set.expected_ms(&service, RouteKey::ONLY, 1.0), None);
    set.record_duration(&service, RouteKey::ONLY, Millis(100), 1.0);
    assert_eq!(set.expected_ms(&service, RouteKey::ONLY, 2.0), Some(Millis(200)));
}

#[test]
fn durations_of_busy_upstreams_are_corrected_by_experience() {
    let mut set = set(&[entry("i-1", "kariakoo")]);
    let service = "parts".parse().unwrap();
    set.record_duration(&service, RouteKey::ONLY, Millis(100), 1.0);
    for _ in 0..200 {
        set.record_duration(&service, RouteKey::ONLY, Millis(600), 3.0);
    }
    let busy_ms = set.expected_ms(&service, RouteKey::ONLY, 3.0).unwrap();
    assert!(busy_ms > Millis(580) && busy_ms <= Millis(600), "{busy_ms}");
    assert_eq!(set.expected_ms(&service, RouteKey::ONLY, 1.0), Some(Millis(100)));
}

/// Among equals the connected upstream is probed, but not if it is known to be slow.
#[rstest]
#[case::equals(100, "i-2")]
#[case::the_connected_one_is_slow(700, "i-1")]
fn a_connected_upstream_is_preferred_for_probes(#[case] slowness: u32, #[case] wanted: &str) {
    let mut set = support::set(&[entry("i-1", "kariakoo"), entry("i-2", "kariakoo")]);
    let now_ms = Millis(1_000);
    set.record_report(now_ms, (&id("i-1"), RunStart::default()), report(0, 0, 100));
    set.record_report(now_ms, (&id("i-2"), RunStart::default()), report(0, 0, slowness));
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    for _ in 0..50 {
        let is_connected = |other: &UpstreamId| other.as_str() == "i-2";
        let service = "parts".parse().unwrap();
        let one = (1, ZoneScope::Local);
        let probed = set.choose_probe_targets(now_ms, &service, &[], one, is_connected, &mut rng);
        assert_eq!(probed, [id(wanted)]);
    }
}

/// An upstream that has just been added is probed as if connected; one that was there when the host
/// started is not.
#[rstest]
#[case::added(10_000, 11_000, true)]
#[case::added_long_ago(10_000, 40_000, false)]
#[case::there_from_the_start(1_000, 11_000, false)]
fn a_new_upstream_needs_no_connection_to_be_probed(
    #[case] joined_ms: u64,
    #[case] now_ms: u64,
    #[case] is_probed: bool,
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
    let mut probe = || {
        set.choose_probe_targets(
            now_ms,
            &service,
            &[],
            (1, ZoneScope::Local),
            is_connected,
            &mut rng,
        )
    };
    let count = (0..50).filter(|_| probe() == [id("i-2")]).count();
    assert_eq!(count > 10, is_probed, "{count} of 50");
}
