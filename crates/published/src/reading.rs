//! Decides which host reads the source, and when.
//!
//! Each read is paid for, so one host reads for all and broadcasts the result. The hosts need not
//! agree on which: the one with the greatest weight reads, a reader that sees updates of one with
//! a greater weight stops, and a host whose state was not confirmed for [`MAX_AGE_MS`] reads for
//! itself and broadcasts the result. So a reader that fails or is cut off is replaced after
//! [`MAX_AGE_MS`] and the next host's turn. That leaves one of the two seconds within which changes
//! must be in force.

mod start;

pub use start::{StartConditions, covers_services};

use crate::{Members, PublishedState};
use domain::Millis;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use start::SAMPLE_WAIT_MS;

/// Number of hosts that read for all. One is enough: another reads in time after its loss.
pub const ACTIVE_READERS: usize = 1;

/// How long a reader waits at the source for a change. Only after this time can it tell a lost
/// connection from a quiet source; halving it doubles the cost of reading.
pub const LONG_POLL_MS: Millis = Millis(700);

/// Age of the state after which a host reads for itself: a wait at the source, the transfer, and
/// time for a lost datagram.
const MAX_AGE_MS: Millis = Millis(1_000);

/// Time between the turns of hosts that all miss the reader, enough for one to inform the next.
const TURN_MS: Millis = Millis(25);

/// Hosts that have a turn of their own. The others share the rest of the time up to
/// [`LAST_TURN_MS`], in which ever more hosts have their turn: as many again in equal times, so few
/// read at once unless most of the fleet is gone.
const OWN_TURNS: usize = 16;

/// Latest turn, so that the last host still reads in time.
const LAST_TURN_MS: Millis = Millis(800);

/// Number of hosts that failed to read after which the source counts as unavailable. So many in a
/// row are unlikely where it refuses only some hosts.
const OUTAGE_FAILED_READERS: usize = 6;

/// Average interval between the fleet's reads during an outage, whatever the size of the fleet, so
/// that its end is soon noticed at a bounded cost.
const OUTAGE_READ_INTERVAL_MS: Millis = Millis(150);

/// First pause after a failed read; doubled up to [`MAX_PAUSE_MS`].
const FIRST_PAUSE_MS: Millis = Millis(250);

/// Longest pause after failed reads: the end of an outage must be noticed within 2 s.
const MAX_PAUSE_MS: Millis = Millis(1_200);

/// Time after its start until a host knows enough others to tell whether it should read for all.
const LEARNING_MS: Millis = Millis(2_000);

/// Pause after a read with changes, so that changes in quick succession are read together.
const BATCH_MS: Millis = Millis(120);

/// What a host does next about reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadStep {
    /// Wait until then, or until an update arrives.
    Wait(Millis),
    /// Read the routing and a sample of the upstreams.
    Sample,
    /// Read the first page of a full snapshot.
    FirstPage,
    /// Read a full snapshot, or the pages after the first.
    Snapshot,
    /// Read changes, with a long poll of this length.
    Changes(Millis),
}

/// What a host waits for, which decides about reading, too.
#[derive(Debug, Clone, Copy, Default)]
pub struct Waiting {
    /// Requests wait for a routing.
    pub for_routing: bool,
    /// A fetch of changes that a peer has announced is under way.
    pub for_fetch: bool,
}

/// A host's decisions about reading.
#[derive(Debug)]
pub struct Reader {
    rng: Pcg64Mcg,
    started_ms: Millis,
    start_wait_ms: Millis,
    rest_wait_ms: Millis,
    has_first_page: bool,
    may_sample: bool,
    is_reading: bool,
    needs_snapshot: bool,
    failures: u32,
    not_before_ms: Millis,
    outage_retry: Option<OutageRetry>,
}

/// A host's next read during an outage.
#[derive(Debug, Clone, Copy)]
struct OutageRetry {
    until_ms: Millis,
    /// When the state was last confirmed at the time of the draw.
    confirmed_ms: Option<Millis>,
}

impl Reader {
    /// The reader of a host that has just started.
    pub fn new(mut rng: Pcg64Mcg, now_ms: Millis, start: StartConditions) -> Reader {
        let waits = start.waits(&mut rng);
        Reader {
            rng,
            started_ms: now_ms,
            start_wait_ms: waits.first_ms,
            rest_wait_ms: waits.rest_ms,
            has_first_page: false,
            may_sample: start.may_sample(),
            is_reading: false,
            needs_snapshot: false,
            failures: 0,
            not_before_ms: Millis::ZERO,
            outage_retry: None,
        }
    }

    /// Whether this host reads for all.
    pub fn is_reading(&self) -> bool {
        self.is_reading
    }

    /// The time of the next read during an outage; `None` outside of one.
    pub fn outage_retry_ms(&self) -> Option<Millis> {
        self.outage_retry.map(|retry| retry.until_ms)
    }

