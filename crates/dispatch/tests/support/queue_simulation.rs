//! Virtual-time simulation of schedulers, upstreams and the routes of one service.

use super::{entry, id, set, submission};
use dispatch::backpressure::Backpressure;
use dispatch::scheduler::{
    Effect, Outcome, Placement, PlacementMessage, Requester, SchedulerSet, Submission, Ticket,
};
use dispatch::{LoadReport, RouteKey, UpstreamSet};
use domain::{FastMap, Millis, Slots, UpstreamId};
use published::{Entry, Evacuations, RunStart, Upstream};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;

/// A route and its load.
#[derive(Debug, Clone, Copy)]
pub struct Route {
    pub priority: u32,
    pub service_time_ms: u64,
    pub objective_ms: u64,
    pub per_second: f64,
    /// Requests that arrive at once every second, on top of the others.
    pub burst: u32,
}

/// How the requests of a route ended.
#[derive(Debug, Clone, Copy, Default)]
pub struct Figures {
    pub arrived: u32,
    pub in_time: u32,
    /// For how long any scheduler kept slots free; the same for all routes.
    pub reserved_ms: u32,
}

impl Figures {
    /// Share of the requests that were in time.
    pub fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.arrived.max(1))
    }
}

/// What differs between runs.
#[derive(Debug, Clone, Copy)]
pub struct Conditions {
    pub upstreams: usize,
    pub slots: u32,
    /// Every third upstream takes this multiple of the routes' service times.
    pub slowness: f64,
    pub schedulers: usize,
    /// Whether half of the upstreams are gone at half time.
    pub loses_upstreams: bool,
    /// Whether the first scheduler's state is lost at half time.
    pub loses_scheduler: bool,
}

impl Default for Conditions {
    fn default() -> Conditions {
        Conditions {
            upstreams: 12,
            slots: 2,
            slowness: 1.0,
            schedulers: 1,
            loses_upstreams: false,
            loses_scheduler: false,
        }
    }
}

/// Time at which a run starts.
const START_MS: u64 = 10_000;

/// Duration of a run.
const SPAN_MS: u64 = 10_000;

/// Requests that arrive later aren't counted, as they may not end within the run.
const COUNTED_UNTIL_MS: u64 = START_MS + SPAN_MS - 1_000;

/// Time from a probe to its response.
const PROBE_MS: u64 = 1;

/// A request that runs or waits at an upstream.
#[derive(Debug)]
struct Sent {
    request: usize,
    scheduler: usize,
    started_ms: u64,
    /// Service time that is left.
    left_ms: f64,
}

struct Simulation<'a> {
    conditions: Conditions,
    routes: &'a [Route],
    schedulers: Vec<(SchedulerSet, UpstreamSet)>,
    /// Requests at each upstream in order of arrival.
    running: FastMap<UpstreamId, Vec<Sent>>,
    /// Time of the response in milliseconds, scheduler and upstream of each open probe.
    probes: Vec<(u64, usize, UpstreamId)>,
    /// Route and arrival in milliseconds of each request.
    requests: Vec<(usize, u64)>,
    rng: Pcg64Mcg,
    now_ms: u64,
    figures: Vec<Figures>,
}

/// Runs ten seconds; returns the figures by route.
pub fn run(conditions: Conditions, routes: &[Route], seed: u64) -> Vec<Figures> {
    let entries = entries(conditions, conditions.upstreams);
    let new_scheduler = |_| new_scheduler(&entries, routes);
    let mut simulation = Simulation {
        conditions,
        routes,
        schedulers: (0..conditions.schedulers).map(new_scheduler).collect(),
        running: entries.iter().map(|entry| (entry.value.id.clone(), Vec::new())).collect(),
        probes: Vec::new(),
        requests: Vec::new(),
        rng: Pcg64Mcg::seed_from_u64(seed),
        now_ms: 0,
        figures: vec![Figures::default(); routes.len()],
    };
    for now_ms in 0..SPAN_MS {
        simulation.now_ms = START_MS + now_ms;
        if now_ms == SPAN_MS / 2 {
            simulation.inject_fault();
        }
        simulation.step();
    }
    simulation.figures
}

fn entries(conditions: Conditions, count: usize) -> Vec<Entry<Arc<Upstream>>> {
    let with_slots = |number| {
        let mut entry = entry(&format!("i-{number}"), "kariakoo");
        entry.value =
            Arc::new(Upstream { slots: Slots(conditions.slots), ..(*entry.value).clone() });
        entry
    };
    (0..count).map(with_slots).collect()
}

fn new_scheduler(
    entries: &[Entry<Arc<Upstream>>],
    routes: &[Route],
) -> (SchedulerSet, UpstreamSet) {
    let mut upstreams = set(entries);
    for (number, route) in routes.iter().cycle().take(200 * routes.len()).enumerate() {
        let key = RouteKey(1 + (number % routes.len()) as u32);
        let took_ms = Millis(route.service_time_ms);
        upstreams.record_duration(&submission(0).cell.service, key, took_ms, 1.0);
    }
    (SchedulerSet::new("front-1".parse().unwrap()), upstreams)
}

