//! A configuration is in force everywhere soon, stays, and costs few readings.
#![allow(clippy::unwrap_used)]

mod support;

use decision_core::{ConfigKey, EntryHost, MessageKind, StartLimits};
use domain::{Millis, Version};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use support::BASE;
use support::configs::{BROKEN, EMPTY, ZONES_AB, ZONES_ABC, base_needing_c, pair};
use support::fleet;
use support::pump::{MakeHost, Pump, host_id};

/// Time within which an accepted configuration is in force everywhere.
const IN_FORCE_WITHIN_MS: u64 = 3000;

fn watchers(pump: &Pump, key: ConfigKey) -> Vec<usize> {
    let watches = |number: &usize| {
        let control = serde_json::to_value(pump.process(*number).host.dump().control).unwrap();
        let name = match key {
            ConfigKey::Base => "base",
            ConfigKey::Overlay => "overlay",
        };
        control[name]["watching"].as_bool().unwrap()
    };
    (1..=pump.processes.len()).filter(watches).collect()
}

/// Publishes base 2 now. Returns the time until it is in force at every running host.
fn spread_ms(pump: &mut Pump, limit_ms: u64) -> Option<u64> {
    let published_ms = pump.now_ms;
    pump.publish(ConfigKey::Base, 2, BASE);
    pump.run_for(limit_ms);
    assert_eq!(pump.reverted(), None);
    let reached_ms = pump.everywhere_at_ms(pair(2, 0))?;
    Some(reached_ms.since(published_ms).0)
}

#[rstest]
#[case::today(17, 0)]
#[case::lossy(17, 20)]
#[case::many(100, 0)]
fn is_in_force_everywhere_soon(#[case] count: usize, #[case] lost_percent: u32) {
    let mut pump = fleet(count, 1);
    pump.network.lost_percent = lost_percent;
    pump.run_for(5000);
    let spread_ms = spread_ms(&mut pump, IN_FORCE_WITHIN_MS);
    println!("{count} hosts, {lost_percent}% lost: in force everywhere after {spread_ms:?} ms");
    assert!(spread_ms.is_some());
}

#[rstest]
#[case::one_watcher_dead(1)]
#[case::two_watchers_dead(2)]
fn is_in_force_soon_though_watchers_died_a_moment_ago(#[case] dead: usize) {
    let mut longest_ms = 0;
    for seed in 0..20 {
        let mut pump = fleet(17, seed);
        let watchers = watchers(&pump, ConfigKey::Base);
        assert_eq!(watchers.len(), 3);
        watchers.iter().take(dead).for_each(|&number| pump.kill(number));
        let spread_ms = spread_ms(&mut pump, IN_FORCE_WITHIN_MS);
        assert!(spread_ms.is_some(), "seed {seed}");
        longest_ms = longest_ms.max(spread_ms.unwrap());
    }
    println!("{dead} watchers dead: in force everywhere after {longest_ms} ms at the latest");
}

#[test]
fn the_poll_covers_for_watchers_that_are_all_dead_paused_or_told_old_news() {
    let mut longest_ms = 0;
    for seed in 0..20 {
        let mut pump = fleet(17, seed);
        let watchers = watchers(&pump, ConfigKey::Base);
        pump.kill(watchers[0]);
        pump.pause(watchers[1]);
        pump.service.stale_for.insert((host_id(watchers[2]), ConfigKey::Base), Version(1));
        let spread_ms = spread_ms(&mut pump, 10_000);
        assert!(spread_ms.is_some_and(|ms| ms <= IN_FORCE_WITHIN_MS), "seed {seed}: {spread_ms:?}");
        longest_ms = longest_ms.max(spread_ms.unwrap());
    }
    println!("all watchers dead, paused or stale: {longest_ms} ms at the latest");
}

#[test]
fn watchers_that_cannot_read_are_replaced() {
    let mut pump = fleet(17, 2);
    let before = watchers(&pump, ConfigKey::Base);
    pump.service.down_for = before.iter().map(|&number| host_id(number)).collect();
    pump.run_for(40_000);
    let after = watchers(&pump, ConfigKey::Base);
    assert!(after.iter().all(|number| !before.contains(number)), "{before:?} {after:?}");
    assert_eq!(after.len(), 3);
    assert!(spread_ms(&mut pump, IN_FORCE_WITHIN_MS).is_some());
}

