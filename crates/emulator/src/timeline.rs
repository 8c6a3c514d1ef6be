//! A queue of events in the order of their virtual time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Pending events.
#[derive(Debug)]
pub(crate) struct Timeline<E> {
    events: BinaryHeap<TimedEvent<E>>,
    /// Number of events added so far.
    count: u64,
}

#[derive(Debug)]
struct TimedEvent<E> {
    at_ms: f64,
    /// Orders events of the same time.
    sequence: u64,
    event: E,
}

impl<E> Timeline<E> {
    pub(crate) fn new() -> Timeline<E> {
        Timeline { events: BinaryHeap::new(), count: 0 }
    }

    /// Adds an event; events of the same time come out in the order in which they were added.
    pub(crate) fn add(&mut self, at_ms: f64, event: E) {
        self.count += 1;
        self.events.push(TimedEvent { at_ms, sequence: self.count, event });
    }

    pub(crate) fn pop(&mut self) -> Option<(f64, E)> {
        self.events.pop().map(|timed| (timed.at_ms, timed.event))
    }
}

impl<E> Ord for TimedEvent<E> {
    fn cmp(&self, other: &TimedEvent<E>) -> Ordering {
        // Reversed, as the heap pops the greatest first.
        other.at_ms.total_cmp(&self.at_ms).then(other.sequence.cmp(&self.sequence))
    }
}

impl<E> PartialOrd for TimedEvent<E> {
    fn partial_cmp(&self, other: &TimedEvent<E>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> PartialEq for TimedEvent<E> {
    fn eq(&self, other: &TimedEvent<E>) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for TimedEvent<E> {}
