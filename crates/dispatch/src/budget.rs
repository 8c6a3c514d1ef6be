//! The host's part of what the whole fleet may spend.
//!
//! The fleet may repeat a share of the requests for a service, and a fixed number more in
//! each window. The share is earned request by request, so it needs no count of hosts;
//! the fixed number is divided by the hosts that are known. Both are kept below what is
//! allowed by [`MARGIN`], since hosts restart with a fresh allowance and know each other
//! late.

use domain::{FastMap, Millis, PerSecond, ServiceName, Share, UpstreamId};

/// Part of what is allowed that is spent.
const MARGIN: f64 = 0.7;

/// Until so long after its start a host takes the fleet to be at least [`UNKNOWN_HOSTS`].
const KNOWING_MS: Millis = Millis(3_000);

/// Hosts that a fleet is taken to have before its hosts are known.
const UNKNOWN_HOSTS: u32 = 20;

/// What all hosts together may repeat for one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetRepeats {
    /// Part of the requests.
    pub ratio: Share,
    /// Repeats in each window beyond that.
    pub slack: f64,
}

/// This host's repeats, by service.
#[derive(Debug)]
pub struct RepeatBudget {
    allowed: FleetRepeats,
    started_ms: Millis,
    tokens: FastMap<ServiceName, f64>,
}

impl RepeatBudget {
    /// A budget of a host that has just started.
    pub fn new(allowed: FleetRepeats, started_ms: Millis) -> RepeatBudget {
        RepeatBudget { allowed, started_ms, tokens: FastMap::default() }
    }

    /// Takes another allowance into force.
    pub fn set_allowed(&mut self, allowed: FleetRepeats) {
        self.allowed = allowed;
    }

    /// A request for the service came in.
    pub fn earn(&mut self, now_ms: Millis, service: &ServiceName, hosts: u32) {
        let cap = self.cap(now_ms, hosts);
        let earned = self.allowed.ratio.0 * MARGIN;
        let tokens = self.tokens.entry(service.clone()).or_insert(cap / 2.0);
        *tokens = (*tokens + earned).min(cap.max(1.0));
    }

    /// Takes one repeat, if there is one left.
    pub fn take(&mut self, service: &ServiceName) -> bool {
        match self.tokens.get_mut(service) {
            Some(tokens) if *tokens >= 1.0 => {
                *tokens -= 1.0;
                true
            }
            _ => false,
        }
    }

    /// Repeats left for a service.
    pub fn left(&self, service: &ServiceName) -> f64 {
        self.tokens.get(service).copied().unwrap_or(0.0)
    }

    fn cap(&self, now_ms: Millis, hosts: u32) -> f64 {
        let is_new = now_ms.since(self.started_ms) < KNOWING_MS;
        let hosts = if is_new { hosts.max(UNKNOWN_HOSTS) } else { hosts };
        self.allowed.slack * MARGIN / f64::from(hosts.max(1))
    }
}

/// This host's part of the health checks that an upstream takes.
#[derive(Debug)]
pub struct AskBudget {
    per_second: PerSecond,
    tokens: FastMap<UpstreamId, (f64, Millis)>,
}

/// Part of the allowed health checks that is spent.
const ASK_MARGIN: f64 = 0.9;

/// Seconds of its rate that a host has for an upstream at first. Short, as hosts restart.
const ASK_START_S: f64 = 2.0;

/// Seconds of its rate that a host may save up for an upstream: the limit holds for the
/// mean of a long time, and bursts are when fresh knowledge counts most.
const ASK_SAVED_S: f64 = 30.0;

impl AskBudget {
    /// A budget of what all hosts together may ask one upstream.
    pub fn new(per_second: PerSecond) -> AskBudget {
        AskBudget { per_second, tokens: FastMap::default() }
    }

    /// Takes another allowance into force.
    pub fn set_allowed(&mut self, per_second: PerSecond) {
        self.per_second = per_second;
    }

    /// Takes one question to the upstream, if there is one left.
    pub fn take(&mut self, now_ms: Millis, upstream: &UpstreamId, hosts: u32) -> bool {
        let rate = self.per_second.0 * ASK_MARGIN / f64::from(hosts.max(1));
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
