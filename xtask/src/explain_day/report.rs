//! The player's report of a day, decoded into our words.

use serde::Deserialize;

/// The part of the report that is drawn.
#[derive(Debug, Deserialize)]
pub(super) struct DayReport {
    pub(super) windows: Vec<Window>,
    pub(super) prices: Vec<Price>,
}

/// Requests that were asked within some seconds.
#[derive(Debug, Deserialize)]
pub(super) struct Window {
    /// Its first second.
    pub(super) name: String,
    #[serde(rename = "n")]
    pub(super) asked: u64,
    #[serde(rename = "in_aim")]
    pub(super) in_time: u64,
    pub(super) late: u64,
    pub(super) refused: u64,
    pub(super) failed: u64,
    /// Part of the credit that was earned.
    #[serde(rename = "worth")]
    pub(super) credit: f64,
}

/// What something cost.
#[derive(Debug, Deserialize)]
#[serde(from = "(String, f64, f64)")]
pub(super) struct Price {
    pub(super) name: String,
    pub(super) amount: f64,
    /// In parts of what a day can earn.
    pub(super) cost: f64,
}

impl From<(String, f64, f64)> for Price {
    fn from((name, amount, cost): (String, f64, f64)) -> Price {
        Price { name, amount, cost }
    }
}
