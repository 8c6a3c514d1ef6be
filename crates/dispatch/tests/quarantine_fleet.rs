//! Whole fleets in virtual time, with a request that crashes its upstreams: few upstreams crash
//! with the quarantine, and no other request is held.
//!
//! Hosts lose part of their messages, upstreams restart after three seconds, and callers retry
//! once. Run with `--nocapture` for the figures.
#![allow(clippy::unwrap_used)]

#[path = "support/crash_simulation.rs"]
mod crash_simulation;

use crash_simulation::{Outcome, Scenario, simulate};
use rstest::rstest;

const SEEDS: std::ops::Range<u64> = 0..8;

fn fleet(hosts: usize, upstreams: usize) -> Scenario {
    Scenario {
        hosts,
        upstreams,
        crashing_per_s: 3.0,
        others_per_s: 5.0,
        unrelated_crashes_per_s: 0.0,
        message_loss: 0.03,
        with_quarantine: true,
        restart_all_ms: None,
        seed: 0,
    }
}

fn worst(scenario: Scenario) -> Outcome {
    let outcomes = SEEDS.map(|seed| simulate(Scenario { seed, ..scenario }));
    outcomes.fold(Outcome::default(), |worst, one| Outcome {
        crashed: worst.crashed.max(one.crashed),
        after_third_crash: worst.after_third_crash.max(one.after_third_crash),
        long_after_third_crash: worst.long_after_third_crash.max(one.long_after_third_crash),
        others_held: worst.others_held.max(one.others_held),
        others_failed: worst.others_failed.max(one.others_failed),
        messages: worst.messages.max(one.messages),
    })
}

#[rstest]
#[case::small(fleet(13, 8), 3)]
#[case::medium(fleet(110, 235), 3)]
#[case::large(fleet(472, 1_080), 3)]
#[case::rare(Scenario { crashing_per_s: 0.2, ..fleet(13, 8) }, 0)]
#[case::in_bursts(Scenario { crashing_per_s: 30.0, ..fleet(110, 235) }, 8)]
#[case::over_bad_links(Scenario { message_loss: 0.3, ..fleet(110, 235) }, 5)]
fn the_request_crashes_few_upstreams(
    #[case] scenario: Scenario,
    #[case] most_after_third_crash: u32,
) {
    let (quarantined, unprotected) =
        (worst(scenario), worst(Scenario { with_quarantine: false, ..scenario }));
    println!("{scenario:?}\n  with {quarantined:?}\n  without {unprotected:?}");
    assert!(quarantined.after_third_crash <= most_after_third_crash, "{quarantined:?}");
    assert_eq!(quarantined.long_after_third_crash, 0, "{quarantined:?}");
    assert!(
        unprotected.crashed > 2 * quarantined.crashed,
        "the simulated crashes are too few: {unprotected:?}"
    );
    assert_eq!(quarantined.others_held, 0, "{quarantined:?}");
}

/// After a restart of all hosts, which lose their state, the request is recognised again as soon
/// as before.
#[test]
fn the_request_is_recognised_again_after_a_restart_of_all_hosts() {
    let outcome = worst(Scenario { restart_all_ms: Some(45_000), ..fleet(13, 8) });
    println!("{outcome:?}");
    assert!(outcome.crashed <= 10, "{outcome:?}");
}

/// Where up to a fifth of the upstreams crash every second for other reasons, no request is held.
#[rstest]
fn no_bystander_is_held(#[values(0.2, 1.0, 5.0, 47.0)] unrelated_crashes_per_s: f64) {
    let scenario = Scenario { crashing_per_s: 0.0, unrelated_crashes_per_s, ..fleet(110, 235) };
    let outcome = worst(scenario);
    println!("{unrelated_crashes_per_s} {outcome:?}");
    assert_eq!(outcome.others_held, 0, "{outcome:?}");
}
