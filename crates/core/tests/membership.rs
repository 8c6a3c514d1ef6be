//! Who belongs to the fleet, who is heard, and whom a host talks to.
#![allow(clippy::unwrap_used)]

mod support;

use decision_core::{
    EntryHost, Event, Heartbeat, HostList, MAX_NEWS_PEERS, PeerMessage, RefusedSender,
    heartbeat_offsets, news_offsets,
};
use domain::{HostId, Incarnation, Millis, Version};
use rstest::rstest;
use std::collections::BTreeSet;
use support::Bench;
use support::pump::{Pump, host_id, host_list};

fn hear(bench: &mut Bench, now_ms: u64, from: usize, run: u64, heartbeat: Heartbeat) {
    let message = PeerMessage::Heartbeat(heartbeat);
    let incarnation = Incarnation(run);
    bench.handle(now_ms, Event::PeerReceived { from: host_id(from), incarnation, message });
}

fn candidates(host: &EntryHost, now_ms: u64) -> Vec<String> {
    let hosts = host.dump().membership.candidates(Millis(now_ms));
    hosts.into_iter().map(HostId::to_string).collect()
}

fn with_list(list: HostList) -> Bench {
    let mut bench = Bench::alone();
    bench.handle(0, Event::HostListRead(Some(list)));
    bench
}

#[rstest]
#[case::newer(host_list(3, 5), 5)]
#[case::older(host_list(1, 5), 2)]
#[case::same_version(host_list(2, 5), 2)]
#[case::names_nobody(HostList { version: Version(3), hosts: vec![] }, 2)]
fn takes_only_a_newer_list(#[case] list: HostList, #[case] listed: usize) {
    let mut bench = with_list(host_list(2, 2));
    bench.handle(1, Event::HostListRead(Some(list)));
    assert_eq!(bench.host.dump().membership.listed_count(), listed);
}

#[rstest]
#[case::listed(2, 1, None)]
#[case::never_listed(7, 1, Some(RefusedSender::NeverListed))]
#[case::own_id(1, 9, Some(RefusedSender::OwnId))]
#[case::no_longer_listed(4, 1, None)]
#[case::earlier_run(3, 4, Some(RefusedSender::EarlierRun))]
fn hears_only_hosts_that_were_listed(
    #[case] from: usize,
    #[case] run: u64,
    #[case] refused: Option<RefusedSender>,
) {
    let mut bench = with_list(host_list(2, 4));
    bench.handle(1, Event::HostListRead(Some(host_list(3, 3))));
    hear(&mut bench, 1, 3, 5, Heartbeat::default());
    hear(&mut bench, 2, from, run, Heartbeat::default());
    for why in [RefusedSender::NeverListed, RefusedSender::OwnId, RefusedSender::EarlierRun] {
        let expected = u64::from(refused == Some(why));
        assert_eq!(bench.host.dump().traffic.refused(why), expected, "{why:?}");
    }
}

#[rstest]
#[case::heard(Heartbeat::default(), 1000, true)]
#[case::silent(Heartbeat::default(), 3000, false)]
#[case::leaving(Heartbeat { leaving: true, ..Heartbeat::default() }, 1000, false)]
fn gives_jobs_to_live_hosts_that_stay(
    #[case] heartbeat: Heartbeat,
    #[case] after_ms: u64,
    #[case] is_candidate: bool,
) {
    let mut bench = with_list(host_list(2, 3));
    hear(&mut bench, 0, 2, 1, heartbeat);
    let expected = if is_candidate { vec!["e1", "e2"] } else { vec!["e1"] };
    assert_eq!(candidates(&bench.host, after_ms), expected);
}

#[test]
fn a_new_run_does_not_inherit_the_old_one_s_leaving() {
    let mut bench = with_list(host_list(2, 2));
    hear(&mut bench, 0, 2, 1, Heartbeat { leaving: true, ..Heartbeat::default() });
    hear(&mut bench, 10, 2, 2, Heartbeat::default());
    hear(&mut bench, 20, 2, 1, Heartbeat { leaving: true, ..Heartbeat::default() });
    assert_eq!(candidates(&bench.host, 30), ["e1", "e2"]);
}

#[test]
fn a_message_from_before_does_not_revive_a_leaving_host() {
    let mut bench = with_list(host_list(2, 2));
    hear(&mut bench, 0, 2, 1, Heartbeat { leaving: true, ..Heartbeat::default() });
    hear(&mut bench, 1, 2, 1, Heartbeat::default());
    assert_eq!(candidates(&bench.host, 2), ["e1"]);
}

#[rstest]
#[case::soon(59_000, Incarnation(5))]
#[case::later(60_000, Incarnation(4))]
fn a_run_that_counts_as_earlier_is_heard_once_the_later_is_long_silent(
    #[case] now_ms: u64,
    #[case] heard: Incarnation,
) {
    let mut bench = with_list(host_list(2, 2));
    hear(&mut bench, 0, 2, 5, Heartbeat::default());
    hear(&mut bench, now_ms, 2, 4, Heartbeat::default());
    let dump = bench.host.dump();
    assert_eq!(dump.membership.peer(&host_id(2)).unwrap().incarnation, heard);
}

