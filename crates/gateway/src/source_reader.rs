//! Reads the source when it is this host's turn, and sends what it read to the peers.

use crate::event_log::LogEvent;
use crate::host::Host;
use crate::peers::Peers;
use crate::source::{Changes, Page, ReadResult, Source, SourceError, UnreadableValue};
use domain::Millis;
use published::{ReadStep, Reader, Revision, Snapshot, Waiting};
use rand::RngExt;
use std::rc::Rc;

/// Time between two checks whether a promised snapshot has arrived from a peer.
const BOOTSTRAP_CHECK_MS: Millis = Millis(25);

/// Most unreadable values of one read that are logged one by one: a faulty writer writes
/// thousands, and the first few show the fault.
const MAX_LOGGED_UNREADABLE: usize = 8;

/// Reads the source for this host, and for the fleet where it is this host's turn.
pub struct SourceReader<S> {
    host: Rc<Host>,
    peers: Rc<Peers>,
    source: S,
    reader: Reader,
    /// The first page of a full read, whose rest may come from a peer.
    first_page: Option<ReadResult<Page>>,
    was_reading: bool,
    had_outage: bool,
    /// When the source was lost, until this host or a peer reads it again.
    lost_at_ms: Option<Millis>,
}

impl<S: Source> SourceReader<S> {
    /// A reader of `source`, which reads as `reader` decides.
    pub fn new(host: Rc<Host>, peers: Rc<Peers>, source: S, reader: Reader) -> SourceReader<S> {
        SourceReader {
            host,
            peers,
            source,
            reader,
            first_page: None,
            was_reading: false,
            had_outage: false,
            lost_at_ms: None,
        }
    }

    /// Reads the source whenever a read is due. Never returns.
    pub async fn run(mut self) {
        loop {
            if self.host.gossip.borrow().is_bootstrap_pending(self.host.now_ms()) {
                self.wait_until(self.host.now_ms() + BOOTSTRAP_CHECK_MS).await;
                continue;
            }
            if self.host.published_state().confirmed_ms().is_some() {
                self.first_page = None;
            }
            let step = {
                let gossip = self.host.gossip.borrow();
                let waiting = Waiting {
                    for_routing: self.host.is_routing_awaited.get(),
                    for_fetch: gossip.is_fetching(),
                };
                self.reader.step(
                    self.host.now_ms(),
                    gossip.members(),
                    gossip.published_state(),
                    waiting,
                )
            };
            self.log_role_change();
            self.log_outage();
            self.log_recovery_by_peer();
            match step {
                ReadStep::Wait(until_ms) => self.wait_until(until_ms).await,
                ReadStep::Sample => self.read_sample().await,
                ReadStep::FirstPage => self.read_first_page().await,
                ReadStep::Snapshot => self.read_all().await,
                ReadStep::Changes(wait_ms) => self.read_changes(wait_ms).await,
            }
            self.host.source_calls.set(self.source.calls());
        }
    }

    async fn wait_until(&self, until_ms: Millis) {
        tokio::select! {
            () = self.host.state_updated.notified() => {}
            () = self.host.clock.sleep_until(until_ms) => {}
        }
    }

    /// Logs that this host starts or stops to read for the fleet.
    fn log_role_change(&mut self) {
        let is_reading = self.reader.is_reading();
        if std::mem::replace(&mut self.was_reading, is_reading) != is_reading {
            let rank = self.host.members().reader_rank();
            let picture_age_ms = self.host.state_age_ms();
            self.host.log.write(&LogEvent::Reading { is_reading, rank, picture_age_ms });
        }
    }

    /// Logs the start of an outage: other hosts failed to read too, so this one backs off.
    fn log_outage(&mut self) {
        let retry_ms = self.reader.outage_retry_ms();
        let had_outage = std::mem::replace(&mut self.had_outage, retry_ms.is_some());
        if let Some(until_ms) = retry_ms.filter(|_| !had_outage) {
            let now_ms = self.host.now_ms();
            let confirmed_ms = self.host.published_state().confirmed_ms();
            self.host.log.write(&LogEvent::ReadingHeld {
                failed_readers: self.host.members().failed_readers(now_ms, confirmed_ms),
                for_ms: until_ms.since(now_ms),
                picture_age_ms: self.host.state_age_ms(),
            });
        }
    }

    /// Reads a sample of some kilobytes, to serve early. If it has no upstream of some service,
    /// another call follows.
    async fn read_sample(&mut self) {
        let draw = self.host.rng.borrow_mut().random();
        match self.source.read_sample(draw).await {
            Ok(ReadResult { value, unreadable }) => {
                let now_ms = self.host.now_ms();
                self.log_unreadable(&unreadable);
                let is_enough = published::covers_services(&value);
                self.peers.run_gossip(|gossip| gossip.apply_partial_items(now_ms, value));
                self.reader.sample_succeeded(is_enough);
            }
            Err(error) => self.handle_failure(&error),
        }
    }

