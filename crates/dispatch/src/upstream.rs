//! State that this host keeps of one upstream.
//!
//! It is learned from responses and probes, and ages quickly: the load of the machine that an
//! upstream runs on shifts within half a second. Failures raise an upstream's cost, because one
//! that fails fast looks idle.

use crate::LoadReport;
use crate::cold::{Warmth, WarmupState};
use crate::decaying_sum::DecayingSum;
use crate::service_load::{ServiceLoad, other_requests};
use domain::Millis;
use published::{Eligibility, Entry, Revision, RunStart, Upstream};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Time in which a report's weight decays to 1/e; the load of upstreams shifts within 500 ms.
const REPORT_DECAY_MS: f64 = 150.0;

/// Time in which the count of sent requests decays to 1/e; with it, the count is about that of the
/// last second.
const SENT_DECAY_MS: f64 = 1_000.0;

/// Time in which failures and responses decay to 1/e: long enough to notice that a part of the
/// requests fails, short enough to use a repaired upstream again.
const FAILURE_DECAY_MS: f64 = 3_000.0;

/// How long an upstream is excluded after its first failed probe; doubles with each further one up
/// to [`MAX_EXCLUSION_MS`].
const FIRST_EXCLUSION_MS: u64 = 250;

/// Longest exclusion after a failed probe.
const MAX_EXCLUSION_MS: u64 = 2_000;

/// Why a probe of an upstream failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProbeFailure {
    /// No connection could be opened, or it broke.
    Unreachable,
    /// The upstream reported itself unhealthy or leaving.
    Unwell,
    /// Another upstream answered at its address.
    OtherUpstream,
    /// No response arrived in time.
    #[serde(rename = "silent")]
    TimedOut,
    /// This host's links are down, and no peer could tell more.
    NoPath,
}

/// Why an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptFailure {
    /// The upstream itself responded with an error.
    #[serde(rename = "error-answer")]
    ErrorResponse,
    /// The upstream declared that it did not run the request.
    Shed,
    /// The connection broke, or the response was malformed.
    #[serde(rename = "broken")]
    Disconnected,
    /// No response arrived for far longer than such requests usually take.
    #[serde(rename = "silent")]
    TimedOut,
}

/// What this host knows of an upstream.
#[derive(Debug)]
pub struct UpstreamState {
    /// The published entry.
    pub entry: Arc<Upstream>,
    /// Whether it may receive new requests.
    pub eligibility: Eligibility,
    revision: Revision,
    /// When this host first saw an entry of its current process run.
    first_seen_ms: Millis,
    warmup: WarmupState,
    report: Option<(LoadReport, Millis)>,
    /// Requests in the last report that this host doesn't count itself.
    other_requests: f64,
    in_flight: u32,
    sent: DecayingSum,
    /// Failed requests; a shed one counts half.
    failures: DecayingSum,
    ended: DecayingSum,
    failed_probes: u32,
    excluded_until_ms: Millis,
}

impl UpstreamState {
    /// Initial state of an upstream that has just been published.
    pub fn new(entry: &Entry<Arc<Upstream>>, now_ms: Millis) -> UpstreamState {
        let mut warmup = WarmupState::default();
        warmup.apply_entry(now_ms, entry.value.warmup_left_ms);
        UpstreamState {
            entry: Arc::clone(&entry.value),
            eligibility: Eligibility::Eligible,
            revision: entry.revision,
            first_seen_ms: now_ms,
            warmup,
            report: None,
            other_requests: 0.0,
            in_flight: 0,
            sent: DecayingSum::new(SENT_DECAY_MS),
            failures: DecayingSum::new(FAILURE_DECAY_MS),
            ended: DecayingSum::new(FAILURE_DECAY_MS),
            failed_probes: 0,
            excluded_until_ms: Millis::ZERO,
        }
    }

    /// Whether a result obtained from process run `run` still applies to the current one.
    pub fn is_of_run(&self, run: RunStart) -> bool {
        self.entry.run.is_same(run)
    }

    /// The last report and its age.
    pub fn report(&self, now_ms: Millis) -> Option<(LoadReport, Millis)> {
        self.report.map(|(report, at_ms)| (report, now_ms.since(at_ms)))
    }

    /// Requests of this host, or placed by its schedulers, that the upstream works on.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Requests of other hosts that the upstream works on, by its last report.
    pub(crate) fn other_requests(&self) -> f64 {
        self.other_requests
    }

    /// Whether it is temporarily excluded after failed probes.
    pub fn is_excluded(&self, now_ms: Millis) -> bool {
        now_ms < self.excluded_until_ms
    }

    /// Part of the recent requests that failed, 0 to 1.
    ///
    /// The denominator counts one more success, so that a single failure doesn't give a rate of 1.
    pub fn failure_rate(&self, now_ms: Millis) -> f64 {
        self.failures.at(now_ms) / (self.ended.at(now_ms) + 1.0)
    }

    /// When this host first saw an entry of its current process run.
    pub(crate) fn first_seen_ms(&self) -> Millis {
        self.first_seen_ms
    }

    /// Whether it is cold.
    pub fn warmth(&self, now_ms: Millis) -> Warmth {
        self.warmup.at(now_ms)
    }

