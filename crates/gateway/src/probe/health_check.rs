//! One probe of one upstream, and recording its result.

use super::open::{Check, open};
use crate::backpressure;
use crate::connection::{Connection, Expected, Sent};
use crate::event_log::{LogEvent, ResponseTo};
use crate::host::Host;
use crate::http1::HeadFields;
use crate::links;
use dispatch::backpressure::ResponseKind;
use dispatch::{LoadReport, ProbeFailure};
use domain::{Millis, ServiceName, UpstreamId};
use published::{RunStart, Upstream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for the response to a probe; after it the upstream counts as unresponsive.
const PROBE_LIMIT: Duration = Duration::from_millis(400);

/// Longest body of a response to a probe; none of it is read.
const MAX_PROBE_BODY_BYTES: usize = 8 * 1024;

/// Longest wait on an idle connection while no upstream responds to this host: the connection may
/// be dead.
const POOLED_LIMIT: Duration = Duration::from_millis(50);

/// The same for one that may be gone: half of the time of a look at it.
const NEW_PROBE_LIMIT: Duration = Duration::from_millis(30);

/// The budget that a probe is taken from.
#[derive(Debug, Clone, Copy)]
pub(super) enum ProbeBudgetKind {
    /// Shared by all hosts.
    Fleet,
    /// Shared by the hosts of the upstream's availability zone.
    LocalZone,
}

pub(super) fn record_result(
    host: &Host,
    (upstream, run): (&UpstreamId, RunStart),
    is_healthy: bool,
) {
    let now_ms = host.now_ms();
    let mut upstreams = host.upstreams.borrow_mut();
    let Some(known) = upstreams.get_run_mut(upstream, run) else { return };
    match is_healthy {
        true => known.record_probe_success(),
        false => known.record_probe_failure(now_ms, ProbeFailure::Unwell),
    }
}

pub(super) fn record_failure(
    host: &Host,
    (upstream, run): (&UpstreamId, RunStart),
    failure: ProbeFailure,
) {
    let now_ms = host.now_ms();
    if let Some(known) = host.upstreams.borrow_mut().get_run_mut(upstream, run) {
        known.record_probe_failure(now_ms, failure);
    }
    host.log.write(&LogEvent::AskFailed { upstream, failure });
}

/// Probes an upstream for this host's schedulers; false if their probe budget is spent
/// or the upstream is unknown.
pub async fn refresh(host: &Rc<Host>, upstream: &UpstreamId) -> bool {
    let is_allowed =
        host.placement.probe_budget.borrow_mut().try_spend(host.now_ms(), upstream, 1.0);
    let known = host.upstreams.borrow().get(upstream).map(|known| known.entry.service.clone());
    let Some(service) = known.filter(|_| is_allowed) else { return false };
    if let Some((connection, _)) = probe_within_limit(host, &service, upstream).await {
        host.pool.borrow_mut().put(upstream, connection);
    }
    true
}

/// Probes an upstream to learn whether this host reaches it, if the probe budget allows.
pub async fn check(host: &Rc<Host>, upstream: &UpstreamId) {
    let known = host.upstreams.borrow().get(upstream).map(|known| Arc::clone(&known.entry));
    let Some(entry) = known.filter(|entry| take_fleet_probe(host, entry)) else { return };
    if let Some((connection, _)) = probe_within_limit(host, &entry.service, upstream).await {
        host.pool.borrow_mut().put(upstream, connection);
    }
}

/// Takes a probe of this upstream from the budget; false if it is spent.
pub(super) fn take_probe(
    host: &Host,
    service: &ServiceName,
    upstream: &UpstreamId,
    budget: ProbeBudgetKind,
) -> bool {
    let (upstreams, fleet) = (host.upstreams.borrow(), host.fleet_size());
    let (budget, sharing) = match budget {
        ProbeBudgetKind::Fleet => {
            (&host.probe_budget, upstreams.probing_hosts(service, upstream, fleet))
        }
        ProbeBudgetKind::LocalZone => {
            (&host.zone_probe_budget, upstreams.probing_hosts_in_zone(service, fleet))
        }
    };
    budget.borrow_mut().try_spend(host.now_ms(), upstream, sharing)
}

/// Probes an upstream and records the result; returns the connection, and whether the upstream is
/// healthy.
pub(super) async fn probe_within_limit(
    host: &Rc<Host>,
    service: &ServiceName,
    upstream: &UpstreamId,
) -> Option<(Connection, bool)> {
    let run = host.upstreams.borrow().current_run(upstream);
    let probing = probe(host, service, (upstream, run));
    let result = clock::timeout(PROBE_LIMIT, probing).await;
    match result.unwrap_or(Err(ProbeFailure::TimedOut)) {
        Ok(ProbeResponse { connection, is_healthy }) => {
            record_result(host, (upstream, run), is_healthy);
            Some((connection, is_healthy))
        }
        Err(failure) => {
            record_failure(host, (upstream, run), failure);
            None
        }
    }
}

/// Who answers at an upstream's address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Responder {
    /// The upstream; assumed where the probe budget is spent.
    Published,
    /// Another upstream.
    Other,
    /// Nobody, in time.
    Nobody,
}

