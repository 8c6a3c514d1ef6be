//! How a request finds its upstream.
//!
//! In calm times an idle upstream next door takes it. Else the scheduler of its service places
//! it, and where none answers, this host asks upstreams by itself and takes the best offer.

use super::Serving;
use super::sending::SendingCounts;
use crate::ask::{self, Chosen};
use crate::connection::Connection;
use crate::event_log::{ChosenBy, LogEvent};
use crate::host::duration;
use crate::placing::{self, PlacementGuard, PlacementResult};
use dispatch::attempts::{Cause, Refusal};
use dispatch::scheduler::{Cell, Placement, RefusalCause, Submission, Ticket};
use dispatch::{DeadlineCheck, LatencyEstimate, Verdict};
use domain::{Millis, UpstreamId, ZoneName};

/// Time between the choice and the sending past which the world is looked at again.
const STALE_CHOICE_MS: Millis = Millis(40);

/// Most upstreams that are tried for one request, whatever becomes of it.
const MAX_TRIED: usize = 8;

/// An upstream that takes the request.
#[derive(Debug)]
pub(super) struct Found {
    pub(super) upstream: UpstreamId,
    /// The place there, if a scheduler gave it.
    pub(super) held: Option<PlacementGuard>,
    /// How long it would take, in times of the usual.
    pub(super) work: f64,
    /// By which it was compared.
    pub(super) cost: f64,
    /// Age of what it last told.
    pub(super) report_age_ms: Option<Millis>,
    /// When the search began.
    pub(super) sought_ms: Millis,
    /// Who chose it.
    pub(super) by: ChosenBy,
    /// The connection on which it just answered, if it was asked.
    connection: Option<Connection>,
}

impl Serving {
    /// Finds an upstream and a connection to it; refuses if there is none or no time left.
    pub(super) async fn find_in_time(
        &self,
        counts: &mut SendingCounts,
    ) -> Result<(Found, Connection), Refusal> {
        let left = self.host.clock.until(self.end_ms);
        match clock::timeout(left, self.find(counts)).await {
            Ok(found) => found,
            Err(_) => Err(out_of_time(counts)),
        }
    }

    async fn find(&self, counts: &mut SendingCounts) -> Result<(Found, Connection), Refusal> {
        while counts.tried.len() < MAX_TRIED {
            let begun_ms = self.host.now_ms();
            self.check_time(begun_ms, counts)?;
            let found = self.find_upstream(begun_ms, counts).await?;
            self.check_time(self.host.now_ms(), counts)?;
            let Some(mut found) = found else { break };
            let connection = match found.connection.take() {
                Some(connection) => Some(connection),
                None => ask::connect(&self.host, &found.upstream, self.route().idempotency).await,
            };
            if self.host.now_ms().since(begun_ms) > STALE_CHOICE_MS {
                self.check_caller().await;
            }
            match connection {
                Some(connection) if self.may_send(&found) => {
                    if ask::is_trusted(&connection, self.route().idempotency) {
                        return Ok((found, connection));
                    }
                    self.host.pool.borrow_mut().put(&found.upstream, connection);
                }
                connection => {
                    if connection.is_none() {
                        found.held.iter_mut().for_each(PlacementGuard::note_unreachable);
                    }
                    counts.tried.push(found.upstream);
                }
            }
        }
        Err(self.none_found(counts))
    }

    /// Looked at again as a request leaves: what was true when the upstream was chosen may have
    /// changed while the connection was opened.
    fn may_send(&self, found: &Found) -> bool {
        let upstreams = self.host.upstreams.borrow();
        let is_allowed = match found.held {
            // Of the rate its scheduler took account.
            Some(_) => upstreams.remaining_backoff(self.host.now_ms(), &found.upstream).is_none(),
            None => self.host.may_send(&upstreams, &found.upstream),
        };
        upstreams.accepts_requests(&found.upstream) && is_allowed
    }

