//! Hedges: when a second sending leaves, and who wins.
#![allow(clippy::unwrap_used)]

mod support;

use config::RepeatRule;
use decision_core::{Action, Attempt, AttemptEnd, Event, FailureStage, RefusalCause};
use domain::{AttemptId, CallId, Millis};
use rstest::rstest;
use support::{Bench, answer, refusal_of, refused_answer};

const CALL: CallId = CallId(1);
/// Answers that make the recent latency known.
const WARM_UP_CALLS: u64 = 100;
const USUAL_MS: u64 = 5;

/// A host that has answered enough calls in the usual time, and the time then.
fn warm_bench() -> (Bench, u64) {
    let mut bench = Bench::configured();
    let mut now_ms = 0;
    for call in 1000..1000 + WARM_UP_CALLS {
        let attempt = bench.arrive_at(now_ms, CallId(call), RepeatRule::Idempotent).attempt();
        now_ms += USUAL_MS;
        end_with(&mut bench, now_ms, attempt, 200);
    }
    bench.tick(now_ms);
    (bench, now_ms)
}

fn end_with(bench: &mut Bench, now_ms: u64, attempt: AttemptId, status: u16) -> Vec<Action> {
    let event = Event::AnswerReady { attempt, answer: answer(status) };
    let mut actions = bench.handle(now_ms, event);
    let end = AttemptEnd::Completed;
    actions.extend(bench.handle(now_ms, Event::AttemptEnded { attempt, end }));
    actions
}

fn sent(actions: &[Action]) -> Option<Attempt> {
    actions.iter().find_map(|action| match action {
        Action::Send(attempt) => Some(attempt.clone()),
        _ => None,
    })
}

/// A call whose hedge is out too: both attempts and the time.
fn hedged_bench() -> (Bench, Attempt, Attempt, u64) {
    let (mut bench, now_ms) = warm_bench();
    let first = bench.arrive_at(now_ms, CALL, RepeatRule::Idempotent).send().unwrap().clone();
    let hedge_ms = bench.host.next_tick_ms().0;
    assert!(hedge_ms < now_ms + 100, "the next tick is the hedge's: {hedge_ms}");
    let second = sent(&bench.tick(hedge_ms)).unwrap();
    (bench, first, second, hedge_ms)
}

#[rstest]
#[case::idempotent(RepeatRule::Idempotent, true, true)]
#[case::body_streams(RepeatRule::Idempotent, false, false)]
#[case::at_most_once(RepeatRule::AtMostOnce, true, false)]
fn hedges_only_what_may_be_repeated(
    #[case] repeat: RepeatRule,
    #[case] body_replayable: bool,
    #[case] hedged: bool,
) {
    let (mut bench, now_ms) = warm_bench();
    bench.body_replayable = body_replayable;
    let first = bench.arrive_at(now_ms, CALL, repeat).send().unwrap().clone();
    let second = sent(&bench.tick(now_ms + 100));
    assert_eq!(second.is_some(), hedged);
    if let Some(second) = second {
        assert_ne!(second.upstream, first.upstream);
        assert_eq!(second.spent_attempts, 2);
        assert_eq!(second.deadline_ms, first.deadline_ms);
    }
}

#[rstest]
#[case::first_wins(true)]
#[case::second_wins(false)]
fn the_loser_is_cancelled_and_finds_nobody(#[case] first_wins: bool) {
    let (mut bench, first, second, now_ms) = hedged_bench();
    let (winner, loser) = match first_wins {
        true => (first.attempt, second.attempt),
        false => (second.attempt, first.attempt),
    };
    let event = Event::AnswerReady { attempt: winner, answer: answer(200) };
    let actions = bench.handle(now_ms + 1, event);
    assert!(actions.contains(&Action::Deliver { call: CALL, attempt: winner }));
    assert!(actions.contains(&Action::CancelAttempt { attempt: loser }));

    let late = Event::AnswerReady { attempt: loser, answer: answer(200) };
    let actions = bench.handle(now_ms + 1, late);
    assert!(!actions.iter().any(|action| matches!(action, Action::Deliver { .. })));
    for (attempt, end) in
        [(winner, AttemptEnd::Completed), (loser, AttemptEnd::Cancelled { unsent: false })]
    {
        bench.handle(now_ms + 2, Event::AttemptEnded { attempt, end });
    }
    assert_eq!(bench.host.dump().calls, 0);
}

