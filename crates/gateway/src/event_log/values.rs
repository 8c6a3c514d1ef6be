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
    /// The upstream sent nothing for too long.
    UpstreamStalled,
    /// The caller took nothing for too long.
    CallerStalled,
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
