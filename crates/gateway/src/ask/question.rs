//! One question to one upstream, and what is noted of it.

use crate::backpressure;
use crate::connection::{Connection, Expected};
use crate::event_log::{AnswerTo, LogEvent};
use crate::host::Host;
use crate::http1::HeadFields;
use dispatch::backpressure::ResponseKind;
use dispatch::{LoadReport, ProbeFailure};
use domain::{Millis, ServiceName, UpstreamId};
use published::RunStart;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Longest time to open a connection: some round trips between availability zones.
const CONNECT: Duration = Duration::from_millis(250);

/// Longest time for an answer to a question; after it the upstream counts as silent.
const ASK_LIMIT: Duration = Duration::from_millis(400);

/// Which part of the health checks pays for a question.
#[derive(Debug, Clone, Copy)]
pub(super) enum CheckBudget {
    /// What all hosts share.
    Own,
    /// What the hosts of an upstream's availability zone share.
    Neighbours,
}

pub(super) fn note_reply(host: &Host, (upstream, run): (&UpstreamId, RunStart), is_well: bool) {
    let now_ms = host.now_ms();
    let mut upstreams = host.upstreams.borrow_mut();
    let Some(known) = upstreams.get_run_mut(upstream, run) else { return };
    match is_well {
        true => known.record_probe_success(),
        false => known.record_probe_failure(now_ms, ProbeFailure::Unwell),
    }
}

pub(super) fn note_failure(
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

/// Asks an upstream for the schedulers of this host; false if no question is left.
pub async fn refresh(host: &Rc<Host>, upstream: &UpstreamId) -> bool {
    let may_ask = host.placing.asks.borrow_mut().try_spend(host.now_ms(), upstream, 1.0);
    let known = host.upstreams.borrow().get(upstream).map(|known| known.entry.service.clone());
    let Some(service) = known.filter(|_| may_ask) else { return false };
    if let Some((connection, _)) = ask_within_limit(host, &service, upstream).await {
        host.pool.borrow_mut().put(upstream, connection);
    }
    true
}

pub(super) fn may_ask(
    host: &Host,
    service: &ServiceName,
    upstream: &UpstreamId,
    budget: CheckBudget,
) -> bool {
    let (upstreams, fleet) = (host.upstreams.borrow(), host.fleet_size());
    let (budget, sharing) = match budget {
        CheckBudget::Own => (&host.asks, upstreams.probing_hosts(service, upstream, fleet)),
        CheckBudget::Neighbours => {
            (&host.neighbours_asks, upstreams.probing_hosts_in_zone(service, fleet))
        }
    };
    budget.borrow_mut().try_spend(host.now_ms(), upstream, sharing)
}

/// Asks, and notes what came of it; the connection, and whether the upstream is well.
pub(super) async fn ask_within_limit(
    host: &Rc<Host>,
    service: &ServiceName,
    upstream: &UpstreamId,
) -> Option<(Connection, bool)> {
    let run = host.upstreams.borrow().current_run(upstream);
    let asking = question(host, service, (upstream, run));
    let result = clock::timeout(ASK_LIMIT, asking).await;
    match result.unwrap_or(Err(ProbeFailure::TimedOut)) {
        Ok(Reply { connection, is_well }) => {
            note_reply(host, (upstream, run), is_well);
            Some((connection, is_well))
        }
        Err(failure) => {
            note_failure(host, (upstream, run), failure);
            None
        }
    }
}

struct Reply {
    connection: Connection,
    is_well: bool,
}

async fn question(
    host: &Rc<Host>,
    service: &ServiceName,
    (upstream, run): (&UpstreamId, RunStart),
) -> Result<Reply, ProbeFailure> {
    let path = health_path(host, service);
    let kept = host.pool.borrow_mut().take(upstream, run);
    if let Some(mut connection) = kept {
        match exchange(host, &mut connection, (upstream, run), &path).await {
            Ok(is_well) => return Ok(Reply { connection, is_well }),
            // A kept connection may have been forgotten; a question is harmless to repeat.
            Err(ProbeFailure::Unreachable) => {}
            Err(failure) => return Err(failure),
        }
    }
    let mut connection = open(host, upstream).await?;
    let is_well = exchange(host, &mut connection, (upstream, run), &path).await?;
    Ok(Reply { connection, is_well })
}

/// Opens a connection to an upstream.
pub(super) async fn open(
    host: &Rc<Host>,
    upstream: &UpstreamId,
) -> Result<Connection, ProbeFailure> {
    let entry = host.upstreams.borrow().get(upstream).map(|known| Arc::clone(&known.entry));
    let entry = entry.ok_or(ProbeFailure::Unreachable)?;
    host.metrics.connected();
    let connection = Connection::open(entry.address, CONNECT).await;
    connection.map(|open| open.belonging_to(entry.run)).map_err(|_| ProbeFailure::Unreachable)
}

pub(super) fn health_path(host: &Host, service: &ServiceName) -> String {
    let table = host.table.borrow();
    let settings = table.as_ref().and_then(|table| table.service(service));
    settings.map_or_else(|| "/healthz".to_owned(), |settings| settings.health_path.clone())
}

pub(super) async fn exchange(
    host: &Rc<Host>,
    connection: &mut Connection,
    (upstream, run): (&UpstreamId, RunStart),
    path: &str,
) -> Result<bool, ProbeFailure> {
    host.metrics.asked();
    let request = format!("GET {path} HTTP/1.1\r\nhost: upstream\r\n\r\n");
    let id = Some((host.dialect.request_id, ""));
    let expected = Expected { has_body: true, id, silence: None };
    let answer = connection.exchange(request.as_bytes(), expected).await;
    let answer = answer.map_err(|_| ProbeFailure::Unreachable)?;
    host.note_unread(upstream, &answer.head.fields, AnswerTo::HealthCheck);
    let is_other = |id: &str| id != upstream.as_str();
    if answer.head.fields.get(host.dialect.upstream).is_some_and(is_other) {
        return Err(ProbeFailure::OtherUpstream);
    }
    if let Some(report) = read_load(host, &answer.head.fields) {
        note_report(host, (upstream, run), report);
    }
    note_cold(host, (upstream, run), &answer.head.fields);
    let said = backpressure::read_fields(host, upstream, &answer.head.fields);
    backpressure::note(host, (upstream, run), ResponseKind::HealthCheck, said);
    Ok(answer.head.status == 200)
}

/// Load that an answer tells, if any.
pub fn read_load(host: &Host, fields: &HeadFields) -> Option<LoadReport> {
    fields.get(host.dialect.load).and_then(host.dialect.read_load)
}

/// Notes what a run of an upstream told of its load.
pub fn note_report(host: &Host, upstream: (&UpstreamId, RunStart), report: LoadReport) {
    let now_ms: Millis = host.now_ms();
    host.upstreams.borrow_mut().record_report(now_ms, upstream, report);
}

/// Notes whether a run of an upstream is cold, as its answer to a health check tells: one that is
/// warm leaves the mark out.
fn note_cold(host: &Host, upstream_run: (&UpstreamId, RunStart), fields: &HeadFields) {
    let upstream = upstream_run.0;
    let told = fields.get(host.dialect.cold_ms);
    let left_ms = told.and_then(|text| text.parse().ok()).map(Millis);
    if told.is_some() && left_ms.is_none() {
        let value = told.unwrap_or_default();
        return host.note_unreadable(upstream, host.dialect.cold_ms, value.as_bytes());
    }
    host.upstreams.borrow_mut().record_warmup_left(host.now_ms(), upstream_run, left_ms);
}
