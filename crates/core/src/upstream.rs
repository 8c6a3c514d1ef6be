//! One upstream as this entry host sees it.
//!
//! What is published (slots, address, leaving) comes from the configuration; what was
//! seen (in flight, load, latency, errors) comes from this host's own traffic, from
//! probes and from peers. A leaving mark is never taken back by an older source.

use config::Upstream;
use domain::{Connections, Millis, UpstreamId};
use serde::Serialize;

use crate::estimate::LoadEstimate;
use crate::event::LoadReport;
use crate::health::Health;
use crate::leaving::{HOLD_MS, LeavingMark, LeavingSource};
use crate::service_health::Strictness;

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
    /// It said that it is leaving, here or to a peer.
    pub leaving: Option<LeavingMark>,
    /// How far it is trusted.
    pub health: Health,
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
    /// When it was last heard of, by traffic, probe or peer.
    pub heard_ms: Option<Millis>,
    /// When this host last probed it.
    pub probed_ms: Option<Millis>,
    /// Latest sending whose answer proves that it serves: a call, or what ended a leaving mark.
    pub serving_ms: Option<Millis>,
}

impl UpstreamState {
    /// Connections that each of `hosts` listed entry hosts may have to it, at least one.
    pub fn connections_of_one(&self, hosts: usize) -> Connections {
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX).max(1);
        Connections((self.published.connections.0 / hosts).max(1))
    }

    /// An upstream not yet heard of.
    pub fn new(id: UpstreamId, published: Upstream, health: Health) -> UpstreamState {
        UpstreamState {
            id,
            published,
            removed: false,
            leaving: None,
            health,
            in_flight: 0,
            load: None,
            estimate: LoadEstimate::default(),
            latency_ms: None,
            error_share: 0.0,
            heard_ms: None,
            probed_ms: None,
            serving_ms: None,
        }
    }

    /// Takes what the configuration in force says.
    ///
    /// With another address, or after a removal, it is a new one that starts `cold`;
    /// otherwise what it said of leaving stands, however the configuration reads.
    pub fn republish(&mut self, published: Upstream, cold: Health) {
        if self.removed || self.published.address != published.address {
            let in_flight = self.in_flight;
            *self = UpstreamState::new(self.id.clone(), published, cold);
            self.in_flight = in_flight;
            return;
        }
        self.published = published;
    }

    /// Whether it may receive new work at all.
    pub fn is_open(&self) -> bool {
        !self.removed && self.leaving.is_none() && !self.published.leaving
    }

    /// Whether failures keep it out for now.
    pub fn is_ejected(&self, now_ms: Millis) -> bool {
        self.health.is_ejected(now_ms)
    }

    /// Part of its slots that its health leaves it, 0 to 1.
    pub fn capacity_share(&self, now_ms: Millis) -> f64 {
        self.health.capacity_share(now_ms)
    }

    /// Slots that its health leaves it: one on trial, at least one while it is not out.
    pub fn usable_slots(&self, now_ms: Millis) -> u32 {
        let slots = f64::from(self.published.slots.0);
        match self.capacity_share(now_ms) {
            _ if self.health.is_ejected(now_ms) => 0,
            _ if self.health.is_on_trial(now_ms) => 1,
            share => ((slots * share).floor() as u32).max(1),
        }
    }

    /// Slots that new work may use, with health as strict as told; zero if it is not open.
    pub fn open_slots(&self, now_ms: Millis, strictness: Strictness) -> u32 {
        match strictness {
            _ if !self.is_open() => 0,
            Strictness::Normal if self.health.backs_off(now_ms) => 0,
            Strictness::Normal | Strictness::IgnoreBackoff => self.usable_slots(now_ms),
            Strictness::UseAll => self.published.slots.0,
        }
    }

    /// Rate at which this host's attempts there get done.
    pub fn completions_per_ms(&self) -> f64 {
        let latency_ms = self.latency_ms.filter(|&latency_ms| latency_ms > 0.0);
        latency_ms.map_or(0.0, |latency_ms| f64::from(self.in_flight) / latency_ms)
    }

    /// Notes what the upstream said of itself.
    ///
    /// Returns whether that is the first word of its leaving.
    pub fn note_report(
        &mut self,
        now_ms: Millis,
        load: Option<LoadReport>,
        leaving: Option<LeavingSource>,
    ) -> bool {
        self.heard_ms = Some(now_ms);
        if let Some(report) = load {
            self.load = Some((now_ms, report));
            self.estimate.note_report(now_ms, report);
        }
        match leaving {
            Some(source) => self.mark_leaving(now_ms, source),
            None => false,
        }
    }

    /// Notes that a call sent at that time was answered without a word of leaving.
    pub fn note_serving(&mut self, sent_ms: Millis) {
        self.serving_ms = self.serving_ms.max(Some(sent_ms));
    }

    /// Marks it as leaving. Returns whether it was not marked before.
    pub fn mark_leaving(&mut self, heard_ms: Millis, source: LeavingSource) -> bool {
        match &mut self.leaving {
            Some(mark) => {
                mark.renew(heard_ms, &source);
                false
            }
            None => {
                self.leaving = Some(LeavingMark::new(heard_ms, source));
                true
            }
        }
    }

    /// Whether a peer's word of leaving, learned no later than `learned_ms`, says anything new.
    ///
    /// Not if the upstream was heard serving long after.
    pub fn believes_leaving(&self, learned_ms: Millis) -> bool {
        self.serving_ms.is_none_or(|serving_ms| serving_ms < learned_ms + HOLD_MS)
    }

    /// Notes what a peer heard of it.
    pub fn note_peer_report(&mut self, learned_ms: Millis, load: Option<LoadReport>) {
        self.heard_ms = self.heard_ms.max(Some(learned_ms));
        let newer = self.load.is_none_or(|(known_ms, _)| known_ms < learned_ms);
        if let Some(report) = load.filter(|_| newer) {
            self.load = Some((learned_ms, report));
            self.estimate.note_report(learned_ms, report);
        }
    }

    /// Takes the leaving mark back: an instance serves there again, and starts cold.
    pub fn revive(&mut self, serving_ms: Millis, cold: Health) {
        self.leaving = None;
        self.health = cold;
        self.serving_ms = self.serving_ms.max(Some(serving_ms));
    }

    /// Notes the time that an answer took.
    pub fn note_latency(&mut self, latency_ms: Millis) {
        let sample = latency_ms.as_f64();
        let average = self.latency_ms.unwrap_or(sample);
        self.latency_ms = Some(average + SAMPLE_WEIGHT * (sample - average));
    }

    /// Notes a whole answer that is no failure.
    pub fn note_success(&mut self, now_ms: Millis, sent_ms: Millis, slow_start_ms: Millis) {
        self.error_share -= SAMPLE_WEIGHT * self.error_share;
        self.health.note_success(now_ms, sent_ms, slow_start_ms);
    }

    /// Notes a failed attempt. Returns whether a trial failed.
    pub fn note_failure(&mut self, sent_ms: Millis) -> bool {
        self.error_share += SAMPLE_WEIGHT * (1.0 - self.error_share);
        self.health.note_failure(sent_ms)
    }
}
