//! What the parts of the process share.
//!
//! One thread runs everything, so cells take the place of locks. No borrow is held across
//! an await.

mod answers;
mod rates;

use crate::dialect::Dialect;
use crate::event_log::{EventLog, LogEvent};
use crate::metrics::Metrics;
use crate::placement::PlacementState;
use crate::pool::{Pool, PoolLimit};
use crate::settings::Settings;
use crate::unread_headers::UnreadHeaderLog;
use clock::Clock;
use dispatch::budget::{LOCAL_ZONE_PROBE_SHARE, ProbeBudget, RetryBudget, SCHEDULER_PROBE_SHARE};
use dispatch::quarantine::Quarantine;
use dispatch::{
    FleetSize, LocalRateLimiter, MAX_IDLE_CONNECTIONS, SplitTable, UpstreamSet,
    idle_connections_per_host,
};
use domain::{Millis, PerSecond, ServiceName, UpstreamId};
use published::{Gossip, Member, Members, PublishedState, RouteTable, StateChange};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, Ref, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};

/// Pause after a connection could not be accepted: out of descriptors, some close meanwhile.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Changes of one message or reading that are logged one by one. A first picture of a thousand
/// upstreams took a host of a tenth of a core 30 ms to log.
const MOST_BELIEFS_TOLD: usize = 32;

/// The entry host.
#[derive(Debug)]
pub struct Host {
    /// Marks on requests and answers.
    pub dialect: Dialect,
    /// The process's clock.
    pub clock: Clock,
    /// Settings in force.
    pub settings: RefCell<Settings>,
    /// What is believed to be published, and of the fleet.
    pub gossip: RefCell<Gossip>,
    /// The routing in force, prepared.
    pub table: RefCell<Option<Rc<RouteTable>>>,
    /// What is known of upstreams.
    pub upstreams: RefCell<UpstreamSet>,
    /// Repeats that this host may spend.
    pub retry_budget: RefCell<RetryBudget>,
    /// Health checks that this host may spend on its own requests.
    pub probe_budget: RefCell<ProbeBudget>,
    /// Those that it may spend besides on upstreams of its availability zone.
    pub zone_probe_budget: RefCell<ProbeBudget>,
    /// What this host may send by itself to upstreams that take a rate from the whole fleet.
    pub rate_limiter: RefCell<LocalRateLimiter>,
    /// Its part in scheduling.
    pub placement: PlacementState,
    /// Where split routes stand.
    pub split_table: RefCell<SplitTable>,
    /// Idle connections to upstreams.
    pub pool: RefCell<Pool>,
    /// Requests that crash upstreams.
    pub quarantine: RefCell<Quarantine>,
    /// How often peers were asked after the start what is held against requests.
    pub quarantine_requests_sent: Cell<u32>,
    /// How often peers were asked after the start what upstreams said of the load that they bear.
    pub backpressure_requests_sent: Cell<u32>,
    /// Whether peers are to be told of that in a moment.
    pub is_backpressure_broadcast_due: Cell<bool>,
    /// Woken when something else is held against a request, or a trial ended.
    pub quarantine_changed: Notify,
    /// What upstreams say that nothing reads.
    pub unread_headers: RefCell<UnreadHeaderLog>,
    /// Marks that are read, with values that make no sense.
    pub malformed_headers: RefCell<UnreadHeaderLog>,
    /// Randomness.
    pub rng: RefCell<Pcg64Mcg>,
    /// Structured logs.
    pub log: EventLog,
    /// Counts.
    pub metrics: Metrics,
    /// Woken when the picture changed or was confirmed.
    pub state_updated: Notify,
    /// Callers wait for the first routing, or did.
    pub is_routing_awaited: Cell<bool>,
    /// Requests without a final answer.
    pub open_requests: Cell<usize>,
    /// Callers' connections that are open.
    pub open_caller_connections: Cell<usize>,
    /// Large answers that are being given to peers.
    pub large_replies_in_progress: Cell<usize>,
    /// Calls to the source so far.
    pub source_calls: Cell<u64>,
    /// Turns true when the process is to stop.
    pub stopping: watch::Sender<bool>,
    /// Turns true when callers' connections are to be closed as soon as they are idle.
    pub closing_idle: watch::Sender<bool>,
}

