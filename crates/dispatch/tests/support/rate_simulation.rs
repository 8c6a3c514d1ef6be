//! Simulates a fleet in virtual time whose upstreams are rate-limited, leaving or refusing: real
//! schedulers, directories and rate limiters; messages that are lost, duplicated or cut off.

mod host;
mod responses;

use super::submission;
use dispatch::backpressure::BackpressureUpdate;
use dispatch::scheduler::{
    Cell, Directory, Effect, Outcome, PlacementMessage, Requester, Submission, Ticket, Withdrawal,
};
use dispatch::{AttemptFailure, LoadReport, ZoneScope};
use domain::{FastMap, FastSet, Millis, ServiceName, Slots, UpstreamId, ZoneName};
use host::{Host, known_fleet, requester, upstream_entry};
use published::{Member, RunStart};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

const STEP_MS: u64 = 2;
const LATENCY_MS: u64 = 2;
/// Updates are broadcast again after these times; digests are exchanged at this interval.
const REBROADCAST_MS: [u64; 2] = [100, 300];
const RESTART_MS: u64 = 400;
/// Peers from which a starting host requests updates; one of them may have just started, too.
const PEERS_AFTER_START: usize = 3;
const JOIN_MS: u64 = 3 * LATENCY_MS;
const DIGEST_INTERVAL_MS: u64 = 500;
/// Time after which a host stops waiting for a scheduler's first message.
const SCHEDULER_TIMEOUT_MS: u64 = 25;
/// Time that an upstream takes to refuse a request.
const REFUSAL_MS: u64 = 2;
const SLOTS: u32 = 2;
const ZONES: usize = 3;
/// Upstreams stay cold for this long after the end.
const COLD_MARGIN_MS: Millis = Millis(1_000);

/// Why upstreams are limited.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitReason {
    /// All are cold, from the start to beyond the end.
    Cold,
    /// Their responses state a limit in this period.
    Limited { from_ms: u64, until_ms: u64 },
    /// They have no limit; every third announces from `from_ms` on that it is leaving.
    Leaving { from_ms: u64 },
    /// They have no limit; every third refuses all requests from `from_ms` on, and asks the
    /// sending host to back off.
    Refusing { from_ms: u64, backoff_ms: u64 },
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    Nothing,
    /// One message in five is lost, one in five duplicated.
    Lossy,
    /// Each host whose number this divides reaches only itself.
    CutOff {
        every: usize,
    },
    /// There is no scheduler: each host sends by itself, from its own share.
    NoScheduler,
    /// Two halves of the fleet don't reach each other.
    Split,
    /// All hosts have just started, and know no other.
    JustStarted,
    /// The scheduling host is killed at this interval, and soon restarts with no state.
    SchedulersKilled {
        each_ms: u64,
    },
}

#[derive(Debug, Clone)]
pub struct Scenario {
    pub hosts: usize,
    pub upstreams: usize,
    pub rate: f64,
    pub limit_reason: LimitReason,
    pub duration_ms: u64,
    /// Time that an upstream works on a request.
    pub service_time_ms: u64,
    /// Requests a second of all hosts, relative to the upstreams' total rate.
    pub demand: f64,
    pub fault: Fault,
    pub seed: u64,
}

enum Event {
    ToScheduler { to: usize, from: usize, message: PlacementMessage },
    ToHost { to: usize, message: PlacementMessage },
    Probed { by: usize, run: u64, upstream: UpstreamId },
    SchedulerTimeout { host: usize, ticket: u64 },
    Completed { upstream: UpstreamId, host: usize, placed: Option<(usize, Ticket)> },
    Updates { to: usize, updates: Vec<BackpressureUpdate> },
    Rebroadcast { host: usize, updates: Vec<BackpressureUpdate>, age_ms: Millis },
    RequestUpdates { host: usize },
}

/// Arrival times of requests, by upstream.
pub type Arrivals = FastMap<UpstreamId, Vec<u64>>;

