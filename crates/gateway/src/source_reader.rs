//! Reads the source when it is this host's turn, and tells the peers.

use crate::event_log::LogEvent;
use crate::host::Host;
use crate::peers::Peers;
use crate::source::{Changes, Page, ReadResult, Source, SourceError, UnreadableValue};
use domain::Millis;
use published::{ReadStep, Reader, Revision, Snapshot};
use rand::RngExt;
use std::rc::Rc;

/// How often it is looked whether the picture has come.
const OFFER_STEP_MS: Millis = Millis(25);

/// Values of one reading that are logged one by one where they can't be read: a writer that
/// goes wrong writes thousands, and the first few tell how.
const MOST_UNREADABLE_TOLD: usize = 8;

/// A host's reading.
pub struct SourceReader<S> {
    host: Rc<Host>,
    peers: Rc<Peers>,
    source: S,
    reader: Reader,
    /// The beginning of a whole reading, whose rest may come from a peer.
    begun: Option<ReadResult<Page>>,
    was_reading: bool,
    was_held: bool,
    lost_ms: Option<Millis>,
}

impl<S: Source> SourceReader<S> {
    /// Reads by the rules of `reader`.
    pub fn new(host: Rc<Host>, peers: Rc<Peers>, source: S, reader: Reader) -> SourceReader<S> {
        SourceReader {
            host,
            peers,
            source,
            reader,
            begun: None,
            was_reading: false,
            was_held: false,
            lost_ms: None,
        }
    }

