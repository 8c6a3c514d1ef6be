//! Upstreams that ask a host to back off get nothing from it; what that means for other hosts.
#![allow(clippy::unwrap_used)]

mod support;

use dispatch::LoadReport;
use dispatch::UpstreamSet;
use dispatch::backpressure::{Backpressure, ResponseKind};
use dispatch::scheduler::{
    Effect, PlacementMessage, RefusalCause, Requester, SchedulerSet, Submission, Ticket,
};
use domain::{Millis, PerSecond, UpstreamId};
use published::{Evacuations, RunStart};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use support::{entry, id, of_run, report, set, submission};

const NOW: Millis = Millis(10_000);
const RUN: RunStart = RunStart(None);
const IDLE: (u32, u32, u32) = (0, 0, 100);

fn asks_for(backoff_ms: Option<u64>) -> Backpressure {
    Backpressure { backoff_ms: backoff_ms.map(Millis), ..Backpressure::default() }
}

fn left(set: &UpstreamSet, after_ms: u64) -> Option<u64> {
    set.remaining_backoff(NOW + Millis(after_ms), &id("i-1")).map(|left_ms| left_ms.0)
}

/// What an upstream answers, and after how long.
#[derive(Debug, Clone, Copy)]
struct Told(u64, ResponseKind, Option<u64>);

const SERVED: ResponseKind = ResponseKind::Served;
const FAILED: ResponseKind = ResponseKind::Failed;

#[rstest]
#[case::never(&[Told(0, FAILED, None)], None)]
#[case::asked(&[Told(0, FAILED, Some(3_000))], Some(2_500))]
#[case::nothing(&[Told(0, FAILED, Some(0))], None)]
#[case::over(&[Told(0, FAILED, Some(400))], None)]
#[case::the_longer_holds(&[Told(0, FAILED, Some(3_000)), Told(100, FAILED, Some(1_000))], Some(2_500))]
#[case::drawn_out(&[Told(0, FAILED, Some(1_000)), Told(100, FAILED, Some(3_000))], Some(2_600))]
#[case::what_was_under_way_ends_nothing(&[Told(0, FAILED, Some(3_000)), Told(50, SERVED, None)], Some(2_500))]
#[case::a_year_is_a_minute(&[Told(0, FAILED, Some(31_536_000_000))], Some(59_500))]
fn a_host_backs_off_for_as_long_as_it_was_asked(
    #[case] told: &[Told],
    #[case] wanted: Option<u64>,
) {
    let mut set = set(&[entry("i-1", "kariakoo")]);
    for Told(after_ms, kind, backoff_ms) in told {
        let (at_ms, said) = (NOW + Millis(*after_ms), asks_for(*backoff_ms));
        set.record_backpressure(at_ms, (&id("i-1"), RUN), *kind, said);
    }
    assert_eq!(left(&set, 500), wanted);
}

#[test]
fn it_begins_once_and_no_peer_is_told() {
    let mut set = set(&[entry("i-1", "kariakoo")]);
    let mut note = |after_ms| {
        let at = (&id("i-1"), RUN);
        let changed =
            set.record_backpressure(NOW + Millis(after_ms), at, FAILED, asks_for(Some(900)));
        changed.and_then(|changed| changed.backoff_ms)
    };
    assert_eq!(note(0), Some(Millis(900)));
    assert_eq!(note(10), None);
    assert_eq!(note(2_000), Some(Millis(900)));
    assert!(!set.backpressure().has_pending());
    assert_eq!(set.backpressure().digest(), 0);
}

#[test]
fn a_run_that_begins_is_not_the_one_that_asked() {
    let mut set = set(&[of_run("i-1", 100)]);
    let run = RunStart(Some(Millis(100)));
    set.record_backpressure(NOW, (&id("i-1"), run), FAILED, asks_for(Some(3_000)));
    assert_eq!(left(&set, 0), Some(3_000));
    set.sync(NOW, [of_run("i-1", 200)].iter(), &Evacuations::default());
    assert_eq!(left(&set, 0), None);
}

#[test]
fn an_entry_that_lapses_and_is_back_is_still_left_alone() {
    let mut set = set(&[entry("i-1", "kariakoo")]);
    set.record_backpressure(NOW, (&id("i-1"), RUN), FAILED, asks_for(Some(9_000)));
    set.sync(NOW, [].iter(), &Evacuations::default());
    set.forget_backpressure(NOW + Millis(2_000));
    set.sync(NOW, [entry("i-1", "kariakoo")].iter(), &Evacuations::default());
    assert_eq!(left(&set, 2_000), Some(7_000));
}

#[rstest]
#[case::one_takes_what_comes(&[Some(3_000), None], None)]
#[case::the_first_that_is_free(&[Some(3_000), Some(700)], Some(700))]
fn a_host_knows_when_the_first_is_free(#[case] asked: &[Option<u64>], #[case] wanted: Option<u64>) {
    let names = ["i-1", "i-2"];
    let mut set = set(&names.map(|name| entry(name, "kariakoo")));
    for (name, backoff_ms) in names.iter().zip(asked) {
        set.record_backpressure(NOW, (&id(name), RUN), FAILED, asks_for(*backoff_ms));
    }
    let free_in = set.next_request_in(NOW, &"parts".parse().unwrap());
    assert_eq!(free_in, wanted.map(Millis));
}