    /// When it became cold, or may have become cold.
    pub(crate) fn cold_since_ms(&self) -> Millis {
        self.warmup.since_ms()
    }

    /// Applies the entry that is published now.
    pub(crate) fn apply_entry(
        &mut self,
        now_ms: Millis,
        entry: &Entry<Arc<Upstream>>,
        eligibility: Eligibility,
    ) {
        if entry.revision != self.revision {
            self.warmup.apply_entry(now_ms, entry.value.warmup_left_ms);
            // The upstream has just written its entry, so it is reachable.
            self.failed_probes = 0;
            self.excluded_until_ms = Millis::ZERO;
        }
        if self.eligibility == Eligibility::ZoneEvacuated && eligibility != self.eligibility {
            self.warmup.mark_unknown(now_ms);
        }
        self.revision = entry.revision;
        self.entry = Arc::clone(&entry.value);
        self.eligibility = eligibility;
    }

    /// Records a health check's response: how much longer the upstream stays cold, if it reports
    /// that.
    pub(crate) fn record_warmup_left(&mut self, now_ms: Millis, left_ms: Option<Millis>) {
        self.warmup.record_warmup_left(now_ms, left_ms);
    }

    /// Estimated service time, in multiples of the baseline: the reported one, which the service's
    /// mean replaces as the report ages.
    pub fn slowness(&self, now_ms: Millis, service: ServiceLoad) -> f64 {
        let Some((report, age_ms)) = self.report(now_ms) else { return service.slowness };
        service.slowness + (report.slowness() - service.slowness) * report_weight(age_ms)
    }

    /// Estimated number of requests that run or wait there: those that this host counts, and those
    /// of other hosts by its report, which the mean of the service replaces as it ages.
    pub fn estimated_requests(&self, now_ms: Millis, service: ServiceLoad) -> f64 {
        let in_flight = f64::from(self.in_flight);
        let mean = service.others_per_slot * f64::from(self.entry.slots.0);
        let Some((_, age_ms)) = self.report(now_ms) else { return mean + in_flight };
        mean + (self.other_requests - mean) * report_weight(age_ms) + in_flight
    }

    /// Records a load report.
    pub fn record_report(&mut self, now_ms: Millis, report: LoadReport) {
        self.report = Some((report, now_ms));
        self.other_requests = other_requests(&report, self.in_flight);
    }

    /// Records a successful probe.
    pub fn record_probe_success(&mut self) {
        self.failed_probes = 0;
        self.excluded_until_ms = Millis::ZERO;
    }

    /// Records that a host reported that it can't reach the upstream: leaves it out until a probe of
    /// this host shows whether that is so, and for the shortest time at least if none does.
    pub(crate) fn record_reported_unreachable(&mut self, now_ms: Millis) {
        let until_ms = now_ms + Millis(FIRST_EXCLUSION_MS);
        self.excluded_until_ms = self.excluded_until_ms.max(until_ms);
    }

    /// Records a failed probe.
    pub fn record_probe_failure(&mut self, now_ms: Millis, failure: ProbeFailure) {
        match failure {
            ProbeFailure::NoPath => {}
            ProbeFailure::OtherUpstream => {
                self.excluded_until_ms = now_ms + Millis(MAX_EXCLUSION_MS)
            }
            ProbeFailure::Unreachable | ProbeFailure::Unwell | ProbeFailure::TimedOut => {
                // It may have restarted meanwhile, and a restarted upstream is cold.
                if failure != ProbeFailure::Unwell {
                    self.warmup.mark_unknown(now_ms);
                }
                self.failed_probes = self.failed_probes.saturating_add(1);
                let exclusion_ms = FIRST_EXCLUSION_MS << (self.failed_probes - 1).min(8);
                self.excluded_until_ms = now_ms + Millis(exclusion_ms.min(MAX_EXCLUSION_MS));
            }
        }
    }

    /// Records that a request is sent to it.
    pub fn record_sent(&mut self, now_ms: Millis) {
        self.in_flight += 1;
        self.sent.add(now_ms, 1.0);
    }

    /// About the number of requests of this host, or placed by its schedulers, that were sent to
    /// it in the last second.
    pub(crate) fn recently_sent(&self, now_ms: Millis) -> f64 {
        self.sent.at(now_ms)
    }

    /// Records the end of a request that was sent to it.
    pub fn record_ended(&mut self, now_ms: Millis, failure: Option<AttemptFailure>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.ended.add(now_ms, 1.0);
        match failure {
            Some(
                AttemptFailure::ErrorResponse
                | AttemptFailure::Disconnected
                | AttemptFailure::TimedOut,
            ) => {
                self.failures.add(now_ms, 1.0);
            }
            Some(AttemptFailure::Shed) => self.failures.add(now_ms, 0.5),
            None => {}
        }
    }

    /// Records that a request was withdrawn, which says nothing about the upstream.
    pub fn record_withdrawn(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}

/// Weight of a report of this age, 0 to 1.
fn report_weight(age_ms: Millis) -> f64 {
    (-age_ms.as_f64() / REPORT_DECAY_MS).exp()
}
