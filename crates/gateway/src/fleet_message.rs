//! Datagrams to the whole fleet, or to some of its hosts.
//!
//! A broadcast goes to all hosts of the local availability zone, and to a few hosts of each other
//! zone, which relay it there. Lost datagrams aren't detected here: hosts compare digests from
//! time to time instead.

use crate::event_log::LogEvent;
use crate::host::Host;
use crate::peers::codec::{self, Datagram};
use published::Recipient;
use rand::seq::SliceRandom;
use std::net::SocketAddr;

/// Peers to which a host sends a request after a start or a suspension: some of them may have
/// just started too, or be unreachable.
const REQUESTED_PEERS: usize = 3;

/// Requests that a host sends after its start: when it knows its first peer, and when it knows
/// more.
pub const START_REQUESTS: u32 = 2;

/// Sends a message to all hosts. `message` builds it, given whether the recipient should relay it
/// in its zone.
pub fn broadcast(host: &Host, message: impl Fn(bool) -> Datagram) {
    let recipients = host.gossip.borrow_mut().recipients(host.now_ms());
    for should_relay in [true, false] {
        let selected = recipients.iter().filter(|recipient| recipient.should_relay == should_relay);
        let to: Vec<SocketAddr> = selected.map(|&Recipient { address, .. }| address).collect();
        send(host, &message(should_relay), &to);
    }
}

/// Forwards a message to all peers in the local availability zone.
pub fn forward_in_zone(host: &Host, message: &Datagram) {
    let peers = host.members().local_zone_peers();
    send(host, message, &peers);
}

/// Sends a message to up to `most` peers, selected at random.
pub fn send_to_random_peers(host: &Host, message: &Datagram, most: usize) {
    let mut others: Vec<SocketAddr> =
        host.members().others().map(|member| member.address).collect();
    let (some, _) = others.partial_shuffle(&mut *host.rng.borrow_mut(), most);
    send(host, message, some);
}

/// Sends a request for what this host missed, after a start or a suspension, to some peers.
pub fn request_from_random_peers(host: &Host, request: &Datagram) {
    send_to_random_peers(host, request, REQUESTED_PEERS);
}

/// Sends a message to hosts.
pub fn send(host: &Host, message: &Datagram, to: &[SocketAddr]) {
    if to.is_empty() {
        return;
    }
    match codec::encode(message) {
        Ok(datagram) => host.placement.send_to_peers(&host.metrics, &datagram, to),
        Err(e) => host.log.write(&LogEvent::PeerUnwritable { problem: e.to_string() }),
    }
}
