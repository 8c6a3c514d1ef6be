//! The stand-ins as processes.

use crate::binaries::Binaries;
use crate::client::Client;
use crate::error::FleetError;
use crate::plan::UpstreamPlan;
use crate::process::{Process, ProcessSpec, Role};
use crate::wait::LIMIT;
use decision_core::HostList;
use domain::{HostId, Millis, Share, SiteName, UpstreamId, Version, ZoneName};
use error_stack::{Report, ResultExt};
use nix::sys::signal::Signal;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

const BASE_PATH: &str = "/v1/values/base";
const OVERLAY_PATH: &str = "/v1/values/overlay/";
const HOSTS_PATH: &str = "/v1/hosts/";
const LEDGER_PATH: &str = "/standin/runs";
const TOTALS_PATH: &str = "/standin/totals";
const FAULTS_PATH: &str = "/standin/faults";
const LEDGER_POLL: Duration = Duration::from_millis(20);

/// The configuration service's stand-in.
#[derive(Debug)]
pub struct ConfigServiceProcess {
    /// The process.
    pub process: Process,
    /// Where it listens.
    pub address: SocketAddr,
}

impl ConfigServiceProcess {
    /// Starts it.
    ///
    /// # Errors
    /// It does not come up.
    pub async fn start(binaries: &Binaries, dir: &Path) -> Result<Self, Report<FleetError>> {
        let process = start(binaries, dir, "config-service", ["config-service".into()])?;
        let address = process.address(Role::Config).await?;
        Ok(ConfigServiceProcess { process, address })
    }

    /// Publishes the base.
    ///
    /// # Errors
    /// It is not taken.
    pub async fn publish_base(
        &self,
        client: &Client,
        base: &impl Serialize,
    ) -> Result<(), Report<FleetError>> {
        client.put(self.address, BASE_PATH, base).await.map(drop)
    }

    /// Publishes a site's overlay; returns its version.
    ///
    /// # Errors
    /// It is not taken.
    pub async fn publish_overlay(
        &self,
        client: &Client,
        site: &SiteName,
        overlay: &impl Serialize,
    ) -> Result<Version, Report<FleetError>> {
        let path = format!("{OVERLAY_PATH}{site}");
        let text = client.put(self.address, &path, overlay).await?;
        text.parse().change_context(FleetError::Request { url: path })
    }

    /// Replaces all faults.
    ///
    /// # Errors
    /// They are not taken.
    pub async fn set_faults(
        &self,
        client: &Client,
        faults: &ConfigFaults,
    ) -> Result<(), Report<FleetError>> {
        client.post(self.address, FAULTS_PATH, faults).await
    }
}

/// Faults of the configuration service's stand-in; the default is none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct ConfigFaults {
    /// No reader gets an answer.
    pub down: bool,
    /// Serves no version newer than this.
    pub stale_at: Option<Version>,
    /// The only reader that `stale_at` holds for; all if unset.
    pub stale_reader: Option<HostId>,
}

/// The host list's stand-in.
#[derive(Debug)]
pub struct HostListProcess {
    /// The process.
    pub process: Process,
    /// Where it listens.
    pub address: SocketAddr,
}

impl HostListProcess {
    /// Starts it.
    ///
    /// # Errors
    /// It does not come up.
    pub async fn start(
        binaries: &Binaries,
        dir: &Path,
        name: &str,
    ) -> Result<HostListProcess, Report<FleetError>> {
        let process = start(binaries, dir, name, ["host-list".into()])?;
        let address = process.address(Role::Hosts).await?;
        Ok(HostListProcess { process, address })
    }

    /// Publishes a site's list.
    ///
    /// # Errors
    /// It is not taken.
    pub async fn publish(
        &self,
        client: &Client,
        site: &SiteName,
        list: &HostList,
    ) -> Result<(), Report<FleetError>> {
        client.put(self.address, &format!("{HOSTS_PATH}{site}"), list).await.map(drop)
    }

    /// Replaces all faults.
    ///
    /// # Errors
    /// They are not taken.
    pub async fn set_faults(
        &self,
        client: &Client,
        faults: &HostListFaults,
    ) -> Result<(), Report<FleetError>> {
        client.post(self.address, FAULTS_PATH, faults).await
    }
}

/// Faults of the host list's stand-in; the default is none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct HostListFaults {
    /// No reader gets an answer.
    pub down: bool,
}

