//! What a scheduler does with the requests of many hosts.
#![allow(clippy::unwrap_used)]

mod support;

use dispatch::backpressure::Backpressure;
use dispatch::scheduler::{
    Cell, Effect, Outcome, PlacementMessage, RefusalCause, Requester, SchedulerSet, Submission,
    Ticket, Withdrawal,
};
use dispatch::{AttemptFailure, LoadReport, ProbeFailure, UpstreamSet};
use domain::{Millis, UpstreamId};
use published::{Entry, Evacuations, Revision, RunStart};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use support::{entry, id, report, set, submission};

/// A scheduler, its knowledge, and the time.
struct Play {
    schedulers: SchedulerSet,
    upstreams: UpstreamSet,
    rng: Pcg64Mcg,
    now_ms: Millis,
    tickets: u64,
}

/// What became of a ticket.
#[derive(Debug, Clone, PartialEq)]
enum Fate {
    Placed(UpstreamId),
    Refused(RefusalCause),
    Waits,
}

impl Play {
    fn new(upstreams: &[&str]) -> Play {
        let entries: Vec<_> = upstreams.iter().map(|name| entry(name, "kariakoo")).collect();
        Play {
            schedulers: SchedulerSet::new("front-1".parse().unwrap()),
            upstreams: set(&entries),
            rng: Pcg64Mcg::seed_from_u64(7),
            now_ms: Millis(10_000),
            tickets: 0,
        }
    }

    fn wait(&mut self, span_ms: u64) {
        self.now_ms = self.now_ms + Millis(span_ms);
    }

    fn tell(&mut self, upstream: &str, told: LoadReport) -> Vec<Effect> {
        self.upstreams.record_report(self.now_ms, (&id(upstream), RunStart::default()), told);
        self.turn()
    }

    fn turn(&mut self) -> Vec<Effect> {
        self.schedulers.schedule(self.now_ms, &mut self.upstreams, &mut self.rng)
    }

    fn take(&mut self, message: PlacementMessage) -> Vec<Effect> {
        let requester = Requester::Peer("127.0.0.1:7000".parse().unwrap());
        self.schedulers.handle_message(
            self.now_ms,
            message,
            requester,
            &mut self.upstreams,
            &mut self.rng,
        )
    }

    fn submission(&mut self, tried: &[&str]) -> Submission {
        self.tickets += 1;
        let tried = tried.iter().map(|name| id(name)).collect();
        Submission { tried, ..submission(self.tickets) }
    }

    fn submit(&mut self) -> (Ticket, Vec<Effect>) {
        let submission = self.submission(&[]);
        let ticket = submission.ticket;
        (ticket, self.take(PlacementMessage::Submit(submission)))
    }

    fn end(
        &mut self,
        ticket: Ticket,
        failure: Option<AttemptFailure>,
        took_ms: u64,
    ) -> Vec<Effect> {
        let outcome = Outcome {
            failure,
            took_ms: Millis(took_ms),
            report: Some(report(1, 0, 100)),
            backpressure: Backpressure::default(),
        };
        self.take(PlacementMessage::Ended { ticket, outcome })
    }

    /// Has it learn that work takes 100 ms.
    fn learn_usual(&mut self, upstream: &str) {
        let all = self.upstreams.of_service(&"parts".parse().unwrap()).to_vec();
        for _ in 0..50 {
            for other in all.iter().filter(|other| other.as_str() != upstream) {
                self.tell(other.as_str(), report(0, 0, 700));
            }
            self.tell(upstream, report(0, 0, 100));
            let (ticket, effects) = self.submit();
            assert!(matches!(fate(&effects, ticket), Fate::Placed(_)), "{effects:?}");
            self.wait(100);
            self.end(ticket, None, 100);
        }
    }
}

fn cell() -> Cell {
    Cell { service: "parts".parse().unwrap(), zone: None }
}

fn fate(effects: &[Effect], wanted: Ticket) -> Fate {
    let of = |effect: &Effect| match effect {
        Effect::Send { message: PlacementMessage::Placed { ticket, placement }, .. }
            if *ticket == wanted =>
        {
            Some(Fate::Placed(placement.upstream.clone()))
        }
        Effect::Send { message: PlacementMessage::Refused { ticket, cause }, .. }
            if *ticket == wanted =>
        {
            Some(Fate::Refused(*cause))
        }
        _ => None,
    };
    effects.iter().find_map(of).unwrap_or(Fate::Waits)
}

fn asked(effects: &[Effect]) -> Vec<String> {
    let of = |effect: &Effect| match effect {
        Effect::Probe(upstream) => Some(upstream.to_string()),
        Effect::Send { .. } => None,
    };
    let mut asked: Vec<String> = effects.iter().filter_map(of).collect();
    asked.sort();
    asked
}

