//! What attempts tell of the upstreams that they went to.
//!
//! Failures count against an upstream unless they may be this host's own: what was out
//! while this process was paused, and time-outs that are noticed late, tell nothing.

use crate::action::Action;
use crate::call::LiveAttempt;
use crate::calls::FIRST_FAILURE_STATUS;
use crate::entry_host::EntryHost;
use crate::event::{AnswerHead, AttemptEnd, FailureStage};
use crate::leaving::LeavingSource;
use crate::message::UpstreamFact;
use domain::{AttemptId, Millis, ServiceName, UpstreamId};

/// A time-out noticed later than that after the deadline tells nothing.
const NOTICED_LATE_MS: Millis = Millis(250);

impl EntryHost {
    pub(crate) fn note_answer(
        &mut self,
        now_ms: Millis,
        id: AttemptId,
        answer: &AnswerHead,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let Some(state) = self.services.get_mut(&attempt.service) else { return };
        let Some(upstream) = state.upstream_mut(&attempt.upstream) else { return };
        let zone = upstream.published.availability_zone.clone();
        let sent_ms = attempt.sent_ms;
        let paused = self.pauses.resumed_ms() > Some(sent_ms);
        let source = answer.leaving.then_some(LeavingSource::Answer);
        let first_word = upstream.note_report(now_ms, answer.load, source);
        if !answer.leaving {
            upstream.note_serving(sent_ms);
        }
        let failed = answer.status >= FIRST_FAILURE_STATUS && !answer.not_run;
        attempt.good_answer = !failed && !answer.not_run;
        attempt.shed = answer.not_run;
        match answer.not_run {
            true => upstream.health.note_shed(now_ms, &mut self.rng),
            false if attempt.good_answer && !paused => {
                let latency_ms = now_ms.since(sent_ms);
                upstream.estimate.note_latency(latency_ms, attempt.rounds);
                upstream.note_latency(latency_ms);
                state.latency.note(latency_ms);
            }
            false => {}
        }
        let (service, upstream) = (attempt.service.clone(), attempt.upstream.clone());
        let call = attempt.call;
        if failed {
            self.avoid_zone(call, zone);
            self.note_failure(now_ms, &service, &upstream, sent_ms);
        }
        if first_word {
            self.tell_leaving(now_ms, &service, &upstream, actions);
        }
    }

    /// Frees the attempt's slot and notes what its end tells.
    pub(crate) fn note_end(&mut self, now_ms: Millis, attempt: &LiveAttempt, end: AttemptEnd) {
        let failed = self.is_upstream_failure(now_ms, attempt, end);
        let Some(state) = self.services.get_mut(&attempt.service) else { return };
        let slow_start_ms = state.published.slow_start_ms;
        let Some(upstream) = state.upstream_mut(&attempt.upstream) else { return };
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        upstream.estimate.note_over(upstream.in_flight);
        let zone = upstream.published.availability_zone.clone();
        match end {
            AttemptEnd::Completed if attempt.good_answer => {
                upstream.note_success(now_ms, attempt.sent_ms, slow_start_ms);
            }
            AttemptEnd::Cancelled { unsent: false } if !attempt.answered => {
                let waited_ms = now_ms.since(attempt.sent_ms);
                let usual_ms = upstream.latency_ms.unwrap_or(f64::INFINITY);
                let paused = self.pauses.resumed_ms() > Some(attempt.sent_ms);
                if waited_ms.as_f64() > usual_ms && !paused {
                    upstream.note_latency(waited_ms);
                    upstream.estimate.note_overdue(waited_ms, attempt.rounds);
                }
            }
            _ => {}
        }
        if matches!(end, AttemptEnd::Failed { .. }) {
            self.avoid_zone(attempt.call, zone);
        }
        if failed {
            self.note_failure(now_ms, &attempt.service, &attempt.upstream, attempt.sent_ms);
        }
    }

    pub(crate) fn note_failure(
        &mut self,
        now_ms: Millis,
        service: &ServiceName,
        id: &UpstreamId,
        sent_ms: Millis,
    ) {
        let Some(state) = self.services.get_mut(service) else { return };
        let Some(upstream) = state.upstream_mut(id) else { return };
        let trial_failed = upstream.note_failure(sent_ms);
        if state.judge(now_ms, id, trial_failed, &mut self.rng) {
            self.note_news(now_ms, service, id, UpstreamFact::Ejected);
        }
    }

    fn is_upstream_failure(&self, now_ms: Millis, attempt: &LiveAttempt, end: AttemptEnd) -> bool {
        if self.pauses.resumed_ms() > Some(attempt.sent_ms) {
            return false;
        }
        let deadline_ms = self.calls.get(&attempt.call).map(|call| call.deadline_ms);
        let late_ms = deadline_ms.map_or(Millis::ZERO, |deadline_ms| now_ms.since(deadline_ms));
        let in_time = late_ms < NOTICED_LATE_MS;
        let expired = deadline_ms.is_some_and(|deadline_ms| now_ms >= deadline_ms);
        match end {
            AttemptEnd::Failed { stage: FailureStage::TimedOut } => {
                in_time && self.waited_long(now_ms, attempt)
            }
            AttemptEnd::Failed { .. } => true,
            AttemptEnd::Cancelled { unsent: false } if !attempt.answered && expired => {
                in_time && self.waited_long(now_ms, attempt)
            }
            AttemptEnd::Completed | AttemptEnd::Cancelled { .. } => false,
        }
    }

    /// Whether an attempt took longer than a usual answer, so that its time-out tells something.
    fn waited_long(&self, now_ms: Millis, attempt: &LiveAttempt) -> bool {
        let state = self.services.get(&attempt.service);
        let upstream = state.and_then(|state| state.upstream(&attempt.upstream));
        let usual_ms = upstream.and_then(|upstream| upstream.latency_ms).unwrap_or(0.0);
        now_ms.since(attempt.sent_ms).as_f64() > usual_ms
    }
}
