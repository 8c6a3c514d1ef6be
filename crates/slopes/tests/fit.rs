//! Lines through points.
#![allow(clippy::unwrap_used)]

use rstest::rstest;
use slopes::{FitError, fit};

const TOLERANCE: f64 = 1e-6;

fn plane(intercept: f64, slopes: &[f64], at: &[Vec<f64>]) -> Vec<(Vec<f64>, f64)> {
    let value = |x: &[f64]| intercept + slopes.iter().zip(x).map(|(s, x)| s * x).sum::<f64>();
    at.iter().map(|x| (x.clone(), value(x))).collect()
}

#[rstest]
#[case::one_variable(5.0, &[2.0], vec![vec![0.0], vec![1.0], vec![10.0]])]
#[case::flat(7.0, &[0.0], vec![vec![1.0], vec![2.0], vec![3.0]])]
#[case::two_variables(
    1e6,
    &[900.0, 2500.0],
    vec![vec![1e3, 1e2], vec![4e3, 3e2], vec![13e3, 1.2e3], vec![8e3, 1e2]]
)]
#[case::far_apart(0.5, &[1e-6, 3.0], vec![vec![1e6, 1.0], vec![2e6, 5.0], vec![9e6, 2.0]])]
fn finds_the_line(#[case] intercept: f64, #[case] slopes: &[f64], #[case] at: Vec<Vec<f64>>) {
    let found = fit(&plane(intercept, slopes, &at)).unwrap();
    let near = |a: f64, b: f64| (a - b).abs() <= TOLERANCE * b.abs().max(1.0);
    assert!(near(found.intercept, intercept), "{found:?}");
    assert!(found.slopes.iter().zip(slopes).all(|(a, b)| near(*a, *b)), "{found:?}");
    assert!(found.worst_residual_share < TOLERANCE, "{found:?}");
}

#[rstest]
#[case::none(vec![], FitError::TooFewPoints)]
#[case::one(vec![vec![1.0]], FitError::TooFewPoints)]
#[case::same_place(vec![vec![1.0], vec![1.0], vec![1.0]], FitError::Degenerate)]
#[case::in_step(vec![vec![1.0, 2.0], vec![2.0, 4.0], vec![3.0, 6.0]], FitError::Degenerate)]
fn refuses_points_without_a_line(#[case] at: Vec<Vec<f64>>, #[case] expected: FitError) {
    assert_eq!(fit(&plane(1.0, &[1.0, 1.0], &at)), Err(expected));
}
