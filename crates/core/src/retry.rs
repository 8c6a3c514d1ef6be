//! Budgets of extra sendings, retries or hedges: a share of first sendings.
//!
//! A token bucket that first sendings fill. It can't grow past a few tokens, so a long
//! quiet time doesn't pay for a storm.

use domain::Share;

/// Most extra sendings that may follow each other without first sendings.
const MAX_TOKENS: f64 = 10.0;

/// Budget of one service at one entry host.
#[derive(Debug, Clone, Copy)]
pub struct SendBudget {
    tokens: f64,
}

impl Default for SendBudget {
    fn default() -> SendBudget {
        SendBudget { tokens: MAX_TOKENS }
    }
}

impl SendBudget {
    /// A first sending fills the bucket by the share.
    pub fn earn(&mut self, share: Share) {
        self.tokens = (self.tokens + share.0).min(MAX_TOKENS);
    }

    /// Whether an extra sending is in the bucket.
    pub fn has_one(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes an extra sending out of the bucket if there is one.
    pub fn spend(&mut self) -> bool {
        let enough = self.has_one();
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
