//! Records each attempt's start and end in the state of its upstream, also if it is cancelled.

use super::Request;
use crate::backpressure;
use crate::host::Host;
use crate::placement::PlacementGuard;
use crate::probe;
use dispatch::backpressure::Backpressure;
use dispatch::scheduler::Outcome;
use dispatch::{AttemptFailure, RouteKey};
use domain::{Millis, ServiceName, UpstreamId};
use published::{RunStart, Upstream};
use std::rc::Rc;
use std::sync::Arc;

/// An attempt that is cancelled after this time counts as a failure: the upstream is unresponsive
/// or slow.
const UNRESPONSIVE_MS: Millis = Millis(400);

/// An attempt in flight at an upstream, until it ends or is cancelled.
///
/// Its outcome goes to the scheduler that placed the request, and to this host's own state unless
/// this host is that scheduler.
pub(super) struct AttemptGuard {
    host: Rc<Host>,
    upstream: UpstreamId,
    /// The upstream's published entry when the attempt began; none if it had been removed.
    entry: Option<Arc<Upstream>>,
    /// The run of the upstream that it was sent to.
    run: RunStart,
    begun_ms: Millis,
    /// The request that was sent.
    request: Rc<Request>,
    placement: Option<PlacementGuard>,
    /// Whether the guard records the attempt in this host's state. If this host's scheduler placed
    /// the request, the scheduler records it there.
    updates_own_state: bool,
    /// Whether what the response's head states was recorded before the attempt's end.
    is_head_recorded: bool,
    is_ended: bool,
}

impl AttemptGuard {
    /// Records that a request is sent to an upstream.
    pub(super) fn begin(
        host: &Rc<Host>,
        upstream: &UpstreamId,
        request: &Rc<Request>,
        mut placement: Option<PlacementGuard>,
    ) -> AttemptGuard {
        placement.iter_mut().for_each(PlacementGuard::record_sent);
        let begun_ms = host.now_ms();
        let entry = host.upstreams.borrow().get(upstream).map(|known| Arc::clone(&known.entry));
        let run = entry.as_ref().map(|entry| entry.run).unwrap_or_default();
        let (host, upstream) = (Rc::clone(host), upstream.clone());
        let updates_own_state = placement.as_ref().is_none_or(|placement| !placement.is_own());
        let attempt = AttemptGuard {
            host,
            upstream,
            entry,
            run,
            begun_ms,
            request: Rc::clone(request),
            placement,
            updates_own_state,
            is_head_recorded: false,
            is_ended: false,
        };
        match attempt.host.upstreams.borrow_mut().get_mut(&attempt.upstream) {
            Some(known) if attempt.updates_own_state => known.record_sent(begun_ms),
            _ => {}
        }
        attempt
    }

    /// The upstream's published entry when the attempt began.
    pub(super) fn entry(&self) -> Option<Arc<Upstream>> {
        self.entry.clone()
    }

    /// Returns once the upstream has restarted: the run that the request was sent to has ended, so
    /// no response to it can arrive.
    pub(super) async fn upstream_restarted(&self) {
        if self.run == RunStart::default() {
            return std::future::pending().await;
        }
        loop {
            let updated = self.host.state_updated.notified();
            if self.host.upstreams.borrow().has_restarted(&self.upstream, self.run) {
                return;
            }
            updated.await;
        }
    }

    /// Tells the scheduler that nothing is known of the attempt any more, so that the slot counts as
    /// free unless the upstream reports otherwise.
    pub(super) fn release_placement(&mut self) {
        self.placement = None;
    }

    /// Lets the slot count as free, unless the upstream reports otherwise: it waits for the rest of
    /// the request, and has most likely not begun.
    pub(super) fn release_slot(&mut self) {
        self.release_placement();
        if std::mem::replace(&mut self.updates_own_state, false) {
            self.record_withdrawn();
        }
    }

    fn record_withdrawn(&self) {
        let mut upstreams = self.host.upstreams.borrow_mut();
        if let Some(known) = upstreams.get_run_mut(&self.upstream, self.run) {
            known.record_withdrawn();
        }
    }

    /// Records what the head of a response states, if the attempt ends only with its body.
    pub(super) fn record_head(&mut self, outcome: &Outcome) {
        self.is_head_recorded = true;
        let at = (&self.upstream, self.run);
        backpressure::record(&self.host, at, outcome.response_kind(), outcome.backpressure);
    }

    /// Records that the attempt ended.
    pub(super) fn end(
        mut self,
        service: &ServiceName,
        route: RouteKey,
        work: f64,
        outcome: Outcome,
    ) {
        self.is_ended = true;
        // Before the outcome goes to a scheduler on this host, which reads what is recorded here.
        if !self.is_head_recorded {
            self.record_head(&outcome);
        }
        if self.updates_own_state {
            self.record_end(outcome);
            if outcome.failure.is_none() {
                let mut upstreams = self.host.upstreams.borrow_mut();
                upstreams.record_duration(service, route, outcome.took_ms, work);
            }
        }
        if let Some(placement) = self.placement.take() {
            placement.end(outcome);
        }
    }

    fn record_end(&self, outcome: Outcome) {
        // Before the end: the load that a response reports includes the request itself.
        if let Some(report) = outcome.report {
            probe::record_report(&self.host, (&self.upstream, self.run), report);
        }
        let now_ms = self.host.now_ms();
        let mut upstreams = self.host.upstreams.borrow_mut();
        if let Some(known) = upstreams.get_run_mut(&self.upstream, self.run) {
            known.record_ended(now_ms, outcome.failure);
        }
    }

    fn cancel(&mut self) {
        let took_ms = self.host.now_ms().since(self.begun_ms);
        // An upstream that waits for the caller isn't to blame.
        if took_ms > UNRESPONSIVE_MS && !self.request.body.is_awaited() {
            let failure = Some(AttemptFailure::TimedOut);
            let outcome =
                Outcome { failure, took_ms, report: None, backpressure: Backpressure::default() };
            if self.updates_own_state {
                self.record_end(outcome);
            }
            if let Some(placement) = self.placement.take() {
                placement.end(outcome);
            }
        } else if self.updates_own_state {
            // A placement is released when its guard is dropped.
            self.record_withdrawn();
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.is_ended {
            self.cancel();
        }
    }
}
