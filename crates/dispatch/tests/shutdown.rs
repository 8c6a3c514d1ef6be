//! Until when a stopping host sends requests.

use dispatch::ShutdownSchedule;
use domain::Millis;
use proptest::prelude::*;
use rstest::rstest;

/// Idle connections close 2,300 ms after the signal, the last responses are ready at 5,550 ms.
const TIME_TO_KILL_MS: Millis = Millis(6_000);

#[rstest]
#[case::due_in_time(5_550, Some(1_000), 5_550)]
#[case::due_too_late_and_short(5_551, Some(100), 2_300)]
#[case::due_too_late_and_unknown(20_000, None, 2_300)]
#[case::due_too_late_and_long(20_000, Some(2_000), 1_550)]
#[case::due_too_late_and_longer_than_the_stop(20_000, Some(3_000), 0)]
fn requests_are_sent_while_the_process_can_finish_them(
    #[case] due_ms: u64,
    #[case] expected_ms: Option<u64>,
    #[case] send_by_ms: u64,
) {
    let schedule = ShutdownSchedule::begin(Millis::ZERO, TIME_TO_KILL_MS);
    let expected_ms = expected_ms.map(Millis);
    assert_eq!(schedule.send_by_ms(Millis(due_ms), expected_ms), Millis(send_by_ms));
}

proptest! {
    /// Guards against a request that is sent late in a stop though it is due after the end.
    #[test]
    fn what_is_sent_once_idle_connections_close_is_due_before_the_end(
        begun_ms in 0u64..1_000_000,
        time_to_kill_ms in 0u64..20_000,
        sent_after_ms in 0u64..20_000,
        left_ms in 0u64..20_000,
        expected_ms in proptest::option::of(0u64..20_000),
    ) {
        let schedule = ShutdownSchedule::begin(Millis(begun_ms), Millis(time_to_kill_ms));
        prop_assert!(schedule.closes_idle_ms <= schedule.ends_ms);
        let now_ms = Millis(begun_ms + sent_after_ms);
        let due_ms = now_ms + Millis(left_ms);
        let is_sent = now_ms < schedule.send_by_ms(due_ms, expected_ms.map(Millis));
        if is_sent && now_ms >= schedule.closes_idle_ms {
            prop_assert!(due_ms < schedule.ends_ms);
        }
    }
}
