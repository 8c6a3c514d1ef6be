//! Probes of all hosts together stay within the budget, whatever the hosts believe.
//!
//! Nobody answers the probes, so every upstream always wants one and the budget alone
//! limits them. Some runs give the hosts wrong lists, to show that the check can fail.
#![allow(clippy::unwrap_used)]

mod support;

use decision_core::{Action, ConfigKey, HostList, LIST_FRESH_MS, LIST_LAG_MS, SETTLE_MS};
use domain::{HostId, Millis};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;
use std::collections::BTreeMap;
use support::pump::{ProcessState, Pump, host_id, host_list};

const HOSTS: usize = 6;
const STEP_MS: u64 = 500;
const CASES: u32 = 24;
const ALL_PER_SECOND: f64 = 5.0;
const SERVICES: [(&str, f64); 2] = [("orders", 4.0), ("portal", 2.0)];

/// What the hosts are told of the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Lists {
    /// The published list, late.
    Late,
    /// Stuck for some hosts, longer than any list may lag, at a time when only they were listed.
    Stuck,
    /// Broken on purpose: each host and the next few only.
    Half,
}

#[derive(Debug, Clone)]
enum Trouble {
    Pause(usize),
    Resume,
    Restart(usize),
    Kill(usize),
    Cut(usize),
    Heal,
    List(usize),
    Lag(usize, u64),
}

struct Trial {
    pump: Pump,
    lists: Lists,
    /// Published lists with the time of publishing.
    history: Vec<(Millis, HostList)>,
    lags_ms: BTreeMap<usize, u64>,
}

impl Trial {
    fn new(lists: Lists) -> Trial {
        let mut pump = Pump::new(HOSTS, 11);
        pump.publish(ConfigKey::Base, 1, &base());
        let history = vec![(Millis::ZERO, host_list(1, HOSTS))];
        let mut trial = Trial { pump, lists, history, lags_ms: BTreeMap::new() };
        trial.tell_lists();
        trial.pump.start_all();
        trial
    }

    fn run_for(&mut self, span_ms: u64) {
        for _ in 0..span_ms / STEP_MS {
            self.tell_lists();
            self.pump.run_for(STEP_MS);
        }
    }

    fn publish_list(&mut self, count: usize) {
        let version = self.history.len() as u64 + 1;
        self.history.push((self.pump.now_ms, host_list(version, count)));
    }

    fn tell_lists(&mut self) {
        for number in 1..=HOSTS {
            let list = match self.lists {
                Lists::Late => self.list_seen_by(number),
                Lists::Stuck if number <= HOSTS / 2 => host_list(0, HOSTS / 2),
                Lists::Stuck => host_list(1, HOSTS),
                Lists::Half => half_list(number),
            };
            self.pump.list_for.insert(host_id(number), Some(list));
        }
    }

    fn list_seen_by(&self, number: usize) -> HostList {
        let lag_ms = self.lags_ms.get(&number).copied().unwrap_or(0);
        let seen_ms = self.pump.now_ms - Millis(lag_ms);
        self.history.iter().rfind(|(at_ms, _)| *at_ms <= seen_ms).unwrap().1.clone()
    }

    fn apply(&mut self, trouble: &Trouble) {
        match *trouble {
            Trouble::Pause(number) if self.runs(number) => self.pump.pause(number),
            Trouble::Resume => self.resume_all(),
            Trouble::Restart(number) => self.pump.start(number),
            Trouble::Kill(number) => self.pump.kill(number),
            Trouble::Cut(at) => {
                let hosts: Vec<usize> = (1..=HOSTS).collect();
                self.pump.cut(&hosts[..at], &hosts[at..]);
            }
            Trouble::Heal => self.pump.heal(),
            Trouble::List(count) => self.publish_list(count),
            Trouble::Lag(number, lag_ms) => drop(self.lags_ms.insert(number, lag_ms)),
            Trouble::Pause(_) => {}
        }
    }

    fn resume_all(&mut self) {
        let paused = |number: &usize| self.is(*number, ProcessState::Paused);
        let paused: Vec<usize> = (1..=HOSTS).filter(paused).collect();
        paused.into_iter().for_each(|number| self.pump.resume(number));
    }

    fn runs(&self, number: usize) -> bool {
        self.is(number, ProcessState::Running)
    }

