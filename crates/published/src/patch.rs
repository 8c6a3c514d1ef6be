//! The difference between two routings.
//!
//! A routing of thousands of routes is published as a whole for each change, which usually concerns
//! few of them. Hosts send each other patches instead to save traffic between availability zones.

use crate::{CallerLimits, Organisation, Revision, Route, Routing, ServiceSettings};
use domain::{FastMap, OrganisationName, Version};
use serde::{Deserialize, Serialize};

/// Turns a routing into a later one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RoutingPatch {
    /// Revision of the earlier routing.
    pub base: Revision,
    /// Version of the later routing.
    pub version: Version,
    limits: CallerLimits,
    services: Vec<ServiceSettings>,
    removed: Vec<RouteKey>,
    written: Vec<Route>,
    /// Absent if callers need no key in the later routing.
    organisations: Option<OrganisationsPatch>,
}

/// The changed organisations of a routing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct OrganisationsPatch {
    removed: Vec<OrganisationName>,
    written: Vec<Organisation>,
}

/// Identifies a route by its host and name.
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
    /// `None` if two routes of one routing have the same key.
    pub fn between(base: Revision, old: &Routing, new: &Routing) -> Option<RoutingPatch> {
        let before = by_key(old);
        let after = by_key(new);
        let has_duplicates = before.len() < old.routes.len() || after.len() < new.routes.len();
        if has_duplicates {
            return None;
        }
        let removed = before.keys().filter(|key| !after.contains_key(*key)).cloned().collect();
        let is_changed = |route: &&Route| before.get(&RouteKey::of(route)) != Some(route);
        Some(RoutingPatch {
            base,
            version: new.version,
            limits: new.limits,
            services: new.services.clone(),
            removed,
            written: new.routes.iter().filter(is_changed).cloned().collect(),
            organisations: new
                .organisations
                .as_ref()
                .map(|after| OrganisationsPatch::between(organisations_of(old), after)),
        })
    }

    /// Applies the patch to the earlier routing.
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
            organisations: self
                .organisations
                .as_ref()
                .map(|patch| patch.apply(organisations_of(old))),
        }
    }
}

impl OrganisationsPatch {
    fn between(old: &[Organisation], new: &[Organisation]) -> OrganisationsPatch {
        let (before, after) = (by_name(old), by_name(new));
        let is_changed =
            |organisation: &&Organisation| before.get(&organisation.name) != Some(organisation);
        OrganisationsPatch {
            removed: before
                .keys()
                .filter(|name| !after.contains_key(*name))
                .map(|name| (*name).clone())
                .collect(),
            written: new.iter().filter(is_changed).cloned().collect(),
        }
    }

    fn apply(&self, old: &[Organisation]) -> Vec<Organisation> {
        let mut organisations = by_name(old);
        for name in &self.removed {
            organisations.remove(name);
        }
        for organisation in &self.written {
            organisations.insert(&organisation.name, organisation);
        }
        organisations.into_values().cloned().collect()
    }
}

/// The organisations of a routing; none if callers need no key.
fn organisations_of(routing: &Routing) -> &[Organisation] {
    routing.organisations.as_deref().unwrap_or_default()
}

fn by_name(organisations: &[Organisation]) -> FastMap<&OrganisationName, &Organisation> {
    organisations.iter().map(|organisation| (&organisation.name, organisation)).collect()
}

fn by_key(routing: &Routing) -> FastMap<RouteKey, &Route> {
    routing.routes.iter().map(|route| (RouteKey::of(route), route)).collect()
}
