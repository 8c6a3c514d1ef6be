//! Messages to peers: batches, bounds, restarts, and peers that stand still.
#![allow(clippy::unwrap_used)]

mod support;

use daemon::metrics::Metrics;
use daemon::peers::PeerLinks;
use decision_core::{Envelope, Heartbeat, PeerMessage};
use domain::{Incarnation, Version};
use jsonrpsee::RpcModule;
use jsonrpsee::server::{ConnectionId, Server, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::PATIENCE;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// As in the product.
const QUEUE_LENGTH: u64 = 1024;
const MAX_BATCH: usize = 128;
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// What a peer does with an envelope.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Manner {
    Confirms,
    Refuses,
    /// Takes it, but never answers.
    StandsStill,
}

/// An envelope that a peer took.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Taken {
    numbers: Vec<u64>,
    connection: usize,
}

struct Peer {
    address: SocketAddr,
    taken: watch::Receiver<Vec<Taken>>,
    server: ServerHandle,
}

impl Peer {
    async fn start(address: SocketAddr, manner: Manner) -> Peer {
        let server = Server::builder().build(address).await.unwrap();
        let (sender, taken) = watch::channel(Vec::new());
        let mut module = RpcModule::new(sender);
        module
            .register_async_method("deliver", move |params, taken, extensions| async move {
                let envelope: Envelope = params.one()?;
                let numbers = envelope.messages.iter().map(number).collect();
                let connection = extensions.get::<ConnectionId>().unwrap().0;
                taken.send_modify(|all| all.push(Taken { numbers, connection }));
                match manner {
                    Manner::Confirms => Ok(()),
                    Manner::Refuses => Err(ErrorObjectOwned::owned(-1, "no", None::<()>)),
                    Manner::StandsStill => std::future::pending().await,
                }
            })
            .unwrap();
        Peer { address: server.local_addr().unwrap(), taken, server: server.start(module) }
    }

    /// Waits until a message has come; the connection that it came on.
    async fn wait_for(&self, number: u64) -> usize {
        let taken = self.wait_until(|all| with(all, number).is_some()).await;
        with(&taken, number).unwrap().connection
    }

    async fn wait_until(&self, condition: impl FnMut(&Vec<Taken>) -> bool) -> Vec<Taken> {
        let mut taken = self.taken.clone();
        let waiting = tokio::time::timeout(PATIENCE, taken.wait_for(condition));
        waiting.await.expect("the messages never came").unwrap().clone()
    }

    async fn stop(self) -> SocketAddr {
        self.server.stop().unwrap();
        self.server.stopped().await;
        self.address
    }
}

/// The envelope that holds a message.
fn with(taken: &[Taken], number: u64) -> Option<&Taken> {
    taken.iter().find(|envelope| envelope.numbers.contains(&number))
}

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn message(number: u64) -> PeerMessage {
    PeerMessage::Heartbeat(Heartbeat { base: Version(number), ..Heartbeat::default() })
}

fn number(message: &PeerMessage) -> u64 {
    match message {
        PeerMessage::Heartbeat(heartbeat) => heartbeat.base.0,
        other => panic!("unexpected {other:?}"),
    }
}

struct Fixture {
    links: PeerLinks,
    metrics: Arc<Metrics>,
}

impl Fixture {
    fn new() -> Fixture {
        let metrics = Arc::new(Metrics::new().unwrap());
        let links = PeerLinks::new("e1".parse().unwrap(), Incarnation(1), Arc::clone(&metrics));
        Fixture { links, metrics }
    }

    fn send(&self, address: SocketAddr, numbers: impl IntoIterator<Item = u64>) {
        numbers.into_iter().for_each(|number| self.links.send(address, message(number)));
    }

    fn dropped(&self) -> u64 {
        let metrics = self.metrics.render();
        let line =
            metrics.lines().find(|l| l.starts_with("jujubedeal_peer_messages_dropped_total"));
        line.and_then(|line| line.rsplit(' ').next()).map_or(0, |count| count.parse().unwrap())
    }

