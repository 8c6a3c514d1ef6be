//! Lends the requests that a host counted to the schedulers that answer it.

use crate::budget::RetryBudget;
use crate::scheduler::Cell;
use domain::{FastMap, HostId, Incarnation, Millis, ServiceName};
use published::Member;

/// The schedulers that a host lends to, by cell.
///
/// What is lent to a scheduler that doesn't answer is lost, so the first submission to a scheduler
/// lends nothing. A scheduler that takes over doesn't know what the last one granted, so the host
/// states it, and counts it as its own until it is answered. A host that restarts as scheduler knows neither the pool of its last run
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
    /// Whether the retries taken over from the last scheduler were stated to it.
    knows_owed: bool,
}

/// What a host states with a submission to a scheduler.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Loan {
    /// Requests lent.
    pub requests: u32,
    /// Retries that the last scheduler granted, beyond those that its requests allow.
    pub owed_retries: u32,
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

    /// Lends requests with a submission to a scheduler.
    pub fn lend(
        &mut self,
        now_ms: Millis,
        cell: &Cell,
        scheduler: &Member,
        budget: &mut RetryBudget,
    ) -> Loan {
        match self.schedulers.get_mut(cell) {
            Some(last) if last.is_run_of(scheduler) && last.is_answering => {
                let lent = budget.lend(now_ms, &cell.service);
                let is_lost = scheduler.host == self.own_host && budget.is_in_first_window(now_ms);
                let requests = if is_lost { 0 } else { lent };
                return Loan { requests, owed_retries: 0 };
            }
            Some(last) if last.is_run_of(scheduler) && last.knows_owed => return Loan::default(),
            Some(last) if last.is_run_of(scheduler) => {
                last.knows_owed = true;
                return Loan {
                    requests: 0,
                    owed_retries: budget.owed_retries(now_ms, &cell.service),
                };
            }
            Some(_) => budget.take_over_grants(&cell.service),
            None => {}
        }
        let (host, incarnation) = (scheduler.host.clone(), scheduler.incarnation);
        let last = LastScheduler { host, incarnation, is_answering: false, knows_owed: true };
        self.schedulers.insert(cell.clone(), last);
        Loan { requests: 0, owed_retries: budget.owed_retries(now_ms, &cell.service) }
    }

    /// Records that a scheduler answered a submission.
    pub fn record_answer(&mut self, cell: &Cell, scheduler: &Member, budget: &mut RetryBudget) {
        let last = self.schedulers.get_mut(cell).filter(|last| last.is_run_of(scheduler));
        let Some(last) = last.filter(|last| !last.is_answering) else { return };
        last.is_answering = true;
        if last.knows_owed {
            budget.hand_over_grants(&cell.service);
        }
    }

    /// Records that a scheduler did not answer a submission, or does not schedule.
    pub fn record_no_answer(&mut self, cell: &Cell, scheduler: &Member) {
        if let Some(last) = self.schedulers.get_mut(cell).filter(|last| last.is_run_of(scheduler)) {
            last.is_answering = false;
            last.knows_owed = false;
        }
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
