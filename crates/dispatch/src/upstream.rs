//! What is known of one upstream.
//!
//! Knowledge comes from answers and from asking, and ages: neighbours on an upstream's
//! machine come and go within half a second, so a report is worth little after
//! [`REPORT_FADE_MS`]. Failures count as load, since an upstream that fails fast looks
//! idle.

use crate::LoadReport;
use crate::cold::{Warmth, WarmupState};
use crate::service_load::{ServiceLoad, other_requests};
use domain::Millis;
use published::{Eligibility, Entry, Revision, RunStart, Upstream};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A report's weight falls to 1/e in this time; the load of upstreams shifts within 500 ms. With
/// 300 ms a fleet of 103 hosts earned 0.008 less; 80 ms gained nothing anywhere else.
const REPORT_FADE_MS: f64 = 150.0;

/// What was sent is forgotten to 1/e in this time, so that as much is remembered as left in it.
const SENT_FADE_MS: f64 = 1_000.0;

/// Failures and answers are forgotten to 1/e in this time: long enough to see a part of
/// failing requests, short enough to take a mended upstream back.
const FAILURE_FADE_MS: f64 = 3_000.0;

/// First time that an upstream that can't be reached is left alone; doubled up to [`MAX_AVOID_MS`].
const FIRST_AVOID_MS: u64 = 250;

/// Longest time that an upstream is left alone before it is asked again.
const MAX_AVOID_MS: u64 = 2_000;

/// How asking an upstream failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProbeFailure {
    /// No connection, or it broke.
    Unreachable,
    /// It said that it is unwell, or is leaving.
    Unwell,
    /// Another upstream has the address.
    OtherUpstream,
    /// It did not answer in time.
    #[serde(rename = "silent")]
    TimedOut,
}

/// How sending a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptFailure {
    /// It answered with an error of its own.
    #[serde(rename = "error-answer")]
    ErrorResponse,
    /// It declared that it did not run the request.
    Shed,
    /// The connection broke, or the answer was spoilt.
    #[serde(rename = "broken")]
    Disconnected,
    /// No answer came for far longer than usual.
    #[serde(rename = "silent")]
    TimedOut,
}

/// What is known of an upstream.
#[derive(Debug)]
pub struct UpstreamState {
    /// Its entry.
    pub entry: Arc<Upstream>,
    /// Whether it may get new requests.
    pub eligibility: Eligibility,
    revision: Revision,
    /// When it was first published, as far as this host knows.
    first_seen_ms: Millis,
    cold: WarmupState,
    report: Option<(LoadReport, Millis)>,
    /// Requests that the report told beyond those that were known.
    other_requests: f64,
    in_flight: u32,
    sent: Fading,
    failed: Fading,
    ended: Fading,
    unreached: u32,
    excluded_until_ms: Millis,
}

impl UpstreamState {
    /// An upstream that has just been published.
    pub fn new(entry: &Entry<Arc<Upstream>>, now_ms: Millis) -> UpstreamState {
        let mut cold = WarmupState::default();
        cold.apply_entry(now_ms, entry.value.warmup_left_ms);
        UpstreamState {
            entry: Arc::clone(&entry.value),
            eligibility: Eligibility::Eligible,
            revision: entry.revision,
            first_seen_ms: now_ms,
            cold,
            report: None,
            other_requests: 0.0,
            in_flight: 0,
            sent: Fading::new(SENT_FADE_MS),
            failed: Fading::new(FAILURE_FADE_MS),
            ended: Fading::new(FAILURE_FADE_MS),
            unreached: 0,
            excluded_until_ms: Millis::ZERO,
        }
    }

    /// Whether what was begun with a run of the upstream still tells of this one.
    pub fn is_of_run(&self, run: RunStart) -> bool {
        self.entry.run.is_same(run)
    }

    /// Last report and its age.
    pub fn report(&self, now_ms: Millis) -> Option<(LoadReport, Millis)> {
        self.report.map(|(report, at_ms)| (report, now_ms.since(at_ms)))
    }

    /// Requests that it has in progress, of this host or placed by it.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Requests of others there, as it last told.
    pub(crate) fn other_requests(&self) -> f64 {
        self.other_requests
    }

    /// Whether it is left alone for now.
    pub fn is_excluded(&self, now_ms: Millis) -> bool {
        now_ms < self.excluded_until_ms
    }

    /// Part of its requests that failed of late, 0 to 1.
    ///
    /// One answer's worth of good faith keeps a single failure from counting as all.
    pub fn failure_rate(&self, now_ms: Millis) -> f64 {
        self.failed.at(now_ms) / (self.ended.at(now_ms) + 1.0)
    }

    /// When it was first published, as far as this host knows.
    pub(crate) fn first_seen_ms(&self) -> Millis {
        self.first_seen_ms
    }

    /// Whether it is cold, as far as that is known.
    pub fn warmth(&self, now_ms: Millis) -> Warmth {
        self.cold.at(now_ms)
    }

