//! Among how many entry hosts the measurement budget is divided.
//!
//! The divisor counts *listed* hosts, never those reachable, so that a partition can't
//! multiply what is spent. The list lags, and hosts may hold different ones; three rules
//! keep the sum of all hosts' shares at one whole all the same:
//!
//! - a host without a fresh list that names it has no share;
//! - it must have held such lists for [`SETTLE_MS`] before it has one, so that by then
//!   every other host with a share counts it;
//! - a host that left the list counts on for [`SETTLE_MS`], as it may not know yet.
//!
//! Peers that are heard count too, so a list that lags more than [`LIST_LAG_MS`] does
//! harm only together with a partition.

use crate::event::HostList;
use domain::{HostId, Millis, Version};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Most that the list of one reader may lag behind the newest published one.
pub const LIST_LAG_MS: Millis = Millis(10_000);
/// Time after which a list that was not read again is no longer trusted.
pub const LIST_FRESH_MS: Millis = Millis(5_000);
/// Oldest that the list of a host with a share may be: lag, time unread, a short pause.
const VIEW_AGE_MS: u64 = LIST_LAG_MS.0 + 2 * LIST_FRESH_MS.0;
/// Time that a host waits for its share, and is counted after it left the list.
pub const SETTLE_MS: Millis = Millis(2 * VIEW_AGE_MS);
/// Hosts remembered; with more than that there is no share.
const MAX_HOSTS: usize = 1024;

/// The hosts that this one counts.
#[derive(Debug, Default, Serialize)]
pub struct FleetView {
    version: Version,
    listed: BTreeSet<HostId>,
    /// Hosts heard, or listed until that time.
    seen_ms: BTreeMap<HostId, Millis>,
    read_ms: Option<Millis>,
    held_since_ms: Option<Millis>,
}

impl FleetView {
    /// Takes what a reading of the list gave, if it gave one.
    ///
    /// An older list than the one held still shows that the list held is not too old.
    pub fn note_read(&mut self, now_ms: Millis, own: &HostId, list: Option<&HostList>) {
        self.advance(now_ms);
        let Some(list) = list else { return };
        self.read_ms = Some(now_ms);
        if list.version >= self.version {
            self.take_list(now_ms, list);
        }
        self.held_since_ms = match self.listed.contains(own) {
            true => self.held_since_ms.or(Some(now_ms)),
            false => None,
        };
    }

    /// Takes the list that the host holds, if a peer gave it a newer one than was read.
    pub fn note_held(&mut self, now_ms: Millis, own: &HostId, list: &HostList) {
        if list.version > self.version {
            self.take_list(now_ms, list);
        }
        if !self.listed.contains(own) {
            self.held_since_ms = None;
        }
    }

    /// Counts a peer that was heard, listed or not.
    pub fn note_peer(&mut self, now_ms: Millis, peer: &HostId) {
        self.see(now_ms, peer.clone());
    }

    /// Lets go of what has grown old.
    pub fn advance(&mut self, now_ms: Millis) {
        if self.read_ms.is_some_and(|read_ms| now_ms.since(read_ms) > LIST_FRESH_MS) {
            self.read_ms = None;
            self.held_since_ms = None;
        }
        self.seen_ms.retain(|_, seen_ms| now_ms.since(*seen_ms) <= SETTLE_MS);
    }

    /// The number that budgets are divided by; `None` while this host has no share.
    pub fn divisor(&self, now_ms: Millis) -> Option<usize> {
        let held_since_ms = self.held_since_ms?;
        let settled = now_ms.since(held_since_ms) >= SETTLE_MS;
        let fresh = self.read_ms.is_some_and(|read_ms| now_ms.since(read_ms) <= LIST_FRESH_MS);
        let known = self.seen_ms.len() < MAX_HOSTS;
        (settled && fresh && known).then(|| self.counted())
    }

    fn take_list(&mut self, now_ms: Millis, list: &HostList) {
        self.version = list.version;
        for host in std::mem::take(&mut self.listed) {
            self.see(now_ms, host);
        }
        self.listed = list.hosts.iter().map(|listed| listed.host.clone()).collect();
    }

    fn counted(&self) -> usize {
        let unlisted = self.seen_ms.keys().filter(|&host| !self.listed.contains(host));
        self.listed.len() + unlisted.count()
    }

    fn see(&mut self, now_ms: Millis, host: HostId) {
        if self.seen_ms.len() < MAX_HOSTS || self.seen_ms.contains_key(&host) {
            self.seen_ms.insert(host, now_ms);
        }
    }
}
