//! Whom a host takes for the scheduler of a cell.
//!
//! Rendezvous hashing over the hosts that it heard of: hosts that know the same choose the
//! same, and one that comes or goes moves few cells. A host that did not answer twice in a row
//! is passed over for a while, and the next in order schedules.

use super::Cell;
use decision_core::{Job, Role};
use domain::{FastMap, HostId, Millis};
use published::Member;
use std::cmp::Reverse;

/// Unanswered submissions in a row that make a host silent: a datagram is lost now and then.
const MISSES: u32 = 2;

/// Shortest time that a silent host is passed over; doubled each time up to [`LONGEST_MS`].
const SHORTEST_MS: u64 = 1_000;

/// Longest time that a silent host is passed over.
const LONGEST_MS: u64 = 8_000;

/// What a host knows of those that schedule.
#[derive(Debug, Default)]
pub struct Directory {
    unheard: FastMap<HostId, Unheard>,
}

#[derive(Debug, Default)]
struct Unheard {
    misses: u32,
    until_ms: Millis,
}

impl Directory {
    /// The scheduler of a cell among these hosts; none if all of them are silent.
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
            let is_near = cell.zone.as_ref().is_none_or(|zone| *zone == member.availability_zone);
            is_near && !self.is_unresponsive(now_ms, &member.host)
        };
        hosts.filter(is_eligible).min_by_key(|member| (Reverse(weight(member)), &member.host))
    }

    /// The first in order for a cell among these hosts, silent or not.
    pub fn primary<'m>(cell: &Cell, hosts: impl Iterator<Item = &'m Member>) -> Option<&'m Member> {
        Directory::default().choose(Millis::ZERO, cell, hosts)
    }

    /// Whether a host is passed over.
    pub fn is_unresponsive(&self, now_ms: Millis, host: &HostId) -> bool {
        self.unheard.get(host).is_some_and(|unheard| now_ms < unheard.until_ms)
    }

    /// A host answered, or is there in a new run.
    pub fn record_response(&mut self, host: &HostId) {
        self.unheard.remove(host);
    }

    /// A host did not answer; true if it is passed over from now on.
    pub fn record_timeout(&mut self, now_ms: Millis, host: &HostId) -> bool {
        let unheard = self.unheard.entry(host.clone()).or_default();
        if now_ms < unheard.until_ms {
            return false;
        }
        unheard.misses += 1;
        if unheard.misses < MISSES {
            return false;
        }
        let doubled = SHORTEST_MS << (unheard.misses - MISSES).min(8);
        unheard.until_ms = now_ms + Millis(doubled.min(LONGEST_MS));
        true
    }
}
