//! Decides where a request goes, whether it is retried, and when it is refused.
//!
//! The crate does no I/O: decisions depend on what upstreams reported, the time and a seeded random
//! generator. [`UpstreamSet`] holds the state of all upstreams; [`scheduler`] places the requests
//! of many hosts from one queue; [`quarantine`] holds back requests that crash upstreams;
//! [`backpressure`] tracks what upstreams state about their load; [`attempts`] has the rules of
//! retrying; [`rejections`] when callers may retry what upstreams rejected; [`LinkMonitor`] and
//! [`relays`] what to do where only peers reach upstreams; [`quota`] keeps
//! organisations within their quotas; [`budget`] limits this host's part of what the fleet may spend
//! on retries and probes.

pub mod attempts;
pub mod backpressure;
mod cold;
mod connections;
mod cost;
mod curve;
mod deadline;
mod decaying_sum;
mod fleet_rate;
mod links;
mod load;
pub mod probe_budget;
mod probing;
pub mod quarantine;
pub mod quota;
pub mod rejections;
pub mod relays;
pub mod retry_budget;
mod route_times;
pub mod scheduler;
mod service;
mod service_load;
mod shutdown;
mod split;
mod subset;
mod upstream;
mod upstream_set;

pub use cold::Warmth;
pub use connections::{MAX_IDLE_CONNECTIONS, idle_connections_per_host};
pub use cost::{Candidate, CostInputs, estimate_cost};
pub use curve::{Occupancy, SpeedCurve};
pub use deadline::{DeadlineCheck, LatencyEstimate, Verdict};
pub use fleet_rate::{FleetRate, LocalRateLimiter, assumed_fleet};
pub use links::{LinkMonitor, LinkState, MAX_SILENCE_MS};
pub use load::LoadReport;
pub use probing::{
    GOOD_ENOUGH_COST, IMMEDIATE_COST, PROBE_ROUNDS, PROBES_PER_ROUND, UNHEALTHY_COST,
};
pub use route_times::{MAX_ROUTES, RouteKey, RouteTime};
pub use service::ServiceTimeSample;
pub use service_load::ServiceLoad;
pub use shutdown::ShutdownSchedule;
pub use split::SplitTable;
pub use subset::{FULL_SUBSET_MAX, FleetSize, LOCAL_ZONE_UPSTREAMS, OTHER_ZONE_UPSTREAMS, Subset};
pub use upstream::{AttemptFailure, ProbeFailure, UpstreamState};
pub use upstream_set::{UpstreamSet, ZoneScope};
