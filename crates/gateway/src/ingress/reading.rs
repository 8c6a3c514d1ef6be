//! Reads the requests of one caller's connection, and starts to serve them.

use super::partial::PartialRequest;
use super::{PendingRequest, Session};
use crate::event_log::LogEvent;
use crate::http1::{BodyProgress, BodyReader, Framing, RequestError, read_request};
use crate::memory::{HeldFor, REQUEST_TASK_BYTES};
use crate::request_body::{BodyStream, PREFIX_BYTES, RequestBody, Segments};
use crate::serve::{Request, RequestProgress, fingerprint, serve};
use clock::Moment;
use dispatch::attempts::{Cause, Refusal};
use published::Idempotency;
use std::cell::OnceCell;
use std::rc::Rc;

/// Longest body for which memory is reserved by its stated length. Longer ones have to arrive first:
/// a caller that only states a length must not take the memory of all others.
const MAX_RESERVED_BYTES: usize = 1024 * 1024;

/// Most requests of one connection that are served concurrently.
const MAX_PIPELINED: usize = 32;

impl Session {
    /// Starts to serve the requests that have been read.
    pub(super) async fn start_requests(&mut self) {
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
