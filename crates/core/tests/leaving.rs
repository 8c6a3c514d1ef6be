//! Stops and removals cut no call.
#![allow(clippy::unwrap_used)]

mod support;

use config::RepeatRule;
use decision_core::{Action, AttemptEnd, ConfigKey, Event, PeerMessage, RefusalCause, RunOutcome};
use domain::{CallId, Millis};
use rstest::rstest;
use support::pump::{Pump, host_id};
use support::{Arrival, BASE, Bench, answer, fleet, refusal_of};

const WAITING: CallId = CallId(1);
const NEXT: CallId = CallId(2);

fn without_shop() -> String {
    let renamed = BASE.replace("\"shop\"", "\"store\"").replace("shop-", "store-");
    renamed.replace("\"/", "\"/store/")
}

fn without_order_route() -> String {
    BASE.replace("/order", "/elsewhere")
}

/// All slots taken, one call waiting, then the configuration changes.
fn changed_in_use(text: &str) -> (Bench, domain::AttemptId) {
    let mut bench = Bench::configured();
    let attempt = bench.arrive(CallId(100), RepeatRule::AtMostOnce).attempt();
    (101..104).for_each(|call| drop(bench.arrive(CallId(call), RepeatRule::AtMostOnce)));
    assert!(bench.arrive(WAITING, RepeatRule::AtMostOnce).send().is_none());
    let actions = bench.publish(ConfigKey::Base, 2, text);
    let cut =
        |action: &Action| matches!(action, Action::CancelAttempt { .. } | Action::Refuse { .. });
    assert!(!actions.iter().any(cut), "{actions:?}");
    (bench, attempt)
}

#[rstest]
#[case::service_removed(&without_shop())]
#[case::route_removed(&without_order_route())]
fn a_removal_in_use_cuts_nothing(#[case] text: &str) {
    let (mut bench, attempt) = changed_in_use(text);
    let actions = bench.handle(100, Event::AnswerReady { attempt, answer: answer(200) });
    assert_eq!(actions, [Action::Deliver { call: CallId(100), attempt }]);
    let end = AttemptEnd::Completed;
    let freed = Arrival(bench.handle(101, Event::AttemptEnded { attempt, end }));
    assert_eq!(freed.send().map(|sent| sent.call), Some(WAITING));
    let refused = bench.arrive(NEXT, RepeatRule::AtMostOnce);
    assert_eq!(refusal_of(NEXT, &refused.0).unwrap().cause, RefusalCause::NoRoute);
}

#[test]
fn a_removed_service_gets_no_new_work_after_a_few_seconds() {
    let (mut bench, attempt) = changed_in_use(&without_shop());
    let long = Millis(60_000);
    let mut actions = vec![];
    for now_ms in [1000, 1900] {
        actions.extend(bench.tick(now_ms));
    }
    assert_eq!(refusal_of(WAITING, &actions), None);
    let end = AttemptEnd::Completed;
    bench.handle(1950, Event::AttemptEnded { attempt, end });
    assert!(bench.host.dump().services.iter().any(|service| service.name.as_str() == "shop"));
    bench.tick(long.0);
    for attempt in 2..=5 {
        let attempt = domain::AttemptId(attempt);
        bench.handle(long.0, Event::AttemptEnded { attempt, end });
    }
    bench.tick(long.0 + 1000);
    assert!(bench.host.dump().services.iter().all(|service| service.name.as_str() != "shop"));
}

#[test]
fn a_call_that_waits_too_long_for_a_removed_service_is_told_it_did_not_run() {
    let text = BASE.replace("\"routes\"", "\"deadline_ms\": 60000, \"routes\"");
    let mut bench = Bench::alone();
    bench.read(ConfigKey::Overlay, decision_core::ReadOutcome::Missing);
    bench.publish(ConfigKey::Base, 1, &text);
    bench.fill_slots();
    bench.arrive(WAITING, RepeatRule::AtMostOnce);
    bench.publish(ConfigKey::Base, 2, &without_shop());
    assert_eq!(refusal_of(WAITING, &bench.tick(2900)), None);
    let refusal = refusal_of(WAITING, &bench.tick(3000)).unwrap();
    assert_eq!(refusal.outcome, RunOutcome::NotRun);
    assert_eq!(refusal.cause, RefusalCause::NoUpstream);
}

#[test]
fn a_service_that_comes_back_goes_on() {
    let (mut bench, attempt) = changed_in_use(&without_shop());
    bench.publish(ConfigKey::Base, 3, BASE);
    bench.tick(1900);
    let end = AttemptEnd::Completed;
    let freed = Arrival(bench.handle(1950, Event::AttemptEnded { attempt, end }));
    assert_eq!(freed.send().map(|sent| sent.call), Some(WAITING));
}

#[test]
fn a_service_that_comes_back_unchanged_after_its_end_serves_again() {
    let (mut bench, first) = changed_in_use(&without_shop());
    for now_ms in [1000, 1900, 2900, 3100] {
        bench.tick(now_ms);
    }
    bench.publish(ConfigKey::Base, 3, BASE);
    for attempt in first.0..first.0 + 4 {
        let (attempt, end) = (domain::AttemptId(attempt), AttemptEnd::Completed);
        bench.handle(3200, Event::AttemptEnded { attempt, end });
    }
    let next = bench.arrive(NEXT, RepeatRule::Idempotent);
    assert_eq!(next.send().map(|sent| sent.call), Some(NEXT));
}

#[test]
fn a_stop_is_told_to_every_peer_at_once_and_ends_all_jobs() {
    let mut pump = fleet(17, 1);
    pump.inject(3, Event::StopRequested);
    pump.run_for(10);
    for (id, process) in pump.processes.iter().filter(|(id, _)| **id != host_id(3)) {
        let membership = process.host.dump().membership;
        assert!(!membership.candidates(pump.now_ms).contains(&&host_id(3)), "{id}");
    }
    assert!(!pump.process(3).ready);
    assert!(pump.run_while(5000, |pump| !pump.process(3).exited));
}

#[test]
fn a_stopping_host_does_not_become_ready_with_a_late_configuration() {
    let mut pump = Pump::new(3, 2);
    pump.service.down_for = (1..=3).map(host_id).collect();
    pump.publish_first();
    pump.start_all();
    pump.run_for(1000);
    pump.inject(1, Event::StopRequested);
    pump.service.down_for.clear();
    pump.run_for(10_000);
    assert_eq!(pump.process(1).ready_at_ms, None);
    assert!(pump.process(1).exited);
    assert!(pump.process(2).ready);
}

#[test]
fn a_stopping_host_still_passes_on_what_it_has() {
    let mut pump = fleet(3, 3);
    pump.inject(1, Event::StopRequested);
    let wanted = PeerMessage::ConfigWanted {
        key: ConfigKey::Base,
        version: domain::Version(1),
        held: domain::Version(0),
    };
    let incarnation = pump.process(2).incarnation;
    let mut actions = vec![];
    let event = Event::PeerReceived { from: host_id(2), incarnation, message: wanted };
    let now_ms = pump.now_ms;
    pump.process_mut(1).host.handle(now_ms, event, &mut actions);
    let offers = |action: &Action| {
        matches!(action, Action::SendPeer { message: PeerMessage::ConfigOffered { .. }, .. })
    };
    assert!(actions.iter().any(offers));
}
