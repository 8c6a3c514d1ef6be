//! Tunnels: connections to upstreams that a peer opens for a host that can't.
//!
//! A tunnel is requested with HTTP's `CONNECT`. The peer opens a connection to the upstream and
//! copies bytes in both directions. Everything else stays with the requesting host: it selects the
//! upstream, sends the request and reads the response as on a direct connection. A peer opens direct
//! connections only, so no tunnel leads through two peers.

mod client;
mod server;
mod splice;

pub use client::{TunnelFailure, open};
pub use server::serve;

use domain::HostId;
use serde::{Serialize, Serializer};
use std::fmt;

/// Header that identifies a tunnel in the logs of both hosts.
const TUNNEL_HEADER: &str = "tunnel";

/// Header with the version of the protocol between hosts.
const PROTOCOL_HEADER: &str = "protocol";

/// Header with the number of tunnels that a relay serves.
const TUNNELS_HEADER: &str = "tunnels";

/// Identifies a tunnel in the logs of both hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TunnelId {
    host: HostId,
    number: u64,
}

impl TunnelId {
    /// The tunnel with this number of the host that requests it.
    pub fn new(host: HostId, number: u64) -> TunnelId {
        TunnelId { host, number }
    }
}

impl fmt::Display for TunnelId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.host, self.number)
    }
}

impl Serialize for TunnelId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// A tunnel, as the host that requested it knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tunnel {
    /// Its id.
    pub id: TunnelId,
    /// The peer that copies the bytes.
    pub relay: HostId,
}
