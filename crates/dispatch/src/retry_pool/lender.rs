//! Lends the requests that a host counted to the schedulers that answer it.

use crate::budget::RetryBudget;
use crate::scheduler::Cell;
use domain::{FastMap, HostId, Incarnation, Millis, ServiceName};
use published::Member;

/// The schedulers that a host lends to, by cell.
///
/// What is lent to a scheduler that doesn't answer is lost, so the first submission to a scheduler
/// lends nothing. A scheduler that takes over doesn't know what the last one granted, so the host
/// counts that as its own. A host that restarts as scheduler knows neither the pool of its last run
/// nor what that granted to itself, so its own requests allow no retries in its first window.
#[derive(Debug)]
pub struct Lender {
    own_host: HostId,
    schedulers: FastMap<Cell, LastScheduler>,
}

/// The scheduler that requests of a cell were last submitted to.
#[derive(Debug)]
struct LastScheduler {
    host: HostId,
    incarnation: Incarnation,
    /// Whether it answered the last submission, and schedules.
    is_answering: bool,
}

impl LastScheduler {
    fn is_run_of(&self, member: &Member) -> bool {
        self.host == member.host && self.incarnation == member.incarnation
    }
}

impl Lender {
    /// Lends nothing yet.
    pub fn new(own_host: HostId) -> Lender {
        Lender { own_host, schedulers: FastMap::default() }
    }

    /// Lends requests with a submission to a scheduler; returns their number.
    pub fn lend(
        &mut self,
        now_ms: Millis,
        cell: &Cell,
        scheduler: &Member,
        budget: &mut RetryBudget,
    ) -> u32 {
        match self.schedulers.get(cell) {
            Some(last) if last.is_run_of(scheduler) && last.is_answering => {
                let lent = budget.lend(now_ms, &cell.service);
                let is_lost = scheduler.host == self.own_host && budget.is_in_first_window(now_ms);
                return if is_lost { 0 } else { lent };
            }
            Some(last) if last.is_run_of(scheduler) => return 0,
            Some(_) => budget.take_over_grants(&cell.service),
            None => {}
        }
        let (host, incarnation) = (scheduler.host.clone(), scheduler.incarnation);
        let last = LastScheduler { host, incarnation, is_answering: false };
        self.schedulers.insert(cell.clone(), last);
        0
    }

    /// Records whether a scheduler answered a submission.
    pub fn record_answer(&mut self, cell: &Cell, scheduler: &Member, is_answering: bool) {
        let last = self.schedulers.get_mut(cell).filter(|last| last.is_run_of(scheduler));
        last.into_iter().for_each(|last| last.is_answering = is_answering);
    }

    /// Records that a scheduler is excluded as it doesn't answer.
    pub fn record_lost(&mut self, cell: &Cell, scheduler: &Member, budget: &mut RetryBudget) {
        if self.schedulers.get(cell).is_some_and(|last| last.is_run_of(scheduler)) {
            self.schedulers.remove(cell);
            budget.take_over_grants(&cell.service);
        }
    }

    /// Whether a scheduler of the service answered the last submission to it.
    pub fn has_scheduler(&self, service: &ServiceName) -> bool {
        self.schedulers.iter().any(|(cell, last)| cell.service == *service && last.is_answering)
    }
}
