//! Messages between entry hosts.
//!
//! JSON-RPC over WebSocket, one method: `deliver` takes an [`Envelope`]. Messages may be
//! lost, so nothing here waits or repeats: each peer has one bounded queue and one
//! connection; what finds the queue full or the peer out of reach is dropped and counted.

use crate::driver::Driver;
use crate::error::StartError;
use crate::metrics::{Direction, Metrics};
use clock::{Moment, timeout};
use decision_core::{Envelope, Event, PROTOCOL_VERSION, PeerMessage};
use domain::{FastMap, HostId, Incarnation};
use error_stack::{Report, ResultExt};
use jsonrpsee::core::client::{ClientT, Error as ClientError};
use jsonrpsee::server::{Server, ServerConfig, ServerHandle};
use jsonrpsee::types::{ErrorObjectOwned, Params};
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use jsonrpsee::{RpcModule, rpc_params};
use serde::Deserialize;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc};

/// The one method.
const DELIVER: &str = "deliver";
/// Largest message accepted; two published values of a megabyte, escaped, fit in.
const MAX_ENVELOPE_BYTES: u32 = 8 << 20;
/// Peers that may be connected at once.
const MAX_PEERS: u32 = 256;
/// Messages waiting for one peer.
const QUEUE_LENGTH: usize = 1024;
/// Messages in one envelope.
const MAX_BATCH: usize = 128;
/// Text in one envelope above which no further message is added.
const FULL_BATCH_BYTES: usize = 1 << 20;
/// Envelopes under way to one peer.
const MAX_IN_FLIGHT: usize = 4;
/// A peer that does not accept within this time is out of reach.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A peer that does not confirm within this time is out of reach.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(2);
/// First pause after a failed connect; doubles each time.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Longest pause after a failed connect.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// A connection on which nothing was sent for this time is closed.
const LINK_IDLE: Duration = Duration::from_secs(60);

/// JSON-RPC code: the sender speaks another version.
const CODE_PROTOCOL: i32 = -32001;
/// JSON-RPC code: the message is malformed.
const CODE_MALFORMED: i32 = -32602;

/// Takes messages of peers in until the handle is stopped.
///
/// # Errors
///
/// If the machine denies the listener.
pub fn serve(
    listener: TcpListener,
    driver: Arc<Driver>,
) -> Result<ServerHandle, Report<StartError>> {
    let machine = StartError::Machine { what: "the peer listener" };
    let config = ServerConfig::builder()
        .ws_only()
        .max_request_body_size(MAX_ENVELOPE_BYTES)
        .max_connections(MAX_PEERS)
        .set_tcp_no_delay(true)
        .build();
    let server = Server::builder()
        .set_config(config)
        .build_from_tcp(listener)
        .change_context_lazy(|| machine.clone())?;
    let mut module = RpcModule::new(driver);
    module
        .register_method(DELIVER, |params, driver, _| receive(driver, &params))
        .change_context_lazy(|| machine.clone())?;
    Ok(server.start(module))
}

fn receive(driver: &Arc<Driver>, params: &Params<'_>) -> Result<(), ErrorObjectOwned> {
    let bytes = params.as_str().map_or(0, str::len);
    let envelope = open(params).inspect_err(|refusal| {
        driver.metrics().control_bytes(Direction::In, bytes);
        driver.metrics().peer_message_refused(refusal.label());
        log::debug!("peers: refused a message: {}", refusal.label());
    })?;
    count_bytes(driver.metrics(), Direction::In, &envelope.messages, bytes);
    for message in envelope.messages {
        driver.apply(Event::PeerReceived {
            from: envelope.from.clone(),
            incarnation: envelope.incarnation,
            message,
        });
    }
    Ok(())
}

/// Counts an envelope: what goes with calls apart, the rest as control. The frame goes with
/// the calls if nothing else is in it.
fn count_bytes(metrics: &Metrics, direction: Direction, messages: &[PeerMessage], bytes: usize) {
    let (with_calls, control): (Vec<_>, Vec<_>) =
        messages.iter().partition(|message| message.goes_with_a_call());
    let with_calls_bytes = match control.is_empty() {
        true => bytes,
        false => with_calls.into_iter().map(json_bytes).sum(),
    };
    metrics.control_bytes(direction, bytes.saturating_sub(with_calls_bytes));
    metrics.call_bytes(direction, with_calls_bytes);
}

