//! The limit to compare with: one central queue with perfect knowledge.
//!
//! A discrete-event simulation of first come, first served over all slots of a service
//! (M/G/c), with the slot that is free at the exact moment, no network and no control
//! traffic. No real policy can do better with the same service times, except by
//! treating requests unequally.

use crate::report::LatencyReport;
use domain::{Millis, PerSecond, Share, Slots};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const MICROS_PER_SECOND: f64 = 1e6;
const HIGHEST_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// A group of slots with the same service time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ServiceTime {
    /// Slots of the group.
    pub slots: Slots,
    /// Mean service time.
    pub mean_ms: Millis,
    /// Part of the service time that is exponential; the rest is constant.
    pub random_share: Share,
}

/// What to simulate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CentralQueue {
    /// Seed of arrivals and service times.
    pub seed: u64,
    /// Rate of Poisson arrivals.
    pub per_second: PerSecond,
    /// Arrivals to simulate.
    pub arrivals: u64,
    /// Arrivals whose wait would exceed this are refused.
    pub max_wait_ms: Millis,
    /// Groups of slots, taken in this order when several are free: fastest first.
    pub slots: Vec<ServiceTime>,
}

/// What the simulation gave.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
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
pub fn simulate(queue: &CentralQueue) -> CentralReport {
    let mut rng = Pcg64::seed_from_u64(queue.seed);
    let mut pool = SlotPool::new(&queue.slots);
    let mut latency = Histogram::<u64>::new_with_max(HIGHEST_US, SIGNIFICANT_DIGITS)
        .expect("constant bounds are valid");
    let mut refused = 0;
    let mut now_us = 0.0;
    for _ in 0..queue.arrivals {
        now_us += exponential(&mut rng) / queue.per_second.0 * MICROS_PER_SECOND;
        let Some(start_us) = pool.next_start_us(now_us) else {
            break;
        };
        if start_us - now_us > queue.max_wait_ms.as_f64() * 1000.0 {
            refused += 1;
            continue;
        }
        let end_us = pool.occupy(start_us, &mut rng);
        latency.saturating_record((end_us - now_us) as u64);
    }
    CentralReport {
        latency: LatencyReport::new(&latency),
        answered: latency.len(),
        refused,
        goodput_per_second: PerSecond(latency.len() as f64 / now_us * MICROS_PER_SECOND),
    }
}

/// Slots of all groups: free ones in order of the groups, busy ones in order of release.
#[derive(Debug)]
struct SlotPool<'a> {
    groups: &'a [ServiceTime],
    free: BinaryHeap<Reverse<usize>>,
    busy: BinaryHeap<Reverse<(u64, usize)>>,
}

impl<'a> SlotPool<'a> {
    fn new(groups: &'a [ServiceTime]) -> SlotPool<'a> {
        let free = groups
            .iter()
            .enumerate()
            .flat_map(|(group, time)| (0..time.slots.0).map(move |_| Reverse(group)))
            .collect();
        SlotPool { groups, free, busy: BinaryHeap::new() }
    }

    /// When a request that arrives now gets a slot; none if there are no slots.
    fn next_start_us(&mut self, now_us: f64) -> Option<f64> {
        while let Some(Reverse((end_us, group))) = self.busy.peek().copied() {
            if end_us as f64 > now_us {
                break;
            }
            self.busy.pop();
            self.free.push(Reverse(group));
        }
        match (self.free.is_empty(), self.busy.peek()) {
            (false, _) => Some(now_us),
            (true, Some(Reverse((end_us, _)))) => Some(*end_us as f64),
            (true, None) => None,
        }
    }

    /// Takes the slot that [`SlotPool::next_start_us`] found; returns when it is released.
    fn occupy(&mut self, start_us: f64, rng: &mut Pcg64) -> f64 {
        let group = match self.free.pop() {
            Some(Reverse(group)) => group,
            None => self.busy.pop().map_or(0, |Reverse((_, group))| group),
        };
        let time = &self.groups[group];
        let mean_us = time.mean_ms.as_f64() * 1000.0;
        let share = time.random_share.0;
        let end_us = start_us + mean_us * (1.0 - share + share * exponential(rng));
        self.busy.push(Reverse((end_us as u64, group)));
        end_us
    }
}

/// A draw from the exponential distribution with mean 1.
fn exponential(rng: &mut Pcg64) -> f64 {
    let uniform: f64 = rng.random();
    -(1.0 - uniform).ln()
}
