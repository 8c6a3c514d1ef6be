//! One queue for the requests of many hosts.
//!
//! Each host by itself learns too late which upstreams are free: two send to the last free
//! slot, and those that are turned away ask again and again. So the hosts hand the requests
//! for a service to one of them, which sees every request that begins and ends, and what
//! upstreams tell with each answer. It keeps them in one queue and places them as slots free
//! up, no more on an upstream than it works on well, and refuses at once what the queue shows
//! to be hopeless. The requests themselves go straight from their host to the upstream.
//!
//! Any host can schedule: it needs nothing but its knowledge of upstreams, which answers and
//! health checks bring within some milliseconds. Two hosts that schedule the same service see
//! each other's requests as load of others. So nobody has to be elected, and a host whose
//! scheduler is silent takes the next one, or asks upstreams by itself.

mod cell;
mod decision;
mod directory;
mod forecast;
mod freshness;
mod job;
mod message;
mod placed;
mod rate_placing;
mod set;

pub use cell::Cell;
pub use directory::Directory;
pub use job::{Submission, Ticket};
pub use message::{Asker, Effect, Outcome, Place, PlacementMessage, RefusalCause, Withdrawal};
pub use set::SchedulerSet;

use crate::choice::Candidate;
use crate::service::Run;
use crate::upstream::ProbeFailure;
use crate::upstream_set::UpstreamSet;
use decision::{Decision, View};
use domain::{FastMap, Millis, UpstreamId};
use forecast::Forecast;
use job::{Job, Key};
use placed::{Placed, PlacedSet};
use published::RunStart;
use rand_pcg::Pcg64Mcg;
use rate_placing::RatePlacing;

/// A host is taken to have a connection to an upstream for so long after a request went there:
/// most upstreams close idle ones after some ten seconds.
const CONNECTED_MS: Millis = Millis(8_000);

/// Part by which slowness may differ and still be the same.
const SAME_SLOWNESS: f64 = 0.1;

/// Time between two looks at what is to be forgotten.
const FORGET_EACH_MS: Millis = Millis(50);

/// More requests than this don't wait in one cell: a bound for memory, far above what a queue
/// holds that refuses what is hopeless.
const MOST_WAITING: usize = 2_000;

/// The scheduler of one cell.
#[derive(Debug)]
struct Scheduler {
    cell: Cell,
    /// In the order in which they are placed.
    waiting: Vec<Job>,
    placed: PlacedSet,
    /// When an upstream was last asked.
    asked_ms: FastMap<UpstreamId, Millis>,
    /// When a host last sent to an upstream, and to which run of it.
    sent: FastMap<Asker, FastMap<UpstreamId, Sent>>,
    /// Requests that waited for their place since one went beyond what its upstream works on best.
    waited_since_trial: u32,
    forgot_ms: Millis,
    /// Whether no other host comes before this one in order for the cell; none before it was looked at.
    is_first: Option<bool>,
}

/// A host's last sending to an upstream.
#[derive(Debug, Clone, Copy)]
struct Sent {
    at_ms: Millis,
    run: RunStart,
}

impl Scheduler {
    fn new(cell: Cell) -> Scheduler {
        Scheduler {
            cell,
            waiting: Vec::new(),
            placed: PlacedSet::default(),
            asked_ms: FastMap::default(),
            sent: FastMap::default(),
            waited_since_trial: 0,
            forgot_ms: Millis::ZERO,
            is_first: None,
        }
    }

    fn knows(&self, key: Key) -> bool {
        self.placed.contains(key) || self.waiting.iter().any(|job| job.key == key)
    }

    fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.placed.is_empty() && self.sent.is_empty()
    }

    fn submit(&mut self, job: Job) -> Option<Effect> {
        if self.waiting.len() >= MOST_WAITING {
            let cause = RefusalCause::NoRoom {
                retry_after_ms: forecast::LONGEST_AWAY_MS,
                ahead: self.waiting.len(),
            };
            return Some(job.refused(cause));
        }
        let is_after = |other: &Job| other.order() <= job.order();
        let at = self.waiting.partition_point(is_after);
        self.waiting.insert(at, job);
        None
    }

    /// Forgets a request that waits or was placed; the upstream on which it was placed.
    fn withdraw(
        &mut self,
        now_ms: Millis,
        key: Key,
        how: Withdrawal,
        upstreams: &mut UpstreamSet,
    ) -> Option<UpstreamId> {
        self.waiting.retain(|job| job.key != key);
        let placed = self.placed.take(now_ms, key)?;
        if let Some(known) = upstreams.get_run_mut(&placed.upstream, placed.run) {
            known.record_withdrawn();
            if how == Withdrawal::Unreachable {
                known.record_probe_failure(now_ms, ProbeFailure::Unreachable);
            }
        }
        Some(placed.upstream)
    }

    /// A request that was placed came to its end.
    fn end(&mut self, now_ms: Millis, key: Key, outcome: &Outcome, upstreams: &mut UpstreamSet) {
        let Some(placed) = self.placed.take(now_ms, key) else { return };
        // Before the end: the load that an answer tells counts the request that is answered.
        if let Some(report) = outcome.report {
            upstreams.record_report(now_ms, (&placed.upstream, placed.run), report);
        }
        let at = (&placed.upstream, placed.run);
        upstreams.record_forwarded_backpressure(
            now_ms,
            at,
            outcome.answer_kind(),
            outcome.backpressure,
        );
        let Some(known) = upstreams.get_run_mut(&placed.upstream, placed.run) else { return };
        known.record_ended(now_ms, outcome.failure);
        let tells_load = known.report(now_ms).is_some();
        if outcome.failure.is_none() {
            self.learn(placed, outcome, tells_load, upstreams);
        }
    }

    /// Learns from an answer how long work takes.
    fn learn(
        &self,
        placed: Placed,
        outcome: &Outcome,
        tells_load: bool,
        upstreams: &mut UpstreamSet,
    ) {
        upstreams.note_stretch(&self.cell.service, outcome.took_ms, placed.work);
        let after = outcome.report.map(|report| report.slowness());
        let slowness = match (placed.slowness, after) {
            // Neighbours that came or went meanwhile would be taken for the upstream's own doing.
            (Some(before), Some(after)) if (before - after).abs() < SAME_SLOWNESS * before => after,
            // Where upstreams tell no load, neighbours are part of the usual.
            _ if !tells_load => 1.0,
            _ => return,
        };
        upstreams.note_run(&placed.upstream, &Run { spent: placed.spent, slowness });
    }

    /// Places, asks, refuses, as far as what is known now goes.
    fn turn(
        &mut self,
        now_ms: Millis,
        upstreams: &mut UpstreamSet,
        rates: &mut RatePlacing,
        rng: &mut Pcg64Mcg,
        effects: &mut Vec<Effect>,
    ) {
        if now_ms.since(self.forgot_ms) >= FORGET_EACH_MS {
            self.forget(now_ms, upstreams);
        }
        if self.waiting.is_empty() {
            return;
        }
        let lent = rates.lent(now_ms, &self.cell, self.is_first == Some(true));
        let forecast = Forecast::new(now_ms, &self.cell, upstreams, (&rates.budget, lent));
        let mut is_full = false;
        let mut ahead = 0;
        for mut job in std::mem::take(&mut self.waiting) {
            if job.is_over(now_ms) {
                continue;
            }
            let budget = &rates.budget;
            let view = View { now_ms, upstreams, forecast: &forecast, budget, lent, ahead };
            let offers = match is_full && !job.is_repeat() {
                true => Vec::new(),
                false => self.offers(&job, view, rng),
            };
            is_full |= offers.is_empty() && !job.is_repeat();
            match self.decide(&mut job, &offers, view) {
                Decision::Place(candidate) => {
                    rates.take(now_ms, &candidate.upstream, lent, upstreams);
                    let place = self.place(now_ms, &job, candidate, ahead, upstreams);
                    effects.extend(place);
                    continue;
                }
                Decision::Refuse(cause) => {
                    effects.push(job.refused(cause));
                    continue;
                }
                Decision::Ask(asked) => {
                    for upstream in asked {
                        self.asked_ms.insert(upstream.clone(), now_ms);
                        effects.push(Effect::Ask(upstream));
                    }
                }
                Decision::Wait => {}
            }
            ahead += 1;
            effects.extend(job.tell_queued(now_ms));
            self.waiting.push(job);
        }
    }

    fn place(
        &mut self,
        now_ms: Millis,
        job: &Job,
        candidate: Candidate,
        ahead: usize,
        upstreams: &mut UpstreamSet,
    ) -> Option<Effect> {
        let best = upstreams.curve(&candidate.upstream)?.best();
        let known = upstreams.get_mut(&candidate.upstream)?;
        known.record_sent(now_ms);
        match known.in_flight() > best {
            true => self.waited_since_trial = 0,
            false if job.has_waited(now_ms) => {
                self.waited_since_trial = self.waited_since_trial.saturating_add(1);
            }
            false => {}
        }
        self.placed.add(now_ms, job, &candidate, known);
        let sent = self.sent.entry(job.key.asker).or_default();
        sent.insert(candidate.upstream.clone(), Sent { at_ms: now_ms, run: known.entry.run });
        let report_age_ms = known.report(now_ms).map(|(_, age_ms)| age_ms);
        let Candidate { upstream, work, cost } = candidate;
        let (work, cost) = (work as f32, cost as f32);
        Some(job.placed(Place { upstream, work, cost, report_age_ms, ahead }))
    }

    fn forget(&mut self, now_ms: Millis, upstreams: &mut UpstreamSet) {
        self.forgot_ms = now_ms;
        for key in self.placed.over(now_ms) {
            self.withdraw(now_ms, key, Withdrawal::Sent, upstreams);
        }
        self.asked_ms.retain(|_, at_ms| now_ms.since(*at_ms) < decision::ASK_AGAIN_MS);
        self.sent.retain(|_, sent| {
            sent.retain(|_, sent| now_ms.since(sent.at_ms) < CONNECTED_MS);
            !sent.is_empty()
        });
    }
}
