//! Owns the core, hands it events one by one and carries out its actions.
//!
//! Everything goes through one lock, so the core sees one order of events. Carrying an
//! action out never waits: it sends on a channel or spawns a task. What an action lets go
//! of is dropped after the lock is released, because a dropped answer is an event again.

use crate::answer::{Answer, AnswerBody, BytesLeft};
use crate::attempts::AttemptSender;
use crate::metrics::Metrics;
use crate::peers::PeerLinks;
use crate::platform::Platform;
use crate::probes::Prober;
use crate::request::CallRequest;
use clock::Clock;
use config::HostLimits;
use decision_core::{
    Action, Attempt, AttemptEnd, CallHead, CallStep, EntryHost, Event, FailureStage, Refusal,
    RejectedPair, UpstreamExplanation, VersionPair,
};
use domain::{AttemptId, ByteCount, CallId, FastMap, Millis, UpstreamId};
use futures_util::StreamExt;
use futures_util::stream::{BoxStream, Stream};
use http::HeaderValue;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::{Notify, oneshot, watch};

/// Time after the last open answer until idle connections are closed.
const QUIET: Duration = Duration::from_secs(5);
const QUIET_STEP: Duration = Duration::from_millis(100);

/// What a call ends with.
#[derive(Debug)]
pub enum Reply {
    /// An upstream's answer.
    Answer {
        /// Whose.
        upstream: UpstreamId,
        /// The answer.
        answer: Answer,
    },
    /// The entry host's own.
    Refused(Refusal),
}

/// The parts that carry actions out.
#[derive(Debug)]
pub struct Parts {
    /// Sends attempts.
    pub sender: AttemptSender,
    /// Sends to peers.
    pub peers: PeerLinks,
    /// Reads what the platform publishes.
    pub platform: Platform,
    /// Probes upstreams.
    pub prober: Prober,
    /// Counts.
    pub metrics: Arc<Metrics>,
}

/// Owns the core.
#[derive(Debug)]
pub struct Driver {
    state: Mutex<State>,
    clock: Clock,
    parts: Parts,
    runtime: Handle,
    next_call: AtomicU64,
    requests: AtomicUsize,
    next_tick_ms: AtomicU64,
    tick_changed: Notify,
    is_ready: AtomicBool,
    max_body_bytes: AtomicU64,
    held_answer_bytes: AtomicU64,
    exit: watch::Sender<bool>,
}

#[derive(Debug)]
struct State {
    core: EntryHost,
    versions: VersionPair,
    rejected: Option<VersionPair>,
    calls: FastMap<CallId, OpenCall>,
    attempts: FastMap<AttemptId, OpenAttempt>,
    actions: Vec<Action>,
}

#[derive(Debug)]
struct OpenCall {
    request: Arc<CallRequest>,
    reply: oneshot::Sender<Reply>,
    answers: Vec<HeldAnswer>,
}

#[derive(Debug)]
struct HeldAnswer {
    attempt: AttemptId,
    upstream: UpstreamId,
    answer: Answer,
}

#[derive(Debug)]
struct OpenAttempt {
    call: CallId,
    cancel: oneshot::Sender<()>,
}

/// What must not be dropped under the lock.
#[derive(Debug, Default)]
struct Discarded {
    calls: Vec<OpenCall>,
    answers: Vec<HeldAnswer>,
    replies: Vec<Reply>,
}

impl Driver {
    /// Drives `core` with `parts`; must be called within the runtime.
    pub fn new(core: EntryHost, clock: Clock, parts: Parts) -> Arc<Driver> {
        let limits = HostLimits::default();
        let state = State {
            core,
            versions: VersionPair::default(),
            rejected: None,
            calls: FastMap::default(),
            attempts: FastMap::default(),
            actions: Vec::new(),
        };
        Arc::new(Driver {
            state: Mutex::new(state),
            clock,
            parts,
            runtime: Handle::current(),
            next_call: AtomicU64::new(1),
            requests: AtomicUsize::new(0),
            next_tick_ms: AtomicU64::new(Millis::ZERO.0),
            tick_changed: Notify::new(),
            is_ready: AtomicBool::new(false),
            max_body_bytes: AtomicU64::new(limits.max_body_bytes.0),
            held_answer_bytes: AtomicU64::new(limits.held_answer_bytes.0),
            exit: watch::Sender::new(false),
        })
    }

    /// Hands the core an event.
    pub fn apply(self: &Arc<Driver>, event: Event) {
        self.with_state(|driver, state, discarded| driver.handle(state, event, discarded));
    }

