//! The versions of one published value that are worth keeping.

use crate::event::PublishedValue;
use domain::Version;
use std::collections::VecDeque;

/// Versions newer than the one in force that are kept.
const MAX_NEWER: usize = 4;
/// Versions that were in force and are kept, to tell peers only what changed since.
const MAX_PAST: usize = 2;

/// The version in force and those that may follow it.
#[derive(Debug, Default)]
pub struct Shelf {
    in_force: Option<PublishedValue>,
    newer: Vec<PublishedValue>,
    past: VecDeque<PublishedValue>,
}

impl Shelf {
    /// Version in force, zero if none.
    pub fn in_force(&self) -> Version {
        version_of(self.in_force.as_ref())
    }

    /// Newest version kept, zero if none.
    pub fn newest(&self) -> Version {
        version_of(self.newer.last().or(self.in_force.as_ref()))
    }

    /// The value of that version, if it is kept.
    pub fn find(&self, version: Version) -> Option<&PublishedValue> {
        self.newer.iter().chain(&self.in_force).find(|value| value.version == version)
    }

    /// The newest version kept that is older than this one, zero if none.
    pub fn newest_before(&self, version: Version) -> Version {
        let older = self.newer.iter().chain(&self.in_force).filter(|kept| kept.version < version);
        older.map(|kept| kept.version).max().unwrap_or(Version(0))
    }

    /// Text of that version, also if it is in force no more.
    pub fn past_text(&self, version: Version) -> Option<&str> {
        let past = self.past.iter().find(|value| value.version == version);
        past.or_else(|| self.find(version)).map(|value| value.text.as_str())
    }

    /// Text of that version; none for version zero.
    pub fn text(&self, version: Version) -> Option<&str> {
        self.find(version).map(|value| value.text.as_str())
    }

    /// Keeps a value if it is newer than the one in force. Returns whether it is new here.
    pub fn insert(&mut self, value: PublishedValue) -> bool {
        if value.version <= self.in_force() {
            return false;
        }
        match self.newer.binary_search_by_key(&value.version, |kept| kept.version) {
            Ok(_) => false,
            Err(at) => {
                self.newer.insert(at, value);
                true
            }
        }
    }

    /// Drops the oldest of the newer versions beyond the limit.
    pub fn trim(&mut self) {
        let excess = self.newer.len().saturating_sub(MAX_NEWER);
        self.newer.drain(..excess);
    }

    /// Versions that may come into force, newest first, the one in force last.
    pub fn versions(&self) -> Vec<Version> {
        let newer = self.newer.iter().rev().map(|value| value.version);
        newer.chain([self.in_force()]).collect()
    }

    /// Puts a version in force; of those before it, only the last in force are kept.
    pub fn put_in_force(&mut self, version: Version) {
        let Ok(at) = self.newer.binary_search_by_key(&version, |kept| kept.version) else { return };
        let next = self.newer.drain(..=at).next_back();
        self.past.extend(std::mem::replace(&mut self.in_force, next));
        let excess = self.past.len().saturating_sub(MAX_PAST);
        self.past.drain(..excess);
    }
}

fn version_of(value: Option<&PublishedValue>) -> Version {
    value.map_or(Version(0), |value| value.version)
}
