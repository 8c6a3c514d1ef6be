//! Fetches what a host misses from a peer, over a connection.
//!
//! The client sends which revisions it has and closes its half of the connection; the server
//! replies with what is missing.

use super::codec;
use crate::host::Host;
use clock::{Moment, sleep, timeout};
use published::{Fetch, FetchReply, FetchRequest};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// Timeout of one exchange: what a slow machine needs for a large first snapshot.
pub(super) const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout for opening a connection: some round trips between availability zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest time for trying peers. The number of hosts that have a large change doubles several
/// times within it.
const MAX_FETCH_TIME: Duration = Duration::from_millis(2_000);

/// Pause between two rounds of trying all peers.
const ROUND_PAUSE: Duration = Duration::from_millis(60);

/// Size from which a reply is large: it takes a tenth of a second on a link of 10 Mbit/s.
const LARGE_REPLY_BYTES: usize = 100 * 1024;

/// Most large replies sent at the same time: more would all be late on a slow link, and a client
/// that is turned away finds another host that has the data by then.
const MAX_LARGE_REPLIES: usize = 3;

/// Largest reply accepted from a peer: thousands of upstreams and routes.
const MAX_REPLY_BYTES: u64 = 32 * 1024 * 1024;

/// Largest request accepted from a peer: two revisions, with room for later releases.
const MAX_REQUEST_BYTES: u64 = 256;

/// Requests what is missing from one peer after the other, in rounds, until one replies.
pub(super) async fn fetch(fetch: &Fetch) -> Option<(SocketAddr, FetchReply)> {
    let until = Moment::now() + MAX_FETCH_TIME;
    while Moment::now() < until {
        for &address in &fetch.from {
            if let Ok(Ok(reply)) =
                timeout(FETCH_TIMEOUT, request_from(address, fetch.request)).await
            {
                return Some((address, reply));
            }
        }
        sleep(ROUND_PAUSE).await;
    }
    None
}

async fn request_from(address: SocketAddr, request: FetchRequest) -> std::io::Result<FetchReply> {
    let connecting = TcpSocket::new_v4()?.connect(address);
    let mut stream = timeout(CONNECT_TIMEOUT, connecting).await??;
    let request = codec::encode(&request).map_err(std::io::Error::other)?;
    stream.write_all(&request).await?;
    stream.shutdown().await?;
    let mut bytes = Vec::new();
    stream.take(MAX_REPLY_BYTES).read_to_end(&mut bytes).await?;
    codec::decode(&bytes).map_err(std::io::Error::other)
}

/// Replies to a peer's request with what it misses.
pub(super) async fn serve(host: &Host, mut stream: TcpStream) -> std::io::Result<()> {
    let mut request = Vec::new();
    (&mut stream).take(MAX_REQUEST_BYTES).read_to_end(&mut request).await?;
    let request: FetchRequest = codec::decode(&request).map_err(std::io::Error::other)?;
    let reply = host.gossip.borrow().reply_to_fetch(host.now_ms(), request);
    // Without a reply the connection is closed, and the peer tries another host.
    let Some(reply) = reply else { return Ok(()) };
    let bytes = codec::encode(&reply).map_err(std::io::Error::other)?;
    let Some(_permit) = ReplyPermit::acquire(host, bytes.len()) else { return Ok(()) };
    stream.write_all(&bytes).await?;
    host.metrics.peer_bytes_sent(bytes.len());
    stream.shutdown().await
}

/// Permission to send a reply. Limits how many large ones are sent at the same time.
struct ReplyPermit<'h> {
    host: &'h Host,
    is_large: bool,
}

impl ReplyPermit<'_> {
    /// Returns none if the reply is large and the limit is reached.
    fn acquire(host: &Host, bytes: usize) -> Option<ReplyPermit<'_>> {
        let is_large = bytes >= LARGE_REPLY_BYTES;
        if is_large && host.large_replies_in_progress.get() >= MAX_LARGE_REPLIES {
            return None;
        }
        host.large_replies_in_progress.update(|count| count + usize::from(is_large));
        Some(ReplyPermit { host, is_large })
    }
}

impl Drop for ReplyPermit<'_> {
    fn drop(&mut self) {
        self.host.large_replies_in_progress.update(|count| count - usize::from(self.is_large));
    }
}
