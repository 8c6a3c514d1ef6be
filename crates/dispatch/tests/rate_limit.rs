//! What is learned of upstreams that limit the requests they take, and how long it holds.
#![allow(clippy::unwrap_used)]

mod support;

use dispatch::UpstreamSet;
use dispatch::backpressure::{Backpressure, LimitChange, ResponseKind};
use domain::{Millis, PerSecond};
use published::{Evacuations, RunStart};
use rstest::rstest;
use support::{entry, id, of_run, set};

const NOW: Millis = Millis(10_000);
const RUN: RunStart = RunStart(None);

fn says(rate: Option<f64>) -> Backpressure {
    Backpressure { rate_limit: rate.map(PerSecond), backoff_ms: None, is_leaving: false }
}

fn limit(set: &UpstreamSet) -> Option<f64> {
    set.fleet_rate(NOW, &id("i-1")).map(|limit| limit.rate.0)
}

/// What an upstream answers.
#[derive(Debug, Clone, Copy)]
struct Told(ResponseKind, Option<f64>);

const SERVED: ResponseKind = ResponseKind::Served;
const FAILED: ResponseKind = ResponseKind::Failed;
const CHECKED: ResponseKind = ResponseKind::HealthCheck;

#[rstest]
#[case::never(&[Told(SERVED, None)], None)]
#[case::named(&[Told(SERVED, Some(2.6))], Some(2.6))]
#[case::named_with_a_failure(&[Told(FAILED, Some(2.6))], Some(2.6))]
#[case::named_to_a_health_check(&[Told(CHECKED, Some(2.6))], Some(2.6))]
#[case::another(&[Told(SERVED, Some(2.6)), Told(SERVED, Some(1.0))], Some(1.0))]
#[case::over(&[Told(SERVED, Some(2.6)), Told(SERVED, None)], None)]
#[case::a_failure_without_it_says_nothing(&[Told(SERVED, Some(2.6)), Told(FAILED, None)], Some(2.6))]
#[case::nor_a_health_check(&[Told(SERVED, Some(2.6)), Told(CHECKED, None)], Some(2.6))]
#[case::again(&[Told(SERVED, Some(2.6)), Told(SERVED, None), Told(SERVED, Some(3.0))], Some(3.0))]
#[case::zero_is_tried_now_and_then(&[Told(SERVED, Some(0.0))], Some(0.25))]
fn a_limit_holds_as_long_as_its_upstream_says_so(
    #[case] told: &[Told],
    #[case] wanted: Option<f64>,
) {
    let mut set = set(&[entry("i-1", "kariakoo")]);
    for (after_ms, Told(kind, rate)) in (0..).zip(told) {
        set.record_backpressure(NOW + Millis(after_ms), (&id("i-1"), RUN), *kind, says(*rate));
    }
    assert_eq!(limit(&set), wanted);
}

#[test]
fn what_changes_is_told_once() {
    let mut set = set(&[entry("i-1", "kariakoo")]);
    let mut note = |rate| {
        set.record_backpressure(NOW, (&id("i-1"), RUN), SERVED, says(rate)).and_then(|it| it.limit)
    };
    assert_eq!(note(Some(2.0)), Some(LimitChange::Began(PerSecond(2.0))));
    assert_eq!(note(Some(2.0)), None);
    assert_eq!(note(Some(2.1)), None);
    assert_eq!(note(Some(3.0)), Some(LimitChange::Changed(PerSecond(3.0))));
    assert_eq!(note(None), Some(LimitChange::Ended));
    assert_eq!(note(None), None);
}

#[test]
fn a_later_run_says_nothing_of_the_former_and_the_other_way_round() {
    let mut set = set(&[of_run("i-1", 100)]);
    let at = |start_ms| RunStart(Some(Millis(start_ms)));
    set.record_backpressure(NOW, (&id("i-1"), at(100)), SERVED, says(Some(2.0)));
    assert_eq!(limit(&set), Some(2.0));
    set.sync(NOW, [of_run("i-1", 200)].iter(), &Evacuations::default());
    assert_eq!(limit(&set), None);
    set.record_backpressure(NOW, (&id("i-1"), at(200)), SERVED, says(Some(3.0)));
    set.record_backpressure(NOW, (&id("i-1"), at(100)), SERVED, says(Some(1.0)));
    assert_eq!(limit(&set), Some(3.0));
}

#[test]
fn an_entry_that_lapses_and_is_back_is_still_limited() {
    let mut set = set(&[entry("i-1", "kariakoo")]);
    set.record_backpressure(NOW, (&id("i-1"), RUN), SERVED, says(Some(2.0)));
    set.sync(NOW, [].iter(), &Evacuations::default());
    set.forget_backpressure(NOW + Millis(5_000));
    set.sync(NOW, [entry("i-1", "kariakoo")].iter(), &Evacuations::default());
    assert_eq!(limit(&set), Some(2.0));
    set.sync(NOW, [].iter(), &Evacuations::default());
    set.forget_backpressure(NOW + Millis(61_000));
    assert_eq!(set.backpressure().count_limited(), 0);
}

