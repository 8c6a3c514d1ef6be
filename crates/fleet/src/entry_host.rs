//! One entry host: the daemon as a process, with its settings file.

use crate::binaries::Binaries;
use crate::client::Client;
use crate::error::FleetError;
use crate::metrics::Metrics;
use crate::process::{Process, ProcessSpec, Role};
use decision_core::ListedHost;
use domain::{HostId, Millis, SiteName, Version, ZoneName};
use error_stack::{Report, ResultExt};
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

/// Entry hosts listen on a loopback address of their own: an outgoing connection never
/// takes one of its ports, so a restarted host gets its ports back.
const LISTEN_IP: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 2));

/// The daemon's settings file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Settings {
    /// Its id.
    pub host: HostId,
    /// Its site.
    pub site: SiteName,
    /// Where it stands.
    pub availability_zone: ZoneName,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where peers connect.
    pub peer_address: SocketAddr,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// The configuration service.
    pub config_service: SocketAddr,
    /// The host list.
    pub host_list: SocketAddr,
    /// Time from failing readiness to refusing connections.
    pub drain_notice_ms: Millis,
    /// Nothing ran under its id before.
    pub first_run: bool,
}

impl Settings {
    /// Settings with ports of the system's choice.
    pub fn new(
        host: HostId,
        site: SiteName,
        availability_zone: ZoneName,
        config_service: SocketAddr,
        host_list: SocketAddr,
    ) -> Settings {
        let any_port = SocketAddr::new(LISTEN_IP, 0);
        Settings {
            host,
            site,
            availability_zone,
            caller_address: any_port,
            peer_address: any_port,
            operator_address: any_port,
            config_service,
            host_list,
            drain_notice_ms: Millis(2000),
            first_run: true,
        }
    }
}

/// Versions of the configuration in force at an entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Versions {
    /// Of the base.
    pub base: Version,
    /// Of the overlay.
    pub overlay: Version,
}

/// The part of a state dump that is read here.
#[derive(Debug, Deserialize)]
struct State {
    versions: Versions,
}

/// A running entry host.
#[derive(Debug)]
pub struct EntryHostProcess {
    /// The process.
    pub process: Process,
    /// Its settings, with the ports that it got.
    pub settings: Settings,
}

impl EntryHostProcess {
    /// Starts it and waits until it listens.
    ///
    /// # Errors
    /// It does not come up.
    pub async fn start(
        binaries: &Binaries,
        dir: &Path,
        settings: Settings,
    ) -> Result<EntryHostProcess, Report<FleetError>> {
        let process = start(binaries, dir, &settings)?;
        let mut host = EntryHostProcess { process, settings };
        host.keep_addresses().await?;
        Ok(host)
    }

    /// Starts it again, after it ended, on the same addresses.
    ///
    /// # Errors
    /// It does not come up.
    pub async fn restart(
        &mut self,
        binaries: &Binaries,
        dir: &Path,
    ) -> Result<(), Report<FleetError>> {
        self.settings.first_run = false;
        self.process = start(binaries, dir, &self.settings)?;
        self.keep_addresses().await
    }

    /// Whether `/readyz` says that it takes calls.
    pub async fn is_ready(&self, client: &Client) -> bool {
        client.is_ok(self.settings.operator_address, "/readyz").await
    }

    /// Its metrics.
    ///
    /// # Errors
    /// It does not answer.
    pub async fn metrics(&self, client: &Client) -> Result<Metrics, Report<FleetError>> {
        let text = client.text(self.settings.operator_address, "/metrics").await?;
        Ok(Metrics::parse(&text))
    }

    /// Its state dump.
    ///
    /// # Errors
    /// It does not answer.
    pub async fn state(&self, client: &Client) -> Result<serde_json::Value, Report<FleetError>> {
        client.json(self.settings.operator_address, "/state").await
    }

    /// Versions of the configuration in force there.
    ///
    /// # Errors
    /// It does not answer.
    pub async fn versions(&self, client: &Client) -> Result<Versions, Report<FleetError>> {
        let state: State = client.json(self.settings.operator_address, "/state").await?;
        Ok(state.versions)
    }

    /// How it stands on the host list.
    pub fn listed(&self, leaving: bool) -> ListedHost {
        ListedHost {
            host: self.settings.host.clone(),
            peer_address: self.settings.peer_address,
            availability_zone: self.settings.availability_zone.clone(),
            leaving,
        }
    }

    async fn keep_addresses(&mut self) -> Result<(), Report<FleetError>> {
        self.settings.caller_address = self.process.address(Role::Caller).await?;
        self.settings.peer_address = self.process.address(Role::Peer).await?;
        self.settings.operator_address = self.process.address(Role::Operator).await?;
        Ok(())
    }
}

fn start(
    binaries: &Binaries,
    dir: &Path,
    settings: &Settings,
) -> Result<Process, Report<FleetError>> {
    let path = write_settings(dir, settings)?;
    let spec = ProcessSpec {
        name: settings.host.to_string(),
        program: binaries.daemon.clone(),
        args: vec!["--settings".into(), path.into()],
    };
    Process::start(spec, dir)
}

fn write_settings(dir: &Path, settings: &Settings) -> Result<PathBuf, Report<FleetError>> {
    let path = dir.join(format!("{}.json", settings.host));
    let text = serde_json::to_vec(settings).change_context(FleetError::Files)?;
    std::fs::write(&path, text).change_context(FleetError::Files)?;
    Ok(path)
}
