//! Decides what follows the end of an attempt: deliver its response, retry, or refuse.

use super::attempt::AttemptCounts;
use super::retry_permit::RetryPermit;
use super::{Reply, RoutedRequest, UpstreamResponse};
use crate::backpressure;
use crate::connection::{ExchangeError, Received};
use crate::event_log::{LogEvent, RetryCharge};
use crate::host::to_duration;
use crate::http1::ResponseHead;
use crate::quarantine::Trial;
use dispatch::attempts::{
    self, AttemptResult, AttemptState, Cause, NextStep, Refusal, ResponseSummary,
};
use dispatch::retry_budget::RetryAccount;
use dispatch::{AttemptFailure, RouteKey};
use domain::{Millis, UpstreamId};

/// An attempt that ended.
pub(super) struct EndedAttempt {
    pub(super) upstream: UpstreamId,
    pub(super) result: AttemptResult,
    pub(super) response: Option<UpstreamResponse>,
    pub(super) sent_ms: Millis,
    /// The upstream crashed during the attempt.
    pub(super) has_crashed: bool,
    pub(super) trial: Option<Trial>,
}

/// An upstream's own error response, kept while the request is retried.
pub(super) struct ErrorResponse {
    pub(super) upstream: UpstreamId,
    pub(super) response: UpstreamResponse,
}

impl RoutedRequest {
    /// Tells how an attempt ended by the result of its exchange, and logs a response that names no
    /// request.
    pub(super) fn attempt_result(
        &self,
        upstream: &UpstreamId,
        result: Result<Received, ExchangeError>,
    ) -> (AttemptResult, Option<Received>) {
        match result {
            Ok(received) => {
                (AttemptResult::Answered(self.summarize(received.head())), Some(received))
            }
            Err(ExchangeError::NotSent) => (AttemptResult::NotSent, None),
            Err(ExchangeError::Unnamed) => {
                self.host.log.write(&LogEvent::AnswerUnnamed { id: &self.id, upstream });
                (AttemptResult::Broken, None)
            }
            Err(ExchangeError::Broken | ExchangeError::Silent | ExchangeError::Garbled) => {
                (AttemptResult::Broken, None)
            }
        }
    }

    /// Records whether the route's last delivered response was long.
    pub(super) fn record_length(&self, received: Option<&Received>, end: AttemptResult) {
        if let (Some(received), AttemptResult::Answered(summary)) = (received, end)
            && attempts::is_final(summary)
        {
            let route = RouteKey::of(&self.route().name);
            let is_long = received.is_long();
            self.host.long_routes.borrow_mut().record_response(route, is_long);
        }
    }

    fn summarize(&self, head: &ResponseHead) -> ResponseSummary {
        let fields = &head.fields;
        let dialect = &self.host.dialect;
        let status = head.status;
        let not_run = status == backpressure::MISDIRECTED || fields.get(dialect.not_run).is_some();
        let is_plain = fields.get("content-encoding").is_none();
        ResponseSummary {
            status,
            not_run,
            is_sealed: fields.get(dialect.seal).is_some() && is_plain,
        }
    }