#[test]
fn one_host_that_can_read_is_enough() {
    let mut pump = fleet(17, 3);
    pump.service.down_for = (1..=17).filter(|&number| number != 9).map(host_id).collect();
    pump.run_for(30_000);
    assert!(spread_ms(&mut pump, IN_FORCE_WITHIN_MS).is_some());
}

#[rstest]
#[case::today(17)]
#[case::many(100)]
fn readings_do_not_grow_with_the_fleet(#[case] count: usize) {
    let mut pump = fleet(count, 4);
    pump.run_for(30_000);
    let before = pump.service.reads;
    pump.run_for(60_000);
    let reads_per_second = (pump.service.reads - before) as f64 / 60.0;
    println!("{count} hosts: {reads_per_second} readings a second");
    // Polls of two values, four a second each, and three watchers of an overlay that is
    // not published, once a second each.
    assert!(reads_per_second < 12.0, "{reads_per_second} readings a second");
}

#[test]
fn a_paused_host_serves_on_and_never_goes_back() {
    let mut pump = fleet(5, 5);
    pump.pause(1);
    pump.publish(ConfigKey::Base, 2, BASE);
    pump.run_for(60_000);
    let asked = |pump: &Pump| pump.process(1).host.dump().traffic.sent(MessageKind::Versions);
    let before = asked(&pump);
    pump.service.stale_for.insert((host_id(1), ConfigKey::Base), Version(1));
    pump.resume(1);
    assert!(pump.process(1).ready);
    pump.run_for(2000);
    assert!(asked(&pump) > before);
    assert_eq!(pump.process(1).host.versions(), pair(2, 0));
    assert_eq!(pump.reverted(), None);
    pump.run_for(15_000);
    let control = serde_json::to_value(pump.process(1).host.dump().control).unwrap();
    assert!(control["confirmation"].is_null(), "the questions have an end");
}

#[test]
fn a_missed_version_is_fetched_though_the_newest_is_bad() {
    let mut pump = fleet(3, 6);
    pump.cut(&[1], &[2, 3]);
    pump.service.down_for.insert(host_id(1));
    pump.publish(ConfigKey::Base, 2, BASE);
    pump.run_for(3000);
    pump.publish(ConfigKey::Base, 3, BROKEN);
    pump.service.down_for.clear();
    pump.run_for(10_000);
    assert_eq!(pump.process(1).host.versions(), pair(1, 0));
    pump.heal();
    pump.run_for(5000);
    assert_eq!(pump.process(1).host.versions(), pair(2, 0));
}

#[test]
fn hosts_that_parted_for_good_say_so_and_meet_at_the_next_valid_pair() {
    let mut pump = Pump::new(2, 7);
    pump.publish(ConfigKey::Base, 1, BASE);
    pump.publish(ConfigKey::Overlay, 1, ZONES_ABC);
    pump.start_all();
    pump.run_for(3000);
    pump.cut(&[1], &[2]);
    pump.service.stale_for.insert((host_id(1), ConfigKey::Overlay), Version(1));
    pump.service.stale_for.insert((host_id(2), ConfigKey::Base), Version(1));
    pump.publish(ConfigKey::Base, 2, &base_needing_c());
    pump.publish(ConfigKey::Overlay, 2, ZONES_AB);
    pump.run_for(5000);
    pump.service.stale_for.clear();
    pump.heal();
    pump.run_for(10_000);
    // Neither may go back, and what covers both is not valid.
    assert_eq!(pump.process(1).host.versions(), pair(2, 1));
    assert_eq!(pump.process(2).host.versions(), pair(1, 2));
    assert_eq!(pump.process(1).host.dump().parted_from, [host_id(2)]);
    assert_eq!(pump.process(2).host.dump().rejected.unwrap().base, Version(2));

    pump.publish(ConfigKey::Overlay, 3, ZONES_ABC);
    pump.run_for(3000);
    assert!(pump.processes.values().all(|process| process.host.versions() == pair(2, 3)));
    assert_eq!(pump.process(1).host.dump().parted_from, []);
}

/// A host that never starts without its peers.
const WAITS_LONG: MakeHost = |settings, seed, now_ms| {
    let never_ms = Millis::from_secs(86_400);
    let limits = StartLimits { majority_start_after_ms: never_ms, lone_start_after_ms: never_ms };
    EntryHost::new(settings, seed, now_ms).with_start_limits(limits)
};

