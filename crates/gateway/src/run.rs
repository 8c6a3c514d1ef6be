//! Start and reload of the process.

use crate::backpressure;
use crate::dialect::Dialect;
use crate::event_log::{EventLog, LogEvent};
use crate::host::Host;
use crate::ingress;
use crate::memory::RECEIVE_BUFFER_BYTES;
use crate::metrics::Metrics;
use crate::operator::{self, Audience};
use crate::peers::Peers;
use crate::placement;
use crate::quarantine;
use crate::quota;
use crate::settings::Settings;
use crate::shutdown;
use crate::source::Source;
use crate::source_reader::SourceReader;
use crate::tunnel;
use domain::{Incarnation, Millis};
use error_stack::{Report, ResultExt};
use published::{Member, Reader, StartConditions};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::num::NonZeroU32;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::spawn_local;

/// Most connections that wait to be accepted: a second's worth on a busy host.
const BACKLOG: u32 = 1_024;

/// Time between two rounds of maintenance.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// The process was suspended if a round of maintenance is late by more than this.
const MAX_DELAY_MS: Millis = Millis(500);

/// Rounds of maintenance between two checks whether the settings changed without a signal.
const SETTINGS_CHECK_ROUNDS: u32 = 2;

/// Why the process could not start.
#[derive(Debug)]
pub enum StartError {
    /// An address can't be listened on.
    Listen(SocketAddr),
    /// Signals, standard output or metrics can't be set up.
    Setup(&'static str),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Listen(address) => {
                write!(f, "can't listen on {address}: end what uses it, or change the settings")
            }
            StartError::Setup(what) => write!(f, "can't set up {what}: check the process's limits"),
        }
    }
}

impl std::error::Error for StartError {}

/// Reloads the settings.
pub trait Reload: 'static {
    /// Returns the settings if they changed since the last call, or if the reload was requested.
    /// An error names the remedy.
    fn load_if_changed(&mut self, is_requested: bool) -> Result<Option<Settings>, String>;
}

/// A running host.
#[derive(Debug)]
pub struct Gateway {
    host: Rc<Host>,
    peers: Rc<Peers>,
}

/// The signals that the process handles.
///
/// Their handlers are installed before anything else: a hangup ends a process without one.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    _hangup: Signal,
}

impl Signals {
    /// Installs the handlers.
    pub fn listen() -> Result<Signals, Report<StartError>> {
        Ok(Signals {
            _hangup: listen_for(SignalKind::hangup())?,
            terminate: listen_for(SignalKind::terminate())?,
            interrupt: listen_for(SignalKind::interrupt())?,
        })
    }

