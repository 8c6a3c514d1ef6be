//! Open-loop load generator.
//!
//! Requests are sent when the schedule says so, whether or not earlier ones were
//! answered, and latency is counted from the intended time of sending, so that a stall
//! shows in the figures. Every answer is checked against what was sent, and at the end
//! the upstreams' own ledgers tell what ran more often than it should.

mod answer;
mod central;
mod ledger;
mod pacer;
mod plan;
mod report;
mod request;
mod run;
mod schedule;
mod targets;

pub use answer::{Answer, Verdict, judge};
pub use central::{CentralPlan, CentralReport, CentralService, SlotGroup, simulate};
pub use ledger::{Ledger, LedgerCheck, LedgerError, read_ledger};
pub use plan::{Arrivals, Caller, LoadPlan, PlanError, RouteLoad, Stream};
pub use report::{CallerReport, LatencyReport, LoadReport};
pub use request::{Request, body_hash};
pub use run::{LoadError, LoadOutcome, drive};
pub use schedule::{Arrival, schedule};
pub use targets::{Target, Targets};
