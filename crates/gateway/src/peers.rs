//! Sends and receives messages between hosts.
//!
//! Membership and published changes go by datagram: most fit into one, an unresponsive peer
//! delays nothing, and no connection between any two hosts has to be kept, as `jsonrpsee` over
//! WebSocket would need. Hosts fetch what they miss over a connection. Traffic between
//! availability zones is paid for, so both use the compact `postcard` encoding.
//! [`published::Gossip`] decides what is sent, and to whom.

pub mod codec;
mod fetch;

use crate::backpressure;
use crate::event_log::LogEvent;
use crate::host::{ACCEPT_PAUSE, Host, to_duration};
use crate::placement;
use crate::quarantine;
use crate::quota;
use codec::{CodecError, Datagram};
use dispatch::scheduler::Requester;
use domain::Millis;
use fetch::FETCH_TIMEOUT;
use published::{Effect, Fetch, Gossip, Message};
use rand::RngExt;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};

/// Largest datagram that is sent; larger updates are fetched.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// Pause after the first join message: a round trip to a seed, on a slow machine. Doubled with
/// each message up to [`MAX_JOIN_INTERVAL`], as hundreds of hosts join through the same seeds.
const FIRST_JOIN_INTERVAL: Duration = Duration::from_millis(40);

/// Longest pause between two join messages.
const MAX_JOIN_INTERVAL: Duration = Duration::from_millis(200);

/// Pause between two join messages while a seed has promised a snapshot, which may have been lost.
const PROMISED_JOIN_INTERVAL: Duration = Duration::from_millis(300);

/// Pause between two hellos, each to one host, which make up for lost messages.
const HELLO_INTERVAL: Duration = Duration::from_secs(3);

/// The same while the fleet is still changing.
const SETTLING_HELLO_INTERVAL: Duration = Duration::from_secs(1);

/// The fleet is still changing until no new host was discovered for this time.
const SETTLING_MS: Millis = Millis(3_000);

/// Factor that spreads the hellos of hosts that started together.
const HELLO_JITTER: std::ops::Range<f64> = 0.8..1.2;

/// Largest datagram that can be received.
const MAX_RECEIVED_BYTES: usize = 64 * 1024;

/// Pause after a socket error, which an earlier datagram to an unreachable host can cause.
const RECEIVE_PAUSE: Duration = Duration::from_millis(5);

/// Exchanges messages with this host's peers.
#[derive(Debug)]
pub struct Peers {
    host: Rc<Host>,
    socket: Rc<UdpSocket>,
}

impl Peers {
    /// Sends and receives on a bound socket.
    pub fn new(host: Rc<Host>, socket: Rc<UdpSocket>) -> Rc<Peers> {
        Rc::new(Peers { host, socket })
    }

    /// Runs a step of the gossip protocol, and carries out its effects.
    pub fn run_gossip(self: &Rc<Peers>, decide: impl FnOnce(&mut Gossip) -> Vec<Effect>) {
        let effects = decide(&mut self.host.gossip.borrow_mut());
        for effect in effects {
            self.carry_out(effect);
        }
    }

    /// Joins the fleet through the seeds, then sends hellos to seeds and peers. Never returns.
    pub async fn send_hello(self: Rc<Peers>) {
        let mut join_interval = FIRST_JOIN_INTERVAL;
        loop {
            let seeds = self.seed_addresses();
            let is_joining = self.host.gossip.borrow().is_joining(self.host.now_ms());
            let pause = match is_joining {
                true if self.is_bootstrap_pending() => PROMISED_JOIN_INTERVAL,
                true => join_interval,
                false if self.is_settling() => SETTLING_HELLO_INTERVAL,
                false => HELLO_INTERVAL,
            };
            if is_joining {
                self.run_gossip(|gossip| gossip.join(&seeds));
                join_interval = (join_interval * 2).min(MAX_JOIN_INTERVAL);
            } else {
                self.run_gossip(|gossip| gossip.send_hello(&seeds));
            }
            let jitter = self.host.rng.borrow_mut().random_range(HELLO_JITTER);
            clock::sleep(pause.mul_f64(jitter)).await;
        }
    }

    fn is_bootstrap_pending(&self) -> bool {
        self.host.gossip.borrow().is_bootstrap_pending(self.host.now_ms())
    }

    fn is_settling(&self) -> bool {
        self.host.members().has_changed_within(self.host.now_ms(), SETTLING_MS)
    }

