//! The state that all parts of the process share.
//!
//! One thread runs everything, so cells replace locks. No borrow is held across an await.

mod allowances;
mod rate_limits;
mod response_logging;

use crate::connection::Path;
use crate::dialect::Dialect;
use crate::event_log::{EventLog, LogEvent};
use crate::links;
use crate::long_routes::LongRoutes;
use crate::memory::HostMemory;
use crate::metrics::Metrics;
use crate::placement::PlacementState;
use crate::pool::{Pool, PoolLimit};
use crate::quota::QuotaState;
use crate::settings::Settings;
use crate::shutdown::Shutdown;
use crate::ticket_counter::TicketCounter;
use crate::unread_headers::UnreadHeaderLog;
use allowances::{local_zone_probes, scheduler_probes, unscheduled_probes};
use clock::Clock;
use dispatch::probe_budget::ProbeBudget;
use dispatch::quarantine::Quarantine;
use dispatch::rejections::Rejections;
use dispatch::relays::RelayDirectory;
use dispatch::retry_budget::RetryBudget;
use dispatch::{
    LinkMonitor, LocalRateLimiter, MAX_IDLE_CONNECTIONS, RouteKey, SplitTable, UpstreamSet,
    idle_connections_per_host,
};
use domain::{FastSet, Millis, ServiceName, UpstreamId};
use published::{Gossip, Member, Members, PublishedState, RouteTable, StateChange};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, Ref, RefCell};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

/// Pause after a failed accept: the process may be out of descriptors until some are closed.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Most changes of one message or read that are logged one by one: logging a first snapshot of
/// a thousand upstreams would block a small host.
const MAX_LOGGED_CHANGES: usize = 32;

/// The state of this host.
#[derive(Debug)]
pub struct Host {
    /// Headers of requests and responses that have a meaning for the load balancer.
    pub dialect: Dialect,
    /// The process's clock.
    pub clock: Clock,
    /// Settings in force.
    pub settings: RefCell<Settings>,
    /// The published state and the members of the fleet, as this host knows them.
    pub gossip: RefCell<Gossip>,
    /// The routing in force, prepared for lookups; none until it is known.
    pub table: RefCell<Option<Rc<RouteTable>>>,
    /// The state of all upstreams.
    pub upstreams: RefCell<UpstreamSet>,
    /// Limits the retries that this host sends.
    retry_budget: RefCell<RetryBudget>,
    started_ms: Millis,
    /// What upstreams rejected lately, which decides when callers may retry.
    pub rejections: RefCell<Rejections>,
    /// Limits the probes for requests that no scheduler places.
    pub probe_budget: RefCell<ProbeBudget>,
    /// Limits the probes for requests that go to an idle upstream in the local availability zone.
    pub zone_probe_budget: RefCell<ProbeBudget>,
    /// Limits what this host sends without a scheduler to upstreams that state a rate limit.
    pub rate_limiter: RefCell<LocalRateLimiter>,
    /// This host's part in scheduling requests.
    pub placement: PlacementState,
    /// The quotas that this host owns, and what it knows of those of others.
    pub quotas: QuotaState,
    /// The state of routes that split their requests between services.
    pub split_table: RefCell<SplitTable>,
    /// The memory that is held for callers and upstreams.
    pub memory: Rc<HostMemory>,
    /// Routes whose last response was long.
    pub long_routes: RefCell<LongRoutes>,
    /// What this host's own links to upstreams tell.
    pub links: RefCell<LinkMonitor>,
    /// What it knows of its peers as relays.
    pub relays: RefCell<RelayDirectory>,
    /// Whether upstreams are being probed as none responded.
    pub is_checking_links: Cell<bool>,
    /// Notified when the links to a service went down or work again.
    pub links_changed: Notify,
    /// Whether upstreams that only peers reach are probed now and then.
    pub is_rechecking_links: Cell<bool>,
    /// Number of tunnels that it serves to peers.
    pub open_tunnels: Cell<usize>,
    /// Numbers of the tunnels that it requests.
    pub tunnel_ids: TicketCounter,
    /// Idle connections to upstreams.
    pub pool: RefCell<Pool>,
    /// Requests that crash upstreams.
    pub quarantine: RefCell<Quarantine>,
    /// How often this host requested the quarantine from peers after its start.
    pub quarantine_requests_sent: Cell<u32>,
    /// How often this host requested upstreams' backpressure from peers after its start.
    pub backpressure_requests_sent: Cell<u32>,
    /// Whether a broadcast of upstreams' backpressure is scheduled.
    pub is_backpressure_broadcast_due: Cell<bool>,
    /// Notified when the quarantine changed, or the trial of a quarantined request ended.
    pub quarantine_changed: Notify,
    /// Headers of responses that nothing reads.
    pub unread_headers: RefCell<UnreadHeaderLog>,
    /// Headers that are read, with malformed values.
    pub malformed_headers: RefCell<UnreadHeaderLog>,
    /// Random numbers.
    pub rng: RefCell<Pcg64Mcg>,
    /// Structured logs.
    pub log: EventLog,
    /// Metrics.
    pub metrics: Metrics,
    /// Notified when the published state changed or was confirmed, and when a caller begins to wait
    /// for the first routing.
    pub state_updated: Notify,
    /// Whether callers wait for the first routing, or did.
    pub is_routing_awaited: Cell<bool>,
    /// Number of requests without a final response.
    pub open_requests: Cell<usize>,
    /// Number of open connections of callers.
    pub open_caller_connections: Cell<usize>,
    /// Number of large replies that are being sent to peers.
    pub large_replies_in_progress: Cell<usize>,
    /// Number of calls to the source so far.
    pub source_calls: Cell<u64>,
    /// How far the stop of the process is.
    pub shutdown: Shutdown,
}

