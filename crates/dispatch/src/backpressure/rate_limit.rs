//! The limit that one run of an upstream names.

use crate::fleet_rate::FleetRate;
use domain::{Millis, PerSecond, SignedTime};
use serde::Serialize;

/// Smallest limit that is kept to: with nothing sent to an upstream that named zero, nobody would
/// hear that the limit is over. The whole fleet finds out with one request in so many seconds.
const LEAST_RATE: PerSecond = PerSecond(0.25);

/// Part by which a limit may change without peers being told: each answer may name another.
const SAME_PART: f64 = 0.1;

/// What became of a limit.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "limit", content = "per_s")]
pub enum LimitChange {
    /// There was none before.
    Began(PerSecond),
    /// It is another one.
    Changed(PerSecond),
    /// The upstream takes what comes.
    Ended,
}

#[derive(Debug, Default)]
pub(super) struct RateLimit {
    rate: Option<PerSecond>,
    /// It named one before, and does no more.
    has_ended: bool,
    /// When the upstream said so last.
    said: Option<SignedTime>,
    /// When it began to limit what it takes.
    since_ms: Millis,
    /// Requests that this host had sent it in the second before.
    sent_before: f64,
    /// What peers hold, as far as they were told.
    told: Option<PerSecond>,
    is_untold: bool,
}

impl RateLimit {
    pub(super) fn rate(&self) -> Option<PerSecond> {
        self.rate
    }

    /// Time since the upstream said so last.
    pub(super) fn age_ms(&self, now_ms: Millis) -> Millis {
        self.said.map_or(Millis::MAX, |said| said.age_ms(now_ms))
    }

    /// Whether any host ever heard the upstream name one, or end it.
    pub(super) fn was_named(&self) -> bool {
        self.rate.is_some() || self.has_ended
    }

    pub(super) fn told(&self) -> Option<PerSecond> {
        self.told
    }

    pub(super) fn in_force(&self) -> Option<FleetRate> {
        let rate = PerSecond(self.rate?.0.max(LEAST_RATE.0));
        Some(FleetRate { rate, since_ms: self.since_ms, sent_before: Some(self.sent_before) })
    }

    /// The upstream said so now, to this host.
    pub(super) fn note(
        &mut self,
        now_ms: Millis,
        rate: Option<PerSecond>,
        sent_before: f64,
    ) -> Option<LimitChange> {
        self.said = Some(SignedTime::from_age(now_ms, Millis::ZERO));
        if !is_about(self.told, rate) {
            self.told = rate;
            self.is_untold = true;
        }
        self.set(now_ms, rate, sent_before)
    }

    /// It said so to another host, which told this one.
    pub(super) fn take(
        &mut self,
        now_ms: Millis,
        said: SignedTime,
        rate: Option<PerSecond>,
        sent_before: f64,
    ) -> Option<LimitChange> {
        if self.said.is_some_and(|known| said <= known) {
            return None;
        }
        self.said = Some(said);
        self.told = rate;
        self.is_untold = false;
        self.set(now_ms, rate, sent_before)
    }

    pub(super) fn is_untold(&self) -> bool {
        self.is_untold
    }

    pub(super) fn take_untold(&mut self) -> bool {
        std::mem::take(&mut self.is_untold)
    }

    fn set(
        &mut self,
        now_ms: Millis,
        rate: Option<PerSecond>,
        sent_before: f64,
    ) -> Option<LimitChange> {
        let former = std::mem::replace(&mut self.rate, rate);
        match (former, rate) {
            (None, Some(rate)) => {
                self.since_ms = now_ms;
                self.sent_before = sent_before;
                Some(LimitChange::Began(rate))
            }
            (Some(_), None) => {
                self.has_ended = true;
                Some(LimitChange::Ended)
            }
            (Some(_), Some(rate)) if !is_about(former, Some(rate)) => {
                Some(LimitChange::Changed(rate))
            }
            _ => None,
        }
    }
}

fn is_about(one: Option<PerSecond>, other: Option<PerSecond>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => (one.0 - other.0).abs() <= SAME_PART * one.0,
        (one, other) => one.is_none() && other.is_none(),
    }
}
