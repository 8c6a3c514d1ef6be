//! Evacuated zones of the published state.

use super::PublishedState;
use crate::{Entry, EvacuationEnd, Evacuations, Item, Revision, Snapshot, StateChange, Upstream};
use domain::{FastSet, Millis, ZoneName};
use std::sync::Arc;

impl PublishedState {
    /// The evacuated availability zones.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Number of upstreams in an availability zone.
    pub fn upstreams_in(&self, zone: &ZoneName) -> usize {
        let is_there = |entry: &&Entry<Arc<Upstream>>| entry.value.availability_zone == *zone;
        self.upstreams.values().filter(is_there).count()
    }

    /// The evacuations in force, as published values.
    pub(super) fn evacuations_in_force(&self) -> impl Iterator<Item = Entry<Item>> {
        let entry = |(zone, revision): (&ZoneName, Revision)| Entry {
            revision,
            value: Item::Evacuation(zone.clone()),
        };
        self.evacuations.in_force().map(entry)
    }

    /// The evacuations in force that a snapshot no longer contains.
    pub(super) fn evacuations_missing_from(&self, snapshot: &Snapshot) -> Vec<ZoneName> {
        let zone = |entry: &'_ Entry<Item>| match &entry.value {
            Item::Evacuation(zone) => Some(zone.clone()),
            Item::Routing(_) | Item::Upstream(_) => None,
        };
        let listed: FastSet<ZoneName> = snapshot.items.iter().filter_map(zone).collect();
        let in_force = self.evacuations.in_force();
        let missing = in_force
            .filter(|(zone, revision)| *revision <= snapshot.revision && !listed.contains(*zone));
        missing.map(|(zone, _)| zone.clone()).collect()
    }

    pub(super) fn end_evacuation(
        &mut self,
        now_ms: Millis,
        end: EvacuationEnd,
        state_changes: &mut Vec<StateChange>,
    ) {
        if self.evacuations.end(now_ms, end.clone()) {
            let EvacuationEnd { zone, revision } = end;
            state_changes.push(StateChange::ZoneRestored { zone, revision });
        }
    }
}
