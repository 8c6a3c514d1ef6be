//! The published routing, replaced as a whole or by a patch.

use super::PublishedState;
use crate::{Change, Entry, Item, Routing, RoutingPatch, StateChange};
use std::sync::Arc;

impl PublishedState {
    /// Returns false if the patch's base is not the routing in force.
    pub(super) fn patch(
        &mut self,
        entry: &Entry<RoutingPatch>,
        state_changes: &mut Vec<StateChange>,
    ) -> bool {
        let patched = match &self.routing {
            Some(current) if current.revision >= entry.revision => return true,
            Some(current) if current.revision == entry.value.base => {
                entry.value.apply(&current.value)
            }
            _ => return false,
        };
        let value = Arc::new(patched);
        self.write_routing(Entry { revision: entry.revision, value }, state_changes);
        self.last_patch = Some(entry.clone());
        true
    }

    /// Replaces each routing in `changes` by a patch of the one before it, where that is possible.
    pub fn with_routing_patches(&self, changes: &[Change]) -> Vec<Change> {
        let mut current = self.routing.clone();
        let patch = |change: &Change| {
            let Change::Written(Entry { revision, value: Item::Routing(routing) }) = change else {
                return change.clone();
            };
            let entry = Entry { revision: *revision, value: Arc::clone(routing) };
            let old = current.replace(entry).filter(|old| old.revision < *revision);
            let value =
                old.and_then(|old| RoutingPatch::between(old.revision, &old.value, routing));
            match value {
                Some(value) => Change::Patched(Entry { revision: *revision, value }),
                None => change.clone(),
            }
        };
        changes.iter().map(patch).collect()
    }

    pub(super) fn write_routing(
        &mut self,
        entry: Entry<Arc<Routing>>,
        state_changes: &mut Vec<StateChange>,
    ) {
        let version = entry.value.version;
        match &self.routing {
            Some(current) if current.revision >= entry.revision => {}
            Some(current) if current.value.version > version => {
                let in_force = current.value.version;
                state_changes.push(StateChange::RoutingRefused { version, in_force });
            }
            _ => {
                state_changes
                    .push(StateChange::RoutingInForce { version, revision: entry.revision });
                self.routing = Some(entry);
            }
        }
    }
}
