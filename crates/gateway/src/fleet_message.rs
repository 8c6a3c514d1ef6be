//! Datagrams to the whole fleet, or to some of it.
//!
//! A host tells its own availability zone itself, and the others through a few of their hosts.
//! Lost is lost: what must not be missed is offered again now and then, by digest.

use crate::event_log::LogEvent;
use crate::host::Host;
use crate::peers::codec::{self, Datagram};
use published::Recipient;
use rand::seq::SliceRandom;
use std::net::SocketAddr;

/// Peers that a host asks after a start or a pause. One of them may be new itself or out of reach.
const ASKED_PEERS: usize = 3;

/// How often a host asks for the same after its start: once the first peer is known, and once more are.
pub const START_REQUESTS: u32 = 2;

/// Tells all hosts; the message differs for those that are to pass it on in their zone.
pub fn broadcast(host: &Host, message: impl Fn(bool) -> Datagram) {
    let recipients = host.gossip.borrow_mut().recipients(host.now_ms());
    for should_relay in [true, false] {
        let told = recipients.iter().filter(|recipient| recipient.should_relay == should_relay);
        let to: Vec<SocketAddr> = told.map(|&Recipient { address, .. }| address).collect();
        send(host, &message(should_relay), &to);
    }
}

/// Passes a message on in this host's zone.
pub fn forward_in_zone(host: &Host, message: &Datagram) {
    let peers = host.members().local_zone_peers();
    send(host, message, &peers);
}

/// Tells some peers, drawn at random.
pub fn send_to_random_peers(host: &Host, message: &Datagram, most: usize) {
    let mut others: Vec<SocketAddr> =
        host.members().others().map(|member| member.address).collect();
    let (some, _) = others.partial_shuffle(&mut *host.rng.borrow_mut(), most);
    send(host, message, some);
}

/// Asks some peers for what this host missed: it has just started, or stood still.
pub fn request_from_random_peers(host: &Host, ask: &Datagram) {
    send_to_random_peers(host, ask, ASKED_PEERS);
}

/// Tells hosts.
pub fn send(host: &Host, message: &Datagram, to: &[SocketAddr]) {
    if to.is_empty() {
        return;
    }
    match codec::encode(message) {
        Ok(datagram) => host.placement.send_to_peers(&host.metrics, &datagram, to),
        Err(e) => host.log.write(&LogEvent::PeerUnwritable { problem: e.to_string() }),
    }
}
