//! Figures of runs, and their medians.

use crate::measure::bench::RunRecord;
use domain::CallerId;
use load::{LedgerCheck, LoadReport};
use serde::Serialize;

const MICROS_PER_MILLI: f64 = 1000.0;

/// Figures of one run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Median latency.
    pub p50_ms: f64,
    /// 99% latency.
    pub p99_ms: f64,
    /// 99.9% latency.
    pub p999_ms: f64,
    /// Slowest answer.
    pub max_ms: f64,
    /// 99% latency of the worst-served caller that is not greedy.
    pub modest_p99_ms: f64,
    /// 99% latency of refusals.
    pub refusal_p99_ms: f64,
    /// Refusals as a share of the measured requests.
    pub refused_share: f64,
    /// Right answers per second.
    pub goodput_per_second: f64,
    /// Probes that an upstream gets per second.
    pub probes_per_second_per_upstream: f64,
    /// Probes that an entry host sends per second.
    pub probes_per_second_per_node: f64,
    /// Control bytes that an entry host sends per second.
    pub control_bytes_per_second_per_node: f64,
    /// Upstreams' errors that reached callers.
    pub failed: f64,
    /// Requests without a whole answer.
    pub lost: f64,
    /// Wrong answers.
    pub wrong: f64,
    /// At-most-once requests that ran more than once.
    pub doubled: f64,
    /// Requests that ran although the caller was told that they did not.
    pub false_not_run: f64,
}

/// What measuring and control cost over one run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Cost {
    /// Probes that an upstream got per second.
    pub probes_per_second_per_upstream: f64,
    /// Probes that an entry host sent per second.
    pub probes_per_second_per_node: f64,
    /// Control bytes that an entry host sent per second.
    pub control_bytes_per_second_per_node: f64,
}

/// Median and extremes of a figure over the rounds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Spread {
    /// Median.
    pub median: f64,
    /// Lowest.
    pub min: f64,
    /// Highest.
    pub max: f64,
}

/// All rounds of one policy.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Summary {
    /// Policy, or `central` for the simulated limit.
    pub policy: String,
    /// Median latency.
    pub p50_ms: Spread,
    /// 99% latency.
    pub p99_ms: Spread,
    /// 99.9% latency.
    pub p999_ms: Spread,
    /// Slowest answer.
    pub max_ms: Spread,
    /// 99% latency of the worst-served caller that is not greedy.
    pub modest_p99_ms: Spread,
    /// 99% latency of refusals.
    pub refusal_p99_ms: Spread,
    /// Refusals as a share of the measured requests.
    pub refused_share: Spread,
    /// Right answers per second.
    pub goodput_per_second: Spread,
    /// Probes that an upstream gets per second.
    pub probes_per_second_per_upstream: Spread,
    /// Probes that an entry host sends per second.
    pub probes_per_second_per_node: Spread,
    /// Control bytes that an entry host sends per second.
    pub control_bytes_per_second_per_node: Spread,
    /// Upstreams' errors that reached callers.
    pub failed: Spread,
    /// Sum over the rounds: lost, wrong, doubled, told wrongly that they did not run.
    pub faults: f64,
}

impl Figures {
    /// Figures of a run on running processes.
    pub fn new(report: &LoadReport, check: LedgerCheck, cost: Cost, greedy: &CallerId) -> Figures {
        let millis = |us: u64| us as f64 / MICROS_PER_MILLI;
        let refused = report.refused_total();
        let measured = report.answered + report.failed + refused;
        let modest = report.callers.iter().filter(|(caller, _)| *caller != greedy);
        let modest_p99_us = modest.map(|(_, caller)| caller.latency.p99_us).max();
        Figures {
            p50_ms: millis(report.latency.p50_us),
            p99_ms: millis(report.latency.p99_us),
            p999_ms: millis(report.latency.p999_us),
            max_ms: millis(report.latency.max_us),
            modest_p99_ms: millis(modest_p99_us.unwrap_or(0)),
            refusal_p99_ms: millis(report.refusal_latency.p99_us),
            refused_share: refused as f64 / measured.max(1) as f64,
            goodput_per_second: report.goodput_per_second.0,
            probes_per_second_per_upstream: cost.probes_per_second_per_upstream,
            probes_per_second_per_node: cost.probes_per_second_per_node,
            control_bytes_per_second_per_node: cost.control_bytes_per_second_per_node,
            failed: report.failed as f64,
            lost: report.lost as f64,
            wrong: report.wrong as f64,
            doubled: check.doubled as f64,
            false_not_run: check.false_not_run as f64,
        }
    }

    /// Requests for which a promise was broken.
    pub fn faults(&self) -> f64 {
        self.lost + self.wrong + self.doubled + self.false_not_run
    }

    /// Whether a promise was broken.
    pub fn has_fault(&self) -> bool {
        self.faults() > 0.0
    }
}

impl Spread {
    /// Over the values; of none, zeros.
    pub fn new(values: impl Iterator<Item = f64>) -> Spread {
        let mut sorted: Vec<f64> = values.collect();
        sorted.sort_by(f64::total_cmp);
        let (Some(&min), Some(&max)) = (sorted.first(), sorted.last()) else {
            return Spread::default();
        };
        let middle = sorted.len() / 2;
        let median = match sorted.len() % 2 {
            1 => sorted[middle],
            _ => (sorted[middle - 1] + sorted[middle]) / 2.0,
        };
        Spread { median, min, max }
    }
}

impl Summary {
    /// One summary for each policy, in the order of their first runs.
    pub fn by_policy(runs: &[RunRecord]) -> Vec<Summary> {
        let mut policies: Vec<&str> = Vec::new();
        for run in runs {
            if !policies.contains(&run.policy.as_str()) {
                policies.push(&run.policy);
            }
        }
        let of_policy = |policy: &str| -> Vec<Figures> {
            runs.iter().filter(|run| run.policy == policy).map(|run| run.figures).collect()
        };
        policies.into_iter().map(|policy| Summary::of_runs(policy, &of_policy(policy))).collect()
    }

    /// Medians and extremes over the runs of one policy.
    pub fn of_runs(policy: &str, runs: &[Figures]) -> Summary {
        let spread = |figure: fn(&Figures) -> f64| Spread::new(runs.iter().map(figure));
        Summary {
            policy: policy.to_owned(),
            p50_ms: spread(|f| f.p50_ms),
            p99_ms: spread(|f| f.p99_ms),
            p999_ms: spread(|f| f.p999_ms),
            max_ms: spread(|f| f.max_ms),
            modest_p99_ms: spread(|f| f.modest_p99_ms),
            refusal_p99_ms: spread(|f| f.refusal_p99_ms),
            refused_share: spread(|f| f.refused_share),
            goodput_per_second: spread(|f| f.goodput_per_second),
            probes_per_second_per_upstream: spread(|f| f.probes_per_second_per_upstream),
            probes_per_second_per_node: spread(|f| f.probes_per_second_per_node),
            control_bytes_per_second_per_node: spread(|f| f.control_bytes_per_second_per_node),
            failed: spread(|f| f.failed),
            faults: runs.iter().map(Figures::faults).sum(),
        }
    }
}

#[cfg(test)]
mod tests;
