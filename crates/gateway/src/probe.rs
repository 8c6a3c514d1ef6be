//! Probes upstreams just before a request is sent.
//!
//! A load report is outdated after some hundred milliseconds, and one host receives too few
//! responses to stay up to date. So a few candidates are probed for their load on their health
//! path, and the best one takes the request on the connection that it just answered on, which is
//! thereby known to be alive. A probe that isn't answered in time goes on in the background, and
//! its result is recorded.

mod connect;
mod health_check;
mod open;

pub use connect::{connect, is_trusted};
pub use health_check::{Responder, check, find_responder, read_load, record_report, refresh};
pub use open::{connect_directly, probe_directly};

use crate::connection::Connection;
use crate::host::Host;
use clock::Moment;
use dispatch::{
    Candidate, GOOD_ENOUGH_COST, IMMEDIATE_COST, PROBE_ROUNDS, PROBES_PER_ROUND, RouteKey,
    UNHEALTHY_COST, ZoneScope,
};
use domain::{ServiceName, UpstreamId};
use health_check::{ProbeBudgetKind, probe_within_limit, take_probe};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// After the first response, how long the others are waited for: a round trip between availability
/// zones, with a new connection.
const MORE_RESPONSES: Duration = Duration::from_millis(5);

/// Longest wait for the first response.
const FIRST_RESPONSE: Duration = Duration::from_millis(120);

/// The upstream that was chosen for a request.
#[derive(Debug)]
pub struct Chosen {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// The connection on which it answered; none if it was not probed.
    pub connection: Option<Connection>,
    /// Expected duration, as a multiple of the service's average.
    pub work: f64,
    /// Cost by which it was compared with others.
    pub cost: f64,
    /// Number of upstreams probed.
    pub probe_count: usize,
    /// Number of upstreams that answered.
    pub response_count: usize,
}

#[derive(Debug)]
struct Probed {
    upstream: UpstreamId,
    result: ProbeResult,
}

/// The result of probing an upstream.
#[derive(Debug)]
enum ProbeResult {
    /// The upstream answered on this connection.
    Response { connection: Connection, is_healthy: bool },
    /// The probe budget was spent: the upstream is judged by earlier reports.
    NotProbed,
    /// The upstream can't be reached, or another upstream has its address.
    Failure,
}

/// What upstreams are probed for: a request of a route to a service.
#[derive(Debug, Clone, Copy)]
pub struct ProbePurpose<'a> {
    /// Service that the request goes to.
    pub service: &'a ServiceName,
    /// Route, by which the request's cost is estimated.
    pub route: RouteKey,
}

/// Probes candidates of a service in rounds, and chooses the one with the lowest cost.
pub async fn choose(
    host: &Rc<Host>,
    purpose: ProbePurpose<'_>,
    excluded: &[UpstreamId],
) -> Option<Chosen> {
    let mut excluded = excluded.to_vec();
    let mut best: Option<Chosen> = None;
    let (mut probe_count, mut response_count) = (0, 0);
    for round in PROBE_ROUNDS {
        let candidates = next_candidates(host, purpose.service, &mut excluded, round);
        if candidates.is_empty() {
            break;
        }
        probe_count += candidates.len();
        let (chosen, responses) =
            probe_round(host, purpose, candidates, ProbeBudgetKind::Fleet).await;
        response_count += responses;
        best = better(host, best, chosen);
        if best.as_ref().is_some_and(|best| best.cost <= GOOD_ENOUGH_COST) {
            break;
        }
    }
    best.map(|chosen| Chosen { probe_count, response_count, ..chosen })
}

impl Chosen {
    /// Returns the connection to the pool; the upstream is not used.
    pub fn put_back(self, host: &Host) {
        if let Some(connection) = self.connection {
            host.pool.borrow_mut().put(&self.upstream, connection);
        }
    }
}

/// Probes upstreams of the local availability zone, and returns one that is idle and not slow.
pub async fn choose_idle_local(host: &Rc<Host>, purpose: ProbePurpose<'_>) -> Option<Chosen> {
    let service = purpose.service;
    let candidates: Vec<UpstreamId> = {
        let upstreams = host.upstreams.borrow();
        let mut rng = host.rng.borrow_mut();
        let part = (PROBES_PER_ROUND, ZoneScope::Local);
        let pool = host.pool.borrow();
        let is_connected = |id: &UpstreamId| pool.has_connection(id);
        let rate_limited = host.rate_limited_upstreams(&upstreams, service);
        let now_ms = host.now_ms();
        let local = upstreams.choose_probe_targets(
            now_ms,
            service,
            &rate_limited,
            part,
            is_connected,
            &mut rng,
        );
        local.into_iter().filter(|id| !upstreams.is_in_other_zone(id)).collect()
    };
    if candidates.is_empty() {
        return None;
    }
    let probe_count = candidates.len();
    let (chosen, response_count) =
        probe_round(host, purpose, candidates, ProbeBudgetKind::LocalZone).await;
    let chosen = chosen?;
    if chosen.connection.is_some() && chosen.cost <= IMMEDIATE_COST {
        return Some(Chosen { probe_count, response_count, ..chosen });
    }
    chosen.put_back(host);
    None
}

