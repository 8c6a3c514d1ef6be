//! Messages about quotas.

use crate::scheduler::Ticket;
use domain::{Millis, OrganisationName};
use serde::{Deserialize, Serialize};

/// A message that may be lost, duplicated, delayed or reordered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// Asks the owner for a token.
    Ask {
        /// Identifies the request at its host.
        ticket: Ticket,
        /// Whose quota.
        organisation: OrganisationName,
        /// Whether the sender asks for another host. The receiver then decides itself, so that two
        /// hosts that take each other for the owner don't ask each other in turn.
        is_relayed: bool,
    },
    /// The owner's answer.
    Answer {
        /// The request.
        ticket: Ticket,
        /// Whether the quota allows it.
        verdict: Verdict,
    },
    /// Asks whether a host is in reach.
    Ping {
        /// Identifies the ping.
        number: u64,
    },
    /// The answer to a ping.
    Pong {
        /// The ping.
        number: u64,
    },
}

/// Whether a quota allows a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It does.
    Granted,
    /// It is used up.
    Refused {
        /// Time until it allows the next request.
        next_in_ms: Millis,
    },
    /// The host doesn't know the organisation, or no quota of it.
    Unknown,
}
