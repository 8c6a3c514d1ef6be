//! Whose part of the fleet's rate is whose: each host's own, or lent to a scheduler.

use super::budget::{FleetRate, RateBudget};
use crate::scheduler::{Cell, Requester};
use crate::subset::FleetSize;
use crate::upstream_set::UpstreamSet;
use domain::{FastMap, HostId, Millis, ServiceName, UpstreamId};

/// A host's share is lent for so long after its last message: the pause between two requests of a
/// host under load, and a third of the time that upstreams stay cold.
const LENT_MS: Millis = Millis(1_000);

/// A message that lends a share may be under way for so long.
const UNDER_WAY_MS: Millis = Millis(100);

/// Part of a cell's hosts that have to lend for the first scheduler in order to spend all of the rate,
/// as long as the upstream shows no requests of others: most hosts of a large fleet have no request
/// within [`LENT_MS`], and what they don't need is not left lying.
const ENOUGH_LENT: f64 = 0.15;

/// Until so long after its start a host knows too few others to tell how large its share is.
const KNOWING_MS: Millis = Millis(2_000);

/// Hosts that a fleet is taken to have until then. A fleet that starts all at once, each host of
/// it alone, stays within the rate up to this size.
const UNKNOWN_HOSTS: u32 = 256;

/// The hosts that share what the fleet may send to an upstream, as a host sees them so long
/// after its start.
pub fn assumed_fleet(known: FleetSize, since_start_ms: Millis) -> FleetSize {
    match since_start_ms < KNOWING_MS {
        true => FleetSize {
            hosts: known.hosts.max(UNKNOWN_HOSTS),
            hosts_in_zone: known.hosts_in_zone.max(UNKNOWN_HOSTS),
        },
        false => known,
    }
}

/// What a host sends by itself, where no scheduler placed the request.
#[derive(Debug)]
pub struct LocalRateLimiter {
    budget: RateBudget,
    /// Whom it lent its share last, by cell, and when.
    lent: FastMap<Cell, (HostId, Millis)>,
}

impl LocalRateLimiter {
    /// A host that has sent nothing yet.
    pub fn new(host: HostId) -> LocalRateLimiter {
        LocalRateLimiter { budget: RateBudget::new(host), lent: FastMap::default() }
    }

    /// The host hands a request to the scheduler of a cell; true if it lends it its share. One that
    /// changes its scheduler lends the next one nothing until the last one counts it no more.
    pub fn lend(&mut self, now_ms: Millis, cell: &Cell, scheduler: &HostId) -> bool {
        let is_lent_elsewhere = self.lent.get(cell).is_some_and(|(to, lent_ms)| {
            to != scheduler && now_ms.since(*lent_ms) < LENT_MS + UNDER_WAY_MS
        });
        if !is_lent_elsewhere {
            self.lent.insert(cell.clone(), (scheduler.clone(), now_ms));
        }
        !is_lent_elsewhere
    }

    /// Whether a request may be sent to an upstream, which may take a rate only or have asked this host to
    /// back off, by one of so many hosts.
    pub fn may_send(
        &self,
        now_ms: Millis,
        upstreams: &UpstreamSet,
        id: &UpstreamId,
        hosts: u32,
    ) -> bool {
        let has_one = |limit| {
            let share = self.share(now_ms, upstreams, id, hosts);
            self.budget.allows_request(now_ms, id, limit, share)
        };
        upstreams.remaining_backoff(now_ms, id).is_none()
            && upstreams.fleet_rate(now_ms, id).map(by_itself).is_none_or(has_one)
    }

    /// Upstreams of a service that get nothing for now of one of so many hosts.
    pub fn blocked_upstreams(
        &self,
        now_ms: Millis,
        upstreams: &UpstreamSet,
        service: &ServiceName,
        hosts: u32,
    ) -> Vec<UpstreamId> {
        if !upstreams.may_limit(service) {
            return Vec::new();
        }
        let is_held_back = |id: &&UpstreamId| !self.may_send(now_ms, upstreams, id, hosts);
        upstreams.of_service(service).iter().filter(is_held_back).cloned().collect()
    }

    /// The request is sent.
    pub fn record_sent(
        &mut self,
        now_ms: Millis,
        upstreams: &UpstreamSet,
        id: &UpstreamId,
        hosts: u32,
    ) {
        if let Some(limit) = upstreams.fleet_rate(now_ms, id).map(by_itself) {
            let share = self.share(now_ms, upstreams, id, hosts);
            self.budget.spend(now_ms, id, limit, share);
        }
    }

    /// Forgets upstreams that are gone, and what is lent no more.
    pub fn retain(&mut self, now_ms: Millis, is_known: impl Fn(&UpstreamId) -> bool) {
        self.budget.retain(is_known);
        self.lent.retain(|_, (_, lent_ms)| now_ms.since(*lent_ms) < LENT_MS + UNDER_WAY_MS);
    }

    /// Nothing while it is lent to the scheduler of a cell that the upstream is of.
    fn share(&self, now_ms: Millis, upstreams: &UpstreamSet, id: &UpstreamId, hosts: u32) -> f64 {
        let is_lent = self.lent.iter().any(|(cell, (_, lent_ms))| {
            now_ms.since(*lent_ms) < LENT_MS
                && upstreams.get(id).is_some_and(|known| cell.contains(&known.entry))
        });
        if is_lent { 0.0 } else { 1.0 / f64::from(hosts.max(1)) }
    }
}

/// A host by itself sees too little of what the others sent before a limit: it takes it for far more
/// than the limit.
fn by_itself(limit: FleetRate) -> FleetRate {
    FleetRate { sent_before: limit.sent_before.map(|_| f64::INFINITY), ..limit }
}

/// What hosts lend to the scheduler of a cell.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LentShares {
    /// Part of the fleet's hosts that lend it their shares.
    pub(crate) of_fleet: f64,
    /// Part of the hosts that use the cell first: all of them, or those of its availability zone.
    pub(crate) of_cell: f64,
    /// No other host comes before it in order: of two that schedule the same cell just one may take
    /// more than it was lent.
    pub(crate) is_primary: bool,
}

impl LentShares {
    /// The part of the rate that may be spent on an upstream, by whether that has just shown
    /// requests of others.
    pub(crate) fn spendable(&self, is_alone: bool) -> f64 {
        match (self.is_primary, is_alone) {
            (true, true) => (self.of_cell / ENOUGH_LENT).min(1.0),
            (true, false) => self.of_cell,
            (false, _) => self.of_fleet,
        }
    }
}

/// Hosts that hand their requests to a scheduler, and lend it their shares.
#[derive(Debug, Default)]
pub(crate) struct Lenders {
    lent_ms: FastMap<Cell, FastMap<Requester, Millis>>,
}

impl Lenders {
    pub(crate) fn record(&mut self, now_ms: Millis, cell: &Cell, requester: Requester) {
        self.lent_ms.entry(cell.clone()).or_default().insert(requester, now_ms);
    }

    /// How many lend their shares by now.
    pub(crate) fn count(&self, now_ms: Millis, cell: &Cell) -> u32 {
        let is_lent = |at_ms: &&Millis| now_ms.since(**at_ms) < LENT_MS;
        let lenders = self.lent_ms.get(cell);
        lenders.map_or(0, |lenders| lenders.values().filter(is_lent).count() as u32)
    }

    pub(crate) fn forget(&mut self, now_ms: Millis) {
        self.lent_ms.retain(|_, lenders| {
            lenders.retain(|_, at_ms| now_ms.since(*at_ms) < LENT_MS);
            !lenders.is_empty()
        });
    }
}
