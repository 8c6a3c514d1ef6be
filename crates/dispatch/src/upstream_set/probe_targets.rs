//! Whom a host asks by itself: the best by what is remembered, those at hand first.

use super::UpstreamSet;
use crate::service::Service;
use crate::upstream::UpstreamState;
use domain::{Millis, ServiceName, UpstreamId};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Part of the cost by which the order of candidates is shaken, so that hosts
/// that know the same don't all ask the same.
const SHAKE: f64 = 0.5;

/// What an upstream without a connection costs more when it is asked, in usual working times: a new
/// one takes a round trip more, and upstreams bear a limited number. In one play each of 111 hosts
/// and 303 upstreams 0.38 were opened a request in calm times in place of 0.50, and as many
/// answers were in time.
const UNCONNECTED: f64 = 1.0;

/// So long an upstream that joins is asked as if there were a connection: until it is warm, and some
/// hosts have sent to it. Else those of 17 hosts that were added in calm times got nothing.
const NEWCOMER_MS: Millis = Millis(20_000);

/// What a host hears of within this time of the first is no newcomer: it has just started, or was
/// told a part first.
const FILLING_MS: Millis = Millis(5_000);

/// Which upstreams come first when some are to be asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneScope {
    /// Those of the host's own availability zone.
    Local,
    /// Those of other zones: the own zone had no good offer.
    Other,
}

/// An upstream that may be asked, and where it stands among the others.
struct Ranked<'a> {
    id: &'a UpstreamId,
    group: Group,
    cost: f64,
}

/// What is compared before any cost; the least is asked first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Group {
    is_avoided: bool,
    is_outside_subset: bool,
    is_unwanted_zone: bool,
}

impl UpstreamSet {
    /// Whom to ask next: the best by what is remembered, the host's subset and the wanted
    /// availability zones first.
    ///
    /// Those in `excluded` are left out, and those that are left alone, as long as any other is there.
    pub fn choose_probe_targets(
        &self,
        now_ms: Millis,
        service: &ServiceName,
        excluded: &[UpstreamId],
        (most, reach): (usize, ZoneScope),
        is_connected: impl Fn(&UpstreamId) -> bool,
        rng: &mut Pcg64Mcg,
    ) -> Vec<UpstreamId> {
        let Some(service) = self.services.get(service) else { return Vec::new() };
        let is_open = |id: &&UpstreamId| self.accepts_requests(id) && !excluded.contains(id);
        let open = service.upstreams.iter().filter(is_open);
        let mut ranked: Vec<Ranked<'_>> = open
            .filter_map(|id| {
                let group = self.group(now_ms, id, service, reach)?;
                let cost = self.cost_to_ask(now_ms, id, is_connected(id), rng)?;
                Some(Ranked { id, group, cost })
            })
            .collect();
        ranked.sort_by(|a, b| a.group.cmp(&b.group).then(a.cost.total_cmp(&b.cost)));
        let has_any = ranked.first().is_some_and(|first| !first.group.is_avoided);
        let wanted = ranked.iter().filter(|ranked| !ranked.group.is_avoided || !has_any);
        wanted.take(most).map(|ranked| ranked.id.clone()).collect()
    }

    fn group(
        &self,
        now_ms: Millis,
        id: &UpstreamId,
        service: &Service,
        reach: ZoneScope,
    ) -> Option<Group> {
        Some(Group {
            is_avoided: self.known.get(id)?.is_excluded(now_ms),
            is_outside_subset: !service.subset.contains(id),
            is_unwanted_zone: self.is_in_other_zone(id) != (reach == ZoneScope::Other),
        })
    }

    fn cost_to_ask(
        &self,
        now_ms: Millis,
        id: &UpstreamId,
        is_connected: bool,
        rng: &mut Pcg64Mcg,
    ) -> Option<f64> {
        let known = self.known.get(id)?;
        // The zone is a matter of reach here, not of cost.
        let cost = self.estimate_cost_from(now_ms, id, &known.entry.availability_zone)?.cost;
        let is_preferred = is_connected || self.is_newcomer(now_ms, known);
        let connecting = if is_preferred { 0.0 } else { UNCONNECTED };
        Some(cost * (1.0 + SHAKE * rng.random::<f64>()) + connecting)
    }

    fn is_newcomer(&self, now_ms: Millis, known: &UpstreamState) -> bool {
        let joined_ms = known.first_seen_ms();
        let was_filled = self.filled_ms.is_some_and(|at_ms| joined_ms.since(at_ms) >= FILLING_MS);
        was_filled && now_ms.since(joined_ms) < NEWCOMER_MS
    }
}
