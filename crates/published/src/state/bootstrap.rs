//! What a host needs to serve before it holds the whole picture.
//!
//! The routing, the zones that are evacuated and the upstreams that it prefers fit one datagram,
//! whatever the size of the fleet. A host of a tenth of a core behind 20 Mbit/s serves 20 ms after
//! it is told them; for the whole picture of a thousand upstreams it needs some hundred
//! milliseconds, and the host that tells it as long again for each host that asks.

use super::PublishedState;
use crate::preference::{PreferredCounts, preferred_upstreams};
use crate::{Eligibility, Entry, Item, Revision, Snapshot, StateChange, Upstream};
use domain::{FastMap, HostId, Millis, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Most upstreams of a picture that is told whole in a datagram: four kilobytes, with the routing
/// well within it.
const MOST_TOLD_WHOLE: usize = 72;

/// Most upstreams of a first picture that is not whole: a host that hundreds ask at the same time
/// sends two of them a millisecond over 20 Mbit/s.
const MOST_UPSTREAMS: usize = 24;

/// Most routes of a routing that is told in a first picture. A larger one has to be fetched.
const MOST_ROUTES: usize = 40;

/// What a host prefers of each service, as long as that fits: to ask three and send to the best,
/// and to go elsewhere when its own availability zone has no room.
const PREFERRED: PreferredCounts = PreferredCounts { local_zone: 5, other_zones: 3 };

/// What a host begins to serve with.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BootstrapSnapshot {
    /// Age of the reading.
    pub age_ms: Millis,
    /// No change up to here is missing from the whole picture that this is taken from.
    pub revision: Revision,
    /// The routing, the evacuations and some upstreams; nothing if the routing alone is too large.
    pub items: Vec<Entry<Item>>,
    /// Whether that is the whole picture.
    pub is_complete: bool,
}

impl BootstrapSnapshot {
    /// The same for a host that has to fetch everything.
    pub fn without_items(&self) -> BootstrapSnapshot {
        BootstrapSnapshot { items: Vec::new(), is_complete: false, ..*self }
    }
}

impl PublishedState {
    /// What a host of an availability zone begins with; none before a routing is held here, or it
    /// is known that none is published yet.
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
        let none = BootstrapSnapshot { age_ms, revision, items: Vec::new(), is_complete: false };
        let routing = self.routing.as_ref();
        if routing.is_some_and(|entry| entry.value.routes.len() > MOST_ROUTES) {
            return Some(none);
        }
        let is_small = self.upstreams.len() <= MOST_TOLD_WHOLE && self.lapsed.is_empty();
        let is_complete = is_small && self.confirmed_ms.is_some();
        let upstreams = match is_complete {
            true => self.upstreams.values().cloned().collect(),
            false => self.preferred_by(host, zone),
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
            ..none
        })
    }

    /// Upstreams of each service that a host prefers, as many as fit.
    fn preferred_by(&self, host: &HostId, zone: &ZoneName) -> Vec<Entry<Arc<Upstream>>> {
        let mut services: FastMap<&ServiceName, Vec<&Upstream>> = FastMap::default();
        for entry in self.upstreams.values() {
            if entry.value.eligibility(&self.evacuations) == Eligibility::Eligible {
                services.entry(&entry.value.service).or_default().push(&entry.value);
            }
        }
        let each = MOST_UPSTREAMS / services.len().max(1);
        let most = PreferredCounts {
            local_zone: PREFERRED.local_zone.min(each.div_ceil(2)),
            other_zones: PREFERRED.other_zones.min(each / 2),
        };
        let chosen = services
            .into_values()
            .flat_map(|upstreams| preferred_upstreams(host, zone, most, upstreams.into_iter()));
        chosen
            .take(MOST_UPSTREAMS)
            .filter_map(|upstream| self.upstreams.get(&upstream.id))
            .cloned()
            .collect()
    }

    /// Takes a first picture, known at `at_ms`. One that is not whole confirms nothing.
    pub fn apply_bootstrap(&mut self, at_ms: Millis, first: BootstrapSnapshot) -> Vec<StateChange> {
        let BootstrapSnapshot { revision, items, is_complete, .. } = first;
        if is_complete {
            return self
                .apply_snapshot(at_ms, Snapshot { revision, items, overwritten: Vec::new() });
        }
        self.apply_items(items)
    }

    /// Takes a part of what is published, to begin with.
    pub fn apply_items(&mut self, items: Vec<Entry<Item>>) -> Vec<StateChange> {
        let mut state_changes = Vec::new();
        for entry in items {
            self.write(entry, &mut state_changes);
        }
        state_changes
    }

    /// Whether others can begin with what is held.
    pub fn can_bootstrap(&self) -> bool {
        self.routing.is_some() || self.confirmed_ms.is_some()
    }

    /// Whether requests can be served with what is held, though it is not the whole picture.
    pub fn is_partial(&self) -> bool {
        self.routing.is_some() && self.confirmed_ms.is_none()
    }
}
