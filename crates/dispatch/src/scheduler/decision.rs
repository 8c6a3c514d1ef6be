//! Decides whether a waiting request is placed, probed for, kept waiting or refused.
//!
//! A request goes to the upstream that fresh reports show to be in time; it waits as long as it can
//! still be placed in time, and is refused as soon as it can't. Sending to any free slot instead
//! would make much of a burst late.

use super::Scheduler;
use super::forecast::{Forecast, Work};
use super::fresh_report::fresh_report;
use super::message::RefusalCause;
use super::placement_rates::{confirmed_share, optimistic_share};
use super::request::QueuedRequest;
use crate::cost::Candidate;
use crate::fleet_rate::{LentShares, RateBudget};
use crate::probing::{IMMEDIATE_COST, PROBES_PER_ROUND};
use crate::upstream_set::UpstreamSet;
use domain::{Millis, UpstreamId};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// How long after a probe an upstream is probed again for requests that still wait.
pub(super) const PROBE_INTERVAL_MS: Millis = Millis(25);

/// How long probe replies are waited for: a round trip between availability zones on a new
/// connection.
const PROBE_REPLY_WAIT_MS: Millis = Millis(6);

/// Relative random part of the rank, so that equal upstreams share the requests.
const RANK_JITTER: f64 = 0.1;

/// Added to the rank for a new connection: it costs a round trip, and upstreams accept a limited
/// number of connections.
const NEW_CONNECTION_COST: f64 = 0.2;

/// Number of requests that waited, after which one may exceed an upstream's best concurrency if
/// none is free: otherwise an estimate that is too low would never be corrected.
const TRIAL_INTERVAL: u32 = 20;

#[derive(Debug, Clone, PartialEq)]
pub(super) enum Decision {
    Place(Candidate),
    Probe(Vec<UpstreamId>),
    Wait,
    Refuse(RefusalCause),
}

/// Everything that a decision depends on besides the request.
#[derive(Clone, Copy)]
pub(super) struct DecisionInputs<'a> {
    pub(super) now_ms: Millis,
    pub(super) upstreams: &'a UpstreamSet,
    pub(super) forecast: &'a Forecast,
    /// What is left of fleet-wide rate limits.
    pub(super) budget: &'a RateBudget,
    /// The shares of these limits that are lent to this scheduler.
    pub(super) lent: LentShares,
    /// Number of requests that wait before this one.
    pub(super) ahead: usize,
    /// Work of the requests that wait before this one.
    pub(super) work_ahead: Work,
}

/// An upstream on which the request might be placed.
#[derive(Debug)]
pub(super) struct PlacementOption {
    candidate: Candidate,
    /// Sort key; the lowest is best.
    rank: f64,
    /// Whether its last report is recent enough to rely on.
    is_fresh: bool,
    /// Whether its rate limit allows a request now; if not, it may only be probed.
    may_place: bool,
    /// Whether the request may be placed and, by estimate, a slot is free, also of the requests of
    /// other hosts.
    has_room: bool,
}

impl PlacementOption {
    pub(super) fn upstream(&self) -> &UpstreamId {
        &self.candidate.upstream
    }
}

impl Scheduler {
    pub(super) fn decide(
        &self,
        request: &mut QueuedRequest,
        options: &[PlacementOption],
        inputs: DecisionInputs<'_>,
    ) -> Decision {
        let DecisionInputs { now_ms, forecast, work_ahead, .. } = inputs;
        if request.backs_off_from(&forecast.upstreams) {
            return Decision::Refuse(RefusalCause::NoUpstream);
        }
        let best = options.iter().find(|option| option.has_room);
        if let Some(best) =
            best.filter(|best| best.is_fresh && best.candidate.cost <= IMMEDIATE_COST)
        {
            return Decision::Place(best.candidate.clone());
        }
        let stale = probe_targets(options, best.is_some());
        if !stale.is_empty() && request.may_probe(now_ms) {
            request.probed_ms = Some(now_ms);
            return Decision::Probe(self.without_recent_probe(now_ms, stale));
        }
        let is_probe_pending =
            request.probed_ms.is_some_and(|at_ms| now_ms.since(at_ms) < PROBE_REPLY_WAIT_MS);
        if is_probe_pending && !stale.is_empty() {
            return Decision::Wait;
        }
        let done_ms = |option: &PlacementOption| now_ms + self.expected_ms(request, option, inputs);
        let may_wait = !request.is_retry() && !forecast.is_hopeless(now_ms, request, work_ahead);
        match (best, options.iter().find(|option| option.may_place)) {
            (Some(best), _) if done_ms(best) <= request.due_ms => {
                Decision::Place(best.candidate.clone())
            }
            _ if may_wait => Decision::Wait,
            (_, Some(any)) if done_ms(any) <= request.latest_useful_ms() => {
                Decision::Place(any.candidate.clone())
            }
            _ => Decision::Refuse(RefusalCause::NoRoom {
                retry_after_ms: forecast.retry_after_ms(now_ms, request, work_ahead),
                ahead: inputs.ahead,
            }),
        }
    }

