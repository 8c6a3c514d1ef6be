//! Callers' connections.
//!
//! Pipelined requests are served concurrently as long as all of them are idempotent; responses are
//! sent in the order of the requests. A connection is read while its requests are served, so a
//! disconnect is noticed at once.
//!
//! A response that announces the end of the connection, or that refuses a request before it was read,
//! is followed by shutting down the write half, and then reading and dropping what still arrives:
//! closing with unread bytes would reset the connection and lose the response. A connection that ends
//! while it is idle is closed without reading on: a request that was sent meanwhile meets a reset,
//! which tells its caller that it was not read.

mod caller;
mod render;
mod responding;
mod streaming;

pub use caller::Caller;

use crate::event_log::{LogEvent, SessionEnd};
use crate::host::{ACCEPT_PAUSE, Host, to_duration};
use crate::http1::{
    BodyProgress, BodyReader, Framing, HeadError, RequestError, RequestHead, read_request,
};
use crate::memory::{HeldBytes, HeldFor, OpenRequest, REQUEST_TASK_BYTES};
use crate::request_body::{BodyStream, PREFIX_BYTES, RequestBody, Segments};
use crate::serve::{Reply, Request, RequestProgress, fingerprint, latest_end_ms, serve};
use caller::linger;
use clock::Moment;
use dispatch::attempts::{Cause, Refusal};
use domain::{ByteCount, Millis};
use published::{CallerLimits, Idempotency};
use std::cell::OnceCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Limits until the first routing is known.
const FIRST_LIMITS: CallerLimits = CallerLimits {
    head_bytes: ByteCount(16 * 1024),
    body_bytes: ByteCount(1024 * 1024),
    head_timeout_ms: Millis(3_000),
    idle_timeout_ms: Millis(15_000),
};

/// After this many bytes of one connection other tasks get a turn.
const TURN_BYTES: usize = 32 * 1024;

/// Most requests of one connection that are served concurrently.
const MAX_PIPELINED: usize = 32;

/// How much longer than its limit an idle connection stays open, so that a request that was sent in
/// time but delayed on a busy link doesn't meet a closed connection. Longer than callers wait.
const IDLE_SLACK: Duration = Duration::from_secs(5);

/// Lowest rate at which a body must arrive, beyond the idle timeout: otherwise a caller could hold a
/// connection and its memory with a byte now and then.
const MIN_BODY_BYTES_PER_S: f64 = 1_024.0;

/// Longest time for a body to arrive, if neither its caller nor its route states less.
const MAX_BODY_TIME: Duration = Duration::from_secs(60 * 60);

/// Longest body for which memory is reserved by its stated length. Longer ones have to arrive first:
/// a caller that only states a length must not take the memory of all others.
const MAX_RESERVED_BYTES: usize = 1024 * 1024;

/// A request whose response is still to be written.
struct PendingRequest {
    request: Rc<Request>,
    progress: Rc<RequestProgress>,
    task: JoinHandle<Reply>,
    idempotency: Idempotency,
    _open: OpenRequest,
}

impl PendingRequest {
    /// Cancels the request of a caller that disconnected, unless it was sent whole and runs at most
    /// once.
    fn on_caller_gone(&self, host: &Host) {
        if !self.progress.continues_without_caller.get() || !self.request.body.is_read() {
            self.task.abort();
            return;
        }
        host.metrics.caller_hung_up();
        host.log.write(&LogEvent::CallerGone {
            id: self.request.head.fields.get(host.dialect.request_id).unwrap_or_default(),
            after_ms: host.now_ms().since(self.request.arrived_ms),
            sendings: self.progress.attempts.get(),
            runs_on: true,
        });
    }
}

/// A request whose head was read, but not its whole body.
struct PartialRequest {
    head: RequestHead,
    /// Bytes of the head, and of the task that will serve it.
    head_bytes: usize,
    reader: BodyReader,
    body: Segments,
    /// The stated length of the body, if memory is reserved for it.
    reserved_bytes: usize,
    /// When the request can no longer be served; known once its body did not arrive at once.
    expires: Option<Moment>,
    /// Accounts for the head, and for the body as far as it was read or has memory reserved.
    held: HeldBytes,
    arrived_ms: Millis,
    begun: Moment,
    sent_continue: bool,
}

