//! The state that this host knows to be published.
//!
//! Full snapshots and changes are merged in, read by this host or sent by peers, in any order
//! and more than once. The entry of each key is replaced only by a newer one. A removal takes
//! effect at once, except just after an outage of the source: entries expire there while
//! instances can't renew them, so it then waits for [`REREGISTRATION_GRACE_MS`].

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

/// Time without a confirmed read after which entries may have expired at the source: they do
/// after three heartbeat intervals of 1.5 s, one of which may have passed before.
pub const SOURCE_OUTAGE_MS: Millis = Millis(2_200);

/// Time after the source's return within which expired entries are registered again: two
/// seconds as the platform specifies, and a tenth of that for the transfer.
pub const REREGISTRATION_GRACE_MS: Millis = Millis(2_200);

/// The state that this host knows to be published.
#[derive(Debug, Default)]
pub struct PublishedState {
    routing: Option<Entry<Arc<Routing>>>,
    evacuations: Evacuations,
    upstreams: FastMap<UpstreamId, Entry<Arc<Upstream>>>,
    removed: FastMap<UpstreamId, Tombstone>,
    lapsed: FastMap<UpstreamId, Lapsed>,
    revision: Revision,
    confirmed_ms: Option<Millis>,
    source_returned_ms: Option<Millis>,
    /// The patch that made the routing in force, if it came as one.
    last_patch: Option<Entry<RoutingPatch>>,
    /// All removals after this revision have a tombstone here.
    removals_since: Revision,
}

impl PublishedState {
    /// The routing in force.
    pub fn routing(&self) -> Option<&Entry<Arc<Routing>>> {
        self.routing.as_ref()
    }

    /// Returns an upstream's entry.
    pub fn upstream(&self, id: &UpstreamId) -> Option<&Entry<Arc<Upstream>>> {
        self.upstreams.get(id)
    }

    /// All upstreams' entries, lapsed ones included.
    pub fn upstreams(&self) -> impl Iterator<Item = &Entry<Arc<Upstream>>> {
        self.upstreams.values()
    }

    /// The revision up to which no change is missing.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The last time at which it was known that nothing newer than [`PublishedState::revision`] was
    /// published.
    pub fn confirmed_ms(&self) -> Option<Millis> {
        self.confirmed_ms
    }

    /// Time since the last confirmation, if there was one.
    pub fn age_ms(&self, now_ms: Millis) -> Option<Millis> {
        self.confirmed_ms.map(|at_ms| now_ms.since(at_ms))
    }

    /// Digest of the routing and all entries. It reveals that two hosts with the same revision have
    /// different entries.
    ///
    /// Lapsed entries don't count: hosts drop them at different times.
    pub fn digest(&self) -> u64 {
        let routing = self.routing.as_ref().map_or(0, |entry| entry.revision.0);
        let upstreams = self.unlapsed_upstreams().map(|entry| entry.revision);
        let evacuations = self.evacuations.in_force().map(|(_, revision)| revision);
        let mix = |sum: u64, revision: Revision| {
            sum.wrapping_add(revision.0.wrapping_mul(0x9e37_79b9_7f4a_7c15))
        };
        upstreams.chain(evacuations).fold(routing, mix)
    }

    /// The upstreams' entries except lapsed ones.
    fn unlapsed_upstreams(&self) -> impl Iterator<Item = &Entry<Arc<Upstream>>> {
        self.upstreams.values().filter(|entry| !self.lapsed.contains_key(&entry.value.id))
    }

