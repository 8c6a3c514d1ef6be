//! Simulates the hosts and callers of a [`Site`].
//!
//! One host runs the scheduler; the others reach it over a network with delay and message loss.
//! A host that receives no reply of the scheduler in time sends the request to the less loaded of
//! two random upstreams, so the figures include the cost of lost messages. A refused caller
//! retries once, through the next host, after the stated delay with jitter.

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

/// Longest delay before a retry, as a share of the time left to the caller's deadline.
const MAX_RETRY_DELAY_SHARE: f64 = 1.0 / 3.0;

/// Delay before a retry, without jitter, where the refusal states none.
const DEFAULT_RETRY_DELAY_MS: f64 = 60.0;

/// The perfect queue refuses a request that it has not started this many mean service times before
/// its objective ends. A smaller margin makes more requests late, a larger one serves fewer.
const START_MARGIN_SERVICE_TIMES: f64 = 1.6;

/// Time without a reply of the scheduler after which a host chooses an upstream itself.
const SCHEDULER_TIMEOUT_MS: f64 = 25.0;

/// One try of a caller; a retry is a request of its own.
#[derive(Debug)]
struct Request {
    host: u32,
    /// When the try starts.
    started_ms: f64,
    /// When the caller gives up; a retry keeps the deadline of the first try.
    deadline_ms: f64,
    /// Service time at normal speed.
    work_ms: f64,
    is_retry: bool,
    state: RequestState,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum RequestState {
    /// The host received no reply of the scheduler yet.
    Unacknowledged,
    /// The scheduler queued it.
    Queued,
    /// Sent to an upstream, which it may not have reached yet.
    Sent {
        upstream: usize,
        sent_ms: f64,
        /// Whether the scheduler chose the upstream.
        is_placed: bool,
    },
    Ended,
}

#[derive(Debug)]
enum Event {
    Arrival,
    Retry { request: usize },
    NeighbourChange { upstream: usize },
    Completion { upstream: usize, version: u64 },
    MessageToScheduler(PlacementMessage),
    MessageToHost(PlacementMessage),
    ProbeAtUpstream { upstream: usize },
    ProbeResponse { upstream: usize, report: dispatch::LoadReport },
    SchedulingDue,
    SchedulerTimeout { request: usize },
    RequestAtUpstream { request: usize },
    ResponseAtHost { request: usize },
    Deadline { request: usize },
}

struct Simulation<'s> {
    site: &'s Site,
    policy: Policy,
    now_ms: f64,
    timeline: Timeline<Event>,
    rng: Pcg64Mcg,
    upstreams: Vec<EmulatedUpstream>,
    requests: Vec<Request>,
    /// Requests in the perfect queue, in order of arrival.
    queue: VecDeque<usize>,
    scheduler: SchedulingHost,
    figures: Figures,
    response_times: TimeHistogram,
    refusal_times: TimeHistogram,
}

