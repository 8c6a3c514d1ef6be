//! Which configuration is in force.
//!
//! Base and overlay are published apart and arrive in any order, from the service or
//! from peers. The pair in force only ever moves forward in both versions; a pair that
//! doesn't check is refused and named, and the last good one stays.

use crate::event::{ConfigKey, PublishedValue};
use config::SiteConfig;
use domain::Version;
use serde::Serialize;

/// A version that was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RejectedPair {
    /// Version of the base.
    pub base: Version,
    /// Version of the overlay, zero if none.
    pub overlay: Version,
    /// What is wrong with it.
    pub problems: String,
}

/// Versions of a base and an overlay.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct VersionPair {
    /// Version of the base, zero if none.
    pub base: Version,
    /// Version of the overlay, zero if none.
    pub overlay: Version,
}

/// What has been read, and what of it is in force.
#[derive(Debug, Default)]
pub struct Adoption {
    base: Option<PublishedValue>,
    overlay: Option<PublishedValue>,
    overlay_known: bool,
    newest_base: Option<PublishedValue>,
    newest_overlay: Option<PublishedValue>,
    rejected: Option<RejectedPair>,
}

impl Adoption {
    /// The pair in force.
    pub fn in_force(&self) -> VersionPair {
        pair_of(self.base.as_ref(), self.overlay.as_ref())
    }

    /// The newest version seen of a value, adopted or not.
    pub fn newest(&self, key: ConfigKey) -> Option<&PublishedValue> {
        match key {
            ConfigKey::Base => self.newest_base.as_ref(),
            ConfigKey::Overlay => self.newest_overlay.as_ref(),
        }
    }

    /// The pair that was last refused.
    pub fn rejected(&self) -> Option<&RejectedPair> {
        self.rejected.as_ref()
    }

    /// Takes note that no overlay is published. Returns a configuration newly in force.
    pub fn no_overlay(&mut self) -> Option<SiteConfig> {
        let first = !self.overlay_known;
        self.overlay_known = true;
        if first { self.try_newest() } else { None }
    }

    /// Takes a published value, from whomever. Returns a configuration newly in force.
    pub fn offer(&mut self, key: ConfigKey, value: PublishedValue) -> Option<SiteConfig> {
        let known = self.newest(key).map_or(Version(0), |newest| newest.version);
        if value.version <= known {
            return None;
        }
        match key {
            ConfigKey::Base => self.newest_base = Some(value),
            ConfigKey::Overlay => {
                self.newest_overlay = Some(value);
                self.overlay_known = true;
            }
        }
        self.try_newest()
    }

    fn try_newest(&mut self) -> Option<SiteConfig> {
        if !self.overlay_known {
            return None;
        }
        let newest = (self.newest_base.clone(), self.newest_overlay.clone());
        let with_old_overlay = (self.newest_base.clone(), self.overlay.clone());
        let with_old_base = (self.base.clone(), self.newest_overlay.clone());
        let both = self.try_pair(newest);
        both.or_else(|| self.try_pair(with_old_overlay)).or_else(|| self.try_pair(with_old_base))
    }

    fn try_pair(
        &mut self,
        (base, overlay): (Option<PublishedValue>, Option<PublishedValue>),
    ) -> Option<SiteConfig> {
        let versions = pair_of(base.as_ref(), overlay.as_ref());
        if versions == self.in_force() {
            return None;
        }
        let text = &base.as_ref()?.text;
        let overlay_text = overlay.as_ref().map(|value| value.text.as_str());
        match config::merge(text, overlay_text) {
            Ok(config) => {
                (self.base, self.overlay) = (base, overlay);
                Some(config)
            }
            Err(error) => {
                let problems = error.to_string();
                let VersionPair { base, overlay } = versions;
                self.rejected = Some(RejectedPair { base, overlay, problems });
                None
            }
        }
    }
}

fn pair_of(base: Option<&PublishedValue>, overlay: Option<&PublishedValue>) -> VersionPair {
    let version = |value: Option<&PublishedValue>| value.map_or(Version(0), |value| value.version);
    VersionPair { base: version(base), overlay: version(overlay) }
}
