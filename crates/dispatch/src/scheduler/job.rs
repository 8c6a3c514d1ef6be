//! A request that wants a place.

use super::Cell;
use super::decision::ASK_AGAIN_MS;
use super::message::{Effect, Placement, PlacementMessage, RefusalCause, Requester};
use crate::deadline::FAR_TOO_LATE;
use domain::{Millis, UpstreamId, ZoneName};
use serde::{Deserialize, Serialize};

/// Who waits is told so at this interval, beginning with the first.
const TELL_QUEUED_MS: Millis = Millis(10);

/// Names a request of a host at its scheduler; drawn by the host, not twice in a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ticket(pub u64);

/// Names a request at a scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Key {
    pub(super) requester: Requester,
    pub(super) ticket: Ticket,
}

/// A request that wants a place, as its host tells it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Its name.
    pub ticket: Ticket,
    /// Where it belongs.
    pub cell: Cell,
    /// Where its host stands.
    pub zone: ZoneName,
    /// Rank of its route, 0 is the highest.
    pub priority: u32,
    /// Time in which its answer is of full use, from its arrival.
    pub objective_ms: Millis,
    /// Time since its arrival.
    pub age_ms: Millis,
    /// Time left until its final answer is due.
    pub left_ms: Millis,
    /// Upstreams that had it already.
    pub tried: Vec<UpstreamId>,
    /// Upstreams that asked its host to back off.
    pub backing_off: Vec<UpstreamId>,
    /// Its host lends the scheduler its share of what upstreams take from the whole fleet.
    pub lends_rate_share: bool,
}

/// A request that waits for its place.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) key: Key,
    pub(super) zone: ZoneName,
    pub(super) tried: Vec<UpstreamId>,
    backing_off: Vec<UpstreamId>,
    /// Until then its answer is of full use.
    pub(super) due_ms: Millis,
    /// Until then its caller waits.
    pub(super) end_ms: Millis,
    /// When upstreams were last asked for it.
    pub(super) asked_ms: Option<Millis>,
    pub(super) objective_ms: Millis,
    priority: u32,
    submitted_ms: Millis,
    told_ms: Millis,
}

impl Job {
    pub(super) fn new(now_ms: Millis, submission: Submission, requester: Requester) -> Job {
        let arrived_ms = now_ms - submission.age_ms;
        let end_ms = now_ms + submission.left_ms;
        Job {
            key: Key { requester, ticket: submission.ticket },
            zone: submission.zone,
            tried: submission.tried,
            backing_off: submission.backing_off,
            due_ms: end_ms.min(arrived_ms + submission.objective_ms),
            end_ms,
            asked_ms: None,
            objective_ms: submission.objective_ms,
            priority: submission.priority,
            submitted_ms: now_ms,
            told_ms: now_ms,
        }
    }

    /// Smaller goes first: urgent routes, then those whose time is over first.
    pub(super) fn order(&self) -> (u32, Millis) {
        (self.priority, self.due_ms)
    }

    /// Whether it may go to an upstream, as far as the request and its host are concerned.
    pub(super) fn may_go_to(&self, id: &UpstreamId) -> bool {
        !self.tried.contains(id) && !self.backing_off.contains(id)
    }

    /// Whether its host backs off from all of these.
    pub(super) fn backs_off_from(&self, upstreams: &[UpstreamId]) -> bool {
        upstreams.iter().all(|id| self.backing_off.contains(id))
    }

    /// What was sent once has lost its time already, and is not kept back.
    pub(super) fn is_repeat(&self) -> bool {
        !self.tried.is_empty()
    }

    pub(super) fn has_waited(&self, now_ms: Millis) -> bool {
        now_ms > self.submitted_ms
    }

    /// Its host has given it its final answer by now.
    pub(super) fn is_over(&self, now_ms: Millis) -> bool {
        now_ms >= self.end_ms
    }

    pub(super) fn may_ask(&self, now_ms: Millis) -> bool {
        self.asked_ms.is_none_or(|at_ms| now_ms.since(at_ms) >= ASK_AGAIN_MS)
    }

    /// When an answer is still of some use.
    pub(super) fn latest_ms(&self) -> Millis {
        if self.is_repeat() {
            return self.end_ms;
        }
        let beyond_ms = Millis((self.objective_ms.as_f64() * (FAR_TOO_LATE - 1.0)) as u64);
        self.end_ms.min(self.due_ms + beyond_ms)
    }

    pub(super) fn placed(&self, placement: Placement) -> Effect {
        self.tell(PlacementMessage::Placed { ticket: self.key.ticket, placement })
    }

    pub(super) fn refused(&self, cause: RefusalCause) -> Effect {
        self.tell(PlacementMessage::Refused { ticket: self.key.ticket, cause })
    }

    /// Says that it still waits, if that is due.
    pub(super) fn tell_queued(&mut self, now_ms: Millis) -> Option<Effect> {
        if now_ms.since(self.told_ms) < TELL_QUEUED_MS {
            return None;
        }
        self.told_ms = now_ms;
        Some(self.tell(PlacementMessage::Queued { ticket: self.key.ticket }))
    }

    fn tell(&self, message: PlacementMessage) -> Effect {
        Effect::Send { to: self.key.requester, message }
    }
}
