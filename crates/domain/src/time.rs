//! [`Millis`], both a point in time (since a start that the process chooses) and a duration.
//!
//! Its arithmetic saturates, so that events that arrive out of order can't underflow.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::num::ParseIntError;
use std::ops::{Add, Sub};
use std::str::FromStr;

/// Milliseconds, as a point in time or a duration.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// An empty duration, or the clock's start.
    pub const ZERO: Millis = Millis(0);
    /// A point in time that is never reached.
    pub const MAX: Millis = Millis(u64::MAX);

    /// Converts whole seconds.
    pub const fn from_secs(secs: u64) -> Millis {
        Millis(secs.saturating_mul(1000))
    }

    /// Time since `earlier`, zero if `earlier` lies in the future.
    pub const fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// Whole seconds for a `Retry-After` header: rounded up, at least one.
    pub const fn as_retry_after_secs(self) -> u64 {
        match self.0.div_ceil(1000) {
            0 => 1,
            secs => secs,
        }
    }

    /// Milliseconds as a floating point number.
    pub const fn as_f64(self) -> f64 {
        self.0 as f64
    }
}

impl Add for Millis {
    type Output = Millis;

    fn add(self, span: Millis) -> Millis {
        Millis(self.0.saturating_add(span.0))
    }
}

impl Sub for Millis {
    type Output = Millis;

    fn sub(self, span: Millis) -> Millis {
        Millis(self.0.saturating_sub(span.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl FromStr for Millis {
    type Err = ParseIntError;

    /// Parses `250` or `250ms`.
    fn from_str(text: &str) -> Result<Millis, ParseIntError> {
        text.strip_suffix("ms").unwrap_or(text).parse().map(Millis)
    }
}