    /// Decides what to do now.
    pub fn step(
        &mut self,
        now_ms: Millis,
        members: &Members,
        state: &PublishedState,
        waiting: Waiting,
    ) -> ReadStep {
        let wants_sample = waiting.for_routing && self.may_sample && !self.has_first_page;
        let due_ms = match state.confirmed_ms() {
            None if wants_sample => self.started_ms + SAMPLE_WAIT_MS,
            _ => self.due_ms(now_ms, members, state, waiting.for_fetch),
        };
        let due_ms = due_ms.max(self.not_before_ms).max(self.outage_due_ms(now_ms, members, state));
        if due_ms > now_ms {
            return ReadStep::Wait(due_ms);
        }
        self.is_reading = true;
        self.outage_retry = None;
        match state.confirmed_ms() {
            None if wants_sample => ReadStep::Sample,
            None if !self.has_first_page => ReadStep::FirstPage,
            None => ReadStep::Snapshot,
            Some(_) if self.needs_snapshot => ReadStep::Snapshot,
            // A host that steps in for an unresponsive reader reads at once, to inform the others.
            Some(at_ms) if now_ms.since(at_ms) >= MAX_AGE_MS => ReadStep::Changes(Millis::ZERO),
            Some(_) => ReadStep::Changes(LONG_POLL_MS),
        }
    }

    /// Records that the first of several pages was read. Returns whether to read the others now.
    pub fn first_page_succeeded(&mut self) -> bool {
        self.failures = 0;
        self.has_first_page = true;
        let reads_on = self.rest_wait_ms == Millis::ZERO;
        // A host that waits for a peer's snapshot doesn't read for others.
        self.is_reading = reads_on;
        reads_on
    }

    /// Records that a sample was read. `is_enough` is false if a service has no upstream in it.
    pub fn sample_succeeded(&mut self, is_enough: bool) {
        self.failures = 0;
        self.may_sample = false;
        self.is_reading = false;
        self.has_first_page = is_enough;
    }

    /// Records a successful read.
    pub fn succeeded(&mut self, now_ms: Millis, had_changes: bool) {
        self.failures = 0;
        self.needs_snapshot = false;
        self.not_before_ms = if had_changes { now_ms + BATCH_MS } else { now_ms };
    }

    /// Records that the source did not answer, or refused.
    pub fn failed(&mut self, now_ms: Millis) {
        self.failures = self.failures.saturating_add(1);
        let doubled = FIRST_PAUSE_MS.0 << self.failures.saturating_sub(1).min(8);
        let pause_ms = doubled.min(MAX_PAUSE_MS.0);
        let jitter_ms = self.rng.random_range(0..=pause_ms / 3);
        self.not_before_ms = now_ms + Millis(pause_ms + jitter_ms);
        self.is_reading = false;
    }

    /// Makes the next read a full snapshot, since the source no longer has the changes.
    pub fn require_snapshot(&mut self) {
        self.needs_snapshot = true;
    }

    fn due_ms(
        &mut self,
        now_ms: Millis,
        members: &Members,
        state: &PublishedState,
        is_fetching: bool,
    ) -> Millis {
        let Some(confirmed_ms) = state.confirmed_ms() else {
            let rest_ms = if self.has_first_page { self.rest_wait_ms } else { Millis::ZERO };
            return self.started_ms + self.start_wait_ms + rest_ms;
        };
        let rank = members.reader_rank();
        let has_better = members.active_preferred_readers(now_ms) >= ACTIVE_READERS;
        if has_better {
            self.is_reading = false;
        }
        let learned_ms = self.started_ms + LEARNING_MS;
        let is_reader = self.is_reading || rank < ACTIVE_READERS && now_ms >= learned_ms;
        // Hosts that wait in line for a large change would all ask the source for the same.
        let turn_ms = match is_fetching {
            true => LAST_TURN_MS,
            false => turn_ms(rank, members.count()),
        };
        match !has_better && (is_reader || self.needs_snapshot) {
            true => now_ms,
            false => (confirmed_ms + MAX_AGE_MS).max(learned_ms) + turn_ms,
        }
    }

    /// During an outage, the time of this host's next read: drawn at random from the time in which
    /// each host of the fleet reads once. Any confirmation of the state ends it.
    fn outage_due_ms(
        &mut self,
        now_ms: Millis,
        members: &Members,
        state: &PublishedState,
    ) -> Millis {
        // A source that reports a lost history is available.
        if self.needs_snapshot {
            self.outage_retry = None;
            return Millis::ZERO;
        }
        let confirmed_ms = state.confirmed_ms();
        self.outage_retry = self.outage_retry.filter(|retry| retry.confirmed_ms == confirmed_ms);
        let failed_readers = members.failed_readers(now_ms, confirmed_ms);
        if self.outage_retry.is_none() && failed_readers >= OUTAGE_FAILED_READERS {
            let longest_ms = OUTAGE_READ_INTERVAL_MS.0 * u64::from(members.count());
            let until_ms = now_ms + Millis(self.rng.random_range(0..=longest_ms));
            self.outage_retry = Some(OutageRetry { until_ms, confirmed_ms });
        }
        self.outage_retry.map_or(Millis::ZERO, |retry| retry.until_ms)
    }
}

/// The turn of a host, from that of the first, in a fleet of `hosts`.
fn turn_ms(rank: usize, hosts: u32) -> Millis {
    if rank <= OWN_TURNS {
        return Millis(TURN_MS.0 * rank as u64);
    }
    let own_turns_ms = TURN_MS.0 * OWN_TURNS as u64;
    let of_own = |rank: f64| (rank / OWN_TURNS as f64).ln();
    let passed = of_own(rank as f64) / of_own(f64::from(hosts).max(rank as f64));
    Millis(own_turns_ms + (passed * (LAST_TURN_MS.0 - own_turns_ms) as f64) as u64)
}
