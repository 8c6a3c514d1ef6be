//! A scheduler's part of the fleet-wide rate limits of upstreams.

use super::fresh_report::fresh_report;
use super::{Cell, Requester};
use crate::fleet_rate::{Lenders, LentShares, RateBudget};
use crate::subset::FleetSize;
use crate::upstream::UpstreamState;
use crate::upstream_set::UpstreamSet;
use domain::{HostId, Millis, UpstreamId};

/// The part of such limits that this host may spend for the hosts that submit requests to it.
#[derive(Debug)]
pub(super) struct PlacementRates {
    pub(super) budget: RateBudget,
    lenders: Lenders,
    fleet: FleetSize,
}

impl PlacementRates {
    pub(super) fn new(host: HostId) -> PlacementRates {
        let single_host = FleetSize { hosts: 1, hosts_in_zone: 1 };
        PlacementRates {
            budget: RateBudget::new(host),
            lenders: Lenders::default(),
            fleet: single_host,
        }
    }

    pub(super) fn set_fleet(&mut self, fleet: FleetSize) {
        self.fleet = fleet;
    }

    /// Records that a host submitted a request of a cell and lends this host its share.
    pub(super) fn record_lent_share(&mut self, now_ms: Millis, cell: &Cell, requester: Requester) {
        self.lenders.record(now_ms, cell, requester);
    }

    /// Drops shares that are no longer lent, and upstreams without a rate limit.
    pub(super) fn expire(&mut self, now_ms: Millis, upstreams: &UpstreamSet) {
        self.lenders.expire(now_ms);
        self.budget.retain(|id| upstreams.fleet_rate(now_ms, id).is_some());
    }

    /// Records a placement on an upstream, which may have a rate limit.
    pub(super) fn spend(
        &mut self,
        now_ms: Millis,
        id: &UpstreamId,
        lent: LentShares,
        upstreams: &UpstreamSet,
    ) {
        if let (Some(limit), Some(state)) = (upstreams.fleet_rate(now_ms, id), upstreams.get(id)) {
            self.budget.spend(now_ms, id, limit, confirmed_share(state, now_ms, lent));
        }
    }

    /// The shares lent to the scheduler of a cell.
    pub(super) fn lent_shares(&self, now_ms: Millis, cell: &Cell, is_primary: bool) -> LentShares {
        let lenders = f64::from(self.lenders.count(now_ms, cell));
        let share = |of: u32| (lenders / f64::from(of.max(1))).min(1.0);
        let hosts = if cell.zone.is_some() { self.fleet.hosts_in_zone } else { self.fleet.hosts };
        LentShares { of_fleet: share(self.fleet.hosts), of_cell: share(hosts), is_primary }
    }
}

/// Share of the fleet's rate that may be spent on an upstream: more of it if a fresh report shows
/// no requests of other hosts.
pub(super) fn confirmed_share(state: &UpstreamState, now_ms: Millis, lent: LentShares) -> f64 {
    lent.spendable(fresh_report(state, now_ms).is_some() && state.other_requests() < 0.5)
}

/// The same, assuming no requests of other hosts if there is no fresh report.
pub(super) fn optimistic_share(state: &UpstreamState, now_ms: Millis, lent: LentShares) -> f64 {
    lent.spendable(fresh_report(state, now_ms).is_none() || state.other_requests() < 0.5)
}