#[test]
fn what_was_just_told_places_at_once() {
    let mut play = Play::new(&["i-1", "i-2"]);
    play.tell("i-1", report(0, 0, 400));
    play.tell("i-2", report(0, 0, 100));
    let (ticket, effects) = play.submit();
    assert_eq!(fate(&effects, ticket), Fate::Placed(id("i-2")));
    assert!(asked(&effects).is_empty());
}

#[test]
fn what_is_not_known_is_asked_first() {
    let mut play = Play::new(&["i-1", "i-2"]);
    let (ticket, effects) = play.submit();
    assert_eq!(fate(&effects, ticket), Fate::Waits);
    assert_eq!(asked(&effects), ["i-1", "i-2"]);
    play.wait(2);
    let effects = play.tell("i-2", report(0, 0, 100));
    assert_eq!(fate(&effects, ticket), Fate::Placed(id("i-2")));
}

#[test]
fn who_is_asked_already_is_not_asked_for_the_next_request() {
    let mut play = Play::new(&["i-1", "i-2"]);
    play.submit();
    let (_, effects) = play.submit();
    assert!(asked(&effects).is_empty(), "{effects:?}");
}

#[test]
fn unanswered_questions_hold_nothing_up() {
    let mut play = Play::new(&["i-1", "i-2"]);
    let (ticket, _) = play.submit();
    play.wait(7);
    assert!(matches!(fate(&play.turn(), ticket), Fate::Placed(_)));
}

#[test]
fn upstreams_that_were_full_long_ago_are_asked_again() {
    let mut play = Play::new(&["i-1", "i-2"]);
    for _ in 0..100 {
        play.tell("i-1", report(6, 9, 100));
        play.tell("i-2", report(6, 9, 100));
    }
    play.wait(5_000);
    let (ticket, effects) = play.submit();
    assert_eq!(asked(&effects), ["i-1", "i-2"]);
    assert_eq!(fate(&effects, ticket), Fate::Waits);
    play.wait(2);
    let effects = play.tell("i-1", report(0, 0, 100));
    assert_eq!(fate(&effects, ticket), Fate::Placed(id("i-1")));
}

#[test]
fn little_is_waited_for_where_no_usual_time_is_known() {
    let mut play = Play::new(&["i-1"]);
    play.tell("i-1", report(6, 9, 100));
    let (ticket, effects) = play.submit();
    assert_eq!(fate(&effects, ticket), Fate::Waits);
    // A third of the objective.
    play.wait(140);
    let effects = play.tell("i-1", report(6, 9, 100));
    assert_eq!(fate(&effects, ticket), Fate::Placed(id("i-1")));
}

#[test]
fn all_slots_are_found_out_where_upstreams_tell_no_load() {
    let mut play = Play::new(&["i-1"]);
    let outcome = |took_ms| Outcome {
        failure: None,
        took_ms: Millis(took_ms),
        report: None,
        backpressure: Backpressure::default(),
    };
    let mut most = 0;
    // Each takes 100 ms, however many run beside it; there is always one more than fits.
    for _ in 0..1_500 {
        let tickets: Vec<Ticket> = (0..7).map(|_| play.submit().0).collect();
        play.wait(7);
        play.turn();
        let open = play.upstreams.get(&id("i-1")).unwrap().in_flight();
        most = open;
        play.wait(93);
        for ticket in tickets {
            play.take(PlacementMessage::Ended { ticket, outcome: outcome(100) });
            play.take(PlacementMessage::Withdrawn { ticket, withdrawal: Withdrawal::Sent });
        }
    }
    assert_eq!(most, 6);
}

#[test]
fn requests_wait_for_a_free_slot_rather_than_crowd() {
    let mut play = Play::new(&["i-1"]);
    play.learn_usual("i-1");
    play.tell("i-1", report(0, 0, 100));
    let placed = |play: &mut Play| {
        let (ticket, effects) = play.submit();
        (ticket, matches!(fate(&effects, ticket), Fate::Placed(_)))
    };
    let first: Vec<(Ticket, bool)> = (0..6).map(|_| placed(&mut play)).collect();
    let at_once = first.iter().filter(|(_, is_placed)| *is_placed).count();
    // Slots are six; with five the upstream gets little more done than with four.
    assert_eq!(at_once, 4, "{first:?}");
    let (waits, _) = first[4];
    let (ended, _) = first[0];
    play.wait(50);
    let effects = play.end(ended, None, 50);
    assert_eq!(fate(&effects, waits), Fate::Placed(id("i-1")));
}

