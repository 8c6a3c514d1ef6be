//! Slots that less urgent requests leave free for more urgent ones.
//!
//! A slot that a long request takes is lost for longer than an urgent short one can wait. So as
//! many slots are kept free as the urgent arrivals of the last second need within their slack, less
//! those that become free by themselves within that slack, and a margin as both vary. With many
//! slots nothing is kept, as enough of them become free. Slots that no urgent request could use
//! aren't kept either, and at most [`MAX_RESERVED_SHARE`] of those that they can use.
//!
//! The mean rate of the last second decides. It underestimates bursts of urgent requests, so if
//! less urgent requests were served more often than urgent ones, the most arrivals within one slack
//! decide.

use super::Scheduler;
use super::forecast::Forecast;
use super::request::QueuedRequest;
use crate::load::MIN_SLOWNESS;
use crate::route_times::{MAX_ROUTES, RouteKey};
use crate::upstream_set::UpstreamSet;
use domain::{FastMap, FastSet, Millis, UpstreamId};
use std::collections::VecDeque;

/// Largest part of the usable slots that is kept free; the rest is left to less urgent requests.
const MAX_RESERVED_SHARE: f64 = 0.5;

/// How far back arrivals count.
const WINDOW_MS: Millis = Millis(1_000);

/// Shortest slack that is assumed; waiting requests are re-evaluated at this interval.
const MIN_SLACK_MS: Millis = Millis(4);

/// Standard deviations of arrivals and released slots that are kept beyond the mean: without any,
/// urgent requests find no slot whenever a few long ones take longer than expected.
const MARGIN_DEVIATIONS: f64 = 1.0;

/// Arrivals kept for one route, to bound memory; far more than the slots of a cell.
const MAX_ARRIVALS: usize = 2_000;

/// Recent arrivals by priority and route.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    routes: FastMap<(u32, RouteKey), RouteArrivals>,
}

#[derive(Debug, Default)]
struct RouteArrivals {
    at_ms: VecDeque<Millis>,
    /// Objective of the last arrival.
    objective_ms: Millis,
}

/// What is kept free from requests of one priority.
#[derive(Debug, Default)]
pub(super) struct Reserve {
    /// Number of slots.
    pub(super) slots: u32,
    /// The upstreams that urgent requests could use.
    usable: FastSet<UpstreamId>,
}

/// What the urgent requests of one route need.
#[derive(Debug, Clone, Copy)]
struct Need {
    route: RouteKey,
    objective_ms: Millis,
    /// Time that such a request can wait.
    slack_ms: Millis,
    /// Number of slots that such requests need.
    slots: f64,
}

impl Arrivals {
    /// Records an arrival; further attempts of a host aren't arrivals.
    pub(super) fn record(&mut self, now_ms: Millis, request: &QueuedRequest) {
        let key = (request.priority, request.route);
        let is_known = self.routes.contains_key(&key);
        if request.is_retry() || !is_known && self.routes.len() >= MAX_ROUTES {
            return;
        }
        let route = self.routes.entry(key).or_default();
        route.objective_ms = request.objective_ms;
        route.at_ms.push_back(now_ms);
        if route.at_ms.len() > MAX_ARRIVALS {
            route.at_ms.pop_front();
        }
    }

    /// Drops arrivals that no longer count.
    pub(super) fn expire(&mut self, now_ms: Millis) {
        self.routes.retain(|_, route| {
            let is_recent = |at_ms: &Millis| now_ms.since(*at_ms) < WINDOW_MS;
            let expired = route.at_ms.iter().position(is_recent).unwrap_or(route.at_ms.len());
            route.at_ms.drain(..expired);
            !route.at_ms.is_empty()
        });
    }

    /// What the routes that are more urgent than this priority need, the least slack first: slots
    /// for the mean rate of arrivals, or with `is_peak` for the most arrivals within one slack at
    /// once.
    fn needs(
        &self,
        now_ms: Millis,
        priority: u32,
        is_peak: bool,
        expected_ms: impl Fn(RouteKey) -> Option<Millis>,
    ) -> Vec<Need> {
        let need = |(&(_, route), arrivals): (&(u32, RouteKey), &RouteArrivals)| {
            let service_time_ms = expected_ms(route)?;
            let objective_ms = arrivals.objective_ms;
            let slack_ms = objective_ms.since(service_time_ms + service_time_ms).max(MIN_SLACK_MS);
            // One slot serves several requests within a slack that is longer than they are.
            let held_ms = slack_ms.min(service_time_ms);
            let mean = arrivals.count(now_ms) as f64 * held_ms.as_f64() / WINDOW_MS.as_f64();
            let slots = if is_peak { arrivals.peak(now_ms, slack_ms) as f64 } else { mean };
            Some(Need { route, objective_ms, slack_ms, slots })
        };
        let urgent = self.routes.iter().filter(|((other, _), _)| *other < priority);
        let mut needs: Vec<Need> = urgent.filter_map(need).collect();
        needs.retain(|need| need.slots > 0.0);
        needs.sort_by_key(|need| need.slack_ms);
        needs
    }
}

