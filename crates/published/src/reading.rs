//! Who reads the source, and when.
//!
//! Each reading is paid for, so one host reads for all and tells the others. Nobody has to
//! agree on which: the host that is wanted most reads, a host that hears a better one read
//! stops, and a host whose picture was not confirmed for its patience reads for itself and
//! tells what it read. So a reader that dies, is cut off or is turned away is replaced
//! within [`PATIENCE_MS`] and the next host's turn, which leaves a second of the two within
//! which changes have to be in force.

mod start;

pub use start::{StartConditions, covers_services};

use crate::{Members, PublishedState};
use domain::Millis;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use start::SAMPLE_WAIT_MS;

/// Hosts that read for all. A second one, so that the loss of one is no gap, cost 0.6% of
/// a quiet day in calls and bytes; the gap stays within the bound without it.
pub const ACTIVE_READERS: usize = 1;

/// How long a reader waits at the source for news. A reader can't tell a cut from calm
/// before this is over; each halving doubles the price of reading.
pub const LONG_POLL_MS: Millis = Millis(700);

/// How old a picture grows before a host reads for itself: one wait at the source, the
/// way, and a lost datagram's worth of slack.
const PATIENCE_MS: Millis = Millis(1_000);

/// The turns of hosts that all miss their readers: so far apart that one tells the next.
const TURN_MS: Millis = Millis(25);

/// Longest turn, so that the last host still reads within the bound.
const LAST_TURN_MS: Millis = Millis(800);

/// Once so many hosts could not read, the source is taken to be away for all. Where it turns
/// away half of them, as many in a row are one time in sixty, and the next tries follow soon.
const AWAY_AT: usize = 6;

/// Time between two tries of the whole fleet while the source is away: its return is heard
/// of soon, and a larger fleet doesn't ask more often. When each of 124 hosts tried by
/// itself, 8 s without the source cost 0.028 of a day.
const AWAY_TRY_MS: Millis = Millis(150);

/// First pause after a failed reading; doubled up to [`MAX_PAUSE_MS`].
const FIRST_PAUSE_MS: Millis = Millis(250);

/// Longest pause after failed readings: the source's return must be noticed within 2 s.
const MAX_PAUSE_MS: Millis = Millis(1_200);

/// Until so long after its start a host knows too few others to tell whether it is the one that
/// is to read.
const KNOWING_MS: Millis = Millis(2_000);

/// Pause between a change and the next wait at the source: changes that come in quick
/// succession are read together.
const BATCH_MS: Millis = Millis(120);

/// What a host does about reading now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadStep {
    /// Nothing until then, unless something is heard.
    Wait(Millis),
    /// Read the routing and a sample of the upstreams.
    Sample,
    /// Read as much as one call brings.
    FirstPage,
    /// Read everything.
    Snapshot,
    /// Read what changed, and wait at the source for so long if nothing did.
    Changes(Millis),
}

/// A host's own part in reading.
#[derive(Debug)]
pub struct Reader {
    rng: Pcg64Mcg,
    started_ms: Millis,
    start_wait_ms: Millis,
    rest_wait_ms: Millis,
    has_first: bool,
    may_sample: bool,
    is_reading: bool,
    needs_whole: bool,
    failures: u32,
    not_before_ms: Millis,
    hold: Option<Hold>,
}

/// A host's next try while the source is away for all.
#[derive(Debug, Clone, Copy)]
struct Hold {
    until_ms: Millis,
    /// The last reading that was heard of when it was drawn.
    confirmed_ms: Option<Millis>,
}

impl Reader {
    /// A host that has just started.
    pub fn new(mut rng: Pcg64Mcg, now_ms: Millis, start: StartConditions) -> Reader {
        let waits = start.waits(&mut rng);
        Reader {
            rng,
            started_ms: now_ms,
            start_wait_ms: waits.first_ms,
            rest_wait_ms: waits.rest_ms,
            has_first: false,
            may_sample: start.may_sample(),
            is_reading: false,
            needs_whole: false,
            failures: 0,
            not_before_ms: Millis::ZERO,
            hold: None,
        }
    }

    /// Whether it reads for the others.
    pub fn is_reading(&self) -> bool {
        self.is_reading
    }

    /// When it tries again while the source is away for all; none while it is not.
    pub fn outage_retry_ms(&self) -> Option<Millis> {
        self.hold.map(|hold| hold.until_ms)
    }