    /// Reads the first page: everything of a small source; of a large one enough to serve until
    /// the rest arrives from a peer.
    async fn read_first_page(&mut self) {
        self.host.gossip.borrow_mut().set_initial_read(true);
        match self.source.read_first_page().await {
            Ok(ReadResult { value: Page { values, next: None }, unreadable }) => {
                self.apply_snapshot(ReadResult { value: values, unreadable });
            }
            Ok(page) => {
                let now_ms = self.host.now_ms();
                let items = page.value.values.items.clone();
                self.peers.run_gossip(|gossip| gossip.apply_partial_items(now_ms, items));
                let reads_on = self.reader.first_page_succeeded();
                self.host.gossip.borrow_mut().set_initial_read(reads_on);
                self.first_page = Some(page);
            }
            Err(error) => self.handle_failure(&error),
        }
    }

    async fn read_all(&mut self) {
        self.host.gossip.borrow_mut().set_initial_read(true);
        let read = match self.first_page.take() {
            Some(page) => self.source.read_remaining_pages(page).await,
            None => self.source.read_all().await,
        };
        match read {
            Ok(read) => self.apply_snapshot(read),
            Err(error) => self.handle_failure(&error),
        }
    }

    fn apply_snapshot(&mut self, read: ReadResult<Snapshot>) {
        let now_ms = self.host.now_ms();
        self.log_unreadable(&read.unreadable);
        self.log_recovery(now_ms, read.value.revision);
        self.peers.run_gossip(|gossip| gossip.apply_snapshot(now_ms, read.value));
        self.reader.succeeded(now_ms, true);
    }

    async fn read_changes(&mut self, wait_ms: Millis) {
        let after = self.host.published_state().revision();
        match self.source.read_changes(after, wait_ms).await {
            Ok(read) => self.apply_changes(after, read),
            Err(error) => self.handle_failure(&error),
        }
    }

    fn apply_changes(&mut self, after: Revision, read: ReadResult<Changes>) {
        let now_ms = self.host.now_ms();
        self.log_unreadable(&read.unreadable);
        let Changes { revision, changes } = read.value;
        self.log_recovery(now_ms, revision);
        self.reader.succeeded(now_ms, !changes.is_empty());
        self.peers.run_gossip(|gossip| gossip.apply_changes(now_ms, after, revision, &changes));
    }

    fn log_unreadable(&self, unreadable: &[UnreadableValue]) {
        for UnreadableValue { key, revision, problem } in
            unreadable.iter().take(MAX_LOGGED_UNREADABLE)
        {
            self.host.log.write(&LogEvent::Unreadable { key, revision: *revision, problem });
        }
        let count = unreadable.len().saturating_sub(MAX_LOGGED_UNREADABLE);
        if count > 0 {
            self.host.log.write(&LogEvent::MoreUnreadable { count });
        }
    }

    /// Logs that this host reads the source again.
    fn log_recovery(&mut self, now_ms: Millis, revision: Revision) {
        if let Some(lost_at_ms) = self.lost_at_ms.take() {
            let after_ms = now_ms.since(lost_at_ms);
            self.host.log.write(&LogEvent::SourceRegained { after_ms, revision, by: "itself" });
        }
    }

    /// Logs that a peer read the source, which confirms the published state again.
    fn log_recovery_by_peer(&mut self) {
        let (confirmed_ms, revision) = {
            let state = self.host.published_state();
            (state.confirmed_ms(), state.revision())
        };
        let Some(lost_at_ms) =
            self.lost_at_ms.filter(|&lost_at_ms| confirmed_ms > Some(lost_at_ms))
        else {
            return;
        };
        self.lost_at_ms = None;
        let after_ms = self.host.now_ms().since(lost_at_ms);
        self.host.log.write(&LogEvent::SourceRegained { after_ms, revision, by: "a peer" });
    }

    fn handle_failure(&mut self, error: &SourceError) {
        let now_ms = self.host.now_ms();
        if *error == SourceError::HistoryGone {
            self.reader.require_snapshot();
            return;
        }
        self.reader.failed(now_ms);
        self.peers.run_gossip(|gossip| gossip.broadcast_read_failure(now_ms));
        if self.lost_at_ms.is_none() {
            self.lost_at_ms = Some(now_ms);
            let picture_age_ms = self.host.state_age_ms();
            let problem = error.to_string();
            self.host.log.write(&LogEvent::SourceLost { problem, picture_age_ms });
        }
    }
}