impl PartialRequest {
    /// Whether more of the body may be collected.
    fn may_grow(&self, caller: &Caller) -> bool {
        self.body.len() < PREFIX_BYTES
            || self.reserved_bytes > 0
            || caller.memory().has_room_for_request(caller.inbox_bytes().max(1))
    }

    /// Reads what has arrived of the body.
    fn read_from(&mut self, caller: &Caller) -> Result<BodyProgress, HeadError> {
        let progress = caller.take(|inbox| self.reader.read_from(inbox));
        self.body.push(self.reader.take());
        self.held.set(self.head_bytes + self.body.len().max(self.reserved_bytes));
        progress
    }

    /// When the body has arrived too slowly, or too late.
    fn times_out_at(&self, idle_timeout: Duration) -> Moment {
        let longest_s = self.reader.received_bytes() as f64 / MIN_BODY_BYTES_PER_S;
        let too_slow = self.begun + idle_timeout + Duration::from_secs_f64(longest_s);
        self.expires.map_or(too_slow, |expires| expires.min(too_slow))
    }

    /// Most bytes of the body that may still arrive.
    fn left_bytes(&self) -> usize {
        match self.reader.framing() {
            Framing::Length(length) => {
                let length = usize::try_from(length).unwrap_or(usize::MAX);
                length.saturating_sub(self.reader.received_bytes())
            }
            Framing::Chunked | Framing::UntilClose => usize::MAX,
        }
    }

    /// Finds out when the request can no longer be served.
    fn set_expiry(&mut self, host: &Host) {
        if self.expires.is_none() {
            let end_ms = latest_end_ms(host, &self.head, self.arrived_ms);
            let left_ms = end_ms.since(host.now_ms());
            self.expires = Some(Moment::now() + to_duration(left_ms).min(MAX_BODY_TIME));
        }
    }
}

/// The state of one caller's connection.
struct Session {
    host: Rc<Host>,
    caller: Rc<Caller>,
    pending: VecDeque<PendingRequest>,
    partial: Option<PartialRequest>,
    complete: Option<Rc<Request>>,
    refused: Option<Refusal>,
    head_started: Option<Moment>,
    last_active: Moment,
    /// Whether the partial request has been late once.
    was_late: bool,
    is_last: bool,
}