/// Operators publish at random while cuts, stale readers, restarts and pauses come and go.
fn chaos(seed: u64, restarts: bool) -> Pump {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut pump = fleet(5, seed);
    pump.make_host = WAITS_LONG;
    (pump.network.lost_percent, pump.network.doubled_percent) = (10, 10);
    pump.network.jitter_ms = 300;
    let mut versions = (1, 0);
    for _ in 0..30 {
        let number = rng.random_range(1..=5);
        let other = rng.random_range(1..=5);
        match rng.random_range(0..8) {
            0 | 1 => {
                versions.0 += 1;
                let texts = [BASE.to_owned(), base_needing_c(), BROKEN.to_owned()];
                pump.publish(ConfigKey::Base, versions.0, &texts[rng.random_range(0..3)]);
            }
            2 | 3 => {
                versions.1 += 1;
                let texts = [EMPTY, ZONES_ABC, ZONES_AB, BROKEN];
                pump.publish(ConfigKey::Overlay, versions.1, texts[rng.random_range(0..4)]);
            }
            4 => {
                let key = [ConfigKey::Base, ConfigKey::Overlay][rng.random_range(0..2)];
                let newest = pump.process(number).host.dump().newest.of(key);
                pump.service.stale_for.insert((host_id(number), key), newest);
            }
            5 => drop(pump.service.down_for.insert(host_id(number))),
            6 if number != other => pump.cut(&[number], &[other]),
            7 if restarts => {
                pump.kill(number);
                pump.run_for(rng.random_range(0..2000));
                pump.start(number);
            }
            _ => {
                pump.pause(number);
                pump.run_for(rng.random_range(0..8000));
                pump.resume(number);
            }
        }
        pump.run_for(rng.random_range(0..2000));
    }
    pump
}

#[test]
fn hosts_agree_in_the_end_whatever_came_first() {
    let mut parted = 0;
    for seed in 0..100 {
        let mut pump = chaos(seed, false);
        assert_eq!(pump.reverted(), None, "seed {seed}");
        pump.heal();
        pump.service.stale_for.clear();
        pump.service.down_for.clear();
        pump.run_for(40_000);
        let hosts = || pump.processes.values().map(|process| &process.host);
        let first = pump.process(1).host.versions();
        let newest = pump.process(1).host.dump().newest;
        assert!(hosts().all(|host| host.dump().newest == newest), "seed {seed}");
        let agree = hosts().all(|host| host.versions() == first);
        let says_so = hosts().any(|host| !host.dump().parted_from.is_empty());
        assert!(agree || says_so, "seed {seed}");
        parted += usize::from(!agree);

        // The next valid pair brings even parted hosts together.
        pump.publish(ConfigKey::Base, 1000, BASE);
        pump.publish(ConfigKey::Overlay, 1000, EMPTY);
        pump.run_for(5000);
        assert!(pump.everywhere_at_ms(pair(1000, 1000)).is_some(), "seed {seed}");
        assert_eq!(pump.reverted(), None, "seed {seed}");
        assert!(pump.now_ms > Millis::ZERO);
    }
    println!("{parted} of 100 runs parted");
    assert!(parted < 10, "{parted} of 100 runs parted");
}

/// A version that most hosts had before a host was started is never undone by the start.
///
/// The exception is a fleet that has parted: then neither side's pair covers the other's, and
/// a start may join the other side.
#[test]
fn restarts_under_faults_do_not_undo_what_most_hosts_had_before() {
    let mut reversions = 0;
    for seed in 0..100 {
        let mut pump = chaos(seed, true);
        pump.heal();
        pump.service.stale_for.clear();
        pump.service.down_for.clear();
        pump.run_for(40_000);
        for reversion in pump.reversions() {
            let was_accepted = pump.was_accepted(reversion.before, reversion.started_ms);
            let changed_sides = !reversion.before.covers(reversion.after);
            assert!(!was_accepted || changed_sides, "seed {seed}: {reversion:?}");
            reversions += 1;
        }
        pump.publish(ConfigKey::Base, 1000, BASE);
        pump.publish(ConfigKey::Overlay, 1000, EMPTY);
        pump.run_for(5000);
        assert!(pump.everywhere_at_ms(pair(1000, 1000)).is_some(), "seed {seed}");
    }
    println!("{reversions} restarts undid what a few hosts had");
}
