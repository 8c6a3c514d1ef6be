//! Quarantine of a request: whether it may be sent, and what the end of an attempt says about it.

use super::RoutedRequest;
use super::attempt::AttemptCounts;
use crate::quarantine;
use dispatch::attempts::{self, AttemptResult, Cause, Refusal};
use dispatch::quarantine::{Admission, RequestTime};
use domain::{Millis, RequestFingerprint};

impl RoutedRequest {
    /// Waits while a trial with the same fingerprint is in flight, from this host or another; refuses
    /// the request if it is quarantined.
    pub(super) async fn wait_for_trial(&self, counts: &AttemptCounts) -> Result<(), Refusal> {
        loop {
            let changed = self.host.quarantine_changed.notified();
            let for_ms = match self.admission() {
                Admission::Free | Admission::Trial => return Ok(()),
                Admission::Held { for_ms } => return Err(quarantine_refusal(for_ms, counts)),
                Admission::Wait { for_ms } => for_ms,
            };
            let until_ms = self.end_ms.min(self.host.now_ms() + for_ms);
            tokio::select! {
                () = changed => {}
                () = self.host.clock.sleep_until(until_ms) => {}
            }
            self.check_time(self.host.now_ms(), counts)?;
        }
    }

    /// Checks that the request may be sent now; returns whether it is sent as a trial.
    pub(super) fn admit(&self, counts: &AttemptCounts) -> Result<bool, Refusal> {
        match self.admission() {
            Admission::Free => Ok(false),
            Admission::Trial => Ok(true),
            Admission::Wait { for_ms } | Admission::Held { for_ms } => {
                Err(quarantine_refusal(for_ms, counts))
            }
        }
    }

    fn admission(&self) -> Admission {
        let quarantine = self.host.quarantine.borrow();
        if quarantine.is_empty() {
            return Admission::Free;
        }
        let now_ms = self.host.now_ms();
        let time = RequestTime {
            total_ms: self.end_ms.since(self.request.arrived_ms),
            left_ms: self.end_ms.since(now_ms),
        };
        quarantine.admit_in_time(now_ms, self.fingerprint(), time)
    }

    /// Clears the request if an upstream served it. An error response clears nothing: the upstream
    /// may have failed the request before it ran. Crashes are recorded where they are detected.
    pub(super) fn update_quarantine(&self, end: AttemptResult) {
        if self.host.quarantine.borrow().is_empty() {
            return;
        }
        match end {
            AttemptResult::Answered(response) if attempts::was_served(response) => {
                quarantine::record_served(&self.host, self.fingerprint());
            }
            AttemptResult::Answered(_) | AttemptResult::NotSent | AttemptResult::Broken => {}
        }
    }

    pub(super) fn fingerprint(&self) -> RequestFingerprint {
        self.request.fingerprint(self.host.dialect.caller)
    }
}

fn quarantine_refusal(for_ms: Millis, counts: &AttemptCounts) -> Refusal {
    match counts.may_have_run() > 0 {
        true => Refusal::may_have_run(Cause::UpstreamFailed),
        false => Refusal::quarantined(for_ms),
    }
}