    fn is(&self, number: usize, state: ProcessState) -> bool {
        self.pump.process(number).state == state
    }

    fn probes(&self, service: &str) -> Vec<(Millis, HostId)> {
        let probes = self.pump.outbox.iter().filter_map(|(at_ms, host, action)| match action {
            Action::Probe { upstream, .. } if upstream.as_str().starts_with(service) => {
                Some((*at_ms, host.clone()))
            }
            _ => None,
        });
        probes.collect()
    }

    /// Checks every window of every length against the budget.
    fn check(&self) -> Result<(), String> {
        let budgets = SERVICES.into_iter().chain([("", ALL_PER_SECOND)]);
        for (service, per_second) in budgets {
            let excess = worst_excess(&self.probes(service), per_second);
            if excess > HOSTS as f64 + 1e-6 {
                return Err(format!("{excess} probes of '{service}' over the budget"));
            }
        }
        Ok(())
    }
}

/// Most probes in any window above what the rate allows for its length.
fn worst_excess(probes: &[(Millis, HostId)], per_second: f64) -> f64 {
    let mut lowest_before = f64::INFINITY;
    let mut worst: f64 = 0.0;
    for (index, (at_ms, _)) in probes.iter().enumerate() {
        let above = index as f64 - per_second * at_ms.as_f64() / 1000.0;
        lowest_before = lowest_before.min(above);
        worst = worst.max(above + 1.0 - lowest_before);
    }
    worst
}

/// Half of the hosts, the reader among them.
fn half_list(reader: usize) -> HostList {
    let mut list = host_list(1, HOSTS);
    let kept: Vec<HostId> = (0..HOSTS / 2).map(|n| host_id((reader - 1 + n) % HOSTS + 1)).collect();
    list.hosts.retain(|listed| kept.contains(&listed.host));
    list
}

fn base() -> String {
    let service = |(name, per_second): (&str, f64), port: usize| {
        let upstreams: Vec<String> = (0..8)
            .map(|n| {
                format!(
                    r#""{name}-{n}": {{"address": "127.0.0.1:{}", "availability_zone": "a",
                        "slots": 2, "connections": 20}}"#,
                    port + n
                )
            })
            .collect();
        format!(
            r#""{name}": {{"probes_per_second": {per_second},
                "routes": [{{"path_prefix": "/{name}", "repeat": "idempotent"}}],
                "upstreams": {{{}}}}}"#,
            upstreams.join(",")
        )
    };
    format!(
        r#"{{"availability_zones": ["a"],
            "measurement": {{"probes_per_second": {ALL_PER_SECOND},
                "control_bytes_per_second": 5000, "probe_after_silence_ms": 200}},
            "services": {{{}, {}}}}}"#,
        service(SERVICES[0], 9100),
        service(SERVICES[1], 9200)
    )
}

fn troubles() -> impl Strategy<Value = Vec<(Trouble, u64)>> {
    let host = || 1..=HOSTS;
    let trouble = prop_oneof![
        host().prop_map(Trouble::Pause),
        Just(Trouble::Resume),
        host().prop_map(Trouble::Restart),
        host().prop_map(Trouble::Kill),
        (1..HOSTS).prop_map(Trouble::Cut),
        Just(Trouble::Heal),
        host().prop_map(Trouble::List),
        (host(), 0..=LIST_LAG_MS.0 - STEP_MS).prop_map(|(number, ms)| Trouble::Lag(number, ms)),
    ];
    // Mostly short gaps, so that troubles meet; some long enough for hosts to settle.
    let gap_ms = prop_oneof![4 => 500..8_000_u64, 1 => SETTLE_MS.0..SETTLE_MS.0 + 20_000];
    prop::collection::vec((trouble, gap_ms), 10..40)
}

