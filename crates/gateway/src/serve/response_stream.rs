//! A response that is to be delivered, and the rest of its body if it is passed on in pieces.
//!
//! The attempt of a long response lasts until its body was read, as the upstream is busy with it
//! until then. The reported duration of the attempt is the time to the head, since the rest depends
//! on how fast the caller reads.

use super::Request;
use super::attempt_guard::AttemptGuard;
use crate::connection::{BodyPart, LongBody};
use crate::event_log::{BreakCause, LogEvent};
use crate::host::Host;
use crate::http1::ResponseHead;
use crate::memory::{HeldBytes, RECEIVE_BUFFER_BYTES};
use crate::quarantine::{self, BrokenAttempt, Trial};
use clock::Moment;
use dispatch::scheduler::Outcome;
use dispatch::{AttemptFailure, RouteKey};
use domain::{Millis, RequestFingerprint, ServiceName, UpstreamId};
use published::Upstream;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Bytes of a response that are read as fast as it comes. Few responses are longer, and those without
/// an end must leave the processor to others.
const FULL_PACE_BYTES: u64 = 16 * 1024 * 1024;

/// Reads in a turn, of 16 KiB at most each, and the pause after it at a moderate pace.
const READS_PER_TURN: u32 = 4;
const TURN_PAUSE: Duration = Duration::from_millis(8);

/// What of a body may have arrived, and not been read, when it was due: the kernel doubles the
/// receive buffer that it is asked for.
const MAX_LATE_BYTES: u64 = 2 * RECEIVE_BUFFER_BYTES as u64;

/// A load report that is older than this when the body ends is no longer recorded.
const REPORT_CURRENT_MS: Millis = Millis(100);

/// A response that is to be delivered.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Status line and headers.
    pub head: ResponseHead,
    /// Body, or the beginning of it, without its framing.
    pub body: Vec<u8>,
    /// Accounts for what is held of the body.
    pub held: HeldBytes,
    /// The rest of the body; none if the body is complete.
    pub rest: Option<Box<ResponseStream>>,
}

/// The rest of a body, read as fast as it is passed on. Dropping it closes the upstream's
/// connection.
pub struct ResponseStream {
    body: LongBody,
    attempt: StreamedAttempt,
    /// When the body must be complete.
    due: Moment,
    /// Reads since the last pause.
    reads: u32,
    /// Bytes of the last read.
    last_read_bytes: u64,
    /// Bytes that were read since the body was due.
    late_bytes: u64,
}

impl fmt::Debug for ResponseStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ResponseStream").field("body", &self.body).finish_non_exhaustive()
    }
}

/// The attempt that a streamed response belongs to. Dropped midway it ends without a failure: the
/// upstream is not the cause.
pub(super) struct StreamedAttempt {
    pub(super) host: Rc<Host>,
    pub(super) id: String,
    pub(super) upstream: UpstreamId,
    pub(super) service: ServiceName,
    pub(super) route: RouteKey,
    /// Expected duration, in multiples of the route's service time.
    pub(super) work: f64,
    /// Outcome by the head of the response.
    pub(super) outcome: Outcome,
    pub(super) sent_ms: Millis,
    /// When the head was complete.
    pub(super) head_ms: Millis,
    /// When the body must be complete.
    pub(super) due_ms: Millis,
    /// None once the attempt has ended.
    pub(super) guard: Option<AttemptGuard>,
    pub(super) request: Rc<Request>,
    /// The upstream's published entry when the attempt began.
    pub(super) entry: Option<Arc<Upstream>>,
    /// Set if the attempt is a trial, which ends with the body.
    pub(super) trial: Option<Trial>,
}

impl StreamedAttempt {
    /// Ends the attempt, with this failure or that of its head.
    fn end(&mut self, failure: Option<AttemptFailure>) {
        let Some(guard) = self.guard.take() else { return };
        let since_head_ms = self.host.now_ms().since(self.head_ms);
        let report = self.outcome.report.filter(|_| since_head_ms <= REPORT_CURRENT_MS);
        let failure = failure.or(self.outcome.failure);
        let outcome = Outcome { failure, report, ..self.outcome };
        guard.end(&self.service, self.route, self.work, outcome);
    }

    /// Clears the request from the quarantine: the upstream served it without a crash.
    fn record_served(&self) {
        if self.outcome.failure.is_none() && !self.host.quarantine.borrow().is_empty() {
            quarantine::record_served(&self.host, self.fingerprint());
        }
    }

