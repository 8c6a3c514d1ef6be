//! Estimates the cost of a request at an upstream, in multiples of its route's service time.
//!
//! The expected work consists of slowness, queueing and warm-up; recent failures and crossing
//! availability zones add to the cost by which upstreams are compared.

use crate::cold::{COLD_SLOWNESS, Warmth};
use crate::curve::SpeedCurve;
use crate::load::MIN_SLOWNESS;
use crate::service_load::ServiceLoad;
use crate::upstream::UpstreamState;
use domain::{Millis, UpstreamId};

/// Added for an upstream in another availability zone: traffic between zones is paid for and
/// slower.
const OTHER_ZONE_COST: f64 = 0.7;

/// Added if all requests fail, in multiples of the work. Higher would exclude healthy upstreams
/// after a few chance failures.
const FAILURE_WEIGHT: f64 = 3.0;

/// Added if all slots are in use, in multiples of the slowness, so that the emptier of two
/// upstreams is preferred.
const OCCUPANCY_WEIGHT: f64 = 0.2;

/// An upstream and its estimated cost.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Expected duration of the request, in multiples of its route's service time.
    pub work: f64,
    /// What upstreams are compared by; the lowest is best.
    pub cost: f64,
}

/// Inputs of an estimate besides the state of the upstream.
#[derive(Debug, Clone, Copy)]
pub struct CostInputs<'a> {
    /// Load of its service.
    pub load: ServiceLoad,
    /// Speed by concurrency of upstreams with its number of slots.
    pub curve: &'a SpeedCurve,
    /// Present time.
    pub now_ms: Millis,
    /// Whether the request comes from another availability zone.
    pub is_other_zone: bool,
    /// Mean service time of the service in multiples of the route's: a request queues behind
    /// requests of all routes.
    pub mean_to_route_ratio: f64,
}

/// Estimates the cost of sending a request to an upstream now.
pub fn estimate_cost(state: &UpstreamState, inputs: CostInputs<'_>) -> Candidate {
    let slots = f64::from(state.entry.slots.0.max(1));
    let running = state.estimated_requests(inputs.now_ms, inputs.load) + 1.0;
    let wait = ((running - slots) / slots).max(0.0);
    let cold_factor = match state.warmth(inputs.now_ms) {
        Warmth::Warm => 1.0,
        Warmth::Cold | Warmth::Unknown => COLD_SLOWNESS,
    };
    let slowness = state.slowness(inputs.now_ms, inputs.load).max(MIN_SLOWNESS) * cold_factor;
    let work = slowness * (1.0 / inputs.curve.speed(running) + wait * inputs.mean_to_route_ratio);
    let occupancy_cost = slowness * OCCUPANCY_WEIGHT * (running / slots).min(1.0);
    let failure_factor = 1.0 + FAILURE_WEIGHT * state.failure_rate(inputs.now_ms);
    let zone_cost = if inputs.is_other_zone { OTHER_ZONE_COST } else { 0.0 };
    Candidate {
        upstream: state.entry.id.clone(),
        work,
        cost: (work + occupancy_cost) * failure_factor + zone_cost,
    }
}
