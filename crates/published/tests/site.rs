//! Simulates whole sites with given and with random faults.
#![allow(clippy::unwrap_used)]

mod support;

use domain::Millis;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use support::site::{Disabled, Fault, FaultWindow, Site};

/// By this time every host has started and knows the others.
const STARTED_MS: Millis = Millis(8_000);

/// Time between changes, in milliseconds.
const CHANGE_INTERVAL_MS: u64 = 700;

/// End of the changes, long after the last fault.
const END_MS: Millis = Millis(26_000);

/// Limit of the calls to the source in one simulation: three times those of one reader.
const MAX_CALLS: usize = 180;

/// The same if the source is always available.
const MAX_CALLS_SOURCE_UP: usize = 75;

/// Number of random simulations; `SITE_SEEDS` overrides it.
const SEEDS: u64 = 24;

fn window(fault: Fault, from_ms: u64, to_ms: u64) -> FaultWindow {
    FaultWindow { fault, from_ms: Millis(from_ms), to_ms: Millis(to_ms) }
}

/// Simulates a site with changes. Returns the number of calls to the source, or what was violated.
fn simulate(
    hosts: usize,
    zones: usize,
    seed: u64,
    faults: &[FaultWindow],
    disabled: Disabled,
) -> Result<usize, String> {
    simulate_with((hosts, zones, 0), seed, faults, disabled)
}

/// The same with a number of initial upstreams.
fn simulate_with(
    (hosts, zones, upstreams): (usize, usize, usize),
    seed: u64,
    faults: &[FaultWindow],
    disabled: Disabled,
) -> Result<usize, String> {
    let mut site = Site::new((hosts, zones, upstreams), seed, faults, disabled);
    site.run_until(STARTED_MS)?;
    let mut now_ms = STARTED_MS;
    while now_ms < END_MS {
        site.publish_random();
        now_ms = now_ms + Millis(CHANGE_INTERVAL_MS);
        site.run_until(now_ms)?;
    }
    site.run_until(now_ms + Millis(6_000))?;
    site.check_converged()?;
    match site.calls {
        calls if calls > MAX_CALLS => Err(format!("{calls} calls to the source by {hosts} hosts")),
        calls => Ok(calls),
    }
}

#[rstest]
#[case::no_faults(&[])]
#[case::the_source_is_silent(&[window(Fault::SourceSilent { every: 1 }, 10_000, 16_000)])]
#[case::it_answers_half(&[window(Fault::SourceSilent { every: 2 }, 10_000, 18_000)])]
#[case::a_zone_is_cut_off(&[window(Fault::ZoneCut { zone: 1 }, 10_000, 16_000)])]
#[case::a_host_is_cut_off(&[window(Fault::HostCut { host: 2 }, 10_000, 16_000)])]
#[case::a_third_is_killed(&[window(Fault::Killed { every: 3 }, 10_000, 11_500)])]
#[case::all_are_killed(&[window(Fault::Killed { every: 1 }, 10_000, 11_300)])]
#[case::half_is_lost(&[window(Fault::Lossy { percent: 50 }, 10_000, 15_000)])]
#[case::history_is_lost(&[window(Fault::HistoryLost, 10_000, 10_100)])]
#[case::silent_and_a_third_killed(&[
    window(Fault::SourceSilent { every: 1 }, 10_000, 15_000),
    window(Fault::Killed { every: 3 }, 12_000, 13_000),
])]
#[case::cut_and_half_answered(&[
    window(Fault::ZoneCut { zone: 0 }, 10_000, 15_000),
    window(Fault::SourceSilent { every: 2 }, 12_000, 17_000),
])]
fn changes_are_in_force_in_time_and_state_never_goes_back(
    #[case] faults: &[FaultWindow],
    #[values((13, 4), (17, 3), (40, 5))] (hosts, zones): (usize, usize),
) {
    simulate(hosts, zones, 7, faults, Disabled::Nothing).unwrap_or_else(|e| panic!("{e}"));
}

/// There are more upstreams than a join answer holds, so hosts have to fetch the others.
#[rstest]
#[case::no_faults(&[])]
#[case::a_third_is_killed(&[window(Fault::Killed { every: 3 }, 10_000, 11_500)])]
#[case::all_are_killed(&[window(Fault::Killed { every: 1 }, 10_000, 11_300)])]
#[case::all_are_killed_and_half_is_lost(&[
    window(Fault::Killed { every: 1 }, 10_000, 11_300),
    window(Fault::Lossy { percent: 50 }, 10_500, 14_000),
])]
#[case::the_seeds_are_killed_later(&[
    window(Fault::Killed { every: 1 }, 10_000, 11_000),
    window(Fault::Killed { every: 2 }, 11_050, 12_000),
])]
fn a_large_state_reaches_all_hosts_in_time(#[case] faults: &[FaultWindow]) {
    let result = simulate_with((40, 5, 300), 7, faults, Disabled::Nothing);
    result.unwrap_or_else(|e| panic!("{e}"));
}

fn random_faults(seed: u64) -> Vec<FaultWindow> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let count = rng.random_range(1..=4);
    let window = |_| {
        let fault = match rng.random_range(0..6) {
            0 => Fault::SourceSilent { every: rng.random_range(1..=3) },
            1 => Fault::ZoneCut { zone: rng.random_range(0..3) },
            2 => Fault::HostCut { host: rng.random_range(0..12) },
            3 => Fault::Killed { every: rng.random_range(1..=4) },
            4 => Fault::Lossy { percent: rng.random_range(1..=60) },
            _ => Fault::HistoryLost,
        };
        let from_ms = rng.random_range(8_500..15_000);
        let for_ms = rng.random_range(50..6_000);
        self::window(fault, from_ms, from_ms + for_ms)
    };
    (0..count).map(window).collect()
}

#[test]
fn guarantees_hold_under_random_faults() {
    let more = std::env::var("SITE_SEEDS").ok().and_then(|text| text.parse().ok());
    for seed in 0..more.unwrap_or(SEEDS) {
        let faults = random_faults(seed);
        let result = simulate(17, 3, seed, &faults, Disabled::Nothing);
        assert!(result.is_ok(), "seed {seed}: {result:?} under {faults:?}");
    }
}

#[rstest]
#[case::nothing(Disabled::Nothing)]
#[case::fetch_replies_are_lost(Disabled::FetchReplies)]
#[case::nobody_takes_over_from_the_reader(Disabled::Takeover)]
#[case::updates_are_not_relayed(Disabled::Relays)]
fn a_disabled_mechanism_is_detected(#[case] disabled: Disabled) {
    let is_detected = |seed: u64| {
        let with_lost_history =
            simulate(17, 3, seed, &[window(Fault::HistoryLost, 10_000, 10_100)], disabled);
        let kill = Fault::Killed { every: 2 + seed as usize % 3 };
        let with_kills =
            simulate_with((17, 3, 90), seed, &[window(kill, 10_000, 15_000)], disabled);
        let is_bad = |result: Result<usize, String>| {
            result.map_or(true, |calls| calls > MAX_CALLS_SOURCE_UP)
        };
        is_bad(with_lost_history) || is_bad(with_kills)
    };
    let is_sound = disabled == Disabled::Nothing;
    assert_eq!((0..6).any(is_detected), !is_sound, "{disabled:?}");
}