impl Simulation<'_> {
    fn inject_fault(&mut self) {
        let all = entries(self.conditions, self.conditions.upstreams);
        if self.conditions.loses_upstreams {
            let left = &all[..all.len() / 2];
            for (_, upstreams) in &mut self.schedulers {
                upstreams.sync(Millis(self.now_ms), left.iter(), &Evacuations::default());
            }
        }
        if self.conditions.loses_scheduler {
            self.schedulers[0] = new_scheduler(&all, self.routes);
        }
    }

    fn step(&mut self) {
        self.advance_upstreams();
        let due = self.probes.extract_if(.., |probe| probe.0 <= self.now_ms).collect::<Vec<_>>();
        for (_, scheduler, upstream) in due {
            let report = self.report(&upstream, 0);
            let at = (&upstream, RunStart::default());
            self.schedulers[scheduler].1.record_report(Millis(self.now_ms), at, report);
        }
        for route in 0..self.routes.len() {
            let Route { per_second, burst, .. } = self.routes[route];
            let per_ms = per_second / 1_000.0;
            let count = per_ms as u32 + u32::from(self.rng.random_bool(per_ms.fract()));
            let is_burst = self.now_ms % 1_000 == 500;
            for _ in 0..count + if is_burst { burst } else { 0 } {
                self.submit(route);
            }
        }
        for scheduler in 0..self.schedulers.len() {
            let (schedulers, upstreams) = &mut self.schedulers[scheduler];
            let effects = schedulers.schedule(Millis(self.now_ms), upstreams, &mut self.rng);
            let is_reserved = schedulers.queue_figures().reserved_slots > 0;
            self.apply(scheduler, effects);
            for figures in &mut self.figures {
                figures.reserved_ms += u32::from(is_reserved);
            }
        }
    }

    fn submit(&mut self, route: usize) {
        let Route { priority, objective_ms, .. } = self.routes[route];
        let request = self.requests.len();
        self.requests.push((route, self.now_ms));
        if self.now_ms < COUNTED_UNTIL_MS {
            self.figures[route].arrived += 1;
        }
        let message = PlacementMessage::Submit(Submission {
            route: RouteKey(1 + route as u32),
            priority,
            objective_ms: Millis(objective_ms),
            left_ms: Millis(3 * objective_ms),
            ..submission(request as u64)
        });
        self.deliver(request % self.schedulers.len(), message);
    }

    fn deliver(&mut self, scheduler: usize, message: PlacementMessage) {
        let (schedulers, upstreams) = &mut self.schedulers[scheduler];
        let peer = Requester::Peer("127.0.0.1:7000".parse().unwrap());
        let now_ms = Millis(self.now_ms);
        let effects = schedulers.handle_message(now_ms, message, peer, upstreams, &mut self.rng);
        self.apply(scheduler, effects);
    }

    fn apply(&mut self, scheduler: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Probe(id) => self.probes.push((self.now_ms + PROBE_MS, scheduler, id)),
                Effect::Send {
                    message: PlacementMessage::Placed { ticket, placement }, ..
                } => {
                    let Placement { upstream, .. } = placement;
                    let request = ticket.0 as usize;
                    let (route, started_ms) = (self.requests[request].0, self.now_ms);
                    let varied = self.rng.random_range(0.67..1.33);
                    let left_ms = self.routes[route].service_time_ms as f64 * varied;
                    let sent = Sent { request, scheduler, started_ms, left_ms };
                    self.running.get_mut(&upstream).unwrap().push(sent);
                }
                Effect::Send { .. } | Effect::LogUnreachable { .. } => {}
            }
        }
    }

    fn advance_upstreams(&mut self) {
        let mut ended = Vec::new();
        for (upstream, sent) in &mut self.running {
            let slowness = slowness(self.conditions, upstream);
            for sent in sent.iter_mut().take(self.conditions.slots as usize) {
                sent.left_ms -= 1.0 / slowness;
            }
            let done = sent.extract_if(.., |sent| sent.left_ms <= 0.0);
            ended.extend(done.map(|sent| (upstream.clone(), sent)));
        }
        for (upstream, Sent { request, scheduler, started_ms, .. }) in ended {
            let (route, arrived_ms) = self.requests[request];
            let in_time = self.now_ms - arrived_ms <= self.routes[route].objective_ms;
            let counts = arrived_ms < COUNTED_UNTIL_MS;
            self.figures[route].in_time += u32::from(in_time && counts);
            let outcome = Outcome {
                failure: None,
                took_ms: Millis(self.now_ms - started_ms),
                report: Some(self.report(&upstream, 1)),
                backpressure: Backpressure::default(),
            };
            let ticket = Ticket(request as u64);
            self.deliver(scheduler, PlacementMessage::Ended { ticket, outcome });
        }
    }

    /// The load of an upstream; `ended` requests that have just ended count.
    fn report(&self, upstream: &UpstreamId, ended: u32) -> LoadReport {
        let all = self.running[upstream].len() as u32 + ended;
        let running = all.min(self.conditions.slots);
        let slowness_percent = (100.0 * slowness(self.conditions, upstream)) as u32;
        let slots = Slots(self.conditions.slots);
        LoadReport { running, waiting: all - running, slots, slowness_percent }
    }
}

fn slowness(conditions: Conditions, upstream: &UpstreamId) -> f64 {
    let is_slow =
        (0..conditions.upstreams).step_by(3).any(|number| *upstream == id(&format!("i-{number}")));
    if is_slow { conditions.slowness } else { 1.0 }
}
