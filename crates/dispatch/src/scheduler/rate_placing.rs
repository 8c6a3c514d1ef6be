//! What a scheduler may place on upstreams that take a rate from the whole fleet.

use super::freshness::just_told;
use super::{Asker, Cell};
use crate::fleet_rate::{Lenders, LentShares, RateBudget};
use crate::subset::FleetShape;
use crate::upstream::UpstreamState;
use crate::upstream_set::UpstreamSet;
use domain::{HostId, Millis, UpstreamId};

/// What this host may place on such upstreams for the hosts that hand it their requests.
#[derive(Debug)]
pub(super) struct RatePlacing {
    pub(super) budget: RateBudget,
    lenders: Lenders,
    fleet: FleetShape,
}

impl RatePlacing {
    pub(super) fn new(host: HostId) -> RatePlacing {
        let alone = FleetShape { hosts: 1, hosts_in_zone: 1 };
        RatePlacing { budget: RateBudget::new(host), lenders: Lenders::default(), fleet: alone }
    }

    pub(super) fn set_fleet(&mut self, fleet: FleetShape) {
        self.fleet = fleet;
    }

    /// A host hands a request of a cell to this one, and lends it its share.
    pub(super) fn note_lent(&mut self, now_ms: Millis, cell: &Cell, asker: Asker) {
        self.lenders.record(now_ms, cell, asker);
    }

    /// Forgets shares that are no longer lent, and upstreams that take what comes.
    pub(super) fn forget(&mut self, now_ms: Millis, upstreams: &UpstreamSet) {
        self.lenders.forget(now_ms);
        self.budget.retain(|id| upstreams.fleet_rate(now_ms, id).is_some());
    }

    /// A request is placed on an upstream, which may take a rate only.
    pub(super) fn take(
        &mut self,
        now_ms: Millis,
        id: &UpstreamId,
        lent: LentShares,
        upstreams: &UpstreamSet,
    ) {
        if let (Some(limit), Some(known)) = (upstreams.fleet_rate(now_ms, id), upstreams.get(id)) {
            self.budget.spend(now_ms, id, limit, rate_share(known, now_ms, lent));
        }
    }

    /// What is lent to a cell's scheduler, which is the first in order for it or stands in for that one.
    pub(super) fn lent(&self, now_ms: Millis, cell: &Cell, is_first: bool) -> LentShares {
        let lenders = f64::from(self.lenders.count(now_ms, cell));
        let part = |of: u32| (lenders / f64::from(of.max(1))).min(1.0);
        let using = if cell.zone.is_some() { self.fleet.hosts_in_zone } else { self.fleet.hosts };
        LentShares { of_fleet: part(self.fleet.hosts), of_cell: part(using), is_first }
    }
}

/// The part of the fleet's rate that may be spent on an upstream.
pub(super) fn rate_share(known: &UpstreamState, now_ms: Millis, lent: LentShares) -> f64 {
    lent.spendable(just_told(known, now_ms).is_some() && known.other_requests() < 0.5)
}

/// The same, if it turns out to have no requests of others where that was not told just now.
pub(super) fn hoped_share(known: &UpstreamState, now_ms: Millis, lent: LentShares) -> f64 {
    lent.spendable(just_told(known, now_ms).is_none() || known.other_requests() < 0.5)
}
