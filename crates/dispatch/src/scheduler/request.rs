//! Requests as submitted to a scheduler, and as it queues them.

use super::Cell;
use super::decision::PROBE_INTERVAL_MS;
use super::message::{Effect, Placement, PlacementMessage, RefusalCause, Requester};
use crate::deadline::MAX_LATENESS;
use crate::route_times::{RouteKey, RouteTime};
use domain::{Millis, UpstreamId, ZoneName};
use serde::{Deserialize, Serialize};

/// Interval of the notices to the submitting host that its request still waits.
const QUEUED_NOTICE_INTERVAL_MS: Millis = Millis(10);

/// Identifies a request of a host; drawn by the host and unique for some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ticket(pub u64);

/// Identifies a request at a scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Key {
    pub(super) requester: Requester,
    pub(super) ticket: Ticket,
}

/// A request for placement, as a host submits it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Identifies the request.
    pub ticket: Ticket,
    /// Cell whose scheduler it is submitted to.
    pub cell: Cell,
    /// Availability zone of its host.
    pub zone: ZoneName,
    /// Its route.
    pub route: RouteKey,
    /// What its host learned of the route's service time.
    pub route_time: Option<RouteTime>,
    /// Priority of its route; 0 is the highest.
    pub priority: u32,
    /// Time from its arrival within which a response is of full use.
    pub objective_ms: Millis,
    /// Time since its arrival.
    pub age_ms: Millis,
    /// Time left until its final response is due.
    pub left_ms: Millis,
    /// Upstreams that it was already sent to.
    pub tried: Vec<UpstreamId>,
    /// Upstreams that asked its host to back off.
    pub backing_off: Vec<UpstreamId>,
    /// Whether its host lends the scheduler its share of fleet-wide rate limits.
    pub lends_rate_share: bool,
}

/// A request that waits for placement.
#[derive(Debug)]
pub(super) struct QueuedRequest {
    pub(super) key: Key,
    pub(super) zone: ZoneName,
    pub(super) route: RouteKey,
    /// Service time of its route, once anything was learned.
    pub(super) service_time_ms: Option<Millis>,
    pub(super) tried: Vec<UpstreamId>,
    backing_off: Vec<UpstreamId>,
    /// Until when a response is of full use.
    pub(super) due_ms: Millis,
    /// Until when the caller waits.
    pub(super) end_ms: Millis,
    /// When upstreams were last probed for it.
    pub(super) probed_ms: Option<Millis>,
    pub(super) objective_ms: Millis,
    pub(super) priority: u32,
    /// Whether too few of its priority are placed, so that it goes first.
    is_starved: bool,
    /// Whether it can no longer meet its objective; always false on the only route of a service.
    is_late: bool,
    submitted_ms: Millis,
    notified_ms: Millis,
}

impl QueuedRequest {
    pub(super) fn new(
        now_ms: Millis,
        submission: Submission,
        requester: Requester,
    ) -> QueuedRequest {
        let arrived_ms = now_ms - submission.age_ms;
        let end_ms = now_ms + submission.left_ms;
        QueuedRequest {
            key: Key { requester, ticket: submission.ticket },
            zone: submission.zone,
            route: submission.route,
            service_time_ms: None,
            tried: submission.tried,
            backing_off: submission.backing_off,
            due_ms: end_ms.min(arrived_ms + submission.objective_ms),
            end_ms,
            probed_ms: None,
            objective_ms: submission.objective_ms,
            priority: submission.priority,
            is_starved: false,
            is_late: false,
            submitted_ms: now_ms,
            notified_ms: now_ms,
        }
    }

    /// Sort key of the queue: starved priorities first, then the most urgent one, then the earliest
    /// objective. Among requests of equal priority, those that can no longer meet their objective
    /// come last.
    pub(super) fn queue_order(&self) -> (bool, u32, bool, Millis) {
        (!self.is_starved, self.priority, self.is_late, self.due_ms)
    }

    /// Updates what the order depends on besides the submission. On the only route of a service the
    /// order is by objective alone.
    pub(super) fn refresh(
        &mut self,
        now_ms: Millis,
        service_time_ms: Option<Millis>,
        is_starved: bool,
    ) {
        self.is_starved = is_starved;
        self.service_time_ms = service_time_ms;
        let done_ms = now_ms + service_time_ms.unwrap_or_default();
        self.is_late = self.route != RouteKey::ONLY && done_ms > self.due_ms;
    }

    /// Whether neither the request nor its host excludes this upstream.
    pub(super) fn may_use(&self, id: &UpstreamId) -> bool {
        !self.tried.contains(id) && !self.backing_off.contains(id)
    }

    /// Whether its host backs off from all of these.
    pub(super) fn backs_off_from(&self, upstreams: &[UpstreamId]) -> bool {
        upstreams.iter().all(|id| self.backing_off.contains(id))
    }

    /// A retry has already lost time, so it isn't kept waiting.
    pub(super) fn is_retry(&self) -> bool {
        !self.tried.is_empty()
    }

    /// Whether it must not take slots that are kept for more urgent requests.
    pub(super) fn leaves_reserve(&self) -> bool {
        !self.is_retry() && !self.is_starved
    }

    pub(super) fn has_waited(&self, now_ms: Millis) -> bool {
        now_ms > self.submitted_ms
    }

    /// Whether its host has already given the final response.
    pub(super) fn is_expired(&self, now_ms: Millis) -> bool {
        now_ms >= self.end_ms
    }

    pub(super) fn may_probe(&self, now_ms: Millis) -> bool {
        self.probed_ms.is_none_or(|at_ms| now_ms.since(at_ms) >= PROBE_INTERVAL_MS)
    }

    /// Latest time at which a response is still of some use.
    pub(super) fn latest_useful_ms(&self) -> Millis {
        if self.is_retry() {
            return self.end_ms;
        }
        let extra_ms = Millis((self.objective_ms.as_f64() * (MAX_LATENESS - 1.0)) as u64);
        self.end_ms.min(self.due_ms + extra_ms)
    }

    pub(super) fn placed(&self, placement: Placement) -> Effect {
        self.send(PlacementMessage::Placed { ticket: self.key.ticket, placement })
    }

    pub(super) fn refused(&self, cause: RefusalCause) -> Effect {
        self.send(PlacementMessage::Refused { ticket: self.key.ticket, cause })
    }

    /// The notice that it still waits, if one is due.
    pub(super) fn queued_notice(&mut self, now_ms: Millis) -> Option<Effect> {
        if now_ms.since(self.notified_ms) < QUEUED_NOTICE_INTERVAL_MS {
            return None;
        }
        self.notified_ms = now_ms;
        Some(self.send(PlacementMessage::Queued { ticket: self.key.ticket }))
    }

    fn send(&self, message: PlacementMessage) -> Effect {
        Effect::Send { to: self.key.requester, message }
    }
}