/// Simulates a site; equal arguments give equal figures.
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
            simulation.timeline.add(at_ms, Event::NeighbourChange { upstream });
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
            self.handle_event(event);
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrival => self.handle_arrival(),
            Event::Retry { request } => self.start_request(request),
            Event::NeighbourChange { upstream } => self.redraw_neighbours(upstream),
            Event::Completion { upstream, version } => self.complete_requests(upstream, version),
            Event::RequestAtUpstream { request } => self.deliver_to_upstream(request),
            Event::ResponseAtHost { request } => self.handle_response(request),
            Event::Deadline { request } => self.time_out(request),
            Event::MessageToScheduler(message) => self.handle_scheduler_message(message),
            Event::MessageToHost(message) => self.handle_host_message(message),
            Event::ProbeAtUpstream { upstream } => {
                let report = self.upstreams[upstream].report();
                let delay_ms = self.delay_to_upstream_ms(0, upstream);
                self.timeline
                    .add(self.now_ms + delay_ms, Event::ProbeResponse { upstream, report });
            }
            Event::ProbeResponse { upstream, report } => {
                self.handle_probe_response(upstream, report)
            }
            Event::SchedulingDue => self.handle_scheduling_due(),
            Event::SchedulerTimeout { request } => self.handle_scheduler_timeout(request),
        }
    }

    fn handle_arrival(&mut self) {
        if self.now_ms >= self.site.duration_ms {
            return;
        }
        let rate = self.site.load * self.site.capacity_per_ms();
        // `Exp` and `LogNormal` reject invalid parameters of the site: one request per second, and
        // equal service times, take their place.
        let interval_ms = Exp::new(rate).map_or(1_000.0, |exp| exp.sample(&mut self.rng));
        self.timeline.add(self.now_ms + interval_ms, Event::Arrival);
        self.figures.requests += 1;
        let request = Request {
            host: self.rng.random_range(0..self.site.hosts.max(1)),
            started_ms: self.now_ms,
            deadline_ms: self.now_ms + self.site.deadline_ms,
            work_ms: self.sample_work_ms(),
            is_retry: false,
            state: RequestState::Unacknowledged,
        };
        self.add_request(request);
    }

    fn add_request(&mut self, request: Request) {
        let index = self.requests.len();
        self.timeline.add(request.deadline_ms, Event::Deadline { request: index });
        let started_ms = request.started_ms;
        self.requests.push(request);
        match started_ms > self.now_ms {
            true => self.timeline.add(started_ms, Event::Retry { request: index }),
            false => self.start_request(index),
        }
    }

    fn sample_work_ms(&mut self) -> f64 {
        let work = &self.site.work;
        let log_mean = work.mean_ms.ln() - work.spread * work.spread / 2.0;
        let distribution = LogNormal::new(log_mean, work.spread);
        distribution.map_or(work.mean_ms, |distribution| distribution.sample(&mut self.rng))
    }

    fn start_request(&mut self, request: usize) {
        match self.policy {
            Policy::Scheduled => self.submit(request),
            Policy::PerfectQueue => {
                self.queue.push_back(request);
                self.run_perfect_queue();
            }
            Policy::Random => {
                let upstream = self.rng.random_range(0..self.upstreams.len());
                self.send_request(request, upstream, false);
            }
            Policy::TwoChoices => {
                let upstream = self.less_loaded_of_two();
                self.send_request(request, upstream, false);
            }
        }
    }

    fn less_loaded_of_two(&mut self) -> usize {
        let count = self.upstreams.len();
        let two = [self.rng.random_range(0..count), self.rng.random_range(0..count)];
        let [first, second] = two;
        match self.upstreams[second].running() < self.upstreams[first].running() {
            true => second,
            false => first,
        }
    }

    /// Starts queued requests in order of arrival, each on the upstream that is fastest now, as
    /// long as an upstream is below its best concurrency and would meet the objective at mean
    /// service time. Requests that are too late are refused.
    fn run_perfect_queue(&mut self) {
        let (best_concurrency, _) = self.site.work.best_concurrency();
        while let Some(&request) = self.queue.front() {
            let due_ms = self.requests[request].started_ms + self.site.objective_ms;
            if self.now_ms + START_MARGIN_SERVICE_TIMES * self.site.work.mean_ms > due_ms {
                self.queue.pop_front();
                self.refuse(request, DEFAULT_RETRY_DELAY_MS);
                continue;
            }
            let free = (0..self.upstreams.len())
                .filter(|&u| self.upstreams[u].running() < best_concurrency);
            let slowdown = |&u: &usize| {
                let upstream = &self.upstreams[u];
                upstream.slowness() * self.site.work.slowdown(upstream.running() + 1)
            };
            let Some(upstream) = free.min_by(|a, b| slowdown(a).total_cmp(&slowdown(b))) else {
                return;
            };
            if self.now_ms + slowdown(&upstream) * self.site.work.mean_ms > due_ms {
                return;
            }
            self.queue.pop_front();
            let work_ms = self.requests[request].work_ms;
            self.requests[request].state =
                RequestState::Sent { upstream, sent_ms: self.now_ms, is_placed: false };
            self.upstreams[upstream].accept(self.now_ms, Task { request, remaining_ms: work_ms });
            self.add_completion(upstream);
        }
    }

    fn send_request(&mut self, request: usize, upstream: usize, is_placed: bool) {
        let sent_ms = self.now_ms;
        self.requests[request].state = RequestState::Sent { upstream, sent_ms, is_placed };
        let delay_ms = self.delay_to_upstream_ms(self.requests[request].host, upstream);
        self.timeline.add(self.now_ms + delay_ms, Event::RequestAtUpstream { request });
    }

    fn deliver_to_upstream(&mut self, request: usize) {
        let RequestState::Sent { upstream, .. } = self.requests[request].state else { return };
        let remaining_ms = self.requests[request].work_ms;
        if self.upstreams[upstream].accept(self.now_ms, Task { request, remaining_ms }) {
            self.add_completion(upstream);
            return;
        }
        self.report_outcome(request, Some(dispatch::AttemptFailure::Shed));
        self.refuse(request, DEFAULT_RETRY_DELAY_MS);
    }

    /// Adds the event of the upstream's next completion.
    fn add_completion(&mut self, upstream: usize) {
        if let Some((at_ms, version)) = self.upstreams[upstream].next_completion() {
            self.timeline.add(at_ms.max(self.now_ms), Event::Completion { upstream, version });
        }
    }

    /// Decides at random whether noisy neighbours slow the upstream down from now on.
    fn redraw_neighbours(&mut self, upstream: usize) {
        let work = &self.site.work;
        self.timeline
            .add(self.now_ms + work.neighbour_interval_ms, Event::NeighbourChange { upstream });
        let is_slowed = self.rng.random_bool(work.neighbour_share.clamp(0.0, 1.0));
        self.upstreams[upstream].set_slowed(self.now_ms, is_slowed);
        self.add_completion(upstream);
        if self.policy == Policy::PerfectQueue {
            self.run_perfect_queue();
        }
    }

    fn complete_requests(&mut self, upstream: usize, version: u64) {
        if !self.upstreams[upstream].is_current(version) {
            return;
        }
        let completed = self.upstreams[upstream].remove_completed(self.now_ms);
        for &request in &completed {
            let delay_ms = match self.policy {
                Policy::PerfectQueue => 0.0,
                _ => self.delay_to_upstream_ms(self.requests[request].host, upstream),
            };
            self.timeline.add(self.now_ms + delay_ms, Event::ResponseAtHost { request });
        }
        self.add_completion(upstream);
        if self.policy == Policy::PerfectQueue {
            self.run_perfect_queue();
        }
    }

    fn handle_response(&mut self, request: usize) {
        if self.requests[request].state == RequestState::Ended {
            return;
        }
        self.report_outcome(request, None);
        let Request { started_ms, is_retry, .. } = self.requests[request];
        self.requests[request].state = RequestState::Ended;
        let took_ms = self.now_ms - started_ms;
        self.response_times.record(took_ms);
        match (took_ms <= self.site.objective_ms, is_retry) {
            (true, false) => self.figures.in_time += 1,
            (true, true) => self.figures.in_time_on_retry += 1,
            (false, _) => self.figures.late += 1,
        }
    }

    /// Refuses a request; the caller retries after the delay if this was its first try.
    fn refuse(&mut self, request: usize, delay_ms: f64) {
        let Request { host, started_ms, deadline_ms, work_ms, is_retry, .. } =
            self.requests[request];
        self.requests[request].state = RequestState::Ended;
        self.refusal_times.record(self.now_ms - started_ms);
        let jittered_ms = delay_ms * (1.0 + self.rng.random::<f64>());
        let delay_ms = jittered_ms.min((deadline_ms - self.now_ms) * MAX_RETRY_DELAY_SHARE);
        if is_retry {
            self.figures.refused += 1;
            return;
        }
        let started_ms = self.now_ms + delay_ms;
        let host = (host + 1) % self.site.hosts.max(1);
        let state = RequestState::Unacknowledged;
        self.add_request(Request { host, started_ms, deadline_ms, work_ms, is_retry: true, state });
    }

    fn time_out(&mut self, request: usize) {
        let state = self.requests[request].state;
        if state == RequestState::Ended {
            return;
        }
        self.figures.timed_out += 1;
        if let RequestState::Sent { upstream, .. } = state {
            self.report_outcome(request, Some(dispatch::AttemptFailure::TimedOut));
            self.upstreams[upstream].drop_request(self.now_ms, request);
            self.add_completion(upstream);
        }
        self.queue.retain(|&queued| queued != request);
        self.requests[request].state = RequestState::Ended;
    }

    fn delay_to_upstream_ms(&self, host: u32, upstream: usize) -> f64 {
        self.delay_ms(host, upstream as u32)
    }

    /// One-way network delay; the host or upstream `n` is in availability zone `n % zones`.
    fn delay_ms(&self, from: u32, to: u32) -> f64 {
        let zones = self.site.zones.max(1);
        match from % zones == to % zones {
            true => self.site.network_delay_ms.0,
            false => self.site.network_delay_ms.1,
        }
    }
}

/// The index of the request with this ticket: the scheduler's tickets are these indices.
fn request_index(ticket: Ticket) -> usize {
    ticket.0 as usize
}
