//! Forecasts when a waiting request of a cell can be placed.

use super::Cell;
use super::placement_rates::optimistic_share;
use super::request::QueuedRequest;
use crate::backpressure::LONGEST_BACKOFF_MS;
use crate::fleet_rate::{FleetRate, LentShares, RateBudget};
use crate::load::MIN_SLOWNESS;
use crate::upstream_set::UpstreamSet;
use domain::{Millis, UpstreamId};

/// A request has to be placed this many service times of its route before its objective ends: a
/// response takes 1.3 times the baseline in one case of six, and longer when other load arrives
/// meanwhile.
const START_MARGIN: f64 = 2.0;

/// A queue with less work than this share of one mean request for each upstream doesn't predict the
/// wait: the load of upstreams changes within it. Requests were refused by it in calm times while
/// some upstreams were down.
const SHORT_QUEUE_SHARE: f64 = 0.3;

/// Baseline service time assumed before one is learned, as a share of the objective.
const DEFAULT_BASELINE_SHARE: f64 = 1.0 / 3.0;

/// Shortest `Retry-After`; less would bring no relief.
const MIN_RETRY_AFTER_MS: Millis = Millis(30);

/// Longest `Retry-After` unless rate limits apply; load changes within a second.
pub(super) const MAX_RETRY_AFTER_MS: Millis = Millis(1_000);

/// How far an upstream's failure rate may exceed its service's mean before nothing is placed on it:
/// since it fails fast it looks idle, and would attract all waiting requests.
const MAX_EXCESS_FAILURE_RATE: f64 = 0.4;

/// Sum of the service times of requests in milliseconds; their number before one is learned.
///
/// [`Candidate::work`](crate::cost::Candidate::work) is another measure: multiples of a service
/// time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Work(pub(super) u64);

/// State of a cell at one moment.
#[derive(Debug)]
pub(super) struct Forecast {
    /// Upstreams on which requests may be placed.
    pub(super) upstreams: Vec<UpstreamId>,
    /// Requests of the mean service time that all of them complete per millisecond under full load.
    throughput_per_ms: f64,
    /// If all of them are rate-limited: when the first one accepts its next request.
    next_permit_in_ms: Option<Millis>,
    /// Mean service time of the service's requests.
    baseline_ms: Option<Millis>,
}

impl Forecast {
    pub(super) fn new(
        now_ms: Millis,
        cell: &Cell,
        upstreams: &UpstreamSet,
        (budget, lent): (&RateBudget, LentShares),
    ) -> Forecast {
        let usable = usable_upstreams(now_ms, cell, upstreams);
        let baseline_ms = upstreams.mean_service_time_ms(&cell.service);
        let load = upstreams.load(&cell.service);
        let throughput_per_ms = |id: &UpstreamId| {
            let (state, curve) = (upstreams.get(id)?, upstreams.curve(id)?);
            let best = f64::from(curve.best_concurrency());
            let slowness = state.slowness(now_ms, load).max(MIN_SLOWNESS);
            let done = best * curve.speed(best) / slowness / baseline_ms?.as_f64().max(1.0);
            let allowed_per_ms =
                |limit: FleetRate| limit.rate.0 * optimistic_share(state, now_ms, lent) / 1_000.0;
            Some(
                upstreams
                    .fleet_rate(now_ms, id)
                    .map_or(done, |limit| done.min(allowed_per_ms(limit))),
            )
        };
        let throughput_per_ms = usable.iter().filter_map(throughput_per_ms).sum();
        let permits_in_ms = |id: &UpstreamId| {
            let (state, limit) = (upstreams.get(id)?, upstreams.fleet_rate(now_ms, id)?);
            Some(budget.next_request_in(now_ms, id, limit, optimistic_share(state, now_ms, lent)))
        };
        let permits_in_ms: Option<Vec<Millis>> = usable.iter().map(permits_in_ms).collect();
        let next_permit_in_ms = permits_in_ms.and_then(|all| all.into_iter().min());
        Forecast { upstreams: usable, throughput_per_ms, next_permit_in_ms, baseline_ms }
    }

