//! "Not run" is told only with proof, and what was told as not run never leaves later.
#![allow(clippy::unwrap_used)]

mod support;

use config::RepeatRule;
use decision_core::{
    Action, AnswerHead, AttemptEnd, Event, FailureStage, RefusalCause, RunOutcome,
};
use domain::{AttemptId, CallId};
use rstest::rstest;
use support::{Bench, answer, refusal_of, refused_answer};

const CALL: CallId = CallId(1);
/// Past every deadline.
const WOKEN_MS: u64 = 60_000;

fn sends(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Send(_))).count()
}

fn ended(attempt: AttemptId, end: AttemptEnd) -> Event {
    Event::AttemptEnded { attempt, end }
}

fn failed(attempt: AttemptId, stage: FailureStage) -> Event {
    ended(attempt, AttemptEnd::Failed { stage })
}

#[rstest]
#[case::a_slot_is_freed(|attempt| ended(attempt, AttemptEnd::Completed))]
#[case::an_attempt_never_left(|attempt| failed(attempt, FailureStage::BeforeSending))]
#[case::an_attempt_failed(|attempt| failed(attempt, FailureStage::AfterSending))]
#[case::a_caller_hung_up(|_| Event::CallerGone { call: CallId(100) })]
#[case::a_declared_refusal(|attempt| Event::AnswerReady { attempt, answer: refused_answer() })]
#[case::a_tick(|_| Event::Tick)]
fn a_host_that_wakes_sends_nothing_that_has_expired(#[case] first: fn(AttemptId) -> Event) {
    let mut bench = Bench::configured();
    let attempts = bench.fill_slots();
    bench.arrive(CALL, RepeatRule::AtMostOnce);
    let mut actions = bench.handle(WOKEN_MS, first(attempts[0]));
    actions.extend(bench.handle(WOKEN_MS, ended(attempts[0], AttemptEnd::Completed)));
    actions.extend(bench.tick(WOKEN_MS + 1));
    for &attempt in &attempts[1..] {
        actions.extend(bench.handle(WOKEN_MS + 1, ended(attempt, AttemptEnd::Completed)));
    }
    assert_eq!(sends(&actions), 0);
    let refusal = refusal_of(CALL, &actions).unwrap();
    assert_eq!((refusal.cause, refusal.outcome), (RefusalCause::Expired, RunOutcome::NotRun));
}

#[rstest]
#[case::never_left(failed_as(FailureStage::BeforeSending), RunOutcome::NotRun)]
#[case::left(failed_as(FailureStage::AfterSending), RunOutcome::Unknown)]
#[case::timed_out(failed_as(FailureStage::TimedOut), RunOutcome::Unknown)]
#[case::cut(failed_as(FailureStage::AnswerCut), RunOutcome::Unknown)]
#[case::ended_without_an_answer(AttemptEnd::Completed, RunOutcome::Unknown)]
#[case::cancelled_before(AttemptEnd::Cancelled { unsent: true }, RunOutcome::NotRun)]
#[case::cancelled_after(AttemptEnd::Cancelled { unsent: false }, RunOutcome::Unknown)]
fn the_end_of_the_only_attempt_decides(#[case] end: AttemptEnd, #[case] outcome: RunOutcome) {
    let mut bench = Bench::configured();
    let attempt = bench.arrive(CALL, RepeatRule::AtMostOnce).attempt();
    let actions = bench.handle(WOKEN_MS, ended(attempt, end));
    assert_eq!(refusal_of(CALL, &actions).unwrap().outcome, outcome);
    assert_eq!(sends(&actions), 0);
}

fn failed_as(stage: FailureStage) -> AttemptEnd {
    AttemptEnd::Failed { stage }
}

