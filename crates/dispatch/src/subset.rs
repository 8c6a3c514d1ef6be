//! Which upstreams a host asks and connects to.
//!
//! Where hundreds of hosts face hundreds of upstreams, not each host can keep connections
//! to each upstream, and health checks that are shared out over all hosts are worth nothing
//! to any. So each host has a subset of a service's upstreams, those of its own
//! availability zone first, chosen by rendezvous hashing: hosts that come or go move few,
//! and an upstream that joins is in the subsets of some hosts at once.

use crate::upstream::UpstreamState;
use domain::{FastMap, FastSet, HostId, UpstreamId, ZoneName};
use published::{Eligibility, PreferredCounts, preferred_upstreams};

/// Up to so many upstreams of a service, a host's subset is all of them.
pub const FULL_SUBSET_MAX: usize = 20;

/// Upstreams of its own availability zone in a host's subset of a service. Three are asked
/// at a time, so there have to be some more to choose from; each costs two connections.
pub const LOCAL_ZONE_UPSTREAMS: usize = 8;

/// Upstreams of other zones in it, for what the own zone has no room for. Without them
/// requests queued at full upstreams while other zones' were idle: 0.80 of the credit.
pub const OTHER_ZONE_UPSTREAMS: usize = 4;

/// How many times as many hosts as there are share what is asked outside of subsets.
const OUTSIDE: f64 = 8.0;

/// Hosts that share an upstream's health checks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetSize {
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
        known: &FastMap<UpstreamId, UpstreamState>,
    ) -> Subset {
        // What is evacuated would take the place of what can be used.
        let is_usable = |known: &&UpstreamState| known.eligibility != Eligibility::ZoneEvacuated;
        let usable = || upstreams.iter().filter_map(|id| known.get(id)).filter(is_usable);
        let entries = || usable().map(|known| &*known.entry);
        let usable_upstreams = usable().count();
        let upstreams_in_zone = entries().filter(|entry| entry.availability_zone == *zone).count();
        let most = match usable_upstreams <= FULL_SUBSET_MAX {
            true => PreferredCounts { local_zone: FULL_SUBSET_MAX, other_zones: FULL_SUBSET_MAX },
            false => PreferredCounts {
                local_zone: LOCAL_ZONE_UPSTREAMS,
                other_zones: OTHER_ZONE_UPSTREAMS,
            },
        };
        let chosen = preferred_upstreams(host, zone, most, entries());
        let members = chosen.into_iter().map(|entry| entry.id.clone()).collect();
        Subset { members, upstreams: usable_upstreams, upstreams_in_zone }
    }

    /// Whether the host asks this one by preference.
    pub fn contains(&self, id: &UpstreamId) -> bool {
        self.members.contains(id)
    }

    /// About how many hosts of its own availability zone share those of an upstream there.
    pub fn probing_hosts_in_zone(&self, fleet: FleetSize) -> f64 {
        let near = f64::from(fleet.hosts_in_zone.max(1));
        let most =
            if self.upstreams <= FULL_SUBSET_MAX { FULL_SUBSET_MAX } else { LOCAL_ZONE_UPSTREAMS };
        near * (most as f64 / self.upstreams_in_zone.max(1) as f64).min(1.0)
    }

    /// About how many hosts share the health checks of an upstream.
    pub fn probing_hosts(&self, id: &UpstreamId, fleet: FleetSize) -> f64 {
        let hosts = f64::from(fleet.hosts.max(1));
        let near = f64::from(fleet.hosts_in_zone.clamp(1, fleet.hosts.max(1)));
        let part = |most: usize, of: usize| (most as f64 / of.max(1) as f64).min(1.0);
        let is_all = self.upstreams <= FULL_SUBSET_MAX;
        match self.contains(id) {
            false => hosts * OUTSIDE,
            true if is_all => hosts,
            true => {
                let near_part = near * part(LOCAL_ZONE_UPSTREAMS, self.upstreams_in_zone);
                // Zones whose own upstreams are few fill up from all others.
                let spare = LOCAL_ZONE_UPSTREAMS.saturating_sub(self.upstreams_in_zone);
                let far_part = hosts * part(OTHER_ZONE_UPSTREAMS + spare, self.upstreams);
                (near_part + far_part).min(hosts)
            }
        }
    }
}
