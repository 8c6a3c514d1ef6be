//! The operators' listener.

use crate::driver::Driver;
use decision_core::Event;
use http::StatusCode;
use http::header::{self, HeaderValue};
use salvo::http::ResBody;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};
use serde::Serialize;
use std::sync::Arc;

/// What operators can ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Question {
    Live,
    Ready,
    State,
    Metrics,
    ExplainCall,
    ExplainUpstream,
    Drain,
}

/// The entry host knows nothing of what was asked for.
#[derive(Debug, Serialize)]
struct Unknown {
    error: String,
    remedy: &'static str,
}

const UNKNOWN_UPSTREAM: &str = "take an id from `jujubectl dump services`; upstreams are known once a configuration is in force";
const UNKNOWN_CALL: &str = "take the number from the answer's x-call and ask the entry host of its \
    x-entry-host soon: only the newest steps are kept; for a request refused before it was routed \
    x-cause says all";

/// The operators' paths.
pub fn router(driver: Arc<Driver>) -> Router {
    let ask = |question| Operator { driver: Arc::clone(&driver), question };
    let get = |path: &str, question| Router::with_path(path).get(ask(question));
    Router::new()
        .push(get("livez", Question::Live))
        .push(get("readyz", Question::Ready))
        .push(get("state", Question::State))
        .push(get("metrics", Question::Metrics))
        .push(get("explain/call/{id}", Question::ExplainCall))
        .push(get("explain/upstream/{id}", Question::ExplainUpstream))
        .push(Router::with_path("drain").post(ask(Question::Drain)))
}

#[derive(Debug)]
struct Operator {
    driver: Arc<Driver>,
    question: Question,
}

#[async_trait]
impl Handler for Operator {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match self.question {
            Question::Live => text(response, StatusCode::OK, "live\n".into()),
            Question::Ready if self.driver.is_ready() => {
                text(response, StatusCode::OK, "ready\n".into());
            }
            Question::Ready => {
                text(response, StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into());
            }
            Question::State => json(response, &self.driver.dump()),
            Question::Metrics => {
                text(response, StatusCode::OK, self.driver.metrics().render());
            }
            Question::ExplainUpstream => self.explain_upstream(&id(request), response),
            Question::ExplainCall => self.explain_call(&id(request), response),
            Question::Drain => {
                log::info!("calls: an operator asked for a drain");
                self.driver.apply(Event::StopRequested);
                text(response, StatusCode::ACCEPTED, "draining\n".into());
            }
        }
    }
}

impl Operator {
    fn explain_upstream(&self, id: &str, response: &mut Response) {
        let found = id.parse().map(|id| self.driver.explain_upstreams(&id)).unwrap_or_default();
        match found.is_empty() {
            true => unknown(response, format!("no upstream {id:?} is known"), UNKNOWN_UPSTREAM),
            false => json(response, &found),
        }
    }

    fn explain_call(&self, id: &str, response: &mut Response) {
        let found = id.parse().map(|id| self.driver.explain_call(id)).unwrap_or_default();
        match found.is_empty() {
            true => unknown(response, format!("no call {id:?} is known"), UNKNOWN_CALL),
            false => json(response, &found),
        }
    }
}

fn id(request: &Request) -> String {
    request.param("id").unwrap_or_default()
}

fn unknown(response: &mut Response, error: String, remedy: &'static str) {
    json(response, &Unknown { error, remedy });
    response.status_code(StatusCode::NOT_FOUND);
}

fn text(response: &mut Response, status: StatusCode, body: String) {
    write(response, status, "text/plain; charset=utf-8", body.into_bytes());
}

fn json(response: &mut Response, body: &impl Serialize) {
    let body = serde_json::to_vec_pretty(body).unwrap_or_default();
    write(response, StatusCode::OK, "application/json", body);
}

fn write(response: &mut Response, status: StatusCode, kind: &'static str, body: Vec<u8>) {
    response.status_code(status);
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    response.body(ResBody::Once(body.into()));
}
