//! Serves one request, from its arrival to its final response.

mod admission;
mod attempt;
mod attempt_end;
mod attempt_guard;
mod attempt_request;
mod authentication;
mod fingerprint;
mod rejection;
mod response_stream;
mod retry_permit;
mod routing;
mod selection;
mod time_left;

pub use fingerprint::fingerprint;
pub use response_stream::{ResponseStream, UpstreamResponse};

use crate::event_log::LogEvent;
use crate::host::Host;
use crate::http1::RequestHead;
use crate::ingress::Caller;
use crate::memory::{HeldBytes, HeldFor, MAX_HELD_BYTES};
use crate::quota;
use crate::request_body::{PREFIX_BYTES, RequestBody};
use crate::shutdown;
use authentication::authenticate;
use dispatch::RouteKey;
use dispatch::attempts::{Cause, Refusal};
use domain::{Millis, RequestFingerprint, ServiceName};
use published::{MatchedRoute, Organisation, RouteTable};
use routing::{next_service, wait_for_routing};
use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::sync::Arc;

/// A request whose head was read, and its body unless it is passed on while it arrives.
#[derive(Debug)]
pub struct Request {
    /// Request line and headers.
    pub head: RequestHead,
    /// Body, without its framing.
    pub body: RequestBody,
    /// When its head was complete.
    pub arrived_ms: Millis,
    /// Accounts for its head, and for a body that is collected.
    pub held: HeldBytes,
    /// Computed on first use, since few need it; or before the body is passed on.
    pub fingerprint: OnceCell<RequestFingerprint>,
}

impl Request {
    /// Its fingerprint; `caller` is the header that names its caller, if any.
    pub fn fingerprint(&self, caller: Option<&str>) -> RequestFingerprint {
        let compute = || match &self.body {
            RequestBody::Whole(segments) => {
                fingerprint(&self.head, &segments.prefix(PREFIX_BYTES), caller)
            }
            // Not reached: it was computed before.
            RequestBody::Streamed(_) => fingerprint(&self.head, &[], caller),
        };
        *self.fingerprint.get_or_init(compute)
    }
}

/// How long the caller waits, if it stated a valid time.
fn stated_wait_ms(host: &Host, head: &RequestHead) -> Option<Millis> {
    let stated_ms = head.fields.get(host.dialect.deadline_ms)?.parse::<f64>().ok()?;
    (stated_ms >= 0.0).then_some(Millis(stated_ms as u64))
}

/// When a request must be answered at the latest, as far as that is known from its head.
pub fn latest_end_ms(host: &Host, head: &RequestHead, arrived_ms: Millis) -> Millis {
    let stated_ms = stated_wait_ms(host, head);
    let deadline_ms = stated_ms.map_or(Millis::MAX, |stated_ms| arrived_ms + stated_ms);
    let table = host.table.borrow();
    let authority = head.fields.get("host").unwrap_or_default();
    let matched = table.as_ref().and_then(|table| table.find(authority, head.path()));
    matched.map_or(deadline_ms, |matched| deadline_ms.min(arrived_ms + matched.route.timeout_ms))
}

/// The final response to a request.
#[derive(Debug)]
pub enum Reply {
    /// A response of an upstream.
    Response(UpstreamResponse),
    /// A refusal by this host.
    Refused(Refusal),
}

/// Progress of a request, shared with the task that reads the caller's connection.
#[derive(Debug, Default)]
pub struct RequestProgress {
    /// The request was sent and runs at most once, so it isn't cancelled when its caller
    /// disconnects: it may have side effects that would be left half done.
    pub continues_without_caller: Cell<bool>,
    /// Attempts so far.
    pub attempts: Cell<u32>,
    /// When the last one was sent.
    pub sent_ms: Cell<Option<Millis>>,
}

/// A request with its route, its service, and the time by which it must be answered.
struct RoutedRequest {
    host: Rc<Host>,
    caller: Rc<Caller>,
    request: Rc<Request>,
    progress: Rc<RequestProgress>,
    id: String,
    matched: MatchedRoute,
    organisation: Option<Arc<Organisation>>,
    /// The routing that identified the caller.
    table: Rc<RouteTable>,
    service: ServiceName,
    /// Identifies the route in learned service times; [`RouteKey::ONLY`] if no other route sends
    /// requests to the service.
    route_key: RouteKey,
    end_ms: Millis,
}

/// Counts a request as open while it exists; logs if the request is dropped unanswered,
/// which happens when its caller disconnects or the process ends.
struct OpenRequestGuard {
    host: Rc<Host>,
    id: String,
    arrived_ms: Millis,
    progress: Rc<RequestProgress>,
    is_answered: bool,
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.host.open_requests.set(self.host.open_requests.get().saturating_sub(1));
        if self.is_answered {
            return;
        }
        if self.host.shutdown.has_ended() {
            shutdown::log_cut(&self.host, &self.id, self.arrived_ms, &self.progress);
        } else {
            self.host.metrics.caller_hung_up();
            self.host.log.write(&LogEvent::CallerGone {
                id: &self.id,
                after_ms: self.host.now_ms().since(self.arrived_ms),
                sendings: self.progress.attempts.get(),
                runs_on: false,
            });
        }
    }
}

