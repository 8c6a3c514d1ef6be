//! The fleet stays within its probe budget.
#![allow(clippy::unwrap_used)]

use dispatch::probe_budget::ProbeBudget;
use domain::{Millis, PerSecond, UpstreamId};
use rstest::rstest;

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
