//! Connections to upstreams that were chosen without being probed.

use super::health_check::{
    ProbeBudgetKind, exchange, health_path, record_failure, record_result, take_probe,
};
use super::open::{Check, open};
use crate::connection::Connection;
use crate::host::Host;
use crate::links;
use dispatch::ProbeFailure;
use domain::UpstreamId;
use published::{Idempotency, RunStart};
use std::rc::Rc;
use std::time::Duration;

/// Longest wait for the response to a probe that verifies a pooled connection.
const VERIFY_LIMIT: Duration = Duration::from_millis(25);

/// A connection that was used within this time is taken to be alive without a probe.
const UNPROBED_IDLE: Duration = Duration::from_millis(300);

/// The same for a request that may be retried. Upstreams keep idle connections open for seconds,
/// and a new connection costs a round trip.
const UNPROBED_IDLE_IDEMPOTENT: Duration = Duration::from_secs(3);

/// Returns a connection to an upstream that was chosen without being probed. It is opened only
/// now, so that no connections are opened to candidates that aren't chosen.
pub async fn connect(
    host: &Rc<Host>,
    upstream: &UpstreamId,
    idempotency: Idempotency,
) -> Result<Connection, ProbeFailure> {
    let run = host.upstreams.borrow().current_run(upstream);
    let pooled = host.pool.borrow_mut().take(upstream, run);
    match pooled.filter(|connection| connection.suits(idempotency)) {
        Some(connection)
            if is_trusted(&connection, idempotency)
                && !connection.is_doubtful()
                && !links::is_suspect(host, upstream, &connection) =>
        {
            return Ok(connection);
        }
        Some(connection) => {
            let verified = verify(host, (upstream, run), connection).await;
            if let Some(connection) = verified.filter(|it| it.suits(idempotency)) {
                return Ok(connection);
            }
        }
        None => {}
    }
    let opened = open(host, (upstream, run), Check::IfDoubtful).await;
    opened
        .and_then(|opened| match opened.connection.suits(idempotency) {
            true => Ok(opened.connection),
            false => Err(ProbeFailure::Unwell),
        })
        .inspect_err(|failure| record_failure(host, (upstream, run), *failure))
}

/// Whether a connection was used so recently that it is taken to be alive without a probe. Checked
/// again right before sending: the machine may have been suspended since the connection was chosen.
pub fn is_trusted(connection: &Connection, idempotency: Idempotency) -> bool {
    let trusted = match idempotency {
        Idempotency::Idempotent => UNPROBED_IDLE_IDEMPOTENT,
        Idempotency::AtMostOnce => UNPROBED_IDLE,
    };
    connection.idle() < trusted
}

/// Probes on a connection that was idle for long or whose last response was an error, if the
/// budget allows: that is cheaper than opening a new one.
async fn verify(
    host: &Rc<Host>,
    (upstream, run): (&UpstreamId, RunStart),
    mut connection: Connection,
) -> Option<Connection> {
    let service = host.upstreams.borrow().get(upstream)?.entry.service.clone();
    if !take_probe(host, &service, upstream, ProbeBudgetKind::Fleet) {
        return None;
    }
    let path = health_path(host, &service);
    let probing = exchange(host, &mut connection, (upstream, run), &path);
    match clock::timeout(VERIFY_LIMIT, probing).await {
        Ok(Ok(is_healthy)) => {
            record_result(host, (upstream, run), is_healthy);
            Some(connection)
        }
        // The connection is dead; the upstream itself may be healthy.
        Ok(Err(_)) | Err(_) => None,
    }
}
