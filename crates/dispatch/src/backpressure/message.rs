//! Messages in which hosts broadcast upstreams' backpressure.
//!
//! They carry ages instead of points in time, since each host has a clock of its own.

use domain::{Millis, PerSecond, UpstreamId};
use published::RunStart;
use serde::{Deserialize, Serialize};

/// A message that may be lost, duplicated, late or out of order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum BackpressureMessage {
    /// What upstreams stated.
    Update {
        /// Updates of some upstreams.
        updates: Vec<BackpressureUpdate>,
        /// Whether the receiver is to relay it within its availability zone.
        should_relay: bool,
    },
    /// Digest of the sender's state; a receiver with a different one requests updates.
    Digest {
        /// The digest.
        digest: u64,
    },
    /// Requests all updates, if the receiver's state differs.
    Request {
        /// Digest of the requesting host's state.
        digest: u64,
    },
}

/// What an upstream stated last.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BackpressureUpdate {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The process run that stated it.
    pub run: RunStart,
    /// Requests a second that it accepts from all hosts together; none if it is unlimited.
    pub rate_limit: Option<PerSecond>,
    /// It is leaving.
    pub is_leaving: bool,
    /// Time since it last stated its rate limit, or that there is none.
    pub age_ms: Millis,
}
