//! Rendezvous hashing: which host does a job, without anybody being asked.
//!
//! Each host gets a weight for each job, the heaviest candidate has it. Hosts that know
//! the same candidates agree, and a host that comes or goes moves only its own jobs.
//! The weights are part of the protocol: hosts of two releases must agree on them. They
//! are the same on all 64-bit machines.

use domain::HostId;
use rustc_hash::FxHasher;
use std::cmp::Reverse;
use std::hash::Hasher;

/// What a host is chosen for; the same name under two roles gives two choices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Waits at the configuration service for news.
    ConfigWatcher = 1,
    /// Remembers which idempotency keys were used.
    KeyHome = 2,
    /// Lends the slots of a service.
    SlotLender = 3,
    /// Probes an upstream.
    Prober = 4,
    /// Places the requests for a service.
    Scheduler = 5,
    /// Grants the tokens of an organisation's quota.
    QuotaOwner = 6,
}

/// A job to be given to a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Job<'a> {
    /// The kind of work.
    pub role: Role,
    /// What is worked on, such as a service or an upstream.
    pub name: &'a str,
}

impl Job<'_> {
    /// How much the host is wanted for the job.
    pub fn weight(&self, host: &HostId) -> u64 {
        let mut hasher = FxHasher::default();
        hasher.write_u8(self.role as u8);
        hasher.write(self.name.as_bytes());
        hasher.write_u8(u8::MAX);
        hasher.write(host.as_str().as_bytes());
        mix(hasher.finish())
    }

    /// The host that has the job.
    pub fn first<'h>(&self, hosts: impl IntoIterator<Item = &'h HostId>) -> Option<&'h HostId> {
        hosts.into_iter().min_by_key(|host| self.rank(host))
    }

    /// All hosts, the most wanted first.
    pub fn ranked<'h>(&self, hosts: impl IntoIterator<Item = &'h HostId>) -> Vec<&'h HostId> {
        let mut hosts: Vec<&HostId> = hosts.into_iter().collect();
        hosts.sort_by_cached_key(|host| self.rank(host));
        hosts
    }

    fn rank<'h>(&self, host: &'h HostId) -> (Reverse<u64>, &'h HostId) {
        (Reverse(self.weight(host)), host)
    }
}

/// Spreads the bits: the fast hash alone leaves names that differ in one digit close together.
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
