//! The site that is modelled: its sizes, its faults and its load.

use clap::ValueEnum;
use config::Policy;
use domain::Millis;
use serde::Serialize;
use serde_json::{Value, json};

/// Mean service time of a healthy upstream.
pub const SERVICE_MS: f64 = 20.0;
/// Part of the service time that is exponential; the rest is constant.
pub const RANDOM_SHARE: f64 = 0.5;
/// How much longer a straggler takes.
pub const STRAGGLER_FACTOR: f64 = 4.0;
/// Time in which a failing upstream answers with an error.
pub const FAIL_US: u64 = 1000;
/// Calls that wait in an upstream for each of its slots before it sheds.
const QUEUE_PER_SLOT: u32 = 2;

/// Whose sizes are modelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Firm {
    /// Three availability zones, 34 upstreams of 6 slots.
    Pwani,
    /// Four availability zones, 26 upstreams of 3 slots.
    Himal,
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// Nothing.
    Steady,
    /// Two stragglers and one fast-failing upstream, all in the largest service.
    Faults,
    /// Each upstream now and then takes ten times as long for 50 ms.
    Noisy,
    /// Load reports are a second old.
    LateReports,
    /// One caller sends half of all calls.
    Greedy,
}

/// Which way of choosing is run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Way {
    /// One queue per service with perfect knowledge and no delay: the limit.
    Central,
    /// See [`Policy::Random`].
    Random,
    /// See [`Policy::RoundRobin`].
    RoundRobin,
    /// See [`Policy::LeastInFlight`].
    LeastInFlight,
    /// See [`Policy::TwoChoices`].
    TwoChoices,
    /// See [`Policy::LoadAware`].
    LoadAware,
    /// See [`Policy::SlotLease`].
    SlotLease,
}

impl Way {
    /// The policy of the decision core, none for the limit.
    pub fn policy(self) -> Option<Policy> {
        match self {
            Way::Central => None,
            Way::Random => Some(Policy::Random),
            Way::RoundRobin => Some(Policy::RoundRobin),
            Way::LeastInFlight => Some(Policy::LeastInFlight),
            Way::TwoChoices => Some(Policy::TwoChoices),
            Way::LoadAware => Some(Policy::LoadAware),
            Way::SlotLease => Some(Policy::SlotLease),
        }
    }
}

/// One run.
#[derive(Debug, Clone, Serialize)]
pub struct Plan {
    /// Whose sizes.
    pub firm: Firm,
    /// What goes wrong.
    pub scenario: Scenario,
    /// How upstreams are chosen.
    pub way: Way,
    /// Offered load as a share of what the upstreams can serve.
    pub load: f64,
    /// Entry hosts.
    pub hosts: usize,
    /// Time that is measured.
    pub seconds: u64,
    /// Time that each call is given.
    pub deadline_ms: u64,
    /// Seed of arrivals, service times and hosts.
    pub seed: u64,
    /// Hedges as a share of first sendings.
    pub hedge_share: f64,
    /// Control bytes that each host may spend a second.
    pub control_bytes_per_second: u64,
}

/// The fixed sizes of a firm.
#[derive(Debug, Clone, Copy)]
pub struct Sizes {
    /// Names of the availability zones.
    pub zones: &'static [&'static str],
    /// Upstreams of each service.
    pub services: &'static [usize],
    /// Slots of each upstream.
    pub slots: u32,
    /// Connections of each upstream.
    pub connections: u32,
    /// One-way delay between availability zones.
    pub between_zones_us: u64,
}

/// One-way delay inside an availability zone.
const IN_ZONE_US: u64 = 100;

impl Sizes {
    /// Those of a firm.
    pub fn of(firm: Firm) -> Sizes {
        match firm {
            Firm::Pwani => Sizes {
                zones: &["kariakoo", "msasani", "temeke"],
                services: &[15, 6, 13],
                slots: 6,
                connections: 250,
                between_zones_us: 1000,
            },
            Firm::Himal => Sizes {
                zones: &["baneshwor", "lalitpur", "bhaktapur", "kirtipur"],
                services: &[8, 8, 10],
                slots: 3,
                connections: 200,
                between_zones_us: 1500,
            },
        }
    }

    /// One-way delay between two availability zones, by index.
    pub fn delay_us(&self, from: usize, to: usize) -> u64 {
        if from == to { IN_ZONE_US } else { self.between_zones_us }
    }

    /// Calls that wait in an upstream before it sheds.
    pub fn upstream_queue(&self) -> u32 {
        self.slots * QUEUE_PER_SLOT
    }

    /// The base that is published.
    pub fn base(&self, plan: &Plan) -> Value {
        let services = self.services.iter().enumerate().map(|(service, &count)| {
            let upstreams = (0..count).map(|index| {
                let upstream = json!({
                    "address": format!("127.0.{}.{}:80", service + 1, index + 1),
                    "availability_zone": self.zones[index % self.zones.len()],
                    "slots": self.slots,
                    "connections": self.connections,
                });
                (upstream_name(service, index), upstream)
            });
            let upstreams: serde_json::Map<String, Value> = upstreams.collect();
            let published = json!({
                "routes": [{ "path_prefix": format!("/s{service}"), "repeat": "idempotent" }],
                "deadline_ms": plan.deadline_ms,
                "upstreams": upstreams,
            });
            (format!("s{service}"), published)
        });
        let services: serde_json::Map<String, Value> = services.collect();
        json!({
            "availability_zones": self.zones,
            "policy": plan.way.policy().unwrap_or_default(),
            "hedge": { "budget_share": plan.hedge_share },
            "measurement": { "control_bytes_per_second": plan.control_bytes_per_second },
            "services": services,
        })
    }
}

/// Id of an upstream.
pub fn upstream_name(service: usize, index: usize) -> String {
    format!("s{service}-{index:02}")
}

/// The longest time that a late report lags.
pub fn report_lag(scenario: Scenario) -> Millis {
    match scenario {
        Scenario::LateReports => Millis(1000),
        _ => Millis::ZERO,
    }
}
