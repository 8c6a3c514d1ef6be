//! Service times by route.
#![allow(clippy::unwrap_used)]

mod support;

use dispatch::scheduler::{
    Effect, PlacementMessage, RefusalCause, Requester, SchedulerSet, Submission,
};
use dispatch::{
    MAX_ROUTES, Occupancy, RouteKey, RouteTime, ServiceTimeSample, SpeedCurve, UpstreamSet,
};
use domain::{Millis, ServiceName, Slots};
use published::RunStart;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use support::{SLOTS, entry, id, report, set, submission};

const SHORT: RouteKey = RouteKey(1);
const LONG: RouteKey = RouteKey(2);

fn service() -> ServiceName {
    "parts".parse().unwrap()
}

fn one_upstream() -> UpstreamSet {
    set(&[entry("i-1", "kariakoo")])
}

/// A duration that differs from the route's mean by up to a third.
fn around(mean_ms: u64, rng: &mut Pcg64Mcg) -> Millis {
    Millis((mean_ms as f64 * rng.random_range(0.67..1.33)) as u64)
}

fn expected_ms(upstreams: &UpstreamSet, route: RouteKey) -> f64 {
    upstreams.expected_ms(&service(), route, 1.0).unwrap().as_f64()
}

/// Guards against taking the service's mean for the time of each of its routes: urgent short
/// requests were refused since the mean, not their own time, exceeded their objective.
#[rstest]
fn each_route_has_its_own_time(#[values(0.01, 0.1, 0.5, 0.9, 0.99)] share_of_long: f64) {
    let (mut upstreams, mut rng) = (one_upstream(), Pcg64Mcg::seed_from_u64(1));
    for _ in 0..4_000 {
        let is_long = rng.random_bool(share_of_long);
        let (route, mean_ms) = if is_long { (LONG, 400) } else { (SHORT, 40) };
        upstreams.record_duration(&service(), route, around(mean_ms, &mut rng), 1.0);
    }
    // With some forty samples, the service's mean still counts for a fifth.
    let (short_ms, long_ms) = (expected_ms(&upstreams, SHORT), expected_ms(&upstreams, LONG));
    assert!((30.0..130.0).contains(&short_ms), "{short_ms}");
    assert!((300.0..500.0).contains(&long_ms), "{long_ms}");
}

/// Guards against an estimate that stays at what was learned first.
#[rstest]
#[case::slower(40, 400)]
#[case::faster(400, 40)]
fn a_tenfold_change_is_learned_within_a_hundred_responses(
    #[case] from_ms: u64,
    #[case] to_ms: u64,
) {
    let (mut upstreams, mut rng) = (one_upstream(), Pcg64Mcg::seed_from_u64(1));
    for (mean_ms, count) in [(from_ms, 500), (to_ms, 100)] {
        for _ in 0..count {
            upstreams.record_duration(&service(), SHORT, around(mean_ms, &mut rng), 1.0);
            upstreams.record_duration(&service(), LONG, around(200, &mut rng), 1.0);
        }
    }
    let change = (from_ms as f64 - to_ms as f64).abs();
    let left = (expected_ms(&upstreams, SHORT) - to_ms as f64).abs();
    assert!(left < 0.2 * change, "{left} of {change}");
}

/// Guards against trusting a single response: a new route takes the service's mean, and one outlier
/// hardly moves it.
#[test]
fn a_new_route_starts_at_the_mean_of_its_service() {
    let mut upstreams = one_upstream();
    for _ in 0..200 {
        upstreams.record_duration(&service(), LONG, Millis(100), 1.0);
    }
    assert_eq!(expected_ms(&upstreams, SHORT), 100.0);
    upstreams.record_duration(&service(), SHORT, Millis(1_000), 1.0);
    assert!(expected_ms(&upstreams, SHORT) < 250.0);
}

/// Guards against an estimate that differs from the service's mean although the service has one
/// route.
#[test]
fn a_single_route_takes_the_mean_of_its_service() {
    let (mut upstreams, mut rng) = (one_upstream(), Pcg64Mcg::seed_from_u64(1));
    for _ in 0..50 {
        upstreams.record_duration(&service(), RouteKey::ONLY, around(100, &mut rng), 1.0);
    }
    assert_eq!(expected_ms(&upstreams, RouteKey::ONLY), expected_ms(&upstreams, SHORT));
    assert_eq!(upstreams.route_time(&service(), RouteKey::ONLY), None);
}

