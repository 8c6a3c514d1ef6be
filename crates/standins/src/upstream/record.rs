//! What an upstream saw: which requests ran how often, and how many of each kind.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How often each request started to run, by its `x-request`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RunLedger {
    counts: BTreeMap<String, u32>,
}

impl RunLedger {
    /// How often a request started to run.
    pub fn count(&self, request: &str) -> u32 {
        self.counts.get(request).copied().unwrap_or(0)
    }

    /// Each request with its count.
    pub fn iter(&self) -> impl Iterator<Item = (&str, u32)> {
        self.counts.iter().map(|(request, count)| (request.as_str(), *count))
    }

    /// Takes in the runs of another upstream, so that a run on each shows as doubled.
    pub fn merge(&mut self, other: &RunLedger) {
        for (request, count) in other.iter() {
            *self.counts.entry(request.to_owned()).or_default() += count;
        }
    }

    pub(crate) fn add(&mut self, request: &str) {
        *self.counts.entry(request.to_owned()).or_default() += 1;
    }
}

/// How many requests of each kind an upstream saw.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Totals {
    /// Requests for work.
    pub received: u64,
    /// Of them, started to run; failing fast counts as running.
    pub started: u64,
    /// Of them, ran to the end.
    pub completed: u64,
    /// Of them, refused because the queue was full.
    pub shed: u64,
    /// Of them, refused because their deadline passed in the queue.
    pub expired: u64,
    /// Health checks.
    pub health_calls: u64,
}
