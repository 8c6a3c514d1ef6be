//! A token bucket whose rate and capacity are given with each use: both may change with the
//! configuration, the fleet and its reach.

use domain::{Millis, PerSecond};

/// The tokens of one organisation.
#[derive(Debug, Clone, Copy)]
pub(super) struct TokenBucket {
    tokens: f64,
    at_ms: Millis,
}

impl TokenBucket {
    pub(super) fn new(now_ms: Millis, tokens: f64) -> TokenBucket {
        TokenBucket { tokens, at_ms: now_ms }
    }

    /// Adds what was gained since the last use, and takes a token if there is one.
    pub(super) fn take(&mut self, now_ms: Millis, rate: PerSecond, capacity: f64) -> bool {
        let gained = now_ms.since(self.at_ms).as_f64() / 1_000.0 * rate.0;
        self.tokens = (self.tokens + gained).min(capacity);
        self.at_ms = self.at_ms.max(now_ms);
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Tokens that were left after the last use.
    pub(super) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Time since the last use.
    pub(super) fn unused_ms(&self, now_ms: Millis) -> Millis {
        now_ms.since(self.at_ms)
    }
}
