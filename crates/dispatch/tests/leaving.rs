//! An upstream that says in its answers that it is leaving gets nothing new, whatever is published.
#![allow(clippy::unwrap_used)]

mod support;

use dispatch::UpstreamSet;
use dispatch::backpressure::{Backpressure, ResponseKind};
use domain::Millis;
use published::{Eligibility, Entry, Evacuations, RunStart, Upstream, UpstreamMode};
use rstest::rstest;
use std::sync::Arc;
use support::rate_simulation::{Fault, LimitReason, Scenario, Simulation};
use support::{entry, entry_in, id, of_run, set};

const NOW: Millis = Millis(10_000);
const RUN: RunStart = RunStart(None);
const LEAVES: Backpressure = Backpressure { rate_limit: None, backoff_ms: None, is_leaving: true };

fn sync(set: &mut UpstreamSet, entries: &[Entry<Arc<Upstream>>]) {
    set.sync(NOW, entries.iter(), &Evacuations::default());
}

fn eligibility(set: &UpstreamSet) -> Option<Eligibility> {
    set.eligibility(&id("i-1"))
}

#[rstest]
#[case::served(ResponseKind::Served)]
#[case::failed(ResponseKind::Failed)]
#[case::health_check(ResponseKind::HealthCheck)]
fn any_answer_says_so_and_none_takes_it_back(#[case] kind: ResponseKind) {
    let mut set = set(&[entry("i-1", "kariakoo")]);
    let at = (&id("i-1"), RUN);
    let changed = set.record_backpressure(NOW, at, kind, LEAVES).unwrap();
    assert!(changed.is_leaving);
    assert_eq!(eligibility(&set), Some(Eligibility::SaysLeaving));
    assert!(!set.accepts_requests(&id("i-1")));
    let later = set.record_backpressure(NOW, at, ResponseKind::Served, Backpressure::default());
    assert!(later.is_none());
    assert_eq!(set.record_backpressure(NOW, at, kind, LEAVES), None, "it is told once");
    assert!(!set.accepts_requests(&id("i-1")));
}

#[rstest]
#[case::entry_is_written_anew(&[entry("i-1", "kariakoo")], Some(Eligibility::SaysLeaving))]
#[case::entry_says_so_too(
    &[entry_in("i-1", "kariakoo", UpstreamMode::Draining)],
    Some(Eligibility::Draining)
)]
#[case::entry_lapses(&[], None)]
fn what_is_published_does_not_revive_it(
    #[case] entries: &[Entry<Arc<Upstream>>],
    #[case] wanted: Option<Eligibility>,
) {
    let mut set = set(&[entry("i-1", "kariakoo")]);
    set.record_backpressure(NOW, (&id("i-1"), RUN), ResponseKind::Served, LEAVES);
    sync(&mut set, entries);
    assert_eq!(eligibility(&set), wanted);
    set.forget_backpressure(NOW + Millis(30_000));
    sync(&mut set, &[entry("i-1", "kariakoo")]);
    assert_eq!(eligibility(&set), Some(Eligibility::SaysLeaving));
}

#[test]
fn a_later_run_under_its_id_is_not_leaving() {
    let mut set = set(&[of_run("i-1", 100)]);
    let run = RunStart(Some(Millis(100)));
    set.record_backpressure(NOW, (&id("i-1"), run), ResponseKind::Served, LEAVES);
    sync(&mut set, &[of_run("i-1", 200)]);
    assert_eq!(eligibility(&set), Some(Eligibility::Eligible));
    // A late answer of the former run.
    set.record_backpressure(NOW, (&id("i-1"), run), ResponseKind::Served, LEAVES);
    assert_eq!(eligibility(&set), Some(Eligibility::Eligible));
}

#[test]
fn peers_are_told_once_and_hold_the_same() {
    let (mut telling, mut hearing) =
        (set(&[entry("i-1", "kariakoo")]), set(&[entry("i-1", "kariakoo")]));
    telling.record_backpressure(NOW, (&id("i-1"), RUN), ResponseKind::Served, LEAVES);
    let told = telling.backpressure_mut().take_pending(NOW);
    assert_eq!(told.len(), 1);
    assert!(telling.backpressure_mut().take_pending(NOW).is_empty());
    // A clock that has just started: what was said is older than it.
    let changed = hearing.merge_backpressure(Millis(5), told.clone());
    assert!(changed.iter().any(|change| change.is_leaving));
    assert!(!hearing.accepts_requests(&id("i-1")));
    assert!(!hearing.backpressure().has_pending());
    assert!(hearing.merge_backpressure(Millis(5), told).is_empty());
    assert_eq!(telling.backpressure().digest(), hearing.backpressure().digest());
}

const FROM_MS: u64 = 1_500;

/// From then on nothing may reach it from hosts in touch.
const KNOWN_WITHIN_MS: u64 = 500;

#[rstest]
#[case::calm(Fault::Nothing)]
#[case::lossy(Fault::Lossy)]
#[case::nobody_schedules(Fault::NoScheduler)]
#[case::schedulers_are_killed(Fault::SchedulersKilled { each_ms: 300 })]
fn a_fleet_sends_nothing_new_to_what_leaves(
    #[case] fault: Fault,
    #[values(13, 111, 472)] hosts: usize,
) {
    for seed in 0..3 {
        let scenario = Scenario {
            hosts,
            upstreams: 24,
            rate: 2.0,
            limit_reason: LimitReason::Leaving { from_ms: FROM_MS },
            duration_ms: 8_000,
            service_time_ms: 440,
            demand: 1.5,
            fault,
            seed,
        };
        let received = Simulation::run_with_sources(&scenario);
        let late = received.values().filter_map(|of| {
            let first_ms = of.stated_ms.values().min()?;
            // Of hosts whose links lose a fifth of all messages only those that heard it themselves
            // are sure to know.
            let is_late = |(at_ms, host): &&(u64, usize)| match fault {
                Fault::Lossy => of.stated_ms.get(host).is_some_and(|known_ms| at_ms > known_ms),
                _ => *at_ms > first_ms + KNOWN_WITHIN_MS,
            };
            Some(of.arrivals.iter().filter(is_late).count())
        });
        let late: Vec<usize> = late.collect();
        assert!(!late.is_empty(), "none left");
        assert_eq!(late.iter().sum::<usize>(), 0, "{hosts} hosts, {fault:?}, seed {seed}");
    }
}
