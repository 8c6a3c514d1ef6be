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
mod directory;
mod job;
mod message;
mod outlook;
mod set;

pub use cell::Cell;
pub use directory::Directory;
pub use job::{Submission, Ticket};
pub use message::{Asker, Effect, Outcome, Place, PlacementMessage, RefusalCause};
pub use set::SchedulerSet;

use crate::asking::{ASKED_AT_ONCE, AT_ONCE};
use crate::choice::Candidate;
use crate::curve::Occupancy;
use crate::service::Run;
use crate::upstream_set::UpstreamSet;
use domain::{FastMap, Millis, UpstreamId};
use job::{Job, Key};
use outlook::Outlook;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// A report of this age is as good as asking: the load of upstreams shifts within 300 to
/// 500 ms, so one in forty has changed since.
const FRESH_MS: Millis = Millis(25);

/// How long the answers are waited for: a round trip between availability zones, with a new
/// connection.
const ASK_WAIT_MS: Millis = Millis(6);

/// Time after which an upstream is asked again for requests that still wait.
const ASK_AGAIN_MS: Millis = Millis(25);

/// Part of the cost by which the order of upstreams is shaken: of equals not always the same
/// is taken.
const SHAKE: f64 = 0.1;

/// How much more than others of its service an upstream may fail before it gets nothing: it
/// is idle since it fails, and would draw all that waits.
const FAILS_MORE: f64 = 0.4;

/// One in so many requests goes to an upstream past the number that it works on best, if none
/// is free: otherwise a number that was learned too low would never be found out.
const TRIAL_EVERY: u32 = 20;

/// Part by which slowness may differ and still be the same.
const SAME_SLOWNESS: f64 = 0.1;

/// What is left of a request that was placed and never ended: it ends with its caller's time.
const FORGET_AFTER_MS: Millis = Millis(100);

/// Time between two looks at what is to be forgotten.
const FORGET_EACH_MS: Millis = Millis(50);

/// The scheduler of one cell.
#[derive(Debug)]
struct Scheduler {
    cell: Cell,
    /// In the order in which they are placed.
    waiting: Vec<Job>,
    placed: FastMap<Key, Placed>,
    asked_ms: FastMap<UpstreamId, Millis>,
    placements: u32,
    forgot_ms: Millis,
}

/// A request that has its place.
#[derive(Debug)]
struct Placed {
    upstream: UpstreamId,
    forget_ms: Millis,
    work: f64,
    /// Slowness that was told when it was placed, if that was just then.
    slowness: Option<f64>,
    spent: Occupancy,
    noted_ms: Millis,
}

/// What becomes of a request that waits.
#[derive(Debug, Clone, PartialEq)]
enum Decision {
    Place(Candidate),
    Ask(Vec<UpstreamId>),
    Wait,
    Refuse(Millis),
    /// No upstream takes work.
    Decline,
}

/// An upstream that may have room.
struct Offer {
    candidate: Candidate,
    /// What is known of it was told just now.
    is_fresh: bool,
    /// Others leave it room, as far as it is known.
    has_room: bool,
}

impl Scheduler {
    fn new(cell: Cell) -> Scheduler {
        Scheduler {
            cell,
            waiting: Vec::new(),
            placed: FastMap::default(),
            asked_ms: FastMap::default(),
            placements: 0,
            forgot_ms: Millis::ZERO,
        }
    }

    fn submit(&mut self, job: Job) {
        let is_after = |other: &Job| other.order() <= job.order();
        let at = self.waiting.partition_point(is_after);
        self.waiting.insert(at, job);
    }

    /// Forgets a request that waits or was placed.
    fn withdraw(&mut self, now_ms: Millis, key: Key, upstreams: &mut UpstreamSet) {
        self.waiting.retain(|job| job.key != key);
        let Some(placed) = self.take_placed(now_ms, key) else { return };
        if let Some(known) = upstreams.get_mut(&placed.upstream) {
            known.note_withdrawn();
        }
    }

    /// A request that was placed came to its end.
    fn end(&mut self, now_ms: Millis, key: Key, outcome: &Outcome, upstreams: &mut UpstreamSet) {
        let Some(placed) = self.take_placed(now_ms, key) else { return };
        // Before the end: the load that an answer tells counts the request that is answered.
        if let Some(report) = outcome.report {
            upstreams.note_report(now_ms, &placed.upstream, report);
        }
        if let Some(known) = upstreams.get_mut(&placed.upstream) {
            known.note_ended(now_ms, outcome.failure);
        }
        if outcome.failure.is_some() {
            return;
        }
        upstreams.note_stretch(&self.cell.service, outcome.took_ms, placed.work);
        let slowness = outcome.report.map(|report| report.slowness());
        // Neighbours that came or went meanwhile would be taken for the upstream's own doing.
        if let (Some(before), Some(after)) = (placed.slowness, slowness)
            && (before - after).abs() < SAME_SLOWNESS * before
        {
            let run = Run { spent: placed.spent, slowness: after };
            upstreams.note_run(&placed.upstream, &run);
        }
    }

