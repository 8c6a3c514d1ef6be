//! Carries what entry hosts tell each other.
//!
//! Datagrams carry who is there and what was read: most of it fits one, nothing waits for
//! a silent peer, and no connection has to be kept for it, which `jsonrpsee` over WebSocket
//! would need between any two hosts. What is missing is fetched over a connection. Bytes
//! between availability zones are paid for, so both are in the compact `postcard` encoding.
//! What is said, and to whom, [`published::Gossip`] decides.

pub mod codec;
mod fetch;

use crate::backpressure;
use crate::event_log::LogEvent;
use crate::host::{ACCEPT_PAUSE, Host, to_duration};
use crate::placement;
use crate::quarantine;
use codec::{CodecError, Datagram};
use dispatch::scheduler::Requester;
use domain::Millis;
use fetch::FETCH_LIMIT;
use published::{Effect, Fetch, Gossip, Message};
use rand::RngExt;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};

/// Largest datagram that is sent; larger news is fetched.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// Time after the first try to join: the way to a seed and back, on a slow machine. Doubled with
/// each try up to [`LAST_JOINS`], as hundreds of hosts ask the same few.
const FIRST_JOINS: Duration = Duration::from_millis(40);

/// Longest time between two tries to join.
const LAST_JOINS: Duration = Duration::from_millis(200);

/// The same while a seed has promised a picture: its answer may have been lost.
const PROMISED_JOINS: Duration = Duration::from_millis(300);

/// Time between greetings to one known host, which repair what was lost.
const GREETINGS: Duration = Duration::from_secs(3);

/// The same while hosts are still being heard of for the first time, and how long that counts.
const SETTLING_GREETINGS: Duration = Duration::from_secs(1);
const SETTLING_MS: Millis = Millis(3_000);

/// Hosts that start together must not greet together for ever.
const GREETING_JITTER: std::ops::Range<f64> = 0.8..1.2;

/// Largest datagram that can come.
const LARGEST_DATAGRAM_BYTES: usize = 64 * 1024;

/// Pause after an error of the socket, which an earlier datagram to nobody causes.
const RECEIVE_PAUSE: Duration = Duration::from_millis(5);

/// The host's voice towards its peers.
#[derive(Debug)]
pub struct Peers {
    host: Rc<Host>,
    socket: Rc<UdpSocket>,
}

impl Peers {
    /// Speaks through a bound socket.
    pub fn new(host: Rc<Host>, socket: Rc<UdpSocket>) -> Rc<Peers> {
        Rc::new(Peers { host, socket })
    }

    /// Has the host's gossip decide, and carries out what it decided.
    pub fn run_gossip(self: &Rc<Peers>, decide: impl FnOnce(&mut Gossip) -> Vec<Effect>) {
        let effects = decide(&mut self.host.gossip.borrow_mut());
        for effect in effects {
            self.carry_out(effect);
        }
    }

    /// Joins through the seeds, then greets them and the peers; never ends.
    pub async fn send_hello(self: Rc<Peers>) {
        let mut next_join = FIRST_JOINS;
        loop {
            let seeds = self.seed_addresses();
            let is_joining = self.host.gossip.borrow().is_joining(self.host.now_ms());
            let pause = match is_joining {
                true if self.is_being_told() => PROMISED_JOINS,
                true => next_join,
                false if self.is_settling() => SETTLING_GREETINGS,
                false => GREETINGS,
            };
            if is_joining {
                self.run_gossip(|gossip| gossip.join(&seeds));
                next_join = (next_join * 2).min(LAST_JOINS);
            } else {
                self.run_gossip(|gossip| gossip.send_hello(&seeds));
            }
            let jitter = self.host.rng.borrow_mut().random_range(GREETING_JITTER);
            clock::sleep(pause.mul_f64(jitter)).await;
        }
    }

    fn is_being_told(&self) -> bool {
        self.host.gossip.borrow().is_bootstrap_pending(self.host.now_ms())
    }

    fn is_settling(&self) -> bool {
        self.host.members().has_changed_within(self.host.now_ms(), SETTLING_MS)
    }

    /// Takes datagrams; never ends.
    pub async fn receive(self: Rc<Peers>) {
        let mut buffer = vec![0; LARGEST_DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((read, from)) => self.take(&buffer[..read], from),
                // An earlier datagram found nobody; the socket itself is sound.
                Err(_) => clock::sleep(RECEIVE_PAUSE).await,
            }
        }
    }

    /// Tells peers that ask for it what they lack; never ends.
    pub async fn serve_fetches(self: Rc<Peers>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let host = Rc::clone(&self.host);
                    tokio::task::spawn_local(async move {
                        // A peer that is gone asks another.
                        let giving = fetch::give(&host, stream);
                        let _ = clock::timeout(FETCH_LIMIT, giving).await;
                    });
                }
                Err(_) => clock::sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    fn take(self: &Rc<Peers>, datagram: &[u8], from: SocketAddr) {
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
                peers.iter().for_each(|peer| self.host.placement.mark_responsive(peer));
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
        after_ms: Millis,
        decide: fn(&mut Gossip, Millis) -> Vec<Effect>,
    ) {
        let peers = Rc::clone(self);
        tokio::task::spawn_local(async move {
            clock::sleep(to_duration(after_ms)).await;
            let now_ms = peers.host.now_ms();
            peers.run_gossip(|gossip| decide(gossip, now_ms));
        });
    }

    fn fetch(self: &Rc<Peers>, fetch: Fetch) {
        let peers = Rc::clone(self);
        tokio::task::spawn_local(async move {
            clock::sleep(to_duration(fetch.delay_ms)).await;
            let answer = fetch::fetch(&fetch).await;
            let now_ms = peers.host.now_ms();
            peers.run_gossip(|gossip| gossip.finish_fetch(now_ms, fetch, answer));
        });
    }

    fn seed_addresses(&self) -> Vec<SocketAddr> {
        let settings = self.host.settings.borrow();
        let is_other = |seed: &&IpAddr| **seed != settings.peers.ip();
        let port = settings.peers.port();
        settings.seeds.iter().filter(is_other).map(|&ip| SocketAddr::new(ip, port)).collect()
    }
}

/// What doesn't fit a datagram is left out: it is fetched.
fn encode(message: &Message) -> Result<Vec<u8>, CodecError> {
    let whole = codec::encode(&Datagram::Gossip(message.clone()))?;
    match message {
        Message::StateUpdate { update, should_relay } if whole.len() > MAX_DATAGRAM_BYTES => {
            let update = Message::StateUpdate {
                update: update.without_changes(),
                should_relay: *should_relay,
            };
            codec::encode(&Datagram::Gossip(update))
        }
        Message::JoinReply(reply) if whole.len() > MAX_DATAGRAM_BYTES => {
            let reply = Message::JoinReply(Box::new(reply.without_items()));
            codec::encode(&Datagram::Gossip(reply))
        }
        _ => Ok(whole),
    }
}
