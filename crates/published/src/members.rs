//! The table of the site's hosts, as far as this one knows them.
//!
//! No list of hosts is published. A host sends hellos to the seed addresses of its settings, and
//! hosts exchange their tables. The table decides which host reads the source for all.
//!
//! An allowance of the fleet is divided by more hosts than can be reached: those that are cut off
//! spend on, and those that exit are soon back.

mod absent;
mod recipients;

pub use recipients::Recipient;

use absent::AbsentHosts;
use decision_core::{Job, Role};
use domain::{FastMap, HostId, Incarnation, Millis, SuspensionDetector, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Time without a message after which a host is removed.
const MEMBER_TIMEOUT_MS: Millis = Millis(60_000);

/// The same for each host of a large fleet; the greater of the two applies. In a fleet of `n` hosts
/// that each send a hello every 3 s, two hosts hear of each other every `1.5 n` seconds on average;
/// eight such intervals without a message have a probability of 3 in 10,000.
const MEMBER_TIMEOUT_PER_HOST_MS: Millis = Millis(12_000);

/// How long a fleet size stated by a peer counts: until member lists are exchanged.
const STATED_FLEET_MS: Millis = Millis(10_000);

/// Time without an update after which a reader counts as inactive; twice the update interval.
const READER_TIMEOUT_MS: Millis = Millis(1_500);

/// How long a host that has announced its exit still gets updates. It serves on for some seconds
/// until its process ends, and would read the source itself without them.
const LEAVING_MS: Millis = Millis(8_000);

/// How long a failed read counts as a sign of an outage: a few retries of the fleet.
const FAILED_READ_MS: Millis = Millis(2_000);

/// What a host states about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its id.
    pub host: HostId,
    /// Its current run.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub availability_zone: ZoneName,
    /// The address where it receives gossip.
    pub address: SocketAddr,
    /// Capacity of its machine.
    pub capacity: Capacity,
}

/// Capacity of a machine, for work that one host does for others. Greater means more capable.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Capacity {
    /// Speed of its link.
    pub link_mbps: u32,
    /// Share of a core.
    pub cpu_percent: u32,
}

impl Member {
    /// Seed of this run's random numbers.
    ///
    /// Includes the host's id, since machines that are powered on together start in the same
    /// microsecond and would otherwise draw the same pauses and the same upstreams.
    pub fn seed(&self) -> u64 {
        drawn_weight(self) ^ self.incarnation.0.wrapping_mul(SPREAD_BITS)
    }
}

/// Spreads small differences over all bits: 2^64 divided by the golden ratio.
const SPREAD_BITS: u64 = 0x9e37_79b9_7f4a_7c15;

/// The table of hosts.
#[derive(Debug)]
pub struct Members {
    own: Member,
    /// Weight of this host as reader; the host with the greatest weight reads.
    own_weight: ReaderWeight,
    others: FastMap<HostId, Peer>,
    /// Hosts that announced their exit, and when. They only still get updates.
    leaving: FastMap<HostId, (Member, Millis)>,
    absent: AbsentHosts,
    digest: u64,
    others_in_zone: u32,
    /// When a host, or a new run of one, was last added.
    changed_ms: Millis,
    stated_fleet: StatedFleet,
    suspension_detector: SuspensionDetector,
}

/// The fleet size that a peer stated.
#[derive(Debug, Default)]
struct StatedFleet {
    hosts: u32,
    at_ms: Millis,
}

#[derive(Debug)]
struct Peer {
    member: Member,
    /// Weight of the host as reader.
    weight: ReaderWeight,
    last_heard_ms: Millis,
    read_ms: Option<Millis>,
    /// When it last reported a failed read.
    failed_ms: Option<Millis>,
    /// When it was first asked to relay a message that it has not responded to yet.
    relay_asked_ms: Option<Millis>,
}

impl Members {
    /// A table with this host only.
    pub fn new(own: Member) -> Members {
        let (own_weight, digest) = (ReaderWeight::of(&own), own.seed());
        Members {
            own,
            own_weight,
            others: FastMap::default(),
            leaving: FastMap::default(),
            absent: AbsentHosts::default(),
            digest,
            others_in_zone: 0,
            changed_ms: Millis::ZERO,
            stated_fleet: StatedFleet::default(),
            suspension_detector: SuspensionDetector::default(),
        }
    }

