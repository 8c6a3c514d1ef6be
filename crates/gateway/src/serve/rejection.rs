//! Records rejections by upstreams, and adapts `Retry-After` of refused requests to them.

use super::RoutedRequest;
use super::attempt_end::EndedAttempt;
use crate::backpressure::MISDIRECTED;
use dispatch::attempts::{AttemptResult, Refusal};
use dispatch::rejections::{REJECTION_WINDOW_MS, RefusedRequest, RejectingUpstream};
use domain::{Millis, UpstreamId};

impl RoutedRequest {
    /// Records an attempt if the upstream rejected it and is known to be limited or how busy it is.
    pub(super) fn record_rejection(&self, ended: &EndedAttempt, now_ms: Millis) {
        match ended.result {
            AttemptResult::Answered(response)
                if response.not_run && response.status != MISDIRECTED => {}
            _ => return,
        }
        if let Some(rejecting) = self.rejecting_upstream(&ended.upstream, now_ms) {
            self.host.rejections.borrow_mut().record(now_ms, &self.service, rejecting);
        }
    }

    /// What is known of an upstream after its response was recorded.
    fn rejecting_upstream(&self, id: &UpstreamId, now_ms: Millis) -> Option<RejectingUpstream> {
        let upstreams = self.host.upstreams.borrow();
        let is_limited = upstreams.remaining_backoff(now_ms, id).is_some()
            || upstreams.fleet_rate(now_ms, id).is_some();
        let report = upstreams.get(id).and_then(|known| known.report(now_ms));
        match report.filter(|&(_, age_ms)| age_ms < REJECTION_WINDOW_MS) {
            _ if is_limited => Some(RejectingUpstream::Limited),
            Some((report, _)) => Some(RejectingUpstream::Reported(report)),
            None => None,
        }
    }

    /// Adapts the time after which the caller may retry to recent rejections.
    pub(super) fn adapt_retry_after(&self, refusal: Refusal) -> Refusal {
        let now_ms = self.host.now_ms();
        let due_ms = self.request.arrived_ms + self.route().objective_ms;
        let upstreams = self.host.upstreams.borrow();
        let request = RefusedRequest {
            service: &self.service,
            objective_left_ms: due_ms.since(now_ms),
            route_time_ms: upstreams.expected_ms(&self.service, self.route_key, 1.0),
            mean_time_ms: upstreams.mean_service_time_ms(&self.service),
        };
        let rejections = self.host.rejections.borrow();
        rejections.adapt_retry_after(now_ms, refusal, request, &mut self.host.rng.borrow_mut())
    }
}
