//! The operators' configuration: one base for all sites and an overlay for each.
//!
//! The model here is what is in force after the overlay is merged into the base
//! (RFC 7396, JSON Merge Patch) and the whole is checked. This crate knows nothing of IO.

mod check;
mod diff;
mod field_path;
mod merge;
mod model;
mod path;
mod problem;
mod route;
mod strict_json;

pub use check::MAX_HELD_ANSWER_BYTES;
pub use diff::{Change, FieldChange, diff};
pub use field_path::{FieldPath, Segment};
pub use merge::{MAX_TEXT_BYTES, Merged, merge, merge_with_warnings};
pub use model::{
    CallerLimits, HedgeSettings, HostLimits, MeasurementBudget, Method, Policy, RepeatRule,
    RetrySettings, Route, Service, SiteConfig, Upstream,
};
pub use problem::{ConfigError, MAX_PROBLEMS, Problem, ProblemKind, Source};
pub use route::{RouteTable, RouteTarget};
