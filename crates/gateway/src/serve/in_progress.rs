//! What is known of an upstream follows each sending, also one that is dropped midway.

use crate::ask;
use crate::backpressure;
use crate::host::Host;
use crate::placing::PlacementGuard;
use dispatch::AttemptFailure;
use dispatch::backpressure::Backpressure;
use dispatch::scheduler::Outcome;
use domain::{Millis, ServiceName, UpstreamId};
use published::{RunStart, Upstream};
use std::rc::Rc;
use std::sync::Arc;

/// A sending that is withdrawn after so long was no good: its upstream is silent or slow.
const SILENT_MS: Millis = Millis(400);

/// A sending in progress at an upstream, until it ends or is withdrawn.
///
/// What is learned goes to the scheduler that placed it, and to this host's own knowledge
/// unless that is the same.
pub(super) struct InProgress {
    host: Rc<Host>,
    upstream: UpstreamId,
    /// What was published of it then; none if it was gone already.
    entry: Option<Arc<Upstream>>,
    /// The run that it was sent to.
    run: RunStart,
    begun_ms: Millis,
    held: Option<PlacementGuard>,
    is_ended: bool,
}

impl InProgress {
    /// A request leaves for an upstream.
    pub(super) fn begin(
        host: &Rc<Host>,
        upstream: &UpstreamId,
        mut held: Option<PlacementGuard>,
    ) -> InProgress {
        held.iter_mut().for_each(PlacementGuard::note_sent);
        let begun_ms = host.now_ms();
        let entry = host.upstreams.borrow().get(upstream).map(|known| Arc::clone(&known.entry));
        let run = entry.as_ref().map(|entry| entry.run).unwrap_or_default();
        let (host, upstream) = (Rc::clone(host), upstream.clone());
        let sending = InProgress { host, upstream, entry, run, begun_ms, held, is_ended: false };
        match sending.host.upstreams.borrow_mut().get_mut(&sending.upstream) {
            Some(known) if sending.is_noted_here() => known.record_sent(begun_ms),
            _ => {}
        }
        sending
    }

    /// What was published of the upstream as it was sent there.
    pub(super) fn entry(&self) -> Option<Arc<Upstream>> {
        self.entry.clone()
    }

    /// Returns once the upstream has started again: the run that has the request is over, and
    /// no answer of it can come any more.
    pub(super) async fn run_over(&self) {
        if self.run == RunStart::default() {
            return std::future::pending().await;
        }
        loop {
            let news = self.host.news.notified();
            if self.host.upstreams.borrow().has_restarted(&self.upstream, self.run) {
                return;
            }
            news.await;
        }
    }

    /// It came to its end.
    pub(super) fn end(mut self, service: &ServiceName, work: f64, outcome: Outcome) {
        self.is_ended = true;
        // Before the scheduler, which takes it from this host.
        let (at, kind) = ((&self.upstream, self.run), outcome.answer_kind());
        backpressure::note(&self.host, at, kind, outcome.backpressure);
        if self.is_noted_here() {
            self.note_end(outcome);
            if outcome.failure.is_none() {
                let mut upstreams = self.host.upstreams.borrow_mut();
                upstreams.record_duration(service, outcome.took_ms, work);
            }
        }
        if let Some(held) = self.held.take() {
            held.end(outcome);
        }
    }

    fn note_end(&self, outcome: Outcome) {
        // Before the end: the load that an answer tells counts the request that is answered.
        if let Some(report) = outcome.report {
            ask::note_report(&self.host, (&self.upstream, self.run), report);
        }
        let now_ms = self.host.now_ms();
        let mut upstreams = self.host.upstreams.borrow_mut();
        if let Some(known) = upstreams.get_run_mut(&self.upstream, self.run) {
            known.record_ended(now_ms, outcome.failure);
        }
    }

    /// Where this host placed it as scheduler, it was noted then.
    fn is_noted_here(&self) -> bool {
        self.held.as_ref().is_none_or(|held| !held.is_own())
    }

    fn withdraw(&mut self) {
        let took_ms = self.host.now_ms().since(self.begun_ms);
        if took_ms > SILENT_MS {
            let failure = Some(AttemptFailure::TimedOut);
            let outcome =
                Outcome { failure, took_ms, report: None, backpressure: Backpressure::default() };
            if self.is_noted_here() {
                self.note_end(outcome);
            }
            if let Some(held) = self.held.take() {
                held.end(outcome);
            }
        } else if self.is_noted_here() {
            // A place that is held is given back as it is dropped.
            let mut upstreams = self.host.upstreams.borrow_mut();
            if let Some(known) = upstreams.get_run_mut(&self.upstream, self.run) {
                known.record_withdrawn();
            }
        }
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        if !self.is_ended {
            self.withdraw();
        }
    }
}
