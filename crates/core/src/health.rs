//! How far one upstream is trusted.
//!
//! Failures eject an upstream for a while that grows each time; after it, one call at a
//! time or a probe tries it, and a success starts a ramp to its full slots. A shed
//! request is load and no failure: it only backs off. An outlier in latency keeps its
//! place with fewer slots. How many upstreams of a service may be out at once is the
//! service's matter ([`crate::service_health`]).

use domain::Millis;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

/// Failures in a row that look bad.
const CONSECUTIVE_FAILURES: u32 = 5;
/// The same for an upstream that peers eject, or that is ramping up again.
const CONSECUTIVE_FAILURES_SUSPECT: u32 = 2;
/// Outcomes remembered.
const WINDOW: u32 = 32;
/// Outcomes needed before their failure share says anything.
const MIN_SAMPLES: u32 = 16;
/// Failures among the outcomes remembered that look bad.
const BAD_SHARE: f64 = 0.5;
/// First time out.
const FIRST_EJECTION_MS: u64 = 2_000;
/// Longest time out.
const MAX_EJECTION_MS: u64 = 60_000;
/// Doublings up to the longest time out.
const MAX_DOUBLINGS: u32 = 5;
/// Jitter of the time out, as a share.
const JITTER_SHARE: f64 = 0.25;
/// Time without ejection after which the next one is short again.
const FORGIVEN_AFTER_MS: Millis = Millis(120_000);
/// First backoff after a shed request.
const FIRST_BACKOFF_MS: u64 = 20;
/// Doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Time for which a peer's bad word counts.
const SUSPICION_MS: Millis = Millis(10_000);
/// Share of slots at which a ramp starts.
const RAMP_START_SHARE: f64 = 0.1;

/// Where an upstream stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// Trusted in full.
    Steady,
    /// Its share grows, after its start or after an ejection.
    Ramping {
        /// Start of the ramp.
        since_ms: Millis,
        /// End of the ramp.
        until_ms: Millis,
    },
    /// Out; on trial once the time has passed.
    Ejected {
        /// When it was ejected.
        since_ms: Millis,
        /// Start of the trial.
        until_ms: Millis,
    },
}

/// What this host holds of an upstream's health.
#[derive(Debug, Clone, Serialize)]
pub struct Health {
    /// Where it stands.
    pub condition: Condition,
    /// Ejections that count towards the length of the next.
    pub ejections: u32,
    /// Failures since the last success.
    pub consecutive_failures: u32,
    /// Part of its slots that its latency leaves it.
    pub straggler_share: f64,
    backoff_until_ms: Millis,
    sheds: u32,
    suspect_until_ms: Millis,
    failures: u32,
    samples: u32,
}

impl Health {
    /// Trusted from the start: this host has just started itself.
    pub fn steady() -> Health {
        Health {
            condition: Condition::Steady,
            ejections: 0,
            consecutive_failures: 0,
            straggler_share: 1.0,
            backoff_until_ms: Millis::ZERO,
            sheds: 0,
            suspect_until_ms: Millis::ZERO,
            failures: 0,
            samples: 0,
        }
    }

    /// Starts cold and ramps up.
    pub fn cold(now_ms: Millis, slow_start_ms: Millis) -> Health {
        let condition = Condition::Ramping { since_ms: now_ms, until_ms: now_ms + slow_start_ms };
        Health { condition, ..Health::steady() }
    }

    /// Whether it is out.
    pub fn is_ejected(&self, now_ms: Millis) -> bool {
        matches!(self.condition, Condition::Ejected { until_ms, .. } if now_ms < until_ms)
    }

    /// Whether its time out has passed and nothing succeeded yet.
    pub fn is_on_trial(&self, now_ms: Millis) -> bool {
        matches!(self.condition, Condition::Ejected { until_ms, .. } if now_ms >= until_ms)
    }

    /// End of its time out, zero if it is not out.
    pub fn out_until_ms(&self) -> Millis {
        match self.condition {
            Condition::Ejected { until_ms, .. } => until_ms,
            Condition::Steady | Condition::Ramping { .. } => Millis::ZERO,
        }
    }

    /// Whether it shed a request a moment ago.
    pub fn backs_off(&self, now_ms: Millis) -> bool {
        now_ms < self.backoff_until_ms
    }

    /// Until when it backs off.
    pub fn backoff_until_ms(&self) -> Millis {
        self.backoff_until_ms
    }

    /// Whether a peer spoke ill of it lately.
    pub fn is_suspect(&self, now_ms: Millis) -> bool {
        now_ms < self.suspect_until_ms
    }

