//! The picture's routing, taken whole or as its difference from the one before.

use super::PublishedState;
use crate::{Change, Entry, Item, Routing, RoutingPatch, StateChange};
use std::sync::Arc;

impl PublishedState {
    /// False if the routing that the patch is for is not held.
    pub(super) fn patch(
        &mut self,
        entry: &Entry<RoutingPatch>,
        state_changes: &mut Vec<StateChange>,
    ) -> bool {
        let patched = match &self.routing {
            Some(held) if held.revision >= entry.revision => return true,
            Some(held) if held.revision == entry.value.base => entry.value.apply(&held.value),
            _ => return false,
        };
        let value = Arc::new(patched);
        self.write_routing(Entry { revision: entry.revision, value }, state_changes);
        self.last_patch = Some(entry.clone());
        true
    }

    /// The same changes with the routing told as its difference from the one held now.
    pub fn with_routing_patches(&self, changes: &[Change]) -> Vec<Change> {
        let mut held = self.routing.clone();
        let patch = |change: &Change| {
            let Change::Written(Entry { revision, value: Item::Routing(routing) }) = change else {
                return change.clone();
            };
            let entry = Entry { revision: *revision, value: Arc::clone(routing) };
            let old = held.replace(entry).filter(|old| old.revision < *revision);
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
            Some(held) if held.revision >= entry.revision => {}
            Some(held) if held.value.version > version => {
                let in_force = held.value.version;
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
