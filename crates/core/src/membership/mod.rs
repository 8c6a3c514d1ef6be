//! Which peers there are, and which of them live.
//!
//! The platform's list says who belongs to the fleet and lags; messages say who was alive
//! a moment ago. A list older than the one held is ignored, whoever gives it. Only hosts
//! that some list named are heard.

mod ages;
mod ring;

use crate::event::{HostList, ListedHost};
use crate::message::Heartbeat;
use crate::traffic::RefusedSender;
use domain::{FastMap, HostId, Incarnation, Millis, Version, ZoneName};
use serde::Serialize;
use std::collections::BTreeMap;

pub use ring::{MAX_NEWS_PEERS, heartbeat_offsets, news_offsets};

/// Time between heartbeats.
pub const HEARTBEAT_EVERY_MS: Millis = Millis(1000);
/// Silence after which a peer is taken for dead.
const SILENT_AFTER_MS: Millis = Millis(3000);
/// The same in a fleet where most is heard through others.
const SILENT_AFTER_IN_LARGE_FLEET_MS: Millis = Millis(6000);
/// Hosts from which on a fleet is large.
const LARGE_FLEET: usize = 20;
/// Silence of a run after which an earlier one is heard: the machine's date may have gone back.
const EARLIER_RUN_AFTER_MS: Millis = Millis::from_secs(60);
/// Hosts no longer listed that are remembered.
const MAX_FORMER: usize = 256;

/// What is known of one peer.
#[derive(Debug, Clone, Serialize)]
pub struct Peer {
    /// Its run.
    pub incarnation: Incarnation,
    /// When it was last heard itself.
    pub heard_ms: Millis,
    /// What it last said.
    pub heartbeat: Heartbeat,
}

/// A host that an earlier list named.
#[derive(Debug, Clone, Serialize)]
struct FormerHost {
    listed: ListedHost,
    gone_in: Version,
}

/// The fleet as this host sees it.
#[derive(Debug, Serialize)]
pub struct Membership {
    own: HostId,
    own_leaving: bool,
    has_list: bool,
    list: HostList,
    ignored_lists: u64,
    former: BTreeMap<HostId, FormerHost>,
    peers: FastMap<HostId, Peer>,
    heard_ms: FastMap<HostId, Millis>,
    round: u64,
}

impl Membership {
    /// A host that knows of no other.
    pub fn new(own: HostId) -> Membership {
        Membership {
            own,
            own_leaving: false,
            has_list: false,
            list: HostList::default(),
            ignored_lists: 0,
            former: BTreeMap::new(),
            peers: FastMap::default(),
            heard_ms: FastMap::default(),
            round: 0,
        }
    }

    /// Takes this host off the candidates for any job.
    pub fn leave(&mut self) {
        self.own_leaving = true;
    }

    /// Takes a host list unless it is older than the one held, or names nobody.
    pub fn take_list(&mut self, mut list: HostList) {
        let is_older = self.has_list && list.version < self.list.version;
        self.ignored_lists += u64::from(is_older || list.hosts.is_empty());
        let is_newer = !self.has_list || list.version > self.list.version;
        if !is_newer || list.hosts.is_empty() {
            return;
        }
        list.hosts.sort_unstable_by(|a, b| a.host.cmp(&b.host));
        list.hosts.dedup_by(|a, b| a.host == b.host);
        let version = list.version;
        let before = std::mem::replace(&mut self.list, list);
        self.has_list = true;
        for listed in before.hosts {
            self.former.insert(listed.host.clone(), FormerHost { listed, gone_in: version });
        }
        self.former.retain(|host, _| find(&self.list, host).is_none());
        self.forget_former();
    }

    /// The list held, if any.
    pub fn list(&self) -> Option<&HostList> {
        self.has_list.then_some(&self.list)
    }

    /// Version of the list held, zero if none.
    pub fn list_version(&self) -> Version {
        self.list.version
    }

