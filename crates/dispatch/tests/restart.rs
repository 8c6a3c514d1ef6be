//! The state of an upstream ends with its run.
#![allow(clippy::unwrap_used)]

mod support;

use dispatch::backpressure::Backpressure;
use dispatch::scheduler::{
    Effect, Outcome, PlacementMessage, Requester, SchedulerSet, Ticket, Withdrawal,
};
use dispatch::{AttemptFailure, ProbeFailure, UpstreamSet};
use domain::Millis;
use published::{Evacuations, RunStart};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use support::{id, of_run, report, set, submission};

const FORMER: RunStart = RunStart(Some(Millis(100)));
const LATER: RunStart = RunStart(Some(Millis(200)));
const NOW: Millis = Millis(10_000);

/// An upstream with state of all kinds that has restarted.
fn restarted() -> UpstreamSet {
    let mut set = set(&[of_run("i-1", 100)]);
    set.record_report(NOW, (&id("i-1"), FORMER), report(5, 2, 400));
    let state = set.get_mut(&id("i-1")).unwrap();
    state.record_sent(NOW);
    state.record_sent(NOW);
    state.record_ended(NOW, Some(AttemptFailure::Disconnected));
    state.record_probe_failure(NOW, ProbeFailure::Unreachable);
    set.sync(NOW, [of_run("i-1", 200)].iter(), &Evacuations::default());
    set
}

#[test]
fn state_of_the_former_run_is_dropped() {
    let set = restarted();
    let state = set.get(&id("i-1")).unwrap();
    assert_eq!(state.in_flight(), 0);
    assert!(state.report(NOW).is_none());
    assert!(!state.is_excluded(NOW));
    assert_eq!(state.failure_rate(NOW), 0.0);
    assert!(set.has_restarted(&id("i-1"), FORMER));
    assert!(!set.has_restarted(&id("i-1"), LATER));
    assert!(!set.has_restarted(&id("i-1"), RunStart::default()));
}

#[test]
fn results_from_the_former_run_do_not_affect_the_next() {
    let mut set = restarted();
    set.get_mut(&id("i-1")).unwrap().record_sent(NOW);
    assert!(set.get_run_mut(&id("i-1"), FORMER).is_none());
    set.record_report(NOW, (&id("i-1"), FORMER), report(6, 9, 700));
    assert!(set.get(&id("i-1")).unwrap().report(NOW).is_none());
    assert_eq!(set.get_run_mut(&id("i-1"), LATER).unwrap().in_flight(), 1);
}

#[test]
fn entries_without_a_run_start_count_as_the_same_run() {
    let mut set = set(&[of_run("i-1", 100)]);
    set.get_mut(&id("i-1")).unwrap().record_sent(NOW);
    set.sync(NOW, [support::entry("i-1", "kariakoo")].iter(), &Evacuations::default());
    assert_eq!(set.get_run_mut(&id("i-1"), FORMER).unwrap().in_flight(), 1);
}

#[test]
fn a_request_that_ends_at_the_former_run_frees_no_slot_of_the_next() {
    let mut upstreams = set(&[of_run("i-1", 100)]);
    let mut schedulers = SchedulerSet::new("front-1".parse().unwrap());
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let requester = Requester::Peer("127.0.0.1:7000".parse().unwrap());
    let mut handle = |upstreams: &mut UpstreamSet, message| {
        schedulers.handle_message(NOW, message, requester, upstreams, &mut rng)
    };
    upstreams.record_report(NOW, (&id("i-1"), FORMER), report(0, 0, 100));
    handle(&mut upstreams, submit(1));
    assert_eq!(upstreams.get(&id("i-1")).unwrap().in_flight(), 1);
    upstreams.sync(NOW, [of_run("i-1", 200)].iter(), &Evacuations::default());
    upstreams.record_report(NOW, (&id("i-1"), LATER), report(0, 0, 100));
    handle(&mut upstreams, submit(2));
    assert_eq!(upstreams.get(&id("i-1")).unwrap().in_flight(), 1);
    let outcome = Outcome {
        failure: Some(AttemptFailure::Disconnected),
        took_ms: Millis(5),
        report: Some(report(6, 9, 700)),
        backpressure: Backpressure::default(),
    };
    let effects = handle(&mut upstreams, PlacementMessage::Ended { ticket: Ticket(1), outcome });
    assert!(effects.iter().all(|effect| !matches!(effect, Effect::Probe(_))), "{effects:?}");
    let state = upstreams.get(&id("i-1")).unwrap();
    assert_eq!((state.in_flight(), state.failure_rate(NOW)), (1, 0.0));
    assert_eq!(state.report(NOW).unwrap().0.running, 0);
    handle(
        &mut upstreams,
        PlacementMessage::Withdrawn { ticket: Ticket(2), withdrawal: Withdrawal::Sent },
    );
    assert_eq!(upstreams.get(&id("i-1")).unwrap().in_flight(), 0);
}

fn submit(ticket: u64) -> PlacementMessage {
    PlacementMessage::Submit(submission(ticket))
}
