//! The names of headers that have a meaning for the load balancer, and the parsing of their values.
//!
//! The defaults are the product's own names; a program that embeds the product can set others.

use crate::connection::{Naming, Sent};
use dispatch::LoadReport;
use domain::Slots;

/// Header names, all in lower case, a path, and the parser of load reports.
#[derive(Debug, Clone, Copy)]
pub struct Dialect {
    /// Id of a request, set by the caller and echoed by upstreams.
    pub request_id: &'static str,
    /// Id of the caller; none where no header states it.
    pub caller: Option<&'static str>,
    /// Milliseconds for which the sender waits for the response.
    pub deadline_ms: &'static str,
    /// Present on responses that an upstream made itself.
    pub seal: &'static str,
    /// Id of the only upstream that may run the request.
    pub expected_upstream: &'static str,
    /// Id of the upstream that responds.
    pub upstream: &'static str,
    /// Present on responses to requests that the upstream did not run.
    pub not_run: &'static str,
    /// Load report of the upstream.
    pub load: &'static str,
    /// Milliseconds for which the upstream stays cold, on responses to probes; absent on
    /// those of a warm one.
    pub cold_ms: &'static str,
    /// Requests per second that the upstream accepts from all hosts together, as long as it
    /// states it.
    pub rate_limit: &'static str,
    /// `1` on the responses of an upstream that is leaving.
    pub leaving: &'static str,
    /// Name of the organisation that sent the request; set by the host for upstreams, whatever the
    /// caller sent.
    pub organisation: &'static str,
    /// Scheme of the `authorization` header that carries an organisation's key.
    pub key_scheme: &'static str,
    /// Cause of a refusal, on responses that the host itself makes.
    pub cause: &'static str,
    /// Path of the readiness check.
    pub ready_path: &'static str,
    /// Parses the value of [`Dialect::load`].
    pub parse_load: fn(&str) -> Option<LoadReport>,
}

impl Dialect {
    /// How the response to what was sent names it.
    pub fn naming<'a>(&self, sent: Sent<'a>) -> Naming<'a> {
        Naming { header: self.request_id, sent, probe_header: self.upstream }
    }

    /// Headers that are read from upstreams' responses.
    pub fn response_headers(&self) -> impl Iterator<Item = &'static str> {
        let of_request = [self.request_id, self.seal, self.upstream, self.not_run];
        of_request.into_iter().chain([self.load, self.cold_ms, self.rate_limit, self.leaving])
    }
}

impl Default for Dialect {
    /// The product's own names.
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
            organisation: "x-organisation",
            key_scheme: "Bearer",
            cause: "x-refusal-cause",
            ready_path: "/ready",
            parse_load: parse_load_report,
        }
    }
}

/// Service time in percent of the baseline, if a report doesn't state it.
const DEFAULT_SLOWNESS_PERCENT: u32 = 100;

/// Parses `running,waiting,slots`, and optionally `,slowness`: the service time in percent of the
/// baseline.
pub fn parse_load_report(text: &str) -> Option<LoadReport> {
    let mut numbers = text.split(',').map(|number| number.trim().parse::<u32>());
    let running = numbers.next()?.ok()?;
    let waiting = numbers.next()?.ok()?;
    let slots = Slots(numbers.next()?.ok()?);
    let slowness_percent = numbers.next().unwrap_or(Ok(DEFAULT_SLOWNESS_PERCENT)).ok()?;
    Some(LoadReport { running, waiting, slots, slowness_percent })
}
