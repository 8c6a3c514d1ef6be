//! Where a request belongs.

use crate::host::Host;
use dispatch::attempts::{Cause, Refusal};
use domain::{Millis, ServiceName};
use published::Route;

/// How long a request waits for the first routing: two tries to read it.
const ROUTING_WAIT_MS: Millis = Millis(120);

/// A host that has just started knows the routing within some milliseconds, so requests
/// that come before it wait for a moment in place of being refused.
pub(super) async fn wait_for_routing(host: &Host) {
    if host.table.borrow().is_some() {
        return;
    }
    if !host.awaits_routing.replace(true) {
        host.news.notify_waiters();
    }
    let until_ms = host.now_ms() + ROUTING_WAIT_MS;
    while host.table.borrow().is_none() && host.now_ms() < until_ms {
        tokio::select! {
            () = host.news.notified() => {}
            () = host.clock.sleep_until(until_ms) => {}
        }
    }
}

/// The service of a route's next request.
pub(super) fn next_service(host: &Host, route: &Route) -> Result<ServiceName, Refusal> {
    let mut splits = host.splits.borrow_mut();
    let service = splits.next(&route.name, &route.split, &mut host.rng.borrow_mut());
    service.ok_or(Refusal::not_run(Cause::NoRoute))
}
