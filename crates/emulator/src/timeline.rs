//! What happens when: events in the order of their time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Events to come.
#[derive(Debug)]
pub(crate) struct Timeline<E> {
    events: BinaryHeap<Due<E>>,
    count: u64,
}

#[derive(Debug)]
struct Due<E> {
    at_ms: f64,
    number: u64,
    event: E,
}

impl<E> Timeline<E> {
    pub(crate) fn new() -> Timeline<E> {
        Timeline { events: BinaryHeap::new(), count: 0 }
    }

    /// Adds an event; of two at the same time the one that was added first comes first.
    pub(crate) fn add(&mut self, at_ms: f64, event: E) {
        self.count += 1;
        self.events.push(Due { at_ms, number: self.count, event });
    }

    pub(crate) fn next(&mut self) -> Option<(f64, E)> {
        self.events.pop().map(|due| (due.at_ms, due.event))
    }
}

impl<E> Ord for Due<E> {
    fn cmp(&self, other: &Due<E>) -> Ordering {
        // The heap gives the greatest first.
        other.at_ms.total_cmp(&self.at_ms).then(other.number.cmp(&self.number))
    }
}

impl<E> PartialOrd for Due<E> {
    fn partial_cmp(&self, other: &Due<E>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> PartialEq for Due<E> {
    fn eq(&self, other: &Due<E>) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Due<E> {}
