//! What the fleet may spend holds while hosts come, go and know each other late.
#![allow(clippy::unwrap_used)]

use dispatch::budget::{FleetRetryLimits, ProbeBudget, RetryBudget};
use domain::{Millis, PerSecond, ServiceName, Share, UpstreamId};
use rstest::rstest;

const ALLOWED: FleetRetryLimits =
    FleetRetryLimits { ratio: Share(0.2), slack: 62.0, window_ms: Millis(10_000) };

fn service() -> ServiceName {
    "parts".parse().unwrap()
}

/// Repeats of a host that takes all it can, with so many requests a second.
fn spend(budget: &mut RetryBudget, from_ms: u64, to_ms: u64, per_s: u64, hosts: u32) -> u32 {
    let mut spent = 0;
    for now in (from_ms..to_ms).step_by(10) {
        if (now / 10).is_multiple_of(100 / per_s.max(1)) && per_s > 0 {
            budget.record_request(Millis(now), &service(), hosts);
        }
        while budget.try_spend(Millis(now), &service()) {
            spent += 1;
        }
    }
    spent
}

#[rstest]
#[case::small_fleet(3, 50)]
#[case::today(17, 10)]
#[case::large(124, 5)]
fn the_fleet_stays_within_any_window(#[case] hosts: u32, #[case] per_s: u64) {
    let mut budget = RetryBudget::new(ALLOWED, Millis::ZERO);
    spend(&mut budget, 0, 30_000, per_s, hosts);
    let spent = spend(&mut budget, 30_000, 40_000, per_s, hosts) * hosts;
    let allowed = ALLOWED.ratio.0 * (per_s * 10 * u64::from(hosts)) as f64 + ALLOWED.slack;
    assert!(f64::from(spent) <= allowed, "{spent} of {allowed}");
}

#[test]
fn a_fleet_that_restarts_within_a_window_stays_within_it() {
    let (hosts, per_s) = (17, 2);
    let mut before = RetryBudget::new(ALLOWED, Millis::ZERO);
    let first = spend(&mut before, 0, 5_000, per_s, hosts);
    let mut after = RetryBudget::new(ALLOWED, Millis(5_000));
    let second = spend(&mut after, 5_000, 10_000, per_s, hosts);
    let allowed = ALLOWED.ratio.0 * f64::from(hosts * 2 * 10) + ALLOWED.slack;
    assert!(f64::from((first + second) * hosts) <= allowed);
}

#[test]
fn a_host_that_knows_nobody_yet_takes_the_fleet_to_be_large() {
    let mut budget = RetryBudget::new(ALLOWED, Millis::ZERO);
    budget.record_request(Millis(10), &service(), 1);
    assert!(budget.remaining(Millis(10), &service()) < 3.0);
    budget.record_request(Millis(4_000), &service(), 1);
    assert!(budget.remaining(Millis(4_000), &service()) > 30.0);
}

#[test]
fn a_spent_budget_is_there_again_after_the_window() {
    let mut budget = RetryBudget::new(ALLOWED, Millis::ZERO);
    budget.record_request(Millis(5_000), &service(), 17);
    while budget.try_spend(Millis(5_000), &service()) {}
    assert!(!budget.try_spend(Millis(14_000), &service()));
    assert!(budget.try_spend(Millis(16_000), &service()));
}

#[rstest]
#[case::few(13.0)]
#[case::many(124.0)]
fn health_checks_stay_within_their_rate(#[case] sharing: f64) {
    let upstream: UpstreamId = "i-1".parse().unwrap();
    let mut budget = ProbeBudget::new(PerSecond(60.0));
    let mut asked = 0;
    for now in 0..40_000 {
        asked += u32::from(budget.try_spend(Millis(now), &upstream, sharing));
    }
    let mean = f64::from(asked) / 40.0 * sharing;
    assert!(mean <= 60.0, "{mean}");
    assert!(mean >= 45.0, "{mean}");
}

#[test]
fn calm_times_save_up_for_a_burst() {
    let upstream: UpstreamId = "i-1".parse().unwrap();
    let mut budget = ProbeBudget::new(PerSecond(60.0));
    assert!(budget.try_spend(Millis::ZERO, &upstream, 13.0));
    let burst = (0..1_000).filter(|_| budget.try_spend(Millis(20_000), &upstream, 13.0)).count();
    assert!(burst > 60, "{burst}");
    assert!(burst < 130, "{burst}");
}

/// A process that stood still has saved nothing up for that time; one that was calm has.
#[rstest]
#[case::calm(500, 270)]
#[case::stood_still(60_000, 0)]
fn nothing_is_saved_up_while_the_process_stands_still(
    #[case] seen_awake_each_ms: usize,
    #[case] expected: usize,
) {
    let mut asks = ProbeBudget::new(PerSecond(10.0));
    let upstream: UpstreamId = "i-1".parse().unwrap();
    let spend = |asks: &mut ProbeBudget, now: u64| {
        (0..1_000).filter(|_| asks.try_spend(Millis(now), &upstream, 1.0)).count()
    };
    asks.record_awake(Millis(1_000));
    spend(&mut asks, 1_000);
    for now in (1_000..=61_000).step_by(seen_awake_each_ms) {
        asks.record_awake(Millis(now));
    }
    assert_eq!(spend(&mut asks, 61_000), expected);
}