    fn none_found(&self, counts: &SendingCounts) -> Refusal {
        let upstreams = self.host.upstreams.borrow();
        let free_in_ms = upstreams.next_request_in(self.host.now_ms(), &self.service);
        match (counts.may_have_run() > 0, free_in_ms) {
            (true, _) => Refusal::may_have_run(Cause::UpstreamFailed),
            (false, Some(free_in_ms)) => Refusal::rate_limited(free_in_ms),
            (false, None) if upstreams.is_evacuated(&self.service) => {
                Refusal::not_run(Cause::ZonesEvacuated)
            }
            (false, None) => Refusal::not_run(Cause::NoUpstream),
        }
    }

    /// An idle upstream next door, the scheduler's choice, or the best of those asked; none if
    /// there is none to ask.
    async fn find_upstream(
        &self,
        begun_ms: Millis,
        counts: &SendingCounts,
    ) -> Result<Option<Found>, Refusal> {
        if let Some(neighbour) = self.idle_neighbour(begun_ms, counts).await {
            return Ok(Some(neighbour));
        }
        match self.place(counts).await {
            PlacementResult::Placed(held, placement) => {
                Ok(Some(self.placed(held, placement, begun_ms)))
            }
            PlacementResult::Refused(RefusalCause::NoRoom { retry_after_ms, ahead }) => {
                Err(self.no_room(retry_after_ms, ahead, counts))
            }
            PlacementResult::Refused(RefusalCause::NoUpstream) | PlacementResult::Unanswered => {
                self.ask(begun_ms, counts).await
            }
        }
    }

    /// In calm times a first sending needs no scheduler: its way would be the longest part.
    /// Without it a quiet day was worth 0.881 in place of 0.907 where bytes between zones are dear.
    async fn idle_neighbour(&self, begun_ms: Millis, counts: &SendingCounts) -> Option<Found> {
        if counts.sent > 0 || self.host.placing.is_busy(&self.service, begun_ms) {
            return None;
        }
        let chosen = ask::choose_idle_neighbour(&self.host, &self.service).await?;
        Some(self.chosen(chosen, begun_ms))
    }

    /// Has the scheduler of the own availability zone place it, or where that has no room that
    /// of another one.
    async fn place(&self, counts: &SendingCounts) -> PlacementResult {
        if self.host.is_partial() {
            return PlacementResult::Unanswered;
        }
        let zone = self.host.settings.borrow().availability_zone.clone();
        let cell = {
            let (upstreams, mut rng) = (self.host.upstreams.borrow(), self.host.rng.borrow_mut());
            Cell::for_request(&self.service, &zone, &upstreams, &mut rng)
        };
        let asked_zone = cell.zone.clone();
        let placement = placing::place(&self.host, cell, self.submission(&zone, counts)).await;
        // Its zone has no room, or none that can be reached.
        let has_no_room = matches!(placement, PlacementResult::Refused(_));
        match asked_zone.and_then(|asked| self.other_zone(&asked)) {
            Some(other) if has_no_room => {
                let cell = Cell { service: self.service.clone(), zone: Some(other) };
                placing::place(&self.host, cell, self.submission(&zone, counts)).await
            }
            _ => placement,
        }
    }

    fn other_zone(&self, zone: &ZoneName) -> Option<ZoneName> {
        let (upstreams, mut rng) = (self.host.upstreams.borrow(), self.host.rng.borrow_mut());
        upstreams.draw_other_zone(&self.service, zone, &mut rng)
    }

    fn submission(
        &self,
        zone: &ZoneName,
        counts: &SendingCounts,
    ) -> impl FnOnce(Ticket, Cell) -> Submission {
        let now_ms = self.host.now_ms();
        let route = self.route();
        let (priority, objective_ms) = (route.priority, route.objective_ms);
        let age_ms = now_ms.since(self.request.arrived_ms);
        let left_ms = self.end_ms.since(now_ms);
        let (zone, tried) = (zone.clone(), counts.tried.clone());
        let backing_off = self.host.upstreams.borrow().upstreams_in_backoff(now_ms, &self.service);
        move |ticket, cell| Submission {
            ticket,
            cell,
            zone,
            priority,
            objective_ms,
            age_ms,
            left_ms,
            tried,
            backing_off,
            lends_rate_share: false,
        }
    }

