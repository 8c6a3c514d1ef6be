//! The rate limits that upstreams state in responses: how they are merged, and how long they hold.
#![allow(clippy::unwrap_used)]

mod support;

use dispatch::backpressure::{Backpressure, LimitChange, ResponseKind};
use dispatch::scheduler::Cell;
use dispatch::{LocalRateLimiter, UpstreamSet};
use domain::{Millis, PerSecond, ServiceName};
use published::{Evacuations, RunStart};
use rstest::rstest;
use support::{entry, id, of_run, set};

const NOW: Millis = Millis(10_000);
const RUN: RunStart = RunStart(None);

fn stating(rate: Option<f64>) -> Backpressure {
    Backpressure { rate_limit: rate.map(PerSecond), backoff_ms: None, is_leaving: false }
}

fn limit(set: &UpstreamSet) -> Option<f64> {
    set.fleet_rate(NOW, &id("i-1")).map(|limit| limit.rate.0)
}

/// A response of an upstream: its kind, and the rate limit that it states.
#[derive(Debug, Clone, Copy)]
struct Stated(ResponseKind, Option<f64>);

const SERVED: ResponseKind = ResponseKind::Served;
const FAILED: ResponseKind = ResponseKind::Failed;
const CHECKED: ResponseKind = ResponseKind::HealthCheck;

#[rstest]
#[case::never(&[Stated(SERVED, None)], None)]
#[case::stated(&[Stated(SERVED, Some(2.6))], Some(2.6))]
#[case::stated_with_a_failure(&[Stated(FAILED, Some(2.6))], Some(2.6))]
#[case::stated_to_a_health_check(&[Stated(CHECKED, Some(2.6))], Some(2.6))]
#[case::another(&[Stated(SERVED, Some(2.6)), Stated(SERVED, Some(1.0))], Some(1.0))]
#[case::over(&[Stated(SERVED, Some(2.6)), Stated(SERVED, None)], None)]
#[case::a_failure_without_it_ends_nothing(&[Stated(SERVED, Some(2.6)), Stated(FAILED, None)], Some(2.6))]
#[case::nor_does_a_health_check(&[Stated(SERVED, Some(2.6)), Stated(CHECKED, None)], Some(2.6))]
#[case::again(&[Stated(SERVED, Some(2.6)), Stated(SERVED, None), Stated(SERVED, Some(3.0))], Some(3.0))]
#[case::zero_is_raised_to_the_minimum(&[Stated(SERVED, Some(0.0))], Some(0.25))]
fn a_limit_holds_until_a_served_request_omits_it(
    #[case] responses: &[Stated],
    #[case] expected: Option<f64>,
) {
    let mut set = set(&[entry("i-1", "kariakoo")]);
    for (after_ms, Stated(kind, rate)) in (0..).zip(responses) {
        set.record_backpressure(NOW + Millis(after_ms), (&id("i-1"), RUN), *kind, stating(*rate));
    }
    assert_eq!(limit(&set), expected);
}

#[test]
fn each_change_is_reported_once() {
    let mut set = set(&[entry("i-1", "kariakoo")]);
    let mut record = |rate| {
        set.record_backpressure(NOW, (&id("i-1"), RUN), SERVED, stating(rate))
            .and_then(|it| it.limit)
    };
    assert_eq!(record(Some(2.0)), Some(LimitChange::Began(PerSecond(2.0))));
    assert_eq!(record(Some(2.0)), None);
    assert_eq!(record(Some(2.1)), None);
    assert_eq!(record(Some(3.0)), Some(LimitChange::Changed(PerSecond(3.0))));
    assert_eq!(record(None), Some(LimitChange::Ended));
    assert_eq!(record(None), None);
}

