//! No host of a whole fleet sends to an upstream that asked it to back off.
#![allow(clippy::unwrap_used)]

mod support;

use rstest::rstest;
use support::rate_simulation::{Fault, LimitReason, Scenario, Simulation};

const FROM_MS: u64 = 1_500;
const BACKOFF_MS: u64 = 3_000;

/// Requests in flight when a host was refused arrive within this time; none is sent afterwards.
/// The platform allows half a second, and two requests after it.
const LATENCY_MS: u64 = 4;

#[rstest]
#[case::no_fault(Fault::Nothing)]
#[case::lossy(Fault::Lossy)]
#[case::split(Fault::Split)]
#[case::no_scheduler(Fault::NoScheduler)]
#[case::schedulers_are_killed(Fault::SchedulersKilled { each_ms: 300 })]
fn no_host_sends_during_a_backoff(#[case] fault: Fault, #[values(13, 111, 472)] hosts: usize) {
    let mut refused = 0;
    for seed in 0..3 {
        let limit_reason = LimitReason::Refusing { from_ms: FROM_MS, backoff_ms: BACKOFF_MS };
        let (rate, duration_ms, demand) = (2.0, FROM_MS + 3 * BACKOFF_MS, 0.8);
        let scenario = Scenario {
            hosts,
            upstreams: 24,
            rate,
            limit_reason,
            duration_ms,
            service_time_ms: 440,
            demand,
            fault,
            seed,
        };
        let received = Simulation::run_with_sources(&scenario);
        for at_upstream in received.values().filter(|at_upstream| !at_upstream.stated_ms.is_empty())
        {
            refused += at_upstream.arrivals.iter().filter(|(at_ms, _)| *at_ms >= FROM_MS).count();
            for (host, known_ms) in &at_upstream.stated_ms {
                let backoff = known_ms + LATENCY_MS..known_ms + BACKOFF_MS;
                let is_in_backoff =
                    |(at_ms, from): &&(u64, usize)| from == host && backoff.contains(at_ms);
                let violations = at_upstream.arrivals.iter().filter(is_in_backoff).count();
                // A host that was restarted meanwhile has lost this state.
                let may_have_restarted = matches!(fault, Fault::SchedulersKilled { .. });
                assert!(
                    violations == 0 || may_have_restarted,
                    "{violations} from host {host}, seed {seed}"
                );
            }
        }
    }
    println!("{hosts} hosts, {fault:?}: {refused} requests refused in three plays");
}
