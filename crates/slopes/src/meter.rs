//! What a piece of work costs.
//!
//! Time is the processor time of the measuring thread, so that a busy machine distorts
//! it less, and the least disturbed round counts: a floor, to be planned with a margin.

use nix::time::{ClockId, clock_gettime};
use serde::Serialize;

const NANOS_PER_SECOND: i64 = 1_000_000_000;

/// What the allocator has counted since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HeapCounts {
    /// Allocations and reallocations.
    pub allocations: usize,
    /// Bytes handed out.
    pub allocated_bytes: usize,
    /// Bytes held now.
    pub live_bytes: usize,
    /// Most bytes ever held at once.
    pub peak_bytes: usize,
}

/// Cost of one piece of work.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Cost {
    /// Processor time.
    pub cpu_ns: f64,
    /// Allocations and reallocations.
    pub allocations: f64,
    /// Bytes allocated, whether or not they are freed again.
    pub allocated_bytes: f64,
}

/// How often a piece of work is measured.
#[derive(Debug, Clone, Copy)]
pub struct Times {
    /// Measurements, of which the lowest counts.
    pub rounds: usize,
    /// Pieces of work in each.
    pub repeats: usize,
}

/// Reads the counters.
#[derive(Debug, Clone, Copy)]
pub struct Meter {
    heap: fn() -> HeapCounts,
}

impl Meter {
    /// Reads the allocator's counters through `heap`.
    pub fn new(heap: fn() -> HeapCounts) -> Meter {
        Meter { heap }
    }

    /// The allocator's counters.
    pub fn heap(&self) -> HeapCounts {
        (self.heap)()
    }

    /// Cost of `work`; `prepare` makes its input outside the measurement, and what `work`
    /// returns is dropped outside it.
    pub fn cost<I, O>(
        &self,
        times: Times,
        mut prepare: impl FnMut() -> I,
        mut work: impl FnMut(I) -> O,
    ) -> Cost {
        let rounds: Vec<Cost> =
            (0..times.rounds).map(|_| self.round(times.repeats, &mut prepare, &mut work)).collect();
        let lowest_of =
            |part: fn(&Cost) -> f64| rounds.iter().map(part).fold(f64::INFINITY, f64::min);
        Cost {
            cpu_ns: lowest_of(|cost| cost.cpu_ns),
            allocations: lowest_of(|cost| cost.allocations),
            allocated_bytes: lowest_of(|cost| cost.allocated_bytes),
        }
    }

    fn round<I, O>(
        &self,
        repeats: usize,
        prepare: &mut impl FnMut() -> I,
        work: &mut impl FnMut(I) -> O,
    ) -> Cost {
        let inputs: Vec<I> = (0..repeats).map(|_| prepare()).collect();
        let mut outputs = Vec::with_capacity(repeats);
        let heap_before = self.heap();
        let cpu_before = thread_cpu_ns();
        for input in inputs {
            outputs.push(work(input));
        }
        let cpu_ns = thread_cpu_ns() - cpu_before;
        let heap = self.heap();
        let each = |total: f64| total / repeats as f64;
        Cost {
            cpu_ns: each(cpu_ns as f64),
            allocations: each((heap.allocations - heap_before.allocations) as f64),
            allocated_bytes: each((heap.allocated_bytes - heap_before.allocated_bytes) as f64),
        }
    }
}

/// Processor time that this thread has used, in nanoseconds.
pub fn thread_cpu_ns() -> i64 {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
        .map_or(0, |time| time.tv_sec() * NANOS_PER_SECOND + time.tv_nsec())
}
