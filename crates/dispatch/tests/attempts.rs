//! Retry rules: "not run" is only stated with proof, and requests that must run at most once are
//! never run twice.

use dispatch::attempts::{
    AttemptResult, AttemptState, Cause, NextStep, Refusal, ResponseSummary, is_not_run, next_step,
};
use domain::Millis;
use published::Idempotency;
use rstest::rstest;

fn answered(status: u16) -> AttemptResult {
    AttemptResult::Answered(ResponseSummary { status, not_run: false, is_sealed: true })
}

fn unsealed(status: u16) -> AttemptResult {
    AttemptResult::Answered(ResponseSummary { status, not_run: false, is_sealed: false })
}

fn shed(status: u16) -> AttemptResult {
    AttemptResult::Answered(ResponseSummary { status, not_run: true, is_sealed: false })
}

fn state(idempotency: Idempotency) -> AttemptState {
    AttemptState {
        idempotency,
        may_have_run: 1,
        attempts_made: 1,
        max_attempts: 2,
        left_ms: Millis(500),
        is_budget_spent: false,
        is_intact: true,
    }
}

/// Names of the steps in the test cases.
fn name(next: NextStep) -> &'static str {
    match next {
        NextStep::Deliver => "deliver",
        NextStep::Retry => "again",
        NextStep::Refuse(Refusal { is_not_run: true, .. }) => "not-run",
        NextStep::Refuse(Refusal { is_not_run: false, .. }) => "unknown",
    }
}

fn check(idempotency: Idempotency, result: AttemptResult, wanted: &str) {
    let mut state = state(idempotency);
    if is_not_run(result) {
        state.may_have_run = 0;
    }
    assert_eq!(name(next_step(state, result)), wanted, "{idempotency:?} {result:?}");
}

#[rstest]
#[case::success(answered(200), "deliver", "deliver")]
#[case::success_without_seal(unsealed(200), "again", "unknown")]
#[case::redirect(answered(302), "deliver", "deliver")]
#[case::about_the_request(answered(404), "deliver", "deliver")]
#[case::upstream_failure(answered(500), "again", "deliver")]
#[case::upstream_timeout(answered(504), "again", "deliver")]
#[case::failure_without_seal(unsealed(500), "again", "unknown")]
#[case::overload_without_proof(answered(503), "again", "unknown")]
#[case::limit_without_proof(answered(429), "again", "unknown")]
#[case::timeout_without_proof(answered(408), "again", "unknown")]
#[case::shed(shed(503), "again", "again")]
#[case::rate_limited(shed(429), "again", "again")]
#[case::other_upstream(shed(421), "again", "again")]
#[case::malformed_request(shed(400), "deliver", "deliver")]
#[case::not_sent(AttemptResult::NotSent, "again", "again")]
#[case::broken(AttemptResult::Broken, "again", "unknown")]
fn next_step_by_result(
    #[case] result: AttemptResult,
    #[case] idempotent: &str,
    #[case] at_most_once: &str,
) {
    check(Idempotency::Idempotent, result, idempotent);
    check(Idempotency::AtMostOnce, result, at_most_once);
}

#[rstest]
#[case::no_budget(AttemptState { is_budget_spent: true, ..state(Idempotency::Idempotent) })]
#[case::body_passed_on(AttemptState { is_intact: false, ..state(Idempotency::Idempotent) })]
#[case::no_attempt_left(AttemptState { may_have_run: 2, ..state(Idempotency::Idempotent) })]
#[case::no_time_left(AttemptState { left_ms: Millis(5), ..state(Idempotency::Idempotent) })]
fn no_retry_without_budget_attempts_or_time(#[case] state: AttemptState) {
    assert_eq!(name(next_step(state, AttemptResult::Broken)), "unknown");
    assert_eq!(name(next_step(state, answered(500))), "deliver");
    assert_eq!(name(next_step(state, shed(503))), "unknown");
}

#[test]
fn a_request_shed_by_all_upstreams_is_refused_as_not_run_with_retry_after() {
    for idempotency in [Idempotency::Idempotent, Idempotency::AtMostOnce] {
        let state = AttemptState { may_have_run: 0, attempts_made: 4, ..state(idempotency) };
        let NextStep::Refuse(refusal) = next_step(state, shed(503)) else { panic!("not refused") };
        assert_eq!(refusal.cause, Cause::UpstreamsRefused);
        assert!(refusal.is_not_run);
        assert!(refusal.retry_after_ms.is_some());
        assert_eq!(refusal.cause.status(), 503);
    }
}

#[test]
fn a_request_that_may_have_run_is_never_refused_as_not_run() {
    let state = AttemptState { attempts_made: 4, ..state(Idempotency::Idempotent) };
    let NextStep::Refuse(refusal) = next_step(state, shed(503)) else { panic!("not refused") };
    assert!(!refusal.is_not_run);
    assert_eq!(refusal.cause.status(), 502);
}

#[rstest]
fn statuses_that_promise_not_run_need_proof(
    #[values(
        Cause::NotConfigured,
        Cause::NoRoute,
        Cause::BadRequest,
        Cause::HeadTooLarge,
        Cause::BodyTooLarge,
        Cause::SlowRequest,
        Cause::NoUpstream,
        Cause::Overloaded,
        Cause::UpstreamsRefused,
        Cause::UpstreamFailed,
        Cause::Expired,
        Cause::Stopping,
        Cause::TimedOut
    )]
    cause: Cause,
) {
    let promises = matches!(cause.status(), 408 | 421 | 429 | 503);
    let is_after_sending = matches!(cause, Cause::UpstreamFailed | Cause::TimedOut);
    assert!(!(promises && is_after_sending), "{cause:?}");
    let refusal = Refusal::not_run(cause);
    assert_eq!(refusal.retry_after_ms.is_some(), cause.status() == 503);
}
