//! Whether an upstream is still there after it broke off a request.
//!
//! A broken connection alone says little: upstreams spoil answers, and some reset when they
//! are full. If the process is gone, its port refuses connections, and no other connection
//! to it is open.

use super::question::CONNECT;
use crate::connection::Connection;
use crate::event_log::LogEvent;
use crate::host::Host;
use domain::{FastMap, RequestFingerprint, UpstreamId};
use published::RunStart;
use std::io::ErrorKind;
use std::rc::Rc;
use std::sync::Arc;

/// Requests that upstreams broke off, until it is known whether the upstreams are still there.
#[derive(Debug, Default)]
pub struct BrokenOff {
    by_run: FastMap<(UpstreamId, RunStart), Vec<RequestFingerprint>>,
}

/// Looks whether an upstream that broke off a request is still there, once for all requests
/// that it broke off at the same moment.
pub fn check_presence(
    host: &Rc<Host>,
    upstream: &UpstreamId,
    run: RunStart,
    request: RequestFingerprint,
) {
    let key = (upstream.clone(), run);
    let mut broken_off = host.broken_off.borrow_mut();
    let requests = broken_off.by_run.entry(key.clone()).or_default();
    requests.push(request);
    if requests.len() > 1 {
        return;
    }
    let host = Rc::clone(host);
    tokio::task::spawn_local(async move {
        let is_gone = is_gone(&host, &key.0, key.1).await;
        let requests = host.broken_off.borrow_mut().by_run.remove(&key).unwrap_or_default();
        host.metrics.broke_off(is_gone, requests.len());
        host.log.write(&LogEvent::BrokeOff { upstream: &key.0, is_gone, requests: &requests });
    });
}

/// Whether the process of an upstream's run has ended. One that only can't be heard, behind a
/// cut or without power, is not known to have.
async fn is_gone(host: &Rc<Host>, upstream: &UpstreamId, run: RunStart) -> bool {
    let entry = host.upstreams.borrow().get(upstream).map(|known| Arc::clone(&known.entry));
    let Some(entry) = entry else { return false };
    if entry.run.is_after(run) {
        return true;
    }
    if let Some(kept) = host.pool.borrow_mut().take(upstream, run) {
        host.pool.borrow_mut().put(upstream, kept);
        return false;
    }
    host.metrics.connected();
    match Connection::open(entry.address, CONNECT).await {
        Ok(connection) => {
            host.pool.borrow_mut().put(upstream, connection.belonging_to(run));
            false
        }
        Err(e) => e.kind() == ErrorKind::ConnectionRefused,
    }
}
