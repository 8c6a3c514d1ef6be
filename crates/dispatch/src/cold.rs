//! Tracks whether an upstream is cold ([`Warmth`]).
//!
//! One that has just started or was unreachable works slowly, and crashes under more requests a
//! second than its service's limit for cold upstreams ([`crate::fleet_rate`]).

use domain::Millis;
use serde::Serialize;

/// Slowdown that is assumed of a cold upstream as long as it has not reported its own.
pub(crate) const COLD_SLOWNESS: f64 = 2.0;

/// Whether an upstream is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Warmth {
    /// It works at its normal speed.
    Warm,
    /// It reported that it is cold.
    Cold,
    /// It was unreachable, or its availability zone was evacuated: it may have become cold since.
    Unknown,
}

/// What an upstream's health checks and its entry stated about being cold.
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

    /// When it last became cold or unknown.
    pub(crate) fn since_ms(&self) -> Millis {
        self.since_ms
    }

    /// Applies a newly written entry. It is older than the last health check, so it never shortens
    /// a known time.
    pub(crate) fn apply_entry(&mut self, now_ms: Millis, left_ms: Millis) {
        if left_ms > Millis::ZERO {
            self.begin(now_ms);
            self.until_ms = self.until_ms.max(now_ms + left_ms);
        }
    }

    /// Records a health check's response; none if the upstream doesn't report being cold.
    pub(crate) fn record_warmup_left(&mut self, now_ms: Millis, left_ms: Option<Millis>) {
        if left_ms.is_some_and(|left_ms| left_ms > Millis::ZERO) {
            self.begin(now_ms);
        }
        self.until_ms = left_ms.map_or(self.until_ms, |left_ms| now_ms + left_ms);
        self.is_outdated = false;
    }

    /// Records that the upstream was unreachable or evacuated: what it stated before no longer
    /// holds.
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
