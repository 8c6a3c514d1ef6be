//! The decisions of one entry host.
//!
//! Time, events and a seed go in; actions come out. This crate knows nothing of IO, of
//! threads, of the machine's clock or of randomness other than its seed, so the same
//! code runs under the daemon, under scripted scenarios and under any other harness.
//!
//! The aggregate is [`EntryHost`]; each part it is made of (calls, upstreams, queue,
//! claims, membership, adoption) keeps its own rules in a module of its own.

mod action;
mod adoption;
mod call;
mod calls;
mod choice;
mod confirmation;
mod control;
mod dump;
mod entry_host;
mod estimate;
mod event;
mod hedge;
mod lifecycle;
mod membership;
mod message;
mod pause;
mod queue;
mod refusal;
mod rendezvous;
mod retry;
mod service;
mod traffic;
mod upstream;

pub use action::{Action, Attempt};
pub use adoption::{FaultyReading, ReadingFaults, RejectedPair, VersionPair};
pub use confirmation::StartLimits;
pub use dump::{ServiceDump, StateDump};
pub use entry_host::{EntryHost, HostSettings};
pub use event::{
    AnswerHead, AttemptEnd, CallHead, ConfigKey, ConfigReading, Event, FailureStage, HostList,
    ListedHost, LoadReport, ProbeResult, PublishedValue, ReadOutcome,
};
pub use lifecycle::Lifecycle;
pub use membership::{MAX_NEWS_PEERS, Membership, Peer, heartbeat_offsets, news_offsets};
pub use message::{Envelope, Heartbeat, MessageKind, PROTOCOL_VERSION, PeerMessage};
pub use pause::PauseWatch;
pub use refusal::{Refusal, RefusalCause, RunOutcome};
pub use rendezvous::{Job, Role};
pub use traffic::{ControlTraffic, RefusedSender};
pub use upstream::UpstreamState;
