//! Passes a long response on to its caller, in pieces and with back-pressure.
//!
//! The upstream is read only while what is held for the response stays within its bound and the
//! host has memory left. So a slow caller delays its own upstream only. What was not read when the
//! request is due isn't waited for: the upstream is told by the end of its connection, the caller by
//! the missing rest.

use super::Caller;
use crate::connection::{BodyPart, LongBody};
use crate::event_log::BreakCause;
use crate::http1::{Framing, RequestHead};
use crate::memory::HeldBytes;
use crate::serve::ResponseStream;
use clock::Moment;
use dispatch::attempts::Cause;
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::time::Duration;

/// Most bytes by which one read makes a response grow: a piece, and the framing of a last chunk.
const MAX_GROWTH_BYTES: usize = LongBody::READ_BYTES + 32;

/// A response is broken off if its caller takes nothing for this time, and goes on without memory
/// for it if it has waited for that long.
const STALL_LIMIT: Duration = Duration::from_secs(5);

/// How the response to a request is framed for its caller, if its upstream frames it so. Callers of
/// HTTP/1.0 don't know chunks.
pub(super) fn framing_for(request: &RequestHead, upstream: Framing) -> Framing {
    match upstream {
        Framing::Length(length) => Framing::Length(length),
        Framing::Chunked | Framing::UntilClose if request.is_http_1_1 => Framing::Chunked,
        Framing::Chunked | Framing::UntilClose => Framing::UntilClose,
    }
}

/// A response that is being passed on.
pub(super) struct Transfer<'a> {
    caller: &'a Caller,
    framing: Framing,
    /// What is left to read; none once the body was read whole.
    rest: Option<Box<ResponseStream>>,
    /// What is left to write.
    out: VecDeque<u8>,
    /// Accounts for `out` and what was received but not read.
    held: HeldBytes,
    /// Whether nothing is written before the response is whole, as far as it may be held: other
    /// responses wait behind it, and would be lost with the connection if it were broken off.
    waits_for_whole: bool,
    written_bytes: u64,
    /// Whether one more piece is read though no memory is left, as the response has waited for it
    /// for [`STALL_LIMIT`]. Applies only while there is nothing to write.
    may_exceed_bound: bool,
    /// When bytes were last written, or there was nothing to write.
    last_written: Moment,
}

/// A transfer that was broken off.
pub(super) struct BrokenTransfer {
    pub(super) cause: BreakCause,
    /// What was left to read; none once the body was read whole.
    pub(super) rest: Option<Box<ResponseStream>>,
    /// Bytes that were written to the caller, with head and framing.
    pub(super) written_bytes: u64,
}

impl BrokenTransfer {
    /// The cause of a refusal in its place, if the caller got nothing and waits for it.
    pub(super) fn refusal_cause(&self) -> Option<Cause> {
        match self.cause {
            _ if self.written_bytes > 0 => None,
            BreakCause::UpstreamBroke => Some(Cause::UpstreamFailed),
            BreakCause::UpstreamTimedOut | BreakCause::CallerTimedOut => Some(Cause::TimedOut),
            BreakCause::CallerStalled | BreakCause::CallerGone => None,
        }
    }
}

