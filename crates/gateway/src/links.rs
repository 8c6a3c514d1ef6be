//! This host's links to upstreams: records what shows whether they work, and acts when those to a
//! service go down or are up again.

use crate::connection::{Connection, Path};
use crate::event_log::LogEvent;
use crate::host::{Host, to_duration};
use crate::placement;
use crate::probe;
use dispatch::{LinkMonitor, LinkState};
use domain::{Millis, ServiceName, UpstreamId};
use published::Upstream;
use rand::seq::IteratorRandom;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Time between two direct probes while upstreams are reached through peers only.
pub const RECHECK_INTERVAL_MS: Millis = Millis(300);

/// Upstreams that are probed while none responds: as many as show that the links are down.
const CHECKED_UPSTREAMS: usize = 2;

/// Longest wait for the response to one of them.
const RECHECK_LIMIT: Duration = Duration::from_millis(150);

/// Time for which links are down until requests on direct connections are given up: responses that
/// are on their way still arrive, and open connections may live on.
const LOST_AFTER: Duration = Duration::from_millis(200);

/// Records that an upstream responded on a connection.
pub fn record_response(host: &Rc<Host>, upstream: &UpstreamId, connection: &Connection) {
    let now_ms = host.now_ms();
    match connection.path() {
        Path::Direct => update(host, upstream, |links, service| {
            links.record_response(now_ms, service, upstream);
        }),
        Path::Tunnel(tunnel) => {
            host.relays.borrow_mut().record_response(now_ms, &tunnel.relay);
        }
    }
}

/// Records that this host could not reach an upstream directly.
pub fn record_unreached(host: &Rc<Host>, upstream: &UpstreamId) {
    update(host, upstream, |links, service| links.record_unreached(service, upstream));
}

/// Records that an upstream that this host could not reach responded through a peer.
pub fn record_reached_by_peer(host: &Rc<Host>, upstream: &UpstreamId) {
    update(host, upstream, |links, service| links.record_reached_by_peer(service, upstream));
    if !host.is_rechecking_links.replace(true) {
        tokio::task::spawn_local(recheck(Rc::clone(host)));
    }
}

/// Whether an idle connection to an upstream may have died unnoticed, as nothing responded on its
/// path lately.
pub fn is_suspect(host: &Host, upstream: &UpstreamId, connection: &Connection) -> bool {
    let now_ms = host.now_ms();
    match connection.path() {
        Path::Direct => {
            let service = service_of(host, upstream);
            !service.is_some_and(|service| host.links.borrow().is_reliable(now_ms, &service))
        }
        Path::Tunnel(tunnel) => host.relays.borrow().is_silent(now_ms, &tunnel.relay),
    }
}

/// Whether the links to a service are down.
pub fn are_down(host: &Host, service: &ServiceName) -> bool {
    host.links.borrow().state(service) == LinkState::Down
}

/// Whether the links to a service are down and no peer could help lately, so that it can't be
/// reached.
pub fn have_no_path(host: &Host, service: &ServiceName) -> bool {
    let members = host.members();
    are_down(host, service) && !host.relays.borrow().has_eligible(host.now_ms(), members.others())
}

/// Whether idle connections on this path to an upstream are to be kept.
pub fn is_wanted(host: &Host, upstream: &Upstream, path: &Path) -> bool {
    let is_detoured = host.links.borrow().is_detoured(&upstream.service, &upstream.id);
    match path {
        Path::Direct => !is_detoured,
        Path::Tunnel(tunnel) => is_detoured && host.members().contains(&tunnel.relay),
    }
}

/// Probes upstreams of a service, unless any has responded lately: if the links are cut silently,
/// requests that wait for responses take all slots, and nothing else would show it.
pub fn check_if_silent(host: &Rc<Host>, service: &ServiceName) {
    let is_silent = host.links.borrow().is_silent(host.now_ms());
    if !is_silent || host.is_checking_links.replace(true) {
        return;
    }
    let (host, service) = (Rc::clone(host), service.clone());
    tokio::task::spawn_local(async move {
        for _ in 0..CHECKED_UPSTREAMS {
            let Some(upstream) = draw_unchecked(&host, &service) else { break };
            probe::check(&host, &upstream).await;
            if !host.links.borrow().is_silent(host.now_ms()) {
                break;
            }
        }
        host.is_checking_links.set(false);
    });
}

/// Returns once the links to a service have been down for some time: nothing more is to be expected
/// on a direct connection.
pub async fn lost(host: &Host, service: &ServiceName) {
    loop {
        let changed = host.links_changed.notified();
        if !are_down(host, service) {
            changed.await;
        } else if clock::timeout(LOST_AFTER, changed).await.is_err() {
            return;
        }
    }
}

fn service_of(host: &Host, upstream: &UpstreamId) -> Option<ServiceName> {
    host.upstreams.borrow().get(upstream).map(|known| known.entry.service.clone())
}

fn update(
    host: &Rc<Host>,
    upstream: &UpstreamId,
    record: impl FnOnce(&mut LinkMonitor, &ServiceName),
) {
    let Some(service) = service_of(host, upstream) else { return };
    let (before, after, silence_ms) = {
        let mut links = host.links.borrow_mut();
        let (before, silence_ms) = (links.state(&service), links.silence_ms(host.now_ms()));
        record(&mut links, &service);
        (before, links.state(&service), silence_ms)
    };
    if (before == LinkState::Down) == (after == LinkState::Down) {
        return;
    }
    host.log.write(&LogEvent::Links { service: &service, state: after, silence_ms });
    host.links_changed.notify_waiters();
    host.prune_connections();
    if after == LinkState::Down {
        placement::hand_over(host, &service);
    }
}

/// Probes one of the upstreams that only peers reach now and then, until there is none.
async fn recheck(host: Rc<Host>) {
    loop {
        clock::sleep(to_duration(RECHECK_INTERVAL_MS)).await;
        let Some(id) = draw_detoured(&host) else { break };
        let entry = host.upstreams.borrow().get(&id).map(|known| Arc::clone(&known.entry));
        if let Some(entry) = entry {
            // A response is recorded.
            let _ = clock::timeout(RECHECK_LIMIT, probe::probe_directly(&host, &entry)).await;
        }
    }
    host.is_rechecking_links.set(false);
}

/// Draws an eligible upstream of a service that this host has not failed to reach.
fn draw_unchecked(host: &Host, service: &ServiceName) -> Option<UpstreamId> {
    let (upstreams, links) = (host.upstreams.borrow(), host.links.borrow());
    let is_unchecked = |entry: &&Arc<Upstream>| {
        entry.service == *service && !links.is_detoured(service, &entry.id)
    };
    let eligible = upstreams.eligible().filter(is_unchecked);
    eligible.choose(&mut *host.rng.borrow_mut()).map(|entry| entry.id.clone())
}

fn draw_detoured(host: &Host) -> Option<UpstreamId> {
    let (links, mut rng) = (host.links.borrow(), host.rng.borrow_mut());
    links.detoured().choose(&mut *rng).cloned()
}
