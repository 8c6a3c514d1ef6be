//! Hosts and callers around upstreams.
//!
//! One host schedules; the others reach it over a network that takes its time and may lose
//! messages. A host that hears nothing in time sends to the emptier of two upstreams, so a
//! play shows what lost messages cost. Callers that are refused come back once, when they
//! are told to.

mod scheduled;

use crate::figures::{Figures, TimeHistogram};
use crate::policy::Policy;
use crate::site::Site;
use crate::timeline::Timeline;
use crate::upstream::{EmulatedUpstream, Task};
use dispatch::scheduler::{PlacementMessage, Ticket};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64Mcg;
use scheduled::SchedulingHost;
use std::collections::VecDeque;

/// Part of the time left that a caller stays away at most before it comes back.
const AWAY_AT_MOST: f64 = 1.0 / 3.0;

/// A caller that is told no time comes back after so long.
const USUAL_AWAY_MS: f64 = 60.0;

/// The perfect queue refuses what it could not begin this many mean working times before its
/// time is over: with 1.0 a fifth of what it served at capacity was late, with 2.0 less was served.
const START_BEFORE: f64 = 1.6;

/// A host that heard nothing of its scheduler for so long does without.
const FIRST_WORD_MS: f64 = 25.0;

/// One try of a caller.
#[derive(Debug)]
struct Request {
    host: u32,
    begun_ms: f64,
    /// When the caller leaves, counted from its first try.
    leaves_ms: f64,
    work_ms: f64,
    is_second: bool,
    state: State,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    /// Nothing was heard of the scheduler yet.
    Unheard,
    Waiting,
    At {
        upstream: usize,
        sent_ms: f64,
        is_placed: bool,
    },
    Over,
}

#[derive(Debug)]
enum Event {
    Arrival,
    SecondTry { request: usize },
    Neighbours { upstream: usize },
    Done { upstream: usize, version: u64 },
    AtScheduler(PlacementMessage),
    AtHost(PlacementMessage),
    AskedUpstream { upstream: usize },
    Told { upstream: usize, report: dispatch::LoadReport },
    Turn,
    Unheard { request: usize },
    AtUpstream { request: usize },
    Answered { request: usize },
    Leaves { request: usize },
}

struct Simulation<'s> {
    site: &'s Site,
    policy: Policy,
    now_ms: f64,
    timeline: Timeline<Event>,
    rng: Pcg64Mcg,
    upstreams: Vec<EmulatedUpstream>,
    requests: Vec<Request>,
    /// The perfect queue.
    queue: VecDeque<usize>,
    scheduler: SchedulingHost,
    figures: Figures,
    response_times: TimeHistogram,
    refusal_times: TimeHistogram,
}

/// Plays a site; equal seeds give equal figures.
pub fn simulate(site: &Site, policy: Policy, seed: u64) -> Figures {
    let mut simulation = Simulation::new(site, policy, seed);
    simulation.run();
    simulation.figures.response_p99_ms = simulation.response_times.p99_ms();
    simulation.figures.refusal_p99_ms = simulation.refusal_times.p99_ms();
    simulation.figures
}

