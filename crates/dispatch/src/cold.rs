//! Whether an upstream is cold ([`Warmth`]).
//!
//! One that has just started, or was away, works slowly, and ends under more requests a second than
//! its service states ([`crate::fleet_rate`]).

use domain::Millis;
use serde::Serialize;

/// How much slower a cold upstream works, as long as nothing else is known.
pub(crate) const COLD_SLOWNESS: f64 = 2.0;

/// Whether an upstream is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Warmth {
    /// It works at its usual speed.
    Warm,
    /// It said that it is cold.
    Cold,
    /// It was away, or its availability zone was evacuated: it may have become cold since.
    Unknown,
}

/// What an upstream and its entry told of its being cold.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct WarmupState {
    since_ms: Millis,
    until_ms: Millis,
    is_outdated: bool,
}

impl WarmupState {
    pub(crate) fn at(&self, now_ms: Millis) -> Warmth {
        match self {
            WarmupState { is_outdated: true, .. } => Warmth::Unknown,
            WarmupState { until_ms, .. } if now_ms < *until_ms => Warmth::Cold,
            WarmupState { .. } => Warmth::Warm,
        }
    }

    /// When it was last known to become cold, or to be possibly so.
    pub(crate) fn since_ms(&self) -> Millis {
        self.since_ms
    }

    /// Its entry was written anew. That was a while ago, so it never shortens what is known.
    pub(crate) fn apply_entry(&mut self, now_ms: Millis, left_ms: Millis) {
        if left_ms > Millis::ZERO {
            self.begin(now_ms);
            self.until_ms = self.until_ms.max(now_ms + left_ms);
        }
    }

    /// It answered a health check; none if it is not of those that tell.
    pub(crate) fn record_warmup_left(&mut self, now_ms: Millis, left_ms: Option<Millis>) {
        if left_ms.is_some_and(|left_ms| left_ms > Millis::ZERO) {
            self.begin(now_ms);
        }
        self.until_ms = left_ms.map_or(self.until_ms, |left_ms| now_ms + left_ms);
        self.is_outdated = false;
    }

    /// It was away: what was told no longer holds.
    pub(crate) fn mark_unknown(&mut self, now_ms: Millis) {
        self.begin(now_ms);
        self.is_outdated = true;
    }

    fn begin(&mut self, now_ms: Millis) {
        if self.at(now_ms) == Warmth::Warm {
            self.since_ms = now_ms;
        }
    }
}
