//! Outcomes that callers experienced.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Counts and times of one simulation.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Requests of callers; a retry does not count again.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Requests answered on the first try within the objective.
    pub in_time: u64,
    /// Requests refused first, whose retry was answered within the objective.
    #[serde(rename = "in_time_again")]
    pub in_time_on_retry: u64,
    /// Requests answered after the objective.
    pub late: u64,
    /// Requests whose retry was refused, too.
    pub refused: u64,
    /// Requests not answered by the caller's deadline.
    pub timed_out: u64,
    /// 99th percentile of the time to a response, counted from the start of its try.
    #[serde(rename = "answer_p99_ms")]
    pub response_p99_ms: u64,
    /// 99th percentile of the time to a refusal, counted from the start of its try.
    pub refusal_p99_ms: u64,
    /// Probes sent to upstreams.
    #[serde(rename = "asks")]
    pub probes: u64,
    /// Messages sent between hosts, lost ones included.
    pub messages: u64,
}

impl Figures {
    /// Share of the requests that were answered on the first try within the objective.
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.requests.max(1) as f64
    }

    /// Requests answered within the objective, on the first try or on the retry.
    pub fn served(&self) -> u64 {
        self.in_time + self.in_time_on_retry
    }
}

/// Distribution of times in milliseconds.
#[derive(Debug)]
pub(crate) struct TimeHistogram(Histogram<u64>);

impl TimeHistogram {
    pub(crate) fn new() -> TimeHistogram {
        // 1 ms to a minute at three significant digits: bounds that `Histogram` accepts.
        TimeHistogram(Histogram::new_with_bounds(1, 60_000, 3).unwrap_or_else(|_| unreachable!()))
    }

    pub(crate) fn record(&mut self, time_ms: f64) {
        self.0.saturating_record(time_ms as u64);
    }

    pub(crate) fn p99_ms(&self) -> u64 {
        self.0.value_at_quantile(0.99)
    }
}
