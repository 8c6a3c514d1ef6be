//! Asks upstreams for their health.

use clock::Clock;
use decision_core::{LoadReport, ProbeResult};
use domain::{Millis, Slots};
use reqwest::{Client, StatusCode};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Largest health report read.
const MAX_REPORT_BYTES: u64 = 4096;

/// Sends probes.
#[derive(Debug, Clone)]
pub struct Prober {
    client: Client,
    clock: Clock,
}

/// What the health endpoint says; fields of no use here are passed over.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
struct HealthReport {
    state: UpstreamState,
    busy: Option<u32>,
    queued: Option<u32>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum UpstreamState {
    Serving,
    Starting,
    Leaving,
}

impl Prober {
    /// Probes by `client`.
    pub fn new(client: Client, clock: Clock) -> Prober {
        Prober { client, clock }
    }

    /// Asks one upstream.
    pub async fn probe(&self, address: SocketAddr, timeout_ms: Millis) -> ProbeResult {
        let asked_ms = self.clock.now();
        match self.ask(address, Duration::from_millis(timeout_ms.0)).await {
            Some(report) if report.state != UpstreamState::Starting => ProbeResult::Alive {
                load: load(&report),
                leaving: report.state == UpstreamState::Leaving,
                latency_ms: self.clock.now().since(asked_ms),
            },
            _ => ProbeResult::Failed,
        }
    }

    async fn ask(&self, address: SocketAddr, timeout: Duration) -> Option<HealthReport> {
        let url = format!("http://{address}/health");
        let response = self.client.get(url).timeout(timeout).send().await.ok()?;
        let is_small = response.content_length().is_some_and(|bytes| bytes <= MAX_REPORT_BYTES);
        match response.status() {
            StatusCode::OK if is_small => response.json().await.ok(),
            _ => None,
        }
    }
}

fn load(report: &HealthReport) -> Option<LoadReport> {
    Some(LoadReport { busy: Slots(report.busy?), queued: report.queued? })
}
