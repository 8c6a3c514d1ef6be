//! What hosts and schedulers tell each other.

use super::{Submission, Ticket};
use crate::backpressure::{Backpressure, ResponseKind};
use crate::{AttemptFailure, LoadReport};
use domain::{Millis, UpstreamId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A message that may be lost, doubled, late or out of order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PlacementMessage {
    /// A request wants a place.
    Submit(Submission),
    /// It waits in the queue.
    Queued {
        /// Which.
        ticket: Ticket,
    },
    /// It has its place.
    Placed {
        /// Which.
        ticket: Ticket,
        /// Where it is to be sent.
        place: Place,
    },
    /// It gets none.
    Refused {
        /// Which.
        ticket: Ticket,
        /// Why.
        cause: RefusalCause,
    },
    /// It came to its end at the upstream where it was placed.
    Ended {
        /// Which.
        ticket: Ticket,
        /// How it ended.
        outcome: Outcome,
    },
    /// It wants no place any more, or was not sent to the one that it got.
    Withdrawn {
        /// Which.
        ticket: Ticket,
        /// How far it came.
        how: Withdrawal,
    },
}

/// How far a request came whose place is given back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Withdrawal {
    /// It was not sent.
    NotSent,
    /// It was not sent, as its upstream can't be reached. Untold, a scheduler placed requests on a
    /// zone that was down until each had been tried eight times: 140 were refused within 4 s while
    /// the other zones were idle, and none since.
    Unreachable,
    /// It had left for its upstream.
    Sent,
}

/// The place of a request, and what it was chosen by.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Place {
    /// Where it is to be sent.
    pub upstream: UpstreamId,
    /// How long it would take, in times of the usual.
    pub work: f32,
    /// By which upstreams were compared.
    pub cost: f32,
    /// Age of what the upstream last told.
    pub report_age_ms: Option<Millis>,
    /// Requests that wait before it and were not placed.
    pub ahead: usize,
}

/// Why a request gets no place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalCause {
    /// It could not be answered in time.
    NoRoom {
        /// When it could.
        retry_after_ms: Millis,
        /// Requests that wait before it.
        ahead: usize,
    },
    /// The scheduler knows no upstream that takes work, or is leaving.
    NoUpstream,
}

/// How a request ended at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// How it failed, if it did.
    pub failure: Option<AttemptFailure>,
    /// Time at the upstream.
    pub took_ms: Millis,
    /// Load that the answer told.
    pub report: Option<LoadReport>,
    /// What it said besides of the load that the upstream bears.
    pub backpressure: Backpressure,
}

impl Outcome {
    /// What its answer, if one came, is evidence of.
    pub fn answer_kind(&self) -> ResponseKind {
        match self.failure {
            None => ResponseKind::Served,
            Some(_) => ResponseKind::Failed,
        }
    }
}

/// Whose request it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Asker {
    /// The scheduler's own host.
    Own,
    /// A peer that hears at this address.
    Peer(SocketAddr),
}

/// What a scheduler wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Tell a host.
    Tell {
        /// Whom.
        to: Asker,
        /// What.
        message: PlacementMessage,
    },
    /// Ask an upstream for its load, and note what it told.
    Ask(UpstreamId),
}
