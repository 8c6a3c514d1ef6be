//! Types for what an exchange is expected to return, and what it returns.

use super::{ExchangeEnd, Unsent};
use crate::http1::{BodyReader, Framing, ResponseHead};
use crate::long_routes::MAX_WHOLE_BYTES;
use crate::memory::HeldBytes;
use std::time::Duration;

/// Longest body that is collected whole while responses fill much of the memory.
const MIN_WHOLE_BYTES: usize = 8 * 1024;

/// Longest body of a response whose length nothing else limits.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Why an exchange brought no complete response. The variants are logged under these names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    NotSent,
    /// The connection broke after a byte of the request was sent.
    Broken,
    /// A read timed out after a byte of the request was sent.
    Silent,
    /// The response violates the protocol, or is too large.
    Garbled,
    /// The response names no request, and might belong to an earlier one.
    Unnamed,
}

/// A complete response.
#[derive(Debug)]
pub struct Response {
    /// Status line and headers.
    pub head: ResponseHead,
    /// Body, without its framing.
    pub body: Vec<u8>,
}

/// The result of an exchange whose response may be long.
#[derive(Debug)]
pub enum Received {
    /// The complete response.
    Whole(Response),
    /// The head and the beginning of a long response.
    Long(LongResponse),
}

/// A long response, whose body is still to be read.
#[derive(Debug)]
pub struct LongResponse {
    /// Status line and headers.
    pub head: ResponseHead,
    /// What was read of the body so far.
    pub(super) body: BodyReader,
    /// The rest of the request, which some upstreams read while they respond.
    pub(super) unsent: Unsent,
    /// What the head says about the next exchange on the connection.
    pub(super) end: ExchangeEnd,
}

impl Received {
    /// Status line and headers.
    pub fn head(&self) -> &ResponseHead {
        match self {
            Received::Whole(response) => &response.head,
            Received::Long(response) => &response.head,
        }
    }

    /// Whether the body is long, as far as that is known.
    pub fn is_long(&self) -> bool {
        match self {
            Received::Whole(_) => false,
            Received::Long(response) => match response.body.framing() {
                Framing::Length(length) => length > MAX_WHOLE_BYTES as u64,
                Framing::Chunked | Framing::UntilClose => true,
            },
        }
    }
}

/// Long responses are passed on before they are complete.
#[derive(Clone, Copy)]
pub struct Streaming<'a> {
    /// Accounts for what is held of the response.
    pub held: &'a HeldBytes,
}

impl Streaming<'_> {
    /// Longest body that is collected whole.
    pub(super) fn max_whole_bytes(&self) -> usize {
        match self.held.memory().may_collect_response() {
            true => MAX_WHOLE_BYTES,
            false => MIN_WHOLE_BYTES,
        }
    }
}

/// What is expected of a response.
#[derive(Debug, Clone, Copy)]
pub struct Expected<'a> {
    /// Whether the response may have a body.
    pub has_body: bool,
    /// Longest body that is collected whole.
    pub max_body_bytes: usize,
    /// How the response names its request; none if responses never do.
    pub naming: Option<Naming<'a>>,
    /// Read timeouts; none if something else limits the time of the exchange.
    pub read_timeouts: Option<ReadTimeouts>,
}

/// How responses name their requests.
#[derive(Debug, Clone, Copy)]
pub struct Naming<'a> {
    /// Header with the id of the request.
    pub header: &'a str,
    /// What was sent.
    pub sent: Sent<'a>,
    /// Header that only responses to probes have.
    pub probe_header: &'a str,
}

/// What a response is expected to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sent<'a> {
    /// A probe, whose response names no request.
    Probe,
    /// A request with this id, which its caller may have left empty.
    Request(&'a str),
}

/// Timeouts between bytes received, so that a long response over a slow link isn't cut off.
#[derive(Debug, Clone, Copy)]
pub struct ReadTimeouts {
    /// Before the first byte of the response.
    pub first_byte: Duration,
    /// Between two bytes.
    pub between_bytes: Duration,
}
