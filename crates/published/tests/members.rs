//! The table of hosts, and the recipients of a broadcast.
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
fn each_run_of_a_host_is_new_once() {
    let mut members = Members::new(member("a", 1));
    assert!(members.record(Millis(1), member("b", 1)));
    assert!(!members.record(Millis(2), member("b", 1)));
    assert!(members.record(Millis(3), member("b", 2)));
    assert!(!members.record(Millis(4), member("b", 1)));
    assert!(!members.record(Millis(5), member("a", 9)));
    assert_eq!(members.count(), 2);
}

#[test]
fn the_exit_of_an_earlier_run_is_ignored() {
    let mut members = Members::new(member("a", 1));
    members.record(Millis(1), member("b", 2));
    assert!(!members.remove_leaving(Millis(10), &"b".parse().unwrap(), Incarnation(1)));
    assert!(members.remove_leaving(Millis(10), &"b".parse().unwrap(), Incarnation(2)));
    assert_eq!(members.count(), 1);
}

#[test]
fn a_silent_host_is_removed_after_a_minute() {
    let mut members = Members::new(member("a", 1));
    members.record(Millis(0), member("b", 1));
    assert!(members.expire(Millis(60_000)).is_empty());
    assert_eq!(members.expire(Millis(60_001)).len(), 1);
}

/// Guards against both sides of a long cut that each spend a shared allowance alone.
#[test]
fn hosts_that_fell_silent_share_allowances_for_two_hours() {
    let mut members = Members::new(member("a", 1));
    members.record(Millis(0), member("b", 1));
    let minute = |minute: u64| Millis(minute * 60_000);
    // Shorter than a suspension of this host.
    (0..=10_000).for_each(|step| drop(members.expire(Millis(step * 100))));
    assert_eq!((members.count(), members.count_with_silent()), (1, 2));
    assert_eq!((members.count_with_silent_in_zone(), members.sharing_count()), (2, 2));
    (10_000..=70_000).for_each(|step| drop(members.expire(Millis(step * 100))));
    assert_eq!(members.count_with_silent(), 2);
    members.expire(minute(200));
    assert_eq!((members.count_with_silent(), members.sharing_count()), (1, 1));
}

#[test]
fn hosts_that_exited_share_what_is_saved_up_for_a_minute() {
    let mut members = Members::new(member("a", 1));
    members.record(Millis(0), member("b", 1));
    members.remove_leaving(Millis(10), &"b".parse().unwrap(), Incarnation(1));
    members.expire(Millis(50_000));
    assert_eq!((members.count_with_silent(), members.sharing_count()), (1, 2));
    members.record(Millis(51_000), member("b", 2));
    assert_eq!((members.count_with_silent(), members.sharing_count()), (2, 2));
    members.remove_leaving(Millis(52_000), &"b".parse().unwrap(), Incarnation(2));
    members.expire(Millis(112_000));
    assert_eq!(members.sharing_count(), 1);
}

#[test]
fn a_new_host_takes_over_the_number_of_hosts_that_share_allowances() {
    let mut members = Members::new(member("a", 1));
    assert!(!members.knows_others());
    members.record_fleet_size(Millis(0), 18);
    members.record(Millis(0), member("b", 1));
    assert!(members.knows_others());
    members.expire(Millis(60_000));
    assert_eq!((members.count(), members.sharing_count()), (2, 18));
}

/// Guards against hosts that start one after another and keep up the size of a fleet that is gone.
#[test]
fn a_stated_number_of_hosts_is_stated_to_others_for_a_minute_only() {
    let mut members = Members::new(member("a", 1));
    members.record_fleet_size(Millis(0), 18);
    members.expire(Millis(59_000));
    assert_eq!((members.sharing_count(), members.stated_sharing_count()), (18, 18));
    members.expire(Millis(61_000));
    assert_eq!((members.sharing_count(), members.stated_sharing_count()), (18, 1));
}

