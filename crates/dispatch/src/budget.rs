//! A host's part of the retries and probes that the whole fleet may send.
//!
//! In any window, the fleet may retry a share of the requests for a service, and a fixed number
//! more. Each host counts the share against its own requests, so it needs no count of hosts, and
//! divides the fixed number by the number of known hosts. Both have a margin, since hosts forget
//! what they spent when they restart, and learn of each other late.

use domain::{FastMap, Millis, PerSecond, ServiceName, Share, SuspensionDetector, UpstreamId};
use serde::Serialize;
use std::collections::VecDeque;

/// Part of the allowed share that is used.
const RATIO_USED: f64 = 0.8;

/// Part of the fixed number that is used: a fleet that restarts in the middle of a window has it
/// twice.
const SLACK_USED: f64 = 0.5;

/// For this long after its start, a host assumes a fleet of at least [`ASSUMED_HOSTS`] hosts.
const DISCOVERY_MS: Millis = Millis(3_000);

/// Number of hosts that a fleet is assumed to have until then.
const ASSUMED_HOSTS: u32 = 20;

/// Width of one count within a window.
const COUNT_MS: Millis = Millis(1_000);

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

/// What a host's part of the retries for a service was computed from, and what is left of it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct RetryAccount {
    /// Number of hosts that the fixed part is divided by.
    #[serde(rename = "budget_hosts")]
    pub hosts: u32,
    /// Requests of this host within the window.
    #[serde(rename = "budget_requests")]
    pub requests: u32,
    /// Retries that this host spent within the window.
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
    hosts: u32,
    services: FastMap<ServiceName, Window>,
}

/// Requests and retries of one service, by second.
#[derive(Debug, Default)]
struct Window {
    counts: VecDeque<Count>,
}

#[derive(Debug, Clone, Copy)]
struct Count {
    second: u64,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Creates the budget of a host that has just started.
    pub fn new(allowed: FleetRetryLimits, started_ms: Millis) -> RetryBudget {
        RetryBudget { allowed, started_ms, hosts: ASSUMED_HOSTS, services: FastMap::default() }
    }

    /// Changes the allowance.
    pub fn set_allowed(&mut self, allowed: FleetRetryLimits) {
        self.allowed = allowed;
    }

    /// Counts a request for a service.
    pub fn record_request(&mut self, now_ms: Millis, service: &ServiceName, hosts: u32) {
        let is_new = now_ms.since(self.started_ms) < DISCOVERY_MS;
        self.hosts = if is_new { hosts.max(ASSUMED_HOSTS) } else { hosts };
        let window_ms = self.allowed.window_ms;
        self.window(service).count(now_ms, window_ms).requests += 1;
    }

    /// Spends one retry; false if none is left.
    pub fn try_spend(&mut self, now_ms: Millis, service: &ServiceName) -> bool {
        if self.remaining(now_ms, service) < 1.0 {
            return false;
        }
        let window_ms = self.allowed.window_ms;
        self.window(service).count(now_ms, window_ms).retries += 1;
        true
    }

    /// Retries left for a service.
    pub fn remaining(&self, now_ms: Millis, service: &ServiceName) -> f64 {
        self.account(now_ms, service).remaining
    }

    /// What is left for a service, and what that was computed from.
    pub fn account(&self, now_ms: Millis, service: &ServiceName) -> RetryAccount {
        let since = now_ms.since(self.allowed.window_ms).0 / COUNT_MS.0;
        let counts = self.services.get(service).map(|window| &window.counts);
        let recent = counts.into_iter().flatten().filter(|count| count.second >= since);
        let (requests, retries) = recent.fold((0, 0), |(requests, retries), count| {
            (requests + count.requests, retries + count.retries)
        });
        let share = self.allowed.ratio.0 * RATIO_USED * f64::from(requests);
        let slack = self.allowed.slack * SLACK_USED / f64::from(self.hosts.max(1));
        let remaining = share + slack.max(1.0) - f64::from(retries);
        RetryAccount { hosts: self.hosts, requests, retries, remaining }
    }

