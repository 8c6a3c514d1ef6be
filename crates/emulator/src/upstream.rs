//! An upstream: it works on some requests at once and lets some wait.

use crate::site::Work;
use dispatch::LoadReport;
use domain::Slots;
use std::collections::VecDeque;

/// A request at an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Task {
    /// Which request.
    pub request: usize,
    /// Work that is left, in milliseconds at the usual speed.
    pub left_ms: f64,
}

/// One upstream at a point in time.
#[derive(Debug)]
pub struct EmulatedUpstream {
    work: Work,
    running: Vec<Task>,
    waiting: VecDeque<Task>,
    is_slowed: bool,
    at_ms: f64,
    /// Changes with each change of its speed; what was expected before is void.
    version: u64,
}

impl EmulatedUpstream {
    /// An idle one.
    pub fn new(work: &Work) -> EmulatedUpstream {
        EmulatedUpstream {
            work: work.clone(),
            running: Vec::new(),
            waiting: VecDeque::new(),
            is_slowed: false,
            at_ms: 0.0,
            version: 0,
        }
    }

    /// Requests at work.
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// How many times slower neighbours make it.
    pub fn slowness(&self) -> f64 {
        if self.is_slowed { self.work.neighbour_slowdown } else { 1.0 }
    }

    /// What it tells of itself.
    pub fn report(&self) -> LoadReport {
        LoadReport {
            running: self.running(),
            waiting: self.waiting.len() as u32,
            slots: Slots(self.work.slots),
            slowness_percent: (self.slowness() * 100.0) as u32,
        }
    }

    /// Neighbours come or go.
    pub fn slow(&mut self, now_ms: f64, is_slowed: bool) {
        self.advance(now_ms);
        self.is_slowed = is_slowed;
        self.version += 1;
    }

    /// Takes a request; false if it is full and turns it away.
    pub fn take(&mut self, now_ms: f64, task: Task) -> bool {
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

    /// Drops a request whose caller has left.
    pub fn drop_request(&mut self, now_ms: f64, request: usize) {
        self.advance(now_ms);
        self.running.retain(|task| task.request != request);
        self.waiting.retain(|task| task.request != request);
        self.fill();
        self.version += 1;
    }

    /// Takes what is done by now, oldest first.
    pub fn take_done(&mut self, now_ms: f64) -> Vec<usize> {
        self.advance(now_ms);
        let is_done = |task: &Task| task.left_ms <= 1e-6;
        let done = self.running.iter().filter(|task| is_done(task)).map(|task| task.request);
        let done: Vec<usize> = done.collect();
        if !done.is_empty() {
            self.running.retain(|task| !is_done(task));
            self.fill();
            self.version += 1;
        }
        done
    }

    /// When the next request will be done as things stand, and the version that it holds for.
    pub fn next_done(&self) -> Option<(f64, u64)> {
        let least_ms = self.running.iter().map(|task| task.left_ms).min_by(f64::total_cmp)?;
        Some((self.at_ms + least_ms.max(0.0) * self.pace(), self.version))
    }

    /// Whether nothing changed since.
    pub fn is_version(&self, version: u64) -> bool {
        self.version == version
    }

    fn fill(&mut self) {
        while self.running() < self.work.slots {
            let Some(task) = self.waiting.pop_front() else { return };
            self.running.push(task);
        }
    }

    fn advance(&mut self, now_ms: f64) {
        let done_ms = (now_ms - self.at_ms) / self.pace();
        for task in &mut self.running {
            task.left_ms -= done_ms;
        }
        self.at_ms = now_ms;
    }

    /// Milliseconds for a millisecond of work.
    fn pace(&self) -> f64 {
        self.slowness() * self.work.slowdown(self.running())
    }
}