/// A host that was suspended for a minute received nothing, but its peers are alive.
#[test]
fn time_in_which_this_host_was_suspended_removes_nobody() {
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
fn all_hosts_agree_on_the_order_of_readers() {
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
fn hosts_that_start_together_have_different_seeds() {
    let seeds = [("a", 1), ("b", 1), ("a", 2)].map(|(name, run)| member(name, run).seed());
    assert_ne!(seeds[0], seeds[1], "two hosts");
    assert_ne!(seeds[0], seeds[2], "two runs of one host");
    assert_eq!(seeds[0], member("a", 1).seed());
}

/// A host in a zone; its number is the port of its address.
fn in_zone(zone: &str, number: u16) -> Member {
    Member {
        host: format!("{zone}-{number}").parse().unwrap(),
        incarnation: Incarnation(1),
        availability_zone: zone.parse().unwrap(),
        address: SocketAddr::new([127, 0, 0, 1].into(), number),
        capacity: Capacity::default(),
    }
}

/// A reader in zone `a` that knows a number of other hosts in each zone.
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

fn relays(recipients: &[Recipient]) -> Vec<SocketAddr> {
    let mut relays: Vec<SocketAddr> = recipients
        .iter()
        .filter(|recipient| recipient.should_relay)
        .map(|recipient| recipient.address)
        .collect();
    relays.sort();
    relays
}

#[rstest]
#[case::the_local_zone_directly(&[("a", 5)], 5, 0)]
#[case::other_zones_through_two_relays(&[("a", 5), ("b", 40), ("c", 40)], 9, 4)]
#[case::two_hosts_need_no_relay(&[("b", 2), ("c", 1)], 3, 0)]
#[case::no_other_host(&[], 0, 0)]
fn a_broadcast_goes_to_the_local_zone_and_to_relays_of_others(
    #[case] zones: &[(&str, u16)],
    #[case] expected_recipients: usize,
    #[case] expected_relays: usize,
) {
    let recipients = reader(zones).recipients(Millis(10));
    assert_eq!(
        (recipients.len(), relays(&recipients).len()),
        (expected_recipients, expected_relays),
        "{recipients:?}"
    );
}

#[test]
fn a_relay_is_replaced_until_it_responds() {
    let mut members = reader(&[("b", 5)]);
    let first = relays(&members.recipients(Millis(0)));
    assert_eq!(relays(&members.recipients(Millis(120))), first, "it had no time to respond");
    let silent = members.host_at(first[0]).unwrap().clone();
    let responding = members.host_at(first[1]).unwrap().clone();
    members.record_response(&responding);
    let second = relays(&members.recipients(Millis(700)));
    assert!(!second.contains(&first[0]) && second.contains(&first[1]), "{first:?}, {second:?}");
    members.record_response(&silent);
    members.record_response(&responding);
    assert_eq!(relays(&members.recipients(Millis(800))), first);
}

#[test]
fn silent_relays_are_still_used_if_all_are_silent() {
    let mut members = reader(&[("b", 3)]);
    for round in 0..6 {
        assert_eq!(relays(&members.recipients(Millis(round * 700))).len(), 2, "round {round}");
    }
}

#[test]
fn failed_reads_before_a_successful_one_do_not_count() {
    let mut members = reader(&[("a", 8)]);
    let hosts: Vec<_> = members.others().map(|member| member.host.clone()).collect();
    for host in &hosts[..6] {
        members.record_failed_read(Millis(1_000), host);
    }
    assert_eq!(members.failed_readers(Millis(1_100), None), 6);
    // Another host could read, so the source is available.
    members.record_read(Millis(1_200), &hosts[7]);
    assert_eq!(members.failed_readers(Millis(1_300), None), 0);
    members.record_failed_read(Millis(1_400), &hosts[0]);
    assert_eq!(members.failed_readers(Millis(1_500), None), 1);
    assert_eq!(members.failed_readers(Millis(3_500), None), 0, "too long ago");
}

/// It serves on for some seconds, and would read the source itself without updates.
#[rstest]
#[case::serves_on(2_000, true)]
#[case::its_process_has_ended(9_000, false)]
fn a_leaving_host_still_gets_updates_for_a_while(
    #[case] later_ms: u64,
    #[case] is_recipient: bool,
) {
    let mut members = reader(&[("a", 3), ("b", 4)]);
    let left = members.others().find(|member| member.host.as_str() == "a-2").cloned().unwrap();
    assert!(members.remove_leaving(Millis(1_000), &left.host, left.incarnation));
    let now_ms = Millis(1_000 + later_ms);
    // Peers that do not know of its exit still list it.
    members.record(now_ms, left.clone());
    members.expire(now_ms);
    let is_found = members.recipients(now_ms).iter().any(|it| it.address == left.address);
    assert_eq!(is_found, is_recipient);
    let counts = members.others().any(|member| member.host == left.host);
    assert!(!(is_recipient && counts), "it is no member");
    let run = Member { incarnation: Incarnation(2), ..left.clone() };
    assert!(members.record(now_ms, run), "a new run is a member again");
    assert_eq!(members.leaving_local_zone_peers().count(), 0);
}

#[test]
fn a_relay_forwards_updates_to_leaving_hosts() {
    let mut gossip = Gossip::new(in_zone("b", 5_000), Pcg64Mcg::seed_from_u64(1));
    let sender = SocketAddr::new([127, 0, 0, 1].into(), 1);
    let hello = |from: Member| Message::Hello { from, kind: HelloKind::Alive, members_digest: 0 };
    for member in [in_zone("b", 5_001), in_zone("b", 5_002), in_zone("a", 1)] {
        gossip.handle_message(Millis(10), hello(member), sender);
    }
    let left = in_zone("b", 5_001);
    let leave = Message::Leave { host: left.host.clone(), incarnation: left.incarnation };
    gossip.handle_message(Millis(20), leave, sender);
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
    let relayed_to = effects.iter().find_map(|effect| match effect {
        Effect::Send { message: Message::StateUpdate { .. }, to } => Some(to.clone()),
        _ => None,
    });
    assert!(relayed_to.unwrap().contains(&left.address));
}

#[test]
fn local_zone_peers_are_the_other_hosts_of_the_own_zone() {
    assert_eq!(reader(&[("a", 3), ("b", 4)]).local_zone_peers().len(), 3);
}

/// A small host reads for the whole fleet: it sends each update to a hundred others, its own reads time
/// out meanwhile, and many others read in its place.
#[rstest]
fn hosts_of_the_greatest_capacity_read_and_relay(#[values(20, 600, 3_000)] hosts: usize) {
    const ZONES: [&str; 5] = ["kariakoo", "msasani", "temeke", "mikocheni", "ubungo"];
    let is_large = |number: usize| number.is_multiple_of(30);
    let at = |number: usize| Member {
        availability_zone: ZONES[(number / 30 + number) % ZONES.len()].parse().unwrap(),
        address: format!("10.{}.{}.1:7001", number / 250, number % 250).parse().unwrap(),
        capacity: match is_large(number) {
            true => Capacity { link_mbps: 200, cpu_percent: 50 },
            false => Capacity { link_mbps: 20, cpu_percent: 10 },
        },
        ..member(&format!("front-{number}"), 1)
    };
    let table_of = |own: usize| {
        let mut members = Members::new(at(own));
        for number in (0..hosts).filter(|number| *number != own) {
            members.record(Millis(1), at(number));
        }
        members
    };
    let large = (0..hosts).filter(|number| is_large(*number)).count();
    for number in [0, 1, 7, 15].into_iter().filter(|number| *number < hosts) {
        assert_eq!(table_of(number).reader_rank() < large, is_large(number), "{number}");
    }
    let recipients = table_of(0).recipients(Millis(2));
    let is_large_at = |address| (0..hosts).any(|n| is_large(n) && at(n).address == address);
    let relays = recipients.iter().filter(|recipient| recipient.should_relay);
    let large_relays = relays.clone().filter(|relay| is_large_at(relay.address)).count();
    // Two in each other zone, one of them large if the zone has any.
    let zones = ZONES.len() - 1;
    assert_eq!(relays.count(), 2 * zones);
    assert_eq!(large_relays >= zones, hosts >= 600, "{large_relays}");
}

/// A host that returns with another capacity keeps its former place among readers.
#[test]
fn a_new_run_has_the_weight_of_its_capacity() {
    let mut members = Members::new(member("a", 1));
    let large = Capacity { link_mbps: 200, cpu_percent: 50 };
    members.record(Millis(1), Member { capacity: large, ..member("b", 1) });
    assert_eq!(members.reader_rank(), 1);
    let own = Member { capacity: Capacity { link_mbps: 20, cpu_percent: 10 }, ..member("a", 1) };
    let mut members = Members::new(own);
    members.record(Millis(1), Member { capacity: large, ..member("b", 1) });
    assert_eq!(members.reader_rank(), 1);
    members.record(Millis(2), member("b", 2));
    assert_eq!(members.reader_rank(), 0);
}