    /// Whether a message of this run of a host is taken.
    ///
    /// # Errors
    ///
    /// Why it isn't.
    pub fn check_sender(
        &self,
        now_ms: Millis,
        from: &HostId,
        incarnation: Incarnation,
    ) -> Result<(), RefusedSender> {
        let is_earlier = |peer: &Peer| {
            peer.incarnation > incarnation && now_ms.since(peer.heard_ms) < EARLIER_RUN_AFTER_MS
        };
        match self.peers.get(from) {
            _ if *from == self.own => Err(RefusedSender::OwnId),
            _ if self.known(from).is_none() => Err(RefusedSender::NeverListed),
            Some(peer) if is_earlier(peer) => Err(RefusedSender::EarlierRun),
            _ => Ok(()),
        }
    }

    /// Notes that a host was heard.
    pub fn note_heard(&mut self, now_ms: Millis, from: &HostId, incarnation: Incarnation) {
        self.heard_ms.insert(from.clone(), now_ms);
        match self.peers.get_mut(from) {
            Some(peer) if peer.incarnation == incarnation => peer.heard_ms = now_ms,
            _ => {
                let heartbeat = Heartbeat::default();
                self.peers.insert(from.clone(), Peer { incarnation, heard_ms: now_ms, heartbeat });
            }
        }
    }

    /// Takes what a peer said of itself; one of an earlier run is ignored.
    ///
    /// A run that was heard to leave stays so: an earlier message may come after.
    pub fn take_heartbeat(
        &mut self,
        now_ms: Millis,
        from: &HostId,
        incarnation: Incarnation,
        heartbeat: Heartbeat,
    ) {
        if self.peers.get(from).is_some_and(|peer| peer.incarnation > incarnation) {
            return;
        }
        self.note_heard(now_ms, from, incarnation);
        if let Some(peer) = self.peers.get_mut(from) {
            let leaving = peer.heartbeat.leaving || heartbeat.leaving;
            peer.heartbeat = Heartbeat { leaving, ..heartbeat };
        }
    }

    /// Takes what a peer heard of others; it must hold the same list.
    pub fn take_ages(&mut self, now_ms: Millis, list: Version, ages: &str) {
        if list != self.list.version || ages.len() != self.list.hosts.len() {
            return;
        }
        let others = self.list.hosts.iter().zip(ages.chars());
        for (listed, age) in others.filter(|(listed, _)| listed.host != self.own) {
            let Some(age_ms) = ages::decode(age) else { continue };
            let heard_ms = self.heard_ms.entry(listed.host.clone()).or_default();
            *heard_ms = (*heard_ms).max(now_ms - age_ms);
        }
    }

    /// What this host heard of the listed ones, for its peers.
    pub fn ages(&self, now_ms: Millis) -> String {
        let age = |listed: &ListedHost| match self.heard_ms.get(&listed.host) {
            _ if listed.host == self.own => Some(Millis::ZERO),
            Some(&heard_ms) => Some(now_ms.since(heard_ms)),
            None => None,
        };
        self.list.hosts.iter().map(|listed| ages::encode(age(listed))).collect()
    }

    /// Every listed host but `own`.
    pub fn listed_peers<'a>(&'a self, own: &'a HostId) -> impl Iterator<Item = &'a ListedHost> {
        self.list.hosts.iter().filter(move |listed| listed.host != *own)
    }

    /// The listed host of that id.
    pub fn listed(&self, host: &HostId) -> Option<&ListedHost> {
        find(&self.list, host)
    }

    /// The host of that id, listed now or earlier.
    pub fn known(&self, host: &HostId) -> Option<&ListedHost> {
        self.listed(host).or_else(|| self.former.get(host).map(|former| &former.listed))
    }

    /// Listed hosts, this one included, at least one.
    pub fn listed_count(&self) -> usize {
        self.list.hosts.len().max(1)
    }

    /// Hosts that may be given a job: listed, live and not leaving; sorted by id.
    ///
    /// This host is one of them, listed or not, until it leaves.
    pub fn candidates(&self, now_ms: Millis) -> Vec<&HostId> {
        let stays = |listed: &&ListedHost| !listed.leaving && !self.said_leaving(&listed.host);
        let peers = self.listed_peers(&self.own).filter(stays).map(|listed| &listed.host);
        let live = peers.filter(|host| self.is_live(now_ms, host));
        let own = (!self.own_leaving).then_some(&self.own);
        let mut hosts: Vec<&HostId> = live.chain(own).collect();
        hosts.sort_unstable();
        hosts
    }