/// Finds out by a probe who answers on a new connection to an upstream.
pub async fn find_responder(
    host: &Rc<Host>,
    entry: &Upstream,
    mut connection: Connection,
) -> Responder {
    if take_probe(host, &entry.service, &entry.id, ProbeBudgetKind::Fleet) {
        let path = health_path(host, &entry.service);
        let probing = exchange(host, &mut connection, (&entry.id, entry.run), &path);
        match clock::timeout(NEW_PROBE_LIMIT, probing).await {
            Ok(Ok(_)) => {}
            Ok(Err(ProbeFailure::OtherUpstream)) => return Responder::Other,
            Ok(Err(_)) | Err(_) => return Responder::Nobody,
        }
    }
    host.pool.borrow_mut().put(&entry.id, connection);
    Responder::Published
}

/// A connection on which an upstream responded to a probe.
pub(super) struct ProbeResponse {
    pub(super) connection: Connection,
    pub(super) is_healthy: bool,
}

async fn probe(
    host: &Rc<Host>,
    service: &ServiceName,
    (upstream, run): (&UpstreamId, RunStart),
) -> Result<ProbeResponse, ProbeFailure> {
    let path = health_path(host, service);
    let pooled = host.pool.borrow_mut().take(upstream, run);
    if let Some(mut connection) = pooled {
        let exchanging = exchange(host, &mut connection, (upstream, run), &path);
        match within_pooled_limit(host, exchanging).await {
            Ok(is_healthy) => return Ok(ProbeResponse { connection, is_healthy }),
            // An idle connection may be dead; a probe is safe to repeat.
            Err(ProbeFailure::Unreachable) => {}
            Err(failure) => return Err(failure),
        }
    }
    open(host, (upstream, run), Check::Always).await
}

/// Waits for the response on an idle connection; gives up early if no upstream responds to this host
/// meanwhile.
async fn within_pooled_limit(
    host: &Host,
    exchanging: impl Future<Output = Result<bool, ProbeFailure>>,
) -> Result<bool, ProbeFailure> {
    let begun_ms = host.now_ms();
    let mut exchanging = std::pin::pin!(exchanging);
    match clock::timeout(POOLED_LIMIT, &mut exchanging).await {
        Ok(result) => result,
        Err(_) if host.links.borrow().has_responded_since(begun_ms) => exchanging.await,
        Err(_) => Err(ProbeFailure::Unreachable),
    }
}

/// Takes a probe of this upstream from the budget that all hosts share; false if it is spent.
pub(super) fn take_fleet_probe(host: &Host, entry: &Upstream) -> bool {
    take_probe(host, &entry.service, &entry.id, ProbeBudgetKind::Fleet)
}

pub(super) fn health_path(host: &Host, service: &ServiceName) -> String {
    let table = host.table.borrow();
    let settings = table.as_ref().and_then(|table| table.service(service));
    settings.map_or_else(|| "/healthz".to_owned(), |settings| settings.health_path.clone())
}

/// Sends a probe on a connection, and records what the response reports; true if the upstream is
/// healthy.
pub(super) async fn exchange(
    host: &Rc<Host>,
    connection: &mut Connection,
    (upstream, run): (&UpstreamId, RunStart),
    path: &str,
) -> Result<bool, ProbeFailure> {
    host.metrics.probe_sent();
    let request = format!("GET {path} HTTP/1.1\r\nhost: upstream\r\n\r\n");
    let naming = Some(host.dialect.naming(Sent::Probe));
    let max_body_bytes = MAX_PROBE_BODY_BYTES;
    let expected = Expected { has_body: true, max_body_bytes, naming, read_timeouts: None };
    let response = connection.exchange(request.as_bytes(), expected).await;
    let response = response.map_err(|_| ProbeFailure::Unreachable)?;
    links::record_response(host, upstream, connection);
    host.log_unread_headers(upstream, &response.head.fields, ResponseTo::HealthCheck);
    let is_other = |id: &str| id != upstream.as_str();
    if response.head.fields.get(host.dialect.upstream).is_some_and(is_other) {
        return Err(ProbeFailure::OtherUpstream);
    }
    if let Some(report) = read_load(host, &response.head.fields) {
        record_report(host, (upstream, run), report);
    }
    record_cold(host, (upstream, run), &response.head.fields);
    let stated = backpressure::read_fields(host, upstream, &response.head.fields);
    backpressure::record(host, (upstream, run), ResponseKind::HealthCheck, stated);
    Ok(response.head.status == 200)
}

/// The load that a response reports, if any.
pub fn read_load(host: &Host, fields: &HeadFields) -> Option<LoadReport> {
    fields.get(host.dialect.load).and_then(host.dialect.parse_load)
}

/// Records a load report of a run of an upstream.
pub fn record_report(host: &Host, upstream: (&UpstreamId, RunStart), report: LoadReport) {
    let now_ms: Millis = host.now_ms();
    host.upstreams.borrow_mut().record_report(now_ms, upstream, report);
}

/// Records whether a run of an upstream is cold, as its response to a probe states: a warm one
/// leaves the header out.
fn record_cold(host: &Host, upstream_run: (&UpstreamId, RunStart), fields: &HeadFields) {
    let upstream = upstream_run.0;
    let stated = fields.get(host.dialect.cold_ms);
    let left_ms = stated.and_then(|text| text.parse().ok()).map(Millis);
    if stated.is_some() && left_ms.is_none() {
        let value = stated.unwrap_or_default();
        return host.log_malformed_header(upstream, host.dialect.cold_ms, value.as_bytes());
    }
    host.upstreams.borrow_mut().record_warmup_left(host.now_ms(), upstream_run, left_ms);
}
