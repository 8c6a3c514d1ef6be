//! Which service a request belongs to.
//!
//! Of the routes that match, the longest path prefix wins, then a stated method over
//! any. Paths are compared byte by byte, as they came: what an entry host took for one
//! path and an upstream for another could run an at-most-once request twice. For the
//! same reason a path with a dot segment, plain or percent-encoded, or with a backslash
//! belongs to no service: HTTP libraries on the way would rewrite it to another path.

use crate::model::{Method, RepeatRule, Route, Service, SiteConfig};
use domain::{FastMap, ServiceName};

/// Index over all routes of a configuration: built once, asked for each call.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    by_prefix: FastMap<String, Vec<RouteTarget>>,
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
    /// Whether the request may be sent again.
    pub repeat: RepeatRule,
}

impl SiteConfig {
    /// The service and route of a request.
    ///
    /// Builds an index each time: keep a [`RouteTable`] where many requests are routed.
    pub fn route(&self, method: &str, path: &str) -> Option<(&ServiceName, &Service, &Route)> {
        let table = RouteTable::new(self);
        let target = table.find(method, path)?;
        let (name, service) = self.services.get_key_value(&target.service)?;
        Some((name, service, service.routes.get(target.route_index)?))
    }
}

impl RouteTable {
    /// The index of a configuration.
    pub fn new(config: &SiteConfig) -> RouteTable {
        let mut table = RouteTable::default();
        for (name, service) in &config.services {
            for (index, route) in service.routes.iter().enumerate() {
                table.add(name, index, route);
            }
        }
        table
    }

    /// Where a request belongs; `path` comes without its query.
    pub fn find(&self, method: &str, path: &str) -> Option<&RouteTarget> {
        if !path.starts_with('/') || path.contains('\\') || RouteTable::has_dot_segment(path) {
            return None;
        }
        let ends = segment_ends(path).take(self.max_prefix_segments);
        let matches = std::iter::once(0).chain(ends).filter_map(|end| {
            let targets = self.by_prefix.get(&path[..end])?;
            best_method(targets, method)
        });
        matches.last()
    }

    /// Segments of a path or prefix that begins with `/`; a trailing `/` adds none to a prefix.
    pub(crate) fn segments(prefix: &str) -> impl Iterator<Item = &str> {
        RouteTable::normal_prefix(prefix).split('/').skip(1)
    }

    /// A prefix without its trailing `/`.
    pub(crate) fn normal_prefix(prefix: &str) -> &str {
        prefix.strip_suffix('/').unwrap_or(prefix)
    }

    /// Whether a segment is `.` or `..`, percent-encoded or not.
    pub(crate) fn has_dot_segment(path: &str) -> bool {
        path.split('/').any(is_dot_segment)
    }

    fn add(&mut self, service: &ServiceName, route_index: usize, route: &Route) {
        let prefix = RouteTable::normal_prefix(&route.path_prefix);
        let target = RouteTarget {
            service: service.clone(),
            route_index,
            method: route.method,
            repeat: route.repeat,
        };
        self.max_prefix_segments =
            self.max_prefix_segments.max(RouteTable::segments(prefix).count());
        self.by_prefix.entry(prefix.to_owned()).or_default().push(target);
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

fn is_dot_segment(segment: &str) -> bool {
    let mut rest = segment;
    let mut dots = 0;
    while !rest.is_empty() {
        let after = rest.strip_prefix('.').or_else(|| strip_encoded_dot(rest));
        match after {
            Some(after) => rest = after,
            None => return false,
        }
        dots += 1;
    }
    matches!(dots, 1 | 2)
}

fn strip_encoded_dot(text: &str) -> Option<&str> {
    text.strip_prefix("%2e").or_else(|| text.strip_prefix("%2E"))
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