#[rstest]
#[case::completed(AttemptEnd::Completed)]
#[case::cut_after_the_head(failed_as(FailureStage::AnswerCut))]
#[case::cancelled(AttemptEnd::Cancelled { unsent: false })]
#[case::cancelled_unsent(AttemptEnd::Cancelled { unsent: true })]
#[case::unsent(failed_as(FailureStage::BeforeSending))]
fn a_declared_refusal_is_counted_once_however_its_attempt_ends(#[case] end: AttemptEnd) {
    let mut bench = Bench::configured();
    let first = bench.arrive(CALL, RepeatRule::Idempotent).attempt();
    let second = retried(&bench.handle(5, failed(first, FailureStage::AfterSending)));
    let third = retried(&bench.handle(6, answered(second, refused_answer())));
    bench.handle(7, ended(second, end));
    let actions = bench.handle(8, answered(third, refused_answer()));
    let refusal = refusal_of(CALL, &actions).unwrap();
    assert_eq!(refusal.outcome, RunOutcome::Unknown);
}

fn answered(attempt: AttemptId, answer: AnswerHead) -> Event {
    Event::AnswerReady { attempt, answer }
}

#[track_caller]
fn retried(actions: &[Action]) -> AttemptId {
    let sent = |action: &Action| match action {
        Action::Send(attempt) => Some(attempt.attempt),
        _ => None,
    };
    actions.iter().find_map(sent).unwrap()
}

#[rstest]
#[case::answer_first(false, RunOutcome::Unknown)]
#[case::expiry_first(true, RunOutcome::Unknown)]
fn an_answer_that_races_with_the_deadline_is_the_only_one_or_none(
    #[case] expires_first: bool,
    #[case] outcome: RunOutcome,
) {
    let mut bench = Bench::configured();
    let attempt = bench.arrive(CALL, RepeatRule::AtMostOnce).attempt();
    let answer = answered(attempt, answer(200));
    let mut actions = vec![];
    match expires_first {
        true => {
            actions.extend(bench.tick(WOKEN_MS));
            actions.extend(bench.handle(WOKEN_MS, answer));
        }
        false => {
            actions.extend(bench.handle(WOKEN_MS, answer));
            actions.extend(bench.tick(WOKEN_MS));
        }
    }
    actions.extend(bench.handle(WOKEN_MS, ended(attempt, AttemptEnd::Completed)));
    let delivered = actions.iter().any(|action| matches!(action, Action::Deliver { .. }));
    assert_eq!(delivered, !expires_first);
    assert_eq!(
        refusal_of(CALL, &actions).map(|refusal| refusal.outcome),
        expires_first.then_some(outcome)
    );
    assert_eq!(bench.host.dump().calls, 0);
}

#[rstest]
#[case::late_end(|attempt| ended(attempt, AttemptEnd::Cancelled { unsent: true }))]
#[case::late_refusal(|attempt| answered(attempt, refused_answer()))]
#[case::late_failure(|attempt| failed(attempt, FailureStage::BeforeSending))]
fn what_was_answered_is_not_sent_again(#[case] late: fn(AttemptId) -> Event) {
    let mut bench = Bench::configured();
    let attempt = bench.arrive(CALL, RepeatRule::AtMostOnce).attempt();
    let expired = bench.tick(WOKEN_MS);
    assert_eq!(refusal_of(CALL, &expired).unwrap().outcome, RunOutcome::Unknown);
    let mut actions = bench.handle(WOKEN_MS, late(attempt));
    actions.extend(bench.handle(WOKEN_MS, ended(attempt, AttemptEnd::Completed)));
    actions.extend(bench.tick(WOKEN_MS + 5000));
    assert_eq!(sends(&actions), 0);
    assert_eq!(refusal_of(CALL, &actions), None);
}

#[test]
fn a_call_whose_deadline_has_passed_is_not_tried_again() {
    let mut bench = Bench::configured();
    let attempt = bench.arrive(CALL, RepeatRule::Idempotent).attempt();
    let actions = bench.handle(WOKEN_MS, failed(attempt, FailureStage::BeforeSending));
    assert_eq!(sends(&actions), 0);
    let refusal = refusal_of(CALL, &actions).unwrap();
    assert_eq!((refusal.cause, refusal.outcome), (RefusalCause::Expired, RunOutcome::NotRun));
}
