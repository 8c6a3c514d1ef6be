//! The product's scheduler in a play: real decisions, emulated messages.

use super::{Event, FIRST_WORD_MS, Simulation, State, request_of};
use crate::site::Site;
use dispatch::backpressure::Backpressure;
use dispatch::scheduler::{
    Cell, Effect, Outcome, PlacementMessage, RefusalCause, Requester, SchedulerSet, Submission,
    Ticket, Withdrawal,
};
use dispatch::{AttemptFailure, LoadReport, UpstreamSet};
use domain::{Millis, Slots, UpstreamId, ZoneName};
use published::{Entry, Evacuations, Revision, RunStart, Upstream, UpstreamMode};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// Time that an upstream takes to answer a question.
const ANSWER_MS: f64 = 1.0;

/// The host that schedules.
pub(super) struct SchedulingHost {
    schedulers: SchedulerSet,
    upstreams: UpstreamSet,
    rng: Pcg64Mcg,
    ids: Vec<UpstreamId>,
    cell: Cell,
    is_turn_due: bool,
}

impl SchedulingHost {
    pub(super) fn new(site: &Site, seed: u64) -> SchedulingHost {
        let entries: Vec<Entry<Arc<Upstream>>> = (0..site.upstreams)
            .map(|number| Entry { revision: Revision(1), value: Arc::new(entry(site, number)) })
            .collect();
        let ids = entries.iter().map(|entry| entry.value.id.clone()).collect();
        let cell = Cell { service: name("service"), zone: None };
        let mut upstreams = UpstreamSet::new(name("host-0"), zone(site, 0));
        upstreams.sync(Millis::ZERO, entries.iter(), &Evacuations::default());
        SchedulingHost {
            schedulers: SchedulerSet::new(name("host-0")),
            upstreams,
            rng: Pcg64Mcg::seed_from_u64(seed.wrapping_add(1)),
            ids,
            cell,
            is_turn_due: false,
        }
    }

    fn index(&self, id: &UpstreamId) -> Option<usize> {
        self.ids.iter().position(|other| other == id)
    }
}

/// Names of the play are short printable words, which every kind of name takes.
fn name<N: std::str::FromStr>(text: &str) -> N {
    text.parse().unwrap_or_else(|_| unreachable!("{text} is a name"))
}

fn zone(site: &Site, number: u32) -> ZoneName {
    name(&format!("zone-{}", number % site.zones.max(1)))
}

fn entry(site: &Site, number: u32) -> Upstream {
    Upstream {
        id: name(&format!("upstream-{number}")),
        service: name("service"),
        address: SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 80),
        availability_zone: zone(site, number),
        slots: Slots(site.work.slots),
        mode: UpstreamMode::Ready,
        warmup_left_ms: Millis::ZERO,
        run: RunStart::default(),
    }
}

