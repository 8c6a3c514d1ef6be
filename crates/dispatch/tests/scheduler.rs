//! Placement of requests by a scheduler.
#![allow(clippy::unwrap_used)]

mod support;

use dispatch::backpressure::{Backpressure, ResponseKind};
use dispatch::scheduler::{
    Cell, Effect, Outcome, PlacementMessage, RefusalCause, Requester, SchedulerSet, Submission,
    Ticket, Withdrawal,
};
use dispatch::{AttemptFailure, LoadReport, ProbeFailure, UpstreamSet};
use domain::{Millis, PerSecond, UpstreamId};
use published::{Entry, Evacuations, Revision, RunStart};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use support::{entry, id, report, set, submission};

/// A scheduler with its upstreams and clock.
struct Harness {
    schedulers: SchedulerSet,
    upstreams: UpstreamSet,
    rng: Pcg64Mcg,
    now_ms: Millis,
    tickets: u64,
}

#[derive(Debug, Clone, PartialEq)]
enum RequestState {
    Placed(UpstreamId),
    Refused(RefusalCause),
    Waits,
}

impl Harness {
    fn new(upstreams: &[&str]) -> Harness {
        let entries: Vec<_> = upstreams.iter().map(|name| entry(name, "kariakoo")).collect();
        Harness {
            schedulers: SchedulerSet::new("front-1".parse().unwrap()),
            upstreams: set(&entries),
            rng: Pcg64Mcg::seed_from_u64(7),
            now_ms: Millis(10_000),
            tickets: 0,
        }
    }

    fn advance(&mut self, span_ms: u64) {
        self.now_ms = self.now_ms + Millis(span_ms);
    }

    fn report(&mut self, upstream: &str, reported: LoadReport) -> Vec<Effect> {
        self.upstreams.record_report(self.now_ms, (&id(upstream), RunStart::default()), reported);
        self.schedule()
    }

    fn schedule(&mut self) -> Vec<Effect> {
        self.schedulers.schedule(self.now_ms, &mut self.upstreams, &mut self.rng)
    }

    fn handle(&mut self, message: PlacementMessage) -> Vec<Effect> {
        self.handle_from(Requester::Peer("127.0.0.1:7000".parse().unwrap()), message)
    }

    fn handle_from(&mut self, requester: Requester, message: PlacementMessage) -> Vec<Effect> {
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
        (ticket, self.handle(PlacementMessage::Submit(submission)))
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
        self.handle(PlacementMessage::Ended { ticket, outcome })
    }

    /// Makes the scheduler learn a baseline of 100 ms.
    fn learn_baseline(&mut self, upstream: &str) {
        let all = self.upstreams.of_service(&"parts".parse().unwrap()).to_vec();
        for _ in 0..50 {
            for other in all.iter().filter(|other| other.as_str() != upstream) {
                self.report(other.as_str(), report(0, 0, 700));
            }
            self.report(upstream, report(0, 0, 100));
            let (ticket, effects) = self.submit();
            assert!(
                matches!(request_state(&effects, ticket), RequestState::Placed(_)),
                "{effects:?}"
            );
            self.advance(100);
            self.end(ticket, None, 100);
        }
    }
}

fn cell() -> Cell {
    Cell { service: "parts".parse().unwrap(), zone: None }
}

fn request_state(effects: &[Effect], wanted: Ticket) -> RequestState {
    let of = |effect: &Effect| match effect {
        Effect::Send { message: PlacementMessage::Placed { ticket, placement }, .. }
            if *ticket == wanted =>
        {
            Some(RequestState::Placed(placement.upstream.clone()))
        }
        Effect::Send { message: PlacementMessage::Refused { ticket, cause }, .. }
            if *ticket == wanted =>
        {
            Some(RequestState::Refused(*cause))
        }
        _ => None,
    };
    effects.iter().find_map(of).unwrap_or(RequestState::Waits)
}

fn probed(effects: &[Effect]) -> Vec<String> {
    let of = |effect: &Effect| match effect {
        Effect::Probe(upstream) => Some(upstream.to_string()),
        Effect::Send { .. } | Effect::LogUnreachable { .. } => None,
    };
    let mut probed: Vec<String> = effects.iter().filter_map(of).collect();
    probed.sort();
    probed
}

