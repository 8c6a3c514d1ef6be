//! What is scheduled by one host.

use crate::subset::ALL;
use crate::upstream_set::UpstreamSet;
use domain::{ServiceName, ZoneName};
use published::Upstream;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A service as a whole, or its upstreams in one availability zone.
///
/// A service of up to twenty upstreams is one cell: the more upstreams share a queue, the
/// less it matters which of them is slowed. Larger ones are divided, so that no host has to
/// hear of more than some hundred requests a second.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Cell {
    /// The service.
    pub service: ServiceName,
    /// Whose upstreams; none for all of the service.
    pub zone: Option<ZoneName>,
}

impl Cell {
    /// The cell of a request of a host in an availability zone. Where no upstream takes work
    /// there, it is that of another zone: each upstream has one scheduler.
    pub fn of(
        service: &ServiceName,
        zone: &ZoneName,
        upstreams: &UpstreamSet,
        rng: &mut Pcg64Mcg,
    ) -> Cell {
        let is_divided = upstreams.of_service(service).len() > ALL;
        let zone = match is_divided {
            false => None,
            true if upstreams.accepts_requests_in(service, zone) => Some(zone.clone()),
            true => upstreams.draw_other_zone(service, zone, rng),
        };
        Cell { service: service.clone(), zone }
    }

    /// Whether an upstream is of the cell.
    pub fn holds(&self, entry: &Upstream) -> bool {
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
