//! What this host may send, without a scheduler, to upstreams that state a rate limit or ask
//! it to back off.

use super::Host;
use dispatch::{FleetSize, UpstreamSet, assumed_fleet};
use domain::{Millis, ServiceName, UpstreamId};

impl Host {
    /// Whether the rate limit and the backoff of an upstream, if it stated any, allow this host to
    /// send it an unscheduled request now.
    pub fn may_send(&self, upstreams: &UpstreamSet, id: &UpstreamId) -> bool {
        self.rate_limiter.borrow().may_send(
            self.now_ms(),
            upstreams,
            id,
            self.fleet_sharing_rates().hosts,
        )
    }

    /// The upstreams of a service to which this host may not send unscheduled requests now.
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

    /// Time until this host may send its next unscheduled request to a service, if all its upstreams
    /// limit or delay what they accept.
    pub fn next_request_in(&self, service: &ServiceName) -> Option<Millis> {
        self.rate_limiter.borrow().next_request_in(
            self.now_ms(),
            &self.upstreams.borrow(),
            service,
            self.fleet_sharing_rates().hosts,
        )
    }

    /// Counts an unscheduled request against the upstream's rate limit, if it stated one.
    pub fn record_rated_send(&self, id: &UpstreamId) {
        let (now_ms, hosts) = (self.now_ms(), self.fleet_sharing_rates().hosts);
        self.rate_limiter.borrow_mut().record_sent(now_ms, &self.upstreams.borrow(), id, hosts);
    }

    /// Size of the fleet that shares the rate limit of an upstream.
    pub fn fleet_sharing_rates(&self) -> FleetSize {
        assumed_fleet(self.fleet_size(), self.now_ms())
    }
}