fn next_candidates(
    host: &Host,
    service: &ServiceName,
    excluded: &mut Vec<UpstreamId>,
    round: &[(usize, ZoneScope)],
) -> Vec<UpstreamId> {
    let upstreams = host.upstreams.borrow();
    let mut rng = host.rng.borrow_mut();
    let pool = host.pool.borrow();
    let is_connected = |id: &UpstreamId| pool.has_connection(id);
    let now_ms = host.now_ms();
    // Upstreams that may not get a request now may be probed in a later round.
    let mut left_out =
        [excluded.clone(), host.rate_limited_upstreams(&upstreams, service)].concat();
    let mut candidates = Vec::new();
    for &part in round {
        let next = upstreams.choose_probe_targets(
            now_ms,
            service,
            &left_out,
            part,
            is_connected,
            &mut rng,
        );
        left_out.extend_from_slice(&next);
        candidates.extend(next);
    }
    excluded.extend_from_slice(&candidates);
    candidates
}

fn better(host: &Host, best: Option<Chosen>, other: Option<Chosen>) -> Option<Chosen> {
    match (best, other) {
        (Some(best), Some(other)) if other.cost < best.cost => {
            best.put_back(host);
            Some(other)
        }
        (Some(best), Some(other)) => {
            other.put_back(host);
            Some(best)
        }
        (best, other) => best.or(other),
    }
}

async fn probe_round(
    host: &Rc<Host>,
    purpose: ProbePurpose<'_>,
    candidates: Vec<UpstreamId>,
    budget: ProbeBudgetKind,
) -> (Option<Chosen>, usize) {
    let (sender, mut results) = mpsc::unbounded_channel();
    let mut outstanding = candidates.len();
    for upstream in candidates {
        let (host, service) = (Rc::clone(host), purpose.service.clone());
        let sender = sender.clone();
        tokio::task::spawn_local(async move {
            let probed = probe(&host, &service, upstream, budget).await;
            if let Err(mpsc::error::SendError(unused)) = sender.send(probed) {
                return_to_pool(&host, unused);
            }
        });
    }
    drop(sender);
    let mut until = Moment::now() + FIRST_RESPONSE;
    let mut best: Option<Chosen> = None;
    let mut response_count = 0;
    while outstanding > 0 {
        let Ok(Some(probed)) = clock::timeout_at(until, results.recv()).await else { break };
        outstanding -= 1;
        response_count += usize::from(matches!(probed.result, ProbeResult::Response { .. }));
        best = better(host, best, evaluate(host, purpose.route, probed));
        if best.as_ref().is_some_and(|best| best.cost <= IMMEDIATE_COST) {
            break;
        }
        if best.is_some() {
            until = until.min(Moment::now() + MORE_RESPONSES);
        }
    }
    results.close();
    while let Ok(unused) = results.try_recv() {
        return_to_pool(host, unused);
    }
    (best, response_count)
}

fn return_to_pool(host: &Host, probed: Probed) {
    if let ProbeResult::Response { connection, .. } = probed.result {
        host.pool.borrow_mut().put(&probed.upstream, connection);
    }
}

fn evaluate(host: &Host, route: RouteKey, probed: Probed) -> Option<Chosen> {
    let (connection, is_healthy) = match probed.result {
        ProbeResult::Response { connection, is_healthy } => (Some(connection), is_healthy),
        ProbeResult::NotProbed => (None, true),
        ProbeResult::Failure => return None,
    };
    let upstreams = host.upstreams.borrow();
    if !upstreams.accepts_requests(&probed.upstream) {
        return None;
    }
    if !host.may_send(&upstreams, &probed.upstream) {
        drop(upstreams);
        connection.into_iter().for_each(|it| host.pool.borrow_mut().put(&probed.upstream, it));
        return None;
    }
    let Candidate { upstream, work, cost } =
        upstreams.estimate_cost(host.now_ms(), &probed.upstream, route)?;
    let cost = if is_healthy { cost } else { cost + UNHEALTHY_COST };
    Some(Chosen { upstream, connection, work, cost, probe_count: 0, response_count: 0 })
}

async fn probe(
    host: &Rc<Host>,
    service: &ServiceName,
    upstream: UpstreamId,
    budget: ProbeBudgetKind,
) -> Probed {
    if !take_probe(host, service, &upstream, budget) {
        return Probed { upstream, result: ProbeResult::NotProbed };
    }
    let result = match probe_within_limit(host, service, &upstream).await {
        Some((connection, is_healthy)) => ProbeResult::Response { connection, is_healthy },
        None => ProbeResult::Failure,
    };
    Probed { upstream, result }
}
