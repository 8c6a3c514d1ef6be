//! A whole site: the platform's stand-ins, upstreams and entry hosts.

use crate::binaries::Binaries;
use crate::client::Client;
use crate::entry_host::{EntryHostProcess, Settings};
use crate::error::FleetError;
use crate::plan::{ServicePlan, SitePlan};
use crate::relay::Relay;
use crate::stand_in::{ConfigServiceProcess, HostListProcess, UpstreamProcess};
use crate::wait::{LIMIT, wait_until};
use decision_core::{HostList, ListedHost};
use domain::{HostId, UpstreamId, Version};
use error_stack::{Report, ResultExt};
use futures_util::future::try_join_all;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tempfile::TempDir;

/// A running site. All of its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Site {
    /// What was planned.
    pub plan: SitePlan,
    /// The configuration service.
    pub config_service: ConfigServiceProcess,
    /// The host list; a second one serves the second half of a relayed site.
    pub host_lists: Vec<HostListProcess>,
    /// Upstreams by id, as long as they run.
    pub upstreams: BTreeMap<UpstreamId, UpstreamProcess>,
    /// Entry hosts.
    pub entry_hosts: Vec<EntryHostProcess>,
    /// For requests to all of them.
    pub client: Client,
    /// One for each entry host of a relayed site.
    relays: Vec<Relay>,
    /// Runs by request id, of upstreams that ended.
    ended_ledgers: Vec<BTreeMap<String, u64>>,
    list_version: Version,
    binaries: Binaries,
    dir: TempDir,
}

impl Site {
    /// Starts everything, publishes base, empty overlay and host list, and waits until all
    /// entry hosts are ready.
    ///
    /// # Errors
    /// Something does not come up.
    pub async fn start(binaries: Binaries, plan: SitePlan) -> Result<Site, Report<FleetError>> {
        let dir = TempDir::with_prefix("jujubedeal-").change_context(FleetError::Files)?;
        let config_service = ConfigServiceProcess::start(&binaries, dir.path()).await?;
        let mut host_lists = vec![HostListProcess::start(&binaries, dir.path(), "hosts-1").await?];
        if plan.relayed {
            host_lists.push(HostListProcess::start(&binaries, dir.path(), "hosts-2").await?);
        }
        let mut site = Site {
            plan,
            config_service,
            host_lists,
            upstreams: BTreeMap::new(),
            entry_hosts: Vec::new(),
            client: Client::new()?,
            relays: Vec::new(),
            ended_ledgers: Vec::new(),
            list_version: Version(0),
            binaries,
            dir,
        };
        site.start_upstreams().await?;
        site.publish_base().await?;
        site.publish_overlay(&serde_json::json!({})).await?;
        site.start_entry_hosts().await?;
        site.publish_host_list(&[]).await?;
        site.all_ready().await?;
        Ok(site)
    }

    /// Starts one more upstream of a service; the configuration does not name it yet.
    ///
    /// # Errors
    /// It does not come up.
    pub async fn start_upstream(
        &mut self,
        service: &ServicePlan,
        index: u32,
    ) -> Result<UpstreamId, Report<FleetError>> {
        let upstream = self.spawn_upstream(service, index).await?;
        let id = upstream.id.clone();
        self.upstreams.insert(id.clone(), upstream);
        Ok(id)
    }

    /// Drains an upstream: SIGTERM, then its end; keeps its ledger.
    ///
    /// # Errors
    /// It does not end well.
    pub async fn drain_upstream(&mut self, id: &UpstreamId) -> Result<(), Report<FleetError>> {
        let unknown = || FleetError::Unknown { name: id.to_string() };
        let mut upstream = self.upstreams.remove(id).ok_or_else(unknown)?;
        let ledger = upstream.drain(&self.client).await?;
        self.ended_ledgers.push(ledger);
        Ok(())
    }

    /// SIGTERM to an entry host; waits for exit code 0, starts it again on the same
    /// addresses and waits until it is ready.
    ///
    /// # Errors
    /// It does not end well or does not come up again.
    pub async fn restart_entry_host(&mut self, index: usize) -> Result<(), Report<FleetError>> {
        self.entry_hosts[index].process.stop().await?;
        self.start_again(index).await
    }

    /// Starts an entry host again that has ended, and waits until it is ready.
    ///
    /// # Errors
    /// It does not come up.
    pub async fn start_again(&mut self, index: usize) -> Result<(), Report<FleetError>> {
        let host = &mut self.entry_hosts[index];
        host.restart(&self.binaries, self.dir.path()).await?;
        self.ready(index).await
    }

    /// Publishes the base that follows from the plan and the upstreams that run.
    ///
    /// # Errors
    /// It is not taken.
    pub async fn publish_base(&self) -> Result<(), Report<FleetError>> {
        let base = self.plan.base(&self.upstream_addresses());
        self.config_service.publish_base(&self.client, &base).await
    }

    /// Publishes this site's overlay; returns its version.
    ///
    /// # Errors
    /// It is not taken.
    pub async fn publish_overlay(
        &self,
        overlay: &impl Serialize,
    ) -> Result<Version, Report<FleetError>> {
        self.config_service.publish_overlay(&self.client, &self.plan.site, overlay).await
    }

