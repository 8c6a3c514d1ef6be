//! What entry hosts of one site tell each other.
//!
//! Messages are one-way: an answer is a message of its own, so that the core can be
//! driven message by message and a lost answer is nothing special. Every message may
//! be lost, doubled, late or out of order.

use crate::adoption::{Splice, VersionPair};
use crate::event::{ConfigKey, HostList, LoadReport, PublishedValue};
use crate::slots::{LentSlot, ReturnedSlot};
use domain::{
    CallerId, HostId, IdempotencyKey, Incarnation, Millis, ServiceName, UpstreamId, Version,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

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
        /// The version that the sender heard of.
        version: Version,
        /// A version that the sender has, zero if none: what changed since is enough.
        held: Version,
    },
    /// A published value.
    ConfigOffered {
        /// Which.
        key: ConfigKey,
        /// The value.
        value: PublishedValue,
    },
    /// A published value, as what changed since a version that the receiver has.
    ConfigChanged {
        /// Which.
        key: ConfigKey,
        /// The version that the receiver has.
        from: Version,
        /// The version that this makes of it.
        version: Version,
        /// What changed.
        splice: Splice,
    },
    /// Asks what the receiver has in force.
    VersionsWanted {
        /// Comes back in the answer.
        round: u64,
    },
    /// What the sender has in force, asked for.
    Versions {
        /// Of the question.
        round: u64,
        /// As in any heartbeat.
        heartbeat: Heartbeat,
    },
    /// Asks for the host list.
    HostListWanted,
    /// The host list that the sender holds.
    HostListOffered(HostList),
    /// What the sender learned of upstreams.
    UpstreamNews(UpstreamNews),
    /// Asks the prober of an upstream marked as leaving whether it serves again.
    ServingWanted {
        /// Which.
        upstream: UpstreamRef,
        /// Comes back in the answer.
        nonce: u64,
    },
    /// The sender heard the upstream serving.
    ServingSeen {
        /// Which.
        upstream: UpstreamRef,
        /// That of the question.
        nonce: u64,
        /// How long before the answer the upstream was asked.
        ago_ms: Millis,
    },
    /// Asks for a vote: may this claim have its idempotency key?
    ClaimAsked(ClaimQuestion),
    /// A vote.
    ClaimVoted(ClaimVote),
    /// A claim surely did not run and never will.
    ClaimReleased {
        /// The claim.
        claim: ClaimId,
        /// Its key.
        key: ClaimKey,
    },
    /// Asks a host for all claims that it remembers.
    StandingWanted {
        /// Comes back in the answer.
        round: u64,
    },
    /// Claims that the sender remembers.
    StandingOffered(StandingClaims),
    /// Asks the lender of a service for slots, and gives others back.
    SlotsWanted {
        /// Of which service.
        service: ServiceName,
        /// How many are wanted.
        count: u32,
        /// Slots given back.
        returned: Vec<ReturnedSlot>,
    },
    /// The lender's answer: slots to be used at once or given back.
    SlotsLent {
        /// Of which service.
        service: ServiceName,
        /// How many were wanted.
        asked: u32,
        /// As many as are free.
        slots: Vec<LentSlot>,
    },
}

/// Kind of a message, to count by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MessageKind {
    /// [`PeerMessage::Heartbeat`].
    Heartbeat,
    /// [`PeerMessage::ConfigWanted`], [`PeerMessage::ConfigOffered`], [`PeerMessage::ConfigChanged`].
    Config,
    /// [`PeerMessage::VersionsWanted`] and [`PeerMessage::Versions`].
    Versions,
    /// [`PeerMessage::HostListWanted`] and [`PeerMessage::HostListOffered`].
    HostList,
    /// [`PeerMessage::UpstreamNews`].
    UpstreamNews,
    /// [`PeerMessage::ServingWanted`] and [`PeerMessage::ServingSeen`].
    Serving,
    /// [`PeerMessage::ClaimAsked`], [`PeerMessage::ClaimVoted`] and
    /// [`PeerMessage::ClaimReleased`].
    Claim,
    /// [`PeerMessage::StandingWanted`] and [`PeerMessage::StandingOffered`].
    Standing,
    /// [`PeerMessage::SlotsWanted`] and [`PeerMessage::SlotsLent`].
    Slots,
}

impl PeerMessage {
    /// Whether single calls make it necessary, and not the passing of time or a change.
    pub fn goes_with_a_call(&self) -> bool {
        self.kind() == MessageKind::Claim
    }

