//! The mark on an upstream that said it is leaving.
//!
//! Whoever hears it first tells its peers. No configuration and no message that comes
//! late takes the mark back: it goes when the upstream is published anew (another
//! address, or removed and added again), or when the upstream was heard serving at
//! least [`HOLD_MS`] after it was last heard leaving. What counts as heard serving is a
//! direct answer to something sent after that time; a peer's word counts only as the
//! answer to this host's own question, whose time of asking bounds its age.

use domain::{HostId, Millis};
use serde::Serialize;

/// Time after the last word of leaving before a word of serving may count.
pub const HOLD_MS: Millis = Millis(30_000);
/// Probes in a row that must find the upstream serving.
const SERVING_PROBES: u32 = 2;
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
    serving_probes: u32,
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
        LeavingMark { source, since_ms: heard_ms, heard_ms, serving_probes: 0, question: None }
    }

    /// It was said again.
    pub fn renew(&mut self, heard_ms: Millis) {
        self.heard_ms = self.heard_ms.max(heard_ms);
        self.serving_probes = 0;
    }

    /// Whether a word of serving may count by now.
    pub fn is_held(&self, now_ms: Millis) -> bool {
        now_ms < self.heard_ms + HOLD_MS
    }

    /// Notes a probe that found the upstream serving. Returns whether the mark is to go.
    pub fn note_serving_probe(&mut self, sent_ms: Millis) -> bool {
        if !self.is_held(sent_ms) {
            self.serving_probes += 1;
        }
        self.serving_probes >= SERVING_PROBES
    }

    /// Notes a probe that failed.
    pub fn note_failed_probe(&mut self) {
        self.serving_probes = 0;
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
