//! An in-memory source of published values, which can fail.

use domain::{FastMap, Millis, UpstreamId, ZoneName};
use gateway::source::{Changes, Page, ReadResult, Source, SourceError};
use published::{
    Change, Entry, EvacuationEnd, Item, Removal, RemovalCause, Revision, Routing, Snapshot,
};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// The published values, shared by all readers.
#[derive(Clone, Default)]
pub struct Published {
    state: Rc<State>,
}

#[derive(Default)]
struct State {
    revision: Cell<u64>,
    items: RefCell<FastMap<String, Entry<Item>>>,
    history: RefCell<Vec<Change>>,
    /// The history up to this revision is gone.
    forgotten: Cell<u64>,
    failure: RefCell<Option<SourceError>>,
    calls: Cell<u64>,
    changed: Notify,
}

impl Published {
    pub fn write_routing(&self, routing: Routing) {
        self.write("routing", Item::Routing(Arc::new(routing)));
    }

    pub fn write(&self, prefix: &str, value: Item) {
        let key = match &value {
            Item::Routing(_) => prefix.to_owned(),
            Item::Upstream(upstream) => format!("{prefix}/{}", upstream.id),
            Item::Evacuation(zone) => format!("{prefix}/{zone}"),
        };
        let revision = self.next_revision();
        let entry = Entry { revision, value };
        self.state.items.borrow_mut().insert(key, entry.clone());
        self.add_to_history(Change::Written(entry));
    }

    pub fn remove(&self, upstream: &UpstreamId) {
        let revision = self.next_revision();
        self.state.items.borrow_mut().remove(&format!("servers/{upstream}"));
        self.add_to_history(Change::Removed(Removal {
            upstream: upstream.clone(),
            revision,
            cause: RemovalCause::Deleted,
        }));
    }

    pub fn end_evacuation(&self, zone: &ZoneName) {
        let revision = self.next_revision();
        self.state.items.borrow_mut().remove(&format!("op/evacuate/{zone}"));
        self.add_to_history(Change::EvacuationEnded(EvacuationEnd {
            zone: zone.clone(),
            revision,
        }));
    }

    pub fn fail(&self, failure: Option<SourceError>) {
        *self.state.failure.borrow_mut() = failure;
    }

    pub fn forget_history(&self) {
        self.state.forgotten.set(self.state.revision.get());
        self.state.history.borrow_mut().clear();
    }

    pub fn calls(&self) -> u64 {
        self.state.calls.get()
    }

    fn next_revision(&self) -> Revision {
        self.state.revision.set(self.state.revision.get() + 1);
        Revision(self.state.revision.get())
    }

    fn add_to_history(&self, change: Change) {
        self.state.history.borrow_mut().push(change);
        self.state.changed.notify_waiters();
    }

    /// Counts a call, and fails if the source is set to fail.
    fn record_call(&self) -> Result<(), SourceError> {
        self.state.calls.set(self.state.calls.get() + 1);
        self.state.failure.borrow().clone().map_or(Ok(()), Err)
    }

    fn changes(&self, after: Revision) -> Vec<Change> {
        let is_later = |change: &&Change| match change {
            Change::Written(entry) => entry.revision > after,
            Change::Patched(entry) => entry.revision > after,
            Change::Removed(removal) => removal.revision > after,
            Change::EvacuationEnded(end) => end.revision > after,
        };
        self.state.history.borrow().iter().filter(is_later).cloned().collect()
    }
}

/// One reader's access to the published values.
pub struct StandInSource {
    published: Published,
    calls: u64,
}

impl StandInSource {
    pub fn new(published: &Published) -> StandInSource {
        StandInSource { published: published.clone(), calls: 0 }
    }
}

impl Source for StandInSource {
    async fn read_sample(&mut self, _: u64) -> Result<ReadResult<Vec<Entry<Item>>>, SourceError> {
        let first = self.read_first_page().await?;
        Ok(ReadResult { value: first.value.values.items, unreadable: Vec::new() })
    }

    async fn read_first_page(&mut self) -> Result<ReadResult<Page>, SourceError> {
        self.calls += 1;
        tokio::time::sleep(Duration::from_millis(2)).await;
        self.published.record_call()?;
        let state = &self.published.state;
        let items = state.items.borrow().values().cloned().collect();
        let value =
            Snapshot { revision: Revision(state.revision.get()), items, overwritten: Vec::new() };
        Ok(ReadResult { value: Page { values: value, next: None }, unreadable: Vec::new() })
    }

    async fn read_next_page(
        &mut self,
        so_far: ReadResult<Page>,
    ) -> Result<ReadResult<Page>, SourceError> {
        Ok(so_far)
    }

    async fn read_changes(
        &mut self,
        after: Revision,
        wait_ms: Millis,
    ) -> Result<ReadResult<Changes>, SourceError> {
        self.calls += 1;
        tokio::time::sleep(Duration::from_millis(2)).await;
        self.published.record_call()?;
        let state = &self.published.state;
        if after.0 < state.forgotten.get() {
            return Err(SourceError::HistoryGone);
        }
        if self.published.changes(after).is_empty() {
            let changed = state.changed.notified();
            let _ = tokio::time::timeout(Duration::from_millis(wait_ms.0), changed).await;
        }
        if after.0 < state.forgotten.get() {
            return Err(SourceError::HistoryGone);
        }
        let changes = self.published.changes(after);
        let value = Changes { revision: Revision(state.revision.get()), changes };
        Ok(ReadResult { value, unreadable: Vec::new() })
    }

    fn calls(&self) -> u64 {
        self.calls
    }
}
