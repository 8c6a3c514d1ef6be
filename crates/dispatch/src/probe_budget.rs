//! A host's part of the probes that the whole fleet may send to an upstream.

use domain::{FastMap, Millis, PerSecond, SuspensionDetector, UpstreamId};

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
