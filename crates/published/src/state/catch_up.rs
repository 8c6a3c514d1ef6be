//! Finds what a peer lacks of this host's state.
//!
//! A host that missed changes fetches them from a peer. It sends the revisions that it has, so that
//! the peer need not send a full snapshot, which would be costly between availability zones.

use super::PublishedState;
use crate::{Change, Entry, Item, Revision, Routing, Snapshot};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The revisions that a host has, sent to a peer to fetch what is newer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownRevisions {
    /// The revision up to which no change is missing.
    pub revision: Revision,
    /// The revision of the routing in force.
    pub routing: Option<Revision>,
}

impl KnownRevisions {
    /// The same, requesting all upstreams and evacuations again.
    pub fn without_upstreams(self) -> KnownRevisions {
        KnownRevisions { revision: Revision(0), ..self }
    }
}

/// What a peer sends to a host that lacks something.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CatchUp {
    /// All changes after `after`, up to `revision`.
    Changes {
        /// The revision that the host had.
        after: Revision,
        /// The revision that the peer has.
        revision: Revision,
        /// The changes, in no particular order.
        changes: Vec<Change>,
    },
    /// A full snapshot, without the routing if the host has it.
    Snapshot(Snapshot),
}

impl CatchUp {
    /// The revision that the peer has.
    pub fn revision(&self) -> Revision {
        match self {
            CatchUp::Changes { revision, .. } => *revision,
            CatchUp::Snapshot(snapshot) => snapshot.revision,
        }
    }
}

impl PublishedState {
    /// The revisions of this state.
    pub fn known_revisions(&self) -> KnownRevisions {
        let routing = self.routing.as_ref().map(|entry| entry.revision);
        KnownRevisions { revision: self.revision, routing }
    }

    /// Returns what a peer with the given revisions lacks.
    pub fn catch_up(&self, known: KnownRevisions) -> CatchUp {
        match known.revision < self.removals_since {
            true => CatchUp::Snapshot(self.snapshot_without(known.routing)),
            false => CatchUp::Changes {
                after: known.revision,
                revision: self.revision,
                changes: self.changes_since(known),
            },
        }
    }

    fn snapshot_without(&self, routing: Option<Revision>) -> Snapshot {
        let mut snapshot = self.snapshot();
        let is_known = |entry: &Entry<Item>| {
            matches!(entry.value, Item::Routing(_)) && routing >= Some(entry.revision)
        };
        snapshot.items.retain(|entry| !is_known(entry));
        snapshot
    }

    fn changes_since(&self, known: KnownRevisions) -> Vec<Change> {
        let is_newer = |revision: Revision| revision > known.revision;
        let written = self.upstreams.values().filter(|entry| is_newer(entry.revision));
        let written = written.map(|entry| {
            let value = Item::Upstream(Arc::clone(&entry.value));
            Change::Written(Entry { revision: entry.revision, value })
        });
        let removed = self.removed.iter().map(|(id, tombstone)| tombstone.removal(id));
        // The peer applies a grace period of its own to a lapsed entry.
        let lapsed = self.lapsed.iter().map(|(id, lapsed)| lapsed.removal(id));
        let removed = removed.chain(lapsed).filter(|removal| is_newer(removal.revision));
        let removed = removed.map(Change::Removed);
        let evacuated = self.evacuations_in_force().filter(|entry| is_newer(entry.revision));
        let ended = self.evacuations.ended().filter(|end| is_newer(end.revision));
        let evacuations = evacuated.map(Change::Written).chain(ended.map(Change::EvacuationEnded));
        let routing = self.routing.as_ref().filter(|entry| known.routing < Some(entry.revision));
        let routing = routing.map(|entry| self.routing_since(entry, known.routing));
        routing.into_iter().chain(evacuations).chain(written).chain(removed).collect()
    }

    /// The routing, as a patch if the peer has the patch's base.
    fn routing_since(&self, entry: &Entry<Arc<Routing>>, known: Option<Revision>) -> Change {
        let is_last = |patch: &&Entry<crate::RoutingPatch>| {
            patch.revision == entry.revision && Some(patch.value.base) == known
        };
        match self.last_patch.as_ref().filter(is_last) {
            Some(patch) => Change::Patched(patch.clone()),
            None => Change::Written(Entry {
                revision: entry.revision,
                value: Item::Routing(Arc::clone(&entry.value)),
            }),
        }
    }
}