    /// Whether its failures would eject it, or have done so.
    pub fn looks_bad(&self, now_ms: Millis) -> bool {
        let limit = match self.condition {
            Condition::Ejected { .. } => return true,
            Condition::Ramping { until_ms, .. } if now_ms < until_ms && self.ejections > 0 => {
                CONSECUTIVE_FAILURES_SUSPECT
            }
            _ if self.is_suspect(now_ms) => CONSECUTIVE_FAILURES_SUSPECT,
            _ => CONSECUTIVE_FAILURES,
        };
        self.consecutive_failures >= limit
            || (self.samples >= MIN_SAMPLES && self.failure_share() >= BAD_SHARE)
    }

    /// Failures among the outcomes remembered.
    pub fn failure_share(&self) -> f64 {
        f64::from(self.failures.count_ones()) / f64::from(self.samples.max(1))
    }

    /// Part of its slots that it may use, 0 to 1, backoff left aside.
    pub fn capacity_share(&self, now_ms: Millis) -> f64 {
        let trust = match self.condition {
            Condition::Ejected { .. } => 0.0,
            Condition::Ramping { since_ms, until_ms } if now_ms < until_ms => {
                let span_ms = until_ms.since(since_ms).as_f64();
                (now_ms.since(since_ms).as_f64() / span_ms).max(RAMP_START_SHARE)
            }
            Condition::Ramping { .. } | Condition::Steady => 1.0,
        };
        trust * self.straggler_share
    }

    /// Notes a success of something sent at that time.
    pub fn note_success(&mut self, now_ms: Millis, sent_ms: Millis, slow_start_ms: Millis) {
        self.sheds = 0;
        match self.condition {
            Condition::Ejected { until_ms, .. } if sent_ms < until_ms => return,
            Condition::Ejected { .. } => {
                let until_ms = now_ms + slow_start_ms;
                self.condition = Condition::Ramping { since_ms: now_ms, until_ms };
            }
            Condition::Ramping { .. } | Condition::Steady => {}
        }
        self.consecutive_failures = 0;
        self.note_outcome(false);
    }

    /// Notes a probe that succeeded: it ends a trial, but says little of the work itself.
    pub fn note_probe_success(&mut self, now_ms: Millis, sent_ms: Millis, slow_start_ms: Millis) {
        if self.is_on_trial(sent_ms) {
            self.note_success(now_ms, sent_ms, slow_start_ms);
        }
    }

    /// Notes a failure of something sent at that time. Returns whether a trial failed.
    pub fn note_failure(&mut self, sent_ms: Millis) -> bool {
        match self.condition {
            Condition::Ejected { until_ms, .. } => sent_ms >= until_ms,
            Condition::Ramping { .. } | Condition::Steady => {
                self.consecutive_failures = self.consecutive_failures.saturating_add(1);
                self.note_outcome(true);
                false
            }
        }
    }

    /// Notes that it shed a request.
    pub fn note_shed(&mut self, now_ms: Millis, rng: &mut Pcg64Mcg) {
        let backoff_ms = FIRST_BACKOFF_MS << self.sheds.min(MAX_BACKOFF_DOUBLINGS);
        let jittered_ms = rng.random_range(backoff_ms..=2 * backoff_ms);
        self.backoff_until_ms = self.backoff_until_ms.max(now_ms + Millis(jittered_ms));
        self.sheds = self.sheds.saturating_add(1);
    }

    /// Notes that a peer ejected it, or that its probe failed.
    pub fn suspect(&mut self, now_ms: Millis) {
        self.suspect_until_ms = self.suspect_until_ms.max(now_ms + SUSPICION_MS);
    }

    /// Ejects it for a time that grows with each ejection.
    pub fn eject(&mut self, now_ms: Millis, rng: &mut Pcg64Mcg) {
        if let Condition::Ejected { since_ms, .. } | Condition::Ramping { since_ms, .. } =
            self.condition
            && now_ms.since(since_ms) > FORGIVEN_AFTER_MS
        {
            self.ejections = 0;
        }
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        let plain_ms = (FIRST_EJECTION_MS << doublings).min(MAX_EJECTION_MS) as f64;
        let jitter = rng.random_range(1.0 - JITTER_SHARE..=1.0 + JITTER_SHARE);
        let until_ms = now_ms + Millis((plain_ms * jitter) as u64);
        self.condition = Condition::Ejected { since_ms: now_ms, until_ms };
        self.ejections = self.ejections.saturating_add(1);
        self.consecutive_failures = 0;
        (self.failures, self.samples) = (0, 0);
    }

    /// Ends its time out early: too many are out.
    pub fn end_ejection(&mut self, now_ms: Millis) {
        if let Condition::Ejected { since_ms, .. } = self.condition {
            self.condition = Condition::Ejected { since_ms, until_ms: now_ms };
        }
    }

    fn note_outcome(&mut self, failed: bool) {
        self.failures = (self.failures << 1) | u32::from(failed);
        self.samples = (self.samples + 1).min(WINDOW);
    }
}