/// Guards against unbounded memory, and against losing the routes that carry the load to those that
/// hardly have requests.
#[test]
fn of_3_000_routes_those_that_carry_the_load_are_kept() {
    let (mut upstreams, mut rng) = (one_upstream(), Pcg64Mcg::seed_from_u64(1));
    for _ in 0..20_000 {
        let route = match rng.random_bool(0.9) {
            true => rng.random_range(1..=20),
            false => rng.random_range(21..=3_000),
        };
        let mean_ms = if route <= 20 { 20 * u64::from(route) } else { 5_000 };
        upstreams.record_duration(&service(), RouteKey(route), around(mean_ms, &mut rng), 1.0);
    }
    for route in 1..=20 {
        let (expected, mean_ms) =
            (expected_ms(&upstreams, RouteKey(route)), 20.0 * f64::from(route));
        assert!((expected - mean_ms).abs() < 0.2 * mean_ms + 20.0, "{route}: {expected}");
    }
    let kept =
        (1..=3_000).filter(|&route| upstreams.route_time(&service(), RouteKey(route)).is_some());
    assert!(kept.count() <= MAX_ROUTES);
}

/// Guards against a service time that outlives its route.
#[test]
fn a_route_that_is_gone_is_forgotten() {
    let mut upstreams = one_upstream();
    for route in [SHORT, LONG, RouteKey(3)] {
        upstreams.record_duration(&service(), route, Millis(100), 1.0);
    }
    upstreams.retain_routes(|route| route != SHORT);
    assert_eq!(upstreams.route_time(&service(), SHORT), None);
    assert!(upstreams.route_time(&service(), LONG).is_some());
}

/// Guards against a scheduler that takes over and knows no service times, and against one that
/// replaces what it learned itself.
#[rstest]
#[case::new_scheduler(0, 40.0)]
#[case::own_samples_count_more(100, 400.0)]
fn a_scheduler_takes_over_what_hosts_learned(#[case] own_samples: u32, #[case] wanted_ms: f64) {
    let mut upstreams = one_upstream();
    upstreams.record_duration(&service(), LONG, Millis(400), 1.0);
    for _ in 0..own_samples {
        upstreams.record_duration(&service(), SHORT, Millis(400), 1.0);
    }
    let route_time = Some(RouteTime { mean_ms: Millis(40), samples: 500 });
    let submission = Submission { route: SHORT, route_time, ..submission(1) };
    let mut schedulers = SchedulerSet::new("front-1".parse().unwrap());
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let message = PlacementMessage::Submit(submission);
    schedulers.handle_message(Millis(1_000), message, Requester::OwnHost, &mut upstreams, &mut rng);
    let expected = expected_ms(&upstreams, SHORT);
    // The service's mean counts as ten samples of the estimate.
    assert!((expected - wanted_ms).abs() < 125.0, "{expected}");
}

/// Guards against a speed curve that takes the longer service time of a route for a slow-down.
#[test]
fn a_longer_route_does_not_teach_a_slow_down() {
    let (mut upstreams, mut rng) = (one_upstream(), Pcg64Mcg::seed_from_u64(1));
    for round in 0..4_000 {
        let (route, mean_ms) = if round % 2 == 0 { (SHORT, 40) } else { (LONG, 400) };
        // Long requests run beside all others, and no request is slowed down.
        let running = if route == SHORT && round % 4 == 0 { 1 } else { SLOTS };
        let running = if route == LONG && round % 40 == 1 { 1 } else { running };
        let mut occupancy = Occupancy::new(running);
        occupancy.add(running, around(mean_ms, &mut rng).as_f64());
        let sample = ServiceTimeSample { route, occupancy, slowness: 1.0 };
        upstreams.record_service_time(&id("i-1"), &sample);
    }
    let curve: &SpeedCurve = upstreams.curve(&id("i-1")).unwrap();
    assert_eq!(curve.slots(), Slots(SLOTS));
    assert!(curve.speed(f64::from(SLOTS)) > 0.85, "{curve:?}");
}

/// Guards against refusing an urgent short request that nobody is ahead of: a slot that a long
/// request holds becomes free in time for its objective.
#[test]
fn a_short_request_waits_for_a_slot_of_a_long_one() {
    let mut upstreams = one_upstream();
    for _ in 0..200 {
        upstreams.record_duration(&service(), LONG, Millis(150), 1.0);
        upstreams.record_duration(&service(), SHORT, Millis(48), 1.0);
    }
    let mut schedulers = SchedulerSet::new("front-1".parse().unwrap());
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let now_ms = Millis(10_000);
    let full = report(SLOTS, 0, 100);
    upstreams.record_report(now_ms, (&id("i-1"), RunStart::default()), full);
    let urgent = Submission { route: SHORT, objective_ms: Millis(150), ..submission(1) };
    let message = PlacementMessage::Submit(urgent);
    let peer = Requester::Peer("127.0.0.1:7000".parse().unwrap());
    let effects = schedulers.handle_message(now_ms, message, peer, &mut upstreams, &mut rng);
    let is_refused = |effect: &Effect| {
        let refused = |cause: &RefusalCause| matches!(cause, RefusalCause::NoRoom { .. });
        matches!(effect, Effect::Send { message: PlacementMessage::Refused { cause, .. }, .. } if refused(cause))
    };
    assert!(!effects.iter().any(is_refused), "{effects:?}");
    assert_eq!(schedulers.waiting_count(), 1);
}
