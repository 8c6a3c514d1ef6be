//! Who gets a job: agreed, spread, and moved as little as can be.
#![allow(clippy::unwrap_used)]

use decision_core::{Job, Role};
use domain::HostId;
use std::collections::BTreeMap;

const JOBS: usize = 1000;

fn hosts(count: usize) -> Vec<HostId> {
    (1..=count).map(|n| format!("e{n}").parse().unwrap()).collect()
}

fn owners(hosts: &[HostId]) -> Vec<HostId> {
    (0..JOBS)
        .map(|n| {
            let name = format!("job-{n}");
            Job { role: Role::KeyHome, name: &name }.first(hosts).unwrap().clone()
        })
        .collect()
}

#[test]
fn spreads_jobs_evenly() {
    let mut counts: BTreeMap<HostId, usize> = BTreeMap::new();
    owners(&hosts(10)).into_iter().for_each(|host| *counts.entry(host).or_default() += 1);
    assert!(counts.values().all(|&count| (70..=130).contains(&count)), "{counts:?}");
}

#[test]
fn a_host_that_goes_moves_only_its_own_jobs() {
    let all = hosts(10);
    let fewer: Vec<HostId> = all.iter().filter(|host| host.as_str() != "e4").cloned().collect();
    for (before, after) in owners(&all).into_iter().zip(owners(&fewer)) {
        assert!(before == after || before.as_str() == "e4");
    }
}

#[test]
fn the_order_of_candidates_does_not_matter() {
    let forward = hosts(7);
    let backward: Vec<HostId> = forward.iter().rev().cloned().collect();
    assert_eq!(owners(&forward), owners(&backward));
}

#[test]
fn weights_are_the_same_in_every_release() {
    let host = "e1".parse().unwrap();
    assert_eq!(Job { role: Role::KeyHome, name: "k" }.weight(&host), 13_353_099_757_553_359_123);
}
