//! Listening sockets, and a [`Listener`] that can be closed before its server stops.
//!
//! The HTTP server keeps its acceptor until its last connection has ended, so callers could
//! still connect to a server that no longer accepts: they would wait, and be reset at the end.
//! [`Listener`] is closed before the server stops. It first drops new connection attempts, then
//! hands out the connections that are already established: closing a socket resets what is in
//! its backlog.

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

/// Most connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Time after which the runtime has reported every connection that was established before.
const HANDOUT_PAUSE: Duration = Duration::from_millis(20);
/// Opcode `BPF_RET | BPF_K` of a packet filter: with the constant zero it drops every packet.
const FILTER_RETURN: u16 = 0x06;

/// Opens a listening socket.
///
/// # Errors
///
/// If the address can't be bound.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit this option.
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
    /// The same socket, which is needed while the acceptor is borrowed.
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
    /// Takes over a listening socket.
    ///
    /// # Errors
    ///
    /// If the socket can't be duplicated, or its address can't be read.
    pub fn new(listener: TcpListener) -> io::Result<(Listener, CloseHandle)> {
        let socket = SockRef::from(&listener).try_clone()?;
        let acceptor = TcpAcceptor::try_from(listener)?;
        let phase = watch::Sender::new(Phase::Open);
        let close_handle = CloseHandle { phase: phase.clone() };
        let holdings = acceptor.holdings().to_vec();
        let open = Some(OpenListener { acceptor, socket });
        Ok((Listener { open, holdings, phase }, close_handle))
    }
}

impl CloseHandle {
    /// Closes the socket once all connections established so far are accepted.
    pub async fn close(&self) {
        let mut phase = self.phase.subscribe();
        self.phase.send_replace(Phase::Closing);
        // The sender lives as long as `self`, so the wait can't fail.
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
                () = wait_for_handout(self.phase.subscribe(), socket) => {}
            }
        }
        self.open = None;
        self.phase.send_replace(Phase::Closed);
        std::future::pending().await
    }
}

/// Waits until the listener is to close, drops new connection attempts from then on, and
/// returns once all established connections have been accepted: accepting one cancels this
/// wait, and the next call to `accept` starts it again.
async fn wait_for_handout(mut phase: watch::Receiver<Phase>, socket: &Socket) {
    // The sender lives as long as the listener, so the wait can't fail.
    let _ = phase.wait_for(|phase| *phase != Phase::Open).await;
    if let Err(error) = socket.attach_filter(&[SockFilter::new(FILTER_RETURN, 0, 0, 0)]) {
        log::warn!("listener: can't filter out new connections, which may be reset: {error}");
    }
    sleep(HANDOUT_PAUSE).await;
}
