//! What the caller has to do after a message, a read or the passage of time.

use super::{Message, StateUpdate};
use crate::{CatchUp, KnownRevisions, Member, Revision, StateChange};
use domain::{HostId, Millis};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An action for the caller, or a fact for its log.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a message.
    Send {
        /// The message.
        message: Message,
        /// Its recipients.
        to: Vec<SocketAddr>,
    },
    /// Fetch what is missing, then call [`Gossip::finish_fetch`](super::Gossip::finish_fetch).
    Fetch(Fetch),
    /// The published state changed or was confirmed.
    StateUpdated {
        /// The changes; empty if the state was only confirmed.
        state_changes: Vec<StateChange>,
        /// Where they came from.
        from: Origin,
    },
    /// A fetch ended.
    FetchEnded {
        /// The host that answered, or the last one that was asked.
        from: Origin,
        /// The revision of the answer; `None` if no host answered.
        revision: Option<Revision>,
        /// Whether the answer was a full snapshot rather than changes.
        is_full: bool,
    },
    /// Hosts, or new runs of hosts, were seen for the first time.
    PeersDiscovered(Vec<HostId>),
    /// Call [`Gossip::answer_pending_joins`](super::Gossip::answer_pending_joins) after this delay.
    AnswerPendingJoins {
        /// The delay.
        delay_ms: Millis,
    },
    /// Call [`Gossip::announce_joined`](super::Gossip::announce_joined) after this delay.
    AnnounceJoined {
        /// The delay.
        delay_ms: Millis,
    },
    /// A host left, or was silent for too long.
    PeerRemoved(HostId),
}

/// Where a change of the published state comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// This host read it.
    Source,
    /// A peer sent it.
    Peer(HostId),
    /// A host that is not a known member sent it.
    UnknownPeer,
    /// A grace period ended.
    Expiry,
}

impl Origin {
    /// The name used in logs.
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

/// A fetch of what is missing.
#[derive(Debug, Clone, PartialEq)]
pub struct Fetch {
    /// Hosts to ask, one after the other until one answers.
    pub from: Vec<SocketAddr>,
    /// The request to send.
    pub request: FetchRequest,
    /// Delay before the first request: the hosts may still be receiving the snapshot themselves.
    pub delay_ms: Millis,
    pub(super) begun_ms: Millis,
    /// An update to relay once the fetch has ended.
    pub(super) pending_update: Option<StateUpdate>,
}

/// A request for what a host lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchRequest {
    /// The revisions that the host has.
    pub known: KnownRevisions,
    /// A peer with a smaller revision doesn't answer.
    pub min_revision: Revision,
    /// Digest of the members that the host knows.
    pub members_digest: u64,
}

/// The answer to a [`FetchRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FetchReply {
    /// Time since the peer's state was last confirmed.
    pub age_ms: Millis,
    /// What the requesting host lacked.
    pub catch_up: CatchUp,
    /// The members that the peer knows; empty if both know the same.
    pub members: Vec<Member>,
}
