//! The health of a service's upstreams against each other.
//!
//! At least `eject_floor_share` of the open upstreams stay in. Where nothing would be
//! left to use, the rules give way in turn: first backoff, then ejection, so that a
//! service whose upstreams all look bad goes on with all of them.

use crate::service::ServiceState;
use crate::upstream::UpstreamState;
use domain::{Millis, UpstreamId};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

/// Latency, in medians of the service, from which an upstream gets fewer slots.
const STRAGGLER_MEDIANS: f64 = 3.0;
/// Smallest part of its slots that latency leaves an upstream.
const MIN_STRAGGLER_SHARE: f64 = 0.25;
/// Upstreams with a known latency that a median needs.
const MIN_FOR_MEDIAN: usize = 3;

/// How strictly health keeps upstreams out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Strictness {
    /// As each upstream's health says.
    Normal,
    /// All that are not ejected have just shed: backoff is left aside.
    IgnoreBackoff,
    /// All look bad: all are used in full.
    UseAll,
}

impl ServiceState {
    /// How strictly health keeps upstreams out now.
    pub fn strictness(&self, now_ms: Millis) -> Strictness {
        let open = || self.upstreams.iter().filter(|state| state.is_open());
        if open().all(|state| state.health.looks_bad(now_ms)) {
            return Strictness::UseAll;
        }
        let usable = |state: &UpstreamState| state.usable_slots(now_ms) > 0;
        match open().any(|state| usable(state) && !state.health.backs_off(now_ms)) {
            true => Strictness::Normal,
            false => Strictness::IgnoreBackoff,
        }
    }

    /// Ejects an upstream that looks bad, or whose trial failed, if the floor allows it.
    ///
    /// Returns whether it was ejected.
    pub(crate) fn judge(
        &mut self,
        now_ms: Millis,
        id: &UpstreamId,
        trial_failed: bool,
        rng: &mut Pcg64Mcg,
    ) -> bool {
        let allowed = self.ejected(now_ms).count() < self.ejection_limit();
        let Some(state) = self.upstream_mut(id) else { return false };
        let bad = trial_failed || (state.health.looks_bad(now_ms) && !state.is_ejected(now_ms));
        let on_trial_only = state.health.is_on_trial(now_ms) && !trial_failed;
        if !bad || on_trial_only || !allowed || !state.is_open() {
            return false;
        }
        state.health.eject(now_ms, rng);
        true
    }

    /// Readmits what the floor no longer allows to be out, and weighs latencies anew.
    pub(crate) fn settle_health(&mut self, now_ms: Millis) {
        let limit = self.ejection_limit();
        while self.ejected(now_ms).count() > limit {
            let earliest = self.ejected(now_ms).min_by_key(|state| state.health.out_until_ms());
            let Some(id) = earliest.map(|state| state.id.clone()) else { return };
            if let Some(state) = self.upstream_mut(&id) {
                state.health.end_ejection(now_ms);
            }
        }
        self.weigh_latencies();
    }

    /// Upstreams that may be out at once.
    fn ejection_limit(&self) -> usize {
        let open = self.upstreams.iter().filter(|state| state.is_open()).count();
        let floor = (open as f64 * self.published.eject_floor_share.0).ceil() as usize;
        open.saturating_sub(floor.max(1))
    }

    fn ejected(&self, now_ms: Millis) -> impl Iterator<Item = &UpstreamState> {
        self.upstreams.iter().filter(move |state| state.is_open() && state.is_ejected(now_ms))
    }

    fn weigh_latencies(&mut self) {
        let open = self.upstreams.iter().filter(|state| state.is_open());
        let mut latencies: Vec<f64> = open.filter_map(|state| state.latency_ms).collect();
        latencies.sort_by(f64::total_cmp);
        let median = match latencies.len() {
            0..MIN_FOR_MEDIAN => f64::INFINITY,
            known => latencies[(known - 1) / 2].max(1.0),
        };
        for state in &mut self.upstreams {
            let ratio = state.latency_ms.map_or(0.0, |latency_ms| latency_ms / median);
            state.health.straggler_share = match ratio {
                ratio if ratio < STRAGGLER_MEDIANS => 1.0,
                ratio => (STRAGGLER_MEDIANS / ratio).clamp(MIN_STRAGGLER_SHARE, 1.0),
            };
        }
    }
}
