//! Selects an upstream for a request, and opens a connection to it.
//!
//! While no requests wait for a placement, an idle upstream of the local zone takes the request.
//! Otherwise the scheduler of its service places it; if no scheduler answers, this host probes
//! upstreams itself and takes the best one.

use super::RoutedRequest;
use super::attempt::AttemptCounts;
use super::time_left::deadline_refusal;
use crate::connection::Connection;
use crate::event_log::{ChosenBy, LogEvent};
use crate::host::to_duration;
use crate::links;
use crate::placement::{self, PlacementGuard, PlacementResult};
use crate::probe::{self, Chosen};
use dispatch::attempts::{Cause, Refusal};
use dispatch::scheduler::{Cell, Placement, RefusalCause, Submission, Ticket};
use dispatch::{DeadlineCheck, LatencyEstimate, ProbeFailure, Verdict};
use domain::{HostId, Millis, UpstreamId, ZoneName};
use published::Organisation;

/// If selecting and connecting took longer than this, the caller's connection is checked again.
const STALE_SELECTION_MS: Millis = Millis(40);

/// Most upstreams that are tried for one request.
const MAX_TRIED: usize = 8;

/// An upstream that was selected for a request.
#[derive(Debug)]
pub(super) struct Selected {
    pub(super) upstream: UpstreamId,
    /// The placement, if a scheduler made it.
    pub(super) placement: Option<PlacementGuard>,
    /// Expected duration, as a multiple of the service's average.
    pub(super) work: f64,
    /// Cost by which it was compared with others.
    pub(super) cost: f64,
    /// Age of its last load report.
    pub(super) report_age_ms: Option<Millis>,
    /// When the selection began.
    pub(super) begun_ms: Millis,
    /// What chose it.
    pub(super) by: ChosenBy,
    /// The connection on which it answered a probe, if it was probed.
    connection: Option<Connection>,
}

impl RoutedRequest {
    /// Selects an upstream and connects to it; refuses if there is none or no time left.
    pub(super) async fn select_in_time(
        &self,
        counts: &mut AttemptCounts,
    ) -> Result<(Selected, Connection), Refusal> {
        let left = self.host.clock.time_until(self.end_ms);
        match clock::timeout(left, self.select(counts)).await {
            Ok(selected) => selected,
            Err(_) => Err(deadline_refusal(counts)),
        }
    }

    async fn select(&self, counts: &mut AttemptCounts) -> Result<(Selected, Connection), Refusal> {
        while counts.tried.len() < MAX_TRIED {
            let begun_ms = self.host.now_ms();
            self.check_time(begun_ms, counts)?;
            if links::have_no_path(&self.host, &self.service) {
                break;
            }
            let selected = self.select_upstream(begun_ms, counts).await?;
            self.check_time(self.host.now_ms(), counts)?;
            let Some(mut selected) = selected else { break };
            let probed = selected.connection.take();
            let connection = match probed.filter(|it| it.suits(self.route().idempotency)) {
                Some(connection) => Ok(connection),
                None => {
                    probe::connect(&self.host, &selected.upstream, self.route().idempotency).await
                }
            };
            if self.host.now_ms().since(begun_ms) > STALE_SELECTION_MS {
                self.check_caller().await;
            }
            match connection {
                Ok(connection) if self.may_send(&selected) => {
                    if probe::is_trusted(&connection, self.route().idempotency) {
                        return Ok((selected, connection));
                    }
                    self.host.pool.borrow_mut().put(&selected.upstream, connection);
                }
                connection => {
                    // Without a path, this host knows nothing of the upstream.
                    if connection.is_err_and(|failure| failure != ProbeFailure::NoPath) {
                        selected.placement.iter_mut().for_each(PlacementGuard::record_unreachable);
                    }
                    counts.tried.push(selected.upstream);
                }
            }
        }
        Err(self.no_upstream_refusal(counts))
    }

    /// Checks again right before sending: the upstream's state may have changed while the
    /// connection was opened.
    fn may_send(&self, selected: &Selected) -> bool {
        let upstreams = self.host.upstreams.borrow();
        let is_allowed = match selected.placement {
            // The scheduler has already counted the request against the upstream's rate limit.
            Some(_) => {
                upstreams.remaining_backoff(self.host.now_ms(), &selected.upstream).is_none()
            }
            None => self.host.may_send(&upstreams, &selected.upstream),
        };
        upstreams.accepts_requests(&selected.upstream) && is_allowed
    }

