//! Until when a request may be sent: its deadline, and the end of the process if the host stops.

use super::RoutedRequest;
use super::attempt::AttemptCounts;
use dispatch::ShutdownSchedule;
use dispatch::attempts::{Cause, Refusal};
use domain::Millis;

impl RoutedRequest {
    /// Refuses the request if it may no longer be sent.
    pub(super) fn check_time(&self, now_ms: Millis, counts: &AttemptCounts) -> Result<(), Refusal> {
        let schedule = self.host.shutdown.schedule();
        match schedule.map(|schedule| self.send_by_ms(&schedule)) {
            _ if now_ms >= self.end_ms => Err(deadline_refusal(counts)),
            Some(send_by_ms) if now_ms >= send_by_ms => Err(stopping_refusal(counts)),
            Some(_) | None => Ok(()),
        }
    }

    /// Waits until the request may no longer be sent as the host stops. Its deadline is not looked
    /// at.
    pub(super) async fn stop_forbids_sending(&self) {
        let mut schedule = self.host.shutdown.subscribe();
        loop {
            let current = *schedule.borrow_and_update();
            let send_by_ms = current.map(|schedule| self.send_by_ms(&schedule));
            match send_by_ms {
                Some(send_by_ms) if send_by_ms < self.end_ms => {
                    return self.host.clock.sleep_until(send_by_ms).await;
                }
                // The host doesn't stop, or the deadline is earlier.
                Some(_) | None => {}
            }
            if schedule.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    fn send_by_ms(&self, schedule: &ShutdownSchedule) -> Millis {
        let upstreams = self.host.upstreams.borrow();
        let expected_ms = upstreams.expected_ms(&self.service, self.route_key, 1.0);
        schedule.send_by_ms(self.end_ms, expected_ms)
    }
}

pub(super) fn deadline_refusal(counts: &AttemptCounts) -> Refusal {
    match counts.may_have_run() > 0 {
        true => Refusal::may_have_run(Cause::TimedOut),
        false => Refusal::not_run(Cause::Expired),
    }
}

pub(super) fn stopping_refusal(counts: &AttemptCounts) -> Refusal {
    match counts.may_have_run() > 0 {
        true => Refusal::may_have_run(Cause::UpstreamFailed),
        false => Refusal::stopping(),
    }
}
