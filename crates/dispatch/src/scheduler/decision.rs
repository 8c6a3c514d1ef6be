//! What becomes of a request that waits.
//!
//! It answers bursts: with as many requests as upstreams can do, half of what was sent to any
//! free slot was late. Here a request goes to the upstream that is expected to be in time by
//! what was just told, waits as long as the queue can still be in time, and is refused as
//! soon as it can't.

use super::Scheduler;
use super::forecast::Forecast;
use super::freshness::just_told;
use super::job::Job;
use super::message::RefusalCause;
use super::rate_placing::{hoped_share, rate_share};
use crate::asking::{ASKED_AT_ONCE, AT_ONCE};
use crate::choice::Candidate;
use crate::fleet_rate::{LentShares, RateBudget};
use crate::upstream_set::UpstreamSet;
use domain::{Millis, UpstreamId};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Time after which an upstream is asked again for requests that still wait.
pub(super) const ASK_AGAIN_MS: Millis = Millis(25);

/// How long the answers are waited for: a round trip between availability zones, with a new
/// connection.
const ASK_WAIT_MS: Millis = Millis(6);

/// Part of the cost by which the order of upstreams is shaken: of equals not always the same
/// is taken.
const SHAKE: f64 = 0.1;

/// What a new connection adds to the cost by which offers are compared: it takes a round trip
/// more, and upstreams bear a limited number. Without it 6% more were opened.
const NEW_CONNECTION: f64 = 0.2;

/// After so many requests that waited one goes to an upstream past the number that it works on
/// best, if none is free: otherwise a number that was learned too low would never be found out.
const TRIAL_EVERY: u32 = 20;

/// What becomes of a request.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Decision {
    Place(Candidate),
    Ask(Vec<UpstreamId>),
    Wait,
    Refuse(RefusalCause),
}

/// What is decided by.
#[derive(Clone, Copy)]
pub(super) struct View<'a> {
    pub(super) now_ms: Millis,
    pub(super) upstreams: &'a UpstreamSet,
    pub(super) forecast: &'a Forecast,
    /// What was spent of fleet-wide rates, and the part of them that is lent
    /// for it.
    pub(super) budget: &'a RateBudget,
    pub(super) lent: LentShares,
    /// Requests that wait before the one in question.
    pub(super) ahead: usize,
}

/// An upstream that may have room.
#[derive(Debug)]
pub(super) struct Offer {
    candidate: Candidate,
    /// By which offers are compared; the least is best.
    rank: f64,
    /// What is known of it was told just now.
    is_fresh: bool,
    /// It may get a request now; else it is worth asking only.
    may_place: bool,
    /// Others leave it room, as far as it is known.
    has_room: bool,
}

impl Scheduler {
    pub(super) fn decide(&self, job: &mut Job, offers: &[Offer], view: View<'_>) -> Decision {
        let View { now_ms, forecast, .. } = view;
        if job.backs_off_from(&forecast.upstreams) {
            return Decision::Refuse(RefusalCause::NoUpstream);
        }
        let best = offers.iter().find(|offer| offer.has_room);
        if let Some(best) = best.filter(|best| best.is_fresh && best.candidate.cost <= AT_ONCE) {
            return Decision::Place(best.candidate.clone());
        }
        let stale = worth_asking(offers, best.is_some());
        if !stale.is_empty() && job.may_ask(now_ms) {
            job.asked_ms = Some(now_ms);
            return Decision::Ask(self.not_just_asked(now_ms, stale));
        }
        let is_awaited = job.asked_ms.is_some_and(|at_ms| now_ms.since(at_ms) < ASK_WAIT_MS);
        if is_awaited && !stale.is_empty() {
            return Decision::Wait;
        }
        let done_ms = |offer: &Offer| now_ms + self.expected_ms(&offer.candidate, view);
        let may_wait = !job.is_repeat() && !forecast.is_hopeless(now_ms, job, view.ahead);
        match (best, offers.iter().find(|offer| offer.may_place)) {
            (Some(best), _) if done_ms(best) <= job.due_ms => {
                Decision::Place(best.candidate.clone())
            }
            _ if may_wait => Decision::Wait,
            (_, Some(any)) if done_ms(any) <= job.latest_ms() => {
                Decision::Place(any.candidate.clone())
            }
            _ => Decision::Refuse(RefusalCause::NoRoom {
                retry_after_ms: forecast.retry_after_ms(now_ms, job, view.ahead),
                ahead: view.ahead,
            }),
        }
    }

