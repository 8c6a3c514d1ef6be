//! Callers' connections.
//!
//! Requests behind one another on a connection are served at the same time, as long as
//! all of them only read; answers leave in the order of the requests. A connection is read
//! on while its requests are served, so a caller that hangs up is noticed at once. It
//! closes gently: the write half first, then what is still on its way is read and dropped,
//! since closing over unread bytes would destroy the answer.

mod caller;
mod render;

pub use caller::Caller;

use crate::event_log::LogEvent;
use crate::host::{ACCEPT_PAUSE, Host, to_duration};
use crate::http1::{BodyProgress, BodyReader, RequestError, RequestHead, read_request};
use crate::serve::{Reply, Request, RequestProgress, serve};
use caller::linger;
use clock::Moment;
use dispatch::attempts::{Cause, Refusal};
use domain::{ByteCount, Millis};
use published::{CallerLimits, Idempotency};
use render::{render, render_refusal};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Limits until a routing states others.
const FIRST_LIMITS: CallerLimits = CallerLimits {
    head_bytes: ByteCount(16 * 1024),
    body_bytes: ByteCount(1024 * 1024),
    head_timeout_ms: Millis(3_000),
    idle_timeout_ms: Millis(15_000),
};

/// Requests of one connection that are served at the same time.
const MAX_PIPELINED: usize = 32;

/// How much longer than its limit an idle connection stays open: a request that was sent in
/// time may be held up on a link that large changes fill, 1.45 s were seen. Longer than callers
/// wait, so who sent in time is never met by the end of the connection.
const IDLE_SLACK: Duration = Duration::from_secs(5);

/// A caller that doesn't take its answer for so long is given up.
const WRITE_LIMIT: Duration = Duration::from_secs(5);

/// A request whose answer is still to be written.
struct Pending {
    request: Rc<Request>,
    progress: Rc<RequestProgress>,
    task: JoinHandle<Reply>,
    repeat: Idempotency,
}

