//! Selects the cells whose schedulers a request of this host is submitted to.
//!
//! The demand of an availability zone may exceed the capacity of its upstreams while other zones
//! have room. A scheduler that refuses a request states when it expects room, so its host submits
//! no further request that this refusal covers until then: the scheduler of another zone gets it
//! first, and if no zone has room, the request is refused without a submission.
//!
//! A refusal covers requests of the same or a less urgent priority that must start no later than
//! the scheduler expected room: a request with more time left may wait longer. Retries are placed
//! by other rules, so their refusals cover nothing, and they are never refused without a
//! submission.
//!
//! What a host knows is its own, and outdated within a second.

mod selection;

use super::Cell;
use super::message::RefusalCause;
use crate::upstream_set::UpstreamSet;
use domain::{FastMap, Millis, ServiceName, ZoneName};
use rand_pcg::Pcg64Mcg;
use selection::Selection;
use serde::Serialize;

/// Longest time for which a refusal counts; load changes within a second.
const MAX_NO_ROOM_MS: Millis = Millis(1_000);

/// Shortest `Retry-After`, the same as that of schedulers.
const MIN_RETRY_AFTER_MS: Millis = Millis(30);

/// Service times of its route that a request has to start before its objective ends, as schedulers
/// reckon.
const START_MARGIN: u64 = 2;

/// Most priorities with a refusal that are kept for a cell, to bound memory.
const MAX_REFUSALS: usize = 8;

/// A request for which a cell is selected.
#[derive(Debug, Clone, Copy)]
pub struct CellRequest<'a> {
    /// Its service.
    pub service: &'a ServiceName,
    /// Availability zone of its host.
    pub zone: &'a ZoneName,
    /// Priority of its route; 0 is the highest.
    pub priority: u32,
    /// Until when a response is of full use.
    pub due_ms: Millis,
    /// Service time of its route, zero if unknown.
    pub service_time_ms: Millis,
    /// Whether it was tried at an upstream before.
    pub is_retry: bool,
}

/// The submissions of a request that were refused.
#[derive(Debug, Default)]
pub struct RefusedSubmissions {
    zones: Vec<ZoneName>,
    last: Option<RefusalCause>,
}

/// The cell that is next for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CellChoice {
    /// Submit it to this cell.
    Submit(Cell, CellReason),
    /// Refuse it, for a cause that a scheduler stated now or before.
    Refuse {
        /// Why.
        cause: RefusalCause,
        /// Age of the earlier refusal that is the reason, if the request was not submitted.
        known_for_ms: Option<Millis>,
    },
}

/// Why a cell was selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CellReason {
    /// The service is one cell.
    WholeService,
    /// It is that of the host's availability zone.
    LocalZone,
    /// The local zone has no eligible upstream.
    NoLocalUpstream,
    /// The local zone has no room, as it refused an earlier request.
    LocalZoneFull,
    /// Another cell refused this request.
    Refused,
    /// No cell has room, and it is time to try one.
    Trial,
    /// No cell has room, but the request is submitted in any case.
    NoneHasRoom,
}

impl CellReason {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            CellReason::WholeService => "whole-service",
            CellReason::LocalZone => "local-zone",
            CellReason::NoLocalUpstream => "no-local-upstream",
            CellReason::LocalZoneFull => "local-zone-full",
            CellReason::Refused => "refused",
            CellReason::Trial => "trial",
            CellReason::NoneHasRoom => "none-has-room",
        }
    }
}

/// The cells that have no room, as their schedulers stated to this host.
#[derive(Debug, Default)]
pub struct CellSelector {
    full: FastMap<Cell, FullCell>,
}

/// A cell without room.
#[derive(Debug)]
struct FullCell {
    /// At most one of each priority.
    refusals: Vec<CellRefusal>,
    /// When the last submission was refused, or the last trial began.
    submitted_ms: Millis,
}

/// The last refusal of a cell for one priority.
#[derive(Debug, Clone, Copy)]
struct CellRefusal {
    priority: u32,
    at_ms: Millis,
    /// Until when it counts.
    until_ms: Millis,
    /// The earliest start that the scheduler expected to be possible.
    start_ms: Millis,
    /// Requests that were queued ahead.
    ahead: usize,
}

/// A cell's lack of room for one request.
#[derive(Debug, Clone, Copy)]
struct NoRoom {
    /// Time until it has room.
    room_in_ms: Millis,
    /// When it stated that.
    stated_ms: Millis,
    /// The last submission to it.
    submitted_ms: Millis,
    ahead: usize,
}

impl CellRefusal {
    fn covers(&self, now_ms: Millis, request: &CellRequest<'_>) -> bool {
        self.priority <= request.priority && self.room_in_ms(now_ms, request) > Millis::ZERO
    }

    /// Time until a request has room by this refusal. Each millisecond that it may wait longer than
    /// the refused one brings this forward by one.
    fn room_in_ms(&self, now_ms: Millis, request: &CellRequest<'_>) -> Millis {
        self.start_ms.since(request.start_ms(now_ms)).min(self.until_ms.since(now_ms))
    }
}

