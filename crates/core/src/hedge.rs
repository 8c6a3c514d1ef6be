//! Hedged requests: a second sending while the first is still out.
//!
//! Only idempotent calls with a body that can be sent again are hedged, after a time
//! that few calls take, from a budget of their own, and only to another upstream that
//! probably has a slot free: a hedge that waits helps nobody.

use crate::action::Action;
use crate::call::Stage;
use crate::entry_host::EntryHost;
use config::{HedgeSettings, RepeatRule};
use domain::{CallId, Millis, Share};

/// Answers needed before the quantile means anything.
const MIN_SAMPLES: u32 = 50;
/// Answers after which all counts are halved, so that old ones fade.
const FADE_AFTER: u32 = 4000;
/// Buckets for each doubling of the latency.
const PER_DOUBLING: f64 = 4.0;
const BUCKETS: usize = 72;

/// Recent latency of one service, in buckets of equal ratio; old answers fade.
#[derive(Debug, Clone)]
pub struct RecentLatency {
    counts: [u32; BUCKETS],
    total: u32,
}

impl Default for RecentLatency {
    fn default() -> RecentLatency {
        RecentLatency { counts: [0; BUCKETS], total: 0 }
    }
}

impl RecentLatency {
    /// Notes an answer.
    pub fn note(&mut self, latency_ms: Millis) {
        let bucket = ((latency_ms.as_f64() + 1.0).log2() * PER_DOUBLING) as usize;
        self.counts[bucket.min(BUCKETS - 1)] += 1;
        self.total += 1;
        if self.total >= FADE_AFTER {
            self.fade();
        }
    }

    /// Upper bound of the latency at a quantile; `None` before enough answers came.
    pub fn quantile(&self, quantile: Share) -> Option<Millis> {
        if self.total < MIN_SAMPLES {
            return None;
        }
        let wanted = (f64::from(self.total) * quantile.0).ceil() as u32;
        let mut seen = 0;
        let bucket = self.counts.iter().position(|&count| {
            seen += count;
            seen >= wanted
        });
        let upper = ((bucket.unwrap_or(BUCKETS - 1) + 1) as f64 / PER_DOUBLING).exp2() - 1.0;
        Some(Millis(upper.ceil() as u64))
    }

    /// How long after its sending a call is hedged; `None` if hedges are off.
    pub fn hedge_delay_ms(&self, settings: &HedgeSettings) -> Option<Millis> {
        if settings.budget_share.0 <= 0.0 {
            return None;
        }
        let delay_ms = self.quantile(settings.after_quantile)?;
        Some(delay_ms.max(settings.min_delay_ms))
    }

    fn fade(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }
}

impl EntryHost {
    /// Notes when a call that was just sent is hedged, if it may be.
    pub(crate) fn plan_hedge(&mut self, now_ms: Millis, id: CallId) {
        let Some(in_force) = &self.in_force else { return };
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(state) = self.services.get(&call.service) else { return };
        let max_attempts = in_force.config.retry.max_attempts;
        let may_hedge = call.repeat == RepeatRule::Idempotent
            && call.head.body_replayable
            && call.spent_attempts() < max_attempts;
        let delay_ms = state.latency.hedge_delay_ms(&in_force.config.hedge);
        let Some(delay_ms) = delay_ms.filter(|_| may_hedge) else { return };
        let at_ms = now_ms + delay_ms;
        if at_ms < call.deadline_ms {
            call.hedge_at_ms = Some(at_ms);
            self.hedge_times.insert((at_ms, id));
        }
    }

    /// Hedges the calls whose answers are late.
    pub(crate) fn hedge_calls(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        while let Some(&(at_ms, id)) = self.hedge_times.first()
            && at_ms <= now_ms
        {
            self.hedge_times.pop_first();
            self.hedge(now_ms, id, actions);
        }
    }

    fn hedge(&mut self, now_ms: Millis, id: CallId, actions: &mut Vec<Action>) {
        let Some(in_force) = &self.in_force else { return };
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.hedge_at_ms = None;
        let Some(state) = self.services.get_mut(&call.service) else { return };
        let in_time = call.deadline_ms > now_ms + state.shortest_service_ms();
        if call.stage != Stage::Sent || call.live.len() != 1 || !in_time || !state.hedges.has_one()
        {
            return;
        }
        let policy = in_force.config.policy;
        let spare = state.take_spare_slot(now_ms, policy, &call.avoid, &mut self.rng);
        if let Some(taken) = spare {
            state.hedges.spend();
            self.send_attempt(now_ms, id, taken, actions);
        }
    }
}