fn json_bytes(message: &PeerMessage) -> usize {
    serde_json::to_vec(message).map_or(0, |json| json.len())
}

/// Why a message is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EnvelopeRefusal {
    OtherProtocol,
    Malformed,
}

impl EnvelopeRefusal {
    fn label(self) -> &'static str {
        match self {
            EnvelopeRefusal::OtherProtocol => "other-protocol",
            EnvelopeRefusal::Malformed => "malformed",
        }
    }
}

impl From<EnvelopeRefusal> for ErrorObjectOwned {
    fn from(refusal: EnvelopeRefusal) -> ErrorObjectOwned {
        let (code, text) = match refusal {
            EnvelopeRefusal::OtherProtocol => {
                (CODE_PROTOCOL, "this entry host speaks another version of the peer protocol")
            }
            EnvelopeRefusal::Malformed => (CODE_MALFORMED, "the envelope is malformed"),
        };
        ErrorObjectOwned::owned(code, text, None::<()>)
    }
}

/// The part of an envelope that every version has.
#[derive(Debug, Deserialize)]
struct ProtocolOnly {
    protocol: u32,
}

fn open(params: &Params<'_>) -> Result<Envelope, EnvelopeRefusal> {
    match params.one::<Envelope>() {
        Ok(envelope) if envelope.protocol == PROTOCOL_VERSION => Ok(envelope),
        Ok(_) => Err(EnvelopeRefusal::OtherProtocol),
        Err(_) => match params.one::<ProtocolOnly>() {
            Ok(only) if only.protocol != PROTOCOL_VERSION => Err(EnvelopeRefusal::OtherProtocol),
            _ => Err(EnvelopeRefusal::Malformed),
        },
    }
}

/// Connections to peers, by address.
#[derive(Debug)]
pub struct PeerLinks {
    from: HostId,
    incarnation: Incarnation,
    metrics: Arc<Metrics>,
    queues: Mutex<FastMap<SocketAddr, mpsc::Sender<PeerMessage>>>,
}

impl PeerLinks {
    /// No connections yet; sends in the name of an entry host.
    pub fn new(from: HostId, incarnation: Incarnation, metrics: Arc<Metrics>) -> PeerLinks {
        PeerLinks { from, incarnation, metrics, queues: Mutex::default() }
    }

    /// Queues a message; must be called within the runtime.
    pub fn send(&self, address: SocketAddr, message: PeerMessage) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let queue = queues.entry(address).or_insert_with(|| self.open_link(address));
        match queue.try_send(message) {
            Ok(()) => {}
            Err(mpsc::error::TrySendError::Full(_)) => self.metrics.peer_messages_dropped(1),
            Err(mpsc::error::TrySendError::Closed(message)) => {
                *queue = self.open_link(address);
                // A new queue has room.
                let _ = queue.try_send(message);
            }
        }
    }

    fn open_link(&self, address: SocketAddr) -> mpsc::Sender<PeerMessage> {
        let (sender, queue) = mpsc::channel(QUEUE_LENGTH);
        let link = Link {
            address,
            from: self.from.clone(),
            incarnation: self.incarnation,
            metrics: Arc::clone(&self.metrics),
            client: None,
            backoff: MIN_BACKOFF,
            next_connect: Moment::now(),
        };
        tokio::spawn(link.run(queue));
        sender
    }
}

/// One connection to a peer.
#[derive(Debug)]
struct Link {
    address: SocketAddr,
    from: HostId,
    incarnation: Incarnation,
    metrics: Arc<Metrics>,
    client: Option<Arc<Connection>>,
    backoff: Duration,
    next_connect: Moment,
}

