//! Token buckets for one sender's share of fleet-wide rates.

use decision_core::{Job, Role};
use domain::{FastMap, HostId, Millis, PerSecond, UpstreamId};

/// Unspent requests are saved up for this time at most: all hosts might spend what they saved
/// within the same second.
const MAX_SAVED_S: f64 = 0.5;

/// Requests sent in the second before a limit began, beyond its rate, are deducted, since the
/// upstream still works on them and stated the limit because of them. At most this much time of
/// the rate, as callers wait.
const MAX_DEDUCTED_S: f64 = 3.0;

/// Largest error of a sum of tokens.
const ROUNDING_ERROR: f64 = 1e-6;

/// The rate that the whole fleet may send to an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetRate {
    /// Requests of all hosts together.
    pub rate: PerSecond,
    /// When the limit began.
    pub since_ms: Millis,
    /// Requests that this host had sent there in the second before; none where they aren't
    /// deducted.
    pub sent_before: Option<f64>,
}

/// Token buckets of one sender, one for each upstream with a limited rate.
#[derive(Debug)]
pub(crate) struct RateBudget {
    host: HostId,
    buckets: FastMap<UpstreamId, TokenBucket>,
}

/// Token bucket of one upstream.
#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    tokens: f64,
    at_ms: Millis,
}

impl RateBudget {
    /// Creates the budget of a host that has sent nothing yet.
    pub(crate) fn new(host: HostId) -> RateBudget {
        RateBudget { host, buckets: FastMap::default() }
    }

    /// Whether a sender that has this share of the rate may send a request now.
    pub(crate) fn allows_request(
        &self,
        now_ms: Millis,
        id: &UpstreamId,
        limit: FleetRate,
        share: f64,
    ) -> bool {
        self.tokens(now_ms, id, limit, share) >= 1.0 - ROUNDING_ERROR
    }

    /// Time until a sender that has this share of the rate may send its next request.
    pub(crate) fn next_request_in(
        &self,
        now_ms: Millis,
        id: &UpstreamId,
        limit: FleetRate,
        share: f64,
    ) -> Millis {
        let missing = 1.0 - self.tokens(now_ms, id, limit, share);
        let rate_per_ms = limit.rate.0 * share / 1_000.0;
        match missing > 0.0 {
            true => Millis((missing / rate_per_ms.max(1e-9)).ceil() as u64),
            false => Millis::ZERO,
        }
    }

    /// Deducts a request that is sent.
    pub(crate) fn spend(&mut self, now_ms: Millis, id: &UpstreamId, limit: FleetRate, share: f64) {
        let tokens = self.tokens(now_ms, id, limit, share) - 1.0;
        self.buckets.insert(id.clone(), TokenBucket { tokens, at_ms: now_ms });
    }

    /// Returns a request that was not sent after all.
    pub(crate) fn refund(&mut self, id: &UpstreamId) {
        if let Some(bucket) = self.buckets.get_mut(id) {
            bucket.tokens += 1.0;
        }
    }

    /// Drops upstreams that no longer exist or have no limit.
    pub(crate) fn retain(&mut self, has_rate: impl Fn(&UpstreamId) -> bool) {
        self.buckets.retain(|id, _| has_rate(id));
    }

    fn tokens(&self, now_ms: Millis, id: &UpstreamId, limit: FleetRate, share: f64) -> f64 {
        let rate = limit.rate.0 * share;
        if rate <= 0.0 {
            return 0.0;
        }
        let is_of_this_limit = |bucket: &&TokenBucket| bucket.at_ms >= limit.since_ms;
        let former = self.buckets.get(id).filter(is_of_this_limit).copied();
        let TokenBucket { tokens, at_ms } =
            former.unwrap_or_else(|| self.initial(id, limit, share));
        let gained = now_ms.since(at_ms).as_f64() / 1_000.0 * rate;
        match tokens + gained {
            tokens if rate * MAX_SAVED_S >= 1.0 => tokens.min(rate * MAX_SAVED_S),
            // Less than one request can be saved up in time: a token that isn't used expires
            // again.
            tokens if tokens >= 1.0 => {
                let cycle = 1.0 + MAX_SAVED_S * rate;
                let grown = (tokens - 1.0) % cycle;
                if grown <= MAX_SAVED_S * rate { 1.0 } else { grown - MAX_SAVED_S * rate }
            }
            tokens => tokens,
        }
    }

    /// Initial bucket. Spreads the first requests of all senders over time, such that one of them
    /// may be sent at once.
    fn initial(&self, id: &UpstreamId, limit: FleetRate, share: f64) -> TokenBucket {
        let drawn = Job { role: Role::Prober, name: id.as_str() }.weight(&self.host);
        let phase = drawn as f64 / u64::MAX as f64;
        let initial = if phase < share { 1.0 } else { phase };
        let rate = limit.rate.0 * share;
        let sent_before = limit.sent_before.unwrap_or_default();
        let deducted = (sent_before - rate).clamp(0.0, MAX_DEDUCTED_S * rate);
        TokenBucket { tokens: initial - deducted, at_ms: limit.since_ms }
    }
}
