//! The picture: what this process believes to be published.
//!
//! It is fed whole readings and changes, by its own reader or by peers, in any order and
//! more than once. Each key moves forward by its own revision only. A removal is final
//! at once in calm times; one that is seen just after the source came back from an
//! outage waits for [`REREGISTRATION_GRACE_MS`], since entries lapse while instances can't renew
//! them.

mod bootstrap;
mod catch_up;
mod entries;
mod evacuated;
mod routing;

pub use bootstrap::BootstrapSnapshot;
pub use catch_up::{CatchUp, KnownRevisions};
use entries::{Lapsed, TOMBSTONE_MS, Tombstone};

use crate::{
    Change, Entry, EvacuationEnd, Evacuations, Item, Removal, RemovalCause, Revision, Routing,
    RoutingPatch, Snapshot, StateChange, Upstream,
};
use domain::{FastMap, FastSet, Millis, UpstreamId};
use std::sync::Arc;

/// Without a confirmed reading for so long, entries may have lapsed at the source: they do
/// after three heartbeat intervals of 1.5 s, of which one may have passed before.
pub const SOURCE_OUTAGE_MS: Millis = Millis(2_200);

/// Entries that lapsed are registered anew within this time of the source's return: two
/// seconds by the platform's word, and a tenth for the way.
pub const REREGISTRATION_GRACE_MS: Millis = Millis(2_200);

/// What is believed to be published.
#[derive(Debug, Default)]
pub struct PublishedState {
    routing: Option<Entry<Arc<Routing>>>,
    evacuations: Evacuations,
    upstreams: FastMap<UpstreamId, Entry<Arc<Upstream>>>,
    removed: FastMap<UpstreamId, Tombstone>,
    lapsed: FastMap<UpstreamId, Lapsed>,
    revision: Revision,
    confirmed_ms: Option<Millis>,
    returned_ms: Option<Millis>,
    /// The difference that made the routing in force, if it came as one.
    last_patch: Option<Entry<RoutingPatch>>,
    /// Every removal after this is among the tombstones.
    removals_since: Revision,
}

impl PublishedState {
    /// The routing in force.
    pub fn routing(&self) -> Option<&Entry<Arc<Routing>>> {
        self.routing.as_ref()
    }

    /// An upstream's entry.
    pub fn upstream(&self, id: &UpstreamId) -> Option<&Entry<Arc<Upstream>>> {
        self.upstreams.get(id)
    }

    /// All entries.
    pub fn upstreams(&self) -> impl Iterator<Item = &Entry<Arc<Upstream>>> {
        self.upstreams.values()
    }

    /// No change up to here is missing.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Last time at which nothing newer than [`PublishedState::revision`] was published.
    pub fn confirmed_ms(&self) -> Option<Millis> {
        self.confirmed_ms
    }

    /// Age of the belief; none before the first reading.
    pub fn age_ms(&self, now_ms: Millis) -> Option<Millis> {
        self.confirmed_ms.map(|at_ms| now_ms.since(at_ms))
    }

    /// Equal for equal sets of entries and routing: finds what a revision alone can't tell.
    ///
    /// What lapsed is not published, so it doesn't count: hosts give it up at different moments.
    pub fn digest(&self) -> u64 {
        let routing = self.routing.as_ref().map_or(0, |entry| entry.revision.0);
        let upstreams = self.present().map(|entry| entry.revision);
        let evacuations = self.evacuations.in_force().map(|(_, revision)| revision);
        let mix = |sum: u64, revision: Revision| {
            sum.wrapping_add(revision.0.wrapping_mul(0x9e37_79b9_7f4a_7c15))
        };
        upstreams.chain(evacuations).fold(routing, mix)
    }

    /// All entries but those that lapsed.
    fn present(&self) -> impl Iterator<Item = &Entry<Arc<Upstream>>> {
        self.upstreams.values().filter(|entry| !self.lapsed.contains_key(&entry.value.id))
    }

    /// Everything, for a peer. What lapsed is left out: a peer that holds it waits for its
    /// return by itself, one that doesn't would wait for ever.
    pub fn snapshot(&self) -> Snapshot {
        let upstreams = self.present().map(|entry| Entry {
            revision: entry.revision,
            value: Item::Upstream(Arc::clone(&entry.value)),
        });
        let routing = self.routing.iter().map(|entry| Entry {
            revision: entry.revision,
            value: Item::Routing(Arc::clone(&entry.value)),
        });
        let evacuations = self.evacuations_in_force();
        let is_overwritten = |tombstone: &Tombstone| tombstone.cause == RemovalCause::Overwritten;
        let overwritten = self.removed.iter().filter(|(_, tombstone)| is_overwritten(tombstone));
        let overwritten = overwritten.map(|(id, tombstone)| tombstone.removal(id)).collect();
        let items = routing.chain(evacuations).chain(upstreams).collect();
        Snapshot { revision: self.revision, items, overwritten }
    }

    /// Notes that at `at_ms` nothing newer than `revision` was published.
    ///
    /// Only a picture that holds all up to `revision` is confirmed by it.
    pub fn confirm(&mut self, at_ms: Millis, revision: Revision) {
        if revision > self.revision {
            return;
        }
        self.note_return(at_ms);
        self.confirmed_ms = self.confirmed_ms.max(Some(at_ms));
    }