impl Link {
    async fn run(mut self, mut queue: mpsc::Receiver<PeerMessage>) {
        let in_flight = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
        while let Ok(Some(first)) = timeout(LINK_IDLE, queue.recv()).await {
            let Ok(permit) = Arc::clone(&in_flight).acquire_owned().await else { return };
            let messages = batch(first, &mut queue);
            let Some(client) = self.connected().await else {
                self.metrics.peer_messages_dropped(messages.len());
                continue;
            };
            let sending = send(client, self.envelope(messages), Arc::clone(&self.metrics));
            tokio::spawn(async move {
                sending.await;
                drop(permit);
            });
        }
    }

    fn envelope(&self, messages: Vec<PeerMessage>) -> Envelope {
        Envelope {
            protocol: PROTOCOL_VERSION,
            from: self.from.clone(),
            incarnation: self.incarnation,
            messages,
        }
    }

    async fn connected(&mut self) -> Option<Arc<Connection>> {
        match &self.client {
            Some(client) if client.is_usable() => return Some(Arc::clone(client)),
            _ if Moment::now() < self.next_connect => return None,
            _ => {}
        }
        let client = WsClientBuilder::new()
            .connection_timeout(CONNECT_TIMEOUT)
            .request_timeout(CONFIRM_TIMEOUT)
            .max_request_size(MAX_ENVELOPE_BYTES)
            .max_concurrent_requests(MAX_IN_FLIGHT)
            .set_tcp_no_delay(true)
            .build(format!("ws://{}", self.address))
            .await;
        match client {
            Ok(client) => {
                log::info!("peers: connected to {}", self.address);
                self.backoff = MIN_BACKOFF;
                self.client =
                    Some(Arc::new(Connection { client, is_silent: AtomicBool::new(false) }));
            }
            Err(error) => {
                log::debug!("peers: {} is out of reach: {error}", self.address);
                self.client = None;
                self.next_connect = Moment::now() + self.backoff;
                self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
            }
        }
        self.client.clone()
    }
}

/// A connection that came about.
#[derive(Debug)]
struct Connection {
    client: WsClient,
    /// The peer left an envelope unconfirmed.
    is_silent: AtomicBool,
}

impl Connection {
    /// One on which the peer fell silent is given up: what it would still read is too old.
    fn is_usable(&self) -> bool {
        self.client.is_connected() && !self.is_silent.load(Ordering::Acquire)
    }
}

/// The first message and what waits behind it, as far as one envelope takes it.
fn batch(first: PeerMessage, queue: &mut mpsc::Receiver<PeerMessage>) -> Vec<PeerMessage> {
    let mut text_bytes = text_bytes(&first);
    let mut messages = vec![first];
    while messages.len() < MAX_BATCH && text_bytes < FULL_BATCH_BYTES {
        let Ok(message) = queue.try_recv() else { break };
        text_bytes += self::text_bytes(&message);
        messages.push(message);
    }
    messages
}

fn text_bytes(message: &PeerMessage) -> usize {
    match message {
        PeerMessage::ConfigOffered { value, .. } => value.text.len(),
        PeerMessage::ConfigChanged { splice, .. } => splice.middle.len(),
        _ => 0,
    }
}

/// Sends an envelope; its messages count as dropped unless the peer confirms them.
async fn send(connection: Arc<Connection>, envelope: Envelope, metrics: Arc<Metrics>) {
    let Ok(json) = serde_json::value::to_raw_value(&envelope) else { return };
    count_bytes(&metrics, Direction::Out, &envelope.messages, json.get().len());
    let request = connection.client.request::<(), _>(DELIVER, rpc_params![json]);
    // The client's own timeout begins once the request is on its way.
    match timeout(CONFIRM_TIMEOUT, request).await {
        Ok(Ok(())) => return,
        Ok(Err(ClientError::Call(refusal))) => {
            log::debug!("peers: a message was refused: {refusal}");
        }
        Ok(Err(error)) => {
            log::debug!("peers: a message was not confirmed: {error}");
            connection.is_silent.store(true, Ordering::Release);
        }
        Err(_) => {
            log::debug!("peers: a message was not confirmed in time");
            connection.is_silent.store(true, Ordering::Release);
        }
    }
    metrics.peer_messages_dropped(envelope.messages.len());
}
