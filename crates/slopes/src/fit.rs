//! Least squares: a value as an intercept and one slope for each variable.
//!
//! Sizes span some orders of magnitude, so relative distances count: else the largest
//! site alone would decide, and the line would be useless for the smallest.

use serde::Serialize;
use std::fmt;

/// Pivots below this part of the largest mean that the points don't tell the variables apart.
const MIN_PIVOT_SHARE: f64 = 1e-12;
/// Values below this part of the largest weigh as if they were it.
const SMALLEST_SHARE: f64 = 1e-3;

/// Intercept and slopes of a line through points.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Fit {
    /// Value where all variables are zero.
    pub intercept: f64,
    /// Growth of the value with each variable, in the variables' order.
    pub slopes: Vec<f64>,
    /// Largest distance of a point from the line, as a share of its value.
    pub worst_residual_share: f64,
}

/// Why no line can be fitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FitError {
    /// Fewer points than unknowns.
    TooFewPoints,
    /// The variables always grow together.
    Degenerate,
}

impl fmt::Display for FitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FitError::TooFewPoints => "too few points: measure at least one more than variables",
            FitError::Degenerate => "the variables grow together: vary each alone once",
        })
    }
}

impl std::error::Error for FitError {}

impl Fit {
    /// The line's value at a point.
    pub fn at(&self, point: &[f64]) -> f64 {
        let grown: f64 = self.slopes.iter().zip(point).map(|(slope, x)| slope * x).sum();
        self.intercept + grown
    }
}

/// The line with the least sum of squared relative distances.
///
/// Each point is its variables and its value.
///
/// # Errors
///
/// If the points don't determine a line.
pub fn fit(points: &[(Vec<f64>, f64)]) -> Result<Fit, FitError> {
    let variables = points.first().map_or(0, |(x, _)| x.len());
    if points.len() <= variables {
        return Err(FitError::TooFewPoints);
    }
    let scales = scales(points, variables);
    let coefficients = solve(normal_equations(points, &scales, smallest_value(points)))?;
    let unscaled = coefficients.iter().skip(1).zip(&scales);
    let mut line = Fit {
        intercept: coefficients[0],
        slopes: unscaled.map(|(coefficient, scale)| coefficient / scale).collect(),
        worst_residual_share: 0.0,
    };
    line.worst_residual_share = worst_residual_share(&line, points);
    Ok(line)
}

/// Largest value of each variable: keeps the equations well conditioned.
fn scales(points: &[(Vec<f64>, f64)], variables: usize) -> Vec<f64> {
    let largest =
        |variable: usize| points.iter().map(|(x, _)| x[variable].abs()).fold(0.0, f64::max);
    (0..variables).map(|variable| largest(variable).max(f64::MIN_POSITIVE)).collect()
}

/// One row for each unknown: its coefficients and, last, its right side.
fn normal_equations(points: &[(Vec<f64>, f64)], scales: &[f64], smallest: f64) -> Vec<Vec<f64>> {
    let unknowns = scales.len() + 1;
    let mut rows = vec![vec![0.0; unknowns + 1]; unknowns];
    for (x, value) in points {
        let weight = 1.0 / value.abs().max(smallest);
        let scaled = x.iter().zip(scales).map(|(x, scale)| weight * x / scale);
        let terms: Vec<f64> = std::iter::once(weight).chain(scaled).collect();
        let weighted = weight * value;
        for (row, left) in rows.iter_mut().zip(&terms) {
            for (cell, right) in row.iter_mut().zip(terms.iter().chain([&weighted])) {
                *cell += left * right;
            }
        }
    }
    rows
}

/// Gaussian elimination with row exchange.
fn solve(mut rows: Vec<Vec<f64>>) -> Result<Vec<f64>, FitError> {
    let unknowns = rows.len();
    let largest = rows.iter().flatten().map(|cell| cell.abs()).fold(0.0, f64::max);
    for column in 0..unknowns {
        let pivot = (column..unknowns)
            .max_by(|&a, &b| rows[a][column].abs().total_cmp(&rows[b][column].abs()))
            .ok_or(FitError::Degenerate)?;
        rows.swap(column, pivot);
        if rows[column][column].abs() <= largest * MIN_PIVOT_SHARE {
            return Err(FitError::Degenerate);
        }
        let source = rows[column].clone();
        for (_, row) in rows.iter_mut().enumerate().filter(|(index, _)| *index != column) {
            let factor = row[column] / source[column];
            for (cell, part) in row.iter_mut().zip(&source) {
                *cell -= factor * part;
            }
        }
    }
    Ok((0..unknowns).map(|index| rows[index][unknowns] / rows[index][index]).collect())
}

/// What smaller values are taken for, so that a zero among them does not decide alone.
fn smallest_value(points: &[(Vec<f64>, f64)]) -> f64 {
    let largest = points.iter().map(|(_, value)| value.abs()).fold(0.0, f64::max);
    match largest > 0.0 {
        true => largest * SMALLEST_SHARE,
        false => 1.0,
    }
}

fn worst_residual_share(line: &Fit, points: &[(Vec<f64>, f64)]) -> f64 {
    let smallest = smallest_value(points);
    let residual = |x: &[f64], value: f64| (line.at(x) - value).abs() / value.abs().max(smallest);
    points.iter().map(|(x, value)| residual(x, *value)).fold(0.0, f64::max)
}
