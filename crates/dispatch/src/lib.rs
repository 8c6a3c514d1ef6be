//! Where a request goes, what may be repeated, and when it is given up.
//!
//! Pure decisions: what upstreams told, the time and a seeded generator go in, choices
//! come out. [`UpstreamSet`] is the aggregate of what is known of upstreams;
//! [`scheduler`] places the requests of many hosts from one queue;
//! [`quarantine`] holds back what crashes upstreams; [`backpressure`] is what upstreams say of the
//! load that they bear; [`attempts`] holds the rules of repeating; [`budget`] the host's part of what the
//! whole fleet may spend.

mod asking;
pub mod attempts;
pub mod backpressure;
pub mod budget;
mod choice;
mod cold;
mod connections;
mod curve;
mod deadline;
mod fleet_rate;
mod load;
pub mod quarantine;
pub mod scheduler;
mod service;
mod service_load;
mod split;
mod subset;
mod upstream;
mod upstream_set;

pub use asking::{ASKED_AT_ONCE, AT_ONCE, GOOD_ENOUGH, ROUNDS, UNWELL_COST};
pub use choice::{Candidate, Weighing, weigh};
pub use cold::Warmth;
pub use connections::{MAX_IDLE_CONNECTIONS, idle_connections_per_host};
pub use curve::{Occupancy, SpeedCurve};
pub use deadline::{DeadlineCheck, Offer, Verdict};
pub use fleet_rate::{FleetRate, LocalRateLimiter, assumed_fleet};
pub use load::LoadReport;
pub use service::Run;
pub use service_load::ServiceLoad;
pub use split::SplitTable;
pub use subset::{ALL, FAR, FleetShape, NEAR, Subset};
pub use upstream::{AttemptFailure, ProbeFailure, UpstreamState};
pub use upstream_set::{UpstreamSet, ZoneScope};
