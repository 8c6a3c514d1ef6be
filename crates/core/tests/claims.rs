//! The same idempotency key through several hosts runs at most once.
#![allow(clippy::unwrap_used)]

mod support;

use decision_core::{KEY_WINDOW_MS, RefusalCause, RunOutcome, VotingState};
use rstest::rstest;
use support::fleet::{Fleet, Reply, Told, list_of};

const KEY: &str = "order-1";

#[track_caller]
fn check(fleet: &Fleet, told: Option<Told>, cause: RefusalCause, outcome: RunOutcome) {
    let Some(Told::Refused(refusal)) = told else { panic!("not refused: {told:?}") };
    assert_eq!((refusal.cause, refusal.outcome), (cause, outcome));
    assert_eq!(refusal.retry_after_ms.is_some(), cause != RefusalCause::DuplicateKey);
    assert_eq!(fleet.violations(), Vec::<String>::new());
}

#[track_caller]
fn check_ran(fleet: &Fleet, told: Option<Told>) {
    assert_eq!(told, Some(Told::Answer));
    assert_eq!(fleet.violations(), Vec::<String>::new());
}

#[rstest]
fn a_new_fleet_serves_keys_at_once(#[values(1, 2, 3, 4, 5, 8, 15, 17, 20)] hosts: usize) {
    let mut fleet = Fleet::new(hosts, 1);
    let told = fleet.order_and_wait(0, KEY);
    check_ran(&fleet, told);
}

#[rstest]
#[case::three(3, 4, 1000)]
#[case::fifteen(15, 28, 10_000)]
#[case::claimant_outside_the_committee(40, 30, 10_000)]
fn a_key_costs_a_question_and_a_vote_for_each_voter(
    #[case] hosts: usize,
    #[case] messages: u64,
    #[case] max_bytes: u64,
) {
    let mut fleet = Fleet::new(hosts, 1);
    let told = fleet.order_and_wait(0, KEY);
    check_ran(&fleet, told);
    assert_eq!(fleet.claim_messages, messages);
    assert!(fleet.claim_bytes <= max_bytes, "{} bytes", fleet.claim_bytes);
}

#[rstest]
#[case::same_host(0, 0)]
#[case::other_host(0, 1)]
#[case::another_host(2, 1)]
fn a_repeat_is_told_that_the_first_ran(#[case] first: usize, #[case] second: usize) {
    let mut fleet = Fleet::new(3, 1);
    let told = fleet.order_and_wait(first, KEY);
    check_ran(&fleet, told);
    let told = fleet.order_and_wait(second, KEY);
    check(&fleet, told, RefusalCause::DuplicateKey, RunOutcome::Run);
}

#[rstest]
#[case::same_host(0)]
#[case::other_host(1)]
fn a_repeat_meanwhile_is_told_unknown(#[case] second: usize) {
    let mut fleet = Fleet::new(3, 1);
    fleet.replies = vec![Reply::Silent];
    fleet.order(0, KEY);
    fleet.run_for(50);
    let told = fleet.order_and_wait(second, KEY);
    check(&fleet, told, RefusalCause::DuplicateKey, RunOutcome::Unknown);
}

#[rstest]
#[case::declined(Reply::Declines)]
#[case::not_connected(Reply::NeverConnects)]
fn a_repeat_runs_where_the_first_surely_did_not(#[case] reply: Reply) {
    let mut fleet = Fleet::new(5, 1);
    fleet.replies = vec![reply];
    let Some(Told::Refused(refusal)) = fleet.order_and_wait(0, KEY) else { panic!("not refused") };
    assert_eq!(refusal.outcome, RunOutcome::NotRun);
    fleet.replies = vec![Reply::Answers];
    let told = fleet.order_and_wait(1, KEY);
    check_ran(&fleet, told);
}

#[test]
fn a_key_counts_as_new_after_the_window() {
    let mut fleet = Fleet::new(3, 1);
    fleet.order_and_wait(0, KEY);
    fleet.run_for(KEY_WINDOW_MS.0 - 2000);
    let told = fleet.order_and_wait(1, KEY);
    check(&fleet, told, RefusalCause::DuplicateKey, RunOutcome::Run);
    fleet.run_for(1000);
    let told = fleet.order_and_wait(1, KEY);
    check_ran(&fleet, told);
    assert_eq!(fleet.runs(KEY), 2);
}

