//! Waits for the first routing, and chooses a request's service.

use super::{Request, stated_wait_ms};
use crate::host::Host;
use dispatch::attempts::{Cause, Refusal};
use domain::{Millis, ServiceName};
use published::Route;

/// A request may wait at least this long for the first routing: enough for two attempts to read it.
const ROUTING_WAIT_MS: Millis = Millis(120);

/// Share of the caller's deadline that a request may wait for the first routing. When all hosts
/// have just started, a refused caller that retries is no better off; this leaves most of its time.
const ROUTING_WAIT_SHARE: f64 = 0.15;

/// Waits for the first routing. A host receives it within some milliseconds of its start, so
/// requests that arrive earlier wait instead of being refused.
pub(super) async fn wait_for_routing(host: &Host, request: &Request) {
    if host.table.borrow().is_some() {
        return;
    }
    if !host.is_routing_awaited.replace(true) {
        host.state_updated.notify_waiters();
    }
    let stated_ms = stated_wait_ms(host, &request.head);
    let share_ms = Millis((stated_ms.unwrap_or_default().as_f64() * ROUTING_WAIT_SHARE) as u64);
    let wait_ms = ROUTING_WAIT_MS.max(share_ms).min(stated_ms.unwrap_or(Millis::MAX));
    let last_ms = host.shutdown.schedule().map_or(Millis::MAX, |it| it.last_response_ms());
    let until_ms = (request.arrived_ms + wait_ms).min(last_ms);
    while host.table.borrow().is_none() && host.now_ms() < until_ms {
        tokio::select! {
            () = host.state_updated.notified() => {}
            () = host.clock.sleep_until(until_ms) => {}
        }
    }
}

/// Returns the service of a route's next request, by the weights of the route's split.
pub(super) fn next_service(host: &Host, route: &Route) -> Result<ServiceName, Refusal> {
    let mut splits = host.split_table.borrow_mut();
    let service = splits.next_service(&route.name, &route.split, &mut host.rng.borrow_mut());
    service.ok_or(Refusal::not_run(Cause::NoRoute))
}
