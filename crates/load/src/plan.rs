//! What to send: streams of arrivals over callers and routes.

use domain::{ByteCount, CallerId, Millis, PerSecond, Share};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A whole run of the load generator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// Seed of the schedule.
    pub seed: u64,
    /// Part at the start that is checked but left out of latency, goodput and refusals.
    #[serde(default)]
    pub warm_up_ms: Millis,
    /// Measured part.
    pub duration_ms: Millis,
    /// Time after a request's deadline until it counts as lost.
    #[serde(default = "default_grace")]
    pub grace_ms: Millis,
    /// Independent streams of arrivals.
    pub streams: Vec<Stream>,
}

fn default_grace() -> Millis {
    Millis(5000)
}

/// Arrivals of a group of callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// When requests are due.
    pub arrivals: Arrivals,
    /// Who sends them.
    pub callers: Vec<Caller>,
    /// What they ask for.
    pub routes: Vec<RouteLoad>,
}

/// When requests are due.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Arrivals {
    /// Independent arrivals at a mean rate.
    Poisson {
        /// Mean rate.
        per_second: PerSecond,
    },
    /// Groups that are due at once.
    Bursts {
        /// Requests of one group.
        size: u32,
        /// Time between groups.
        every_ms: Millis,
    },
}

/// One caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// Its id.
    pub caller: CallerId,
    /// Its part of the arrivals, relative to the other callers.
    pub weight: Share,
}

/// Requests of one kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteLoad {
    /// Path with query.
    pub path: String,
    /// Its part of the arrivals, relative to the other routes.
    pub weight: Share,
    /// Sent as POST with a fresh idempotency key, to run at most once; otherwise as GET.
    #[serde(default)]
    pub at_most_once: bool,
    /// Size of the body of a POST.
    #[serde(default)]
    pub body_bytes: ByteCount,
    /// Time that the caller gives.
    #[serde(default = "default_timeout")]
    pub timeout_ms: Millis,
}

fn default_timeout() -> Millis {
    Millis(2000)
}

/// What is wrong with a plan.
#[derive(Debug, Clone, PartialEq)]
pub enum PlanError {
    /// Nothing would be sent.
    NoStreams,
    /// A stream has no callers, or none with weight.
    NoCallers,
    /// A stream has no routes, or none with weight.
    NoRoutes,
    /// A rate that is not above zero, or not finite.
    BadRate(PerSecond),
    /// Bursts without a pause between them.
    BadInterval,
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlanError::NoStreams => write!(f, "the plan has no streams: give it one"),
            PlanError::NoCallers => write!(f, "a stream has no caller with weight: add one"),
            PlanError::NoRoutes => write!(f, "a stream has no route with weight: add one"),
            PlanError::BadRate(rate) => write!(f, "rate {rate} is unusable: set it above zero"),
            PlanError::BadInterval => write!(f, "bursts every 0ms: set every_ms to 1 or more"),
        }
    }
}

impl std::error::Error for PlanError {}

impl LoadPlan {
    /// Checks that the plan can be carried out.
    ///
    /// # Errors
    /// The first thing that is wrong.
    pub fn check(&self) -> Result<(), PlanError> {
        if self.streams.is_empty() {
            return Err(PlanError::NoStreams);
        }
        self.streams.iter().try_for_each(Stream::check)
    }

    /// Time over which requests are sent.
    pub fn span_ms(&self) -> Millis {
        self.warm_up_ms + self.duration_ms
    }
}

impl Stream {
    fn check(&self) -> Result<(), PlanError> {
        if !self.callers.iter().any(|c| c.weight.0 > 0.0) {
            return Err(PlanError::NoCallers);
        }
        if !self.routes.iter().any(|r| r.weight.0 > 0.0) {
            return Err(PlanError::NoRoutes);
        }
        match self.arrivals {
            Arrivals::Poisson { per_second }
                if !(per_second.0 > 0.0 && per_second.0.is_finite()) =>
            {
                Err(PlanError::BadRate(per_second))
            }
            Arrivals::Bursts { every_ms: Millis::ZERO, .. } => Err(PlanError::BadInterval),
            _ => Ok(()),
        }
    }
}
