//! A fleet in virtual time before a service that one request crashes again and again.

use dispatch::quarantine::{Admission, Crash, Quarantine, SuspectUpdate};
use domain::{Millis, RequestFingerprint};
use published::RunStart;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The request that crashes whatever runs it.
const GUILTY: RequestFingerprint = RequestFingerprint(1);

/// One that many callers send alike.
const POPULAR: RequestFingerprint = RequestFingerprint(2);

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct Play {
    pub hosts: usize,
    pub upstreams: usize,
    /// Arrivals of the guilty request a second.
    pub guilty_per_s: f64,
    /// Arrivals of others a second at each upstream.
    pub others_per_s: f64,
    /// Upstreams that end by themselves, a second.
    pub ends_per_s: f64,
    /// Part of the messages between hosts that is lost.
    pub lost: f64,
    pub has_quarantine: bool,
    /// When all hosts are lost and start anew.
    pub all_lost_ms: Option<u64>,
    pub seed: u64,
}

/// What came of it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Upstreams that ended under the guilty request.
    pub ended: u32,
    /// Sendings of it that began after its third crash.
    pub after_third: u32,
    /// Those that began more than three seconds after it.
    pub much_later: u32,
    /// Others that were held back.
    pub others_held: u32,
    /// Others that got no answer: what ran beside it, and what found no upstream.
    pub others_failed: u32,
    pub messages: u64,
}

/// How long a play goes on.
const PLAY_MS: u64 = 95_000;

