//! A listening socket that a graceful stop closes.
//!
//! The HTTP server keeps its acceptor until the last connection has ended, so that
//! callers could still connect to a server that no longer accepts: they would wait and
//! be cut at the end. This listener first hands out what has connected already, then
//! closes, before the server is told to stop.

use salvo::conn::tcp::TcpAcceptor;
use salvo::conn::{Accepted, Acceptor, Holding};
use salvo::fuse::ArcFusePolicy;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpSocket;
use tokio::sync::watch;

/// Connections that the system keeps until they are accepted.
const ACCEPT_BACKLOG: u32 = 1024;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Open,
    Closing,
    Closed,
}

/// A listening socket.
pub(crate) struct Listener {
    pub(crate) address: SocketAddr,
    acceptor: Option<TcpAcceptor>,
    holdings: Vec<Holding>,
    phase: watch::Sender<Phase>,
}

/// Closes a [`Listener`] that a server owns.
#[derive(Debug)]
pub(crate) struct Closing {
    phase: watch::Sender<Phase>,
}

impl Listener {
    pub(crate) fn bind(listen: SocketAddr) -> io::Result<(Listener, Closing)> {
        let acceptor = bind(listen)?;
        let phase = watch::Sender::new(Phase::Open);
        let listener = Listener {
            address: acceptor.local_addr()?,
            holdings: acceptor.holdings().to_vec(),
            acceptor: Some(acceptor),
            phase: phase.clone(),
        };
        Ok((listener, Closing { phase }))
    }
}

impl Closing {
    /// Closes the socket once everything that has connected to it is accepted.
    pub(crate) async fn close(&self) {
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
        let mut phase = self.phase.subscribe();
        if let Some(acceptor) = &mut self.acceptor {
            tokio::select! {
                biased;
                accepted = acceptor.accept(fuse_policy) => return accepted,
                _ = phase.wait_for(|phase| *phase != Phase::Open) => {}
            }
        }
        self.acceptor = None;
        self.phase.send_replace(Phase::Closed);
        std::future::pending().await
    }
}

fn bind(listen: SocketAddr) -> io::Result<TcpAcceptor> {
    let socket = match listen {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Linux passes the option on to each accepted connection.
    socket.set_nodelay(true)?;
    socket.bind(listen)?;
    TcpAcceptor::try_from(socket.listen(ACCEPT_BACKLOG)?)
}
