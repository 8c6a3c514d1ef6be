//! Opens connections to upstreams, directly or through a peer.
//!
//! A direct connection has a head start. Once that is over, or it failed, a peer is asked, too, and
//! whichever responds first is used. For an upstream that only peers reach, only they are asked.

use super::health_check::{ProbeResponse, exchange, health_path, take_fleet_probe};
use crate::connection::Connection;
use crate::host::Host;
use crate::links;
use crate::tunnel::{self, TunnelFailure};
use dispatch::{LinkState, ProbeFailure};
use domain::UpstreamId;
use published::{RunStart, Upstream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Longest time to open a connection: some round trips between availability zones.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);

/// Time after which a peer is asked, too: some round trips between availability zones.
const HEAD_START: Duration = Duration::from_millis(25);

/// Whether a new connection is probed before it is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Check {
    /// Always.
    Always,
    /// Only if this host's links are in doubt: a connection may open without leading anywhere.
    IfDoubtful,
}

/// Opens a connection to an upstream.
pub(super) async fn open(
    host: &Rc<Host>,
    (upstream, run): (&UpstreamId, RunStart),
    check: Check,
) -> Result<ProbeResponse, ProbeFailure> {
    let entry = host.upstreams.borrow().get(upstream).map(|known| Arc::clone(&known.entry));
    let entry = entry.filter(|entry| entry.run.is_same(run)).ok_or(ProbeFailure::Unreachable)?;
    let (state, is_detoured) = {
        let links = host.links.borrow();
        (links.state(&entry.service), links.is_detoured(&entry.service, upstream))
    };
    if is_detoured {
        return Box::pin(open_tunnel(host, &entry, check == Check::Always)).await;
    }
    let is_checked =
        check == Check::Always || state == LinkState::Doubtful && take_fleet_probe(host, &entry);
    // Boxed, as all of this would be part of each request otherwise.
    let mut direct = Box::pin(open_directly(host, &entry, is_checked));
    match clock::timeout(HEAD_START, &mut direct).await {
        Ok(Err(failure)) if is_of_path(failure) => Box::pin(through_peer(host, &entry)).await,
        Ok(result) => result,
        Err(_) => {
            let mut tunnelled = Box::pin(open_tunnel(host, &entry, true));
            tokio::select! {
                biased;
                result = &mut direct => match result {
                    Err(failure) if is_of_path(failure) => {
                        links::record_unreached(host, upstream);
                        reached_by_peer(host, &entry, tunnelled.await)
                    }
                    result => result,
                },
                result = &mut tunnelled => match result {
                    Ok(opened) => {
                        links::record_unreached(host, upstream);
                        reached_by_peer(host, &entry, Ok(opened))
                    }
                    Err(_) => direct.await.inspect_err(|failure| {
                        if is_of_path(*failure) {
                            links::record_unreached(host, upstream);
                        }
                    }),
                },
            }
        }
    }
}

/// Opens a connection through a peer, after a direct one failed.
async fn through_peer(host: &Rc<Host>, entry: &Upstream) -> Result<ProbeResponse, ProbeFailure> {
    links::record_unreached(host, &entry.id);
    let result = open_tunnel(host, entry, true).await;
    reached_by_peer(host, entry, result)
}

/// Records that a peer reached an upstream, if it did.
fn reached_by_peer(
    host: &Rc<Host>,
    entry: &Upstream,
    result: Result<ProbeResponse, ProbeFailure>,
) -> Result<ProbeResponse, ProbeFailure> {
    match result {
        Ok(opened) => {
            links::record_reached_by_peer(host, &entry.id);
            Ok(opened)
        }
        // No peer could tell more: what this host found stands, unless its links are down.
        Err(ProbeFailure::NoPath) if !links::are_down(host, &entry.service) => {
            Err(ProbeFailure::Unreachable)
        }
        Err(failure) => Err(failure),
    }
}

/// Whether a failure may be due to the links of this host.
fn is_of_path(failure: ProbeFailure) -> bool {
    match failure {
        ProbeFailure::Unreachable | ProbeFailure::TimedOut | ProbeFailure::NoPath => true,
        ProbeFailure::Unwell | ProbeFailure::OtherUpstream => false,
    }
}

/// Opens a direct connection, on which nothing is sent.
pub async fn connect_directly(
    host: &Rc<Host>,
    entry: &Upstream,
) -> Result<Connection, ProbeFailure> {
    host.metrics.connection_opened();
    let opened = Connection::open(entry.address, Some(host.own_ip()), CONNECT_LIMIT).await;
    opened.map(|open| open.with_run(entry.run)).map_err(|_| ProbeFailure::Unreachable)
}

/// Probes an upstream on a new direct connection, which goes to the pool.
pub async fn probe_directly(host: &Rc<Host>, entry: &Upstream) -> Result<(), ProbeFailure> {
    let opened = open_directly(host, entry, true).await?;
    host.pool.borrow_mut().put(&entry.id, opened.connection);
    Ok(())
}

async fn open_directly(
    host: &Rc<Host>,
    entry: &Upstream,
    is_checked: bool,
) -> Result<ProbeResponse, ProbeFailure> {
    let opening = async {
        let connection = connect_directly(host, entry).await?;
        check(host, entry, connection, is_checked).await
    };
    clock::timeout(CONNECT_LIMIT, opening).await.unwrap_or(Err(ProbeFailure::TimedOut))
}

async fn open_tunnel(
    host: &Rc<Host>,
    entry: &Upstream,
    is_checked: bool,
) -> Result<ProbeResponse, ProbeFailure> {
    let opening = async {
        let connection = tunnel::open(host, entry).await.map_err(|failure| match failure {
            TunnelFailure::Unreachable => ProbeFailure::Unreachable,
            TunnelFailure::NoRelay => ProbeFailure::NoPath,
        })?;
        check(host, entry, connection.with_run(entry.run), is_checked).await
    };
    clock::timeout(CONNECT_LIMIT, opening).await.unwrap_or(Err(ProbeFailure::NoPath))
}

/// Probes an upstream on a new connection, if wanted.
async fn check(
    host: &Rc<Host>,
    entry: &Upstream,
    mut connection: Connection,
    is_checked: bool,
) -> Result<ProbeResponse, ProbeFailure> {
    if !is_checked {
        return Ok(ProbeResponse { connection, is_healthy: true });
    }
    let path = health_path(host, &entry.service);
    let is_healthy = exchange(host, &mut connection, (&entry.id, entry.run), &path).await?;
    Ok(ProbeResponse { connection, is_healthy })
}