/// Sendings of a request.
const ATTEMPTS: u32 = 2;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Job {
    request: RequestFingerprint,
    host: usize,
    sent: u32,
    /// Tries that the caller has left.
    tries: u32,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Event {
    Guilty,
    Other,
    EndsByItself,
    Back(usize),
    /// A run comes to its end, or crashes its upstream.
    RunOver {
        upstream: usize,
        run: u64,
        job: Job,
    },
    Looked {
        crash: Crash,
        job: Job,
    },
    Arrives(Job),
    Told {
        to: usize,
        suspects: Vec<SuspectUpdate>,
    },
    Offers,
    AllLost,
}

struct Upstream {
    run: u64,
    is_up: bool,
    running: Vec<(Job, u64)>,
}

struct World {
    play: Play,
    now: u64,
    order: u64,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Event>>,
    hosts: Vec<Quarantine>,
    upstreams: Vec<Upstream>,
    rng: Pcg64Mcg,
    next_request: u128,
    third_ms: Option<u64>,
    outcome: Outcome,
}

pub fn play(play: Play) -> Outcome {
    let mut world = World {
        play,
        now: 0,
        order: 0,
        queue: BinaryHeap::new(),
        events: Vec::new(),
        hosts: (0..play.hosts).map(|_| Quarantine::default()).collect(),
        upstreams: (0..play.upstreams)
            .map(|_| Upstream { run: 0, is_up: true, running: Vec::new() })
            .collect(),
        rng: Pcg64Mcg::seed_from_u64(play.seed),
        next_request: 100,
        third_ms: None,
        outcome: Outcome::default(),
    };
    world.run();
    world.outcome
}

impl World {
    fn run(&mut self) {
        for event in [Event::Guilty, Event::Other, Event::EndsByItself, Event::Offers] {
            self.plan_next(event);
        }
        if let Some(at) = self.play.all_lost_ms {
            self.plan(at, Event::AllLost);
        }
        while let Some(Reverse((at, _, number))) = self.queue.pop() {
            if at > PLAY_MS {
                return;
            }
            self.now = at;
            if let Some(event) = self.events[number].take() {
                self.handle(event);
            }
        }
    }

    fn plan(&mut self, after_ms: u64, event: Event) {
        self.order += 1;
        self.queue.push(Reverse((self.now + after_ms, self.order, self.events.len())));
        self.events.push(Some(event));
    }

    /// The next of what comes at a rate.
    fn plan_next(&mut self, event: Event) {
        let per_s = match event {
            Event::Guilty => self.play.guilty_per_s,
            Event::Other => self.play.others_per_s * self.play.upstreams as f64,
            Event::EndsByItself => self.play.ends_per_s,
            _ => 2.0,
        };
        if per_s > 0.0 {
            let drawn: f64 = self.rng.random_range(1e-9..1.0);
            self.plan((-drawn.ln() / per_s * 1000.0).max(1.0) as u64, event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Guilty => {
                self.plan_next(Event::Guilty);
                self.arrive(GUILTY);
            }
            Event::Other => {
                self.plan_next(Event::Other);
                self.next_request += 1;
                let is_popular = self.rng.random::<f64>() < 0.1;
                let single = RequestFingerprint(self.next_request);
                self.arrive(if is_popular { POPULAR } else { single });
            }
            Event::EndsByItself => {
                self.plan_next(Event::EndsByItself);
                let upstream = self.rng.random_range(0..self.upstreams.len());
                self.end(upstream);
            }
            Event::Back(upstream) => self.upstreams[upstream].is_up = true,
            Event::RunOver { upstream, run, job } => self.run_over(upstream, run, job),
            Event::Looked { crash, job } => self.looked(crash, job),
            Event::Arrives(job) => self.send(job),
            Event::Told { to, suspects } => {
                self.hosts[to].merge(Millis(self.now), suspects);
            }
            Event::Offers => {
                self.plan(500, Event::Offers);
                self.offer();
            }
            Event::AllLost => {
                self.hosts.iter_mut().for_each(|host| *host = Quarantine::default());
            }
        }
    }

    fn arrive(&mut self, request: RequestFingerprint) {
        let host = self.rng.random_range(0..self.hosts.len());
        self.send(Job { request, host, sent: 0, tries: 1 });
    }

    fn send(&mut self, job: Job) {
        let admission = match self.play.has_quarantine {
            true => self.hosts[job.host].admit(Millis(self.now), job.request),
            false => Admission::Free,
        };
        match admission {
            Admission::Held { .. } => {
                if job.request != GUILTY && job.sent == 0 {
                    self.outcome.others_held += 1;
                }
                return;
            }
            Admission::Wait { .. } => return self.plan(10, Event::Arrives(job)),
            Admission::Trial => {
                self.hosts[job.host].begin_trial(job.request, Millis(self.now + 500));
                self.tell(job.host);
            }
            Admission::Free => {}
        }
        let up: Vec<usize> =
            (0..self.upstreams.len()).filter(|&at| self.upstreams[at].is_up).collect();
        let Some(&upstream) = up.choose(&mut self.rng) else { return self.fail(job) };
        let job = Job { sent: job.sent + 1, ..job };
        if job.request == GUILTY {
            self.note_guilty_sending();
        }
        let now = self.now;
        self.upstreams[upstream].running.push((job, now));
        let run = self.upstreams[upstream].run;
        let takes_ms = self.rng.random_range(30..100);
        self.plan(takes_ms, Event::RunOver { upstream, run, job });
    }

    fn note_guilty_sending(&mut self) {
        let Some(third_ms) = self.third_ms else { return };
        self.outcome.after_third += 1;
        self.outcome.much_later += u32::from(self.now > third_ms + 3_000);
    }

    fn run_over(&mut self, upstream: usize, run: u64, job: Job) {
        if self.upstreams[upstream].run != run {
            return;
        }
        if job.request == GUILTY {
            self.outcome.ended += 1;
            if self.outcome.ended == 3 {
                self.third_ms = Some(self.now);
            }
            return self.end(upstream);
        }
        self.upstreams[upstream].running.retain(|(running, _)| *running != job);
        self.hosts[job.host].clear(Millis(self.now), job.request);
        self.tell(job.host);
    }

    /// An upstream's process ends; all that it ran breaks off.
    fn end(&mut self, upstream: usize) {
        if !self.upstreams[upstream].is_up {
            return;
        }
        let run = self.upstreams[upstream].run;
        self.upstreams[upstream].run += 1;
        self.upstreams[upstream].is_up = false;
        self.plan(3_000, Event::Back(upstream));
        for (job, sent_ms) in std::mem::take(&mut self.upstreams[upstream].running) {
            let crash = Crash {
                upstream: format!("i-{upstream}").parse().unwrap(),
                run: RunStart(Some(Millis(run))),
                seen_by: format!("front-{}", job.host).parse().unwrap(),
                sent_ms: Millis(sent_ms),
                crashed_ms: Millis(self.now),
            };
            self.plan(2, Event::Looked { crash, job });
        }
    }

    fn looked(&mut self, crash: Crash, job: Job) {
        if self.play.has_quarantine {
            self.hosts[job.host].record_crash(job.request, crash);
            self.tell(job.host);
        }
        match job.sent < ATTEMPTS {
            true => self.send(job),
            false => self.fail(job),
        }
    }

    /// The caller gets a failure, and comes again through another host.
    fn fail(&mut self, job: Job) {
        self.hosts[job.host].record_final_answer(job.request);
        self.tell(job.host);
        if job.tries == 0 {
            self.outcome.others_failed += u32::from(job.request != GUILTY);
            return;
        }
        let host = self.rng.random_range(0..self.hosts.len());
        self.plan(4, Event::Arrives(Job { host, sent: 0, tries: job.tries - 1, ..job }));
    }

    fn tell(&mut self, from: usize) {
        let untold = self.hosts[from].take_pending(Millis(self.now));
        let Some(suspects) = untold else { return };
        for to in (0..self.hosts.len()).filter(|&to| to != from) {
            self.tell_one(to, suspects.clone());
        }
    }

    fn tell_one(&mut self, to: usize, suspects: Vec<SuspectUpdate>) {
        self.outcome.messages += 1;
        if self.rng.random::<f64>() >= self.play.lost {
            let after_ms = self.rng.random_range(1..6);
            self.plan(after_ms, Event::Told { to, suspects });
        }
    }

    /// Each host that holds something offers it to another.
    fn offer(&mut self) {
        for from in 0..self.hosts.len() {
            let to = self.rng.random_range(0..self.hosts.len());
            let (told, held) = (self.hosts[from].digest(), self.hosts[to].digest());
            if !self.hosts[from].is_empty() && told != held {
                let suspects = self.hosts[from].export(Millis(self.now));
                self.tell_one(to, suspects);
            }
        }
    }
}