#[test]
fn a_fresh_report_places_a_request_at_once() {
    let mut harness = Harness::new(&["i-1", "i-2"]);
    harness.report("i-1", report(0, 0, 400));
    harness.report("i-2", report(0, 0, 100));
    let (ticket, effects) = harness.submit();
    assert_eq!(request_state(&effects, ticket), RequestState::Placed(id("i-2")));
    assert!(probed(&effects).is_empty());
}

#[test]
fn upstreams_without_a_report_are_probed_first() {
    let mut harness = Harness::new(&["i-1", "i-2"]);
    let (ticket, effects) = harness.submit();
    assert_eq!(request_state(&effects, ticket), RequestState::Waits);
    assert_eq!(probed(&effects), ["i-1", "i-2"]);
    harness.advance(2);
    let effects = harness.report("i-2", report(0, 0, 100));
    assert_eq!(request_state(&effects, ticket), RequestState::Placed(id("i-2")));
}

#[test]
fn a_pending_probe_serves_the_next_request_too() {
    let mut harness = Harness::new(&["i-1", "i-2"]);
    harness.submit();
    let (_, effects) = harness.submit();
    assert!(probed(&effects).is_empty(), "{effects:?}");
}

#[test]
fn unanswered_probes_delay_nothing() {
    let mut harness = Harness::new(&["i-1", "i-2"]);
    let (ticket, _) = harness.submit();
    harness.advance(7);
    assert!(matches!(request_state(&harness.schedule(), ticket), RequestState::Placed(_)));
}

#[test]
fn upstreams_with_outdated_reports_are_probed_though_they_were_full() {
    let mut harness = Harness::new(&["i-1", "i-2"]);
    for _ in 0..100 {
        harness.report("i-1", report(6, 9, 100));
        harness.report("i-2", report(6, 9, 100));
    }
    harness.advance(5_000);
    let (ticket, effects) = harness.submit();
    assert_eq!(probed(&effects), ["i-1", "i-2"]);
    assert_eq!(request_state(&effects, ticket), RequestState::Waits);
    harness.advance(2);
    let effects = harness.report("i-1", report(0, 0, 100));
    assert_eq!(request_state(&effects, ticket), RequestState::Placed(id("i-1")));
}

#[test]
fn without_a_baseline_requests_wait_only_briefly() {
    let mut harness = Harness::new(&["i-1"]);
    harness.report("i-1", report(6, 9, 100));
    let (ticket, effects) = harness.submit();
    assert_eq!(request_state(&effects, ticket), RequestState::Waits);
    // A third of the objective, which is assumed as baseline.
    harness.advance(140);
    let effects = harness.report("i-1", report(6, 9, 100));
    assert_eq!(request_state(&effects, ticket), RequestState::Placed(id("i-1")));
}

#[test]
fn all_slots_are_used_where_upstreams_report_no_load() {
    let mut harness = Harness::new(&["i-1"]);
    let outcome = |took_ms| Outcome {
        failure: None,
        took_ms: Millis(took_ms),
        report: None,
        backpressure: Backpressure::default(),
    };
    let mut most = 0;
    // Each request takes 100 ms at any concurrency; there is always one more than there are slots.
    for _ in 0..1_500 {
        let tickets: Vec<Ticket> = (0..7).map(|_| harness.submit().0).collect();
        harness.advance(7);
        harness.schedule();
        let open = harness.upstreams.get(&id("i-1")).unwrap().in_flight();
        most = open;
        harness.advance(93);
        for ticket in tickets {
            harness.handle(PlacementMessage::Ended { ticket, outcome: outcome(100) });
            harness.handle(PlacementMessage::Withdrawn { ticket, withdrawal: Withdrawal::Sent });
        }
    }
    assert_eq!(most, 6);
}

