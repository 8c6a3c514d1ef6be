//! The retries that hosts share, kept by the scheduler of a service.
//!
//! A host lends the requests that it counted to the scheduler with its submissions, and asks for a
//! retry with a submission once its own retries are spent. The pool grants retries up to a share of
//! the requests lent in the last window. A request is counted by one pool or one host only, so
//! several schedulers of a service need no agreement: their pools add up to no more than the fleet
//! may spend.
//!
//! Only requests that may run again, or provably did not run, are retried at all. Among these, with
//! less than a quarter of the pool left, only those that can still be in time get a retry, and less
//! urgent ones leave a part of the pool for each more urgent priority that asked within the window.

mod lender;

pub use lender::{Lender, Loan};

use crate::budget::FleetRetryLimits;
use crate::scheduler::{Requester, Submission, Ticket};
use domain::{FastMap, Millis, ServiceName, Share};
use std::collections::VecDeque;

/// Part of the share that is used. Requests are lent up to a second after they were counted, which
/// is a tenth of the usual window.
pub(crate) const RATIO_USED: f64 = 0.9;

/// Width of one count within a window.
const COUNT_MS: Millis = Millis(100);

/// Part of the pool below which only requests that can be in time get a retry.
const SCARCE_SHARE: f64 = 0.25;

/// Part of the pool that a request leaves for each more urgent priority.
const SHARE_PER_PRIORITY: f64 = 0.05;

/// Longest delay of a copy of a submission that is recognized.
const COPY_DELAY_MS: Millis = Millis(1_000);

/// The pools of all services that this host schedules.
#[derive(Debug)]
pub struct RetryPools {
    limits: FleetRetryLimits,
    pools: FastMap<ServiceName, RetryPool>,
    decisions: RecentDecisions,
}

/// Whether a submission may be queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// It asks for no retry, or a copy of it got one.
    NotNeeded,
    /// It got a retry.
    Granted,
    /// No retry is left for it.
    Refused {
        /// Retries left for more urgent requests.
        left: u32,
    },
}

/// Requests and retries of one service.
#[derive(Debug, Default)]
struct RetryPool {
    counts: VecDeque<Count>,
    /// When a request of each priority last asked for a retry.
    asked_ms: FastMap<u32, Millis>,
}

#[derive(Debug, Clone, Copy)]
struct Count {
    index: u64,
    lent: u32,
    granted: u32,
}

/// Decisions by submission, so that its copies change nothing.
#[derive(Debug, Default)]
struct RecentDecisions {
    decisions: FastMap<(Requester, Ticket), RetryDecision>,
    order: VecDeque<(Millis, (Requester, Ticket))>,
}

impl Default for RetryPools {
    /// Pools that grant nothing until limits are set.
    fn default() -> RetryPools {
        let limits = FleetRetryLimits { ratio: Share(0.0), slack: 0.0, window_ms: Millis(10_000) };
        RetryPools { limits, pools: FastMap::default(), decisions: RecentDecisions::default() }
    }
}

impl RetryPools {
    /// Sets what the whole fleet may spend.
    pub fn set_limits(&mut self, limits: FleetRetryLimits) {
        self.limits = limits;
    }

    /// Counts the requests that a submission lends, and decides whether it gets a retry if it needs
    /// one. `service_time_ms` is that of its route, once anything was learned.
    pub fn handle_submission(
        &mut self,
        now_ms: Millis,
        requester: Requester,
        submission: &Submission,
        service_time_ms: Option<Millis>,
    ) -> RetryDecision {
        let key = (requester, submission.ticket);
        self.decisions.expire(now_ms);
        match self.decisions.get(key) {
            Some(RetryDecision::Granted) => return RetryDecision::NotNeeded,
            Some(decision) => return decision,
            None => {}
        }
        let Submission { lent_requests: lent, owed_retries: owed, .. } = *submission;
        if lent == 0 && owed == 0 && !submission.needs_retry_grant {
            return RetryDecision::NotNeeded;
        }
        let limits = self.limits;
        let pool = self.pools.entry(submission.cell.service.clone()).or_default();
        pool.add(now_ms, limits.window_ms, lent, owed);
        let decision = match submission.needs_retry_grant {
            false => RetryDecision::NotNeeded,
            true => pool.decide(now_ms, limits, submission, service_time_ms.unwrap_or_default()),
        };
        self.decisions.add(now_ms, key, decision);
        decision
    }

