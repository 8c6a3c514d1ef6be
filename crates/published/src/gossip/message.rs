//! Messages between hosts.

use super::JoinReply;
use crate::{Change, Member, Revision};
use domain::{HostId, Incarnation, Millis};
use serde::{Deserialize, Serialize};

/// A message that may be lost, duplicated, delayed or reordered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A host that has just started requests a bootstrap snapshot.
    Join {
        /// The joining host.
        from: Member,
        /// Whether another host redirected it here, so that it is not redirected again.
        is_redirected: bool,
    },
    /// The answer to a `Join`.
    JoinReply(Box<JoinReply>),
    /// A host is alive.
    Hello {
        /// The sender.
        from: Member,
        /// What it expects in return.
        kind: HelloKind,
        /// Digest of the hosts that it knows; equal sets are not exchanged.
        members_digest: u64,
    },
    /// Hosts that the sender knows.
    Members {
        /// Some of them.
        members: Vec<Member>,
        /// Whether the receiver relays it within its availability zone.
        should_relay: bool,
    },
    /// What a host read from the source.
    StateUpdate {
        /// The state that it read.
        update: StateUpdate,
        /// Whether the receiver relays it within its availability zone.
        should_relay: bool,
    },
    /// A host failed to read the source, so that others don't all try at once.
    ReadFailed {
        /// The host.
        reader: Member,
        /// Whether the receiver relays it within its availability zone.
        should_relay: bool,
    },
    /// A host leaves the fleet.
    Leave {
        /// Its id.
        host: HostId,
        /// The run that ends.
        incarnation: Incarnation,
    },
}

/// What the sender of a hello expects in return.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HelloKind {
    /// Members and state, if the two hosts know different members.
    Request,
    /// The receiver's members, if they still differ; sent in answer to a `Request`.
    Reply,
    /// Nothing: it only shows that the sender is alive.
    Alive,
}

/// What a host read from the source, sent by that host or relayed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StateUpdate {
    /// The host that read it.
    pub reader: Member,
    /// The newest published revision at the time of the read.
    pub revision: Revision,
    /// Time since the read.
    pub age_ms: Millis,
    /// Digest of the reader's state.
    pub digest: u64,
    /// `changes` holds all changes after this revision.
    pub after: Revision,
    /// The changes; `None` from a host that only offers the state that it has.
    pub changes: Option<Vec<Change>>,
}

impl StateUpdate {
    /// The same without changes that are too large for a datagram; receivers fetch them.
    pub fn without_changes(&self) -> StateUpdate {
        StateUpdate { after: self.revision, changes: Some(Vec::new()), ..self.clone() }
    }
}