    /// A full snapshot for a peer, without lapsed entries: a peer that has one drops it after its
    /// own grace period, a peer that has not would never drop it.
    pub fn snapshot(&self) -> Snapshot {
        let upstreams = self.unlapsed_upstreams().map(|entry| Entry {
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

    /// Records that nothing newer than `revision` was published at `at_ms`.
    ///
    /// Does nothing if changes up to `revision` are missing here.
    pub fn confirm(&mut self, at_ms: Millis, revision: Revision) {
        if revision > self.revision {
            return;
        }
        self.detect_source_return(at_ms);
        self.confirmed_ms = self.confirmed_ms.max(Some(at_ms));
    }

    /// Merges a full snapshot, read at `at_ms`.
    pub fn apply_snapshot(&mut self, at_ms: Millis, snapshot: Snapshot) -> Vec<StateChange> {
        self.detect_source_return(at_ms);
        let mut state_changes = Vec::new();
        let is_newest = snapshot.revision >= self.revision;
        if self.confirmed_ms.is_none() {
            self.removals_since = snapshot.revision;
        }
        for removal in &snapshot.overwritten {
            self.remove(at_ms, removal.clone(), &mut state_changes);
        }
        let missing = if is_newest { self.upstreams_missing_from(&snapshot) } else { Vec::new() };
        let ended = if is_newest { self.evacuations_missing_from(&snapshot) } else { Vec::new() };
        for entry in snapshot.items {
            self.write(entry, &mut state_changes);
        }
        for upstream in missing {
            let cause = RemovalCause::Deleted;
            let removal = Removal { upstream, revision: snapshot.revision, cause };
            self.remove(at_ms, removal, &mut state_changes);
        }
        for zone in ended {
            let revision = snapshot.revision;
            self.end_evacuation(at_ms, EvacuationEnd { zone, revision }, &mut state_changes);
        }
        self.revision = self.revision.max(snapshot.revision);
        self.confirm(at_ms, snapshot.revision);
        state_changes
    }

    /// Merges all changes after `after` up to `revision`, as known at `at_ms`.
    ///
    /// The flag returned is false if changes before `after`, or the base of a patch, are missing
    /// here. The other changes are applied nevertheless, but the gap remains.
    pub fn apply_changes(
        &mut self,
        at_ms: Millis,
        after: Revision,
        revision: Revision,
        changes: Vec<Change>,
    ) -> (Vec<StateChange>, bool) {
        self.detect_source_return(at_ms);
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

    /// Merges a peer's answer to a fetch, as known to the peer at `at_ms`.
    ///
    /// The flag returned is false if changes are still missing.
    pub fn apply_catch_up(&mut self, at_ms: Millis, catch_up: CatchUp) -> (Vec<StateChange>, bool) {
        match catch_up {
            CatchUp::Snapshot(snapshot) => (self.apply_snapshot(at_ms, snapshot), true),
            CatchUp::Changes { after, revision, changes } => {
                self.apply_changes(at_ms, after, revision, changes)
            }
        }
    }

    /// Removes lapsed entries after their grace period, and old tombstones.
    pub fn expire(&mut self, now_ms: Millis) -> Vec<StateChange> {
        let is_due = |lapsed: &Lapsed| lapsed.until_ms <= now_ms;
        let due: Vec<Removal> = self
            .lapsed
            .iter()
            .filter(|(_, lapsed)| is_due(lapsed))
            .map(|(id, lapsed)| lapsed.removal(id))
            .collect();
        let mut state_changes = Vec::new();
        for removal in due {
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

    fn detect_source_return(&mut self, at_ms: Millis) {
        if self.confirmed_ms.is_some_and(|last| at_ms.since(last) > SOURCE_OUTAGE_MS) {
            self.source_returned_ms = Some(at_ms);
        }
    }

    fn upstreams_missing_from(&self, snapshot: &Snapshot) -> Vec<UpstreamId> {
        let upstream_id = |entry: &'_ Entry<Item>| match &entry.value {
            Item::Upstream(upstream) => Some(upstream.id.clone()),
            Item::Routing(_) | Item::Evacuation(_) => None,
        };
        let listed: FastSet<UpstreamId> = snapshot.items.iter().filter_map(upstream_id).collect();
        let is_covered = |entry: &Entry<Arc<Upstream>>| entry.revision <= snapshot.revision;
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
