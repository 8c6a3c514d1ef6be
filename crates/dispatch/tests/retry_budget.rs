//! What a host's retry budget earns, saves up, reserves and gives back.
#![allow(clippy::unwrap_used)]

use dispatch::retry_budget::{FleetRetryLimits, RetryBudget};
use domain::{Millis, ServiceName, Share};
use rstest::rstest;

const ALLOWED: FleetRetryLimits =
    FleetRetryLimits { ratio: Share(0.2), slack: 62.0, window_ms: Millis(10_000) };

fn service() -> ServiceName {
    "parts".parse().unwrap()
}

fn try_spend(budget: &mut RetryBudget, now_ms: u64) -> bool {
    let is_reserved = budget.try_reserve(Millis(now_ms), &service());
    if is_reserved {
        budget.record_sent(Millis(now_ms), &service());
    }
    is_reserved
}

fn spend_all(budget: &mut RetryBudget, now_ms: u64) -> u32 {
    std::iter::repeat_with(|| try_spend(budget, now_ms)).take_while(|is_spent| *is_spent).count()
        as u32
}

/// Requests of a host at this rate; it spends what it may from a time on.
fn run(
    budget: &mut RetryBudget,
    (from_ms, spends_from_ms, to_ms): (u64, u64, u64),
    per_s: u64,
    hosts: Option<u32>,
) -> u32 {
    let mut spent = 0;
    budget.set_hosts(hosts);
    for now_ms in (from_ms..to_ms).step_by(10) {
        if (now_ms / 10).is_multiple_of(100 / per_s.max(1)) && per_s > 0 {
            budget.record_request(Millis(now_ms), &service());
        }
        if now_ms >= spends_from_ms {
            spent += spend_all(budget, now_ms);
        }
    }
    spent
}

fn fleet(hosts: u32, started_ms: u64) -> Vec<RetryBudget> {
    let budget = |host| RetryBudget::new(ALLOWED, Millis(started_ms), u64::from(host) + started_ms);
    (0..hosts).map(budget).collect()
}

#[rstest]
#[case::small_fleet(3, 50)]
#[case::medium(17, 10)]
#[case::large(124, 5)]
fn retries_stay_within_the_limit_in_any_window(#[case] hosts: u32, #[case] per_s: u64) {
    let allowed = ALLOWED.ratio.0 * (per_s * 10 * u64::from(hosts)) as f64 + ALLOWED.slack;
    let spent: u32 = fleet(hosts, 0)
        .iter_mut()
        .map(|budget| {
            run(budget, (0, 0, 30_000), per_s, Some(hosts));
            run(budget, (30_000, 30_000, 40_000), per_s, Some(hosts))
        })
        .sum();
    assert!(f64::from(spent) <= allowed, "{spent} of {allowed}");
}

#[test]
fn retries_stay_within_the_limit_if_all_hosts_restart() {
    let (hosts, per_s) = (17, 2);
    let spent = |from_ms| -> u32 {
        let span = (from_ms, from_ms, from_ms + 5_000);
        fleet(hosts, from_ms).iter_mut().map(|budget| run(budget, span, per_s, Some(hosts))).sum()
    };
    let allowed = ALLOWED.ratio.0 * f64::from(hosts * 2 * 10) + ALLOWED.slack;
    assert!(f64::from(spent(0) + spent(5_000)) <= allowed);
}

/// A host that starts again and again, and never knows the fleet, sends what its requests earned.
#[rstest]
#[case::often(500)]
#[case::seldom(2_900)]
fn a_restart_earns_nothing(#[case] interval_ms: u64) {
    let starts = (0..20).map(|run| run * interval_ms);
    let spent: u32 = starts
        .map(|at_ms| {
            let mut budget = RetryBudget::new(ALLOWED, Millis(at_ms), at_ms);
            run(&mut budget, (at_ms, at_ms, at_ms + interval_ms), 10, None)
        })
        .sum();
    let requests = (20 * interval_ms / 100) as f64;
    assert!(f64::from(spent) <= ALLOWED.ratio.0 * requests, "{spent} of {requests} requests");
}

/// Time earns retries for a host that is the whole fleet, and for none that can't know it.
#[rstest]
#[case::alone(Some(1), 50..=62)]
#[case::one_of_many(Some(18), 1..=5)]
#[case::knows_nobody(None, 0..=2)]
fn time_earns_the_fixed_part_of_known_hosts(
    #[case] hosts: Option<u32>,
    #[case] expected: std::ops::RangeInclusive<u32>,
) {
    let mut budget = RetryBudget::new(ALLOWED, Millis::ZERO, 1);
    let spent = run(&mut budget, (0, 60_000, 70_000), 1, hosts);
    assert!(expected.contains(&spent), "{spent}");
}

#[test]
fn a_spent_budget_is_earned_again_within_a_window() {
    let mut budget = RetryBudget::new(ALLOWED, Millis::ZERO, 1);
    run(&mut budget, (0, 60_000, 40_000), 2, Some(17));
    assert!(spend_all(&mut budget, 40_000) >= 1);
    assert!(!try_spend(&mut budget, 40_100));
    run(&mut budget, (40_000, 60_000, 50_000), 2, Some(17));
    assert!(spend_all(&mut budget, 50_000) >= 2);
}

#[test]
fn hosts_that_each_earn_less_than_one_retry_use_the_fleets_part_together() {
    let hosts = 124;
    let spent: u32 = fleet(hosts, 0)
        .iter_mut()
        .map(|budget| run(budget, (0, 120_000, 130_000), 1, Some(hosts)))
        .sum();
    let of_requests = ALLOWED.ratio.0 * f64::from(hosts * 10);
    assert!(f64::from(spent) >= 0.9 * of_requests, "{spent} of {of_requests}");
    assert!(f64::from(spent) <= of_requests + ALLOWED.slack, "{spent} of {of_requests}");
}

#[test]
fn reserved_retries_count_until_they_are_sent_or_released() {
    let (now_ms, service) = (Millis(60_000), service());
    let mut budget = RetryBudget::new(ALLOWED, Millis::ZERO, 1);
    run(&mut budget, (0, 70_000, 60_000), 1, Some(1));
    let before = budget.account(now_ms, &service);
    assert!(budget.try_reserve(now_ms, &service));
    let reserved = budget.account(now_ms, &service);
    assert_eq!((reserved.remaining, reserved.retries), (before.remaining - 1.0, 0));
    budget.release(now_ms, &service);
    assert_eq!(budget.account(now_ms, &service), before);
    assert!(try_spend(&mut budget, 60_000));
    assert_eq!(budget.account(now_ms, &service).retries, 1);
    budget.return_unsent(now_ms, &service);
    assert_eq!(budget.account(now_ms, &service), before);
}

#[test]
fn reserved_retries_are_part_of_what_is_saved_up() {
    let service = service();
    let mut budget = RetryBudget::new(ALLOWED, Millis::ZERO, 1);
    run(&mut budget, (0, 70_000, 60_000), 1, Some(1));
    let mut reserved = 0;
    while budget.try_reserve(Millis(60_000), &service) {
        reserved += 1;
    }
    run(&mut budget, (60_000, 200_000, 120_000), 1, Some(1));
    assert_eq!(spend_all(&mut budget, 120_000), 0, "{reserved}");
}