/// Of two words the later holds, however the messages come.
#[rstest]
#[case::in_order(&[(500, Some(2.0)), (100, None)], None)]
#[case::late(&[(100, None), (500, Some(2.0))], None)]
#[case::again(&[(500, None), (100, Some(2.0))], Some(2.0))]
#[case::doubled(&[(500, Some(2.0)), (500, Some(2.0))], Some(2.0))]
fn the_last_word_of_an_upstream_holds(
    #[case] ages_and_words: &[(u64, Option<f64>)],
    #[case] wanted: Option<f64>,
) {
    let mut hearing = set(&[entry("i-1", "kariakoo")]);
    for &(age_ms, rate) in ages_and_words {
        let mut telling = set(&[entry("i-1", "kariakoo")]);
        let said_ms = NOW - Millis(age_ms);
        telling.record_backpressure(said_ms, (&id("i-1"), RUN), SERVED, says(Some(9.0)));
        telling.record_backpressure(said_ms, (&id("i-1"), RUN), SERVED, says(rate));
        let told = telling.backpressure_mut().take_pending(NOW);
        assert_eq!(told.len(), 1);
        hearing.merge_backpressure(NOW, told);
    }
    assert_eq!(limit(&hearing), wanted);
    assert!(!hearing.backpressure().has_pending(), "who was told tells nobody");
}

#[test]
fn hosts_that_hold_the_same_have_the_same_digest() {
    let (mut one, mut other) = (set(&[entry("i-1", "kariakoo")]), set(&[entry("i-1", "kariakoo")]));
    assert_eq!(one.backpressure().digest(), 0);
    one.record_backpressure(NOW, (&id("i-1"), RUN), SERVED, says(Some(2.0)));
    assert_ne!(one.backpressure().digest(), 0);
    other.merge_backpressure(NOW, one.backpressure().export(NOW));
    assert_eq!(one.backpressure().digest(), other.backpressure().digest());
    one.record_backpressure(NOW + Millis(1), (&id("i-1"), RUN), SERVED, says(None));
    assert_eq!(one.backpressure().digest(), 0);
    other.merge_backpressure(NOW + Millis(1), one.backpressure().export(NOW + Millis(1)));
    assert_eq!(other.backpressure().digest(), 0);
}

#[test]
fn a_service_whose_upstreams_are_all_limited_says_when_it_takes_the_next() {
    let mut set = set(&[entry("i-1", "kariakoo"), entry("i-2", "temeke")]);
    let parts = "parts".parse().unwrap();
    set.record_backpressure(NOW, (&id("i-1"), RUN), SERVED, says(Some(2.0)));
    assert_eq!(set.next_request_in(NOW, &parts), None);
    set.record_backpressure(NOW, (&id("i-2"), RUN), SERVED, says(Some(3.0)));
    assert_eq!(set.next_request_in(NOW, &parts), Some(Millis(200)));
}

/// A message holds so many at most; what is told is what peers need to hear, the latest first.
#[test]
fn of_more_than_a_message_holds_the_latest_is_told() {
    let names: Vec<String> = (0..300).map(|number| format!("i-{number:03}")).collect();
    let entries: Vec<_> = names.iter().map(|name| entry(name, "kariakoo")).collect();
    let mut set = set(&entries);
    for (after_ms, name) in (0..).zip(&names) {
        let (at_ms, said) = (NOW + Millis(after_ms), says((after_ms % 2 == 0).then_some(2.0)));
        let refused = Backpressure { backoff_ms: Some(Millis(900)), ..said };
        set.record_backpressure(at_ms, (&id(name), RUN), FAILED, refused);
    }
    let told = set.backpressure().export(NOW + Millis(300));
    assert_eq!(told.len(), 128);
    assert!(told.iter().all(|told| told.rate_limit.is_some()), "a backoff is nobody else's");
    assert_eq!(told[0].upstream, id("i-298"));
}

/// Once a limit is over for a while, nothing of it is kept, whatever the upstream serves meanwhile.
#[test]
fn what_is_over_is_forgotten_though_requests_go_on() {
    let mut set = set(&[entry("i-1", "kariakoo")]);
    let at = (&id("i-1"), RUN);
    set.record_backpressure(NOW, at, SERVED, says(Some(2.0)));
    for second in 1..62 {
        set.record_backpressure(NOW + Millis(second * 1_000), at, SERVED, says(None));
    }
    set.forget_backpressure(NOW + Millis(62_000));
    assert!(set.backpressure().is_empty());
}
