//! Counts of recent events.

use domain::Millis;

/// A sum that decays exponentially.
#[derive(Debug)]
pub(crate) struct DecayingSum {
    /// Time in which it decays to 1/e.
    decay_ms: f64,
    value: f64,
    at_ms: Millis,
}

impl DecayingSum {
    pub(crate) fn new(decay_ms: f64) -> DecayingSum {
        DecayingSum { decay_ms, value: 0.0, at_ms: Millis::ZERO }
    }

    pub(crate) fn at(&self, now_ms: Millis) -> f64 {
        self.value * (-now_ms.since(self.at_ms).as_f64() / self.decay_ms).exp()
    }

    pub(crate) fn add(&mut self, now_ms: Millis, amount: f64) {
        self.value = self.at(now_ms) + amount;
        self.at_ms = now_ms;
    }
}