/// Requests that one upstream received, and when hosts learned what it states.
#[derive(Debug, Clone, Default)]
pub struct Received {
    /// When, and from which host.
    pub arrivals: Vec<(u64, usize)>,
    /// When each host first received a response that stated anything.
    pub stated_ms: FastMap<usize, u64>,
}

pub struct Simulation {
    scenario: Scenario,
    now_ms: u64,
    hosts: Vec<Host>,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    rng: Pcg64Mcg,
    /// The scheduler of each request that waits for its first message, by host and ticket.
    awaiting: FastMap<(usize, u64), usize>,
    /// Those that the scheduler reported as queued.
    queued: FastSet<(usize, u64)>,
    running: FastMap<UpstreamId, u32>,
    received: FastMap<UpstreamId, Received>,
    cell: Cell,
}

fn zone(number: usize) -> ZoneName {
    format!("zone-{}", number % ZONES).parse().unwrap()
}

fn service() -> ServiceName {
    "parts".parse().unwrap()
}

impl Simulation {
    /// Runs the simulation; returns the arrival times at each upstream.
    pub fn run(scenario: &Scenario) -> Arrivals {
        let times =
            |received: Received| received.arrivals.iter().map(|&(at_ms, _)| at_ms).collect();
        Simulation::run_with_sources(scenario)
            .into_iter()
            .map(|(id, received)| (id, times(received)))
            .collect()
    }

    /// Runs the simulation; returns the arrivals at each upstream with their senders.
    pub fn run_with_sources(scenario: &Scenario) -> FastMap<UpstreamId, Received> {
        let mut simulation = Simulation::new(scenario.clone());
        while simulation.now_ms < scenario.duration_ms {
            simulation.now_ms += STEP_MS;
            simulation.inject_fault();
            simulation.exchange_digests();
            simulation.generate_requests();
            simulation.handle_due_events();
            for at in 0..simulation.hosts.len() {
                simulation.run_schedulers(at);
            }
        }
        simulation.received
    }

    fn new(scenario: Scenario) -> Simulation {
        let entries: Vec<_> =
            (0..scenario.upstreams).map(|number| upstream_entry(number, &scenario)).collect();
        let hosts =
            (0..scenario.hosts).map(|number| Host::new(number, &scenario, &entries)).collect();
        let ids = entries.iter().map(|entry| entry.value.id.clone());
        Simulation {
            now_ms: 0,
            hosts,
            events: BTreeMap::new(),
            sequence: 0,
            rng: Pcg64Mcg::seed_from_u64(scenario.seed),
            awaiting: FastMap::default(),
            queued: FastSet::default(),
            running: FastMap::default(),
            received: ids.map(|id| (id, Received::default())).collect(),
            cell: Cell { service: service(), zone: Some(zone(0)) },
            scenario,
        }
    }

