//! Upstreams' entries: each is replaced only by a newer one, and a removal leaves a tombstone for a
//! while, so that an older write that arrives late doesn't bring the entry back.
//!
//! Runs are ordered by the clocks of their machines, which may step back, writes by the source. A
//! write that is newer by the source, and of an earlier run by its clock, is either the late one of
//! a run that has ended, or that of the present one. If it says that the upstream is leaving, that
//! counts: if it was a late one, the present run's next write takes it back.

use super::{PublishedState, REREGISTRATION_GRACE_MS};
use crate::{
    Entry, Removal, RemovalCause, Revision, RunStart, StateChange, Upstream, UpstreamMode,
};
use domain::{Millis, UpstreamId};
use std::sync::Arc;

#[derive(Debug, Clone, Copy)]
pub(super) struct Tombstone {
    pub(super) revision: Revision,
    pub(super) cause: RemovalCause,
    /// The run whose entry was removed, if it is known.
    run: RunStart,
    pub(super) since_ms: Millis,
}

impl Tombstone {
    pub(super) fn removal(self, upstream: &UpstreamId) -> Removal {
        Removal { upstream: upstream.clone(), revision: self.revision, cause: self.cause }
    }

    /// Whether an entry is older than the removal, or of a run before the one that was removed.
    fn covers(self, entry: &Entry<Arc<Upstream>>) -> bool {
        self.revision >= entry.revision || self.run.is_after(entry.value.run)
    }
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Lapsed {
    pub(super) revision: Revision,
    pub(super) until_ms: Millis,
}

impl Lapsed {
    pub(super) fn removal(self, upstream: &UpstreamId) -> Removal {
        let cause = RemovalCause::Deleted;
        Removal { upstream: upstream.clone(), revision: self.revision, cause }
    }
}

/// How long tombstones are kept: no message arrives later than this.
pub(super) const TOMBSTONE_MS: Millis = Millis(60_000);

impl PublishedState {
    pub(super) fn write_upstream(
        &mut self,
        entry: Entry<Arc<Upstream>>,
        state_changes: &mut Vec<StateChange>,
    ) {
        let (id, revision) = (entry.value.id.clone(), entry.revision);
        let is_removed = self.removed.get(&id).is_some_and(|tombstone| tombstone.covers(&entry));
        let current = self.upstreams.get(&id);
        let entry = match current {
            _ if is_removed => return,
            Some(current) if replaces(&entry, current) && says_leaving(current, &entry) => {
                leaving(&entry, current.revision)
            }
            Some(current) if replaces(&entry, current) => with_known_start(entry, current),
            Some(current) if says_leaving(&entry, current) => leaving(current, revision),
            Some(_) => return,
            None => entry,
        };
        match current {
            Some(current) if entry.value.is_later_run_than(&current.value) => {
                state_changes.push(StateChange::UpstreamRestarted {
                    upstream: id.clone(),
                    revision,
                    former_start_ms: current.value.run,
                    start_ms: entry.value.run,
                });
            }
            _ => {}
        }
        if self.lapsed.get(&id).is_some_and(|lapsed| lapsed.revision < revision) {
            self.lapsed.remove(&id);
            state_changes.push(StateChange::UpstreamReturned { upstream: id.clone(), revision });
        }
        let former_mode = current.map(|current| current.value.mode);
        match entry.value.mode {
            mode if former_mode == Some(mode) => {}
            UpstreamMode::Ready => {
                state_changes.push(StateChange::UpstreamJoined { upstream: id.clone(), revision });
            }
            UpstreamMode::Draining => {
                state_changes.push(StateChange::UpstreamLeaving { upstream: id.clone(), revision });
            }
        }
        // From here on the revision of the new entry rejects late messages.
        self.removed.remove(&id);
        self.upstreams.insert(id, entry);
    }

    pub(super) fn remove(
        &mut self,
        now_ms: Millis,
        removal: Removal,
        state_changes: &mut Vec<StateChange>,
    ) {
        let Some(current) = self.upstreams.get(&removal.upstream) else {
            self.record_tombstone(now_ms, &removal);
            return;
        };
        if current.revision > removal.revision {
            return;
        }
        let grace_end_ms = self.source_returned_ms.map(|at_ms| at_ms + REREGISTRATION_GRACE_MS);
        match grace_end_ms.filter(|&end_ms| now_ms < end_ms) {
            Some(until_ms)
                if current.value.mode == UpstreamMode::Ready
                    && removal.cause == RemovalCause::Deleted =>
            {
                self.lapse(removal, until_ms, state_changes);
            }
            _ => self.drop_entry(now_ms, removal, state_changes),
        }
    }

    fn lapse(&mut self, removal: Removal, until_ms: Millis, state_changes: &mut Vec<StateChange>) {
        let Removal { upstream, revision, .. } = removal;
        let lapsed = Lapsed { revision, until_ms };
        if self.lapsed.insert(upstream.clone(), lapsed).is_none() {
            state_changes.push(StateChange::UpstreamLapsed { upstream, until_ms });
        }
    }

    pub(super) fn drop_entry(
        &mut self,
        now_ms: Millis,
        removal: Removal,
        state_changes: &mut Vec<StateChange>,
    ) {
        self.record_tombstone(now_ms, &removal);
        self.lapsed.remove(&removal.upstream);
        if self.upstreams.remove(&removal.upstream).is_some() {
            let Removal { upstream, revision, cause } = removal;
            state_changes.push(StateChange::UpstreamGone { upstream, revision, cause });
        }
    }

    fn record_tombstone(&mut self, now_ms: Millis, removal: &Removal) {
        let current = self.upstreams.get(&removal.upstream).map(|current| current.value.run);
        let former = self.removed.get(&removal.upstream);
        if former.is_some_and(|former| former.revision > removal.revision) {
            return;
        }
        let run =
            current.unwrap_or_default().or(former.map(|former| former.run).unwrap_or_default());
        let Removal { revision, cause, .. } = *removal;
        let tombstone = Tombstone { revision, cause, run, since_ms: now_ms };
        self.removed.insert(removal.upstream.clone(), tombstone);
    }
}

/// Whether an entry replaces the current one. A later run always does, an earlier one never, even
/// with a greater revision: its last write may have been delayed.
fn replaces(entry: &Entry<Arc<Upstream>>, current: &Entry<Arc<Upstream>>) -> bool {
    if entry.value.is_later_run_than(&current.value) {
        return true;
    }
    !current.value.is_later_run_than(&entry.value) && entry.revision >= current.revision
}

/// Whether an entry of an earlier run, which is newer by the source than that of the later run, says
/// that the upstream leaves.
fn says_leaving(earlier: &Entry<Arc<Upstream>>, later: &Entry<Arc<Upstream>>) -> bool {
    let modes = (earlier.value.mode, later.value.mode);
    earlier.revision > later.revision && modes == (UpstreamMode::Draining, UpstreamMode::Ready)
}

/// An entry, leaving as of this revision.
fn leaving(entry: &Entry<Arc<Upstream>>, revision: Revision) -> Entry<Arc<Upstream>> {
    let mut value = Arc::clone(&entry.value);
    Arc::make_mut(&mut value).mode = UpstreamMode::Draining;
    Entry { revision, value }
}

/// Adds the start of the run to an entry that lacks it, if the current entry has it.
fn with_known_start(
    mut entry: Entry<Arc<Upstream>>,
    current: &Entry<Arc<Upstream>>,
) -> Entry<Arc<Upstream>> {
    let known = current.value.run;
    if entry.value.run.0.is_none() && known.0.is_some() {
        Arc::make_mut(&mut entry.value).run = known;
    }
    entry
}
