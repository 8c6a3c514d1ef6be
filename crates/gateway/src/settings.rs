//! What a host is told at its start, and again at each reload.

use dispatch::budget::FleetRetryLimits;
use domain::{HostId, Millis, PerSecond, ZoneName};
use published::Capacity;
use std::net::{IpAddr, SocketAddr};

/// Settings of an entry host.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Its id.
    pub host: HostId,
    /// Where it stands.
    pub availability_zone: ZoneName,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where readiness is asked.
    pub readiness: SocketAddr,
    /// Where operators find metrics and the state dump; none to serve neither.
    pub operator: Option<SocketAddr>,
    /// Where metrics are fetched besides; the process serves without it if it can't be had.
    pub metrics: Option<SocketAddr>,
    /// Where peers are heard, by datagram and by connection.
    pub peers: SocketAddr,
    /// Hosts that may know others.
    pub seeds: Vec<IpAddr>,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// What its machine can do, as far as the settings say.
    pub capacity: Capacity,
    /// What the whole fleet may spend, and for how long it may take to stop.
    pub limits: FleetLimits,
}

impl Settings {
    /// All addresses at which the host listens.
    pub fn listen_addresses(&self) -> Vec<SocketAddr> {
        let some = [self.operator, self.metrics].into_iter().flatten();
        [self.callers, self.readiness, self.peers].into_iter().chain(some).collect()
    }
}

/// Bounds for the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetLimits {
    /// Repeats.
    pub retries: FleetRetryLimits,
    /// Health checks that one upstream takes.
    pub probes: PerSecond,
    /// Time from the request to stop until the process is killed.
    pub stop_ms: Millis,
}
