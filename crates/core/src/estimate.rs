//! How busy an upstream probably is.
//!
//! A report is true for about as long as a request takes: after that, others have come
//! and gone and the report says little more than the average of the service does. So a
//! report counts less the older it is, and what this host sent since counts in full.

use crate::event::LoadReport;
use domain::{Millis, Slots};
use serde::Serialize;

/// Weight of the newest sample in the moving average of the service time.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Load reported by one upstream, and what was sent to it since.
#[derive(Debug, Clone, Default, Serialize)]
pub struct LoadEstimate {
    reported: f64,
    at_ms: Option<Millis>,
    sent_since: u32,
    service_ms: Option<f64>,
}

/// Rounds of service until a request that joins `there` others is done, each at full
/// slots: one if a slot is free.
pub fn rounds(there: f64, slots: Slots) -> f64 {
    ((there + 1.0) / f64::from(slots.0.max(1))).max(1.0)
}

impl LoadEstimate {
    /// Notes a report.
    pub fn note_report(&mut self, now_ms: Millis, report: LoadReport) {
        self.reported = f64::from(report.busy.0 + report.queued);
        self.at_ms = Some(now_ms);
        self.sent_since = 0;
    }

    /// Notes that this host sent an attempt.
    pub fn note_sent(&mut self) {
        self.sent_since += 1;
    }

    /// Notes that an attempt ended and how many of this host's are still out.
    ///
    /// Without this an upstream that reports no load would look ever fuller.
    pub fn note_over(&mut self, in_flight: u32) {
        self.sent_since = self.sent_since.min(in_flight);
    }

    /// Requests that are there: `usual` is what to expect without a report, `memory_ms`
    /// the age at which a report has lost most of its worth.
    pub fn requests(&self, now_ms: Millis, usual: f64, memory_ms: f64) -> f64 {
        let worth = self.worth(now_ms, memory_ms);
        usual + (self.reported - usual) * worth + f64::from(self.sent_since)
    }

    /// What was reported, worth less the older it is.
    pub fn fresh(&self, now_ms: Millis, memory_ms: f64) -> f64 {
        self.reported * self.worth(now_ms, memory_ms)
    }

    /// Notes the time to an answer, `rounds` of which were expected when it was sent.
    pub fn note_latency(&mut self, latency_ms: Millis, rounds: f64) {
        let sample = latency_ms.as_f64() / rounds.max(1.0);
        let average = self.service_ms.unwrap_or(sample);
        self.service_ms = Some(average + SAMPLE_WEIGHT * (sample - average));
    }

    /// Notes that no answer came within a time; it counts if it is longer than usual.
    pub fn note_overdue(&mut self, waited_ms: Millis, rounds: f64) {
        let is_news = self.service_ms.is_none_or(|usual| waited_ms.as_f64() / rounds > usual);
        if is_news {
            self.note_latency(waited_ms, rounds);
        }
    }

    /// Time that it takes for a request once it has a slot, if known.
    pub fn service_ms(&self) -> Option<f64> {
        self.service_ms
    }

    /// What was last reported, if anything was.
    pub fn reported(&self) -> Option<f64> {
        self.at_ms.map(|_| self.reported)
    }

    fn worth(&self, now_ms: Millis, memory_ms: f64) -> f64 {
        match self.at_ms {
            Some(at_ms) => (-now_ms.since(at_ms).as_f64() / memory_ms.max(1.0)).exp(),
            None => 0.0,
        }
    }
}