    /// Checks whether the upstream crashed. The trial goes on until that is known.
    fn examine_break(&mut self) {
        let Some(upstream) = self.entry.take() else { return };
        let (host, trial) = (Rc::clone(&self.host), self.trial.take());
        let fingerprint = self.fingerprint();
        let broke_ms = host.now_ms();
        let broken = BrokenAttempt { fingerprint, upstream, sent_ms: self.sent_ms, broke_ms };
        tokio::task::spawn_local(async move {
            if quarantine::examine(&host, broken, trial.is_some()).await {
                quarantine::record_final_response(&host, fingerprint);
            }
        });
    }

    fn fingerprint(&self) -> RequestFingerprint {
        self.request.fingerprint(self.host.dialect.caller)
    }
}

impl Drop for StreamedAttempt {
    fn drop(&mut self) {
        self.end(None);
    }
}

impl ResponseStream {
    pub(super) fn new(body: LongBody, attempt: StreamedAttempt) -> Box<ResponseStream> {
        let due = Moment::now() + attempt.host.clock.time_until(attempt.due_ms);
        Box::new(ResponseStream { body, attempt, due, reads: 0, last_read_bytes: 0, late_bytes: 0 })
    }

    /// See [`LongBody::held_bytes`].
    pub fn held_bytes(&self) -> usize {
        self.body.held_bytes()
    }

    /// When the body must be complete.
    pub fn due(&self) -> Moment {
        self.due
    }

    /// Whether the body must be complete by now.
    pub fn is_due(&self) -> bool {
        self.due <= Moment::now()
    }

    /// Whether the body is due and nothing is left of what may have arrived by then. The host may
    /// have been held up, and what arrived in time is delivered.
    pub fn is_overdue(&mut self) -> bool {
        let last_read_bytes = std::mem::take(&mut self.last_read_bytes);
        if !self.is_due() {
            return false;
        }
        self.late_bytes += last_read_bytes;
        last_read_bytes == 0 || self.late_bytes > MAX_LATE_BYTES
    }

    /// Returns once there may be something to read.
    pub async fn ready(&self) {
        self.body.ready().await;
    }

    /// See [`LongBody::sendable`].
    pub async fn sendable(&self) {
        self.body.sendable().await;
    }

    /// See [`LongBody::send`].
    pub fn send(&mut self) -> std::io::Result<()> {
        self.body.send()
    }

    /// Reads once what has arrived.
    pub fn read(&mut self) -> BodyPart {
        self.reads += 1;
        let before = self.body.read_bytes();
        let part = self.body.read();
        self.last_read_bytes = self.body.read_bytes() - before;
        part
    }

    /// Gives other tasks a turn after some reads, and pauses then beyond [`FULL_PACE_BYTES`].
    pub async fn pace(&mut self) {
        if self.reads < READS_PER_TURN {
            return;
        }
        self.reads = 0;
        match self.body.read_bytes() > FULL_PACE_BYTES {
            true => clock::sleep(TURN_PAUSE).await,
            false => tokio::task::yield_now().await,
        }
    }

    /// Ends the attempt after the last byte, and returns the connection to the pool.
    pub fn finish(self) {
        let ResponseStream { body, mut attempt, .. } = self;
        attempt.host.pool.borrow_mut().put(&attempt.upstream, body.into_connection());
        attempt.end(None);
        attempt.record_served();
    }

    /// Ends the attempt before the last byte, and closes the connection.
    pub fn break_off(mut self, cause: BreakCause, passed_on_bytes: u64) {
        let StreamedAttempt { host, id, upstream, .. } = &self.attempt;
        host.log.write(&LogEvent::AnswerBrokenOff { id, upstream, cause, passed_on_bytes });
        if cause == BreakCause::UpstreamBroke {
            self.attempt.examine_break();
        }
        self.attempt.end(match cause {
            BreakCause::UpstreamBroke => Some(AttemptFailure::Disconnected),
            BreakCause::UpstreamTimedOut => Some(AttemptFailure::TimedOut),
            BreakCause::CallerStalled | BreakCause::CallerTimedOut | BreakCause::CallerGone => None,
        });
    }

    /// Reads the rest for a caller that disconnected, so that a request that runs at most once
    /// isn't cancelled by the upstream; until it is due.
    pub async fn discard(mut self) {
        loop {
            if self.send().is_err() {
                return self.break_off(BreakCause::UpstreamBroke, 0);
            }
            let part = self.read();
            let is_overdue = self.is_overdue();
            match part {
                BodyPart::Last(_) => return self.finish(),
                BodyPart::Broken => return self.break_off(BreakCause::UpstreamBroke, 0),
                BodyPart::Pending | BodyPart::Bytes(_) if is_overdue => {
                    return self.break_off(BreakCause::UpstreamTimedOut, 0);
                }
                BodyPart::Bytes(_) => self.pace().await,
                BodyPart::Pending => {
                    // If nothing came, the next look finds it overdue.
                    let _ = clock::timeout_at(self.due, self.ready()).await;
                }
            }
        }
    }
}
