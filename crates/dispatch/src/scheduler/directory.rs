//! Chooses the scheduler of a cell.
//!
//! Rendezvous hashing over the known hosts: hosts that know the same peers choose the same
//! scheduler, and a host that joins or leaves moves few cells. A host that repeatedly doesn't
//! respond is excluded for a while, and the next one in order schedules.

use super::Cell;
use decision_core::{Job, Role};
use domain::{FastMap, HostId, Millis};
use published::Member;
use std::cmp::Reverse;

/// Consecutive timeouts after which a host is unresponsive; single datagrams may get lost.
const MAX_MISSES: u32 = 2;

/// First exclusion of an unresponsive host; doubled each time up to [`MAX_EXCLUSION_MS`].
const MIN_EXCLUSION_MS: u64 = 1_000;

/// Longest exclusion of an unresponsive host.
const MAX_EXCLUSION_MS: u64 = 8_000;

/// Unresponsive schedulers, as a host sees them.
#[derive(Debug, Default)]
pub struct Directory {
    unresponsive: FastMap<HostId, Unresponsive>,
}

#[derive(Debug, Default)]
struct Unresponsive {
    misses: u32,
    until_ms: Millis,
}

impl Directory {
    /// The scheduler of a cell among these hosts; `None` if all of them are unresponsive.
    pub fn choose<'m>(
        &self,
        now_ms: Millis,
        cell: &Cell,
        hosts: impl Iterator<Item = &'m Member>,
    ) -> Option<&'m Member> {
        let name = cell.to_string();
        let weight =
            |member: &Member| Job { role: Role::Scheduler, name: &name }.weight(&member.host);
        let is_eligible = |member: &&Member| {
            let is_in_zone =
                cell.zone.as_ref().is_none_or(|zone| *zone == member.availability_zone);
            is_in_zone && !self.is_unresponsive(now_ms, &member.host)
        };
        hosts.filter(is_eligible).min_by_key(|member| (Reverse(weight(member)), &member.host))
    }

    /// The primary scheduler of a cell: the first in order among these hosts, responsive or not.
    pub fn primary<'m>(cell: &Cell, hosts: impl Iterator<Item = &'m Member>) -> Option<&'m Member> {
        Directory::default().choose(Millis::ZERO, cell, hosts)
    }

    /// Whether a host is excluded.
    pub fn is_unresponsive(&self, now_ms: Millis, host: &HostId) -> bool {
        self.unresponsive.get(host).is_some_and(|unresponsive| now_ms < unresponsive.until_ms)
    }

    /// Records that a host responded or restarted.
    pub fn record_response(&mut self, host: &HostId) {
        self.unresponsive.remove(host);
    }

    /// Records that a host reaches no upstream, which excludes it for a while.
    pub fn record_cut_off(&mut self, now_ms: Millis, host: &HostId) {
        let unresponsive = self.unresponsive.entry(host.clone()).or_default();
        unresponsive.until_ms = now_ms + Millis(MIN_EXCLUSION_MS);
    }

    /// Records that a host didn't respond in time; returns whether this excludes it.
    pub fn record_timeout(&mut self, now_ms: Millis, host: &HostId) -> bool {
        let unresponsive = self.unresponsive.entry(host.clone()).or_default();
        if now_ms < unresponsive.until_ms {
            return false;
        }
        unresponsive.misses += 1;
        if unresponsive.misses < MAX_MISSES {
            return false;
        }
        let exclusion_ms = MIN_EXCLUSION_MS << (unresponsive.misses - MAX_MISSES).min(8);
        unresponsive.until_ms = now_ms + Millis(exclusion_ms.min(MAX_EXCLUSION_MS));
        true
    }
}
