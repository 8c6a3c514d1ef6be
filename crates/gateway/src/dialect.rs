//! How requests and answers are marked: header names and the reading of their values.
//!
//! The product's own names are the default; whoever embeds the product states others.

use dispatch::LoadReport;
use domain::Slots;

/// Names and readings of marks, all in lower case.
#[derive(Debug, Clone, Copy)]
pub struct Dialect {
    /// Name of a request, set by the caller and echoed by upstreams.
    pub request_id: &'static str,
    /// Names the caller, if a header does.
    pub caller: Option<&'static str>,
    /// Milliseconds that the sender will wait.
    pub deadline_ms: &'static str,
    /// Mark of an answer that an upstream made.
    pub seal: &'static str,
    /// The only upstream that may run the request.
    pub expected_upstream: &'static str,
    /// The upstream that answers.
    pub upstream: &'static str,
    /// Declares that the request was not run.
    pub not_run: &'static str,
    /// Load of the upstream.
    pub load: &'static str,
    /// Milliseconds for which the upstream stays cold, on answers to health checks; left out by one
    /// that is warm.
    pub cold_ms: &'static str,
    /// Requests a second that the upstream takes from all hosts together, as long as it says so.
    pub rate_limit: &'static str,
    /// `1` on the answers of an upstream that is leaving.
    pub leaving: &'static str,
    /// Cause of a final answer of the host itself.
    pub cause: &'static str,
    /// Path of the readiness check.
    pub ready_path: &'static str,
    /// Reads the value of [`Dialect::load`].
    pub parse_load: fn(&str) -> Option<LoadReport>,
}

impl Dialect {
    /// Marks on upstreams' answers that are read.
    pub fn response_headers(&self) -> impl Iterator<Item = &'static str> {
        let of_origin = [self.request_id, self.seal, self.upstream, self.not_run];
        of_origin.into_iter().chain([self.load, self.cold_ms, self.rate_limit, self.leaving])
    }
}

impl Default for Dialect {
    /// The product's own marks.
    fn default() -> Dialect {
        Dialect {
            request_id: "x-request-id",
            caller: Some("x-caller"),
            deadline_ms: "x-deadline-ms",
            seal: "x-upstream-seal",
            expected_upstream: "x-expected-upstream",
            upstream: "x-upstream",
            not_run: "x-not-run",
            load: "x-upstream-load",
            cold_ms: "x-upstream-cold-ms",
            rate_limit: "x-upstream-limit",
            leaving: "x-upstream-leaving",
            cause: "x-refusal-cause",
            ready_path: "/ready",
            parse_load: parse_load_report,
        }
    }
}

/// Percent of the usual working time where it is left out.
const USUAL_PERCENT: u32 = 100;

/// Reads `running,waiting,slots` with, where it is told, the working time in percent of the usual.
pub fn parse_load_report(text: &str) -> Option<LoadReport> {
    let mut figures = text.split(',').map(|figure| figure.trim().parse::<u32>());
    let running = figures.next()?.ok()?;
    let waiting = figures.next()?.ok()?;
    let slots = Slots(figures.next()?.ok()?);
    let slowness_percent = figures.next().unwrap_or(Ok(USUAL_PERCENT)).ok()?;
    Some(LoadReport { running, waiting, slots, slowness_percent })
}
