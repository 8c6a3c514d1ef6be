//! One request, from its arrival to its final answer.

mod admission;
mod finding;
mod fingerprint;
mod in_progress;
mod routing;
mod sending;
mod settling;

pub use fingerprint::fingerprint;

use crate::connection::Answer;
use crate::event_log::LogEvent;
use crate::host::Host;
use crate::http1::RequestHead;
use crate::ingress::Caller;
use dispatch::attempts::{Cause, Refusal};
use domain::{Millis, RequestFingerprint, ServiceName};
use published::MatchedRoute;
use routing::{next_service, wait_for_routing};
use std::cell::{Cell, OnceCell};
use std::rc::Rc;

/// A request that has arrived whole.
#[derive(Debug)]
pub struct Request {
    /// Its head.
    pub head: RequestHead,
    /// Its body.
    pub body: Vec<u8>,
    /// When its head was there.
    pub arrived_ms: Millis,
}

impl Request {
    /// The time that its caller has, if it states one under this name.
    fn stated_ms(&self, name: &str) -> Option<Millis> {
        let stated_ms = self.head.fields.get(name)?.parse::<f64>().ok()?;
        (stated_ms >= 0.0).then_some(Millis(stated_ms as u64))
    }
}

/// The final answer to a request.
#[derive(Debug)]
pub enum Reply {
    /// An upstream's.
    Answer(Answer),
    /// The host's own.
    Refused(Refusal),
}

/// What others may see of a request in progress.
#[derive(Debug, Default)]
pub struct Progress {
    /// It was sent and must not be broken off when its caller leaves: it runs at most once,
    /// and an order half done helps nobody.
    pub runs_on: Cell<bool>,
    /// Sendings so far.
    pub sendings: Cell<u32>,
}

struct Serving {
    host: Rc<Host>,
    caller: Rc<Caller>,
    request: Rc<Request>,
    progress: Rc<Progress>,
    id: String,
    matched: MatchedRoute,
    service: ServiceName,
    end_ms: Millis,
    fingerprint: OnceCell<RequestFingerprint>,
}

/// Counts a request as open, and tells when its caller left it.
struct OpenRequest {
    host: Rc<Host>,
    id: String,
    arrived_ms: Millis,
    progress: Rc<Progress>,
    is_answered: bool,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.host.open_requests.set(self.host.open_requests.get().saturating_sub(1));
        if !self.is_answered {
            self.host.metrics.caller_hung_up();
            self.host.log.write(&LogEvent::CallerGone {
                id: &self.id,
                after_ms: self.host.now_ms().since(self.arrived_ms),
                sendings: self.progress.sendings.get(),
                runs_on: false,
            });
        }
    }
}

/// Serves a request. Dropped midway, everything in progress for it is withdrawn.
pub async fn serve(
    host: Rc<Host>,
    caller: Rc<Caller>,
    request: Rc<Request>,
    progress: Rc<Progress>,
) -> Reply {
    host.open_requests.set(host.open_requests.get() + 1);
    let id = request.head.fields.get(host.dialect.request_id).unwrap_or_default().to_owned();
    let mut open = OpenRequest {
        host: Rc::clone(&host),
        id: id.clone(),
        arrived_ms: request.arrived_ms,
        progress: Rc::clone(&progress),
        is_answered: false,
    };
    wait_for_routing(&host, &request).await;
    let (route, outcome) = match route(&host, &caller, &request, &progress, &id) {
        Ok(serving) => {
            let name = serving.matched.route.name.clone();
            (name, serving.run().await)
        }
        Err(refusal) => (String::new(), Err(refusal)),
    };
    open.is_answered = true;
    match outcome {
        Ok(reply) => reply,
        Err(refusal) => {
            note_refusal(&host, &id, &route, refusal, &request, &progress);
            Reply::Refused(refusal)
        }
    }
}

fn note_refusal(
    host: &Host,
    id: &str,
    route: &str,
    refusal: Refusal,
    request: &Request,
    progress: &Progress,
) {
    host.metrics.request_refused(route, refusal.cause);
    host.log.write(&LogEvent::Refused {
        id,
        status: refusal.cause.status(),
        refusal,
        after_ms: host.now_ms().since(request.arrived_ms),
        sendings: progress.sendings.get(),
        picture_age_ms: host.state_age_ms(),
    });
}

fn route(
    host: &Rc<Host>,
    caller: &Rc<Caller>,
    request: &Rc<Request>,
    progress: &Rc<Progress>,
    id: &str,
) -> Result<Serving, Refusal> {
    let table = host.table.borrow().clone();
    let table = table.ok_or(Refusal::not_run(Cause::NotConfigured))?;
    let authority = request.head.fields.get("host").unwrap_or_default();
    let matched = table.find(authority, request.head.path());
    let matched = matched.ok_or(Refusal::not_run(Cause::NoRoute))?;
    let service = next_service(host, &matched.route)?;
    let now_ms = host.now_ms();
    host.retry_budget.borrow_mut().record_request(now_ms, &service, host.host_count());
    let arrived_ms = request.arrived_ms;
    let stated_ms = request.stated_ms(host.dialect.deadline_ms);
    let deadline_ms = stated_ms.map_or(Millis::MAX, |stated_ms| arrived_ms + stated_ms);
    let end_ms = deadline_ms.min(arrived_ms + matched.route.timeout_ms);
    host.log.write(&LogEvent::Routed {
        id,
        route: &matched.route.name,
        service: &service,
        routing: matched.version,
        left_ms: end_ms.since(now_ms),
        picture_age_ms: host.state_age_ms(),
    });
    Ok(Serving {
        host: Rc::clone(host),
        caller: Rc::clone(caller),
        request: Rc::clone(request),
        progress: Rc::clone(progress),
        id: id.to_owned(),
        matched,
        service,
        end_ms,
        fingerprint: OnceCell::new(),
    })
}