#[rstest]
#[case::minority_has_run(&[0], &[1, 2], true)]
#[case::asked_in_the_minority(&[1], &[0, 2], false)]
fn a_cut_off_minority_does_not_run(
    #[case] one: &[usize],
    #[case] other: &[usize],
    #[case] before: bool,
) {
    let mut fleet = Fleet::new(3, 1);
    if before {
        fleet.order_and_wait(0, KEY);
        fleet.partition(one, other);
        let told = fleet.order_and_wait(1, KEY);
        return check(&fleet, told, RefusalCause::DuplicateKey, RunOutcome::Unknown);
    }
    fleet.partition(one, other);
    let told = fleet.order_and_wait(0, KEY);
    check_ran(&fleet, told);
    let told = fleet.order_and_wait(1, KEY);
    check(&fleet, told, RefusalCause::KeyUnconfirmed, RunOutcome::NotRun);
}

#[rstest]
#[case::claimant(&[0])]
#[case::voter(&[1])]
#[case::one_after_the_other(&[0, 1, 2])]
#[case::twice_around(&[2, 1, 0, 2, 1, 0])]
fn restarts_forget_no_key(#[case] restarted: &[usize]) {
    let mut fleet = Fleet::new(3, 1);
    fleet.order_and_wait(0, KEY);
    for &host in restarted {
        fleet.restart(host);
        let told = fleet.order_and_wait(host, KEY);
        assert!(matches!(told, Some(Told::Refused(_))));
        fleet.run_for(5000);
        assert_eq!(fleet.voting(host), Some(VotingState::Voting));
    }
    let told = fleet.order_and_wait(1, KEY);
    assert!(
        matches!(told, Some(Told::Refused(refusal)) if refusal.cause == RefusalCause::DuplicateKey)
    );
    assert_eq!(fleet.violations(), Vec::<String>::new());
}

#[test]
fn voters_that_restart_before_the_decision_do_not_vote_again_too_early() {
    let mut fleet = Fleet::new(5, 1);
    fleet.question_delay_ms = 50;
    fleet.partition(&[0], &[4]);
    let call = fleet.order(0, KEY);
    for host in 1..=3 {
        fleet.run_for(52);
        fleet.partition(&[0], &[host]);
        fleet.restart(host);
    }
    fleet.run_for(100);
    check_ran(&fleet, fleet.told(call));
    fleet.question_delay_ms = 0;
    for _ in 0..2 {
        let told = fleet.order_and_wait(4, KEY);
        check(&fleet, told, RefusalCause::KeyUnconfirmed, RunOutcome::NotRun);
        fleet.run_for(30_000);
    }
}

#[rstest]
#[case::alone(1)]
#[case::all_of_three(3)]
fn a_fleet_that_forgot_everything_waits_for_the_window(#[case] hosts: usize) {
    let mut fleet = Fleet::new(hosts, 1);
    fleet.order_and_wait(0, KEY);
    (0..hosts).for_each(|host| fleet.restart(host));
    fleet.run_for(10_000);
    let told = fleet.order_and_wait(0, KEY);
    check(&fleet, told, RefusalCause::KeyUnconfirmed, RunOutcome::NotRun);
    fleet.run_for(KEY_WINDOW_MS.0);
    let told = fleet.order_and_wait(0, KEY);
    check_ran(&fleet, told);
}

#[test]
fn a_host_without_a_list_does_not_decide() {
    let mut fleet = Fleet::down(1, 1);
    fleet.lists = vec![list_of(0, &[])];
    fleet.start(0);
    fleet.run_for(60_000);
    let told = fleet.order_and_wait(0, KEY);
    check(&fleet, told, RefusalCause::KeyUnconfirmed, RunOutcome::NotRun);
}

#[rstest]
#[case::halves(&[0, 1], &[1, 2])]
#[case::one_thinks_itself_alone(&[0], &[0, 1, 2])]
#[case::other_thinks_itself_alone(&[0, 1, 2], &[2])]
fn two_lists_that_disagree(#[case] of_first: &[usize], #[case] of_last: &[usize]) {
    let mut fleet = Fleet::down(3, 1);
    fleet.lists[0] = list_of(1, of_first);
    fleet.lists[2] = list_of(1, of_last);
    (0..3).for_each(|host| fleet.start(host));
    fleet.run_for(3000);
    let calls = [fleet.order(0, KEY), fleet.order(2, KEY)];
    fleet.run_for(1000);
    assert!(calls.iter().all(|&call| fleet.told(call).is_some()));
    fleet.order_and_wait(0, KEY);
    fleet.order_and_wait(2, KEY);
    assert!(fleet.runs(KEY) <= 1);
    assert_eq!(fleet.violations(), Vec::<String>::new());
}

