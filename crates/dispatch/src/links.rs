//! What a host's own links to upstreams tell: whether they work, or whether peers reach upstreams
//! that this host doesn't.
//!
//! A failed connection alone says nothing about the upstream, nor about the link. If a peer reaches
//! the upstream, it is the link; if peers don't either, it is the upstream.

use domain::{FastMap, FastSet, Millis, ServiceName, UpstreamId};
use serde::Serialize;

/// Upstreams of a service that only peers reach, from which on the links to the service are down.
/// One alone may have turned this host away.
const MIN_UPSTREAMS_REACHED_BY_PEERS: usize = 2;

/// Time without a response on a path after which its idle connections are probed before use.
pub const MAX_SILENCE_MS: Millis = Millis(300);

/// State of a host's links to the upstreams of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkState {
    /// Upstreams respond.
    Up,
    /// Some upstream could not be reached since any responded.
    Doubtful,
    /// Peers reach upstreams that this host doesn't, and none responded to it since.
    Down,
}

/// The links of one host to all upstreams.
#[derive(Debug, Default)]
pub struct LinkMonitor {
    /// When any upstream last responded.
    responded_ms: Option<Millis>,
    services: FastMap<ServiceName, ServiceLinks>,
}

/// The links to the upstreams of a service.
#[derive(Debug, Default)]
struct ServiceLinks {
    /// Upstreams that could not be reached since any responded.
    unreached: FastSet<UpstreamId>,
    /// Those of them that a peer reached.
    reached_by_peers: FastSet<UpstreamId>,
    /// Upstreams that only peers reach, whatever other upstreams do.
    detoured: FastSet<UpstreamId>,
}

impl LinkMonitor {
    /// Records that an upstream responded to this host directly. If only peers reached it before,
    /// the others of its service are tried again, too.
    pub fn record_response(
        &mut self,
        now_ms: Millis,
        service: &ServiceName,
        upstream: &UpstreamId,
    ) {
        self.responded_ms = Some(now_ms);
        let Some(links) = self.services.get_mut(service) else { return };
        links.unreached.clear();
        links.reached_by_peers.clear();
        if links.detoured.contains(upstream) {
            links.detoured.clear();
        }
    }

    /// Records that this host could not reach an upstream directly.
    pub fn record_unreached(&mut self, service: &ServiceName, upstream: &UpstreamId) {
        let links = self.services.entry(service.clone()).or_default();
        links.unreached.insert(upstream.clone());
    }

    /// Records that an upstream that this host could not reach responded through a peer.
    pub fn record_reached_by_peer(&mut self, service: &ServiceName, upstream: &UpstreamId) {
        let links = self.services.entry(service.clone()).or_default();
        links.detoured.insert(upstream.clone());
        if links.unreached.contains(upstream) {
            links.reached_by_peers.insert(upstream.clone());
        }
    }

    /// The present state of the links to a service.
    pub fn state(&self, service: &ServiceName) -> LinkState {
        let Some(links) = self.services.get(service) else { return LinkState::Up };
        match (links.reached_by_peers.len(), links.unreached.is_empty()) {
            (MIN_UPSTREAMS_REACHED_BY_PEERS.., _) => LinkState::Down,
            (_, false) => LinkState::Doubtful,
            (_, true) => LinkState::Up,
        }
    }

    /// Whether an upstream is reached through peers only.
    pub fn is_detoured(&self, service: &ServiceName, upstream: &UpstreamId) -> bool {
        let is = |links: &ServiceLinks| links.detoured.contains(upstream);
        self.services.get(service).is_some_and(is) || self.state(service) == LinkState::Down
    }

    /// The upstreams that only peers have reached.
    pub fn detoured(&self) -> impl Iterator<Item = &UpstreamId> {
        self.services.values().flat_map(|links| &links.detoured)
    }

    /// Number of services to which the links are down.
    pub fn down_count(&self) -> usize {
        self.services.keys().filter(|service| self.state(service) == LinkState::Down).count()
    }

    /// Whether this host reaches upstreams of a service as far as it knows: another host may rely
    /// on what it finds.
    pub fn is_reliable(&self, now_ms: Millis, service: &ServiceName) -> bool {
        self.state(service) == LinkState::Up && !self.is_silent(now_ms)
    }

    /// Whether no upstream has responded for so long that idle connections may have died unnoticed.
    pub fn is_silent(&self, now_ms: Millis) -> bool {
        is_silent(self.responded_ms, now_ms)
    }

    /// Whether an upstream has responded to this host since a moment.
    pub fn has_responded_since(&self, since_ms: Millis) -> bool {
        self.responded_ms.is_some_and(|at_ms| since_ms <= at_ms)
    }

    /// Time since any upstream responded to this host; none if none ever did.
    pub fn silence_ms(&self, now_ms: Millis) -> Option<Millis> {
        self.responded_ms.map(|at_ms| now_ms.since(at_ms))
    }

    /// Number of upstreams that could not be reached since any of their service responded.
    pub fn unreached_count(&self) -> usize {
        self.services.values().map(|links| links.unreached.len()).sum()
    }

    /// Drops what is known of upstreams that are no longer published.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        for links in self.services.values_mut() {
            let ServiceLinks { unreached, reached_by_peers, detoured } = links;
            for upstreams in [unreached, reached_by_peers, detoured] {
                upstreams.retain(&is_known);
            }
        }
        self.services.retain(|_, links| !links.unreached.is_empty() || !links.detoured.is_empty());
    }
}

/// Whether the last response on a path is too long ago to trust its idle connections.
pub(crate) fn is_silent(responded_ms: Option<Millis>, now_ms: Millis) -> bool {
    responded_ms.is_none_or(|at_ms| now_ms.since(at_ms) > MAX_SILENCE_MS)
}
