//! Which peers there are, and which of them live.
//!
//! The platform's list says who belongs to the fleet and lags; heartbeats say who was
//! alive a moment ago. A list older than the one held is ignored.

use crate::event::{HostList, ListedHost};
use crate::message::Heartbeat;
use domain::{FastMap, HostId, Incarnation, Millis, ZoneName};
use serde::Serialize;

/// Time between heartbeats.
pub const HEARTBEAT_EVERY_MS: Millis = Millis(1000);
/// Silence after which a peer is taken for dead.
pub const PEER_SILENT_AFTER_MS: Millis = Millis(3000);

/// What is known of one peer.
#[derive(Debug, Clone, Serialize)]
pub struct Peer {
    /// Its run.
    pub incarnation: Incarnation,
    /// When it was last heard.
    pub heard_ms: Millis,
    /// What it last said.
    pub heartbeat: Heartbeat,
}

/// The fleet as this host sees it.
#[derive(Debug, Serialize)]
pub struct Membership {
    own: HostId,
    own_leaving: bool,
    list: HostList,
    peers: FastMap<HostId, Peer>,
}

impl Membership {
    /// A host that knows of no other.
    pub fn new(own: HostId) -> Membership {
        Membership { own, own_leaving: false, list: HostList::default(), peers: FastMap::default() }
    }

    /// Takes this host off the candidates for any job.
    pub fn leave(&mut self) {
        self.own_leaving = true;
    }

    /// Takes the platform's list unless it is older than the one held.
    pub fn take_list(&mut self, list: HostList) {
        if list.version >= self.list.version {
            self.list = list;
        }
    }

    /// Takes a peer's heartbeat; one of an earlier run is ignored. Returns whether it counted.
    pub fn take_heartbeat(
        &mut self,
        now_ms: Millis,
        from: HostId,
        incarnation: Incarnation,
        heartbeat: Heartbeat,
    ) -> bool {
        let stale = self.peers.get(&from).is_some_and(|peer| peer.incarnation > incarnation);
        if !stale {
            self.peers.insert(from, Peer { incarnation, heard_ms: now_ms, heartbeat });
        }
        !stale
    }

    /// Every listed host but `own`.
    pub fn listed_peers<'a>(&'a self, own: &'a HostId) -> impl Iterator<Item = &'a ListedHost> {
        self.list.hosts.iter().filter(move |listed| listed.host != *own)
    }

    /// The listed host of that id.
    pub fn listed(&self, host: &HostId) -> Option<&ListedHost> {
        self.list.hosts.iter().find(|listed| listed.host == *host)
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

    /// Whether a host was heard of lately; this one always was.
    pub fn is_live(&self, now_ms: Millis, host: &HostId) -> bool {
        *host == self.own
            || self
                .peers
                .get(host)
                .is_some_and(|peer| now_ms.since(peer.heard_ms) < PEER_SILENT_AFTER_MS)
    }

    fn said_leaving(&self, host: &HostId) -> bool {
        self.peers.get(host).is_some_and(|peer| peer.heartbeat.leaving)
    }
}