    /// Takes back a retry that was just granted, since the submission is refused.
    pub fn take_back(
        &mut self,
        now_ms: Millis,
        requester: Requester,
        ticket: Ticket,
        service: &ServiceName,
    ) {
        let window_ms = self.limits.window_ms;
        let Some(pool) = self.pools.get_mut(service) else { return };
        let count = pool.count(now_ms, window_ms);
        count.granted = count.granted.saturating_sub(1);
        // A copy could be placed otherwise.
        self.decisions.replace((requester, ticket), RetryDecision::Refused { left: 0 });
    }

    /// Drops the pools of services without requests in the last window.
    pub fn expire(&mut self, now_ms: Millis) {
        let window_ms = self.limits.window_ms;
        self.decisions.expire(now_ms);
        self.pools.retain(|_, pool| pool.is_used(now_ms, window_ms));
    }
}

impl RetryPool {
    fn add(&mut self, now_ms: Millis, window_ms: Millis, lent: u32, granted: u32) {
        let count = self.count(now_ms, window_ms);
        count.lent = count.lent.saturating_add(lent);
        count.granted = count.granted.saturating_add(granted);
    }

    fn decide(
        &mut self,
        now_ms: Millis,
        limits: FleetRetryLimits,
        submission: &Submission,
        service_time_ms: Millis,
    ) -> RetryDecision {
        let window_ms = limits.window_ms;
        self.asked_ms.retain(|_, at_ms| now_ms.since(*at_ms) < window_ms);
        self.asked_ms.insert(submission.priority, now_ms);
        let (lent, granted) = self.totals(now_ms, window_ms);
        let allowed = limits.ratio.0 * RATIO_USED * lent as f64;
        let left = allowed - granted as f64;
        let more_urgent = self.asked_ms.keys().filter(|&&asked| asked < submission.priority);
        let spared = (more_urgent.count() as f64 * SHARE_PER_PRIORITY).min(SCARCE_SHARE);
        let is_in_time = submission.age_ms + service_time_ms <= submission.objective_ms;
        let is_scarce = left < allowed * SCARCE_SHARE;
        if left < 1.0 || (is_scarce && (!is_in_time || left - 1.0 < allowed * spared)) {
            return RetryDecision::Refused { left: left.max(0.0) as u32 };
        }
        self.count(now_ms, window_ms).granted += 1;
        RetryDecision::Granted
    }

    /// Requests lent and retries granted in the last window.
    fn totals(&self, now_ms: Millis, window_ms: Millis) -> (u64, u64) {
        let since = first_index(now_ms, window_ms);
        let recent = self.counts.iter().filter(|count| count.index >= since);
        recent.fold((0, 0), |(lent, granted), count| {
            (lent + u64::from(count.lent), granted + u64::from(count.granted))
        })
    }

    fn is_used(&self, now_ms: Millis, window_ms: Millis) -> bool {
        let since = first_index(now_ms, window_ms);
        self.counts.back().is_some_and(|count| count.index >= since)
    }

    /// The current count; drops counts that are older than the window.
    fn count(&mut self, now_ms: Millis, window_ms: Millis) -> &mut Count {
        let index = now_ms.0 / COUNT_MS.0;
        let since = first_index(now_ms, window_ms);
        while self.counts.front().is_some_and(|count| count.index < since) {
            self.counts.pop_front();
        }
        if self.counts.back().is_none_or(|count| count.index != index) {
            self.counts.push_back(Count { index, lent: 0, granted: 0 });
        }
        let last = self.counts.len() - 1;
        &mut self.counts[last]
    }
}

fn first_index(now_ms: Millis, window_ms: Millis) -> u64 {
    now_ms.since(window_ms).0 / COUNT_MS.0
}

impl RecentDecisions {
    fn get(&self, key: (Requester, Ticket)) -> Option<RetryDecision> {
        self.decisions.get(&key).copied()
    }

    fn add(&mut self, now_ms: Millis, key: (Requester, Ticket), decision: RetryDecision) {
        self.decisions.insert(key, decision);
        self.order.push_back((now_ms, key));
    }

    fn replace(&mut self, key: (Requester, Ticket), decision: RetryDecision) {
        self.decisions.insert(key, decision);
    }

    fn expire(&mut self, now_ms: Millis) {
        while let Some((_, key)) =
            self.order.pop_front_if(|(at_ms, _)| now_ms.since(*at_ms) >= COPY_DELAY_MS)
        {
            self.decisions.remove(&key);
        }
    }
}
