//! What callers got.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Outcomes of a play.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Requests of callers, each counted once.
    pub asked: u64,
    /// Answered within the objective of their first try.
    pub in_time: u64,
    /// Refused at first, and answered within the objective of their second try.
    pub in_time_again: u64,
    /// Answered later.
    pub late: u64,
    /// Refused to the end.
    pub refused: u64,
    /// Not answered before the caller left.
    pub timed_out: u64,
    /// Time to an answer, 99 in 100.
    pub answer_p99_ms: u64,
    /// Time to a refusal, 99 in 100.
    pub refusal_p99_ms: u64,
    /// Health checks.
    pub asks: u64,
    /// Messages between hosts.
    pub messages: u64,
}

impl Figures {
    /// Part that was answered within the objective of the first try.
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.asked.max(1) as f64
    }

    /// Requests answered within an objective of theirs.
    pub fn served(&self) -> u64 {
        self.in_time + self.in_time_again
    }
}

/// Collects times.
#[derive(Debug)]
pub(crate) struct Times(Histogram<u64>);

impl Times {
    pub(crate) fn new() -> Times {
        // Bounds of the library for whole milliseconds up to a minute: they can't be refused.
        Times(Histogram::new_with_bounds(1, 60_000, 3).unwrap_or_else(|_| unreachable!()))
    }

    pub(crate) fn add(&mut self, time_ms: f64) {
        self.0.saturating_record(time_ms as u64);
    }

    pub(crate) fn p99_ms(&self) -> u64 {
        self.0.value_at_quantile(0.99)
    }
}