#[test]
fn limits_apply_to_one_process_run_only() {
    let mut set = set(&[of_run("i-1", 100)]);
    let at = |start_ms| RunStart(Some(Millis(start_ms)));
    set.record_backpressure(NOW, (&id("i-1"), at(100)), SERVED, stating(Some(2.0)));
    assert_eq!(limit(&set), Some(2.0));
    set.sync(NOW, [of_run("i-1", 200)].iter(), &Evacuations::default());
    assert_eq!(limit(&set), None);
    set.record_backpressure(NOW, (&id("i-1"), at(200)), SERVED, stating(Some(3.0)));
    set.record_backpressure(NOW, (&id("i-1"), at(100)), SERVED, stating(Some(1.0)));
    assert_eq!(limit(&set), Some(3.0));
}

#[test]
fn a_limit_outlasts_an_expired_entry() {
    let mut set = set(&[entry("i-1", "kariakoo")]);
    set.record_backpressure(NOW, (&id("i-1"), RUN), SERVED, stating(Some(2.0)));
    set.sync(NOW, [].iter(), &Evacuations::default());
    set.forget_backpressure(NOW + Millis(5_000));
    set.sync(NOW, [entry("i-1", "kariakoo")].iter(), &Evacuations::default());
    assert_eq!(limit(&set), Some(2.0));
    set.sync(NOW, [].iter(), &Evacuations::default());
    set.forget_backpressure(NOW + Millis(61_000));
    assert_eq!(set.backpressure().count_limited(), 0);
}

/// The later of two statements wins, in whatever order the messages arrive.
#[rstest]
#[case::in_order(&[(500, Some(2.0)), (100, None)], None)]
#[case::late(&[(100, None), (500, Some(2.0))], None)]
#[case::again(&[(500, None), (100, Some(2.0))], Some(2.0))]
#[case::duplicated(&[(500, Some(2.0)), (500, Some(2.0))], Some(2.0))]
fn the_latest_statement_holds(
    #[case] ages_and_rates: &[(u64, Option<f64>)],
    #[case] expected: Option<f64>,
) {
    let mut receiver = set(&[entry("i-1", "kariakoo")]);
    for &(age_ms, rate) in ages_and_rates {
        let mut sender = set(&[entry("i-1", "kariakoo")]);
        let stated_ms = NOW - Millis(age_ms);
        sender.record_backpressure(stated_ms, (&id("i-1"), RUN), SERVED, stating(Some(9.0)));
        sender.record_backpressure(stated_ms, (&id("i-1"), RUN), SERVED, stating(rate));
        let updates = sender.backpressure_mut().take_pending(NOW);
        assert_eq!(updates.len(), 1);
        receiver.merge_backpressure(NOW, updates);
    }
    assert_eq!(limit(&receiver), expected);
    assert!(!receiver.backpressure().has_pending(), "a receiver broadcasts nothing");
}

#[test]
fn hosts_with_the_same_limits_have_the_same_digest() {
    let (mut one, mut other) = (set(&[entry("i-1", "kariakoo")]), set(&[entry("i-1", "kariakoo")]));
    assert_eq!(one.backpressure().digest(), 0);
    one.record_backpressure(NOW, (&id("i-1"), RUN), SERVED, stating(Some(2.0)));
    assert_ne!(one.backpressure().digest(), 0);
    other.merge_backpressure(NOW, one.backpressure().export(NOW));
    assert_eq!(one.backpressure().digest(), other.backpressure().digest());
    one.record_backpressure(NOW + Millis(1), (&id("i-1"), RUN), SERVED, stating(None));
    assert_eq!(one.backpressure().digest(), 0);
    other.merge_backpressure(NOW + Millis(1), one.backpressure().export(NOW + Millis(1)));
    assert_eq!(other.backpressure().digest(), 0);
}

#[test]
fn the_next_request_time_is_known_if_all_upstreams_are_limited() {
    let mut set = set(&[entry("i-1", "kariakoo"), entry("i-2", "temeke")]);
    let parts = "parts".parse().unwrap();
    set.record_backpressure(NOW, (&id("i-1"), RUN), SERVED, stating(Some(2.0)));
    assert_eq!(set.next_request_in(NOW, &parts), None);
    set.record_backpressure(NOW, (&id("i-2"), RUN), SERVED, stating(Some(3.0)));
    assert_eq!(set.next_request_in(NOW, &parts), Some(Millis(200)));
}

