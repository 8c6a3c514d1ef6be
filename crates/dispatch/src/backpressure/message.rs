//! What hosts tell each other of upstreams' backpressure.
//!
//! Points in time travel as ages, since each host has a clock of its own.

use domain::{Millis, PerSecond, UpstreamId};
use published::RunStart;
use serde::{Deserialize, Serialize};

/// A message that may be lost, doubled, late or out of order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum BackpressureMessage {
    /// What upstreams said.
    Update {
        /// Some of them.
        updates: Vec<BackpressureUpdate>,
        /// Whether the host that hears it is to pass it on in its availability zone.
        should_relay: bool,
    },
    /// Digest of what holds; whoever holds something else asks for it.
    Digest {
        /// The digest.
        digest: u64,
    },
    /// Whoever hears it is to tell what it holds, if that is something else.
    Request {
        /// Digest of what the asking host holds.
        digest: u64,
    },
}

/// What an upstream said last.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BackpressureUpdate {
    /// Which.
    pub upstream: UpstreamId,
    /// Which run of it.
    pub run: RunStart,
    /// Requests that it takes from all hosts together; none if it takes what comes.
    pub rate_limit: Option<PerSecond>,
    /// It is leaving.
    pub is_leaving: bool,
    /// Time since it said last what it takes.
    pub age_ms: Millis,
}
