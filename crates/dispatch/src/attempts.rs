//! Decides what follows an attempt: deliver the response, retry or refuse.
//!
//! The rules depend on whether it is proven that the request did not run. Only an upstream's
//! declaration proves it, or that no byte of the request was sent. A response whose status promises
//! "not run" without that proof is never delivered.

use crate::rejections::RejectionState;
use domain::Millis;
use published::Idempotency;
use serde::Serialize;

/// Time left below which another attempt is not worthwhile.
const MIN_RETRY_TIME_MS: Millis = Millis(20);

/// Attempts beyond the route's limit for a request that provably did not run.
const EXTRA_ATTEMPTS_IF_NOT_RUN: u32 = 2;

/// `Retry-After` of a host that stops: another one can serve the request at once.
const STOPPING_RETRY_AFTER_MS: Millis = Millis(1);

/// `Retry-After` where nothing better is known; the caller of this crate adds jitter.
pub(crate) const DEFAULT_RETRY_AFTER_MS: Millis = Millis(60);

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptResult {
    /// The whole response arrived.
    Answered(ResponseSummary),
    /// No byte of the request was sent.
    NotSent,
    /// The request was sent, at least in part, and no whole response arrived.
    Broken,
}

/// The facts about a complete response that decide what follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct ResponseSummary {
    /// HTTP status.
    pub status: u16,
    /// The upstream declared that it did not run the request.
    pub not_run: bool,
    /// It carries the seal header, by which an upstream marks the responses that it made itself.
    pub is_sealed: bool,
}

/// State of a request when an attempt has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptState {
    /// Whether it may run more than once.
    pub idempotency: Idempotency,
    /// Upstreams that it may have run on, including in this attempt.
    pub may_have_run: u32,
    /// Attempts so far.
    pub attempts_made: u32,
    /// On how many upstreams it may run at most.
    pub max_attempts: u32,
    /// Time until the final response is due.
    pub left_ms: Millis,
    /// Whether another attempt counts as a retry and the retry budget is exhausted.
    pub is_budget_spent: bool,
    /// Whether the whole request can be sent once more: a body that was passed on while it arrived
    /// can't.
    pub is_intact: bool,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum NextStep {
    /// Deliver the response unchanged.
    Deliver,
    /// Send the request to another upstream.
    #[serde(rename = "send-again")]
    Retry,
    /// Give up.
    Refuse(Refusal),
}

/// Final response made by the host itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Refusal {
    /// Reason.
    pub cause: Cause,
    /// Whether it is proven that the request did not run.
    pub is_not_run: bool,
    /// When the caller may retry, for a request that did not run.
    pub retry_after_ms: Option<Millis>,
    /// State of the service by which `retry_after_ms` was drawn at random; none if the host is to
    /// add the jitter.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rejection_state: Option<RejectionState>,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// No routing is known yet.
    NotConfigured,
    /// No route matches.
    NoRoute,
    /// The route needs a key, and no organisation holds the one that was sent.
    UnknownKey,
    /// The same, but this host may not know the newest keys.
    KeyUnconfirmed,
    /// The organisation's quota is used up.
    OverQuota,
    /// It can't be confirmed in time that the organisation's quota allows the request.
    QuotaUnconfirmed,
    /// The request is malformed.
    BadRequest,
    /// The head exceeds the size limit.
    HeadTooLarge,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The request did not arrive completely in time.
    SlowRequest,
    /// No upstream accepts requests.
    NoUpstream,
    /// No upstream accepts requests, as the availability zones of the existing ones are evacuated.
    ZonesEvacuated,
    /// This host reaches no upstream, nor a peer that does.
    NoPath,
    /// No upstream could answer in time.
    Overloaded,
    /// All upstreams are rate-limited, and the limits are used up.
    UpstreamsLimited,
    /// Upstreams refused it, each with proof that it did not run.
    UpstreamsRefused,
    /// The connection to the upstream broke, or its response was invalid.
    UpstreamFailed,
    /// The request is quarantined, as upstreams crash under it.
    CrashesUpstreams,
    /// The deadline passed before it was sent.
    Expired,
    /// The host stops, and might end before the request does.
    Stopping,
    /// The deadline passed while an upstream had it.
    TimedOut,
}

impl Cause {
    /// HTTP status of the final response.
    pub fn status(self) -> u16 {
        match self {
            Cause::NotConfigured | Cause::NoUpstream | Cause::UpstreamsRefused => 503,
            Cause::ZonesEvacuated | Cause::UpstreamsLimited | Cause::NoPath => 503,
            Cause::Expired | Cause::Overloaded | Cause::CrashesUpstreams => 503,
            Cause::Stopping => 503,
            Cause::KeyUnconfirmed | Cause::QuotaUnconfirmed => 503,
            Cause::UnknownKey => 401,
            Cause::OverQuota => 429,
            Cause::NoRoute => 404,
            Cause::BadRequest => 400,
            Cause::HeadTooLarge => 431,
            Cause::BodyTooLarge => 413,
            Cause::SlowRequest => 408,
            Cause::UpstreamFailed => 502,
            Cause::TimedOut => 504,
        }
    }

