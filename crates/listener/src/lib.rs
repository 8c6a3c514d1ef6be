//! Listening sockets, and one that a stop closes.
//!
//! The HTTP server keeps its acceptor until its last connection has ended, so callers could
//! still connect to a server that no longer accepts: they would wait and be cut at the end.
//! [`Listener`] closes before the server is told to stop. First it takes no new connection
//! in, then it hands out all that have connected already: a socket that closes resets what
//! is left in its backlog.

use clock::sleep;
use salvo::conn::tcp::TcpAcceptor;
use salvo::conn::{Accepted, Acceptor, Holding};
use salvo::fuse::ArcFusePolicy;
use socket2::{SockFilter, SockRef, Socket};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Pause after which the runtime has heard of every connection that was there before.
const HANDOUT_PAUSE: Duration = Duration::from_millis(20);
/// A packet filter's instruction "return a constant", here: take nothing in.
const FILTER_RETURN: u16 = 0x06;

/// Listens.
///
/// # Errors
///
/// If the address can't be had.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit it.
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// A listening socket that a server owns.
pub struct Listener {
    open: Option<OpenListener>,
    holdings: Vec<Holding>,
    phase: watch::Sender<Phase>,
}

struct OpenListener {
    acceptor: TcpAcceptor,
    /// The same socket, to reach it while the acceptor is busy.
    socket: Socket,
}

/// Closes a [`Listener`].
#[derive(Debug)]
pub struct CloseHandle {
    phase: watch::Sender<Phase>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Open,
    Closing,
    Closed,
}

impl Listener {
    /// Takes a listening socket over.
    ///
    /// # Errors
    ///
    /// If the machine denies the socket's address.
    pub fn new(listener: TcpListener) -> io::Result<(Listener, CloseHandle)> {
        let socket = SockRef::from(&listener).try_clone()?;
        let acceptor = TcpAcceptor::try_from(listener)?;
        let phase = watch::Sender::new(Phase::Open);
        let closing = CloseHandle { phase: phase.clone() };
        let holdings = acceptor.holdings().to_vec();
        let open = Some(OpenListener { acceptor, socket });
        Ok((Listener { open, holdings, phase }, closing))
    }
}

impl CloseHandle {
    /// Closes the socket once everything that has connected to it is accepted.
    pub async fn close(&self) {
        let mut phase = self.phase.subscribe();
        self.phase.send_replace(Phase::Closing);
        // The sender lives as long as `self`, so that waiting can't fail.
        let _ = phase.wait_for(|phase| *phase == Phase::Closed).await;
    }
}

impl Acceptor for Listener {
    type Coupler = <TcpAcceptor as Acceptor>::Coupler;
    type Stream = <TcpAcceptor as Acceptor>::Stream;

    fn holdings(&self) -> &[Holding] {
        &self.holdings
    }

    async fn accept(
        &mut self,
        fuse_policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        if let Some(OpenListener { acceptor, socket }) = &mut self.open {
            tokio::select! {
                biased;
                accepted = acceptor.accept(fuse_policy) => return accepted,
                () = handed_out(self.phase.subscribe(), socket) => {}
            }
        }
        self.open = None;
        self.phase.send_replace(Phase::Closed);
        std::future::pending().await
    }
}

/// Waits for the closing, takes nothing in from then on, and ends when what had connected
/// before has been accepted: until then, accepting comes first and starts this anew.
async fn handed_out(mut phase: watch::Receiver<Phase>, socket: &Socket) {
    // The sender lives as long as the listener, so that waiting can't fail.
    let _ = phase.wait_for(|phase| *phase != Phase::Open).await;
    if let Err(error) = socket.attach_filter(&[SockFilter::new(FILTER_RETURN, 0, 0, 0)]) {
        log::warn!("listener: a connection that comes just now may be reset: {error}");
    }
    sleep(HANDOUT_PAUSE).await;
}
