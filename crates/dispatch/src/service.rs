//! State of a service: its upstreams, their common load, and its service times.

use crate::LoadReport;
use crate::curve::{Occupancy, SpeedCurve};
use crate::load::MIN_SLOWNESS;
use crate::route_times::{Baseline, RouteKey, RouteTime, RouteTimes};
use crate::service_load::ServiceLoad;
use crate::subset::Subset;
use domain::{Millis, PerSecond, Slots, UpstreamId};

/// Weight of one response in the moving averages of a service: some twenty responses count.
const DURATION_WEIGHT: f64 = 0.05;

/// The same for a response whose concurrency and slowness are known.
const SAMPLE_WEIGHT: f64 = 0.02;

/// Responses that were expected to take longer than this multiple of the baseline say little about
/// it.
const MAX_BASELINE_WORK: f64 = 1.6;

/// Range to which one response's ratio of actual to expected duration is limited in
/// [`Service::overrun`].
const OVERRUN_RANGE: (f64, f64) = (0.5, 4.0);

/// Samples of the baseline that are needed before speed curves are learned by comparison with it:
/// the mean of twenty is known to a fifteenth.
const MIN_SAMPLES: u32 = 20;

/// Service time of a request on an upstream whose slowness did not change meanwhile.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceTimeSample {
    /// The request's route.
    pub route: RouteKey,
    /// For how long it ran at which concurrency.
    pub occupancy: Occupancy,
    /// Slowness of the upstream, in multiples of the baseline.
    pub slowness: f64,
}

#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) upstreams: Vec<UpstreamId>,
    pub(crate) subset: Subset,
    pub(crate) load: ServiceLoad,
    /// Rate that a cold upstream can take from the whole fleet, if one is configured.
    pub(crate) cold_rate: Option<PerSecond>,
    /// One per number of slots among its upstreams.
    curves: Vec<SpeedCurve>,
    baseline: Baseline,
    routes: RouteTimes,
    /// Moving average of the ratio of actual to expected duration, for busy or slow upstreams.
    overrun: f64,
}

impl Default for Service {
    fn default() -> Service {
        Service {
            upstreams: Vec::new(),
            subset: Subset::default(),
            load: ServiceLoad::default(),
            cold_rate: None,
            curves: Vec::new(),
            baseline: Baseline::default(),
            routes: RouteTimes::default(),
            overrun: 1.0,
        }
    }
}

impl Service {
    /// Adds a curve for upstreams with this number of slots, if there is none.
    pub(crate) fn ensure_curve(&mut self, slots: Slots) {
        if self.curve(slots).is_none() {
            self.curves.push(SpeedCurve::new(slots));
        }
    }

    /// Speed curve of upstreams with this number of slots.
    pub(crate) fn curve(&self, slots: Slots) -> Option<&SpeedCurve> {
        self.curves.iter().find(|curve| curve.slots() == slots)
    }

    pub(crate) fn record_report(&mut self, report: &LoadReport, in_flight: u32) {
        self.load.record(report, in_flight);
    }

    /// Records the duration of a response where only the expected work is known.
    pub(crate) fn record_duration(&mut self, route: RouteKey, took_ms: Millis, work: f64) {
        match work > MAX_BASELINE_WORK {
            true => self.record_overrun(route, took_ms, work),
            false => self.record_baseline(route, took_ms.as_f64() / work.max(1.0), DURATION_WEIGHT),
        }
    }

    fn record_baseline(&mut self, route: RouteKey, sample_ms: f64, weight: f64) {
        self.baseline.record(sample_ms, weight);
        self.routes.record(route, sample_ms, weight);
    }

    /// Updates the overrun by a response whose expected work shows that the upstream was busy or
    /// slow; ignores any other.
    pub(crate) fn record_overrun(&mut self, route: RouteKey, took_ms: Millis, work: f64) {
        let Some(baseline_ms) = self.baseline_ms(route).filter(|_| work > MAX_BASELINE_WORK) else {
            return;
        };
        let ratio = took_ms.as_f64() / (baseline_ms * work).max(1.0);
        self.overrun +=
            (ratio.clamp(OVERRUN_RANGE.0, OVERRUN_RANGE.1) - self.overrun) * DURATION_WEIGHT;
    }

    /// Records the service time of a request.
    ///
    /// The baseline is learned from requests that started at low concurrency, and the curve from
    /// all others: learned from the same responses, each would compensate for errors of the other.
    ///
    /// The curve is learned by comparison with the route's own baseline. Compared with the
    /// service's, requests of a longer route would seem to be slowed down by other requests.
    pub(crate) fn record_service_time(&mut self, slots: Slots, sample: &ServiceTimeSample) {
        let reference = self.routes.get(sample.route).unwrap_or(self.baseline);
        let Some(curve) = self.curves.iter_mut().find(|curve| curve.slots() == slots) else {
            return;
        };
        let slowness = sample.slowness.max(MIN_SLOWNESS);
        match (reference.mean_ms, curve.is_baseline(&sample.occupancy)) {
            (_, true) => {
                let sample_ms = curve.baseline_ms(&sample.occupancy) / slowness;
                self.record_baseline(sample.route, sample_ms, SAMPLE_WEIGHT);
            }
            (Some(baseline_ms), false) if reference.samples >= MIN_SAMPLES => {
                curve.learn(&sample.occupancy, baseline_ms * slowness);
            }
            (_, false) => {}
        }
    }

    /// Expected duration of this much work of a route; `None` before anything was learned.
    pub(crate) fn expected_ms(&self, route: RouteKey, work: f64) -> Option<Millis> {
        let overrun = if work > MAX_BASELINE_WORK { self.overrun } else { 1.0 };
        self.baseline_ms(route).map(|baseline_ms| Millis((baseline_ms * work * overrun) as u64))
    }

    /// Mean service time of its requests, of all routes.
    pub(crate) fn mean_ms(&self) -> Option<Millis> {
        self.baseline.mean_ms.map(|mean_ms| Millis(mean_ms as u64))
    }

    /// Mean service time of the service in multiples of a route's; 1 before anything was learned.
    pub(crate) fn mean_to_route_ratio(&self, route: RouteKey) -> f64 {
        match (self.baseline.mean_ms, self.baseline_ms(route)) {
            (Some(mean_ms), Some(route_ms)) if route_ms > 0.0 => mean_ms / route_ms,
            _ => 1.0,
        }
    }

    /// What this host learned of a route, for another host; `None` as long as the service is known
    /// to have one route only.
    pub(crate) fn route_time(&self, route: RouteKey) -> Option<RouteTime> {
        let Baseline { mean_ms, samples } = self.routes.get(route)?;
        Some(RouteTime { mean_ms: Millis(mean_ms?.round() as u64), samples })
    }

    /// Takes over what another host learned of a route.
    pub(crate) fn adopt_route_time(&mut self, route: RouteKey, learned: RouteTime) {
        self.routes.adopt(route, learned);
    }

    /// Drops the service times of routes that no longer exist.
    pub(crate) fn retain_routes(&mut self, is_known: impl Fn(RouteKey) -> bool) {
        self.routes.retain(is_known);
    }

    /// Service time of a route at low concurrency and slowness 1.
    fn baseline_ms(&self, route: RouteKey) -> Option<f64> {
        self.routes.expected_ms(route, self.baseline.mean_ms)
    }
}
