//! Which service a request belongs to.
//!
//! Of the routes that match, the longest path prefix wins, then a stated method over
//! any. Paths are compared in their normal form. An upstream may read a path more
//! loosely than that: where any such reading belongs to an at-most-once route, the
//! request runs at most once, whatever its own route says. A path that some reading
//! gives a dot segment belongs to no service.

use crate::model::{Method, RepeatRule, Service, SiteConfig};
use crate::path;
use domain::{FastMap, ServiceName};

/// Index over all routes of a configuration: built once, asked for each call.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    by_prefix: FastMap<String, Vec<RouteTarget>>,
    /// Prefixes of at-most-once routes by their loosest reading.
    at_most_once: FastMap<String, Vec<String>>,
    max_prefix_segments: usize,
}

/// Where a request belongs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Position in the service's routes.
    pub route_index: usize,
    /// Method of the route.
    pub method: Method,
    /// Whether the request may be sent again; may be stricter than the route's own rule.
    pub repeat: RepeatRule,
}

impl SiteConfig {
    /// Where a request belongs.
    ///
    /// Builds an index each time: keep a [`RouteTable`] where many requests are routed.
    pub fn route(&self, method: &str, path: &str) -> Option<RouteTarget> {
        RouteTable::new(self).find(method, path)
    }
}

impl RouteTable {
    /// The index of a configuration.
    pub fn new(config: &SiteConfig) -> RouteTable {
        let mut table = RouteTable::default();
        for (name, service) in &config.services {
            table.add_service(name, service);
        }
        table
    }

    /// Where a request belongs; `path` comes without its query.
    pub fn find(&self, method: &str, path: &str) -> Option<RouteTarget> {
        let path = path::normal_form(path)?;
        let reading = path::loosest_reading(&path);
        if path::has_dot_segment(&reading) {
            return None;
        }
        let (prefix, target) = self.longest_match(method, &path)?;
        let repeat = match target.repeat {
            RepeatRule::Idempotent if self.is_at_most_once_for_some(method, &reading, prefix) => {
                RepeatRule::AtMostOnce
            }
            repeat => repeat,
        };
        Some(RouteTarget { repeat, ..target.clone() })
    }

    /// A prefix in normal form, without its trailing `/`; `None` if it can be read in
    /// several ways.
    pub(crate) fn normal_prefix(prefix: &str) -> Option<String> {
        let normal = path::normal_form(prefix)?;
        let normal = normal.strip_suffix('/').unwrap_or(&normal);
        let is_plain = path::loosest_reading(normal) == normal.to_ascii_lowercase();
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

    /// Whether an upstream that reads the path loosely could take it for a request of an
    /// at-most-once route, although it matched the prefix.
    ///
    /// Prefixes have one reading but for case, so shorter ones lose in every reading.
    fn is_at_most_once_for_some(&self, method: &str, reading: &str, matched: &str) -> bool {
        let readings = self.prefixes_of(reading).filter(|prefix| prefix.len() >= matched.len());
        let mut prefixes = readings.filter_map(|prefix| self.at_most_once.get(prefix)).flatten();
        prefixes.any(|prefix| self.is_at_most_once(method, prefix))
    }

    fn is_at_most_once(&self, method: &str, prefix: &str) -> bool {
        let target = self.by_prefix.get(prefix).and_then(|targets| best_method(targets, method));
        target.is_some_and(|target| target.repeat == RepeatRule::AtMostOnce)
    }

    /// Prefixes of a path that may stand in the table, the shortest first.
    fn prefixes_of<'a>(&self, path: &'a str) -> impl Iterator<Item = &'a str> {
        let ends = segment_ends(path).take(self.max_prefix_segments);
        std::iter::once(0).chain(ends).map(|end| &path[..end])
    }

    fn add_service(&mut self, name: &ServiceName, service: &Service) {
        for (route_index, route) in service.routes.iter().enumerate() {
            // The check refuses other prefixes.
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
            let reading = path::loosest_reading(&prefix);
            self.at_most_once.entry(reading).or_default().push(prefix.clone());
        }
        self.by_prefix.entry(prefix).or_default().push(target);
    }
}

/// Ends of the segments, the first one's first.
fn segment_ends(path: &str) -> impl Iterator<Item = usize> {
    let slashes = path.bytes().enumerate().skip(1).filter(|(_, byte)| *byte == b'/');
    slashes.map(|(end, _)| end).chain([path.len()])
}

fn best_method<'a>(targets: &'a [RouteTarget], method: &str) -> Option<&'a RouteTarget> {
    let stated = targets.iter().find(|target| target.method.as_str() == method);
    stated.or_else(|| targets.iter().find(|target| target.method == Method::Any))
}

impl Method {
    /// The method as a request states it; `ANY` for every method.
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
