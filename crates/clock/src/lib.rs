//! The one clock of a process, and waiting by it.
//!
//! A machine may be suspended for seconds. Its steady clock, which the runtime's timers and the
//! standard library's instants go by, does not count that time; callers, upstreams and peers
//! do. So every age and every deadline is taken from the clock that counts it
//! (`CLOCK_BOOTTIME`), and waits begin anew when it has run ahead of the steady one.

use domain::Millis;
use rustix::time::{ClockId, clock_gettime};
use std::fmt;
use std::ops::Add;
use std::pin::Pin;
use std::time::Duration;
use tokio::sync::Notify;

/// Time between two looks at whether the machine was suspended: waits are late by that at most.
const LOOK: Duration = Duration::from_millis(100);

/// The clocks are read one after the other, and a thread may be held up in between.
const SUSPENDED: Duration = Duration::from_millis(50);

/// Sleeps are cut here, so that a point that never comes can't overflow a timer.
const FAR_AHEAD: Duration = Duration::from_secs(60 * 60 * 24 * 365);

/// Wakes all who wait once the machine goes on after it was suspended.
static RESUMED: Notify = Notify::const_new();

/// A moment of the machine's time, suspensions counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment {
    since_boot: Duration,
}

impl Moment {
    /// This moment.
    pub fn now() -> Moment {
        Moment { since_boot: read(ClockId::Boottime) + skipped() }
    }

    /// Time since this moment.
    pub fn elapsed(self) -> Duration {
        Moment::now().since_boot.saturating_sub(self.since_boot)
    }

    /// Time left until this moment, zero if it has passed.
    fn left(self) -> Duration {
        self.since_boot.saturating_sub(Moment::now().since_boot)
    }
}

impl Add<Duration> for Moment {
    type Output = Moment;

    fn add(self, span: Duration) -> Moment {
        Moment { since_boot: self.since_boot.saturating_add(span) }
    }
}

/// Milliseconds since the start of the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Moment,
}

impl Clock {
    /// A clock that stands at zero now.
    pub fn start() -> Clock {
        Clock { start: Moment::now() }
    }

    /// The time.
    pub fn now(&self) -> Millis {
        Millis(u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// Time left until a point, zero if it has passed.
    pub fn time_until(&self, point: Millis) -> Duration {
        self.moment(point).left()
    }

    /// Waits until a point.
    pub async fn sleep_until(self, point: Millis) {
        sleep_until(self.moment(point)).await;
    }

    /// The same, to be polled beside other work and handed on.
    pub fn deadline(self, point: Millis) -> Deadline {
        Box::pin(self.sleep_until(point))
    }

    fn moment(&self, point: Millis) -> Moment {
        self.start + Duration::from_millis(point.0).min(FAR_AHEAD)
    }
}

/// Ends once a point in time has come.
pub type Deadline = Pin<Box<dyn Future<Output = ()> + Send>>;

/// The time for something is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Elapsed;

impl fmt::Display for Elapsed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "it took too long: look at what was waited for")
    }
}

impl std::error::Error for Elapsed {}

impl From<Elapsed> for std::io::Error {
    fn from(_: Elapsed) -> std::io::Error {
        std::io::ErrorKind::TimedOut.into()
    }
}

/// Waits for a time.
pub async fn sleep(span: Duration) {
    sleep_until(Moment::now() + span).await;
}

/// Waits until a moment.
pub async fn sleep_until(moment: Moment) {
    loop {
        let resumed = RESUMED.notified();
        let left = moment.left();
        if left.is_zero() {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(left.min(FAR_AHEAD)) => {}
            () = resumed => {}
        }
    }
}

/// What comes of something within a time.
///
/// # Errors
///
/// If the time is over first.
pub async fn timeout<F: Future>(span: Duration, of: F) -> Result<F::Output, Elapsed> {
    timeout_at(Moment::now() + span, of).await
}

/// What comes of something until a moment.
///
/// # Errors
///
/// If the moment comes first.
pub async fn timeout_at<F: Future>(moment: Moment, of: F) -> Result<F::Output, Elapsed> {
    tokio::select! {
        biased;
        outcome = of => Ok(outcome),
        () = sleep_until(moment) => Err(Elapsed),
    }
}

/// Notices when the machine was suspended, and wakes all who wait; never ends.
pub async fn watch_for_suspension() {
    let mut ahead = ahead_of_steady();
    loop {
        tokio::time::sleep(LOOK).await;
        let now = ahead_of_steady();
        if now.saturating_sub(ahead) > SUSPENDED {
            RESUMED.notify_waiters();
        }
        ahead = now;
    }
}

/// By how much this clock is ahead of the steady one. That is read first: what passes in between
/// is little.
fn ahead_of_steady() -> Duration {
    let steady = read(ClockId::Monotonic);
    Moment::now().since_boot.saturating_sub(steady)
}

fn read(clock: ClockId) -> Duration {
    let read = clock_gettime(clock);
    // Neither is negative by these clocks.
    let seconds = u64::try_from(read.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(read.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}

#[cfg(not(feature = "testing"))]
fn skipped() -> Duration {
    Duration::ZERO
}

#[cfg(feature = "testing")]
use testing::skipped;

/// Suspensions for tests.
#[cfg(feature = "testing")]
pub mod testing {
    use std::cell::Cell;
    use std::time::Duration;

    thread_local! {
        static SKIPPED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
    }

    /// This thread goes on as if the machine had been suspended for a time: its clock moves, and
    /// no timer of the runtime does.
    pub fn suspend(span: Duration) {
        SKIPPED.set(SKIPPED.get() + span);
    }

    pub(super) fn skipped() -> Duration {
        SKIPPED.get()
    }
}
