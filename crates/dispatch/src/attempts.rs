//! What follows when a sending of a request came to its end.
//!
//! The rules rest on one question: is it proven that the request did not run? Only an
//! upstream's declaration proves it, or that no byte of the request left. An answer that
//! promises "not run" without that proof is never passed on.

use domain::Millis;
use published::Idempotency;
use serde::Serialize;

/// Less time than this is not worth another sending.
const MIN_LEFT_MS: Millis = Millis(20);

/// Sendings that surely did not run may go on past the route's attempts by this many.
const MORE_AFTER_SHED: u32 = 2;

/// First span that a refused caller is told to stay away; jittered by the caller of this crate.
const RETRY_AFTER_MS: Millis = Millis(60);

/// How a sending ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptResult {
    /// A whole answer came.
    Answered(ResponseSummary),
    /// No byte of the request left.
    NotSent,
    /// The request left, at least in part, and no whole answer came.
    Broken,
}

/// What a whole answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct ResponseSummary {
    /// HTTP status.
    pub status: u16,
    /// The upstream declared that it did not run the request.
    pub not_run: bool,
    /// It bears the mark of an answer that an upstream made.
    pub is_sealed: bool,
}

/// Where a request stands when a sending ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptState {
    /// Whether it may run more than once.
    pub repeat: Idempotency,
    /// Upstreams that it may have run on, this sending included.
    pub may_have_run: u32,
    /// Sendings so far.
    pub attempts_made: u32,
    /// Most upstreams that it may run on.
    pub max_attempts: u32,
    /// Time until the caller needs its final answer.
    pub left_ms: Millis,
    /// Whether another sending counts as a repeat, and none is left.
    pub is_budget_spent: bool,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum NextStep {
    /// Pass the answer on as it is.
    Deliver,
    /// Send it again, elsewhere.
    #[serde(rename = "send-again")]
    Retry,
    /// Give it up.
    Refuse(Refusal),
}

/// Final answer of the host itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Refusal {
    /// Why.
    pub cause: Cause,
    /// Whether it is proven that the request did not run.
    pub is_not_run: bool,
    /// When to come back, for a request that did not run.
    pub retry_after_ms: Option<Millis>,
}

/// Why a request was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// No routing is known yet.
    NotConfigured,
    /// No route matches.
    NoRoute,
    /// The request itself is faulty.
    BadRequest,
    /// The head is over the limit.
    HeadTooLarge,
    /// The body is over the limit.
    BodyTooLarge,
    /// The request did not arrive whole in time.
    SlowRequest,
    /// No upstream takes work.
    NoUpstream,
    /// No upstream takes work, as the availability zones of those that are there are evacuated.
    ZonesEvacuated,
    /// No upstream could do it in time.
    Overloaded,
    /// All upstreams take a rate of requests only, and it is used up.
    UpstreamsLimited,
    /// Upstreams refused it, each with proof that it did not run.
    UpstreamsRefused,
    /// The upstream broke off, or spoilt its answer.
    UpstreamFailed,
    /// Upstreams crash under it.
    CrashesUpstreams,
    /// The time was over before it was sent.
    Expired,
    /// The time was over while an upstream had it.
    TimedOut,
}

impl Cause {
    /// HTTP status of the final answer.
    pub fn status(self) -> u16 {
        match self {
            Cause::NotConfigured | Cause::NoUpstream | Cause::UpstreamsRefused => 503,
            Cause::ZonesEvacuated | Cause::UpstreamsLimited => 503,
            Cause::Expired | Cause::Overloaded | Cause::CrashesUpstreams => 503,
            Cause::NoRoute => 404,
            Cause::BadRequest => 400,
            Cause::HeadTooLarge => 431,
            Cause::BodyTooLarge => 413,
            Cause::SlowRequest => 408,
            Cause::UpstreamFailed => 502,
            Cause::TimedOut => 504,
        }
    }

    /// Its name in headers, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::NotConfigured => "not-configured",
            Cause::NoRoute => "no-route",
            Cause::BadRequest => "bad-request",
            Cause::HeadTooLarge => "head-too-large",
            Cause::BodyTooLarge => "body-too-large",
            Cause::SlowRequest => "slow-request",
            Cause::NoUpstream => "no-upstream",
            Cause::ZonesEvacuated => "zones-evacuated",
            Cause::Overloaded => "overloaded",
            Cause::UpstreamsLimited => "upstreams-limited",
            Cause::UpstreamsRefused => "upstreams-refused",
            Cause::UpstreamFailed => "upstream-failed",
            Cause::CrashesUpstreams => "crashes-upstreams",
            Cause::Expired => "expired",
            Cause::TimedOut => "timed-out",
        }
    }
}