/// A scheduler, and two hosts that hand it their requests.
struct Play {
    schedulers: SchedulerSet,
    upstreams: UpstreamSet,
    rng: Pcg64Mcg,
    tickets: u64,
    now_ms: Millis,
}

impl Play {
    fn new(upstreams: &[&str]) -> Play {
        let entries: Vec<_> = upstreams.iter().map(|name| entry(name, "kariakoo")).collect();
        Play {
            schedulers: SchedulerSet::new("front-1".parse().unwrap()),
            upstreams: set(&entries),
            rng: Pcg64Mcg::seed_from_u64(7),
            tickets: 0,
            now_ms: NOW,
        }
    }

    fn tell(&mut self, upstream: &str, (running, waiting, slowness): (u32, u32, u32)) {
        let told: LoadReport = report(running, waiting, slowness);
        self.upstreams.record_report(self.now_ms, (&id(upstream), RUN), told);
    }

    fn take(&mut self, host: u16, message: PlacementMessage) -> Vec<Effect> {
        let requester = Requester::Peer(([127, 0, 0, 1], host).into());
        self.schedulers.handle_message(
            self.now_ms,
            message,
            requester,
            &mut self.upstreams,
            &mut self.rng,
        )
    }

    fn turn(&mut self) -> Vec<Effect> {
        self.schedulers.schedule(self.now_ms, &mut self.upstreams, &mut self.rng)
    }

    fn submit(&mut self, host: u16, backing_off: &[&str]) -> (Ticket, Vec<Effect>) {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let backing_off = backing_off.iter().map(|name| id(name)).collect();
        let submission = Submission { backing_off, ..submission(self.tickets) };
        (ticket, self.take(host, PlacementMessage::Submit(submission)))
    }
}

/// When the caller of a refused request is to come back.
fn refused_for(effects: &[Effect], wanted: Ticket) -> Option<u64> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send { message: PlacementMessage::Refused { ticket, cause }, .. }
            if *ticket == wanted =>
        {
            match cause {
                RefusalCause::NoRoom { retry_after_ms, .. } => Some(retry_after_ms.0),
                RefusalCause::NoUpstream => None,
            }
        }
        _ => None,
    })
}

fn placed(effects: &[Effect]) -> Option<UpstreamId> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send { message: PlacementMessage::Placed { placement, .. }, .. } => {
            Some(placement.upstream.clone())
        }
        _ => None,
    })
}

#[test]
fn a_scheduler_places_nothing_where_the_requests_host_backs_off() {
    let mut play = Play::new(&["i-1", "i-2"]);
    play.tell("i-1", IDLE);
    play.tell("i-2", (0, 0, 115));
    let (_, effects) = play.submit(1, &["i-1"]);
    assert_eq!(placed(&effects), Some(id("i-2")));
    let (_, effects) = play.submit(2, &[]);
    assert_eq!(placed(&effects), Some(id("i-1")), "others were not asked to");
}

#[test]
fn a_request_whose_host_backs_off_from_all_is_refused_at_once() {
    let mut play = Play::new(&["i-1", "i-2"]);
    play.tell("i-1", IDLE);
    play.tell("i-2", IDLE);
    let (ticket, effects) = play.submit(1, &["i-1", "i-2"]);
    let cause = RefusalCause::NoUpstream;
    let refused = PlacementMessage::Refused { ticket, cause };
    let is_told =
        |effect: &Effect| matches!(effect, Effect::Send { message, .. } if *message == refused);
    assert!(effects.iter().any(is_told), "{effects:?}");
}

/// The only upstream takes two requests a second: what can't be served in time is told so at once, and
/// when to come back; what can waits.
#[test]
fn where_a_rate_is_all_there_is_nobody_waits_in_vain() {
    let mut play = Play::new(&["i-1"]);
    let limited = Backpressure { rate_limit: Some(PerSecond(2.0)), ..Backpressure::default() };
    play.upstreams.record_backpressure(NOW, (&id("i-1"), RUN), SERVED, limited);
    let at = |play: &mut Play, after_ms: u64| {
        play.now_ms = NOW + Millis(after_ms);
        play.tell("i-1", IDLE);
        let (ticket, effects) = play.submit(1, &[]);
        (ticket, placed(&effects).is_some(), refused_for(&effects, ticket))
    };
    let (_, is_placed, _) = at(&mut play, 0);
    assert!(is_placed);
    let (_, is_placed, refused_ms) = at(&mut play, 20);
    assert!(!is_placed);
    // Free after 480 ms, of which the request could wait some 130.
    let refused_ms = refused_ms.expect("it waits in vain");
    assert!((300..400).contains(&refused_ms), "{refused_ms}");
    let (_, is_placed, refused_ms) = at(&mut play, 420);
    assert!(!is_placed && refused_ms.is_none(), "it waits 80 ms");
    play.now_ms = NOW + Millis(505);
    play.tell("i-1", IDLE);
    let effects = play.turn();
    assert_eq!(placed(&effects), Some(id("i-1")));
}
