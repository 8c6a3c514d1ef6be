//! What a scheduler may send to cold upstreams.

use super::freshness::just_told;
use super::{Asker, Cell};
use crate::cold::{ColdBudget, Lenders, spendable};
use crate::subset::FleetShape;
use crate::upstream::Known;
use crate::upstream_set::UpstreamSet;
use domain::{HostId, Millis, UpstreamId};

/// What this host may send to cold upstreams for the hosts that hand it their requests.
#[derive(Debug)]
pub(super) struct ColdPlacing {
    pub(super) budget: ColdBudget,
    lenders: Lenders,
    fleet: FleetShape,
}

impl ColdPlacing {
    pub(super) fn new(host: HostId) -> ColdPlacing {
        let alone = FleetShape { hosts: 1, hosts_in_zone: 1 };
        ColdPlacing { budget: ColdBudget::new(host), lenders: Lenders::default(), fleet: alone }
    }

    pub(super) fn set_fleet(&mut self, fleet: FleetShape) {
        self.fleet = fleet;
    }

    /// A host hands its requests to this one, and lends it its share.
    pub(super) fn note_heard(&mut self, now_ms: Millis, asker: Asker) {
        self.lenders.note(now_ms, asker);
    }

    /// Forgets shares that are no longer lent, and upstreams that are warm.
    pub(super) fn forget(&mut self, now_ms: Millis, upstreams: &UpstreamSet) {
        self.lenders.forget(now_ms);
        self.budget.retain(|id| upstreams.cold_limit(now_ms, id).is_some());
    }

    /// A request is placed on an upstream, which may be cold.
    pub(super) fn take(
        &mut self,
        now_ms: Millis,
        id: &UpstreamId,
        lent: f64,
        upstreams: &UpstreamSet,
    ) {
        if let (Some(limit), Some(known)) = (upstreams.cold_limit(now_ms, id), upstreams.get(id)) {
            self.budget.take(now_ms, id, limit, cold_share(known, now_ms, lent));
        }
    }

    /// The part of the fleet's rate that is lent to a cell's scheduler.
    pub(super) fn lent(&self, now_ms: Millis, cell: &Cell) -> f64 {
        let hosts = if cell.zone.is_some() { self.fleet.hosts_in_zone } else { self.fleet.hosts };
        self.lenders.share(now_ms, hosts)
    }
}

/// The part of the fleet's rate that may be spent on a cold upstream.
pub(super) fn cold_share(known: &Known, now_ms: Millis, lent: f64) -> f64 {
    spendable(lent, just_told(known, now_ms).is_some() && known.others() < 0.5)
}

/// The same, if it turns out to have no requests of others where that was not told just now.
pub(super) fn hoped_share(known: &Known, now_ms: Millis, lent: f64) -> f64 {
    spendable(lent, just_told(known, now_ms).is_none() || known.others() < 0.5)
}