/// Accepts callers' connections until the host begins to close them.
///
/// Then the port is closed, too, so that new connections are refused instead of never being read.
pub async fn accept(host: Rc<Host>, listener: TcpListener) {
    let mut closing = host.closing_idle.subscribe();
    loop {
        let accepting = async {
            host.memory.small_requests_have_room().await;
            listener.accept().await
        };
        let accepted = tokio::select! {
            accepted = accepting => accepted,
            _ = closing.changed() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::task::spawn_local(session(Rc::clone(&host), stream));
            }
            Err(e) => {
                // Out of descriptors, or the caller has disconnected already; try again.
                host.log.write(&LogEvent::AcceptFailed { problem: e.to_string() });
                clock::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn session(host: Rc<Host>, stream: TcpStream) {
    // If it fails, small responses may be delayed, nothing else.
    let _ = stream.set_nodelay(true);
    let caller = Rc::new(Caller::new(stream, &host.memory));
    let now = Moment::now();
    let mut session = Session {
        host,
        caller,
        pending: VecDeque::new(),
        partial: None,
        complete: None,
        refused: None,
        head_started: None,
        last_active: now,
        was_late: false,
        is_last: false,
    };
    session.host.open_caller_connections.update(|open| open + 1);
    let end = session.run().await;
    for pending in &session.pending {
        pending.on_caller_gone(&session.host);
    }
    session.close(end).await;
    session.host.open_caller_connections.update(|open| open - 1);
}

/// What a session has waited for.
enum Next {
    Read,
    Answered(Reply),
    TimedOut,
    Closing,
}

impl Session {
    async fn run(&mut self) -> SessionEnd {
        loop {
            let read_bytes = self.caller.fill();
            if self.caller.is_gone() {
                return SessionEnd::CallerGone;
            }
            self.start_requests().await;
            if read_bytes >= TURN_BYTES {
                tokio::task::yield_now().await;
            }
            if let Some(refusal) = self.refused.filter(|_| self.pending.is_empty()) {
                self.write_refusal(refusal).await;
                return SessionEnd::Refused;
            }
            match self.wait().await {
                Next::Read => {}
                Next::Answered(reply) => {
                    if let Some(end) = self.write_response(reply).await {
                        return end;
                    }
                }
                Next::TimedOut if self.is_still_idle() => return SessionEnd::Idle,
                Next::TimedOut if self.has_partial_request() => self.judge_late(),
                Next::TimedOut if self.pending.is_empty() => return SessionEnd::Idle,
                // Requests in progress have timeouts of their own.
                Next::TimedOut => {}
                Next::Closing if self.is_still_idle() => return SessionEnd::Stopping,
                // A request that was read, even in part, is served; its response announces the end.
                Next::Closing => {}
            }
        }
    }

    /// Closes the connection.
    async fn close(&self, end: SessionEnd) {
        let dropped_bytes = match end {
            SessionEnd::Idle
            | SessionEnd::Stopping
            | SessionEnd::CallerGone
            | SessionEnd::Reset => 0,
            SessionEnd::LastResponse
            | SessionEnd::Refused
            | SessionEnd::Unwritable
            | SessionEnd::BrokenOff => linger(&self.caller).await,
        };
        self.host.log.write(&LogEvent::CallerClosed {
            end,
            idle_ms: Millis(self.last_active.elapsed().as_millis() as u64),
            unanswered: self.pending.len(),
            dropped_bytes,
        });
    }

    fn is_idle(&self) -> bool {
        self.pending.is_empty()
            && self.partial.is_none()
            && self.complete.is_none()
            && self.caller.inbox_bytes() == 0
    }

    /// Whether the connection is idle after another read: a busy host may not have read everything.
    fn is_still_idle(&mut self) -> bool {
        self.caller.fill_now();
        self.is_idle()
    }

    fn has_partial_request(&self) -> bool {
        self.partial.is_some() || self.head_started.is_some()
    }

    /// Refuses a partial request that is late. First it is looked at once more: this process may have
    /// been held up, and may not have read what had arrived by then.
    fn judge_late(&mut self) {
        if !std::mem::replace(&mut self.was_late, true) {
            return;
        }
        self.refused = Some(Refusal::not_run(Cause::SlowRequest));
        // Nothing more is waited for, whatever else is still being served.
        self.partial = None;
        self.head_started = None;
    }

    fn limits(&self) -> CallerLimits {
        let table = self.host.table.borrow();
        table.as_ref().map_or(FIRST_LIMITS, |table| table.routing().limits)
    }

    async fn wait(&mut self) -> Next {
        let may_read = self.caller.has_room();
        let memory = Rc::clone(&self.host.memory);
        let has_room = memory.has_room_for_small_request();
        let is_passed_on = self.pending.back().is_some_and(|last| !last.request.body.is_read());
        let times_out = self.timeout_at();
        let mut closing = self.host.closing_idle.subscribe();
        let is_closing = *closing.borrow();
        if is_closing && self.is_idle() {
            return Next::Closing;
        }
        let front = self.pending.front_mut();
        let next_reply = async {
            match front {
                Some(pending) => (&mut pending.task).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            reply = next_reply => match reply {
                Ok(reply) => Next::Answered(reply),
                // The task panicked; whether the request ran is unknown.
                Err(_) => Next::Answered(Reply::Refused(Refusal::may_have_run(Cause::UpstreamFailed))),
            },
            ready = self.caller.stream.readable(), if may_read => {
                if ready.is_err() {
                    self.caller.set_gone();
                }
                Next::Read
            }
            () = memory.small_requests_have_room(), if !has_room => Next::Read,
            // Whoever passes on its body may find it gone, or has read it.
            () = self.caller.left(), if is_passed_on => Next::Read,
            () = clock::sleep_until(times_out) => Next::TimedOut,
            _ = closing.changed(), if !is_closing => Next::Closing,
        }
    }

    /// When the wait for the caller times out.
    fn timeout_at(&self) -> Moment {
        let limits = self.limits();
        match self.head_started {
            Some(since) if self.partial.is_none() => since + to_duration(limits.head_timeout_ms),
            _ if !self.pending.is_empty() => Moment::now() + to_duration(limits.idle_timeout_ms),
            _ if self.is_idle() => {
                self.last_active + to_duration(limits.idle_timeout_ms) + IDLE_SLACK
            }
            _ => {
                let idle_timeout = to_duration(limits.idle_timeout_ms);
                let inactive = self.last_active + idle_timeout;
                let partial = self.partial.as_ref();
                partial.map_or(inactive, |it| it.times_out_at(idle_timeout).min(inactive))
            }
        }
    }

    /// Starts to serve the requests that have been read.
    async fn start_requests(&mut self) {
        while !self.is_last && self.refused.is_none() {
            if self.complete.is_none() && !self.read_complete_request().await {
                return;
            }
            if !self.start_request() {
                return;
            }
        }
    }

    /// Reads a complete request from the inbox; false if it is incomplete or refused.
    async fn read_complete_request(&mut self) -> bool {
        if self.partial.is_none() && !(self.may_read_head() && self.read_head()) {
            return false;
        }
        let Some(partial) = &mut self.partial else { return false };
        if !partial.may_grow(&self.caller) {
            return self.pass_on_partial();
        }
        match partial.read_from(&self.caller) {
            Ok(BodyProgress::Whole) => {}
            Ok(BodyProgress::Partial) => {
                let may_grow = partial.may_grow(&self.caller);
                partial.set_expiry(&self.host);
                self.last_active = Moment::now();
                self.send_continue().await;
                return !may_grow && self.pass_on_partial();
            }
            Ok(BodyProgress::TooLarge) => {
                self.refused = Some(Refusal::not_run(Cause::BodyTooLarge));
                return false;
            }
            Err(_) => {
                self.refused = Some(Refusal::not_run(Cause::BadRequest));
                return false;
            }
        }
        let Some(PartialRequest { head, body, held, arrived_ms, .. }) = self.partial.take() else {
            return false;
        };
        let body = RequestBody::Whole(body);
        let fingerprint = OnceCell::new();
        self.complete = Some(Rc::new(Request { head, body, arrived_ms, held, fingerprint }));
        true
    }

    /// Whether a further request may be read: the body of the last one was read, and requests that
    /// are pipelined behind others have memory.
    fn may_read_head(&self) -> bool {
        match self.pending.back() {
            None => true,
            Some(last) => {
                last.request.body.is_read()
                    && self.host.memory.has_room_for_request(self.caller.inbox_bytes())
            }
        }
    }

    /// Completes the request with a body that is passed on in pieces; false if it has to wait for
    /// earlier requests, or is refused as too many bodies are passed on.
    fn pass_on_partial(&mut self) -> bool {
        if !self.pending.is_empty() {
            return false;
        }
        let left_bytes = self.partial.as_ref().map_or(0, PartialRequest::left_bytes);
        let Some(permit) = self.host.memory.permit_stream(left_bytes) else {
            self.refused = Some(Refusal::not_run(Cause::Overloaded));
            return false;
        };
        let Some(PartialRequest { head, head_bytes, reader, body, held, arrived_ms, .. }) =
            self.partial.take()
        else {
            return false;
        };
        self.host.log.write(&LogEvent::BodyPassedOn {
            id: head.fields.get(self.host.dialect.request_id).unwrap_or_default(),
            collected_bytes: body.len(),
            held_bytes: self.host.memory.request_bytes(),
        });
        self.host.metrics.body_passed_on();
        held.set(head_bytes);
        let prefix = body.prefix(PREFIX_BYTES);
        let fingerprint = fingerprint(&head, &prefix, self.host.dialect.caller).into();
        drop(prefix);
        let body = BodyStream::new(&self.caller, reader, body, permit);
        let body = RequestBody::Streamed(Box::new(body));
        self.complete = Some(Rc::new(Request { head, body, arrived_ms, held, fingerprint }));
        true
    }

    fn read_head(&mut self) -> bool {
        let limits = self.limits();
        let max_bytes = usize::try_from(limits.head_bytes.0).unwrap_or(usize::MAX);
        self.caller.allow_head(max_bytes);
        let inbox_bytes = self.caller.inbox_bytes();
        let head = match self.caller.take(|inbox| read_request(inbox, max_bytes)) {
            Ok(Some(head)) => head,
            Ok(None) => {
                let has_bytes = self.caller.inbox_bytes() > 0;
                self.head_started = self.head_started.filter(|_| has_bytes);
                if has_bytes {
                    self.head_started.get_or_insert_with(Moment::now);
                }
                return false;
            }
            Err(error) => {
                self.refused = Some(Refusal::not_run(match error {
                    RequestError::Head(_) => Cause::BadRequest,
                    RequestError::HeadTooLarge => Cause::HeadTooLarge,
                }));
                return false;
            }
        };
        self.head_started = None;
        self.was_late = false;
        let max_body = usize::try_from(limits.body_bytes.0).unwrap_or(usize::MAX);
        let reader = BodyReader::new(head.framing, max_body);
        let arrived_ms = self.host.now_ms();
        let begun = Moment::now();
        let head_bytes = inbox_bytes - self.caller.inbox_bytes() + REQUEST_TASK_BYTES;
        let held = self.host.memory.hold(HeldFor::Requests);
        let reserved_bytes = self.bytes_to_reserve(head.framing, max_body);
        held.set(head_bytes + reserved_bytes);
        self.partial = Some(PartialRequest {
            head,
            head_bytes,
            reader,
            body: Segments::default(),
            reserved_bytes,
            expires: None,
            held,
            arrived_ms,
            begun,
            sent_continue: false,
        });
        true
    }

    /// The stated length of a body, if it is moderate and there is memory for it.
    fn bytes_to_reserve(&self, framing: Framing, max_body_bytes: usize) -> usize {
        match framing {
            Framing::Length(length) => {
                let bytes = usize::try_from(length).unwrap_or(usize::MAX);
                let is_reserved = bytes <= MAX_RESERVED_BYTES.min(max_body_bytes)
                    && self.host.memory.has_room_for_request(bytes);
                if is_reserved { bytes } else { 0 }
            }
            Framing::Chunked | Framing::UntilClose => 0,
        }
    }

    /// Sends `100 Continue` to a caller that expects it, once no earlier response is pending.
    async fn send_continue(&mut self) {
        let is_first = self.pending.is_empty();
        let Some(partial) = &mut self.partial else { return };
        if is_first && !partial.sent_continue && partial.head.fields.lists("expect", "100-continue")
        {
            partial.sent_continue = true;
            // The next read notices a caller that can't be written to.
            let _ = self.caller.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        }
    }

    /// Starts to serve the complete request; false if there is none or it has to wait for earlier ones.
    fn start_request(&mut self) -> bool {
        let Some(request) = self.complete.take() else { return false };
        let idempotency = match request.head.is_safe_method() {
            true => Idempotency::Idempotent,
            false => Idempotency::AtMostOnce,
        };
        let are_all_idempotent = idempotency == Idempotency::Idempotent
            && self.pending.iter().all(|pending| pending.idempotency == Idempotency::Idempotent);
        let may_start = self.pending.is_empty()
            || are_all_idempotent
                && self.pending.len() < MAX_PIPELINED
                && self.host.memory.has_room_for_pipelined();
        if !may_start {
            self.complete = Some(request);
            return false;
        }
        self.is_last = !request.head.keeps_alive || self.host.is_stopping();
        let progress = Rc::new(RequestProgress::default());
        let serving = serve(
            Rc::clone(&self.host),
            Rc::clone(&self.caller),
            Rc::clone(&request),
            Rc::clone(&progress),
        );
        let task = tokio::task::spawn_local(serving);
        let _open = self.host.memory.open_request();
        self.pending.push_back(PendingRequest { request, progress, task, idempotency, _open });
        true
    }
}
