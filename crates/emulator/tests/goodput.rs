//! What callers get at loads below and above what upstreams can do.
#![allow(clippy::unwrap_used)]

use emulator::site::Work;
use emulator::{Figures, Policy, Site, play};
use rstest::rstest;

/// Upstreams that slow down at half of their slots, by three times when full.
fn steep() -> Work {
    Work { slots: 6, knee: 0.5, full: 3.0, ..Work::default() }
}

/// Upstreams that work as fast with all slots taken.
fn even() -> Work {
    Work { slots: 6, full: 1.0, ..Work::default() }
}

/// Neighbours that stay for long and slow down most.
fn rough() -> Work {
    Work { neighbours: 0.35, neighbours_x: 7.0, neighbours_ms: 500.0, ..Work::default() }
}

fn played(site: &Site, policy: Policy) -> Figures {
    let mut sum = Figures::default();
    for seed in 1..=3 {
        let figures = play(site, policy, seed);
        sum.asked += figures.asked;
        sum.in_time += figures.in_time;
        sum.in_time_again += figures.in_time_again;
        sum.late += figures.late;
        sum.refused += figures.refused;
        sum.refusal_p99_ms = sum.refusal_p99_ms.max(figures.refusal_p99_ms);
    }
    sum
}

#[rstest]
fn goodput_is_near_that_of_a_queue_that_sees_all(
    #[values(0.4, 0.6, 0.8, 1.0, 1.5, 2.0, 3.0)] load: f64,
    #[values(Work::default(), steep(), even(), rough())] work: Work,
) {
    let site = Site { load, work, length_ms: 10_000.0, ..Site::default() };
    let (ours, best) = (played(&site, Policy::Scheduled), played(&site, Policy::PerfectQueue));
    let part = ours.served() as f64 / best.served() as f64;
    println!(
        "load {load} {:.3} of {:.3}, part {part:.3}: {ours:?}",
        ours.in_time_share(),
        best.in_time_share()
    );
    assert!(part >= 0.9, "{part} {ours:?} {best:?}");
}
