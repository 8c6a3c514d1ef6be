//! The crashes that count against one request.

use domain::{HostId, Millis, UpstreamId};
use published::RunStart;

/// Maximum number of crashes that are remembered of a request: those until it is first held, and
/// those of five trials after that.
const MAX_CRASHES: usize = 8;

/// An upstream that doesn't report its start time has restarted between two crashes if the request
/// of the later one was sent this long after the earlier one: another process took it. Hosts differ
/// by less in when they notice one crash.
const MIN_RESTART_MS: Millis = Millis(150);

/// Messages about a crash are rarely later than this.
const MAX_REPORT_DELAY_MS: Millis = Millis(1_000);

/// Crashes within this time count as one. Upstreams that lose power together end within some
/// milliseconds, and a request that is retried in between is on the next of them.
const SIMULTANEOUS_MS: Millis = Millis(10);

/// The end of an upstream's process while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The process run that ended.
    pub run: RunStart,
    /// The host that had sent the request there.
    pub seen_by: HostId,
    /// When it was sent.
    pub sent_ms: Millis,
    /// When its connection broke.
    pub crashed_ms: Millis,
}

/// Crashes of a request, and its last completion.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Suspect {
    /// Crashes in sequence: each attempt began after the crash before it.
    crashes: Vec<Crash>,
    /// When an upstream last completed the request, or an operator released it.
    cleared_ms: Option<Millis>,
    /// Peers know of the suspect, or it is queued for broadcast.
    is_broadcast: bool,
    /// When it was held, several other requests had recent crashes, too.
    is_doubtful: bool,
    /// Until then, a host of the fleet is assumed to run it as a trial.
    trial_until_ms: Option<Millis>,
    /// A trial of this host ended early, and peers have yet to learn of it.
    has_pending_trial_end: bool,
}

impl Suspect {
    /// Crashes that count.
    pub(super) fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// The longest time from its sending to a crash.
    pub(super) fn longest_to_crash_ms(&self) -> Millis {
        let took_ms = |crash: &Crash| crash.crashed_ms.since(crash.sent_ms);
        self.crashes.iter().map(took_ms).max().unwrap_or_default()
    }

    /// When it was last cleared.
    pub(super) fn cleared_ms(&self) -> Option<Millis> {
        self.cleared_ms
    }

    /// The end of a running trial.
    pub(super) fn trial_until_ms(&self, now_ms: Millis) -> Option<Millis> {
        self.trial_until_ms.filter(|&until_ms| now_ms < until_ms)
    }

    /// Whether peers know of the suspect, or it is queued for broadcast.
    pub(super) fn is_broadcast(&self) -> bool {
        self.is_broadcast
    }

    pub(super) fn set_broadcast(&mut self) {
        self.is_broadcast = true;
    }

    /// Whether several other requests had recent crashes, too, when it was held.
    pub(super) fn is_doubtful(&self) -> bool {
        self.is_doubtful
    }

    pub(super) fn set_doubtful(&mut self, is_doubtful: bool) {
        self.is_doubtful = is_doubtful;
    }

    /// Time of the latest crash or completion.
    pub(super) fn last_ms(&self) -> Millis {
        let crashed_ms = self.crashes.last().map(|crash| crash.crashed_ms);
        crashed_ms.max(self.cleared_ms).unwrap_or_default()
    }

    /// Adds the crashes of a peer's update. Each of them was another one to the sender, so each
    /// known crash has one copy among them at most.
    pub(super) fn merge_crashes(&mut self, crashes: impl Iterator<Item = Crash>) {
        let mut known = self.crashes.clone();
        for crash in crashes {
            match known.iter().position(|known| known.may_be_copy_of(&crash)) {
                Some(at) => self.correct_times(&known.remove(at), crash),
                None => {
                    self.add_crash(crash);
                }
            }
        }
    }

    /// Takes the times of the copy that was delayed less: a crash that seems to be later than it was
    /// would overlap the next one.
    fn correct_times(&mut self, known: &Crash, copy: Crash) {
        let stored = self.crashes.iter_mut().find(|stored| *stored == known);
        match stored {
            Some(stored) if copy.crashed_ms < stored.crashed_ms => *stored = copy,
            _ => {}
        }
    }

