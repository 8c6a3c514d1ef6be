//! An upstream that announces in its responses that it is leaving receives nothing new, whatever
//! is published.
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
fn any_response_announces_it_and_none_revokes_it(#[case] kind: ResponseKind) {
    let mut set = set(&[entry("i-1", "kariakoo")]);
    let at = (&id("i-1"), RUN);
    let changed = set.record_backpressure(NOW, at, kind, LEAVES).unwrap();
    assert!(changed.is_leaving);
    assert_eq!(eligibility(&set), Some(Eligibility::SaysLeaving));
    assert!(!set.accepts_requests(&id("i-1")));
    let later = set.record_backpressure(NOW, at, ResponseKind::Served, Backpressure::default());
    assert!(later.is_none());
    assert_eq!(
        set.record_backpressure(NOW, at, kind, LEAVES),
        None,
        "a repeated announcement changes nothing"
    );
    assert!(!set.accepts_requests(&id("i-1")));
}

#[rstest]
#[case::entry_is_rewritten(&[entry("i-1", "kariakoo")], Some(Eligibility::SaysLeaving))]
#[case::entry_is_draining_too(
    &[entry_in("i-1", "kariakoo", UpstreamMode::Draining)],
    Some(Eligibility::Draining)
)]
#[case::entry_expires(&[], None)]
fn published_entries_do_not_revoke_it(
    #[case] entries: &[Entry<Arc<Upstream>>],
    #[case] expected: Option<Eligibility>,
) {
    let mut set = set(&[entry("i-1", "kariakoo")]);
    set.record_backpressure(NOW, (&id("i-1"), RUN), ResponseKind::Served, LEAVES);
    sync(&mut set, entries);
    assert_eq!(eligibility(&set), expected);
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
    // A late response of the former process run.
    set.record_backpressure(NOW, (&id("i-1"), run), ResponseKind::Served, LEAVES);
    assert_eq!(eligibility(&set), Some(Eligibility::Eligible));
}

#[test]
fn peers_receive_it_once_and_have_the_same_digest() {
    let (mut sender, mut receiver) =
        (set(&[entry("i-1", "kariakoo")]), set(&[entry("i-1", "kariakoo")]));
    sender.record_backpressure(NOW, (&id("i-1"), RUN), ResponseKind::Served, LEAVES);
    let updates = sender.backpressure_mut().take_pending(NOW);
    assert_eq!(updates.len(), 1);
    assert!(sender.backpressure_mut().take_pending(NOW).is_empty());
    // The receiver's clock has just started: the statement is older than it.
    let changed = receiver.merge_backpressure(Millis(5), updates.clone());
    assert!(changed.iter().any(|change| change.is_leaving));
    assert!(!receiver.accepts_requests(&id("i-1")));
    assert!(!receiver.backpressure().has_pending());
    assert!(receiver.merge_backpressure(Millis(5), updates).is_empty());
    assert_eq!(sender.backpressure().digest(), receiver.backpressure().digest());
}

const FROM_MS: u64 = 1_500;

/// After this time, no request of a connected host may arrive.
const SPREAD_MS: u64 = 500;

#[rstest]
#[case::no_fault(Fault::Nothing)]
#[case::lossy(Fault::Lossy)]
#[case::no_scheduler(Fault::NoScheduler)]
#[case::schedulers_are_killed(Fault::SchedulersKilled { each_ms: 300 })]
fn a_fleet_sends_nothing_new_to_a_leaving_upstream(
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
        let late = received.values().filter_map(|at_upstream| {
            let first_ms = at_upstream.stated_ms.values().min()?;
            // With a fifth of all messages lost, only hosts that received the announcement
            // themselves are sure to know it.
            let is_late = |(at_ms, host): &&(u64, usize)| match fault {
                Fault::Lossy => {
                    at_upstream.stated_ms.get(host).is_some_and(|known_ms| at_ms > known_ms)
                }
                _ => *at_ms > first_ms + SPREAD_MS,
            };
            Some(at_upstream.arrivals.iter().filter(is_late).count())
        });
        let late: Vec<usize> = late.collect();
        assert!(!late.is_empty(), "no upstream was leaving");
        assert_eq!(late.iter().sum::<usize>(), 0, "{hosts} hosts, {fault:?}, seed {seed}");
    }
}
