//! A model upstream: slots, a short queue, shedding, and faults.

use crate::site::{FAIL_US, RANDOM_SHARE, SERVICE_MS, STRAGGLER_FACTOR};
use decision_core::LoadReport;
use domain::{AttemptId, Slots};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;

/// How much longer work takes while a neighbour is noisy.
const NOISE_FACTOR: f64 = 10.0;

/// What is wrong with an upstream all the time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Nothing.
    Good,
    /// It is slow.
    Straggler,
    /// It answers errors at once.
    Failing,
}

/// Work at an upstream: an attempt of a host, or a call of the central queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Job {
    /// Index of the entry host.
    pub host: usize,
    /// Its attempt, or the call's number in the central queue.
    pub attempt: AttemptId,
}

/// A job that left the queue for a slot.
#[derive(Debug, Clone, Copy)]
pub struct Started {
    /// The job.
    pub job: Job,
    /// Time it will take.
    pub takes_us: u64,
}

/// What became of a job that reached an upstream.
#[derive(Debug, Clone, Copy)]
pub enum Taken {
    /// It runs.
    Started(Started),
    /// It waits.
    Waits,
    /// The upstream shed it.
    Shed,
}

/// One upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Index of its availability zone.
    pub zone: usize,
    /// Index of its service.
    pub service: usize,
    /// What is wrong with it.
    pub health: Health,
    /// A neighbour is noisy until then.
    pub noisy_until_us: u64,
    slots: u32,
    queue_limit: usize,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    past: VecDeque<(u64, LoadReport)>,
    rng: Pcg64Mcg,
}

impl Upstream {
    /// An idle one.
    pub fn new(
        zone: usize,
        service: usize,
        health: Health,
        slots: u32,
        queue_limit: u32,
        rng: Pcg64Mcg,
    ) -> Upstream {
        Upstream {
            zone,
            service,
            health,
            noisy_until_us: 0,
            slots,
            queue_limit: queue_limit as usize,
            running: Vec::new(),
            waiting: VecDeque::new(),
            past: VecDeque::new(),
            rng,
        }
    }

    /// Calls a second that it can serve.
    pub fn capacity(&self) -> f64 {
        match self.health {
            Health::Failing => 0.0,
            _ => f64::from(self.slots) * 1000.0 / (SERVICE_MS * self.factor(u64::MAX)),
        }
    }

    /// Whether a slot is free.
    pub fn has_slot(&self) -> bool {
        self.running.len() < self.slots as usize
    }

    /// Takes a job in, or sheds it.
    pub fn take(&mut self, now_us: u64, job: Job) -> Taken {
        if self.has_slot() {
            return Taken::Started(self.start(now_us, job));
        }
        if self.waiting.len() >= self.queue_limit {
            return Taken::Shed;
        }
        self.waiting.push_back(job);
        Taken::Waits
    }

    /// Ends a running job, or drops a waiting one. `None` if it is not here;
    /// otherwise the job that starts in its place, if any.
    pub fn end(&mut self, now_us: u64, job: Job) -> Option<Option<Started>> {
        if let Some(place) = self.waiting.iter().position(|&other| other == job) {
            self.waiting.remove(place);
            return Some(None);
        }
        let place = self.running.iter().position(|&other| other == job)?;
        self.running.swap_remove(place);
        let next = self.waiting.pop_front();
        Some(next.map(|next| self.start(now_us, next)))
    }

    /// What it says of its load, as of `lag_us` ago.
    pub fn report(&mut self, now_us: u64, lag_us: u64) -> LoadReport {
        let now = LoadReport {
            busy: Slots(self.running.len() as u32),
            queued: self.waiting.len() as u32,
        };
        if lag_us == 0 {
            return now;
        }
        self.past.push_back((now_us, now));
        while self.past.len() > 1 && self.past[1].0 + lag_us <= now_us {
            self.past.pop_front();
        }
        self.past[0].1
    }

    /// How much longer than usual work that starts now takes.
    pub fn factor(&self, now_us: u64) -> f64 {
        let steady = if self.health == Health::Straggler { STRAGGLER_FACTOR } else { 1.0 };
        let noise = if now_us < self.noisy_until_us { NOISE_FACTOR } else { 1.0 };
        steady * noise
    }

    fn start(&mut self, now_us: u64, job: Job) -> Started {
        self.running.push(job);
        let takes_us = match self.health {
            Health::Failing => FAIL_US,
            _ => (self.drawn_ms() * self.factor(now_us) * 1000.0) as u64,
        };
        Started { job, takes_us }
    }

    fn drawn_ms(&mut self) -> f64 {
        SERVICE_MS * (1.0 - RANDOM_SHARE + RANDOM_SHARE * exponential(&mut self.rng))
    }
}

/// A draw from the exponential distribution with mean 1.
pub fn exponential(rng: &mut Pcg64Mcg) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
