//! Why upstreams and calls were treated as they were.
//!
//! Reasons for an upstream are read off its state. Steps of calls are taken down from
//! the actions, in a ring of the newest [`MAX_STEPS`], so that no decision can be left
//! out by forgetting to note it.

use crate::action::Action;
use crate::entry_host::EntryHost;
use crate::event::Event;
use crate::event::LoadReport;
use crate::health::Condition;
use crate::leaving::LeavingMark;
use crate::refusal::Refusal;
use crate::service_health::Strictness;
use crate::upstream::UpstreamState;
use domain::{AttemptId, CallId, HostId, Millis, ServiceName, UpstreamId};
use serde::Serialize;
use std::collections::VecDeque;

/// Steps of calls remembered.
pub const MAX_STEPS: usize = 1024;

/// One step of a call.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CallStep {
    /// When.
    pub at_ms: Millis,
    /// The call.
    pub call: CallId,
    /// What was done.
    pub decision: CallDecision,
}

/// What was done with a call.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallDecision {
    /// It came in.
    Arrived,
    /// No slot was free, so it waits.
    Queued {
        /// Its service.
        service: ServiceName,
        /// Calls that wait there, this one included.
        waiting: usize,
    },
    /// It was sent; from the second time on, that is a retry or a hedge.
    Sent {
        /// The attempt.
        attempt: AttemptId,
        /// Its service.
        service: ServiceName,
        /// To whom.
        upstream: UpstreamId,
        /// Attempts spent, this one included.
        spent_attempts: u32,
        /// What spoke for the upstream.
        seen: SeenAtChoice,
    },
    /// The attempt was cancelled.
    Cancelled {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The caller got the attempt's answer.
    Delivered {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The caller was refused.
    Refused {
        /// Why, and whether it ran.
        refusal: Refusal,
    },
}

/// What this host knew of an upstream when it chose it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct SeenAtChoice {
    /// Attempts of this host that were out, the new one included.
    pub in_flight: u32,
    /// Slots that its health left it.
    pub usable_slots: u32,
    /// What it last said of its load, and when.
    pub load: Option<(Millis, LoadReport)>,
    /// Moving average of the time to an answer.
    pub latency_ms: Option<f64>,
    /// Moving average of failures.
    pub error_share: f64,
    /// How strictly health kept upstreams out.
    pub strictness: Strictness,
}

/// The newest steps of all calls.
#[derive(Debug, Default)]
pub struct Trace {
    steps: VecDeque<CallStep>,
}

impl Trace {
    fn push(&mut self, step: CallStep) {
        if self.steps.len() == MAX_STEPS {
            self.steps.pop_front();
        }
        self.steps.push_back(step);
    }
}

/// Why an upstream gets work, or doesn't.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct UpstreamExplanation {
    /// Its service.
    pub service: ServiceName,
    /// Its id.
    pub upstream: UpstreamId,
    /// Whether it gets new work now.
    pub takes_work: bool,
    /// Slots that this host may use there.
    pub open_slots: u32,
    /// Attempts of this host that are out.
    pub in_flight: u32,
    /// What it last said of its load, and when.
    pub load: Option<(Millis, LoadReport)>,
    /// Moving average of the time to an answer.
    pub latency_ms: Option<f64>,
    /// Moving average of failures.
    pub error_share: f64,
    /// When it was last heard of.
    pub heard_ms: Option<Millis>,
    /// The host that probes it.
    pub prober: Option<HostId>,
    /// All that speaks against it, or shapes its share.
    pub reasons: Vec<UpstreamReason>,
}

/// Something that speaks against an upstream, or shapes its share.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamReason {
    /// The configuration in force no longer names it.
    Removed,
    /// The configuration in force marks it as leaving.
    LeavingByConfig,
    /// It said that it is leaving.
    SaidLeaving(LeavingMark),
    /// Failures keep it out.
    Ejected {
        /// Since when.
        since_ms: Millis,
        /// Until when.
        until_ms: Millis,
        /// Ejections that count.
        ejections: u32,
    },
    /// One call at a time tries it after its ejection.
    OnTrial {
        /// Since when.
        since_ms: Millis,
    },
    /// Its share grows.
    SlowStart {
        /// Its share now, 0 to 1.
        share: f64,
        /// When it is whole.
        until_ms: Millis,
    },
    /// It shed a request a moment ago.
    BacksOff {
        /// Until when.
        until_ms: Millis,
    },
    /// It is much slower than its service's others.
    Straggler {
        /// Its share, 0 to 1.
        share: f64,
    },
    /// It looks bad, but the floor keeps it in.
    KeptByFloor {
        /// Failures in a row.
        consecutive_failures: u32,
        /// Failures among the last outcomes.
        failure_share: f64,
    },
    /// Peers speak ill of it.
    SuspectedByPeers,
    /// Health is not held against it, as otherwise none would be left.
    HealthIgnored(Strictness),
    /// All its slots open to this host are taken by this host.
    Full,
}

impl EntryHost {
    /// Why an upstream gets work, or doesn't; `None` if there is no such upstream.
    pub fn explain_upstream(
        &self,
        service: &ServiceName,
        id: &UpstreamId,
    ) -> Option<UpstreamExplanation> {
        let now_ms = self.now_ms;
        let state = self.services.get(service)?;
        let upstream = state.upstream(id)?;
        let strictness = state.strictness(now_ms);
        let open_slots = upstream.open_slots(now_ms, strictness);
        Some(UpstreamExplanation {
            service: service.clone(),
            upstream: id.clone(),
            takes_work: upstream.in_flight < open_slots,
            open_slots,
            in_flight: upstream.in_flight,
            load: upstream.load,
            latency_ms: upstream.latency_ms,
            error_share: upstream.error_share,
            heard_ms: upstream.heard_ms,
            prober: self.prober(now_ms, service, id).cloned(),
            reasons: reasons(now_ms, upstream, strictness),
        })
    }

