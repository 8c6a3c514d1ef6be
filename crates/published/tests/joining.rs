//! A host that has just started gets what it needs to serve, and the hosts to fetch the rest from.
#![allow(clippy::unwrap_used)]

mod support;

use domain::{Incarnation, Millis};
use published::{
    Bootstrap, Capacity, Change, Effect, Gossip, Member, Message, Revision, Snapshot, UpstreamMode,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use std::net::SocketAddr;
use support::{draining, routing, snapshot, written};

const NOW: Millis = Millis(5_000);

fn member(number: u16) -> Member {
    Member {
        host: format!("host-{number}").parse().unwrap(),
        incarnation: Incarnation(1),
        availability_zone: "kariakoo".parse().unwrap(),
        address: SocketAddr::new([127, 0, (number >> 8) as u8, number as u8].into(), 7_000),
        capacity: Capacity { link_mbps: if number == 200 { 200 } else { 20 }, cpu_percent: 10 },
    }
}

fn host(number: u16) -> Gossip {
    Gossip::new(member(number), Pcg64Mcg::seed_from_u64(u64::from(number)))
}

/// A snapshot of a routing and a number of upstreams.
fn published(upstreams: u64) -> Snapshot {
    let items = std::iter::once(routing(1, 1))
        .chain((0..upstreams).map(|n| written(n + 2, &format!("i-{n}"))));
    snapshot(upstreams + 1, items.collect::<Vec<Change>>())
}

fn seed(upstreams: u64) -> Gossip {
    let mut seed = host(1);
    seed.apply_snapshot(NOW, published(upstreams));
    seed
}

fn join(seed: &mut Gossip, number: u16, at_ms: Millis) -> Option<Bootstrap> {
    let from = member(number);
    let sender = from.address;
    reply_to(
        number,
        &seed.handle_message(at_ms, Message::Join { from, is_redirected: false }, sender),
    )
}

fn reply_to(number: u16, effects: &[Effect]) -> Option<Bootstrap> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send { message: Message::JoinReply(reply), to }
            if to.contains(&member(number).address) =>
        {
            Some(reply.bootstrap.clone())
        }
        _ => None,
    })
}

fn receive_reply(joining: &mut Gossip, from: u16, bootstrap: Bootstrap) -> Vec<Effect> {
    let reply = published::JoinReply { from: member(from), host_count: 9, bootstrap };
    joining.handle_message(NOW, Message::JoinReply(Box::new(reply)), member(from).address)
}

#[rstest]
#[case::none(0, true, 0)]
#[case::few(34, true, 34)]
#[case::many_and_all_in_the_local_zone(1_080, false, 5)]
fn a_joining_host_gets_everything_or_a_part_to_serve_with(
    #[case] upstreams: u64,
    #[case] is_complete: bool,
    #[case] upstream_count: usize,
) {
    let bootstrap = join(&mut seed(upstreams), 2, NOW).unwrap();
    let mut joining = host(2);
    receive_reply(&mut joining, 1, bootstrap);
    assert!(joining.published_state().routing().is_some());
    assert_eq!(joining.published_state().confirmed_ms().is_some(), is_complete);
    assert_eq!(joining.published_state().is_partial(), !is_complete);
    assert_eq!(joining.published_state().upstreams().count(), upstream_count);
    assert_eq!(joining.members().count(), 9, "the fleet that the seed knows");
}

#[test]
fn hosts_get_different_upstreams_and_no_draining_ones() {
    let mut seed = seed(200);
    let leaving: Vec<Change> = (0..100).map(|n| draining(n + 300, &format!("i-{n}"))).collect();
    seed.apply_changes(NOW, Revision(201), Revision(400), &leaving);
    let upstreams_in = |bootstrap: Bootstrap| match bootstrap {
        Bootstrap::Partial { snapshot: first, .. } => {
            let mut joining = published::PublishedState::default();
            joining.apply_bootstrap(NOW, first);
            assert!(joining.upstreams().all(|entry| entry.value.mode == UpstreamMode::Ready));
            let mut ids: Vec<String> =
                joining.upstreams().map(|entry| entry.value.id.to_string()).collect();
            ids.sort();
            ids
        }
        bootstrap => panic!("{bootstrap:?}"),
    };
    let first = upstreams_in(join(&mut seed, 2, NOW).unwrap());
    let second = upstreams_in(join(&mut seed, 3, NOW).unwrap());
    assert_ne!(first, second);
}

#[test]
fn a_joining_host_learns_that_no_routing_is_published() {
    let mut seed = host(1);
    seed.apply_snapshot(NOW, snapshot(1, Vec::new()));
    let bootstrap = join(&mut seed, 2, NOW).unwrap();
    let mut joining = host(2);
    receive_reply(&mut joining, 1, bootstrap);
    assert!(
        joining.published_state().confirmed_ms().is_some(),
        "it need not read the source itself"
    );
}

#[test]
fn a_joining_host_waits_for_a_seed_that_reads_and_gets_its_answer() {
    let mut seed = host(1);
    seed.set_initial_read(true);
    let bootstrap = join(&mut seed, 2, NOW).unwrap();
    assert_eq!(bootstrap, Bootstrap::NotReady { is_reading: true });
    let mut joining = host(2);
    receive_reply(&mut joining, 1, bootstrap);
    assert!(joining.is_bootstrap_pending(NOW + Millis(500)));
    assert!(!joining.is_bootstrap_pending(NOW + Millis(1_000)), "the wait ends");
    let effects = seed.apply_snapshot(NOW + Millis(100), published(34));
    assert!(matches!(reply_to(2, &effects), Some(Bootstrap::Complete(_))));
}

