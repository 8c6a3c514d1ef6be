//! Which configuration is in force.
//!
//! Base and overlay are published apart and arrive in any order, from the service or
//! from peers. The pair in force only ever moves forward in both versions; a pair that
//! doesn't check is refused and named, and the last good one stays.
//!
//! The choice among the pairs at hand follows a fixed order, so hosts that hold the same
//! values choose the same pair, whatever came first. A host that has just started holds
//! everything back until it knows what its peers have in force.

mod shelf;
mod splice;

use crate::event::{ConfigKey, PublishedValue};
use config::SiteConfig;
use domain::{ByteCount, Millis, Version};
use serde::{Deserialize, Serialize};
use shelf::Shelf;
use std::collections::BTreeMap;

pub use splice::Splice;

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
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct VersionPair {
    /// Version of the base, zero if none.
    pub base: Version,
    /// Version of the overlay, zero if none.
    pub overlay: Version,
}

impl VersionPair {
    /// The version of one value.
    pub fn of(self, key: ConfigKey) -> Version {
        match key {
            ConfigKey::Base => self.base,
            ConfigKey::Overlay => self.overlay,
        }
    }

    /// Whether neither version is older than the other pair's.
    pub fn covers(self, other: VersionPair) -> bool {
        self.base >= other.base && self.overlay >= other.overlay
    }

    /// The newer version of each value.
    pub fn join(self, other: VersionPair) -> VersionPair {
        VersionPair { base: self.base.max(other.base), overlay: self.overlay.max(other.overlay) }
    }
}

/// What the configuration service told that can't be right.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct ReadingFaults {
    /// Readings of a version older than one seen before: the service is stale or restored.
    pub older: u64,
    /// Readings of a known version with another text.
    pub rewritten: u64,
    /// The last of them.
    pub last: Option<FaultyReading>,
}

/// A reading that was ignored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FaultyReading {
    /// Which value.
    pub key: ConfigKey,
    /// The version that was read.
    pub version: Version,
    /// The newest version known then.
    pub known: Version,
    /// When.
    pub at_ms: Millis,
}

/// What has been read, and what of it is in force.
#[derive(Debug, Default)]
pub struct Adoption {
    base: Shelf,
    overlay: Shelf,
    overlay_known: bool,
    started: bool,
    refused: BTreeMap<VersionPair, String>,
    faults: ReadingFaults,
}

impl Adoption {
    /// The pair in force.
    pub fn in_force(&self) -> VersionPair {
        VersionPair { base: self.base.in_force(), overlay: self.overlay.in_force() }
    }

    /// The newest versions seen, in force or not.
    pub fn newest(&self) -> VersionPair {
        VersionPair { base: self.base.newest(), overlay: self.overlay.newest() }
    }

    /// A version of a value, if it is at hand.
    pub fn find(&self, key: ConfigKey, version: Version) -> Option<&PublishedValue> {
        self.shelf(key).find(version)
    }

    /// The newest version at hand that is older than this one, zero if none.
    pub fn newest_before(&self, key: ConfigKey, version: Version) -> Version {
        self.shelf(key).newest_before(version)
    }

    /// How a host that has one version makes another, where that saves anything.
    pub fn splice(&self, key: ConfigKey, from: Version, to: Version) -> Option<Splice> {
        let shelf = self.shelf(key);
        Splice::between(shelf.past_text(from)?, shelf.text(to)?)
    }

    /// The value that a peer's splice makes of a version at hand.
    pub fn spliced(
        &self,
        key: ConfigKey,
        from: Version,
        to: Version,
        splice: &Splice,
    ) -> Option<PublishedValue> {
        let limit = ByteCount(config::MAX_TEXT_BYTES as u64);
        let text = splice.apply(self.shelf(key).past_text(from)?, limit)?;
        Some(PublishedValue { version: to, text })
    }

    /// Whether something could be put in force, valid or not.
    pub fn has_candidate(&self) -> bool {
        self.overlay_known && self.newest().base > Version(0)
    }

    /// The newest pair that was refused, unless what is in force has passed it.
    pub fn rejected(&self) -> Option<RejectedPair> {
        let (pair, problems) = self.refused.last_key_value()?;
        let VersionPair { base, overlay } = *pair;
        Some(RejectedPair { base, overlay, problems: problems.clone() })
    }

    /// Versions of [`Adoption::rejected`], cheap enough to ask after each event.
    pub fn rejected_versions(&self) -> Option<VersionPair> {
        self.refused.last_key_value().map(|(pair, _)| *pair)
    }

    /// What the configuration service told that can't be right.
    pub fn faults(&self) -> &ReadingFaults {
        &self.faults
    }

