//! What a host needs to serve requests before it has the full snapshot.
//!
//! The routing, the evacuated zones and the upstreams that it prefers fit one datagram, whatever
//! the size of the fleet. Fetching the full snapshot takes much longer over a slow link, both for
//! the new host and for the host that sends it to many.

use super::PublishedState;
use crate::preference::{PreferredCounts, preferred_upstreams};
use crate::{Eligibility, Entry, Item, Revision, Routing, Snapshot, StateChange, Upstream};
use domain::{FastMap, HostId, Millis, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Largest number of upstreams that are sent in one datagram as the complete state: about four
/// kilobytes, the routing included.
const MAX_COMPLETE_UPSTREAMS: usize = 72;

/// Largest number of upstreams in an incomplete bootstrap snapshot: a host that hundreds ask at
/// once can send two of them a millisecond over 20 Mbit/s.
const MAX_PARTIAL_UPSTREAMS: usize = 24;

/// Largest number of routes in a bootstrap snapshot. A larger routing has to be fetched.
const MAX_ROUTES: usize = 40;

/// Largest number of keys of organisations in one, for the same reason: about four kilobytes.
const MAX_KEYS: usize = 200;

/// Upstreams of each service that are sent if they fit: enough to probe three and choose the best,
/// and to use another zone when the local one has no capacity.
const PREFERRED_COUNTS: PreferredCounts = PreferredCounts { local_zone: 5, other_zones: 3 };

/// What a host starts serving with.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BootstrapSnapshot {
    /// Time since the state was last confirmed.
    pub age_ms: Millis,
    /// The revision up to which the state that this is taken from misses no change.
    pub revision: Revision,
    /// The routing, the evacuations and some upstreams; empty if the routing alone is too large.
    pub items: Vec<Entry<Item>>,
    /// Whether `items` is everything that is published.
    pub is_complete: bool,
}

impl BootstrapSnapshot {
    /// The same without items, for a host that has to fetch everything.
    pub fn without_items(&self) -> BootstrapSnapshot {
        BootstrapSnapshot { items: Vec::new(), is_complete: false, ..*self }
    }
}

impl PublishedState {
    /// Returns what a host in a zone starts with; `None` if neither a routing nor a full snapshot
    /// has arrived here yet.
    pub fn bootstrap_for(
        &self,
        now_ms: Millis,
        host: &HostId,
        zone: &ZoneName,
    ) -> Option<BootstrapSnapshot> {
        if !self.can_bootstrap() {
            return None;
        }
        let (age_ms, revision) = (self.age_ms(now_ms).unwrap_or_default(), self.revision);
        let without_items =
            BootstrapSnapshot { age_ms, revision, items: Vec::new(), is_complete: false };
        let routing = self.routing.as_ref();
        if routing.is_some_and(|entry| !fits_datagram(&entry.value)) {
            return Some(without_items);
        }
        let has_few_upstreams =
            self.upstreams.len() <= MAX_COMPLETE_UPSTREAMS && self.lapsed.is_empty();
        let is_complete = has_few_upstreams && self.confirmed_ms.is_some();
        let upstreams = match is_complete {
            true => self.upstreams.values().cloned().collect(),
            false => self.upstreams_preferred_by(host, zone),
        };
        let routing = routing.map(|entry| Entry {
            revision: entry.revision,
            value: Item::Routing(Arc::clone(&entry.value)),
        });
        let upstreams = upstreams.into_iter().map(|entry: Entry<Arc<Upstream>>| Entry {
            revision: entry.revision,
            value: Item::Upstream(entry.value),
        });
        Some(BootstrapSnapshot {
            items: routing
                .into_iter()
                .chain(self.evacuations_in_force())
                .chain(upstreams)
                .collect(),
            is_complete,
            ..without_items
        })
    }

    /// The upstreams of each service that a host prefers, as many as fit.
    fn upstreams_preferred_by(&self, host: &HostId, zone: &ZoneName) -> Vec<Entry<Arc<Upstream>>> {
        let mut services: FastMap<&ServiceName, Vec<&Upstream>> = FastMap::default();
        for entry in self.upstreams.values() {
            if entry.value.eligibility(&self.evacuations) == Eligibility::Eligible {
                services.entry(&entry.value.service).or_default().push(&entry.value);
            }
        }
        let per_service = MAX_PARTIAL_UPSTREAMS / services.len().max(1);
        let counts = PreferredCounts {
            local_zone: PREFERRED_COUNTS.local_zone.min(per_service.div_ceil(2)),
            other_zones: PREFERRED_COUNTS.other_zones.min(per_service / 2),
        };
        let chosen = services
            .into_values()
            .flat_map(|upstreams| preferred_upstreams(host, zone, counts, upstreams.into_iter()));
        chosen
            .take(MAX_PARTIAL_UPSTREAMS)
            .filter_map(|upstream| self.upstreams.get(&upstream.id))
            .cloned()
            .collect()
    }

    /// Merges a bootstrap snapshot, as known at `at_ms`. An incomplete one confirms nothing.
    pub fn apply_bootstrap(
        &mut self,
        at_ms: Millis,
        bootstrap: BootstrapSnapshot,
    ) -> Vec<StateChange> {
        let BootstrapSnapshot { revision, items, is_complete, .. } = bootstrap;
        if is_complete {
            return self
                .apply_snapshot(at_ms, Snapshot { revision, items, overwritten: Vec::new() });
        }
        self.apply_items(items)
    }

    /// Merges a part of what is published.
    pub fn apply_items(&mut self, items: Vec<Entry<Item>>) -> Vec<StateChange> {
        let mut state_changes = Vec::new();
        for entry in items {
            self.write(entry, &mut state_changes);
        }
        state_changes
    }

    /// Whether other hosts can be given a bootstrap snapshot from this state.
    pub fn can_bootstrap(&self) -> bool {
        self.routing.is_some() || self.confirmed_ms.is_some()
    }

    /// Whether there is a routing to serve with, but no full snapshot yet.
    pub fn is_partial(&self) -> bool {
        self.routing.is_some() && self.confirmed_ms.is_none()
    }
}

fn fits_datagram(routing: &Routing) -> bool {
    let organisations = routing.organisations.iter().flatten();
    let keys: usize = organisations.map(|organisation| organisation.keys.len()).sum();
    routing.routes.len() <= MAX_ROUTES && keys <= MAX_KEYS
}