#[test]
fn a_seed_answers_joins_after_its_first_page() {
    let mut seed = host(1);
    seed.set_initial_read(true);
    join(&mut seed, 2, NOW);
    let effects = seed.apply_partial_items(NOW, published(499).items);
    assert!(matches!(reply_to(2, &effects), Some(Bootstrap::Partial { .. })));
}

#[test]
fn two_hosts_that_read_do_not_wait_for_each_other() {
    let mut pair = [host(1), host(2)];
    for one in &mut pair {
        one.set_initial_read(true);
        one.apply_partial_items(NOW, published(499).items);
    }
    let [first, second] = &mut pair;
    let to_second = join(first, 2, NOW).unwrap();
    let to_first = join(second, 1, NOW).unwrap();
    receive_reply(second, 1, to_second);
    receive_reply(first, 2, to_first);
    assert!(!first.is_bootstrap_pending(NOW) && !second.is_bootstrap_pending(NOW));
}

#[test]
fn the_most_capable_hosts_are_answered_first_and_answer_others() {
    let mut seed = host(1);
    for number in 100..300 {
        join(&mut seed, number, NOW);
    }
    let mut effects = seed.apply_snapshot(NOW, published(1_000));
    assert!(effects.len() < 20, "not all answers are sent at once");
    while let Some(Effect::AnswerPendingJoins { .. }) =
        effects.iter().rfind(|effect| matches!(effect, Effect::AnswerPendingJoins { .. }))
    {
        effects.retain(|effect| !matches!(effect, Effect::AnswerPendingJoins { .. }));
        effects.extend(seed.answer_pending_joins(NOW));
    }
    let position = |wanted: u16| {
        let to = member(wanted).address;
        let is_to = |effect: &Effect| matches!(effect, Effect::Send { message: Message::JoinReply(_), to: all } if all.contains(&to));
        effects.iter().position(is_to).unwrap()
    };
    assert!((100..300).all(|number| number == 200 || position(200) < position(number)));
    let answered_directly = (100..300)
        .filter(|&number| matches!(reply_to(number, &effects), Some(Bootstrap::Partial { .. })));
    assert_eq!(answered_directly.count(), 32, "the others are redirected");
    let redirected = (100..300).filter(|&number| {
        matches!(reply_to(number, &effects), Some(Bootstrap::Redirect { to }) if to != member(1).address)
    });
    assert_eq!(redirected.count(), 168);
}

#[test]
fn a_repeated_join_is_ignored_for_a_moment() {
    let mut seed = seed(1_000);
    assert!(join(&mut seed, 2, NOW).is_some());
    assert!(join(&mut seed, 2, NOW + Millis(40)).is_none());
    assert!(join(&mut seed, 2, NOW + Millis(400)).is_some(), "the first answer may have been lost");
}

#[test]
fn joined_hosts_are_announced_once_in_one_message() {
    let mut seed = seed(10);
    for number in 2..22 {
        join(&mut seed, number, NOW);
    }
    let announced = |effects: Vec<Effect>| -> Vec<usize> {
        let of = |effect: Effect| match effect {
            Effect::Send { message: Message::Members { members, .. }, .. } => Some(members.len()),
            _ => None,
        };
        effects.into_iter().filter_map(of).collect()
    };
    assert_eq!(announced(seed.announce_joined(NOW)), [20]);
    assert!(announced(seed.announce_joined(NOW)).is_empty());
    for number in 30..130 {
        join(&mut seed, number, NOW);
    }
    assert!(
        announced(seed.announce_joined(NOW)).is_empty(),
        "their member lists come with the full snapshot"
    );
    let from = member(400);
    let sender = from.address;
    seed.handle_message(NOW, Message::Join { from, is_redirected: true }, sender);
    assert!(announced(seed.announce_joined(NOW)).is_empty(), "it belongs to a large group");
}

#[test]
fn the_full_snapshot_is_distributed_in_a_tree() {
    let mut seed = seed(1_000);
    let mut replies = Vec::new();
    for number in 2..34 {
        let Some(Bootstrap::Partial { rest_from, after_ms, .. }) = join(&mut seed, number, NOW)
        else {
            panic!("host {number}");
        };
        replies.push((number, rest_from, after_ms));
    }
    let own = member(1).address;
    let at_seed = replies.iter().filter(|(_, from, _)| from[0] == own).count();
    assert_eq!(at_seed, 1, "the seed sends one copy to the zone");
    for (number, from, after_ms) in &replies {
        let parent = replies.iter().find(|(other, ..)| member(*other).address == from[0]);
        let is_after =
            parent.is_none_or(|(other, _, earlier_ms)| other < number && earlier_ms < after_ms);
        assert!(is_after, "host {number} fetches from {from:?} after {after_ms}");
    }
}

#[test]
fn a_redirected_host_is_not_redirected_again() {
    let mut seed = seed(1_000);
    for number in 2..90 {
        join(&mut seed, number, NOW);
    }
    assert!(matches!(join(&mut seed, 90, NOW), Some(Bootstrap::Redirect { .. })));
    let from = member(91);
    let sender = from.address;
    let effects = seed.handle_message(NOW, Message::Join { from, is_redirected: true }, sender);
    assert!(matches!(reply_to(91, &effects), Some(Bootstrap::Partial { .. })));
}

#[test]
fn a_seed_with_a_fast_link_answers_more_hosts_itself() {
    let own = Member { capacity: Capacity { link_mbps: 200, cpu_percent: 50 }, ..member(1) };
    let mut seed = Gossip::new(own, Pcg64Mcg::seed_from_u64(1));
    seed.apply_snapshot(NOW, published(1_000));
    let answers = (2..402).filter_map(|number| join(&mut seed, number, NOW));
    let answered = answers.filter(|answer| matches!(answer, Bootstrap::Partial { .. }));
    assert_eq!(answered.count(), 320);
}
