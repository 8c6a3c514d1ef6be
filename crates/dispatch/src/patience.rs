//! When an offer of an upstream is taken.
//!
//! A request that is handed to an upstream that is slow or full is bound to it. Kept back
//! for a moment and offered again, it finds one that has become free: slots free up every
//! few milliseconds, and neighbours' load moves on. So an offer that would miss the
//! objective is declined, for as long as a refusal would still come early enough for the
//! caller to try again within its own time.

use domain::Millis;
use serde::Serialize;

/// Part of the objective for which a request is kept back: a caller that is refused within
/// it and comes back still counts as served in time.
const KEPT_BACK: f64 = 0.22;

/// Pause between two rounds of asking.
const PAUSE_MS: Millis = Millis(15);

/// An upstream's offer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Offer {
    /// How long it would take; none if that is not known yet.
    pub expected_ms: Option<Millis>,
}

/// Times of the request that is to be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
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
    Take,
    /// Others are asked after this pause.
    AskAgain(Millis),
    /// There is none that would be in time: the request is refused.
    Refuse,
}

impl Patience {
    /// Weighs the best offer of a round.
    pub fn weigh(&self, now_ms: Millis, offer: Offer) -> Verdict {
        let Some(expected_ms) = offer.expected_ms else { return Verdict::Take };
        let done_ms = now_ms + expected_ms;
        let is_in_time = done_ms <= self.arrived_ms + self.objective_ms;
        let kept_ms = Millis((self.objective_ms.as_f64() * KEPT_BACK) as u64);
        let may_wait = now_ms + PAUSE_MS <= self.arrived_ms + kept_ms;
        match is_in_time {
            true => Verdict::Take,
            false if may_wait => Verdict::AskAgain(PAUSE_MS),
            false if done_ms >= self.end_ms => Verdict::Refuse,
            false => Verdict::Take,
        }
    }
}