    /// Waits for a signal to stop.
    async fn wait_for_stop(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Runs the process until a signal to stop.
pub async fn run<S: Source, R: Reload>(
    mut signals: Signals,
    settings: Settings,
    dialect: Dialect,
    source: S,
    reload: R,
    log: EventLog,
) -> Result<(), Report<StartError>> {
    let gateway = Gateway::start(settings, dialect, source, reload, log).await?;
    signals.wait_for_stop().await;
    gateway.stop().await;
    Ok(())
}

fn listen_for(kind: SignalKind) -> Result<Signal, Report<StartError>> {
    signal(kind).change_context(StartError::Setup("signals"))
}

impl Gateway {
    /// Starts to serve, as local tasks of this thread.
    pub async fn start<S: Source, R: Reload>(
        settings: Settings,
        dialect: Dialect,
        source: S,
        reload: R,
        log: EventLog,
    ) -> Result<Gateway, Report<StartError>> {
        let incarnation = Incarnation(epoch_us());
        let own = Member {
            host: settings.host.clone(),
            incarnation,
            availability_zone: settings.availability_zone.clone(),
            address: settings.peers,
            capacity: settings.capacity,
        };
        let metrics = Metrics::new().change_context(StartError::Setup("metrics"))?;
        let hangup = listen_for(SignalKind::hangup())?;
        let is_seed = settings.seeds.contains(&settings.peers.ip());
        let is_other = |seed: &&IpAddr| **seed != settings.peers.ip();
        let other_seeds = settings.seeds.iter().filter(is_other).count();
        let start = StartConditions {
            is_seed,
            is_first: settings.is_first_start,
            other_seeds,
            link_mbps: NonZeroU32::new(settings.capacity.link_mbps),
        };
        let listeners = Listeners::bind(&settings).await?;
        let seed = own.seed();
        let datagrams = Rc::new(listeners.datagrams);
        let socket = Rc::clone(&datagrams);
        let host = Host::new(settings, dialect, own, socket, log, metrics, seed);
        log_start(&host, incarnation);
        let peers = Peers::new(Rc::clone(&host), datagrams);
        let rng = Pcg64Mcg::seed_from_u64(seed.wrapping_add(1));
        let reader = Reader::new(rng, host.now_ms(), start);
        let source_reader = SourceReader::new(Rc::clone(&host), Rc::clone(&peers), source, reader);
        spawn_local(ingress::accept(Rc::clone(&host), listeners.callers));
        let platform = operator::listen(Rc::clone(&host), listeners.readiness, Audience::Platform);
        spawn_local(platform);
        if let Some(listener) = listeners.operator {
            spawn_local(operator::listen(Rc::clone(&host), listener, Audience::Operators));
        }
        match listeners.metrics {
            Some(Ok(listener)) => {
                spawn_local(operator::listen(Rc::clone(&host), listener, Audience::Operators));
            }
            Some(Err(report)) => {
                let problem = report.current_context().to_string();
                host.log.write(&LogEvent::NoMetrics { problem });
            }
            None => {}
        }
        spawn_local(clock::watch_for_suspension());
        spawn_local(Rc::clone(&peers).receive());
        spawn_local(Rc::clone(&peers).serve_fetches(listeners.fetches));
        if let Some(listener) = listeners.tunnels {
            spawn_local(tunnel::serve(Rc::clone(&host), listener));
        }
        spawn_local(Rc::clone(&peers).send_hello());
        spawn_local(source_reader.run());
        spawn_local(placement::run(Rc::clone(&host)));
        spawn_local(quota::run(Rc::clone(&host)));
        spawn_local(maintain(Rc::clone(&host), Rc::clone(&peers), reload, hangup));
        let flushing = Rc::clone(&host);
        spawn_local(async move { flushing.log.run().await });
        Ok(Gateway { host, peers })
    }

    /// The state that its parts share.
    pub fn host(&self) -> &Rc<Host> {
        &self.host
    }

    /// Stops gracefully.
    pub async fn stop(&self) {
        shutdown::stop(&self.host, &self.peers).await;
    }
}

fn log_start(host: &Host, incarnation: Incarnation) {
    let settings = host.settings.borrow();
    host.log.write(&LogEvent::Started {
        incarnation,
        version: env!("CARGO_PKG_VERSION"),
        callers: settings.callers.to_string(),
        seeds: settings.seeds.len(),
    });
    host.log.flush();
}

/// Runs periodic maintenance: settings, expired entries, unresponsive peers, idle connections.
async fn maintain<R: Reload>(host: Rc<Host>, peers: Rc<Peers>, mut reload: R, mut hangup: Signal) {
    let mut round: u32 = 0;
    // A first record, so that a suspension right after the start is detected.
    host.record_awake();
    peers.run_gossip(|gossip| gossip.expire(host.now_ms()));
    loop {
        let start_ms = host.now_ms();
        let is_requested = tokio::select! {
            signal = hangup.recv() => signal.is_some(),
            () = clock::sleep(MAINTENANCE_INTERVAL) => false,
        };
        let now_ms = host.now_ms();
        recover_from_suspension(&host, now_ms.since(start_ms));
        host.record_awake();
        round = round.wrapping_add(1);
        if is_requested || round.is_multiple_of(SETTINGS_CHECK_ROUNDS) {
            match reload.load_if_changed(is_requested) {
                Ok(Some(settings)) => host.reload(settings),
                Ok(None) => {}
                Err(problem) => {
                    host.log.write(&LogEvent::ReloadFailed { problem: &problem });
                }
            }
        }
        peers.run_gossip(|gossip| gossip.expire(now_ms));
        host.relays.borrow_mut().retain(|peer| host.members().contains(peer));
        placement::update_primary_cells(&host);
        placement::reschedule(&host);
        quarantine::run_maintenance(&host);
        backpressure::run_maintenance(&host);
        quota::run_maintenance(&host);
        host.prune_connections();
    }
}

/// If the process was suspended, requests from peers what this host missed.
fn recover_from_suspension(host: &Host, took_ms: Millis) {
    let late_ms = took_ms.since(Millis(MAINTENANCE_INTERVAL.as_millis() as u64));
    if late_ms > MAX_DELAY_MS {
        host.log.write(&LogEvent::Paused { for_ms: late_ms });
        quarantine::request_from_peers(host);
        backpressure::request_from_peers(host);
    }
}

struct Listeners {
    callers: TcpListener,
    readiness: TcpListener,
    operator: Option<TcpListener>,
    metrics: Option<Result<TcpListener, Report<StartError>>>,
    fetches: TcpListener,
    tunnels: Option<TcpListener>,
    datagrams: UdpSocket,
}

impl Listeners {
    async fn bind(settings: &Settings) -> Result<Listeners, Report<StartError>> {
        let datagrams = UdpSocket::bind(settings.peers).await;
        Ok(Listeners {
            callers: listen_buffering(settings.callers, Some(RECEIVE_BUFFER_BYTES))?,
            readiness: listen(settings.readiness)?,
            operator: settings.operator.map(listen).transpose()?,
            fetches: listen(settings.peers)?,
            tunnels: settings.tunnels.map(listen).transpose()?,
            datagrams: datagrams.change_context(StartError::Listen(settings.peers))?,
            // Last, as it is optional and must not take an address that another listener needs.
            metrics: settings.metrics.map(listen),
        })
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, Report<StartError>> {
    listen_buffering(address, None)
}

/// Listens for connections with a receive buffer of this size, or of the kernel's choice.
fn listen_buffering(
    address: SocketAddr,
    receive_buffer_bytes: Option<u32>,
) -> Result<TcpListener, Report<StartError>> {
    let bind = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        if let Some(bytes) = receive_buffer_bytes {
            // If it fails, the kernel only buffers more.
            let _ = socket.set_recv_buffer_size(bytes);
        }
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    bind().change_context(StartError::Listen(address))
}

fn epoch_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
