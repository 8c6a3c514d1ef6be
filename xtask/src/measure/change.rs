//! What happens to a site while it is measured.

use crate::error::TaskError;
use domain::Millis;
use error_stack::{Report, ResultExt};
use fleet::{FleetError, ServicePlan, Site, SitePlan, UpstreamPlan};
use serde_json::{Value, json};
use std::time::Duration;

const COLD_START_MS: Millis = Millis(5000);
const KILLED_HOST: usize = 0;
const REPLACED_UPSTREAMS: u32 = 3;

/// What happens to a site while it is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// One more upstream per service, which starts cold.
    ColdStart,
    /// Upstreams of the first service are replaced one after the other.
    RollingDrain,
    /// An entry host is killed, and started again later.
    KillHost,
    /// Half of the entry hosts are cut from the others, and connected again later.
    CutHalf,
}

impl Change {
    /// Carries the change out: it begins after a third of `span`.
    pub async fn carry_out(self, site: &mut Site, span: Duration) -> Result<(), Report<TaskError>> {
        let third = span / 3;
        tokio::time::sleep(third).await;
        let done = match self {
            Change::None => Ok(()),
            Change::ColdStart => start_cold(site).await,
            Change::RollingDrain => replace_upstreams(site).await,
            Change::KillHost => kill_host(site, third).await,
            Change::CutHalf => cut_half(site, third).await,
        };
        done.change_context(TaskError::Change)
    }
}

async fn start_cold(site: &mut Site) -> Result<(), Report<FleetError>> {
    let mut overlay = json!({ "services": {} });
    for service in site.plan.services.clone() {
        let upstream = UpstreamPlan { cold_start_ms: COLD_START_MS, ..service.upstream.clone() };
        let cold = ServicePlan { upstream, ..service.clone() };
        add_upstream(site, &cold, cold.upstreams, &mut overlay).await?;
    }
    site.publish_overlay(&overlay).await.map(drop)
}

/// A new upstream joins, then an old one leaves.
async fn replace_upstreams(site: &mut Site) -> Result<(), Report<FleetError>> {
    let service = site.plan.services[0].clone();
    let mut overlay = json!({ "services": {} });
    for index in 0..REPLACED_UPSTREAMS.min(service.upstreams) {
        add_upstream(site, &service, service.upstreams + index, &mut overlay).await?;
        site.publish_overlay(&overlay).await?;
        site.drain_upstream(&service.upstream_id(index)).await?;
    }
    Ok(())
}

async fn kill_host(site: &mut Site, down: Duration) -> Result<(), Report<FleetError>> {
    site.entry_hosts[KILLED_HOST].process.kill().await?;
    tokio::time::sleep(down).await;
    site.start_again(KILLED_HOST).await
}

async fn cut_half(site: &mut Site, apart: Duration) -> Result<(), Report<FleetError>> {
    site.cut_halves(true);
    tokio::time::sleep(apart).await;
    site.cut_halves(false);
    Ok(())
}

async fn add_upstream(
    site: &mut Site,
    service: &ServicePlan,
    index: u32,
    overlay: &mut Value,
) -> Result<(), Report<FleetError>> {
    let id = site.start_upstream(service, index).await?;
    let upstream = upstream_json(&site.plan, service, index, site.upstreams[&id].address);
    overlay["services"][service.service.as_str()]["upstreams"][id.as_str()] = upstream;
    Ok(())
}

fn upstream_json(
    plan: &SitePlan,
    service: &ServicePlan,
    index: u32,
    address: std::net::SocketAddr,
) -> Value {
    json!(plan.upstream(service, index, address))
}