    /// Name in headers, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::NotConfigured => "not-configured",
            Cause::NoRoute => "no-route",
            Cause::UnknownKey => "unknown-key",
            Cause::KeyUnconfirmed => "key-unconfirmed",
            Cause::OverQuota => "over-quota",
            Cause::QuotaUnconfirmed => "quota-unconfirmed",
            Cause::BadRequest => "bad-request",
            Cause::HeadTooLarge => "head-too-large",
            Cause::BodyTooLarge => "body-too-large",
            Cause::SlowRequest => "slow-request",
            Cause::NoUpstream => "no-upstream",
            Cause::ZonesEvacuated => "zones-evacuated",
            Cause::NoPath => "no-path",
            Cause::Overloaded => "overloaded",
            Cause::UpstreamsLimited => "upstreams-limited",
            Cause::UpstreamsRefused => "upstreams-refused",
            Cause::UpstreamFailed => "upstream-failed",
            Cause::CrashesUpstreams => "crashes-upstreams",
            Cause::Expired => "expired",
            Cause::Stopping => "stopping",
            Cause::TimedOut => "timed-out",
        }
    }
}

impl Refusal {
    /// For a request that provably did not run.
    pub fn not_run(cause: Cause) -> Refusal {
        let retry_after_ms = (cause.status() == 503).then_some(DEFAULT_RETRY_AFTER_MS);
        Refusal { cause, is_not_run: true, retry_after_ms, rejection_state: None }
    }

    /// For lack of capacity, which is expected again after `retry_after_ms`.
    pub fn overloaded(retry_after_ms: Millis) -> Refusal {
        Refusal::not_run_until(Cause::Overloaded, retry_after_ms)
    }

    /// For a host that reaches no upstream, until it probes one again.
    pub fn no_path(next_probe_in_ms: Millis) -> Refusal {
        Refusal::not_run_until(Cause::NoPath, next_probe_in_ms)
    }

    /// For exhausted rate limits, until upstreams accept the next request.
    pub fn rate_limited(next_request_in_ms: Millis) -> Refusal {
        let retry_after_ms = next_request_in_ms.max(DEFAULT_RETRY_AFTER_MS);
        Refusal::not_run_until(Cause::UpstreamsLimited, retry_after_ms)
    }

    /// For an organisation's quota that is used up, until it allows the next request.
    pub fn over_quota(next_request_in_ms: Millis) -> Refusal {
        Refusal::not_run_until(Cause::OverQuota, next_request_in_ms)
    }

    /// For a host that stops.
    pub fn stopping() -> Refusal {
        Refusal::not_run_until(Cause::Stopping, STOPPING_RETRY_AFTER_MS)
    }

    /// For a quarantined request, until it may be tried again.
    pub fn quarantined(remaining_ms: Millis) -> Refusal {
        Refusal::not_run_until(Cause::CrashesUpstreams, remaining_ms)
    }

    fn not_run_until(cause: Cause, retry_after_ms: Millis) -> Refusal {
        Refusal { retry_after_ms: Some(retry_after_ms), ..Refusal::not_run(cause) }
    }

    /// For a request that may have run.
    pub fn may_have_run(cause: Cause) -> Refusal {
        Refusal { cause, is_not_run: false, retry_after_ms: None, rejection_state: None }
    }
}

/// Whether the request provably did not run in this attempt.
pub fn is_not_run(result: AttemptResult) -> bool {
    match result {
        AttemptResult::Answered(response) => response.not_run,
        AttemptResult::NotSent => true,
        AttemptResult::Broken => false,
    }
}

/// Whether the upstream ran the request and did not fail.
pub fn was_served(response: ResponseSummary) -> bool {
    response.is_sealed && !response.not_run && response.status < 500
}

/// Decides what follows an attempt.
pub fn next_step(state: AttemptState, result: AttemptResult) -> NextStep {
    match result {
        AttemptResult::Answered(response) if is_final(response) => NextStep::Deliver,
        AttemptResult::Answered(response) if response.not_run => step_after_not_run(state),
        AttemptResult::NotSent => step_after_not_run(state),
        AttemptResult::Answered(response) if is_upstream_failure(response) => {
            match may_rerun(state) {
                true => NextStep::Retry,
                false => NextStep::Deliver,
            }
        }
        AttemptResult::Answered(_) | AttemptResult::Broken => match may_rerun(state) {
            true => NextStep::Retry,
            false => NextStep::Refuse(Refusal::may_have_run(Cause::UpstreamFailed)),
        },
    }
}

/// Whether to deliver it in any case: a sealed success, or a response about the request itself.
pub fn is_final(response: ResponseSummary) -> bool {
    match response.status {
        200..=299 => response.is_sealed,
        408 | 421 | 429 => false,
        400 => true,
        300..=499 => !response.not_run,
        _ => false,
    }
}

/// Whether the upstream failed after it ran the request; other failures promise "not run".
pub fn is_upstream_failure(response: ResponseSummary) -> bool {
    !response.not_run && response.is_sealed && response.status >= 500 && response.status != 503
}

fn step_after_not_run(state: AttemptState) -> NextStep {
    let may_retry = state.attempts_made < state.max_attempts + EXTRA_ATTEMPTS_IF_NOT_RUN
        && state.may_have_run < state.max_attempts.max(1)
        && state.left_ms > MIN_RETRY_TIME_MS
        && state.is_intact
        && !state.is_budget_spent;
    match may_retry {
        true => NextStep::Retry,
        false if state.may_have_run > 0 => {
            NextStep::Refuse(Refusal::may_have_run(Cause::UpstreamFailed))
        }
        false => NextStep::Refuse(Refusal::not_run(Cause::UpstreamsRefused)),
    }
}

fn may_rerun(state: AttemptState) -> bool {
    state.idempotency == Idempotency::Idempotent
        && state.may_have_run < state.max_attempts
        && state.left_ms > MIN_RETRY_TIME_MS
        && state.is_intact
        && !state.is_budget_spent
}
