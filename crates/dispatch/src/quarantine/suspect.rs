//! What speaks against one request.

use domain::{HostId, Millis, UpstreamId};
use published::RunStart;

/// Most crashes that are remembered of a request: those of five trials after it was held back.
const MAX_CRASHES: usize = 8;

/// A process that doesn't tell its start may have crashed again after so long: it takes at least
/// that to be back, and messages of its first crash are rarely later.
const RESTART_MS: Millis = Millis(1_000);

/// Crashes within this time are one: upstreams that lose their power together end within some
/// milliseconds, and a request that is sent on in between is on the next of them.
const TOGETHER_MS: Millis = Millis(10);

/// An upstream's process ended while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The run that ended.
    pub run: RunStart,
    /// The host that had sent the request there.
    pub seen_by: HostId,
    /// When it was sent.
    pub sent_ms: Millis,
    /// When its connection broke.
    pub crashed_ms: Millis,
}

/// What speaks against a request, and for it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Suspect {
    /// Crashes one after the other: each sending began after the crash before it.
    crashes: Vec<Crash>,
    /// When an upstream last ran the request to its end, or an operator lifted the verdict.
    cleared_ms: Option<Millis>,
    /// Peers hold the same, or are told soon.
    is_told: bool,
    /// When it was held back, others were in as many crashes.
    is_doubtful: bool,
    /// Until then a host of the fleet is taken to have it at an upstream, as a trial.
    trial_until_ms: Option<Millis>,
}

impl Suspect {
    /// Crashes that count.
    pub(super) fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// When it was last cleared.
    pub(super) fn cleared_ms(&self) -> Option<Millis> {
        self.cleared_ms
    }

    /// The end of a trial that goes on.
    pub(super) fn trial_until_ms(&self, now_ms: Millis) -> Option<Millis> {
        self.trial_until_ms.filter(|&until_ms| now_ms < until_ms)
    }

    /// Whether peers hold the same, or are told soon.
    pub(super) fn is_told(&self) -> bool {
        self.is_told
    }

    pub(super) fn set_told(&mut self) {
        self.is_told = true;
    }

    /// Whether it was held back when others were in as many crashes.
    pub(super) fn is_doubtful(&self) -> bool {
        self.is_doubtful
    }

    pub(super) fn set_doubtful(&mut self, is_doubtful: bool) {
        self.is_doubtful = is_doubtful;
    }

    /// When something was last learned of it.
    pub(super) fn last_ms(&self) -> Millis {
        let crashed_ms = self.crashes.last().map(|crash| crash.crashed_ms);
        crashed_ms.max(self.cleared_ms).unwrap_or_default()
    }

    /// Takes a crash in; true if more speaks against the request now.
    ///
    /// A crash that several hosts saw or that is told twice counts once. So do crashes that
    /// overlap: many copies of a request were on upstreams that lost their power together, say.
    pub(super) fn add_crash(&mut self, crash: Crash) -> bool {
        let is_void = self.cleared_ms.is_some_and(|cleared_ms| crash.crashed_ms <= cleared_ms);
        if is_void || self.crashes.iter().any(|known| known.is_same(&crash)) {
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

    /// A host has it at an upstream until then at the latest.
    pub(super) fn begin_trial(&mut self, until_ms: Millis) {
        self.trial_until_ms = self.trial_until_ms.max(Some(until_ms));
    }

    /// The trial is over.
    pub(super) fn end_trial(&mut self) {
        self.trial_until_ms = None;
    }

    /// It ran to its end, or was lifted: what was held against it until then is void.
    pub(super) fn clear(&mut self, at_ms: Millis) -> bool {
        let had_any = !self.crashes.is_empty();
        self.cleared_ms = self.cleared_ms.max(Some(at_ms));
        self.crashes.retain(|crash| crash.crashed_ms > at_ms);
        self.trial_until_ms = None;
        had_any && self.crashes.is_empty()
    }
}

impl Crash {
    /// The same by a clock that started earlier.
    pub(super) fn later_by(self, span_ms: Millis) -> Crash {
        let (sent_ms, crashed_ms) = (self.sent_ms + span_ms, self.crashed_ms + span_ms);
        Crash { sent_ms, crashed_ms, ..self }
    }

    /// The same by a clock that started later.
    pub(super) fn earlier_by(self, span_ms: Millis) -> Crash {
        let (sent_ms, crashed_ms) = (self.sent_ms - span_ms, self.crashed_ms - span_ms);
        Crash { sent_ms, crashed_ms, ..self }
    }

    /// Whether the request was sent after another crash, and what ended then did not end with this.
    fn follows(&self, earlier: &Crash) -> bool {
        earlier.crashed_ms <= self.sent_ms
            && self.crashed_ms.since(earlier.crashed_ms) >= TOGETHER_MS
    }

    /// Whether it is the end of the same process: a run ends once.
    fn is_same(&self, other: &Crash) -> bool {
        let apart_ms =
            self.crashed_ms.since(other.crashed_ms).max(other.crashed_ms.since(self.crashed_ms));
        let is_told = self.run != RunStart::default();
        self.upstream == other.upstream
            && self.run == other.run
            && (is_told || apart_ms < RESTART_MS)
    }
}

/// The most crashes of which none overlaps another, earliest first.
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
