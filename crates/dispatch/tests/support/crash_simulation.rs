//! Simulates, in virtual time, a fleet whose upstreams one request crashes again and again.

use dispatch::quarantine::{Admission, Crash, Quarantine, SuspectUpdate};
use domain::{Millis, RequestFingerprint};
use published::RunStart;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The request that crashes every upstream that runs it.
const CRASHING: RequestFingerprint = RequestFingerprint(1);

/// A harmless request that many callers send.
const COMMON: RequestFingerprint = RequestFingerprint(2);

/// Parameters of a simulation.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub hosts: usize,
    pub upstreams: usize,
    /// Arrivals a second of the crashing request.
    pub crashing_per_s: f64,
    /// Arrivals a second of other requests, for each upstream.
    pub others_per_s: f64,
    /// Upstreams that crash for other reasons, a second.
    pub unrelated_crashes_per_s: f64,
    /// Share of the messages between hosts that is lost.
    pub message_loss: f64,
    pub with_quarantine: bool,
    /// When all hosts restart with no state.
    pub restart_all_ms: Option<u64>,
    pub seed: u64,
}

/// Result of a simulation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Upstreams that the crashing request crashed.
    pub crashed: u32,
    /// Attempts of it that began after its third crash.
    pub after_third_crash: u32,
    /// Those that began more than three seconds after it.
    pub long_after_third_crash: u32,
    /// Other requests that were held.
    pub others_held: u32,
    /// Other requests that failed: those that ran beside it, and those that found no upstream.
    pub others_failed: u32,
    pub messages: u64,
}

/// Length of a simulation.
const DURATION_MS: u64 = 95_000;

