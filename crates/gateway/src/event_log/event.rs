//! The events of the log: decisions and state changes, with the inputs that led to them.
//!
//! Operators' tools match the names of events, fields and values, so these keep their spelling.

use super::values::{
    BreakCause, ChosenBy, CrashEvidence, RelayRefusal, ResponseTo, RetryCharge, SessionEnd,
    TunnelEnd, TunnelProblem,
};
use crate::tunnel::TunnelId;
use dispatch::attempts::Refusal;
use dispatch::backpressure::LimitChange;
use dispatch::quarantine::SuspectStatus;
use dispatch::retry_budget::RetryAccount;
use dispatch::scheduler::Cell;
use dispatch::{AttemptFailure, LinkState, ProbeFailure, Verdict, Warmth};
use domain::{
    HostId, Incarnation, Millis, OrganisationName, PerSecond, RequestFingerprint, ServiceName,
    UpstreamId, Version, ZoneName,
};
use published::{Revision, StateChange};
use serde::Serialize;

/// The order in which lines are dropped when the buffer fills up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Priority {
    /// Dropped once half of the buffer is full.
    Routine,
    /// Dropped only once the buffer is full.
    Important,
}

/// One event.
#[expect(missing_docs, reason = "the fields are the inputs, named as the log names them")]
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case", rename_all_fields = "snake_case")]
pub enum LogEvent<'a> {
    /// The process started to serve.
    Started { incarnation: Incarnation, version: &'a str, callers: String, seeds: usize },
    /// The process received a signal to stop.
    Stopping { open_requests: usize },
    /// The process ends.
    Stopped { open_requests: usize },
    /// Settings were reloaded.
    Reloaded { changed: bool },
    /// Settings could not be reloaded; the last good ones stay in force.
    ReloadFailed { problem: &'a str },
    /// A caller's connection could not be accepted.
    AcceptFailed { problem: String },
    /// The address for metrics can't be bound.
    NoMetrics { problem: String },
    /// A peer's message can't be decoded.
    PeerUnreadable { from: String, problem: String },
    /// A message to peers can't be encoded.
    PeerUnwritable { problem: String },
    /// Readiness changed.
    Ready { is_ready: bool, reason: &'a str },
    /// The process was suspended; it requests from peers what it missed.
    Paused { for_ms: Millis },
    /// The published state, as this host knows it, changed.
    Belief {
        #[serde(flatten)]
        change: &'a StateChange,
        from: &'a str,
    },
    /// Further changes of the published state, beyond those that are logged one by one.
    MoreBeliefs { count: usize, joined: usize, gone: usize, from: &'a str },
    /// A zone is evacuated, with the number of upstreams in it: zero may mean that the zone's
    /// name is unknown.
    EvacuatedZone { zone: &'a ZoneName, upstreams: usize },
    /// A published value can't be parsed: the last good routing stays in force, an upstream is
    /// removed.
    Unreadable { key: &'a str, revision: Revision, problem: &'a str },
    /// Further values of one read that can't be parsed, beyond those that are logged one by one.
    MoreUnreadable { count: usize },
    /// This host, or a peer that it received an update from, reads the source again.
    SourceRegained { after_ms: Millis, revision: Revision, by: &'a str },
    /// This host can't read the source.
    SourceLost { problem: String, picture_age_ms: Option<Millis> },
    /// This host starts or stops to read the source for the fleet.
    Reading { is_reading: bool, rank: usize, picture_age_ms: Option<Millis> },
    /// The source is unavailable to the fleet: this host reads it again after a time that grows
    /// with the fleet's size.
    ReadingHeld { failed_readers: usize, for_ms: Millis, picture_age_ms: Option<Millis> },
    /// Peers were discovered, or have restarted.
    PeersHeard { count: usize, first: Option<&'a HostId>, hosts: u32 },
    /// A peer left, or timed out.
    PeerGone { peer: &'a HostId, hosts: u32 },
    /// A fetch of missing data from peers ended: with a full snapshot, with changes, or without a
    /// reply.
    Fetched { peer: &'a str, revision: Option<Revision>, is_whole: bool },
    /// A request was accepted and routed.
    Routed {
        id: &'a str,
        route: &'a str,
        #[serde(skip_serializing_if = "Option::is_none")]
        organisation: Option<&'a OrganisationName>,
        service: &'a ServiceName,
        routing: Version,
        left_ms: Millis,
        picture_age_ms: Option<Millis>,
    },
    /// An organisation's quota did not allow a request: it is used up, or that can't be confirmed.
    QuotaRefused {
        id: &'a str,
        organisation: &'a OrganisationName,
        rate_per_s: PerSecond,
        burst: u32,
        /// The host that decided; none if this one did, by its standing share or by a refusal that
        /// it received shortly before.
        owner: Option<&'a HostId>,
        waited_ms: Millis,
        next_in_ms: Option<Millis>,
    },
    /// An upstream was chosen for a request.
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
    /// The scheduler found no upstream in time; `ahead` requests were queued before this one.
    /// `service_time_ms` is that of its route as this host knows it, learned from `samples`
    /// responses; `samples` is none if the service has one route only.
    Unplaced {
        id: &'a str,
        scheduler: &'a HostId,
        ahead: usize,
        retry_after_ms: Millis,
        service_time_ms: Option<Millis>,
        samples: Option<u32>,
    },
    /// A host could not reach the upstream that this host's scheduler had placed its request on.
    /// `requester` is none for a request of this host.
    PlacedUnreachable { upstream: &'a UpstreamId, requester: Option<String> },
    /// A scheduler did not reply in time. `is_passed_over` if it is temporarily excluded for that.
    SchedulerSilent { scheduler: &'a HostId, cell: &'a Cell, is_passed_over: bool },
    /// The best upstream of a round of probes was declined.
    Declined {
        id: &'a str,
        upstream: &'a UpstreamId,
        expected_ms: Option<Millis>,
        asked: usize,
        answered: usize,
        objective_left_ms: Millis,
        verdict: Verdict,
    },
    /// An upstream's response has a header with a malformed value, which is ignored.
    AnswerUnreadable { upstream: &'a UpstreamId, mark: &'a str, value: &'a str },
    /// An upstream's response names no request, and might belong to an earlier one on the same
    /// connection: it is not delivered.
    AnswerUnnamed { id: &'a str, upstream: &'a UpstreamId },
    /// An upstream stated or lifted a limit on the rate of requests from all hosts, to this host or
    /// to a peer.
    RateLimit {
        upstream: &'a UpstreamId,
        #[serde(flatten)]
        change: LimitChange,
        from: &'a str,
    },
    /// An upstream refused a request, and asked this host to back off.
    BacksOff { upstream: &'a UpstreamId, for_ms: Millis },
    /// An upstream stated in a response, to this host or to a peer, that it is leaving.
    SaysLeaving { upstream: &'a UpstreamId, from: &'a str },
    /// An upstream's response has a header that nothing reads.
    MarkUnread { upstream: &'a UpstreamId, on: ResponseTo, mark: &'a str, value: &'a str },
    /// A probe of an upstream failed.
    AskFailed { upstream: &'a UpstreamId, failure: ProbeFailure },
    /// An attempt of a request was sent to an upstream; through a tunnel, if it names one. One
    /// beyond the first states whether it was charged to the retry budget.
    Sent {
        id: &'a str,
        upstream: &'a UpstreamId,
        sending: u32,
        #[serde(skip_serializing_if = "Option::is_none")]
        charge: Option<RetryCharge>,
        left_ms: Millis,
        #[serde(skip_serializing_if = "Option::is_none")]
        tunnel: Option<&'a TunnelId>,
    },
    /// This host's links to the upstreams of a service went down, or work again; any upstream had
    /// last responded `silence_ms` before.
    Links { service: &'a ServiceName, state: LinkState, silence_ms: Option<Millis> },
    /// A peer opened a connection to an upstream for this host.
    TunnelOpened {
        tunnel: &'a TunnelId,
        relay: &'a HostId,
        upstream: &'a UpstreamId,
        took_ms: Millis,
    },
    /// A peer did not open a connection to an upstream for this host.
    TunnelFailed { upstream: &'a UpstreamId, relay: &'a HostId, problem: TunnelProblem },
    /// This host opened a connection to an upstream for a peer, and begins to copy bytes.
    Relaying { tunnel: &'a str, upstream: &'a str },
    /// A tunnel that this host served ended.
    Relayed {
        tunnel: &'a str,
        upstream: &'a str,
        end: TunnelEnd,
        to_upstream_bytes: u64,
        from_upstream_bytes: u64,
    },
    /// This host did not open a connection to an upstream for a peer.
    RelayRefused { tunnel: &'a str, upstream: &'a str, refusal: RelayRefusal },
    /// An attempt failed.
    SendFailed {
        id: &'a str,
        upstream: &'a UpstreamId,
        failure: AttemptFailure,
        after_ms: Millis,
        status: Option<u16>,
        is_not_run: bool,
        #[serde(flatten)]
        budget: RetryAccount,
        /// It would have been retried, but no retry was left.
        is_retry_denied: bool,
        fingerprint: RequestFingerprint,
        has_crashed: bool,
    },
    /// An upstream broke a connection during a request: whether its process crashed, by what
    /// evidence, and how long the check took.
    CrashChecked {
        upstream: &'a UpstreamId,
        fingerprint: RequestFingerprint,
        evidence: CrashEvidence,
        has_crashed: bool,
        took_ms: Millis,
    },
    /// The quarantine of a request that crashes upstreams changed.
    Quarantine {
        fingerprint: RequestFingerprint,
        change: SuspectStatus,
        crashes: usize,
        upstreams: Vec<&'a UpstreamId>,
        seen_by: Vec<&'a HostId>,
        ages_ms: Vec<Millis>,
    },
    /// A response was forwarded to the caller.
    Delivered {
        id: &'a str,
        upstream: &'a UpstreamId,
        status: u16,
        after_ms: Millis,
        objective_ms: Millis,
        sendings: u32,
    },
    /// The host refused a request: it made the final response itself.
    Refused {
        id: &'a str,
        status: u16,
        #[serde(flatten)]
        refusal: Refusal,
        after_ms: Millis,
        sendings: u32,
        picture_age_ms: Option<Millis>,
    },
    /// A long response was broken off after `passed_on_bytes` were written to its caller.
    AnswerBrokenOff {
        id: &'a str,
        upstream: &'a UpstreamId,
        cause: BreakCause,
        passed_on_bytes: u64,
    },
    /// The body of a request is passed on while it arrives, as requests fill their part of the
    /// memory.
    BodyPassedOn { id: &'a str, collected_bytes: usize, held_bytes: usize },
    /// A request was refused, as no memory is left for its response.
    ResponseMemoryFull { id: &'a str, route: &'a str, held_bytes: usize },
    /// The caller disconnected.
    CallerGone { id: &'a str, after_ms: Millis, sendings: u32, runs_on: bool },
    /// The process ended with a request without a final response: how long before it had arrived, and
    /// was last sent (none: never), and the stop had begun.
    CutByStop {
        id: &'a str,
        after_ms: Millis,
        sendings: u32,
        sent_before_ms: Option<Millis>,
        stopping_for_ms: Millis,
    },
    /// A caller's connection ended: how, how long it had been inactive, how many of its requests
    /// got no response, and how many bytes arrived that no request was read from.
    CallerClosed { end: SessionEnd, idle_ms: Millis, unanswered: usize, dropped_bytes: usize },
}

impl LogEvent<'_> {
    pub(super) fn priority(&self) -> Priority {
        match self {
            LogEvent::Routed { .. }
            | LogEvent::Chosen { .. }
            | LogEvent::Sent { .. }
            | LogEvent::TunnelOpened { .. }
            | LogEvent::Relaying { .. }
            | LogEvent::Relayed { .. } => Priority::Routine,
            LogEvent::Declined { verdict: Verdict::ProbeAgain(_), .. } => Priority::Routine,
            LogEvent::CallerClosed { unanswered: 0, .. } => Priority::Routine,
            LogEvent::Delivered { status, after_ms, objective_ms, .. }
                if *status < 400 && after_ms <= objective_ms =>
            {
                Priority::Routine
            }
            _ => Priority::Important,
        }
    }
}
