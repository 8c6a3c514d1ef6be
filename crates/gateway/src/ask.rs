//! Asking upstreams just before a request is sent.
//!
//! What is known of an upstream is worth nothing after some hundred milliseconds, and a
//! host sees too few answers to know more. So a few candidates are asked for their load on
//! their health path, and the best takes the request, on the very connection that just
//! answered: that also proves the connection alive. A question that isn't answered in time
//! goes on in the background and is learned from.

use crate::connection::{Connection, Expected};
use crate::event_log::LogEvent;
use crate::host::Host;
use dispatch::{
    ASKED_AT_ONCE, AT_ONCE, AskFailure, Candidate, GOOD_ENOUGH, LoadReport, ROUNDS, Reach,
    UNWELL_COST,
};
use domain::{Millis, ServiceName, UpstreamId};
use published::Repeat;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Longest time to open a connection: some round trips between availability zones.
const CONNECT: Duration = Duration::from_millis(250);

/// Longest time for an answer to a question; after it the upstream counts as silent.
const ASK_LIMIT: Duration = Duration::from_millis(400);

/// Once one upstream answered, the others are waited for so long: a round trip between
/// availability zones, with a new connection.
const OTHERS: Duration = Duration::from_millis(5);

/// Longest wait for the first answer.
const FIRST: Duration = Duration::from_millis(120);

/// Longest time for an answer on a connection that was idle for long.
const PROVE_LIMIT: Duration = Duration::from_millis(25);

/// Without asking, a connection that was used within this time is taken to be alive.
const UNASKED_IDLE: Duration = Duration::from_millis(300);

/// The same for a request that may be sent once more, as long as no question is left to ask:
/// an upstream states seconds, and a new connection costs a round trip.
const UNASKED_IDLE_REPEATABLE: Duration = Duration::from_secs(3);

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