impl Simulation<'_> {
    pub(super) fn submit(&mut self, request: usize) {
        let now_ms = self.now();
        let taken = &self.requests[request];
        let submission = Submission {
            ticket: Ticket(request as u64),
            cell: self.scheduler.cell.clone(),
            zone: zone(self.site, taken.host),
            priority: 0,
            objective_ms: Millis(self.site.objective_ms as u64),
            age_ms: now_ms.since(Millis(taken.begun_ms as u64)),
            left_ms: Millis((taken.leaves_ms - self.now_ms).max(0.0) as u64),
            tried: Vec::new(),
            backing_off: Vec::new(),
            lends_rate_share: true,
        };
        let host = taken.host;
        self.timeline.add(self.now_ms + FIRST_WORD_MS, Event::Unheard { request });
        self.tell_scheduler(host, PlacementMessage::Submit(submission));
    }

    fn now(&self) -> Millis {
        Millis(self.now_ms as u64)
    }

    fn tell_scheduler(&mut self, host: u32, message: PlacementMessage) {
        let way_ms = self.way_ms(host, 0);
        self.carry(way_ms, Event::AtScheduler(message));
    }

    fn carry(&mut self, way_ms: f64, event: Event) {
        self.figures.messages += 1;
        if !self.rng.random_bool(self.site.loss_rate.clamp(0.0, 1.0)) {
            self.timeline.add(self.now_ms + way_ms, event);
        }
    }

    pub(super) fn at_scheduler(&mut self, message: PlacementMessage) {
        let now_ms = self.now();
        let SchedulingHost { schedulers, upstreams, rng, .. } = &mut self.scheduler;
        let effects =
            schedulers.handle_message(now_ms, message, Requester::OwnHost, upstreams, rng);
        self.carry_out(effects);
    }

    pub(super) fn turn_when_due(&mut self) {
        self.scheduler.is_turn_due = false;
        self.turn();
    }

    fn turn(&mut self) {
        let now_ms = self.now();
        let SchedulingHost { schedulers, upstreams, rng, .. } = &mut self.scheduler;
        let effects = schedulers.schedule(now_ms, upstreams, rng);
        self.carry_out(effects);
    }

    pub(super) fn told(&mut self, upstream: usize, report: LoadReport) {
        let now_ms = self.now();
        let id = self.scheduler.ids[upstream].clone();
        self.scheduler.upstreams.record_report(now_ms, (&id, RunStart::default()), report);
        self.turn();
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { message, .. } => {
                    let Some(request) = ticket_of(&message).map(request_of) else { continue };
                    let way_ms = self.way_ms(0, self.requests[request].host);
                    self.carry(way_ms, Event::AtHost(message));
                }
                Effect::Probe(id) => {
                    let Some(upstream) = self.scheduler.index(&id) else { continue };
                    self.figures.probes += 1;
                    let way_ms = self.way_to_upstream_ms(0, upstream) + ANSWER_MS;
                    let asked = Event::AskedUpstream { upstream };
                    self.timeline.add(self.now_ms + way_ms, asked);
                }
            }
        }
        let next_ms = self.scheduler.schedulers.next_schedule_ms(self.now());
        if let Some(next_ms) = next_ms.filter(|_| !self.scheduler.is_turn_due) {
            self.scheduler.is_turn_due = true;
            self.timeline.add(next_ms.as_f64().max(self.now_ms), Event::Turn);
        }
    }

    pub(super) fn at_host(&mut self, message: PlacementMessage) {
        let Some(ticket) = ticket_of(&message) else { return };
        let request = request_of(ticket);
        let is_open = matches!(self.requests[request].state, State::Unheard | State::Waiting);
        match message {
            PlacementMessage::Queued { .. } if is_open => {
                self.requests[request].state = State::Waiting;
            }
            PlacementMessage::Placed { placement, .. } if is_open => {
                if let Some(upstream) = self.scheduler.index(&placement.upstream) {
                    self.send(request, upstream, true);
                }
            }
            PlacementMessage::Refused { cause, .. } if is_open => {
                let away_ms = match cause {
                    RefusalCause::NoRoom { retry_after_ms, .. } => retry_after_ms.as_f64(),
                    RefusalCause::NoUpstream => super::USUAL_AWAY_MS,
                };
                self.refuse(request, away_ms);
            }
            _ => {}
        }
    }

    pub(super) fn give_up_on_scheduler(&mut self, request: usize) {
        if self.requests[request].state != State::Unheard {
            return;
        }
        let host = self.requests[request].host;
        let ticket = Ticket(request as u64);
        self.tell_scheduler(
            host,
            PlacementMessage::Withdrawn { ticket, withdrawal: Withdrawal::NotSent },
        );
        let upstream = self.emptier_of_two();
        self.send(request, upstream, false);
    }

    /// Tells the scheduler how a request that it placed ended.
    pub(super) fn note_end(&mut self, request: usize, failure: Option<AttemptFailure>) {
        let taken = &self.requests[request];
        let State::At { upstream, sent_ms, is_placed: true } = taken.state else { return };
        let mut report = self.upstreams[upstream].report();
        // An answer's load counts the request that is answered.
        report.running += 1;
        let report = failure.is_none().then_some(report);
        let took_ms = Millis((self.now_ms - sent_ms) as u64);
        let outcome = Outcome { failure, took_ms, report, backpressure: Backpressure::default() };
        let (host, ticket) = (taken.host, Ticket(request as u64));
        self.tell_scheduler(host, PlacementMessage::Ended { ticket, outcome });
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
