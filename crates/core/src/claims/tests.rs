//! Quorums meet, memory is bounded, and who joins has heard enough.
#![allow(clippy::unwrap_used)]

use super::electorate::{Electorate, MAX_COMMITTEE, quorum, tolerance};
use super::holds::{HoldAnswer, Holds, MAX_HOLDS};
use super::join::{Join, START_WAIT_MS};
use super::pending::{CLAIM_TIMEOUT_MS, Pending, Tally};
use super::{KEY_WINDOW_MS, VotingState};
use crate::message::{ClaimId, ClaimKey, ClaimVerdict, KeyProgress, RecentHost, StandingClaims};
use crate::service::TakenSlot;
use domain::{CallId, HostId, Incarnation, Millis};
use rstest::rstest;
use std::collections::BTreeSet;

fn host(number: usize) -> HostId {
    format!("e{number}").parse().unwrap()
}

fn key(number: usize) -> ClaimKey {
    ClaimKey {
        caller: "desk".parse().unwrap(),
        service: "shop".parse().unwrap(),
        key: format!("order-{number}").parse().unwrap(),
    }
}

fn claim(number: u64) -> ClaimId {
    ClaimId { host: host(0), incarnation: Incarnation(1), number }
}

fn electorate(hosts: impl Iterator<Item = usize>) -> Electorate {
    let mut electorate = Electorate::default();
    hosts.for_each(|number| electorate.note_seen(Millis::ZERO, &host(number)));
    electorate
}

#[test]
fn quorums_of_views_that_differ_within_tolerance_meet() {
    for size in 1..=24 {
        for differing in 0..=tolerance(size.min(MAX_COMMITTEE)) {
            for shrunk in 0..=differing.min(size - 1) {
                let one = electorate(0..size);
                let other = electorate(differing..size + differing - shrunk);
                for number in 0..40 {
                    check_quorums_meet(&one, &other, &key(number));
                }
            }
        }
    }
}

#[track_caller]
fn check_quorums_meet(one: &Electorate, other: &Electorate, key: &ClaimKey) {
    let (one, other) = (one.committee(key), other.committee(key));
    let together: BTreeSet<&HostId> = one.iter().chain(&other).collect();
    let votes = quorum(one.len()) + quorum(other.len());
    assert!(votes > together.len(), "{votes} votes of {}", together.len());
}

#[rstest]
#[case(1, 1, 0)]
#[case(2, 2, 0)]
#[case(3, 2, 0)]
#[case(4, 3, 1)]
#[case(5, 4, 1)]
#[case(9, 6, 2)]
#[case(13, 9, 3)]
#[case(15, 10, 3)]
fn sizes_of_quorums(#[case] committee: usize, #[case] votes: usize, #[case] differing: usize) {
    assert_eq!((quorum(committee), tolerance(committee)), (votes, differing));
}

#[test]
fn a_full_memory_refuses_and_forgets_nothing() {
    let mut holds = Holds::default();
    for number in 0..MAX_HOLDS {
        let answer = holds.ask(Millis::ZERO, &key(number), &claim(number as u64));
        assert_eq!(answer, HoldAnswer::Held);
    }
    let next = (key(MAX_HOLDS), claim(MAX_HOLDS as u64));
    assert_eq!(holds.ask(Millis::ZERO, &next.0, &next.1), HoldAnswer::Full);
    let taken = holds.ask(Millis::ZERO, &key(0), &next.1);
    assert!(matches!(taken, HoldAnswer::Taken { .. }));
    holds.expire(KEY_WINDOW_MS);
    assert_eq!(holds.ask(KEY_WINDOW_MS, &next.0, &next.1), HoldAnswer::Held);
    assert_eq!(holds.len(), 1);
}

#[test]
fn a_release_frees_only_its_own_claim_in_whatever_order_it_comes() {
    let mut holds = Holds::default();
    let now_ms = Millis::ZERO;
    holds.release(now_ms, &key(1), &claim(1));
    assert_eq!(holds.ask(now_ms, &key(1), &claim(1)), HoldAnswer::Released);
    assert_eq!(holds.ask(now_ms, &key(1), &claim(2)), HoldAnswer::Held);
    holds.release(now_ms, &key(1), &claim(1));
    let taken = HoldAnswer::Taken { holder: host(0), progress: None };
    assert_eq!(holds.ask(now_ms, &key(1), &claim(3)), taken);
    holds.keep(now_ms, &key(1), &claim(4), KEY_WINDOW_MS);
    holds.release(now_ms, &key(1), &claim(2));
    assert_eq!(holds.ask(now_ms, &key(1), &claim(3)), taken);
}