    fn no_upstream_refusal(&self, counts: &AttemptCounts) -> Refusal {
        let free_in_ms = self.host.next_request_in(&self.service);
        let upstreams = self.host.upstreams.borrow();
        match (counts.may_have_run() > 0, free_in_ms) {
            (true, _) => Refusal::may_have_run(Cause::UpstreamFailed),
            (false, _) if links::are_down(&self.host, &self.service) => {
                Refusal::no_path(links::RECHECK_INTERVAL_MS)
            }
            (false, Some(free_in_ms)) => Refusal::rate_limited(free_in_ms),
            (false, None) if upstreams.is_evacuated(&self.service) => {
                Refusal::not_run(Cause::ZonesEvacuated)
            }
            (false, None) => Refusal::not_run(Cause::NoUpstream),
        }
    }

    /// Returns an idle upstream of the local zone, the scheduler's choice, or the best of those
    /// probed; none if there is none to probe.
    async fn select_upstream(
        &self,
        begun_ms: Millis,
        counts: &AttemptCounts,
    ) -> Result<Option<Selected>, Refusal> {
        if let Some(local) = self.find_idle_local(begun_ms, counts).await {
            return Ok(Some(local));
        }
        match self.place(counts).await {
            PlacementResult::Placed(guard, placement) => {
                Ok(Some(self.selected_by_scheduler(guard, placement, begun_ms)))
            }
            PlacementResult::Refused {
                scheduler,
                cause: RefusalCause::NoRoom { retry_after_ms, ahead },
            } => Err(self.no_capacity_refusal(&scheduler, retry_after_ms, ahead, counts)),
            PlacementResult::Refused {
                cause: RefusalCause::NoUpstream | RefusalCause::CutOff,
                ..
            }
            | PlacementResult::Unanswered => self.probe(begun_ms, counts).await,
        }
    }

    /// Finds an idle upstream of the local zone. Only a first attempt skips the scheduler, and only
    /// while no requests wait: the round trip would be most of the delay, and may cross zones.
    async fn find_idle_local(&self, begun_ms: Millis, counts: &AttemptCounts) -> Option<Selected> {
        if counts.sent > 0 || self.host.placement.is_busy(&self.service, begun_ms) {
            return None;
        }
        let chosen = probe::choose_idle_local(&self.host, self.probe_purpose()).await?;
        Some(self.selected_by_probe(chosen, begun_ms))
    }

    /// Has the scheduler of the local availability zone place the request, or that of another
    /// zone if the local one has no capacity.
    async fn place(&self, counts: &AttemptCounts) -> PlacementResult {
        if self.host.is_partial() {
            return PlacementResult::Unanswered;
        }
        let zone = self.host.settings.borrow().availability_zone.clone();
        let cell = {
            let (upstreams, mut rng) = (self.host.upstreams.borrow(), self.host.rng.borrow_mut());
            Cell::for_request(&self.service, &zone, &upstreams, &mut rng)
        };
        let first_zone = cell.zone.clone();
        let result = placement::place(&self.host, cell, self.submission(&zone, counts)).await;
        // The zone has no capacity, or no upstream that can be reached.
        let is_refused = matches!(result, PlacementResult::Refused { .. });
        match first_zone.and_then(|first| self.other_zone(&first)) {
            Some(other) if is_refused => {
                let cell = Cell { service: self.service.clone(), zone: Some(other) };
                placement::place(&self.host, cell, self.submission(&zone, counts)).await
            }
            _ => result,
        }
    }