#[rstest]
#[case::before_the_votes(0, 5000)]
#[case::barely_too_long(0, 400)]
#[case::for_minutes(0, 200_000)]
fn a_claimant_that_wakes_late_does_not_send(#[case] after_ms: u64, #[case] paused_ms: u64) {
    let mut fleet = Fleet::new(3, 1);
    let call = fleet.order(0, KEY);
    fleet.run_for(after_ms);
    fleet.pause(0);
    fleet.run_for(paused_ms);
    fleet.wake(0);
    fleet.run_for(1000);
    let told = fleet.told(call);
    assert!(matches!(told, Some(Told::Refused(refusal)) if refusal.outcome == RunOutcome::NotRun));
    assert_eq!(fleet.runs(KEY), 0);
    let told = fleet.order_and_wait(1, KEY);
    check_ran(&fleet, told);
}

#[test]
fn a_repeat_elsewhere_while_the_claimant_is_paused_does_not_run_twice() {
    let mut fleet = Fleet::new(3, 1);
    fleet.replies = vec![Reply::Silent];
    fleet.order(0, KEY);
    fleet.run_for(10);
    fleet.pause(0);
    let told = fleet.order_and_wait(1, KEY);
    check(&fleet, told, RefusalCause::DuplicateKey, RunOutcome::Unknown);
    fleet.run_for(30_000);
    fleet.wake(0);
    fleet.run_for(1000);
    assert_eq!(fleet.runs(KEY), 1);
}

#[test]
fn a_replaced_host_that_wakes_late_has_no_vote() {
    let mut fleet = Fleet::new(3, 1);
    fleet.pause(2);
    fleet.start(2);
    fleet.run_for(10_000);
    assert_eq!(fleet.voting(2), Some(VotingState::Voting));
    fleet.partition(&[0], &[1, 2]);
    let told = fleet.order_and_wait(1, KEY);
    check_ran(&fleet, told);
    fleet.heal();
    fleet.partition(&[0, 2], &[1]);
    fleet.wake(2);
    fleet.order_and_wait(0, KEY);
    assert_eq!(fleet.violations(), Vec::<String>::new());
}

#[test]
fn two_that_ask_at_once_both_come_back_and_one_runs() {
    let mut fleet = Fleet::new(4, 1);
    let mut calls = vec![];
    for _ in 0..20 {
        calls.extend([fleet.order(0, KEY), fleet.order(3, KEY)]);
        fleet.run_for(700);
    }
    assert!(calls.iter().all(|&call| fleet.calls[&call].told.len() == 1));
    assert!(fleet.runs(KEY) <= 1);
    let told = fleet.order_and_wait(0, KEY);
    assert!(matches!(told, Some(Told::Refused(_) | Told::Answer)));
    assert_eq!(fleet.runs(KEY), 1);
    assert_eq!(fleet.violations(), Vec::<String>::new());
}

#[test]
fn a_rolling_replacement_with_new_ids_forgets_no_key() {
    let mut fleet = Fleet::down(10, 1);
    let mut hosts: Vec<usize> = (0..5).collect();
    fleet.lists = vec![list_of(1, &hosts); 10];
    hosts.iter().for_each(|&host| fleet.start(host));
    fleet.run_for(1000);
    fleet.order_and_wait(0, KEY);
    for new in 5..8 {
        hosts.push(new);
        fleet.lists = vec![list_of(2 * new as u64, &hosts); 10];
        fleet.start(new);
        fleet.run_for(5000);
        let gone = hosts.remove(0);
        fleet.kill(gone);
        fleet.lists = vec![list_of(2 * new as u64 + 1, &hosts); 10];
        fleet.run_for(5000);
    }
    let told = fleet.order_and_wait(7, KEY);
    assert!(matches!(told, Some(Told::Refused(_))));
    assert_eq!(fleet.violations(), Vec::<String>::new());
}