    /// The work of a waiting request.
    pub(super) fn work(&self, request: &QueuedRequest) -> Work {
        let Some(baseline_ms) = self.baseline_ms else { return Work(1) };
        Work(request.service_time_ms.unwrap_or(baseline_ms).0.max(1))
    }

    /// Whether a request with this work ahead of it can't be placed early enough.
    pub(super) fn is_hopeless(&self, now_ms: Millis, request: &QueuedRequest, ahead: Work) -> bool {
        let is_short = self.mean_requests(ahead) < SHORT_QUEUE_SHARE * self.upstreams.len() as f64;
        let wait_ms = match is_short && self.next_permit_in_ms.is_none() {
            true => Millis::ZERO,
            false => self.wait_ms(ahead),
        };
        now_ms + wait_ms + Self::start_margin(request) > request.due_ms
    }

    /// Time until a request with as much time left could be placed early enough.
    pub(super) fn retry_after_ms(
        &self,
        now_ms: Millis,
        request: &QueuedRequest,
        ahead: Work,
    ) -> Millis {
        let slack_ms = request.due_ms.since(now_ms + Self::start_margin(request));
        let excess_ms = self.wait_ms(ahead) - slack_ms;
        let longest_ms = match self.next_permit_in_ms {
            Some(_) => LONGEST_BACKOFF_MS,
            None => MAX_RETRY_AFTER_MS,
        };
        excess_ms.clamp(MIN_RETRY_AFTER_MS, longest_ms)
    }

    /// Expected wait behind this work, until one more request of the mean service time has ended.
    /// Zero before a service time is learned, unless rate limits determine it.
    fn wait_ms(&self, ahead: Work) -> Millis {
        let ahead = self.mean_requests(ahead);
        if let Some(next_permit_in_ms) = self.next_permit_in_ms {
            let queue_ms = (ahead / self.throughput_per_ms.max(1e-6)).min(1e9) as u64;
            return next_permit_in_ms + Millis(queue_ms);
        }
        let wait_ms = ((ahead + 1.0) / self.throughput_per_ms.max(1e-6)).min(1e9) as u64;
        self.baseline_ms.map_or(Millis::ZERO, |_| Millis(wait_ms))
    }

    /// The number of requests of the mean service time with this work. With one route it is exactly
    /// the number of requests.
    fn mean_requests(&self, work: Work) -> f64 {
        work.0 as f64 / self.baseline_ms.map_or(1.0, |mean_ms| mean_ms.as_f64().max(1.0))
    }

    fn start_margin(request: &QueuedRequest) -> Millis {
        let unknown_ms = request.objective_ms.as_f64() * DEFAULT_BASELINE_SHARE;
        let service_time_ms = request.service_time_ms.map_or(unknown_ms, Millis::as_f64);
        Millis((service_time_ms * START_MARGIN) as u64)
    }
}

/// The upstreams that accept requests, are reachable and don't fail much more than the others. If
/// there are none, the result is empty for a cell of one zone, as other zones have some; for a cell
/// of the whole service it is all that accept requests, since the state may be outdated.
fn usable_upstreams(now_ms: Millis, cell: &Cell, upstreams: &UpstreamSet) -> Vec<UpstreamId> {
    let accepts_in_cell = |id: &&UpstreamId| {
        let is_in_cell = upstreams.get(id).is_some_and(|state| cell.contains(&state.entry));
        is_in_cell && upstreams.accepts_requests(id)
    };
    let all: Vec<&UpstreamId> =
        upstreams.of_service(&cell.service).iter().filter(accepts_in_cell).collect();
    let failure_rate =
        |id: &UpstreamId| upstreams.get(id).map_or(0.0, |state| state.failure_rate(now_ms));
    let mean = all.iter().map(|id| failure_rate(id)).sum::<f64>() / all.len().max(1) as f64;
    let is_usable = |id: &&UpstreamId| {
        let is_excluded = upstreams.get(id).is_some_and(|state| state.is_excluded(now_ms));
        !is_excluded && failure_rate(id) - mean < MAX_EXCESS_FAILURE_RATE
    };
    let usable: Vec<UpstreamId> = all.iter().copied().filter(is_usable).cloned().collect();
    match usable.is_empty() && cell.zone.is_none() {
        true => all.into_iter().cloned().collect(),
        false => usable,
    }
}