    /// Its kind.
    pub fn kind(&self) -> MessageKind {
        match self {
            PeerMessage::Heartbeat(_) => MessageKind::Heartbeat,
            PeerMessage::ConfigWanted { .. }
            | PeerMessage::ConfigOffered { .. }
            | PeerMessage::ConfigChanged { .. } => MessageKind::Config,
            PeerMessage::VersionsWanted { .. } | PeerMessage::Versions { .. } => {
                MessageKind::Versions
            }
            PeerMessage::HostListWanted | PeerMessage::HostListOffered(_) => MessageKind::HostList,
            PeerMessage::UpstreamNews(_) => MessageKind::UpstreamNews,
            PeerMessage::ServingWanted { .. } | PeerMessage::ServingSeen { .. } => {
                MessageKind::Serving
            }
            PeerMessage::ClaimAsked(_)
            | PeerMessage::ClaimVoted(_)
            | PeerMessage::ClaimReleased { .. } => MessageKind::Claim,
            PeerMessage::StandingWanted { .. } | PeerMessage::StandingOffered(_) => {
                MessageKind::Standing
            }
            PeerMessage::SlotsWanted { .. } | PeerMessage::SlotsLent { .. } => MessageKind::Slots,
        }
    }
}

/// The sender lives, and this is what it has.
///
/// It is sent all the time, so what is as usual is left out.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Heartbeat {
    /// Base in force, zero if none.
    pub base: Version,
    /// Overlay in force, zero if none.
    pub overlay: Version,
    /// Newest versions seen, where they are not in force.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub newest: Option<VersionPair>,
    /// Version of the host list held.
    pub list: Version,
    /// Takes no new calls.
    #[serde(skip_serializing_if = "is_false")]
    pub leaving: bool,
    /// The configuration service did not answer it the last time.
    #[serde(skip_serializing_if = "is_false")]
    pub reads_fail: bool,
    /// How long ago the sender heard of each listed host, one character each.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub ages: String,
}

impl Heartbeat {
    /// Versions in force.
    pub fn in_force(&self) -> VersionPair {
        VersionPair { base: self.base, overlay: self.overlay }
    }

    /// Newest versions seen.
    pub fn newest(&self) -> VersionPair {
        self.newest.unwrap_or(self.in_force())
    }
}

fn is_false(flag: &bool) -> bool {
    !flag
}

/// What the sender learned of upstreams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamNews {
    /// At most [`crate::MAX_NEWS_ITEMS`]; more are ignored.
    pub items: Vec<UpstreamNewsItem>,
}

/// One upstream and what the sender learned of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamNewsItem {
    /// Which.
    pub upstream: UpstreamRef,
    /// How long ago the sender learned it.
    pub ago_ms: Millis,
    /// What.
    pub fact: UpstreamFact,
}

/// An upstream as peers name it; its address tells instances of one id apart.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamRef {
    /// Its service.
    pub service: ServiceName,
    /// Its id.
    pub id: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// What can be learned of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamFact {
    /// It said that it is leaving.
    Leaving,
    /// A probe found it serving.
    Alive {
        /// What it said of its load.
        load: Option<LoadReport>,
    },
    /// A probe of it failed.
    ProbeFailed,
    /// The sender ejected it.
    Ejected,
}

/// What must not run twice: a caller's key at one service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimKey {
    /// Whose key.
    pub caller: CallerId,
    /// Where it is to run.
    pub service: ServiceName,
    /// The key.
    pub key: IdempotencyKey,
}

/// One attempt of one run of a host to get a key; never used twice.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimId {
    /// The claimant.
    pub host: HostId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Counts up within the run.
    pub number: u64,
}

/// Asks for a vote.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimQuestion {
    /// The claim.
    pub claim: ClaimId,
    /// Its key.
    pub key: ClaimKey,
    /// All hosts that are asked, sorted.
    pub committee: Vec<HostId>,
}

/// A vote.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimVote {
    /// The claim.
    pub claim: ClaimId,
    /// What the voter says.
    pub verdict: ClaimVerdict,
}

/// What a voter says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimVerdict {
    /// The voter will say yes to no other claim for this key within the key window.
    Yes,
    /// The voter remembers another claim.
    Taken {
        /// Whose it is.
        holder: HostId,
        /// How far it got, if it is the voter's own.
        progress: Option<KeyProgress>,
    },
    /// The voter has just started or woken up, is full, or knows the claim as released.
    Abstains,
    /// The voter would have asked too many hosts that the claimant didn't.
    Differs {
        /// All that it knows of.
        electorate: Vec<RecentHost>,
    },
}

/// How far a claim got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyProgress {
    /// Undecided: nothing was sent.
    Pending,
    /// The request was sent.
    MayHaveRun,
    /// An upstream answered.
    Run,
}

/// A host that was listed or heard of lately.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecentHost {
    /// The host.
    pub host: HostId,
    /// Time since then.
    pub age_ms: Millis,
}

/// A part of what a host remembers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StandingClaims {
    /// From the question.
    pub round: u64,
    /// Which part, from zero.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// All hosts that the sender knows of; in the first part only.
    pub electorate: Vec<RecentHost>,
    /// Claims.
    pub claims: Vec<StandingClaim>,
}

/// A claim that a host remembers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StandingClaim {
    /// Its key.
    pub key: ClaimKey,
    /// The claim.
    pub claim: ClaimId,
    /// Time until it is forgotten.
    pub left_ms: Millis,
}
