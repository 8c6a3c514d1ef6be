//! One call and its attempts.
//!
//! A call counts the attempts that may have run. While that count is zero, and only
//! then, the call surely did not run: that alone allows a second sending of a request
//! that must not be repeated, and that alone allows the words "not run".

use crate::claims::CallClaim;
use crate::event::CallHead;
use crate::message::ClaimKey;
use crate::refusal::RunOutcome;
use crate::service::Avoid;
use crate::slots::HeldLease;
use config::RepeatRule;
use domain::{AttemptId, Millis, ServiceName, UpstreamId};

/// A call in progress.
#[derive(Debug)]
pub struct Call {
    /// What decides about it.
    pub head: CallHead,
    /// Its service.
    pub service: ServiceName,
    /// Whether it may be sent again.
    pub repeat: RepeatRule,
    /// When it came.
    pub arrived_ms: Millis,
    /// When its caller stops waiting.
    pub deadline_ms: Millis,
    /// Where it stands.
    pub stage: Stage,
    /// Attempts that are out.
    pub live: Vec<AttemptId>,
    /// Where not to send it again.
    pub avoid: Avoid,
    /// When it is hedged, if its answer isn't here by then.
    pub hedge_at_ms: Option<Millis>,
    /// Attempts started.
    pub started: u32,
    /// Attempts that may have run.
    pub maybe_run: u32,
    /// What must not run twice, if the caller named it.
    pub key: Option<ClaimKey>,
    /// The claim to that key, once it was asked for.
    pub claim: Option<CallClaim>,
}

/// Where a call stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// In the queue.
    Waiting,
    /// It holds a slot while peers vote on its idempotency key.
    Claiming,
    /// Sent, no answer passed on yet.
    Sent,
    /// The caller is getting this attempt's answer.
    Delivering(AttemptId),
    /// The caller has its final answer or has gone; attempts are still winding up.
    Over,
}

impl Call {
    /// Whether it ran, as far as this host can prove.
    pub fn outcome(&self) -> RunOutcome {
        match self.maybe_run {
            0 => RunOutcome::NotRun,
            _ => RunOutcome::Unknown,
        }
    }

    /// Whether sending it again can't make it run twice against the rule.
    pub fn may_repeat(&self) -> bool {
        self.repeat == RepeatRule::Idempotent || self.maybe_run == 0
    }

    /// Whether peers must confirm its idempotency key before it may be sent.
    pub fn needs_claim(&self) -> bool {
        let stands = self.claim.as_ref().is_some_and(|claim| claim.stands);
        self.key.is_some() && !stands
    }

    /// Attempts spent on it, those of callers further up included.
    pub fn spent_attempts(&self) -> u32 {
        self.head.spent_attempts.saturating_add(self.started)
    }

    /// Notes that an attempt left.
    pub fn note_sent(&mut self, attempt: AttemptId, upstream: UpstreamId) {
        self.live.push(attempt);
        self.avoid.upstreams.push(upstream);
        self.started += 1;
        self.maybe_run += 1;
        self.stage = Stage::Sent;
    }

    /// Notes the proof that an attempt did not run.
    pub fn note_not_run(&mut self) {
        self.maybe_run = self.maybe_run.saturating_sub(1);
    }
}

/// One sending of a call.
#[derive(Debug)]
pub struct LiveAttempt {
    /// Its call.
    pub call: domain::CallId,
    /// Its service.
    pub service: ServiceName,
    /// Whom it went to.
    pub upstream: UpstreamId,
    /// When it left.
    pub sent_ms: Millis,
    /// Rounds of service that it was expected to take.
    pub rounds: f64,
    /// The upstream declared that it did not run.
    pub shed: bool,
    /// The lease of its slot, if it was lent.
    pub lease: Option<HeldLease>,
    /// Whether its answer's head came.
    pub answered: bool,
    /// Whether that head was no failure.
    pub good_answer: bool,
}
