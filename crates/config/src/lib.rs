//! The operators' configuration: one base for all sites and an overlay for each.
//!
//! The model here is what is in force after the overlay is merged into the base
//! (RFC 7396, JSON Merge Patch) and the whole is checked. This crate knows nothing of IO.

mod model;

pub use model::{
    CallerLimits, HedgeSettings, HostLimits, MeasurementBudget, Method, Policy, RepeatRule,
    RetrySettings, Route, Service, SiteConfig, Upstream,
};