impl<'a> Transfer<'a> {
    /// Starts with the head as the caller gets it, and the first bytes of the body.
    pub(super) fn new(
        caller: &'a Caller,
        head: Vec<u8>,
        framing: Framing,
        first: Vec<u8>,
        rest: Box<ResponseStream>,
        held: HeldBytes,
        waits_for_whole: bool,
    ) -> Transfer<'a> {
        let now = Moment::now();
        let mut transfer = Transfer {
            caller,
            framing,
            rest: Some(rest),
            out: head.into(),
            held,
            waits_for_whole,
            written_bytes: 0,
            may_exceed_bound: false,
            last_written: now,
        };
        transfer.push(&first);
        transfer
    }

    /// Passes the response on to its end.
    pub(super) async fn run(mut self) -> Result<(), BrokenTransfer> {
        let ended = loop {
            match &mut self.rest {
                Some(rest) => rest.pace().await,
                None => tokio::task::yield_now().await,
            }
            if let Err(cause) = self.step() {
                break Err(cause);
            }
            if self.rest.is_none() && self.out.is_empty() {
                break Ok(());
            }
            if let Some(cause) = self.overdue() {
                break Err(cause);
            }
            if let Err(cause) = self.wait().await {
                break Err(cause);
            }
        };
        let Transfer { rest, written_bytes, .. } = self;
        ended.map_err(|cause| BrokenTransfer { cause, rest, written_bytes })
    }

    /// Writes and reads what is possible without waiting.
    fn step(&mut self) -> Result<(), BreakCause> {
        self.caller.fill();
        if self.caller.is_gone() {
            return Err(BreakCause::CallerGone);
        }
        self.write()?;
        self.send()?;
        self.read()
    }

    /// Sends what is left of the request.
    fn send(&mut self) -> Result<(), BreakCause> {
        let Some(rest) = &mut self.rest else { return Ok(()) };
        rest.send().map_err(|_| BreakCause::UpstreamBroke)
    }

    fn write(&mut self) -> Result<(), BreakCause> {
        while self.may_write() {
            match self.caller.stream.try_write(self.out.as_slices().0) {
                Ok(written) => {
                    self.out.drain(..written);
                    self.written_bytes += written as u64;
                    self.last_written = Moment::now();
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return Err(BreakCause::CallerGone),
            }
        }
        self.record_held();
        Ok(())
    }

    fn read(&mut self) -> Result<(), BreakCause> {
        if !self.may_read() {
            return Ok(());
        }
        let Some(rest) = &mut self.rest else { return Ok(()) };
        match rest.read() {
            BodyPart::Pending => {}
            BodyPart::Bytes(bytes) => {
                self.may_exceed_bound = false;
                self.push(&bytes);
            }
            BodyPart::Last(bytes) => {
                self.push(&bytes);
                self.push_end();
                self.rest.take().into_iter().for_each(|rest| rest.finish());
                self.record_held();
            }
            BodyPart::Broken => return Err(BreakCause::UpstreamBroke),
        }
        Ok(())
    }

    /// Whether there is something to write now.
    fn may_write(&self) -> bool {
        let is_collected = self.waits_for_whole && self.written_bytes == 0 && self.may_read();
        !self.out.is_empty() && !is_collected
    }

    /// Whether the upstream may be read once more.
    fn may_read(&self) -> bool {
        let may_grow =
            self.held.may_grow(MAX_GROWTH_BYTES) || self.may_exceed_bound && self.out.is_empty();
        self.rest.is_some() && may_grow
    }

    /// Why the body was not read whole when it was due.
    fn overdue(&mut self) -> Option<BreakCause> {
        match self.rest.as_mut()?.is_overdue() {
            true if self.may_read() => Some(BreakCause::UpstreamTimedOut),
            true => Some(BreakCause::CallerTimedOut),
            false => None,
        }
    }

    /// Waits until there may be something to write or to read.
    async fn wait(&mut self) -> Result<(), BreakCause> {
        let now = Moment::now();
        let has_output = self.may_write();
        let may_read = self.may_read();
        if !has_output {
            self.last_written = now;
        }
        let until = self.wait_until(has_output, may_read);
        let rest = self.rest.as_ref();
        let readable = async {
            match rest {
                Some(rest) => rest.ready().await,
                None => std::future::pending().await,
            }
        };
        let sendable = async {
            match rest {
                Some(rest) => rest.sendable().await,
                None => std::future::pending().await,
            }
        };
        let progress = async {
            tokio::select! {
                // An error shows when the caller is written to.
                _ = self.caller.stream.writable(), if has_output => {}
                () = readable, if may_read => {}
                () = sendable => {}
                _ = self.caller.stream.readable(), if self.caller.has_room() => {}
                () = self.held.memory().responses_freed(), if rest.is_some() && !may_read => {}
            }
        };
        let ready = clock::timeout_at(until, progress).await;
        match ready {
            Ok(()) => Ok(()),
            // What follows is decided by [`Transfer::overdue`].
            Err(_) if rest.is_some_and(|rest| rest.is_due()) => Ok(()),
            Err(_) if has_output => Err(BreakCause::CallerStalled),
            // The response only waits for memory, which a response that is pipelined behind it may
            // hold.
            Err(_) => {
                self.may_exceed_bound = true;
                Ok(())
            }
        }
    }

    /// Until when the next wait lasts at most. An upstream may be silent until the body is due.
    fn wait_until(&self, has_output: bool, may_read: bool) -> Moment {
        let stalled = self.last_written + STALL_LIMIT;
        match &self.rest {
            Some(rest) if may_read && !has_output => rest.due(),
            Some(rest) => stalled.min(rest.due()),
            None => stalled,
        }
    }

    /// Adds bytes of the body, in the framing for the caller.
    fn push(&mut self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        match self.framing {
            Framing::Chunked => {
                self.out.extend(format!("{:x}\r\n", bytes.len()).as_bytes());
                self.out.extend(bytes);
                self.out.extend(b"\r\n");
            }
            Framing::Length(_) | Framing::UntilClose => self.out.extend(bytes),
        }
        self.record_held();
    }

    /// Adds the end of the body, in the framing for the caller.
    fn push_end(&mut self) {
        if self.framing == Framing::Chunked {
            self.out.extend(b"0\r\n\r\n");
        }
    }

    fn record_held(&self) {
        let unread = self.rest.as_ref().map_or(0, |rest| rest.held_bytes());
        self.held.set(self.out.len() + unread);
    }
}
