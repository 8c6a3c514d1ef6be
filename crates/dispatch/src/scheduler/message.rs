//! Messages between hosts and schedulers.

use super::{Submission, Ticket};
use crate::backpressure::{Backpressure, ResponseKind};
use crate::{AttemptFailure, LoadReport};
use domain::{Millis, UpstreamId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A message that may be lost, duplicated, delayed or reordered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PlacementMessage {
    /// Submits a request for placement.
    Submit(Submission),
    /// The request waits in the queue.
    Queued {
        /// The request.
        ticket: Ticket,
    },
    /// The request was placed.
    Placed {
        /// The request.
        ticket: Ticket,
        /// Where to send it.
        placement: Placement,
    },
    /// The request is not placed.
    Refused {
        /// The request.
        ticket: Ticket,
        /// Why.
        cause: RefusalCause,
    },
    /// The request ended at its upstream.
    Ended {
        /// The request.
        ticket: Ticket,
        /// How it ended.
        outcome: Outcome,
    },
    /// The request needs no placement any more, or wasn't sent to its upstream.
    Withdrawn {
        /// The request.
        ticket: Ticket,
        /// How far it got.
        withdrawal: Withdrawal,
    },
}

/// How far a withdrawn request got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Withdrawal {
    /// It was not sent.
    NotSent,
    /// It was not sent, as its upstream is unreachable. The scheduler needs to know: else it would
    /// go on placing requests there.
    Unreachable,
    /// It was sent to its upstream.
    Sent,
}

/// The upstream chosen for a request, and the figures of the choice.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// The upstream to send it to.
    pub upstream: UpstreamId,
    /// Expected duration, in multiples of its route's service time.
    pub work: f32,
    /// Estimated cost, by which upstreams are compared.
    pub cost: f32,
    /// Age of the upstream's last load report.
    pub report_age_ms: Option<Millis>,
    /// Requests ahead of it that still wait.
    pub ahead: usize,
}

/// Why a request was not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalCause {
    /// It can't be answered in time.
    NoRoom {
        /// When to retry.
        retry_after_ms: Millis,
        /// Requests ahead of it in the queue.
        ahead: usize,
    },
    /// The scheduler knows no upstream that accepts requests, or no longer schedules.
    NoUpstream,
    /// The scheduler's host reaches no upstream of the service: another host is to schedule.
    CutOff,
}

/// How an attempt ended at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// The failure, if it failed.
    pub failure: Option<AttemptFailure>,
    /// Time that it took at the upstream.
    pub took_ms: Millis,
    /// Load reported with the response.
    pub report: Option<LoadReport>,
    /// Backpressure that the response stated.
    pub backpressure: Backpressure,
}

impl Outcome {
    /// Kind of the response in terms of backpressure.
    pub fn response_kind(&self) -> ResponseKind {
        match self.failure {
            None => ResponseKind::Served,
            Some(_) => ResponseKind::Failed,
        }
    }
}

/// Who submitted a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Requester {
    /// The scheduler's own host.
    OwnHost,
    /// A peer that receives messages at this address.
    Peer(SocketAddr),
}

/// What the caller of a scheduler has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a message.
    Send {
        /// Receiver.
        to: Requester,
        /// Message.
        message: PlacementMessage,
    },
    /// Probe an upstream, and record the load that it reports.
    Probe(UpstreamId),
    /// Log that a host could not reach the upstream that its request was placed on. A probe of it
    /// follows.
    LogUnreachable {
        /// Who could not reach it.
        requester: Requester,
        /// Where the request was placed.
        upstream: UpstreamId,
    },
}
