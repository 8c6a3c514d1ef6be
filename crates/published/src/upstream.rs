//! Upstreams that register themselves.

use domain::{Millis, ServiceName, Slots, UpstreamId, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One run of an instance: each start registers under a new id.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its id.
    pub id: UpstreamId,
    /// The service that it serves.
    pub service: ServiceName,
    /// Where it listens; used again by others once it is gone.
    pub address: SocketAddr,
    /// Where it stands.
    pub availability_zone: ZoneName,
    /// Requests that it works on at once.
    pub slots: Slots,
    /// Whether it takes new work.
    pub mode: UpstreamMode,
    /// How much longer it stays slow after its start, when it wrote the entry.
    pub warmup_left_ms: Millis,
}

/// What an upstream says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamMode {
    /// It takes new work.
    Ready,
    /// It is leaving: no new work.
    Draining,
}
