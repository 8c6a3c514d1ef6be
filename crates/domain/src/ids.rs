//! Ids: names that operators choose, and numbers that processes count up.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::sync::Arc;

/// Longest name accepted, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Why a text is not a valid id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IdError {
    /// The text is empty.
    Empty,
    /// The text has more than [`MAX_NAME_BYTES`] bytes.
    TooLong,
    /// The text has a character that is not printable ASCII, or is a space.
    InvalidCharacter(char),
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            IdError::Empty => write!(f, "the name is empty: give it at least one character"),
            IdError::TooLong => {
                write!(f, "the name is too long: use at most {MAX_NAME_BYTES} bytes")
            }
            IdError::InvalidCharacter(c) => {
                write!(f, "the name holds {c:?}: use printable ASCII without spaces")
            }
        }
    }
}

impl std::error::Error for IdError {}

fn check_name(text: &str) -> Result<(), IdError> {
    match text.chars().find(|c| !c.is_ascii_graphic()) {
        _ if text.is_empty() => Err(IdError::Empty),
        _ if text.len() > MAX_NAME_BYTES => Err(IdError::TooLong),
        Some(c) => Err(IdError::InvalidCharacter(c)),
        None => Ok(()),
    }
}

macro_rules! name_id {
    ($($(#[$doc:meta])* $name:ident)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<$name, IdError> {
                check_name(text)?;
                Ok($name(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<$name, IdError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0.as_ref().to_owned()
            }
        }
    )*};
}

name_id! {
    /// A host: one run of the load balancer on one machine.
    HostId
    /// A service that callers send requests to.
    ServiceName
    /// An upstream: one instance of a service.
    UpstreamId
    /// An availability zone.
    ZoneName
    /// An organisation whose requests are served.
    OrganisationName
    /// A site: the hosts that share one configuration overlay.
    SiteName
    /// The sender of requests, as named by the platform's load balancer in front of the hosts.
    CallerId
    /// The caller's key for a request that must not run twice.
    IdempotencyKey
}

macro_rules! number_id {
    ($($(#[$doc:meta])* $name:ident)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<$name, ParseIntError> {
                text.parse().map($name)
            }
        }
    )*};
}

/// A digest of what a request asks for and on whose behalf: equal for equal requests.
///
/// Written as 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct RequestFingerprint(pub u128);

impl RequestFingerprint {
    /// The lower half of its bits, which are as evenly distributed as the whole.
    pub fn low_bits(self) -> u64 {
        self.0 as u64
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestFingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<RequestFingerprint, ParseIntError> {
        u128::from_str_radix(text, 16).map(RequestFingerprint)
    }
}

impl TryFrom<String> for RequestFingerprint {
    type Error = ParseIntError;

    fn try_from(text: String) -> Result<RequestFingerprint, ParseIntError> {
        text.parse()
    }
}

impl From<RequestFingerprint> for String {
    fn from(fingerprint: RequestFingerprint) -> String {
        fingerprint.to_string()
    }
}

number_id! {
    /// One request of a caller, at one host.
    CallId
    /// One attempt: one sending of a call to an upstream.
    AttemptId
    /// One probe of an upstream.
    ProbeId
    /// One lease of a slot.
    LeaseId
    /// One run of a process under a host id; increases with each start.
    Incarnation
    /// Version of a published value; increases with each write.
    Version
}
