//! Settings of a host, read at its start and at each reload.

use dispatch::quota::QuotaTolerance;
use dispatch::retry_budget::FleetRetryLimits;
use domain::{ByteCount, HostId, Millis, PerSecond, ZoneName};
use published::Capacity;
use std::net::{IpAddr, SocketAddr};

/// Settings of a host.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Its id.
    pub host: HostId,
    /// The availability zone that it is in.
    pub availability_zone: ZoneName,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for readiness checks.
    pub readiness: SocketAddr,
    /// Address for operators: metrics, the state dump, lifting a quarantine. None to serve none
    /// of these.
    pub operator: Option<SocketAddr>,
    /// Further address that serves the same; the host runs without it if it can't be bound.
    pub metrics: Option<SocketAddr>,
    /// Address for peers' datagrams and connections.
    pub peers: SocketAddr,
    /// Address for tunnels of peers; all hosts use its port. None if this host neither serves nor
    /// requests tunnels.
    pub tunnels: Option<SocketAddr>,
    /// Hosts through which this one joins the fleet.
    pub seeds: Vec<IpAddr>,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// Capacity of its machine, as far as the settings state it.
    pub capacity: Capacity,
    /// Memory of its machine; none where it isn't stated.
    pub memory_bytes: Option<ByteCount>,
    /// Limits of the whole fleet, and the time in which a host has to stop.
    pub limits: FleetLimits,
}

impl Settings {
    /// All addresses on which the host listens.
    pub fn listen_addresses(&self) -> Vec<SocketAddr> {
        let optional = [self.operator, self.metrics, self.tunnels].into_iter().flatten();
        [self.callers, self.readiness, self.peers].into_iter().chain(optional).collect()
    }
}

/// Limits of the whole fleet, and the time to stop.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetLimits {
    /// Limits of retries.
    pub retries: FleetRetryLimits,
    /// Rate of probes that one upstream gets from all hosts together.
    pub probes: PerSecond,
    /// By how much the fleet may exceed the quotas of organisations.
    pub quotas: QuotaTolerance,
    /// Time between the signal to stop and the kill of the process.
    pub stop_ms: Millis,
}
