//! Decides when the caller of a request that upstreams rejected may retry.
//!
//! Some upstreams reject requests for reasons other than load. Waiting gains nothing there, and a
//! caller that waits as long as for a full upstream returns too late for its objective. So each
//! host keeps, for each service, the rejections of the last second with the load that the rejecting
//! upstreams reported. Only the time of the retry depends on them: whether a request is refused,
//! and with which status, is decided elsewhere.

use crate::LoadReport;
use crate::attempts::{Cause, DEFAULT_RETRY_AFTER_MS, Refusal};
use crate::load::MIN_SLOWNESS;
use domain::{FastMap, Millis, ServiceName};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use std::collections::VecDeque;
use std::ops::RangeInclusive;

/// Age up to which rejections and load reports count; the load of upstreams shifts within a second.
pub const REJECTION_WINDOW_MS: Millis = Millis(1_000);

/// Most rejections that are kept for a service, to bound memory; the latest count.
const MAX_KEPT: usize = 64;

/// Shortest wait where upstreams have room. Callers return on a new connection, which takes a round
/// trip anyway.
const MIN_WAIT_WITH_ROOM_MS: Millis = Millis(5);

/// The longest wait where upstreams have room is the time left after the expected service time,
/// divided by this: a caller that is rejected twice still has three quarters of that time.
const MAX_WAIT_DIVISOR_WITH_ROOM: u64 = 8;

/// Shortest wait where upstreams are full; less would bring no relief.
const MIN_WAIT_IF_FULL_MS: Millis = Millis(30);

/// Upper bound of the shortest wait where upstreams are full; load changes within a second.
const MAX_WAIT_IF_FULL_MS: Millis = Millis(1_000);

/// Before a service time is learned, what is left of the objective divided by this is assumed.
const UNKNOWN_SERVICE_TIME_DIVISOR: u64 = 3;

/// What recent rejections show about a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RejectionState {
    /// Upstreams reject requests though they report free slots: load isn't the reason.
    WithRoom,
    /// Upstreams reject requests and report no free slot.
    Full,
}

impl RejectionState {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RejectionState::WithRoom => "with-room",
            RejectionState::Full => "full",
        }
    }
}

/// What is known of the upstream that rejected a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RejectingUpstream {
    /// It stated a rate limit or asked this host to back off.
    Limited,
    /// It reported this load, in the same response or shortly before.
    Reported(LoadReport),
}

/// A request that is refused, with the times that its retry depends on.
#[derive(Debug, Clone, Copy)]
pub struct RefusedRequest<'a> {
    /// Its service.
    pub service: &'a ServiceName,
    /// Time left of its objective.
    pub objective_left_ms: Millis,
    /// Expected service time of its route; none before one is learned.
    pub route_time_ms: Option<Millis>,
    /// Mean service time of the service; none before one is learned.
    pub mean_time_ms: Option<Millis>,
}

/// Recent rejections, by service.
#[derive(Debug, Default)]
pub struct Rejections {
    services: FastMap<ServiceName, RecentRejections>,
    /// When services without recent rejections were last dropped.
    pruned_ms: Millis,
}

/// Recent rejections of one service, the oldest first.
#[derive(Debug, Default)]
struct RecentRejections {
    rejections: VecDeque<(Millis, Evidence)>,
}

/// What one rejection shows.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Evidence {
    /// The upstream reported a free slot.
    Room,
    /// The upstream frees a slot after this many service times.
    Full(f64),
    /// The upstream stated a rate limit or asked this host to back off.
    Limit,
}

impl Rejections {
    /// Records that an upstream of a service rejected a request.
    pub fn record(&mut self, now_ms: Millis, service: &ServiceName, upstream: RejectingUpstream) {
        if now_ms.since(self.pruned_ms) >= REJECTION_WINDOW_MS {
            self.services.retain(|_, recent| recent.within_window(now_ms).next().is_some());
            self.pruned_ms = now_ms;
        }
        let rejections = &mut self.services.entry(service.clone()).or_default().rejections;
        if rejections.len() >= MAX_KEPT {
            rejections.pop_front();
        }
        rejections.push_back((now_ms, Evidence::of(upstream)));
    }

    /// Number of services with rejections that are kept.
    pub fn services(&self) -> usize {
        self.services.len()
    }

