//! Everything an entry host holds, as operators see it.

use crate::adoption::{RejectedPair, VersionPair};
use crate::entry_host::{EntryHost, HostSettings};
use crate::lifecycle::Lifecycle;
use crate::membership::Membership;
use crate::pause::PauseWatch;
use crate::upstream::UpstreamState;
use config::{HostLimits, SiteConfig};
use domain::ServiceName;
use serde::Serialize;

/// State of one entry host at one moment.
#[derive(Debug, Serialize)]
pub struct StateDump<'a> {
    /// What it was started with.
    pub settings: &'a HostSettings,
    /// Where it stands between start and stop.
    pub lifecycle: Lifecycle,
    /// Versions in force.
    pub versions: VersionPair,
    /// The pair that was last refused.
    pub rejected: Option<&'a RejectedPair>,
    /// The configuration in force.
    pub config: Option<&'a SiteConfig>,
    /// The fleet.
    pub membership: &'a Membership,
    /// Pauses of this process.
    pub pauses: &'a PauseWatch,
    /// Calls in progress.
    pub calls: usize,
    /// Services.
    pub services: Vec<ServiceDump<'a>>,
}

/// State of one service.
#[derive(Debug, Serialize)]
pub struct ServiceDump<'a> {
    /// Its name.
    pub name: &'a ServiceName,
    /// Calls that wait for a slot.
    pub waiting: usize,
    /// Calls in progress.
    pub calls: usize,
    /// Its upstreams.
    pub upstreams: &'a [UpstreamState],
}

impl EntryHost {
    /// Versions of the configuration in force, zero where there is none.
    pub fn versions(&self) -> VersionPair {
        self.adoption.in_force()
    }

    /// Limits in force, for whoever reads bodies; nothing before the first configuration.
    pub fn limits(&self) -> Option<&HostLimits> {
        self.in_force.as_ref().map(|in_force| &in_force.config.limits)
    }

    /// Everything the host holds, for operators.
    pub fn dump(&self) -> StateDump<'_> {
        let services = self.services.values().map(|state| ServiceDump {
            name: &state.name,
            waiting: state.queue.len(),
            calls: state.calls,
            upstreams: &state.upstreams,
        });
        StateDump {
            settings: &self.settings,
            lifecycle: self.lifecycle,
            versions: self.adoption.in_force(),
            rejected: self.adoption.rejected(),
            config: self.in_force.as_ref().map(|in_force| &in_force.config),
            membership: &self.membership,
            pauses: &self.pauses,
            calls: self.calls.len(),
            services: services.collect(),
        }
    }
}
