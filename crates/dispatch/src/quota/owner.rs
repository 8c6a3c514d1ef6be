//! Grants the tokens of the quotas that this host owns.

use super::token_bucket::TokenBucket;
use super::{ALLOWANCE_PART, QuotaTolerance, UNUSED_MS, Verdict};
use domain::{FastMap, Millis, OrganisationName, PerSecond};
use published::Quota;
use serde::Serialize;

/// How long a host counts as an owner after its last answer.
const ACTIVE_MS: Millis = Millis(2_000);

/// Time of a rate that even a bucket without a burst holds, so that tokens aren't lost between two
/// requests.
const SMALLEST_BUCKET_S: f64 = 0.5;

/// Part of the allowance with which the bucket of a new owner starts. The one before may just have
/// granted a whole bucket, and an owner may be replaced several times within a window.
const FIRST_BUCKET_PART: f64 = 0.06;

/// Part of the tolerance by which the owners of a split fleet may exceed the rate together, so that a
/// few dead hosts cost no organisation a part of its rate.
const SPLIT_PART: f64 = 0.2;

/// Shortest time until the next token that a refusal states.
const MIN_RETRY_MS: Millis = Millis(20);

/// The quotas that this host owns.
#[derive(Debug, Default)]
pub struct QuotaOwner {
    buckets: FastMap<OrganisationName, TokenBucket>,
    answered_ms: Option<Millis>,
}

/// A quota that this host owns, as the state dump shows it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct QuotaDump {
    organisation: OrganisationName,
    tokens: f64,
    last_asked_ms: Millis,
}

impl QuotaOwner {
    /// Decides about one request. `reach` is the part of the fleet that this host reaches.
    pub fn decide(
        &mut self,
        now_ms: Millis,
        organisation: &OrganisationName,
        quota: Quota,
        tolerance: QuotaTolerance,
        reach: f64,
    ) -> Verdict {
        self.answered_ms = Some(now_ms);
        let allowance = tolerance.allowance(quota);
        let capacity = capacity(quota, allowance);
        let rate = refill_rate(quota, tolerance, reach);
        let first_tokens = capacity.min(1.0 + allowance * FIRST_BUCKET_PART);
        let first = TokenBucket::new(now_ms, first_tokens);
        let bucket = self.buckets.entry(organisation.clone()).or_insert(first);
        match bucket.take(now_ms, rate, capacity) {
            true => Verdict::Granted,
            false => {
                let missing_ms = (1.0 - bucket.tokens()) / rate.0.max(1e-9) * 1_000.0;
                Verdict::Refused { next_in_ms: Millis(missing_ms.ceil() as u64).max(MIN_RETRY_MS) }
            }
        }
    }

    /// Whether it answered lately, so that its reach matters.
    pub fn is_active(&self, now_ms: Millis) -> bool {
        self.answered_ms.is_some_and(|answered_ms| now_ms.since(answered_ms) < ACTIVE_MS)
    }

    /// Drops buckets that aren't used any more.
    pub fn expire(&mut self, now_ms: Millis) {
        self.buckets.retain(|_, bucket| bucket.unused_ms(now_ms) < UNUSED_MS);
    }

    /// The buckets, for the state dump.
    pub fn dump(&self, now_ms: Millis) -> Vec<QuotaDump> {
        let dump = |(organisation, bucket): (&OrganisationName, &TokenBucket)| QuotaDump {
            organisation: organisation.clone(),
            tokens: bucket.tokens(),
            last_asked_ms: bucket.unused_ms(now_ms),
        };
        self.buckets.iter().map(dump).collect()
    }
}

/// Most tokens that a bucket holds.
fn capacity(quota: Quota, allowance: f64) -> f64 {
    let smallest = 1.0 + (quota.rate.0 * SMALLEST_BUCKET_S).min(allowance * ALLOWANCE_PART);
    f64::from(quota.burst).max(smallest)
}

/// The part of the rate that an owner grants. All owners of a split fleet together exceed the rate by
/// [`SPLIT_PART`] of the tolerance at most.
fn refill_rate(quota: Quota, tolerance: QuotaTolerance, reach: f64) -> PerSecond {
    let part = (reach * (1.0 + tolerance.over.0 * SPLIT_PART)).min(1.0);
    PerSecond(quota.rate.0 * part)
}
