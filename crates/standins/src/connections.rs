//! Which connections have not sent a byte yet.
//!
//! The HTTP server waits for the first bytes of a connection before it knows the
//! protocol, and a graceful stop does not reach it there. A client that connects ahead
//! of its requests would keep a stopping server alive for ever, so a stop closes such
//! connections by itself.

use crate::server::lock;
use salvo::async_trait;
use salvo::conn::ConnCtrl;
use salvo::fuse::{ArcConnObserver, ConnObserver, FuseAction, FuseConfig, FuseInfo, FusePolicy};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Weak};

/// The connections of one server.
#[derive(Debug, Clone, Default)]
pub(crate) struct Connections {
    open: Arc<Mutex<Vec<Weak<Connection>>>>,
}

#[derive(Debug)]
struct Connection {
    control: ConnCtrl,
    has_read: AtomicBool,
}

impl Connections {
    /// Closes the connections that have not sent a byte.
    pub(crate) fn close_silent(&self) {
        for connection in lock(&self.open).iter().filter_map(Weak::upgrade) {
            if !connection.has_read.load(Ordering::Relaxed) {
                connection.control.abort();
            }
        }
    }

    fn add(&self, control: ConnCtrl) -> Arc<Connection> {
        let connection = Arc::new(Connection { control, has_read: AtomicBool::new(false) });
        let mut open = lock(&self.open);
        open.retain(|connection| connection.strong_count() > 0);
        open.push(Arc::downgrade(&connection));
        connection
    }
}

impl ConnObserver for Connection {
    fn on_read(&self, _bytes: usize) {
        self.has_read.store(true, Ordering::Relaxed);
    }
}

/// Decides on each new connection and keeps those that are let in.
pub(crate) struct Admission<F> {
    pub(crate) connections: Connections,
    pub(crate) admits: F,
}

#[async_trait]
impl<F: Fn() -> bool + Send + Sync + 'static> FusePolicy for Admission<F> {
    async fn decide(&self, _info: &FuseInfo) -> FuseAction {
        match (self.admits)() {
            true => FuseAction::Accept(FuseConfig::disabled()),
            false => FuseAction::Reject,
        }
    }

    fn observe(&self, _info: &FuseInfo, control: &ConnCtrl) -> Option<ArcConnObserver> {
        Some(self.connections.add(control.clone()))
    }
}
