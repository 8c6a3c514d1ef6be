//! Sends a call to an upstream, once.
//!
//! Whatever an HTTP client does by itself is off here: redirects, proxies from the
//! environment, retries, content decoding. What is left is the connection pool, which
//! takes another connection only while the request still sits in its own queue.
//!
//! A failure says how far the request got. "Before sending" needs a proof: no connection
//! came about, or the [`SendGate`] was shut when the body was to be written.

use crate::answer::{self, Answer, AnswerBody, BytesLeft, Framing};
use crate::connection_share::{
    ConnectionPermit, ConnectionShares, CountedConnecting, IDLE_TIMEOUT,
};
use crate::error::StartError;
use crate::headers::{self, X_DEADLINE_MS, X_DEPTH, X_ENTRY_HOST, X_ENTRY_ZONE, X_SPENT_ATTEMPTS};
use crate::request::CallRequest;
use crate::send_gate::{GatedBody, SendGate};
use bytes::{Bytes, BytesMut};
use clock::{Clock, Deadline};
use decision_core::{Attempt, FailureStage};
use domain::{ByteCount, HostId, ZoneName};
use error_stack::{Report, ResultExt};
use futures_util::stream::{self, StreamExt};
use reqwest::header::{HeaderMap, HeaderValue};
use reqwest::{Body, Client, Request, Response, Url, redirect, retry};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

/// An upstream that does not accept within this time is out of reach.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A client that does nothing by itself.
///
/// # Errors
///
/// If the machine denies what the client needs.
pub fn plain_client() -> Result<Client, Report<StartError>> {
    Client::builder()
        .redirect(redirect::Policy::none())
        .no_proxy()
        .retry(retry::never())
        .referer(false)
        .http1_only()
        .tcp_nodelay(true)
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .connector_layer(CountedConnecting)
        .build()
        .change_context(StartError::Machine { what: "an HTTP client" })
}

/// Sends attempts.
#[derive(Debug, Clone)]
pub struct AttemptSender {
    client: Client,
    clock: Clock,
    connections: ConnectionShares,
    entry_host: HeaderValue,
    entry_zone: HeaderValue,
}

impl AttemptSender {
    /// The entry host, as a header value.
    pub fn entry_host(&self) -> HeaderValue {
        self.entry_host.clone()
    }

    /// Sends by `client` in the name of an entry host.
    pub fn new(client: Client, clock: Clock, host: &HostId, zone: &ZoneName) -> AttemptSender {
        AttemptSender {
            client,
            clock,
            connections: ConnectionShares::default(),
            entry_host: headers::id(host.as_str()),
            entry_zone: headers::id(zone.as_str()),
        }
    }

    /// A gate for an attempt.
    pub fn gate(&self, attempt: &Attempt) -> Arc<SendGate> {
        SendGate::new(self.clock, attempt.deadline_ms)
    }

    /// Waits for a connection, sends an attempt and waits until its answer can be judged: whole if it is no larger
    /// than `held`, else as soon as its head is here.
    ///
    /// # Errors
    ///
    /// How far the attempt got.
    pub async fn send(
        &self,
        attempt: &Attempt,
        request: &CallRequest,
        gate: &Arc<SendGate>,
        held: ByteCount,
    ) -> Result<Answer, FailureStage> {
        let mut deadline = self.clock.deadline(attempt.deadline_ms);
        let response = before(&mut deadline, gate, self.open(attempt, request, gate))
            .await
            .unwrap_or_else(|| Err(stage_of_timeout(gate)))?;
        self.read(attempt, response, held, &mut deadline).await
    }

    async fn open(
        &self,
        attempt: &Attempt,
        request: &CallRequest,
        gate: &Arc<SendGate>,
    ) -> Result<OpenResponse, FailureStage> {
        let mut permit = self.connections.permit(attempt.address, attempt.connections).await;
        // Its headers state the time that is left now.
        let to_send = self.request(attempt, request, gate);
        if !may_go(&to_send, gate) {
            return Err(FailureStage::BeforeSending);
        }
        let sent = permit.opening(self.client.execute(to_send)).await;
        let response = sent.map_err(|error| stage_of_error(&error, gate))?;
        let framing = Framing::of(&request.method, response.status(), response.headers());
        Ok(OpenResponse { response, framing, left: BytesLeft::of(framing), permit })
    }

    fn request(&self, attempt: &Attempt, call: &CallRequest, gate: &Arc<SendGate>) -> Request {
        let mut request = Request::new(call.method.clone(), url_at(&call.url, attempt.address));
        *request.headers_mut() = self.headers(attempt, &call.headers);
        if !call.body.is_empty() {
            let body = GatedBody::new(Arc::clone(gate), call.body.clone());
            *request.body_mut() = Some(Body::wrap(body));
        }
        request
    }

    fn headers(&self, attempt: &Attempt, call: &HeaderMap) -> HeaderMap {
        let left_ms = attempt.deadline_ms.since(self.clock.now());
        let mut headers = call.clone();
        headers.insert(X_DEADLINE_MS, headers::millis(left_ms));
        headers.insert(X_SPENT_ATTEMPTS, headers::number(attempt.spent_attempts.into()));
        headers.insert(X_DEPTH, headers::number(attempt.depth.into()));
        headers.insert(X_ENTRY_HOST, self.entry_host.clone());
        headers.insert(X_ENTRY_ZONE, self.entry_zone.clone());
        headers
    }

