//! Guards the moment at which an attempt's bytes leave.
//!
//! Between the core's decision and the first byte lie a connect and task switches; a
//! process may be stopped there and wake up after the deadline. The gate is asked when
//! the connection polls the request's body, before its head is flushed. If the deadline
//! has passed or the attempt was revoked, the body fails and nothing is written. It also
//! remembers the answer, which is the proof behind "not run".

use bytes::Bytes;
use clock::Clock;
use domain::Millis;
use http_body_util::Full;
use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::task::{Context, Poll};

const WAITING: u8 = 0;
const PASSED: u8 = 1;
const SHUT: u8 = 2;

/// Opens once, or never.
#[derive(Debug)]
pub struct SendGate {
    clock: Clock,
    deadline_ms: Millis,
    state: AtomicU8,
}

impl SendGate {
    /// A gate that nothing has passed.
    pub fn new(clock: Clock, deadline_ms: Millis) -> Arc<SendGate> {
        Arc::new(SendGate { clock, deadline_ms, state: AtomicU8::new(WAITING) })
    }

    /// Lets the bytes pass if there is time left and nobody shut the gate.
    pub fn pass(&self) -> bool {
        if self.is_expired() {
            self.shut();
        }
        self.turn(PASSED) == PASSED
    }

    /// Shuts the gate; true if nothing has passed and nothing will.
    pub fn shut(&self) -> bool {
        self.turn(SHUT) == SHUT
    }

    /// Whether the gate is shut: surely no byte left.
    pub fn is_shut(&self) -> bool {
        self.state.load(Ordering::Acquire) == SHUT
    }

    /// Whether the deadline has passed.
    pub fn is_expired(&self) -> bool {
        self.clock.now() >= self.deadline_ms
    }

    fn turn(&self, to: u8) -> u8 {
        match self.state.compare_exchange(WAITING, to, Ordering::AcqRel, Ordering::Acquire) {
            Ok(_) => to,
            Err(state) => state,
        }
    }
}

/// The gate was shut when the body was to be sent.
#[derive(Debug)]
pub struct GateShut;

impl fmt::Display for GateShut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the attempt's deadline passed before it was sent")
    }
}

impl std::error::Error for GateShut {}

/// A request body that asks the gate before its first byte.
#[derive(Debug)]
pub struct GatedBody {
    gate: Arc<SendGate>,
    bytes: Full<Bytes>,
}

impl GatedBody {
    /// Puts a body behind a gate.
    pub fn new(gate: Arc<SendGate>, bytes: Bytes) -> GatedBody {
        GatedBody { gate, bytes: Full::new(bytes) }
    }
}

impl http_body::Body for GatedBody {
    type Data = Bytes;
    type Error = GateShut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<http_body::Frame<Bytes>, GateShut>>> {
        if !self.gate.pass() {
            return Poll::Ready(Some(Err(GateShut)));
        }
        Pin::new(&mut self.bytes).poll_frame(cx).map_err(|never| match never {})
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.bytes.size_hint()
    }
}
