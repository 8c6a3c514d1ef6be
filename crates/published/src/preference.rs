//! Selects the upstreams that a host prefers, by rendezvous hashing.
//!
//! When hosts come or go, few preferences change, and an upstream that joins is preferred by some
//! hosts at once. The selection depends only on the host's id and availability zone, so that a peer
//! can send a host that has just started what it prefers.

use crate::Upstream;
use decision_core::{Job, Role};
use domain::{HostId, ZoneName};
use std::cmp::Reverse;

/// Numbers of upstreams of a service that a host prefers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PreferredCounts {
    /// Upstreams of the local zone.
    pub local_zone: usize,
    /// Upstreams of all other zones together.
    pub other_zones: usize,
}

/// The upstreams of one service that a host prefers, local ones first, each part in order of
/// preference. Where the local zone has too few, other zones make up for them.
pub fn preferred_upstreams<'u>(
    host: &HostId,
    zone: &ZoneName,
    counts: PreferredCounts,
    upstreams: impl Iterator<Item = &'u Upstream>,
) -> Vec<&'u Upstream> {
    let weight =
        |upstream: &Upstream| Job { role: Role::Prober, name: upstream.id.as_str() }.weight(host);
    let (mut local, mut remote): (Vec<_>, Vec<_>) = upstreams
        .map(|upstream| (Reverse(weight(upstream)), upstream))
        .partition(|(_, upstream)| upstream.availability_zone == *zone);
    for part in [&mut local, &mut remote] {
        part.sort_by(|a, b| (a.0, &a.1.id).cmp(&(b.0, &b.1.id)));
    }
    let remote_count = counts.other_zones + counts.local_zone.saturating_sub(local.len());
    let chosen =
        local.into_iter().take(counts.local_zone).chain(remote.into_iter().take(remote_count));
    chosen.map(|(_, upstream)| upstream).collect()
}