/// Attempts of a request.
const ATTEMPTS: u32 = 2;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Job {
    request: RequestFingerprint,
    host: usize,
    attempts: u32,
    /// Retries that the caller has left.
    retries: u32,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Event {
    CrashingRequest,
    OtherRequest,
    UnrelatedCrash,
    Restarted(usize),
    /// A request completes, or crashes its upstream.
    Completed {
        upstream: usize,
        run: u64,
        job: Job,
    },
    CrashSeen {
        crash: Crash,
        job: Job,
    },
    Arrival(Job),
    Suspects {
        to: usize,
        suspects: Vec<SuspectUpdate>,
    },
    Digests,
    AllRestarted,
}

struct Upstream {
    run: u64,
    is_up: bool,
    running: Vec<(Job, u64)>,
}

struct Simulation {
    scenario: Scenario,
    now: u64,
    order: u64,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Event>>,
    hosts: Vec<Quarantine>,
    upstreams: Vec<Upstream>,
    rng: Pcg64Mcg,
    next_request: u128,
    third_crash_ms: Option<u64>,
    outcome: Outcome,
}

pub fn simulate(scenario: Scenario) -> Outcome {
    let mut simulation = Simulation {
        scenario,
        now: 0,
        order: 0,
        queue: BinaryHeap::new(),
        events: Vec::new(),
        hosts: (0..scenario.hosts).map(|_| Quarantine::default()).collect(),
        upstreams: (0..scenario.upstreams)
            .map(|_| Upstream { run: 0, is_up: true, running: Vec::new() })
            .collect(),
        rng: Pcg64Mcg::seed_from_u64(scenario.seed),
        next_request: 100,
        third_crash_ms: None,
        outcome: Outcome::default(),
    };
    simulation.run();
    simulation.outcome
}

impl Simulation {
    fn run(&mut self) {
        for event in
            [Event::CrashingRequest, Event::OtherRequest, Event::UnrelatedCrash, Event::Digests]
        {
            self.schedule_next(event);
        }
        if let Some(at) = self.scenario.restart_all_ms {
            self.schedule(at, Event::AllRestarted);
        }
        while let Some(Reverse((at, _, number))) = self.queue.pop() {
            if at > DURATION_MS {
                return;
            }
            self.now = at;
            if let Some(event) = self.events[number].take() {
                self.handle(event);
            }
        }
    }

    fn schedule(&mut self, after_ms: u64, event: Event) {
        self.order += 1;
        self.queue.push(Reverse((self.now + after_ms, self.order, self.events.len())));
        self.events.push(Some(event));
    }

    /// Schedules the next event of a kind that occurs at a rate.
    fn schedule_next(&mut self, event: Event) {
        let per_s = match event {
            Event::CrashingRequest => self.scenario.crashing_per_s,
            Event::OtherRequest => self.scenario.others_per_s * self.scenario.upstreams as f64,
            Event::UnrelatedCrash => self.scenario.unrelated_crashes_per_s,
            _ => 2.0,
        };
        if per_s > 0.0 {
            let drawn: f64 = self.rng.random_range(1e-9..1.0);
            self.schedule((-drawn.ln() / per_s * 1000.0).max(1.0) as u64, event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::CrashingRequest => {
                self.schedule_next(Event::CrashingRequest);
                self.arrive(CRASHING);
            }
            Event::OtherRequest => {
                self.schedule_next(Event::OtherRequest);
                self.next_request += 1;
                let is_common = self.rng.random::<f64>() < 0.1;
                let unique = RequestFingerprint(self.next_request);
                self.arrive(if is_common { COMMON } else { unique });
            }
            Event::UnrelatedCrash => {
                self.schedule_next(Event::UnrelatedCrash);
                let upstream = self.rng.random_range(0..self.upstreams.len());
                self.crash(upstream);
            }
            Event::Restarted(upstream) => self.upstreams[upstream].is_up = true,
            Event::Completed { upstream, run, job } => self.complete(upstream, run, job),
            Event::CrashSeen { crash, job } => self.handle_crash(crash, job),
            Event::Arrival(job) => self.send(job),
            Event::Suspects { to, suspects } => {
                self.hosts[to].merge(Millis(self.now), suspects);
            }
            Event::Digests => {
                self.schedule(500, Event::Digests);
                self.exchange_digests();
            }
            Event::AllRestarted => {
                self.hosts.iter_mut().for_each(|host| *host = Quarantine::default());
            }
        }
    }

    fn arrive(&mut self, request: RequestFingerprint) {
        let host = self.rng.random_range(0..self.hosts.len());
        self.send(Job { request, host, attempts: 0, retries: 1 });
    }

    fn send(&mut self, job: Job) {
        let admission = match self.scenario.with_quarantine {
            true => self.hosts[job.host].admit(Millis(self.now), job.request),
            false => Admission::Free,
        };
        match admission {
            Admission::Held { .. } => {
                if job.request != CRASHING && job.attempts == 0 {
                    self.outcome.others_held += 1;
                }
                return;
            }
            Admission::Wait { .. } => return self.schedule(10, Event::Arrival(job)),
            Admission::Trial => {
                self.hosts[job.host].begin_trial(job.request, Millis(self.now + 500));
                self.broadcast(job.host);
            }
            Admission::Free => {}
        }
        let up: Vec<usize> =
            (0..self.upstreams.len()).filter(|&at| self.upstreams[at].is_up).collect();
        let Some(&upstream) = up.choose(&mut self.rng) else { return self.fail(job) };
        let job = Job { attempts: job.attempts + 1, ..job };
        if job.request == CRASHING {
            self.count_crashing_attempt();
        }
        let now = self.now;
        self.upstreams[upstream].running.push((job, now));
        let run = self.upstreams[upstream].run;
        let takes_ms = self.rng.random_range(30..100);
        self.schedule(takes_ms, Event::Completed { upstream, run, job });
    }

    fn count_crashing_attempt(&mut self) {
        let Some(third_crash_ms) = self.third_crash_ms else { return };
        self.outcome.after_third_crash += 1;
        self.outcome.long_after_third_crash += u32::from(self.now > third_crash_ms + 3_000);
    }

    fn complete(&mut self, upstream: usize, run: u64, job: Job) {
        if self.upstreams[upstream].run != run {
            return;
        }
        if job.request == CRASHING {
            self.outcome.crashed += 1;
            if self.outcome.crashed == 3 {
                self.third_crash_ms = Some(self.now);
            }
            return self.crash(upstream);
        }
        self.upstreams[upstream].running.retain(|(running, _)| *running != job);
        self.hosts[job.host].clear(Millis(self.now), job.request);
        self.broadcast(job.host);
    }

    /// An upstream's process ends, and with it all requests in flight.
    fn crash(&mut self, upstream: usize) {
        if !self.upstreams[upstream].is_up {
            return;
        }
        let run = self.upstreams[upstream].run;
        self.upstreams[upstream].run += 1;
        self.upstreams[upstream].is_up = false;
        self.schedule(3_000, Event::Restarted(upstream));
        for (job, sent_ms) in std::mem::take(&mut self.upstreams[upstream].running) {
            let crash = Crash {
                upstream: format!("i-{upstream}").parse().unwrap(),
                run: RunStart(Some(Millis(run))),
                seen_by: format!("front-{}", job.host).parse().unwrap(),
                sent_ms: Millis(sent_ms),
                crashed_ms: Millis(self.now),
            };
            self.schedule(2, Event::CrashSeen { crash, job });
        }
    }

    fn handle_crash(&mut self, crash: Crash, job: Job) {
        if self.scenario.with_quarantine {
            self.hosts[job.host].record_crash(job.request, crash);
            self.broadcast(job.host);
        }
        match job.attempts < ATTEMPTS {
            true => self.send(job),
            false => self.fail(job),
        }
    }

    /// The caller receives a failure, and retries through another host.
    fn fail(&mut self, job: Job) {
        self.hosts[job.host].record_final_answer(job.request);
        self.broadcast(job.host);
        if job.retries == 0 {
            self.outcome.others_failed += u32::from(job.request != CRASHING);
            return;
        }
        let host = self.rng.random_range(0..self.hosts.len());
        self.schedule(
            4,
            Event::Arrival(Job { host, attempts: 0, retries: job.retries - 1, ..job }),
        );
    }

    fn broadcast(&mut self, from: usize) {
        while let Some(suspects) = self.hosts[from].take_pending(Millis(self.now)) {
            for to in (0..self.hosts.len()).filter(|&to| to != from) {
                self.send_suspects(to, suspects.clone());
            }
        }
    }

    fn send_suspects(&mut self, to: usize, suspects: Vec<SuspectUpdate>) {
        self.outcome.messages += 1;
        if self.rng.random::<f64>() >= self.scenario.message_loss {
            let after_ms = self.rng.random_range(1..6);
            self.schedule(after_ms, Event::Suspects { to, suspects });
        }
    }

    /// Each host with suspects sends its digest to another, and its suspects if that has a
    /// different one.
    fn exchange_digests(&mut self) {
        for from in 0..self.hosts.len() {
            let to = self.rng.random_range(0..self.hosts.len());
            let (own, other) = (self.hosts[from].digest(), self.hosts[to].digest());
            if !self.hosts[from].is_empty() && own != other {
                let suspects = self.hosts[from].export(Millis(self.now));
                self.send_suspects(to, suspects);
            }
        }
    }
}