    /// Takes a whole reading, made at `at_ms`.
    pub fn apply_snapshot(&mut self, at_ms: Millis, whole: Snapshot) -> Vec<StateChange> {
        self.note_return(at_ms);
        let mut state_changes = Vec::new();
        let is_newest = whole.revision >= self.revision;
        if self.confirmed_ms.is_none() {
            self.removals_since = whole.revision;
        }
        for removal in &whole.overwritten {
            self.remove(at_ms, removal.clone(), &mut state_changes);
        }
        let missing = if is_newest { self.missing_from(&whole) } else { Vec::new() };
        let ended = if is_newest { self.evacuations_missing_from(&whole) } else { Vec::new() };
        for entry in whole.items {
            self.write(entry, &mut state_changes);
        }
        for upstream in missing {
            let cause = RemovalCause::Deleted;
            let removal = Removal { upstream, revision: whole.revision, cause };
            self.remove(at_ms, removal, &mut state_changes);
        }
        for zone in ended {
            let revision = whole.revision;
            self.end_evacuation(at_ms, EvacuationEnd { zone, revision }, &mut state_changes);
        }
        self.revision = self.revision.max(whole.revision);
        self.confirm(at_ms, whole.revision);
        state_changes
    }

    /// Takes all changes after `after` up to `revision`, known at `at_ms`.
    ///
    /// Returns false beside the beliefs where changes before `after` are missing here: each
    /// is taken all the same, but the picture has a gap until a whole reading.
    pub fn apply_changes(
        &mut self,
        at_ms: Millis,
        after: Revision,
        revision: Revision,
        changes: Vec<Change>,
    ) -> (Vec<StateChange>, bool) {
        self.note_return(at_ms);
        let mut state_changes = Vec::new();
        let mut is_gapless = after <= self.revision;
        for change in changes {
            match change {
                Change::Written(entry) => self.write(entry, &mut state_changes),
                Change::Patched(entry) => is_gapless &= self.patch(&entry, &mut state_changes),
                Change::Removed(removal) => self.remove(at_ms, removal, &mut state_changes),
                Change::EvacuationEnded(end) => self.end_evacuation(at_ms, end, &mut state_changes),
            }
        }
        if is_gapless {
            self.revision = self.revision.max(revision);
            self.confirm(at_ms, revision);
        }
        (state_changes, is_gapless)
    }

    /// Takes what a peer told of what was missing, known to it at `at_ms`.
    ///
    /// Returns false beside the beliefs where something is missing still.
    pub fn apply_catch_up(&mut self, at_ms: Millis, catch_up: CatchUp) -> (Vec<StateChange>, bool) {
        match catch_up {
            CatchUp::Snapshot(whole) => (self.apply_snapshot(at_ms, whole), true),
            CatchUp::Changes { after, revision, changes } => {
                self.apply_changes(at_ms, after, revision, changes)
            }
        }
    }

    /// Drops lapsed entries whose time to come back is over.
    pub fn expire(&mut self, now_ms: Millis) -> Vec<StateChange> {
        let is_over = |lapsed: &Lapsed| lapsed.until_ms <= now_ms;
        let over: Vec<Removal> = self
            .lapsed
            .iter()
            .filter(|(_, lapsed)| is_over(lapsed))
            .map(|(id, lapsed)| lapsed.removal(id))
            .collect();
        let mut state_changes = Vec::new();
        for removal in over {
            self.lapsed.remove(&removal.upstream);
            self.drop_entry(now_ms, removal, &mut state_changes);
        }
        self.drop_tombstones(now_ms);
        state_changes
    }

    fn drop_tombstones(&mut self, now_ms: Millis) {
        let is_old = |tombstone: &Tombstone| now_ms.since(tombstone.since_ms) >= TOMBSTONE_MS;
        let old = self.removed.values().filter(|tombstone| is_old(tombstone));
        let last = old.map(|tombstone| tombstone.revision).max();
        let last = last.unwrap_or_default().max(self.evacuations.expire(now_ms, TOMBSTONE_MS));
        self.removals_since = self.removals_since.max(last);
        self.removed.retain(|_, tombstone| !is_old(tombstone));
    }

    fn note_return(&mut self, at_ms: Millis) {
        if self.confirmed_ms.is_some_and(|last| at_ms.since(last) > SOURCE_OUTAGE_MS) {
            self.returned_ms = Some(at_ms);
        }
    }

    fn missing_from(&self, whole: &Snapshot) -> Vec<UpstreamId> {
        let upstream_id = |entry: &'_ Entry<Item>| match &entry.value {
            Item::Upstream(upstream) => Some(upstream.id.clone()),
            Item::Routing(_) | Item::Evacuation(_) => None,
        };
        let listed: FastSet<UpstreamId> = whole.items.iter().filter_map(upstream_id).collect();
        let is_covered = |entry: &Entry<Arc<Upstream>>| entry.revision <= whole.revision;
        self.upstreams
            .iter()
            .filter(|(id, entry)| is_covered(entry) && !listed.contains(*id))
            .map(|(id, _)| id.clone())
            .collect()
    }

    fn write(&mut self, entry: Entry<Item>, state_changes: &mut Vec<StateChange>) {
        match entry.value {
            Item::Routing(routing) => {
                self.write_routing(
                    Entry { revision: entry.revision, value: routing },
                    state_changes,
                );
            }
            Item::Upstream(upstream) => {
                let entry = Entry { revision: entry.revision, value: upstream };
                self.write_upstream(entry, state_changes);
            }
            Item::Evacuation(zone) => {
                let revision = entry.revision;
                if self.evacuations.begin(revision, zone.clone()) {
                    state_changes.push(StateChange::ZoneEvacuated { zone, revision });
                }
            }
        }
    }
}