    /// Adds a crash that this host saw, or whose report is no copy of one that it has; true if more
    /// crashes count against the request now.
    ///
    /// A crash that several hosts saw counts once. So do crashes that overlap, such as those of upstreams that ran many copies of a request and lost power
    /// together.
    pub(super) fn add_crash(&mut self, crash: Crash) -> bool {
        let is_cleared = self.cleared_ms.is_some_and(|cleared_ms| crash.crashed_ms <= cleared_ms);
        if is_cleared || self.crashes.iter().any(|counted| counted.is_same(&crash)) {
            return false;
        }
        let before = self.crashes.len();
        let mut all = std::mem::take(&mut self.crashes);
        all.push(crash);
        self.crashes = longest_sequence(all);
        let has_grown = self.crashes.len() > before;
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        if has_grown {
            self.end_trial();
        }
        has_grown
    }

    /// Records that a host runs it as a trial until then at the latest.
    pub(super) fn begin_trial(&mut self, until_ms: Millis) {
        self.trial_until_ms = self.trial_until_ms.max(Some(until_ms));
        self.has_pending_trial_end = false;
    }

    /// Ends a trial of this host; true if peers are to learn of it.
    pub(super) fn end_own_trial(&mut self) -> bool {
        self.has_pending_trial_end = self.trial_until_ms.is_some();
        self.end_trial();
        self.has_pending_trial_end
    }

    /// Takes the end of a trial that peers have yet to learn of.
    pub(super) fn take_trial_end(&mut self) -> bool {
        std::mem::take(&mut self.has_pending_trial_end)
    }

    /// Ends the trial.
    pub(super) fn end_trial(&mut self) {
        self.trial_until_ms = None;
    }

    /// Clears the crashes up to a completion, or to its release; true if crashes counted and none
    /// is left.
    pub(super) fn clear(&mut self, at_ms: Millis) -> bool {
        let had_any = !self.crashes.is_empty();
        self.cleared_ms = self.cleared_ms.max(Some(at_ms));
        self.crashes.retain(|crash| crash.crashed_ms > at_ms);
        self.trial_until_ms = None;
        had_any && self.crashes.is_empty()
    }
}

impl Crash {
    /// The same crash by a clock that started earlier.
    pub(super) fn later_by(self, span_ms: Millis) -> Crash {
        let (sent_ms, crashed_ms) = (self.sent_ms + span_ms, self.crashed_ms + span_ms);
        Crash { sent_ms, crashed_ms, ..self }
    }

    /// The same crash by a clock that started later.
    pub(super) fn earlier_by(self, span_ms: Millis) -> Crash {
        let (sent_ms, crashed_ms) = (self.sent_ms - span_ms, self.crashed_ms - span_ms);
        Crash { sent_ms, crashed_ms, ..self }
    }

    /// Whether the request was sent after another crash, and the two didn't happen together.
    fn follows(&self, earlier: &Crash) -> bool {
        earlier.crashed_ms <= self.sent_ms
            && self.crashed_ms.since(earlier.crashed_ms) >= SIMULTANEOUS_MS
    }

    /// Whether both are the same end of one process; a process run ends once.
    fn is_same(&self, other: &Crash) -> bool {
        let is_run_known = self.run != RunStart::default();
        self.upstream == other.upstream
            && self.run == other.run
            && (is_run_known || !self.has_restarted_between(other))
    }

    /// Whether an upstream that doesn't report its start time must have restarted between both.
    fn has_restarted_between(&self, other: &Crash) -> bool {
        let (earlier, later) = match self.crashed_ms <= other.crashed_ms {
            true => (self, other),
            false => (other, self),
        };
        later.sent_ms.since(earlier.crashed_ms) >= MIN_RESTART_MS
            || later.crashed_ms.since(earlier.crashed_ms) >= MAX_REPORT_DELAY_MS
    }

    /// Whether both may be copies of one host's report that arrived with different delays, which
    /// shift a report as a whole.
    fn may_be_copy_of(&self, other: &Crash) -> bool {
        let took_ms = |crash: &Crash| crash.crashed_ms.since(crash.sent_ms);
        self.upstream == other.upstream
            && self.run == other.run
            && self.seen_by == other.seen_by
            && took_ms(self) == took_ms(other)
            && self.crashed_ms.since(other.crashed_ms) < MAX_REPORT_DELAY_MS
            && other.crashed_ms.since(self.crashed_ms) < MAX_REPORT_DELAY_MS
    }
}

/// The longest sequence of crashes without overlap, earliest first.
fn longest_sequence(mut crashes: Vec<Crash>) -> Vec<Crash> {
    crashes.sort_by_key(|crash| (crash.crashed_ms, crash.sent_ms));
    let mut sequence: Vec<Crash> = Vec::new();
    for crash in crashes {
        if sequence.last().is_none_or(|last| crash.follows(last)) {
            sequence.push(crash);
        }
    }
    sequence
}
