//! A body that is passed on while it arrives.
//!
//! Whoever sends the request pulls: bytes are read from the caller only when the upstream has taken
//! those before. So an upstream that takes nothing delays its own caller only.

use super::Segments;
use crate::http1::{BodyProgress, BodyReader, Framing};
use crate::ingress::Caller;
use crate::memory::{HeldBytes, HeldFor, StreamPermit};
use clock::Moment;
use dispatch::attempts::Cause;
use domain::Millis;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use tokio::sync::Notify;

/// Why a body can't be completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFailure {
    /// Its framing is malformed.
    Malformed,
    /// It exceeds the limit.
    TooLarge,
}

impl BodyFailure {
    /// Why its request is refused.
    pub fn cause(self) -> Cause {
        match self {
            BodyFailure::Malformed => Cause::BadRequest,
            BodyFailure::TooLarge => Cause::BodyTooLarge,
        }
    }
}

/// What a body has for an upstream now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Supply {
    /// Bytes to send.
    Bytes,
    /// Nothing until its caller sends more.
    Awaited,
    /// Nothing more: all was sent, or the rest will never come.
    Ended,
}

/// A body that is passed on while it arrives.
#[derive(Debug)]
pub struct BodyStream {
    caller: Rc<Caller>,
    framing: Framing,
    state: RefCell<StreamState>,
    /// Accounts for what was read and not sent.
    held: HeldBytes,
    _permit: StreamPermit,
    /// When its last byte was sent.
    sent: Cell<Option<Moment>>,
    failure: Cell<Option<BodyFailure>>,
    failed: Notify,
}

#[derive(Debug)]
struct StreamState {
    reader: BodyReader,
    is_read: bool,
    /// Read, and not yet framed for the upstream.
    waiting: Segments,
    /// Framed for the upstream.
    piece: Vec<u8>,
    sent_of_piece: usize,
    is_touched: bool,
    is_end_framed: bool,
}

impl BodyStream {
    /// The rest of a body that was read up to here.
    pub fn new(
        caller: &Rc<Caller>,
        reader: BodyReader,
        waiting: Segments,
        permit: StreamPermit,
    ) -> BodyStream {
        let held = caller.memory().hold(HeldFor::Requests);
        held.set(waiting.len());
        BodyStream {
            caller: Rc::clone(caller),
            framing: reader.framing(),
            state: RefCell::new(StreamState {
                reader,
                is_read: false,
                waiting,
                piece: Vec::new(),
                sent_of_piece: 0,
                is_touched: false,
                is_end_framed: false,
            }),
            held,
            _permit: permit,
            sent: Cell::new(None),
            failure: Cell::new(None),
            failed: Notify::new(),
        }
    }

    pub(super) fn framing(&self) -> Framing {
        self.framing
    }

    pub(super) fn is_read(&self) -> bool {
        self.state.borrow().is_read
    }

    /// Whether all of it was sent.
    pub fn is_sent(&self) -> bool {
        self.sent.get().is_some()
    }

    pub(super) fn since_sent_ms(&self) -> Option<Millis> {
        let sent = self.sent.get()?;
        Some(Millis(u64::try_from(sent.elapsed().as_millis()).unwrap_or(u64::MAX)))
    }

    fn is_all_sent(&self, state: &StreamState) -> bool {
        let is_end_sent = self.framing != Framing::Chunked || state.is_end_framed;
        state.is_read && state.waiting.is_empty() && state.piece.is_empty() && is_end_sent
    }

    pub(super) fn is_intact(&self) -> bool {
        !self.state.borrow().is_touched
    }

    pub(super) async fn failed(&self) -> BodyFailure {
        loop {
            if let Some(failure) = self.failure.get() {
                return failure;
            }
            self.failed.notified().await;
        }
    }

    /// Prepares the next bytes for the upstream, and tells whether there are any.
    pub fn supply(&self) -> Supply {
        let mut state = self.state.borrow_mut();
        if state.sent_of_piece < state.piece.len() {
            return Supply::Bytes;
        }
        self.read(&mut state);
        let is_framed = state.frame_next(self.framing);
        self.record_held(&state);
        match is_framed {
            true => Supply::Bytes,
            false if state.is_read || self.failure.get().is_some() => Supply::Ended,
            false if self.caller.is_gone() => Supply::Ended,
            false => Supply::Awaited,
        }
    }

    /// Sends the prepared bytes by `send`, which returns how many it took.
    pub fn send(&self, send: impl FnOnce(&[u8]) -> io::Result<usize>) -> io::Result<usize> {
        let mut state = self.state.borrow_mut();
        let sent = send(&state.piece[state.sent_of_piece..])?;
        state.sent_of_piece += sent;
        state.is_touched |= sent > 0;
        if state.sent_of_piece == state.piece.len() {
            state.piece = Vec::new();
            state.sent_of_piece = 0;
        }
        self.record_held(&state);
        if self.is_all_sent(&state) {
            self.sent.set(Some(Moment::now()));
        }
        Ok(sent)
    }

    /// Returns once there may be something to send.
    pub async fn ready(&self) {
        self.caller.readable().await;
    }

    /// Reads what has arrived, unless something waits already.
    fn read(&self, state: &mut StreamState) {
        if state.is_read || self.failure.get().is_some() || !state.waiting.is_empty() {
            return;
        }
        self.caller.fill();
        let progress = self.caller.take(|inbox| state.reader.read_from(inbox));
        state.waiting.push(state.reader.take());
        match progress {
            Ok(BodyProgress::Partial) => {}
            Ok(BodyProgress::Whole) => state.is_read = true,
            Ok(BodyProgress::TooLarge) => self.fail(BodyFailure::TooLarge),
            Err(_) => self.fail(BodyFailure::Malformed),
        }
    }

    fn fail(&self, failure: BodyFailure) {
        self.failure.set(Some(failure));
        self.failed.notify_one();
    }

    fn record_held(&self, state: &StreamState) {
        self.held.set(state.waiting.len() + state.piece.len());
    }
}

impl StreamState {
    /// Frames the next bytes for the upstream; false if there are none.
    fn frame_next(&mut self, framing: Framing) -> bool {
        let next = self.waiting.pop();
        self.piece = match (next, framing) {
            (Some(bytes), Framing::Chunked) => {
                let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
                chunk.reserve_exact(bytes.len() + 2);
                chunk.extend_from_slice(&bytes);
                chunk.extend_from_slice(b"\r\n");
                chunk
            }
            (Some(bytes), Framing::Length(_) | Framing::UntilClose) => bytes,
            (None, Framing::Chunked) if self.is_read && !self.is_end_framed => {
                self.is_end_framed = true;
                b"0\r\n\r\n".to_vec()
            }
            (None, _) => return false,
        };
        self.sent_of_piece = 0;
        true
    }
}
