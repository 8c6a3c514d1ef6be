//! The choice of an upstream.
//!
//! Everything is weighed in times of the usual working time of the service. What a request
//! is expected to take there is made of slowness, waiting and warming up; failures and the
//! price of another availability zone add to the cost by which upstreams are compared.

use crate::service_load::ServiceLoad;
use crate::upstream::Known;
use domain::{Millis, UpstreamId};

/// Upstreams that are asked at once before a request is sent. With three the credit of a
/// quiet day is 0.97; a fourth gained nothing, random choice earned 0.62 to 0.70.
pub const ASKED_AT_ONCE: usize = 3;

/// Cost up to which nobody else is asked.
pub const GOOD_ENOUGH: f64 = 2.0;

/// What another availability zone adds: its bytes are paid for, and the way is longer.
const OTHER_ZONE: f64 = 0.35;

/// What failures of all requests add, in times of the expected work. With 12 sound upstreams
/// in bad luck were shunned, which cost 0.003 of the worth of the sites' days; 1 cost as much.
const FAILURE_WEIGHT: f64 = 3.0;

/// Upstreams slow down from this part of their slots on.
const KNEE: f64 = 0.75;

/// How much slower they are with all slots taken.
const KNEE_SLOWDOWN: f64 = 0.7;

/// What all slots taken add besides, so that the emptier of two is preferred.
const USED_WEIGHT: f64 = 0.2;

/// How much slower an upstream works that has just started.
const WARMING_UP: f64 = 2.0;

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

/// Weighs an upstream for a request that would be sent now.
pub fn weigh(
    id: &UpstreamId,
    known: &Known,
    service: ServiceLoad,
    now_ms: Millis,
    is_other_zone: bool,
) -> Candidate {
    let work = expected_work(known, service, now_ms);
    let other_zone = if is_other_zone { OTHER_ZONE } else { 0.0 };
    let cost = work * (1.0 + FAILURE_WEIGHT * known.failure_share(now_ms)) + other_zone;
    Candidate { upstream: id.clone(), work, cost }
}

fn expected_work(known: &Known, service: ServiceLoad, now_ms: Millis) -> f64 {
    let slots = f64::from(known.entry.slots.0.max(1));
    let occupied = known.occupied(now_ms, service);
    let used = ((occupied + 1.0) / slots).min(1.0);
    let knee = 1.0 + KNEE_SLOWDOWN * ((used - KNEE) / (1.0 - KNEE)).max(0.0);
    let wait = ((occupied + 1.0 - slots) / slots).max(0.0);
    let warming_up = if known.is_warming_up(now_ms) { WARMING_UP } else { 1.0 };
    let slow = known.slowness(now_ms, service).max(0.1) * warming_up;
    slow * (knee + wait + USED_WEIGHT * used)
}