impl Refusal {
    /// A refusal of a request that surely did not run.
    pub fn not_run(cause: Cause) -> Refusal {
        let retry_after_ms = (cause.status() == 503).then_some(RETRY_AFTER_MS);
        Refusal { cause, is_not_run: true, retry_after_ms }
    }

    /// A refusal for want of room, which there will be in so long.
    pub fn overloaded(retry_after_ms: Millis) -> Refusal {
        let retry_after_ms = Some(retry_after_ms);
        Refusal { cause: Cause::Overloaded, is_not_run: true, retry_after_ms }
    }

    /// A refusal since upstreams take a rate only, until they take the next request.
    pub fn rate_limited(free_in_ms: Millis) -> Refusal {
        let retry_after_ms = Some(free_in_ms.max(RETRY_AFTER_MS));
        Refusal { cause: Cause::UpstreamsLimited, is_not_run: true, retry_after_ms }
    }

    /// A refusal of a request that is held back, until it may be tried again.
    pub fn quarantined(for_ms: Millis) -> Refusal {
        Refusal { cause: Cause::CrashesUpstreams, is_not_run: true, retry_after_ms: Some(for_ms) }
    }

    /// The final answer to a request that may have run.
    pub fn may_have_run(cause: Cause) -> Refusal {
        Refusal { cause, is_not_run: false, retry_after_ms: None }
    }
}

/// Whether the request surely did not run where it was sent.
pub fn is_not_run(end: AttemptResult) -> bool {
    match end {
        AttemptResult::Answered(response) => response.not_run,
        AttemptResult::NotSent => true,
        AttemptResult::Broken => false,
    }
}

/// Whether the upstream ran the request to its end, and did not fail it.
pub fn was_served(response: ResponseSummary) -> bool {
    response.is_sealed && !response.not_run && response.status < 500
}

/// What follows.
pub fn next_step(state: AttemptState, end: AttemptResult) -> NextStep {
    match end {
        AttemptResult::Answered(response) if is_final(response) => NextStep::Deliver,
        AttemptResult::Answered(response) if response.not_run => after_not_run(state),
        AttemptResult::NotSent => after_not_run(state),
        AttemptResult::Answered(response) if is_upstream_failure(response) => match again(state) {
            true => NextStep::Retry,
            false => NextStep::Deliver,
        },
        AttemptResult::Answered(_) | AttemptResult::Broken => match again(state) {
            true => NextStep::Retry,
            false => NextStep::Refuse(Refusal::may_have_run(Cause::UpstreamFailed)),
        },
    }
}

/// A success with its seal, or an answer that is about the request itself: it is passed on as it is.
pub fn is_final(response: ResponseSummary) -> bool {
    match response.status {
        200..=299 => response.is_sealed,
        408 | 421 | 429 => false,
        400 => true,
        300..=499 => !response.not_run,
        _ => false,
    }
}

/// A failure that an upstream made after it ran the request; the others promise "not run".
pub fn is_upstream_failure(response: ResponseSummary) -> bool {
    !response.not_run && response.is_sealed && response.status >= 500 && response.status != 503
}

fn after_not_run(state: AttemptState) -> NextStep {
    let may_send = state.attempts_made < state.max_attempts + MORE_AFTER_SHED
        && state.may_have_run < state.max_attempts.max(1)
        && state.left_ms > MIN_LEFT_MS
        && !state.is_budget_spent;
    match may_send {
        true => NextStep::Retry,
        false if state.may_have_run > 0 => {
            NextStep::Refuse(Refusal::may_have_run(Cause::UpstreamFailed))
        }
        false => NextStep::Refuse(Refusal::not_run(Cause::UpstreamsRefused)),
    }
}

fn again(state: AttemptState) -> bool {
    state.repeat == Idempotency::Idempotent
        && state.may_have_run < state.max_attempts
        && state.left_ms > MIN_LEFT_MS
        && !state.is_budget_spent
}
