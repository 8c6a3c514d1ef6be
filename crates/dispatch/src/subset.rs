//! Which upstreams a host asks and connects to.
//!
//! Where hundreds of hosts face hundreds of upstreams, not each host can keep connections
//! to each upstream, and health checks that are shared out over all hosts are worth nothing
//! to any. So each host has a subset of a service's upstreams, those of its own
//! availability zone first, chosen by rendezvous hashing: hosts that come or go move few,
//! and an upstream that joins is in the subsets of some hosts at once.

use crate::upstream::Known;
use decision_core::{Job, Role};
use domain::{FastMap, FastSet, HostId, UpstreamId, ZoneName};

/// Upstreams of one service in a host's subset. Three are asked at a time, so there have to
/// be some more to choose from; each costs two connections.
pub const SUBSET: usize = 10;

/// How many times as many hosts as there are share what is asked outside of subsets.
const OUTSIDE: f64 = 8.0;

/// Hosts that share an upstream's health checks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetShape {
    /// All hosts.
    pub hosts: u32,
    /// Those in this host's availability zone.
    pub hosts_in_zone: u32,
}

/// A host's subset of one service.
#[derive(Debug, Default)]
pub struct Subset {
    members: FastSet<UpstreamId>,
    upstreams: usize,
    upstreams_in_zone: usize,
}

impl Subset {
    /// Chooses the subset of a host.
    pub fn choose(
        host: &HostId,
        zone: &ZoneName,
        upstreams: &[UpstreamId],
        known: &FastMap<UpstreamId, Known>,
    ) -> Subset {
        let is_near =
            |id: &UpstreamId| known.get(id).is_some_and(|k| k.entry.availability_zone == *zone);
        let upstreams_in_zone = upstreams.iter().filter(|id| is_near(id)).count();
        let weight = |id: &UpstreamId| Job { role: Role::Prober, name: id.as_str() }.weight(host);
        let mut ranked: Vec<&UpstreamId> = upstreams.iter().collect();
        ranked.sort_by_cached_key(|id| (!is_near(id), std::cmp::Reverse(weight(id))));
        let members = ranked.into_iter().take(SUBSET).cloned().collect();
        Subset { members, upstreams: upstreams.len(), upstreams_in_zone }
    }

    /// Whether the host asks this one by preference.
    pub fn contains(&self, id: &UpstreamId) -> bool {
        self.members.contains(id)
    }

    /// About how many hosts share the health checks of an upstream.
    pub fn sharing_hosts(&self, id: &UpstreamId, fleet: FleetShape) -> f64 {
        let hosts = f64::from(fleet.hosts.max(1));
        let near = f64::from(fleet.hosts_in_zone.clamp(1, fleet.hosts.max(1)));
        let part = |upstreams: usize| (SUBSET as f64 / upstreams.max(1) as f64).min(1.0);
        match self.contains(id) {
            false => hosts * OUTSIDE,
            true if self.upstreams <= SUBSET => hosts,
            true if self.upstreams_in_zone >= SUBSET => near * part(self.upstreams_in_zone),
            // The zones of the others are as small: they fill their subsets from here.
            true => (near + hosts * part(self.upstreams)).min(hosts),
        }
    }
}
