//! Finds the service and route of a request.
//!
//! Of the routes that match, the longest path prefix wins, then a specific method over
//! `ANY`. Paths are compared in their normal form. An upstream may normalize a path further:
//! if it could then match an at-most-once route, the request runs at most once, whatever its
//! own route says. A path whose loose form contains a dot segment matches no route.

use crate::model::{Method, RepeatRule, Service, SiteConfig};
use crate::path;
use domain::{FastMap, ServiceName};

/// Index of all routes of a configuration, for lookups on every request.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    by_prefix: FastMap<String, Vec<RouteTarget>>,
    /// Prefixes of at-most-once routes by their loose form.
    at_most_once: FastMap<String, Vec<String>>,
    max_prefix_segments: usize,
}

/// The route that a request matches.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// Service of the route.
    pub service: ServiceName,
    /// Index in the service's list of routes.
    pub route_index: usize,
    /// Method of the route.
    pub method: Method,
    /// Whether the request may be retried; can be stricter than the route's own rule.
    pub repeat: RepeatRule,
}

impl SiteConfig {
    /// Finds the route of a request.
    ///
    /// Builds an index on each call: use a [`RouteTable`] to route many requests.
    pub fn route(&self, method: &str, path: &str) -> Option<RouteTarget> {
        RouteTable::new(self).find(method, path)
    }
}

impl RouteTable {
    /// Builds the index of a configuration.
    pub fn new(config: &SiteConfig) -> RouteTable {
        let mut table = RouteTable::default();
        for (name, service) in &config.services {
            table.add_service(name, service);
        }
        table
    }

    /// Finds the route of a request; `path` has no query.
    pub fn find(&self, method: &str, path: &str) -> Option<RouteTarget> {
        let path = path::normal_form(path)?;
        let loose = path::loose_form(&path);
        if path::has_dot_segment(&loose) {
            return None;
        }
        let (prefix, target) = self.longest_match(method, &path)?;
        let repeat = match target.repeat {
            RepeatRule::Idempotent if self.may_match_at_most_once(method, &loose, prefix) => {
                RepeatRule::AtMostOnce
            }
            repeat => repeat,
        };
        Some(RouteTarget { repeat, ..target.clone() })
    }

    /// The prefix in normal form, without its trailing `/`; `None` if servers may interpret it
    /// differently.
    pub(crate) fn normal_prefix(prefix: &str) -> Option<String> {
        let normal = path::normal_form(prefix)?;
        let normal = normal.strip_suffix('/').unwrap_or(&normal);
        let is_plain = path::loose_form(normal) == normal.to_ascii_lowercase();
        is_plain.then(|| normal.to_owned())
    }

    fn longest_match<'a>(
        &'a self,
        method: &str,
        path: &'a str,
    ) -> Option<(&'a str, &'a RouteTarget)> {
        let matches = self.prefixes_of(path).filter_map(|prefix| {
            let target = best_method(self.by_prefix.get(prefix)?, method)?;
            Some((prefix, target))
        });
        matches.last()
    }

    /// Whether an upstream that normalizes the path further could match it to an at-most-once
    /// route, although here it matched the prefix `matched`.
    ///
    /// The loose form of a prefix differs from the prefix only in case, so shorter prefixes
    /// lose to `matched` in either form.
    fn may_match_at_most_once(&self, method: &str, loose: &str, matched: &str) -> bool {
        let candidates = self.prefixes_of(loose).filter(|prefix| prefix.len() >= matched.len());
        let mut prefixes = candidates.filter_map(|prefix| self.at_most_once.get(prefix)).flatten();
        prefixes.any(|prefix| self.is_at_most_once(method, prefix))
    }

    fn is_at_most_once(&self, method: &str, prefix: &str) -> bool {
        let target = self.by_prefix.get(prefix).and_then(|targets| best_method(targets, method));
        target.is_some_and(|target| target.repeat == RepeatRule::AtMostOnce)
    }

    /// Prefixes of a path that may be in the table, the shortest first.
    fn prefixes_of<'a>(&self, path: &'a str) -> impl Iterator<Item = &'a str> {
        let ends = segment_ends(path).take(self.max_prefix_segments);
        std::iter::once(0).chain(ends).map(|end| &path[..end])
    }

    fn add_service(&mut self, name: &ServiceName, service: &Service) {
        for (route_index, route) in service.routes.iter().enumerate() {
            // Validation rejects other prefixes.
            let Some(prefix) = RouteTable::normal_prefix(&route.path_prefix) else { continue };
            let service = name.clone();
            let target =
                RouteTarget { service, route_index, method: route.method, repeat: route.repeat };
            self.add(prefix, target);
        }
    }

    fn add(&mut self, prefix: String, target: RouteTarget) {
        let segments = prefix.bytes().filter(|byte| *byte == b'/').count();
        self.max_prefix_segments = self.max_prefix_segments.max(segments);
        if target.repeat == RepeatRule::AtMostOnce {
            let loose = path::loose_form(&prefix);
            self.at_most_once.entry(loose).or_default().push(prefix.clone());
        }
        self.by_prefix.entry(prefix).or_default().push(target);
    }
}

/// End offsets of the path's segments, in order.
fn segment_ends(path: &str) -> impl Iterator<Item = usize> {
    let slashes = path.bytes().enumerate().skip(1).filter(|(_, byte)| *byte == b'/');
    slashes.map(|(end, _)| end).chain([path.len()])
}

fn best_method<'a>(targets: &'a [RouteTarget], method: &str) -> Option<&'a RouteTarget> {
    let specific = targets.iter().find(|target| target.method.as_str() == method);
    specific.or_else(|| targets.iter().find(|target| target.method == Method::Any))
}

impl Method {
    /// The method as in a request line; `ANY` for [`Method::Any`].
    pub fn as_str(self) -> &'static str {
        match self {
            Method::Any => "ANY",
            Method::Get => "GET",
            Method::Head => "HEAD",
            Method::Post => "POST",
            Method::Put => "PUT",
            Method::Patch => "PATCH",
            Method::Delete => "DELETE",
            Method::Options => "OPTIONS",
        }
    }
}
