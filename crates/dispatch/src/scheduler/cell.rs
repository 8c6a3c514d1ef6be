//! What is scheduled by one host.

use crate::subset::ALL;
use crate::upstream_set::UpstreamSet;
use domain::{ServiceName, ZoneName};
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
    /// The cell of a request of a host in an availability zone.
    pub fn of(service: &ServiceName, zone: &ZoneName, upstreams: &UpstreamSet) -> Cell {
        let is_divided =
            upstreams.of_service(service).len() > ALL && upstreams.zones_of(service).contains(zone);
        Cell { service: service.clone(), zone: is_divided.then(|| zone.clone()) }
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
