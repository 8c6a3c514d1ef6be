#![allow(clippy::unwrap_used)]

use super::{Figures, Spread, Summary};
use rstest::rstest;

#[rstest]
#[case::none(&[], (0.0, 0.0, 0.0))]
#[case::one(&[3.0], (3.0, 3.0, 3.0))]
#[case::odd(&[5.0, 1.0, 2.0], (2.0, 1.0, 5.0))]
#[case::even(&[4.0, 1.0, 2.0, 9.0], (3.0, 1.0, 9.0))]
fn a_spread_has_median_and_extremes(
    #[case] values: &[f64],
    #[case] (median, min, max): (f64, f64, f64),
) {
    assert_eq!(Spread::new(values.iter().copied()), Spread { median, min, max });
}

#[test]
fn faults_of_all_rounds_are_added_up() {
    let lost = Figures { lost: 2.0, ..Figures::default() };
    let doubled = Figures { doubled: 1.0, ..Figures::default() };
    let summary = Summary::of_runs("random", &[lost, doubled, Figures::default()]);
    assert_eq!(summary.faults, 3.0);
    assert!(lost.has_fault() && doubled.has_fault() && !Figures::default().has_fault());
}
