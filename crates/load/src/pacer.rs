//! Keeps the schedule.
//!
//! The runtime's timer rounds up to whole milliseconds, which would count as latency. A
//! thread of its own sleeps to within tens of microseconds of each intended time.

use crate::schedule::Arrival;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Longest sleep, so that a stop is noticed.
const LONGEST_SLEEP: Duration = Duration::from_millis(50);

/// An arrival whose time has come.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Due {
    /// Its place in the schedule.
    pub(crate) number: usize,
    /// What is to be sent.
    pub(crate) arrival: Arrival,
    /// Intended time of sending.
    pub(crate) at: Instant,
}

/// A running pacer; stops when dropped.
#[derive(Debug)]
pub(crate) struct Pacer {
    /// Arrivals as their time comes; ends with the schedule.
    pub(crate) due: mpsc::UnboundedReceiver<Due>,
    stopped: Arc<AtomicBool>,
}

impl Pacer {
    pub(crate) fn start(schedule: Vec<Arrival>) -> Pacer {
        let (sender, due) = mpsc::unbounded_channel();
        let stopped = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&stopped);
        thread::spawn(move || pace(&schedule, &sender, &stop));
        Pacer { due, stopped }
    }
}

impl Drop for Pacer {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

fn pace(schedule: &[Arrival], sender: &mpsc::UnboundedSender<Due>, stopped: &AtomicBool) {
    let start = Instant::now();
    for (number, arrival) in schedule.iter().copied().enumerate() {
        let at = start + Duration::from_micros(arrival.at_us);
        if !sleep_until(at, stopped) || sender.send(Due { number, arrival, at }).is_err() {
            return;
        }
    }
}

/// Returns whether the time came before a stop.
fn sleep_until(at: Instant, stopped: &AtomicBool) -> bool {
    loop {
        let left = at.saturating_duration_since(Instant::now());
        match stopped.load(Ordering::Relaxed) {
            true => return false,
            false if left.is_zero() => return true,
            false => thread::sleep(left.min(LONGEST_SLEEP)),
        }
    }
}