    /// Expected duration there; zero before any duration was learned.
    fn expected_ms(
        &self,
        request: &QueuedRequest,
        option: &PlacementOption,
        inputs: DecisionInputs<'_>,
    ) -> Millis {
        let work = option.candidate.work;
        inputs.upstreams.expected_ms(&self.cell.service, request.route, work).unwrap_or_default()
    }

    pub(super) fn without_recent_probe(
        &self,
        now_ms: Millis,
        upstreams: Vec<UpstreamId>,
    ) -> Vec<UpstreamId> {
        let is_probe_due = |id: &UpstreamId| {
            self.probed_ms.get(id).is_none_or(|&at_ms| now_ms.since(at_ms) >= PROBE_INTERVAL_MS)
        };
        upstreams.into_iter().filter(is_probe_due).collect()
    }

    /// Upstreams with capacity left by this scheduler's own requests, the best first.
    pub(super) fn options(
        &self,
        request: &QueuedRequest,
        inputs: DecisionInputs<'_>,
        rng: &mut Pcg64Mcg,
    ) -> Vec<PlacementOption> {
        let is_trial = self.waited_since_trial >= TRIAL_INTERVAL;
        let excess = if request.is_retry() { u32::MAX } else { u32::from(is_trial) };
        let mut options = self.options_within(0, request, inputs, rng);
        if options.is_empty() && excess > 0 {
            options = self.options_within(excess, request, inputs, rng);
        }
        options.sort_by(|a, b| a.rank.total_cmp(&b.rank));
        options
    }

    /// Options with up to `excess` requests above the best concurrency.
    fn options_within(
        &self,
        excess: u32,
        request: &QueuedRequest,
        inputs: DecisionInputs<'_>,
        rng: &mut Pcg64Mcg,
    ) -> Vec<PlacementOption> {
        let sent = self.last_sent.get(&request.key.requester);
        let is_connected = |id: &UpstreamId| {
            let last = sent.and_then(|sent| sent.get(id));
            last.is_some_and(|last| !inputs.upstreams.has_restarted(id, last.run))
        };
        let possible = inputs.forecast.upstreams.iter().filter(|id| request.may_use(id));
        let options = possible.filter_map(|id| {
            let mut option = self.option(id, excess, request, inputs)?;
            let connection_cost = if is_connected(id) { 0.0 } else { NEW_CONNECTION_COST };
            option.rank =
                option.candidate.cost * (1.0 + RANK_JITTER * rng.random::<f64>()) + connection_cost;
            Some(option)
        });
        options.collect()
    }

    fn option(
        &self,
        id: &UpstreamId,
        excess: u32,
        request: &QueuedRequest,
        inputs: DecisionInputs<'_>,
    ) -> Option<PlacementOption> {
        let DecisionInputs { now_ms, upstreams, .. } = inputs;
        let (state, curve) = (upstreams.get(id)?, upstreams.curve(id)?);
        let slots = state.entry.slots.0.max(1);
        let max_in_flight = curve.best_concurrency().saturating_add(excess).min(slots);
        if state.in_flight() >= max_in_flight {
            return None;
        }
        let fleet_rate = upstreams.fleet_rate(now_ms, id);
        let allows_request = |share| {
            let may_send = |limit| inputs.budget.allows_request(now_ms, id, limit, share);
            fleet_rate.is_none_or(may_send)
        };
        if !allows_request(optimistic_share(state, now_ms, inputs.lent)) {
            return None;
        }
        let may_place = allows_request(confirmed_share(state, now_ms, inputs.lent));
        let candidate =
            upstreams.estimate_cost_from(now_ms, id, &request.zone, Some(request.route))?;
        let is_fresh = fresh_report(state, now_ms).is_some();
        // Other hosts' requests limit a placement by slots only, not by the best concurrency. Half
        // a request of tolerance, as their number is an estimate that decays.
        let occupied = state.estimated_requests(now_ms, upstreams.load(&self.cell.service));
        let has_room = may_place && occupied + 0.5 <= f64::from(slots);
        Some(PlacementOption { rank: candidate.cost, candidate, is_fresh, may_place, has_room })
    }
}

/// The best upstreams without a fresh report. If no option has room, those that only other hosts'
/// requests fill are probed: an outdated report would exclude them for good.
fn probe_targets(options: &[PlacementOption], has_option_with_room: bool) -> Vec<UpstreamId> {
    let stale =
        options.iter().filter(|option| !option.is_fresh && option.has_room == has_option_with_room);
    stale.take(PROBES_PER_ROUND).map(|option| option.candidate.upstream.clone()).collect()
}
