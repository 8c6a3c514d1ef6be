//! The callers' listener: HTTP/1.1, and HTTP/2 with prior knowledge.
//!
//! A request is read whole before the core hears of it, so one that its caller cuts short
//! reaches no upstream. From then on a guard watches: when the server lets go of the
//! request because its caller hung up, the core is told at once.

use crate::answer::AnswerBody;
use crate::connections::{self, Admission, Connections};
use crate::driver::{Driver, Reply};
use crate::edge::{EdgeRefusal, RefusalBody};
use crate::headers::{self, X_CALL, X_CAUSE, X_ENTRY_HOST, X_OUTCOME, X_UPSTREAM};
use crate::metrics::CallOutcome;
use crate::request::{self, CallRequest};
use bytes::Bytes;
use clock::Moment;
use decision_core::{CallHead, FailureStage, Refusal, RunOutcome};
use domain::{CallId, UpstreamId};
use futures_util::TryStreamExt;
use http::header::{self, HeaderMap, HeaderValue};
use http::{StatusCode, request as http_request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use listener::Listener;
use salvo::fuse::FuseConfig;
use salvo::http::{ReqBody, ResBody};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait};
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// Largest request head.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Most header lines of a request.
const MAX_HEADERS: usize = 100;
/// Time for a request head; an idle connection is closed after it.
const HEAD_TIMEOUT: Duration = Duration::from_secs(75);
/// Longest silence within a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time that a caller may leave its answer unread.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// The server for callers, ready to serve [`router`]; `connections` gets to know each one.
pub fn server(listener: Listener, connections: Connections) -> Server<Listener> {
    let fuse = FuseConfig::default()
        .with_http1_header_timeout(HEAD_TIMEOUT)
        .with_request_body_timeout(BODY_TIMEOUT)
        .with_write_stall_timeout(WRITE_TIMEOUT);
    let mut server = Server::new(listener).fuse_policy(Admission { connections, fuse });
    server.http1_mut().max_buf_size(MAX_HEAD_BYTES).max_headers(MAX_HEADERS);
    server.http2_mut().max_header_list_size(MAX_HEAD_BYTES as u32);
    server
}

/// Every path and method.
pub fn router(driver: Arc<Driver>, connections: Connections) -> Router {
    Router::with_path("{**rest}").goal(CallHandler { driver, connections })
}

#[derive(Debug)]
struct CallHandler {
    driver: Arc<Driver>,
    connections: Connections,
}

#[async_trait]
impl Handler for CallHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let _request = self.driver.request_begins();
        let body = request.take_body();
        let head = take_head(request);
        let call = self.driver.next_call();
        match self.answer(call, head, body).await {
            Ok(Reply::Answer { upstream, answer }) => {
                write_answer_head(response, &upstream, answer.status, answer.headers);
                response.body(self.answer_body(request, answer.body));
            }
            Ok(Reply::Refused(refusal)) => self.write_refusal(response, &refusal),
            Err(refusal) => self.write_edge_refusal(response, &refusal),
        }
        self.write_origin(response, call);
        if !self.driver.is_ready() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
    }
}

impl CallHandler {
    async fn answer(
        &self,
        call: CallId,
        head: http_request::Parts,
        body: ReqBody,
    ) -> Result<Reply, EdgeRefusal> {
        let call_head = request::call_head(&head)?;
        let max_bytes = self.driver.max_body_bytes().0;
        check_length(&head.headers, max_bytes)?;
        let mut request = CallRequest::from_head(head)?;
        request.body = read_body(body, max_bytes).await?;
        self.follow(call, call_head, request).await
    }

    /// Hands the call to the core and waits for what it ends with.
    async fn follow(
        &self,
        call: CallId,
        head: CallHead,
        request: CallRequest,
    ) -> Result<Reply, EdgeRefusal> {
        let arrived = Moment::now();
        let reply = self.driver.open_call(call, head, request);
        let mut guard = CallerGuard { driver: &self.driver, call, arrived, is_waiting: true };
        let reply = reply.await;
        guard.is_waiting = false;
        let outcome = match &reply {
            Ok(Reply::Answer { .. }) => CallOutcome::Answered,
            Ok(Reply::Refused(refusal)) => refusal.outcome.into(),
            Err(_) => CallOutcome::Unknown,
        };
        self.driver.metrics().call(outcome, arrived.elapsed());
        reply.map_err(|_| {
            log::error!("calls: {call} was let go of without a reply");
            EdgeRefusal::Internal
        })
    }

