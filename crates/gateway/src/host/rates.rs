//! What this host may send by itself to upstreams that take less than what comes.

use super::Host;
use dispatch::{FleetSize, UpstreamSet, assumed_fleet};
use domain::{ServiceName, UpstreamId};

impl Host {
    /// Whether this host may send a request by itself to an upstream, which may take a rate only, or
    /// have asked it to back off.
    pub fn may_send(&self, upstreams: &UpstreamSet, id: &UpstreamId) -> bool {
        self.rate_limiter.borrow().may_send(
            self.now_ms(),
            upstreams,
            id,
            self.fleet_sharing_rates().hosts,
        )
    }

    /// Upstreams of a service that get nothing from this host by itself for now.
    pub fn rate_limited_upstreams(
        &self,
        upstreams: &UpstreamSet,
        service: &ServiceName,
    ) -> Vec<UpstreamId> {
        self.rate_limiter.borrow().blocked_upstreams(
            self.now_ms(),
            upstreams,
            service,
            self.fleet_sharing_rates().hosts,
        )
    }

    /// This host sends a request by itself to an upstream, which may take a rate only.
    pub fn record_rated_send(&self, id: &UpstreamId) {
        let (now_ms, hosts) = (self.now_ms(), self.fleet_sharing_rates().hosts);
        self.rate_limiter.borrow_mut().record_sent(now_ms, &self.upstreams.borrow(), id, hosts);
    }

    /// Hosts that share what the fleet may send to an upstream.
    pub fn fleet_sharing_rates(&self) -> FleetSize {
        assumed_fleet(self.fleet_size(), self.now_ms())
    }
}
