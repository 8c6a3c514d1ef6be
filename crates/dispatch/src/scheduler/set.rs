//! All that a host schedules.

use super::job::{Job, Key};
use super::message::{Asker, Effect, PlacementMessage, RefusalCause, Withdrawal};
use super::rate_placing::RatePlacing;
use super::{Cell, Scheduler};
use crate::subset::FleetShape;
use crate::upstream_set::UpstreamSet;
use domain::{FastMap, HostId, Millis};
use rand_pcg::Pcg64Mcg;

/// How often requests that wait are looked at, besides when something is learned.
const TURN_MS: Millis = Millis(4);

/// The schedulers of a host, by cell; they come with the first request and go with the last.
#[derive(Debug)]
pub struct SchedulerSet {
    schedulers: FastMap<Cell, Scheduler>,
    rates: RatePlacing,
    is_leaving: bool,
}

impl SchedulerSet {
    /// Nothing is scheduled yet by this host.
    pub fn new(host: HostId) -> SchedulerSet {
        SchedulerSet {
            schedulers: FastMap::default(),
            rates: RatePlacing::new(host),
            is_leaving: false,
        }
    }

    /// Takes how many hosts there are: each has an equal share of what the fleet may send.
    pub fn set_fleet(&mut self, fleet: FleetShape) {
        self.rates.set_fleet(fleet);
    }

    /// Takes for which cells this host is the first in order.
    pub fn set_first(&mut self, is_first: impl Fn(&Cell) -> bool) {
        for (cell, scheduler) in &mut self.schedulers {
            scheduler.is_first = Some(is_first(cell));
        }
    }

    /// Whether for some cell nobody has looked yet whether this host is the first in order.
    pub fn has_unordered(&self) -> bool {
        self.schedulers.values().any(|scheduler| scheduler.is_first.is_none())
    }

    /// From now on nothing new is taken.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Takes a host's message.
    pub fn take(
        &mut self,
        now_ms: Millis,
        message: PlacementMessage,
        asker: Asker,
        upstreams: &mut UpstreamSet,
        rng: &mut Pcg64Mcg,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        let scheduler = match message {
            PlacementMessage::Submit(submission) if self.is_leaving => {
                let (ticket, cause) = (submission.ticket, RefusalCause::NoUpstream);
                let message = PlacementMessage::Refused { ticket, cause };
                return vec![Effect::Tell { to: asker, message }];
            }
            PlacementMessage::Submit(submission) => {
                let cell = &submission.cell;
                let new = || Scheduler::new(cell.clone());
                let scheduler = self.schedulers.entry(cell.clone()).or_insert_with(new);
                if submission.lends {
                    self.rates.note_lent(now_ms, cell, asker);
                }
                let job = Job::new(now_ms, submission, asker);
                if !scheduler.knows(job.key) {
                    effects.extend(scheduler.submit(job));
                }
                Some(scheduler)
            }
            PlacementMessage::Ended { ticket, outcome } => {
                let key = Key { asker, ticket };
                let mut scheduler = that_knows(&mut self.schedulers, key);
                if let Some(scheduler) = &mut scheduler {
                    scheduler.end(now_ms, key, &outcome, upstreams);
                }
                scheduler
            }
            PlacementMessage::Withdrawn { ticket, how } => {
                let key = Key { asker, ticket };
                let mut scheduler = that_knows(&mut self.schedulers, key);
                if let Some(scheduler) = &mut scheduler {
                    let upstream = scheduler.withdraw(now_ms, key, how, upstreams);
                    if let Some(upstream) = upstream.filter(|_| how != Withdrawal::Sent) {
                        self.rates.budget.refund(&upstream);
                    }
                }
                scheduler
            }
            PlacementMessage::Queued { .. }
            | PlacementMessage::Placed { .. }
            | PlacementMessage::Refused { .. } => None,
        };
        if let Some(scheduler) = scheduler {
            scheduler.turn(now_ms, upstreams, &mut self.rates, rng, &mut effects);
        }
        effects
    }

    /// Something was learned of upstreams, or time has passed.
    pub fn turn(
        &mut self,
        now_ms: Millis,
        upstreams: &mut UpstreamSet,
        rng: &mut Pcg64Mcg,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        for scheduler in self.schedulers.values_mut() {
            scheduler.turn(now_ms, upstreams, &mut self.rates, rng, &mut effects);
        }
        self.rates.forget(now_ms, upstreams);
        self.schedulers.retain(|_, scheduler| !scheduler.is_idle());
        effects
    }

    /// When to look again; none while nothing waits.
    pub fn next_turn_ms(&self, now_ms: Millis) -> Option<Millis> {
        let waits = |scheduler: &Scheduler| !scheduler.waiting.is_empty();
        self.schedulers.values().any(waits).then_some(now_ms + TURN_MS)
    }

    /// Requests that wait for a place.
    pub fn waiting(&self) -> usize {
        self.schedulers.values().map(|scheduler| scheduler.waiting.len()).sum()
    }
}

fn that_knows(schedulers: &mut FastMap<Cell, Scheduler>, key: Key) -> Option<&mut Scheduler> {
    schedulers.values_mut().find(|scheduler| scheduler.knows(key))
}
