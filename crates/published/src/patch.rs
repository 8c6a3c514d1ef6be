//! What differs between two routings.
//!
//! A routing of thousands of routes is published whole at each change, though a change
//! touches few. Readers tell peers the difference: on a site of 1,564 routes and 124 hosts
//! whole routings were 63 MB between zones for a handful of changes, 0.05 of the day.

use crate::{CallerLimits, Revision, Route, Routing, ServiceSettings};
use domain::{FastMap, Version};
use serde::{Deserialize, Serialize};

/// How to make a routing of an earlier one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RoutingPatch {
    /// Revision of the earlier one.
    pub base: Revision,
    /// Version of the later one.
    pub version: Version,
    limits: CallerLimits,
    services: Vec<ServiceSettings>,
    removed: Vec<RouteKey>,
    written: Vec<Route>,
}

/// A route's place: its name under its host.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct RouteKey {
    host: String,
    name: String,
}

impl RouteKey {
    fn of(route: &Route) -> RouteKey {
        RouteKey { host: route.host.clone(), name: route.name.clone() }
    }
}

impl RoutingPatch {
    /// The difference from `old`, which has the revision `base`, to `new`.
    ///
    /// None where two routes bear one name: they could not be told apart.
    pub fn between(base: Revision, old: &Routing, new: &Routing) -> Option<RoutingPatch> {
        let before = by_key(old);
        let after = by_key(new);
        let has_twins = before.len() < old.routes.len() || after.len() < new.routes.len();
        if has_twins {
            return None;
        }
        let removed = before.keys().filter(|key| !after.contains_key(*key)).cloned().collect();
        let is_other = |route: &&Route| before.get(&RouteKey::of(route)) != Some(route);
        Some(RoutingPatch {
            base,
            version: new.version,
            limits: new.limits,
            services: new.services.clone(),
            removed,
            written: new.routes.iter().filter(is_other).cloned().collect(),
        })
    }

    /// The later routing.
    pub fn apply(&self, old: &Routing) -> Routing {
        let mut routes = by_key(old);
        for key in &self.removed {
            routes.remove(key);
        }
        for route in &self.written {
            routes.insert(RouteKey::of(route), route);
        }
        Routing {
            version: self.version,
            limits: self.limits,
            routes: routes.into_values().cloned().collect(),
            services: self.services.clone(),
        }
    }
}

fn by_key(routing: &Routing) -> FastMap<RouteKey, &Route> {
    routing.routes.iter().map(|route| (RouteKey::of(route), route)).collect()
}