    /// Waits until an overlay, or a newer one, is in force at every entry host.
    ///
    /// # Errors
    /// It is not, for a long time.
    pub async fn overlay_in_force(&self, version: Version) -> Result<(), Report<FleetError>> {
        for host in &self.entry_hosts {
            let condition = format!("overlay {version} is in force at {}", host.settings.host);
            let in_force = async || {
                host.versions(&self.client).await.is_ok_and(|found| found.overlay >= version)
            };
            wait_until(&condition, LIMIT, in_force).await?;
        }
        Ok(())
    }

    /// Publishes the list of all entry hosts, some of them as leaving.
    ///
    /// # Errors
    /// It is not taken.
    pub async fn publish_host_list(
        &mut self,
        leaving: &[HostId],
    ) -> Result<(), Report<FleetError>> {
        self.list_version = Version(self.list_version.0 + 1);
        for (half, host_list) in self.host_lists.iter().enumerate() {
            let hosts = (0..self.entry_hosts.len()).map(|i| self.listed(i, half, leaving));
            let list = HostList { version: self.list_version, hosts: hosts.collect() };
            host_list.publish(&self.client, &self.plan.site, &list).await?;
        }
        Ok(())
    }

    /// Cuts the halves of a relayed site from each other, or connects them again.
    pub fn cut_halves(&self, cut: bool) {
        self.relays.iter().for_each(|relay| relay.set_cut(cut));
    }

    /// Waits until every entry host is ready.
    ///
    /// # Errors
    /// One is not, for a long time.
    pub async fn all_ready(&self) -> Result<(), Report<FleetError>> {
        for index in 0..self.entry_hosts.len() {
            self.ready(index).await?;
        }
        Ok(())
    }

    /// Where the upstreams listen.
    pub fn upstream_addresses(&self) -> BTreeMap<UpstreamId, SocketAddr> {
        self.upstreams.iter().map(|(id, upstream)| (id.clone(), upstream.address)).collect()
    }

    /// Runs by request id, of all upstreams, the drained ones included.
    ///
    /// # Errors
    /// One does not answer.
    pub async fn ledgers(&self) -> Result<Vec<BTreeMap<String, u64>>, Report<FleetError>> {
        let mut ledgers = self.ended_ledgers.clone();
        for upstream in self.upstreams.values() {
            ledgers.push(upstream.ledger(&self.client).await?);
        }
        Ok(ledgers)
    }

    /// How one half sees an entry host: its own half directly, the other over the relay.
    fn listed(&self, index: usize, half: usize, leaving: &[HostId]) -> ListedHost {
        let host = &self.entry_hosts[index];
        let listed = host.listed(leaving.contains(&host.settings.host));
        match self.relays.get(index) {
            Some(relay) if self.plan.half(index as u32) != half => {
                ListedHost { peer_address: relay.address, ..listed }
            }
            _ => listed,
        }
    }

    async fn ready(&self, index: usize) -> Result<(), Report<FleetError>> {
        let host = &self.entry_hosts[index];
        let condition = format!("{} is ready", host.settings.host);
        wait_until(&condition, LIMIT, async || host.is_ready(&self.client).await)
            .await
            .attach_with(|| host.process.log_tail())
    }

    async fn start_upstreams(&mut self) -> Result<(), Report<FleetError>> {
        for service in self.plan.services.clone() {
            let starts = (0..service.upstreams).map(|index| self.spawn_upstream(&service, index));
            for upstream in try_join_all(starts).await? {
                self.upstreams.insert(upstream.id.clone(), upstream);
            }
        }
        Ok(())
    }

    async fn spawn_upstream(
        &self,
        service: &ServicePlan,
        index: u32,
    ) -> Result<UpstreamProcess, Report<FleetError>> {
        UpstreamProcess::start(
            &self.binaries,
            self.dir.path(),
            service.upstream_id(index),
            &self.plan.zone(index),
            &service.upstream,
            self.plan.zone_delay_ms,
            u64::from(index),
        )
        .await
    }

    async fn start_entry_hosts(&mut self) -> Result<(), Report<FleetError>> {
        let starts = (0..self.plan.entry_hosts).map(|index| self.spawn_entry_host(index));
        self.entry_hosts = try_join_all(starts).await?;
        if self.plan.relayed {
            let peers = self.entry_hosts.iter().map(|host| host.settings.peer_address);
            self.relays = try_join_all(peers.map(Relay::start)).await?;
        }
        Ok(())
    }

    async fn spawn_entry_host(&self, index: u32) -> Result<EntryHostProcess, Report<FleetError>> {
        let name = format!("e{}", index + 1);
        let host = name.parse().map_err(|_| FleetError::Unknown { name })?;
        let settings = Settings {
            drain_notice_ms: self.plan.drain_notice_ms,
            ..Settings::new(
                host,
                self.plan.site.clone(),
                self.plan.zone(index),
                self.config_service.address,
                self.host_lists[self.plan.half(index)].address,
            )
        };
        EntryHostProcess::start(&self.binaries, self.dir.path(), settings).await
    }
}
