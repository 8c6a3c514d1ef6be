//! Filling gaps, over a connection.
//!
//! The host that asks says what it holds and closes its half; it is told what it lacks.

use super::codec;
use crate::host::Host;
use published::{Held, Told};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

/// Longest time for one exchange: what a slow machine needs for a large first picture.
pub(super) const FETCH_LIMIT: Duration = Duration::from_millis(800);

/// Largest answer taken from a peer: thousands of upstreams and routes.
const MAX_TOLD_BYTES: u64 = 32 * 1024 * 1024;

/// Largest question taken from a peer: two revisions, and room for later releases.
const MAX_ASKED_BYTES: u64 = 256;

/// Asks one peer after the other for what is missing, until one tells.
pub(super) async fn fetch(from: &[SocketAddr], held: Held) -> Option<(SocketAddr, Told)> {
    for &address in from {
        if let Ok(Ok(told)) = timeout(FETCH_LIMIT, ask(address, held)).await {
            return Some((address, told));
        }
    }
    None
}

async fn ask(address: SocketAddr, held: Held) -> std::io::Result<Told> {
    let mut stream = TcpSocket::new_v4()?.connect(address).await?;
    let question = codec::encode(&held).map_err(std::io::Error::other)?;
    stream.write_all(&question).await?;
    stream.shutdown().await?;
    let mut bytes = Vec::new();
    stream.take(MAX_TOLD_BYTES).read_to_end(&mut bytes).await?;
    codec::decode(&bytes).map_err(std::io::Error::other)
}

/// Tells a peer what it lacks.
pub(super) async fn give(host: &Host, mut stream: TcpStream) -> std::io::Result<()> {
    let mut question = Vec::new();
    (&mut stream).take(MAX_ASKED_BYTES).read_to_end(&mut question).await?;
    let held: Held = codec::decode(&question).map_err(std::io::Error::other)?;
    let told = host.gossip.borrow().tell(host.now_ms(), held);
    // A host without a picture closes the connection, and another is asked.
    let Some(told) = told else { return Ok(()) };
    let bytes = codec::encode(&told).map_err(std::io::Error::other)?;
    stream.write_all(&bytes).await?;
    host.metrics.told_peers(bytes.len());
    stream.shutdown().await
}
