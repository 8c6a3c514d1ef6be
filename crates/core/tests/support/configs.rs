//! Configurations that fit each other, or don't.
#![allow(clippy::unwrap_used, dead_code)]

use super::BASE;
use decision_core::VersionPair;
use domain::Version;

/// No configuration at all.
pub const BROKEN: &str = "{";
/// Changes nothing.
pub const EMPTY: &str = "{}";
/// Lists the zone that [`base_needing_c`] needs.
pub const ZONES_ABC: &str = r#"{ "availability_zones": ["a", "b", "c"] }"#;
/// Lists the zones of [`BASE`] only.
pub const ZONES_AB: &str = r#"{ "availability_zones": ["a", "b"] }"#;

/// Valid only with an overlay that lists zone `c`.
pub fn base_needing_c() -> String {
    BASE.replace(r#""availability_zone": "b""#, r#""availability_zone": "c""#)
}

pub fn pair(base: u64, overlay: u64) -> VersionPair {
    VersionPair { base: Version(base), overlay: Version(overlay) }
}
