//! The settings of the process.
//!
//! A JSON file and flags of the same names; a flag wins over the file.

use crate::error::StartError;
use clap::Args;
use decision_core::StartLimits;
use domain::{HostId, Incarnation, Millis, SiteName, ZoneName};
use error_stack::{Report, ResultExt};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// Complete settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Id of this entry host.
    pub host: HostId,
    /// Its site.
    pub site: SiteName,
    /// Where it stands.
    pub availability_zone: ZoneName,
    /// Where callers ask.
    pub caller_address: SocketAddr,
    /// Where peer entry hosts send their messages.
    pub peer_address: SocketAddr,
    /// Where operators look.
    pub operator_address: SocketAddr,
    /// The platform's configuration service.
    pub config_service: SocketAddr,
    /// The platform's host list.
    pub host_list: SocketAddr,
    /// Time from failing readiness to refusing connections.
    pub drain_notice_ms: Millis,
    /// When a start stops waiting for the peers.
    pub start_limits: StartLimits,
    /// Nothing ever ran under this id before.
    pub first_run: bool,
}

/// Time that a balancer gets to notice a stop where the settings don't say.
pub const DEFAULT_DRAIN_NOTICE_MS: Millis = Millis(2000);

/// Settings as one source states them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Args, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PartialSettings {
    /// Id of this entry host
    #[arg(long)]
    pub host: Option<HostId>,
    /// Its site
    #[arg(long)]
    pub site: Option<SiteName>,
    /// Its availability zone
    #[arg(long)]
    pub availability_zone: Option<ZoneName>,
    /// IP and port for callers
    #[arg(long)]
    pub caller_address: Option<SocketAddr>,
    /// IP and port for peer entry hosts
    #[arg(long)]
    pub peer_address: Option<SocketAddr>,
    /// IP and port for operators
    #[arg(long)]
    pub operator_address: Option<SocketAddr>,
    /// IP and port of the configuration service
    #[arg(long)]
    pub config_service: Option<SocketAddr>,
    /// IP and port of the host list
    #[arg(long)]
    pub host_list: Option<SocketAddr>,
    /// Milliseconds from failing readiness to refusing connections
    #[arg(long)]
    pub drain_notice_ms: Option<Millis>,
    /// Milliseconds after a start from which a majority of the listed hosts is enough to go by
    #[arg(long)]
    pub majority_start_after_ms: Option<Millis>,
    /// Milliseconds after a start from which no other host is needed; the configuration may
    /// then be older than before
    #[arg(long)]
    pub lone_start_after_ms: Option<Millis>,
    /// Nothing ever ran under this id before: it may vote on idempotency keys at once
    #[arg(long)]
    pub first_run: Option<bool>,
}

impl PartialSettings {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// If it can't be read or holds anything but settings.
    pub fn read(path: &Path) -> Result<PartialSettings, Report<StartError>> {
        let text = std::fs::read_to_string(path)
            .change_context_lazy(|| StartError::UnreadableSettings { path: path.to_owned() })?;
        serde_json::from_str(&text)
            .change_context_lazy(|| StartError::InvalidSettings { path: path.to_owned() })
    }

    /// These settings, completed by another source.
    pub fn or(self, other: PartialSettings) -> PartialSettings {
        PartialSettings {
            host: self.host.or(other.host),
            site: self.site.or(other.site),
            availability_zone: self.availability_zone.or(other.availability_zone),
            caller_address: self.caller_address.or(other.caller_address),
            peer_address: self.peer_address.or(other.peer_address),
            operator_address: self.operator_address.or(other.operator_address),
            config_service: self.config_service.or(other.config_service),
            host_list: self.host_list.or(other.host_list),
            drain_notice_ms: self.drain_notice_ms.or(other.drain_notice_ms),
            majority_start_after_ms: self.majority_start_after_ms.or(other.majority_start_after_ms),
            lone_start_after_ms: self.lone_start_after_ms.or(other.lone_start_after_ms),
            first_run: self.first_run.or(other.first_run),
        }
    }

    /// Checks that nothing is missing.
    ///
    /// # Errors
    ///
    /// Names the first missing field.
    pub fn complete(self) -> Result<Settings, Report<StartError>> {
        let default = StartLimits::default();
        let start_limits = StartLimits {
            majority_start_after_ms: self
                .majority_start_after_ms
                .unwrap_or(default.majority_start_after_ms),
            lone_start_after_ms: self.lone_start_after_ms.unwrap_or(default.lone_start_after_ms),
        };
        Ok(Settings {
            host: required("host", self.host)?,
            site: required("site", self.site)?,
            availability_zone: required("availability_zone", self.availability_zone)?,
            caller_address: required("caller_address", self.caller_address)?,
            peer_address: required("peer_address", self.peer_address)?,
            operator_address: required("operator_address", self.operator_address)?,
            config_service: required("config_service", self.config_service)?,
            host_list: required("host_list", self.host_list)?,
            drain_notice_ms: self.drain_notice_ms.unwrap_or(DEFAULT_DRAIN_NOTICE_MS),
            start_limits,
            first_run: self.first_run.unwrap_or(false),
        })
    }
}

fn required<T>(field: &'static str, value: Option<T>) -> Result<T, Report<StartError>> {
    value.ok_or_else(|| Report::new(StartError::MissingSetting { field }))
}

impl Settings {
    /// What the core needs to know.
    pub fn core_settings(&self, incarnation: Incarnation) -> decision_core::HostSettings {
        decision_core::HostSettings {
            host: self.host.clone(),
            incarnation,
            site: self.site.clone(),
            availability_zone: self.availability_zone.clone(),
            drain_notice_ms: self.drain_notice_ms,
        }
    }
}