/// How one of two attempts goes wrong.
#[derive(Debug, Clone, Copy)]
enum Trouble {
    ErrorAnswer,
    DeclaredNotRun,
    Lost,
}

fn go_wrong(bench: &mut Bench, now_ms: u64, attempt: AttemptId, trouble: Trouble) -> Vec<Action> {
    let answer = match trouble {
        Trouble::ErrorAnswer => answer(500),
        Trouble::DeclaredNotRun => refused_answer(),
        Trouble::Lost => {
            let end = AttemptEnd::Failed { stage: FailureStage::AfterSending };
            return bench.handle(now_ms, Event::AttemptEnded { attempt, end });
        }
    };
    bench.handle(now_ms, Event::AnswerReady { attempt, answer })
}

#[rstest]
fn a_failed_attempt_waits_for_the_other(
    #[values(Trouble::ErrorAnswer, Trouble::DeclaredNotRun, Trouble::Lost)] trouble: Trouble,
    #[values(true, false)] first_fails: bool,
) {
    let (mut bench, first, second, now_ms) = hedged_bench();
    let (failed, other) = match first_fails {
        true => (first.attempt, second.attempt),
        false => (second.attempt, first.attempt),
    };
    let actions = go_wrong(&mut bench, now_ms + 1, failed, trouble);
    let ended = actions.iter().any(|action| {
        matches!(action, Action::Deliver { .. } | Action::Refuse { .. } | Action::Send(_))
    });
    assert!(!ended, "{actions:?}");
    let actions = end_with(&mut bench, now_ms + 2, other, 200);
    assert!(actions.contains(&Action::Deliver { call: CALL, attempt: other }));
}

#[rstest]
fn two_failed_attempts_end_the_call(
    #[values(Trouble::ErrorAnswer, Trouble::DeclaredNotRun, Trouble::Lost)] one: Trouble,
    #[values(Trouble::ErrorAnswer, Trouble::DeclaredNotRun, Trouble::Lost)] two: Trouble,
) {
    let (mut bench, first, second, now_ms) = hedged_bench();
    let mut actions = go_wrong(&mut bench, now_ms + 1, first.attempt, one);
    actions.extend(go_wrong(&mut bench, now_ms + 2, second.attempt, two));
    let mut at_ms = now_ms + 3;
    while !actions.iter().any(|a| matches!(a, Action::Deliver { .. } | Action::Refuse { .. })) {
        assert!(at_ms < now_ms + 2000, "it ends before the deadline");
        actions = match sent(&actions) {
            Some(third) => go_wrong(&mut bench, at_ms, third.attempt, Trouble::Lost),
            None => {
                at_ms = bench.host.next_tick_ms().0.max(at_ms);
                bench.tick(at_ms)
            }
        };
    }
    let delivered = actions.iter().any(|action| matches!(action, Action::Deliver { .. }));
    let refused = refusal_of(CALL, &actions).map(|refusal| refusal.cause);
    let expected = [Some(RefusalCause::UpstreamFailed), Some(RefusalCause::UpstreamRefused)];
    assert!(delivered || expected.contains(&refused), "{actions:?}");
}

#[test]
fn a_call_that_is_answered_leaves_no_timer() {
    let (mut bench, now_ms) = warm_bench();
    let attempt = bench.arrive_at(now_ms, CALL, RepeatRule::Idempotent).attempt();
    end_with(&mut bench, now_ms, attempt, 200);
    bench.tick(now_ms);
    assert!(bench.host.next_tick_ms() > Millis(now_ms + 100));
}
