//! The mark on an upstream that said it is leaving.
//!
//! Whoever hears it first tells its peers. No configuration and no message that comes
//! late takes the mark back: it goes when the upstream is published anew (another
//! address, or removed and added again), or when the upstream was heard serving long
//! enough after it was last heard leaving. What counts as heard serving is a direct
//! answer to something sent after that time; a peer's word counts only as the answer to
//! this host's own question, whose time of asking bounds its age.
//!
//! Health endpoints mislead. One that went on saying "serving" all through the leaving is
//! believed only after [`MISLED_HOLD_MS`]; one that was seen to change, after [`HOLD_MS`].

use domain::{HostId, Millis};
use serde::Serialize;

/// Time after the last word of leaving before a word of serving may count.
pub const HOLD_MS: Millis = Millis(30_000);
/// The same where probes found the upstream serving all the time.
pub const MISLED_HOLD_MS: Millis = Millis(120_000);
/// Time between questions to the upstream's prober.
const ASK_EVERY_MS: Millis = Millis(3_000);

/// Who said that an upstream is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeavingSource {
    /// The upstream, on an answer.
    Answer,
    /// The upstream, to a probe.
    Probe,
    /// A peer.
    Peer(HostId),
}

/// An upstream said that it is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LeavingMark {
    /// Who said it first.
    pub source: LeavingSource,
    /// When it was first said.
    pub since_ms: Millis,
    /// When it was last said.
    pub heard_ms: Millis,
    /// A probe since then found it leaving, or failed.
    pub seen_down: bool,
    /// First of the two probes in a row that must find it serving.
    first_serving_ms: Option<Millis>,
    question: Option<Question>,
}

/// A question to the upstream's prober.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
struct Question {
    nonce: u64,
    asked_ms: Millis,
}

impl LeavingMark {
    /// A mark set now.
    pub fn new(heard_ms: Millis, source: LeavingSource) -> LeavingMark {
        LeavingMark {
            seen_down: source == LeavingSource::Probe,
            source,
            since_ms: heard_ms,
            heard_ms,
            first_serving_ms: None,
            question: None,
        }
    }

    /// It was said again.
    pub fn renew(&mut self, heard_ms: Millis, source: &LeavingSource) {
        self.heard_ms = self.heard_ms.max(heard_ms);
        self.seen_down |= *source == LeavingSource::Probe;
    }

    /// Whether a word of serving may count by now.
    pub fn is_held(&self, now_ms: Millis) -> bool {
        now_ms < self.heard_ms + HOLD_MS
    }

    /// Notes a probe that found the upstream serving. Returns whether the mark is to go.
    pub fn note_serving_probe(&mut self, sent_ms: Millis) -> bool {
        let hold_ms = if self.seen_down { HOLD_MS } else { MISLED_HOLD_MS };
        let counts = |sent_ms: Millis| sent_ms >= self.heard_ms + hold_ms;
        if !counts(sent_ms) {
            return false;
        }
        let is_second = self.first_serving_ms.is_some_and(counts);
        self.first_serving_ms = Some(sent_ms);
        is_second
    }

    /// Notes a probe that failed.
    pub fn note_failed_probe(&mut self) {
        self.seen_down = true;
        self.first_serving_ms = None;
    }

    /// Asks the prober if it is time. Returns whether the question is to be sent.
    pub fn ask(&mut self, now_ms: Millis, nonce: u64) -> bool {
        let asked_ms = self.question.map(|question| question.asked_ms);
        let due = asked_ms.is_none_or(|asked_ms| now_ms.since(asked_ms) >= ASK_EVERY_MS);
        if self.is_held(now_ms) || !due {
            return false;
        }
        self.question = Some(Question { nonce, asked_ms: now_ms });
        true
    }

    /// When the upstream was heard serving, by the answer to the question of that nonce.
    ///
    /// `None` unless that is late enough for the mark to go.
    pub fn answered(&self, nonce: u64, seen_ago_ms: Millis) -> Option<Millis> {
        let question = self.question.filter(|question| question.nonce == nonce)?;
        let seen_ms = question.asked_ms - seen_ago_ms;
        (!self.is_held(seen_ms)).then_some(seen_ms)
    }
}
