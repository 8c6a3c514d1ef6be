//! What hosts tell each other.

use super::JoinReply;
use crate::{Change, Member, Revision};
use domain::{HostId, Incarnation, Millis};
use serde::{Deserialize, Serialize};

/// A message that may be lost, doubled, late or out of order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A host that has just started wants a first picture.
    Join {
        /// Itself.
        from: Member,
        /// Whether another host sent it here, so that it is not sent on again.
        is_redirected: bool,
    },
    /// The answer to it.
    JoinReply(Box<JoinReply>),
    /// A host is there.
    Hello {
        /// Itself.
        from: Member,
        /// What it wants.
        kind: HelloKind,
        /// Digest of the hosts that it knows; equal sets need not be told.
        members_digest: u64,
    },
    /// Hosts that are known.
    Members {
        /// Some of them.
        members: Vec<Member>,
        /// Whether the host that hears it is to pass it on in its availability zone.
        should_relay: bool,
    },
    /// What a host read.
    StateUpdate {
        /// What it read.
        update: StateUpdate,
        /// Whether the host that hears it is to pass it on in its availability zone.
        should_relay: bool,
    },
    /// A host could not read: others need not try at once.
    ReadFailed {
        /// Which.
        reader: Member,
        /// Whether the host that hears it is to pass it on in its availability zone.
        should_relay: bool,
    },
    /// A host leaves.
    Leave {
        /// Its id.
        host: HostId,
        /// The run that ends.
        incarnation: Incarnation,
    },
}

/// What a greeting is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HelloKind {
    /// To be told of others and of the picture, if the two hosts know different ones.
    Request,
    /// It answers one that asked, and wants the same.
    Reply,
    /// It shows that the host is there.
    Alive,
}

/// What a host read from the source, told by itself or passed on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StateUpdate {
    /// The host that read it.
    pub reader: Member,
    /// Nothing newer than this was published, so long ago.
    pub revision: Revision,
    /// Age of the reading.
    pub age_ms: Millis,
    /// Digest of the reader's picture.
    pub digest: u64,
    /// `changes` holds all after this.
    pub after: Revision,
    /// The changes; none from a host that only offers what it holds.
    pub changes: Option<Vec<Change>>,
}

impl StateUpdate {
    /// The same for hosts that fetch what they lack: the changes are too large to be told.
    pub fn without_changes(&self) -> StateUpdate {
        StateUpdate { after: self.revision, changes: Some(Vec::new()), ..self.clone() }
    }
}