    /// Receives and handles datagrams. Never returns.
    pub async fn receive(self: Rc<Peers>) {
        let mut buffer = vec![0; MAX_RECEIVED_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((read, from)) => self.handle_datagram(&buffer[..read], from),
                // An earlier datagram reached nobody; the socket itself still works.
                Err(_) => clock::sleep(RECEIVE_PAUSE).await,
            }
        }
    }

    /// Serves what peers fetch over connections. Never returns.
    pub async fn serve_fetches(self: Rc<Peers>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let host = Rc::clone(&self.host);
                    tokio::task::spawn_local(async move {
                        // After an error the peer fetches from another host.
                        let serving = fetch::serve(&host, stream);
                        let _ = clock::timeout(FETCH_TIMEOUT, serving).await;
                    });
                }
                Err(_) => clock::sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    fn handle_datagram(self: &Rc<Peers>, datagram: &[u8], from: SocketAddr) {
        match codec::decode(datagram) {
            Ok(Datagram::Gossip(message)) => {
                let now_ms = self.host.now_ms();
                self.run_gossip(|gossip| gossip.handle_message(now_ms, message, from));
            }
            Ok(Datagram::Quarantine(message)) => {
                if quarantine::handle_message(&self.host, message, from) {
                    self.run_gossip(|gossip| gossip.acknowledge_relay(from));
                }
            }
            Ok(Datagram::Backpressure(message)) => {
                if backpressure::handle_message(&self.host, message, from) {
                    self.run_gossip(|gossip| gossip.acknowledge_relay(from));
                }
            }
            Ok(Datagram::Quota(message)) => quota::handle_message(&self.host, message, from),
            Ok(Datagram::Placement(message)) => {
                placement::handle_message(&self.host, message, Requester::Peer(from));
            }
            Err(e) => self.host.log.write(&LogEvent::PeerUnreadable {
                from: from.to_string(),
                problem: e.to_string(),
            }),
        }
    }

    fn carry_out(self: &Rc<Peers>, effect: Effect) {
        let hosts = self.host.host_count();
        match effect {
            Effect::Send { message, to } => self.send(&message, &to),
            Effect::Fetch(fetch) => self.fetch(fetch),
            Effect::StateUpdated { state_changes, from } => {
                self.host.apply_state_changes(&state_changes, from.as_str());
            }
            Effect::FetchEnded { from, revision, is_full } => {
                let peer = from.as_str();
                self.host.log.write(&LogEvent::Fetched { peer, revision, is_whole: is_full });
            }
            Effect::PeersDiscovered(peers) => {
                for peer in &peers {
                    self.host.placement.mark_responsive(peer);
                    self.host.quotas.mark_responsive(peer);
                }
                let (count, first) = (peers.len(), peers.first());
                quarantine::catch_up_after_start(&self.host);
                backpressure::catch_up_after_start(&self.host);
                self.host.log.write(&LogEvent::PeersHeard { count, first, hosts });
            }
            Effect::AnnounceJoined { delay_ms } => {
                self.run_gossip_later(delay_ms, Gossip::announce_joined)
            }
            Effect::AnswerPendingJoins { delay_ms } => {
                self.run_gossip_later(delay_ms, Gossip::answer_pending_joins)
            }
            Effect::PeerRemoved(peer) => {
                self.host.log.write(&LogEvent::PeerGone { peer: &peer, hosts });
            }
        }
    }

    fn send(&self, message: &Message, to: &[SocketAddr]) {
        let datagram = match encode(message) {
            Ok(datagram) => datagram,
            Err(e) => {
                let problem = e.to_string();
                self.host.log.write(&LogEvent::PeerUnwritable { problem });
                return;
            }
        };
        self.host.placement.send_to_peers(&self.host.metrics, &datagram, to);
    }

    fn run_gossip_later(
        self: &Rc<Peers>,
        delay_ms: Millis,
        decide: fn(&mut Gossip, Millis) -> Vec<Effect>,
    ) {
        let peers = Rc::clone(self);
        tokio::task::spawn_local(async move {
            clock::sleep(to_duration(delay_ms)).await;
            let now_ms = peers.host.now_ms();
            peers.run_gossip(|gossip| decide(gossip, now_ms));
        });
    }

    fn fetch(self: &Rc<Peers>, fetch: Fetch) {
        let peers = Rc::clone(self);
        tokio::task::spawn_local(async move {
            clock::sleep(to_duration(fetch.delay_ms)).await;
            let reply = fetch::fetch(&fetch).await;
            let now_ms = peers.host.now_ms();
            peers.run_gossip(|gossip| gossip.finish_fetch(now_ms, fetch, reply));
        });
    }

    fn seed_addresses(&self) -> Vec<SocketAddr> {
        let settings = self.host.settings.borrow();
        let is_other = |seed: &&IpAddr| **seed != settings.peers.ip();
        let port = settings.peers.port();
        settings.seeds.iter().filter(is_other).map(|&ip| SocketAddr::new(ip, port)).collect()
    }
}

/// Encodes a message, without its items or changes if it is too large: peers fetch these.
fn encode(message: &Message) -> Result<Vec<u8>, CodecError> {
    let full = codec::encode(&Datagram::Gossip(message.clone()))?;
    match message {
        Message::StateUpdate { update, should_relay } if full.len() > MAX_DATAGRAM_BYTES => {
            let update = Message::StateUpdate {
                update: update.without_changes(),
                should_relay: *should_relay,
            };
            codec::encode(&Datagram::Gossip(update))
        }
        Message::JoinReply(reply) if full.len() > MAX_DATAGRAM_BYTES => {
            let reply = Message::JoinReply(Box::new(reply.without_items()));
            codec::encode(&Datagram::Gossip(reply))
        }
        _ => Ok(full),
    }
}