#[test]
fn what_the_queue_shows_to_be_hopeless_is_refused_at_once() {
    let mut play = Play::new(&["i-1"]);
    play.learn_usual("i-1");
    play.tell("i-1", report(0, 0, 100));
    // Five run, and the objective leaves time for some rounds of them.
    let fates: Vec<Fate> = (0..60)
        .map(|_| {
            let (ticket, effects) = play.submit();
            fate(&effects, ticket)
        })
        .collect();
    let refused = fates.iter().position(|fate| matches!(fate, Fate::Refused(_))).unwrap();
    assert!((10..25).contains(&refused), "{refused}");
    assert!(fates[refused..].iter().all(|fate| matches!(fate, Fate::Refused(_))));
}

#[test]
fn a_short_queue_is_waited_in_though_upstreams_are_slowed_for_the_moment() {
    let mut play = Play::new(&["i-1"]);
    play.learn_usual("i-1");
    play.tell("i-1", report(0, 0, 900));
    let (ticket, effects) = play.submit();
    assert_eq!(fate(&effects, ticket), Fate::Waits);
    play.wait(50);
    let effects = play.tell("i-1", report(0, 0, 100));
    assert_eq!(fate(&effects, ticket), Fate::Placed(id("i-1")));
}

#[test]
fn the_time_to_come_back_is_when_there_is_room() {
    let mut play = Play::new(&["i-1"]);
    play.learn_usual("i-1");
    play.tell("i-1", report(0, 0, 100));
    let mut told = Vec::new();
    for _ in 0..60 {
        let (ticket, effects) = play.submit();
        if let Fate::Refused(RefusalCause::NoRoom { retry_after_ms, .. }) = fate(&effects, ticket) {
            told.push(retry_after_ms);
        }
    }
    assert!(told.iter().all(|after_ms| (30..400).contains(&after_ms.0)), "{told:?}");
}

#[test]
fn urgent_routes_go_first_and_then_those_that_end_first() {
    let mut play = Play::new(&["i-1"]);
    play.learn_usual("i-1");
    play.tell("i-1", report(0, 0, 100));
    let running: Vec<Ticket> = (0..4).map(|_| play.submit().0).collect();
    let mut submit = |priority: u32, age_ms: u64| {
        let submission = Submission { priority, age_ms: Millis(age_ms), ..play.submission(&[]) };
        let ticket = submission.ticket;
        play.take(PlacementMessage::Submit(submission));
        ticket
    };
    let (late, old, urgent) = (submit(1, 0), submit(1, 60), submit(0, 0));
    let mut order = Vec::new();
    for ended in running.into_iter().take(3) {
        play.wait(5);
        let effects = play.end(ended, None, 100);
        let placed = [late, old, urgent]
            .into_iter()
            .filter(|&ticket| matches!(fate(&effects, ticket), Fate::Placed(_)));
        order.extend(placed);
    }
    assert_eq!(order, [urgent, old, late]);
}

#[rstest]
#[case::failing(|play: &mut Play| fail_all(play, "i-1"))]
#[case::out_of_reach(|play: &mut Play| {
    let now_ms = play.now_ms;
    let known = play.upstreams.get_mut(&id("i-1")).unwrap();
    known.record_probe_failure(now_ms, ProbeFailure::Unreachable);
})]
fn an_idle_upstream_that_is_no_good_draws_nothing_while_others_are_full(
    #[case] spoil: fn(&mut Play),
) {
    let mut play = Play::new(&["i-1", "i-2"]);
    play.learn_usual("i-2");
    spoil(&mut play);
    play.tell("i-1", report(0, 0, 100));
    play.tell("i-2", report(0, 0, 100));
    for _ in 0..8 {
        let (ticket, effects) = play.submit();
        let fate = fate(&effects, ticket);
        assert_ne!(fate, Fate::Placed(id("i-1")));
    }
}

/// Requests end in an error there at once.
fn fail_all(play: &mut Play, upstream: &str) {
    for _ in 0..6 {
        let now_ms = play.now_ms;
        let known = play.upstreams.get_mut(&id(upstream)).unwrap();
        known.record_sent(Millis::ZERO);
        known.record_ended(now_ms, Some(AttemptFailure::ErrorResponse));
    }
}

#[test]
fn a_request_that_was_sent_once_goes_elsewhere_and_is_not_kept_back() {
    let mut play = Play::new(&["i-1", "i-2"]);
    play.learn_usual("i-1");
    play.tell("i-1", report(0, 0, 100));
    play.tell("i-2", report(0, 0, 700));
    let submission = play.submission(&["i-1"]);
    let ticket = submission.ticket;
    let effects = play.take(PlacementMessage::Submit(submission));
    assert_eq!(fate(&effects, ticket), Fate::Placed(id("i-2")));
}

#[test]
fn a_place_that_is_given_back_is_free() {
    let mut play = Play::new(&["i-1"]);
    play.tell("i-1", report(0, 0, 100));
    let (ticket, _) = play.submit();
    assert_eq!(play.upstreams.get(&id("i-1")).unwrap().in_flight(), 1);
    play.take(PlacementMessage::Withdrawn { ticket, withdrawal: Withdrawal::Sent });
    assert_eq!(play.upstreams.get(&id("i-1")).unwrap().in_flight(), 0);
}

