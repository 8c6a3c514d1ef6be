//! Connections to upstreams that were chosen without being asked.

use super::question::{
    CheckBudget, exchange, health_path, may_ask, note_failure, note_reply, open,
};
use crate::connection::Connection;
use crate::host::Host;
use domain::UpstreamId;
use published::{Idempotency, RunStart};
use std::rc::Rc;
use std::time::Duration;

/// Longest time for an answer on a connection that was idle for long.
const PROVE_LIMIT: Duration = Duration::from_millis(25);

/// Without asking, a connection that was used within this time is taken to be alive.
const UNASKED_IDLE: Duration = Duration::from_millis(300);

/// The same for a request that may be sent once more, as long as no question is left to ask:
/// an upstream states seconds, and a new connection costs a round trip.
const UNASKED_IDLE_REPEATABLE: Duration = Duration::from_secs(3);

/// A connection to an upstream that was chosen without being asked. Opened now, not for each
/// candidate: that halved the connections that a fleet of 110 hosts opened under bursts.
pub async fn connect(
    host: &Rc<Host>,
    upstream: &UpstreamId,
    repeat: Idempotency,
) -> Option<Connection> {
    let run = host.upstreams.borrow().current_run(upstream);
    let kept = host.pool.borrow_mut().take(upstream, run);
    match kept {
        Some(connection) if is_trusted(&connection, repeat) && !connection.is_doubtful() => {
            return Some(connection);
        }
        Some(connection) => {
            if let Some(connection) = prove(host, (upstream, run), connection).await {
                return Some(connection);
            }
        }
        None => {}
    }
    match open(host, upstream).await {
        Ok(connection) => Some(connection),
        Err(failure) => {
            note_failure(host, (upstream, run), failure);
            None
        }
    }
}

/// Whether a connection was used so lately that it is taken to be alive without asking. Looked at
/// again as a request leaves: the machine may have been suspended since the connection was chosen.
pub fn is_trusted(connection: &Connection, repeat: Idempotency) -> bool {
    let trusted = match repeat {
        Idempotency::Idempotent => UNASKED_IDLE_REPEATABLE,
        Idempotency::AtMostOnce => UNASKED_IDLE,
    };
    connection.idle() < trusted
}

/// Asks on a connection that was idle for long, if a question is left: an answer proves it
/// alive for a fraction of the price of a new one.
async fn prove(
    host: &Rc<Host>,
    (upstream, run): (&UpstreamId, RunStart),
    mut connection: Connection,
) -> Option<Connection> {
    let service = host.upstreams.borrow().get(upstream)?.entry.service.clone();
    if !may_ask(host, &service, upstream, CheckBudget::Own) {
        return None;
    }
    let path = health_path(host, &service);
    let asking = exchange(host, &mut connection, (upstream, run), &path);
    match clock::timeout(PROVE_LIMIT, asking).await {
        Ok(Ok(is_well)) => {
            note_reply(host, (upstream, run), is_well);
            Some(connection)
        }
        // It was forgotten; the upstream itself may be sound.
        Ok(Err(_)) | Err(_) => None,
    }
}
