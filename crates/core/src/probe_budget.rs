//! Probes that this host may send.
//!
//! One token bucket for each service and one for all, each filled at the stated rate
//! divided by [`crate::fleet_view`]'s divisor and holding one probe at most. A bucket
//! starts empty and is emptied by a gap in time, so neither a restart nor a pause is
//! ever caught up on: in any window of `w` seconds one host, however often restarted,
//! sends at most `rate * w / divisor + 1` probes of a service.

use config::SiteConfig;
use domain::{Millis, PerSecond, ServiceName};
use std::collections::BTreeMap;

/// A gap between two fillings that is taken for a pause.
const PAUSE_MS: Millis = Millis(5_000);
/// Most tokens that a bucket holds.
const MAX_TOKENS: f64 = 1.0;
/// Shortfall of a token that is rounding.
const ROUNDING: f64 = 1e-9;

/// The buckets.
#[derive(Debug, Default)]
pub struct ProbeBudget {
    filled_ms: Millis,
    divisor: Option<usize>,
    all: f64,
    services: BTreeMap<ServiceName, f64>,
}

impl ProbeBudget {
    /// Fills the buckets with what has been earned since the last filling.
    pub fn fill(&mut self, now_ms: Millis, divisor: Option<usize>, config: &SiteConfig) {
        let span_ms = now_ms.since(self.filled_ms);
        let before = std::mem::replace(&mut self.divisor, divisor);
        self.filled_ms = now_ms;
        self.services.retain(|name, _| config.services.contains_key(name));
        let share = match (before, divisor) {
            (Some(before), Some(after)) if span_ms <= PAUSE_MS => before.max(after),
            _ => return self.empty(),
        };
        let earned = |rate: PerSecond| rate.0 * span_ms.as_f64() / 1000.0 / share as f64;
        self.all = (self.all + earned(config.measurement.probes_per_second)).min(MAX_TOKENS);
        for (name, service) in &config.services {
            let tokens = self.services.entry(name.clone()).or_default();
            *tokens = (*tokens + earned(service.probes_per_second)).min(MAX_TOKENS);
        }
    }

    /// Whether a probe of that service may be sent.
    pub fn allows(&self, service: &ServiceName) -> bool {
        let tokens = self.services.get(service).copied().unwrap_or(0.0);
        self.all.min(tokens) >= MAX_TOKENS - ROUNDING
    }

    /// Takes a probe of that service out of the buckets.
    pub fn spend(&mut self, service: &ServiceName) {
        self.all = 0.0;
        if let Some(tokens) = self.services.get_mut(service) {
            *tokens = 0.0;
        }
    }

    fn empty(&mut self) {
        self.all = 0.0;
        self.services.clear();
    }
}
