//! The merged model.
//!
//! Maps are keyed by id, so that an overlay can name one upstream and state only what
//! differs there. Every field but the essential ones has a default.

use domain::{
    ByteCount, Connections, Millis, PerSecond, ServiceName, Share, Slots, UpstreamId, ZoneName,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Everything in force at one site.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteConfig {
    /// Availability zones of the site.
    pub availability_zones: Vec<ZoneName>,
    /// How an upstream is chosen.
    #[serde(default)]
    pub policy: Policy,
    /// Limits of each entry host.
    #[serde(default)]
    pub limits: HostLimits,
    /// Measuring that all entry hosts together may spend.
    #[serde(default)]
    pub measurement: MeasurementBudget,
    /// Retries.
    #[serde(default)]
    pub retry: RetrySettings,
    /// Hedged requests.
    #[serde(default)]
    pub hedge: HedgeSettings,
    /// Fair sharing between callers.
    #[serde(default)]
    pub callers: CallerLimits,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
}

/// How an upstream is chosen: the named baselines and the ways weighed against them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Any upstream, at random.
    Random,
    /// Each in turn.
    RoundRobin,
    /// Fewest in flight from this entry host.
    LeastInFlight,
    /// The better of two random ones by local in-flight count.
    TwoChoices,
    /// The best by reported load, service time and errors.
    #[default]
    LoadAware,
    /// Slots lent by the service's lender, as far as the control budget goes.
    SlotLease,
}

/// Limits of each entry host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostLimits {
    /// Largest request body.
    pub max_body_bytes: ByteCount,
    /// Largest answer that is held until whole, so that a retry stays possible.
    pub held_answer_bytes: ByteCount,
    /// Calls in progress at one entry host.
    pub max_calls: u32,
    /// Deepest chain of calls.
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

/// Measuring that all listed entry hosts together may spend.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MeasurementBudget {
    /// Probes of all services, from all entry hosts.
    pub probes_per_second: PerSecond,
    /// Control traffic of one entry host.
    pub control_bytes_per_second: ByteCount,
    /// Silence after which an upstream is probed.
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

/// Retries of repeatable requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetrySettings {
    /// Sendings of one call, the first included.
    pub max_attempts: u32,
    /// Retries as a share of first sendings.
    pub budget_share: Share,
}

impl Default for RetrySettings {
    fn default() -> RetrySettings {
        RetrySettings { max_attempts: 3, budget_share: Share(0.1) }
    }
}

/// Hedged requests: a second sending while the first is still out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HedgeSettings {
    /// Hedges as a share of first sendings; 0 turns them off.
    pub budget_share: Share,
    /// Quantile of recent latency after which a call is hedged.
    pub after_quantile: Share,
    /// Never hedge earlier than this.
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
    /// Waiting calls of one caller, per service and entry host.
    pub max_waiting: u32,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits { max_waiting: 100 }
    }
}

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Which requests belong to the service.
    pub routes: Vec<Route>,
    /// Time for a call where the caller states none.
    #[serde(default = "default_deadline")]
    pub deadline_ms: Millis,
    /// Calls waiting for a slot, per entry host.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
    /// Probes of this service, from all entry hosts.
    #[serde(default = "default_service_probes")]
    pub probes_per_second: PerSecond,
    /// Time over which a new upstream reaches its full share.
    #[serde(default = "default_slow_start")]
    pub slow_start_ms: Millis,
    /// Part of the upstreams that is never ejected.
    #[serde(default = "default_eject_floor")]
    pub eject_floor_share: Share,
    /// Instances by id.
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

/// Which requests belong to a service, and whether they may be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Method, or any.
    #[serde(default)]
    pub method: Method,
    /// Path prefix, on segment borders.
    pub path_prefix: String,
    /// Whether a request may be sent again.
    pub repeat: RepeatRule,
}

/// Method of a route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Method {
    /// Every method.
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

/// Whether a request may be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RepeatRule {
    /// Idempotent: may be retried and hedged.
    Idempotent,
    /// Runs at most once.
    AtMostOnce,
}

/// One instance of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub availability_zone: ZoneName,
    /// Requests it works on at once.
    pub slots: Slots,
    /// Connections it accepts, from all entry hosts together.
    pub connections: Connections,
    /// Receives no new work.
    #[serde(default)]
    pub leaving: bool,
}
