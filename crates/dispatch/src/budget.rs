//! The host's part of what the whole fleet may spend.
//!
//! The fleet may repeat a share of the requests for a service, and a fixed number more, in
//! any window. The share is counted against this host's own requests of the window, so it
//! needs no count of hosts; the fixed number is divided by the hosts that are known. Both
//! are kept below what is allowed, since hosts restart and forget what they spent, and
//! know each other late.

use domain::{FastMap, Millis, PerSecond, ServiceName, Share, SuspensionDetector, UpstreamId};
use std::collections::VecDeque;

/// Part of the allowed share that is spent.
const RATIO_MARGIN: f64 = 0.8;

/// Part of the fixed number that is spent: a fleet that restarts in the middle of a window
/// has it twice.
const SLACK_MARGIN: f64 = 0.5;

/// Until so long after its start a host takes the fleet to be at least [`UNKNOWN_HOSTS`].
const KNOWING_MS: Millis = Millis(3_000);

/// Hosts that a fleet is taken to have before its hosts are known.
const UNKNOWN_HOSTS: u32 = 20;

/// Width of one count within a window.
const COUNT_MS: Millis = Millis(1_000);

/// What all hosts together may repeat for one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetRetryLimits {
    /// Part of the requests.
    pub ratio: Share,
    /// Repeats in each window beyond that.
    pub slack: f64,
    /// The window.
    pub window_ms: Millis,
}

/// This host's repeats, by service.
#[derive(Debug)]
pub struct RetryBudget {
    allowed: FleetRetryLimits,
    started_ms: Millis,
    hosts: u32,
    services: FastMap<ServiceName, Window>,
}

/// Requests and repeats of one service, second by second.
#[derive(Debug, Default)]
struct Window {
    counts: VecDeque<Count>,
}

#[derive(Debug, Clone, Copy)]
struct Count {
    second: u64,
    requests: u32,
    repeats: u32,
}

impl RetryBudget {
    /// A budget of a host that has just started.
    pub fn new(allowed: FleetRetryLimits, started_ms: Millis) -> RetryBudget {
        RetryBudget { allowed, started_ms, hosts: UNKNOWN_HOSTS, services: FastMap::default() }
    }

    /// Takes another allowance into force.
    pub fn set_allowed(&mut self, allowed: FleetRetryLimits) {
        self.allowed = allowed;
    }

    /// A request for the service came in.
    pub fn record_request(&mut self, now_ms: Millis, service: &ServiceName, hosts: u32) {
        let is_new = now_ms.since(self.started_ms) < KNOWING_MS;
        self.hosts = if is_new { hosts.max(UNKNOWN_HOSTS) } else { hosts };
        let window_ms = self.allowed.window_ms;
        self.window(service).count(now_ms, window_ms).requests += 1;
    }

    /// Takes one repeat, if there is one left.
    pub fn try_spend(&mut self, now_ms: Millis, service: &ServiceName) -> bool {
        if self.remaining(now_ms, service) < 1.0 {
            return false;
        }
        let window_ms = self.allowed.window_ms;
        self.window(service).count(now_ms, window_ms).repeats += 1;
        true
    }

    /// Repeats left for a service.
    pub fn remaining(&self, now_ms: Millis, service: &ServiceName) -> f64 {
        let since = now_ms.since(self.allowed.window_ms).0 / COUNT_MS.0;
        let counts = self.services.get(service).map(|window| &window.counts);
        let recent = counts.into_iter().flatten().filter(|count| count.second >= since);
        let (requests, repeats) = recent.fold((0, 0), |(requests, repeats), count| {
            (requests + count.requests, repeats + count.repeats)
        });
        let share = self.allowed.ratio.0 * RATIO_MARGIN * f64::from(requests);
        let slack = self.allowed.slack * SLACK_MARGIN / f64::from(self.hosts.max(1));
        share + slack.max(1.0) - f64::from(repeats)
    }

    fn window(&mut self, service: &ServiceName) -> &mut Window {
        self.services.entry(service.clone()).or_default()
    }
}

impl Window {
    /// The count of this moment; counts that left the window are dropped.
    fn count(&mut self, now_ms: Millis, window_ms: Millis) -> &mut Count {
        let second = now_ms.0 / COUNT_MS.0;
        let since = now_ms.since(window_ms).0 / COUNT_MS.0;
        while self.counts.front().is_some_and(|count| count.second < since) {
            self.counts.pop_front();
        }
        if self.counts.back().is_none_or(|count| count.second != second) {
            self.counts.push_back(Count { second, requests: 0, repeats: 0 });
        }
        let last = self.counts.len() - 1;
        &mut self.counts[last]
    }
}

/// This host's part of the health checks that an upstream takes.
#[derive(Debug)]
pub struct ProbeBudget {
    per_second: PerSecond,
    tokens: FastMap<UpstreamId, (f64, Millis)>,
    suspension_detector: SuspensionDetector,
}

/// Part of the health checks that the scheduler of a service spends on each upstream.
pub const SCHEDULER_PROBE_SHARE: f64 = 0.4;

/// Part that the hosts of an upstream's own availability zone share. The rest is for all hosts,
/// where nobody schedules.
pub const LOCAL_ZONE_PROBE_SHARE: f64 = 0.3;

/// Part of the allowed health checks that is spent.
const ASK_MARGIN: f64 = 0.9;

/// Seconds of its rate that a host has for an upstream at first. Short, as hosts restart.
const ASK_START_S: f64 = 2.0;

/// Seconds of its rate that a host may save up for an upstream: the limit holds for the
/// mean of a long time, and bursts are when fresh knowledge counts most.
const ASK_SAVED_S: f64 = 30.0;

impl ProbeBudget {
    /// A budget of what all hosts together may ask one upstream.
    pub fn new(per_second: PerSecond) -> ProbeBudget {
        let suspension_detector = SuspensionDetector::default();
        ProbeBudget { per_second, tokens: FastMap::default(), suspension_detector }
    }

    /// Takes another allowance into force.
    pub fn set_allowed(&mut self, per_second: PerSecond) {
        self.per_second = per_second;
    }

    /// The process is awake. Nothing is saved up while it stands still: a fleet that wakes
    /// together would ask for all that time at once.
    pub fn record_awake(&mut self, now_ms: Millis) {
        let still_ms = self.suspension_detector.record_awake(now_ms);
        if still_ms > Millis::ZERO {
            self.tokens.values_mut().for_each(|(_, at_ms)| *at_ms = *at_ms + still_ms);
        }
    }

    /// Takes one question to the upstream, if there is one left.
    pub fn try_spend(&mut self, now_ms: Millis, upstream: &UpstreamId, sharing_hosts: f64) -> bool {
        if self.suspension_detector.has_record() {
            self.record_awake(now_ms);
        }
        let rate = self.per_second.0 * ASK_MARGIN / sharing_hosts.max(1.0);
        let first = (rate * ASK_START_S).max(1.0);
        let (tokens, at_ms) = self.tokens.entry(upstream.clone()).or_insert((first, now_ms));
        let gained = now_ms.since(*at_ms).as_f64() / 1000.0 * rate;
        *tokens = (*tokens + gained).min((rate * ASK_SAVED_S).max(1.0));
        *at_ms = now_ms;
        let has_one = *tokens >= 1.0;
        if has_one {
            *tokens -= 1.0;
        }
        has_one
    }

    /// Forgets upstreams that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.tokens.retain(|upstream, _| is_known(upstream));
    }
}
