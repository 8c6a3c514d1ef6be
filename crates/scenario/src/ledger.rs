//! What really happened: the account that promises are checked against.

use crate::script::CallSpec;
use config::RepeatRule;
use decision_core::{Refusal, VersionPair};
use domain::{Millis, UpstreamId};

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// What was asked.
    pub spec: CallSpec,
    /// Whether it may run more than once.
    pub repeat: RepeatRule,
    /// Through which host, if any was reached.
    pub host: Option<usize>,
    /// When.
    pub arrived_ms: Millis,
    /// Times that it ran in an upstream.
    pub runs: u32,
    /// Final answers and other ends, in order; a right call has one.
    pub ends: Vec<(Millis, CallEnd)>,
    /// Its process was paused or killed meanwhile.
    pub disturbed: bool,
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// With an upstream's answer to this very call.
    Answered,
    /// With an answer that is not its own or not whole.
    Wrong,
    /// With the entry host's refusal.
    Refused(Refusal),
    /// The connection broke since the process died.
    HostDied,
    /// The process ended of its own will with the call open.
    CutByExit,
    /// The caller stopped waiting.
    GaveUp,
    /// No entry host accepted the connection.
    NoHost,
}

/// A request that reached an upstream.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When it reached it.
    pub at_ms: Millis,
    /// Whom.
    pub upstream: UpstreamId,
    /// From which host.
    pub host: usize,
}

/// A configuration came into force at a host.
#[derive(Debug, Clone, Copy)]
pub struct Adoption {
    /// When.
    pub at_ms: Millis,
    /// At which host.
    pub host: usize,
    /// In which run.
    pub incarnation: u64,
    /// The pair.
    pub versions: VersionPair,
    /// What is in force is what was published under these versions.
    pub is_genuine: bool,
}

/// Everything that happened.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Calls, by id.
    pub calls: Vec<CallRecord>,
    /// Requests that reached upstreams.
    pub arrivals: Vec<Arrival>,
    /// Times of probes, and whom they went to.
    pub probes: Vec<Millis>,
    /// Configurations that came into force.
    pub adoptions: Vec<Adoption>,
    /// Hosts that turned ready: when, who, with what in force.
    pub ready: Vec<(Millis, usize, VersionPair)>,
    /// Times at which a host was disturbed (paused, cut, restarted) until.
    pub disturbed_until_ms: Vec<Millis>,
    /// Processes that ended of their own will.
    pub exits: Vec<(Millis, usize)>,
    /// Messages between hosts.
    pub peer_messages: u64,
    /// Reads of the configuration service.
    pub config_reads: u64,
    /// Attempts sent after their own deadline.
    pub sent_late: u32,
}
