//! Choosing an upstream from what this host alone knows.
//!
//! A closed set of policies: the baselines, and the load-aware way that the others are
//! measured against and that slot leases fall back to.

use crate::estimate::rounds;
use crate::upstream::UpstreamState;
use config::Policy;
use domain::Millis;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Service time assumed while no upstream of the service has answered.
const UNKNOWN_SERVICE_MS: f64 = 50.0;
/// Rounds of service that a full upstream costs more than an empty one.
const FILL_COST: f64 = 0.25;
/// Cost of a sure failure, as a multiple of the service's usual service time.
const FAILURE_COST: f64 = 20.0;
/// Silence after which errors count for half.
const ERROR_HALF_LIFE_MS: f64 = 2000.0;
/// Age, as a multiple of the usual service time, at which a report has lost most of its worth.
const REPORT_MEMORY: f64 = 2.0;

/// The upstream to send to, as an index; `None` if none of `open` is eligible.
///
/// `open` holds the indices of upstreams that may receive the call.
pub fn choose(
    now_ms: Millis,
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
            let usual = Usual::of(upstreams);
            best_of(open, rng, |i| usual.cost_ms(now_ms, &upstreams[i]))
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

/// What upstreams of a service are like on average.
#[derive(Debug, Clone, Copy)]
pub struct Usual {
    service_ms: f64,
    requests: f64,
}

impl Usual {
    /// The average over those that were heard of.
    pub fn of(upstreams: &[UpstreamState]) -> Usual {
        let times = upstreams.iter().filter_map(|upstream| upstream.estimate.service_ms());
        let requests = upstreams.iter().filter_map(|upstream| upstream.estimate.reported());
        Usual {
            service_ms: average(times).unwrap_or(UNKNOWN_SERVICE_MS).max(1.0),
            requests: average(requests).unwrap_or(0.0),
        }
    }

    /// Rounds of service that a call takes there, its queue included.
    pub fn rounds(&self, now_ms: Millis, upstream: &UpstreamState) -> f64 {
        rounds(self.requests_at(now_ms, upstream), upstream.published.slots)
    }

    /// Expected time to an answer if a call goes there now, failures priced in.
    ///
    /// Among upstreams with a free slot the emptier one is a little cheaper.
    pub fn cost_ms(&self, now_ms: Millis, upstream: &UpstreamState) -> f64 {
        self.cost_of(now_ms, upstream, self.requests_at(now_ms, upstream))
    }

    /// The same where `lent` requests were lent there by this host's account; what others
    /// send past it shows in fresh reports.
    pub fn cost_of_lent_ms(&self, now_ms: Millis, upstream: &UpstreamState, lent: u32) -> f64 {
        let memory_ms = REPORT_MEMORY * self.service_ms;
        let fresh = upstream.estimate.fresh(now_ms, memory_ms);
        self.cost_of(now_ms, upstream, f64::from(lent).max(fresh))
    }

    fn cost_of(&self, now_ms: Millis, upstream: &UpstreamState, there: f64) -> f64 {
        let slots = upstream.published.slots;
        let fill = (there + 1.0) / f64::from(slots.0.max(1));
        let service_ms = upstream.estimate.service_ms().unwrap_or(self.service_ms).max(1.0);
        let load = rounds(there, slots) + FILL_COST * fill;
        load * service_ms + self.failure_cost_ms(now_ms, upstream)
    }

    fn requests_at(&self, now_ms: Millis, upstream: &UpstreamState) -> f64 {
        let memory_ms = REPORT_MEMORY * self.service_ms;
        upstream.estimate.requests(now_ms, self.requests, memory_ms)
    }

    fn failure_cost_ms(&self, now_ms: Millis, upstream: &UpstreamState) -> f64 {
        let silence_ms = upstream.heard_ms.map_or(Millis::ZERO, |heard_ms| now_ms.since(heard_ms));
        let still = (-silence_ms.as_f64() / ERROR_HALF_LIFE_MS).exp2();
        upstream.error_share * still * FAILURE_COST * self.service_ms
    }
}

fn average(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    (count > 0.0).then(|| sum / count)
}
