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
mod claims;
mod confirmation;
mod control;
mod dump;
mod entry_host;
mod estimate;
mod event;
mod explain;
mod fleet_view;
mod health;
mod hedge;
mod leaving;
mod lifecycle;
mod membership;
mod message;
mod news;
mod outcomes;
mod pause;
mod probe_budget;
mod probes;
mod queue;
mod refusal;
mod rendezvous;
mod retry;
mod service;
mod service_health;
mod slots;
mod traffic;
mod upstream;

pub use action::{Action, Attempt};
pub use adoption::{FaultyReading, ReadingFaults, RejectedPair, Splice, VersionPair};
pub use claims::{ClaimCounts, ClaimsDump, FIRST_RUN, KEY_WINDOW_MS, VotingState};
pub use confirmation::StartLimits;
pub use dump::{ServiceDump, StateDump};
pub use entry_host::{EntryHost, HostSettings};
pub use event::{
    AnswerHead, AttemptEnd, CallHead, ConfigKey, ConfigReading, Event, FailureStage, HostList,
    ListedHost, LoadReport, ProbeResult, PublishedValue, ReadOutcome,
};
pub use explain::{
    CallDecision, CallStep, MAX_STEPS, SeenAtChoice, UpstreamExplanation, UpstreamReason,
};
pub use fleet_view::{FleetView, LIST_FRESH_MS, LIST_LAG_MS, SETTLE_MS};
pub use health::{Condition, Health};
pub use leaving::{HOLD_MS, LeavingMark, LeavingSource, MISLED_HOLD_MS};
pub use lifecycle::Lifecycle;
pub use membership::{MAX_NEWS_PEERS, Membership, Peer, heartbeat_offsets, news_offsets};
pub use message::{
    ClaimId, ClaimKey, ClaimQuestion, ClaimVerdict, ClaimVote, Envelope, Heartbeat, KeyProgress,
    MessageKind, PROTOCOL_VERSION, PeerMessage, RecentHost, StandingClaim, StandingClaims,
    UpstreamFact, UpstreamNews, UpstreamNewsItem, UpstreamRef,
};
pub use news::{MAX_NEWS_ITEMS, NewsCounts};
pub use pause::PauseWatch;
pub use probes::ProbesDump;
pub use refusal::{Refusal, RefusalCause, RunOutcome};
pub use rendezvous::{Job, Role};
pub use service_health::Strictness;
pub use slots::{LentSlot, ReturnedSlot};
pub use traffic::{ControlTraffic, RefusedSender};
pub use upstream::UpstreamState;
