//! Points in time that may lie before the process's clock began.
//!
//! Hosts tell each other of what happened by its age. Seen from a host that has just started, most of it
//! happened before time zero of its clock, which [`Millis`] can't hold.

use crate::Millis;

/// A point in time of the process's own clock, or before it began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SignedTime(i64);

impl SignedTime {
    /// So long before now.
    pub fn from_age(now_ms: Millis, age_ms: Millis) -> SignedTime {
        SignedTime(signed(now_ms).saturating_sub(signed(age_ms)))
    }

    /// How long ago it is; nothing if it lies ahead.
    pub fn age_ms(self, now_ms: Millis) -> Millis {
        Millis(u64::try_from(signed(now_ms).saturating_sub(self.0)).unwrap_or_default())
    }
}

fn signed(time_ms: Millis) -> i64 {
    i64::try_from(time_ms.0).unwrap_or(i64::MAX)
}