impl<'s> Simulation<'s> {
    fn new(site: &'s Site, policy: Policy, seed: u64) -> Simulation<'s> {
        let upstreams = (0..site.upstreams).map(|_| EmulatedUpstream::new(&site.work)).collect();
        let mut simulation = Simulation {
            site,
            policy,
            now_ms: 0.0,
            timeline: Timeline::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            upstreams,
            requests: Vec::new(),
            queue: VecDeque::new(),
            scheduler: SchedulingHost::new(site, seed),
            figures: Figures::default(),
            response_times: TimeHistogram::new(),
            refusal_times: TimeHistogram::new(),
        };
        for upstream in 0..simulation.upstreams.len() {
            let at_ms = simulation.rng.random::<f64>() * site.work.neighbour_interval_ms;
            simulation.timeline.add(at_ms, Event::Neighbours { upstream });
        }
        simulation.timeline.add(0.0, Event::Arrival);
        simulation
    }

    fn run(&mut self) {
        let end_ms = self.site.duration_ms + self.site.deadline_ms;
        while let Some((at_ms, event)) = self.timeline.pop() {
            if at_ms > end_ms {
                return;
            }
            self.now_ms = at_ms;
            self.take(event);
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::SecondTry { request } => self.begin(request),
            Event::Neighbours { upstream } => self.change_neighbours(upstream),
            Event::Done { upstream, version } => self.finish(upstream, version),
            Event::AtUpstream { request } => self.reach_upstream(request),
            Event::Answered { request } => self.note_answer(request),
            Event::Leaves { request } => self.leave(request),
            Event::AtScheduler(message) => self.at_scheduler(message),
            Event::AtHost(message) => self.at_host(message),
            Event::AskedUpstream { upstream } => {
                let report = self.upstreams[upstream].report();
                let way_ms = self.way_to_upstream_ms(0, upstream);
                self.timeline.add(self.now_ms + way_ms, Event::Told { upstream, report });
            }
            Event::Told { upstream, report } => self.told(upstream, report),
            Event::Turn => self.turn_when_due(),
            Event::Unheard { request } => self.give_up_on_scheduler(request),
        }
    }

    fn arrive(&mut self) {
        if self.now_ms >= self.site.duration_ms {
            return;
        }
        let rate = self.site.load * self.site.capacity_per_ms();
        // Rates and spreads that are no numbers play as one request a second of even length.
        let pause_ms = Exp::new(rate).map_or(1_000.0, |exp| exp.sample(&mut self.rng));
        self.timeline.add(self.now_ms + pause_ms, Event::Arrival);
        self.figures.requests += 1;
        let request = Request {
            host: self.rng.random_range(0..self.site.hosts.max(1)),
            begun_ms: self.now_ms,
            leaves_ms: self.now_ms + self.site.deadline_ms,
            work_ms: self.draw_work_ms(),
            is_second: false,
            state: State::Unheard,
        };
        self.add(request);
    }

    fn add(&mut self, request: Request) {
        let number = self.requests.len();
        self.timeline.add(request.leaves_ms, Event::Leaves { request: number });
        let begun_ms = request.begun_ms;
        self.requests.push(request);
        match begun_ms > self.now_ms {
            true => self.timeline.add(begun_ms, Event::SecondTry { request: number }),
            false => self.begin(number),
        }
    }

    fn draw_work_ms(&mut self) -> f64 {
        let work = &self.site.work;
        let mean = work.mean_ms.ln() - work.spread * work.spread / 2.0;
        let times = LogNormal::new(mean, work.spread);
        times.map_or(work.mean_ms, |times| times.sample(&mut self.rng))
    }

    fn begin(&mut self, request: usize) {
        match self.policy {
            Policy::Scheduled => self.submit(request),
            Policy::PerfectQueue => {
                self.queue.push_back(request);
                self.place_perfectly();
            }
            Policy::Random => {
                let upstream = self.rng.random_range(0..self.upstreams.len());
                self.send(request, upstream, false);
            }
            Policy::TwoChoices => {
                let upstream = self.emptier_of_two();
                self.send(request, upstream, false);
            }
        }
    }

    fn emptier_of_two(&mut self) -> usize {
        let count = self.upstreams.len();
        let two = [self.rng.random_range(0..count), self.rng.random_range(0..count)];
        let [first, second] = two;
        match self.upstreams[second].running() < self.upstreams[first].running() {
            true => second,
            false => first,
        }
    }

    /// In the order of arrival, to the upstream that is fastest now, as long as there is one
    /// that gets more done with one request more.
    fn place_perfectly(&mut self) {
        let (best, _) = self.site.work.best_concurrency();
        while let Some(&request) = self.queue.front() {
            let due_ms = self.requests[request].begun_ms + self.site.objective_ms;
            if self.now_ms + START_BEFORE * self.site.work.mean_ms > due_ms {
                self.queue.pop_front();
                self.refuse(request, USUAL_AWAY_MS);
                continue;
            }
            let free = (0..self.upstreams.len()).filter(|&u| self.upstreams[u].running() < best);
            let pace = |&u: &usize| {
                let upstream = &self.upstreams[u];
                upstream.slowness() * self.site.work.slowdown(upstream.running() + 1)
            };
            let Some(upstream) = free.min_by(|a, b| pace(a).total_cmp(&pace(b))) else { return };
            if self.now_ms + pace(&upstream) * self.site.work.mean_ms > due_ms {
                return;
            }
            self.queue.pop_front();
            let work_ms = self.requests[request].work_ms;
            self.requests[request].state =
                State::At { upstream, sent_ms: self.now_ms, is_placed: false };
            self.upstreams[upstream].accept(self.now_ms, Task { request, remaining_ms: work_ms });
            self.expect(upstream);
        }
    }

    fn send(&mut self, request: usize, upstream: usize, is_placed: bool) {
        let sent_ms = self.now_ms;
        self.requests[request].state = State::At { upstream, sent_ms, is_placed };
        let way_ms = self.way_to_upstream_ms(self.requests[request].host, upstream);
        self.timeline.add(self.now_ms + way_ms, Event::AtUpstream { request });
    }

    fn reach_upstream(&mut self, request: usize) {
        let State::At { upstream, .. } = self.requests[request].state else { return };
        let remaining_ms = self.requests[request].work_ms;
        if self.upstreams[upstream].accept(self.now_ms, Task { request, remaining_ms }) {
            self.expect(upstream);
            return;
        }
        self.note_end(request, Some(dispatch::AttemptFailure::Shed));
        self.refuse(request, USUAL_AWAY_MS);
    }

    fn expect(&mut self, upstream: usize) {
        if let Some((at_ms, version)) = self.upstreams[upstream].next_completion() {
            self.timeline.add(at_ms.max(self.now_ms), Event::Done { upstream, version });
        }
    }

    fn change_neighbours(&mut self, upstream: usize) {
        let work = &self.site.work;
        self.timeline.add(self.now_ms + work.neighbour_interval_ms, Event::Neighbours { upstream });
        let is_slowed = self.rng.random_bool(work.neighbour_share.clamp(0.0, 1.0));
        self.upstreams[upstream].set_slowed(self.now_ms, is_slowed);
        self.expect(upstream);
        if self.policy == Policy::PerfectQueue {
            self.place_perfectly();
        }
    }

    fn finish(&mut self, upstream: usize, version: u64) {
        if !self.upstreams[upstream].is_current(version) {
            return;
        }
        let done = self.upstreams[upstream].remove_completed(self.now_ms);
        for &request in &done {
            let way_ms = match self.policy {
                Policy::PerfectQueue => 0.0,
                _ => self.way_to_upstream_ms(self.requests[request].host, upstream),
            };
            self.timeline.add(self.now_ms + way_ms, Event::Answered { request });
        }
        self.expect(upstream);
        if self.policy == Policy::PerfectQueue {
            self.place_perfectly();
        }
    }

    fn note_answer(&mut self, request: usize) {
        if self.requests[request].state == State::Over {
            return;
        }
        self.note_end(request, None);
        let Request { begun_ms, is_second, .. } = self.requests[request];
        self.requests[request].state = State::Over;
        let took_ms = self.now_ms - begun_ms;
        self.response_times.record(took_ms);
        match (took_ms <= self.site.objective_ms, is_second) {
            (true, false) => self.figures.in_time += 1,
            (true, true) => self.figures.in_time_on_retry += 1,
            (false, _) => self.figures.late += 1,
        }
    }

    /// The caller comes back once, if there is time.
    fn refuse(&mut self, request: usize, away_ms: f64) {
        let Request { host, begun_ms, leaves_ms, work_ms, is_second, .. } = self.requests[request];
        self.requests[request].state = State::Over;
        self.refusal_times.record(self.now_ms - begun_ms);
        let jittered_ms = away_ms * (1.0 + self.rng.random::<f64>());
        let away_ms = jittered_ms.min((leaves_ms - self.now_ms) * AWAY_AT_MOST);
        if is_second {
            self.figures.refused += 1;
            return;
        }
        let begun_ms = self.now_ms + away_ms;
        let host = (host + 1) % self.site.hosts.max(1);
        let state = State::Unheard;
        self.add(Request { host, begun_ms, leaves_ms, work_ms, is_second: true, state });
    }

    fn leave(&mut self, request: usize) {
        let state = self.requests[request].state;
        if state == State::Over {
            return;
        }
        self.figures.timed_out += 1;
        if let State::At { upstream, .. } = state {
            self.note_end(request, Some(dispatch::AttemptFailure::TimedOut));
            self.upstreams[upstream].drop_request(self.now_ms, request);
            self.expect(upstream);
        }
        self.queue.retain(|&queued| queued != request);
        self.requests[request].state = State::Over;
    }

    fn way_to_upstream_ms(&self, host: u32, upstream: usize) -> f64 {
        self.way_ms(host, upstream as u32)
    }

    fn way_ms(&self, from: u32, to: u32) -> f64 {
        let zones = self.site.zones.max(1);
        match from % zones == to % zones {
            true => self.site.network_delay_ms.0,
            false => self.site.network_delay_ms.1,
        }
    }
}

/// Tickets are requests' numbers.
fn request_of(ticket: Ticket) -> usize {
    ticket.0 as usize
}
