//! The fleet stays within its retry and probe budgets while hosts join, leave and learn of each
//! other late.
#![allow(clippy::unwrap_used)]

use dispatch::budget::{FleetRetryLimits, ProbeBudget, RetryBudget};
use domain::{Millis, PerSecond, ServiceName, Share, UpstreamId};
use rstest::rstest;

const ALLOWED: FleetRetryLimits =
    FleetRetryLimits { ratio: Share(0.2), slack: 62.0, window_ms: Millis(10_000) };

fn service() -> ServiceName {
    "parts".parse().unwrap()
}

/// Retries of a host that spends all it can at this rate of requests.
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
#[case::medium(17, 10)]
#[case::large(124, 5)]
fn retries_stay_within_the_limit_in_any_window(#[case] hosts: u32, #[case] per_s: u64) {
    let mut budget = RetryBudget::new(ALLOWED, Millis::ZERO);
    spend(&mut budget, 0, 30_000, per_s, hosts);
    let spent = spend(&mut budget, 30_000, 40_000, per_s, hosts) * hosts;
    let allowed = ALLOWED.ratio.0 * (per_s * 10 * u64::from(hosts)) as f64 + ALLOWED.slack;
    assert!(f64::from(spent) <= allowed, "{spent} of {allowed}");
}

#[test]
fn retries_stay_within_the_limit_if_all_hosts_restart() {
    let (hosts, per_s) = (17, 2);
    let mut before = RetryBudget::new(ALLOWED, Millis::ZERO);
    let first = spend(&mut before, 0, 5_000, per_s, hosts);
    let mut after = RetryBudget::new(ALLOWED, Millis(5_000));
    let second = spend(&mut after, 5_000, 10_000, per_s, hosts);
    let allowed = ALLOWED.ratio.0 * f64::from(hosts * 2 * 10) + ALLOWED.slack;
    assert!(f64::from((first + second) * hosts) <= allowed);
}

#[test]
fn a_new_host_assumes_a_large_fleet() {
    let mut budget = RetryBudget::new(ALLOWED, Millis::ZERO);
    budget.record_request(Millis(10), &service(), 1);
    assert!(budget.remaining(Millis(10), &service()) < 3.0);
    budget.record_request(Millis(4_000), &service(), 1);
    assert!(budget.remaining(Millis(4_000), &service()) > 30.0);
}

#[test]
fn a_spent_budget_is_available_again_after_the_window() {
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
    let mut probes = 0;
    for now in 0..40_000 {
        probes += u32::from(budget.try_spend(Millis(now), &upstream, sharing));
    }
    let mean = f64::from(probes) / 40.0 * sharing;
    assert!(mean <= 60.0, "{mean}");
    assert!(mean >= 45.0, "{mean}");
}

#[test]
fn idle_times_save_up_for_a_burst() {
    let upstream: UpstreamId = "i-1".parse().unwrap();
    let mut budget = ProbeBudget::new(PerSecond(60.0));
    assert!(budget.try_spend(Millis::ZERO, &upstream, 13.0));
    let burst = (0..1_000).filter(|_| budget.try_spend(Millis(20_000), &upstream, 13.0)).count();
    assert!(burst > 60, "{burst}");
    assert!(burst < 130, "{burst}");
}

/// A suspended process saves up no probes; an idle one does.
#[rstest]
#[case::idle(500, 270)]
#[case::suspended(60_000, 0)]
fn nothing_is_saved_up_while_the_process_is_suspended(
    #[case] awake_interval_ms: usize,
    #[case] expected: usize,
) {
    let mut budget = ProbeBudget::new(PerSecond(10.0));
    let upstream: UpstreamId = "i-1".parse().unwrap();
    let spend = |budget: &mut ProbeBudget, now: u64| {
        (0..1_000).filter(|_| budget.try_spend(Millis(now), &upstream, 1.0)).count()
    };
    budget.record_awake(Millis(1_000));
    spend(&mut budget, 1_000);
    for now in (1_000..=61_000).step_by(awake_interval_ms) {
        budget.record_awake(Millis(now));
    }
    assert_eq!(spend(&mut budget, 61_000), expected);
}
