//! What follows an ended sending: "not run" is told with proof only, and nothing that must
//! run once is sent twice.

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

fn state(repeat: Idempotency) -> AttemptState {
    AttemptState {
        repeat,
        may_have_run: 1,
        attempts_made: 1,
        max_attempts: 2,
        left_ms: Millis(500),
        is_budget_spent: false,
    }
}

/// Short names of what may follow.
fn name(next: NextStep) -> &'static str {
    match next {
        NextStep::Deliver => "deliver",
        NextStep::Retry => "again",
        NextStep::Refuse(Refusal { is_not_run: true, .. }) => "not-run",
        NextStep::Refuse(Refusal { is_not_run: false, .. }) => "unknown",
    }
}

fn check(repeat: Idempotency, end: AttemptResult, wanted: &str) {
    let mut state = state(repeat);
    if is_not_run(end) {
        state.may_have_run = 0;
    }
    assert_eq!(name(next_step(state, end)), wanted, "{repeat:?} {end:?}");
}

#[rstest]
#[case::success(answered(200), "deliver", "deliver")]
#[case::success_without_seal(unsealed(200), "again", "unknown")]
#[case::redirect(answered(302), "deliver", "deliver")]
#[case::about_the_request(answered(404), "deliver", "deliver")]
#[case::own_failure(answered(500), "again", "deliver")]
#[case::own_deadline(answered(504), "again", "deliver")]
#[case::failure_without_seal(unsealed(500), "again", "unknown")]
#[case::promise_without_proof(answered(503), "again", "unknown")]
#[case::limit_without_proof(answered(429), "again", "unknown")]
#[case::timeout_without_proof(answered(408), "again", "unknown")]
#[case::shed(shed(503), "again", "again")]
#[case::limited(shed(429), "again", "again")]
#[case::other_upstream(shed(421), "again", "again")]
#[case::faulty_request(shed(400), "deliver", "deliver")]
#[case::not_sent(AttemptResult::NotSent, "again", "again")]
#[case::broken(AttemptResult::Broken, "again", "unknown")]
fn follows(#[case] end: AttemptResult, #[case] idempotent: &str, #[case] at_most_once: &str) {
    check(Idempotency::Idempotent, end, idempotent);
    check(Idempotency::AtMostOnce, end, at_most_once);
}

#[rstest]
#[case::no_budget(AttemptState { is_budget_spent: true, ..state(Idempotency::Idempotent) })]
#[case::no_attempt_left(AttemptState { may_have_run: 2, ..state(Idempotency::Idempotent) })]
#[case::no_time_left(AttemptState { left_ms: Millis(5), ..state(Idempotency::Idempotent) })]
fn nothing_is_sent_again_without_leave(#[case] state: AttemptState) {
    assert_eq!(name(next_step(state, AttemptResult::Broken)), "unknown");
    assert_eq!(name(next_step(state, answered(500))), "deliver");
    assert_eq!(name(next_step(state, shed(503))), "unknown");
}

#[test]
fn what_was_shed_everywhere_is_told_as_not_run_with_a_time_to_come_back() {
    for repeat in [Idempotency::Idempotent, Idempotency::AtMostOnce] {
        let state = AttemptState { may_have_run: 0, attempts_made: 4, ..state(repeat) };
        let NextStep::Refuse(refusal) = next_step(state, shed(503)) else { panic!("not refused") };
        assert_eq!(refusal.cause, Cause::UpstreamsRefused);
        assert!(refusal.is_not_run);
        assert!(refusal.retry_after_ms.is_some());
        assert_eq!(refusal.cause.status(), 503);
    }
}

#[test]
fn what_may_have_run_once_is_never_told_as_not_run() {
    let state = AttemptState { attempts_made: 4, ..state(Idempotency::Idempotent) };
    let NextStep::Refuse(refusal) = next_step(state, shed(503)) else { panic!("not refused") };
    assert!(!refusal.is_not_run);
    assert_eq!(refusal.cause.status(), 502);
}

#[rstest]
fn statuses_that_promise_come_with_proof_only(
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
