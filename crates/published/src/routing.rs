//! Routing: which requests go to which services, and their limits.

use crate::organisation::{KeyTable, Organisation};
use domain::{
    ByteCount, Connections, FastMap, FastSet, Millis, OrganisationName, PerSecond, ServiceName,
    Version,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Everything that operators declare, as one version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Routing {
    /// Increases with each change.
    pub version: Version,
    /// Limits of callers.
    pub limits: CallerLimits,
    /// All routes of all hosts.
    pub routes: Vec<Route>,
    /// The services that routes refer to.
    pub services: Vec<ServiceSettings>,
    /// The organisations that are served; absent if callers need no key.
    pub organisations: Option<Vec<Organisation>>,
}

/// Limits of a caller's requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head.
    pub head_bytes: ByteCount,
    /// Largest request body.
    pub body_bytes: ByteCount,
    /// Time to receive a request head, from its first byte.
    pub head_timeout_ms: Millis,
    /// Time after which an idle connection is closed.
    pub idle_timeout_ms: Millis,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// It may run more than once.
    Idempotent,
    /// It must not run more than once.
    AtMostOnce,
}

/// Requests of one host whose path begins with a prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, for logs and metrics.
    pub name: String,
    /// Exact host.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may run more than once.
    pub idempotency: Idempotency,
    /// Response time up to which a response is in time.
    pub objective_ms: Millis,
    /// Time after which the request fails.
    pub timeout_ms: Millis,
    /// Largest number of upstreams that one request may be sent to.
    pub attempts: u32,
    /// Priority under overload; 0 is the highest.
    pub priority: u32,
    /// Whether its requests need no key, even if others do.
    pub is_public: bool,
    /// Services that get its requests, by weight; never empty.
    pub split: Vec<Destination>,
}

/// One part of a traffic split.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Destination {
    /// The service.
    pub service: ServiceName,
    /// Its share is this weight divided by the sum of all weights.
    pub weight: u32,
}

/// Settings of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSettings {
    /// Its name.
    pub name: ServiceName,
    /// Path of its health check.
    pub health_path: String,
    /// Connections that each instance accepts from all hosts together.
    pub max_connections: Connections,
    /// Requests per second that a cold instance can take from all hosts together, if stated.
    pub cold_rate: Option<PerSecond>,
}

/// A matched route.
#[derive(Debug, Clone)]
pub struct MatchedRoute {
    /// The route.
    pub route: Arc<Route>,
    /// Version of the routing that contains it.
    pub version: Version,
}

/// A routing prepared for lookups.
#[derive(Debug)]
pub struct RouteTable {
    routing: Arc<Routing>,
    hosts: FastMap<String, Vec<Arc<Route>>>,
    services: FastMap<ServiceName, ServiceSettings>,
    /// Services that more than one route sends requests to.
    shared_services: FastSet<ServiceName>,
    keys: Option<KeyTable>,
}

impl RouteTable {
    /// Sorts the routes of each host by length of prefix, the longest first.
    pub fn new(routing: Arc<Routing>) -> RouteTable {
        let mut hosts: FastMap<String, Vec<Arc<Route>>> = FastMap::default();
        for route in &routing.routes {
            let host = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            host.push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let by_name = |service: &ServiceSettings| (service.name.clone(), service.clone());
        let services = routing.services.iter().map(by_name).collect();
        let keys = routing.organisations.as_deref().map(KeyTable::new);
        let shared_services = shared_services(&routing.routes);
        RouteTable { routing, hosts, services, shared_services, keys }
    }

    /// Finds the route of a request; the longest prefix wins.
    pub fn find(&self, host: &str, path: &str) -> Option<MatchedRoute> {
        let host = without_port(host).to_ascii_lowercase();
        let routes = self.hosts.get(&host)?;
        let route = routes.iter().find(|route| path.starts_with(&route.prefix))?;
        Some(MatchedRoute { route: Arc::clone(route), version: self.routing.version })
    }

    /// Whether requests of a route need a key.
    pub fn requires_key(&self, route: &Route) -> bool {
        self.keys.is_some() && !route.is_public
    }

    /// Whether callers are identified by keys.
    pub fn has_keys(&self) -> bool {
        self.keys.is_some()
    }

    /// The organisation with a name.
    pub fn organisation(&self, name: &OrganisationName) -> Option<&Arc<Organisation>> {
        self.keys.as_ref()?.get(name)
    }

    /// The organisation that holds a key.
    pub fn organisation_of(&self, key: &[u8]) -> Option<&Arc<Organisation>> {
        self.keys.as_ref()?.find(key)
    }

    /// Whether more than one route sends requests to a service.
    pub fn is_shared(&self, service: &ServiceName) -> bool {
        self.shared_services.contains(service)
    }

    /// The settings of a service.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSettings> {
        self.services.get(name)
    }

    /// The routing that the table was made from.
    pub fn routing(&self) -> &Arc<Routing> {
        &self.routing
    }
}

fn shared_services(routes: &[Route]) -> FastSet<ServiceName> {
    let (mut seen, mut shared) = (FastSet::default(), FastSet::default());
    for destination in routes.iter().flat_map(|route| &route.split) {
        if !seen.insert(&destination.service) {
            shared.insert(destination.service.clone());
        }
    }
    shared
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
