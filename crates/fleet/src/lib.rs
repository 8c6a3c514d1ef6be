//! A whole site on loopback, as child processes.
//!
//! `xtask` and process tests start entry hosts, upstreams and the platform's stand-ins
//! with this crate, publish configuration, send signals, and wait on conditions rather
//! than for fixed times. Every child is killed when its handle is dropped, so no exit
//! path leaves one behind.

mod binaries;
mod client;
mod entry_host;
mod error;
mod metrics;
mod plan;
mod process;
mod relay;
mod site;
mod stand_in;
mod wait;

pub use binaries::{Binaries, Profile};
pub use client::Client;
pub use entry_host::{EntryHostProcess, Settings, Versions};
pub use error::FleetError;
pub use metrics::Metrics;
pub use nix::sys::signal::Signal;
pub use plan::{Distribution, ServicePlan, SitePlan, UpstreamPlan};
pub use process::{Listener, Process, ProcessSpec, Role};
pub use relay::Relay;
pub use site::Site;
pub use stand_in::{
    ConfigFaults, ConfigServiceProcess, Faults, HostListFaults, HostListProcess, Noise,
    UpstreamProcess, UpstreamTotals,
};
pub use wait::{LIMIT, wait_until};