    /// When it became cold, or may have.
    pub(crate) fn cold_since_ms(&self) -> Millis {
        self.cold.since_ms()
    }

    /// Takes its entry as it is published now.
    pub(crate) fn apply_entry(
        &mut self,
        now_ms: Millis,
        entry: &Entry<Arc<Upstream>>,
        eligibility: Eligibility,
    ) {
        if entry.revision != self.revision {
            self.cold.apply_entry(now_ms, entry.value.warmup_left_ms);
            // It has just written its entry anew, so it is there.
            self.unreached = 0;
            self.excluded_until_ms = Millis::ZERO;
        }
        if self.eligibility == Eligibility::ZoneEvacuated && eligibility != self.eligibility {
            self.cold.mark_unknown(now_ms);
        }
        self.revision = entry.revision;
        self.entry = Arc::clone(&entry.value);
        self.eligibility = eligibility;
    }

    /// It answered a health check, and told how much longer it stays cold if it is of those that
    /// tell.
    pub(crate) fn record_warmup_left(&mut self, now_ms: Millis, left_ms: Option<Millis>) {
        self.cold.record_warmup_left(now_ms, left_ms);
    }

    /// Slowness as far as it is still known, in times of the usual; what is not known is
    /// taken from the load of the service.
    pub fn slowness(&self, now_ms: Millis, service: ServiceLoad) -> f64 {
        let Some((report, age_ms)) = self.report(now_ms) else { return service.slowness };
        service.slowness + (report.slowness() - service.slowness) * known_part(age_ms)
    }

    /// Requests running and waiting there: those that are known, and others as far as it told.
    pub fn estimated_requests(&self, now_ms: Millis, service: ServiceLoad) -> f64 {
        let in_flight = f64::from(self.in_flight);
        let usual = service.others_per_slot * f64::from(self.entry.slots.0);
        let Some((_, age_ms)) = self.report(now_ms) else { return usual + in_flight };
        usual + (self.other_requests - usual) * known_part(age_ms) + in_flight
    }

    /// It told its load.
    pub fn record_report(&mut self, now_ms: Millis, report: LoadReport) {
        self.report = Some((report, now_ms));
        self.other_requests = other_requests(&report, self.in_flight);
    }

    /// It answered when asked.
    pub fn record_probe_success(&mut self) {
        self.unreached = 0;
        self.excluded_until_ms = Millis::ZERO;
    }

    /// Asking it failed.
    pub fn record_probe_failure(&mut self, now_ms: Millis, failure: ProbeFailure) {
        match failure {
            ProbeFailure::OtherUpstream => self.excluded_until_ms = now_ms + Millis(MAX_AVOID_MS),
            ProbeFailure::Unreachable | ProbeFailure::Unwell | ProbeFailure::TimedOut => {
                // It may have been down, and is cold when it is back.
                if failure != ProbeFailure::Unwell {
                    self.cold.mark_unknown(now_ms);
                }
                self.unreached = self.unreached.saturating_add(1);
                let doubled = FIRST_AVOID_MS << (self.unreached - 1).min(8);
                self.excluded_until_ms = now_ms + Millis(doubled.min(MAX_AVOID_MS));
            }
        }
    }

    /// A request leaves for it.
    pub fn record_sent(&mut self, now_ms: Millis) {
        self.in_flight += 1;
        self.sent.add(now_ms, 1.0);
    }

    /// Requests that left for it within about a second, of this host or placed by it.
    pub(crate) fn recently_sent(&self, now_ms: Millis) -> f64 {
        self.sent.at(now_ms)
    }

    /// A request sent to it came to its end.
    pub fn record_ended(&mut self, now_ms: Millis, failure: Option<AttemptFailure>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.ended.add(now_ms, 1.0);
        match failure {
            Some(
                AttemptFailure::ErrorResponse
                | AttemptFailure::Disconnected
                | AttemptFailure::TimedOut,
            ) => {
                self.failed.add(now_ms, 1.0);
            }
            Some(AttemptFailure::Shed) => self.failed.add(now_ms, 0.5),
            None => {}
        }
    }

    /// A request sent to it was withdrawn: nothing is learned.
    pub fn record_withdrawn(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}

/// Part of a report that still holds.
fn known_part(age_ms: Millis) -> f64 {
    (-age_ms.as_f64() / REPORT_FADE_MS).exp()
}

/// A sum that fades.
#[derive(Debug)]
struct Fading {
    /// Time in which it falls to 1/e.
    fade_ms: f64,
    value: f64,
    at_ms: Millis,
}

impl Fading {
    fn new(fade_ms: f64) -> Fading {
        Fading { fade_ms, value: 0.0, at_ms: Millis::ZERO }
    }

    fn at(&self, now_ms: Millis) -> f64 {
        self.value * (-now_ms.since(self.at_ms).as_f64() / self.fade_ms).exp()
    }

    fn add(&mut self, now_ms: Millis, amount: f64) {
        self.value = self.at(now_ms) + amount;
        self.at_ms = now_ms;
    }
}
