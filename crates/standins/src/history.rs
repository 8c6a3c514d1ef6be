//! A value's recent past, for reports that come late.

use domain::Millis;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Values by the time from which they held; never empty.
#[derive(Debug)]
pub(crate) struct History<T> {
    entries: VecDeque<(Instant, T)>,
}

impl<T> History<T> {
    /// A history whose first value held since ever.
    pub(crate) fn new(now: Instant, value: T) -> History<T> {
        History { entries: VecDeque::from([(now, value)]) }
    }

    /// From `now` on, `value` holds.
    pub(crate) fn record(&mut self, now: Instant, value: T) {
        self.entries.push_back((now, value));
    }

    /// What held `lag_ms` before `now`; the oldest value for any time before it.
    pub(crate) fn as_of(&self, now: Instant, lag_ms: Millis) -> &T {
        let newer = self.entries.iter().rev().take_while(|(since, _)| !aged(*since, now, lag_ms));
        let index = (self.entries.len() - newer.count()).saturating_sub(1);
        &self.entries[index].1
    }

    /// Drops what no longer held `lag_ms` before `now`.
    pub(crate) fn forget(&mut self, now: Instant, lag_ms: Millis) {
        while self.entries.len() > 1 && aged(self.entries[1].0, now, lag_ms) {
            self.entries.pop_front();
        }
    }
}

fn aged(since: Instant, now: Instant, lag_ms: Millis) -> bool {
    since.checked_add(Duration::from_millis(lag_ms.0)).is_some_and(|visible| visible <= now)
}
