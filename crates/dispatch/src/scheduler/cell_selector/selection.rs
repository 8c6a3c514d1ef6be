//! Selects the next cell for one request, by what is known of all cells.

use super::{CellChoice, CellReason, CellRequest, NoRoom, RefusedSubmissions};
use crate::scheduler::{Cell, RefusalCause};
use crate::upstream_set::UpstreamSet;
use domain::{Millis, ZoneName};
use rand_pcg::Pcg64Mcg;

/// Time after which a cell without room gets a request all the same, so that an outdated refusal is
/// corrected. Shorter than the shortest time for which a scheduler expects no room.
const TRIAL_INTERVAL_MS: Millis = Millis(20);

/// Most cells that one request is submitted to: each submission to another zone takes a round trip,
/// and traffic between zones is paid for.
const MAX_SUBMISSIONS: usize = 2;

/// What the choice for one request depends on.
pub(super) struct Selection<'a> {
    pub(super) now_ms: Millis,
    pub(super) request: &'a CellRequest<'a>,
    pub(super) refused: &'a RefusedSubmissions,
    pub(super) upstreams: &'a UpstreamSet,
    pub(super) no_room: Vec<(&'a ZoneName, NoRoom)>,
}

impl Selection<'_> {
    pub(super) fn choose(&self, rng: &mut Pcg64Mcg) -> CellChoice {
        let Selection { request, refused, upstreams, .. } = *self;
        let local =
            Some(request.zone).filter(|zone| upstreams.accepts_requests_in(request.service, zone));
        if let Some(zone) = local.filter(|zone| self.is_untried(zone) && self.has_room(zone)) {
            return CellChoice::Submit(request.cell(zone), CellReason::LocalZone);
        }
        let reason = match (refused.last, local) {
            (Some(_), _) => CellReason::Refused,
            (None, Some(_)) => CellReason::LocalZoneFull,
            (None, None) => CellReason::NoLocalUpstream,
        };
        let is_possible = |zone: &ZoneName| self.is_untried(zone) && self.has_room(zone);
        match (self.draw(is_possible, rng), refused.last) {
            (Some(cell), _) => CellChoice::Submit(cell, reason),
            (None, None) => self.choose_without_room(rng),
            (None, Some(last)) => self.choose_after_refusal(last, rng),
        }
    }

    /// For a request that was not submitted yet, and that no cell has room for.
    fn choose_without_room(&self, rng: &mut Pcg64Mcg) -> CellChoice {
        let Selection { now_ms, request, upstreams, .. } = *self;
        let (false, Some(soonest)) = (self.is_submitted_anyway(), self.soonest()) else {
            let cell = Cell::for_request(request.service, request.zone, upstreams, rng);
            return CellChoice::Submit(cell, CellReason::NoneHasRoom);
        };
        let is_due = |zone: &ZoneName| {
            self.no_room(zone)
                .is_some_and(|no_room| now_ms.since(no_room.submitted_ms) >= TRIAL_INTERVAL_MS)
        };
        let is_local_due =
            is_due(request.zone) && upstreams.accepts_requests_in(request.service, request.zone);
        let trial = match is_local_due {
            true => Some(request.cell(request.zone)),
            false => self.draw(is_due, rng),
        };
        let known_for_ms = Some(now_ms.since(soonest.stated_ms));
        trial.map_or(CellChoice::Refuse { cause: soonest.cause(), known_for_ms }, |cell| {
            CellChoice::Submit(cell, CellReason::Trial)
        })
    }

    /// For a request that a cell refused last, with no other cell that has room.
    fn choose_after_refusal(&self, last: RefusalCause, rng: &mut Pcg64Mcg) -> CellChoice {
        let is_submitted_anyway = self.is_submitted_anyway();
        let other = match is_submitted_anyway {
            true => self.draw(|zone| self.is_untried(zone), rng),
            false => None,
        };
        if let Some(cell) = other {
            return CellChoice::Submit(cell, CellReason::Refused);
        }
        let soonest = self.soonest().filter(|_| !is_submitted_anyway);
        CellChoice::Refuse { cause: soonest.map_or(last, NoRoom::cause), known_for_ms: None }
    }

    /// Draws one of these zones by the number of eligible upstreams.
    fn draw(&self, is_possible: impl Fn(&ZoneName) -> bool, rng: &mut Pcg64Mcg) -> Option<Cell> {
        let zone = self.upstreams.draw_zone(self.request.service, is_possible, rng)?;
        Some(self.request.cell(&zone))
    }

    /// Whether what other requests were told doesn't decide on this one: a retry is placed by other
    /// rules, and a cell without a usable upstream states no time.
    fn is_submitted_anyway(&self) -> bool {
        self.request.is_retry || self.refused.last == Some(RefusalCause::NoUpstream)
    }

    /// Whether the request may be submitted to this zone as far as its own submissions matter.
    fn is_untried(&self, zone: &ZoneName) -> bool {
        self.refused.zones.len() < MAX_SUBMISSIONS && !self.refused.zones.contains(zone)
    }

    fn has_room(&self, zone: &ZoneName) -> bool {
        self.no_room(zone).is_none()
    }

    fn no_room(&self, zone: &ZoneName) -> Option<NoRoom> {
        let (_, no_room) = self.no_room.iter().find(|(full, _)| *full == zone)?;
        Some(*no_room)
    }

    /// The cell that has room first; `None` if one has room now, or there is none.
    fn soonest(&self) -> Option<NoRoom> {
        let zones = self.upstreams.eligible_zones(self.request.service);
        let no_room: Option<Vec<NoRoom>> = zones.map(|zone| self.no_room(zone)).collect();
        no_room?.into_iter().min_by_key(|no_room| no_room.room_in_ms)
    }
}
