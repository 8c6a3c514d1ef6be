//! The hosts heard of.
#![allow(clippy::unwrap_used)]

use domain::{Incarnation, Millis};
use published::{
    Capacity, Effect, Gossip, HelloKind, Member, Members, Message, Recipient, Revision, StateUpdate,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use std::net::SocketAddr;

fn member(name: &str, incarnation: u64) -> Member {
    Member {
        host: name.parse().unwrap(),
        incarnation: Incarnation(incarnation),
        availability_zone: "kariakoo".parse().unwrap(),
        address: "127.0.0.1:7000".parse().unwrap(),
        capacity: Capacity::default(),
    }
}

#[test]
fn a_host_is_news_once_in_each_run() {
    let mut members = Members::new(member("a", 1));
    assert!(members.record(Millis(1), member("b", 1)));
    assert!(!members.record(Millis(2), member("b", 1)));
    assert!(members.record(Millis(3), member("b", 2)));
    assert!(!members.record(Millis(4), member("b", 1)));
    assert!(!members.record(Millis(5), member("a", 9)));
    assert_eq!(members.count(), 2);
}

#[test]
fn a_farewell_of_an_earlier_run_is_ignored() {
    let mut members = Members::new(member("a", 1));
    members.record(Millis(1), member("b", 2));
    assert!(!members.remove_leaving(Millis(10), &"b".parse().unwrap(), Incarnation(1)));
    assert!(members.remove_leaving(Millis(10), &"b".parse().unwrap(), Incarnation(2)));
    assert_eq!(members.count(), 1);
}

#[test]
fn a_silent_host_counts_for_a_long_time() {
    let mut members = Members::new(member("a", 1));
    members.record(Millis(0), member("b", 1));
    assert!(members.expire(Millis(60_000)).is_empty());
    assert_eq!(members.expire(Millis(60_001)).len(), 1);
}

/// A host that was suspended for a minute did not hear its peers, and they are there.
#[test]
fn nobody_is_forgotten_for_the_time_in_which_this_host_stood_still() {
    let mut members = Members::new(member("a", 1));
    members.record(Millis(0), member("b", 1));
    assert!(members.expire(Millis(500)).is_empty());
    assert!(members.expire(Millis(120_000)).is_empty());
    for now in (120_500..=179_500).step_by(500) {
        assert!(members.expire(Millis(now)).is_empty(), "{now}");
    }
    assert_eq!(members.expire(Millis(180_000)).len(), 1);
}

#[test]
fn equal_sets_have_equal_digests() {
    let mut a = Members::new(member("a", 1));
    let mut b = Members::new(member("b", 1));
    assert_ne!(a.digest(), b.digest());
    a.record(Millis(1), member("b", 1));
    b.record(Millis(1), member("a", 1));
    assert_eq!(a.digest(), b.digest());
    b.record(Millis(2), member("a", 2));
    assert_ne!(a.digest(), b.digest());
}

#[test]
fn readers_rank_alike_for_all() {
    let names = ["a", "b", "c", "d"];
    let mut ranks: Vec<usize> = names
        .iter()
        .map(|own| {
            let mut members = Members::new(member(own, 1));
            for other in names {
                members.record(Millis(1), member(other, 1));
            }
            members.reader_rank()
        })
        .collect();
    ranks.sort_unstable();
    assert_eq!(ranks, [0, 1, 2, 3]);
}

#[test]
fn hosts_that_start_at_the_same_moment_draw_differently() {
    let seeds = [("a", 1), ("b", 1), ("a", 2)].map(|(name, run)| member(name, run).seed());
    assert_ne!(seeds[0], seeds[1], "two hosts");
    assert_ne!(seeds[0], seeds[2], "two runs of one host");
    assert_eq!(seeds[0], member("a", 1).seed());
}

/// A host in one of the zones; its number is its address's port.
fn in_zone(zone: &str, number: u16) -> Member {
    Member {
        host: format!("{zone}-{number}").parse().unwrap(),
        incarnation: Incarnation(1),
        availability_zone: zone.parse().unwrap(),
        address: SocketAddr::new([127, 0, 0, 1].into(), number),
        capacity: Capacity::default(),
    }
}

/// A reader in the zone `a` that knows so many others of each zone.
fn reader(zones: &[(&str, u16)]) -> Members {
    let mut members = Members::new(in_zone("a", 1));
    let begin = |zone: &str| 1_000 * u16::from(zone.as_bytes()[0] - b'a') + 2;
    for &(zone, hosts) in zones {
        for number in 0..hosts {
            members.record(Millis::ZERO, in_zone(zone, begin(zone) + number));
        }
    }
    members
}

fn relays(told: &[Recipient]) -> Vec<SocketAddr> {
    let mut relays: Vec<SocketAddr> =
        told.iter().filter(|listener| listener.should_relay).map(|l| l.address).collect();
    relays.sort();
    relays
}

#[rstest]
#[case::its_own_zone_itself(&[("a", 5)], 5, 0)]
#[case::others_through_two(&[("a", 5), ("b", 40), ("c", 40)], 9, 4)]
#[case::two_hosts_need_no_relay(&[("b", 2), ("c", 1)], 3, 0)]
#[case::nobody(&[], 0, 0)]
fn a_reader_tells_its_zone_and_a_few_of_others(
    #[case] zones: &[(&str, u16)],
    #[case] told: usize,
    #[case] passing_on: usize,
) {
    let listeners = reader(zones).recipients(Millis(10));
    assert_eq!((listeners.len(), relays(&listeners).len()), (told, passing_on), "{listeners:?}");
}

#[test]
fn a_relay_that_does_not_answer_is_replaced_until_it_is_heard() {
    let mut members = reader(&[("b", 5)]);
    let first = relays(&members.recipients(Millis(0)));
    assert_eq!(relays(&members.recipients(Millis(120))), first, "it had no time to answer");
    let silent = members.host_at(first[0]).unwrap().clone();
    let sound = members.host_at(first[1]).unwrap().clone();
    members.record_response(&sound);
    let second = relays(&members.recipients(Millis(700)));
    assert!(!second.contains(&first[0]) && second.contains(&first[1]), "{first:?}, {second:?}");
    members.record_response(&silent);
    members.record_response(&sound);
    assert_eq!(relays(&members.recipients(Millis(800))), first);
}

#[test]
fn where_all_relays_are_silent_some_are_told_all_the_same() {
    let mut members = reader(&[("b", 3)]);
    for round in 0..6 {
        assert_eq!(relays(&members.recipients(Millis(round * 700))).len(), 2, "round {round}");
    }
}

#[test]
fn failures_before_a_reading_count_no_more() {
    let mut members = reader(&[("a", 8)]);
    let hosts: Vec<_> = members.others().map(|member| member.host.clone()).collect();
    for host in &hosts[..6] {
        members.record_failed_read(Millis(1_000), host);
    }
    assert_eq!(members.failed_readers(Millis(1_100)), 6);
    // A host behind a narrow link could not read, another could: the source is there.
    members.record_read(Millis(1_200), &hosts[7]);
    assert_eq!(members.failed_readers(Millis(1_300)), 0);
    members.record_failed_read(Millis(1_400), &hosts[0]);
    assert_eq!(members.failed_readers(Millis(1_500)), 1);
    assert_eq!(members.failed_readers(Millis(3_500)), 0, "it is long ago");
}

/// It serves on for some seconds and is told what is read meanwhile; else it would read by itself.
#[rstest]
#[case::serves_on(2_000, true)]
#[case::its_process_has_ended(9_000, false)]
fn a_host_that_said_farewell_is_told_for_a_while(#[case] later_ms: u64, #[case] is_told: bool) {
    let mut members = reader(&[("a", 3), ("b", 4)]);
    let left = members.others().find(|member| member.host.as_str() == "a-2").cloned().unwrap();
    assert!(members.remove_leaving(Millis(1_000), &left.host, left.incarnation));
    let now_ms = Millis(1_000 + later_ms);
    // Others who have not heard of it still tell of it.
    members.record(now_ms, left.clone());
    members.expire(now_ms);
    let told = members.recipients(now_ms).iter().any(|it| it.address == left.address);
    assert_eq!(told, is_told);
    let counts = members.others().any(|member| member.host == left.host);
    assert!(!(is_told && counts), "it counts for nothing else");
    let run = Member { incarnation: Incarnation(2), ..left.clone() };
    assert!(members.record(now_ms, run), "it is back in a new run");
    assert_eq!(members.leaving_local_zone_peers().count(), 0);
}

/// A relay passes news on to those that leave its zone.
#[test]
fn a_relay_tells_those_that_leave() {
    let mut gossip = Gossip::new(in_zone("b", 5_000), Pcg64Mcg::seed_from_u64(1));
    let sender = SocketAddr::new([127, 0, 0, 1].into(), 1);
    let hello = |from: Member| Message::Hello { from, kind: HelloKind::Alive, members_digest: 0 };
    for member in [in_zone("b", 5_001), in_zone("b", 5_002), in_zone("a", 1)] {
        gossip.handle_message(Millis(10), hello(member), sender);
    }
    let left = in_zone("b", 5_001);
    let bye = Message::Leave { host: left.host.clone(), incarnation: left.incarnation };
    gossip.handle_message(Millis(20), bye, sender);
    let update = StateUpdate {
        reader: in_zone("a", 1),
        revision: Revision(0),
        age_ms: Millis::ZERO,
        digest: gossip.published_state().digest(),
        after: Revision(0),
        changes: Some(Vec::new()),
    };
    let effects = gossip.handle_message(
        Millis(30),
        Message::StateUpdate { update, should_relay: true },
        sender,
    );
    let pending_update = effects.iter().find_map(|effect| match effect {
        Effect::Send { message: Message::StateUpdate { .. }, to } => Some(to.clone()),
        _ => None,
    });
    assert!(pending_update.unwrap().contains(&left.address));
}

#[test]
fn neighbours_are_the_others_of_the_own_zone() {
    assert_eq!(reader(&[("a", 3), ("b", 4)]).local_zone_peers().len(), 3);
}
