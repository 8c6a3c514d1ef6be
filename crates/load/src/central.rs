//! The limit to compare with: one central queue with perfect knowledge.
//!
//! A discrete-event simulation of first come, first served over all slots of a service
//! (M/G/c). Each request gets the slot on which it will end first on average, with no
//! network, no control traffic and no late reports. With several groups of slots, a
//! request rather waits for a fast slot than takes a slow one that is free.

use crate::report::LatencyReport;
use domain::{Millis, PerSecond, Share, Slots};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const MICROS_PER_SECOND: f64 = 1e6;
const MICROS_PER_MILLI: f64 = 1e3;
const HIGHEST_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// What to simulate: services side by side, each with a queue of its own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CentralPlan {
    /// Seed of arrivals and service times.
    pub seed: u64,
    /// Part at the start that is left out, so that a backlog which grows is full before.
    pub warm_up_ms: Millis,
    /// Counted part of the simulated time.
    pub duration_ms: Millis,
    /// Arrivals whose wait would exceed this are refused.
    pub max_wait_ms: Millis,
    /// Services.
    pub services: Vec<CentralService>,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CentralService {
    /// Rate of Poisson arrivals.
    pub per_second: PerSecond,
    /// Its slots.
    pub groups: Vec<SlotGroup>,
}

/// Slots with the same distribution of service times.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SlotGroup {
    /// Slots of the group.
    pub slots: Slots,
    /// Mean service time, in microseconds.
    pub mean_us: f64,
    /// Part of the service time that is exponential; the rest is constant.
    pub random_share: Share,
}

/// What the simulation gave.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct CentralReport {
    /// Latency of answered requests: wait and service.
    pub latency: LatencyReport,
    /// Requests answered.
    pub answered: u64,
    /// Requests refused because of their wait.
    pub refused: u64,
    /// Answers per second.
    pub goodput_per_second: PerSecond,
}

/// Runs the simulation.
pub fn simulate(plan: &CentralPlan) -> CentralReport {
    let mut rng = Pcg64::seed_from_u64(plan.seed);
    let mut latency = Histogram::<u64>::new_with_max(HIGHEST_US, SIGNIFICANT_DIGITS)
        .expect("constant bounds are valid");
    let mut refused = 0;
    for service in &plan.services {
        refused += simulate_service(plan, service, &mut rng, &mut latency);
    }
    let seconds = plan.duration_ms.as_f64().max(1.0) / 1000.0;
    CentralReport {
        latency: LatencyReport::new(&latency),
        answered: latency.len(),
        refused,
        goodput_per_second: PerSecond(latency.len() as f64 / seconds),
    }
}

/// Adds a service's latencies to the histogram; returns how many requests were refused.
fn simulate_service(
    plan: &CentralPlan,
    service: &CentralService,
    rng: &mut Pcg64,
    latency: &mut Histogram<u64>,
) -> u64 {
    let mut pools: Vec<Pool> = service.groups.iter().copied().map(Pool::new).collect();
    let max_wait_us = plan.max_wait_ms.as_f64() * MICROS_PER_MILLI;
    let warm_us = plan.warm_up_ms.as_f64() * MICROS_PER_MILLI;
    let end_us = warm_us + plan.duration_ms.as_f64() * MICROS_PER_MILLI;
    let mut refused = 0;
    let mut now_us = 0.0;
    loop {
        now_us += exponential(rng) / service.per_second.0 * MICROS_PER_SECOND;
        if now_us >= end_us {
            return refused;
        }
        let best = pools
            .iter_mut()
            .min_by(|a, b| a.expected_end_us(now_us).total_cmp(&b.expected_end_us(now_us)));
        let counted = now_us >= warm_us;
        match best {
            Some(pool) if pool.start_us(now_us) - now_us <= max_wait_us => {
                let finished_us = pool.occupy(now_us, rng);
                if counted {
                    latency.saturating_record((finished_us - now_us) as u64);
                }
            }
            Some(_) | None => refused += u64::from(counted),
        }
    }
}

/// The slots of a group, by the time at which each is free.
#[derive(Debug)]
struct Pool {
    group: SlotGroup,
    free_at_us: BinaryHeap<Reverse<u64>>,
}

impl Pool {
    fn new(group: SlotGroup) -> Pool {
        Pool { group, free_at_us: (0..group.slots.0).map(|_| Reverse(0)).collect() }
    }

    /// When a request that arrives now would start; never without slots.
    fn start_us(&self, now_us: f64) -> f64 {
        match self.free_at_us.peek() {
            Some(Reverse(free_at_us)) => now_us.max(*free_at_us as f64),
            None => f64::INFINITY,
        }
    }

    fn expected_end_us(&self, now_us: f64) -> f64 {
        self.start_us(now_us) + self.group.mean_us
    }

    /// Takes the slot that is free first; returns when it is released.
    fn occupy(&mut self, now_us: f64, rng: &mut Pcg64) -> f64 {
        let share = self.group.random_share.0;
        let factor = 1.0 - share + share * exponential(rng);
        let end_us = self.start_us(now_us) + self.group.mean_us * factor;
        self.free_at_us.pop();
        self.free_at_us.push(Reverse(end_us as u64));
        end_us
    }
}

/// A draw from the exponential distribution with mean 1.
fn exponential(rng: &mut Pcg64) -> f64 {
    let uniform: f64 = rng.random();
    -(1.0 - uniform).ln()
}
