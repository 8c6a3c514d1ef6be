//! The callers' connections: how much was read and written on each.
//!
//! The HTTP server tells neither. A stop needs to know which connections have not sent a
//! byte yet, because the server does not know their protocol then and its own stop does
//! not reach them. An answer that breaks off needs to know when its head has left,
//! because an HTTP/2 reset throws away whatever is still queued.

use clock::{sleep, timeout};
use domain::FastMap;
use futures_util::stream::{self, Stream, StreamExt};
use salvo::async_trait;
use salvo::conn::ConnCtrl;
use salvo::fuse::{ArcConnObserver, ConnObserver, FuseAction, FuseConfig, FuseInfo, FusePolicy};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

/// Longest wait for what was handed over to leave; a caller that reads nothing is not
/// worth more.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);
const FLUSH_STEP: Duration = Duration::from_millis(1);
/// Time that a connection gets to send its first byte once the listener is closed.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(1);
const FIRST_BYTE_STEP: Duration = Duration::from_millis(10);

/// The open connections, by the caller's address.
#[derive(Debug, Clone, Default)]
pub struct Connections {
    open: Arc<Mutex<FastMap<SocketAddr, Weak<Connection>>>>,
}

/// A caller's connection.
#[derive(Debug)]
pub struct Connection {
    open: Weak<Mutex<FastMap<SocketAddr, Weak<Connection>>>>,
    address: SocketAddr,
    control: ConnCtrl,
    has_read: AtomicBool,
    written_bytes: AtomicU64,
}

impl Connections {
    /// The connection from an address.
    pub fn at_address(&self, address: &salvo::conn::SocketAddr) -> Option<Arc<Connection>> {
        let address = address.clone().into_std()?;
        lock(&self.open).get(&address).and_then(Weak::upgrade)
    }

    /// Waits until every connection has sent its first byte, for a while.
    pub async fn wait_for_first_bytes(&self) {
        let waiting = async {
            while !self.silent().is_empty() {
                sleep(FIRST_BYTE_STEP).await;
            }
        };
        // Those that are still silent then have no request.
        let _ = timeout(FIRST_BYTE_TIMEOUT, waiting).await;
    }

    /// Closes the connections that have not sent a byte.
    pub fn close_silent(&self) {
        for connection in self.silent() {
            connection.control.graceful_shutdown();
        }
    }

    fn silent(&self) -> Vec<Arc<Connection>> {
        let open: Vec<_> = lock(&self.open).values().filter_map(Weak::upgrade).collect();
        open.into_iter().filter(|connection| !connection.has_read()).collect()
    }

    fn add(&self, address: SocketAddr, control: ConnCtrl) -> Arc<Connection> {
        let connection = Arc::new(Connection {
            open: Arc::downgrade(&self.open),
            address,
            control,
            has_read: AtomicBool::new(false),
            written_bytes: AtomicU64::new(0),
        });
        lock(&self.open).insert(address, Arc::downgrade(&connection));
        connection
    }
}

impl Connection {
    /// Bytes written so far.
    pub fn written_bytes(&self) -> u64 {
        self.written_bytes.load(Ordering::Acquire)
    }

    /// Waits until more than `written_bytes` are written, for a while.
    async fn flushed(&self, written_bytes: u64) {
        let waiting = async {
            while self.written_bytes() == written_bytes {
                sleep(FLUSH_STEP).await;
            }
        };
        let _ = timeout(FLUSH_TIMEOUT, waiting).await;
    }

    fn has_read(&self) -> bool {
        self.has_read.load(Ordering::Acquire)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let Some(open) = self.open.upgrade() else { return };
        let mut open = lock(&open);
        // A later connection may come from the same address.
        if open.get(&self.address).is_some_and(|connection| connection.strong_count() == 0) {
            open.remove(&self.address);
        }
    }
}

impl ConnObserver for Connection {
    fn on_read(&self, _bytes: usize) {
        self.has_read.store(true, Ordering::Release);
    }

    fn on_write(&self, bytes: usize) {
        self.written_bytes.fetch_add(bytes as u64, Ordering::AcqRel);
    }
}

/// Lets every connection in and keeps watch over it.
pub(crate) struct Admission {
    pub(crate) connections: Connections,
    pub(crate) fuse: FuseConfig,
}

#[async_trait]
impl FusePolicy for Admission {
    async fn decide(&self, _info: &FuseInfo) -> FuseAction {
        FuseAction::Accept(self.fuse)
    }

    fn observe(&self, info: &FuseInfo, control: &ConnCtrl) -> Option<ArcConnObserver> {
        let address = info.remote_addr.clone().into_std()?;
        Some(self.connections.add(address, control.clone()))
    }
}

/// A body whose error waits until the head and the items before it have left.
pub fn end_after_flush<T, E>(
    body: impl Stream<Item = Result<T, E>> + Unpin,
    connection: Arc<Connection>,
) -> impl Stream<Item = Result<T, E>> {
    let before_head = connection.written_bytes();
    stream::unfold(Some((body, connection, before_head)), |state| async {
        let (mut body, connection, written_bytes) = state?;
        match body.next().await? {
            Ok(item) => {
                let before_item = connection.written_bytes();
                Some((Ok(item), Some((body, connection, before_item))))
            }
            Err(error) => {
                drop(body);
                connection.flushed(written_bytes).await;
                Some((Err(error), None))
            }
        }
    })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
