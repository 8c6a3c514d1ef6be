//! A host's part of the retries that the whole fleet may send.
//!
//! In any window, the fleet may retry a share of the requests for a service, and a fixed number
//! more. Each run of a host earns retries with its requests and with time, starts with none and
//! saves up few, so the fleet stays within its limit however often hosts restart, and whatever they
//! know of each other's spending. Time earns a host its part of the fixed number, by the number of
//! hosts that share it at that moment.

use domain::{FastMap, Millis, ServiceName, Share};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use std::collections::VecDeque;

/// Part of the allowed share that requests earn.
const EARNED_RATIO: f64 = 0.9;

/// Part of the allowed share of the last window's requests that may be saved up.
const SAVED_RATIO: f64 = 0.05;

/// Part of the usable fixed number that time earns in a window. The rest may be saved up.
const EARNED_SLACK: f64 = 0.4;

/// Hosts round to whole retries independently of each other. The fixed number is reduced by this
/// many standard deviations of the sum.
const ROUNDING_DEVIATIONS: f64 = 4.0;

/// Counts into which a window is divided.
const COUNTS_PER_WINDOW: u64 = 10;

/// The retries that all hosts together may send for one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetRetryLimits {
    /// Retries as a share of the requests.
    pub ratio: Share,
    /// Further retries in each window.
    pub slack: f64,
    /// Length of the window.
    pub window_ms: Millis,
}

/// What a host's retries for a service were computed from, and what is left of them.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct RetryAccount {
    /// Number of hosts that share the fixed part; none if this host doesn't know.
    #[serde(rename = "budget_hosts")]
    pub hosts: Option<u32>,
    /// Requests of this host within the window.
    #[serde(rename = "budget_requests")]
    pub requests: u32,
    /// Retries that this host sent within the window.
    #[serde(rename = "budget_repeats")]
    pub retries: u32,
    /// Retries left.
    #[serde(rename = "repeats_left")]
    pub remaining: f64,
}

/// This host's retry budget, by service.
#[derive(Debug)]
pub struct RetryBudget {
    allowed: FleetRetryLimits,
    started_ms: Millis,
    hosts: Option<u32>,
    rng: Pcg64Mcg,
    services: FastMap<ServiceName, ServiceBudget>,
}

/// Balance and recent counts of one service.
#[derive(Debug)]
struct ServiceBudget {
    /// Retries earned and neither reserved nor sent.
    balance: f64,
    /// Retries that were decided and not sent yet.
    reserved: u32,
    updated_ms: Millis,
    counts: VecDeque<Count>,
}

/// Requests and retries in a fraction of a window.
#[derive(Debug, Clone, Copy)]
struct Count {
    index: u64,
    requests: u32,
    retries: u32,
}

/// What a host earns and saves up of the fixed number.
#[derive(Debug, Clone, Copy, Default)]
struct FixedPart {
    earned_per_ms: f64,
    saved: f64,
}

impl RetryBudget {
    /// Creates the budget of a host that has just started.
    pub fn new(allowed: FleetRetryLimits, started_ms: Millis, seed: u64) -> RetryBudget {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        RetryBudget { allowed, started_ms, hosts: None, rng, services: FastMap::default() }
    }

    /// Changes the allowance.
    pub fn set_allowed(&mut self, allowed: FleetRetryLimits) {
        if self.allowed.window_ms != allowed.window_ms {
            self.services.values_mut().for_each(|service| service.counts.clear());
        }
        self.allowed = allowed;
    }

    /// Sets the number of hosts that share the fixed part; none while this host doesn't know it.
    pub fn set_hosts(&mut self, hosts: Option<u32>) {
        self.hosts = hosts;
    }

    /// Counts a request for a service.
    pub fn record_request(&mut self, now_ms: Millis, service: &ServiceName) {
        let allowed = self.allowed;
        self.change(now_ms, service, |budget| {
            budget.count(now_ms, allowed.window_ms).requests += 1;
            budget.balance += allowed.ratio.0 * EARNED_RATIO;
        });
    }

    /// Reserves a retry; false if none is left. It is to be sent or released.
    pub fn try_reserve(&mut self, now_ms: Millis, service: &ServiceName) -> bool {
        self.change(now_ms, service, |budget| {
            let is_left = budget.balance >= 1.0;
            if is_left {
                budget.balance -= 1.0;
                budget.reserved += 1;
            }
            is_left
        })
    }

    /// Records that a reserved retry is sent.
    pub fn record_sent(&mut self, now_ms: Millis, service: &ServiceName) {
        let window_ms = self.allowed.window_ms;
        self.change(now_ms, service, |budget| {
            budget.reserved = budget.reserved.saturating_sub(1);
            budget.count(now_ms, window_ms).retries += 1;
        });
    }