impl Host {
    /// A host that knows only its settings.
    pub fn new(
        settings: Settings,
        dialect: Dialect,
        own: Member,
        socket: Rc<UdpSocket>,
        log: EventLog,
        metrics: Metrics,
        seed: u64,
    ) -> Rc<Host> {
        let clock = Clock::start();
        let now_ms = clock.now();
        Rc::new(Host {
            dialect,
            clock,
            gossip: RefCell::new(Gossip::new(own, Pcg64Mcg::seed_from_u64(seed.wrapping_add(2)))),
            table: RefCell::new(None),
            upstreams: RefCell::new(UpstreamSet::new(
                settings.host.clone(),
                settings.availability_zone.clone(),
            )),
            started_ms: now_ms,
            retry_budget: RefCell::new(RetryBudget::new(settings.limits.retries, now_ms, seed)),
            rejections: RefCell::default(),
            probe_budget: RefCell::new(ProbeBudget::new(unscheduled_probes(&settings))),
            zone_probe_budget: RefCell::new(ProbeBudget::new(local_zone_probes(&settings))),
            rate_limiter: RefCell::new(LocalRateLimiter::new(settings.host.clone())),
            placement: PlacementState::new(
                socket,
                settings.host.clone(),
                ProbeBudget::new(scheduler_probes(&settings)),
                seed,
            ),
            quotas: QuotaState::new(settings.host.clone(), seed),
            split_table: RefCell::default(),
            memory: HostMemory::new(settings.memory_bytes),
            long_routes: RefCell::default(),
            links: RefCell::default(),
            relays: RefCell::default(),
            is_checking_links: Cell::new(false),
            links_changed: Notify::new(),
            is_rechecking_links: Cell::new(false),
            open_tunnels: Cell::new(0),
            tunnel_ids: TicketCounter::new(seed),
            pool: RefCell::default(),
            quarantine: RefCell::default(),
            quarantine_requests_sent: Cell::new(0),
            backpressure_requests_sent: Cell::new(0),
            is_backpressure_broadcast_due: Cell::new(false),
            quarantine_changed: Notify::new(),
            unread_headers: RefCell::default(),
            malformed_headers: RefCell::default(),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            log,
            metrics,
            state_updated: Notify::new(),
            is_routing_awaited: Cell::new(false),
            open_requests: Cell::new(0),
            open_caller_connections: Cell::new(0),
            large_replies_in_progress: Cell::new(0),
            source_calls: Cell::new(0),
            shutdown: Shutdown::default(),
            settings: RefCell::new(settings),
        })
    }

    /// The current time.
    pub fn now_ms(&self) -> Millis {
        self.clock.now()
    }

