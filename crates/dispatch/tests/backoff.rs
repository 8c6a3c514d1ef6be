//! A host sends nothing to an upstream that asked it to back off; other hosts aren't affected.
#![allow(clippy::unwrap_used)]

mod support;

use dispatch::LoadReport;
use dispatch::UpstreamSet;
use dispatch::backpressure::{Backpressure, ResponseKind};
use dispatch::scheduler::{
    Effect, PlacementMessage, RefusalCause, Requester, SchedulerSet, Submission, Ticket,
};
use domain::{Millis, PerSecond};
use published::{Evacuations, RunStart};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use support::{entry, id, of_run, placed, report, set, submission};

const NOW: Millis = Millis(10_000);
const RUN: RunStart = RunStart(None);
const IDLE: (u32, u32, u32) = (0, 0, 100);

fn backoff(backoff_ms: Option<u64>) -> Backpressure {
    Backpressure { backoff_ms: backoff_ms.map(Millis), ..Backpressure::default() }
}

fn remaining_ms(set: &UpstreamSet, after_ms: u64) -> Option<u64> {
    set.remaining_backoff(NOW + Millis(after_ms), &id("i-1")).map(|left_ms| left_ms.0)
}

/// A response of an upstream: when, its kind, and the backoff that it asks for.
#[derive(Debug, Clone, Copy)]
struct StatedBackoff(u64, ResponseKind, Option<u64>);

const SERVED: ResponseKind = ResponseKind::Served;
const FAILED: ResponseKind = ResponseKind::Failed;

#[rstest]
#[case::never(&[StatedBackoff(0, FAILED, None)], None)]
#[case::asked(&[StatedBackoff(0, FAILED, Some(3_000))], Some(2_500))]
#[case::nothing(&[StatedBackoff(0, FAILED, Some(0))], None)]
#[case::over(&[StatedBackoff(0, FAILED, Some(400))], None)]
#[case::the_longer_holds(&[StatedBackoff(0, FAILED, Some(3_000)), StatedBackoff(100, FAILED, Some(1_000))], Some(2_500))]
#[case::extended(&[StatedBackoff(0, FAILED, Some(1_000)), StatedBackoff(100, FAILED, Some(3_000))], Some(2_600))]
#[case::an_earlier_request_ends_nothing(&[StatedBackoff(0, FAILED, Some(3_000)), StatedBackoff(50, SERVED, None)], Some(2_500))]
#[case::capped(&[StatedBackoff(0, FAILED, Some(31_536_000_000))], Some(59_500))]
fn a_host_backs_off_for_as_long_as_it_was_asked(
    #[case] responses: &[StatedBackoff],
    #[case] expected: Option<u64>,
) {
    let mut set = set(&[entry("i-1", "kariakoo")]);
    for StatedBackoff(after_ms, kind, backoff_ms) in responses {
        let (at_ms, stated) = (NOW + Millis(*after_ms), backoff(*backoff_ms));
        set.record_backpressure(at_ms, (&id("i-1"), RUN), *kind, stated);
    }
    assert_eq!(remaining_ms(&set, 500), expected);
}

#[test]
fn a_backoff_begins_once_and_is_not_broadcast() {
    let mut set = set(&[entry("i-1", "kariakoo")]);
    let mut record = |after_ms| {
        let at = (&id("i-1"), RUN);
        let changed =
            set.record_backpressure(NOW + Millis(after_ms), at, FAILED, backoff(Some(900)));
        changed.and_then(|changed| changed.backoff_ms)
    };
    assert_eq!(record(0), Some(Millis(900)));
    assert_eq!(record(10), None);
    assert_eq!(record(2_000), Some(Millis(900)));
    assert!(!set.backpressure().has_pending());
    assert_eq!(set.backpressure().digest(), 0);
}

#[test]
fn a_restart_ends_the_backoff() {
    let mut set = set(&[of_run("i-1", 100)]);
    let run = RunStart(Some(Millis(100)));
    set.record_backpressure(NOW, (&id("i-1"), run), FAILED, backoff(Some(3_000)));
    assert_eq!(remaining_ms(&set, 0), Some(3_000));
    set.sync(NOW, [of_run("i-1", 200)].iter(), &Evacuations::default());
    assert_eq!(remaining_ms(&set, 0), None);
}

#[test]
fn a_backoff_outlasts_an_expired_entry() {
    let mut set = set(&[entry("i-1", "kariakoo")]);
    set.record_backpressure(NOW, (&id("i-1"), RUN), FAILED, backoff(Some(9_000)));
    set.sync(NOW, [].iter(), &Evacuations::default());
    set.forget_backpressure(NOW + Millis(2_000));
    set.sync(NOW, [entry("i-1", "kariakoo")].iter(), &Evacuations::default());
    assert_eq!(remaining_ms(&set, 2_000), Some(7_000));
}

#[rstest]
#[case::one_has_no_backoff(&[Some(3_000), None], None)]
#[case::the_shortest_counts(&[Some(3_000), Some(700)], Some(700))]
fn the_next_request_may_be_sent_when_the_shortest_backoff_ends(
    #[case] backoffs: &[Option<u64>],
    #[case] expected: Option<u64>,
) {
    let names = ["i-1", "i-2"];
    let mut set = set(&names.map(|name| entry(name, "kariakoo")));
    for (name, backoff_ms) in names.iter().zip(backoffs) {
        set.record_backpressure(NOW, (&id(name), RUN), FAILED, backoff(*backoff_ms));
    }
    let next_request_in = set.next_request_in(NOW, &"parts".parse().unwrap());
    assert_eq!(next_request_in, expected.map(Millis));
}

