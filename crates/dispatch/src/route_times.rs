//! Service times of the routes of one service.
//!
//! Routes of one service may differ tenfold in their service time. The time of a route is learned
//! from the same responses as the service's mean, and shrunk towards that mean until enough are
//! seen. Only routes with responses have an entry, and only the most recently used ones are kept:
//! any other route is assumed to take the service's mean.

use domain::{FastMap, Millis};
use serde::{Deserialize, Serialize};

/// Number of samples at which a route's own mean and its service's count equally: single durations
/// differ by a third, so the mean of ten is known to a tenth.
const PRIOR_SAMPLES: f64 = 10.0;

/// Most routes that are kept for a service, to bound memory.
pub const MAX_ROUTES: usize = 64;

/// Samples with which a time that another host learned counts at most. Few, so that this host's own
/// samples soon outweigh one that is outdated.
const MAX_ADOPTED_SAMPLES: u32 = 20;

/// Identifies a route of a service between hosts: a hash of its name.
///
/// Two routes with the same hash share one estimate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RouteKey(pub u32);

impl RouteKey {
    /// The only route of its service. Shorter in messages than a hash.
    pub const ONLY: RouteKey = RouteKey(0);

    /// The key of the route with this name: its FNV-1a hash, which is the same on every host.
    pub fn of(name: &str) -> RouteKey {
        const OFFSET_BASIS: u32 = 0x811c_9dc5;
        const PRIME: u32 = 0x0100_0193;
        let hash = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(PRIME);
        RouteKey(name.bytes().fold(OFFSET_BASIS, hash))
    }
}

/// The service time of a route, as a host learned it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTime {
    /// Mean service time at low concurrency and slowness 1.
    pub mean_ms: Millis,
    /// Responses that it was learned from.
    pub samples: u32,
}

/// A moving average of service times at low concurrency and slowness 1.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Baseline {
    /// None before the first sample.
    pub(crate) mean_ms: Option<f64>,
    pub(crate) samples: u32,
}

impl Baseline {
    /// Adds a sample, which counts with `weight` (0 to 1). The first samples count equally, so that
    /// a single outlier at the start has no lasting weight.
    pub(crate) fn record(&mut self, sample_ms: f64, weight: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = weight.max(1.0 / f64::from(self.samples));
        let mean_ms = self.mean_ms.get_or_insert(sample_ms);
        *mean_ms += (sample_ms - *mean_ms) * weight;
    }
}

/// Learned service times of one service's routes.
#[derive(Debug, Default)]
pub(crate) struct RouteTimes {
    entries: FastMap<RouteKey, Entry>,
    /// Number of uses so far, which orders the entries by their last use.
    uses: u64,
}

#[derive(Debug, Default)]
struct Entry {
    baseline: Baseline,
    /// Value of [`RouteTimes::uses`] at its last use.
    last_use: u64,
}

impl RouteTimes {
    /// Records the service time of one response.
    pub(crate) fn record(&mut self, route: RouteKey, sample_ms: f64, weight: f64) {
        self.entry(route).baseline.record(sample_ms, weight);
    }

    /// Takes over what another host learned, if this host learned less.
    pub(crate) fn adopt(&mut self, route: RouteKey, learned: RouteTime) {
        let known = self.entries.get(&route).map_or(0, |entry| entry.baseline.samples);
        let samples = learned.samples.min(MAX_ADOPTED_SAMPLES);
        if samples > known {
            let mean_ms = Some(learned.mean_ms.as_f64());
            self.entry(route).baseline = Baseline { mean_ms, samples };
        }
    }

    /// What was learned of a route; `None` if nothing was, or if no other route of the service has an
    /// entry.
    pub(crate) fn get(&self, route: RouteKey) -> Option<Baseline> {
        let entry = self.entries.get(&route).filter(|_| self.entries.len() > 1)?;
        Some(entry.baseline)
    }

    /// The expected service time of a route of a service with this mean; `None` before anything was
    /// learned.
    pub(crate) fn expected_ms(&self, route: RouteKey, service_ms: Option<f64>) -> Option<f64> {
        let Some(Baseline { mean_ms: Some(route_ms), samples }) = self.get(route) else {
            return service_ms;
        };
        let samples = f64::from(samples);
        let service_ms = service_ms.unwrap_or(route_ms);
        Some((samples * route_ms + PRIOR_SAMPLES * service_ms) / (samples + PRIOR_SAMPLES))
    }

    /// Drops routes that no longer exist.
    pub(crate) fn retain(&mut self, is_known: impl Fn(RouteKey) -> bool) {
        self.entries.retain(|&route, _| is_known(route));
    }

    /// The entry of a route, which replaces the least recently used one if there are too many.
    fn entry(&mut self, route: RouteKey) -> &mut Entry {
        if self.entries.len() >= MAX_ROUTES && !self.entries.contains_key(&route) {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.last_use);
            if let Some(oldest) = oldest.map(|(&route, _)| route) {
                self.entries.remove(&oldest);
            }
        }
        self.uses += 1;
        let entry = self.entries.entry(route).or_default();
        entry.last_use = self.uses;
        entry
    }
}
