//! Writes the responses of one caller's connection, in the order of their requests.

use super::render::{render, render_refusal, render_streamed_head};
use super::streaming::{BrokenTransfer, Transfer, framing_for};
use super::{PendingRequest, Session};
use crate::event_log::{BreakCause, SessionEnd};
use crate::http1::Framing;
use crate::memory::HeldBytes;
use crate::serve::{Reply, UpstreamResponse};
use clock::Moment;
use dispatch::attempts::Refusal;
use std::time::Duration;

/// Longest time to write a response to a caller.
const WRITE_LIMIT: Duration = Duration::from_secs(5);

impl Session {
    /// Writes the response to the first pending request; returns how the connection ends, if it
    /// does.
    pub(super) async fn write_response(&mut self, reply: Reply) -> Option<SessionEnd> {
        let pending = self.pending.pop_front()?;
        let is_early = !pending.request.body.is_read();
        let should_close = self.pending.is_empty()
            && self.refused.is_none()
            && (self.is_last || self.host.is_stopping() || is_early);
        let reply = match reply {
            Reply::Response(UpstreamResponse { head, body, held, rest: Some(rest) }) => {
                let framing = framing_for(&pending.request.head, head.framing);
                let should_close = should_close || framing == Framing::UntilClose;
                let head = render_streamed_head(&head, framing, should_close);
                let waits = !self.pending.is_empty();
                let transfer = Transfer::new(&self.caller, head, framing, body, rest, held, waits);
                let ended = transfer.run().await;
                self.last_active = Moment::now();
                match ended {
                    Ok(()) => return should_close.then_some(SessionEnd::LastResponse),
                    Err(broken) => {
                        let (cause, refusal_cause) = (broken.cause, broken.refusal_cause());
                        pending.break_off(broken);
                        let Some(refusal_cause) = refusal_cause else {
                            return Some(self.end_after_break(cause, framing));
                        };
                        self.host.metrics.request_refused("", refusal_cause);
                        Reply::Refused(Refusal::may_have_run(refusal_cause))
                    }
                }
            }
            reply => reply,
        };
        let bytes = render(&self.host, &pending.request, &reply, should_close);
        let _held = hold_rendered(reply, bytes.len());
        let written = clock::timeout(WRITE_LIMIT, self.caller.write(&bytes)).await;
        self.last_active = Moment::now();
        match written {
            Ok(Ok(())) => should_close.then_some(SessionEnd::LastResponse),
            Ok(Err(_)) | Err(_) => Some(SessionEnd::Unwritable),
        }
    }

    /// Returns how the connection ends after a response was broken off. It is reset if the response
    /// ends with its connection, as the response would look complete otherwise.
    fn end_after_break(&self, cause: BreakCause, framing: Framing) -> SessionEnd {
        match (cause, framing) {
            (BreakCause::CallerGone, _) => SessionEnd::CallerGone,
            (_, Framing::Length(_) | Framing::Chunked) => SessionEnd::BrokenOff,
            (_, Framing::UntilClose) => {
                // If it fails, the socket is gone already.
                let _ =
                    socket2::SockRef::from(&self.caller.stream).set_linger(Some(Duration::ZERO));
                SessionEnd::Reset
            }
        }
    }

    /// Writes the refusal of a malformed or slow request, which ends the connection.
    pub(super) async fn write_refusal(&self, refusal: Refusal) {
        self.host.metrics.request_refused("", refusal.cause);
        let bytes = render_refusal(&self.host, None, refusal, true);
        // The connection ends here either way.
        let _ = clock::timeout(WRITE_LIMIT, self.caller.write(&bytes)).await;
    }
}

impl PendingRequest {
    /// Ends the rest of a response that was broken off. If the caller of a request that runs at
    /// most once disconnected, the rest is read and dropped.
    fn break_off(&self, broken: BrokenTransfer) {
        let BrokenTransfer { cause, rest, written_bytes } = broken;
        let runs_on = self.progress.continues_without_caller.get();
        match rest {
            Some(rest) if cause == BreakCause::CallerGone && runs_on => {
                tokio::task::spawn_local(rest.discard());
            }
            Some(rest) => rest.break_off(cause, written_bytes),
            None => {}
        }
    }
}

/// Drops a response that was rendered, and accounts for its bytes.
fn hold_rendered(reply: Reply, bytes: usize) -> Option<HeldBytes> {
    let Reply::Response(UpstreamResponse { held, .. }) = reply else { return None };
    held.set(bytes);
    Some(held)
}
