//! On a suspended machine the runtime's timers stop, but the clock goes on.
#![cfg(feature = "testing")]
#![allow(clippy::unwrap_used)]

use clock::{Clock, Moment, testing};
use domain::Millis;
use std::time::Duration;

const HOUR: Duration = Duration::from_secs(3_600);

/// Longest run of a test, all of whose timers should fire at once.
const TEST_TIMEOUT: Duration = Duration::from_secs(5);

fn on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let watcher = clock::watch_for_suspension();
        tokio::select! {
            () = test => {}
            () = watcher => {}
            () = tokio::time::sleep(TEST_TIMEOUT) => panic!("a timer did not count the suspension"),
        }
    });
}

#[test]
fn ages_count_suspended_time() {
    let (clock, moment) = (Clock::start(), Moment::now());
    testing::suspend(HOUR);
    assert!(moment.elapsed() >= HOUR);
    assert!(clock.now() >= Millis::from_secs(3_600));
    assert_eq!(clock.time_until(Millis::from_secs(3_600)), Duration::ZERO);
}

#[test]
fn timers_wake_after_a_suspension() {
    on_one_thread(async {
        let suspending = async {
            tokio::time::sleep(Duration::from_millis(20)).await;
            testing::suspend(HOUR);
        };
        tokio::join!(clock::sleep(HOUR), suspending);
    });
    on_one_thread(async {
        let suspending = async {
            tokio::time::sleep(Duration::from_millis(20)).await;
            testing::suspend(HOUR);
        };
        let waiting = clock::timeout(HOUR, std::future::pending::<()>());
        let (waited, ()) = tokio::join!(waiting, suspending);
        assert_eq!(waited, Err(clock::Elapsed));
    });
}

#[test]
fn timers_run_normally_without_a_suspension() {
    on_one_thread(async {
        let start = std::time::Instant::now();
        clock::sleep(Duration::from_millis(30)).await;
        assert!(start.elapsed() >= Duration::from_millis(30));
        assert_eq!(clock::timeout(HOUR, std::future::ready(3)).await, Ok(3));
    });
}
