//! Sizes and rates.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// A text that can't be parsed as a quantity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseQuantityError {
    text: String,
    wanted: &'static str,
}

impl fmt::Display for ParseQuantityError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not {}: write a plain number", self.text, self.wanted)
    }
}

impl std::error::Error for ParseQuantityError {}

macro_rules! quantity {
    ($($(#[$doc:meta])* $name:ident($inner:ty), $wanted:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseQuantityError;

            fn from_str(text: &str) -> Result<$name, ParseQuantityError> {
                text.parse().map($name).map_err(|_| ParseQuantityError {
                    text: text.to_owned(),
                    wanted: $wanted,
                })
            }
        }
    )*};
}

quantity! {
    /// Requests that an upstream can work on at the same time.
    Slots(u32), "a number of slots";
    /// Number of connections that an upstream accepts.
    Connections(u32), "a number of connections";
    /// A size in bytes.
    ByteCount(u64), "a number of bytes";
    /// A rate, in events per second.
    PerSecond(f64), "a rate per second";
    /// A fraction of a whole, 0 to 1.
    Share(f64), "a share between 0 and 1";
}
