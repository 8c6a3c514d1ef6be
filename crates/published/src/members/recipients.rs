//! Whom a host tells what it read.
//!
//! Bytes between availability zones are paid for, and a small host's link is full for a
//! second if it tells a hundred others of a large change. So a reader tells the hosts of
//! its own zone, and in each other zone a few that pass it on there: on 124 hosts that took
//! bytes between zones from 0.0105 of a day's worth to 0.0042. One that doesn't
//! answer is replaced by the next round of news; both silent at once cost that zone a
//! reading of its own.

use super::{Known, Members};
use domain::{FastMap, Millis, ZoneName};
use std::cmp::Reverse;
use std::net::SocketAddr;

/// Hosts of another zone that pass news on. Two, so that the loss of one is no gap.
const RELAYS: usize = 2;

/// A relay that did not answer for so long is passed over: less than the time between two
/// rounds of news, more than a slow host needs.
const RELAY_SILENT_MS: Millis = Millis(500);

/// A host that is to be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Recipient {
    /// Where it hears its peers.
    pub address: SocketAddr,
    /// Whether it is to pass the news on in its availability zone, and to answer.
    pub should_relay: bool,
}

impl Members {
    /// Whom a reader tells.
    pub fn recipients(&mut self, now_ms: Millis) -> Vec<Recipient> {
        let own_zone = self.own.availability_zone.clone();
        let mut zones: FastMap<ZoneName, Vec<&mut Known>> = FastMap::default();
        for known in self.others.values_mut() {
            zones.entry(known.member.availability_zone.clone()).or_default().push(known);
        }
        let tell = |(zone, hosts): (ZoneName, Vec<&mut Known>)| match zone == own_zone {
            true => hosts.iter().map(|known| known.listener(false)).collect(),
            false => tell_zone(now_ms, hosts),
        };
        let told: Vec<Recipient> = zones.into_iter().flat_map(tell).collect();
        let leaving = self.leaving_local_zone_peers();
        let leaving = leaving.map(|address| Recipient { address, should_relay: false });
        told.into_iter().chain(leaving).collect()
    }

    /// Hosts of this host's availability zone that said farewell and serve on for a while.
    pub fn leaving_local_zone_peers(&self) -> impl Iterator<Item = SocketAddr> {
        let near = self.leaving.values().filter(|(member, _)| self.is_near(member));
        near.map(|(member, _)| member.address)
    }

    /// The other hosts of this host's availability zone.
    pub fn local_zone_peers(&self) -> Vec<SocketAddr> {
        let near = self.others().filter(|member| self.is_near(member));
        near.map(|member| member.address).collect()
    }
}

fn tell_zone(now_ms: Millis, mut hosts: Vec<&mut Known>) -> Vec<Recipient> {
    if hosts.len() <= RELAYS {
        return hosts.iter().map(|known| known.listener(false)).collect();
    }
    hosts.sort_by_key(|known| (known.is_silent(now_ms), Reverse(known.weight)));
    let ask = |known: &mut Known| {
        known.asked_ms.get_or_insert(now_ms);
        known.listener(true)
    };
    hosts.into_iter().take(RELAYS).map(ask).collect()
}

impl Known {
    fn listener(&self, should_relay: bool) -> Recipient {
        Recipient { address: self.member.address, should_relay }
    }

    fn is_silent(&self, now_ms: Millis) -> bool {
        self.asked_ms.is_some_and(|at_ms| now_ms.since(at_ms) >= RELAY_SILENT_MS)
    }
}
