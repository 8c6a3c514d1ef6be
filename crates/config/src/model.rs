//! The configuration of a site, as merged from base and overlay.
//!
//! Services and upstreams are maps keyed by id, so that an overlay can change single fields
//! of one upstream. Every field that has a sensible default is optional.

use domain::{
    ByteCount, Connections, Millis, PerSecond, ServiceName, Share, Slots, UpstreamId, ZoneName,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The configuration in force at one site.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteConfig {
    /// Availability zones of the site.
    pub availability_zones: Vec<ZoneName>,
    /// How an upstream is chosen for a request.
    #[serde(default)]
    pub policy: Policy,
    /// Limits of each host.
    #[serde(default)]
    pub limits: HostLimits,
    /// Budget for probes and control traffic.
    #[serde(default)]
    pub measurement: MeasurementBudget,
    /// Retry limits.
    #[serde(default)]
    pub retry: RetrySettings,
    /// Limits of hedged requests.
    #[serde(default)]
    pub hedge: HedgeSettings,
    /// Fair sharing between callers.
    #[serde(default)]
    pub callers: CallerLimits,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
}

/// Load-balancing policy: how an upstream is chosen for a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// A random upstream.
    Random,
    /// Each upstream in turn.
    RoundRobin,
    /// The upstream with the fewest requests in flight from this host.
    LeastInFlight,
    /// Of two random upstreams, the one with fewer requests in flight from this host.
    TwoChoices,
    /// The best upstream by reported load, service time and errors.
    #[default]
    LoadAware,
    /// An upstream of which this host leases a slot. One host per service grants the leases,
    /// within the control traffic budget.
    SlotLease,
}

/// Limits of each host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostLimits {
    /// Largest request body that is accepted.
    pub max_body_bytes: ByteCount,
    /// Largest response that is buffered whole before it is forwarded, so that a retry stays
    /// possible until then.
    pub held_answer_bytes: ByteCount,
    /// Requests in progress at one host.
    pub max_calls: u32,
    /// Longest chain of calls between services that leads to a request.
    pub max_depth: u32,
}

impl Default for HostLimits {
    fn default() -> HostLimits {
        HostLimits {
            max_body_bytes: ByteCount(1 << 20),
            held_answer_bytes: ByteCount(64 << 10),
            max_calls: 4096,
            max_depth: 8,
        }
    }
}

/// Budget for probes and control traffic.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MeasurementBudget {
    /// Probes per second of all services, from all hosts together.
    pub probes_per_second: PerSecond,
    /// Control traffic of one host, in bytes per second.
    pub control_bytes_per_second: ByteCount,
    /// An upstream is probed when nothing was received from it for this long.
    pub probe_after_silence_ms: Millis,
}

impl Default for MeasurementBudget {
    fn default() -> MeasurementBudget {
        MeasurementBudget {
            probes_per_second: PerSecond(5.0),
            control_bytes_per_second: ByteCount(5000),
            probe_after_silence_ms: Millis(2000),
        }
    }
}

/// Limits of retries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetrySettings {
    /// Attempts per request, the first included.
    pub max_attempts: u32,
    /// Retries as a share of first attempts.
    pub budget_share: Share,
}

impl Default for RetrySettings {
    fn default() -> RetrySettings {
        RetrySettings { max_attempts: 3, budget_share: Share(0.1) }
    }
}

/// Limits of hedged requests: a second attempt is sent while the first is still in flight.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HedgeSettings {
    /// Hedges as a share of first attempts; 0 turns hedging off.
    pub budget_share: Share,
    /// Quantile of recent latency after which a request is hedged.
    pub after_quantile: Share,
    /// Shortest time after which a request is hedged.
    pub min_delay_ms: Millis,
}

impl Default for HedgeSettings {
    fn default() -> HedgeSettings {
        HedgeSettings {
            budget_share: Share(0.05),
            after_quantile: Share(0.95),
            min_delay_ms: Millis(10),
        }
    }
}

/// Fair sharing between callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerLimits {
    /// Waiting requests of one caller, per service and host.
    pub max_waiting: u32,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits { max_waiting: 100 }
    }
}

/// A service: its routes and the upstreams that serve it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Which requests belong to the service.
    pub routes: Vec<Route>,
    /// Deadline of a request for which the caller sets none.
    #[serde(default = "default_deadline")]
    pub deadline_ms: Millis,
    /// Requests that wait for a slot, per host.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
    /// Probes per second of this service, from all hosts together.
    #[serde(default = "default_service_probes")]
    pub probes_per_second: PerSecond,
    /// Time over which a new upstream's share of requests rises to its full value.
    #[serde(default = "default_slow_start")]
    pub slow_start_ms: Millis,
    /// Share of the upstreams that is never ejected.
    #[serde(default = "default_eject_floor")]
    pub eject_floor_share: Share,
    /// Upstreams by id.
    pub upstreams: BTreeMap<UpstreamId, Upstream>,
}

fn default_deadline() -> Millis {
    Millis(2000)
}

fn default_queue_limit() -> u32 {
    256
}

fn default_service_probes() -> PerSecond {
    PerSecond(1.0)
}

fn default_slow_start() -> Millis {
    Millis(5000)
}

fn default_eject_floor() -> Share {
    Share(0.5)
}

/// Which requests belong to a service, and whether they may be retried.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Method that the route matches.
    #[serde(default)]
    pub method: Method,
    /// Path prefix; matches whole path segments only.
    pub path_prefix: String,
    /// Whether a request may be retried.
    pub repeat: RepeatRule,
}

/// HTTP method of a route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Method {
    /// Any method.
    #[default]
    Any,
    /// GET.
    Get,
    /// HEAD.
    Head,
    /// POST.
    Post,
    /// PUT.
    Put,
    /// PATCH.
    Patch,
    /// DELETE.
    Delete,
    /// OPTIONS.
    Options,
}

/// Whether a request may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RepeatRule {
    /// May be retried and hedged.
    Idempotent,
    /// Must run at most once.
    AtMostOnce,
}

/// One instance of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Availability zone that it runs in.
    pub availability_zone: ZoneName,
    /// Requests that it serves concurrently.
    pub slots: Slots,
    /// Connections that it accepts from all hosts together.
    pub connections: Connections,
    /// Draining: the upstream receives no new requests.
    #[serde(default)]
    pub leaving: bool,
}