/// Which part of the health checks pays for a question.
#[derive(Debug, Clone, Copy)]
enum Purse {
    /// What all hosts share.
    Own,
    /// What the hosts of an upstream's availability zone share.
    Neighbours,
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
    for round in ROUNDS {
        let candidates = next_candidates(host, service, &mut excluded, round);
        if candidates.is_empty() {
            break;
        }
        asked += candidates.len();
        let (chosen, replies) = ask_round(host, service, candidates, Purse::Own).await;
        answered += replies;
        best = better(host, best, chosen);
        if best.as_ref().is_some_and(|best| best.cost <= GOOD_ENOUGH) {
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
        let part = (ASKED_AT_ONCE, Reach::Near);
        let near = upstreams.to_ask(host.now_ms(), service, &[], part, &mut rng);
        near.into_iter().filter(|id| !upstreams.is_other_zone(id)).collect()
    };
    if candidates.is_empty() {
        return None;
    }
    let asked = candidates.len();
    let (chosen, answered) = ask_round(host, service, candidates, Purse::Neighbours).await;
    let chosen = chosen?;
    if chosen.connection.is_some() && chosen.cost <= AT_ONCE {
        return Some(Chosen { asked, answered, ..chosen });
    }
    chosen.put_back(host);
    None
}

fn next_candidates(
    host: &Host,
    service: &ServiceName,
    excluded: &mut Vec<UpstreamId>,
    round: &[(usize, Reach)],
) -> Vec<UpstreamId> {
    let upstreams = host.upstreams.borrow();
    let mut rng = host.rng.borrow_mut();
    let begin = excluded.len();
    for &part in round {
        let next = upstreams.to_ask(host.now_ms(), service, excluded, part, &mut rng);
        excluded.extend(next);
    }
    excluded[begin..].to_vec()
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
    purse: Purse,
) -> (Option<Chosen>, usize) {
    let (replies, mut asked) = mpsc::unbounded_channel();
    let mut open = candidates.len();
    for upstream in candidates {
        let (host, service) = (Rc::clone(host), service.clone());
        let replies = replies.clone();
        tokio::task::spawn_local(async move {
            let reply = ask(&host, &service, upstream, purse).await;
            if let Err(mpsc::error::SendError(unheard)) = replies.send(reply) {
                keep(&host, unheard);
            }
        });
    }
    drop(replies);
    let mut until = Instant::now() + FIRST;
    let mut best: Option<Chosen> = None;
    let mut answered = 0;
    while open > 0 {
        let Ok(Some(reply)) = tokio::time::timeout_at(until, asked.recv()).await else { break };
        open -= 1;
        answered += usize::from(matches!(reply.heard, Heard::Answer { .. }));
        best = better(host, best, weigh(host, reply));
        if best.as_ref().is_some_and(|best| best.cost <= AT_ONCE) {
            break;
        }
        if best.is_some() {
            until = until.min(Instant::now() + OTHERS);
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
    if !upstreams.takes_work(&asked.upstream) {
        return None;
    }
    let Candidate { upstream, work, cost } = upstreams.weigh(host.now_ms(), &asked.upstream)?;
    let cost = if is_well { cost } else { cost + UNWELL_COST };
    Some(Chosen { upstream, connection, work, cost, asked: 0, answered: 0 })
}

async fn ask(host: &Rc<Host>, service: &ServiceName, upstream: UpstreamId, purse: Purse) -> Asked {
    if !may_ask(host, service, &upstream, purse) {
        return Asked { upstream, heard: Heard::NotAsked };
    }
    let heard = match ask_within_limit(host, service, &upstream).await {
        Some((connection, is_well)) => Heard::Answer { connection, is_well },
        None => Heard::Failure,
    };
    Asked { upstream, heard }
}

fn note_reply(host: &Host, upstream: &UpstreamId, is_well: bool) {
    let now_ms = host.now_ms();
    let mut upstreams = host.upstreams.borrow_mut();
    let Some(known) = upstreams.get_mut(upstream) else { return };
    match is_well {
        true => known.note_asked(),
        false => known.note_ask_failed(now_ms, AskFailure::Unwell),
    }
}

fn note_failure(host: &Host, upstream: &UpstreamId, failure: AskFailure) {
    let now_ms = host.now_ms();
    if let Some(known) = host.upstreams.borrow_mut().get_mut(upstream) {
        known.note_ask_failed(now_ms, failure);
    }
    host.log.write(&LogEvent::AskFailed { upstream, failure });
}

/// A connection to an upstream that was chosen without being asked. Opened now, not for each
/// candidate: that halved the connections that a fleet of 110 hosts opened under bursts.
pub async fn connect(host: &Rc<Host>, upstream: &UpstreamId, repeat: Repeat) -> Option<Connection> {
    let kept = host.pool.borrow_mut().take(upstream);
    let trusted = match repeat {
        Repeat::Idempotent => UNASKED_IDLE_REPEATABLE,
        Repeat::AtMostOnce => UNASKED_IDLE,
    };
    match kept {
        Some(connection) if connection.idle() < trusted && !connection.is_doubtful() => {
            return Some(connection);
        }
        Some(connection) => {
            if let Some(connection) = prove(host, upstream, connection).await {
                return Some(connection);
            }
        }
        None => {}
    }
    match open(host, upstream).await {
        Ok(connection) => Some(connection),
        Err(failure) => {
            note_failure(host, upstream, failure);
            None
        }
    }
}

/// Asks on a connection that was idle for long, if a question is left: an answer proves it
/// alive for a fraction of the price of a new one.
async fn prove(
    host: &Host,
    upstream: &UpstreamId,
    mut connection: Connection,
) -> Option<Connection> {
    let service = host.upstreams.borrow().get(upstream)?.entry.service.clone();
    if !may_ask(host, &service, upstream, Purse::Own) {
        return None;
    }
    let path = health_path(host, &service);
    let asking = exchange(host, &mut connection, upstream, &path);
    match tokio::time::timeout(PROVE_LIMIT, asking).await {
        Ok(Ok(is_well)) => {
            note_reply(host, upstream, is_well);
            Some(connection)
        }
        // It was forgotten; the upstream itself may be sound.
        Ok(Err(_)) | Err(_) => None,
    }
}

/// Asks an upstream for the schedulers of this host; false if no question is left.
pub async fn refresh(host: &Rc<Host>, upstream: &UpstreamId) -> bool {
    let may_ask = host.placing.asks.borrow_mut().take(host.now_ms(), upstream, 1.0);
    let known = host.upstreams.borrow().get(upstream).map(|known| known.entry.service.clone());
    let Some(service) = known.filter(|_| may_ask) else { return false };
    if let Some((connection, _)) = ask_within_limit(host, &service, upstream).await {
        host.pool.borrow_mut().put(upstream, connection);
    }
    true
}

fn may_ask(host: &Host, service: &ServiceName, upstream: &UpstreamId, purse: Purse) -> bool {
    let (upstreams, fleet) = (host.upstreams.borrow(), host.fleet_shape());
    let (budget, sharing) = match purse {
        Purse::Own => (&host.asks, upstreams.sharing_hosts(service, upstream, fleet)),
        Purse::Neighbours => (&host.neighbours_asks, upstreams.sharing_neighbours(service, fleet)),
    };
    budget.borrow_mut().take(host.now_ms(), upstream, sharing)
}

/// Asks, and notes what came of it; the connection, and whether the upstream is well.
async fn ask_within_limit(
    host: &Rc<Host>,
    service: &ServiceName,
    upstream: &UpstreamId,
) -> Option<(Connection, bool)> {
    let asking = question(host, service, upstream);
    let result = tokio::time::timeout(ASK_LIMIT, asking).await;
    match result.unwrap_or(Err(AskFailure::Silent)) {
        Ok(Reply { connection, is_well }) => {
            note_reply(host, upstream, is_well);
            Some((connection, is_well))
        }
        Err(failure) => {
            note_failure(host, upstream, failure);
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
    upstream: &UpstreamId,
) -> Result<Reply, AskFailure> {
    let path = health_path(host, service);
    let kept = host.pool.borrow_mut().take(upstream);
    if let Some(mut connection) = kept {
        match exchange(host, &mut connection, upstream, &path).await {
            Ok(is_well) => return Ok(Reply { connection, is_well }),
            // A kept connection may have been forgotten; a question is harmless to repeat.
            Err(AskFailure::Unreachable) => {}
            Err(failure) => return Err(failure),
        }
    }
    let mut connection = open(host, upstream).await?;
    let is_well = exchange(host, &mut connection, upstream, &path).await?;
    Ok(Reply { connection, is_well })
}

/// Opens a connection to an upstream.
pub async fn open(host: &Rc<Host>, upstream: &UpstreamId) -> Result<Connection, AskFailure> {
    let address = host.upstreams.borrow().get(upstream).map(|known| known.entry.address);
    let address = address.ok_or(AskFailure::Unreachable)?;
    host.metrics.connected();
    Connection::open(address, CONNECT).await.map_err(|_| AskFailure::Unreachable)
}

fn health_path(host: &Host, service: &ServiceName) -> String {
    let table = host.table.borrow();
    let settings = table.as_ref().and_then(|table| table.service(service));
    settings.map_or_else(|| "/healthz".to_owned(), |settings| settings.health_path.clone())
}

async fn exchange(
    host: &Host,
    connection: &mut Connection,
    upstream: &UpstreamId,
    path: &str,
) -> Result<bool, AskFailure> {
    host.metrics.asked();
    let request = format!("GET {path} HTTP/1.1\r\nhost: upstream\r\n\r\n");
    let id = Some((host.dialect.request_id, ""));
    let expected = Expected { has_body: true, id, silence: None };
    let answer = connection.exchange(request.as_bytes(), expected).await;
    let answer = answer.map_err(|_| AskFailure::Unreachable)?;
    let is_other = |id: &str| id != upstream.as_str();
    if answer.head.fields.get(host.dialect.upstream).is_some_and(is_other) {
        return Err(AskFailure::OtherUpstream);
    }
    if let Some(report) = read_load(host, &answer.head.fields) {
        note_report(host, upstream, report);
    }
    Ok(answer.head.status == 200)
}

/// Load that an answer tells, if any.
pub fn read_load(host: &Host, fields: &crate::http1::HeadFields) -> Option<LoadReport> {
    fields.get(host.dialect.load).and_then(host.dialect.read_load)
}

/// Notes what an upstream told of its load.
pub fn note_report(host: &Host, upstream: &UpstreamId, report: LoadReport) {
    let now_ms: Millis = host.now_ms();
    host.upstreams.borrow_mut().note_report(now_ms, upstream, report);
}
