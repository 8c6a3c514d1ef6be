//! What a run gave, as a table for people and as JSON for programs.

use crate::site::Plan;
use decision_core::RefusalCause;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// Counts while a run goes on; latency in microseconds.
#[derive(Debug)]
pub struct Tally {
    /// Latency of good answers.
    pub latency: Histogram<u64>,
    /// Calls offered.
    pub offered: u64,
    /// Calls with a good answer.
    pub good: u64,
    /// Calls with an error as the answer.
    pub errors: u64,
    /// Calls refused, by cause.
    pub refused: BTreeMap<String, u64>,
    /// Latency of refusals.
    pub refusal_latency: Histogram<u64>,
    /// Attempts sent.
    pub attempts: u64,
    /// Attempts that an upstream shed.
    pub shed: u64,
    /// Probes.
    pub probes: u64,
    /// Messages between hosts.
    pub messages: u64,
    /// Bytes of these messages.
    pub message_bytes: u64,
}

/// Longest latency that is told apart.
const HIGHEST_US: u64 = 60_000_000;

impl Tally {
    /// Nothing counted.
    ///
    /// # Panics
    ///
    /// Never: the histogram's bounds are constant.
    pub fn new() -> Tally {
        #[expect(clippy::expect_used, reason = "the bounds are constant")]
        let histogram =
            || Histogram::new_with_max(HIGHEST_US, 3).expect("constant bounds are valid");
        Tally {
            latency: histogram(),
            offered: 0,
            good: 0,
            errors: 0,
            refused: BTreeMap::new(),
            refusal_latency: histogram(),
            attempts: 0,
            shed: 0,
            probes: 0,
            messages: 0,
            message_bytes: 0,
        }
    }

    /// Notes a refusal.
    pub fn refuse(&mut self, cause: RefusalCause, latency_us: u64) {
        *self.refused.entry(cause.to_string()).or_default() += 1;
        self.refusal_latency.saturating_record(latency_us);
    }
}

impl Default for Tally {
    fn default() -> Tally {
        Tally::new()
    }
}

/// What a run gave.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The run.
    pub plan: Plan,
    /// Median latency.
    pub p50_ms: f64,
    /// Latency that 1% exceed.
    pub p99_ms: f64,
    /// Latency that 0.1% exceed.
    pub p999_ms: f64,
    /// Largest latency.
    pub max_ms: f64,
    /// Good answers as a share of what the upstreams can serve.
    pub goodput_share: f64,
    /// Calls with an error as the answer, as a share.
    pub error_share: f64,
    /// Calls refused, by cause.
    pub refused: BTreeMap<String, u64>,
    /// Latency that 1% of the refusals exceed.
    pub refusal_p99_ms: f64,
    /// Attempts per call.
    pub attempts_per_call: f64,
    /// Attempts that an upstream shed, per call.
    pub shed_per_call: f64,
    /// Probes a second, all hosts.
    pub probes_per_second: f64,
    /// Messages between hosts per call, heartbeats included.
    pub messages_per_call: f64,
    /// Bytes of these per call.
    pub bytes_per_call: f64,
    /// Bytes of these per host and second.
    pub bytes_per_host_second: f64,
}

impl Report {
    /// Sums a run up.
    pub fn new(plan: Plan, tally: &Tally, capacity: f64) -> Report {
        let quantile = |q| tally.latency.value_at_quantile(q) as f64 / 1000.0;
        let calls = tally.offered.max(1) as f64;
        let seconds = plan.seconds as f64;
        Report {
            p50_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            p999_ms: quantile(0.999),
            max_ms: tally.latency.max() as f64 / 1000.0,
            goodput_share: tally.good as f64 / seconds / capacity,
            error_share: tally.errors as f64 / calls,
            refused: tally.refused.clone(),
            refusal_p99_ms: tally.refusal_latency.value_at_quantile(0.99) as f64 / 1000.0,
            attempts_per_call: tally.attempts as f64 / calls,
            shed_per_call: tally.shed as f64 / calls,
            probes_per_second: tally.probes as f64 / seconds,
            messages_per_call: tally.messages as f64 / calls,
            bytes_per_call: tally.message_bytes as f64 / calls,
            bytes_per_host_second: tally.message_bytes as f64 / seconds / plan.hosts as f64,
            plan,
        }
    }

    /// Head of the table.
    pub fn header() -> String {
        format!(
            "{:16} {:>7} {:>7} {:>7} {:>8} {:>8} {:>7} {:>8} {:>7} {:>7} {:>7} {:>8} {:>9}",
            "way",
            "p50 ms",
            "p99 ms",
            "p99.9",
            "max ms",
            "goodput",
            "errors",
            "refused",
            "r99 ms",
            "tries",
            "shed",
            "msg/call",
            "B/host/s"
        )
    }

    /// A line of the table.
    pub fn line(&self) -> String {
        let way = serde_json::to_string(&self.plan.way).unwrap_or_default();
        format!(
            "{:16} {:7.1} {:7.1} {:7.1} {:8.1} {:8.3} {:7.4} {:8} {:7.1} {:7.3} {:7.4} {:8.3} {:9.0}",
            way.trim_matches('"'),
            self.p50_ms,
            self.p99_ms,
            self.p999_ms,
            self.max_ms,
            self.goodput_share,
            self.error_share,
            self.refused.values().sum::<u64>(),
            self.refusal_p99_ms,
            self.attempts_per_call,
            self.shed_per_call,
            self.messages_per_call,
            self.bytes_per_host_second
        )
    }
}
