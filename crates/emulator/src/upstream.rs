//! An emulated upstream: it processes some requests concurrently and queues some more.
//!
//! Its speed depends on the number of running requests and on noisy neighbours, so each change
//! of either one changes when the running requests complete.

use crate::site::Work;
use dispatch::LoadReport;
use domain::Slots;
use std::collections::VecDeque;

/// A request at an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Task {
    /// Index of the request.
    pub request: usize,
    /// Remaining service time at normal speed.
    pub remaining_ms: f64,
}

/// The state of one upstream.
#[derive(Debug)]
pub struct EmulatedUpstream {
    work: Work,
    running: Vec<Task>,
    waiting: VecDeque<Task>,
    is_slowed: bool,
    /// Time up to which the running requests have progressed.
    updated_ms: f64,
    /// Increases when the speed or the running requests change, which makes completion times
    /// computed before obsolete.
    version: u64,
}

impl EmulatedUpstream {
    /// Creates an idle upstream.
    pub fn new(work: &Work) -> EmulatedUpstream {
        EmulatedUpstream {
            work: work.clone(),
            running: Vec::new(),
            waiting: VecDeque::new(),
            is_slowed: false,
            updated_ms: 0.0,
            version: 0,
        }
    }

    /// Number of requests being processed.
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Slowdown factor caused by noisy neighbours.
    pub fn slowness(&self) -> f64 {
        if self.is_slowed { self.work.neighbour_slowdown } else { 1.0 }
    }

    /// The load that it reports to a probe or in a response.
    pub fn report(&self) -> LoadReport {
        LoadReport {
            running: self.running(),
            waiting: self.waiting.len() as u32,
            slots: Slots(self.work.slots),
            slowness_percent: (self.slowness() * 100.0) as u32,
        }
    }

    /// Starts or ends the slowdown by noisy neighbours.
    pub fn set_slowed(&mut self, now_ms: f64, is_slowed: bool) {
        self.advance(now_ms);
        self.is_slowed = is_slowed;
        self.version += 1;
    }

    /// Starts or queues a request; false if the queue is full and the request is shed.
    pub fn accept(&mut self, now_ms: f64, task: Task) -> bool {
        self.advance(now_ms);
        if self.running() < self.work.slots {
            self.running.push(task);
            self.version += 1;
            return true;
        }
        let has_room = self.waiting.len() < self.work.queue as usize;
        if has_room {
            self.waiting.push_back(task);
        }
        has_room
    }

    /// Drops a request whose caller gave up.
    pub fn drop_request(&mut self, now_ms: f64, request: usize) {
        self.advance(now_ms);
        self.running.retain(|task| task.request != request);
        self.waiting.retain(|task| task.request != request);
        self.start_waiting();
        self.version += 1;
    }

    /// Removes the requests that are complete by now and returns them, oldest first.
    pub fn remove_completed(&mut self, now_ms: f64) -> Vec<usize> {
        self.advance(now_ms);
        let is_complete = |task: &Task| task.remaining_ms <= 1e-6;
        let completed =
            self.running.iter().filter(|task| is_complete(task)).map(|task| task.request);
        let completed: Vec<usize> = completed.collect();
        if !completed.is_empty() {
            self.running.retain(|task| !is_complete(task));
            self.start_waiting();
            self.version += 1;
        }
        completed
    }

    /// When the next request completes unless something changes, and the version that this is
    /// valid for.
    pub fn next_completion(&self) -> Option<(f64, u64)> {
        let least_ms = self.running.iter().map(|task| task.remaining_ms).min_by(f64::total_cmp)?;
        Some((self.updated_ms + least_ms.max(0.0) * self.total_slowdown(), self.version))
    }

    /// Whether a completion time computed at this version is still valid.
    pub fn is_current(&self, version: u64) -> bool {
        self.version == version
    }

    /// Starts waiting requests as long as slots are free.
    fn start_waiting(&mut self) {
        while self.running() < self.work.slots {
            let Some(task) = self.waiting.pop_front() else { return };
            self.running.push(task);
        }
    }

    /// Applies the progress of the running requests since the last update.
    fn advance(&mut self, now_ms: f64) {
        let progress_ms = (now_ms - self.updated_ms) / self.total_slowdown();
        for task in &mut self.running {
            task.remaining_ms -= progress_ms;
        }
        self.updated_ms = now_ms;
    }

    /// Slowdown factor of the running requests, from load and neighbours together.
    fn total_slowdown(&self) -> f64 {
        self.slowness() * self.work.slowdown(self.running())
    }
}
