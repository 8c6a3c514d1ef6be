//! Everything an entry host holds, as operators see it.

use crate::adoption::{ReadingFaults, RejectedPair, VersionPair};
use crate::claims::ClaimsDump;
use crate::control::ControlState;
use crate::entry_host::{EntryHost, HostSettings};
use crate::lifecycle::Lifecycle;
use crate::membership::Membership;
use crate::news::NewsCounts;
use crate::pause::PauseWatch;
use crate::probes::ProbesDump;
use crate::traffic::ControlTraffic;
use crate::upstream::UpstreamState;
use config::{HostLimits, SiteConfig};
use domain::{HostId, ServiceName};
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
    /// Newest versions seen.
    pub newest: VersionPair,
    /// The newest pair that was refused.
    pub rejected: Option<RejectedPair>,
    /// Readings that can't be right.
    pub reading_faults: &'a ReadingFaults,
    /// Peers with a pair in force that neither covers this host's nor is covered by it.
    ///
    /// They part for as long as no valid pair covers both: publish one.
    pub parted_from: Vec<HostId>,
    /// Readings and questions to peers.
    pub control: &'a ControlState,
    /// Messages between entry hosts.
    pub traffic: &'a ControlTraffic,
    /// The configuration in force.
    pub config: Option<&'a SiteConfig>,
    /// The fleet.
    pub membership: &'a Membership,
    /// Pauses of this process.
    pub pauses: &'a PauseWatch,
    /// Idempotency keys and the claims to them.
    pub claims: ClaimsDump<'a>,
    /// Calls in progress.
    pub calls: usize,
    /// Probes, and the hosts that share their budget.
    pub probes: ProbesDump<'a>,
    /// What news of upstreams cost.
    pub news: NewsCounts,
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

    /// Versions of [`EntryHost::rejected`], without its text.
    pub fn rejected_versions(&self) -> Option<VersionPair> {
        self.adoption.rejected_versions()
    }

    /// The newest pair of versions that was refused, and why.
    pub fn rejected(&self) -> Option<RejectedPair> {
        self.adoption.rejected()
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
            newest: self.adoption.newest(),
            rejected: self.adoption.rejected(),
            reading_faults: self.adoption.faults(),
            parted_from: self.parted_from(),
            control: &self.control,
            traffic: &self.traffic,
            config: self.in_force.as_ref().map(|in_force| &in_force.config),
            membership: &self.membership,
            pauses: &self.pauses,
            claims: self.claims.dump(),
            calls: self.calls.len(),
            probes: self.probes.dump(self.now_ms),
            news: self.news.counts(),
            services: services.collect(),
        }
    }

    fn parted_from(&self) -> Vec<HostId> {
        let ours = self.adoption.in_force();
        let is_parted = |theirs: VersionPair| !theirs.covers(ours) && !ours.covers(theirs);
        let peers = self.membership.peers().into_iter();
        peers
            .filter(|(_, peer)| is_parted(peer.heartbeat.in_force()))
            .map(|(host, _)| host.clone())
            .collect()
    }
}
