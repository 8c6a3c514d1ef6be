//! When an offer of an upstream is taken.
//!
//! A request that is handed to an upstream that is slow or full is bound to it. Kept back
//! for a moment and offered again, it finds one that has become free: slots free up every
//! few milliseconds, and neighbours' load moves on. So an offer that would miss the
//! objective is declined, for as long as a refusal would still come early enough for the
//! caller to try again within its own time. Where upstreams then offer to be far too late,
//! the request is refused: late work would take the room of requests that can be in time.

use domain::Millis;
use serde::Serialize;

/// Part of the objective for which a request is kept back: a caller that is refused within
/// it still has time to come back. With 0.45 and 0.65 the worth of days with bursts fell by
/// 0.01 to 0.1.
const KEPT_BACK: f64 = 0.15;

/// Pause between two rounds of asking; with 15 ms callers got 0.007 less of what they were owed
/// where a third of the upstreams was slowed seven times.
const PAUSE_MS: Millis = Millis(8);

/// An offer that takes longer than this many objectives is none. Refusing only what misses
/// its end cost 0.02 of what callers were owed where a third of the upstreams was slowed seven
/// times, and 0.01 in bursts where a quarter was.
pub(crate) const MAX_LATENESS: f64 = 1.2;

/// An upstream's offer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LatencyEstimate {
    /// How long it would take; none if that is not known yet.
    pub expected_ms: Option<Millis>,
}

/// Times of the request that is to be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeadlineCheck {
    /// When it arrived.
    pub arrived_ms: Millis,
    /// Time in which its answer is of full use.
    pub objective_ms: Millis,
    /// When its final answer is due.
    pub end_ms: Millis,
}

/// What becomes of an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It is taken.
    #[serde(rename = "take")]
    Send,
    /// Others are asked after this pause.
    #[serde(rename = "ask-again")]
    ProbeAgain(Millis),
    /// There is none that would be in time: the request is refused.
    Refuse,
}

impl DeadlineCheck {
    /// Weighs the best offer of a round.
    pub fn check(&self, now_ms: Millis, estimate: LatencyEstimate) -> Verdict {
        let Some(expected_ms) = estimate.expected_ms else { return Verdict::Send };
        let done_ms = now_ms + expected_ms;
        let is_in_time = done_ms <= self.after(1.0);
        let may_wait = now_ms + PAUSE_MS <= self.after(KEPT_BACK);
        match is_in_time {
            true => Verdict::Send,
            false if may_wait => Verdict::ProbeAgain(PAUSE_MS),
            false if done_ms >= self.end_ms.min(self.after(MAX_LATENESS)) => Verdict::Refuse,
            false => Verdict::Send,
        }
    }

    /// The point at which so many objectives are over.
    fn after(&self, objectives: f64) -> Millis {
        self.arrived_ms + Millis((self.objective_ms.as_f64() * objectives) as u64)
    }
}