/// Faults of an upstream's stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Faults {
    /// Part of the requests answered at once by an error.
    pub fail_fast_share: Share,
    /// Work takes this many times longer.
    pub slow_factor: f64,
    /// The load is reported as it was this long ago.
    pub late_load_ms: Millis,
    /// A neighbour on the same machine steals time now and then.
    pub noisy: Option<Noise>,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            fail_fast_share: Share(0.0),
            slow_factor: 1.0,
            late_load_ms: Millis::ZERO,
            noisy: None,
        }
    }
}

/// A neighbour that steals time in regular bursts.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Noise {
    /// From the start of one burst to the start of the next.
    pub every_ms: Millis,
    /// Length of a burst.
    pub for_ms: Millis,
    /// Work that starts in a burst takes this many times longer.
    pub factor: f64,
}

/// How many requests of each kind an upstream saw.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub struct UpstreamTotals {
    /// Requests for work.
    pub received: u64,
    /// Of them, started to run.
    pub started: u64,
    /// Health checks.
    pub health_calls: u64,
}

/// One upstream's stand-in.
#[derive(Debug)]
pub struct UpstreamProcess {
    /// The process.
    pub process: Process,
    /// Its id.
    pub id: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
}

impl UpstreamProcess {
    /// Starts it.
    ///
    /// # Errors
    /// It does not come up.
    pub async fn start(
        binaries: &Binaries,
        dir: &Path,
        id: UpstreamId,
        zone: &ZoneName,
        plan: &UpstreamPlan,
        zone_delay_ms: Millis,
        seed: u64,
    ) -> Result<UpstreamProcess, Report<FleetError>> {
        let flags = [
            ("--id", id.to_string()),
            ("--zone", zone.to_string()),
            ("--slots", plan.slots.to_string()),
            ("--queue", plan.queue.to_string()),
            ("--service-ms", plan.service_time_ms.0.to_string()),
            ("--service-dist", plan.distribution.to_string()),
            ("--cold-start-ms", plan.cold_start_ms.0.to_string()),
            ("--zone-delay-ms", zone_delay_ms.0.to_string()),
            ("--drain-notice-ms", plan.drain_notice_ms.0.to_string()),
            ("--seed", seed.to_string()),
        ];
        let flags = flags.into_iter().flat_map(|(flag, value)| [flag.into(), value.into()]);
        let args = std::iter::once("upstream".into()).chain(flags);
        let process = start(binaries, dir, id.as_str(), args)?;
        let address = process.address(Role::Upstream).await?;
        Ok(UpstreamProcess { process, id, address })
    }

    /// How often it ran each request.
    ///
    /// # Errors
    /// It does not answer.
    pub async fn ledger(
        &self,
        client: &Client,
    ) -> Result<BTreeMap<String, u64>, Report<FleetError>> {
        client.json(self.address, LEDGER_PATH).await
    }

    /// How many requests of each kind it saw.
    ///
    /// # Errors
    /// It does not answer.
    pub async fn totals(&self, client: &Client) -> Result<UpstreamTotals, Report<FleetError>> {
        client.json(self.address, TOTALS_PATH).await
    }

    /// Replaces all faults.
    ///
    /// # Errors
    /// They are not taken.
    pub async fn set_faults(
        &self,
        client: &Client,
        faults: &Faults,
    ) -> Result<(), Report<FleetError>> {
        client.post(self.address, FAULTS_PATH, faults).await
    }

    /// SIGTERM, then waits until it has drained and ended with code 0; returns its ledger
    /// as it was when it stopped listening.
    ///
    /// # Errors
    /// It does not end well, or its ledger could never be read.
    pub async fn drain(
        &mut self,
        client: &Client,
    ) -> Result<BTreeMap<String, u64>, Report<FleetError>> {
        let mut ledger = self.ledger(client).await?;
        self.process.signal(Signal::SIGTERM)?;
        while let Ok(newer) = self.ledger(client).await {
            ledger = newer;
            tokio::time::sleep(LEDGER_POLL).await;
        }
        self.process.exited(LIMIT).await?;
        Ok(ledger)
    }
}

fn start(
    binaries: &Binaries,
    dir: &Path,
    name: &str,
    args: impl IntoIterator<Item = OsString>,
) -> Result<Process, Report<FleetError>> {
    let spec = ProcessSpec {
        name: name.to_owned(),
        program: binaries.stand_in.clone(),
        args: args.into_iter().collect(),
    };
    Process::start(spec, dir)
}
