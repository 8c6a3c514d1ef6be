//! One upstream as this entry host sees it.
//!
//! What is published (slots, address, leaving) comes from the configuration; what was
//! seen (in flight, load, latency, errors) comes from this host's own traffic, from
//! probes and from peers. A leaving mark is never taken back by an older source.

use config::Upstream;
use domain::{Millis, UpstreamId};
use serde::Serialize;

use crate::estimate::LoadEstimate;
use crate::event::LoadReport;

/// Weight of the newest sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;

/// What this host holds of one upstream.
#[derive(Debug, Clone, Serialize)]
pub struct UpstreamState {
    /// Its id.
    pub id: UpstreamId,
    /// What is published of it.
    pub published: Upstream,
    /// The configuration in force no longer names it.
    pub removed: bool,
    /// It said itself that it is leaving.
    pub said_leaving: bool,
    /// Attempts of this host that are out.
    pub in_flight: u32,
    /// What it last said of its load, and when.
    pub load: Option<(Millis, LoadReport)>,
    /// How busy it probably is.
    pub estimate: LoadEstimate,
    /// Moving average of the time to an answer.
    pub latency_ms: Option<f64>,
    /// Moving average of failures, 0 to 1.
    pub error_share: f64,
    /// When this host last heard of it.
    pub heard_ms: Option<Millis>,
}

impl UpstreamState {
    /// An upstream not yet heard of.
    pub fn new(id: UpstreamId, published: Upstream) -> UpstreamState {
        UpstreamState {
            id,
            published,
            removed: false,
            said_leaving: false,
            in_flight: 0,
            load: None,
            estimate: LoadEstimate::default(),
            latency_ms: None,
            error_share: 0.0,
            heard_ms: None,
        }
    }

    /// Takes what the configuration in force says.
    pub fn republish(&mut self, published: Upstream) {
        self.removed = false;
        self.published = published;
    }

    /// Whether it may receive new work at all.
    pub fn is_open(&self) -> bool {
        !self.removed && !self.said_leaving && !self.published.leaving
    }

    /// Whether this host's own attempts leave a slot free.
    pub fn has_local_slot(&self) -> bool {
        self.in_flight < self.published.slots.0
    }

    /// Rate at which this host's attempts there get done.
    pub fn completions_per_ms(&self) -> f64 {
        let latency_ms = self.latency_ms.filter(|&latency_ms| latency_ms > 0.0);
        latency_ms.map_or(0.0, |latency_ms| f64::from(self.in_flight) / latency_ms)
    }

    /// Notes what the upstream said of itself.
    pub fn note_report(&mut self, now_ms: Millis, load: Option<LoadReport>, leaving: bool) {
        self.heard_ms = Some(now_ms);
        self.said_leaving |= leaving;
        if let Some(report) = load {
            self.load = Some((now_ms, report));
            self.estimate.note_report(now_ms, report);
        }
    }

    /// Notes an answer and the time it took.
    pub fn note_success(&mut self, latency_ms: Millis) {
        let sample = latency_ms.as_f64();
        let average = self.latency_ms.unwrap_or(sample);
        self.latency_ms = Some(average + SAMPLE_WEIGHT * (sample - average));
        self.error_share -= SAMPLE_WEIGHT * self.error_share;
    }

    /// Notes a failed attempt.
    pub fn note_failure(&mut self) {
        self.error_share += SAMPLE_WEIGHT * (1.0 - self.error_share);
    }
}