    async fn wait_for_dropped(&self, count: u64) {
        let waiting = async {
            while self.dropped() < count {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(PATIENCE, waiting).await.expect("they were never counted");
    }
}

/// What is queued before the link gets to run goes out in full envelopes and in order; what
/// finds the queue full is dropped, and counted.
#[rstest]
#[case::one(1, 1)]
#[case::full_envelope(128, 1)]
#[case::more(300, 3)]
#[case::queue_full(QUEUE_LENGTH, 8)]
#[case::too_many(QUEUE_LENGTH + 100, 8)]
#[tokio::test]
async fn sends_in_batches_from_a_bounded_queue(#[case] count: u64, #[case] envelopes: usize) {
    let peer = Peer::start(any_port(), Manner::Confirms).await;
    let fixture = Fixture::new();
    fixture.send(peer.address, 0..count);
    let kept = count.min(QUEUE_LENGTH);
    assert_eq!(fixture.dropped(), count - kept);
    let come = |all: &Vec<Taken>| all.iter().map(|envelope| envelope.numbers.len()).sum::<usize>();
    let mut taken = peer.wait_until(|all| come(all) as u64 >= kept).await;
    assert_eq!(taken.len(), envelopes);
    assert!(taken.iter().all(|envelope| envelope.numbers.len() <= MAX_BATCH));
    // Envelopes under way at once may overtake one another; each is in order.
    taken.sort();
    let numbers: Vec<u64> = taken.into_iter().flat_map(|envelope| envelope.numbers).collect();
    assert_eq!(numbers, (0..kept).collect::<Vec<_>>());
    assert_eq!(fixture.dropped(), count - kept);
}

#[tokio::test]
async fn reaches_a_peer_again_after_its_restart() {
    let peer = Peer::start(any_port(), Manner::Confirms).await;
    let fixture = Fixture::new();
    fixture.send(peer.address, [1]);
    peer.wait_for(1).await;
    let address = peer.stop().await;
    // Nothing holds messages back while it is away: they are dropped, and counted.
    let sending = async {
        while fixture.dropped() < 5 {
            fixture.send(address, [2]);
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, sending).await.unwrap();
    let peer = Peer::start(address, Manner::Confirms).await;
    let sending = async {
        loop {
            fixture.send(address, [3]);
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::select! {
        () = sending => {}
        _ = peer.wait_for(3) => {}
    }
}

/// A peer that refuses each connection is tried after a pause that doubles. Only the shortest
/// time is checked: a slow machine changes nothing.
#[tokio::test]
async fn backs_off_from_a_peer_that_refuses_connections() {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let fixture = Fixture::new();
    let began = Instant::now();
    let sending = async {
        loop {
            fixture.send(address, [1]);
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let counting = async {
        for connects in 1..=5 {
            drop(listener.accept().await.unwrap());
            let pauses = 2_u32.pow(connects - 1) - 1;
            assert!(began.elapsed() >= MIN_BACKOFF * pauses, "{connects} connects");
        }
    };
    tokio::select! {
        () = sending => {}
        done = tokio::time::timeout(PATIENCE, counting) => done.unwrap(),
    }
    assert!(fixture.dropped() >= 4);
}

/// A peer that accepts and then stands still, at either layer, holds back nothing to others:
/// while not one message to it is confirmed, every message to the other arrives.
#[rstest]
#[case::before_the_handshake(false)]
#[case::after_the_handshake(true)]
#[tokio::test]
async fn a_peer_that_stands_still_holds_back_no_other(#[case] shakes_hands: bool) {
    // Connections reach the backlog, nobody accepts.
    let mute = TcpListener::bind(any_port()).await.unwrap();
    let still = Peer::start(any_port(), Manner::StandsStill).await;
    let address = if shakes_hands { still.address } else { mute.local_addr().unwrap() };
    let other = Peer::start(any_port(), Manner::Confirms).await;
    let fixture = Fixture::new();
    for number in 1..=2 * QUEUE_LENGTH {
        fixture.send(address, [number]);
        fixture.send(other.address, [number]);
        other.wait_for(number).await;
    }
    // What the peer that stands still left is not kept for ever.
    fixture.wait_for_dropped(QUEUE_LENGTH).await;
}

/// A connection on which the peer fell silent is given up: what waits there would be read
/// late. A refusal is an answer, and keeps the connection.
#[rstest]
#[case::silent(Manner::StandsStill, false)]
#[case::refusing(Manner::Refuses, true)]
#[tokio::test]
async fn gives_a_connection_up_when_the_peer_falls_silent(
    #[case] manner: Manner,
    #[case] is_kept: bool,
) {
    let peer = Peer::start(any_port(), manner).await;
    let fixture = Fixture::new();
    fixture.send(peer.address, [1]);
    let first = peer.wait_for(1).await;
    fixture.wait_for_dropped(1).await;
    fixture.send(peer.address, [2]);
    assert_eq!(peer.wait_for(2).await == first, is_kept);
}
