//! The schedule: every request's intended time, drawn before the run from the seed.

use crate::plan::{Arrivals, LoadPlan, Stream};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const MICROS_PER_SECOND: f64 = 1e6;

/// One request to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Intended time of sending, in microseconds from the start of the run.
    pub at_us: u64,
    /// Index of the stream in the plan.
    pub stream: usize,
    /// Index of the caller in the stream.
    pub caller: usize,
    /// Index of the route in the stream.
    pub route: usize,
}

/// Draws all arrivals of a plan, in order of time.
pub fn schedule(plan: &LoadPlan) -> Vec<Arrival> {
    let mut rng = Pcg64::seed_from_u64(plan.seed);
    let end_us = plan.span_ms().0 * 1000;
    let mut arrivals = Vec::new();
    for (index, stream) in plan.streams.iter().enumerate() {
        for at_us in due_times(stream.arrivals, end_us, &mut rng) {
            arrivals.push(draw(stream, index, at_us, &mut rng));
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at_us);
    arrivals
}

fn due_times(arrivals: Arrivals, end_us: u64, rng: &mut Pcg64) -> Vec<u64> {
    match arrivals {
        Arrivals::Poisson { per_second } => poisson_times(per_second.0, end_us, rng),
        Arrivals::Bursts { size, every_ms } => (0..end_us)
            .step_by(every_ms.0 as usize * 1000)
            .flat_map(|at_us| (0..size).map(move |_| at_us))
            .collect(),
    }
}

fn poisson_times(per_second: f64, end_us: u64, rng: &mut Pcg64) -> Vec<u64> {
    let mut times = Vec::new();
    let mut at_us = 0.0;
    loop {
        let uniform: f64 = rng.random();
        at_us += -(1.0 - uniform).ln() / per_second * MICROS_PER_SECOND;
        if at_us >= end_us as f64 {
            return times;
        }
        times.push(at_us as u64);
    }
}

fn draw(stream: &Stream, index: usize, at_us: u64, rng: &mut Pcg64) -> Arrival {
    let caller = pick_weighted(stream.callers.iter().map(|c| c.weight.0), rng);
    let route = pick_weighted(stream.routes.iter().map(|r| r.weight.0), rng);
    Arrival { at_us, stream: index, caller, route }
}

fn pick_weighted(weights: impl Iterator<Item = f64> + Clone, rng: &mut Pcg64) -> usize {
    let total: f64 = weights.clone().sum();
    let mut left = rng.random::<f64>() * total;
    let mut last = 0;
    for (index, weight) in weights.enumerate().filter(|(_, weight)| *weight > 0.0) {
        last = index;
        left -= weight;
        if left < 0.0 {
            break;
        }
    }
    last
}
