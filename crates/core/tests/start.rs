//! A host that starts never puts in force what is older than its peers have.
#![allow(clippy::unwrap_used)]

mod support;

use decision_core::{
    Action, ConfigKey, EntryHost, Event, Heartbeat, PeerMessage, PublishedValue, ReadOutcome,
    StartLimits, VersionPair,
};
use domain::{Incarnation, Millis, Version};
use rstest::rstest;
use support::configs::{BROKEN, EMPTY, pair};
use support::pump::{MakeHost, Pump, host_id, host_list};
use support::{BASE, Bench, fleet};

/// As in the product.
const AS_IS: MakeHost = EntryHost::new;
/// A host that asks nobody: each test below must notice.
const ASKS_NOBODY: MakeHost = |settings, seed, now_ms| {
    let limits =
        StartLimits { majority_start_after_ms: Millis::ZERO, lone_start_after_ms: Millis::ZERO };
    EntryHost::new(settings, seed, now_ms).with_start_limits(limits)
};

fn stale_for(pump: &mut Pump, number: usize, version: u64) {
    pump.service.stale_for.insert((host_id(number), ConfigKey::Base), Version(version));
}

/// All have version 2; host 1 is restarted where the service still tells version 1.
fn restart_at_a_stale_reader(make_host: MakeHost) -> Pump {
    let mut pump = fleet(5, 1);
    pump.make_host = make_host;
    pump.publish(ConfigKey::Base, 2, BASE);
    pump.run_for(3000);
    stale_for(&mut pump, 1, 1);
    pump.kill(1);
    pump.run_for(1000);
    pump.start(1);
    pump.run_for(10_000);
    pump
}

#[rstest]
#[case::as_is(AS_IS, false)]
#[case::broken_variant(ASKS_NOBODY, true)]
fn a_restart_at_a_stale_reader(#[case] make_host: MakeHost, #[case] reverts: bool) {
    let pump = restart_at_a_stale_reader(make_host);
    assert_eq!(pump.reverted().is_some(), reverts);
    assert_eq!(pump.process(1).host.versions(), pair(2, 0));
    assert!(pump.process(1).ready);
}

/// A fault that stands while one host of five is restarted.
#[derive(Debug, Clone, Copy)]
enum Fault {
    ServiceDown,
    ServiceStaleEverywhere,
    OneListedHostDead,
    LossyNetwork,
    ListDown,
}

#[rstest]
#[case::service_down(Fault::ServiceDown, 1000)]
#[case::service_stale(Fault::ServiceStaleEverywhere, 1000)]
#[case::one_dead(Fault::OneListedHostDead, 2000)]
#[case::lossy(Fault::LossyNetwork, 10_000)]
#[case::list_down(Fault::ListDown, 20_000)]
fn a_restart_gets_the_version_of_its_peers(#[case] fault: Fault, #[case] within_ms: u64) {
    let mut pump = fleet(5, 2);
    pump.publish(ConfigKey::Base, 2, BASE);
    pump.run_for(3000);
    match fault {
        Fault::ServiceDown => pump.service.down_for = (1..=5).map(host_id).collect(),
        Fault::ServiceStaleEverywhere => (1..=5).for_each(|n| stale_for(&mut pump, n, 1)),
        Fault::OneListedHostDead => pump.kill(4),
        Fault::LossyNetwork => (pump.network.lost_percent, pump.network.doubled_percent) = (30, 30),
        Fault::ListDown => drop(pump.list_for.insert(host_id(1), None)),
    }
    pump.kill(1);
    pump.start(1);
    assert!(pump.run_while(within_ms, |pump| !pump.process(1).ready));
    assert_eq!(pump.process(1).host.versions(), pair(2, 0));
    assert_eq!(pump.reverted(), None);
}

#[rstest]
#[case::all_up(&[1, 2, 3, 4, 5], 0, 1000)]
#[case::one_dead(&[1, 2, 3, 4], 4500, 5500)]
#[case::most_dead(&[1, 2], 29_500, 30_500)]
#[case::alone(&[1], 29_500, 30_500)]
fn a_cold_start_waits_as_long_as_hosts_are_missing(
    #[case] started: &[usize],
    #[case] not_before_ms: u64,
    #[case] by_ms: u64,
) {
    let mut pump = Pump::new(5, 3);
    pump.publish_first();
    started.iter().for_each(|&number| pump.start(number));
    pump.run_for(not_before_ms);
    assert!(started.iter().all(|&number| !pump.process(number).ready));
    pump.run_for(by_ms - not_before_ms);
    assert!(started.iter().all(|&number| pump.process(number).ready));
}

#[test]
fn a_cold_start_takes_the_newest_that_any_reader_is_told() {
    let mut pump = Pump::new(5, 4);
    pump.publish_first();
    pump.publish(ConfigKey::Base, 2, BASE);
    (2..=5).for_each(|number| stale_for(&mut pump, number, 1));
    pump.start_all();
    pump.run_for(10_000);
    assert_eq!(pump.reverted(), None);
    for process in pump.processes.values() {
        assert_eq!(process.host.versions(), pair(2, 0));
    }
}

