//! The rate limit that one process run of an upstream stated.

use crate::fleet_rate::FleetRate;
use domain::{Millis, PerSecond, SignedTime};
use serde::Serialize;

/// Lowest limit that is applied. With no requests at all to an upstream that stated zero, no host
/// would learn that the limit is over; at this rate, the whole fleet sends one request every four
/// seconds.
const MIN_RATE: PerSecond = PerSecond(0.25);

/// Relative change of a limit that isn't broadcast, since each response may state a slightly
/// different one.
const TOLERANCE: f64 = 0.1;

/// A change of a limit.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "limit", content = "per_s")]
pub enum LimitChange {
    /// There was none before.
    Began(PerSecond),
    /// It has another value.
    Changed(PerSecond),
    /// The upstream is unlimited again.
    Ended,
}

#[derive(Debug, Default)]
pub(super) struct RateLimit {
    rate: Option<PerSecond>,
    /// The upstream stated one before, and no longer does.
    has_ended: bool,
    /// When the upstream last stated `rate`.
    stated_at: Option<SignedTime>,
    /// When the limit began.
    since_ms: Millis,
    /// Requests that this host had sent in the second before the limit began.
    sent_before: f64,
    /// The limit that peers know, or receive next if `is_pending`.
    broadcast_rate: Option<PerSecond>,
    is_pending: bool,
}

impl RateLimit {
    pub(super) fn rate(&self) -> Option<PerSecond> {
        self.rate
    }

    /// Time since the upstream last stated it.
    pub(super) fn age_ms(&self, now_ms: Millis) -> Millis {
        self.stated_at.map_or(Millis::MAX, |stated_at| stated_at.age_ms(now_ms))
    }

    /// Whether the upstream ever stated a limit.
    pub(super) fn was_stated(&self) -> bool {
        self.rate.is_some() || self.has_ended
    }

    pub(super) fn broadcast_rate(&self) -> Option<PerSecond> {
        self.broadcast_rate
    }

    pub(super) fn in_force(&self) -> Option<FleetRate> {
        let rate = PerSecond(self.rate?.0.max(MIN_RATE.0));
        Some(FleetRate { rate, since_ms: self.since_ms, sent_before: Some(self.sent_before) })
    }

    /// Records what the upstream stated in a response to this host.
    pub(super) fn record(
        &mut self,
        now_ms: Millis,
        rate: Option<PerSecond>,
        sent_before: f64,
    ) -> Option<LimitChange> {
        self.stated_at = Some(SignedTime::from_age(now_ms, Millis::ZERO));
        if !is_close(self.broadcast_rate, rate) {
            self.broadcast_rate = rate;
            self.is_pending = true;
        }
        self.set(now_ms, rate, sent_before)
    }

    /// Merges what the upstream stated in a response to another host; ignored unless it is newer.
    pub(super) fn merge(
        &mut self,
        now_ms: Millis,
        stated_at: SignedTime,
        rate: Option<PerSecond>,
        sent_before: f64,
    ) -> Option<LimitChange> {
        if self.stated_at.is_some_and(|known| stated_at <= known) {
            return None;
        }
        self.stated_at = Some(stated_at);
        self.broadcast_rate = rate;
        self.is_pending = false;
        self.set(now_ms, rate, sent_before)
    }

    pub(super) fn is_pending(&self) -> bool {
        self.is_pending
    }

    pub(super) fn take_pending(&mut self) -> bool {
        std::mem::take(&mut self.is_pending)
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
            (Some(_), Some(rate)) if !is_close(former, Some(rate)) => {
                Some(LimitChange::Changed(rate))
            }
            _ => None,
        }
    }
}

fn is_close(one: Option<PerSecond>, other: Option<PerSecond>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => (one.0 - other.0).abs() <= TOLERANCE * one.0,
        (one, other) => one.is_none() && other.is_none(),
    }
}
