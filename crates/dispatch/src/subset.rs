//! Chooses which upstreams a host probes and connects to.
//!
//! With hundreds of hosts and upstreams, a host can't keep connections to all upstreams, and the
//! allowed probes shared by all hosts would leave each host's state outdated. So each host has a
//! subset of a service's upstreams, mostly of its own availability zone, chosen by rendezvous
//! hashing: hosts that join or leave change few subsets, and a new upstream is at once in those of
//! some hosts.

use crate::upstream::UpstreamState;
use domain::{FastMap, FastSet, HostId, UpstreamId, ZoneName};
use published::{Eligibility, PreferredCounts, preferred_upstreams};

/// Up to this many upstreams, a host's subset of a service is all of them.
pub const FULL_SUBSET_MAX: usize = 20;

/// Upstreams of the local zone in a subset: more than one round of probes, so that there is a
/// choice.
pub const LOCAL_ZONE_UPSTREAMS: usize = 8;

/// Upstreams of other zones in a subset, used when the local zone is full. Without them requests
/// queue at full upstreams while those of other zones are idle.
pub const OTHER_ZONE_UPSTREAMS: usize = 4;

/// For an upstream outside its subset a host assumes this many times as many probing hosts, and so
/// probes it rarely.
const OUTSIDE_SUBSET_FACTOR: f64 = 8.0;

/// Number of hosts that probe upstreams.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetSize {
    /// All hosts.
    pub hosts: u32,
    /// Hosts in this host's availability zone.
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
        states: &FastMap<UpstreamId, UpstreamState>,
    ) -> Subset {
        // Evacuated upstreams would take the place of usable ones.
        let is_usable = |state: &&UpstreamState| state.eligibility != Eligibility::ZoneEvacuated;
        let usable = || upstreams.iter().filter_map(|id| states.get(id)).filter(is_usable);
        let entries = || usable().map(|state| &*state.entry);
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

    /// Whether the upstream is in the subset.
    pub fn contains(&self, id: &UpstreamId) -> bool {
        self.members.contains(id)
    }

    /// Approximate number of hosts of this availability zone that probe an upstream there.
    pub fn probing_hosts_in_zone(&self, fleet: FleetSize) -> f64 {
        let local_hosts = f64::from(fleet.hosts_in_zone.max(1));
        let most =
            if self.upstreams <= FULL_SUBSET_MAX { FULL_SUBSET_MAX } else { LOCAL_ZONE_UPSTREAMS };
        local_hosts * (most as f64 / self.upstreams_in_zone.max(1) as f64).min(1.0)
    }

    /// Approximate number of hosts that probe an upstream.
    pub fn probing_hosts(&self, id: &UpstreamId, fleet: FleetSize) -> f64 {
        let hosts = f64::from(fleet.hosts.max(1));
        let local_hosts = f64::from(fleet.hosts_in_zone.clamp(1, fleet.hosts.max(1)));
        let covered_share = |most: usize, of: usize| (most as f64 / of.max(1) as f64).min(1.0);
        let is_full_subset = self.upstreams <= FULL_SUBSET_MAX;
        match self.contains(id) {
            false => hosts * OUTSIDE_SUBSET_FACTOR,
            true if is_full_subset => hosts,
            true => {
                let local_part =
                    local_hosts * covered_share(LOCAL_ZONE_UPSTREAMS, self.upstreams_in_zone);
                // Subsets with few upstreams of the local zone are filled up from the other zones.
                let spare = LOCAL_ZONE_UPSTREAMS.saturating_sub(self.upstreams_in_zone);
                let other_part =
                    hosts * covered_share(OTHER_ZONE_UPSTREAMS + spare, self.upstreams);
                (local_part + other_part).min(hosts)
            }
        }
    }
}
