//! The figures of a run.

use crate::answer::Verdict;
use crate::request::Request;
use domain::{CallerId, Millis, PerSecond};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

const HIGHEST_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const MAX_SAMPLES: usize = 5;

/// Figures of a run. Counts of `lost`, `wrong` and `sent` cover the warm-up too; the
/// others only the measured part.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests sent.
    pub sent: u64,
    /// Right answers of upstreams.
    pub answered: u64,
    /// Of them, to requests that run at most once.
    pub at_most_once_answered: u64,
    /// Upstreams' own errors, passed on.
    pub failed: u64,
    /// Refusals by cause.
    pub refused: BTreeMap<String, u64>,
    /// Refusals by outcome.
    pub refused_outcomes: BTreeMap<String, u64>,
    /// Requests without a whole answer.
    pub lost: u64,
    /// Answers that are not the request's.
    pub wrong: u64,
    /// Requests sent to a second address because the first refused the connection.
    pub retargeted: u64,
    /// Right answers per second.
    pub goodput_per_second: PerSecond,
    /// Latency of right answers.
    pub latency: LatencyReport,
    /// Latency of refusals.
    pub refusal_latency: LatencyReport,
    /// Figures of each caller.
    pub callers: BTreeMap<CallerId, CallerReport>,
    /// The first few losses and wrong answers, in words.
    pub samples: Vec<String>,
}

/// Quantiles, counted from the intended time of sending.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyReport {
    /// Median.
    pub p50_us: u64,
    /// 99 in 100 are below.
    pub p99_us: u64,
    /// 999 in 1000 are below.
    pub p999_us: u64,
    /// Slowest.
    pub max_us: u64,
}

/// Figures of one caller, over the measured part.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerReport {
    /// Right answers.
    pub answered: u64,
    /// Refusals.
    pub refused: u64,
    /// Latency of right answers.
    pub latency: LatencyReport,
}

impl LoadReport {
    /// Refusals of all causes.
    pub fn refused_total(&self) -> u64 {
        self.refused.values().sum()
    }
}

impl LatencyReport {
    pub(crate) fn new(histogram: &Histogram<u64>) -> LatencyReport {
        LatencyReport {
            p50_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
            p999_us: histogram.value_at_quantile(0.999),
            max_us: histogram.max(),
        }
    }
}

/// Collects verdicts while the run goes on.
#[derive(Debug)]
pub(crate) struct Tally {
    report: LoadReport,
    latency: Histogram<u64>,
    refusal_latency: Histogram<u64>,
    callers: BTreeMap<CallerId, CallerTally>,
}

#[derive(Debug)]
struct CallerTally {
    answered: u64,
    refused: u64,
    latency: Histogram<u64>,
}

impl Tally {
    pub(crate) fn new() -> Tally {
        Tally {
            report: LoadReport::default(),
            latency: new_histogram(),
            refusal_latency: new_histogram(),
            callers: BTreeMap::new(),
        }
    }

    pub(crate) fn count_retarget(&mut self) {
        self.report.retargeted += 1;
    }

    /// Counts one verdict; `measured` is false during the warm-up.
    pub(crate) fn count(
        &mut self,
        request: &Request,
        verdict: &Verdict,
        took: Duration,
        measured: bool,
    ) {
        self.report.sent += 1;
        match verdict {
            Verdict::Lost { reason } => {
                self.report.lost += 1;
                self.sample("lost", request, reason);
            }
            Verdict::Wrong { reason } => {
                self.report.wrong += 1;
                self.sample("wrong", request, reason);
            }
            _ if !measured => {}
            Verdict::Answered => self.count_answer(request, took),
            Verdict::Failed { .. } => self.report.failed += 1,
            Verdict::Refused { cause, outcome } => {
                self.count_refusal(request, cause, outcome, took);
            }
        }
    }

    pub(crate) fn finish(mut self, duration_ms: Millis) -> LoadReport {
        let seconds = duration_ms.as_f64().max(1.0) / 1000.0;
        self.report.goodput_per_second = PerSecond(self.report.answered as f64 / seconds);
        self.report.latency = LatencyReport::new(&self.latency);
        self.report.refusal_latency = LatencyReport::new(&self.refusal_latency);
        self.report.callers =
            self.callers.into_iter().map(|(caller, tally)| (caller, tally.finish())).collect();
        self.report
    }

    fn count_answer(&mut self, request: &Request, took: Duration) {
        self.report.answered += 1;
        self.report.at_most_once_answered += u64::from(request.at_most_once);
        record(&mut self.latency, took);
        let caller = self.caller(request);
        caller.answered += 1;
        record(&mut caller.latency, took);
    }

    fn count_refusal(&mut self, request: &Request, cause: &str, outcome: &str, took: Duration) {
        *self.report.refused.entry(cause.to_owned()).or_default() += 1;
        *self.report.refused_outcomes.entry(outcome.to_owned()).or_default() += 1;
        record(&mut self.refusal_latency, took);
        self.caller(request).refused += 1;
    }

    fn caller(&mut self, request: &Request) -> &mut CallerTally {
        self.callers.entry(request.caller.clone()).or_insert_with(|| CallerTally {
            answered: 0,
            refused: 0,
            latency: new_histogram(),
        })
    }

    fn sample(&mut self, kind: &str, request: &Request, reason: &str) {
        if self.report.samples.len() < MAX_SAMPLES {
            self.report.samples.push(format!("{kind}: {}: {reason}", request.id));
        }
    }
}

impl CallerTally {
    fn finish(self) -> CallerReport {
        CallerReport {
            answered: self.answered,
            refused: self.refused,
            latency: LatencyReport::new(&self.latency),
        }
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(HIGHEST_US, SIGNIFICANT_DIGITS).expect("constant bounds are valid")
}

fn record(histogram: &mut Histogram<u64>, took: Duration) {
    histogram.saturating_record(took.as_micros() as u64);
}
