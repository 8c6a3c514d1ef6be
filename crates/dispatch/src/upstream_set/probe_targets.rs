//! Chooses the upstreams that a host probes: those with the lowest expected cost, preferring the
//! host's subset and the wanted availability zones.

use super::UpstreamSet;
use crate::service::Service;
use crate::upstream::UpstreamState;
use domain::{Millis, ServiceName, UpstreamId};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Random part added to each cost, so that hosts with equal knowledge don't all probe the same
/// upstreams.
const COST_JITTER: f64 = 0.5;

/// Extra cost of an upstream without a connection, in baseline service times: opening one takes a
/// round trip, and upstreams accept a limited number.
const CONNECT_COST: f64 = 1.0;

/// For how long a new upstream is ranked as if it had a connection, so that it receives requests
/// at all: until it is warm, and some hosts have sent to it.
const NEW_UPSTREAM_MS: Millis = Millis(20_000);

/// Upstreams that a host learns of within this time after the first one aren't new: the host has
/// just started, or received a part of the state first.
const INITIAL_LOAD_MS: Millis = Millis(5_000);

/// Which availability zones are preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneScope {
    /// The host's own availability zone.
    Local,
    /// The other zones, when the local one has no good upstream.
    Other,
}

/// An upstream that may be probed, with its rank.
struct Ranked<'a> {
    id: &'a UpstreamId,
    group: Group,
    cost: f64,
}

/// Compared before the cost; the least is probed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Group {
    is_excluded: bool,
    is_outside_subset: bool,
    is_unwanted_zone: bool,
}

impl UpstreamSet {
    /// Chooses up to `most` upstreams to probe: the cheapest ones, the host's subset and the
    /// wanted availability zones first.
    ///
    /// Leaves out those in `skipped`, and temporarily excluded ones as long as there is any other.
    pub fn choose_probe_targets(
        &self,
        now_ms: Millis,
        service: &ServiceName,
        skipped: &[UpstreamId],
        (most, zone_scope): (usize, ZoneScope),
        is_connected: impl Fn(&UpstreamId) -> bool,
        rng: &mut Pcg64Mcg,
    ) -> Vec<UpstreamId> {
        let Some(service) = self.services.get(service) else { return Vec::new() };
        let is_candidate = |id: &&UpstreamId| self.accepts_requests(id) && !skipped.contains(id);
        let candidates = service.upstreams.iter().filter(is_candidate);
        let mut ranked: Vec<Ranked<'_>> = candidates
            .filter_map(|id| {
                let group = self.group(now_ms, id, service, zone_scope)?;
                let cost = self.probe_cost(now_ms, id, is_connected(id), rng)?;
                Some(Ranked { id, group, cost })
            })
            .collect();
        ranked.sort_by(|a, b| a.group.cmp(&b.group).then(a.cost.total_cmp(&b.cost)));
        let has_unexcluded = ranked.first().is_some_and(|first| !first.group.is_excluded);
        let wanted = ranked.iter().filter(|ranked| !ranked.group.is_excluded || !has_unexcluded);
        wanted.take(most).map(|ranked| ranked.id.clone()).collect()
    }

    fn group(
        &self,
        now_ms: Millis,
        id: &UpstreamId,
        service: &Service,
        zone_scope: ZoneScope,
    ) -> Option<Group> {
        Some(Group {
            is_excluded: self.states.get(id)?.is_excluded(now_ms),
            is_outside_subset: !service.subset.contains(id),
            is_unwanted_zone: self.is_in_other_zone(id) != (zone_scope == ZoneScope::Other),
        })
    }

    fn probe_cost(
        &self,
        now_ms: Millis,
        id: &UpstreamId,
        is_connected: bool,
        rng: &mut Pcg64Mcg,
    ) -> Option<f64> {
        let state = self.states.get(id)?;
        // [`Group`] handles the zone here, so it doesn't add to the cost.
        let cost = self.estimate_cost_from(now_ms, id, &state.entry.availability_zone, None)?.cost;
        let is_preferred = is_connected || self.is_new_upstream(now_ms, state);
        let connecting = if is_preferred { 0.0 } else { CONNECT_COST };
        Some(cost * (1.0 + COST_JITTER * rng.random::<f64>()) + connecting)
    }

    fn is_new_upstream(&self, now_ms: Millis, state: &UpstreamState) -> bool {
        let first_seen_ms = state.first_seen_ms();
        let joined_later =
            self.first_known_ms.is_some_and(|at_ms| first_seen_ms.since(at_ms) >= INITIAL_LOAD_MS);
        joined_later && now_ms.since(first_seen_ms) < NEW_UPSTREAM_MS
    }
}