    fn answer_body(&self, request: &Request, body: AnswerBody) -> ResBody {
        let rest = match body {
            AnswerBody::Whole(bytes) => return ResBody::Once(bytes),
            AnswerBody::Stream { rest, .. } => rest,
        };
        // An error ends the connection, or the stream in HTTP/2, before the body's end.
        match self.connections.at_address(request.remote_addr()) {
            Some(connection) => {
                ResBody::stream(connections::end_after_flush(rest, connection).map_err(cut))
            }
            None => ResBody::stream(rest.map_err(cut)),
        }
    }

    /// Says what an operator can ask for, and where.
    fn write_origin(&self, response: &mut Response, call: CallId) {
        let headers = response.headers_mut();
        headers.insert(X_CALL, headers::number(call.0));
        headers.insert(X_ENTRY_HOST, self.driver.name());
    }

    fn write_refusal(&self, response: &mut Response, refusal: &Refusal) {
        self.driver.metrics().refusal(refusal.cause.to_string());
        let status =
            StatusCode::from_u16(refusal.cause.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        write_own(response, status, &RefusalBody::from(refusal));
        if let Some(after_ms) = refusal.retry_after_ms {
            let secs = headers::number(after_ms.as_retry_after_secs());
            response.headers_mut().insert(header::RETRY_AFTER, secs);
        }
    }

    fn write_edge_refusal(&self, response: &mut Response, refusal: &EdgeRefusal) {
        self.driver.metrics().refusal(refusal.cause().to_owned());
        write_own(response, refusal.status(), &refusal.body());
        if refusal.leaves_body_unread() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
    }
}

fn take_head(request: &mut Request) -> http_request::Parts {
    let (mut head, ()) = http::Request::new(()).into_parts();
    head.method = request.method().clone();
    head.uri = request.uri().clone();
    head.version = request.version();
    head.headers = std::mem::take(request.headers_mut());
    head
}

/// Refuses a stated length that is too large before a byte of the body is asked for.
fn check_length(headers: &HeaderMap, max_bytes: u64) -> Result<(), EdgeRefusal> {
    let length = headers::parse::<u64>(headers, header::CONTENT_LENGTH)
        .map_err(EdgeRefusal::Header)?
        .unwrap_or_default();
    match length > max_bytes {
        true => Err(EdgeRefusal::BodyTooLarge { max_bytes }),
        false => Ok(()),
    }
}

async fn read_body(body: ReqBody, max_bytes: u64) -> Result<Bytes, EdgeRefusal> {
    if body.is_none() {
        return Ok(Bytes::new());
    }
    let limit = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    match Limited::new(body, limit).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            Err(EdgeRefusal::BodyTooLarge { max_bytes })
        }
        Err(_) => Err(EdgeRefusal::BodyCut),
    }
}

/// Tells the core that the caller hung up, when dropped while it waits.
struct CallerGuard<'a> {
    driver: &'a Arc<Driver>,
    call: CallId,
    arrived: Moment,
    is_waiting: bool,
}

impl Drop for CallerGuard<'_> {
    fn drop(&mut self) {
        if self.is_waiting {
            self.driver.caller_gone(self.call);
            self.driver.metrics().call(CallOutcome::CallerGone, self.arrived.elapsed());
        }
    }
}

fn write_answer_head(
    response: &mut Response,
    upstream: &UpstreamId,
    status: StatusCode,
    headers: HeaderMap,
) {
    response.status_code(status);
    *response.headers_mut() = headers;
    response.headers_mut().insert(X_UPSTREAM, headers::id(upstream.as_str()));
}

fn cut(stage: FailureStage) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, format!("the answer broke off: {stage:?}"))
}

fn write_own(response: &mut Response, status: StatusCode, body: &RefusalBody) {
    response.status_code(status);
    let headers = response.headers_mut();
    headers.insert(X_CAUSE, headers::id(&body.cause));
    headers.insert(X_OUTCOME, outcome(body.outcome));
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response.body(ResBody::Once(serde_json::to_vec(body).unwrap_or_default().into()));
}

fn outcome(outcome: RunOutcome) -> HeaderValue {
    HeaderValue::from_static(match outcome {
        RunOutcome::Run => "run",
        RunOutcome::NotRun => "not-run",
        RunOutcome::Unknown => "unknown",
    })
}