#[test]
fn requests_wait_at_the_best_concurrency() {
    let mut harness = Harness::new(&["i-1"]);
    harness.learn_baseline("i-1");
    harness.report("i-1", report(0, 0, 100));
    let placed = |harness: &mut Harness| {
        let (ticket, effects) = harness.submit();
        (ticket, matches!(request_state(&effects, ticket), RequestState::Placed(_)))
    };
    let first: Vec<(Ticket, bool)> = (0..6).map(|_| placed(&mut harness)).collect();
    let at_once = first.iter().filter(|(_, is_placed)| *is_placed).count();
    // Of six slots: with five in use the initial curve has little more throughput than with four.
    assert_eq!(at_once, 4, "{first:?}");
    let (waits, _) = first[4];
    let (ended, _) = first[0];
    harness.advance(50);
    let effects = harness.end(ended, None, 50);
    assert_eq!(request_state(&effects, waits), RequestState::Placed(id("i-1")));
}

#[test]
fn requests_that_would_be_late_are_refused_at_once() {
    let mut harness = Harness::new(&["i-1"]);
    harness.learn_baseline("i-1");
    harness.report("i-1", report(0, 0, 100));
    // Four run at a time, and the objective leaves time for a few rounds.
    let states: Vec<RequestState> = (0..60)
        .map(|_| {
            let (ticket, effects) = harness.submit();
            request_state(&effects, ticket)
        })
        .collect();
    let refused =
        states.iter().position(|state| matches!(state, RequestState::Refused(_))).unwrap();
    assert!((10..25).contains(&refused), "{refused}");
    assert!(states[refused..].iter().all(|state| matches!(state, RequestState::Refused(_))));
}

#[test]
fn requests_wait_in_a_short_queue_even_if_upstreams_are_slow() {
    let mut harness = Harness::new(&["i-1"]);
    harness.learn_baseline("i-1");
    harness.report("i-1", report(0, 0, 900));
    let (ticket, effects) = harness.submit();
    assert_eq!(request_state(&effects, ticket), RequestState::Waits);
    harness.advance(50);
    let effects = harness.report("i-1", report(0, 0, 100));
    assert_eq!(request_state(&effects, ticket), RequestState::Placed(id("i-1")));
}

#[test]
fn retry_after_is_when_capacity_is_expected() {
    let mut harness = Harness::new(&["i-1"]);
    harness.learn_baseline("i-1");
    harness.report("i-1", report(0, 0, 100));
    let mut reported = Vec::new();
    for _ in 0..60 {
        let (ticket, effects) = harness.submit();
        if let RequestState::Refused(RefusalCause::NoRoom { retry_after_ms, .. }) =
            request_state(&effects, ticket)
        {
            reported.push(retry_after_ms);
        }
    }
    assert!(reported.iter().all(|after_ms| (30..400).contains(&after_ms.0)), "{reported:?}");
}

#[test]
fn urgent_routes_go_first_and_then_the_earliest_objective() {
    let mut harness = Harness::new(&["i-1"]);
    harness.learn_baseline("i-1");
    harness.report("i-1", report(0, 0, 100));
    let running: Vec<Ticket> = (0..4).map(|_| harness.submit().0).collect();
    let mut submit = |priority: u32, age_ms: u64| {
        let submission = Submission { priority, age_ms: Millis(age_ms), ..harness.submission(&[]) };
        let ticket = submission.ticket;
        harness.handle(PlacementMessage::Submit(submission));
        ticket
    };
    let (late, old, urgent) = (submit(1, 0), submit(1, 60), submit(0, 0));
    let mut order = Vec::new();
    for ended in running.into_iter().take(3) {
        harness.advance(5);
        let effects = harness.end(ended, None, 100);
        let placed = [late, old, urgent]
            .into_iter()
            .filter(|&ticket| matches!(request_state(&effects, ticket), RequestState::Placed(_)));
        order.extend(placed);
    }
    assert_eq!(order, [urgent, old, late]);
}

#[rstest]
#[case::failing(|harness: &mut Harness| fail_all(harness, "i-1"))]
#[case::unreachable(|harness: &mut Harness| {
    let now_ms = harness.now_ms;
    let known = harness.upstreams.get_mut(&id("i-1")).unwrap();
    known.record_probe_failure(now_ms, ProbeFailure::Unreachable);
})]
fn an_idle_but_faulty_upstream_gets_nothing_while_others_are_full(
    #[case] disable: fn(&mut Harness),
) {
    let mut harness = Harness::new(&["i-1", "i-2"]);
    harness.learn_baseline("i-2");
    disable(&mut harness);
    harness.report("i-1", report(0, 0, 100));
    harness.report("i-2", report(0, 0, 100));
    for _ in 0..8 {
        let (ticket, effects) = harness.submit();
        let state = request_state(&effects, ticket);
        assert_ne!(state, RequestState::Placed(id("i-1")));
    }
}