    /// Those of [`Membership::candidates`] that are listed in an availability zone.
    pub fn candidates_in(&self, now_ms: Millis, zone: &ZoneName) -> Vec<&HostId> {
        let in_zone = |host: &HostId| {
            self.listed(host).is_some_and(|listed| listed.availability_zone == *zone)
        };
        let mut hosts = self.candidates(now_ms);
        hosts.retain(|host| in_zone(host));
        hosts
    }

    /// What is known of a peer.
    pub fn peer(&self, host: &HostId) -> Option<&Peer> {
        self.peers.get(host)
    }

    /// All peers heard of themselves, by id.
    pub fn peers(&self) -> Vec<(&HostId, &Peer)> {
        let mut peers: Vec<(&HostId, &Peer)> = self.peers.iter().collect();
        peers.sort_unstable_by_key(|(host, _)| *host);
        peers
    }

    /// Silence after which a peer is taken for dead.
    pub fn silent_after_ms(&self) -> Millis {
        match self.list.hosts.len() {
            LARGE_FLEET.. => SILENT_AFTER_IN_LARGE_FLEET_MS,
            _ => SILENT_AFTER_MS,
        }
    }

    /// Whether a host was heard of lately; this one always was.
    pub fn is_live(&self, now_ms: Millis, host: &HostId) -> bool {
        let heard = |heard_ms: &Millis| now_ms.since(*heard_ms) < self.silent_after_ms();
        *host == self.own || self.heard_ms.get(host).is_some_and(heard)
    }

    /// Heartbeat rounds so far.
    pub fn round(&self) -> u64 {
        self.round
    }

    /// Peers that get a heartbeat in the next round.
    ///
    /// Silent ones are among them: that is how two parted sides find each other again.
    pub fn next_heartbeat_peers(&mut self) -> Vec<ListedHost> {
        self.round += 1;
        let ring = self.ring(|_| true);
        let offsets = heartbeat_offsets(ring.len(), self.round);
        offsets.into_iter().map(|offset| ring[offset - 1].clone()).collect()
    }

    /// Peers that are told news at once.
    pub fn news_peers(&self, now_ms: Millis) -> Vec<ListedHost> {
        let ring = self.ring(|listed| self.is_live(now_ms, &listed.host));
        news_offsets(ring.len()).into_iter().map(|offset| ring[offset - 1].clone()).collect()
    }

    /// Listed peers in the order of their ids, from this host's place on.
    fn ring(&self, wanted: impl Fn(&ListedHost) -> bool) -> Vec<&ListedHost> {
        let (before, after): (Vec<&ListedHost>, Vec<&ListedHost>) = self
            .listed_peers(&self.own)
            .filter(|listed| wanted(listed))
            .partition(|listed| listed.host < self.own);
        after.into_iter().chain(before).collect()
    }

    fn said_leaving(&self, host: &HostId) -> bool {
        self.peers.get(host).is_some_and(|peer| peer.heartbeat.leaving)
    }

    fn forget_former(&mut self) {
        while self.former.len() > MAX_FORMER {
            let oldest = self.former.iter().min_by_key(|(_, former)| former.gone_in);
            let Some(host) = oldest.map(|(host, _)| host.clone()) else { break };
            self.former.remove(&host);
        }
        let (list, former) = (&self.list, &self.former);
        let is_known = |host: &HostId| former.contains_key(host) || find(list, host).is_some();
        self.peers.retain(|host, _| is_known(host));
        self.heard_ms.retain(|host, _| is_known(host));
    }
}

fn find<'a>(list: &'a HostList, host: &HostId) -> Option<&'a ListedHost> {
    let at = list.hosts.binary_search_by(|listed| listed.host.cmp(host)).ok()?;
    list.hosts.get(at)
}
