//! Types that the other crates share: ids, sizes, rates and time.
//!
//! Each is a newtype that can be parsed and displayed, so that a number of slots can't be
//! passed where a number of connections is expected. This crate does no IO.

mod ids;
mod quantities;
mod signed_time;
mod suspension;
mod time;

pub use ids::{
    AttemptId, CallId, CallerId, HostId, IdError, IdempotencyKey, Incarnation, LeaseId,
    OrganisationName, ProbeId, RequestFingerprint, ServiceName, SiteName, UpstreamId, Version,
    ZoneName,
};
pub use quantities::{ByteCount, Connections, ParseQuantityError, PerSecond, Share, Slots};
pub use signed_time::SignedTime;
pub use suspension::SuspensionDetector;
pub use time::Millis;

/// Hash map with a fast, unkeyed hasher: only for keys that callers can't choose freely.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with the same hasher as [`FastMap`].
pub type FastSet<T> = rustc_hash::FxHashSet<T>;
