//! Values of the log's events.

use dispatch::scheduler::Ticket;
use domain::HostId;
use serde::Serialize;

/// How a caller's connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SessionEnd {
    /// No request arrived within the idle timeout.
    Idle,
    /// It was idle when the host stopped.
    Stopping,
    /// The last response announced the end.
    LastResponse,
    /// A request was refused before it was read completely.
    Refused,
    /// A response could not be written, or not in time.
    Unwritable,
    /// The caller disconnected.
    CallerGone,
    /// A response was broken off midway; its length or the missing last chunk shows it.
    BrokenOff,
    /// A response that ends with its connection was broken off; the reset shows it.
    Reset,
}

/// Why a response was broken off midway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum BreakCause {
    /// The upstream's connection broke, or the body's framing is malformed.
    UpstreamBroke,
    /// The caller took nothing for too long.
    CallerStalled,
    /// The upstream had not sent all of it when the request was due.
    UpstreamTimedOut,
    /// The same, as the caller had not taken what was sent.
    CallerTimedOut,
    /// The caller disconnected.
    CallerGone,
}

/// What tells a crash of an upstream from a connection that only broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CrashEvidence {
    /// A later run of it is published.
    Restarted,
    /// Its port refuses connections, and no other connection to it is open.
    Refused,
    /// Its port refuses connections, but another connection is open: it is full.
    OnlyFull,
    /// It accepts connections and answers, or may not be probed now.
    Accepts,
    /// Another upstream answers at its address.
    Replaced,
    /// Its port accepts connections, and nothing answers.
    Silent,
    /// It drains, has announced that it leaves, or is no longer published: its end is no crash.
    Leaves,
    /// It reset a connection while it was opened, as a port does that is full or just closes.
    Reset,
    /// Its port refused this host, and a peer can connect to it.
    ReachedByPeer,
    /// It can't be reached.
    Unreachable,
    /// The check took too long.
    TooLate,
}

impl CrashEvidence {
    /// Whether it proves a crash.
    pub fn is_crash(self) -> bool {
        matches!(self, CrashEvidence::Restarted | CrashEvidence::Refused | CrashEvidence::Replaced)
    }
}

/// Why a peer opened no tunnel.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TunnelProblem {
    /// The peer reaches other upstreams, and not this one.
    UpstreamUnreachable,
    /// The peer doesn't know this upstream, or doesn't reach it and has heard of no other lately.
    RelayDoubtful,
    /// The peer can't help now.
    RelayRefused,
    /// The peer can't be reached, or broke the connection.
    RelayUnreachable,
    /// The peer did not respond in time.
    RelaySilent,
}

/// Why this host opened no tunnel for a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RelayRefusal {
    /// It reaches other upstreams, and not this one.
    Unreachable,
    /// Its own links are down.
    LinksDown,
    /// It did not reach this upstream, nor heard of any other lately.
    LinksDoubtful,
    /// It knows no such upstream that may get requests.
    UnknownUpstream,
    /// It serves as many tunnels as it can.
    Full,
    /// It is stopping.
    Stopping,
    /// The request is of another protocol.
    OtherProtocol,
}

impl RelayRefusal {
    /// Status of the response: 502 if the fault is the upstream's, 504 if it may be, 503 if another
    /// peer may help.
    pub fn status(self) -> u16 {
        match self {
            RelayRefusal::Unreachable => 502,
            RelayRefusal::LinksDoubtful | RelayRefusal::UnknownUpstream => 504,
            RelayRefusal::LinksDown
            | RelayRefusal::Full
            | RelayRefusal::Stopping
            | RelayRefusal::OtherProtocol => 503,
        }
    }
}

/// How a tunnel ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TunnelEnd {
    /// The peer closed it.
    PeerClosed,
    /// The upstream closed its connection.
    UpstreamClosed,
    /// One of the two connections broke.
    Broken,
    /// Nothing was sent for long.
    Idle,
}

/// What an upstream responded to.
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
        /// The host that runs it.
        scheduler: HostId,
        /// The scheduler's id of the request.
        ticket: Ticket,
        /// Number of requests that were queued before it.
        ahead: usize,
    },
    /// This host, by probing upstreams.
    Asking {
        /// Number of upstreams probed.
        asked: usize,
        /// Number of upstreams that responded.
        answered: usize,
    },
}

/// Whether a retry was charged to the retry budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryCharge {
    /// Free: no byte of the earlier attempts was sent.
    #[default]
    Free,
    /// Charged.
    Charged,
}

impl RetryCharge {
    /// Name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RetryCharge::Charged => "charged",
            RetryCharge::Free => "free",
        }
    }
}