    /// Returns a reserved retry that is not sent.
    pub fn release(&mut self, now_ms: Millis, service: &ServiceName) {
        self.change(now_ms, service, |budget| {
            budget.reserved = budget.reserved.saturating_sub(1);
            budget.balance += 1.0;
        });
    }

    /// Returns a retry of which no byte was sent.
    pub fn return_unsent(&mut self, now_ms: Millis, service: &ServiceName) {
        let window_ms = self.allowed.window_ms;
        self.change(now_ms, service, |budget| {
            let count = budget.count(now_ms, window_ms);
            count.retries = count.retries.saturating_sub(1);
            budget.balance += 1.0;
        });
    }

    /// What is left for a service, and what that was computed from.
    pub fn account(&mut self, now_ms: Millis, service: &ServiceName) -> RetryAccount {
        let (hosts, window_ms) = (self.hosts, self.allowed.window_ms);
        self.change(now_ms, service, |budget| {
            let (requests, retries) = budget.recent(now_ms, window_ms);
            RetryAccount { hosts, requests, retries, remaining: budget.balance }
        })
    }

    /// Changes the budget of a service, after what time has earned is added; then drops what may not
    /// be saved up.
    fn change<T>(
        &mut self,
        now_ms: Millis,
        service: &ServiceName,
        change: impl FnOnce(&mut ServiceBudget) -> T,
    ) -> T {
        let (fixed, allowed, started_ms) = (self.fixed_part(), self.allowed, self.started_ms);
        let rng = &mut self.rng;
        let new = || ServiceBudget::new(started_ms, rng.random());
        let budget = self.services.entry(service.clone()).or_insert_with(new);
        budget.add_earned(now_ms, fixed);
        budget.limit_savings(now_ms, allowed, fixed);
        let result = change(budget);
        budget.limit_savings(now_ms, allowed, fixed);
        result
    }

    fn fixed_part(&self) -> FixedPart {
        let Some(hosts) = self.hosts.map(|hosts| f64::from(hosts.max(1))) else {
            return FixedPart::default();
        };
        let deviation = (hosts / 4.0).min(self.allowed.slack).sqrt();
        let usable = (self.allowed.slack - ROUNDING_DEVIATIONS * deviation).max(0.0);
        FixedPart {
            earned_per_ms: usable * EARNED_SLACK / hosts / self.allowed.window_ms.as_f64(),
            saved: usable * (1.0 - EARNED_SLACK) / hosts,
        }
    }
}

impl ServiceBudget {
    /// The budget of a service at the start of a run. `phase`, from 0 to 1, differs between hosts, so
    /// that those that start together don't hold a whole retry together.
    fn new(started_ms: Millis, phase: f64) -> ServiceBudget {
        ServiceBudget {
            balance: -phase,
            reserved: 0,
            updated_ms: started_ms,
            counts: VecDeque::new(),
        }
    }

    fn add_earned(&mut self, now_ms: Millis, fixed: FixedPart) {
        self.balance += now_ms.since(self.updated_ms).as_f64() * fixed.earned_per_ms;
        self.updated_ms = self.updated_ms.max(now_ms);
    }

    /// Drops whole retries beyond what may be saved up: dropping fractions would leave a host whose
    /// part is below one retry without any.
    fn limit_savings(&mut self, now_ms: Millis, allowed: FleetRetryLimits, fixed: FixedPart) {
        let (requests, _) = self.recent(now_ms, allowed.window_ms);
        let most = SAVED_RATIO * allowed.ratio.0 * f64::from(requests) + fixed.saved;
        let beyond = self.balance + f64::from(self.reserved) - most;
        self.balance -= beyond.floor().max(0.0);
    }

    /// The current count; drops counts that are older than the window.
    fn count(&mut self, now_ms: Millis, window_ms: Millis) -> &mut Count {
        let index = count_index(now_ms, window_ms);
        while self.counts.front().is_some_and(|count| count.index + COUNTS_PER_WINDOW <= index) {
            self.counts.pop_front();
        }
        if self.counts.back().is_none_or(|count| count.index != index) {
            self.counts.push_back(Count { index, requests: 0, retries: 0 });
        }
        let last = self.counts.len() - 1;
        &mut self.counts[last]
    }

    /// Requests and retries within the window.
    fn recent(&self, now_ms: Millis, window_ms: Millis) -> (u32, u32) {
        let index = count_index(now_ms, window_ms);
        let recent = self.counts.iter().filter(|count| count.index + COUNTS_PER_WINDOW > index);
        recent.fold((0, 0), |(requests, retries), count| {
            (requests + count.requests, retries + count.retries)
        })
    }
}

fn count_index(now_ms: Millis, window_ms: Millis) -> u64 {
    now_ms.0 / (window_ms.0 / COUNTS_PER_WINDOW).max(1)
}
