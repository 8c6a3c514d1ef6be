//! What a host's own links to upstreams tell: when one last responded to it, and which have failed
//! it since.

use domain::{FastSet, Millis, UpstreamId};

/// The links of one host to all upstreams.
#[derive(Debug, Default)]
pub struct LinkMonitor {
    responded_ms: Option<Millis>,
    /// Upstreams that could not be reached since any responded.
    unreached: FastSet<UpstreamId>,
}

impl LinkMonitor {
    /// Records that an upstream responded to this host.
    pub fn record_response(&mut self, now_ms: Millis) {
        self.responded_ms = Some(now_ms);
        self.unreached.clear();
    }

    /// Records that this host could not reach an upstream.
    pub fn record_unreached(&mut self, upstream: &UpstreamId) {
        self.unreached.insert(upstream.clone());
    }

    /// Time since any upstream responded to this host; none if none ever did.
    pub fn silence_ms(&self, now_ms: Millis) -> Option<Millis> {
        self.responded_ms.map(|at_ms| now_ms.since(at_ms))
    }

    /// Number of upstreams that could not be reached since any responded.
    pub fn unreached_count(&self) -> usize {
        self.unreached.len()
    }
}
