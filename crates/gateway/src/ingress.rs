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
mod partial;
mod reading;
mod render;
mod responding;
mod stopping;
mod streaming;

pub use caller::Caller;

use crate::event_log::{LogEvent, SessionEnd};
use crate::host::{ACCEPT_PAUSE, Host, to_duration};
use crate::memory::OpenRequest;
use crate::serve::{Reply, Request, RequestProgress};
use caller::linger;
use clock::Moment;
use dispatch::attempts::{Cause, Refusal};
use domain::{ByteCount, Millis};
use partial::PartialRequest;
use published::{CallerLimits, Idempotency};
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

/// How much longer than its limit an idle connection stays open, so that a request that was sent in
/// time but delayed on a busy link doesn't meet a closed connection. Longer than callers wait.
const IDLE_SLACK: Duration = Duration::from_secs(5);

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
    let mut closing = host.shutdown.closing_idle();
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
        self.refused = Some(self.late_refusal());
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
        let mut closing = self.host.shutdown.closing_idle();
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
        let times_out = self.limits_end_wait_at();
        self.stop_ends_wait_at().map_or(times_out, |stop| stop.min(times_out))
    }

    /// When the limits for callers end the wait.
    fn limits_end_wait_at(&self) -> Moment {
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
}
