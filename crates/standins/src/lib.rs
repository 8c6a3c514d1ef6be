//! Small stand-ins for the systems around the load balancer.
//!
//! Tests and measurements need upstreams that drain, shed and lie, a configuration
//! service that goes down or stale, a host list that lags, and a balancer in front of
//! the entry hosts. Each stand-in runs inside a test by its `start` function, or as a
//! process by the `standin` binary. Faults are set while it runs, from Rust or over
//! HTTP, and what it saw can be read back, so that a test can tell a lost or doubled
//! request from an unlucky one.

pub mod balancer;
pub mod config_service;
pub mod host_list;
pub mod upstream;

mod connections;
mod history;
mod server;

pub use server::StartError;
