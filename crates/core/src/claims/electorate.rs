//! Who has a vote on a key, and how many votes are enough.
//!
//! The electorate is every host that was listed or heard within the last key window, so
//! a host that left the list a moment ago still counts: it may hold the only memory of a
//! key. Two claims for one key are asked of committees of at most [`MAX_COMMITTEE`]
//! hosts. If `a` hosts are known only to the one claimant and `b` only to the other,
//! their committees of size `c` have at most `c + max(a, b)` members together, because
//! one host more or less displaces one member. Two quorums of more than `(c + t) / 2`
//! share a voter while `max(a, b) <= t`: `t` is [`tolerance`].

use crate::message::{ClaimKey, RecentHost};
use crate::rendezvous::{Job, Role};
use domain::{HostId, Millis};
use serde::Serialize;
use std::collections::BTreeMap;

use super::KEY_WINDOW_MS;

/// Most voters on one key.
pub const MAX_COMMITTEE: usize = 15;
/// Most members; further hosts are left out.
const MAX_MEMBERS: usize = 4096;
/// One host in so many may differ between the views of two claimants.
const HOSTS_PER_TOLERATED_DIFFERENCE: usize = 4;

/// Hosts by which two views may differ for a committee of this size.
pub fn tolerance(committee: usize) -> usize {
    committee / HOSTS_PER_TOLERATED_DIFFERENCE
}

/// Votes that make a claim stand.
pub fn quorum(committee: usize) -> usize {
    (committee + tolerance(committee)) / 2 + 1
}

/// The hosts that may hold a vote.
#[derive(Debug, Default, Serialize)]
pub struct Electorate {
    seen_ms: BTreeMap<HostId, Millis>,
}

impl Electorate {
    /// Notes that a host is listed or was heard.
    pub fn note_seen(&mut self, now_ms: Millis, host: &HostId) {
        let is_full = self.seen_ms.len() >= MAX_MEMBERS;
        match self.seen_ms.get_mut(host) {
            Some(seen_ms) => *seen_ms = now_ms.max(*seen_ms),
            None if is_full => {}
            None => drop(self.seen_ms.insert(host.clone(), now_ms)),
        }
    }

    /// Takes over what a peer knows; nothing becomes more recent than the peer says.
    pub fn merge(&mut self, now_ms: Millis, recent: &[RecentHost]) {
        for known in recent.iter().filter(|known| known.age_ms < KEY_WINDOW_MS) {
            self.note_seen(now_ms - known.age_ms, &known.host);
        }
    }

    /// Drops hosts that were neither listed nor heard for a key window.
    pub fn expire(&mut self, now_ms: Millis) {
        self.seen_ms.retain(|_, seen_ms| now_ms.since(*seen_ms) < KEY_WINDOW_MS);
    }

    /// What a peer may take over.
    pub fn recent(&self, now_ms: Millis) -> Vec<RecentHost> {
        let recent = |(host, &seen_ms): (&HostId, &Millis)| RecentHost {
            host: host.clone(),
            age_ms: now_ms.since(seen_ms),
        };
        self.seen_ms.iter().map(recent).collect()
    }

    /// Ids of all members, sorted.
    pub fn ids(&self) -> impl Iterator<Item = &HostId> {
        self.seen_ms.keys()
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.seen_ms.len()
    }

    /// The members that vote on a key, sorted.
    pub fn committee(&self, key: &ClaimKey) -> Vec<HostId> {
        let name = format!("{} {} {}", key.caller, key.service, key.key);
        let job = Job { role: Role::KeyHome, name: &name };
        let ranked = job.ranked(self.seen_ms.keys());
        let mut committee: Vec<HostId> = ranked.into_iter().take(MAX_COMMITTEE).cloned().collect();
        committee.sort_unstable();
        committee
    }
}
