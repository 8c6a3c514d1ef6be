//! Schedules follow from their seed, and bad plans are refused.

#![allow(clippy::unwrap_used)]

use domain::{ByteCount, Millis, PerSecond, Share};
use load::{Arrivals, Caller, LoadPlan, PlanError, RouteLoad, Stream, schedule};
use rstest::rstest;

fn plan(seed: u64, arrivals: Arrivals) -> LoadPlan {
    let caller = |name: &str, weight| Caller { caller: name.parse().unwrap(), weight };
    let route = |path: &str, weight| RouteLoad {
        path: path.to_owned(),
        weight,
        at_most_once: false,
        body_bytes: ByteCount(0),
        timeout_ms: Millis(1000),
    };
    LoadPlan {
        seed,
        warm_up_ms: Millis(1000),
        duration_ms: Millis(9000),
        grace_ms: Millis(1000),
        streams: vec![Stream {
            arrivals,
            callers: vec![caller("a", Share(3.0)), caller("b", Share(1.0))],
            routes: vec![route("/x", Share(1.0)), route("/never", Share(0.0))],
        }],
    }
}

fn poisson(per_second: f64) -> Arrivals {
    Arrivals::Poisson { per_second: PerSecond(per_second) }
}

#[test]
fn a_seed_fixes_the_schedule() {
    assert_eq!(schedule(&plan(1, poisson(500.0))), schedule(&plan(1, poisson(500.0))));
    assert_ne!(schedule(&plan(1, poisson(500.0))), schedule(&plan(2, poisson(500.0))));
}

#[test]
fn poisson_arrivals_keep_rate_order_and_weights() {
    let arrivals = schedule(&plan(1, poisson(1000.0)));
    let of_a = arrivals.iter().filter(|arrival| arrival.caller == 0).count() as f64;
    assert!((9_700..=10_300).contains(&arrivals.len()), "{}", arrivals.len());
    assert!((0.72..=0.78).contains(&(of_a / arrivals.len() as f64)), "{of_a}");
    assert!(arrivals.iter().all(|arrival| arrival.route == 0 && arrival.at_us < 10_000_000));
    assert!(arrivals.is_sorted_by_key(|arrival| arrival.at_us));
}

#[test]
fn bursts_are_due_at_once() {
    let bursts = Arrivals::Bursts { size: 7, every_ms: Millis(2500) };
    let times: Vec<u64> = schedule(&plan(1, bursts)).iter().map(|a| a.at_us).collect();
    let expected = [0, 2_500_000, 5_000_000, 7_500_000].map(|at_us| [at_us; 7]).concat();
    assert_eq!(times, expected);
}

#[rstest]
#[case::fine(|_: &mut LoadPlan| {}, None)]
#[case::no_streams(|p: &mut LoadPlan| p.streams.clear(), Some(PlanError::NoStreams))]
#[case::no_callers(
    |p: &mut LoadPlan| p.streams[0].callers.clear(), Some(PlanError::NoCallers)
)]
#[case::no_weight(
    |p: &mut LoadPlan| p.streams[0].routes.truncate(0), Some(PlanError::NoRoutes)
)]
#[case::zero_rate(
    |p: &mut LoadPlan| p.streams[0].arrivals = poisson(0.0),
    Some(PlanError::BadRate(PerSecond(0.0)))
)]
#[case::endless_rate(
    |p: &mut LoadPlan| p.streams[0].arrivals = poisson(f64::INFINITY),
    Some(PlanError::BadRate(PerSecond(f64::INFINITY)))
)]
#[case::no_interval(
    |p: &mut LoadPlan| {
        p.streams[0].arrivals = Arrivals::Bursts { size: 1, every_ms: Millis(0) };
    },
    Some(PlanError::BadInterval)
)]
fn a_plan_is_checked(#[case] spoil: fn(&mut LoadPlan), #[case] expected: Option<PlanError>) {
    let mut plan = plan(1, poisson(10.0));
    spoil(&mut plan);
    assert_eq!(plan.check().err(), expected);
}
