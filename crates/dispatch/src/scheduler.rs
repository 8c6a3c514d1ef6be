//! Places the requests of many hosts from one queue per cell.
//!
//! A host that decides alone learns too late which upstreams are free: two hosts pick the same free
//! slot, and the one that is turned away retries. So hosts submit the requests for a service to one
//! host, which sees each request begin and end and the load that each response reports. It queues
//! the requests, places them as slots free up, up to the concurrency at which an upstream works
//! best, and refuses at once those that can't be answered in time. The requests themselves go
//! directly from their host to the upstream.
//!
//! Any host can schedule: all it needs is the state of the upstreams, which responses and probes
//! bring within milliseconds. Two hosts that schedule the same service see each other's requests in
//! the load that upstreams report. So there is no election; a host whose scheduler doesn't respond
//! submits to the next host in order, or probes upstreams by itself.

mod cell;
mod decision;
mod directory;
mod forecast;
mod fresh_report;
mod message;
mod placed;
mod placement_rates;
mod request;
mod reserve;
mod served_shares;
mod set;

pub use cell::Cell;
pub use directory::Directory;
pub use message::{
    Effect, Outcome, Placement, PlacementMessage, RefusalCause, Requester, Withdrawal,
};
pub use request::{Submission, Ticket};
pub use set::SchedulerSet;

use crate::cost::Candidate;
use crate::service::ServiceTimeSample;
use crate::upstream_set::UpstreamSet;
use decision::{Decision, DecisionInputs, PlacementOption};
use domain::{FastMap, Millis, UpstreamId};
use forecast::{Forecast, Work};
use placed::{Placed, PlacedSet};
use placement_rates::PlacementRates;
use published::RunStart;
use rand_pcg::Pcg64Mcg;
use request::{Key, QueuedRequest};
use reserve::{Arrivals, Reserve};
use served_shares::ServedShares;

/// How long after a request a host is assumed to still have a connection to its upstream; most
/// upstreams close idle connections after about ten seconds.
const CONNECTION_ALIVE_MS: Millis = Millis(8_000);

/// Relative change of slowness that is ignored.
const SLOWNESS_TOLERANCE: f64 = 0.1;

const EXPIRY_INTERVAL_MS: Millis = Millis(50);

/// Upper bound on the requests that wait in one cell, to bound memory. Far above what a queue holds
/// that refuses what can't be placed in time.
const MAX_WAITING: usize = 2_000;

/// What waits in the cells of a host, for its metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueFigures {
    /// Sum of the service times of the waiting requests; before one is learned, their number.
    pub work_ms: Millis,
    /// Slots that are kept free for urgent requests while less urgent ones wait.
    pub reserved_slots: u32,
}

/// Scheduler of one cell.
#[derive(Debug)]
struct Scheduler {
    cell: Cell,
    /// Sorted by [`QueuedRequest::queue_order`].
    waiting: Vec<QueuedRequest>,
    placed: PlacedSet,
    arrivals: Arrivals,
    shares: ServedShares,
    /// Work of the waiting requests, and the largest reserve, when they were last evaluated.
    queue: QueueFigures,
    /// When each upstream was last probed.
    probed_ms: FastMap<UpstreamId, Millis>,
    /// The last request that each host sent to each upstream.
    last_sent: FastMap<Requester, FastMap<UpstreamId, LastSent>>,
    /// Number of requests placed after a wait, since the last placement above an upstream's best
    /// concurrency.
    waited_since_trial: u32,
    last_expiry_ms: Millis,
    /// Whether this host is the cell's primary scheduler; `None` until it is determined.
    is_primary: Option<bool>,
}

/// What one pass over the queue has found so far.
#[derive(Debug)]
struct SchedulingPass {
    /// Whether no slot is free for a first attempt.
    is_full: bool,
    /// From this priority on, only reserved slots are free.
    reserved_from: u32,
    /// What is kept free by priority, as it was at the first request of that priority.
    reserves: FastMap<u32, Reserve>,
}

#[derive(Debug, Clone, Copy)]
struct LastSent {
    at_ms: Millis,
    run: RunStart,
}

impl Scheduler {
    fn new(cell: Cell) -> Scheduler {
        Scheduler {
            cell,
            waiting: Vec::new(),
            placed: PlacedSet::default(),
            arrivals: Arrivals::default(),
            shares: ServedShares::default(),
            queue: QueueFigures::default(),
            probed_ms: FastMap::default(),
            last_sent: FastMap::default(),
            waited_since_trial: 0,
            last_expiry_ms: Millis::ZERO,
            is_primary: None,
        }
    }

    fn contains(&self, key: Key) -> bool {
        self.placed.contains(key) || self.waiting.iter().any(|request| request.key == key)
    }

    fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.placed.is_empty() && self.last_sent.is_empty()
    }

    fn submit(&mut self, now_ms: Millis, request: QueuedRequest) -> Option<Effect> {
        self.arrivals.record(now_ms, &request);
        if self.waiting.len() >= MAX_WAITING {
            let cause = RefusalCause::NoRoom {
                retry_after_ms: forecast::MAX_RETRY_AFTER_MS,
                ahead: self.waiting.len(),
            };
            return Some(request.refused(cause));
        }
        let is_after = |other: &QueuedRequest| other.queue_order() <= request.queue_order();
        let at = self.waiting.partition_point(is_after);
        self.waiting.insert(at, request);
        None
    }

    fn take_waiting(&mut self) -> Vec<QueuedRequest> {
        std::mem::take(&mut self.waiting)
    }

    /// Probes an upstream that a host could not reach, unless it was probed just now.
    fn probe_reported(&mut self, now_ms: Millis, upstream: UpstreamId) -> Option<Effect> {
        let due = self.without_recent_probe(now_ms, vec![upstream]).pop()?;
        self.probed_ms.insert(due.clone(), now_ms);
        Some(Effect::Probe(due))
    }

    /// Removes a waiting or placed request; returns the upstream on which it was placed.
    fn withdraw(
        &mut self,
        now_ms: Millis,
        key: Key,
        withdrawal: Withdrawal,
        upstreams: &mut UpstreamSet,
    ) -> Option<UpstreamId> {
        self.waiting.retain(|request| request.key != key);
        let placed = self.placed.remove(now_ms, key)?;
        if let Some(state) = upstreams.get_run_mut(&placed.upstream, placed.run) {
            state.record_withdrawn();
            if withdrawal == Withdrawal::Unreachable {
                state.record_reported_unreachable(now_ms);
            }
        }
        Some(placed.upstream)
    }

    /// Records the end of a placed request.
    fn end(&mut self, now_ms: Millis, key: Key, outcome: &Outcome, upstreams: &mut UpstreamSet) {
        let Some(placed) = self.placed.remove(now_ms, key) else { return };
        // Before `record_ended`: the reported load still includes this request.
        if let Some(report) = outcome.report {
            upstreams.record_report(now_ms, (&placed.upstream, placed.run), report);
        }
        let at = (&placed.upstream, placed.run);
        // What its own host received is recorded there already, and waits to be broadcast.
        if key.requester != Requester::OwnHost {
            let kind = outcome.response_kind();
            upstreams.record_forwarded_backpressure(now_ms, at, kind, outcome.backpressure);
        }
        let Some(state) = upstreams.get_run_mut(&placed.upstream, placed.run) else { return };
        state.record_ended(now_ms, outcome.failure);
        let reports_load = state.report(now_ms).is_some();
        if outcome.failure.is_none() {
            self.learn_service_time(placed, outcome, reports_load, upstreams);
        }
    }

    /// Learns the service time from a response.
    fn learn_service_time(
        &self,
        placed: Placed,
        outcome: &Outcome,
        reports_load: bool,
        upstreams: &mut UpstreamSet,
    ) {
        upstreams.record_overrun(&self.cell.service, placed.route, outcome.took_ms, placed.work);
        let after = outcome.report.map(|report| report.slowness());
        let slowness = match (placed.slowness, after) {
            // A change of the machine's other load meanwhile would distort the speed curve.
            (Some(before), Some(after)) if (before - after).abs() < SLOWNESS_TOLERANCE * before => {
                after
            }
            // Where upstreams report no load, slowness is part of the baseline.
            _ if !reports_load => 1.0,
            _ => return,
        };
        upstreams.record_service_time(
            &placed.upstream,
            &ServiceTimeSample { route: placed.route, occupancy: placed.occupancy, slowness },
        );
    }

    /// Places, probes for or refuses waiting requests by what is known now.
    fn schedule(
        &mut self,
        now_ms: Millis,
        upstreams: &mut UpstreamSet,
        rates: &mut PlacementRates,
        rng: &mut Pcg64Mcg,
        effects: &mut Vec<Effect>,
    ) {
        if now_ms.since(self.last_expiry_ms) >= EXPIRY_INTERVAL_MS {
            self.expire(now_ms, upstreams);
        }
        self.queue = QueueFigures::default();
        if self.waiting.is_empty() {
            return;
        }
        let lent = rates.lent_shares(now_ms, &self.cell, self.is_primary == Some(true));
        let forecast = Forecast::new(now_ms, &self.cell, upstreams, (&rates.budget, lent));
        let mut pass = SchedulingPass {
            is_full: false,
            reserved_from: u32::MAX,
            reserves: FastMap::default(),
        };
        let (mut ahead, mut work_ahead) = (0, Work::default());
        self.sort_waiting(now_ms, upstreams);
        for mut request in std::mem::take(&mut self.waiting) {
            let budget = &rates.budget;
            let inputs = DecisionInputs {
                now_ms,
                upstreams,
                forecast: &forecast,
                budget,
                lent,
                ahead,
                work_ahead,
            };
            let options = self.options_beyond_reserve(&request, &mut pass, inputs, rng);
            match self.decide(&mut request, &options, inputs) {
                Decision::Place(candidate) => {
                    rates.spend(now_ms, &candidate.upstream, lent, upstreams);
                    self.shares.record(now_ms, &request, true);
                    let placed = self.place(now_ms, &request, candidate, ahead, upstreams);
                    effects.extend(placed);
                    continue;
                }
                Decision::Refuse(cause) => {
                    self.shares.record(now_ms, &request, false);
                    effects.push(request.refused(cause));
                    continue;
                }
                Decision::Probe(targets) => {
                    for upstream in targets {
                        self.probed_ms.insert(upstream.clone(), now_ms);
                        effects.push(Effect::Probe(upstream));
                    }
                }
                Decision::Wait => {}
            }
            ahead += 1;
            work_ahead.0 += forecast.work(&request).0;
            effects.extend(request.queued_notice(now_ms));
            self.waiting.push(request);
        }
        let reserved_slots = pass.reserves.values().map(|reserve| reserve.slots).max().unwrap_or(0);
        self.queue = QueueFigures { work_ms: Millis(work_ahead.0), reserved_slots };
    }

    /// Where the request may be placed, without slots that are kept for more urgent requests.
    fn options_beyond_reserve(
        &self,
        request: &QueuedRequest,
        pass: &mut SchedulingPass,
        inputs: DecisionInputs<'_>,
        rng: &mut Pcg64Mcg,
    ) -> Vec<PlacementOption> {
        let is_reserved = request.leaves_reserve() && request.priority >= pass.reserved_from;
        let mut options = match (pass.is_full || is_reserved) && !request.is_retry() {
            true => Vec::new(),
            false => self.options(request, inputs, rng),
        };
        pass.is_full |= options.is_empty() && !is_reserved && !request.is_retry();
        if !options.is_empty() && request.leaves_reserve() {
            self.leave_reserve(request, &mut options, &mut pass.reserves, inputs);
            if options.is_empty() {
                pass.reserved_from = request.priority;
            }
        }
        options
    }

    /// Takes the slots that are kept for more urgent requests out of the options.
    fn leave_reserve(
        &self,
        request: &QueuedRequest,
        options: &mut Vec<PlacementOption>,
        reserves: &mut FastMap<u32, Reserve>,
        inputs: DecisionInputs<'_>,
    ) {
        let DecisionInputs { now_ms, upstreams, forecast, .. } = inputs;
        let new = || self.reserve(now_ms, request.priority, upstreams, forecast);
        let reserve = reserves.entry(request.priority).or_insert_with(new);
        if reserve.slots > 0 && self.free_slots(now_ms, reserve, upstreams) <= reserve.slots {
            options.retain(|option| !reserve.includes(option.upstream()));
        }
    }

    /// Drops requests that have expired, and orders the others by what is known now.
    fn sort_waiting(&mut self, now_ms: Millis, upstreams: &UpstreamSet) {
        self.waiting.retain(|request| !request.is_expired(now_ms));
        let mut starved = FastMap::default();
        for request in &mut self.waiting {
            let service_time_ms = upstreams.expected_ms(&self.cell.service, request.route, 1.0);
            let is_starved = *starved
                .entry(request.priority)
                .or_insert_with_key(|&priority| self.shares.is_starved(now_ms, priority));
            request.refresh(now_ms, service_time_ms, is_starved);
        }
        self.waiting.sort_by_key(QueuedRequest::queue_order);
    }

    fn place(
        &mut self,
        now_ms: Millis,
        request: &QueuedRequest,
        candidate: Candidate,
        ahead: usize,
        upstreams: &mut UpstreamSet,
    ) -> Option<Effect> {
        let best = upstreams.curve(&candidate.upstream)?.best_concurrency();
        let expected_ms = upstreams.expected_ms(&self.cell.service, request.route, candidate.work);
        let state = upstreams.get_mut(&candidate.upstream)?;
        state.record_sent(now_ms);
        match state.in_flight() > best {
            true => self.waited_since_trial = 0,
            false if request.has_waited(now_ms) => {
                self.waited_since_trial = self.waited_since_trial.saturating_add(1);
            }
            false => {}
        }
        self.placed.add(now_ms, request, &candidate, expected_ms, state);
        let last_sent = self.last_sent.entry(request.key.requester).or_default();
        last_sent
            .insert(candidate.upstream.clone(), LastSent { at_ms: now_ms, run: state.entry.run });
        let report_age_ms = state.report(now_ms).map(|(_, age_ms)| age_ms);
        let Candidate { upstream, work, cost } = candidate;
        let (work, cost) = (work as f32, cost as f32);
        Some(request.placed(Placement { upstream, work, cost, report_age_ms, ahead }))
    }

    fn expire(&mut self, now_ms: Millis, upstreams: &mut UpstreamSet) {
        self.last_expiry_ms = now_ms;
        self.arrivals.expire(now_ms);
        self.shares.expire(now_ms);
        for key in self.placed.expired(now_ms) {
            self.withdraw(now_ms, key, Withdrawal::Sent, upstreams);
        }
        self.probed_ms.retain(|_, at_ms| now_ms.since(*at_ms) < decision::PROBE_INTERVAL_MS);
        self.last_sent.retain(|_, sent| {
            sent.retain(|_, sent| now_ms.since(sent.at_ms) < CONNECTION_ALIVE_MS);
            !sent.is_empty()
        });
    }
}
