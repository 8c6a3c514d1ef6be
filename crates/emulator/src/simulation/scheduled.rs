//! The host that schedules: the load balancer's real scheduler, with emulated messages and probes.

use super::{Event, RequestState, SCHEDULER_TIMEOUT_MS, Simulation, request_index};
use crate::site::Site;
use dispatch::backpressure::Backpressure;
use dispatch::scheduler::{
    Cell, Effect, Outcome, PlacementMessage, RefusalCause, Requester, SchedulerSet, Submission,
    Ticket, Withdrawal,
};
use dispatch::{AttemptFailure, LoadReport, RouteKey, UpstreamSet};
use domain::{Millis, Slots, UpstreamId, ZoneName};
use published::{Entry, Evacuations, Revision, RunStart, Upstream, UpstreamMode};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// Time that an upstream takes to answer a probe.
const PROBE_SERVICE_MS: f64 = 1.0;

/// The host that schedules.
pub(super) struct SchedulingHost {
    schedulers: SchedulerSet,
    upstreams: UpstreamSet,
    rng: Pcg64Mcg,
    /// Ids of the upstreams, by index.
    ids: Vec<UpstreamId>,
    cell: Cell,
    /// Whether the timeline contains `Event::SchedulingDue`.
    is_scheduling_due: bool,
}

impl SchedulingHost {
    pub(super) fn new(site: &Site, seed: u64) -> SchedulingHost {
        let entries: Vec<Entry<Arc<Upstream>>> = (0..site.upstreams)
            .map(|number| Entry {
                revision: Revision(1),
                value: Arc::new(upstream_entry(site, number)),
            })
            .collect();
        let ids = entries.iter().map(|entry| entry.value.id.clone()).collect();
        let cell = Cell { service: parse_name("service"), zone: None };
        let mut upstreams = UpstreamSet::new(parse_name("host-0"), zone_name(site, 0));
        upstreams.sync(Millis::ZERO, entries.iter(), &Evacuations::default());
        SchedulingHost {
            schedulers: SchedulerSet::new(parse_name("host-0")),
            upstreams,
            rng: Pcg64Mcg::seed_from_u64(seed.wrapping_add(1)),
            ids,
            cell,
            is_scheduling_due: false,
        }
    }

    fn index(&self, id: &UpstreamId) -> Option<usize> {
        self.ids.iter().position(|other| other == id)
    }
}

/// Parses a name; those of the simulation are valid for every type of name.
fn parse_name<N: std::str::FromStr>(text: &str) -> N {
    text.parse().unwrap_or_else(|_| unreachable!("{text} is a valid name"))
}

fn zone_name(site: &Site, number: u32) -> ZoneName {
    parse_name(&format!("zone-{}", number % site.zones.max(1)))
}

fn upstream_entry(site: &Site, number: u32) -> Upstream {
    Upstream {
        id: parse_name(&format!("upstream-{number}")),
        service: parse_name("service"),
        address: SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 80),
        availability_zone: zone_name(site, number),
        slots: Slots(site.work.slots),
        mode: UpstreamMode::Ready,
        warmup_left_ms: Millis::ZERO,
        run: RunStart::default(),
    }
}

