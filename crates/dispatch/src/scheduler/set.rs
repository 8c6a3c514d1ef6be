//! All schedulers of a host.

use super::message::{Effect, PlacementMessage, RefusalCause, Requester, Withdrawal};
use super::placement_rates::PlacementRates;
use super::request::{Key, QueuedRequest};
use super::{Cell, QueueFigures, Scheduler};
use crate::subset::FleetSize;
use crate::upstream_set::UpstreamSet;
use domain::{FastMap, HostId, Millis, ServiceName};
use rand_pcg::Pcg64Mcg;

/// Interval at which waiting requests are re-evaluated when no new information arrives.
const SCHEDULE_INTERVAL_MS: Millis = Millis(4);

/// The schedulers of a host by cell, created with a cell's first request and dropped once idle.
#[derive(Debug)]
pub struct SchedulerSet {
    schedulers: FastMap<Cell, Scheduler>,
    rates: PlacementRates,
    is_closed: bool,
}

impl SchedulerSet {
    /// No schedulers yet.
    pub fn new(host: HostId) -> SchedulerSet {
        SchedulerSet {
            schedulers: FastMap::default(),
            rates: PlacementRates::new(host),
            is_closed: false,
        }
    }

    /// Sets the number of hosts; each owns an equal share of fleet-wide rate limits.
    pub fn set_fleet(&mut self, fleet: FleetSize) {
        self.rates.set_fleet(fleet);
    }

    /// Sets for which cells this host is the primary scheduler.
    pub fn set_primary(&mut self, is_primary: impl Fn(&Cell) -> bool) {
        for (cell, scheduler) in &mut self.schedulers {
            scheduler.is_primary = Some(is_primary(cell));
        }
    }

    /// Whether `set_primary` is still due for some cell.
    pub fn has_unknown_primary(&self) -> bool {
        self.schedulers.values().any(|scheduler| scheduler.is_primary.is_none())
    }

    /// Refuses all submissions from now on.
    pub fn stop_accepting(&mut self) {
        self.is_closed = true;
    }

    /// Refuses all requests for a service that wait, as this host reaches none of its upstreams.
    pub fn hand_over(&mut self, service: &ServiceName) -> Vec<Effect> {
        let of_service = self.schedulers.iter_mut().filter(|(cell, _)| cell.service == *service);
        let waiting = of_service.flat_map(|(_, scheduler)| scheduler.take_waiting());
        waiting.map(|request| request.refused(RefusalCause::CutOff)).collect()
    }

    /// Handles a message from a host.
    pub fn handle_message(
        &mut self,
        now_ms: Millis,
        message: PlacementMessage,
        requester: Requester,
        upstreams: &mut UpstreamSet,
        rng: &mut Pcg64Mcg,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        let scheduler = match message {
            PlacementMessage::Submit(submission) if self.is_closed => {
                let (ticket, cause) = (submission.ticket, RefusalCause::NoUpstream);
                let message = PlacementMessage::Refused { ticket, cause };
                return vec![Effect::Send { to: requester, message }];
            }
            PlacementMessage::Submit(submission) => {
                let cell = &submission.cell;
                let new = || Scheduler::new(cell.clone());
                let scheduler = self.schedulers.entry(cell.clone()).or_insert_with(new);
                if submission.lends_rate_share {
                    self.rates.record_lent_share(now_ms, cell, requester);
                }
                if let Some(time) = submission.route_time {
                    upstreams.adopt_route_time(&cell.service, submission.route, time);
                }
                let request = QueuedRequest::new(now_ms, submission, requester);
                if !scheduler.contains(request.key) {
                    effects.extend(scheduler.submit(now_ms, request));
                }
                Some(scheduler)
            }
            PlacementMessage::Ended { ticket, outcome } => {
                let key = Key { requester, ticket };
                let mut scheduler = scheduler_of(&mut self.schedulers, key);
                if let Some(scheduler) = &mut scheduler {
                    scheduler.end(now_ms, key, &outcome, upstreams);
                }
                scheduler
            }
            PlacementMessage::Withdrawn { ticket, withdrawal } => {
                let key = Key { requester, ticket };
                let mut scheduler = scheduler_of(&mut self.schedulers, key);
                if let Some(scheduler) = &mut scheduler {
                    let upstream = scheduler.withdraw(now_ms, key, withdrawal, upstreams);
                    let unreachable =
                        upstream.clone().filter(|_| withdrawal == Withdrawal::Unreachable);
                    if let Some(upstream) = unreachable {
                        effects
                            .push(Effect::LogUnreachable { requester, upstream: upstream.clone() });
                        effects.extend(scheduler.probe_reported(now_ms, upstream));
                    }
                    if let Some(upstream) = upstream.filter(|_| withdrawal != Withdrawal::Sent) {
                        self.rates.budget.refund(&upstream);
                    }
                }
                scheduler
            }
            PlacementMessage::Queued { .. }
            | PlacementMessage::Placed { .. }
            | PlacementMessage::Refused { .. } => None,
        };
        if let Some(scheduler) = scheduler {
            scheduler.schedule(now_ms, upstreams, &mut self.rates, rng, &mut effects);
        }
        effects
    }

    /// Re-evaluates all waiting requests, after new information on upstreams or as time passes.
    pub fn schedule(
        &mut self,
        now_ms: Millis,
        upstreams: &mut UpstreamSet,
        rng: &mut Pcg64Mcg,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        for scheduler in self.schedulers.values_mut() {
            scheduler.schedule(now_ms, upstreams, &mut self.rates, rng, &mut effects);
        }
        self.rates.expire(now_ms, upstreams);
        self.schedulers.retain(|_, scheduler| !scheduler.is_idle());
        effects
    }

    /// When to call `schedule` again; `None` while nothing waits.
    pub fn next_schedule_ms(&self, now_ms: Millis) -> Option<Millis> {
        let has_waiting = |scheduler: &Scheduler| !scheduler.waiting.is_empty();
        self.schedulers.values().any(has_waiting).then_some(now_ms + SCHEDULE_INTERVAL_MS)
    }

    /// What waits in all cells, as last evaluated.
    pub fn queue_figures(&self) -> QueueFigures {
        let sum = |sum: QueueFigures, scheduler: &Scheduler| QueueFigures {
            work_ms: sum.work_ms + scheduler.queue.work_ms,
            reserved_slots: sum.reserved_slots + scheduler.queue.reserved_slots,
        };
        self.schedulers.values().fold(QueueFigures::default(), sum)
    }

    /// Number of waiting requests.
    pub fn waiting_count(&self) -> usize {
        self.schedulers.values().map(|scheduler| scheduler.waiting.len()).sum()
    }
}

fn scheduler_of(schedulers: &mut FastMap<Cell, Scheduler>, key: Key) -> Option<&mut Scheduler> {
    schedulers.values_mut().find(|scheduler| scheduler.contains(key))
}
