//! Decides whether a probed upstream's latency estimate is good enough to send a request there.
//!
//! Slots free up every few milliseconds and upstreams' load changes, so a request that would miss
//! its objective is delayed and upstreams are probed again, as long as a refusal would still leave
//! its caller time to retry. After that, a request that would be far too late is refused: it would
//! use capacity that others need to be in time.

use domain::Millis;
use serde::Serialize;

/// Part of the objective for which a request may be delayed; a caller that is refused by then still
/// has time to retry.
const MAX_DELAY_SHARE: f64 = 0.15;

/// Pause between two rounds of probes. With twice as much fewer callers were served in time where
/// upstreams were slowed down.
const PROBE_PAUSE_MS: Millis = Millis(8);

/// A response that takes longer than this multiple of the objective is useless. Refusing only what
/// would miss its deadline kept upstreams busy with late work, in bursts above all.
pub(crate) const MAX_LATENESS: f64 = 1.2;

/// Estimate of the best upstream of a round of probes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LatencyEstimate {
    /// Expected duration of the request; `None` if unknown.
    pub expected_ms: Option<Millis>,
}

/// Deadlines of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeadlineCheck {
    /// When it arrived.
    pub arrived_ms: Millis,
    /// Time within which a response is of full use.
    pub objective_ms: Millis,
    /// When the final response is due.
    pub end_ms: Millis,
}

/// What to do with the best upstream of a round of probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Send the request there.
    #[serde(rename = "take")]
    Send,
    /// Probe again after this pause.
    #[serde(rename = "ask-again")]
    ProbeAgain(Millis),
    /// Refuse the request, as no upstream would answer in time.
    Refuse,
}

impl DeadlineCheck {
    /// Checks the estimate of the best upstream of a round.
    pub fn check(&self, now_ms: Millis, estimate: LatencyEstimate) -> Verdict {
        let Some(expected_ms) = estimate.expected_ms else { return Verdict::Send };
        let done_ms = now_ms + expected_ms;
        let is_in_time = done_ms <= self.objectives_after_arrival(1.0);
        let may_wait = now_ms + PROBE_PAUSE_MS <= self.objectives_after_arrival(MAX_DELAY_SHARE);
        match is_in_time {
            true => Verdict::Send,
            false if may_wait => Verdict::ProbeAgain(PROBE_PAUSE_MS),
            false if done_ms >= self.end_ms.min(self.objectives_after_arrival(MAX_LATENESS)) => {
                Verdict::Refuse
            }
            false => Verdict::Send,
        }
    }

    /// The arrival time plus this multiple of the objective.
    fn objectives_after_arrival(&self, objectives: f64) -> Millis {
        self.arrived_ms + Millis((self.objective_ms.as_f64() * objectives) as u64)
    }
}
