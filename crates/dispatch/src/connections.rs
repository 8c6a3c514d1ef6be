//! How many idle connections a host keeps to an upstream.

use domain::Connections;

/// Enough for asking and sending at once.
pub const MAX_IDLE_CONNECTIONS: usize = 4;

/// Part of what an upstream accepts that may lie idle; the rest is for what is under way.
const IDLE_PART: f64 = 0.5;

/// Connections that each of so many hosts keeps to an upstream which accepts these from all of them.
pub fn idle_connections_per_host(accepted: Connections, hosts: u32) -> usize {
    let idle = f64::from(accepted.0) * IDLE_PART / f64::from(hosts.max(1));
    (idle as usize).min(MAX_IDLE_CONNECTIONS)
}