    /// Adapts the time after which the caller may retry to recent rejections, and draws it at
    /// random.
    ///
    /// An overloaded service is asked no sooner because some upstreams reject with room: the
    /// request was refused since none was expected to respond in time.
    pub fn adapt_retry_after(
        &self,
        now_ms: Millis,
        refusal: Refusal,
        request: RefusedRequest<'_>,
        rng: &mut Pcg64Mcg,
    ) -> Refusal {
        let Some(recent) = self.services.get(request.service) else { return refusal };
        let state = recent.state(now_ms);
        let wait_ms = match (refusal.cause, state) {
            (Cause::UpstreamsRefused, Some(RejectionState::WithRoom)) => wait_with_room(request),
            (Cause::UpstreamsRefused | Cause::Overloaded, Some(RejectionState::Full)) => {
                recent.wait_if_full(now_ms, request)
            }
            _ => return refusal,
        };
        let wait_ms = wait_ms.unwrap_or(spread(DEFAULT_RETRY_AFTER_MS));
        let drawn_ms = Millis(rng.random_range(wait_ms));
        Refusal { retry_after_ms: Some(drawn_ms), rejection_state: state, ..refusal }
    }
}

impl RecentRejections {
    /// What the rejections within the window show, the latest first.
    fn within_window(&self, now_ms: Millis) -> impl Iterator<Item = Evidence> {
        let is_recent =
            move |&&(at_ms, _): &&(Millis, Evidence)| now_ms.since(at_ms) < REJECTION_WINDOW_MS;
        self.rejections.iter().rev().take_while(is_recent).map(|&(_, evidence)| evidence)
    }

    /// What most of the rejections show; none if most upstreams are limited or nothing is known.
    ///
    /// Where as many are full as have room, callers wait as for a full service: asking a full one
    /// too soon does more harm than a longer wait.
    fn state(&self, now_ms: Millis) -> Option<RejectionState> {
        let (mut room, mut full, mut limited) = (0, 0, 0);
        for evidence in self.within_window(now_ms) {
            match evidence {
                Evidence::Room => room += 1,
                Evidence::Full(_) => full += 1,
                Evidence::Limit => limited += 1,
            }
        }
        match room > full {
            _ if limited >= room + full => None,
            true => Some(RejectionState::WithRoom),
            false => Some(RejectionState::Full),
        }
    }

    /// Range of the wait, in milliseconds, until the rejecting upstreams free a slot on average;
    /// none before a service time is learned.
    fn wait_if_full(
        &self,
        now_ms: Millis,
        request: RefusedRequest<'_>,
    ) -> Option<RangeInclusive<u64>> {
        let mean_time_ms = request.mean_time_ms?.as_f64();
        let (mut sum, mut count) = (0.0, 0.0);
        for evidence in self.within_window(now_ms) {
            if let Evidence::Full(service_times) = evidence {
                (sum, count) = (sum + service_times, count + 1.0);
            }
        }
        let free_in_ms = Millis((mean_time_ms * sum / f64::max(count, 1.0)).ceil() as u64);
        Some(spread(free_in_ms.clamp(MIN_WAIT_IF_FULL_MS, MAX_WAIT_IF_FULL_MS)))
    }
}

impl Evidence {
    fn of(upstream: RejectingUpstream) -> Evidence {
        let RejectingUpstream::Reported(report) = upstream else { return Evidence::Limit };
        let requests = report.running.saturating_add(report.waiting);
        match requests.checked_sub(report.slots.0) {
            None => Evidence::Room,
            // The request that returns needs a slot as well.
            Some(queued) => {
                let slots = f64::from(report.slots.0.max(1));
                let slowness = report.slowness().max(MIN_SLOWNESS);
                Evidence::Full((f64::from(queued) + 1.0) / slots * slowness)
            }
        }
    }
}

/// Range of the wait, in milliseconds, where upstreams have room; none if the objective leaves no
/// time for another attempt.
fn wait_with_room(request: RefusedRequest<'_>) -> Option<RangeInclusive<u64>> {
    let left_ms = request.objective_left_ms;
    let unknown_ms = Millis(left_ms.0 / UNKNOWN_SERVICE_TIME_DIVISOR);
    let spare_ms = left_ms.since(request.route_time_ms.unwrap_or(unknown_ms));
    let shortest_ms = MIN_WAIT_WITH_ROOM_MS;
    // Twice the shortest at least, so that callers rejected together don't return together.
    let longest_ms = Millis(spare_ms.0 / MAX_WAIT_DIVISOR_WITH_ROOM).max(shortest_ms + shortest_ms);
    (spare_ms >= shortest_ms).then(|| shortest_ms.0..=longest_ms.min(spare_ms).0)
}

/// Range in milliseconds from a time to twice that time, as the host extends the times of other
/// refusals.
fn spread(shortest_ms: Millis) -> RangeInclusive<u64> {
    shortest_ms.0..=(shortest_ms + shortest_ms).0
}
