//! Random faults, seeded: no key runs twice, and nobody is told "not run" falsely.
//!
//! The same schedules must catch each deliberately broken part.
#![allow(clippy::unwrap_used)]

mod support;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use support::fleet::{Broken, Fleet, Reply, Wire, list_of};

/// Schedules tried with nothing broken.
const SEEDS: u64 = 400;
/// Schedules among which one at least must catch a broken part.
const SEEDS_TO_CATCH: u64 = 200;
const STEPS: usize = 120;
/// Pause of a host that is replaced meanwhile: long enough to be noticed on waking.
const REPLACED_AFTER_MS: u64 = 2500;

/// One random schedule.
struct Schedule {
    fleet: Fleet,
    rng: Pcg64Mcg,
    /// Hosts on the newest list.
    listed: Vec<usize>,
    paused: Vec<usize>,
    list_version: u64,
    /// When the list changed, so that no two changes fall into one lag.
    list_changed_ms: u64,
    keys: u64,
}

impl Schedule {
    fn new(seed: u64, broken: Broken) -> Schedule {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let count = *[1, 2, 3, 3, 4, 5, 5, 7].choose(&mut rng).unwrap();
        let mut fleet = Fleet::new(count, seed);
        fleet.broken = broken;
        fleet.lists = vec![fleet.lists[0].clone(); count + STEPS];
        fleet.wire = Wire {
            loss_percent: *[0, 0, 5, 30].choose(&mut rng).unwrap(),
            double_percent: 10,
            max_delay_ms: *[1, 20, 250, 400].choose(&mut rng).unwrap(),
        };
        fleet.replies = match rng.random_range(0..3) {
            0 => vec![Reply::Answers],
            1 => vec![Reply::Answers, Reply::Declines, Reply::NeverConnects],
            _ => vec![Reply::Answers, Reply::Fails, Reply::Silent, Reply::NeverConnects],
        };
        Schedule {
            fleet,
            rng,
            listed: (0..count).collect(),
            paused: vec![],
            list_version: 1,
            list_changed_ms: 0,
            keys: 1,
        }
    }

    fn run(&mut self) {
        for _ in 0..STEPS {
            self.step();
            let span_ms = *[0, 1, 5, 50, 300, 2000, 4000].choose(&mut self.rng).unwrap();
            self.fleet.run_for(span_ms);
        }
        self.paused.iter().for_each(|&host| self.fleet.wake(host));
        self.fleet.heal();
        self.fleet.run_for(10_000);
    }

    fn step(&mut self) {
        let host = *self.listed.choose(&mut self.rng).unwrap();
        match self.rng.random_range(0..50) {
            0 => self.pause(host),
            1..4 => self.wake(),
            4 => self.fleet.restart(host),
            5 => self.fleet.kill(host),
            6..10 => self.start_one_that_is_down(),
            10 => self.partition(),
            11..14 => self.fleet.heal(),
            14 => self.replace_paused(),
            15 => self.change_list(),
            _ => self.order(host),
        }
    }

    fn start_one_that_is_down(&mut self) {
        let down = self.listed.iter().find(|&&host| !self.fleet.is_up(host));
        if let Some(&host) = down {
            self.fleet.start(host);
        }
    }

    fn order(&mut self, host: usize) {
        if self.rng.random_bool(0.3) {
            self.keys += 1;
        }
        let back = self.rng.random_range(0..3).min(self.keys - 1);
        let key = format!("order-{}", self.keys - back);
        self.fleet.order(host, &key);
    }

    fn pause(&mut self, host: usize) {
        self.fleet.pause(host);
        self.paused.push(host);
    }

    fn wake(&mut self) {
        if let Some(host) = self.paused.pop() {
            self.fleet.wake(host);
        }
    }

    fn replace_paused(&mut self) {
        if let Some(&host) = self.paused.last() {
            self.fleet.run_for(REPLACED_AFTER_MS);
            self.fleet.start(host);
        }
    }

    fn partition(&mut self) {
        let (one, other): (Vec<usize>, Vec<usize>) =
            self.listed.iter().partition(|_| self.rng.random_bool(0.5));
        self.fleet.partition(&one, &other);
    }

    /// Replaces one host by a new one; each host sees the new list at once or late.
    fn change_list(&mut self) {
        if self.listed.len() < 4 || self.fleet.now_ms < self.list_changed_ms + 20_000 {
            return;
        }
        self.list_changed_ms = self.fleet.now_ms;
        let latest = list_of(self.list_version, &self.listed);
        self.fleet.lists.fill(latest);
        let new = self.listed.iter().max().unwrap() + 1;
        let gone = self.listed.remove(0);
        self.listed.push(new);
        self.list_version += 1;
        let newest = list_of(self.list_version, &self.listed);
        for list in &mut self.fleet.lists {
            if self.rng.random_bool(0.5) {
                *list = newest.clone();
            }
        }
        self.fleet.start(new);
        if self.rng.random_bool(0.5) {
            self.fleet.kill(gone);
        }
    }
}

fn violations(seed: u64, broken: Broken) -> Vec<String> {
    let mut schedule = Schedule::new(seed, broken);
    schedule.run();
    schedule.fleet.violations()
}

#[test]
fn no_key_runs_twice() {
    for seed in 0..SEEDS {
        assert_eq!(violations(seed, Broken::Nothing), Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn the_schedules_do_run_keys() {
    let mut ran = 0;
    let mut refused = 0;
    for seed in 0..20 {
        let mut schedule = Schedule::new(seed, Broken::Nothing);
        schedule.run();
        let calls = schedule.fleet.calls.values();
        ran += calls.clone().filter(|call| !call.runs_ms.is_empty()).count();
        refused += calls.filter(|call| call.runs_ms.is_empty()).count();
    }
    assert!(ran > 100 && refused > 100, "{ran} ran, {refused} did not");
}

#[rstest]
#[case::always_yes(Broken::AlwaysYes)]
#[case::forgets_its_former_run(Broken::ForgetsItsFormerRun)]
#[case::tells_no_claims(Broken::TellsNoClaims)]
#[case::releases_at_once(Broken::ReleasesAtOnce)]
fn a_broken_part_is_caught(#[case] broken: Broken) {
    let caught = (0..SEEDS_TO_CATCH).find(|&seed| !violations(seed, broken).is_empty());
    assert!(caught.is_some());
}
