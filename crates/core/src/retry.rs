//! The retry budget: retries as a share of first sendings.
//!
//! A token bucket that first sendings fill. It can't grow past a few tokens, so a long
//! quiet time doesn't pay for a storm.

use domain::Share;

/// Most retries that may follow each other without first sendings.
const MAX_TOKENS: f64 = 10.0;

/// Budget of one service at one entry host.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { tokens: MAX_TOKENS }
    }
}

impl RetryBudget {
    /// A first sending fills the bucket by the share.
    pub fn earn(&mut self, share: Share) {
        self.tokens = (self.tokens + share.0).min(MAX_TOKENS);
    }

    /// Takes a retry out of the bucket if there is one.
    pub fn spend(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