    /// Reads whenever it is due; never ends.
    pub async fn run(mut self) {
        loop {
            if self.host.gossip.borrow().is_bootstrap_pending(self.host.now_ms()) {
                self.wait_until(self.host.now_ms() + OFFER_STEP_MS).await;
                continue;
            }
            if self.host.published_state().confirmed_ms().is_some() {
                self.begun = None;
            }
            let step = {
                let gossip = self.host.gossip.borrow();
                let is_wanted = self.host.is_routing_awaited.get();
                self.reader.step(
                    self.host.now_ms(),
                    gossip.members(),
                    gossip.published_state(),
                    is_wanted,
                )
            };
            self.note_part();
            self.note_hold();
            self.note_told();
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

    fn note_part(&mut self) {
        let is_reading = self.reader.is_reading();
        if std::mem::replace(&mut self.was_reading, is_reading) != is_reading {
            let rank = self.host.members().reader_rank();
            let picture_age_ms = self.host.state_age_ms();
            self.host.log.write(&LogEvent::Reading { is_reading, rank, picture_age_ms });
        }
    }

    /// Others could not read either: this host leaves the source alone for a while.
    fn note_hold(&mut self) {
        let held_until_ms = self.reader.outage_retry_ms();
        let was_held = std::mem::replace(&mut self.was_held, held_until_ms.is_some());
        if let Some(until_ms) = held_until_ms.filter(|_| !was_held) {
            let now_ms = self.host.now_ms();
            self.host.log.write(&LogEvent::ReadingHeld {
                failed_readers: self.host.members().failed_readers(now_ms),
                for_ms: until_ms.since(now_ms),
                picture_age_ms: self.host.state_age_ms(),
            });
        }
    }

    /// Some kilobytes to begin with; where a service has no upstream among them, one call more.
    async fn read_sample(&mut self) {
        let draw = self.host.rng.borrow_mut().random();
        match self.source.read_sample(draw).await {
            Ok(ReadResult { value, unreadable }) => {
                let now_ms = self.host.now_ms();
                self.note_unreadable(&unreadable);
                let is_enough = published::covers_services(&value);
                self.peers.run_gossip(|gossip| gossip.apply_partial_items(now_ms, value));
                self.reader.sample_succeeded(is_enough);
            }
            Err(error) => self.note_failure(&error),
        }
    }

    /// One call: all of a small source, and of a large one enough to serve until a peer tells
    /// the rest.
    async fn read_first_page(&mut self) {
        self.host.gossip.borrow_mut().set_initial_read(true);
        match self.source.read_first_page().await {
            Ok(ReadResult { value: Page { values, next: None }, unreadable }) => {
                self.take_whole(ReadResult { value: values, unreadable });
            }
            Ok(begun) => {
                let now_ms = self.host.now_ms();
                let items = begun.value.values.items.clone();
                self.peers.run_gossip(|gossip| gossip.apply_partial_items(now_ms, items));
                let reads_on = self.reader.first_page_succeeded();
                self.host.gossip.borrow_mut().set_initial_read(reads_on);
                self.begun = Some(begun);
            }
            Err(error) => self.note_failure(&error),
        }
    }

    async fn read_all(&mut self) {
        self.host.gossip.borrow_mut().set_initial_read(true);
        let reading = match self.begun.take() {
            Some(begun) => self.source.read_remaining_pages(begun).await,
            None => self.source.read_all().await,
        };
        match reading {
            Ok(reading) => self.take_whole(reading),
            Err(error) => self.note_failure(&error),
        }
    }

    fn take_whole(&mut self, reading: ReadResult<Snapshot>) {
        let now_ms = self.host.now_ms();
        self.note_unreadable(&reading.unreadable);
        self.note_success(now_ms, reading.value.revision);
        self.peers.run_gossip(|gossip| gossip.apply_snapshot(now_ms, reading.value));
        self.reader.succeeded(now_ms, true);
    }

    async fn read_changes(&mut self, wait_ms: Millis) {
        let after = self.host.published_state().revision();
        match self.source.read_changes(after, wait_ms).await {
            Ok(reading) => self.take_changes(after, reading),
            Err(error) => self.note_failure(&error),
        }
    }

    fn take_changes(&mut self, after: Revision, reading: ReadResult<Changes>) {
        let now_ms = self.host.now_ms();
        self.note_unreadable(&reading.unreadable);
        let Changes { revision, changes } = reading.value;
        self.note_success(now_ms, revision);
        self.reader.succeeded(now_ms, !changes.is_empty());
        self.peers.run_gossip(|gossip| gossip.apply_changes(now_ms, after, revision, &changes));
    }

    fn note_unreadable(&self, unreadable: &[UnreadableValue]) {
        for UnreadableValue { key, revision, problem } in
            unreadable.iter().take(MOST_UNREADABLE_TOLD)
        {
            self.host.log.write(&LogEvent::Unreadable { key, revision: *revision, problem });
        }
        let count = unreadable.len().saturating_sub(MOST_UNREADABLE_TOLD);
        if count > 0 {
            self.host.log.write(&LogEvent::MoreUnreadable { count });
        }
    }

    fn note_success(&mut self, now_ms: Millis, revision: Revision) {
        if let Some(lost_ms) = self.lost_ms.take() {
            let after_ms = now_ms.since(lost_ms);
            self.host.log.write(&LogEvent::SourceRegained { after_ms, revision, by: "itself" });
        }
    }

    /// A peer read what this host could not: what is believed is confirmed again.
    fn note_told(&mut self) {
        let (confirmed_ms, revision) = {
            let picture = self.host.published_state();
            (picture.confirmed_ms(), picture.revision())
        };
        let Some(lost_ms) = self.lost_ms.filter(|&lost_ms| confirmed_ms > Some(lost_ms)) else {
            return;
        };
        self.lost_ms = None;
        let after_ms = self.host.now_ms().since(lost_ms);
        self.host.log.write(&LogEvent::SourceRegained { after_ms, revision, by: "a peer" });
    }

    fn note_failure(&mut self, error: &SourceError) {
        let now_ms = self.host.now_ms();
        if *error == SourceError::HistoryGone {
            self.reader.require_snapshot();
            return;
        }
        self.reader.failed(now_ms);
        self.peers.run_gossip(|gossip| gossip.broadcast_read_failure(now_ms));
        if self.lost_ms.is_none() {
            self.lost_ms = Some(now_ms);
            let picture_age_ms = self.host.state_age_ms();
            let problem = error.to_string();
            self.host.log.write(&LogEvent::SourceLost { problem, picture_age_ms });
        }
    }
}
