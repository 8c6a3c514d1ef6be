//! The simulated limit against what queueing theory says. Seeds are fixed, so each run
//! gives the same figures.

use domain::{Millis, PerSecond, Share, Slots};
use load::{CentralPlan, CentralReport, CentralService, SlotGroup, simulate};

const DURATION_SECS: u64 = 1000;
const RANDOM: Share = Share(1.0);
const FIXED: Share = Share(0.0);

fn group(slots: u32, mean_ms: f64, random_share: Share) -> SlotGroup {
    SlotGroup { slots: Slots(slots), mean_us: mean_ms * 1000.0, random_share }
}

fn run(per_second: f64, max_wait_ms: u64, groups: Vec<SlotGroup>) -> CentralReport {
    simulate(&CentralPlan {
        seed: 1,
        warm_up_ms: Millis::from_secs(DURATION_SECS),
        duration_ms: Millis::from_secs(DURATION_SECS),
        max_wait_ms: Millis(max_wait_ms),
        services: vec![CentralService { per_second: PerSecond(per_second), groups }],
    })
}

fn check_near(found: f64, expected: f64, tolerance_share: f64) {
    let off = (found - expected).abs() / expected;
    assert!(off <= tolerance_share, "{found} is not within {tolerance_share} of {expected}");
}

#[test]
fn one_slot_follows_the_exponential_sojourn_time() {
    // M/M/1: sojourn time is exponential with mean 1 / (service rate - arrival rate).
    let report = run(50.0, 1_000_000, vec![group(1, 10.0, RANDOM)]);
    check_near(report.latency.p50_us as f64, 20_000.0 * f64::ln(2.0), 0.05);
    check_near(report.latency.p99_us as f64, 20_000.0 * f64::ln(100.0), 0.1);
}

#[test]
fn an_idle_service_takes_its_service_time() {
    let report = run(1.0, 1000, vec![group(100, 10.0, FIXED)]);
    check_near(report.latency.p999_us as f64, 10_000.0, 0.01);
    assert_eq!(report.refused, 0);
}

#[test]
fn overload_gives_capacity_and_refuses_the_rest() {
    let report = run(2000.0, 100, vec![group(10, 10.0, FIXED)]);
    check_near(report.goodput_per_second.0, 1000.0, 0.01);
    check_near(report.refused as f64, 1_000_000.0, 0.02);
}

#[test]
fn a_backlog_that_grows_does_not_count_as_goodput() {
    // The wait allowed is as long as a tenth of the counted time.
    let report = run(2000.0, DURATION_SECS * 100, vec![group(10, 10.0, FIXED)]);
    check_near(report.goodput_per_second.0, 1000.0, 0.1);
}

#[test]
fn a_slow_slot_is_left_alone_while_fast_ones_suffice() {
    let report = run(100.0, 1000, vec![group(10, 10.0, FIXED), group(10, 1000.0, FIXED)]);
    assert!(report.latency.max_us < 100_000, "{}", report.latency.max_us);
}

#[test]
fn without_slots_everything_is_refused() {
    let report = run(100.0, 1000, Vec::new());
    assert_eq!(report.answered, 0);
    assert!(report.refused > 0);
}
