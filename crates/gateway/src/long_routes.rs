//! Remembers which routes had a long response last.

use dispatch::RouteKey;
use domain::FastSet;

/// Longest body of a response that is collected whole before it is passed on.
pub const MAX_WHOLE_BYTES: usize = 64 * 1024;

/// Routes whose last response was long.
#[derive(Debug, Default)]
pub struct LongRoutes {
    routes: FastSet<RouteKey>,
}

impl LongRoutes {
    /// Whether the route's last response was long.
    pub fn contains(&self, route: RouteKey) -> bool {
        self.routes.contains(&route)
    }

    /// Records the kind of a route's last response.
    pub fn record_response(&mut self, route: RouteKey, is_long: bool) {
        match is_long {
            true => self.routes.insert(route),
            false => self.routes.remove(&route),
        };
    }

    /// Forgets routes that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(RouteKey) -> bool) {
        self.routes.retain(|route| exists(*route));
    }
}