#[test]
fn a_list_may_mark_a_host_as_leaving() {
    let mut list = host_list(2, 2);
    list.hosts[1].leaving = true;
    let mut bench = with_list(list);
    hear(&mut bench, 0, 2, 1, Heartbeat::default());
    assert_eq!(candidates(&bench.host, 10), ["e1"]);
}

#[rstest]
#[case::passed_on("000", 2, true)]
#[case::unknown("00-", 2, false)]
#[case::long_ago("00c", 2, false)]
#[case::other_list("000", 1, false)]
#[case::wrong_length("0000", 2, false)]
fn learns_of_hosts_through_others(#[case] ages: &str, #[case] list: u64, #[case] live: bool) {
    let mut bench = with_list(host_list(2, 3));
    (1..=5).for_each(|second| drop(bench.tick(second * 1000)));
    let (list, ages) = (Version(list), ages.to_owned());
    hear(&mut bench, 5000, 2, 1, Heartbeat { list, ages, ..Heartbeat::default() });
    let is_live = bench.host.dump().membership.is_live(Millis(5000), &host_id(3));
    assert_eq!(is_live, live);
}

#[test]
fn what_others_told_before_a_pause_is_not_believed() {
    let mut bench = with_list(host_list(2, 3));
    let (list, ages) = (Version(2), "000".to_owned());
    hear(&mut bench, 60_000, 2, 1, Heartbeat { list, ages, ..Heartbeat::default() });
    assert!(!bench.host.dump().membership.is_live(Millis(60_000), &host_id(3)));
}

#[test]
fn news_reach_everybody_in_few_hops() {
    for peers in 1..=400 {
        let offsets = news_offsets(peers);
        assert!(offsets.len() <= MAX_NEWS_PEERS);
        let mut told = BTreeSet::from([0]);
        let mut hops = 0;
        while told.len() <= peers {
            let reached =
                told.iter().flat_map(|at| offsets.iter().map(move |o| (at + o) % (peers + 1)));
            let reached: BTreeSet<usize> = reached.chain(told.iter().copied()).collect();
            assert!(reached.len() > told.len(), "{peers} peers: {offsets:?} reach no more");
            told = reached;
            hops += 1;
        }
        assert!(hops <= 8, "{peers} peers take {hops} hops");
    }
}

#[test]
fn heartbeats_reach_each_peer_by_turns_within_a_bound_of_bytes() {
    for peers in 1..=400 {
        let count = heartbeat_offsets(peers, 0).len();
        let rounds = peers.div_ceil(count);
        let reached: BTreeSet<usize> =
            (0..=rounds as u64).flat_map(|round| heartbeat_offsets(peers, round)).collect();
        assert_eq!(reached.len(), peers);
        assert!(reached.iter().all(|offset| (1..=peers).contains(offset)));
        assert!(count <= 2 || count * (250 + peers) <= 2500, "{peers} peers: {count} heartbeats");
    }
}

#[rstest]
#[case::today(17)]
#[case::several_times_that(60)]
#[case::many(100)]
fn every_host_knows_who_lives_and_control_stays_small(#[case] count: usize) {
    let mut pump = support::fleet(count, 3);
    pump.kill(2);
    pump.run_for(10_000);
    let before = pump.sent_bytes.clone();
    pump.run_for(10_000);

    let most = pump.sent_bytes.iter().map(|(id, bytes)| (bytes - before[id]) / 10).max();
    println!("{count} hosts: at most {most:?} bytes of messages a second from one host");
    for (id, process) in pump.processes.iter().filter(|(id, _)| **id != host_id(2)) {
        let live = process.host.dump().membership.candidates(pump.now_ms).len();
        assert_eq!(live, count - 1, "{id}");
        let bytes_per_second = (pump.sent_bytes[id] - before[id]) / 10;
        assert!(bytes_per_second < 4000, "{id} sends {bytes_per_second} bytes a second");
    }
}

#[test]
fn a_host_whose_list_service_is_down_learns_the_list_from_peers() {
    let mut pump = Pump::new(5, 4);
    pump.publish_first();
    pump.list_for.insert(host_id(5), None);
    (1..=4).for_each(|number| pump.start(number));
    pump.run_for(3000);
    pump.start(5);
    assert!(pump.run_while(20_000, |pump| !pump.process(5).ready));
    pump.list = host_list(2, 6);
    pump.run_for(3000);
    assert_eq!(pump.process(5).host.dump().membership.listed_count(), 6);
}

#[test]
fn a_paused_host_is_no_candidate_until_it_is_heard_again() {
    let mut pump = support::fleet(5, 5);
    pump.pause(3);
    pump.run_for(5000);
    assert!(!candidates(&pump.process(1).host, pump.now_ms.0).contains(&"e3".to_owned()));
    pump.resume(3);
    pump.run_for(2000);
    assert!(candidates(&pump.process(1).host, pump.now_ms.0).contains(&"e3".to_owned()));
    assert!(pump.process(3).host.dump().pauses.resumed_ms().is_some());
}