/// Makes requests to the upstream fail at once.
fn fail_all(harness: &mut Harness, upstream: &str) {
    for _ in 0..6 {
        let now_ms = harness.now_ms;
        let known = harness.upstreams.get_mut(&id(upstream)).unwrap();
        known.record_sent(Millis::ZERO);
        known.record_ended(now_ms, Some(AttemptFailure::ErrorResponse));
    }
}

#[test]
fn a_retry_goes_to_another_upstream_without_waiting() {
    let mut harness = Harness::new(&["i-1", "i-2"]);
    harness.learn_baseline("i-1");
    harness.report("i-1", report(0, 0, 100));
    harness.report("i-2", report(0, 0, 700));
    let submission = harness.submission(&["i-1"]);
    let ticket = submission.ticket;
    let effects = harness.handle(PlacementMessage::Submit(submission));
    assert_eq!(request_state(&effects, ticket), RequestState::Placed(id("i-2")));
}

#[test]
fn a_withdrawn_placement_frees_its_slot() {
    let mut harness = Harness::new(&["i-1"]);
    harness.report("i-1", report(0, 0, 100));
    let (ticket, _) = harness.submit();
    assert_eq!(harness.upstreams.get(&id("i-1")).unwrap().in_flight(), 1);
    harness.handle(PlacementMessage::Withdrawn { ticket, withdrawal: Withdrawal::Sent });
    assert_eq!(harness.upstreams.get(&id("i-1")).unwrap().in_flight(), 0);
}

#[test]
fn duplicate_messages_change_nothing() {
    let mut harness = Harness::new(&["i-1"]);
    harness.report("i-1", report(0, 0, 100));
    let submission = harness.submission(&[]);
    let ticket = submission.ticket;
    for _ in 0..2 {
        harness.handle(PlacementMessage::Submit(submission.clone()));
    }
    assert_eq!(harness.upstreams.get(&id("i-1")).unwrap().in_flight(), 1);
    for _ in 0..2 {
        harness.end(ticket, None, 100);
    }
    assert_eq!(harness.upstreams.get(&id("i-1")).unwrap().in_flight(), 0);
}

#[test]
fn a_request_without_a_reported_end_expires() {
    let mut harness = Harness::new(&["i-1"]);
    harness.report("i-1", report(0, 0, 100));
    harness.submit();
    harness.advance(1_400);
    harness.schedule();
    assert_eq!(harness.upstreams.get(&id("i-1")).unwrap().in_flight(), 0);
}

#[test]
fn a_host_that_stopped_accepting_refuses_submissions() {
    let mut harness = Harness::new(&["i-1"]);
    harness.report("i-1", report(0, 0, 100));
    harness.schedulers.stop_accepting();
    let (ticket, effects) = harness.submit();
    assert_eq!(request_state(&effects, ticket), RequestState::Refused(RefusalCause::NoUpstream));
}

#[test]
fn waiting_requests_get_notices() {
    let mut harness = Harness::new(&["i-1"]);
    harness.learn_baseline("i-1");
    harness.report("i-1", report(0, 0, 100));
    for _ in 0..6 {
        harness.submit();
    }
    let mut notices = 0;
    for _ in 0..10 {
        harness.advance(4);
        let is_notice = |effect: &&Effect| {
            matches!(effect, Effect::Send { message: PlacementMessage::Queued { .. }, .. })
        };
        notices += harness.schedule().iter().filter(is_notice).count();
    }
    // Two wait, with a notice about every ten milliseconds.
    assert!((4..=8).contains(&notices), "{notices}");
}

