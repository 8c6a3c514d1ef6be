//! Opens tunnels through peers.

use super::{PROTOCOL_HEADER, TUNNEL_HEADER, TUNNELS_HEADER, Tunnel, TunnelId};
use crate::connection::{Connection, Expected};
use crate::event_log::{LogEvent, TunnelProblem};
use crate::host::Host;
use crate::metrics::TunnelResult;
use crate::peers::codec::PROTOCOL;
use dispatch::relays::{MAX_RELAYS, RelayZones};
use domain::HostId;
use published::{Member, Upstream};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Longest wait for one peer: some round trips between availability zones, on a busy host.
const RELAY_LIMIT: Duration = Duration::from_millis(80);

/// Status by which a relay states that it can't reach the upstream.
const UNREACHABLE: u16 = 502;

/// The same, if that may be due to its own links or knowledge.
const DOUBTFUL: u16 = 504;

/// Why no tunnel was opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TunnelFailure {
    /// A peer that reaches other upstreams doesn't reach this one.
    Unreachable,
    /// No peer could help.
    NoRelay,
}

/// Opens a tunnel to an upstream through one peer after the other, until one can help.
pub async fn open(host: &Rc<Host>, entry: &Upstream) -> Result<Connection, TunnelFailure> {
    let mut asked: Vec<HostId> = Vec::new();
    while asked.len() < MAX_RELAYS {
        let Some((relay, address)) = choose_relay(host, entry, &asked) else { break };
        let id = TunnelId::new(host.settings.borrow().host.clone(), host.tunnel_ids.draw().0);
        match open_through(host, &relay, address, entry, id).await {
            Ok(connection) => return Ok(connection),
            Err(problem) => {
                host.log.write(&LogEvent::TunnelFailed {
                    upstream: &entry.id,
                    relay: &relay.host,
                    problem,
                });
                let now_ms = host.now_ms();
                match problem {
                    TunnelProblem::UpstreamUnreachable => {
                        host.metrics.tunnel_requested(TunnelResult::Unreachable);
                        return Err(TunnelFailure::Unreachable);
                    }
                    TunnelProblem::RelayDoubtful => {
                        host.relays.borrow_mut().record_doubtful(now_ms, &relay.host);
                    }
                    TunnelProblem::RelayRefused
                    | TunnelProblem::RelayUnreachable
                    | TunnelProblem::RelaySilent => {
                        host.relays.borrow_mut().record_failure(now_ms, &relay.host);
                    }
                }
            }
        }
        asked.push(relay.host);
    }
    host.metrics.tunnel_requested(TunnelResult::NoRelay);
    Err(TunnelFailure::NoRelay)
}

fn choose_relay(host: &Host, entry: &Upstream, asked: &[HostId]) -> Option<(Member, SocketAddr)> {
    let port = host.settings.borrow().tunnels?.port();
    let members = host.members();
    let own = members.own().availability_zone.clone();
    let zones = RelayZones { own: &own, upstream: &entry.availability_zone };
    let (relays, mut rng) = (host.relays.borrow(), host.rng.borrow_mut());
    let relay = relays.choose(host.now_ms(), zones, members.others(), asked, &mut rng)?;
    Some((relay.clone(), SocketAddr::new(relay.address.ip(), port)))
}

async fn open_through(
    host: &Rc<Host>,
    relay: &Member,
    address: SocketAddr,
    entry: &Upstream,
    id: TunnelId,
) -> Result<Connection, TunnelProblem> {
    let begun_ms = host.now_ms();
    let upstream = &entry.id;
    let request = format!(
        "CONNECT {upstream} HTTP/1.1\r\nhost: {upstream}\r\n\
         {PROTOCOL_HEADER}: {PROTOCOL}\r\n{TUNNEL_HEADER}: {id}\r\n\r\n"
    );
    let expected =
        Expected { has_body: false, max_body_bytes: 0, naming: None, read_timeouts: None };
    let opening = async {
        let opened = Connection::open(address, Some(host.own_ip()), RELAY_LIMIT).await;
        let mut connection = opened.map_err(|_| TunnelProblem::RelayUnreachable)?;
        let response = connection.exchange(request.as_bytes(), expected).await;
        let response = response.map_err(|_| TunnelProblem::RelayUnreachable)?;
        Ok((connection, response.head))
    };
    let opened = clock::timeout(RELAY_LIMIT, opening).await;
    let (connection, head) = opened.unwrap_or(Err(TunnelProblem::RelaySilent))?;
    match head.status {
        200 => {
            let tunnels = head.fields.get(TUNNELS_HEADER).and_then(|stated| stated.parse().ok());
            host.relays.borrow_mut().record_opened(&relay.host, tunnels.unwrap_or_default());
            host.metrics.tunnel_requested(TunnelResult::Opened);
            host.log.write(&LogEvent::TunnelOpened {
                tunnel: &id,
                relay: &relay.host,
                upstream,
                took_ms: host.now_ms().since(begun_ms),
            });
            Ok(connection.into_tunnel(Tunnel { id, relay: relay.host.clone() }))
        }
        UNREACHABLE => Err(TunnelProblem::UpstreamUnreachable),
        DOUBTFUL => Err(TunnelProblem::RelayDoubtful),
        _ => Err(TunnelProblem::RelayRefused),
    }
}