    /// How long a request would take there; nothing before anything was learned.
    fn expected_ms(&self, candidate: &Candidate, view: View<'_>) -> Millis {
        let expected_ms = view.upstreams.expected_ms(&self.cell.service, candidate.work);
        expected_ms.unwrap_or_default()
    }

    fn not_just_asked(&self, now_ms: Millis, upstreams: Vec<UpstreamId>) -> Vec<UpstreamId> {
        let is_due = |id: &UpstreamId| {
            self.asked_ms.get(id).is_none_or(|&at_ms| now_ms.since(at_ms) >= ASK_AGAIN_MS)
        };
        upstreams.into_iter().filter(is_due).collect()
    }

    /// Upstreams that have room as far as this scheduler's own requests go, the best first.
    pub(super) fn offers(&self, job: &Job, view: View<'_>, rng: &mut Pcg64Mcg) -> Vec<Offer> {
        let is_trial = self.waited_since_trial >= TRIAL_EVERY;
        let beyond = if job.is_repeat() { u32::MAX } else { u32::from(is_trial) };
        let mut offers = self.offers_within(0, job, view, rng);
        if offers.is_empty() && beyond > 0 {
            offers = self.offers_within(beyond, job, view, rng);
        }
        offers.sort_by(|a, b| a.rank.total_cmp(&b.rank));
        offers
    }

    /// The same, up to so many requests beyond the number that upstreams work on best.
    fn offers_within(
        &self,
        beyond: u32,
        job: &Job,
        view: View<'_>,
        rng: &mut Pcg64Mcg,
    ) -> Vec<Offer> {
        let sent = self.sent.get(&job.key.asker);
        let is_connected = |id: &UpstreamId| {
            let last = sent.and_then(|sent| sent.get(id));
            last.is_some_and(|last| !view.upstreams.has_restarted(id, last.run))
        };
        let possible = view.forecast.upstreams.iter().filter(|id| job.may_go_to(id));
        let offers = possible.filter_map(|id| {
            let mut offer = self.offer(id, beyond, job, view)?;
            let connecting = if is_connected(id) { 0.0 } else { NEW_CONNECTION };
            offer.rank = offer.candidate.cost * (1.0 + SHAKE * rng.random::<f64>()) + connecting;
            Some(offer)
        });
        offers.collect()
    }

    fn offer(&self, id: &UpstreamId, beyond: u32, job: &Job, view: View<'_>) -> Option<Offer> {
        let View { now_ms, upstreams, .. } = view;
        let (known, curve) = (upstreams.get(id)?, upstreams.curve(id)?);
        let slots = known.entry.slots.0.max(1);
        let most = curve.best().saturating_add(beyond).min(slots);
        if known.in_flight() >= most {
            return None;
        }
        let fleet_rate = upstreams.fleet_rate(now_ms, id);
        let has_one = |share| {
            let may_send = |limit| view.budget.allows_request(now_ms, id, limit, share);
            fleet_rate.is_none_or(may_send)
        };
        if !has_one(hoped_share(known, now_ms, view.lent)) {
            return None;
        }
        let may_place = has_one(rate_share(known, now_ms, view.lent));
        let candidate = upstreams.weigh_from(now_ms, id, &job.zone)?;
        let is_fresh = just_told(known, now_ms).is_some();
        // Others are not this scheduler's to hold back: what they leave is used. Half a
        // request of theirs may be nothing but what is remembered.
        let occupied = known.estimated_requests(now_ms, upstreams.load(&self.cell.service));
        let has_room = may_place && occupied + 0.5 <= f64::from(slots);
        Some(Offer { rank: candidate.cost, candidate, is_fresh, may_place, has_room })
    }
}

/// Upstreams of which nothing was told just now, the best first. Where nobody has room, those
/// that are full only by what others were said to send: old hearsay would shut them off for
/// ever.
fn worth_asking(offers: &[Offer], has_any_room: bool) -> Vec<UpstreamId> {
    let stale = offers.iter().filter(|offer| !offer.is_fresh && offer.has_room == has_any_room);
    stale.take(ASKED_AT_ONCE).map(|offer| offer.candidate.upstream.clone()).collect()
}