    /// Puts the first pair of this run in force, if a valid one covers a floor.
    ///
    /// The earlier floor is tried first, and the next only once the values of that one are
    /// here: a floor that can't be tried yet is none that failed. Until this succeeds
    /// nothing comes into force.
    pub fn start(&mut self, floors: &[VersionPair]) -> Option<SiteConfig> {
        if !self.overlay_known {
            return None;
        }
        for floor in floors {
            let first = self.adopt_above(*floor);
            self.started = first.is_some();
            if self.started || !self.holds(*floor) {
                return first;
            }
        }
        None
    }

    fn holds(&self, pair: VersionPair) -> bool {
        let holds = |key| {
            let version = pair.of(key);
            version == Version(0) || self.find(key, version).is_some()
        };
        holds(ConfigKey::Base) && holds(ConfigKey::Overlay)
    }

    /// Whether a pair was put in force in this run.
    pub fn has_started(&self) -> bool {
        self.started
    }

    /// Takes note that no overlay is published. Returns a configuration newly in force.
    pub fn no_overlay(&mut self) -> Option<SiteConfig> {
        let first = !self.overlay_known;
        self.overlay_known = true;
        if first { self.adopt() } else { None }
    }

    /// Takes a value that the service gave. Returns a configuration newly in force.
    pub fn take_reading(
        &mut self,
        now_ms: Millis,
        key: ConfigKey,
        value: PublishedValue,
    ) -> Option<SiteConfig> {
        let known = self.shelf(key).newest();
        let same = self.find(key, value.version);
        let is_rewritten = same.is_some_and(|kept| kept.text != value.text);
        let is_older = value.version < known;
        if is_rewritten || is_older {
            self.faults.older += u64::from(is_older);
            self.faults.rewritten += u64::from(is_rewritten);
            let version = value.version;
            self.faults.last = Some(FaultyReading { key, version, known, at_ms: now_ms });
        }
        if is_older { None } else { self.offer(key, value) }
    }

    /// Takes a published value, from whomever. Returns a configuration newly in force.
    pub fn offer(&mut self, key: ConfigKey, value: PublishedValue) -> Option<SiteConfig> {
        self.overlay_known |= key == ConfigKey::Overlay;
        if !self.shelf_mut(key).insert(value) {
            return None;
        }
        let adopted = self.adopt();
        self.shelf_mut(key).trim();
        adopted
    }

    fn adopt(&mut self) -> Option<SiteConfig> {
        match self.started {
            true => self.adopt_above(self.in_force()),
            false => None,
        }
    }

    fn adopt_above(&mut self, floor: VersionPair) -> Option<SiteConfig> {
        let in_force = self.in_force();
        let pairs = self.pairs().into_iter().filter(|pair| pair.covers(floor));
        for pair in pairs.collect::<Vec<_>>() {
            if pair == in_force {
                return None;
            }
            if let Some(config) = self.try_pair(pair) {
                return Some(config);
            }
        }
        None
    }

    /// All pairs at hand, the most wanted first: the order decides, not the arrival.
    fn pairs(&self) -> Vec<VersionPair> {
        let overlays = self.overlay.versions();
        let bases = self.base.versions().into_iter().filter(|base| *base > Version(0));
        bases
            .flat_map(|base| overlays.iter().map(move |&overlay| VersionPair { base, overlay }))
            .collect()
    }

    fn try_pair(&mut self, pair: VersionPair) -> Option<SiteConfig> {
        if self.refused.contains_key(&pair) {
            return None;
        }
        let base = self.base.text(pair.base)?;
        match config::merge(base, self.overlay.text(pair.overlay)) {
            Ok(config) => {
                self.put_in_force(pair);
                Some(config)
            }
            Err(error) => {
                self.refused.insert(pair, error.to_string());
                self.forget_refused();
                None
            }
        }
    }

    fn put_in_force(&mut self, pair: VersionPair) {
        self.base.put_in_force(pair.base);
        self.overlay.put_in_force(pair.overlay);
        self.forget_refused();
    }

    /// Keeps refusals only of pairs that could still be tried: a bound on their number.
    fn forget_refused(&mut self) {
        let in_force = self.in_force();
        let (bases, overlays) = (self.base.versions(), self.overlay.versions());
        self.refused.retain(|pair, _| {
            *pair != in_force && bases.contains(&pair.base) && overlays.contains(&pair.overlay)
        });
    }

    fn shelf(&self, key: ConfigKey) -> &Shelf {
        match key {
            ConfigKey::Base => &self.base,
            ConfigKey::Overlay => &self.overlay,
        }
    }

    fn shelf_mut(&mut self, key: ConfigKey) -> &mut Shelf {
        match key {
            ConfigKey::Base => &mut self.base,
            ConfigKey::Overlay => &mut self.overlay,
        }
    }
}