    /// The number of a new call.
    pub fn next_call(&self) -> CallId {
        CallId(self.next_call.fetch_add(1, Ordering::Relaxed))
    }

    /// Notes a request, which may still lack its body, until the guard is dropped.
    pub fn request_begins(self: &Arc<Driver>) -> RequestGuard {
        self.requests.fetch_add(1, Ordering::AcqRel);
        RequestGuard { driver: Arc::clone(self) }
    }

    /// Hands the core a new call; its reply comes through the receiver.
    pub fn open_call(
        self: &Arc<Driver>,
        call: CallId,
        head: CallHead,
        request: CallRequest,
    ) -> oneshot::Receiver<Reply> {
        let (reply, receiver) = oneshot::channel();
        let open = OpenCall { request: Arc::new(request), reply, answers: Vec::new() };
        self.with_state(|driver, state, discarded| {
            state.calls.insert(call, open);
            driver.handle(state, Event::CallArrived { call, head }, discarded);
        });
        receiver
    }

    /// The caller of a call that has no reply yet hung up.
    pub fn caller_gone(self: &Arc<Driver>, call: CallId) {
        self.with_state(|driver, state, discarded| {
            discarded.calls.extend(state.calls.remove(&call));
            driver.handle(state, Event::CallerGone { call }, discarded);
        });
    }

    /// Everything the core holds, for operators.
    pub fn dump(&self) -> serde_json::Value {
        serde_json::to_value(self.lock().core.dump()).unwrap_or_default()
    }

    /// Why upstreams of that id get work, or don't; one for each service that has one.
    pub fn explain_upstreams(&self, id: &UpstreamId) -> Vec<UpstreamExplanation> {
        self.lock().core.explain_upstreams(id)
    }

    /// The steps of a call; none if it is unknown or too long ago.
    pub fn explain_call(&self, call: CallId) -> Vec<CallStep> {
        self.lock().core.explain_call(call)
    }

    /// Largest request body, as in force now.
    pub fn max_body_bytes(&self) -> ByteCount {
        ByteCount(self.max_body_bytes.load(Ordering::Relaxed))
    }

    /// Largest answer held until whole, as in force now.
    pub fn held_answer_bytes(&self) -> ByteCount {
        ByteCount(self.held_answer_bytes.load(Ordering::Relaxed))
    }