impl Host {
    /// A host that knows its settings only.
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
            retry_budget: RefCell::new(RetryBudget::new(settings.limits.retries, now_ms)),
            probe_budget: RefCell::new(ProbeBudget::new(own_asks(&settings))),
            zone_probe_budget: RefCell::new(ProbeBudget::new(neighbours_asks(&settings))),
            rate_limiter: RefCell::new(LocalRateLimiter::new(settings.host.clone())),
            placement: PlacementState::new(
                socket,
                settings.host.clone(),
                ProbeBudget::new(schedulers_asks(&settings)),
                seed,
            ),
            split_table: RefCell::default(),
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
            stopping: watch::Sender::new(false),
            closing_idle: watch::Sender::new(false),
            settings: RefCell::new(settings),
        })
    }

    /// The time.
    pub fn now_ms(&self) -> Millis {
        self.clock.now()
    }

    /// What is believed to be published.
    pub fn published_state(&self) -> Ref<'_, PublishedState> {
        Ref::map(self.gossip.borrow(), Gossip::published_state)
    }

    /// Hosts heard of.
    pub fn members(&self) -> Ref<'_, Members> {
        Ref::map(self.gossip.borrow(), Gossip::members)
    }

    /// Age of the picture.
    pub fn state_age_ms(&self) -> Option<Millis> {
        self.published_state().age_ms(self.now_ms())
    }

    /// Whether the process is to stop.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Whether callers may be sent here: the picture was read, and the process goes on.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.table.borrow().is_some()
    }

    /// Whether only some upstreams are known: requests are served, but nothing is scheduled.
    pub fn is_partial(&self) -> bool {
        self.published_state().is_partial()
    }

    /// Hosts that share the fleet's budgets.
    pub fn host_count(&self) -> u32 {
        self.members().count()
    }

    /// Hosts that share health checks.
    pub fn fleet_size(&self) -> FleetSize {
        let members = self.members();
        FleetSize { hosts: members.count(), hosts_in_zone: members.count_in_zone() }
    }

    /// Puts a changed picture to use, and tells operators.
    pub fn apply_state_changes(&self, beliefs: &[StateChange], from: &str) {
        for belief in beliefs.iter().take(MOST_BELIEFS_TOLD) {
            self.log.write(&LogEvent::Belief { belief, from });
            if let StateChange::ZoneEvacuated { zone, .. } = belief {
                let upstreams = self.published_state().upstreams_in(zone);
                self.log.write(&LogEvent::EvacuatedZone { zone, upstreams });
            }
        }
        if let Some(rest) = beliefs.get(MOST_BELIEFS_TOLD..).filter(|rest| !rest.is_empty()) {
            let count_of =
                |is_it: fn(&StateChange) -> bool| rest.iter().filter(|b| is_it(b)).count();
            self.log.write(&LogEvent::MoreBeliefs {
                count: rest.len(),
                joined: count_of(|belief| matches!(belief, StateChange::UpstreamJoined { .. })),
                gone: count_of(|belief| matches!(belief, StateChange::UpstreamGone { .. })),
                from,
            });
        }
        if !beliefs.is_empty() {
            self.adopt();
        }
        self.state_updated.notify_waiters();
    }

    /// Takes another settings file into force; addresses stay those of the start.
    pub fn reload(&self, settings: Settings) {
        let mut held = self.settings.borrow_mut();
        let is_changed = *held != settings;
        self.retry_budget.borrow_mut().set_allowed(settings.limits.retries);
        self.probe_budget.borrow_mut().set_allowed(own_asks(&settings));
        self.zone_probe_budget.borrow_mut().set_allowed(neighbours_asks(&settings));
        self.placement.probe_budget.borrow_mut().set_allowed(schedulers_asks(&settings));
        held.limits = settings.limits;
        held.seeds = settings.seeds;
        drop(held);
        self.log.write(&LogEvent::Reloaded { changed: is_changed });
    }

    /// The process is awake: budgets save nothing up for the time in which it wasn't.
    pub fn record_awake(&self) {
        let now_ms = self.now_ms();
        for asks in [&self.probe_budget, &self.zone_probe_budget, &self.placement.probe_budget] {
            asks.borrow_mut().record_awake(now_ms);
        }
    }

    /// Closes idle connections that are of no use any more.
    pub fn prune_connections(&self) {
        let picture = self.published_state();
        let table = self.table.borrow();
        let hosts = self.host_count();
        let most = |service: &ServiceName| {
            let settings = table.as_ref().and_then(|table| table.service(service));
            settings.map_or(MAX_IDLE_CONNECTIONS, |settings| {
                idle_connections_per_host(settings.max_connections, hosts)
            })
        };
        self.pool.borrow_mut().prune(|id| {
            let upstream = &picture.upstream(id)?.value;
            Some(PoolLimit { run: upstream.run, max_idle: most(&upstream.service) })
        });
    }

    fn adopt(&self) {
        let picture = self.published_state();
        let now_ms = self.now_ms();
        let evacuations = picture.evacuations();
        self.upstreams.borrow_mut().sync(now_ms, picture.upstreams(), evacuations);
        let is_known = |id: &UpstreamId| picture.upstream(id).is_some();
        self.prune_connections();
        self.probe_budget.borrow_mut().retain(is_known);
        self.zone_probe_budget.borrow_mut().retain(is_known);
        self.placement.probe_budget.borrow_mut().retain(is_known);
        self.rate_limiter.borrow_mut().retain(now_ms, is_known);
        self.unread_headers.borrow_mut().retain(is_known);
        self.malformed_headers.borrow_mut().retain(is_known);
        let Some(entry) = picture.routing() else { return };
        self.upstreams.borrow_mut().set_cold_rates(entry.value.services.iter());
        let mut table = self.table.borrow_mut();
        let held = table.as_ref().map(|table| table.routing().version);
        if held == Some(entry.value.version) {
            return;
        }
        if held.is_none() {
            self.log.write(&LogEvent::Ready { is_ready: true, reason: "routing is known" });
        }
        *table = Some(Rc::new(RouteTable::new(std::sync::Arc::clone(&entry.value))));
        let names = |name: &str| entry.value.routes.iter().any(|route| route.name == name);
        self.split_table.borrow_mut().retain(names);
    }
}

/// Health checks for requests that nobody schedules.
fn own_asks(settings: &Settings) -> PerSecond {
    PerSecond(settings.limits.probes.0 * (1.0 - SCHEDULER_PROBE_SHARE - LOCAL_ZONE_PROBE_SHARE))
}

/// Health checks for requests that go to an idle upstream of the own availability zone.
fn neighbours_asks(settings: &Settings) -> PerSecond {
    PerSecond(settings.limits.probes.0 * LOCAL_ZONE_PROBE_SHARE)
}

/// Health checks for requests that this host schedules.
fn schedulers_asks(settings: &Settings) -> PerSecond {
    PerSecond(settings.limits.probes.0 * SCHEDULER_PROBE_SHARE)
}

/// A span of the clock type as the runtime's.
pub fn to_duration(span_ms: Millis) -> Duration {
    Duration::from_millis(span_ms.0)
}