    /// Returns the request's outcome, or none if it is to be retried.
    pub(super) fn handle_end(
        &self,
        mut ended: EndedAttempt,
        counts: &mut AttemptCounts,
        error_response: &mut Option<ErrorResponse>,
    ) -> Option<Result<Reply, Refusal>> {
        let now_ms = self.host.now_ms();
        // A streamed response clears the request once it has ended.
        if ended.response.as_ref().is_none_or(|response| response.rest.is_none()) {
            self.update_quarantine(ended.result);
        }
        // After the result is recorded, so that peers learn of both at once.
        drop(ended.trial.take());
        counts.crashes += u32::from(ended.has_crashed);
        if attempts::is_not_run(ended.result) {
            counts.not_run += 1;
        }
        if ended.result == AttemptResult::NotSent {
            counts.arrived -= 1;
            self.return_unsent_retry(counts.charge);
        }
        if counts.may_have_run() == 0 {
            self.progress.continues_without_caller.set(false);
        }
        self.record_rejection(&ended, now_ms);
        let uses_retry_budget = counts.arrived > 0;
        let account = self.host.retry_budget().account(now_ms, &self.service);
        let state = AttemptState {
            idempotency: self.route().idempotency,
            may_have_run: counts.may_have_run(),
            attempts_made: counts.sent,
            max_attempts: self.route().attempts,
            left_ms: self.end_ms.since(now_ms),
            is_budget_spent: uses_retry_budget && account.remaining < 1.0,
            is_intact: self.request.body.is_intact(),
        };
        let step = attempts::next_step(state, ended.result);
        let is_denied = step != NextStep::Retry && state.is_budget_spent && {
            let unlimited = AttemptState { is_budget_spent: false, ..state };
            attempts::next_step(unlimited, ended.result) == NextStep::Retry
        };
        if is_denied {
            self.host.metrics.retry_denied(&self.service);
        }
        self.log_failure(&ended, now_ms, account, is_denied);
        match (step, ended.response) {
            (NextStep::Deliver, Some(response)) => {
                Some(Ok(self.deliver(&ended.upstream, response, counts)))
            }
            // Unreachable: only an attempt with a response is delivered.
            (NextStep::Deliver, None) => Some(Err(Refusal::may_have_run(Cause::UpstreamFailed))),
            // Nothing has run, and nobody waits for it.
            (NextStep::Retry, _) if self.is_abandoned() => {
                Some(Err(Refusal::not_run(Cause::UpstreamsRefused)))
            }
            (NextStep::Retry, response) => {
                counts.permit = match uses_retry_budget {
                    true => RetryPermit::reserve(&self.host, &self.service),
                    false => None,
                };
                if let (Some(response), true) = (response, is_upstream_failure(ended.result)) {
                    *error_response = Some(ErrorResponse { upstream: ended.upstream, response });
                }
                None
            }
            (NextStep::Refuse(refusal), _) => Some(Err(self.adapt_retry_after(refusal))),
        }
    }

    /// Whether the caller has left a request that may be dropped.
    fn is_abandoned(&self) -> bool {
        !self.progress.continues_without_caller.get() && self.caller.is_gone()
    }

    fn return_unsent_retry(&self, charge: RetryCharge) {
        if charge == RetryCharge::Charged {
            let now_ms = self.host.now_ms();
            self.host.retry_budget().return_unsent(now_ms, &self.service);
        }
    }

    pub(super) fn deliver(
        &self,
        upstream: &UpstreamId,
        response: UpstreamResponse,
        counts: &AttemptCounts,
    ) -> Reply {
        let after_ms = self.host.now_ms().since(self.request.arrived_ms);
        self.host.metrics.response_forwarded(
            &self.route().name,
            response.head.status,
            to_duration(after_ms),
        );
        self.host.log.write(&LogEvent::Delivered {
            id: &self.id,
            upstream,
            status: response.head.status,
            after_ms,
            objective_ms: self.route().objective_ms,
            sendings: counts.sent,
        });
        Reply::Response(response)
    }

    fn log_failure(
        &self,
        ended: &EndedAttempt,
        now_ms: Millis,
        budget: RetryAccount,
        is_retry_denied: bool,
    ) {
        let Some(failure) = failure_of(ended.result) else { return };
        self.host.log.write(&LogEvent::SendFailed {
            id: &self.id,
            upstream: &ended.upstream,
            failure,
            after_ms: now_ms.since(ended.sent_ms),
            status: ended.response.as_ref().map(|response| response.head.status),
            is_not_run: attempts::is_not_run(ended.result),
            budget,
            is_retry_denied,
            fingerprint: self.fingerprint(),
            has_crashed: ended.has_crashed,
        });
    }
}

fn is_upstream_failure(end: AttemptResult) -> bool {
    matches!(end, AttemptResult::Answered(response) if attempts::is_upstream_failure(response))
}

pub(super) fn failure_of(end: AttemptResult) -> Option<AttemptFailure> {
    match end {
        AttemptResult::Answered(response) if response.not_run => Some(AttemptFailure::Shed),
        AttemptResult::Answered(response) if response.status >= 500 || !response.is_sealed => {
            Some(AttemptFailure::ErrorResponse)
        }
        AttemptResult::Answered(_) => None,
        AttemptResult::NotSent | AttemptResult::Broken => Some(AttemptFailure::Disconnected),
    }
}
