//! How many connections this entry host has to each upstream.
//!
//! An upstream states how many it accepts from all entry hosts; the core says this host's
//! share with each attempt. The client's own pool limits idle connections only, so an
//! attempt takes a permit here before it may use or open one, and keeps it until its answer
//! has been read.
//!
//! That alone is one too many now and then: a connection whose answer has been read is on
//! its way back to the pool for a moment, and the next attempt would open another. So
//! connections are counted as well, and an attempt that finds the count reached waits for
//! the one that comes back. The client doesn't tell when an idle connection ends; a count
//! that proves too high is corrected after a short wait.

use clock::Moment;
use domain::{Connections, FastMap};
use futures_util::future::BoxFuture;
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tower::{BoxError, Layer, Service};

/// Upstreams remembered before those that are not in use are let go of.
const MAX_IDLE_SHARES: usize = 1024;
/// Idle connections are closed here before upstreams usually do (5 s and more).
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest wait for a connection that comes back to the pool.
const RETURN_TIMEOUT: Duration = Duration::from_millis(50);
const RETURN_STEP: Duration = Duration::from_millis(1);

/// The shares, by the upstream's address.
#[derive(Debug, Clone, Default)]
pub struct ConnectionShares {
    shares: Arc<Mutex<FastMap<SocketAddr, Arc<Share>>>>,
}

#[derive(Debug)]
struct Share {
    permits: Arc<Semaphore>,
    counts: Mutex<Counts>,
}

#[derive(Debug)]
struct Counts {
    /// The share as it was stated last.
    connections: u32,
    /// Permits in use that the share no longer has; they vanish when given back.
    excess: u32,
    /// Permits in use.
    in_use: u32,
    /// Connections that are open or being opened, as far as is known.
    open: u32,
    /// When a permit was last given back.
    last_end: Moment,
}

/// The right to use one connection.
#[derive(Debug)]
pub struct ConnectionPermit {
    share: Arc<Share>,
    permit: Option<OwnedSemaphorePermit>,
    /// A connection in use is closed with the permit.
    closes: bool,
    /// The connection is still being opened, and counted by its opening.
    is_connecting: Arc<AtomicBool>,
}

impl ConnectionShares {
    /// Waits for a connection to an upstream, of which this host's share has `connections`.
    pub async fn permit(&self, address: SocketAddr, connections: Connections) -> ConnectionPermit {
        let share = self.share(address);
        share.resize(connections.0.max(1));
        // It is never closed, so that there always is a permit.
        let permit = Arc::clone(&share.permits).acquire_owned().await.ok();
        share.counts().begin_use();
        ConnectionPermit { share, permit, closes: false, is_connecting: Arc::default() }
    }

    fn share(&self, address: SocketAddr) -> Arc<Share> {
        let mut shares = lock(&self.shares);
        if shares.len() >= MAX_IDLE_SHARES && !shares.contains_key(&address) {
            shares.retain(|_, share| Arc::strong_count(share) > 1);
        }
        Arc::clone(shares.entry(address).or_insert_with(|| Arc::new(Share::new())))
    }
}

impl Share {
    fn new() -> Share {
        let counts =
            Counts { connections: 0, excess: 0, in_use: 0, open: 0, last_end: Moment::now() };
        Share { permits: Arc::new(Semaphore::new(0)), counts: Mutex::new(counts) }
    }

    fn counts(&self) -> MutexGuard<'_, Counts> {
        lock(&self.counts)
    }

    fn resize(&self, connections: u32) {
        let mut counts = self.counts();
        let added = connections.saturating_sub(counts.connections);
        let removed = counts.connections.saturating_sub(connections);
        counts.connections = connections;
        let kept = added.min(counts.excess);
        self.permits.add_permits((added - kept) as usize);
        let forgotten = self.permits.forget_permits(removed as usize) as u32;
        counts.excess = counts.excess - kept + (removed - forgotten);
    }
}

impl Counts {
    fn begin_use(&mut self) {
        if self.in_use == 0 && self.last_end.elapsed() >= IDLE_TIMEOUT {
            self.open = 0;
        }
        self.in_use += 1;
    }

