//! The unit of scheduling.

use crate::subset::FULL_SUBSET_MAX;
use crate::upstream_set::UpstreamSet;
use domain::{ServiceName, ZoneName};
use published::Upstream;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A service, or its upstreams in one availability zone.
///
/// A small service is one cell: the more upstreams share a queue, the less a slow one matters. A
/// larger one is split by zone, to bound the requests that one host schedules.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Cell {
    /// Service.
    pub service: ServiceName,
    /// Availability zone of its upstreams; `None` for the whole service.
    pub zone: Option<ZoneName>,
}

impl Cell {
    /// Cell for a request of a host in this zone. If no upstream accepts requests there, it is the
    /// cell of another zone, so that each upstream has one scheduler.
    pub fn for_request(
        service: &ServiceName,
        zone: &ZoneName,
        upstreams: &UpstreamSet,
        rng: &mut Pcg64Mcg,
    ) -> Cell {
        let is_split_by_zone = upstreams.of_service(service).len() > FULL_SUBSET_MAX;
        let zone = match is_split_by_zone {
            false => None,
            true if upstreams.accepts_requests_in(service, zone) => Some(zone.clone()),
            true => upstreams.draw_other_zone(service, zone, rng),
        };
        Cell { service: service.clone(), zone }
    }

    /// Whether an upstream belongs to the cell.
    pub fn contains(&self, entry: &Upstream) -> bool {
        let is_in_zone = self.zone.as_ref().is_none_or(|zone| *zone == entry.availability_zone);
        self.service == entry.service && is_in_zone
    }
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.zone {
            Some(zone) => write!(f, "{}/{zone}", self.service),
            None => write!(f, "{}", self.service),
        }
    }
}
