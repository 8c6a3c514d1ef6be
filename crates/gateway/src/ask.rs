//! Asking upstreams just before a request is sent.
//!
//! What is known of an upstream is worth nothing after some hundred milliseconds, and a
//! host sees too few answers to know more. So a few candidates are asked for their load on
//! their health path, and the best takes the request, on the very connection that just
//! answered: that also proves the connection alive. A question that isn't answered in time
//! goes on in the background and is learned from.

mod connect;
mod question;

pub use connect::{connect, is_trusted};
pub use question::{note_report, read_load, refresh};

use crate::connection::Connection;
use crate::host::Host;
use clock::Moment;
use dispatch::{
    Candidate, GOOD_ENOUGH_COST, IMMEDIATE_COST, PROBE_ROUNDS, PROBES_PER_ROUND, UNHEALTHY_COST,
    ZoneScope,
};
use domain::{ServiceName, UpstreamId};
use question::{CheckBudget, ask_within_limit, may_ask};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Once one upstream answered, the others are waited for so long: a round trip between
/// availability zones, with a new connection.
const OTHERS: Duration = Duration::from_millis(5);

/// Longest wait for the first answer.
const FIRST: Duration = Duration::from_millis(120);

/// The upstream that takes a request.
#[derive(Debug)]
pub struct Chosen {
    /// Its id.
    pub upstream: UpstreamId,
    /// The connection on which it answered; none if it was not asked.
    pub connection: Option<Connection>,
    /// How long it would take, in times of the usual.
    pub work: f64,
    /// By which it was compared.
    pub cost: f64,
    /// How many were asked.
    pub asked: usize,
    /// How many answered.
    pub answered: usize,
}

#[derive(Debug)]
struct Asked {
    upstream: UpstreamId,
    heard: Heard,
}

/// What came of asking an upstream.
#[derive(Debug)]
enum Heard {
    /// It answered on this connection.
    Answer { connection: Connection, is_well: bool },
    /// No question was left: what is remembered has to do.
    NotAsked,
    /// It can't be reached, or is another one.
    Failure,
}

/// Asks candidates of a service and chooses one.
pub async fn choose(
    host: &Rc<Host>,
    service: &ServiceName,
    excluded: &[UpstreamId],
) -> Option<Chosen> {
    let mut excluded = excluded.to_vec();
    let mut best: Option<Chosen> = None;
    let (mut asked, mut answered) = (0, 0);
    for round in PROBE_ROUNDS {
        let candidates = next_candidates(host, service, &mut excluded, round);
        if candidates.is_empty() {
            break;
        }
        asked += candidates.len();
        let (chosen, replies) = ask_round(host, service, candidates, CheckBudget::Own).await;
        answered += replies;
        best = better(host, best, chosen);
        if best.as_ref().is_some_and(|best| best.cost <= GOOD_ENOUGH_COST) {
            break;
        }
    }
    best.map(|chosen| Chosen { asked, answered, ..chosen })
}

impl Chosen {
    /// It is not taken: its connection waits for its next use.
    pub fn put_back(self, host: &Host) {
        if let Some(connection) = self.connection {
            host.pool.borrow_mut().put(&self.upstream, connection);
        }
    }
}

/// Asks upstreams of the own availability zone, and takes one that is idle and not slowed.
pub async fn choose_idle_neighbour(host: &Rc<Host>, service: &ServiceName) -> Option<Chosen> {
    let candidates: Vec<UpstreamId> = {
        let upstreams = host.upstreams.borrow();
        let mut rng = host.rng.borrow_mut();
        let part = (PROBES_PER_ROUND, ZoneScope::Local);
        let pool = host.pool.borrow();
        let is_connected = |id: &UpstreamId| pool.holds(id);
        let held_back = host.held_back(&upstreams, service);
        let now_ms = host.now_ms();
        let near = upstreams.choose_probe_targets(
            now_ms,
            service,
            &held_back,
            part,
            is_connected,
            &mut rng,
        );
        near.into_iter().filter(|id| !upstreams.is_in_other_zone(id)).collect()
    };
    if candidates.is_empty() {
        return None;
    }
    let asked = candidates.len();
    let (chosen, answered) = ask_round(host, service, candidates, CheckBudget::Neighbours).await;
    let chosen = chosen?;
    if chosen.connection.is_some() && chosen.cost <= IMMEDIATE_COST {
        return Some(Chosen { asked, answered, ..chosen });
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
    let is_connected = |id: &UpstreamId| pool.holds(id);
    let now_ms = host.now_ms();
    // What is held back now may be asked in a later round.
    let mut left_out = [excluded.clone(), host.held_back(&upstreams, service)].concat();
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

async fn ask_round(
    host: &Rc<Host>,
    service: &ServiceName,
    candidates: Vec<UpstreamId>,
    budget: CheckBudget,
) -> (Option<Chosen>, usize) {
    let (replies, mut asked) = mpsc::unbounded_channel();
    let mut open = candidates.len();
    for upstream in candidates {
        let (host, service) = (Rc::clone(host), service.clone());
        let replies = replies.clone();
        tokio::task::spawn_local(async move {
            let reply = ask(&host, &service, upstream, budget).await;
            if let Err(mpsc::error::SendError(unheard)) = replies.send(reply) {
                keep(&host, unheard);
            }
        });
    }
    drop(replies);
    let mut until = Moment::now() + FIRST;
    let mut best: Option<Chosen> = None;
    let mut answered = 0;
    while open > 0 {
        let Ok(Some(reply)) = clock::timeout_at(until, asked.recv()).await else { break };
        open -= 1;
        answered += usize::from(matches!(reply.heard, Heard::Answer { .. }));
        best = better(host, best, weigh(host, reply));
        if best.as_ref().is_some_and(|best| best.cost <= IMMEDIATE_COST) {
            break;
        }
        if best.is_some() {
            until = until.min(Moment::now() + OTHERS);
        }
    }
    asked.close();
    while let Ok(unused) = asked.try_recv() {
        keep(host, unused);
    }
    (best, answered)
}

fn keep(host: &Host, asked: Asked) {
    if let Heard::Answer { connection, .. } = asked.heard {
        host.pool.borrow_mut().put(&asked.upstream, connection);
    }
}

fn weigh(host: &Host, asked: Asked) -> Option<Chosen> {
    let (connection, is_well) = match asked.heard {
        Heard::Answer { connection, is_well } => (Some(connection), is_well),
        Heard::NotAsked => (None, true),
        Heard::Failure => return None,
    };
    let upstreams = host.upstreams.borrow();
    if !upstreams.accepts_requests(&asked.upstream) {
        return None;
    }
    if !host.may_send(&upstreams, &asked.upstream) {
        drop(upstreams);
        connection.into_iter().for_each(|it| host.pool.borrow_mut().put(&asked.upstream, it));
        return None;
    }
    let Candidate { upstream, work, cost } =
        upstreams.estimate_cost(host.now_ms(), &asked.upstream)?;
    let cost = if is_well { cost } else { cost + UNHEALTHY_COST };
    Some(Chosen { upstream, connection, work, cost, asked: 0, answered: 0 })
}

async fn ask(
    host: &Rc<Host>,
    service: &ServiceName,
    upstream: UpstreamId,
    budget: CheckBudget,
) -> Asked {
    if !may_ask(host, service, &upstream, budget) {
        return Asked { upstream, heard: Heard::NotAsked };
    }
    let heard = match ask_within_limit(host, service, &upstream).await {
        Some((connection, is_well)) => Heard::Answer { connection, is_well },
        None => Heard::Failure,
    };
    Asked { upstream, heard }
}
