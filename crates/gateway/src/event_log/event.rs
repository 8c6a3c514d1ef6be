//! The events of the log: each a decision, with the inputs that decided it.

use dispatch::attempts::Refusal;
use dispatch::backpressure::LimitChange;
use dispatch::quarantine::SuspectStatus;
use dispatch::scheduler::{Cell, Ticket};
use dispatch::{AttemptFailure, ProbeFailure, Verdict, Warmth};
use domain::{
    HostId, Incarnation, Millis, RequestFingerprint, ServiceName, UpstreamId, Version, ZoneName,
};
use published::{Revision, StateChange};
use serde::Serialize;

/// How much a line matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Weight {
    /// Dropped first.
    Routine,
    /// Kept as long as there is room.
    Telling,
}

/// One decision.
#[expect(missing_docs, reason = "the fields are the inputs, named as the log names them")]
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case", rename_all_fields = "snake_case")]
pub enum LogEvent<'a> {
    /// The process began to serve.
    Started { incarnation: Incarnation, version: &'a str, callers: String, seeds: usize },
    /// The process was asked to stop.
    Stopping { open_requests: usize },
    /// The process ends.
    Stopped { open_requests: usize },
    /// Settings were read again.
    Reloaded { changed: bool },
    /// Settings could not be read again; the last good ones stay.
    ReloadFailed { problem: &'a str },
    /// No caller's connection could be taken.
    AcceptFailed { problem: String },
    /// The address for metrics can't be listened on.
    NoMetrics { problem: String },
    /// A peer's message can't be read.
    PeerUnreadable { from: String, problem: String },
    /// A message to peers can't be written.
    PeerUnwritable { problem: String },
    /// Readiness changed.
    Ready { is_ready: bool, reason: &'a str },
    /// The process stood still and looks at the world anew.
    Paused { for_ms: Millis },
    /// Something else is believed.
    Belief {
        #[serde(flatten)]
        change: &'a StateChange,
        from: &'a str,
    },
    /// More changed at once than is told one by one.
    MoreBeliefs { count: usize, joined: usize, gone: usize, from: &'a str },
    /// A zone is evacuated, with so many upstreams in it; none where the name is of no zone that is
    /// known here.
    EvacuatedZone { zone: &'a ZoneName, upstreams: usize },
    /// A published value can't be read: the last good routing stays, an upstream is gone.
    Unreadable { key: &'a str, revision: Revision, problem: &'a str },
    /// More values of one reading can't be read than are told one by one.
    MoreUnreadable { count: usize },
    /// The source answers, to this host or to a peer that told of it.
    SourceRegained { after_ms: Millis, revision: Revision, by: &'a str },
    /// The source doesn't answer.
    SourceLost { problem: String, picture_age_ms: Option<Millis> },
    /// This host reads for the others from now on, or no longer.
    Reading { is_reading: bool, rank: usize, picture_age_ms: Option<Millis> },
    /// The source is away for all: this host tries it again after a time that grows with the fleet.
    ReadingHeld { failed_readers: usize, for_ms: Millis, picture_age_ms: Option<Millis> },
    /// Peers were heard of for the first time, or in new runs.
    PeersHeard { count: usize, first: Option<&'a HostId>, hosts: u32 },
    /// A peer left or was silent for long.
    PeerGone { peer: &'a HostId, hosts: u32 },
    /// What was missing was fetched from a peer, all of it or what changed; or none told.
    Fetched { peer: &'a str, revision: Option<Revision>, is_whole: bool },
    /// A request was taken and routed.
    Routed {
        id: &'a str,
        route: &'a str,
        service: &'a ServiceName,
        routing: Version,
        left_ms: Millis,
        picture_age_ms: Option<Millis>,
    },
    /// An upstream was chosen.
    Chosen {
        id: &'a str,
        upstream: &'a UpstreamId,
        expected_work: f64,
        cost: f64,
        #[serde(flatten)]
        by: ChosenBy,
        report_age_ms: Option<Millis>,
        waited_ms: Millis,
        is_other_zone: bool,
        warmth: Option<Warmth>,
    },
    /// The scheduler had no room in time; so many waited before it.
    Unplaced { id: &'a str, ahead: usize, retry_after_ms: Millis },
    /// A scheduler said nothing in time, and is passed over for a while or not yet.
    SchedulerSilent { scheduler: &'a HostId, cell: &'a Cell, is_passed_over: bool },
    /// The best offer of a round was declined.
    Declined {
        id: &'a str,
        upstream: &'a UpstreamId,
        expected_ms: Option<Millis>,
        asked: usize,
        answered: usize,
        objective_left_ms: Millis,
        verdict: Verdict,
    },
    /// An upstream answered, with a mark whose value is none: it is left out.
    AnswerUnreadable { upstream: &'a UpstreamId, mark: &'a str, value: &'a str },
    /// An upstream limits the requests that it takes from all hosts, or no longer; told by itself or by
    /// a peer.
    RateLimit {
        upstream: &'a UpstreamId,
        #[serde(flatten)]
        change: LimitChange,
        from: &'a str,
    },
    /// An upstream refused a request, and asked this host to back off.
    BacksOff { upstream: &'a UpstreamId, for_ms: Millis },
    /// An upstream said in its answers that it is leaving, to this host or to a peer.
    SaysLeaving { upstream: &'a UpstreamId, from: &'a str },
    /// An upstream answered, with a mark that nothing here reads.
    MarkUnread { upstream: &'a UpstreamId, on: ResponseTo, mark: &'a str, value: &'a str },
    /// Asking an upstream failed.
    AskFailed { upstream: &'a UpstreamId, failure: ProbeFailure },
    /// A request left for an upstream.
    Sent { id: &'a str, upstream: &'a UpstreamId, sending: u32, left_ms: Millis },
    /// A sending failed.
    SendFailed {
        id: &'a str,
        upstream: &'a UpstreamId,
        failure: AttemptFailure,
        after_ms: Millis,
        status: Option<u16>,
        is_not_run: bool,
        repeats_left: f64,
        fingerprint: RequestFingerprint,
        has_crashed: bool,
    },
    /// More or nothing speaks against a request that upstreams crashed under.
    Quarantine {
        fingerprint: RequestFingerprint,
        change: SuspectStatus,
        crashes: usize,
        upstreams: Vec<&'a UpstreamId>,
        seen_by: Vec<&'a HostId>,
        ages_ms: Vec<Millis>,
    },
    /// An answer was handed to the caller.
    Delivered {
        id: &'a str,
        upstream: &'a UpstreamId,
        status: u16,
        after_ms: Millis,
        objective_ms: Millis,
        sendings: u32,
    },
    /// The host gave a final answer of its own.
    Refused {
        id: &'a str,
        status: u16,
        #[serde(flatten)]
        refusal: Refusal,
        after_ms: Millis,
        sendings: u32,
        picture_age_ms: Option<Millis>,
    },
    /// The caller hung up.
    CallerGone { id: &'a str, after_ms: Millis, sendings: u32, runs_on: bool },
}

/// What an upstream answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResponseTo {
    /// A request.
    Request,
    /// A health check.
    HealthCheck,
}

/// Who chose an upstream.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "kebab-case", rename_all_fields = "snake_case", tag = "by")]
pub enum ChosenBy {
    /// The scheduler of the service.
    Scheduler {
        /// Which host that is.
        scheduler: HostId,
        /// The request's name there.
        ticket: Ticket,
        /// Requests that waited before it.
        ahead: usize,
    },
    /// This host, which asked upstreams.
    Asking {
        /// How many.
        asked: usize,
        /// How many answered.
        answered: usize,
    },
}

impl LogEvent<'_> {
    pub(super) fn weight(&self) -> Weight {
        match self {
            LogEvent::Routed { .. } | LogEvent::Chosen { .. } | LogEvent::Sent { .. } => {
                Weight::Routine
            }
            LogEvent::Declined { verdict: Verdict::ProbeAgain(_), .. } => Weight::Routine,
            LogEvent::Delivered { status, after_ms, objective_ms, .. }
                if *status < 400 && after_ms <= objective_ms =>
            {
                Weight::Routine
            }
            _ => Weight::Telling,
        }
    }
}
