//! The encoding of messages between hosts: the protocol's version, then `postcard`.
//!
//! During a rollout, hosts of two releases receive each other's messages. Messages of another
//! version are rejected rather than misread. Until the rollout ends, each release has its own host
//! that reads the source.

use dispatch::backpressure::BackpressureMessage;
use dispatch::quarantine::QuarantineMessage;
use dispatch::quota::QuotaMessage;
use dispatch::scheduler::PlacementMessage;
use published::Message;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Version of the protocol; increases with each change of a message that an earlier release would
/// misread. One that it can only reject, as an appended variant, needs none.
pub const PROTOCOL: u8 = 8;

/// The content of a datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Membership and published state.
    Gossip(Message),
    /// Placement of requests by schedulers.
    Placement(PlacementMessage),
    /// Requests that crash upstreams.
    Quarantine(QuarantineMessage),
    /// Rate limits and backoffs that upstreams state.
    Backpressure(BackpressureMessage),
    /// Quotas of organisations.
    Quota(QuotaMessage),
}

/// Why a peer's message can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CodecError {
    /// It has the protocol version of another release.
    OtherProtocol(u8),
    /// It is not a valid message of this protocol.
    Malformed(String),
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CodecError::OtherProtocol(theirs) => {
                write!(f, "protocol {theirs}, not {PROTOCOL}: end the rollout of the release")
            }
            CodecError::Malformed(problem) => {
                write!(f, "malformed ({problem}): find out who else sends to this port")
            }
        }
    }
}

impl std::error::Error for CodecError {}

/// Encodes a message.
///
/// # Errors
///
/// If the message can't be encoded; all messages of the protocol can.
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>, CodecError> {
    let header = vec![PROTOCOL];
    postcard::to_extend(message, header).map_err(|e| CodecError::Malformed(e.to_string()))
}

/// Decodes a message.
///
/// # Errors
///
/// If it has another protocol version, or is malformed.
pub fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, CodecError> {
    match bytes.split_first() {
        Some((&PROTOCOL, message)) => {
            postcard::from_bytes(message).map_err(|e| CodecError::Malformed(e.to_string()))
        }
        Some((&theirs, _)) => Err(CodecError::OtherProtocol(theirs)),
        None => Err(CodecError::Malformed("it is empty".to_owned())),
    }
}
