//! What this host may send by itself to upstreams that take less than what comes.

use super::Host;
use dispatch::{FleetSize, UpstreamSet, assumed_fleet};
use domain::{ServiceName, UpstreamId};

impl Host {
    /// Whether this host may send a request by itself to an upstream, which may take a rate only, or
    /// have asked it to back off.
    pub fn may_send(&self, upstreams: &UpstreamSet, id: &UpstreamId) -> bool {
        self.rates.borrow().may_send(self.now_ms(), upstreams, id, self.rate_fleet().hosts)
    }

    /// Upstreams of a service that get nothing from this host by itself for now.
    pub fn held_back(&self, upstreams: &UpstreamSet, service: &ServiceName) -> Vec<UpstreamId> {
        self.rates.borrow().blocked_upstreams(
            self.now_ms(),
            upstreams,
            service,
            self.rate_fleet().hosts,
        )
    }

    /// This host sends a request by itself to an upstream, which may take a rate only.
    pub fn note_sent_rated(&self, id: &UpstreamId) {
        let (now_ms, hosts) = (self.now_ms(), self.rate_fleet().hosts);
        self.rates.borrow_mut().record_sent(now_ms, &self.upstreams.borrow(), id, hosts);
    }

    /// Hosts that share what the fleet may send to an upstream.
    pub fn rate_fleet(&self) -> FleetSize {
        assumed_fleet(self.fleet_size(), self.now_ms())
    }
}