#[test]
fn no_schedule_of_troubles_exceeds_the_budget() {
    let config = ProptestConfig { cases: CASES, failure_persistence: None, ..Default::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&troubles(), |troubles| {
        let mut trial = Trial::new(Lists::Late);
        trial.run_for(SETTLE_MS.0 + 5_000);
        for (trouble, gap_ms) in &troubles {
            trial.apply(trouble);
            trial.run_for(*gap_ms);
        }
        trial.check().map_err(TestCaseError::fail)
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[rstest]
#[case::whole_lists(Lists::Late, false, true)]
#[case::whole_lists_all_cut(Lists::Late, true, true)]
#[case::stuck_lists_but_peers_are_heard(Lists::Stuck, false, true)]
#[case::limit_stuck_lists_all_cut(Lists::Stuck, true, false)]
#[case::broken_half_lists(Lists::Half, false, false)]
#[case::broken_half_lists_all_cut(Lists::Half, true, false)]
fn the_check_tells_a_wrong_division(
    #[case] lists: Lists,
    #[case] all_cut: bool,
    #[case] within: bool,
) {
    let mut trial = Trial::new(lists);
    if all_cut {
        (1..HOSTS).for_each(|at| trial.apply(&Trouble::Cut(at)));
    }
    trial.run_for(SETTLE_MS.0 + 120_000);
    assert_eq!(trial.check().is_ok(), within, "{:?}", trial.check());
    let sent = trial.probes("").len();
    assert!(sent > 100, "the budget is used: {sent}");
}

#[rstest]
#[case::started(|_: &mut Trial| {})]
#[case::restarted_often(|trial: &mut Trial| {
    for _ in 0..10 {
        trial.pump.start(1);
        trial.run_for(SETTLE_MS.0 - 1_000);
    }
    trial.pump.outbox.clear();
    trial.pump.start(1);
})]
#[case::paused(|trial: &mut Trial| {
    trial.run_for(SETTLE_MS.0 + 60_000);
    trial.pump.pause(1);
    trial.run_for(LIST_FRESH_MS.0 + 1_000);
    trial.pump.outbox.clear();
    trial.pump.resume(1);
})]
#[case::listed_again(|trial: &mut Trial| {
    trial.run_for(SETTLE_MS.0 + 60_000);
    let all = trial.history[0].1.hosts.clone();
    trial.publish_list(HOSTS);
    trial.history[1].1.hosts.remove(0);
    trial.run_for(5_000);
    trial.publish_list(HOSTS);
    trial.history[2].1.hosts = all;
    trial.pump.outbox.clear();
})]
fn a_host_that_is_new_to_the_list_waits(#[case] prepare: fn(&mut Trial)) {
    let mut trial = Trial::new(Lists::Late);
    prepare(&mut trial);
    let is_own = |(_, host): &(Millis, HostId)| *host == host_id(1);
    trial.run_for(SETTLE_MS.0 - 2_000);
    assert_eq!(trial.probes("").iter().filter(|probe| is_own(probe)).count(), 0);
    trial.run_for(20_000);
    assert!(trial.probes("").iter().any(is_own));
}

#[test]
fn the_next_host_takes_over_from_a_dead_prober_within_its_own_share() {
    let mut trial = Trial::new(Lists::Late);
    trial.run_for(SETTLE_MS.0 + 60_000);
    (2..=HOSTS).for_each(|number| trial.pump.kill(number));
    trial.run_for(10_000);
    trial.pump.outbox.clear();
    trial.run_for(240_000);
    let asked = trial.pump.outbox.iter().filter_map(|(_, _, action)| match action {
        Action::Probe { upstream, .. } => Some(upstream),
        _ => None,
    });
    let asked: std::collections::BTreeSet<_> = asked.collect();
    assert_eq!(asked.len(), 16, "the last host probes every upstream");
    let share = ALL_PER_SECOND * 240.0 / HOSTS as f64;
    assert!(trial.probes("").len() as f64 <= share + 1.0);
}

#[rstest]
#[case::grows(HOSTS / 2, HOSTS)]
#[case::shrinks(HOSTS, HOSTS / 2)]
fn hosts_that_learn_late_of_a_new_list_stay_within_the_budget(
    #[case] before: usize,
    #[case] after: usize,
) {
    let mut trial = Trial::new(Lists::Late);
    trial.history[0].1 = host_list(1, before);
    (1..HOSTS).for_each(|at| trial.apply(&Trouble::Cut(at)));
    trial.run_for(SETTLE_MS.0 + 10_000);
    let late = LIST_LAG_MS.0 - STEP_MS;
    let (keeps, learns) = if before < after { (1, HOSTS / 2) } else { (HOSTS / 2 + 1, HOSTS) };
    (keeps..=learns).for_each(|number| trial.apply(&Trouble::Lag(number, late)));
    trial.publish_list(after);
    trial.run_for(SETTLE_MS.0 + 30_000);
    trial.check().unwrap();
}
