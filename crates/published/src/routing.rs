//! Routing: which requests go to which services, and under what terms.

use domain::{ByteCount, Connections, FastMap, Millis, PerSecond, ServiceName, Version};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Everything that operators declare, as one version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Routing {
    /// Greater after each change.
    pub version: Version,
    /// What callers may send.
    pub limits: CallerLimits,
    /// All routes of all hosts.
    pub routes: Vec<Route>,
    /// The services that routes name.
    pub services: Vec<ServiceSettings>,
}

/// Bounds of what a caller may send, and of how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head.
    pub head_bytes: ByteCount,
    /// Largest request body.
    pub body_bytes: ByteCount,
    /// Time for a head, from its first byte.
    pub head_timeout_ms: Millis,
    /// Time that a connection may stay without a request.
    pub idle_timeout_ms: Millis,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// It may.
    Idempotent,
    /// It must not.
    AtMostOnce,
}

/// Requests of one host whose path begins with a prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, for logs and metrics.
    pub name: String,
    /// Exact host.
    pub host: String,
    /// Beginning of the path; begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may run more than once.
    pub idempotency: Idempotency,
    /// Time within which an answer is of full use.
    pub objective_ms: Millis,
    /// Time after which a caller is not kept waiting any longer.
    pub timeout_ms: Millis,
    /// Most upstreams that one request may be sent to.
    pub attempts: u32,
    /// Rank under overload; 0 is the highest.
    pub priority: u32,
    /// Where its requests go, by weight; never empty.
    pub split: Vec<Destination>,
}

/// One part of a split.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Destination {
    /// The service.
    pub service: ServiceName,
    /// Its share is this over the sum of all.
    pub weight: u32,
}

/// What is declared of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSettings {
    /// Its name.
    pub name: ServiceName,
    /// Path of its health check.
    pub health_path: String,
    /// Connections that each instance accepts from all entry hosts together.
    pub max_connections: Connections,
    /// Requests a second that a cold instance bears from all entry hosts together; none if it is
    /// not stated.
    pub cold_rate: Option<PerSecond>,
}

/// A route, and its place in the table.
#[derive(Debug, Clone)]
pub struct MatchedRoute {
    /// The route.
    pub route: Arc<Route>,
    /// Version of the routing that it belongs to.
    pub version: Version,
}

/// A routing prepared for look-ups.
#[derive(Debug)]
pub struct RouteTable {
    routing: Arc<Routing>,
    hosts: FastMap<String, Vec<Arc<Route>>>,
    services: FastMap<ServiceName, ServiceSettings>,
}

impl RouteTable {
    /// Sorts the routes of each host, longest prefix first.
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
        RouteTable { routing, hosts, services }
    }

    /// The route of a request; the longest prefix wins.
    pub fn find(&self, host: &str, path: &str) -> Option<MatchedRoute> {
        let host = without_port(host).to_ascii_lowercase();
        let routes = self.hosts.get(&host)?;
        let route = routes.iter().find(|route| path.starts_with(&route.prefix))?;
        Some(MatchedRoute { route: Arc::clone(route), version: self.routing.version })
    }

    /// What is declared of a service.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSettings> {
        self.services.get(name)
    }

    /// The whole routing.
    pub fn routing(&self) -> &Arc<Routing> {
        &self.routing
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
