//! What an upstream may be sent: any number of requests, a rate that the whole fleet shares, or
//! nothing from this host.

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
    /// The rate that the whole fleet may send to an upstream: the lower of the limit that it
    /// stated and, while it is or may be cold, the limit of its service for cold upstreams. None
    /// if it is unlimited.
    pub fn fleet_rate(&self, now_ms: Millis, id: &UpstreamId) -> Option<FleetRate> {
        let state = self.states.get(id)?;
        let stated = self.backpressure.rate_limit(id, state.entry.run);
        match (stated, self.cold_rate(now_ms, state)) {
            (Some(stated), Some(cold)) if cold.rate < stated.rate => Some(cold),
            (stated, cold) => stated.or(cold),
        }
    }

    fn cold_rate(&self, now_ms: Millis, state: &UpstreamState) -> Option<FleetRate> {
        if state.warmth(now_ms) == Warmth::Warm {
            return None;
        }
        let rate = self.services.get(&state.entry.service)?.cold_rate?;
        Some(FleetRate { rate, since_ms: state.cold_since_ms(), sent_before: None })
    }

    /// Time for which this host must still back off from an upstream that asked for it; none if it
    /// need not.
    pub fn remaining_backoff(&self, now_ms: Millis, id: &UpstreamId) -> Option<Millis> {
        let state = self.states.get(id)?;
        self.backpressure.remaining_backoff(now_ms, id, state.entry.run)
    }

    /// The upstreams of a service that asked this host to back off.
    pub fn upstreams_in_backoff(&self, now_ms: Millis, service: &ServiceName) -> Vec<UpstreamId> {
        let is_of_service = |id: &&UpstreamId| {
            let state = self.states.get(*id);
            state.is_some_and(|state| state.entry.service == *service)
        };
        let of_service = self.backpressure.upstreams_in_backoff(now_ms).filter(is_of_service);
        // The process run that asked for it may have ended.
        of_service.filter(|id| self.remaining_backoff(now_ms, id).is_some()).cloned().collect()
    }

    /// Whether any upstream of a service may be limited. Saves checking each of hundreds of
    /// upstreams for each request.
    pub(crate) fn may_limit(&self, service: &ServiceName) -> bool {
        let service = self.services.get(service);
        !self.backpressure.is_empty() || service.is_some_and(|service| service.cold_rate.is_some())
    }

    /// Estimated time until a service accepts another request of the fleet, if every eligible upstream has a
    /// rate limit or asked this host to back off; none if one of them did neither, or if there is
    /// no eligible upstream.
    pub fn next_request_in(&self, now_ms: Millis, service: &ServiceName) -> Option<Millis> {
        let (mut per_s, mut shortest_backoff_ms) = (0.0, None);
        for id in self.of_service(service).iter().filter(|id| self.accepts_requests(id)) {
            match (self.remaining_backoff(now_ms, id), self.fleet_rate(now_ms, id)) {
                (Some(left_ms), _) => {
                    shortest_backoff_ms = shortest_backoff_ms.into_iter().chain([left_ms]).min();
                }
                (None, Some(limit)) => per_s += limit.rate.0,
                (None, None) => return None,
            }
        }
        let by_rate_ms = (per_s > 0.0).then(|| Millis((1_000.0 / per_s) as u64));
        by_rate_ms.into_iter().chain(shortest_backoff_ms).min()
    }

    /// Rate limits, backoff requests and leave announcements of upstreams.
    pub fn backpressure(&self) -> &BackpressureSet {
        &self.backpressure
    }

    /// The same, mutable.
    pub fn backpressure_mut(&mut self) -> &mut BackpressureSet {
        &mut self.backpressure
    }

    /// Records the backpressure in a response of process run `run` of an upstream to this host;
    /// returns what changed.
    pub fn record_backpressure(
        &mut self,
        now_ms: Millis,
        (id, run): (&UpstreamId, RunStart),
        kind: ResponseKind,
        stated: Backpressure,
    ) -> Option<BackpressureChange> {
        let sent_before = self.recently_sent_to(now_ms, (id, run));
        let change = self.backpressure.record(now_ms, (id, run), kind, stated, sent_before);
        self.update_eligibility(id);
        change
    }

    /// Requests sent to a process run of an upstream in about the last second.
    fn recently_sent_to(&self, now_ms: Millis, (id, run): (&UpstreamId, RunStart)) -> f64 {
        let state = self.states.get(id).filter(|state| state.is_of_run(run));
        state.map_or(0.0, |state| state.recently_sent(now_ms))
    }

    /// Updates an upstream's eligibility, since it may have announced that it is leaving.
    fn update_eligibility(&mut self, id: &UpstreamId) {
        if let Some(state) = self.states.get_mut(id) {
            state.eligibility = eligibility(state.eligibility, state, &self.backpressure);
        }
    }

    /// Records the backpressure in a response to another host, which itself broadcasts it to the
    /// fleet.
    pub(crate) fn record_forwarded_backpressure(
        &mut self,
        now_ms: Millis,
        (id, run): (&UpstreamId, RunStart),
        kind: ResponseKind,
        stated: Backpressure,
    ) {
        let sent_before = self.recently_sent_to(now_ms, (id, run));
        self.backpressure.record_forwarded(now_ms, (id, run), kind, stated, sent_before);
        self.update_eligibility(id);
    }

    /// Merges a peer's backpressure updates; returns what changed.
    pub fn merge_backpressure(
        &mut self,
        now_ms: Millis,
        updates: Vec<BackpressureUpdate>,
    ) -> Vec<BackpressureChange> {
        let UpstreamSet { backpressure, states, .. } = self;
        let sent_before =
            |id: &UpstreamId| states.get(id).map_or(0.0, |state| state.recently_sent(now_ms));
        let changes = backpressure.merge(now_ms, updates, sent_before);
        changes.iter().for_each(|change| self.update_eligibility(&change.upstream));
        changes
    }

    /// Drops outdated backpressure; see [`BackpressureSet::forget`].
    pub fn forget_backpressure(&mut self, now_ms: Millis) {
        let UpstreamSet { backpressure, states, .. } = self;
        backpressure.forget(now_ms, |id| states.contains_key(id));
    }
}

/// The published eligibility, unless the upstream itself announced that it is leaving.
pub(super) fn eligibility(
    published: Eligibility,
    state: &UpstreamState,
    backpressure: &BackpressureSet,
) -> Eligibility {
    let entry = &state.entry;
    match published {
        Eligibility::Eligible if backpressure.is_leaving(&entry.id, entry.run) => {
            Eligibility::SaysLeaving
        }
        published => published,
    }
}