impl RouteArrivals {
    /// Number of arrivals of the last second.
    fn count(&self, now_ms: Millis) -> usize {
        self.recent(now_ms).count()
    }

    /// The most arrivals of the last second within a span.
    fn peak(&self, now_ms: Millis, span_ms: Millis) -> usize {
        let recent: Vec<Millis> = self.recent(now_ms).collect();
        let within_span = |from: usize| {
            let earliest_ms = recent[from] - span_ms;
            recent[from..].partition_point(|at_ms| *at_ms >= earliest_ms)
        };
        (0..recent.len()).map(within_span).max().unwrap_or(0)
    }

    /// The arrivals of the last second, the latest first.
    fn recent(&self, now_ms: Millis) -> impl Iterator<Item = Millis> {
        let is_recent = move |at_ms: &Millis| now_ms.since(*at_ms) < WINDOW_MS;
        self.at_ms.iter().rev().copied().take_while(is_recent)
    }
}

impl Reserve {
    /// Whether an upstream's free slots are among those that are kept.
    pub(super) fn includes(&self, id: &UpstreamId) -> bool {
        self.usable.contains(id)
    }
}

impl Scheduler {
    /// What is kept free from requests of this priority.
    pub(super) fn reserve(
        &self,
        now_ms: Millis,
        priority: u32,
        upstreams: &UpstreamSet,
        forecast: &Forecast,
    ) -> Reserve {
        let expected_ms = |route| upstreams.expected_ms(&self.cell.service, route, 1.0);
        let is_peak = self.shares.exceeds_more_urgent(now_ms, priority);
        let needs = self.arrivals.needs(now_ms, priority, is_peak, expected_ms);
        if needs.is_empty() {
            return Reserve::default();
        }
        let is_usable = |id: &&UpstreamId| {
            needs.iter().any(|need| self.is_in_time_at(now_ms, id, need, upstreams))
        };
        let usable: FastSet<UpstreamId> =
            forecast.upstreams.iter().filter(is_usable).cloned().collect();
        let best = |id| upstreams.curve(id).map_or(0, |curve| curve.best_concurrency());
        let slots: u32 = usable.iter().map(best).sum();
        let most = f64::from(slots) * MAX_RESERVED_SHARE;
        let slots = self.missing_slots(now_ms, &needs, &usable).ceil().min(most.floor());
        Reserve { slots: slots as u32, usable }
    }

    /// Number of free slots on the upstreams of a reserve.
    pub(super) fn free_slots(
        &self,
        now_ms: Millis,
        reserve: &Reserve,
        upstreams: &UpstreamSet,
    ) -> u32 {
        let load = upstreams.load(&self.cell.service);
        let free = |id: &UpstreamId| {
            let (state, curve) = (upstreams.get(id)?, upstreams.curve(id)?);
            let own = curve.best_concurrency().saturating_sub(state.in_flight());
            let occupied = state.estimated_requests(now_ms, load);
            let all = (f64::from(state.entry.slots.0) - occupied).round().max(0.0);
            Some(own.min(all as u32))
        };
        reserve.usable.iter().filter_map(free).sum()
    }

    /// Whether a request of this route could be in time on a free slot there. Where a rate limit
    /// applies, slots don't decide that.
    fn is_in_time_at(
        &self,
        now_ms: Millis,
        id: &UpstreamId,
        need: &Need,
        upstreams: &UpstreamSet,
    ) -> bool {
        let Some(state) = upstreams.get(id).filter(|_| upstreams.fleet_rate(now_ms, id).is_none())
        else {
            return false;
        };
        let service = &self.cell.service;
        let slowness = state.slowness(now_ms, upstreams.load(service)).max(MIN_SLOWNESS);
        let expected_ms = upstreams.expected_ms(service, need.route, slowness);
        expected_ms.is_some_and(|expected_ms| expected_ms <= need.objective_ms)
    }

    /// The most slots that are needed within one of the slacks beyond those that become free, and a
    /// margin as both vary.
    fn missing_slots(&self, now_ms: Millis, needs: &[Need], usable: &FastSet<UpstreamId>) -> f64 {
        // Mean and variance of the number of slots that become free.
        let released = |slack_ms: Millis| {
            let at_usable = self.placed.iter().filter(|placed| usable.contains(&placed.upstream));
            at_usable
                .map(|placed| placed.end_probability(now_ms, slack_ms))
                .fold((0.0, 0.0), |(mean, variance), p| (mean + p, variance + p * (1.0 - p)))
        };
        let mut needed = 0.0;
        let short = needs.iter().map(|need| {
            needed += need.slots;
            let (mean, variance) = released(need.slack_ms);
            needed - mean + MARGIN_DEVIATIONS * f64::sqrt(needed + variance)
        });
        short.fold(0.0, f64::max)
    }
}
