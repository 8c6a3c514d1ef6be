//! Whole pictures, over a connection.

use crate::host::Host;
use domain::Millis;
use published::Whole;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// Largest picture taken from a peer: thousands of upstreams and routes.
const MAX_PICTURE_BYTES: u64 = 32 * 1024 * 1024;

/// What is told over a connection.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Told {
    /// Age of the reading.
    pub(super) age_ms: Millis,
    /// The picture.
    pub(super) whole: Whole,
}

/// Fetches a peer's picture.
pub(super) async fn fetch_picture(address: SocketAddr) -> std::io::Result<Told> {
    let mut stream = TcpSocket::new_v4()?.connect(address).await?;
    let mut bytes = Vec::new();
    (&mut stream).take(MAX_PICTURE_BYTES).read_to_end(&mut bytes).await?;
    postcard::from_bytes(&bytes).map_err(std::io::Error::other)
}

/// Gives this host's picture.
pub(super) async fn give_picture(host: &Host, mut stream: TcpStream) -> std::io::Result<()> {
    let told = {
        let picture = host.picture.borrow();
        // A host without a picture closes the connection, and another is asked.
        let Some(age_ms) = picture.age_ms(host.now_ms()) else { return Ok(()) };
        Told { age_ms, whole: picture.whole() }
    };
    let bytes = postcard::to_stdvec(&told).map_err(std::io::Error::other)?;
    stream.write_all(&bytes).await?;
    host.metrics.told_peers(bytes.len());
    stream.shutdown().await
}
