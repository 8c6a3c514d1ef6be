//! Verdicts on latency estimates.

use dispatch::{DeadlineCheck, LatencyEstimate, Verdict};
use domain::Millis;
use rstest::rstest;

/// A request that arrived at 1000 ms, with an objective of 400 ms and a deadline of 1200 ms.
const REQUEST: DeadlineCheck =
    DeadlineCheck { arrived_ms: Millis(1_000), objective_ms: Millis(400), end_ms: Millis(2_200) };

#[rstest]
#[case::in_time(1_010, Some(300), Verdict::Send)]
#[case::just_in_time(1_010, Some(390), Verdict::Send)]
#[case::late_but_early_in_its_time(1_010, Some(700), Verdict::ProbeAgain(Millis(8)))]
#[case::late_at_the_end(1_080, Some(380), Verdict::Send)]
#[case::far_too_late(1_080, Some(700), Verdict::Refuse)]
#[case::nothing_known(1_080, None, Verdict::Send)]
fn verdict_by_estimate(#[case] now: u64, #[case] expected: Option<u64>, #[case] wanted: Verdict) {
    let estimate = LatencyEstimate { expected_ms: expected.map(Millis) };
    assert_eq!(REQUEST.check(Millis(now), estimate), wanted);
}

#[test]
fn a_refusal_comes_within_a_quarter_of_the_objective() {
    let estimate = LatencyEstimate { expected_ms: Some(Millis(5_000)) };
    let refused =
        (1_000..2_200).find(|&now| REQUEST.check(Millis(now), estimate) == Verdict::Refuse);
    assert!(refused.is_some_and(|now| now <= 1_100), "{refused:?}");
}