impl Simulation<'_> {
    /// Submits a request to the scheduler.
    pub(super) fn submit(&mut self, request: usize) {
        let now_ms = self.now();
        let submitted = &self.requests[request];
        let submission = Submission {
            ticket: Ticket(request as u64),
            cell: self.scheduler.cell.clone(),
            zone: zone_name(self.site, submitted.host),
            route: RouteKey::ONLY,
            route_time: None,
            priority: 0,
            objective_ms: Millis(self.site.objective_ms as u64),
            age_ms: now_ms.since(Millis(submitted.started_ms as u64)),
            left_ms: Millis((submitted.deadline_ms - self.now_ms).max(0.0) as u64),
            tried: Vec::new(),
            backing_off: Vec::new(),
            lends_rate_share: true,
        };
        let host = submitted.host;
        self.timeline.add(self.now_ms + SCHEDULER_TIMEOUT_MS, Event::SchedulerTimeout { request });
        self.send_to_scheduler(host, PlacementMessage::Submit(submission));
    }

    fn now(&self) -> Millis {
        Millis(self.now_ms as u64)
    }

    fn send_to_scheduler(&mut self, host: u32, message: PlacementMessage) {
        let delay_ms = self.delay_ms(host, 0);
        self.transmit(delay_ms, Event::MessageToScheduler(message));
    }

    /// Sends a message between hosts, which may be lost.
    fn transmit(&mut self, delay_ms: f64, event: Event) {
        self.figures.messages += 1;
        if !self.rng.random_bool(self.site.loss_rate.clamp(0.0, 1.0)) {
            self.timeline.add(self.now_ms + delay_ms, event);
        }
    }

    pub(super) fn handle_scheduler_message(&mut self, message: PlacementMessage) {
        let now_ms = self.now();
        let SchedulingHost { schedulers, upstreams, rng, .. } = &mut self.scheduler;
        let effects =
            schedulers.handle_message(now_ms, message, Requester::OwnHost, upstreams, rng);
        self.apply_effects(effects);
    }

    pub(super) fn handle_scheduling_due(&mut self) {
        self.scheduler.is_scheduling_due = false;
        self.schedule();
    }

    fn schedule(&mut self) {
        let now_ms = self.now();
        let SchedulingHost { schedulers, upstreams, rng, .. } = &mut self.scheduler;
        let effects = schedulers.schedule(now_ms, upstreams, rng);
        self.apply_effects(effects);
    }

    pub(super) fn handle_probe_response(&mut self, upstream: usize, report: LoadReport) {
        let now_ms = self.now();
        let id = self.scheduler.ids[upstream].clone();
        self.scheduler.upstreams.record_report(now_ms, (&id, RunStart::default()), report);
        self.schedule();
    }

    fn apply_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { message, .. } => {
                    let Some(request) = ticket_of(&message).map(request_index) else { continue };
                    let delay_ms = self.delay_ms(0, self.requests[request].host);
                    self.transmit(delay_ms, Event::MessageToHost(message));
                }
                // Hosts of a simulated site reach all upstreams.
                Effect::LogUnreachable { .. } => {}
                Effect::Probe(id) => {
                    let Some(upstream) = self.scheduler.index(&id) else { continue };
                    self.figures.probes += 1;
                    let delay_ms = self.delay_to_upstream_ms(0, upstream) + PROBE_SERVICE_MS;
                    let arrival = Event::ProbeAtUpstream { upstream };
                    self.timeline.add(self.now_ms + delay_ms, arrival);
                }
            }
        }
        let next_ms = self.scheduler.schedulers.next_schedule_ms(self.now());
        if let Some(next_ms) = next_ms.filter(|_| !self.scheduler.is_scheduling_due) {
            self.scheduler.is_scheduling_due = true;
            self.timeline.add(next_ms.as_f64().max(self.now_ms), Event::SchedulingDue);
        }
    }

    pub(super) fn handle_host_message(&mut self, message: PlacementMessage) {
        let Some(ticket) = ticket_of(&message) else { return };
        let request = request_index(ticket);
        let is_pending = matches!(
            self.requests[request].state,
            RequestState::Unacknowledged | RequestState::Queued
        );
        match message {
            PlacementMessage::Queued { .. } if is_pending => {
                self.requests[request].state = RequestState::Queued;
            }
            PlacementMessage::Placed { placement, .. } if is_pending => {
                if let Some(upstream) = self.scheduler.index(&placement.upstream) {
                    self.send_request(request, upstream, true);
                }
            }
            PlacementMessage::Refused { cause, .. } if is_pending => {
                let delay_ms = match cause {
                    RefusalCause::NoRoom { retry_after_ms, .. } => retry_after_ms.as_f64(),
                    RefusalCause::NoUpstream | RefusalCause::CutOff => {
                        super::DEFAULT_RETRY_DELAY_MS
                    }
                };
                self.refuse(request, delay_ms);
            }
            _ => {}
        }
    }

    /// Withdraws the request and sends it to an upstream that the host chooses itself.
    pub(super) fn handle_scheduler_timeout(&mut self, request: usize) {
        if self.requests[request].state != RequestState::Unacknowledged {
            return;
        }
        let host = self.requests[request].host;
        let ticket = Ticket(request as u64);
        self.send_to_scheduler(
            host,
            PlacementMessage::Withdrawn { ticket, withdrawal: Withdrawal::NotSent },
        );
        let upstream = self.less_loaded_of_two();
        self.send_request(request, upstream, false);
    }

    /// Reports to the scheduler how a request that it placed ended.
    pub(super) fn report_outcome(&mut self, request: usize, failure: Option<AttemptFailure>) {
        let ended = &self.requests[request];
        let RequestState::Sent { upstream, sent_ms, is_placed: true } = ended.state else { return };
        let mut report = self.upstreams[upstream].report();
        // The load in a response still counts the request that it answers.
        report.running += 1;
        let report = failure.is_none().then_some(report);
        let took_ms = Millis((self.now_ms - sent_ms) as u64);
        let outcome = Outcome { failure, took_ms, report, backpressure: Backpressure::default() };
        let (host, ticket) = (ended.host, Ticket(request as u64));
        self.send_to_scheduler(host, PlacementMessage::Ended { ticket, outcome });
    }
}

fn ticket_of(message: &PlacementMessage) -> Option<Ticket> {
    match message {
        PlacementMessage::Queued { ticket }
        | PlacementMessage::Placed { ticket, .. }
        | PlacementMessage::Refused { ticket, .. } => Some(*ticket),
        PlacementMessage::Submit(_)
        | PlacementMessage::Ended { .. }
        | PlacementMessage::Withdrawn { .. } => None,
    }
}
