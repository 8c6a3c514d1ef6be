//! Serves tunnels to peers.

use super::splice::splice;
use super::{PROTOCOL_HEADER, TUNNEL_HEADER, TUNNELS_HEADER};
use crate::event_log::{LogEvent, RelayRefusal};
use crate::host::{ACCEPT_PAUSE, Host};
use crate::http1::{RequestHead, read_request};
use crate::links;
use crate::peers::codec::PROTOCOL;
use crate::probe;
use domain::UpstreamId;
use published::Upstream;
use std::io::{Error, ErrorKind, Result};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Longest wait for the head of a request.
const HEAD_LIMIT: Duration = Duration::from_millis(500);

/// Longest wait for the upstream: less than the peer waits.
const OPEN_LIMIT: Duration = Duration::from_millis(50);

const MAX_HEAD_BYTES: usize = 2 * 1024;

/// Most tunnels that are served: each takes two connections and two buffers.
const MAX_TUNNELS: usize = 512;

/// Accepts tunnels of peers and serves them. Never returns.
pub async fn serve(host: Rc<Host>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let host = Rc::clone(&host);
                tokio::task::spawn_local(async move {
                    // After an error the peer asks another host.
                    let _ = serve_tunnel(&host, stream).await;
                });
            }
            Err(_) => clock::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Counts a tunnel as open while it exists.
struct OpenTunnel<'h> {
    host: &'h Host,
}

impl OpenTunnel<'_> {
    fn new(host: &Host) -> OpenTunnel<'_> {
        host.open_tunnels.update(|open| open + 1);
        OpenTunnel { host }
    }
}

impl Drop for OpenTunnel<'_> {
    fn drop(&mut self) {
        self.host.open_tunnels.update(|open| open - 1);
    }
}

async fn serve_tunnel(host: &Rc<Host>, mut peer: TcpStream) -> Result<()> {
    peer.set_nodelay(true)?;
    let mut buffer = Vec::new();
    let reading = read_head(&mut peer, &mut buffer);
    let head = clock::timeout(HEAD_LIMIT, reading).await.map_err(|_| ErrorKind::TimedOut)??;
    let tunnel = head.fields.get(TUNNEL_HEADER).unwrap_or_default().to_owned();
    let _open = OpenTunnel::new(host);
    let opened = match admit(host, &head) {
        Ok(entry) => open(host, &entry).await,
        Err(refusal) => Err(refusal),
    };
    let upstream = match opened {
        Ok(connection) => connection.into_stream(),
        Err(refusal) => {
            host.log.write(&LogEvent::RelayRefused {
                tunnel: &tunnel,
                upstream: &head.target,
                refusal,
            });
            let status = refusal.status();
            let response = format!("HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n");
            return peer.write_all(response.as_bytes()).await;
        }
    };
    let response =
        format!("HTTP/1.1 200 OK\r\n{TUNNELS_HEADER}: {}\r\n\r\n", host.open_tunnels.get());
    peer.write_all(response.as_bytes()).await?;
    host.log.write(&LogEvent::Relaying { tunnel: &tunnel, upstream: &head.target });
    let spliced = splice(peer, upstream).await;
    host.log.write(&LogEvent::Relayed {
        tunnel: &tunnel,
        upstream: &head.target,
        end: spliced.end,
        to_upstream_bytes: spliced.to_upstream_bytes,
        from_upstream_bytes: spliced.from_upstream_bytes,
    });
    Ok(())
}

async fn read_head(peer: &mut TcpStream, buffer: &mut Vec<u8>) -> Result<RequestHead> {
    loop {
        let head = read_request(buffer, MAX_HEAD_BYTES);
        match head.map_err(|_| Error::from(ErrorKind::InvalidData))? {
            Some(head) => return Ok(head),
            None if peer.read_buf(buffer).await? == 0 => {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            None => {}
        }
    }
}

/// Whether this host may open the connection; returns the entry of the upstream.
fn admit(host: &Host, head: &RequestHead) -> std::result::Result<Arc<Upstream>, RelayRefusal> {
    let protocol = head.fields.get(PROTOCOL_HEADER).and_then(|stated| stated.parse().ok());
    if head.method != "CONNECT" || protocol != Some(PROTOCOL) {
        return Err(RelayRefusal::OtherProtocol);
    }
    if host.is_stopping() {
        return Err(RelayRefusal::Stopping);
    }
    if host.open_tunnels.get() > MAX_TUNNELS {
        return Err(RelayRefusal::Full);
    }
    let id: UpstreamId = head.target.parse().map_err(|_| RelayRefusal::UnknownUpstream)?;
    let upstreams = host.upstreams.borrow();
    let known = upstreams.get(&id).filter(|_| upstreams.accepts_requests(&id));
    let entry = &known.ok_or(RelayRefusal::UnknownUpstream)?.entry;
    match host.links.borrow().is_detoured(&entry.service, &id) {
        true => Err(RelayRefusal::LinksDown),
        false => Ok(Arc::clone(entry)),
    }
}

/// Opens a direct connection, on which nothing was sent.
async fn open(
    host: &Rc<Host>,
    entry: &Upstream,
) -> std::result::Result<crate::connection::Connection, RelayRefusal> {
    let is_reliable = host.links.borrow().is_reliable(host.now_ms(), &entry.service);
    if !is_reliable {
        let probing = probe::probe_directly(host, entry);
        if !matches!(clock::timeout(OPEN_LIMIT, probing).await, Ok(Ok(_))) {
            links::record_unreached(host, &entry.id);
            return Err(RelayRefusal::LinksDoubtful);
        }
    }
    match clock::timeout(OPEN_LIMIT, probe::connect_directly(host, entry)).await {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(_)) | Err(_) => {
            links::record_unreached(host, &entry.id);
            Err(if is_reliable { RelayRefusal::Unreachable } else { RelayRefusal::LinksDoubtful })
        }
    }
}