    fn try_open(&mut self) -> bool {
        let may_open = self.open < self.connections;
        self.open += u32::from(may_open);
        may_open
    }

    /// None came back although not all are in use: the others must have ended.
    fn open_anyway(&mut self) {
        self.open = self.in_use;
    }

    fn note_closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }
}

impl ConnectionPermit {
    /// The whole answer is read: the connection goes back to the pool.
    pub fn note_returned(&mut self) {
        self.closes = false;
    }

    /// Runs `work`, whose connecting counts for this permit. From then on the connection
    /// has to be closed, unless the whole answer is read.
    pub async fn opening<T>(&mut self, work: impl Future<Output = T>) -> T {
        self.closes = true;
        let opening = Opening {
            share: Arc::clone(&self.share),
            is_connecting: Arc::clone(&self.is_connecting),
            is_over: Arc::default(),
        };
        let _over = OverOnDrop(Arc::clone(&opening.is_over));
        OPENING.scope(opening, work).await
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let mut counts = self.share.counts();
        counts.in_use -= 1;
        counts.last_end = Moment::now();
        if self.closes && !self.is_connecting.load(Ordering::Acquire) {
            counts.note_closed();
        }
        if counts.excess > 0 {
            counts.excess -= 1;
            self.permit.take().into_iter().for_each(OwnedSemaphorePermit::forget);
        }
    }
}

tokio::task_local! {
    static OPENING: Opening;
}

/// An attempt that wants a connection.
#[derive(Debug, Clone)]
struct Opening {
    share: Arc<Share>,
    is_connecting: Arc<AtomicBool>,
    /// It has got one, or gave up.
    is_over: Arc<AtomicBool>,
}

struct OverOnDrop(Arc<AtomicBool>);

impl Drop for OverOnDrop {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Release);
    }
}

impl Opening {
    /// Waits until another connection may be opened.
    async fn reserve(&self) -> Result<Reservation, Surplus> {
        self.is_connecting.store(true, Ordering::Release);
        let began = Moment::now();
        while !self.share.counts().try_open() {
            if self.is_over.load(Ordering::Acquire) {
                return Err(Surplus);
            }
            if began.elapsed() >= RETURN_TIMEOUT {
                self.share.counts().open_anyway();
                break;
            }
            clock::sleep(RETURN_STEP).await;
        }
        Ok(Reservation { share: Arc::clone(&self.share), is_kept: false })
    }
}

/// A place among the open connections, given back unless it is kept.
struct Reservation {
    share: Arc<Share>,
    is_kept: bool,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if !self.is_kept {
            self.share.counts().note_closed();
        }
    }
}

/// The attempt got another connection meanwhile.
#[derive(Debug)]
struct Surplus;

impl fmt::Display for Surplus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection is no longer needed")
    }
}

impl std::error::Error for Surplus {}

/// Makes a client's connecting ask the share; without a permit it connects at once.
#[derive(Debug, Clone, Copy)]
pub struct CountedConnecting;

impl<S> Layer<S> for CountedConnecting {
    type Service = CountedConnector<S>;

    fn layer(&self, inner: S) -> CountedConnector<S> {
        CountedConnector { inner }
    }
}

/// A connector that asks the share.
#[derive(Debug, Clone)]
pub struct CountedConnector<S> {
    inner: S,
}

impl<S, R> Service<R> for CountedConnector<S>
where
    S: Service<R, Error = BoxError> + Clone + Send + 'static,
    S::Future: Send,
    S::Response: Send,
    R: Send + 'static,
{
    type Response = S::Response;
    type Error = BoxError;
    type Future = BoxFuture<'static, Result<S::Response, BoxError>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), BoxError>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: R) -> Self::Future {
        // The one that is ready goes along, a copy stays.
        let copy = self.inner.clone();
        let mut inner = std::mem::replace(&mut self.inner, copy);
        let Ok(opening) = OPENING.try_with(Opening::clone) else {
            return Box::pin(inner.call(request));
        };
        Box::pin(async move {
            let mut reservation = opening.reserve().await?;
            let connection = inner.call(request).await?;
            reservation.is_kept = true;
            opening.is_connecting.store(false, Ordering::Release);
            Ok(connection)
        })
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
