//! Which upstreams a host prefers, by rendezvous hashing.
//!
//! Hosts that come or go move few, and an upstream that joins is preferred by some hosts at
//! once. Whoever knows the host's id and availability zone knows what it prefers, so a host
//! that has just started can be told just those.

use crate::Upstream;
use decision_core::{Job, Role};
use domain::{HostId, ZoneName};
use std::cmp::Reverse;

/// How many upstreams of a service a host prefers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PreferredCounts {
    /// Of its own availability zone.
    pub local_zone: usize,
    /// Of all others together.
    pub other_zones: usize,
}

/// What a host prefers of the upstreams of one service, the most preferred first; those of its
/// own availability zone before the rest. What its own zone lacks is made up for by others.
pub fn preferred_upstreams<'u>(
    host: &HostId,
    zone: &ZoneName,
    most: PreferredCounts,
    upstreams: impl Iterator<Item = &'u Upstream>,
) -> Vec<&'u Upstream> {
    let weight =
        |upstream: &Upstream| Job { role: Role::Prober, name: upstream.id.as_str() }.weight(host);
    let (mut near, mut far): (Vec<_>, Vec<_>) = upstreams
        .map(|upstream| (Reverse(weight(upstream)), upstream))
        .partition(|(_, upstream)| upstream.availability_zone == *zone);
    for part in [&mut near, &mut far] {
        part.sort_by(|a, b| (a.0, &a.1.id).cmp(&(b.0, &b.1.id)));
    }
    let most_far = most.other_zones + most.local_zone.saturating_sub(near.len());
    let chosen = near.into_iter().take(most.local_zone).chain(far.into_iter().take(most_far));
    chosen.map(|(_, upstream)| upstream).collect()
}
