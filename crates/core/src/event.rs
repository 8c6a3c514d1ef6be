//! What an entry host is told.
//!
//! Whoever drives the core turns what happens outside (requests, answers, messages,
//! readings, the passing of time) into these events and hands them over one by one.

use crate::message::PeerMessage;
use domain::{
    AttemptId, CallId, CallerId, HostId, IdempotencyKey, Incarnation, Millis, ProbeId, Slots,
    Version, ZoneName,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Something that happened outside the core.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A caller's request came in.
    CallArrived {
        /// Chosen by the driver, never used twice.
        call: CallId,
        /// What decides about it.
        head: CallHead,
    },
    /// The caller hung up.
    CallerGone {
        /// Its call.
        call: CallId,
    },
    /// An attempt's answer may be passed on: it is whole, or its head is here and the rest streams.
    AnswerReady {
        /// The attempt.
        attempt: AttemptId,
        /// What its head says.
        answer: AnswerHead,
    },
    /// Nothing more comes of an attempt; its slot and connection are free.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        end: AttemptEnd,
    },
    /// A probe came back, or didn't.
    ProbeEnded {
        /// The probe.
        probe: ProbeId,
        /// What it found.
        result: ProbeResult,
    },
    /// A message of a peer entry host.
    PeerReceived {
        /// Its sender.
        from: HostId,
        /// The sender's run.
        incarnation: Incarnation,
        /// The message.
        message: PeerMessage,
    },
    /// The configuration service answered, or didn't.
    ConfigRead(ConfigReading),
    /// The host list was read, or wasn't.
    HostListRead(Option<HostList>),
    /// The operator or the platform wants the process to stop.
    StopRequested,
    /// Time passed.
    Tick,
}

/// What decides about a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallHead {
    /// Who asks.
    pub caller: CallerId,
    /// HTTP method in upper case.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// The caller's name for a request that must not run twice.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Time that the caller gives the call.
    pub timeout_ms: Option<Millis>,
    /// Attempts that callers further up have spent on it.
    pub spent_attempts: u32,
    /// Calls above this one.
    pub depth: u32,
    /// Whether the driver can send the body a second time.
    pub body_replayable: bool,
}

/// What the head of an answer says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// The whole answer is held: nothing of it can be cut any more.
    pub is_whole: bool,
    /// The upstream declared that it did not run the request.
    pub not_run: bool,
    /// What the upstream said of its load.
    pub load: Option<LoadReport>,
    /// The upstream said that it is leaving.
    pub leaving: bool,
}

/// What an upstream says of its load, on an answer or to a probe.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Slots in use.
    pub busy: Slots,
    /// Requests that wait in the upstream.
    pub queued: u32,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// The whole answer came.
    Completed,
    /// It broke off.
    Failed {
        /// Where.
        stage: FailureStage,
    },
    /// It was cancelled by [`crate::Action::CancelAttempt`].
    Cancelled {
        /// No byte of the request had left.
        unsent: bool,
    },
}

/// How far a failed attempt got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FailureStage {
    /// No byte of the request left: it surely did not run.
    BeforeSending,
    /// Part or all of the request left, no whole answer came: it may have run.
    AfterSending,
    /// The attempt's own time ran out after it was sent.
    TimedOut,
    /// Its answer broke off after the head.
    AnswerCut,
}

/// What a probe found.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ProbeResult {
    /// The upstream answered.
    Alive {
        /// What it said of its load.
        load: Option<LoadReport>,
        /// It said that it is leaving.
        leaving: bool,
        /// Time of the round trip.
        latency_ms: Millis,
    },
    /// It did not answer, or with an error.
    Failed,
}

/// One published value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedValue {
    /// The service's version of the value: greater after each write.
    pub version: Version,
    /// The JSON text.
    pub text: String,
}

/// Which published value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigKey {
    /// The base of all sites.
    Base,
    /// This site's overlay.
    Overlay,
}

/// What a read or watch of the configuration service gave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReading {
    /// What was asked for.
    pub key: ConfigKey,
    /// What came.
    pub outcome: ReadOutcome,
}

/// How a read or watch of the configuration service ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadOutcome {
    /// A value.
    Value(PublishedValue),
    /// Nothing newer than what the reader has.
    Unchanged,
    /// No such value.
    Missing,
    /// The service did not answer.
    Unavailable,
}

/// The platform's list of entry hosts at this site.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostList {
    /// The list's version: greater after each change.
    pub version: Version,
    /// Its members.
    pub hosts: Vec<ListedHost>,
}

/// One entry host on the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedHost {
    /// Its id.
    pub host: HostId,
    /// Where it listens for its peers.
    pub peer_address: SocketAddr,
    /// Where it stands.
    pub availability_zone: ZoneName,
    /// It is about to go.
    pub leaving: bool,
}
