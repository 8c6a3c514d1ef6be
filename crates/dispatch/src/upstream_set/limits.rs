//! What upstreams take: all that comes, a rate of the whole fleet, or nothing from this host.

use super::UpstreamSet;
use crate::backpressure::{
    Backpressure, BackpressureChange, BackpressureSet, BackpressureUpdate, ResponseKind,
};
use crate::cold::Warmth;
use crate::fleet_rate::FleetRate;
use crate::upstream::UpstreamState;
use domain::{Millis, ServiceName, UpstreamId};
use published::{Eligibility, RunStart};

impl UpstreamSet {
    /// What the whole fleet may send to it: it limits that, or is cold or may be, and its service
    /// states what a cold one bears. None if it takes what comes.
    pub fn fleet_rate(&self, now_ms: Millis, id: &UpstreamId) -> Option<FleetRate> {
        let known = self.known.get(id)?;
        let stated = self.backpressure.rate_limit(id, known.entry.run);
        match (stated, self.cold_rate(now_ms, known)) {
            (Some(stated), Some(cold)) if cold.rate < stated.rate => Some(cold),
            (stated, cold) => stated.or(cold),
        }
    }

    fn cold_rate(&self, now_ms: Millis, known: &UpstreamState) -> Option<FleetRate> {
        if known.warmth(now_ms) == Warmth::Warm {
            return None;
        }
        let rate = self.services.get(&known.entry.service)?.cold_rate?;
        Some(FleetRate { rate, since_ms: known.cold_since_ms(), sent_before: None })
    }

    /// How much longer this host leaves an upstream alone, as it was asked to.
    pub fn remaining_backoff(&self, now_ms: Millis, id: &UpstreamId) -> Option<Millis> {
        let known = self.known.get(id)?;
        self.backpressure.remaining_backoff(now_ms, id, known.entry.run)
    }

    /// The upstreams of a service that this host leaves alone, as it was asked to.
    pub fn upstreams_in_backoff(&self, now_ms: Millis, service: &ServiceName) -> Vec<UpstreamId> {
        let is_of_service = |id: &&UpstreamId| {
            let known = self.known.get(*id);
            known.is_some_and(|known| known.entry.service == *service)
        };
        let of_service = self.backpressure.upstreams_in_backoff(now_ms).filter(is_of_service);
        // The run that asked for it may have ended.
        of_service.filter(|id| self.remaining_backoff(now_ms, id).is_some()).cloned().collect()
    }

    /// Whether any upstream of a service may take less than what comes. Asked before each of hundreds
    /// is looked at for each request.
    pub(crate) fn may_limit(&self, service: &ServiceName) -> bool {
        let service = self.services.get(service);
        !self.backpressure.is_empty() || service.is_some_and(|service| service.cold_rate.is_some())
    }

    /// When a service takes the next request of this host where all of its upstreams take a rate only,
    /// or asked this host to back off; none if one of them takes what comes, or none is there.
    pub fn next_request_in(&self, now_ms: Millis, service: &ServiceName) -> Option<Millis> {
        let (mut per_s, mut first_back_ms) = (0.0, None);
        for id in self.of_service(service).iter().filter(|id| self.accepts_requests(id)) {
            match (self.remaining_backoff(now_ms, id), self.fleet_rate(now_ms, id)) {
                (Some(left_ms), _) => {
                    first_back_ms = first_back_ms.into_iter().chain([left_ms]).min();
                }
                (None, Some(limit)) => per_s += limit.rate.0,
                (None, None) => return None,
            }
        }
        let by_rate_ms = (per_s > 0.0).then(|| Millis((1_000.0 / per_s) as u64));
        by_rate_ms.into_iter().chain(first_back_ms).min()
    }

    /// What upstreams say of the load that they bear.
    pub fn backpressure(&self) -> &BackpressureSet {
        &self.backpressure
    }

    /// The same, to tell peers of it or to forget.
    pub fn backpressure_mut(&mut self) -> &mut BackpressureSet {
        &mut self.backpressure
    }

    /// A run of an upstream answered and said so.
    pub fn record_backpressure(
        &mut self,
        now_ms: Millis,
        (id, run): (&UpstreamId, RunStart),
        kind: ResponseKind,
        said: Backpressure,
    ) -> Option<BackpressureChange> {
        let sent_before = self.sent_to(now_ms, (id, run));
        let change = self.backpressure.record(now_ms, (id, run), kind, said, sent_before);
        self.note_leaving(id);
        change
    }

    /// Requests that left for a run of an upstream within about a second.
    fn sent_to(&self, now_ms: Millis, (id, run): (&UpstreamId, RunStart)) -> f64 {
        let known = self.known.get(id).filter(|known| known.is_of_run(run));
        known.map_or(0.0, |known| known.recently_sent(now_ms))
    }

    /// An upstream may have said that it is leaving.
    fn note_leaving(&mut self, id: &UpstreamId) {
        if let Some(known) = self.known.get_mut(id) {
            known.eligibility = eligibility(known.eligibility, known, &self.backpressure);
        }
    }

    /// The same of an answer to another host, which tells the fleet of it.
    pub(crate) fn record_forwarded_backpressure(
        &mut self,
        now_ms: Millis,
        (id, run): (&UpstreamId, RunStart),
        kind: ResponseKind,
        said: Backpressure,
    ) {
        let sent_before = self.sent_to(now_ms, (id, run));
        self.backpressure.record_forwarded(now_ms, (id, run), kind, said, sent_before);
        self.note_leaving(id);
    }

    /// Takes what a peer told of upstreams' backpressure.
    pub fn merge_backpressure(
        &mut self,
        now_ms: Millis,
        told: Vec<BackpressureUpdate>,
    ) -> Vec<BackpressureChange> {
        let UpstreamSet { backpressure, known, .. } = self;
        let sent_before =
            |id: &UpstreamId| known.get(id).map_or(0.0, |known| known.recently_sent(now_ms));
        let changes = backpressure.merge(now_ms, told, sent_before);
        changes.iter().for_each(|change| self.note_leaving(&change.upstream));
        changes
    }

    /// Forgets what upstreams said that are gone for good.
    pub fn forget_backpressure(&mut self, now_ms: Millis) {
        let UpstreamSet { backpressure, known, .. } = self;
        backpressure.forget(now_ms, |id| known.contains_key(id));
    }
}

/// What is published of an upstream, unless it said itself that it is leaving.
pub(super) fn eligibility(
    published: Eligibility,
    known: &UpstreamState,
    backpressure: &BackpressureSet,
) -> Eligibility {
    let entry = &known.entry;
    match published {
        Eligibility::Eligible if backpressure.is_leaving(&entry.id, entry.run) => {
            Eligibility::SaysLeaving
        }
        published => published,
    }
}
