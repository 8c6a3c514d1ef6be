//! Connections to upstreams that wait for their next use.

use crate::connection::Connection;
use domain::{FastMap, UpstreamId};

/// Idle connections kept for one upstream: asking and sending at once.
const MAX_IDLE: usize = 4;

/// Idle connections by upstream; the one used last is used next, so that the rest ages out.
#[derive(Debug, Default)]
pub struct Pool {
    idle: FastMap<UpstreamId, Vec<Connection>>,
}

impl Pool {
    /// A connection that can be used, if one waits.
    pub fn take(&mut self, upstream: &UpstreamId) -> Option<Connection> {
        let idle = self.idle.get_mut(upstream)?;
        while let Some(mut connection) = idle.pop() {
            if connection.is_fresh() {
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
        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }

    /// Closes what is of no use any more.
    pub fn prune(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.idle.retain(|upstream, idle| {
            idle.retain_mut(Connection::is_fresh);
            is_known(upstream) && !idle.is_empty()
        });
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