    fn placed(&self, held: PlacementGuard, placement: Placement, sought_ms: Millis) -> Found {
        let Placement { upstream, work, cost, report_age_ms, ahead } = placement;
        let (work, cost) = (f64::from(work), f64::from(cost));
        let by = ChosenBy::Scheduler {
            scheduler: held.scheduler().clone(),
            ticket: held.ticket(),
            ahead,
        };
        let held = Some(held);
        Found { upstream, held, work, cost, report_age_ms, sought_ms, by, connection: None }
    }

    fn no_room(&self, retry_after_ms: Millis, ahead: usize, counts: &SendingCounts) -> Refusal {
        self.host.log.write(&LogEvent::Unplaced { id: &self.id, ahead, retry_after_ms });
        match counts.may_have_run() > 0 {
            true => Refusal::may_have_run(Cause::UpstreamFailed),
            false => Refusal::overloaded(retry_after_ms),
        }
    }

    /// Asks upstreams until one offers to be in time; none if there is none to ask.
    async fn ask(
        &self,
        sought_ms: Millis,
        counts: &SendingCounts,
    ) -> Result<Option<Found>, Refusal> {
        loop {
            let chosen = ask::choose(&self.host, &self.service, &counts.tried).await;
            let now_ms = self.host.now_ms();
            self.check_time(now_ms, counts)?;
            let Some(chosen) = chosen else { return Ok(None) };
            match self.weigh(now_ms, &chosen, counts) {
                Verdict::Send => return Ok(Some(self.chosen(chosen, sought_ms))),
                Verdict::ProbeAgain(pause_ms) => {
                    chosen.put_back(&self.host);
                    clock::sleep(duration(pause_ms)).await;
                }
                Verdict::Refuse => return Err(Refusal::not_run(Cause::Overloaded)),
            }
        }
    }

    fn chosen(&self, chosen: Chosen, sought_ms: Millis) -> Found {
        let Chosen { upstream, connection, work, cost, asked, answered } = chosen;
        let now_ms = self.host.now_ms();
        let upstreams = self.host.upstreams.borrow();
        let report = upstreams.get(&upstream).and_then(|known| known.report(now_ms));
        Found {
            upstream,
            held: None,
            work,
            cost,
            report_age_ms: report.map(|(_, age_ms)| age_ms),
            sought_ms,
            by: ChosenBy::Asking { asked, answered },
            connection,
        }
    }

    /// Only a first sending is kept back: what was sent once has lost its time already.
    fn weigh(&self, now_ms: Millis, chosen: &Chosen, counts: &SendingCounts) -> Verdict {
        if counts.sent > 0 {
            return Verdict::Send;
        }
        let check = DeadlineCheck {
            arrived_ms: self.request.arrived_ms,
            objective_ms: self.route().objective_ms,
            end_ms: self.end_ms,
        };
        let expected_ms = self.host.upstreams.borrow().expected_ms(&self.service, chosen.work);
        let verdict = check.check(now_ms, LatencyEstimate { expected_ms });
        if verdict != Verdict::Send {
            self.host.log.write(&LogEvent::Declined {
                id: &self.id,
                upstream: &chosen.upstream,
                expected_ms,
                asked: chosen.asked,
                answered: chosen.answered,
                objective_left_ms: (check.arrived_ms + check.objective_ms).since(now_ms),
                verdict,
            });
        }
        verdict
    }

    /// After a pause of this process the caller may be gone without our knowing. It never
    /// returns then: the request is withdrawn by whoever reads the caller's connection.
    async fn check_caller(&self) {
        if self.caller.is_gone_now() && !self.progress.runs_on.get() {
            std::future::pending::<()>().await;
        }
    }

    pub(super) fn check_time(&self, now_ms: Millis, counts: &SendingCounts) -> Result<(), Refusal> {
        match now_ms < self.end_ms {
            true => Ok(()),
            false => Err(out_of_time(counts)),
        }
    }
}

fn out_of_time(counts: &SendingCounts) -> Refusal {
    match counts.may_have_run() > 0 {
        true => Refusal::may_have_run(Cause::TimedOut),
        false => Refusal::not_run(Cause::Expired),
    }
}
