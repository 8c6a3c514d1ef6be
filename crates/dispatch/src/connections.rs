//! How many idle connections a host keeps to an upstream.

use domain::Connections;

/// Enough to probe and to send at the same time.
pub const MAX_IDLE_CONNECTIONS: usize = 4;

/// Part of the connections that an upstream accepts that may be idle; the rest is for requests in
/// flight.
const IDLE_SHARE: f64 = 0.5;

/// Idle connections that each of `hosts` hosts may keep to an upstream that accepts `accepted` in
/// all.
pub fn idle_connections_per_host(accepted: Connections, hosts: u32) -> usize {
    let idle = f64::from(accepted.0) * IDLE_SHARE / f64::from(hosts.max(1));
    (idle as usize).min(MAX_IDLE_CONNECTIONS)
}
