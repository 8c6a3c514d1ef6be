//! Filling gaps, over a connection.
//!
//! The host that asks says what it holds and closes its half; it is told what it lacks.

use crate::host::Host;
use domain::Millis;
use published::{CatchUp, Held};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// Largest answer taken from a peer: thousands of upstreams and routes.
const MAX_TOLD_BYTES: u64 = 32 * 1024 * 1024;

/// Largest question taken from a peer: two revisions, and room for later releases.
const MAX_ASKED_BYTES: u64 = 256;

/// What is told over a connection.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Told {
    /// Age of the reading.
    pub(super) age_ms: Millis,
    /// What the asking host lacked.
    pub(super) catch_up: CatchUp,
}

/// Asks a peer for what is missing.
pub(super) async fn fetch(address: SocketAddr, held: Held) -> std::io::Result<Told> {
    let mut stream = TcpSocket::new_v4()?.connect(address).await?;
    let question = postcard::to_stdvec(&held).map_err(std::io::Error::other)?;
    stream.write_all(&question).await?;
    stream.shutdown().await?;
    let mut bytes = Vec::new();
    stream.take(MAX_TOLD_BYTES).read_to_end(&mut bytes).await?;
    postcard::from_bytes(&bytes).map_err(std::io::Error::other)
}

/// Tells a peer what it lacks.
pub(super) async fn give(host: &Host, mut stream: TcpStream) -> std::io::Result<()> {
    let mut question = Vec::new();
    (&mut stream).take(MAX_ASKED_BYTES).read_to_end(&mut question).await?;
    let held: Held = postcard::from_bytes(&question).map_err(std::io::Error::other)?;
    let told = {
        let picture = host.picture.borrow();
        // A host without a picture closes the connection, and another is asked.
        let Some(age_ms) = picture.age_ms(host.now_ms()) else { return Ok(()) };
        Told { age_ms, catch_up: picture.catch_up(held) }
    };
    let bytes = postcard::to_stdvec(&told).map_err(std::io::Error::other)?;
    stream.write_all(&bytes).await?;
    host.metrics.told_peers(bytes.len());
    stream.shutdown().await
}
