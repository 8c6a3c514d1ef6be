//! Decides who spends a host's share of a fleet-wide rate: the host itself, or a scheduler that it
//! lends it to.

use super::budget::{FleetRate, RateBudget};
use crate::scheduler::{Cell, Requester};
use crate::subset::FleetSize;
use crate::upstream_set::UpstreamSet;
use domain::{FastMap, HostId, Millis, ServiceName, UpstreamId};

/// How long a share stays lent after the lender's last submission: covers the pause between two
/// requests of a host under load.
const LENT_MS: Millis = Millis(1_000);

/// Allowance for the transit time of a message that lends a share.
const TRANSIT_MS: Millis = Millis(100);

/// Share of a cell's hosts that must lend to its primary scheduler before it spends the whole
/// rate, as long as the upstream shows no requests of others. Most hosts of a large fleet have no
/// request within [`LENT_MS`], so waiting for all of them would leave capacity unused.
const FULL_RATE_LENDERS: f64 = 0.15;

/// For this long after its start, a host knows too few other hosts to compute its share.
const DISCOVERY_MS: Millis = Millis(2_000);

/// Number of hosts that a fleet is assumed to have until then. Fleets up to this size stay within
/// the rate even if all hosts start at once, before they know each other.
const ASSUMED_HOSTS: u32 = 256;

/// The size of the fleet that shares a rate, as a host must assume it this long after its start.
pub fn assumed_fleet(known: FleetSize, since_start_ms: Millis) -> FleetSize {
    match since_start_ms < DISCOVERY_MS {
        true => FleetSize {
            hosts: known.hosts.max(ASSUMED_HOSTS),
            hosts_in_zone: known.hosts_in_zone.max(ASSUMED_HOSTS),
        },
        false => known,
    }
}

/// Limits the requests that a host sends to rate-limited upstreams without a scheduler, by the
/// host's own share of each rate.
#[derive(Debug)]
pub struct LocalRateLimiter {
    budget: RateBudget,
    /// The scheduler that the share was last lent to, and when, by cell.
    lent: FastMap<Cell, (HostId, Millis)>,
}

impl LocalRateLimiter {
    /// Creates the limiter of a host that has sent nothing yet.
    pub fn new(host: HostId) -> LocalRateLimiter {
        LocalRateLimiter { budget: RateBudget::new(host), lent: FastMap::default() }
    }

    /// Lends the host's share to the scheduler of a cell; false if it is still lent to another
    /// one. A host that changes its scheduler lends nothing to the new one until the share it lent
    /// to the old one has expired.
    pub fn lend(&mut self, now_ms: Millis, cell: &Cell, scheduler: &HostId) -> bool {
        let is_lent_elsewhere = self.lent.get(cell).is_some_and(|(to, lent_ms)| {
            to != scheduler && now_ms.since(*lent_ms) < LENT_MS + TRANSIT_MS
        });
        if !is_lent_elsewhere {
            self.lent.insert(cell.clone(), (scheduler.clone(), now_ms));
        }
        !is_lent_elsewhere
    }

    /// Whether one of `hosts` hosts may send a request to an upstream now, given its rate limit
    /// and backoff.
    pub fn may_send(
        &self,
        now_ms: Millis,
        upstreams: &UpstreamSet,
        id: &UpstreamId,
        hosts: u32,
    ) -> bool {
        let allows_request = |limit| {
            let share = self.share(now_ms, upstreams, id, hosts);
            self.budget.allows_request(now_ms, id, limit, share)
        };
        upstreams.remaining_backoff(now_ms, id).is_none()
            && upstreams.fleet_rate(now_ms, id).map(with_most_deducted).is_none_or(allows_request)
    }

