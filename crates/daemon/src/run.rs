//! The process from start to stop.

use crate::attempts::{self, AttemptSender};
use crate::connections::Connections;
use crate::driver::{Driver, Parts};
use crate::error::{Role, StartError};
use crate::metrics::Metrics;
use crate::peers::{self, PeerLinks};
use crate::platform::Platform;
use crate::probes::Prober;
use crate::settings::Settings;
use crate::{calls, listen, operator};
use clock::Clock;
use decision_core::{EntryHost, Event, FIRST_RUN};
use domain::Incarnation;
use error_stack::{Report, ResultExt};
use listener::Listener;
use salvo::Server;
use salvo::conn::tcp::TcpAcceptor;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The process's listeners.
#[derive(Debug)]
struct Listeners {
    caller: TcpListener,
    peer: TcpListener,
    operator: TcpListener,
}

/// Runs an entry host until it is stopped and has ended its work.
///
/// # Errors
///
/// If it can't start.
pub async fn run(settings: Settings) -> Result<(), Report<StartError>> {
    let signals = (stop_signal(SignalKind::terminate())?, stop_signal(SignalKind::interrupt())?);
    let listeners = Listeners {
        caller: listen::bind(Role::Caller, settings.caller_address)?,
        peer: listen::bind(Role::Peer, settings.peer_address)?,
        operator: listen::bind(Role::Operator, settings.operator_address)?,
    };
    let driver = driver(&settings)?;
    tokio::spawn(clock::watch_for_suspension());
    tokio::spawn(Arc::clone(&driver).tick());
    tokio::spawn(watch_signals(Arc::clone(&driver), signals));
    tokio::spawn(watch_hangups(stop_signal(SignalKind::hangup())?));
    driver.apply(Event::Tick);
    serve(listeners, driver).await
}

fn stop_signal(kind: SignalKind) -> Result<Signal, Report<StartError>> {
    signal(kind).change_context(StartError::Machine { what: "a signal handler" })
}

fn driver(settings: &Settings) -> Result<Arc<Driver>, Report<StartError>> {
    let clock = Clock::start();
    let incarnation = incarnation(settings);
    let metrics = Arc::new(Metrics::new()?);
    let client = attempts::plain_client()?;
    let (host, zone) = (&settings.host, &settings.availability_zone);
    let parts = Parts {
        sender: AttemptSender::new(client.clone(), clock, host, zone),
        peers: PeerLinks::new(host.clone(), incarnation, Arc::clone(&metrics)),
        platform: Platform::new(
            attempts::plain_client()?,
            settings.config_service,
            settings.host_list,
            host,
            settings.site.clone(),
        ),
        prober: Prober::new(client, clock),
        metrics,
    };
    let seed = seed(settings, incarnation);
    let core = EntryHost::new(settings.core_settings(incarnation), seed, clock.now())
        .with_start_limits(settings.start_limits.clone());
    Ok(Driver::new(core, clock, parts))
}

/// Greater after each start, as long as the machine's date does not go back.
fn incarnation(settings: &Settings) -> Incarnation {
    if settings.first_run {
        return FIRST_RUN;
    }
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}

fn seed(settings: &Settings, incarnation: Incarnation) -> u64 {
    let mut hasher = DefaultHasher::new();
    settings.host.hash(&mut hasher);
    incarnation.hash(&mut hasher);
    hasher.finish()
}

/// The first signal asks the core to stop; a further one changes nothing.
async fn watch_signals(driver: Arc<Driver>, (mut terminate, mut interrupt): (Signal, Signal)) {
    let mut is_stopping = false;
    loop {
        let received = tokio::select! {
            received = terminate.recv() => received,
            received = interrupt.recv() => received,
        };
        match received {
            None => return,
            Some(()) if is_stopping => log::info!("calls: already stopping"),
            Some(()) => {
                log::info!("calls: stopping");
                is_stopping = true;
                driver.apply(Event::StopRequested);
            }
        }
    }
}

/// Without a handler a hangup would end the process; its settings hold until it ends.
async fn watch_hangups(mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        log::info!("settings: a hangup changes nothing, restart the host to change them");
    }
}

async fn serve(listeners: Listeners, driver: Arc<Driver>) -> Result<(), Report<StartError>> {
    let machine = StartError::Machine { what: "a listener" };
    let connections = Connections::default();
    let callers = Listener::new(listeners.caller);
    let (listener, closing) = callers.change_context_lazy(|| machine.clone())?;
    let caller = calls::server(listener, connections.clone());
    let caller_handle = caller.handle();
    let operator = Server::new(acceptor(listeners.operator)?);
    let operator_handle = operator.handle();
    let peer = listeners.peer.into_std().change_context_lazy(|| machine.clone())?;
    let peer_handle = peers::serve(peer, Arc::clone(&driver))?;

    let mut exit = driver.exit();
    let operator_router = operator::router(Arc::clone(&driver));
    let operator_done = tokio::spawn(operator.try_serve(operator_router));
    let caller_router = calls::router(Arc::clone(&driver), connections.clone());
    let mut caller_done = tokio::spawn(caller.try_serve(caller_router));

    // The sender lives as long as the driver.
    let _ = exit.wait_for(|is_over| *is_over).await;
    log::info!("calls: closing the callers' listener");
    closing.close().await;
    connections.wait_for_first_bytes().await;
    caller_handle.stop_graceful(None);
    connections.close_silent();
    tokio::select! {
        _ = &mut caller_done => {}
        () = driver.quiet() => {
            // Only connections without a request are left.
            caller_handle.stop_forceful();
            let _ = caller_done.await;
        }
    }
    let _ = peer_handle.stop();
    operator_handle.stop_graceful(OPERATOR_STOP);
    let _ = operator_done.await;
    log::info!("calls: stopped");
    Ok(())
}

/// Time that operators' requests get to end.
const OPERATOR_STOP: std::time::Duration = std::time::Duration::from_secs(1);

fn acceptor(listener: TcpListener) -> Result<TcpAcceptor, Report<StartError>> {
    TcpAcceptor::try_from(listener).change_context(StartError::Machine { what: "a listener" })
}