    /// Places, asks, refuses, as far as what is known now goes.
    fn turn(
        &mut self,
        now_ms: Millis,
        upstreams: &mut UpstreamSet,
        rng: &mut Pcg64Mcg,
        effects: &mut Vec<Effect>,
    ) {
        if now_ms.since(self.forgot_ms) >= FORGET_EACH_MS {
            self.forget(now_ms, upstreams);
        }
        if self.waiting.is_empty() {
            return;
        }
        let outlook = Outlook::new(now_ms, &self.cell, upstreams);
        let mut is_full = false;
        let mut ahead = 0;
        for mut job in std::mem::take(&mut self.waiting) {
            if job.is_over(now_ms) {
                continue;
            }
            let offers = match is_full && !job.is_repeat() {
                true => Vec::new(),
                false => self.offers(now_ms, &job, &outlook, upstreams, rng),
            };
            is_full |= offers.is_empty() && !job.is_repeat();
            match self.decide(now_ms, &mut job, ahead, &offers, &outlook, upstreams) {
                Decision::Place(candidate) => {
                    self.place(now_ms, &job, candidate, ahead, upstreams, effects);
                    continue;
                }
                Decision::Refuse(retry_after_ms) => {
                    let cause = RefusalCause::NoRoom { retry_after_ms, ahead };
                    effects.push(job.refused(cause));
                    continue;
                }
                Decision::Decline => {
                    effects.push(job.refused(RefusalCause::NoUpstream));
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

    fn decide(
        &self,
        now_ms: Millis,
        job: &mut Job,
        ahead: usize,
        offers: &[Offer],
        outlook: &Outlook,
        upstreams: &UpstreamSet,
    ) -> Decision {
        if outlook.upstreams.is_empty() {
            return Decision::Decline;
        }
        let best = offers.iter().find(|offer| offer.has_room);
        if let Some(best) = best.filter(|best| best.is_fresh && best.candidate.cost <= AT_ONCE) {
            return Decision::Place(best.candidate.clone());
        }
        // Those that are full only by what others were said to send are asked where nobody
        // has room: else old hearsay would shut them off for ever.
        let is_worth_asking = |offer: &&Offer| !offer.is_fresh && offer.has_room == best.is_some();
        let stale = offers.iter().filter(is_worth_asking).take(ASKED_AT_ONCE);
        let stale: Vec<&UpstreamId> = stale.map(|offer| &offer.candidate.upstream).collect();
        if !stale.is_empty() && job.may_ask(now_ms) {
            job.asked_ms = Some(now_ms);
            let is_due = |id: &UpstreamId| {
                self.asked_ms.get(id).is_none_or(|&at_ms| now_ms.since(at_ms) >= ASK_AGAIN_MS)
            };
            return Decision::Ask(stale.into_iter().filter(|id| is_due(id)).cloned().collect());
        }
        let is_awaited = job.asked_ms.is_some_and(|at_ms| now_ms.since(at_ms) < ASK_WAIT_MS);
        if is_awaited && !stale.is_empty() {
            return Decision::Wait;
        }
        let expected_ms = |candidate: &Candidate| {
            upstreams.expected_ms(&self.cell.service, candidate.work).unwrap_or_default()
        };
        let done_ms = |offer: &Offer| now_ms + expected_ms(&offer.candidate);
        let may_wait = !job.is_repeat() && !outlook.is_hopeless(now_ms, job.due_ms, ahead);
        match (best, offers.first()) {
            (Some(best), _) if done_ms(best) <= job.due_ms => {
                Decision::Place(best.candidate.clone())
            }
            _ if may_wait => Decision::Wait,
            (_, Some(any)) if done_ms(any) <= job.latest_ms() => {
                Decision::Place(any.candidate.clone())
            }
            _ => Decision::Refuse(outlook.retry_after_ms(now_ms, job.due_ms, ahead)),
        }
    }

    /// Upstreams that have room as far as this scheduler's own requests go, the best first.
    fn offers(
        &self,
        now_ms: Millis,
        job: &Job,
        outlook: &Outlook,
        upstreams: &UpstreamSet,
        rng: &mut Pcg64Mcg,
    ) -> Vec<Offer> {
        let is_trial = self.placements % TRIAL_EVERY == TRIAL_EVERY - 1;
        let beyond = if job.is_repeat() { u32::MAX } else { u32::from(is_trial) };
        let mut offers = self.offers_within(now_ms, job, 0, outlook, upstreams, rng);
        if offers.is_empty() && beyond > 0 {
            offers = self.offers_within(now_ms, job, beyond, outlook, upstreams, rng);
        }
        offers.sort_by(|a, b| a.candidate.cost.total_cmp(&b.candidate.cost));
        offers
    }

    fn offers_within(
        &self,
        now_ms: Millis,
        job: &Job,
        beyond: u32,
        outlook: &Outlook,
        upstreams: &UpstreamSet,
        rng: &mut Pcg64Mcg,
    ) -> Vec<Offer> {
        let load = upstreams.load(&self.cell.service);
        let untried = outlook.upstreams.iter().filter(|id| !job.tried.contains(id));
        let offer = |id: &UpstreamId| {
            let (known, curve) = (upstreams.get(id)?, upstreams.curve(id)?);
            let slots = known.entry.slots.0.max(1);
            let most = curve.best().saturating_add(beyond).min(slots);
            if known.open() >= most {
                return None;
            }
            let mut candidate = upstreams.weigh_from(now_ms, id, &job.zone)?;
            candidate.cost *= 1.0 + SHAKE * rng.random::<f64>();
            let age_ms = known.report(now_ms).map(|(_, age_ms)| age_ms);
            let is_fresh = age_ms.is_some_and(|age_ms| age_ms <= FRESH_MS);
            // Others are not this scheduler's to hold back: what they leave is used. Half a
            // request of theirs may be nothing but what is remembered.
            let has_room = known.occupied(now_ms, load) + 0.5 <= f64::from(slots);
            Some(Offer { candidate, is_fresh, has_room })
        };
        untried.filter_map(offer).collect()
    }

    fn place(
        &mut self,
        now_ms: Millis,
        job: &Job,
        candidate: Candidate,
        ahead: usize,
        upstreams: &mut UpstreamSet,
        effects: &mut Vec<Effect>,
    ) {
        let Some(known) = upstreams.get_mut(&candidate.upstream) else { return };
        self.note_time(now_ms, &candidate.upstream, known.open());
        known.note_sent();
        let report = known.report(now_ms);
        let just_told = report.filter(|(_, age_ms)| *age_ms <= FRESH_MS);
        let placed = Placed {
            upstream: candidate.upstream.clone(),
            forget_ms: job.end_ms + FORGET_AFTER_MS,
            work: candidate.work,
            slowness: just_told.map(|(report, _)| report.slowness()),
            spent: Occupancy::new(known.open()),
            noted_ms: now_ms,
        };
        self.placed.insert(job.key, placed);
        self.placements = self.placements.wrapping_add(1);
        let report_age_ms = report.map(|(_, age_ms)| age_ms);
        let Candidate { upstream, work, cost } = candidate;
        let (work, cost) = (work as f32, cost as f32);
        effects.push(job.placed(Place { upstream, work, cost, report_age_ms, ahead }));
    }

    fn take_placed(&mut self, now_ms: Millis, key: Key) -> Option<Placed> {
        let upstream = self.placed.get(&key)?.upstream.clone();
        let running = self.placed.values().filter(|placed| placed.upstream == upstream).count();
        self.note_time(now_ms, &upstream, running as u32);
        self.placed.remove(&key)
    }

    /// So many ran on an upstream until now.
    fn note_time(&mut self, now_ms: Millis, upstream: &UpstreamId, running: u32) {
        for placed in self.placed.values_mut().filter(|placed| placed.upstream == *upstream) {
            placed.spent.add(running, now_ms.since(placed.noted_ms).as_f64());
            placed.noted_ms = now_ms;
        }
    }

    fn forget(&mut self, now_ms: Millis, upstreams: &mut UpstreamSet) {
        self.forgot_ms = now_ms;
        let is_over = |placed: &Placed| placed.forget_ms <= now_ms;
        let over: Vec<Key> =
            self.placed.iter().filter(|(_, placed)| is_over(placed)).map(|(key, _)| *key).collect();
        for key in over {
            self.withdraw(now_ms, key, upstreams);
        }
        self.asked_ms.retain(|_, at_ms| now_ms.since(*at_ms) < ASK_AGAIN_MS);
    }
}
