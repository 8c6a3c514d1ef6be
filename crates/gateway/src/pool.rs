//! Pool of idle connections to upstreams.

use crate::connection::{Connection, Path};
use dispatch::MAX_IDLE_CONNECTIONS;
use domain::{FastMap, UpstreamId};
use published::RunStart;

/// Which connections to an upstream the pool keeps.
#[derive(Debug)]
pub struct PoolLimit {
    /// The upstream's current run.
    pub run: RunStart,
    /// Largest number of idle connections.
    pub max_idle: usize,
}

/// Idle connections by upstream. The one used last is used next, so that surplus ones expire.
#[derive(Debug, Default)]
pub struct Pool {
    idle: FastMap<UpstreamId, Vec<Connection>>,
}

impl Pool {
    /// Takes a usable connection to this run of an upstream, if there is one.
    pub fn take(&mut self, upstream: &UpstreamId, run: RunStart) -> Option<Connection> {
        let idle = self.idle.get_mut(upstream)?;
        while let Some(mut connection) = idle.pop() {
            if is_usable(&mut connection, run) {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool, if it is reusable and the pool isn't full.
    pub fn put(&mut self, upstream: &UpstreamId, connection: Connection) {
        if !connection.is_reusable() {
            return;
        }
        let idle = self.idle.entry(upstream.clone()).or_default();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    /// Closes connections whose path is not wanted, that expired, or whose upstream is gone or has
    /// restarted, and the least recently used ones beyond `max_idle`.
    pub fn prune(
        &mut self,
        limit_of: impl Fn(&UpstreamId) -> Option<PoolLimit>,
        is_wanted: impl Fn(&UpstreamId, &Path) -> bool,
    ) {
        self.idle.retain(|upstream, idle| {
            let Some(limit) = limit_of(upstream) else { return false };
            idle.retain_mut(|connection| {
                is_wanted(upstream, connection.path()) && is_usable(connection, limit.run)
            });
            idle.drain(..idle.len().saturating_sub(limit.max_idle));
            !idle.is_empty()
        });
    }

    /// Whether there is an unexpired connection to an upstream.
    pub fn has_connection(&self, upstream: &UpstreamId) -> bool {
        let alive = |connection: &Connection| connection.is_unexpired();
        self.idle.get(upstream).is_some_and(|idle| idle.iter().any(alive))
    }

    /// Number of idle connections.
    pub fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// Whether there are no idle connections.
    pub fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }
}

/// Whether a connection is to the current run, and may serve another exchange.
fn is_usable(connection: &mut Connection, run: RunStart) -> bool {
    !run.is_after(connection.run()) && connection.is_fresh()
}