/// Guards against asking callers to return when the fleet may send its next request, of which a host
/// has a small share: they were refused again.
#[rstest]
fn a_caller_is_asked_to_return_when_the_host_may_send(
    #[values(1, 13, 111, 472)] hosts: u32,
    #[values(2.0, 5.0, 40.0)] rate: f64,
) {
    let mut set = set(&[entry("i-1", "kariakoo"), entry("i-2", "temeke")]);
    let parts = "parts".parse().unwrap();
    let mut limiter = LocalRateLimiter::new("front-1".parse().unwrap());
    for name in ["i-1", "i-2"] {
        set.record_backpressure(NOW, (&id(name), RUN), SERVED, stating(Some(rate)));
    }
    let may_send = |limiter: &LocalRateLimiter, at_ms| {
        let names = ["i-1", "i-2"].map(id);
        names.into_iter().find(|name| limiter.may_send(at_ms, &set, name, hosts))
    };
    let mut now_ms = NOW;
    for _ in 0..5 {
        let wait_ms = limiter.next_request_in(now_ms, &set, &parts, hosts).unwrap();
        let earlier_ms = now_ms + Millis(wait_ms.0.saturating_sub(2));
        if wait_ms > Millis(2) {
            assert_eq!(may_send(&limiter, earlier_ms), None, "asked to wait for {wait_ms}");
        }
        now_ms = now_ms + wait_ms;
        let name = may_send(&limiter, now_ms).expect("it may send");
        limiter.record_sent(now_ms, &set, &name, hosts);
    }
}

/// While the host's share is lent to a scheduler, the fleet's next request counts.
#[test]
fn a_lent_share_is_the_fleets() {
    let mut set = set(&[entry("i-1", "kariakoo")]);
    let parts: ServiceName = "parts".parse().unwrap();
    set.record_backpressure(NOW, (&id("i-1"), RUN), SERVED, stating(Some(4.0)));
    let mut limiter = LocalRateLimiter::new("front-1".parse().unwrap());
    let cell = Cell { service: parts.clone(), zone: None };
    assert!(limiter.lend(NOW, &cell, &"front-2".parse().unwrap()));
    assert_eq!(limiter.next_request_in(NOW, &set, &parts, 472), Some(Millis(250)));
}

/// A message holds a limited number of updates: the latest of those that concern peers.
#[test]
fn the_latest_updates_are_sent_if_one_message_cannot_hold_all() {
    let names: Vec<String> = (0..300).map(|number| format!("i-{number:03}")).collect();
    let entries: Vec<_> = names.iter().map(|name| entry(name, "kariakoo")).collect();
    let mut set = set(&entries);
    for (after_ms, name) in (0..).zip(&names) {
        let (at_ms, stated) = (NOW + Millis(after_ms), stating((after_ms % 2 == 0).then_some(2.0)));
        let refused = Backpressure { backoff_ms: Some(Millis(900)), ..stated };
        set.record_backpressure(at_ms, (&id(name), RUN), FAILED, refused);
    }
    let updates = set.backpressure().export(NOW + Millis(300));
    assert_eq!(updates.len(), 128);
    assert!(
        updates.iter().all(|update| update.rate_limit.is_some()),
        "a backoff concerns one host only"
    );
    assert_eq!(updates[0].upstream, id("i-298"));
}

/// Once a limit has been over for a while, no state of it is left, even if the upstream serves
/// requests meanwhile.
#[test]
fn a_limit_that_is_over_is_dropped_while_requests_go_on() {
    let mut set = set(&[entry("i-1", "kariakoo")]);
    let at = (&id("i-1"), RUN);
    set.record_backpressure(NOW, at, SERVED, stating(Some(2.0)));
    for second in 1..62 {
        set.record_backpressure(NOW + Millis(second * 1_000), at, SERVED, stating(None));
    }
    set.forget_backpressure(NOW + Millis(62_000));
    assert!(set.backpressure().is_empty());
}
