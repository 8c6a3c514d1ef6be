//! The operators' configuration: a base that all sites share, and an overlay for each site.
//!
//! [`merge`] applies an overlay to the base as a JSON Merge Patch (RFC 7396) and validates
//! the result, a [`SiteConfig`]. This crate does no I/O.

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