/// Serves a request. Dropping the future cancels everything in progress for the request.
pub async fn serve(
    host: Rc<Host>,
    caller: Rc<Caller>,
    request: Rc<Request>,
    progress: Rc<RequestProgress>,
) -> Reply {
    host.open_requests.set(host.open_requests.get() + 1);
    let id = request.head.fields.get(host.dialect.request_id).unwrap_or_default().to_owned();
    let mut guard = OpenRequestGuard {
        host: Rc::clone(&host),
        id: id.clone(),
        arrived_ms: request.arrived_ms,
        progress: Rc::clone(&progress),
        is_answered: false,
    };
    wait_for_routing(&host, &request).await;
    let (route, outcome) = match find_route(&host, &request) {
        Ok(found) => {
            let name = found.matched.route.name.clone();
            let arrived = Arrived {
                host: &host,
                caller: &caller,
                request: &request,
                progress: &progress,
                id: &id,
            };
            (name, serve_found(arrived, found).await)
        }
        Err(refusal) => (String::new(), Err(refusal)),
    };
    guard.is_answered = true;
    match outcome {
        Ok(Reply::Response(response)) => {
            Reply::Response(discard_if_unwanted(response, &caller, &progress).await)
        }
        Ok(reply) => reply,
        Err(refusal) => {
            log_refusal(&host, &id, &route, refusal, &request, &progress);
            Reply::Refused(refusal)
        }
    }
}

/// Reads and drops the rest of a response whose caller disconnected, if the request runs at most
/// once: the upstream might cancel it otherwise.
async fn discard_if_unwanted(
    mut response: UpstreamResponse,
    caller: &Caller,
    progress: &RequestProgress,
) -> UpstreamResponse {
    match response.rest.take() {
        Some(rest) if progress.continues_without_caller.get() && caller.is_gone_now() => {
            rest.discard().await;
        }
        rest => response.rest = rest,
    }
    response
}

fn log_refusal(
    host: &Host,
    id: &str,
    route: &str,
    refusal: Refusal,
    request: &Request,
    progress: &RequestProgress,
) {
    host.metrics.request_refused(route, refusal.cause);
    if let Some(state) = refusal.rejection_state {
        host.metrics.refused_after_rejections(state);
    }
    host.log.write(&LogEvent::Refused {
        id,
        status: refusal.cause.status(),
        refusal,
        after_ms: host.now_ms().since(request.arrived_ms),
        sendings: progress.attempts.get(),
        picture_age_ms: host.state_age_ms(),
    });
}

/// A request's route, and the organisation that sent it.
struct FoundRoute {
    table: Rc<RouteTable>,
    matched: MatchedRoute,
    organisation: Option<Arc<Organisation>>,
}

fn find_route(host: &Host, request: &Request) -> Result<FoundRoute, Refusal> {
    let table = host.table.borrow().clone();
    let table = table.ok_or(Refusal::not_run(Cause::NotConfigured))?;
    let authority = request.head.fields.get("host").unwrap_or_default();
    let matched = table.find(authority, request.head.path());
    let matched = matched.ok_or(Refusal::not_run(Cause::NoRoute))?;
    let organisation = authenticate(host, &table, &matched.route, &request.head)?;
    Ok(FoundRoute { table, matched, organisation })
}

/// A request that has arrived, with what its task shares with others.
#[derive(Clone, Copy)]
struct Arrived<'a> {
    host: &'a Rc<Host>,
    caller: &'a Rc<Caller>,
    request: &'a Rc<Request>,
    progress: &'a Rc<RequestProgress>,
    id: &'a str,
}

/// Serves a request if its organisation's quota allows it.
async fn serve_found(arrived: Arrived<'_>, found: FoundRoute) -> Result<Reply, Refusal> {
    let Arrived { host, progress, id, .. } = arrived;
    let organisation = found.organisation.clone();
    if let Some(organisation) = &organisation {
        quota::admit(host, organisation, id).await?;
    }
    let outcome = match route(arrived, found) {
        Ok(routed) => routed.run().await,
        Err(refusal) => Err(refusal),
    };
    let is_unsent = outcome.is_err() && progress.attempts.get() == 0;
    if let Some(organisation) = organisation.filter(|_| is_unsent) {
        host.quotas.return_token(host.now_ms(), &organisation);
    }
    outcome
}

/// Chooses the service of a request, and computes its deadline.
fn route(arrived: Arrived<'_>, found: FoundRoute) -> Result<RoutedRequest, Refusal> {
    let Arrived { host, caller, request, progress, id } = arrived;
    let FoundRoute { table, matched, organisation } = found;
    let service = next_service(host, &matched.route)?;
    let now_ms = host.now_ms();
    host.retry_budget().record_request(now_ms, &service);
    let arrived_ms = request.arrived_ms;
    let stated_ms = stated_wait_ms(host, &request.head);
    let deadline_ms = stated_ms.map_or(Millis::MAX, |stated_ms| arrived_ms + stated_ms);
    let end_ms = deadline_ms.min(arrived_ms + matched.route.timeout_ms);
    host.log.write(&LogEvent::Routed {
        id,
        route: &matched.route.name,
        organisation: organisation.as_ref().map(|organisation| &organisation.name),
        service: &service,
        routing: matched.version,
        left_ms: end_ms.since(now_ms),
        picture_age_ms: host.state_age_ms(),
    });
    let is_long = host.long_routes.borrow().contains(RouteKey::of(&matched.route.name));
    let has_room = match is_long {
        true => host.memory.has_room_for_response(MAX_HELD_BYTES),
        false => host.memory.has_room_for_open_requests(),
    };
    if !has_room {
        host.log.write(&LogEvent::ResponseMemoryFull {
            id,
            route: &matched.route.name,
            held_bytes: host.memory.held_bytes(HeldFor::Responses),
        });
        return Err(Refusal::not_run(Cause::Overloaded));
    }
    let route_key = match table.is_shared(&service) {
        true => RouteKey::of(&matched.route.name),
        false => RouteKey::ONLY,
    };
    Ok(RoutedRequest {
        host: Rc::clone(host),
        caller: Rc::clone(caller),
        request: Rc::clone(request),
        progress: Rc::clone(progress),
        id: id.to_owned(),
        matched,
        organisation,
        table,
        service,
        route_key,
        end_ms,
    })
}
