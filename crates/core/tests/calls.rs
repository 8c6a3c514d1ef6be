//! What happens to a call: answered, sent again, refused, never run twice.
#![allow(clippy::unwrap_used)]

mod support;

use config::RepeatRule;
use decision_core::{
    Action, AnswerHead, Attempt, AttemptEnd, CallHead, Event, FailureStage, RefusalCause,
    RunOutcome,
};
use domain::{CallId, Connections, Millis};
use rstest::rstest;
use support::pump::host_list;
use support::{Arrival, Bench, answer, head, refusal_of, refused_answer};

const CALL: CallId = CallId(1);

#[test]
fn answers_a_call() {
    let mut bench = Bench::configured();
    let sent = bench.arrive(CALL, RepeatRule::Idempotent);
    let attempt = sent.attempt();

    let actions = bench.handle(5, Event::AnswerReady { attempt, answer: answer(200) });
    assert_eq!(actions, [Action::Deliver { call: CALL, attempt }]);
    bench.handle(5, Event::AttemptEnded { attempt, end: AttemptEnd::Completed });
    assert_eq!(bench.host.dump().calls, 0);
}

#[rstest]
#[case::idempotent_lost(RepeatRule::Idempotent, FailureStage::AfterSending, true)]
#[case::idempotent_timed_out(RepeatRule::Idempotent, FailureStage::TimedOut, true)]
#[case::at_most_once_lost(RepeatRule::AtMostOnce, FailureStage::AfterSending, false)]
#[case::at_most_once_timed_out(RepeatRule::AtMostOnce, FailureStage::TimedOut, false)]
#[case::at_most_once_cut(RepeatRule::AtMostOnce, FailureStage::AnswerCut, false)]
#[case::at_most_once_unsent(RepeatRule::AtMostOnce, FailureStage::BeforeSending, true)]
fn sends_again_only_where_it_cannot_run_twice(
    #[case] repeat: RepeatRule,
    #[case] stage: FailureStage,
    #[case] sent_again: bool,
) {
    let mut bench = Bench::configured();
    let attempt = bench.arrive(CALL, repeat).attempt();
    let actions =
        bench.handle(5, Event::AttemptEnded { attempt, end: AttemptEnd::Failed { stage } });

    match &actions[0] {
        Action::Send(_) => assert!(sent_again),
        Action::Refuse { refusal, .. } => {
            assert!(!sent_again);
            assert_eq!(refusal.outcome, RunOutcome::Unknown);
        }
        other => panic!("unexpected {other:?}"),
    }
}

#[test]
fn a_declared_refusal_is_sent_elsewhere_then_told_as_not_run() {
    let mut bench = Bench::configured();
    let mut attempt = bench.arrive(CALL, RepeatRule::AtMostOnce).attempt();
    let mut tried = vec![];
    let mut now_ms = 5;
    loop {
        tried.push(attempt);
        let mut actions =
            bench.handle(now_ms, Event::AnswerReady { attempt, answer: refused_answer() });
        bench.handle(now_ms, Event::AttemptEnded { attempt, end: AttemptEnd::Completed });
        while actions.iter().all(|action| !ends_or_sends(action)) {
            now_ms = bench.host.next_tick_ms().0.max(now_ms);
            assert!(now_ms < 2000, "sent again before the deadline");
            actions = bench.tick(now_ms);
        }
        if let Some(next) = Arrival(actions.clone()).send() {
            attempt = next.attempt;
            continue;
        }
        let refusal = refusal_of(CALL, &actions).unwrap();
        assert_eq!(refusal.cause, RefusalCause::UpstreamRefused);
        assert_eq!(refusal.outcome, RunOutcome::NotRun);
        assert!(refusal.retry_after_ms.is_some());
        break;
    }
    assert_eq!(tried.len(), 3);
}

fn ends_or_sends(action: &Action) -> bool {
    matches!(action, Action::Send(_) | Action::Refuse { .. })
}

/// A host that is busy: calls take 100 ms, all four slots are taken, `waiting` calls wait.
fn busy_bench(waiting: u64) -> Bench {
    let mut bench = Bench::configured();
    for call in 1000..1020 {
        let attempt = bench.arrive_at(call, CallId(call), RepeatRule::Idempotent).attempt();
        bench.handle(call + 100, Event::AnswerReady { attempt, answer: answer(200) });
        let end = AttemptEnd::Completed;
        bench.handle(call + 100, Event::AttemptEnded { attempt, end });
    }
    bench.fill_slots();
    for call in 0..waiting {
        bench.arrive_at(2000, CallId(5000 + call), RepeatRule::Idempotent);
    }
    bench
}

