//! When a request that waits will have its place.

use super::Cell;
use super::job::Job;
use super::rate_placing::hoped_share;
use crate::backpressure::LONGEST_BACKOFF_MS;
use crate::fleet_rate::{FleetRate, LentShares, RateBudget};
use crate::load::LEAST_SLOWNESS;
use crate::upstream_set::UpstreamSet;
use domain::{Millis, UpstreamId};

/// A request has to be placed this many usual working times before its time is over: work
/// takes 1.3 times the usual in one case of six, and more where neighbours come meanwhile.
/// With 1.2 some 2% more were late or refused where upstreams are slowed most.
const START_BEFORE: f64 = 2.0;

/// A queue of fewer requests than this part of the upstreams says nothing of the wait: neighbours
/// come and go within it. Refused by it, one in ten was turned away in calm times while three of
/// eight upstreams were down.
const SHORT_QUEUE: f64 = 0.3;

/// Before it is known how long work takes, it is taken to be this part of the objective.
const UNKNOWN_USUAL: f64 = 1.0 / 3.0;

/// Shortest time to stay away that a refused caller is told: less is no relief.
const SHORTEST_AWAY_MS: Millis = Millis(30);

/// Longest time: after a second nothing is as it was, but for rates that upstreams keep to.
pub(super) const LONGEST_AWAY_MS: Millis = Millis(1_000);

/// How much more than others of its service an upstream may fail before it gets nothing: it
/// is idle since it fails, and would draw all that waits.
const FAILS_MORE: f64 = 0.4;

/// How a cell does at this moment.
#[derive(Debug)]
pub(super) struct Forecast {
    /// Upstreams that requests may be placed on.
    pub(super) upstreams: Vec<UpstreamId>,
    /// Requests that are done in a millisecond while there is enough to do.
    done_per_ms: f64,
    /// Where all of them take a rate only: when the first takes its next request.
    rates_free_in_ms: Option<Millis>,
    usual_ms: Option<Millis>,
}

impl Forecast {
    pub(super) fn new(
        now_ms: Millis,
        cell: &Cell,
        upstreams: &UpstreamSet,
        (budget, lent): (&RateBudget, LentShares),
    ) -> Forecast {
        let sound = sound_upstreams(now_ms, cell, upstreams);
        let usual_ms = upstreams.expected_ms(&cell.service, 1.0);
        let load = upstreams.load(&cell.service);
        let done_per_ms = |id: &UpstreamId| {
            let (known, curve) = (upstreams.get(id)?, upstreams.curve(id)?);
            let best = f64::from(curve.best());
            let slowness = known.slowness(now_ms, load).max(LEAST_SLOWNESS);
            let done = best * curve.speed(best) / slowness / usual_ms?.as_f64().max(1.0);
            let bears =
                |limit: FleetRate| limit.rate.0 * hoped_share(known, now_ms, lent) / 1_000.0;
            Some(upstreams.fleet_rate(now_ms, id).map_or(done, |limit| done.min(bears(limit))))
        };
        let done_per_ms = sound.iter().filter_map(done_per_ms).sum();
        let free_in_ms = |id: &UpstreamId| {
            let (known, limit) = (upstreams.get(id)?, upstreams.fleet_rate(now_ms, id)?);
            Some(budget.next_request_in(now_ms, id, limit, hoped_share(known, now_ms, lent)))
        };
        let free_in_ms: Option<Vec<Millis>> = sound.iter().map(free_in_ms).collect();
        let rates_free_in_ms = free_in_ms.and_then(|all| all.into_iter().min());
        Forecast { upstreams: sound, done_per_ms, rates_free_in_ms, usual_ms }
    }

    /// Whether a request behind so many others can't be placed early enough.
    pub(super) fn is_hopeless(&self, now_ms: Millis, job: &Job, ahead: usize) -> bool {
        let is_short = (ahead as f64) < SHORT_QUEUE * self.upstreams.len() as f64;
        let wait_ms = match is_short && self.rates_free_in_ms.is_none() {
            true => Millis::ZERO,
            false => self.wait_ms(ahead),
        };
        now_ms + wait_ms + self.start_before(job) > job.due_ms
    }

    /// When there is room again for a request as late as this one.
    pub(super) fn retry_after_ms(&self, now_ms: Millis, job: &Job, ahead: usize) -> Millis {
        let slack_ms = job.due_ms.since(now_ms + self.start_before(job));
        let over_ms = self.wait_ms(ahead) - slack_ms;
        let longest_ms = match self.rates_free_in_ms {
            Some(_) => LONGEST_BACKOFF_MS,
            None => LONGEST_AWAY_MS,
        };
        over_ms.clamp(SHORTEST_AWAY_MS, longest_ms)
    }

    /// Nothing before it is known how long work takes, unless rates tell.
    fn wait_ms(&self, ahead: usize) -> Millis {
        if let Some(free_in_ms) = self.rates_free_in_ms {
            let behind_ms = (ahead as f64 / self.done_per_ms.max(1e-6)).min(1e9) as u64;
            return free_in_ms + Millis(behind_ms);
        }
        let ahead = ahead as f64 + 1.0;
        let wait_ms = (ahead / self.done_per_ms.max(1e-6)).min(1e9) as u64;
        self.usual_ms.map_or(Millis::ZERO, |_| Millis(wait_ms))
    }

    fn start_before(&self, job: &Job) -> Millis {
        let unknown_ms = job.objective_ms.as_f64() * UNKNOWN_USUAL;
        let usual_ms = self.usual_ms.map_or(unknown_ms, Millis::as_f64);
        Millis((usual_ms * START_BEFORE) as u64)
    }
}

/// Those that take work, can be reached and don't fail more than the others. Where there are no
/// such, none in a cell that is one zone of several: the others have some. Elsewhere all that
/// take work, as what is known of them may be old.
fn sound_upstreams(now_ms: Millis, cell: &Cell, upstreams: &UpstreamSet) -> Vec<UpstreamId> {
    let is_in_cell = |id: &&UpstreamId| {
        let is_held = upstreams.get(id).is_some_and(|known| cell.holds(&known.entry));
        is_held && upstreams.accepts_requests(id)
    };
    let all: Vec<&UpstreamId> =
        upstreams.of_service(&cell.service).iter().filter(is_in_cell).collect();
    let failing =
        |id: &UpstreamId| upstreams.get(id).map_or(0.0, |known| known.failure_rate(now_ms));
    let mean = all.iter().map(|id| failing(id)).sum::<f64>() / all.len().max(1) as f64;
    let is_sound = |id: &&UpstreamId| {
        let is_avoided = upstreams.get(id).is_some_and(|known| known.is_excluded(now_ms));
        !is_avoided && failing(id) - mean < FAILS_MORE
    };
    let sound: Vec<UpstreamId> = all.iter().copied().filter(is_sound).cloned().collect();
    match sound.is_empty() && cell.zone.is_none() {
        true => all.into_iter().cloned().collect(),
        false => sound,
    }
}
