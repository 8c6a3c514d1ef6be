//! When callers may retry what upstreams rejected.
#![allow(clippy::unwrap_used)]

use dispatch::LoadReport;
use dispatch::attempts::{Cause, Refusal};
use dispatch::rejections::{
    REJECTION_WINDOW_MS, RefusedRequest, RejectingUpstream, RejectionState, Rejections,
};
use domain::{Millis, ServiceName, Slots};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use std::ops::RangeInclusive;

/// Time of the rejections.
const NOW_MS: Millis = Millis(5_000);

const CALLERS: usize = 300;
const REJECTED: Cause = Cause::UpstreamsRefused;
const ROOM: RejectingUpstream = reported(1, 0, 100);
const FULL: RejectingUpstream = reported(2, 1, 100);
const LIMITED: RejectingUpstream = RejectingUpstream::Limited;

/// A report of an upstream with two slots.
const fn reported(running: u32, waiting: u32, slowness_percent: u32) -> RejectingUpstream {
    RejectingUpstream::Reported(LoadReport { running, waiting, slots: Slots(2), slowness_percent })
}

fn service() -> ServiceName {
    "parts".parse().unwrap()
}

fn rejections(upstreams: &[RejectingUpstream]) -> Rejections {
    let mut rejections = Rejections::default();
    upstreams.iter().for_each(|&upstream| rejections.record(NOW_MS, &service(), upstream));
    rejections
}

/// Times a refusal of a request whose route and service take 60 ms.
fn time_at(
    now_ms: Millis,
    rejections: &Rejections,
    refusal: Refusal,
    objective_left_ms: u64,
    seed: u64,
) -> Refusal {
    let service = service();
    let request = RefusedRequest {
        service: &service,
        objective_left_ms: Millis(objective_left_ms),
        route_time_ms: Some(Millis(60)),
        mean_time_ms: Some(Millis(60)),
    };
    rejections.adapt_retry_after(now_ms, refusal, request, &mut Pcg64Mcg::seed_from_u64(seed))
}

/// The waits of callers whose requests are refused at the same moment.
fn waits_ms(upstream: RejectingUpstream, objective_left_ms: u64) -> Vec<u64> {
    let (rejections, refusal) = (rejections(&[upstream]), Refusal::not_run(REJECTED));
    let wait = |seed| time_at(NOW_MS, &rejections, refusal, objective_left_ms, seed);
    (0..CALLERS as u64).map(|seed| wait(seed).retry_after_ms.unwrap().0).collect()
}

/// Guards against short waits for upstreams that are full or limited, and against a change of
/// anything but the time of the retry.
#[rstest]
#[case::room(&[ROOM, ROOM, FULL], REJECTED, Some(RejectionState::WithRoom))]
#[case::as_many_full(&[ROOM, FULL], REJECTED, Some(RejectionState::Full))]
#[case::all_slots_in_use(&[reported(2, 0, 100)], REJECTED, Some(RejectionState::Full))]
#[case::queued_beside_a_free_slot(&[reported(1, 1, 100)], REJECTED, Some(RejectionState::Full))]
#[case::few_limited(&[LIMITED, ROOM, ROOM], REJECTED, Some(RejectionState::WithRoom))]
#[case::limited(&[LIMITED, LIMITED, ROOM], REJECTED, None)]
#[case::no_report(&[], REJECTED, None)]
#[case::overloaded(&[FULL], Cause::Overloaded, Some(RejectionState::Full))]
#[case::overloaded_though_some_have_room(&[ROOM], Cause::Overloaded, None)]
#[case::other_cause(&[FULL], Cause::NoUpstream, None)]
fn the_state_is_what_most_rejections_show(
    #[case] upstreams: &[RejectingUpstream],
    #[case] cause: Cause,
    #[case] expected: Option<RejectionState>,
) {
    let refusal = Refusal::not_run(cause);
    let timed = time_at(NOW_MS, &rejections(upstreams), refusal, 200, 1);
    let retry_after_ms = match expected {
        Some(_) => timed.retry_after_ms,
        None => refusal.retry_after_ms,
    };
    assert_eq!(timed, Refusal { rejection_state: expected, retry_after_ms, ..refusal });
}

/// Guards against waits that leave no time for another attempt, against returns before a full
/// service frees a slot, and against waves of returns of callers that were refused together.
#[rstest]
#[case::room(ROOM, 200, 5..=17)]
#[case::room_and_long_objective(ROOM, 1_500, 5..=180)]
#[case::room_and_little_left(ROOM, 75, 5..=10)]
#[case::room_and_nothing_left(ROOM, 60, 60..=120)]
#[case::full(reported(2, 0, 100), 200, 30..=60)]
#[case::full_with_a_queue(reported(2, 4, 100), 200, 150..=300)]
#[case::full_and_slow(reported(2, 0, 400), 200, 120..=240)]
#[case::full_and_fast(reported(2, 0, 10), 200, 30..=60)]
#[case::full_for_long(reported(2, 1_000, 100), 200, 1_000..=2_000)]
fn waits_are_spread_over_the_allowed_time(
    #[case] upstream: RejectingUpstream,
    #[case] objective_left_ms: u64,
    #[case] allowed_ms: RangeInclusive<u64>,
) {
    let waits_ms = waits_ms(upstream, objective_left_ms);
    assert!(waits_ms.iter().all(|wait_ms| allowed_ms.contains(wait_ms)), "{waits_ms:?}");
    // The shortest spread is over 6 ms; a quarter leaves room for chance.
    let together = |at_ms: &u64| waits_ms.iter().filter(|wait_ms| *wait_ms == at_ms).count();
    assert!(waits_ms.iter().all(|at_ms| together(at_ms) <= CALLERS / 4), "{waits_ms:?}");
}

/// Guards against waits so long that a second return can't be in time. Between caller and upstream
/// lie 8 ms each way, and the host needs 10 ms for its own attempts.
#[test]
fn a_caller_with_a_short_objective_can_return_twice() {
    let (objective_ms, service_time_ms, attempts_ms, round_trip_ms) = (200, 60, 10, 16);
    let longest_ms = waits_ms(ROOM, objective_ms - attempts_ms).into_iter().max().unwrap();
    let started_ms = 2 * (attempts_ms + longest_ms + round_trip_ms);
    assert!(started_ms + service_time_ms + round_trip_ms <= objective_ms, "{longest_ms}");
}

/// Guards against decisions by a state that has passed, and against memory that grows with
/// rejections or with services that are no longer rejected.
#[test]
fn rejections_age_out() {
    let mut rejections = rejections(&[vec![FULL; 1_000], vec![ROOM; 64]].concat());
    let timed = |now_ms| time_at(now_ms, &rejections, Refusal::not_run(REJECTED), 200, 1);
    let later_ms = NOW_MS + REJECTION_WINDOW_MS;
    assert_eq!(timed(later_ms - Millis(1)).rejection_state, Some(RejectionState::WithRoom));
    assert_eq!(timed(later_ms).rejection_state, None);
    rejections.record(later_ms, &"other".parse().unwrap(), ROOM);
    assert_eq!(rejections.services(), 1);
}
