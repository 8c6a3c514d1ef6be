//! The recipients of a broadcast.
//!
//! Traffic between availability zones is paid for, and a small host's link is full for a second
//! while it sends a large change to a hundred others. So a reader sends to the hosts of its own
//! zone, and in each other zone to a few that relay within it. The next broadcast replaces a relay
//! that doesn't respond. If all relays of a zone fail at once, a host there reads the source.

use super::{Members, Peer};
use domain::{FastMap, Millis, ZoneName};
use std::cmp::Reverse;
use std::net::SocketAddr;

/// Number of relays in each other zone; the second covers for the loss of one.
const RELAYS: usize = 2;

/// Time without a response after which a relay is replaced: less than the interval between
/// updates, more than a slow host needs.
const RELAY_TIMEOUT_MS: Millis = Millis(500);

/// A recipient of a broadcast.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Recipient {
    /// The address where it receives gossip.
    pub address: SocketAddr,
    /// Whether it relays the message in its availability zone, and responds.
    pub should_relay: bool,
}

impl Members {
    /// The recipients of a broadcast. Records which relays are asked.
    pub fn recipients(&mut self, now_ms: Millis) -> Vec<Recipient> {
        let own_zone = self.own.availability_zone.clone();
        let mut zones: FastMap<ZoneName, Vec<&mut Peer>> = FastMap::default();
        for peer in self.others.values_mut() {
            zones.entry(peer.member.availability_zone.clone()).or_default().push(peer);
        }
        let select = |(zone, hosts): (ZoneName, Vec<&mut Peer>)| match zone == own_zone {
            true => hosts.iter().map(|peer| peer.recipient(false)).collect(),
            false => select_relays(now_ms, hosts),
        };
        let recipients: Vec<Recipient> = zones.into_iter().flat_map(select).collect();
        let leaving = self.leaving_local_zone_peers();
        let leaving = leaving.map(|address| Recipient { address, should_relay: false });
        recipients.into_iter().chain(leaving).collect()
    }

    /// Hosts of the local zone that announced their exit and serve on for a while.
    pub fn leaving_local_zone_peers(&self) -> impl Iterator<Item = SocketAddr> {
        let local = self.leaving.values().filter(|(member, _)| self.is_local(member));
        local.map(|(member, _)| member.address)
    }

    /// The other hosts of the local zone.
    pub fn local_zone_peers(&self) -> Vec<SocketAddr> {
        let local = self.others().filter(|member| self.is_local(member));
        local.map(|member| member.address).collect()
    }
}

fn select_relays(now_ms: Millis, mut hosts: Vec<&mut Peer>) -> Vec<Recipient> {
    if hosts.len() <= RELAYS {
        return hosts.iter().map(|peer| peer.recipient(false)).collect();
    }
    hosts.sort_by_key(|peer| (peer.is_unresponsive(now_ms), Reverse(peer.weight)));
    // The others by hash alone: the hosts of great capacity may all have just started.
    hosts[1..].sort_by_key(|peer| (peer.is_unresponsive(now_ms), Reverse(peer.weight.drawn)));
    let ask_to_relay = |peer: &mut Peer| {
        peer.relay_asked_ms.get_or_insert(now_ms);
        peer.recipient(true)
    };
    hosts.into_iter().take(RELAYS).map(ask_to_relay).collect()
}

impl Peer {
    fn recipient(&self, should_relay: bool) -> Recipient {
        Recipient { address: self.member.address, should_relay }
    }

    fn is_unresponsive(&self, now_ms: Millis) -> bool {
        self.relay_asked_ms.is_some_and(|at_ms| now_ms.since(at_ms) >= RELAY_TIMEOUT_MS)
    }
}