#[rstest]
#[case::time_enough(2000, 4, 0, None)]
#[case::no_time_for_the_queue(200, 8, 0, Some(RefusalCause::WouldExpire))]
#[case::no_queue(200, 0, 0, None)]
#[case::queue_stands(5000, 12, 500, Some(RefusalCause::QueueFull))]
#[case::queue_is_new(5000, 12, 0, None)]
fn a_call_waits_only_if_it_may_be_met(
    #[case] timeout_ms: u64,
    #[case] waiting: u64,
    #[case] after_ms: u64,
    #[case] refused: Option<RefusalCause>,
) {
    let mut bench = busy_bench(waiting);
    let head = CallHead { timeout_ms: Some(Millis(timeout_ms)), ..head("/read/1") };
    let actions = bench.handle(2000 + after_ms, Event::CallArrived { call: CALL, head });
    let refusal = refusal_of(CALL, &actions);
    assert_eq!(refusal.map(|refusal| refusal.cause), refused);
    if let Some(refusal) = refusal {
        assert_eq!(refusal.outcome, RunOutcome::NotRun);
        assert!(refusal.retry_after_ms.is_some());
    }
}

#[rstest]
#[case::error_answer(500, false, "b")]
#[case::declared_not_run(503, true, "any")]
fn a_retry_goes_to_another_upstream_and_after_a_failure_to_another_zone(
    #[case] status: u16,
    #[case] not_run: bool,
    #[case] zone: &str,
) {
    let mut bench = Bench::with_base(THREE_UPSTREAMS);
    let mut firsts_in_a = 0;
    let calls: Vec<(CallId, Attempt)> = (0..6)
        .map(CallId)
        .map(|call| (call, bench.arrive(call, RepeatRule::Idempotent).send().unwrap().clone()))
        .collect();
    for (_, first) in calls {
        let answer = AnswerHead { not_run, ..answer(status) };
        let event = Event::AnswerReady { attempt: first.attempt, answer };
        let Some(second) = Arrival(bench.handle(5, event)).send().cloned() else { continue };
        assert_ne!(second.upstream, first.upstream);
        if first.upstream.as_str() != "shop-3" {
            firsts_in_a += 1;
            assert!(zone == "any" || second.upstream.as_str() == "shop-3");
        }
    }
    assert!(firsts_in_a > 0);
}

/// Two upstreams in zone `a`, one in zone `b`.
const THREE_UPSTREAMS: &str = r#"{
    "availability_zones": ["a", "b"],
    "policy": "load-aware",
    "services": { "shop": {
        "routes": [{ "path_prefix": "/read", "repeat": "idempotent" }],
        "upstreams": {
            "shop-1": { "address": "127.0.0.1:9001", "availability_zone": "a",
                        "slots": 6, "connections": 20 },
            "shop-2": { "address": "127.0.0.1:9002", "availability_zone": "a",
                        "slots": 6, "connections": 20 },
            "shop-3": { "address": "127.0.0.1:9003", "availability_zone": "b",
                        "slots": 6, "connections": 20 }
        }
    } }
}"#;

#[rstest]
#[case::sent(true, RunOutcome::Unknown)]
#[case::waiting(false, RunOutcome::NotRun)]
fn an_expired_call_is_answered_at_once(#[case] sent: bool, #[case] outcome: RunOutcome) {
    let mut bench = Bench::configured();
    if !sent {
        bench.fill_slots();
    }
    bench.arrive(CALL, RepeatRule::AtMostOnce);
    let actions = bench.tick(100_000);
    let refusal = refusal_of(CALL, &actions).unwrap();
    assert_eq!(refusal.cause, RefusalCause::Expired);
    assert_eq!(refusal.outcome, outcome);
}

#[test]
fn a_late_answer_finds_nobody() {
    let mut bench = Bench::configured();
    let attempt = bench.arrive(CALL, RepeatRule::AtMostOnce).attempt();
    bench.handle(1, Event::CallerGone { call: CALL });
    let actions = bench.handle(2, Event::AnswerReady { attempt, answer: answer(200) });
    assert!(!actions.iter().any(|action| matches!(action, Action::Deliver { .. })));
}

#[test]
fn a_stop_waits_for_calls_and_a_second_request_changes_nothing() {
    let mut bench = Bench::configured();
    let attempt = bench.arrive(CALL, RepeatRule::Idempotent).attempt();
    let actions = bench.handle(0, Event::StopRequested);
    assert_eq!(actions[0], Action::SetReady(false));
    assert!(!bench.handle(1, Event::StopRequested).contains(&Action::SetReady(false)));
    assert!(!bench.tick(1500).contains(&Action::Exit));
    bench.handle(1600, Event::AnswerReady { attempt, answer: answer(200) });
    bench.handle(1600, Event::AttemptEnded { attempt, end: AttemptEnd::Completed });
    assert!(bench.tick(Millis::from_secs(3).0).contains(&Action::Exit));
}

/// All listed hosts together stay within the 20 connections that the upstreams state.
#[rstest]
#[case::alone(1, 20)]
#[case::shared(3, 6)]
#[case::more_hosts_than_connections(30, 1)]
fn an_attempt_states_this_hosts_share_of_connections(#[case] hosts: usize, #[case] share: u32) {
    let mut bench = Bench::configured();
    bench.handle(0, Event::HostListRead(Some(host_list(2, hosts))));
    let arrival = bench.arrive(CallId(1), RepeatRule::Idempotent);
    assert_eq!(arrival.send().unwrap().connections, Connections(share));
}
