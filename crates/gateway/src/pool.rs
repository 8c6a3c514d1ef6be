//! Connections to upstreams that wait for their next use.

use crate::connection::Connection;
use dispatch::MAX_IDLE_CONNECTIONS;
use domain::{FastMap, UpstreamId};
use published::RunStart;

/// What is kept to an upstream.
#[derive(Debug)]
pub struct PoolLimit {
    /// The run that goes on.
    pub run: RunStart,
    /// Idle connections at most.
    pub max_idle: usize,
}

/// Idle connections by upstream; the one used last is used next, so that the rest ages out.
#[derive(Debug, Default)]
pub struct Pool {
    idle: FastMap<UpstreamId, Vec<Connection>>,
}

impl Pool {
    /// A connection to this run of an upstream that can be used, if one waits.
    pub fn take(&mut self, upstream: &UpstreamId, run: RunStart) -> Option<Connection> {
        let idle = self.idle.get_mut(upstream)?;
        while let Some(mut connection) = idle.pop() {
            if is_usable(&mut connection, run) {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for its next use.
    pub fn put(&mut self, upstream: &UpstreamId, connection: Connection) {
        if !connection.is_reusable() {
            return;
        }
        let idle = self.idle.entry(upstream.clone()).or_default();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    /// Closes what is of no use any more, as it aged, or its upstream is gone or has started again; and
    /// the oldest of what is more than others leave to this host.
    pub fn prune(&mut self, kept_of: impl Fn(&UpstreamId) -> Option<PoolLimit>) {
        self.idle.retain(|upstream, idle| {
            let Some(kept) = kept_of(upstream) else { return false };
            idle.retain_mut(|connection| is_usable(connection, kept.run));
            idle.drain(..idle.len().saturating_sub(kept.max_idle));
            !idle.is_empty()
        });
    }

    /// Whether one waits for an upstream that is taken to be alive.
    pub fn holds(&self, upstream: &UpstreamId) -> bool {
        let alive = |connection: &Connection| connection.is_kept();
        self.idle.get(upstream).is_some_and(|idle| idle.iter().any(alive))
    }

    /// Connections that wait.
    pub fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }
}

/// Whether a connection is to the run that goes on, and may serve another exchange.
fn is_usable(connection: &mut Connection, run: RunStart) -> bool {
    !run.is_after(connection.run()) && connection.is_fresh()
}