impl Pending {
    /// The caller left: withdraws the request, unless it runs at most once and was sent.
    fn abandon(&self, host: &Host) {
        if !self.progress.continues_without_caller.get() {
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

/// A request that has not arrived whole yet.
struct Arriving {
    head: RequestHead,
    body: BodyReader,
    arrived_ms: Millis,
    is_continued: bool,
}

struct Session {
    host: Rc<Host>,
    caller: Rc<Caller>,
    pending: VecDeque<Pending>,
    arriving: Option<Arriving>,
    whole: Option<Rc<Request>>,
    faulty: Option<Refusal>,
    head_since: Option<Moment>,
    active: Moment,
    is_last: bool,
}

/// Takes callers' connections until they are to be closed.
///
/// Then the port is closed too: a connection that nobody would read is better refused.
pub async fn accept(host: Rc<Host>, listener: TcpListener) {
    let mut closing = host.closing_idle.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.changed() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::task::spawn_local(session(Rc::clone(&host), stream));
            }
            Err(e) => {
                // Out of descriptors, or the caller was faster; the next may do better.
                host.log.write(&LogEvent::AcceptFailed { problem: e.to_string() });
                clock::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn session(host: Rc<Host>, stream: TcpStream) {
    // Without it small answers may be late, nothing else.
    let _ = stream.set_nodelay(true);
    let inbox = RefCell::new(Vec::new());
    let caller = Rc::new(Caller { stream, inbox, is_gone: Cell::new(false) });
    let now = Moment::now();
    let mut session = Session {
        host,
        caller,
        pending: VecDeque::new(),
        arriving: None,
        whole: None,
        faulty: None,
        head_since: None,
        active: now,
        is_last: false,
    };
    session.host.open_caller_connections.update(|open| open + 1);
    session.run().await;
    for pending in &session.pending {
        pending.abandon(&session.host);
    }
    linger(&session.caller).await;
    session.host.open_caller_connections.update(|open| open - 1);
}

/// What a session waits for next.
enum Next {
    Read,
    Answered(Reply),
    Late,
    Closing,
}

impl Session {
    async fn run(&mut self) {
        loop {
            self.caller.fill();
            if self.caller.is_gone.get() {
                return;
            }
            self.take_requests().await;
            if self.pending.is_empty() && (self.is_last || self.faulty.is_some()) {
                self.write_fault().await;
                return;
            }
            match self.wait().await {
                Next::Read => {}
                Next::Answered(reply) => {
                    if !self.write_answer(reply).await {
                        return;
                    }
                }
                Next::Late if self.is_idle_to_the_last() => return,
                Next::Late if self.is_arriving() => {
                    self.faulty = Some(Refusal::not_run(Cause::SlowRequest));
                }
                // What is being served has times of its own.
                Next::Late => {}
                Next::Closing if self.is_idle_to_the_last() => return,
                Next::Closing => self.is_last = true,
            }
        }
    }

    fn is_idle(&self) -> bool {
        self.pending.is_empty()
            && self.arriving.is_none()
            && self.whole.is_none()
            && self.caller.inbox.borrow().is_empty()
    }

    /// Looks once more before the connection closes: a busy host may not have read what is there.
    fn is_idle_to_the_last(&mut self) -> bool {
        self.caller.fill();
        self.is_idle()
    }

    fn is_arriving(&self) -> bool {
        self.arriving.is_some() || self.head_since.is_some()
    }

    fn limits(&self) -> CallerLimits {
        let table = self.host.table.borrow();
        table.as_ref().map_or(FIRST_LIMITS, |table| table.routing().limits)
    }

    async fn wait(&mut self) -> Next {
        let is_reading = self.caller.has_room();
        let late = self.late_at();
        let mut closing = self.host.closing_idle.subscribe();
        let is_closing = *closing.borrow();
        if is_closing && self.is_idle() {
            return Next::Closing;
        }
        let front = self.pending.front_mut();
        let answered = async {
            match front {
                Some(pending) => (&mut pending.task).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            reply = answered => match reply {
                Ok(reply) => Next::Answered(reply),
                // A task that failed is a fault of ours; whether the request ran is unknown.
                Err(_) => Next::Answered(Reply::Refused(Refusal::may_have_run(Cause::UpstreamFailed))),
            },
            ready = self.caller.stream.readable(), if is_reading => {
                if ready.is_err() {
                    self.caller.is_gone.set(true);
                }
                Next::Read
            }
            () = clock::sleep_until(late) => Next::Late,
            _ = closing.changed(), if !is_closing => Next::Closing,
        }
    }

    /// When the caller has taken too long.
    fn late_at(&self) -> Moment {
        let limits = self.limits();
        match self.head_since {
            Some(since) if self.arriving.is_none() => since + to_duration(limits.head_timeout_ms),
            _ if !self.pending.is_empty() => Moment::now() + to_duration(limits.idle_timeout_ms),
            _ if self.is_idle() => self.active + to_duration(limits.idle_timeout_ms) + IDLE_SLACK,
            _ => self.active + to_duration(limits.idle_timeout_ms),
        }
    }

    /// Begins to serve what has arrived.
    async fn take_requests(&mut self) {
        while !self.is_last && self.faulty.is_none() {
            if self.whole.is_none() && !self.take_whole().await {
                return;
            }
            if !self.begin() {
                return;
            }
        }
    }

    /// Takes one whole request off the inbox, if it is there.
    async fn take_whole(&mut self) -> bool {
        if self.arriving.is_none() && !self.take_head() {
            return false;
        }
        let Some(arriving) = &mut self.arriving else { return false };
        let progress = arriving.body.read_from(&mut self.caller.inbox.borrow_mut());
        match progress {
            Ok(BodyProgress::Whole) => {}
            Ok(BodyProgress::Partial) => {
                self.active = Moment::now();
                self.invite_body().await;
                return false;
            }
            Ok(BodyProgress::TooLarge) => {
                self.faulty = Some(Refusal::not_run(Cause::BodyTooLarge));
                return false;
            }
            Err(_) => {
                self.faulty = Some(Refusal::not_run(Cause::BadRequest));
                return false;
            }
        }
        let Some(Arriving { head, body, arrived_ms, .. }) = self.arriving.take() else {
            return false;
        };
        self.whole = Some(Rc::new(Request { head, body: body.into_body(), arrived_ms }));
        true
    }

    fn take_head(&mut self) -> bool {
        let limits = self.limits();
        let max_bytes = usize::try_from(limits.head_bytes.0).unwrap_or(usize::MAX);
        let mut inbox = self.caller.inbox.borrow_mut();
        let head = match read_request(&mut inbox, max_bytes) {
            Ok(Some(head)) => head,
            Ok(None) => {
                let has_begun = !inbox.is_empty();
                self.head_since = self.head_since.filter(|_| has_begun);
                if has_begun {
                    self.head_since.get_or_insert_with(Moment::now);
                }
                return false;
            }
            Err(error) => {
                self.faulty = Some(Refusal::not_run(match error {
                    RequestError::Head(_) => Cause::BadRequest,
                    RequestError::HeadTooLarge => Cause::HeadTooLarge,
                }));
                return false;
            }
        };
        self.head_since = None;
        let max_body = usize::try_from(limits.body_bytes.0).unwrap_or(usize::MAX);
        let body = BodyReader::new(head.framing, max_body);
        let arrived_ms = self.host.now_ms();
        self.arriving = Some(Arriving { head, body, arrived_ms, is_continued: false });
        true
    }

    /// A caller that waits for leave to send its body gets it, once its answers are out.
    async fn invite_body(&mut self) {
        let is_first = self.pending.is_empty();
        let Some(arriving) = &mut self.arriving else { return };
        if is_first
            && !arriving.is_continued
            && arriving.head.fields.lists("expect", "100-continue")
        {
            arriving.is_continued = true;
            // A caller that can't be written to is noticed by the next read.
            let _ = self.caller.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        }
    }

    /// Begins to serve the request that is whole, unless it has to wait for those before it.
    fn begin(&mut self) -> bool {
        let Some(request) = self.whole.take() else { return false };
        let repeat = match request.head.is_safe_method() {
            true => Idempotency::Idempotent,
            false => Idempotency::AtMostOnce,
        };
        let all_read = repeat == Idempotency::Idempotent
            && self.pending.iter().all(|pending| pending.repeat == Idempotency::Idempotent);
        let may_begin = self.pending.is_empty() || all_read && self.pending.len() < MAX_PIPELINED;
        if !may_begin {
            self.whole = Some(request);
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
        self.pending.push_back(Pending { request, progress, task, repeat });
        true
    }

    /// Writes the answer to the first pending request; false if the connection ends with it.
    async fn write_answer(&mut self, reply: Reply) -> bool {
        let Some(pending) = self.pending.pop_front() else { return false };
        let closes = self.pending.is_empty()
            && self.faulty.is_none()
            && (self.is_last || self.host.is_stopping());
        let bytes = render(&self.host, &pending.request, &reply, closes);
        self.active = Moment::now();
        let written = clock::timeout(WRITE_LIMIT, self.caller.write(&bytes)).await;
        matches!(written, Ok(Ok(()))) && !closes
    }

    /// A faulty request is answered after those before it, and ends the connection.
    async fn write_fault(&mut self) {
        let Some(refusal) = self.faulty else { return };
        self.host.metrics.request_refused("", refusal.cause);
        let bytes = render_refusal(&self.host, None, refusal, true);
        // The connection ends here either way.
        let _ = clock::timeout(WRITE_LIMIT, self.caller.write(&bytes)).await;
    }
}