#[test]
fn messages_that_come_twice_change_nothing() {
    let mut play = Play::new(&["i-1"]);
    play.tell("i-1", report(0, 0, 100));
    let submission = play.submission(&[]);
    let ticket = submission.ticket;
    for _ in 0..2 {
        play.take(PlacementMessage::Submit(submission.clone()));
    }
    assert_eq!(play.upstreams.get(&id("i-1")).unwrap().in_flight(), 1);
    for _ in 0..2 {
        play.end(ticket, None, 100);
    }
    assert_eq!(play.upstreams.get(&id("i-1")).unwrap().in_flight(), 0);
}

#[test]
fn a_request_whose_end_was_never_told_is_forgotten() {
    let mut play = Play::new(&["i-1"]);
    play.tell("i-1", report(0, 0, 100));
    play.submit();
    play.wait(1_400);
    play.turn();
    assert_eq!(play.upstreams.get(&id("i-1")).unwrap().in_flight(), 0);
}

#[test]
fn a_host_that_leaves_takes_no_more() {
    let mut play = Play::new(&["i-1"]);
    play.tell("i-1", report(0, 0, 100));
    play.schedulers.stop_accepting();
    let (ticket, effects) = play.submit();
    assert_eq!(fate(&effects, ticket), Fate::Refused(RefusalCause::NoUpstream));
}

#[test]
fn who_waits_is_told_so() {
    let mut play = Play::new(&["i-1"]);
    play.learn_usual("i-1");
    play.tell("i-1", report(0, 0, 100));
    for _ in 0..6 {
        play.submit();
    }
    let mut words = 0;
    for _ in 0..10 {
        play.wait(4);
        let is_word = |effect: &&Effect| {
            matches!(effect, Effect::Send { message: PlacementMessage::Queued { .. }, .. })
        };
        words += play.turn().iter().filter(is_word).count();
    }
    // Two wait, and are told every ten milliseconds or a little later.
    assert!((4..=8).contains(&words), "{words}");
}

#[test]
fn a_host_is_sent_where_it_has_a_connection() {
    let mut play = Play::new(&["i-1", "i-2", "i-3", "i-4"]);
    let mut placed = Vec::new();
    for _ in 0..20 {
        for name in ["i-1", "i-2", "i-3", "i-4"] {
            play.tell(name, report(0, 0, 100));
        }
        let (ticket, effects) = play.submit();
        let Fate::Placed(upstream) = fate(&effects, ticket) else { panic!("{effects:?}") };
        placed.push(upstream);
        play.end(ticket, None, 100);
        play.wait(100);
    }
    assert!(placed.iter().all(|upstream| *upstream == placed[0]), "{placed:?}");
}

/// All upstreams of a zone are down: hosts find out by connecting, and tell the scheduler. Before
/// it was told, it placed request after request there until each had been tried eight times, and
/// callers were refused while the other zones were idle.
#[rstest]
#[case::one_zone_of_several(Some("kariakoo"), true)]
#[case::the_whole_service(None, false)]
fn upstreams_that_hosts_cannot_reach_get_nothing_more(
    #[case] zone: Option<&str>,
    #[case] is_refused: bool,
) {
    let mut play = Play::new(&["i-1", "i-2", "i-3"]);
    let cell = Cell { zone: zone.map(|zone| zone.parse().unwrap()), ..cell() };
    let submit = |play: &mut Play| {
        let submission = Submission { cell: cell.clone(), ..play.submission(&[]) };
        let ticket = submission.ticket;
        (ticket, play.take(PlacementMessage::Submit(submission)))
    };
    for _ in 0..3 {
        for name in ["i-1", "i-2", "i-3"] {
            play.tell(name, report(0, 0, 100));
        }
        let (ticket, effects) = submit(&mut play);
        assert!(matches!(fate(&effects, ticket), Fate::Placed(_)), "{effects:?}");
        play.take(PlacementMessage::Withdrawn { ticket, withdrawal: Withdrawal::Unreachable });
    }
    let (ticket, effects) = submit(&mut play);
    let refused = fate(&effects, ticket) == Fate::Refused(RefusalCause::NoUpstream);
    assert_eq!(refused, is_refused, "{effects:?}");
    // Their entries are written anew: they are there.
    let entries: Vec<_> = ["i-1", "i-2", "i-3"]
        .map(|name| Entry { revision: Revision(2), ..entry(name, "kariakoo") })
        .to_vec();
    play.upstreams.sync(play.now_ms, entries.iter(), &Evacuations::default());
    let (ticket, effects) = submit(&mut play);
    assert!(matches!(fate(&effects, ticket), Fate::Placed(_)), "{effects:?}");
}
