//! Reads the body of a long response in pieces, whenever its reader asks for the next one.

use super::{Connection, ExchangeEnd, LongResponse, READ_BYTES};
use crate::http1::{BodyProgress, BodyReader, Framing};
use std::io::ErrorKind;
use tokio::io::Interest;

/// The rest of a long response.
#[derive(Debug)]
pub struct LongBody {
    connection: Connection,
    reader: BodyReader,
    /// The rest of the request.
    unsent: Vec<u8>,
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
        (LongBody { connection, reader: body, unsent, end }, first)
    }

    /// Bytes that were received and not yet returned. What is left of the request doesn't count: it
    /// is sent by reading, which a full bound would prevent.
    pub fn held_bytes(&self) -> usize {
        self.connection.buffer.len()
    }

    /// Returns once there may be something to read.
    pub async fn ready(&self) {
        let interest = match self.unsent.is_empty() {
            true => Interest::READABLE,
            false => Interest::READABLE | Interest::WRITABLE,
        };
        // The next read finds the error.
        let _ = self.connection.stream.ready(interest).await;
    }

    /// Reads once what has arrived, and sends what is left of the request.
    pub fn read(&mut self) -> BodyPart {
        if !self.send_rest() {
            return BodyPart::Broken;
        }
        match self.connection.read_some() {
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
        self.connection.finish(self.end, self.unsent.is_empty());
        self.connection
    }

    /// Sends what is left of the request, as far as possible without waiting. False if the
    /// connection broke.
    fn send_rest(&mut self) -> bool {
        while !self.unsent.is_empty() {
            match self.connection.stream.try_write(&self.unsent) {
                Ok(0) => return false,
                Ok(written) => drop(self.unsent.drain(..written)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
                Err(_) => return false,
            }
        }
        true
    }
}