    /// Whether the balancer may send new connections.
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Acquire)
    }

    /// Turns true when the process may end.
    pub fn exit(&self) -> watch::Receiver<bool> {
        self.exit.subscribe()
    }

    /// Waits until no request and no answer is open any more, and then for a while: the last bytes of an
    /// answer may still be on their way out.
    pub async fn quiet(&self) {
        let mut quiet_for = Duration::ZERO;
        while quiet_for < QUIET {
            clock::sleep(QUIET_STEP).await;
            let is_quiet = self.requests.load(Ordering::Acquire) == 0 && self.lock().is_idle();
            quiet_for = if is_quiet { quiet_for + QUIET_STEP } else { Duration::ZERO };
        }
    }

    /// The entry host's id, as a header value.
    pub fn name(&self) -> HeaderValue {
        self.parts.sender.entry_host()
    }

    /// Counts.
    pub fn metrics(&self) -> &Metrics {
        &self.parts.metrics
    }

    /// The process's clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Tells the core that time passes; never ends.
    pub async fn tick(self: Arc<Driver>) {
        loop {
            let changed = self.tick_changed.notified();
            let next = Millis(self.next_tick_ms.load(Ordering::Acquire));
            tokio::select! {
                () = changed => {}
                () = self.clock.sleep_until(next) => self.apply(Event::Tick),
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn with_state(self: &Arc<Driver>, work: impl FnOnce(&Arc<Driver>, &mut State, &mut Discarded)) {
        let mut discarded = Discarded::default();
        let mut state = self.lock();
        work(self, &mut state, &mut discarded);
        drop(state);
        drop(discarded);
    }

    fn handle(self: &Arc<Driver>, state: &mut State, event: Event, discarded: &mut Discarded) {
        let mut actions = std::mem::take(&mut state.actions);
        state.core.handle(self.clock.now(), event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(state, action, discarded);
        }
        state.actions = actions;
        self.note_tick(state.core.next_tick_ms());
        self.note_versions(state);
        note_rejected(state);
    }

    fn note_versions(&self, state: &mut State) {
        let versions = state.core.versions();
        if versions == state.versions {
            return;
        }
        log::info!("config: base {}, overlay {} in force", versions.base, versions.overlay);
        state.versions = versions;
        if let Some(limits) = state.core.limits() {
            self.max_body_bytes.store(limits.max_body_bytes.0, Ordering::Relaxed);
            self.held_answer_bytes.store(limits.held_answer_bytes.0, Ordering::Relaxed);
        }
    }

    fn note_tick(&self, next: Millis) {
        if self.next_tick_ms.swap(next.0, Ordering::AcqRel) != next.0 {
            self.tick_changed.notify_one();
        }
    }

    fn carry_out(self: &Arc<Driver>, state: &mut State, action: Action, discarded: &mut Discarded) {
        match action {
            Action::Send(attempt) => self.send(state, attempt),
            Action::CancelAttempt { attempt } => cancel(state, attempt, discarded),
            Action::Deliver { call, attempt } => deliver(state, call, attempt, discarded),
            Action::Refuse { call, refusal } => refuse(state, call, refusal, discarded),
            Action::Probe { probe, upstream, address, timeout_ms } => {
                log::trace!("probes: asking {upstream} at {address}");
                self.parts.metrics.probe();
                self.spawn(|driver| async move {
                    let result = driver.parts.prober.probe(address, timeout_ms).await;
                    driver.apply(Event::ProbeEnded { probe, result });
                });
            }
            Action::SendPeer { address, message, .. } => self.parts.peers.send(address, message),
            Action::ReadConfig { key, after, wait_ms } => {
                self.parts.metrics.platform_read();
                self.spawn(|driver| async move {
                    let reading = driver.parts.platform.read_config(key, after, wait_ms).await;
                    driver.apply(Event::ConfigRead(reading));
                });
            }
            Action::ReadHostList => {
                self.parts.metrics.platform_read();
                self.spawn(|driver| async move {
                    let list = driver.parts.platform.read_host_list().await;
                    driver.apply(Event::HostListRead(list));
                });
            }
            Action::SetReady(is_ready) => self.set_ready(is_ready),
            Action::Exit => {
                self.exit.send_replace(true);
            }
        }
    }

    fn spawn<F>(self: &Arc<Driver>, work: impl FnOnce(Arc<Driver>) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.runtime.spawn(work(Arc::clone(self)));
    }

    fn set_ready(&self, is_ready: bool) {
        if self.is_ready.swap(is_ready, Ordering::AcqRel) != is_ready {
            log::info!("calls: ready is now {is_ready}");
        }
    }

    fn send(self: &Arc<Driver>, state: &mut State, attempt: Attempt) {
        let (cancel, cancelled) = oneshot::channel();
        state.attempts.insert(attempt.attempt, OpenAttempt { call: attempt.call, cancel });
        let Some(open) = state.calls.get(&attempt.call) else {
            log::error!("calls: {} is to be sent for a call that is gone", attempt.attempt);
            let guard =
                AttemptGuard::new(self, attempt.attempt, AttemptEnd::Cancelled { unsent: true });
            self.spawn(|_| async move { drop(guard) });
            return;
        };
        let request = Arc::clone(&open.request);
        self.spawn(|driver| driver.run_attempt(attempt, request, cancelled));
    }

    async fn run_attempt(
        self: Arc<Driver>,
        attempt: Attempt,
        request: Arc<CallRequest>,
        mut cancelled: oneshot::Receiver<()>,
    ) {
        let gate = self.parts.sender.gate(&attempt);
        let held = self.held_answer_bytes();
        let sent = tokio::select! {
            biased;
            Ok(()) = &mut cancelled => None,
            sent = self.parts.sender.send(&attempt, &request, &gate, held) => Some(sent),
        };
        let guard = |end| AttemptGuard::new(&self, attempt.attempt, end);
        match sent {
            None => drop(guard(AttemptEnd::Cancelled { unsent: gate.shut() })),
            Some(Err(stage)) => drop(guard(AttemptEnd::Failed { stage })),
            Some(Ok(answer)) => self.answer_ready(attempt, answer, cancelled),
        }
    }

    fn answer_ready(
        self: &Arc<Driver>,
        attempt: Attempt,
        mut answer: Answer,
        cancelled: oneshot::Receiver<()>,
    ) {
        let head = answer.head.clone();
        let is_whole = head.is_whole;
        if let AnswerBody::Stream { rest, left } = answer.body {
            let cut = AttemptEnd::Cancelled { unsent: false };
            let guard = AttemptGuard::new(self, attempt.attempt, cut);
            let rest = Box::pin(GuardedStream { rest, left, cancelled, guard });
            answer.body = AnswerBody::Stream { rest, left };
        }
        self.with_state(|driver, state, discarded| {
            let held = HeldAnswer { attempt: attempt.attempt, upstream: attempt.upstream, answer };
            match state.calls.get_mut(&attempt.call) {
                Some(open) => open.answers.push(held),
                None => discarded.answers.push(held),
            }
            let ready = Event::AnswerReady { attempt: attempt.attempt, answer: head };
            driver.handle(state, ready, discarded);
            if is_whole {
                driver.end_attempt(state, attempt.attempt, AttemptEnd::Completed, discarded);
            }
        });
    }

    fn end_attempt(
        self: &Arc<Driver>,
        state: &mut State,
        attempt: AttemptId,
        end: AttemptEnd,
        discarded: &mut Discarded,
    ) {
        if state.attempts.remove(&attempt).is_some() {
            self.parts.metrics.attempt(end);
            self.handle(state, Event::AttemptEnded { attempt, end }, discarded);
        }
    }
}

fn note_rejected(state: &mut State) {
    let versions = state.core.rejected_versions();
    if versions == state.rejected {
        return;
    }
    state.rejected = versions;
    if let Some(RejectedPair { base, overlay, problems }) = state.core.rejected() {
        log::warn!("config: base {base} with overlay {overlay} refused: {problems}");
    }
}

impl State {
    fn is_idle(&self) -> bool {
        self.calls.is_empty() && self.attempts.is_empty()
    }
}

/// A request that has no answer yet.
#[derive(Debug)]
pub struct RequestGuard {
    driver: Arc<Driver>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.driver.requests.fetch_sub(1, Ordering::AcqRel);
    }
}

fn cancel(state: &mut State, attempt: AttemptId, discarded: &mut Discarded) {
    let Some(open) = state.attempts.get_mut(&attempt) else { return };
    let (spent, _) = oneshot::channel();
    // The receiver is gone only if the attempt is ending by itself.
    let _ = std::mem::replace(&mut open.cancel, spent).send(());
    if let Some(call) = state.calls.get_mut(&open.call) {
        discarded.answers.extend(call.answers.extract_if(.., |held| held.attempt == attempt));
    }
}

fn deliver(state: &mut State, call: CallId, attempt: AttemptId, discarded: &mut Discarded) {
    let Some(mut open) = state.calls.remove(&call) else { return };
    let Some(at) = open.answers.iter().position(|held| held.attempt == attempt) else {
        log::error!("calls: the answer of {attempt} to {call} is to be delivered, but not held");
        discarded.calls.push(open);
        return;
    };
    let held = open.answers.swap_remove(at);
    discarded.answers.append(&mut open.answers);
    let reply = Reply::Answer { upstream: held.upstream, answer: held.answer };
    discarded.replies.extend(open.reply.send(reply).err());
}

fn refuse(state: &mut State, call: CallId, refusal: Refusal, discarded: &mut Discarded) {
    let Some(mut open) = state.calls.remove(&call) else { return };
    discarded.answers.append(&mut open.answers);
    discarded.replies.extend(open.reply.send(Reply::Refused(refusal)).err());
}

/// Tells the core how an attempt ended, when dropped.
#[derive(Debug)]
struct AttemptGuard {
    driver: Arc<Driver>,
    attempt: AttemptId,
    end: AttemptEnd,
}

impl AttemptGuard {
    fn new(driver: &Arc<Driver>, attempt: AttemptId, end: AttemptEnd) -> AttemptGuard {
        AttemptGuard { driver: Arc::clone(driver), attempt, end }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.driver.with_state(|driver, state, discarded| {
            driver.end_attempt(state, self.attempt, self.end, discarded);
        });
    }
}

/// The rest of an answer; its end, its cut or its being dropped ends the attempt.
struct GuardedStream {
    rest: BoxStream<'static, Result<bytes::Bytes, FailureStage>>,
    left: BytesLeft,
    cancelled: oneshot::Receiver<()>,
    guard: AttemptGuard,
}

impl Stream for GuardedStream {
    type Item = Result<bytes::Bytes, FailureStage>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if let Poll::Ready(Ok(())) = Pin::new(&mut self.cancelled).poll(cx) {
            return Poll::Ready(Some(Err(FailureStage::AnswerCut)));
        }
        let next = std::task::ready!(self.rest.poll_next_unpin(cx));
        match &next {
            None => self.guard.end = AttemptEnd::Completed,
            Some(Err(stage)) => self.guard.end = AttemptEnd::Failed { stage: *stage },
            Some(Ok(bytes)) if self.left.note_read(bytes.len()) => {
                self.guard.end = AttemptEnd::Completed;
            }
            Some(Ok(_)) => {}
        }
        Poll::Ready(next)
    }
}
