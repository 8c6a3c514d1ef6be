//! What follows from a message or a reading.

use super::{Message, StateUpdate};
use crate::{CatchUp, KnownRevisions, Member, Revision, StateChange};
use domain::{HostId, Millis};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What is to be done, or to be logged.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send this.
    Send {
        /// What.
        message: Message,
        /// To whom.
        to: Vec<SocketAddr>,
    },
    /// Ask for what is missing, then hand it to [`Gossip::finish_fetch`].
    Fetch(Fetch),
    /// Something else is believed, or the same was confirmed.
    StateUpdated {
        /// What changed; nothing if it was confirmed.
        state_changes: Vec<StateChange>,
        /// Where it comes from.
        from: Origin,
    },
    /// What a fetch came to.
    FetchEnded {
        /// Whom it was asked of.
        from: Origin,
        /// What it told; none if it did not answer.
        revision: Option<Revision>,
        /// Whether all entries were told, or only what changed.
        is_full: bool,
    },
    /// Hosts were heard of for the first time, or in a new run.
    PeersDiscovered(Vec<HostId>),
    /// Have more hosts answered that join, by [`Gossip::answer_pending_joins`], after this time.
    AnswerPendingJoins {
        /// The time.
        delay_ms: Millis,
    },
    /// Have those logged and announced that joined, by [`Gossip::announce_joined`], after this time.
    AnnounceJoined {
        /// The time.
        delay_ms: Millis,
    },
    /// A host left or was silent for long.
    PeerRemoved(HostId),
}

/// Where a change of belief comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// This host read it.
    Source,
    /// A peer told it.
    Peer(HostId),
    /// A host that is not known told it.
    UnknownPeer,
    /// Time has passed.
    Expiry,
}

impl Origin {
    /// Its name in logs.
    pub fn as_str(&self) -> &str {
        match self {
            Origin::Source => "source",
            Origin::Peer(host) => host.as_str(),
            Origin::UnknownPeer => "unknown",
            Origin::Expiry => "time",
        }
    }

    pub(super) fn of(host: Option<&HostId>) -> Origin {
        host.cloned().map_or(Origin::UnknownPeer, Origin::Peer)
    }
}

/// A question for what is missing.
#[derive(Debug, Clone, PartialEq)]
pub struct Fetch {
    /// Whom to ask, one after the other until one answers.
    pub from: Vec<SocketAddr>,
    /// What is asked.
    pub request: FetchRequest,
    /// When to begin: whom to ask is being told itself.
    pub delay_ms: Millis,
    pub(super) begun_ms: Millis,
    /// What is to be passed on once nothing is missing.
    pub(super) pending_update: Option<StateUpdate>,
}

/// What a host asks that misses something.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchRequest {
    /// What it holds.
    pub known: KnownRevisions,
    /// Who holds less than this is no help.
    pub min_revision: Revision,
    /// Digest of the hosts that it knows.
    pub members_digest: u64,
}

/// The answer to a [`Fetch`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FetchReply {
    /// Age of the reading.
    pub age_ms: Millis,
    /// What the asking host lacked.
    pub catch_up: CatchUp,
    /// Hosts that the peer knows; none if both know the same.
    pub members: Vec<Member>,
}
