//! Filling gaps, over a connection.
//!
//! The host that asks says what it holds and closes its half; it is told what it lacks.

use super::codec;
use crate::host::Host;
use clock::{Moment, sleep, timeout};
use published::{Fetch, FetchReply, FetchRequest};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// Longest time for one exchange: what a slow machine needs for a large first picture.
pub(super) const FETCH_LIMIT: Duration = Duration::from_millis(800);

/// Longest time to open a connection: some round trips between availability zones.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);

/// Longest time for asking around: a large change doubles its holders several times in it.
const ASKING_LIMIT: Duration = Duration::from_millis(2_000);

/// Pause between two rounds of asking around.
const ASKING_PAUSE: Duration = Duration::from_millis(60);

/// An answer from this size on is large: a tenth of a second of a link of 10 Mbit/s.
const LARGE_BYTES: usize = 100 * 1024;

/// Large answers that are given at the same time. Forty at once over a link of 10 Mbit/s
/// came too late for all; who is turned away finds another that has been told.
const LARGE_AT_ONCE: usize = 3;

/// Largest answer taken from a peer: thousands of upstreams and routes.
const MAX_TOLD_BYTES: u64 = 32 * 1024 * 1024;

/// Largest question taken from a peer: two revisions, and room for later releases.
const MAX_ASKED_BYTES: u64 = 256;

/// Asks one peer after the other for what is missing, round after round, until one tells.
pub(super) async fn fetch(fetch: &Fetch) -> Option<(SocketAddr, FetchReply)> {
    let until = Moment::now() + ASKING_LIMIT;
    while Moment::now() < until {
        for &address in &fetch.from {
            if let Ok(Ok(told)) = timeout(FETCH_LIMIT, ask(address, fetch.request)).await {
                return Some((address, told));
            }
        }
        sleep(ASKING_PAUSE).await;
    }
    None
}

async fn ask(address: SocketAddr, request: FetchRequest) -> std::io::Result<FetchReply> {
    let connecting = TcpSocket::new_v4()?.connect(address);
    let mut stream = timeout(CONNECT_LIMIT, connecting).await??;
    let request = codec::encode(&request).map_err(std::io::Error::other)?;
    stream.write_all(&request).await?;
    stream.shutdown().await?;
    let mut bytes = Vec::new();
    stream.take(MAX_TOLD_BYTES).read_to_end(&mut bytes).await?;
    codec::decode(&bytes).map_err(std::io::Error::other)
}

/// Tells a peer what it lacks.
pub(super) async fn give(host: &Host, mut stream: TcpStream) -> std::io::Result<()> {
    let mut request = Vec::new();
    (&mut stream).take(MAX_ASKED_BYTES).read_to_end(&mut request).await?;
    let request: FetchRequest = codec::decode(&request).map_err(std::io::Error::other)?;
    let told = host.gossip.borrow().reply_to_fetch(host.now_ms(), request);
    // A host that can't help closes the connection, and another is asked.
    let Some(told) = told else { return Ok(()) };
    let bytes = codec::encode(&told).map_err(std::io::Error::other)?;
    let Some(_turn) = Turn::take(host, bytes.len()) else { return Ok(()) };
    stream.write_all(&bytes).await?;
    host.metrics.peer_bytes_sent(bytes.len());
    stream.shutdown().await
}

/// A large answer that is being given; ends when dropped.
struct Turn<'h> {
    host: &'h Host,
    is_large: bool,
}

impl Turn<'_> {
    /// None if as many as may be are being given.
    fn take(host: &Host, bytes: usize) -> Option<Turn<'_>> {
        let is_large = bytes >= LARGE_BYTES;
        if is_large && host.large_replies_in_progress.get() >= LARGE_AT_ONCE {
            return None;
        }
        host.large_replies_in_progress.update(|giving| giving + usize::from(is_large));
        Some(Turn { host, is_large })
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        self.host.large_replies_in_progress.update(|giving| giving - usize::from(self.is_large));
    }
}
