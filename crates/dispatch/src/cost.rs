//! What a request would cost at an upstream.
//!
//! Everything is weighed in times of the usual working time of the service. What a request
//! is expected to take there is made of slowness, waiting and coldness; failures and the
//! price of another availability zone add to the cost by which upstreams are compared.

use crate::cold::{COLD_SLOWNESS, Warmth};
use crate::curve::SpeedCurve;
use crate::load::LEAST_SLOWNESS;
use crate::service_load::ServiceLoad;
use crate::upstream::UpstreamState;
use domain::{Millis, UpstreamId};

/// What another availability zone adds: its bytes are paid for, and the way is longer. With 0.35
/// a tenth more bytes went between zones, and no more requests were in time.
const OTHER_ZONE: f64 = 0.7;

/// What failures of all requests add, in times of the expected work. With 12 sound upstreams
/// in bad luck were shunned, which cost 0.003 of the worth of the sites' days; 1 cost as much.
const FAILURE_WEIGHT: f64 = 3.0;

/// What all slots taken add besides, so that the emptier of two is preferred.
const USED_WEIGHT: f64 = 0.2;

/// An upstream, weighed.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Its id.
    pub upstream: UpstreamId,
    /// How long a request would take, in times of the usual.
    pub work: f64,
    /// By which upstreams are compared; the least is best.
    pub cost: f64,
}

/// What an upstream is weighed by, besides what is known of it.
#[derive(Debug, Clone, Copy)]
pub struct CostInputs<'a> {
    /// Load of its service.
    pub load: ServiceLoad,
    /// How its like slow down as slots fill.
    pub curve: &'a SpeedCurve,
    /// Now.
    pub now_ms: Millis,
    /// Whether the request comes from another availability zone.
    pub is_other_zone: bool,
}

/// Weighs an upstream for a request that would be sent now.
pub fn estimate_cost(known: &UpstreamState, inputs: CostInputs<'_>) -> Candidate {
    let slots = f64::from(known.entry.slots.0.max(1));
    let running = known.estimated_requests(inputs.now_ms, inputs.load) + 1.0;
    let wait = ((running - slots) / slots).max(0.0);
    let cold = match known.warmth(inputs.now_ms) {
        Warmth::Warm => 1.0,
        Warmth::Cold | Warmth::Unknown => COLD_SLOWNESS,
    };
    let slow = known.slowness(inputs.now_ms, inputs.load).max(LEAST_SLOWNESS) * cold;
    let work = slow * (1.0 / inputs.curve.speed(running) + wait);
    let used = slow * USED_WEIGHT * (running / slots).min(1.0);
    let failing = 1.0 + FAILURE_WEIGHT * known.failure_rate(inputs.now_ms);
    let other_zone = if inputs.is_other_zone { OTHER_ZONE } else { 0.0 };
    Candidate { upstream: known.entry.id.clone(), work, cost: (work + used) * failing + other_zone }
}
