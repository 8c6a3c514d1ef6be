//! Points in time that may lie before the start of the process's clock.
//!
//! Messages between hosts give the age of an event. On a host that has just started, such an
//! event may lie before time zero of its clock, which [`Millis`] can't represent.

use crate::Millis;

/// A point in time on the process's own clock; negative before the clock's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SignedTime(i64);

impl SignedTime {
    /// The point `age_ms` before `now_ms`.
    pub fn from_age(now_ms: Millis, age_ms: Millis) -> SignedTime {
        SignedTime(signed(now_ms).saturating_sub(signed(age_ms)))
    }

    /// Time since this point, zero if it lies in the future.
    pub fn age_ms(self, now_ms: Millis) -> Millis {
        Millis(u64::try_from(signed(now_ms).saturating_sub(self.0)).unwrap_or_default())
    }
}

fn signed(time_ms: Millis) -> i64 {
    i64::try_from(time_ms.0).unwrap_or(i64::MAX)
}