#[rstest]
#[case::first_run_alone(1, 1, &[], Some(0))]
#[case::restarted_alone(1, 2, &[], None)]
#[case::first_run_hears_some(5, 1, &[1, 2], Some(0))]
#[case::first_run_hears_too_few(5, 1, &[1], None)]
#[case::restarted_hears_enough(5, 2, &[1, 2, 3], Some(START_WAIT_MS.0))]
#[case::restarted_hears_too_few(5, 2, &[1, 2], None)]
#[case::restarted_of_three_hears_one(3, 2, &[1], None)]
#[case::restarted_of_three_hears_both(3, 2, &[1, 2], Some(START_WAIT_MS.0))]
fn votes_after(
    #[case] hosts: usize,
    #[case] incarnation: u64,
    #[case] heard: &[usize],
    #[case] at_ms: Option<u64>,
) {
    let electorate = electorate(0..hosts);
    let mut join = Join::new(Millis::ZERO, Incarnation(incarnation));
    let asked_ms = Millis(at_ms.unwrap_or(START_WAIT_MS.0));
    assert_eq!(join.start_round(asked_ms), Some(1));
    let told =
        |round| StandingClaims { round, part: 0, parts: 1, electorate: vec![], claims: vec![] };
    assert!(!join.wants(&host(1), &told(2)));
    heard.iter().for_each(|&number| join.note_answer(host(number), &told(1)));
    assert_eq!(join.finish(asked_ms, &host(0), &electorate), at_ms.is_some());
    let after_window_ms = KEY_WINDOW_MS + START_WAIT_MS;
    join.finish(after_window_ms, &host(0), &electorate);
    assert_eq!(join.may_vote(), at_ms.is_some() || incarnation > 1);
}

#[test]
fn an_answer_in_parts_counts_when_all_are_here() {
    let mut join = Join::new(Millis::ZERO, Incarnation(1));
    join.start_round(Millis::ZERO);
    let told =
        |part| StandingClaims { round: 1, part, parts: 2, electorate: vec![], claims: vec![] };
    join.note_answer(host(1), &told(1));
    join.note_answer(host(1), &told(1));
    assert!(!join.has_answer_of(&host(1)));
    join.note_answer(host(1), &told(0));
    assert!(join.has_answer_of(&host(1)));
}

#[test]
fn a_pause_takes_the_vote_away() {
    let mut join = Join::new(Millis::ZERO, Incarnation(1));
    assert!(join.finish(Millis::ZERO, &host(0), &electorate(0..1)));
    join.wake(Millis(5000));
    assert_eq!(join.state(), VotingState::Woken);
    assert!(!join.may_tell());
}

#[test]
fn a_peer_makes_no_host_more_recent_than_it_says() {
    let mut electorate = Electorate::default();
    let recent = |age_ms| RecentHost { host: host(1), age_ms };
    electorate.merge(KEY_WINDOW_MS, &[recent(KEY_WINDOW_MS)]);
    assert_eq!(electorate.len(), 0);
    electorate.merge(KEY_WINDOW_MS, &[recent(Millis(1000))]);
    electorate.expire(KEY_WINDOW_MS + KEY_WINDOW_MS - Millis(1001));
    assert_eq!(electorate.len(), 1);
    electorate.expire(KEY_WINDOW_MS + KEY_WINDOW_MS - Millis(1000));
    assert_eq!(electorate.len(), 0);
}

fn yes() -> ClaimVerdict {
    ClaimVerdict::Yes
}

fn taken(progress: Option<KeyProgress>) -> ClaimVerdict {
    ClaimVerdict::Taken { holder: host(1), progress }
}

#[rstest]
#[case::quorum(&[(0, yes()), (1, yes())], 0, Tally::Stands)]
#[case::one_host_twice(&[(0, yes()), (0, yes())], 0, Tally::Open)]
#[case::a_stranger(&[(0, yes()), (7, yes())], 0, Tally::Open)]
#[case::too_late(&[(0, yes()), (1, yes())], CLAIM_TIMEOUT_MS.0, Tally::Unconfirmed)]
#[case::silence(&[(0, yes())], CLAIM_TIMEOUT_MS.0, Tally::Unconfirmed)]
#[case::abstentions(&[(1, ClaimVerdict::Abstains), (2, ClaimVerdict::Abstains)], 0, Tally::Unconfirmed)]
#[case::split(
    &[(0, yes()), (1, taken(Some(KeyProgress::Pending))), (2, taken(None))], 0, Tally::Unconfirmed
)]
#[case::holder_not_heard(&[(0, taken(None)), (2, taken(None))], 0, Tally::Open)]
#[case::holder_silent(
    &[(0, taken(None)), (2, taken(None))], CLAIM_TIMEOUT_MS.0, Tally::Duplicate { progress: None }
)]
#[case::ran(
    &[(0, taken(None)), (1, taken(Some(KeyProgress::Run)))],
    0,
    Tally::Duplicate { progress: Some(KeyProgress::Run) }
)]
fn tallies(#[case] votes: &[(usize, ClaimVerdict)], #[case] at_ms: u64, #[case] expected: Tally) {
    let committee = (0..3).map(host).collect();
    let address = "127.0.0.1:1".parse().unwrap();
    let slot = TakenSlot { upstream: "shop-1".parse().unwrap(), address, rounds: 1.0, lease: None };
    let mut pending = Pending::new(CallId(1), key(1), slot, Millis::ZERO, committee);
    votes.iter().for_each(|(number, verdict)| pending.note(&host(*number), verdict));
    assert_eq!(pending.tally(Millis(at_ms)), expected);
}
