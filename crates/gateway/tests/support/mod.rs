//! Runs gateways in the test's process, with simulated upstreams, source and callers.
#![allow(clippy::unwrap_used, dead_code)]

pub mod bodies;
pub mod caller;
pub mod network;
pub mod source;
pub mod thread_time;
pub mod upstream;

use dispatch::quota::QuotaTolerance;
use dispatch::retry_budget::FleetRetryLimits;
use domain::{ByteCount, Connections, Millis, PerSecond, ServiceName, Share, Slots, Version};
use gateway::dialect::Dialect;
use gateway::event_log::EventLog;
use gateway::host::Host;
use gateway::run::{Gateway, Reload};
use gateway::settings::{FleetLimits, Settings};
use published::{
    CallerLimits, Capacity, Destination, Idempotency, Item, Route, Routing, RunStart,
    ServiceSettings, Upstream, UpstreamMode,
};
use source::{Published, StandInSource};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for anything that a test expects.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// All hosts use the same port for peers.
const PEER_PORT: u16 = 17_540;

pub fn service() -> ServiceName {
    "parts".parse().unwrap()
}

/// A routing whose requests under `/once/` run at most once; those under `/any/` are idempotent.
pub fn routing(version: u64) -> Routing {
    let route = |name: &str, idempotency| Route {
        name: name.to_owned(),
        host: "a.example".to_owned(),
        prefix: format!("/{name}/"),
        idempotency,
        objective_ms: Millis(400),
        timeout_ms: Millis(1_200),
        attempts: 2,
        priority: 0,
        is_public: false,
        split: vec![Destination { service: service(), weight: 1 }],
    };
    Routing {
        version: Version(version),
        limits: CallerLimits {
            head_bytes: ByteCount(4_096),
            body_bytes: ByteCount(100_000),
            head_timeout_ms: Millis(500),
            idle_timeout_ms: Millis(5_000),
        },
        routes: vec![route("any", Idempotency::Idempotent), route("once", Idempotency::AtMostOnce)],
        services: vec![ServiceSettings {
            name: service(),
            health_path: "/healthz".to_owned(),
            max_connections: Connections(100),
            cold_rate: None,
        }],
        organisations: None,
    }
}

pub fn upstream_item(id: &str, address: SocketAddr) -> Item {
    Item::Upstream(Arc::new(Upstream {
        id: id.parse().unwrap(),
        service: service(),
        address,
        availability_zone: "kariakoo".parse().unwrap(),
        slots: Slots(6),
        mode: UpstreamMode::Ready,
        warmup_left_ms: Millis::ZERO,
        run: RunStart::default(),
    }))
}

/// The entry of an upstream whose run started at `start_ms`.
pub fn run_item(id: &str, address: SocketAddr, start_ms: u64) -> Item {
    let Item::Upstream(upstream) = upstream_item(id, address) else { unreachable!() };
    let run = RunStart(Some(Millis(start_ms)));
    Item::Upstream(Arc::new(Upstream { run, ..(*upstream).clone() }))
}

pub struct NoReload;

impl Reload for NoReload {
    fn load_if_changed(&mut self, _: bool) -> Result<Option<Settings>, String> {
        Ok(None)
    }
}

pub fn settings(seeds: &[SocketAddr]) -> Settings {
    let (ip, low) = network::next_host();
    let at = |port| SocketAddr::new(ip.into(), port);
    Settings {
        host: format!("front-{low}").parse().unwrap(),
        availability_zone: "kariakoo".parse().unwrap(),
        callers: at(18_080),
        readiness: at(18_081),
        operator: Some(at(18_082)),
        metrics: None,
        peers: at(PEER_PORT),
        tunnels: Some(at(PEER_PORT + 1)),
        seeds: seeds.iter().map(SocketAddr::ip).collect(),
        is_first_start: false,
        capacity: Capacity::default(),
        memory_bytes: None,
        limits: FleetLimits {
            retries: FleetRetryLimits {
                ratio: Share(0.2),
                slack: 400.0,
                window_ms: Millis(10_000),
            },
            quotas: QuotaTolerance { over: Share(0.25), slack: 20.0, window_ms: Millis(5_000) },
            probes: PerSecond(10_000.0),
            stop_ms: Millis(6_000),
        },
    }
}

pub async fn start(settings: Settings, published: &Published) -> Gateway {
    let log = EventLog::new(settings.host.clone(), None);
    start_with_log(settings, published, log).await
}

pub async fn start_with_log(settings: Settings, published: &Published, log: EventLog) -> Gateway {
    let source = StandInSource::new(published);
    let gateway =
        Gateway::start(settings, Dialect::default(), source, NoReload, log).await.unwrap();
    save_up_retries(gateway.host());
    gateway
}

/// Requests of the last window, as of a host that has served for a while.
const RECENT_REQUESTS: usize = 4_000;

/// A host that has just started has no retries.
fn save_up_retries(host: &Host) {
    let now_ms = host.now_ms();
    for _ in 0..RECENT_REQUESTS {
        host.retry_budget().record_request(now_ms, &service());
    }
}

/// Starts a gateway, and waits until it knows its routing.
pub async fn ready(upstreams: &[&upstream::StandInUpstream]) -> (Gateway, Published) {
    let published = published(upstreams);
    let gateway = start(settings(&[]), &published).await;
    wait_until("it is ready", || gateway.host().is_ready()).await;
    (gateway, published)
}

pub fn caller_address(gateway: &Gateway) -> SocketAddr {
    gateway.host().settings.borrow().callers
}

/// Whether a host knows this number of hosts, including itself.
pub fn knows(gateway: &Gateway, hosts: usize) -> bool {
    gateway.host().members().all().len() == hosts
}

/// Starts hosts that join through the first, and waits until all know each other.
pub async fn fleet(size: usize, published: &Published) -> Vec<Gateway> {
    let mut first = settings(&[]);
    let seed = first.peers;
    first.seeds = vec![seed.ip()];
    let mut hosts = vec![start(first, published).await];
    for _ in 1..size {
        hosts.push(start(settings(&[seed]), published).await);
    }
    wait_until("all know each other", || hosts.iter().all(|host| knows(host, size))).await;
    hosts
}

/// A source that publishes a routing and these upstreams.
pub fn published(upstreams: &[&upstream::StandInUpstream]) -> Published {
    let published = Published::default();
    published.write_routing(routing(1));
    for upstream in upstreams {
        published.write("servers", upstream_item(upstream.id(), upstream.address()));
    }
    published
}

/// Waits until a condition holds; fails the test after [`WAIT_TIMEOUT`].
pub async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let waiting = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    assert!(
        tokio::time::timeout(WAIT_TIMEOUT, waiting).await.is_ok(),
        "timed out waiting until {what}"
    );
}

/// Prints the logs of hosts if the test fails while it exists.
pub struct LogsOnFailure(Vec<Rc<gateway::host::Host>>);

impl LogsOnFailure {
    pub fn of<'g>(gateways: impl IntoIterator<Item = &'g Gateway>) -> LogsOnFailure {
        LogsOnFailure(gateways.into_iter().map(|gateway| Rc::clone(gateway.host())).collect())
    }
}

impl Drop for LogsOnFailure {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.0.iter().for_each(|host| println!("{}", host.log.take_buffered()));
        }
    }
}

/// Runs a test on one thread, as the process does.
pub fn on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}
