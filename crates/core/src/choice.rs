//! Choosing an upstream from what this host alone knows.
//!
//! A closed set of policies: the baselines, and the load-aware way that the others are
//! measured against and that slot leases fall back to.

use crate::upstream::UpstreamState;
use config::Policy;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Upstreams looked at by the load-aware way.
const LOAD_AWARE_CHOICES: usize = 3;
/// Slots' worth of load that a sure failure counts as.
const ERROR_PENALTY: f64 = 8.0;

/// The upstream to send to, as an index; `None` if none of `open` is eligible.
///
/// `open` holds the indices of upstreams that may receive the call.
pub fn choose(
    policy: Policy,
    upstreams: &[UpstreamState],
    open: &[usize],
    turn: &mut usize,
    rng: &mut Pcg64Mcg,
) -> Option<usize> {
    if open.is_empty() {
        return None;
    }
    let index = match policy {
        Policy::Random => open[rng.random_range(0..open.len())],
        Policy::RoundRobin => take_turn(open, turn),
        Policy::LeastInFlight => best_of(open, rng, |i| f64::from(upstreams[i].in_flight)),
        Policy::TwoChoices => {
            let pair = sample(open, 2, rng);
            best_of(&pair, rng, |i| f64::from(upstreams[i].in_flight))
        }
        Policy::LoadAware | Policy::SlotLease => {
            let few = sample(open, LOAD_AWARE_CHOICES, rng);
            best_of(&few, rng, |i| score(&upstreams[i]))
        }
    };
    Some(index)
}

fn take_turn(open: &[usize], turn: &mut usize) -> usize {
    *turn = turn.wrapping_add(1);
    open[*turn % open.len()]
}

fn sample(open: &[usize], count: usize, rng: &mut Pcg64Mcg) -> Vec<usize> {
    (0..count).map(|_| open[rng.random_range(0..open.len())]).collect()
}

fn best_of(open: &[usize], rng: &mut Pcg64Mcg, cost: impl Fn(usize) -> f64) -> usize {
    let start = rng.random_range(0..open.len());
    let rotated = open[start..].iter().chain(&open[..start]);
    let mut best = open[start];
    let mut best_cost = cost(best);
    for &index in rotated {
        let cost = cost(index);
        if cost < best_cost {
            (best, best_cost) = (index, cost);
        }
    }
    best
}

/// Expected wait, in units of the upstream's usual latency: lower is better.
fn score(upstream: &UpstreamState) -> f64 {
    let slots = f64::from(upstream.published.slots.0.max(1));
    let reported = match &upstream.load {
        Some((_, load)) => f64::from(load.busy.0 + load.queued),
        None => 0.0,
    };
    let busy = reported.max(f64::from(upstream.in_flight)) + 1.0;
    let latency_ms = upstream.latency_ms.unwrap_or(1.0).max(1.0);
    let load = (busy / slots) * latency_ms;
    load * (1.0 + ERROR_PENALTY * upstream.error_share)
}