#[test]
fn upstreams_with_a_connection_are_preferred() {
    let mut harness = Harness::new(&["i-1", "i-2", "i-3", "i-4"]);
    let mut placed = Vec::new();
    for _ in 0..20 {
        for name in ["i-1", "i-2", "i-3", "i-4"] {
            harness.report(name, report(0, 0, 100));
        }
        let (ticket, effects) = harness.submit();
        let RequestState::Placed(upstream) = request_state(&effects, ticket) else {
            panic!("{effects:?}")
        };
        placed.push(upstream);
        harness.end(ticket, None, 100);
        harness.advance(100);
    }
    assert!(placed.iter().all(|upstream| *upstream == placed[0]), "{placed:?}");
}

/// If all upstreams of a zone are down, a scheduler that isn't informed keeps placing requests
/// there while other zones are idle.
#[rstest]
#[case::one_zone_of_several(Some("kariakoo"), true)]
#[case::the_whole_service(None, false)]
fn unreachable_upstreams_get_no_more_requests(
    #[case] zone: Option<&str>,
    #[case] is_refused: bool,
) {
    let mut harness = Harness::new(&["i-1", "i-2", "i-3"]);
    let cell = Cell { zone: zone.map(|zone| zone.parse().unwrap()), ..cell() };
    let submit = |harness: &mut Harness| {
        let submission = Submission { cell: cell.clone(), ..harness.submission(&[]) };
        let ticket = submission.ticket;
        (ticket, harness.handle(PlacementMessage::Submit(submission)))
    };
    for _ in 0..3 {
        for name in ["i-1", "i-2", "i-3"] {
            harness.report(name, report(0, 0, 100));
        }
        let (ticket, effects) = submit(&mut harness);
        assert!(matches!(request_state(&effects, ticket), RequestState::Placed(_)), "{effects:?}");
        harness.handle(PlacementMessage::Withdrawn { ticket, withdrawal: Withdrawal::Unreachable });
    }
    let (ticket, effects) = submit(&mut harness);
    let refused =
        request_state(&effects, ticket) == RequestState::Refused(RefusalCause::NoUpstream);
    assert_eq!(refused, is_refused, "{effects:?}");
    // New revisions show that the upstreams are back.
    let entries: Vec<_> = ["i-1", "i-2", "i-3"]
        .map(|name| Entry { revision: Revision(2), ..entry(name, "kariakoo") })
        .to_vec();
    harness.upstreams.sync(harness.now_ms, entries.iter(), &Evacuations::default());
    let (ticket, effects) = submit(&mut harness);
    assert!(matches!(request_state(&effects, ticket), RequestState::Placed(_)), "{effects:?}");
}

/// A host records what an upstream states, and its own scheduler, a millisecond later, takes that for
/// a newer statement to another host: peers never receive it.
#[rstest]
#[case::own_host(Requester::OwnHost, true)]
#[case::peer_that_broadcasts_it_itself(Requester::Peer("127.0.0.1:7000".parse().unwrap()), false)]
fn a_statement_is_broadcast_by_the_host_that_received_it(
    #[case] requester: Requester,
    #[case] is_pending: bool,
    #[values(0, 1, 5)] later_ms: u64,
) {
    let mut harness = Harness::new(&["i-1"]);
    harness.report("i-1", report(0, 0, 100));
    let submission = harness.submission(&[]);
    let ticket = submission.ticket;
    harness.handle_from(requester, PlacementMessage::Submit(submission));
    let stated = Backpressure { rate_limit: Some(PerSecond(7.0)), ..Backpressure::default() };
    let (upstream, run) = (id("i-1"), RunStart::default());
    if requester == Requester::OwnHost {
        let at = (&upstream, run);
        harness.upstreams.record_backpressure(harness.now_ms, at, ResponseKind::Served, stated);
    }
    harness.advance(later_ms);
    let outcome =
        Outcome { failure: None, took_ms: Millis(100), report: None, backpressure: stated };
    harness.handle_from(requester, PlacementMessage::Ended { ticket, outcome });
    assert_eq!(harness.upstreams.backpressure().has_pending(), is_pending);
    let limit = harness.upstreams.fleet_rate(harness.now_ms, &upstream);
    assert_eq!(limit.map(|limit| limit.rate), Some(PerSecond(7.0)));
}
