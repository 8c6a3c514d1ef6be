//! What one sender has spent of fleet-wide rates, against its part of them.

use decision_core::{Job, Role};
use domain::{FastMap, HostId, Millis, PerSecond, UpstreamId};

/// A request that was not spent can be made up for within this time. Shares that were saved up
/// for longer would be spent by all hosts in the same second.
const SAVED_S: f64 = 0.5;

/// What was sent in the second before a rate began, beyond the rate, is paid back: the upstream has it
/// in work, and names a rate since it was too much. Not for longer than this, as callers wait.
const PAID_BACK_S: f64 = 3.0;

/// What the whole fleet may send to an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetRate {
    /// Requests of all hosts.
    pub rate: PerSecond,
    /// When the rate began to hold.
    pub since_ms: Millis,
    /// Requests that this host had sent there in the second before; none where they don't count.
    pub sent_before: Option<f64>,
}

/// What one sender has spent, by its part of the fleet's rates.
#[derive(Debug)]
pub(crate) struct RateBudget {
    host: HostId,
    spent: FastMap<UpstreamId, Allowance>,
}

/// Requests that are left for one upstream.
#[derive(Debug, Clone, Copy)]
struct Allowance {
    left: f64,
    at_ms: Millis,
}

impl RateBudget {
    /// Nothing is spent yet by this host.
    pub(crate) fn new(host: HostId) -> RateBudget {
        RateBudget { host, spent: FastMap::default() }
    }

    /// Whether a sender that has a part of the fleet's rate may send a request now.
    pub(crate) fn allows_request(
        &self,
        now_ms: Millis,
        id: &UpstreamId,
        limit: FleetRate,
        share: f64,
    ) -> bool {
        self.left(now_ms, id, limit, share) >= 1.0
    }

    /// When a sender that has a part of the fleet's rate may send its next request.
    pub(crate) fn next_request_in(
        &self,
        now_ms: Millis,
        id: &UpstreamId,
        limit: FleetRate,
        share: f64,
    ) -> Millis {
        let missing = 1.0 - self.left(now_ms, id, limit, share);
        let rate_per_ms = limit.rate.0 * share / 1_000.0;
        match missing > 0.0 {
            true => Millis((missing / rate_per_ms.max(1e-9)) as u64),
            false => Millis::ZERO,
        }
    }

    /// A request is sent.
    pub(crate) fn spend(&mut self, now_ms: Millis, id: &UpstreamId, limit: FleetRate, share: f64) {
        let left = self.left(now_ms, id, limit, share) - 1.0;
        self.spent.insert(id.clone(), Allowance { left, at_ms: now_ms });
    }

    /// A request was not sent after all.
    pub(crate) fn refund(&mut self, id: &UpstreamId) {
        if let Some(allowance) = self.spent.get_mut(id) {
            allowance.left += 1.0;
        }
    }

    /// Forgets upstreams that are gone, or take what comes.
    pub(crate) fn retain(&mut self, has_rate: impl Fn(&UpstreamId) -> bool) {
        self.spent.retain(|id, _| has_rate(id));
    }

    fn left(&self, now_ms: Millis, id: &UpstreamId, limit: FleetRate, share: f64) -> f64 {
        let rate = limit.rate.0 * share;
        if rate <= 0.0 {
            return 0.0;
        }
        let is_of_this_time = |allowance: &&Allowance| allowance.at_ms >= limit.since_ms;
        let former = self.spent.get(id).filter(is_of_this_time).copied();
        let Allowance { left, at_ms } = former.unwrap_or_else(|| self.first(id, limit, share));
        let gained = now_ms.since(at_ms).as_f64() / 1_000.0 * rate;
        match left + gained {
            left if rate * SAVED_S >= 1.0 => left.min(rate * SAVED_S),
            // Less than one is saved up in time: what is there and not used is lost again.
            left if left >= 1.0 => {
                let cycle = 1.0 + SAVED_S * rate;
                let grown = (left - 1.0) % cycle;
                if grown <= SAVED_S * rate { 1.0 } else { grown - SAVED_S * rate }
            }
            left => left,
        }
    }

    /// The first request of each sender comes at another time, and of all of them together one
    /// at once.
    fn first(&self, id: &UpstreamId, limit: FleetRate, share: f64) -> Allowance {
        let drawn = Job { role: Role::Prober, name: id.as_str() }.weight(&self.host);
        let phase = drawn as f64 / u64::MAX as f64;
        let first = if phase < share { 1.0 } else { phase };
        let rate = limit.rate.0 * share;
        let sent_before = limit.sent_before.unwrap_or_default();
        let beyond = (sent_before - rate).clamp(0.0, PAID_BACK_S * rate);
        Allowance { left: first - beyond, at_ms: limit.since_ms }
    }
}
