//! Reads the body of a long response in pieces, whenever its reader asks for the next one.
//!
//! An upstream may work in silence for as long as the request has time. It is told from one that is
//! gone by keep-alive probes, which the kernel of its machine acknowledges.

use super::unsent::SendStep;
use super::{Connection, ExchangeEnd, LongResponse, READ_BYTES, Unsent};
use crate::http1::{BodyProgress, BodyReader, Framing};
use socket2::{SockRef, TcpKeepalive};
use std::time::Duration;

/// Silence after which the other machine is probed, and time between two probes.
const KEEPALIVE: TcpKeepalive = TcpKeepalive::new()
    .with_time(Duration::from_secs(2))
    .with_interval(Duration::from_secs(1))
    .with_retries(3);

/// The rest of a long response.
#[derive(Debug)]
pub struct LongBody {
    connection: Connection,
    reader: BodyReader,
    /// Bytes read, with their framing.
    read_bytes: u64,
    /// The rest of the request.
    unsent: Unsent,
    /// How sending it went last.
    step: SendStep,
    end: ExchangeEnd,
}

/// What has arrived of a body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyPart {
    /// Nothing, for now.
    Pending,
    /// The next bytes; they may be empty, as between two chunks.
    Bytes(Vec<u8>),
    /// The last bytes.
    Last(Vec<u8>),
    /// The body can't be completed: the connection broke, or its framing is malformed.
    Broken,
}

impl LongBody {
    /// Most bytes by which [`LongBody::read`] grows what is held.
    pub const READ_BYTES: usize = READ_BYTES;

    /// Returns the body of a response that arrives on this connection, and the bytes of it that
    /// were read so far.
    pub fn new(connection: Connection, response: LongResponse) -> (LongBody, Vec<u8>) {
        let LongResponse { mut body, unsent, end, .. } = response;
        let first = body.take();
        let step = SendStep::Blocked;
        // If it fails, a machine that is gone is noticed when the request is due.
        let _ = SockRef::from(&connection.stream).set_tcp_keepalive(&KEEPALIVE);
        (LongBody { connection, reader: body, read_bytes: 0, unsent, step, end }, first)
    }

    /// Bytes that were received and not yet returned. What is left of the request doesn't count: it
    /// is sent by reading, which a full bound would prevent.
    pub fn held_bytes(&self) -> usize {
        self.connection.buffer.len()
    }

    /// Bytes that were read of it, with their framing.
    pub fn read_bytes(&self) -> u64 {
        self.read_bytes
    }

    /// Returns once there may be something to read.
    pub async fn ready(&self) {
        // The next read finds the error.
        let _ = self.connection.progress(&self.unsent, self.step).await;
    }

    /// Returns once more of the request may be sent.
    pub async fn sendable(&self) {
        match self.step {
            SendStep::Done => std::future::pending().await,
            SendStep::Yields => tokio::task::yield_now().await,
            SendStep::AwaitsBody => self.unsent.body_ready().await,
            SendStep::Blocked => {
                // The next write finds the error.
                let _ = self.connection.stream.writable().await;
            }
        }
    }

    /// Sends what is left of the request, as far as possible without waiting.
    ///
    /// # Errors
    ///
    /// If the connection broke.
    pub fn send(&mut self) -> std::io::Result<()> {
        self.step = self.unsent.send(&self.connection.stream)?;
        Ok(())
    }

    /// Reads once what has arrived.
    pub fn read(&mut self) -> BodyPart {
        let read = self.connection.read_some();
        if let Ok(Some(bytes)) = read {
            self.read_bytes += bytes as u64;
        }
        match read {
            Ok(None) => BodyPart::Pending,
            Ok(Some(0)) if self.reader.framing() == Framing::UntilClose => {
                BodyPart::Last(Vec::new())
            }
            Ok(Some(0)) | Err(_) => BodyPart::Broken,
            Ok(Some(_)) => match self.reader.read_from(&mut self.connection.buffer) {
                Ok(BodyProgress::Partial) => BodyPart::Bytes(self.reader.take()),
                Ok(BodyProgress::Whole) => BodyPart::Last(self.reader.take()),
                Ok(BodyProgress::TooLarge) | Err(_) => BodyPart::Broken,
            },
        }
    }

    /// The connection after the body was read whole.
    pub fn into_connection(mut self) -> Connection {
        // If it fails, an idle connection is probed, too.
        let _ = SockRef::from(&self.connection.stream).set_keepalive(false);
        self.connection.finish(self.end, self.unsent.is_all_sent());
        self.connection
    }
}
