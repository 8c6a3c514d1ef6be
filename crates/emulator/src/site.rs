//! What is played: a service, its upstreams, hosts and callers.

use serde::{Deserialize, Serialize};

/// A service under load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Site {
    /// Availability zones; hosts and upstreams are spread over them.
    pub zones: u32,
    /// Entry hosts.
    pub hosts: u32,
    /// Upstreams.
    pub upstreams: u32,
    /// How they work.
    pub work: Work,
    /// Time in which an answer is of full use.
    pub objective_ms: f64,
    /// Time that a caller waits.
    pub deadline_ms: f64,
    /// Requests, in times of what the upstreams can do at best with no neighbour at work.
    pub load: f64,
    /// Time played.
    pub length_ms: f64,
    /// Way between two hosts of one availability zone, and of two.
    pub way_ms: (f64, f64),
    /// Part of the messages between hosts that is lost.
    pub lost: f64,
}

/// How upstreams work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Work {
    /// Requests worked on at once.
    pub slots: u32,
    /// Requests that wait there; more are turned away.
    pub queue: u32,
    /// Mean time of a request.
    pub mean_ms: f64,
    /// Spread of the times: standard deviation of their logarithm.
    pub spread: f64,
    /// From this part of the slots on it works slower.
    pub knee: f64,
    /// How many times slower with all slots taken.
    pub full: f64,
    /// Part of the time that neighbours slow it down.
    pub neighbours: f64,
    /// How many times slower then.
    pub neighbours_x: f64,
    /// Time after which neighbours may have changed.
    pub neighbours_ms: f64,
}

impl Default for Site {
    fn default() -> Site {
        Site {
            zones: 4,
            hosts: 18,
            upstreams: 11,
            work: Work::default(),
            objective_ms: 200.0,
            deadline_ms: 500.0,
            load: 0.8,
            length_ms: 20_000.0,
            way_ms: (0.2, 1.4),
            lost: 0.0,
        }
    }
}

impl Default for Work {
    fn default() -> Work {
        Work {
            slots: 3,
            queue: 6,
            mean_ms: 60.0,
            spread: 0.3,
            knee: 0.8,
            full: 1.7,
            neighbours: 0.25,
            neighbours_x: 4.0,
            neighbours_ms: 300.0,
        }
    }
}

impl Work {
    /// How many times slower it works with so many requests at once.
    pub fn slowdown(&self, running: u32) -> f64 {
        let used = f64::from(running.min(self.slots)) / f64::from(self.slots.max(1));
        let over = ((used - self.knee) / (1.0 - self.knee).max(1e-9)).clamp(0.0, 1.0);
        1.0 + (self.full - 1.0) * over
    }

    /// Requests at once with which it gets most done, and how many that is in a millisecond.
    pub fn best(&self) -> (u32, f64) {
        let done = |running: u32| f64::from(running) / self.slowdown(running) / self.mean_ms;
        let best = (1..=self.slots.max(1)).map(|running| (running, done(running)));
        best.fold((1, 0.0), |best, next| if next.1 > best.1 + 1e-9 { next } else { best })
    }
}

impl Site {
    /// Requests a millisecond that the upstreams can do at best without neighbours.
    pub fn capacity_per_ms(&self) -> f64 {
        self.work.best().1 * f64::from(self.upstreams)
    }
}
