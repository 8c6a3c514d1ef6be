//! The entry hosts of the site, as far as this one heard of them.
//!
//! No list of them is published. A host asks the seed addresses of its settings, and
//! whoever is asked tells whom it knows. The table serves two ends: who reads the source
//! for all, and by how many a budget of the fleet is to be divided. The second must not
//! grow while hosts are out of sight, so a host is forgotten long after it was last heard.

mod recipients;

pub use recipients::Recipient;

use decision_core::{Job, Role};
use domain::{FastMap, HostId, Incarnation, Millis, SuspensionDetector, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A host that was silent for so long has left. Longer than any outage that a budget's
/// window of 10 s may span twice.
const FORGET_MS: Millis = Millis(60_000);

/// The same for each host of a large fleet. Two hosts of `n` that each greet one peer every 3 s
/// hear of each other every `1.5 n` seconds on average; eight such times without a word mean
/// silence in all but 3 of 10,000 cases.
const FORGET_EACH_MS: Millis = Millis(12_000);

/// How long it holds what another said of the size of the fleet: until lists were exchanged.
const FLEET_TOLD_MS: Millis = Millis(10_000);

/// A reader that was silent for so long doesn't read; twice the time between its news.
const READER_SILENT_MS: Millis = Millis(1_500);

/// A host that said farewell serves on for some seconds, until its process ends: so long it is
/// told what is read. Untold, each host that stopped read for itself: with that, and hosts that had
/// begun with a sample reading once more, 397 of the 588 calls of a day in which a third of 111
/// hosts stopped in turn were waits at the source.
const LEAVING_MS: Millis = Millis(8_000);

/// A failed reading says something of the source for so long: some tries of the fleet.
const READER_FAILED_MS: Millis = Millis(2_000);

/// What a host tells of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its id.
    pub host: HostId,
    /// This run of it.
    pub incarnation: Incarnation,
    /// Where it stands.
    pub availability_zone: ZoneName,
    /// Where it hears its peers.
    pub address: SocketAddr,
    /// What its machine can do.
    pub capacity: Capacity,
}

/// What a machine can do, for work that one host does for many. Greater is more.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Capacity {
    /// Speed of its link.
    pub link_mbps: u32,
    /// Its part of a core.
    pub cpu_percent: u32,
}

impl Member {
    /// Seed of this run's randomness.
    ///
    /// Machines that get their power back together start in the same microsecond. With the
    /// time alone as seed they drew the same pauses and the same upstreams.
    pub fn seed(&self) -> u64 {
        reader_weight(self) ^ self.incarnation.0.wrapping_mul(SPREAD_BITS)
    }
}

/// Spreads small differences over all bits: 2^64 over the golden ratio.
const SPREAD_BITS: u64 = 0x9e37_79b9_7f4a_7c15;

/// The hosts heard of.
#[derive(Debug)]
pub struct Members {
    own: Member,
    /// How much this host is wanted as reader.
    own_weight: u64,
    others: FastMap<HostId, Known>,
    /// Hosts that said farewell, and when. They are told news, and count for nothing else.
    leaving: FastMap<HostId, (Member, Millis)>,
    digest: u64,
    others_in_zone: u32,
    /// When a host was last heard of for the first time, or in a new run.
    changed_ms: Millis,
    told: ToldFleet,
    suspension_detector: SuspensionDetector,
}

/// Size of the fleet that another host told.
#[derive(Debug, Default)]
struct ToldFleet {
    hosts: u32,
    at_ms: Millis,
}

#[derive(Debug)]
struct Known {
    member: Member,
    /// How much it is wanted as reader.
    weight: u64,
    heard_ms: Millis,
    read_ms: Option<Millis>,
    /// When it last told that it could not read.
    failed_ms: Option<Millis>,
    /// When it was first asked to pass news on and has not been heard since.
    asked_ms: Option<Millis>,
}

impl Members {
    /// A table that holds this host alone.
    pub fn new(own: Member) -> Members {
        let (own_weight, digest) = (reader_weight(&own), own.seed());
        Members {
            own,
            own_weight,
            others: FastMap::default(),
            leaving: FastMap::default(),
            digest,
            others_in_zone: 0,
            changed_ms: Millis::ZERO,
            told: ToldFleet::default(),
            suspension_detector: SuspensionDetector::default(),
        }
    }

