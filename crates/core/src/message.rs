//! What entry hosts of one site tell each other.
//!
//! Messages are one-way: an answer is a message of its own, so that the core can be
//! driven message by message and a lost answer is nothing special. Every message may
//! be lost, doubled, late or out of order.

use crate::event::{ConfigKey, PublishedValue};
use domain::{HostId, Incarnation, Version};
use serde::{Deserialize, Serialize};

/// Version of the messages; a host refuses others.
pub const PROTOCOL_VERSION: u32 = 1;

/// What travels from one entry host to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub protocol: u32,
    /// Sender.
    pub from: HostId,
    /// The sender's run.
    pub incarnation: Incarnation,
    /// Messages in the order of sending.
    pub messages: Vec<PeerMessage>,
}

/// One message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// The sender lives.
    Heartbeat(Heartbeat),
    /// Asks for a published value.
    ConfigWanted {
        /// Which.
        key: ConfigKey,
    },
    /// A published value.
    ConfigOffered {
        /// Which.
        key: ConfigKey,
        /// The value.
        value: PublishedValue,
    },
}

/// The sender lives, and this is what it has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    /// Base in force, zero if none.
    pub base: Version,
    /// Overlay in force, zero if none.
    pub overlay: Version,
    /// Takes no new calls.
    pub leaving: bool,
}
