//! Goodput of the scheduler at loads below and above the capacity of the upstreams.
#![allow(clippy::unwrap_used)]

use emulator::site::Work;
use emulator::{Figures, Policy, Site, simulate};
use rstest::rstest;

/// Upstreams that slow down from half of their slots on, threefold when full.
fn steep_slowdown() -> Work {
    Work { slots: 6, knee: 0.5, full_slowdown: 3.0, ..Work::default() }
}

/// Upstreams that don't slow down under load.
fn no_slowdown() -> Work {
    Work { slots: 6, full_slowdown: 1.0, ..Work::default() }
}

/// Upstreams with stronger and longer slowdowns by noisy neighbours.
fn noisy_neighbours() -> Work {
    Work {
        neighbour_share: 0.35,
        neighbour_slowdown: 7.0,
        neighbour_interval_ms: 500.0,
        ..Work::default()
    }
}

/// Sums the figures of several seeds; the time to a refusal is the longest one.
fn simulate_seeds(site: &Site, policy: Policy) -> Figures {
    let mut sum = Figures::default();
    for seed in 1..=6 {
        let figures = simulate(site, policy, seed);
        sum.requests += figures.requests;
        sum.in_time += figures.in_time;
        sum.in_time_on_retry += figures.in_time_on_retry;
        sum.late += figures.late;
        sum.refused += figures.refused;
        sum.timed_out += figures.timed_out;
        sum.refusal_p99_ms = sum.refusal_p99_ms.max(figures.refusal_p99_ms);
    }
    sum
}

/// The scheduler serves at least this share of what the perfect queue serves. The bound is lower
/// where the slowdown differs from the scheduler's initial estimate: it spends most of the ten
/// seconds learning it.
#[rstest]
#[case::as_estimated(Work::default(), 0.95)]
#[case::steep_slowdown(steep_slowdown(), 0.75)]
#[case::no_slowdown(no_slowdown(), 0.8)]
#[case::noisy_neighbours(noisy_neighbours(), 0.8)]
fn goodput_is_close_to_that_of_the_perfect_queue(
    #[case] work: Work,
    #[case] min_share: f64,
    #[values(0.4, 0.6, 0.8, 1.0, 1.5, 2.0, 3.0)] load: f64,
) {
    let site = Site { load, work, duration_ms: 10_000.0, ..Site::default() };
    let (scheduled, perfect) =
        (simulate_seeds(&site, Policy::Scheduled), simulate_seeds(&site, Policy::PerfectQueue));
    let share = scheduled.served() as f64 / perfect.served() as f64;
    assert!(share >= min_share, "{share} {scheduled:?} {perfect:?}");
}

#[test]
fn the_scheduler_answers_more_than_twice_as_many_in_time_as_two_choices() {
    let site = Site { load: 0.8, duration_ms: 10_000.0, ..Site::default() };
    let (scheduled, two_choices) =
        (simulate_seeds(&site, Policy::Scheduled), simulate_seeds(&site, Policy::TwoChoices));
    assert!(
        scheduled.in_time_share() > 2.0 * two_choices.in_time_share(),
        "{scheduled:?} {two_choices:?}"
    );
}

#[test]
fn overload_is_refused_quickly() {
    let site = Site { load: 3.0, duration_ms: 10_000.0, ..Site::default() };
    let scheduled = simulate_seeds(&site, Policy::Scheduled);
    // Half of the objective, not zero: some requests are queued first and refused when they can't
    // be served in time any more.
    assert!(
        scheduled.refused > scheduled.served() && scheduled.refusal_p99_ms <= 100,
        "{scheduled:?}"
    );
}

#[rstest]
#[case::none(0.0, 0.9)]
#[case::one_in_fifty(0.02, 0.85)]
#[case::one_in_three(0.33, 0.5)]
fn message_loss_delays_requests_but_loses_none(#[case] loss_rate: f64, #[case] min_share: f64) {
    let site = Site { load: 0.5, loss_rate, duration_ms: 10_000.0, ..Site::default() };
    let scheduled = simulate_seeds(&site, Policy::Scheduled);
    assert!(scheduled.in_time_share() >= min_share, "{scheduled:?}");
    assert_eq!(
        scheduled.requests,
        scheduled.in_time
            + scheduled.in_time_on_retry
            + scheduled.late
            + scheduled.refused
            + scheduled.timed_out
    );
}

#[test]
fn equal_seeds_give_equal_figures() {
    let site = Site { duration_ms: 3_000.0, ..Site::default() };
    assert_eq!(simulate(&site, Policy::Scheduled, 5), simulate(&site, Policy::Scheduled, 5));
}
