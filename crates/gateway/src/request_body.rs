//! Bodies of requests.
//!
//! A body is collected whole while the host has memory for it, so that the request can be sent
//! again. Without memory it is passed on in pieces while it arrives.

mod segments;
mod stream;

pub use segments::Segments;
pub use stream::{BodyFailure, BodyStream, Supply};

use crate::http1::Framing;
use domain::Millis;

/// Bytes of a body that are held in any case, and that identify it.
pub const PREFIX_BYTES: usize = 16 * 1024;

/// The body of a request.
#[derive(Debug)]
pub enum RequestBody {
    /// Collected whole.
    Whole(Segments),
    /// Passed on while it arrives.
    Streamed(Box<BodyStream>),
}

impl RequestBody {
    /// How it is framed for upstreams.
    pub fn framing(&self) -> Framing {
        match self {
            RequestBody::Whole(segments) => Framing::Length(segments.len() as u64),
            RequestBody::Streamed(stream) => stream.framing(),
        }
    }

    /// Whether it was read to its end.
    pub fn is_read(&self) -> bool {
        match self {
            RequestBody::Whole(_) => true,
            RequestBody::Streamed(stream) => stream.is_read(),
        }
    }

    /// Time since its last byte was sent; none unless it is passed on while it arrives.
    pub fn since_sent_ms(&self) -> Option<Millis> {
        match self {
            RequestBody::Whole(_) => None,
            RequestBody::Streamed(stream) => stream.since_sent_ms(),
        }
    }

    /// Whether an upstream to which it is sent still waits for its caller.
    pub fn is_awaited(&self) -> bool {
        match self {
            RequestBody::Whole(_) => false,
            RequestBody::Streamed(stream) => !stream.is_sent(),
        }
    }

    /// Whether it can be sent from its beginning.
    pub fn is_intact(&self) -> bool {
        match self {
            RequestBody::Whole(_) => true,
            RequestBody::Streamed(stream) => stream.is_intact(),
        }
    }

    /// Returns once its caller has made it impossible to complete it, other than by leaving.
    pub async fn failed(&self) -> BodyFailure {
        match self {
            RequestBody::Whole(_) => std::future::pending().await,
            RequestBody::Streamed(stream) => stream.failed().await,
        }
    }
}