#[test]
fn a_cold_start_with_the_service_down_ends_when_it_is_back() {
    let mut pump = Pump::new(5, 5);
    pump.publish_first();
    pump.service.down_for = (1..=5).map(host_id).collect();
    pump.start_all();
    pump.run_for(60_000);
    assert!(pump.processes.values().all(|process| !process.ready));
    pump.service.down_for.remove(&host_id(2));
    assert!(pump.run_while(6000, |pump| pump.processes.values().any(|process| !process.ready)));
}

#[test]
fn on_the_smaller_side_of_a_cut_a_start_waits_then_takes_what_is_there() {
    let mut pump = fleet(5, 6);
    pump.cut(&[1, 2], &[3, 4, 5]);
    pump.service.down_for = [host_id(1), host_id(2)].into();
    pump.publish(ConfigKey::Base, 2, BASE);
    pump.run_for(5000);
    pump.kill(1);
    pump.start(1);
    pump.run_for(29_000);
    assert!(!pump.process(1).ready);
    pump.run_for(2000);
    assert!(pump.process(1).ready);
    assert_eq!(pump.process(1).host.versions(), pair(1, 0));
    pump.heal();
    pump.run_for(5000);
    assert_eq!(pump.process(1).host.versions(), pair(2, 0));
    assert_eq!(pump.reverted(), None);
}

#[test]
fn a_bad_version_does_not_keep_a_host_from_starting_with_its_peers_one() {
    let mut pump = fleet(3, 7);
    pump.publish(ConfigKey::Base, 2, BROKEN);
    pump.run_for(3000);
    pump.kill(1);
    pump.start(1);
    assert!(pump.run_while(3000, |pump| !pump.process(1).ready));
    assert_eq!(pump.process(1).host.versions(), pair(1, 0));
    assert_eq!(pump.process(1).host.dump().rejected.unwrap().base, Version(2));
}

#[test]
fn an_answer_to_another_run_s_question_does_not_count() {
    let mut pump = Pump::new(2, 8);
    pump.publish_first();
    pump.start(1);
    pump.start(2);
    pump.kill(2);
    pump.run_for(100);
    for round in 0..1000 {
        let incarnation = pump.process(2).incarnation;
        let message = PeerMessage::Versions { round, heartbeat: Heartbeat::default() };
        pump.inject(1, Event::PeerReceived { from: host_id(2), incarnation, message });
    }
    pump.run_for(10_000);
    assert!(!pump.process(1).ready);
}

#[test]
fn a_host_without_a_configuration_does_not_spin() {
    let mut pump = Pump::new(3, 9);
    pump.list_for.insert(host_id(1), None);
    pump.service.down_for = [host_id(1)].into();
    pump.start(1);
    pump.run_for(60_000);
    assert!(pump.handled < 1000, "{} events in a minute", pump.handled);
}

/// Answers the questions among `actions` in the name of a peer.
fn answer_as(
    bench: &mut Bench,
    now_ms: u64,
    peer: usize,
    in_force: VersionPair,
    actions: &[Action],
) {
    for action in actions {
        let Action::SendPeer { to, message: PeerMessage::VersionsWanted { round }, .. } = action
        else {
            continue;
        };
        if *to == host_id(peer) {
            let VersionPair { base, overlay } = in_force;
            let heartbeat = Heartbeat { base, overlay, ..Heartbeat::default() };
            let message = PeerMessage::Versions { round: *round, heartbeat };
            let incarnation = Incarnation(1);
            bench.handle(now_ms, Event::PeerReceived { from: to.clone(), incarnation, message });
        }
    }
}

#[test]
fn a_peer_that_dies_with_its_version_does_not_block_a_start_for_ever() {
    let mut bench = Bench::alone();
    bench.handle(0, Event::HostListRead(Some(host_list(2, 3))));
    bench.read(ConfigKey::Overlay, ReadOutcome::Missing);
    bench.publish(ConfigKey::Base, 1, BASE);
    for now_ms in (100..=15_000).step_by(100) {
        let actions = bench.tick(now_ms);
        answer_as(&mut bench, now_ms, 2, pair(1, 0), &actions);
        if now_ms < 2000 {
            answer_as(&mut bench, now_ms, 3, pair(2, 0), &actions);
        }
        if now_ms < 10_000 {
            assert_eq!(bench.host.versions(), pair(0, 0), "{now_ms}");
        }
    }
    assert_eq!(bench.host.versions(), pair(1, 0));
}

#[test]
fn a_start_waits_for_a_value_that_it_lacks_rather_than_do_with_an_older_one() {
    let mut bench = Bench::alone();
    bench.handle(0, Event::HostListRead(Some(host_list(2, 3))));
    bench.publish(ConfigKey::Base, 2, BASE);
    bench.publish(ConfigKey::Overlay, 1, EMPTY);
    bench.publish(ConfigKey::Overlay, 3, BROKEN);
    let actions = bench.tick(600);
    answer_as(&mut bench, 600, 2, pair(2, 1), &actions);
    answer_as(&mut bench, 600, 3, pair(1, 2), &actions);
    assert_eq!(bench.host.versions(), pair(0, 0));
    let value = PublishedValue { version: Version(2), text: EMPTY.to_owned() };
    let message = PeerMessage::ConfigOffered { key: ConfigKey::Overlay, value };
    let incarnation = Incarnation(1);
    bench.handle(610, Event::PeerReceived { from: host_id(3), incarnation, message });
    assert_eq!(bench.host.versions(), pair(2, 2));
}
