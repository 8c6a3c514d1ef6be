//! Copies the bytes of a tunnel.
//!
//! The end of a response may be the end of its connection. So the peer sees an orderly end only if
//! the upstream ended the connection in order; in all other cases, also if this process dies, the
//! connection to the peer is reset.

use crate::event_log::TunnelEnd;
use clock::Moment;
use std::cell::Cell;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;

const BUFFER_BYTES: usize = 8 * 1024;

/// A tunnel without a byte in either direction for this time is closed: the peer is gone. Peers
/// close idle connections earlier.
const IDLE_LIMIT: Duration = Duration::from_secs(60);

/// How long the peer has to close its side after the upstream has ended the connection.
const CLOSE_LIMIT: Duration = Duration::from_secs(5);

/// What became of a tunnel.
#[derive(Debug)]
pub(super) struct Spliced {
    pub(super) end: TunnelEnd,
    pub(super) to_upstream_bytes: u64,
    pub(super) from_upstream_bytes: u64,
}

/// Copies bytes in both directions until one side ends.
pub(super) async fn splice(mut peer: TcpStream, mut upstream: TcpStream) -> Spliced {
    let has_linger = peer.set_zero_linger().is_ok();
    let (to_upstream, from_upstream) = (Cell::new(0), Cell::new(0));
    let last_active = Cell::new(Moment::now());
    let end = {
        let (mut from_peer, mut to_peer) = peer.split();
        let (mut from_up, mut to_up) = upstream.split();
        tokio::select! {
            copied = copy(&mut from_peer, &mut to_up, &to_upstream, &last_active) => match copied {
                Ok(()) => TunnelEnd::PeerClosed,
                Err(_) => TunnelEnd::Broken,
            },
            copied = copy(&mut from_up, &mut to_peer, &from_upstream, &last_active) => match copied {
                Ok(()) if has_linger => TunnelEnd::UpstreamClosed,
                Ok(()) | Err(_) => TunnelEnd::Broken,
            },
            () = wait_until_idle(&last_active) => TunnelEnd::Idle,
        }
    };
    drop(upstream);
    if end == TunnelEnd::UpstreamClosed && peer.shutdown().await.is_ok() {
        // A close would reset the connection before the peer has read everything.
        let mut rest = [0; 64];
        let closing = async { while matches!(peer.read(&mut rest).await, Ok(read) if read > 0) {} };
        let _ = clock::timeout(CLOSE_LIMIT, closing).await;
    }
    Spliced { end, to_upstream_bytes: to_upstream.get(), from_upstream_bytes: from_upstream.get() }
}

async fn copy(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
    copied: &Cell<u64>,
    last_active: &Cell<Moment>,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await?;
        if read == 0 {
            return Ok(());
        }
        last_active.set(Moment::now());
        to.write_all(&buffer[..read]).await?;
        copied.update(|bytes| bytes + read as u64);
    }
}

async fn wait_until_idle(last_active: &Cell<Moment>) {
    while last_active.get().elapsed() < IDLE_LIMIT {
        clock::sleep_until(last_active.get() + IDLE_LIMIT).await;
    }
}