    /// This host.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// All other hosts.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.others.values().map(|peer| &peer.member)
    }

    /// Whether a host is another member that has not announced its exit.
    pub fn contains(&self, host: &HostId) -> bool {
        self.others.contains_key(host)
    }

    /// This host and all other hosts.
    pub fn all(&self) -> Vec<Member> {
        std::iter::once(&self.own).chain(self.others()).cloned().collect()
    }

    /// Number of hosts, as far as this one knows them.
    pub fn count(&self) -> u32 {
        self.known_hosts().max(self.stated_fleet.hosts)
    }

    /// Number of hosts that may spend a shared allowance at this moment: also those that fell silent.
    pub fn count_with_silent(&self) -> u32 {
        self.count().max(self.known_hosts().saturating_add(self.absent.silent()))
    }

    /// The same in this host's availability zone.
    pub fn count_with_silent_in_zone(&self) -> u32 {
        self.count_in_zone().saturating_add(self.absent.silent_in(&self.own.availability_zone))
    }

    /// Number of hosts that share what is saved up for a window: also those that exited, as they may
    /// be back before they are heard.
    pub fn sharing_count(&self) -> u32 {
        self.known_or_absent().max(self.absent.stated_fleet())
    }

    /// The same, as this host states it to one that starts.
    pub fn stated_sharing_count(&self) -> u32 {
        self.known_or_absent().max(self.absent.restated_fleet())
    }

    fn known_or_absent(&self) -> u32 {
        self.known_hosts().saturating_add(self.absent.count())
    }

    /// Whether this host has heard of any other, directly or not.
    pub fn knows_others(&self) -> bool {
        self.sharing_count() > 1
    }

    fn known_hosts(&self) -> u32 {
        u32::try_from(self.others.len()).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Records the number of hosts that share allowances, stated by a peer.
    pub fn record_fleet_size(&mut self, now_ms: Millis, hosts: u32) {
        self.absent.record_stated_fleet(now_ms, hosts);
        if hosts >= self.stated_fleet.hosts {
            self.stated_fleet = StatedFleet { hosts, at_ms: now_ms };
        }
    }

    /// Number of hosts in this host's availability zone.
    pub fn count_in_zone(&self) -> u32 {
        self.others_in_zone.saturating_add(1)
    }

    /// Digest of the table; equal for equal sets of runs.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Records a host, stated by itself or by a peer. Returns false if nothing in that is new.
    pub fn record(&mut self, now_ms: Millis, member: Member) -> bool {
        if member.host == self.own.host {
            return false;
        }
        if self.leaving.get(&member.host).is_some_and(|(left, _)| *left == member) {
            return false;
        }
        match self.others.get_mut(&member.host) {
            Some(peer) if peer.member.incarnation > member.incarnation => return false,
            Some(peer) if peer.member == member => {
                peer.last_heard_ms = now_ms;
                return false;
            }
            _ => {}
        }
        self.changed_ms = now_ms;
        self.leaving.remove(&member.host);
        let former = self.remove(&member.host);
        let peer = match former {
            Some(peer) => {
                Peer { last_heard_ms: now_ms, weight: ReaderWeight::of(&member), member, ..peer }
            }
            None => Peer {
                last_heard_ms: now_ms,
                weight: ReaderWeight::of(&member),
                read_ms: None,
                failed_ms: None,
                relay_asked_ms: None,
                member,
            },
        };
        self.insert(peer);
        true
    }

    fn insert(&mut self, peer: Peer) {
        self.absent.remove(&peer.member.host);
        self.digest = self.digest.wrapping_add(peer.member.seed());
        self.others_in_zone += u32::from(self.is_local(&peer.member));
        self.others.insert(peer.member.host.clone(), peer);
    }

    fn remove(&mut self, host: &HostId) -> Option<Peer> {
        let peer = self.others.remove(host)?;
        self.digest = self.digest.wrapping_sub(peer.member.seed());
        self.others_in_zone -= u32::from(self.is_local(&peer.member));
        Some(peer)
    }

    fn is_local(&self, member: &Member) -> bool {
        member.availability_zone == self.own.availability_zone
    }

    /// Records that a host itself responded.
    pub fn record_response(&mut self, host: &HostId) {
        if let Some(peer) = self.others.get_mut(host) {
            peer.relay_asked_ms = None;
        }
    }

    /// The host that receives gossip at an address.
    pub fn host_at(&self, address: SocketAddr) -> Option<&HostId> {
        self.others().find(|member| member.address == address).map(|member| &member.host)
    }

    /// Records that a host has read the source.
    pub fn record_read(&mut self, now_ms: Millis, host: &HostId) {
        if let Some(peer) = self.others.get_mut(host) {
            peer.last_heard_ms = now_ms;
            peer.read_ms = Some(now_ms);
            peer.failed_ms = None;
        }
    }

    /// Records that a host failed to read the source.
    pub fn record_failed_read(&mut self, now_ms: Millis, host: &HostId) {
        if let Some(peer) = self.others.get_mut(host) {
            peer.last_heard_ms = now_ms;
            peer.failed_ms = Some(now_ms);
        }
    }

    /// Number of hosts that recently failed to read the source, after the last successful read of
    /// any host; this one's state was last confirmed at `confirmed_ms`, perhaps by a read of its own.
    pub fn failed_readers(&self, now_ms: Millis, confirmed_ms: Option<Millis>) -> usize {
        let read_ms = self.others.values().filter_map(|peer| peer.read_ms).max();
        let read_ms = read_ms.max(confirmed_ms);
        let counts = |at_ms: Millis| {
            now_ms.since(at_ms) < FAILED_READ_MS && read_ms.is_none_or(|read_ms| read_ms < at_ms)
        };
        self.others.values().filter(|peer| peer.failed_ms.is_some_and(counts)).count()
    }

    /// Removes a run of a host that announced its exit. Returns false if it is unknown.
    pub fn remove_leaving(
        &mut self,
        now_ms: Millis,
        host: &HostId,
        incarnation: Incarnation,
    ) -> bool {
        let is_this_run =
            |peer: &Peer| peer.member.host == *host && peer.member.incarnation <= incarnation;
        if !self.others.get(host).is_some_and(is_this_run) {
            return false;
        }
        if let Some(peer) = self.remove(host) {
            self.leaving.insert(host.clone(), (peer.member, now_ms));
            self.absent.record_exit(now_ms, host);
        }
        self.stated_fleet.hosts = self.stated_fleet.hosts.saturating_sub(1);
        true
    }

    /// Removes hosts that sent nothing for too long, and returns them.
    ///
    /// Time in which this process was suspended doesn't count, since no message arrived then.
    /// Removing all hosts for it would let this one spend the fleet's budgets alone.
    pub fn expire(&mut self, now_ms: Millis) -> Vec<HostId> {
        let suspended_ms = self.suspension_detector.record_awake(now_ms);
        self.others
            .values_mut()
            .for_each(|peer| peer.last_heard_ms = peer.last_heard_ms + suspended_ms);
        self.leaving.retain(|_, (_, left_ms)| now_ms.since(*left_ms) < LEAVING_MS);
        if now_ms.since(self.stated_fleet.at_ms) > STATED_FLEET_MS {
            self.stated_fleet = StatedFleet::default();
        }
        let each_ms = Millis(MEMBER_TIMEOUT_PER_HOST_MS.0.saturating_mul(self.others.len() as u64));
        let timeout_ms = MEMBER_TIMEOUT_MS.max(each_ms);
        let has_expired = |peer: &Peer| now_ms.since(peer.last_heard_ms) > timeout_ms;
        let expired: Vec<HostId> = self
            .others
            .iter()
            .filter(|(_, peer)| has_expired(peer))
            .map(|(host, _)| host.clone())
            .collect();
        self.absent.expire(now_ms);
        for host in &expired {
            if let Some(peer) = self.remove(host) {
                self.absent.record_silence(now_ms, host, peer.member.availability_zone);
            }
        }
        expired
    }

    /// Whether a host, or a new run of one, was added within `span_ms`.
    pub fn has_changed_within(&self, now_ms: Millis, span_ms: Millis) -> bool {
        now_ms.since(self.changed_ms) < span_ms
    }

    /// Number of hosts that have a greater weight as reader than this one.
    pub fn reader_rank(&self) -> usize {
        self.others.values().filter(|peer| peer.weight > self.own_weight).count()
    }

    /// Number of hosts with a greater weight as reader that have read the source recently.
    pub fn active_preferred_readers(&self, now_ms: Millis) -> usize {
        let reads = |peer: &&Peer| {
            peer.read_ms.is_some_and(|at_ms| now_ms.since(at_ms) < READER_TIMEOUT_MS)
        };
        self.others.values().filter(reads).filter(|peer| peer.weight > self.own_weight).count()
    }
}

/// How much a host is wanted as reader and as relay.
///
/// A reader sends each update to all hosts of its zone, and a relay does the same: work that grows
/// with the fleet, and that leaves a small host no room to read. So capacity goes first, and
/// rendezvous hashing decides among equals.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ReaderWeight {
    capacity: Capacity,
    /// By rendezvous hashing.
    drawn: u64,
}

impl ReaderWeight {
    fn of(member: &Member) -> ReaderWeight {
        ReaderWeight { capacity: member.capacity, drawn: drawn_weight(member) }
    }
}

fn drawn_weight(member: &Member) -> u64 {
    Job { role: Role::ConfigWatcher, name: "published" }.weight(&member.host)
}
