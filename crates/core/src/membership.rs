//! Which peers there are, and which of them live.
//!
//! The platform's list says who belongs to the fleet and lags; heartbeats say who was
//! alive a moment ago. A list older than the one held is ignored.

use crate::event::{HostList, ListedHost};
use crate::message::Heartbeat;
use domain::{FastMap, HostId, Incarnation, Millis};
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
#[derive(Debug, Default, Serialize)]
pub struct Membership {
    list: HostList,
    peers: FastMap<HostId, Peer>,
}

impl Membership {
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

    /// What is known of a peer.
    pub fn peer(&self, host: &HostId) -> Option<&Peer> {
        self.peers.get(host)
    }

    /// Whether a peer was heard of lately.
    pub fn is_live(&self, now_ms: Millis, host: &HostId) -> bool {
        self.peers.get(host).is_some_and(|peer| now_ms.since(peer.heard_ms) < PEER_SILENT_AFTER_MS)
    }
}