    /// Upstreams of a service to which one of `hosts` hosts may not send a request now.
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
        let is_blocked = |id: &&UpstreamId| !self.may_send(now_ms, upstreams, id, hosts);
        upstreams.of_service(service).iter().filter(is_blocked).cloned().collect()
    }

    /// Time until one of `hosts` hosts may send its next request to a service, if every eligible
    /// upstream has a rate limit or asked this host to back off; none if one of them did neither, or
    /// if there is no eligible upstream.
    ///
    /// A host may send its own share of a rate only. While that is lent to a scheduler, which sends
    /// for all, the next request of the fleet counts.
    pub fn next_request_in(
        &self,
        now_ms: Millis,
        upstreams: &UpstreamSet,
        service: &ServiceName,
        hosts: u32,
    ) -> Option<Millis> {
        let of_fleet_ms = upstreams.next_request_in(now_ms, service)?;
        let own_ms = |id: &UpstreamId| {
            let backoff_ms = upstreams.remaining_backoff(now_ms, id);
            let limit = upstreams.fleet_rate(now_ms, id).map(with_most_deducted);
            let share = self.share(now_ms, upstreams, id, hosts);
            let permit_ms = limit.map(|limit| match share > 0.0 {
                true => self.budget.next_request_in(now_ms, id, limit, share),
                false => of_fleet_ms,
            });
            backoff_ms.max(permit_ms)
        };
        let eligible = upstreams.of_service(service).iter();
        eligible.filter(|id| upstreams.accepts_requests(id)).filter_map(own_ms).min()
    }

    /// Deducts a request that is sent.
    pub fn record_sent(
        &mut self,
        now_ms: Millis,
        upstreams: &UpstreamSet,
        id: &UpstreamId,
        hosts: u32,
    ) {
        if let Some(limit) = upstreams.fleet_rate(now_ms, id).map(with_most_deducted) {
            let share = self.share(now_ms, upstreams, id, hosts);
            self.budget.spend(now_ms, id, limit, share);
        }
    }

    /// Drops upstreams that no longer exist, and expired loans.
    pub fn retain(&mut self, now_ms: Millis, is_known: impl Fn(&UpstreamId) -> bool) {
        self.budget.retain(is_known);
        self.lent.retain(|_, (_, lent_ms)| now_ms.since(*lent_ms) < LENT_MS + TRANSIT_MS);
    }

    /// The share of the rate that this host may spend itself: none while it is lent to the
    /// scheduler of a cell that the upstream belongs to.
    fn share(&self, now_ms: Millis, upstreams: &UpstreamSet, id: &UpstreamId, hosts: u32) -> f64 {
        let is_lent = self.lent.iter().any(|(cell, (_, lent_ms))| {
            now_ms.since(*lent_ms) < LENT_MS
                && upstreams.get(id).is_some_and(|state| cell.contains(&state.entry))
        });
        if is_lent { 0.0 } else { 1.0 / f64::from(hosts.max(1)) }
    }
}

/// A host alone sees too few of the requests that the fleet sent before the limit began, so it
/// assumes the most that is deducted.
fn with_most_deducted(limit: FleetRate) -> FleetRate {
    FleetRate { sent_before: limit.sent_before.map(|_| f64::INFINITY), ..limit }
}

/// The shares that hosts lend to the scheduler of a cell.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LentShares {
    /// Share of all hosts that lend to it.
    pub(crate) of_fleet: f64,
    /// Share of the hosts that prefer the cell: all hosts, or those of its availability zone.
    pub(crate) of_cell: f64,
    /// Whether the scheduler is the cell's primary one. Of two hosts that both schedule a cell,
    /// only that one may spend more than it was lent.
    pub(crate) is_primary: bool,
}

impl LentShares {
    /// The share of the rate that may be spent on an upstream; `is_alone` if the upstream has just
    /// shown no requests of others.
    pub(crate) fn spendable(&self, is_alone: bool) -> f64 {
        match (self.is_primary, is_alone) {
            (true, true) => (self.of_cell / FULL_RATE_LENDERS).min(1.0),
            (true, false) => self.of_cell,
            (false, _) => self.of_fleet,
        }
    }
}

/// Hosts that lend a scheduler their shares, by cell.
#[derive(Debug, Default)]
pub(crate) struct Lenders {
    lent_ms: FastMap<Cell, FastMap<Requester, Millis>>,
}

impl Lenders {
    pub(crate) fn record(&mut self, now_ms: Millis, cell: &Cell, requester: Requester) {
        self.lent_ms.entry(cell.clone()).or_default().insert(requester, now_ms);
    }

    /// Number of hosts whose loan hasn't expired.
    pub(crate) fn count(&self, now_ms: Millis, cell: &Cell) -> u32 {
        let is_lent = |at_ms: &&Millis| now_ms.since(**at_ms) < LENT_MS;
        let lenders = self.lent_ms.get(cell);
        lenders.map_or(0, |lenders| lenders.values().filter(is_lent).count() as u32)
    }

    pub(crate) fn expire(&mut self, now_ms: Millis) {
        self.lent_ms.retain(|_, lenders| {
            lenders.retain(|_, at_ms| now_ms.since(*at_ms) < LENT_MS);
            !lenders.is_empty()
        });
    }
}