    /// What upstreams are probed for.
    fn probe_purpose(&self) -> probe::ProbePurpose<'_> {
        probe::ProbePurpose { service: &self.service, route: self.route_key }
    }

    fn other_zone(&self, zone: &ZoneName) -> Option<ZoneName> {
        let (upstreams, mut rng) = (self.host.upstreams.borrow(), self.host.rng.borrow_mut());
        upstreams.draw_other_zone(&self.service, zone, &mut rng)
    }

    fn submission(
        &self,
        zone: &ZoneName,
        counts: &AttemptCounts,
    ) -> impl Fn(Ticket, Cell) -> Submission {
        let now_ms = self.host.now_ms();
        let route = self.route();
        let objective_ms = route.objective_ms;
        let priority = Organisation::priority_of(self.organisation.as_deref(), route.priority);
        let age_ms = now_ms.since(self.request.arrived_ms);
        let left_ms = self.end_ms.since(now_ms);
        let (zone, tried) = (zone.clone(), counts.tried.clone());
        let upstreams = self.host.upstreams.borrow();
        let backing_off = upstreams.upstreams_in_backoff(now_ms, &self.service);
        let route = self.route_key;
        let route_time = upstreams.route_time(&self.service, route);
        move |ticket, cell| Submission {
            ticket,
            cell,
            zone: zone.clone(),
            route,
            route_time,
            priority,
            objective_ms,
            age_ms,
            left_ms,
            tried: tried.clone(),
            backing_off: backing_off.clone(),
            lends_rate_share: false,
        }
    }

    fn selected_by_scheduler(
        &self,
        guard: PlacementGuard,
        placement: Placement,
        begun_ms: Millis,
    ) -> Selected {
        let Placement { upstream, work, cost, report_age_ms, ahead } = placement;
        let (work, cost) = (f64::from(work), f64::from(cost));
        let by = ChosenBy::Scheduler {
            scheduler: guard.scheduler().clone(),
            ticket: guard.ticket(),
            ahead,
        };
        let placement = Some(guard);
        Selected { upstream, placement, work, cost, report_age_ms, begun_ms, by, connection: None }
    }

    fn no_capacity_refusal(
        &self,
        scheduler: &HostId,
        retry_after_ms: Millis,
        ahead: usize,
        counts: &AttemptCounts,
    ) -> Refusal {
        let upstreams = self.host.upstreams.borrow();
        let route_time = upstreams.route_time(&self.service, self.route_key);
        self.host.log.write(&LogEvent::Unplaced {
            id: &self.id,
            scheduler,
            ahead,
            retry_after_ms,
            service_time_ms: upstreams.expected_ms(&self.service, self.route_key, 1.0),
            samples: route_time.map(|time| time.samples),
        });
        match counts.may_have_run() > 0 {
            true => Refusal::may_have_run(Cause::UpstreamFailed),
            false => Refusal::overloaded(retry_after_ms),
        }
    }

    /// Probes upstreams until one is expected to respond in time; none if there is none to probe.
    async fn probe(
        &self,
        begun_ms: Millis,
        counts: &AttemptCounts,
    ) -> Result<Option<Selected>, Refusal> {
        loop {
            let chosen = probe::choose(&self.host, self.probe_purpose(), &counts.tried).await;
            let now_ms = self.host.now_ms();
            self.check_time(now_ms, counts)?;
            let Some(chosen) = chosen else { return Ok(None) };
            match self.check_deadline(now_ms, &chosen, counts) {
                Verdict::Send => return Ok(Some(self.selected_by_probe(chosen, begun_ms))),
                Verdict::ProbeAgain(pause_ms) => {
                    chosen.put_back(&self.host);
                    clock::sleep(to_duration(pause_ms)).await;
                }
                Verdict::Refuse => {
                    return Err(self.adapt_retry_after(Refusal::not_run(Cause::Overloaded)));
                }
            }
        }
    }

    fn selected_by_probe(&self, chosen: Chosen, begun_ms: Millis) -> Selected {
        let Chosen { upstream, connection, work, cost, probe_count, response_count } = chosen;
        let now_ms = self.host.now_ms();
        let upstreams = self.host.upstreams.borrow();
        let report = upstreams.get(&upstream).and_then(|known| known.report(now_ms));
        Selected {
            upstream,
            placement: None,
            work,
            cost,
            report_age_ms: report.map(|(_, age_ms)| age_ms),
            begun_ms,
            by: ChosenBy::Asking { asked: probe_count, answered: response_count },
            connection,
        }
    }

    /// Checks whether the upstream is expected to respond in time. Only a first attempt may be
    /// delayed or refused: a retry has already lost time.
    fn check_deadline(&self, now_ms: Millis, chosen: &Chosen, counts: &AttemptCounts) -> Verdict {
        if counts.sent > 0 {
            return Verdict::Send;
        }
        let check = DeadlineCheck {
            arrived_ms: self.request.arrived_ms,
            objective_ms: self.route().objective_ms,
            end_ms: self.end_ms,
        };
        let expected_ms =
            self.host.upstreams.borrow().expected_ms(&self.service, self.route_key, chosen.work);
        let verdict = check.check(now_ms, LatencyEstimate { expected_ms });
        if verdict != Verdict::Send {
            self.host.log.write(&LogEvent::Declined {
                id: &self.id,
                upstream: &chosen.upstream,
                expected_ms,
                asked: chosen.probe_count,
                answered: chosen.response_count,
                objective_left_ms: (check.arrived_ms + check.objective_ms).since(now_ms),
                verdict,
            });
        }
        verdict
    }

    /// Checks whether the caller disconnected unnoticed while this process was suspended. If so, it
    /// never returns: the task that reads the caller's connection cancels the request.
    async fn check_caller(&self) {
        if self.caller.is_gone_now() && !self.progress.continues_without_caller.get() {
            std::future::pending::<()>().await;
        }
    }
}
