//! The simulated deployment: a service, its upstreams, hosts and load.
//!
//! `xtask experiment` reads it from JSON; each field has a default.

use serde::{Deserialize, Serialize};

/// One service with its upstreams, the hosts in front of it and its load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Site {
    /// Number of availability zones; hosts and upstreams are spread evenly over them.
    pub zones: u32,
    /// Number of hosts; the first one runs the scheduler.
    pub hosts: u32,
    /// Number of upstreams.
    pub upstreams: u32,
    /// How each upstream serves requests.
    pub work: Work,
    /// Response time to aim for, counted from the start of a try.
    pub objective_ms: f64,
    /// Time from a caller's first try until it gives up.
    pub deadline_ms: f64,
    /// Request rate, as a multiple of [`Site::capacity_per_ms`].
    pub load: f64,
    /// Simulated time during which requests arrive.
    #[serde(rename = "length_ms")]
    pub duration_ms: f64,
    /// One-way network delay within an availability zone, and between two zones.
    #[serde(rename = "way_ms")]
    pub network_delay_ms: (f64, f64),
    /// Share of the messages between hosts that is lost.
    #[serde(rename = "lost")]
    pub loss_rate: f64,
}

/// How an upstream serves requests: its slots, queue, service times and slowdowns.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Work {
    /// Requests processed concurrently.
    pub slots: u32,
    /// Requests that can wait at the upstream; it sheds more than that.
    pub queue: u32,
    /// Mean service time at normal speed.
    pub mean_ms: f64,
    /// Standard deviation of the logarithm of the service times, which are log-normal.
    pub spread: f64,
    /// Share of the slots in use above which the upstream slows down.
    pub knee: f64,
    /// Slowdown factor with all slots in use; linear from 1 at the knee.
    #[serde(rename = "full")]
    pub full_slowdown: f64,
    /// Share of the time during which noisy neighbours slow the upstream down.
    #[serde(rename = "neighbours")]
    pub neighbour_share: f64,
    /// Slowdown factor during that time.
    #[serde(rename = "neighbours_x")]
    pub neighbour_slowdown: f64,
    /// Interval at which neighbours may start or stop slowing the upstream down.
    #[serde(rename = "neighbours_ms")]
    pub neighbour_interval_ms: f64,
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
            duration_ms: 20_000.0,
            network_delay_ms: (0.2, 1.4),
            loss_rate: 0.0,
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
            full_slowdown: 1.7,
            neighbour_share: 0.25,
            neighbour_slowdown: 4.0,
            neighbour_interval_ms: 300.0,
        }
    }
}

impl Work {
    /// Slowdown factor with `running` requests in progress.
    pub fn slowdown(&self, running: u32) -> f64 {
        let used = f64::from(running.min(self.slots)) / f64::from(self.slots.max(1));
        let above_knee = ((used - self.knee) / (1.0 - self.knee).max(1e-9)).clamp(0.0, 1.0);
        1.0 + (self.full_slowdown - 1.0) * above_knee
    }

    /// Concurrency with the highest throughput, and that throughput in requests per millisecond.
    pub fn best_concurrency(&self) -> (u32, f64) {
        let throughput = |running: u32| f64::from(running) / self.slowdown(running) / self.mean_ms;
        let best = (1..=self.slots.max(1)).map(|running| (running, throughput(running)));
        best.fold((1, 0.0), |best, next| if next.1 > best.1 + 1e-9 { next } else { best })
    }
}

impl Site {
    /// Highest throughput of all upstreams without noisy neighbours, in requests per millisecond.
    pub fn capacity_per_ms(&self) -> f64 {
        self.work.best_concurrency().1 * f64::from(self.upstreams)
    }
}
