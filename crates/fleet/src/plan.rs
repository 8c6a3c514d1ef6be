//! What a site consists of.

use config::{Method, Policy, RepeatRule, Route, Service, SiteConfig, Upstream};
use domain::{
    Connections, Millis, PerSecond, ServiceName, Share, SiteName, Slots, UpstreamId, ZoneName,
};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// Path under which requests of a service may be repeated.
pub const READ_PATH: &str = "read";

/// Path under which requests of a service run at most once.
pub const ORDER_PATH: &str = "order";

/// A site to be started.
#[derive(Debug, Clone, PartialEq)]
pub struct SitePlan {
    /// Its name.
    pub site: SiteName,
    /// Its availability zones; entry hosts and upstreams are spread over them in turn.
    pub availability_zones: Vec<ZoneName>,
    /// Entry hosts.
    pub entry_hosts: u32,
    /// Time from failing readiness to refusing connections, of each entry host.
    pub drain_notice_ms: Millis,
    /// How an upstream is chosen.
    pub policy: Policy,
    /// One-way delay between availability zones, added by upstreams.
    pub zone_delay_ms: Millis,
    /// Half of the entry hosts reach the other half over relays that can be cut.
    pub relayed: bool,
    /// Services.
    pub services: Vec<ServicePlan>,
}

/// One service and the upstreams that serve it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServicePlan {
    /// Its name, also the first segment of its paths.
    pub service: ServiceName,
    /// Upstreams.
    pub upstreams: u32,
    /// What each of them is.
    pub upstream: UpstreamPlan,
}

/// What the upstreams of a service are.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamPlan {
    /// Requests worked on at once.
    pub slots: Slots,
    /// Connections accepted.
    pub connections: Connections,
    /// Requests that may wait inside the upstream.
    pub queue: u32,
    /// Mean service time.
    pub service_time_ms: Millis,
    /// How service times are distributed.
    pub distribution: Distribution,
    /// Time after the start in which work takes longer.
    pub cold_start_ms: Millis,
    /// Time from the notice that it is leaving until it stops listening.
    pub drain_notice_ms: Millis,
}

/// How service times are distributed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Distribution {
    /// Always the mean.
    Fixed,
    /// Exponential.
    Exponential,
}

impl fmt::Display for Distribution {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Distribution::Fixed => "fixed",
            Distribution::Exponential => "exponential",
        })
    }
}

impl SitePlan {
    /// Availability zone of the member with this index.
    pub fn zone(&self, index: u32) -> ZoneName {
        self.availability_zones[index as usize % self.availability_zones.len()].clone()
    }

    /// Which half the entry host with this index belongs to.
    pub fn half(&self, index: u32) -> usize {
        match self.relayed && index >= self.entry_hosts / 2 {
            true => 1,
            false => 0,
        }
    }

    /// The base to publish, with the addresses of the upstreams that were started.
    pub fn base(&self, addresses: &BTreeMap<UpstreamId, SocketAddr>) -> SiteConfig {
        let services = self
            .services
            .iter()
            .map(|plan| (plan.service.clone(), self.service(plan, addresses)))
            .collect();
        SiteConfig {
            availability_zones: self.availability_zones.clone(),
            policy: self.policy,
            limits: Default::default(),
            measurement: Default::default(),
            retry: Default::default(),
            hedge: Default::default(),
            callers: Default::default(),
            services,
        }
    }

    /// How the upstream with this index stands in the configuration.
    pub fn upstream(&self, plan: &ServicePlan, index: u32, address: SocketAddr) -> Upstream {
        Upstream {
            address,
            availability_zone: self.zone(index),
            slots: plan.upstream.slots,
            connections: plan.upstream.connections,
            leaving: false,
        }
    }

    fn service(&self, plan: &ServicePlan, addresses: &BTreeMap<UpstreamId, SocketAddr>) -> Service {
        let upstreams = (0..plan.upstreams)
            .map(|index| (plan.upstream_id(index), index))
            .filter_map(|(id, index)| {
                let address = *addresses.get(&id)?;
                Some((id, self.upstream(plan, index, address)))
            })
            .collect();
        Service {
            routes: plan.routes(),
            deadline_ms: Millis(2000),
            queue_limit: 256,
            probes_per_second: PerSecond(1.0),
            slow_start_ms: Millis(5000),
            eject_floor_share: Share(0.5),
            upstreams,
        }
    }
}

impl ServicePlan {
    /// Id of the upstream with this index.
    ///
    /// # Panics
    /// Never: a service name followed by a number is a valid id, if it is not very long.
    pub fn upstream_id(&self, index: u32) -> UpstreamId {
        format!("{}-{}", self.service, index + 1).parse().expect("a short name is an id")
    }

    /// Path of requests that may be repeated.
    pub fn read_path(&self) -> String {
        format!("/{}/{READ_PATH}", self.service)
    }

    /// Path of requests that run at most once.
    pub fn order_path(&self) -> String {
        format!("/{}/{ORDER_PATH}", self.service)
    }

    fn routes(&self) -> Vec<Route> {
        vec![
            Route {
                method: Method::Get,
                path_prefix: self.read_path(),
                repeat: RepeatRule::Idempotent,
            },
            Route {
                method: Method::Post,
                path_prefix: self.order_path(),
                repeat: RepeatRule::AtMostOnce,
            },
        ]
    }
}