    /// The same for all services that have an upstream of that id.
    pub fn explain_upstreams(&self, id: &UpstreamId) -> Vec<UpstreamExplanation> {
        self.services.keys().filter_map(|service| self.explain_upstream(service, id)).collect()
    }

    /// The steps of a call, oldest first; those of old calls are gone.
    pub fn explain_call(&self, call: CallId) -> Vec<CallStep> {
        self.trace.steps.iter().filter(|step| step.call == call).cloned().collect()
    }

    /// The call that an event brings in.
    pub(crate) fn arriving_call(event: &Event) -> Option<CallId> {
        match event {
            Event::CallArrived { call, .. } => Some(*call),
            _ => None,
        }
    }

    /// Takes down what an event led to.
    pub(crate) fn trace_actions(
        &mut self,
        now_ms: Millis,
        arrived: Option<CallId>,
        actions: &[Action],
    ) {
        let mut note = |call, decision| {
            self.trace.push(CallStep { at_ms: now_ms, call, decision });
        };
        if let Some(call) = arrived {
            note(call, CallDecision::Arrived);
        }
        for action in actions {
            if let Some((call, decision)) = self.decision_of(now_ms, action) {
                self.trace.push(CallStep { at_ms: now_ms, call, decision });
            }
        }
        if let Some((call, decision)) = arrived.and_then(|call| self.queued(call)) {
            self.trace.push(CallStep { at_ms: now_ms, call, decision });
        }
    }

    fn queued(&self, id: CallId) -> Option<(CallId, CallDecision)> {
        let call = self.calls.get(&id).filter(|call| call.stage == crate::call::Stage::Waiting)?;
        let service = call.service.clone();
        let waiting = self.services.get(&service)?.queue.len();
        Some((id, CallDecision::Queued { service, waiting }))
    }

    fn decision_of(&self, now_ms: Millis, action: &Action) -> Option<(CallId, CallDecision)> {
        match action {
            Action::Send(attempt) => {
                let state = self.services.get(&attempt.service)?;
                let upstream = state.upstream(&attempt.upstream)?;
                let decision = CallDecision::Sent {
                    attempt: attempt.attempt,
                    service: attempt.service.clone(),
                    upstream: attempt.upstream.clone(),
                    spent_attempts: attempt.spent_attempts,
                    seen: SeenAtChoice {
                        in_flight: upstream.in_flight,
                        usable_slots: upstream.usable_slots(now_ms),
                        load: upstream.load,
                        latency_ms: upstream.latency_ms,
                        error_share: upstream.error_share,
                        strictness: state.strictness(now_ms),
                    },
                };
                Some((attempt.call, decision))
            }
            Action::CancelAttempt { attempt } => {
                let call = self.attempts.get(attempt)?.call;
                Some((call, CallDecision::Cancelled { attempt: *attempt }))
            }
            Action::Deliver { call, attempt } => {
                Some((*call, CallDecision::Delivered { attempt: *attempt }))
            }
            Action::Refuse { call, refusal } => {
                Some((*call, CallDecision::Refused { refusal: *refusal }))
            }
            _ => None,
        }
    }
}

fn reasons(
    now_ms: Millis,
    upstream: &UpstreamState,
    strictness: Strictness,
) -> Vec<UpstreamReason> {
    let health = &upstream.health;
    let bad = health.looks_bad(now_ms) && !matches!(health.condition, Condition::Ejected { .. });
    let full = upstream.in_flight >= upstream.open_slots(now_ms, strictness);
    let backoff = UpstreamReason::BacksOff { until_ms: health.backoff_until_ms() };
    let kept = UpstreamReason::KeptByFloor {
        consecutive_failures: health.consecutive_failures,
        failure_share: health.failure_share(),
    };
    let straggler = UpstreamReason::Straggler { share: health.straggler_share };
    let said = upstream.leaving.clone().map(UpstreamReason::SaidLeaving);
    let found = [
        upstream.removed.then_some(UpstreamReason::Removed),
        upstream.published.leaving.then_some(UpstreamReason::LeavingByConfig),
        said,
        condition_reason(now_ms, upstream),
        health.backs_off(now_ms).then_some(backoff),
        (health.straggler_share < 1.0).then_some(straggler),
        bad.then_some(kept),
        health.is_suspect(now_ms).then_some(UpstreamReason::SuspectedByPeers),
        (strictness != Strictness::Normal).then_some(UpstreamReason::HealthIgnored(strictness)),
        (upstream.is_open() && full && upstream.in_flight > 0).then_some(UpstreamReason::Full),
    ];
    found.into_iter().flatten().collect()
}

fn condition_reason(now_ms: Millis, upstream: &UpstreamState) -> Option<UpstreamReason> {
    let ejections = upstream.health.ejections;
    match upstream.health.condition {
        Condition::Steady => None,
        Condition::Ramping { until_ms, .. } if now_ms >= until_ms => None,
        Condition::Ramping { until_ms, .. } => {
            Some(UpstreamReason::SlowStart { share: upstream.capacity_share(now_ms), until_ms })
        }
        Condition::Ejected { since_ms, until_ms } if now_ms < until_ms => {
            Some(UpstreamReason::Ejected { since_ms, until_ms, ejections })
        }
        Condition::Ejected { until_ms, .. } => Some(UpstreamReason::OnTrial { since_ms: until_ms }),
    }
}
