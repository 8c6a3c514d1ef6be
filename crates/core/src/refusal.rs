//! Answers that are the entry host's own.
//!
//! A refusal says why, whether the request ran, and when to come back. "Not run" is
//! said only with proof.

use domain::Millis;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The entry host's own final answer to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub cause: RefusalCause,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// When to come back, if that may help.
    pub retry_after_ms: Option<Millis>,
}

/// Whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// It ran.
    Run,
    /// It surely did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

impl fmt::Display for RunOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RunOutcome::Run => "run",
            RunOutcome::NotRun => "not-run",
            RunOutcome::Unknown => "unknown",
        })
    }
}

/// Why a call is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalCause {
    /// No service has a route for it.
    NoRoute,
    /// No configuration is in force yet.
    NotConfigured,
    /// The chain of calls is too deep.
    TooDeep,
    /// The entry host holds as many calls as it may.
    HostFull,
    /// The service's queue is full.
    QueueFull,
    /// The caller has as many calls waiting as it may.
    CallerShare,
    /// It would wait past its deadline.
    WouldExpire,
    /// Its deadline passed.
    Expired,
    /// No upstream may receive work.
    NoUpstream,
    /// Upstreams refused it.
    UpstreamRefused,
    /// An upstream broke off.
    UpstreamFailed,
    /// The entry host is stopping.
    Stopping,
    /// The same idempotency key was accepted before.
    DuplicateKey,
    /// Too few peers confirmed that the idempotency key is new.
    KeyUnconfirmed,
}

impl RefusalCause {
    /// HTTP status of the refusal.
    pub fn status(self) -> u16 {
        match self {
            RefusalCause::NoRoute => 404,
            RefusalCause::TooDeep => 508,
            RefusalCause::DuplicateKey => 409,
            RefusalCause::CallerShare => 429,
            RefusalCause::UpstreamFailed => 502,
            RefusalCause::Expired => 504,
            RefusalCause::NotConfigured
            | RefusalCause::HostFull
            | RefusalCause::QueueFull
            | RefusalCause::WouldExpire
            | RefusalCause::NoUpstream
            | RefusalCause::UpstreamRefused
            | RefusalCause::Stopping
            | RefusalCause::KeyUnconfirmed => 503,
        }
    }

    /// What the caller can do.
    pub fn remedy(self) -> &'static str {
        match self {
            RefusalCause::NoRoute => "check method and path against the routes in force",
            RefusalCause::TooDeep => "shorten the chain of calls or raise limits.max_depth",
            RefusalCause::DuplicateKey => "ask for the first request's result; do not send it anew",
            RefusalCause::UpstreamFailed | RefusalCause::Expired => {
                "look at the outcome header: repeat only what did not run or is idempotent"
            }
            _ => "come back after Retry-After",
        }
    }
}

impl fmt::Display for RefusalCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RefusalCause::NoRoute => "no-route",
            RefusalCause::NotConfigured => "not-configured",
            RefusalCause::TooDeep => "too-deep",
            RefusalCause::HostFull => "host-full",
            RefusalCause::QueueFull => "queue-full",
            RefusalCause::CallerShare => "caller-share",
            RefusalCause::WouldExpire => "would-expire",
            RefusalCause::Expired => "expired",
            RefusalCause::NoUpstream => "no-upstream",
            RefusalCause::UpstreamRefused => "upstream-refused",
            RefusalCause::UpstreamFailed => "upstream-failed",
            RefusalCause::Stopping => "stopping",
            RefusalCause::DuplicateKey => "duplicate-key",
            RefusalCause::KeyUnconfirmed => "key-unconfirmed",
        })
    }
}