    fn schedule(&mut self, after_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now_ms + after_ms, self.sequence), event);
    }

    fn is_up(&self, host: usize) -> bool {
        self.now_ms >= self.hosts[host].up_at_ms
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        let is_cut = match self.scenario.fault {
            Fault::CutOff { every } => from.is_multiple_of(every) || to.is_multiple_of(every),
            // Each half has hosts of all zones.
            Fault::Split => (from / ZONES) % 2 != (to / ZONES) % 2,
            Fault::JustStarted => true,
            Fault::Nothing | Fault::NoScheduler | Fault::Lossy | Fault::SchedulersKilled { .. } => {
                false
            }
        };
        from == to || (!is_cut && self.is_up(to))
    }

    fn send(&mut self, from: usize, to: usize, event: impl Fn() -> Event) {
        let copies = match self.scenario.fault {
            Fault::Lossy if from != to => [0, 1, 1, 1, 2][self.rng.random_range(0..5)],
            _ => 1,
        };
        if self.can_reach(from, to) {
            for _ in 0..copies {
                self.schedule(if from == to { 0 } else { LATENCY_MS }, event());
            }
        }
    }

    fn inject_fault(&mut self) {
        let Fault::SchedulersKilled { each_ms } = self.scenario.fault else { return };
        if !self.now_ms.is_multiple_of(each_ms) {
            return;
        }
        let (hosts, now_ms) = (self.hosts.len(), Millis(self.now_ms));
        let Some(target) = self.hosts[hosts - 1].choose(now_ms, &self.cell, &self.members()) else {
            return;
        };
        let entries: Vec<_> = (0..self.scenario.upstreams)
            .map(|number| upstream_entry(number, &self.scenario))
            .collect();
        let mut restarted = Host::new(target, &self.scenario, &entries);
        restarted.run = self.hosts[target].run + 1;
        restarted.up_at_ms = self.now_ms + RESTART_MS;
        self.hosts[target] = restarted;
        // It requests updates as soon as it has restarted.
        self.schedule(RESTART_MS, Event::RequestUpdates { host: target });
    }

    fn members(&self) -> Vec<Member> {
        self.hosts.iter().map(|host| host.member.clone()).collect()
    }

    /// Callers' requests arrive at random hosts.
    fn generate_requests(&mut self) {
        let per_ms =
            self.scenario.rate * self.scenario.upstreams as f64 * self.scenario.demand / 1_000.0;
        let expected = per_ms * STEP_MS as f64;
        let count = expected as usize + usize::from(self.rng.random_bool(expected.fract()));
        for _ in 0..count {
            let host = self.rng.random_range(0..self.hosts.len());
            // A host that starts serves once a peer has responded.
            if self.now_ms >= self.hosts[host].up_at_ms + JOIN_MS {
                self.submit(host);
            }
        }
    }

    fn submit(&mut self, host: usize) {
        if self.scenario.fault == Fault::NoScheduler {
            return self.send_without_scheduler(host);
        }
        let now_ms = Millis(self.now_ms);
        let members = match self.scenario.fault {
            Fault::JustStarted => vec![self.hosts[host].member.clone()],
            _ => self.members(),
        };
        self.sequence += 1;
        let ticket = self.sequence;
        let Some(to) = self.hosts[host].choose(now_ms, &self.cell, &members) else {
            return self.send_without_scheduler(host);
        };
        let scheduler = self.hosts[to].member.host.clone();
        let lends_rate_share = self.hosts[host].rate_limiter.lend(now_ms, &self.cell, &scheduler);
        self.awaiting.insert((host, ticket), to);
        let submission = Submission {
            cell: self.cell.clone(),
            zone: zone(0),
            objective_ms: Millis(1_500),
            left_ms: Millis(2_000),
            backing_off: self.hosts[host].upstreams.upstreams_in_backoff(now_ms, &service()),
            lends_rate_share,
            ..submission(ticket)
        };
        let message = PlacementMessage::Submit(submission);
        self.send(host, to, || Event::ToScheduler { to, from: host, message: message.clone() });
        self.schedule(SCHEDULER_TIMEOUT_MS, Event::SchedulerTimeout { host, ticket });
    }

    /// Without a scheduler, a host probes some upstreams that it may send to, and sends to one
    /// that has a free slot.
    fn send_without_scheduler(&mut self, host: usize) {
        let now_ms = Millis(self.now_ms);
        let hosts = known_fleet(&self.scenario, now_ms).hosts;
        let Host { upstreams, rng, rate_limiter, .. } = &mut self.hosts[host];
        let blocked = rate_limiter.blocked_upstreams(now_ms, upstreams, &service(), hosts);
        let choice = (3, ZoneScope::Local);
        let targets =
            upstreams.choose_probe_targets(now_ms, &service(), &blocked, choice, |_| false, rng);
        let running = |id: &UpstreamId| self.running.get(id).copied().unwrap_or_default();
        let Some(chosen) = targets.into_iter().find(|id| running(id) < SLOTS) else { return };
        rate_limiter.record_sent(now_ms, upstreams, &chosen, hosts);
        self.start_request(&chosen, host, None);
    }

    fn start_request(
        &mut self,
        upstream: &UpstreamId,
        host: usize,
        placed: Option<(usize, Ticket)>,
    ) {
        let received = self.received.entry(upstream.clone()).or_default();
        received.arrivals.push((self.now_ms, host));
        *self.running.entry(upstream.clone()).or_default() += 1;
        let took_ms =
            if self.is_refusing(upstream) { REFUSAL_MS } else { self.scenario.service_time_ms };
        self.schedule(took_ms, Event::Completed { upstream: upstream.clone(), host, placed });
    }

    fn handle_due_events(&mut self) {
        while self.events.first_key_value().is_some_and(|((at_ms, _), _)| *at_ms <= self.now_ms) {
            let Some((_, event)) = self.events.pop_first() else { return };
            self.handle_event(event);
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now_ms = Millis(self.now_ms);
        match event {
            Event::ToScheduler { to, from, message } if self.is_up(to) => {
                let requester = requester(to, from);
                let Host { schedulers, upstreams, rng, .. } = &mut self.hosts[to];
                let effects = schedulers.handle_message(now_ms, message, requester, upstreams, rng);
                self.apply_effects(to, effects);
            }
            Event::ToHost { to, message } if self.is_up(to) => {
                self.handle_scheduler_message(to, message)
            }
            Event::Probed { by, run, upstream } if self.hosts[by].run == run => {
                let running = self.running.get(&upstream).copied().unwrap_or_default();
                let report = LoadReport {
                    running: running.min(SLOTS),
                    waiting: running.saturating_sub(SLOTS),
                    slots: Slots(SLOTS),
                    slowness_percent: 100,
                };
                let at = (&upstream, RunStart::default());
                let left_ms = (Millis(self.scenario.duration_ms) + COLD_MARGIN_MS).since(now_ms);
                self.hosts[by].upstreams.record_report(now_ms, at, report);
                if self.scenario.limit_reason == LimitReason::Cold {
                    self.hosts[by].upstreams.record_warmup_left(now_ms, at, Some(left_ms));
                }
            }
            // A host that was killed meanwhile no longer waits.
            Event::SchedulerTimeout { host, ticket } if self.is_up(host) => {
                if self.queued.remove(&(host, ticket)) {
                    return;
                }
                let Some(to) = self.awaiting.remove(&(host, ticket)) else { return };
                let scheduler = self.hosts[to].member.host.clone();
                self.hosts[host].directory.record_timeout(now_ms, &scheduler);
                self.withdraw(host, to, Ticket(ticket));
                self.send_without_scheduler(host);
            }
            Event::Completed { upstream, host, placed } => {
                *self.running.entry(upstream.clone()).or_default() -= 1;
                let backpressure = self.backpressure_of(&upstream);
                let failure = self.is_refusing(&upstream).then_some(AttemptFailure::Shed);
                let took_ms = Millis(if failure.is_some() {
                    REFUSAL_MS
                } else {
                    self.scenario.service_time_ms
                });
                let outcome = Outcome { failure, took_ms, report: None, backpressure };
                self.handle_response(host, &upstream, outcome);
                if let Some((to, ticket)) = placed {
                    let message = PlacementMessage::Ended { ticket, outcome };
                    let event = || Event::ToScheduler { to, from: host, message: message.clone() };
                    self.send(host, to, event);
                }
            }
            Event::Updates { to, updates } if self.is_up(to) => {
                self.hosts[to].upstreams.merge_backpressure(now_ms, updates);
            }
            Event::Rebroadcast { host, updates, age_ms } if self.is_up(host) => {
                let aged = |update: BackpressureUpdate| BackpressureUpdate {
                    age_ms: update.age_ms + age_ms,
                    ..update
                };
                let updates: Vec<_> = updates.into_iter().map(aged).collect();
                self.broadcast(host, &updates);
            }
            Event::RequestUpdates { host } if self.is_up(host) => {
                for next in 1..=PEERS_AFTER_START {
                    let peer = (host + next) % self.hosts.len();
                    let updates = self.hosts[peer].upstreams.backpressure().export(now_ms);
                    self.schedule(2 * LATENCY_MS, Event::Updates { to: host, updates });
                }
            }
            Event::ToScheduler { .. }
            | Event::SchedulerTimeout { .. }
            | Event::Rebroadcast { .. }
            | Event::RequestUpdates { .. }
            | Event::ToHost { .. }
            | Event::Probed { .. }
            | Event::Updates { .. } => {}
        }
    }

    fn withdraw(&mut self, host: usize, to: usize, ticket: Ticket) {
        let message = PlacementMessage::Withdrawn { ticket, withdrawal: Withdrawal::NotSent };
        self.send(host, to, || Event::ToScheduler { to, from: host, message: message.clone() });
    }

    fn handle_scheduler_message(&mut self, host: usize, message: PlacementMessage) {
        match message {
            PlacementMessage::Placed { ticket, placement } => {
                let Some(to) = self.awaiting.remove(&(host, ticket.0)) else { return };
                let now_ms = Millis(self.now_ms);
                let upstreams = &self.hosts[host].upstreams;
                let may_send = upstreams.accepts_requests(&placement.upstream)
                    && upstreams.remaining_backoff(now_ms, &placement.upstream).is_none();
                match may_send {
                    true => self.start_request(&placement.upstream, host, Some((to, ticket))),
                    false => self.withdraw(host, to, ticket),
                }
            }
            PlacementMessage::Refused { ticket, .. } => {
                self.awaiting.remove(&(host, ticket.0));
            }
            PlacementMessage::Queued { ticket } => {
                self.queued.insert((host, ticket.0));
                if let Some(&to) = self.awaiting.get(&(host, ticket.0)) {
                    let scheduler = self.hosts[to].member.host.clone();
                    self.hosts[host].directory.record_response(&scheduler);
                }
            }
            PlacementMessage::Submit(_)
            | PlacementMessage::Ended { .. }
            | PlacementMessage::Withdrawn { .. } => {}
        }
    }

    fn run_schedulers(&mut self, at: usize) {
        if !self.is_up(at) || !self.now_ms.is_multiple_of(4) {
            return;
        }
        let now_ms = Millis(self.now_ms);
        let fleet = known_fleet(&self.scenario, now_ms);
        let is_due = self.now_ms.is_multiple_of(DIGEST_INTERVAL_MS);
        if is_due || self.hosts[at].schedulers.has_unknown_primary() {
            self.update_primary(at);
        }
        let Host { schedulers, upstreams, rng, .. } = &mut self.hosts[at];
        schedulers.set_fleet(fleet);
        if schedulers.next_schedule_ms(now_ms).is_none() {
            return;
        }
        let effects = schedulers.schedule(now_ms, upstreams, rng);
        self.apply_effects(at, effects);
    }

    fn update_primary(&mut self, at: usize) {
        let members = match self.scenario.fault {
            Fault::JustStarted => vec![self.hosts[at].member.clone()],
            _ => self.members(),
        };
        let own = self.hosts[at].member.host.clone();
        let is_primary = |cell: &Cell| {
            Directory::primary(cell, members.iter()).is_some_and(|first| first.host == own)
        };
        self.hosts[at].schedulers.set_primary(is_primary);
    }

    fn apply_effects(&mut self, at: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => {
                    let to = match to {
                        Requester::OwnHost => at,
                        Requester::Peer(address) => usize::from(address.port()),
                    };
                    self.send(at, to, || Event::ToHost { to, message: message.clone() });
                }
                Effect::LogUnreachable { .. } => {}
                Effect::Probe(upstream) => {
                    let run = self.hosts[at].run;
                    self.schedule(2 * LATENCY_MS, Event::Probed { by: at, run, upstream });
                }
            }
        }
    }
}