/// A scheduler, and two hosts that submit requests to it.
struct Simulation {
    schedulers: SchedulerSet,
    upstreams: UpstreamSet,
    rng: Pcg64Mcg,
    tickets: u64,
    now_ms: Millis,
}

impl Simulation {
    fn new(upstreams: &[&str]) -> Simulation {
        let entries: Vec<_> = upstreams.iter().map(|name| entry(name, "kariakoo")).collect();
        Simulation {
            schedulers: SchedulerSet::new("front-1".parse().unwrap()),
            upstreams: set(&entries),
            rng: Pcg64Mcg::seed_from_u64(7),
            tickets: 0,
            now_ms: NOW,
        }
    }

    fn record_report(&mut self, upstream: &str, (running, waiting, slowness): (u32, u32, u32)) {
        let report: LoadReport = report(running, waiting, slowness);
        self.upstreams.record_report(self.now_ms, (&id(upstream), RUN), report);
    }

    fn handle_message(&mut self, host: u16, message: PlacementMessage) -> Vec<Effect> {
        let requester = Requester::Peer(([127, 0, 0, 1], host).into());
        self.schedulers.handle_message(
            self.now_ms,
            message,
            requester,
            &mut self.upstreams,
            &mut self.rng,
        )
    }

    fn schedule(&mut self) -> Vec<Effect> {
        self.schedulers.schedule(self.now_ms, &mut self.upstreams, &mut self.rng)
    }

    fn submit(&mut self, host: u16, backing_off: &[&str]) -> (Ticket, Vec<Effect>) {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let backing_off = backing_off.iter().map(|name| id(name)).collect();
        let submission = Submission { backing_off, ..submission(self.tickets) };
        (ticket, self.handle_message(host, PlacementMessage::Submit(submission)))
    }
}

/// When the caller of a refused request may retry.
fn refused_for(effects: &[Effect], expected: Ticket) -> Option<u64> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send { message: PlacementMessage::Refused { ticket, cause }, .. }
            if *ticket == expected =>
        {
            match cause {
                RefusalCause::NoRoom { retry_after_ms, .. } => Some(retry_after_ms.0),
                RefusalCause::NoUpstream | RefusalCause::CutOff => None,
            }
        }
        _ => None,
    })
}

#[test]
fn a_scheduler_avoids_upstreams_that_the_submitting_host_backs_off_from() {
    let mut simulation = Simulation::new(&["i-1", "i-2"]);
    simulation.record_report("i-1", IDLE);
    simulation.record_report("i-2", (0, 0, 115));
    let (_, effects) = simulation.submit(1, &["i-1"]);
    assert_eq!(placed(&effects), Some(id("i-2")));
    let (_, effects) = simulation.submit(2, &[]);
    assert_eq!(placed(&effects), Some(id("i-1")), "other hosts were not asked to");
}

#[test]
fn a_request_whose_host_backs_off_from_all_upstreams_is_refused_at_once() {
    let mut simulation = Simulation::new(&["i-1", "i-2"]);
    simulation.record_report("i-1", IDLE);
    simulation.record_report("i-2", IDLE);
    let (ticket, effects) = simulation.submit(1, &["i-1", "i-2"]);
    let cause = RefusalCause::NoUpstream;
    let refused = PlacementMessage::Refused { ticket, cause };
    let is_refusal =
        |effect: &Effect| matches!(effect, Effect::Send { message, .. } if *message == refused);
    assert!(effects.iter().any(is_refusal), "{effects:?}");
}

/// With one upstream at two requests a second: a request that can't be served in time is refused
/// at once with a retry time, and one that can waits.
#[test]
fn a_request_that_cannot_be_served_in_time_is_refused_at_once() {
    let mut simulation = Simulation::new(&["i-1"]);
    let limited = Backpressure { rate_limit: Some(PerSecond(2.0)), ..Backpressure::default() };
    simulation.upstreams.record_backpressure(NOW, (&id("i-1"), RUN), SERVED, limited);
    let at = |simulation: &mut Simulation, after_ms: u64| {
        simulation.now_ms = NOW + Millis(after_ms);
        simulation.record_report("i-1", IDLE);
        let (ticket, effects) = simulation.submit(1, &[]);
        (ticket, placed(&effects).is_some(), refused_for(&effects, ticket))
    };
    let (_, is_placed, _) = at(&mut simulation, 0);
    assert!(is_placed);
    let (_, is_placed, refused_ms) = at(&mut simulation, 20);
    assert!(!is_placed);
    // Free after 480 ms, of which the request could wait some 130.
    let refused_ms = refused_ms.expect("it is not refused");
    assert!((300..400).contains(&refused_ms), "{refused_ms}");
    let (_, is_placed, refused_ms) = at(&mut simulation, 420);
    assert!(!is_placed && refused_ms.is_none(), "it waits 80 ms");
    simulation.now_ms = NOW + Millis(505);
    simulation.record_report("i-1", IDLE);
    let effects = simulation.schedule();
    assert_eq!(placed(&effects), Some(id("i-1")));
}
