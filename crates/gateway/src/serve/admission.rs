//! Whether a request may leave, by what is held against it, and what its end says of it.

use super::fingerprint::fingerprint;
use super::sending::SendingCounts;
use super::{Request, Serving};
use crate::quarantine;
use dispatch::attempts::{self, AttemptResult, Cause, Refusal};
use dispatch::quarantine::Admission;
use domain::{Millis, RequestFingerprint};

impl Serving {
    /// Waits while another host tries a request that asks the same; refuses what is held back.
    pub(super) async fn wait_for_trial(&self, counts: &SendingCounts) -> Result<(), Refusal> {
        loop {
            let news = self.host.quarantine_news.notified();
            let for_ms = match self.admission() {
                Admission::Free | Admission::Trial => return Ok(()),
                Admission::Held { for_ms } => return Err(held_back(for_ms, counts)),
                Admission::Wait { for_ms } => for_ms,
            };
            let until_ms = self.end_ms.min(self.host.now_ms() + for_ms);
            tokio::select! {
                () = news => {}
                () = self.host.clock.sleep_until(until_ms) => {}
            }
            self.check_time(self.host.now_ms(), counts)?;
        }
    }

    /// Whether it may leave now; true if it does so as a trial.
    pub(super) fn admit(&self, counts: &SendingCounts) -> Result<bool, Refusal> {
        match self.admission() {
            Admission::Free => Ok(false),
            Admission::Trial => Ok(true),
            Admission::Wait { for_ms } | Admission::Held { for_ms } => {
                Err(held_back(for_ms, counts))
            }
        }
    }

    fn admission(&self) -> Admission {
        let quarantine = self.host.quarantine.borrow();
        match quarantine.is_empty() {
            true => Admission::Free,
            false => quarantine.admit(self.host.now_ms(), self.fingerprint()),
        }
    }

    /// An upstream that ran it to its end clears it; a crash was noted as it was seen. One that
    /// fails requests may have failed it before it ran.
    pub(super) fn note_for_quarantine(&self, end: AttemptResult, is_trial: bool) {
        if self.host.quarantine.borrow().is_empty() {
            return;
        }
        if is_trial {
            quarantine::end_trial(&self.host, self.fingerprint());
        }
        match end {
            AttemptResult::Answered(answered) if attempts::was_served(answered) => {
                quarantine::note_answered(&self.host, self.fingerprint());
            }
            AttemptResult::Answered(_) | AttemptResult::NotSent | AttemptResult::Broken => {}
        }
    }

    /// What it asks; computed once it is needed, since it reads the whole body.
    pub(super) fn fingerprint(&self) -> RequestFingerprint {
        let Request { head, body, .. } = &*self.request;
        let compute = || fingerprint(head, body, self.host.dialect.caller);
        *self.fingerprint.get_or_init(compute)
    }
}

fn held_back(for_ms: Millis, counts: &SendingCounts) -> Refusal {
    match counts.may_have_run() > 0 {
        true => Refusal::may_have_run(Cause::UpstreamFailed),
        false => Refusal::quarantined(for_ms),
    }
}