    fn window(&mut self, service: &ServiceName) -> &mut Window {
        self.services.entry(service.clone()).or_default()
    }
}

impl Window {
    /// The count of the current second; drops counts that are older than the window.
    fn count(&mut self, now_ms: Millis, window_ms: Millis) -> &mut Count {
        let second = now_ms.0 / COUNT_MS.0;
        let since = now_ms.since(window_ms).0 / COUNT_MS.0;
        while self.counts.front().is_some_and(|count| count.second < since) {
            self.counts.pop_front();
        }
        if self.counts.back().is_none_or(|count| count.second != second) {
            self.counts.push_back(Count { second, requests: 0, retries: 0 });
        }
        let last = self.counts.len() - 1;
        &mut self.counts[last]
    }
}

/// This host's part of the health checks that an upstream accepts.
#[derive(Debug)]
pub struct ProbeBudget {
    per_second: PerSecond,
    tokens: FastMap<UpstreamId, (f64, Millis)>,
    suspension_detector: SuspensionDetector,
}

/// Share of the health checks for the scheduler of a service.
pub const SCHEDULER_PROBE_SHARE: f64 = 0.4;

/// Share for the hosts of the upstream's availability zone. The rest is for all hosts, for
/// requests without a scheduler.
pub const LOCAL_ZONE_PROBE_SHARE: f64 = 0.3;

/// Part of the allowed health checks that is used.
const PROBES_USED: f64 = 0.9;

/// Initial tokens for an upstream, in seconds of the host's rate. Few, as hosts restart.
const INITIAL_PROBES_S: f64 = 2.0;

/// Most tokens for an upstream, in seconds of the host's rate: the limit holds for the mean of a
/// long time, and fresh load reports matter most in bursts.
const MAX_SAVED_PROBES_S: f64 = 30.0;

impl ProbeBudget {
    /// Creates the budget for probes of each upstream by all hosts together.
    pub fn new(per_second: PerSecond) -> ProbeBudget {
        let suspension_detector = SuspensionDetector::default();
        ProbeBudget { per_second, tokens: FastMap::default(), suspension_detector }
    }

    /// Changes the allowance.
    pub fn set_allowed(&mut self, per_second: PerSecond) {
        self.per_second = per_second;
    }

    /// Records that the process runs. No tokens accrue while it is suspended: a fleet that resumes
    /// together would spend all of them at once.
    pub fn record_awake(&mut self, now_ms: Millis) {
        let suspended_ms = self.suspension_detector.record_awake(now_ms);
        if suspended_ms > Millis::ZERO {
            self.tokens.values_mut().for_each(|(_, at_ms)| *at_ms = *at_ms + suspended_ms);
        }
    }

    /// Spends one probe of an upstream, whose rate `sharing_hosts` hosts share; false if none is
    /// left.
    pub fn try_spend(&mut self, now_ms: Millis, upstream: &UpstreamId, sharing_hosts: f64) -> bool {
        if self.suspension_detector.has_record() {
            self.record_awake(now_ms);
        }
        let rate = self.per_second.0 * PROBES_USED / sharing_hosts.max(1.0);
        let first = (rate * INITIAL_PROBES_S).max(1.0);
        let (tokens, at_ms) = self.tokens.entry(upstream.clone()).or_insert((first, now_ms));
        let gained = now_ms.since(*at_ms).as_f64() / 1000.0 * rate;
        *tokens = (*tokens + gained).min((rate * MAX_SAVED_PROBES_S).max(1.0));
        *at_ms = now_ms;
        let is_allowed = *tokens >= 1.0;
        if is_allowed {
            *tokens -= 1.0;
        }
        is_allowed
    }

    /// Drops upstreams that no longer exist.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.tokens.retain(|upstream, _| is_known(upstream));
    }
}