    /// What to do now; `is_wanted`: callers wait for a routing here.
    pub fn step(
        &mut self,
        now_ms: Millis,
        members: &Members,
        state: &PublishedState,
        is_wanted: bool,
    ) -> ReadStep {
        let samples = is_wanted && self.may_sample && !self.has_first;
        let due_ms = match state.confirmed_ms() {
            None if samples => self.started_ms + SAMPLE_WAIT_MS,
            _ => self.due_ms(now_ms, members, state),
        };
        let due_ms = due_ms.max(self.not_before_ms).max(self.hold(now_ms, members, state));
        if due_ms > now_ms {
            return ReadStep::Wait(due_ms);
        }
        self.is_reading = true;
        self.hold = None;
        match state.confirmed_ms() {
            None if samples => ReadStep::Sample,
            None if !self.has_first => ReadStep::FirstPage,
            None => ReadStep::Snapshot,
            Some(_) if self.needs_whole => ReadStep::Snapshot,
            // Who steps in for a silent reader tells the others at once that it has.
            Some(at_ms) if now_ms.since(at_ms) >= PATIENCE_MS => ReadStep::Changes(Millis::ZERO),
            Some(_) => ReadStep::Changes(LONG_POLL_MS),
        }
    }

    /// The first call brought something, but not all; true if this host reads on at once.
    pub fn first_page_succeeded(&mut self) -> bool {
        self.failures = 0;
        self.has_first = true;
        let reads_on = self.rest_wait_ms == Millis::ZERO;
        // Who waits for the rest from a peer reads for nobody.
        self.is_reading = reads_on;
        reads_on
    }

    /// The sample holds upstreams of all services, or too few to serve with.
    pub fn sample_succeeded(&mut self, is_enough: bool) {
        self.failures = 0;
        self.may_sample = false;
        self.is_reading = false;
        self.has_first = is_enough;
    }

    /// A reading came back, with changes or without.
    pub fn succeeded(&mut self, now_ms: Millis, had_changes: bool) {
        self.failures = 0;
        self.needs_whole = false;
        self.not_before_ms = if had_changes { now_ms + BATCH_MS } else { now_ms };
    }

    /// The source did not answer, or refused.
    pub fn failed(&mut self, now_ms: Millis) {
        self.failures = self.failures.saturating_add(1);
        let doubled = FIRST_PAUSE_MS.0 << self.failures.saturating_sub(1).min(8);
        let pause_ms = doubled.min(MAX_PAUSE_MS.0);
        let jitter_ms = self.rng.random_range(0..=pause_ms / 3);
        self.not_before_ms = now_ms + Millis(pause_ms + jitter_ms);
        self.is_reading = false;
    }

    /// Changes were missed: the next reading is a whole one.
    pub fn require_snapshot(&mut self) {
        self.needs_whole = true;
    }

    fn due_ms(&mut self, now_ms: Millis, members: &Members, state: &PublishedState) -> Millis {
        let Some(confirmed_ms) = state.confirmed_ms() else {
            let rest_ms = if self.has_first { self.rest_wait_ms } else { Millis::ZERO };
            return self.started_ms + self.start_wait_ms + rest_ms;
        };
        let rank = members.reader_rank();
        let has_better = members.active_preferred_readers(now_ms) >= ACTIVE_READERS;
        if has_better {
            self.is_reading = false;
        }
        let known_ms = self.started_ms + KNOWING_MS;
        let is_reader = self.is_reading || rank < ACTIVE_READERS && now_ms >= known_ms;
        match !has_better && (is_reader || self.needs_whole) {
            true => now_ms,
            false => (confirmed_ms + PATIENCE_MS).max(known_ms) + turn_ms(rank),
        }
    }

    /// While the source is away for all, the hosts' tries are spread at random over the time
    /// in which each is to try once. Any reading that is heard of ends that.
    fn hold(&mut self, now_ms: Millis, members: &Members, state: &PublishedState) -> Millis {
        // A source that told that its history is gone is there.
        if self.needs_whole {
            self.hold = None;
            return Millis::ZERO;
        }
        let confirmed_ms = state.confirmed_ms();
        self.hold = self.hold.filter(|hold| hold.confirmed_ms == confirmed_ms);
        if self.hold.is_none() && members.failed_readers(now_ms) >= AWAY_AT {
            let longest_ms = AWAY_TRY_MS.0 * u64::from(members.count());
            let until_ms = now_ms + Millis(self.rng.random_range(0..=longest_ms));
            self.hold = Some(Hold { until_ms, confirmed_ms });
        }
        self.hold.map_or(Millis::ZERO, |hold| hold.until_ms)
    }
}

fn turn_ms(rank: usize) -> Millis {
    Millis(TURN_MS.0.saturating_mul(rank as u64)).min(LAST_TURN_MS)
}