    /// The published state, as this host knows it.
    pub fn published_state(&self) -> Ref<'_, PublishedState> {
        Ref::map(self.gossip.borrow(), Gossip::published_state)
    }

    /// The hosts that this one knows.
    pub fn members(&self) -> Ref<'_, Members> {
        Ref::map(self.gossip.borrow(), Gossip::members)
    }

    /// Age of the published state, as this host knows it.
    pub fn state_age_ms(&self) -> Option<Millis> {
        self.published_state().age_ms(self.now_ms())
    }

    /// This host's address towards upstreams and peers.
    pub fn own_ip(&self) -> IpAddr {
        self.settings.borrow().peers.ip()
    }

    /// Whether the process is to stop.
    pub fn is_stopping(&self) -> bool {
        self.shutdown.has_begun()
    }

    /// Whether this host can serve callers: the routing is known, and the process is not stopping.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.table.borrow().is_some()
    }

    /// Whether only some upstreams are known: this host serves requests, but schedules none.
    pub fn is_partial(&self) -> bool {
        self.published_state().is_partial()
    }

    /// Number of hosts, as far as this one knows them.
    pub fn host_count(&self) -> u32 {
        self.members().count()
    }

    /// Logs changes of the published state, applies it, and notifies those that wait for it.
    pub fn apply_state_changes(&self, changes: &[StateChange], from: &str) {
        for change in changes.iter().take(MAX_LOGGED_CHANGES) {
            self.log.write(&LogEvent::Belief { change, from });
            if let StateChange::ZoneEvacuated { zone, .. } = change {
                let upstreams = self.published_state().upstreams_in(zone);
                self.log.write(&LogEvent::EvacuatedZone { zone, upstreams });
            }
        }
        if let Some(rest) = changes.get(MAX_LOGGED_CHANGES..).filter(|rest| !rest.is_empty()) {
            let count_of = |matches: fn(&StateChange) -> bool| {
                rest.iter().filter(|change| matches(change)).count()
            };
            self.log.write(&LogEvent::MoreBeliefs {
                count: rest.len(),
                joined: count_of(|change| matches!(change, StateChange::UpstreamJoined { .. })),
                gone: count_of(|change| matches!(change, StateChange::UpstreamGone { .. })),
                from,
            });
        }
        if !changes.is_empty() {
            self.apply_published_state();
        }
        self.state_updated.notify_waiters();
    }

    /// Applies reloaded settings: limits and seeds. The rest stays as at the start.
    pub fn reload(&self, settings: Settings) {
        let mut current = self.settings.borrow_mut();
        let is_changed = *current != settings;
        self.set_allowances(&settings);
        current.limits = settings.limits;
        current.seeds = settings.seeds;
        drop(current);
        self.log.write(&LogEvent::Reloaded { changed: is_changed });
    }

    /// Closes idle connections that expired, whose upstream is gone or restarted, or that exceed
    /// this host's limit.
    pub fn prune_connections(&self) {
        let state = self.published_state();
        let table = self.table.borrow();
        let hosts = self.fleet_size().hosts;
        let max_idle = |service: &ServiceName| {
            let settings = table.as_ref().and_then(|table| table.service(service));
            settings.map_or(MAX_IDLE_CONNECTIONS, |settings| {
                idle_connections_per_host(settings.max_connections, hosts)
            })
        };
        let is_wanted = |id: &UpstreamId, path: &Path| {
            let upstream = state.upstream(id);
            upstream.is_some_and(|entry| links::is_wanted(self, &entry.value, path))
        };
        let limit_of = |id: &UpstreamId| {
            let upstream = &state.upstream(id)?.value;
            Some(PoolLimit { run: upstream.run, max_idle: max_idle(&upstream.service) })
        };
        self.pool.borrow_mut().prune(limit_of, is_wanted);
    }

    fn apply_published_state(&self) {
        let state = self.published_state();
        let now_ms = self.now_ms();
        let evacuations = state.evacuations();
        self.upstreams.borrow_mut().sync(now_ms, state.upstreams(), evacuations);
        let is_known = |id: &UpstreamId| state.upstream(id).is_some();
        self.prune_connections();
        self.probe_budget.borrow_mut().retain(is_known);
        self.zone_probe_budget.borrow_mut().retain(is_known);
        self.placement.probe_budget.borrow_mut().retain(is_known);
        self.rate_limiter.borrow_mut().retain(now_ms, is_known);
        self.links.borrow_mut().retain(is_known);
        self.unread_headers.borrow_mut().retain(is_known);
        self.malformed_headers.borrow_mut().retain(is_known);
        let Some(entry) = state.routing() else { return };
        self.upstreams.borrow_mut().set_cold_rates(entry.value.services.iter());
        let mut table = self.table.borrow_mut();
        let current = table.as_ref().map(|table| table.routing().version);
        if current == Some(entry.value.version) {
            return;
        }
        if current.is_none() {
            self.log.write(&LogEvent::Ready { is_ready: true, reason: "routing is known" });
        }
        *table = Some(Rc::new(RouteTable::new(std::sync::Arc::clone(&entry.value))));
        let has_route = |name: &str| entry.value.routes.iter().any(|route| route.name == name);
        self.split_table.borrow_mut().retain(has_route);
        let routes: FastSet<RouteKey> =
            entry.value.routes.iter().map(|route| RouteKey::of(&route.name)).collect();
        self.long_routes.borrow_mut().retain(|route| routes.contains(&route));
        self.upstreams
            .borrow_mut()
            .retain_routes(|route| route == RouteKey::ONLY || routes.contains(&route));
    }
}

/// Converts to the standard library's type.
pub fn to_duration(span_ms: Millis) -> Duration {
    Duration::from_millis(span_ms.0)
}