    /// This host.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// All others.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.others.values().map(|known| &known.member)
    }

    /// This host and all others.
    pub fn all(&self) -> Vec<Member> {
        std::iter::once(&self.own).chain(self.others()).cloned().collect()
    }

    /// How many hosts share the fleet's budgets.
    pub fn count(&self) -> u32 {
        self.heard_of().max(self.told.hosts)
    }

    fn heard_of(&self) -> u32 {
        u32::try_from(self.others.len()).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Another said how many hosts it knows. That counts until their list is here.
    pub fn record_fleet_size(&mut self, now_ms: Millis, hosts: u32) {
        if hosts >= self.told.hosts {
            self.told = ToldFleet { hosts, at_ms: now_ms };
        }
    }

    /// How many of them stand in this host's availability zone.
    pub fn count_in_zone(&self) -> u32 {
        self.others_in_zone.saturating_add(1)
    }

    /// Equal for equal sets of runs.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Takes what a host says of itself, or what another says of it; true if that was news.
    pub fn record(&mut self, now_ms: Millis, member: Member) -> bool {
        if member.host == self.own.host {
            return false;
        }
        if self.leaving.get(&member.host).is_some_and(|(left, _)| *left == member) {
            return false;
        }
        match self.others.get_mut(&member.host) {
            Some(known) if known.member.incarnation > member.incarnation => return false,
            Some(known) if known.member == member => {
                known.heard_ms = now_ms;
                return false;
            }
            _ => {}
        }
        self.changed_ms = now_ms;
        self.leaving.remove(&member.host);
        let former = self.remove(&member.host);
        let known = match former {
            Some(known) => Known { heard_ms: now_ms, member, ..known },
            None => Known {
                heard_ms: now_ms,
                weight: reader_weight(&member),
                read_ms: None,
                failed_ms: None,
                asked_ms: None,
                member,
            },
        };
        self.insert(known);
        true
    }

    fn insert(&mut self, known: Known) {
        self.digest = self.digest.wrapping_add(known.member.seed());
        self.others_in_zone += u32::from(self.is_near(&known.member));
        self.others.insert(known.member.host.clone(), known);
    }

    fn remove(&mut self, host: &HostId) -> Option<Known> {
        let known = self.others.remove(host)?;
        self.digest = self.digest.wrapping_sub(known.member.seed());
        self.others_in_zone -= u32::from(self.is_near(&known.member));
        Some(known)
    }

    fn is_near(&self, member: &Member) -> bool {
        member.availability_zone == self.own.availability_zone
    }

    /// A host spoke itself: it is there.
    pub fn record_response(&mut self, host: &HostId) {
        if let Some(known) = self.others.get_mut(host) {
            known.asked_ms = None;
        }
    }

    /// The host that hears its peers at an address.
    pub fn host_at(&self, address: SocketAddr) -> Option<&HostId> {
        self.others().find(|member| member.address == address).map(|member| &member.host)
    }

    /// Notes that a host just told what it read.
    pub fn record_read(&mut self, now_ms: Millis, host: &HostId) {
        if let Some(known) = self.others.get_mut(host) {
            known.heard_ms = now_ms;
            known.read_ms = Some(now_ms);
            known.failed_ms = None;
        }
    }

    /// Notes that a host just told that it could not read.
    pub fn record_failed_read(&mut self, now_ms: Millis, host: &HostId) {
        if let Some(known) = self.others.get_mut(host) {
            known.heard_ms = now_ms;
            known.failed_ms = Some(now_ms);
        }
    }

    /// How many hosts just told that they could not read, since any told that it could.
    pub fn failed_readers(&self, now_ms: Millis) -> usize {
        let read_ms = self.others.values().filter_map(|known| known.read_ms).max();
        let counts = |at_ms: Millis| {
            now_ms.since(at_ms) < READER_FAILED_MS && read_ms.is_none_or(|read_ms| read_ms < at_ms)
        };
        self.others.values().filter(|known| known.failed_ms.is_some_and(counts)).count()
    }

    /// Drops a run of a host that said farewell.
    pub fn remove_leaving(
        &mut self,
        now_ms: Millis,
        host: &HostId,
        incarnation: Incarnation,
    ) -> bool {
        let is_it =
            |known: &Known| known.member.host == *host && known.member.incarnation <= incarnation;
        if !self.others.get(host).is_some_and(is_it) {
            return false;
        }
        if let Some(known) = self.remove(host) {
            self.leaving.insert(host.clone(), (known.member, now_ms));
        }
        self.told.hosts = self.told.hosts.saturating_sub(1);
        true
    }

    /// Drops hosts that were silent for long; returns them.
    ///
    /// Nobody is heard while this host itself stands still. To forget them all for that would let
    /// it spend the fleet's budgets alone.
    pub fn expire(&mut self, now_ms: Millis) -> Vec<HostId> {
        let still_ms = self.suspension_detector.record_awake(now_ms);
        self.others.values_mut().for_each(|known| known.heard_ms = known.heard_ms + still_ms);
        self.leaving.retain(|_, (_, left_ms)| now_ms.since(*left_ms) < LEAVING_MS);
        if now_ms.since(self.told.at_ms) > FLEET_TOLD_MS {
            self.told = ToldFleet::default();
        }
        let each_ms = Millis(FORGET_EACH_MS.0.saturating_mul(self.others.len() as u64));
        let silent_ms = FORGET_MS.max(each_ms);
        let is_old = |known: &Known| now_ms.since(known.heard_ms) > silent_ms;
        let old: Vec<HostId> = self
            .others
            .iter()
            .filter(|(_, known)| is_old(known))
            .map(|(host, _)| host.clone())
            .collect();
        for host in &old {
            self.remove(host);
        }
        old
    }

    /// Whether hosts were still being heard of for the first time within `span_ms`.
    pub fn has_changed_within(&self, now_ms: Millis, span_ms: Millis) -> bool {
        now_ms.since(self.changed_ms) < span_ms
    }

    /// How many hosts are wanted as reader before this one.
    pub fn reader_rank(&self) -> usize {
        self.others.values().filter(|known| known.weight > self.own_weight).count()
    }

    /// How many of those just told what they read.
    pub fn active_preferred_readers(&self, now_ms: Millis) -> usize {
        let reads = |known: &&Known| {
            known.read_ms.is_some_and(|at_ms| now_ms.since(at_ms) < READER_SILENT_MS)
        };
        self.others.values().filter(reads).filter(|known| known.weight > self.own_weight).count()
    }
}

fn reader_weight(member: &Member) -> u64 {
    Job { role: Role::ConfigWatcher, name: "published" }.weight(&member.host)
}
