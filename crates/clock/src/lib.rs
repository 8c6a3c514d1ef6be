//! The clock of a process, and timers that use it.
//!
//! A machine may be suspended for seconds. Its monotonic clock, which the runtime's timers and
//! `std::time::Instant` use, does not count that time; callers, upstreams and peers do. So all
//! ages and deadlines use `CLOCK_BOOTTIME`, which counts it, and timers are set again after a
//! suspension.

use domain::Millis;
use pin_project_lite::pin_project;
use rustix::time::{ClockId, clock_gettime};
use std::fmt;
use std::ops::Add;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::Notify;

/// Time between two checks for a suspension: the most by which it delays a timer.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Differences up to this don't count as a suspension: the two clocks are read one after the
/// other, and the thread may be preempted in between.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

/// Longest single sleep, so that a point that is never reached can't overflow a timer.
const MAX_SLEEP: Duration = Duration::from_secs(60 * 60 * 24 * 365);

/// Wakes all timers after the machine was suspended.
static RESUMED: Notify = Notify::const_new();

/// A point in the machine's time, which counts suspensions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment {
    since_boot: Duration,
}

impl Moment {
    /// The current time.
    pub fn now() -> Moment {
        Moment { since_boot: read(ClockId::Boottime) + skipped() }
    }

    /// Time since this point.
    pub fn elapsed(self) -> Duration {
        Moment::now().since_boot.saturating_sub(self.since_boot)
    }

    /// Time left until this point, zero if it has passed.
    fn remaining(self) -> Duration {
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
    /// A clock that reads zero now.
    pub fn start() -> Clock {
        Clock { start: Moment::now() }
    }

    /// The current time.
    pub fn now(&self) -> Millis {
        Millis(u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// Time left until a point, zero if it has passed.
    pub fn time_until(&self, point: Millis) -> Duration {
        self.moment(point).remaining()
    }

    /// Waits until a point in time.
    pub async fn sleep_until(self, point: Millis) {
        sleep_until(self.moment(point)).await;
    }

    /// [`Clock::sleep_until`] as a boxed future, which can be stored and polled in place.
    pub fn deadline(self, point: Millis) -> Deadline {
        Box::pin(self.sleep_until(point))
    }

    fn moment(&self, point: Millis) -> Moment {
        self.start + Duration::from_millis(point.0).min(MAX_SLEEP)
    }
}

/// A future that completes at a point in time.
pub type Deadline = Pin<Box<dyn Future<Output = ()> + Send>>;

/// The error of a timeout.
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

/// Waits for `span`.
pub async fn sleep(span: Duration) {
    sleep_until(Moment::now() + span).await;
}

/// Waits until a moment. If it has passed, other tasks get a turn, so that a loop that waits for the
/// same moment again doesn't keep the thread.
pub async fn sleep_until(moment: Moment) {
    if moment.remaining().is_zero() {
        return tokio::task::yield_now().await;
    }
    reach(moment).await;
}

/// Waits until a moment, not at all if it has passed.
async fn reach(moment: Moment) {
    loop {
        let resumed = RESUMED.notified();
        let remaining = moment.remaining();
        if remaining.is_zero() {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(remaining.min(MAX_SLEEP)) => {}
            () = resumed => {}
        }
    }
}

/// Returns the output of `future`, if it completes within `span`.
///
/// # Errors
///
/// If `span` elapses first.
pub fn timeout<F: Future>(
    span: Duration,
    future: F,
) -> impl Future<Output = Result<F::Output, Elapsed>> {
    timeout_at(Moment::now() + span, future)
}

/// Returns the output of `future`, if it completes before `moment`.
///
/// A process that is held up may find `moment` reached before its runtime has looked at what
/// arrived meanwhile. So the future is polled once more after the runtime has looked.
///
/// # Errors
///
/// If `moment` is reached first.
pub fn timeout_at<F: Future>(
    moment: Moment,
    future: F,
) -> impl Future<Output = Result<F::Output, Elapsed>> {
    // In the first turn other tasks are woken that pass on what arrived, in the second they have run.
    let turns = async {
        tokio::task::yield_now().await;
        tokio::task::yield_now().await;
    };
    Timeout { future, expiry: reach(moment), is_late: false, turns }
}

pin_project! {
    /// A future with a timeout. Holds the future once: an async function would hold it once as its
    /// argument and once more while it is polled, and so on in each one around it.
    struct Timeout<F, E, T> {
        #[pin]
        future: F,
        #[pin]
        expiry: E,
        is_late: bool,
        #[pin]
        turns: T,
    }
}

impl<F, E, T> Future for Timeout<F, E, T>
where
    F: Future,
    E: Future<Output = ()>,
    T: Future<Output = ()>,
{
    type Output = Result<F::Output, Elapsed>;

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        let mut this = self.project();
        if !*this.is_late {
            if let Poll::Ready(outcome) = this.future.as_mut().poll(context) {
                return Poll::Ready(Ok(outcome));
            }
            ready!(this.expiry.poll(context));
            *this.is_late = true;
        }
        ready!(this.turns.poll(context));
        match this.future.poll(context) {
            Poll::Ready(outcome) => Poll::Ready(Ok(outcome)),
            Poll::Pending => Poll::Ready(Err(Elapsed)),
        }
    }
}

/// Wakes all timers whenever the machine was suspended. Never returns.
pub async fn watch_for_suspension() {
    let mut last_suspended = total_suspended();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let suspended = total_suspended();
        if suspended.saturating_sub(last_suspended) > MIN_SUSPENSION {
            RESUMED.notify_waiters();
        }
        last_suspended = suspended;
    }
}

/// Time for which the machine was suspended since it booted: the boot-time clock less the
/// monotonic one. The monotonic clock is read first, so that the time between the two reads
/// adds to the difference.
fn total_suspended() -> Duration {
    let monotonic = read(ClockId::Monotonic);
    Moment::now().since_boot.saturating_sub(monotonic)
}

fn read(clock: ClockId) -> Duration {
    let read = clock_gettime(clock);
    // Neither value is negative on these clocks.
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

/// Simulated suspensions for tests.
#[cfg(feature = "testing")]
pub mod testing {
    use std::cell::Cell;
    use std::time::Duration;

    thread_local! {
        static SKIPPED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
    }

    /// Simulates a suspension of the machine for this thread: its clock advances by `span`,
    /// but the runtime's timers don't.
    pub fn suspend(span: Duration) {
        SKIPPED.set(SKIPPED.get() + span);
    }

    pub(super) fn skipped() -> Duration {
        SKIPPED.get()
    }
}