impl CellRequest<'_> {
    /// When it has to start to meet its objective, or now if that time is over.
    fn start_ms(&self, now_ms: Millis) -> Millis {
        let start_ms = self.due_ms - Millis(self.service_time_ms.0.saturating_mul(START_MARGIN));
        start_ms.max(now_ms)
    }

    fn cell(&self, zone: &ZoneName) -> Cell {
        Cell { service: self.service.clone(), zone: Some(zone.clone()) }
    }
}

impl RefusedSubmissions {
    /// Records that the scheduler of a cell refused the request.
    pub fn push(&mut self, cell: Cell, cause: RefusalCause) {
        self.zones.extend(cell.zone);
        self.last = Some(cause);
    }
}

impl CellSelector {
    /// Selects the cell that a request is submitted to next: that of the local zone if it has room,
    /// or else one with room, drawn by the number of eligible upstreams.
    pub fn choose(
        &mut self,
        now_ms: Millis,
        request: &CellRequest<'_>,
        refused: &RefusedSubmissions,
        upstreams: &UpstreamSet,
        rng: &mut Pcg64Mcg,
    ) -> CellChoice {
        match refused.last {
            Some(cause) if refused.zones.is_empty() => {
                return CellChoice::Refuse { cause, known_for_ms: None };
            }
            None if !Cell::is_split(request.service, upstreams) => {
                let cell = Cell { service: request.service.clone(), zone: None };
                return CellChoice::Submit(cell, CellReason::WholeService);
            }
            _ => {}
        }
        let no_room = self.zones_without_room(now_ms, request);
        let choice = Selection { now_ms, request, refused, upstreams, no_room }.choose(rng);
        if let CellChoice::Submit(cell, CellReason::Trial) = &choice
            && let Some(full) = self.full.get_mut(cell)
        {
            full.submitted_ms = now_ms;
        }
        choice
    }

    /// For each zone without room for the request, the refusal that rules it out for longest.
    fn zones_without_room(
        &self,
        now_ms: Millis,
        request: &CellRequest<'_>,
    ) -> Vec<(&ZoneName, NoRoom)> {
        let cells = self.full.iter().filter(|(cell, _)| cell.service == *request.service);
        let no_room = cells.filter_map(|(cell, full)| {
            let refusals = full.refusals.iter().filter(|refusal| refusal.covers(now_ms, request));
            let no_room = refusals.map(|refusal| NoRoom {
                room_in_ms: refusal.room_in_ms(now_ms, request),
                stated_ms: refusal.at_ms,
                submitted_ms: full.submitted_ms,
                ahead: refusal.ahead,
            });
            Some((cell.zone.as_ref()?, no_room.max_by_key(|no_room| no_room.room_in_ms)?))
        });
        no_room.collect()
    }

    /// Records how the scheduler of a cell decided on a request that was submitted at
    /// `submitted_ms`: whether it placed it, or why not.
    pub fn record(
        &mut self,
        now_ms: Millis,
        cell: &Cell,
        (request, submitted_ms): (&CellRequest<'_>, Millis),
        result: Result<(), RefusalCause>,
    ) {
        if request.is_retry || cell.zone.is_none() {
            return;
        }
        match result {
            Ok(()) => self.record_placed(cell, request.priority, submitted_ms),
            // Without a queue, a request that can't wait is refused for want of an idle upstream at
            // that moment, which says nothing about the next moment.
            Err(RefusalCause::NoRoom { ahead: 0, .. }) if request.start_ms(now_ms) == now_ms => {}
            Err(RefusalCause::NoRoom { retry_after_ms, ahead }) => {
                let retry_after_ms = retry_after_ms.min(MAX_NO_ROOM_MS);
                let refusal = CellRefusal {
                    priority: request.priority,
                    at_ms: now_ms,
                    until_ms: now_ms + retry_after_ms,
                    start_ms: request.start_ms(now_ms) + retry_after_ms,
                    ahead,
                };
                self.record_refused(now_ms, cell, refusal);
            }
            Err(RefusalCause::NoUpstream) => {}
        }
    }

    /// Drops the refusals that the placement contradicts. A request that was submitted before a
    /// refusal was ahead of the refused one, so its placement says nothing.
    fn record_placed(&mut self, cell: &Cell, priority: u32, submitted_ms: Millis) {
        let Some(full) = self.full.get_mut(cell) else { return };
        full.refusals.retain(|refusal| refusal.priority > priority || submitted_ms < refusal.at_ms);
        if full.refusals.is_empty() {
            self.full.remove(cell);
        }
    }

    fn record_refused(&mut self, now_ms: Millis, cell: &Cell, refusal: CellRefusal) {
        self.full.retain(|_, full| {
            full.refusals.retain(|refusal| now_ms < refusal.until_ms);
            !full.refusals.is_empty()
        });
        let new = || FullCell { refusals: Vec::new(), submitted_ms: now_ms };
        let full = self.full.entry(cell.clone()).or_insert_with(new);
        full.submitted_ms = now_ms;
        full.refusals.retain(|known| known.priority != refusal.priority);
        if full.refusals.len() >= MAX_REFUSALS {
            full.refusals.remove(0);
        }
        full.refusals.push(refusal);
    }
}

impl NoRoom {
    fn cause(self) -> RefusalCause {
        let retry_after_ms = self.room_in_ms.max(MIN_RETRY_AFTER_MS);
        RefusalCause::NoRoom { retry_after_ms, ahead: self.ahead }
    }
}