    async fn read(
        &self,
        attempt: &Attempt,
        mut open: OpenResponse,
        held: ByteCount,
        deadline: &mut Deadline,
    ) -> Result<Answer, FailureStage> {
        let status = open.response.status();
        if status.is_informational() {
            return Err(FailureStage::AfterSending);
        }
        let headers = std::mem::take(open.response.headers_mut());
        let body = match open.framing {
            Framing::UntilClose => return Err(FailureStage::AnswerCut),
            Framing::Empty => {
                open.permit.note_returned();
                AnswerBody::Whole(Bytes::new())
            }
            Framing::Length(length) if length > held.0 => self.rest(attempt, Bytes::new(), open),
            Framing::Length(_) | Framing::Chunked => {
                let held = usize::try_from(held.0).unwrap_or(usize::MAX);
                tokio::select! {
                    biased;
                    () = deadline => return Err(FailureStage::TimedOut),
                    body = self.hold(attempt, open, held) => body?,
                }
            }
        };
        let is_whole = matches!(body, AnswerBody::Whole(_));
        let head = answer::answer_head(status, &headers, is_whole);
        let headers = answer::headers_for_caller(headers, &head);
        Ok(Answer { status, headers, head, body })
    }

    /// Reads a body until it is whole, or larger than what is held.
    async fn hold(
        &self,
        attempt: &Attempt,
        mut open: OpenResponse,
        held: usize,
    ) -> Result<AnswerBody, FailureStage> {
        let mut first = Bytes::new();
        let mut rest = BytesMut::new();
        while let Some(chunk) = open.chunk().await? {
            match first.is_empty() {
                true => first = chunk,
                false => rest.extend_from_slice(&chunk),
            }
            if first.len() + rest.len() > held {
                let read = joined(first, rest);
                return Ok(self.rest(attempt, read, open));
            }
        }
        Ok(AnswerBody::Whole(joined(first, rest)))
    }

    /// What was read, then what still comes; ends with an error if it is cut or late.
    fn rest(&self, attempt: &Attempt, read: Bytes, open: OpenResponse) -> AnswerBody {
        let left = BytesLeft::of(open.framing);
        let deadline = self.clock.deadline(attempt.deadline_ms);
        let already_read = stream::iter((!read.is_empty()).then_some(Ok(read)));
        let coming = stream::unfold(Some((open, deadline)), |state| async {
            let (mut open, mut deadline) = state?;
            let chunk = tokio::select! {
                biased;
                () = &mut deadline => Err(FailureStage::TimedOut),
                chunk = open.chunk() => chunk,
            };
            match chunk {
                Ok(None) => None,
                Ok(Some(bytes)) => Some((Ok(bytes), Some((open, deadline)))),
                Err(stage) => Some((Err(stage), None)),
            }
        });
        AnswerBody::Stream { rest: already_read.chain(coming).boxed(), left }
    }
}

/// An answer whose body is still to be read, and the right to its connection.
#[derive(Debug)]
struct OpenResponse {
    response: Response,
    framing: Framing,
    left: BytesLeft,
    permit: ConnectionPermit,
}

impl OpenResponse {
    async fn chunk(&mut self) -> Result<Option<Bytes>, FailureStage> {
        let chunk = self.response.chunk().await.map_err(|_| FailureStage::AnswerCut)?;
        let is_end = chunk.as_ref().is_none_or(|bytes| self.left.note_read(bytes.len()));
        if is_end {
            self.permit.note_returned();
        }
        Ok(chunk)
    }
}

fn joined(first: Bytes, rest: BytesMut) -> Bytes {
    match rest.is_empty() {
        true => first,
        false => [first, rest.freeze()].concat().into(),
    }
}

fn may_go(request: &Request, gate: &SendGate) -> bool {
    match request.body() {
        Some(_) => !gate.is_expired(),
        // Without a body nobody asks the gate later.
        None => gate.pass(),
    }
}

fn url_at(url: &Url, address: SocketAddr) -> Url {
    let mut url = url.clone();
    // Neither can fail for an `http` URL that has a host.
    let _ = url.set_ip_host(address.ip());
    let _ = url.set_port(Some(address.port()));
    url
}

/// Runs `work` unless the deadline has passed; looks at the clock each time before `work`
/// goes on, so that a process that was stopped meanwhile can't go on late.
async fn before<T>(
    deadline: &mut Deadline,
    gate: &SendGate,
    work: impl Future<Output = T>,
) -> Option<T> {
    let mut work = pin!(work);
    std::future::poll_fn(|cx| {
        if deadline.as_mut().poll(cx).is_ready() || gate.is_expired() {
            return std::task::Poll::Ready(None);
        }
        work.as_mut().poll(cx).map(Some)
    })
    .await
}

fn stage_of_timeout(gate: &SendGate) -> FailureStage {
    match gate.shut() {
        true => FailureStage::BeforeSending,
        false => FailureStage::TimedOut,
    }
}

fn stage_of_error(error: &reqwest::Error, gate: &SendGate) -> FailureStage {
    match error.is_connect() || error.is_builder() || gate.shut() {
        true => FailureStage::BeforeSending,
        false => FailureStage::AfterSending,
    }
}
