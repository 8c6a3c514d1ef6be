//! What happens to calls.
//!
//! A call is queued, sent, answered. Each step that could run a request a second time
//! goes through [`Call::may_repeat`], and each final answer through [`Call::outcome`].

use crate::action::{Action, Attempt};
use crate::call::{Call, LiveAttempt, Stage};
use crate::claims::MAX_KEYED_TIMEOUT_MS;
use crate::entry_host::EntryHost;
use crate::event::{AnswerHead, AttemptEnd, CallHead, FailureStage};
use crate::message::{ClaimKey, KeyProgress};
use crate::queue::Admission;
use crate::refusal::{Refusal, RefusalCause, RunOutcome};
use crate::service::{Avoid, ServiceState, TakenSlot};
use crate::slots::LeaseAnswer;
use config::{Policy, RepeatRule};
use domain::{AttemptId, CallId, Connections, Millis, ServiceName, ZoneName};
use rand::RngExt;

/// Shortest time that a caller is told to stay away.
const MIN_RETRY_AFTER_MS: u64 = 1000;
/// Status from which an answer counts as the upstream's failure.
pub(crate) const FIRST_FAILURE_STATUS: u16 = 500;

/// Why a call is not admitted.
#[derive(Debug)]
struct Rejection {
    cause: RefusalCause,
    outcome: RunOutcome,
    /// Whose queue tells when to come back.
    service: Option<ServiceName>,
}

impl Rejection {
    fn by(service: &ServiceName, cause: RefusalCause) -> Rejection {
        Rejection { service: Some(service.clone()), ..cause.into() }
    }
}

impl From<RefusalCause> for Rejection {
    fn from(cause: RefusalCause) -> Rejection {
        Rejection { cause, outcome: RunOutcome::NotRun, service: None }
    }
}

impl EntryHost {
    pub(crate) fn call_arrived(
        &mut self,
        now_ms: Millis,
        call: CallId,
        head: CallHead,
        actions: &mut Vec<Action>,
    ) {
        match self.admit(now_ms, call, head, actions) {
            Ok(service) => self.dispatch(now_ms, &service, actions),
            Err(Rejection { cause, outcome, service }) => {
                let refusal = self.refusal(cause, outcome, service.as_ref());
                actions.push(Action::Refuse { call, refusal });
            }
        }
    }

    pub(crate) fn caller_gone(&mut self, now_ms: Millis, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let service = call.service.clone();
        if call.stage == Stage::Waiting
            && let Some(state) = self.services.get_mut(&service)
        {
            state.queue.remove(&call.head.caller, id);
        }
        call.stage = Stage::Over;
        cancel_all(&call.live, actions);
        self.drop_timers(id);
        self.drop_pending_claim(id);
        self.release_key_if_not_run(id, actions);
        self.forget_if_over(id, actions);
        self.dispatch(now_ms, &service, actions);
    }

    pub(crate) fn answer_ready(
        &mut self,
        now_ms: Millis,
        id: AttemptId,
        answer: AnswerHead,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        if attempt.answered {
            return;
        }
        attempt.answered = true;
        let call_id = attempt.call;
        self.note_answer(now_ms, id, &answer, actions);
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        if answer.not_run {
            call.note_not_run();
        }
        if call.stage != Stage::Sent {
            actions.push(Action::CancelAttempt { attempt: id });
            return;
        }
        let failed = answer.not_run || answer.status >= FIRST_FAILURE_STATUS;
        if failed && (self.awaits_other(call_id) || self.try_again(now_ms, call_id, actions)) {
            actions.push(Action::CancelAttempt { attempt: id });
            return;
        }
        match answer.not_run {
            true => self.finish(call_id, RefusalCause::UpstreamRefused, actions),
            false => {
                self.note_key_progress(call_id, progress_of(answer.status));
                self.deliver(call_id, id, actions);
            }
        }
    }

    pub(crate) fn attempt_ended(
        &mut self,
        now_ms: Millis,
        id: AttemptId,
        end: AttemptEnd,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.note_end(now_ms, &attempt, end);
        self.return_lease(now_ms, &attempt, end);
        if let Some(call) = self.calls.get_mut(&attempt.call) {
            call.live.retain(|&live| live != id);
            if !attempt.answered && is_proof_of_not_run(end) {
                call.note_not_run();
            }
        }
        self.after_attempt(now_ms, id, &attempt, end, actions);
        self.forget_if_over(attempt.call, actions);
        self.dispatch(now_ms, &attempt.service, actions);
    }

    /// Ends calls whose deadline has passed.
    pub(crate) fn expire_calls(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        while let Some(&(deadline_ms, id)) = self.deadlines.first()
            && deadline_ms <= now_ms
        {
            self.deadlines.pop_first();
            let service = self.calls.get(&id).map(|call| call.service.clone());
            self.finish(id, RefusalCause::Expired, actions);
            if let Some(service) = service {
                self.dispatch(now_ms, &service, actions);
            }
        }
    }

    /// Sends waiting calls of a service while slots are free.
    ///
    /// A call whose deadline has passed is never sent, not even by a host that has just
    /// woken from a pause and handles what came in meanwhile before its first tick.
    pub(crate) fn dispatch(
        &mut self,
        now_ms: Millis,
        service: &ServiceName,
        actions: &mut Vec<Action>,
    ) {
        let mut set_aside = Vec::new();
        while let Some(id) = self.next_waiting(service) {
            if self.calls.get(&id).is_some_and(|call| call.deadline_ms <= now_ms) {
                self.finish(id, RefusalCause::Expired, actions);
                continue;
            }
            let slot = self.take_slot_for(now_ms, id, actions);
            let was_sent = self.calls.get(&id).is_some_and(|call| call.started > 0);
            if slot.is_none() && !was_sent {
                break;
            }
            let arrived_ms = self.calls.get(&id).map_or(now_ms, |call| call.arrived_ms);
            if let Some(state) = self.services.get_mut(service) {
                state.queue.pop();
                state.last_wait_ms = now_ms.since(arrived_ms);
            }
            let Some(slot) = slot else {
                set_aside.push(id);
                continue;
            };
            self.send_or_claim(now_ms, id, slot, actions);
        }
        self.put_back(service, set_aside);
        if let Some(state) = self.services.get_mut(service) {
            state.note_queue(now_ms);
        }
    }

    /// Sends calls that waited for an upstream which may have a slot by now.
    pub(crate) fn dispatch_woken(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        let due = |state: &&ServiceState| state.wake_ms.is_some_and(|wake_ms| wake_ms <= now_ms);
        let names: Vec<ServiceName> =
            self.services.values().filter(due).map(|state| state.name.clone()).collect();
        for name in names {
            self.dispatch(now_ms, &name, actions);
        }
    }

    /// Queues calls again that were sent before and find no other upstream now: they
    /// must not hold up those behind them.
    fn put_back(&mut self, service: &ServiceName, calls: Vec<CallId>) {
        let Some(state) = self.services.get_mut(service) else { return };
        for id in calls.into_iter().rev() {
            if let Some(call) = self.calls.get(&id) {
                state.queue.push_front(&call.head.caller, id);
            }
        }
    }

    fn admit(
        &mut self,
        now_ms: Millis,
        id: CallId,
        head: CallHead,
        actions: &mut Vec<Action>,
    ) -> Result<ServiceName, Rejection> {
        let in_force = self.in_force.as_ref().ok_or(RefusalCause::NotConfigured)?;
        let limits = &in_force.config.limits;
        if self.lifecycle.refuses_calls(now_ms, self.settings.drain_notice_ms) {
            return Err(RefusalCause::Stopping.into());
        }
        if head.depth >= limits.max_depth {
            return Err(RefusalCause::TooDeep.into());
        }
        if self.calls.len() >= limits.max_calls as usize {
            return Err(RefusalCause::HostFull.into());
        }
        let found = in_force.routes.find(&head.method, &head.path);
        let target = found.ok_or(RefusalCause::NoRoute)?;
        let repeat = target.repeat;
        let caller_limit = in_force.config.callers.max_waiting as usize;
        let name = target.service.clone();
        let key = key_of(&head, repeat, &name);
        if let Some(outcome) = key.as_ref().and_then(|key| self.claims.outcome_of_use(key)) {
            let cause = RefusalCause::DuplicateKey;
            return Err(Rejection { cause, outcome, service: None });
        }
        let state = self.services.get_mut(&name).ok_or(RefusalCause::NoRoute)?;
        if !state.has_open_upstream() {
            return Err(Rejection::by(&name, RefusalCause::NoUpstream));
        }
        let wanted_ms = head.timeout_ms.unwrap_or(state.published.deadline_ms);
        let timeout_ms = match key {
            Some(_) => wanted_ms.min(MAX_KEYED_TIMEOUT_MS),
            None => wanted_ms,
        };
        let ahead = state.queue.ahead_of(&head.caller);
        state.may_wait(now_ms, ahead, timeout_ms).map_err(|cause| Rejection::by(&name, cause))?;
        let queue_limit = state.published.queue_limit as usize;
        let dropped = match state.queue.admit(&head.caller, id, queue_limit, caller_limit) {
            Admission::Waits => None,
            Admission::Replaces(dropped) => Some(dropped),
            Admission::CallerFull => return Err(Rejection::by(&name, RefusalCause::CallerShare)),
            Admission::QueueFull => return Err(Rejection::by(&name, RefusalCause::QueueFull)),
        };
        state.calls += 1;
        if let Some(key) = &key {
            self.claims.begin_use(key, id);
        }
        let call = Call {
            head,
            service: name.clone(),
            repeat,
            arrived_ms: now_ms,
            deadline_ms: now_ms + timeout_ms,
            stage: Stage::Waiting,
            live: Vec::new(),
            avoid: Avoid::default(),
            hedge_at_ms: None,
            started: 0,
            maybe_run: 0,
            key,
            claim: None,
        };
        self.deadlines.insert((call.deadline_ms, id));
        self.calls.insert(id, call);
        if let Some(dropped) = dropped {
            self.finish(dropped, RefusalCause::CallerShare, actions);
        }
        Ok(name)
    }

    fn next_waiting(&self, service: &ServiceName) -> Option<CallId> {
        self.services.get(service)?.queue.peek()
    }

    /// Sends a call into a slot that it holds, after asking for its key where it has one.
    pub(crate) fn send_or_claim(
        &mut self,
        now_ms: Millis,
        id: CallId,
        slot: TakenSlot,
        actions: &mut Vec<Action>,
    ) {
        match self.calls.get(&id).is_some_and(Call::needs_claim) {
            true => self.ask_claim(now_ms, id, slot, actions),
            false => self.emit_send(now_ms, id, slot, actions),
        }
    }

    /// Takes a slot for a waiting call if one is free.
    fn take_slot_for(
        &mut self,
        now_ms: Millis,
        id: CallId,
        actions: &mut Vec<Action>,
    ) -> Option<TakenSlot> {
        let policy = self.in_force.as_ref()?.config.policy;
        let call = self.calls.get(&id)?;
        if policy == Policy::SlotLease && call.avoid.upstreams.is_empty() {
            let service = call.service.clone();
            match self.lease_slot(now_ms, &service, actions) {
                LeaseAnswer::Slot(slot) => return Some(slot),
                LeaseAnswer::Wait => return None,
                LeaseAnswer::ChooseYourself => {}
            }
        }
        let call = self.calls.get(&id)?;
        let state = self.services.get_mut(&call.service)?;
        state.take_slot(now_ms, policy, &call.avoid, &mut self.rng)
    }

    /// Sends a call to an upstream whose slot it holds.
    pub(crate) fn emit_send(
        &mut self,
        now_ms: Millis,
        id: CallId,
        slot: TakenSlot,
        actions: &mut Vec<Action>,
    ) {
        let Some(in_force) = &self.in_force else { return };
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(state) = self.services.get_mut(&call.service) else { return };
        if call.started == 0 {
            state.retries.earn(in_force.config.retry.budget_share);
            state.hedges.earn(in_force.config.hedge.budget_share);
        }
        self.send_attempt(now_ms, id, slot, actions);
        self.plan_hedge(now_ms, id);
    }

    /// Sends an attempt of a call into a slot that was taken for it.
    pub(crate) fn send_attempt(
        &mut self,
        now_ms: Millis,
        id: CallId,
        taken: TakenSlot,
        actions: &mut Vec<Action>,
    ) {
        let hosts = self.membership.listed_count();
        let Some(call) = self.calls.get_mut(&id) else { return };
        let TakenSlot { upstream, address, rounds, lease } = taken;
        let state = self.services.get(&call.service).and_then(|state| state.upstream(&upstream));
        let connections = state.map_or(Connections(1), |state| state.connections_of_one(hosts));
        self.last_attempt.0 += 1;
        let attempt = self.last_attempt;
        call.note_sent(attempt, upstream.clone());
        actions.push(Action::Send(Attempt {
            attempt,
            call: id,
            service: call.service.clone(),
            upstream: upstream.clone(),
            address,
            deadline_ms: call.deadline_ms,
            spent_attempts: call.spent_attempts(),
            depth: call.head.depth + 1,
            connections,
        }));
        let live = LiveAttempt {
            call: id,
            service: call.service.clone(),
            upstream,
            sent_ms: now_ms,
            rounds,
            shed: false,
            lease,
            answered: false,
            good_answer: false,
        };
        self.attempts.insert(attempt, live);
        self.note_key_progress(id, KeyProgress::MayHaveRun);
    }

    /// Puts a call at the head of its line: it was admitted before.
    pub(crate) fn wait_again(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(state) = self.services.get_mut(&call.service) else { return };
        call.stage = Stage::Waiting;
        if let Some(at_ms) = call.hedge_at_ms.take() {
            self.hedge_times.remove(&(at_ms, id));
        }
        state.queue.push_front(&call.head.caller, id);
    }

    /// Queues a failed call once more where rule, budget and time allow. Returns whether it did.
    fn try_again(&mut self, now_ms: Millis, id: CallId, actions: &mut Vec<Action>) -> bool {
        let Some(in_force) = &self.in_force else { return false };
        let Some(call) = self.calls.get_mut(&id) else { return false };
        let Some(state) = self.services.get_mut(&call.service) else { return false };
        let allowed = call.may_repeat()
            && call.head.body_replayable
            && call.deadline_ms > now_ms + state.shortest_service_ms()
            && call.spent_attempts() < in_force.config.retry.max_attempts
            && state.has_open_upstream()
            && !state.has_standing_queue(now_ms);
        if !allowed || !state.retries.spend() {
            return false;
        }
        let service = call.service.clone();
        self.wait_again(id);
        self.dispatch(now_ms, &service, actions);
        true
    }

    fn deliver(&mut self, id: CallId, attempt: AttemptId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.stage = Stage::Delivering(attempt);
        actions.push(Action::Deliver { call: id, attempt });
        let losers: Vec<AttemptId> =
            call.live.iter().copied().filter(|&other| other != attempt).collect();
        cancel_all(&losers, actions);
        self.drop_timers(id);
    }

    /// Gives a call its final answer and cancels what is still out.
    pub(crate) fn finish(&mut self, id: CallId, cause: RefusalCause, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id) else { return };
        let outcome = call.outcome();
        self.conclude(id, cause, outcome, actions);
    }

    /// Does the same with an outcome that is not the call's own, but its key's.
    pub(crate) fn conclude(
        &mut self,
        id: CallId,
        cause: RefusalCause,
        outcome: RunOutcome,
        actions: &mut Vec<Action>,
    ) {
        self.drop_pending_claim(id);
        let Some(call) = self.calls.get_mut(&id) else { return };
        let service = call.service.clone();
        if let Some(state) = self.services.get_mut(&service) {
            state.queue.remove(&call.head.caller, id);
        }
        call.stage = Stage::Over;
        cancel_all(&call.live, actions);
        self.drop_timers(id);
        let refusal = self.refusal(cause, outcome, Some(&service));
        actions.push(Action::Refuse { call: id, refusal });
        self.release_key_if_not_run(id, actions);
        self.forget_if_over(id, actions);
    }

    fn drop_timers(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        self.deadlines.remove(&(call.deadline_ms, id));
        if let Some(at_ms) = call.hedge_at_ms.take() {
            self.hedge_times.remove(&(at_ms, id));
        }
    }

    /// Whether another attempt of the call is out and may still bring an answer.
    fn awaits_other(&self, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id) else { return false };
        let pending = |attempt| self.attempts.get(attempt).is_some_and(|live| !live.answered);
        call.live.iter().any(pending)
    }

    fn after_attempt(
        &mut self,
        now_ms: Millis,
        id: AttemptId,
        attempt: &LiveAttempt,
        end: AttemptEnd,
        actions: &mut Vec<Action>,
    ) {
        let awaits_other = self.awaits_other(attempt.call);
        let Some(call) = self.calls.get_mut(&attempt.call) else { return };
        match call.stage {
            Stage::Delivering(delivering) if delivering == id => call.stage = Stage::Over,
            Stage::Sent if !awaits_other => {
                let timed_out = end == AttemptEnd::Failed { stage: FailureStage::TimedOut }
                    || call.deadline_ms <= now_ms;
                if self.try_again(now_ms, attempt.call, actions) {
                    return;
                }
                let cause = match timed_out {
                    true => RefusalCause::Expired,
                    false => RefusalCause::UpstreamFailed,
                };
                self.finish(attempt.call, cause, actions);
            }
            _ => {}
        }
    }

    pub(crate) fn avoid_zone(&mut self, id: CallId, zone: ZoneName) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.avoid.zone = Some(zone);
        }
    }

    fn forget_if_over(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let over = self
            .calls
            .get(&id)
            .is_some_and(|call| call.stage == Stage::Over && call.live.is_empty());
        if !over {
            return;
        }
        self.release_key_if_not_run(id, actions);
        let Some(call) = self.calls.remove(&id) else { return };
        if let Some(key) = &call.key {
            self.claims.end_use(key);
        }
        if let Some(state) = self.services.get_mut(&call.service) {
            state.calls -= 1;
        }
    }

    fn refusal(
        &mut self,
        cause: RefusalCause,
        outcome: RunOutcome,
        service: Option<&ServiceName>,
    ) -> Refusal {
        let state = service.and_then(|name| self.services.get(name));
        let wait_ms = state.map_or(Millis::ZERO, |state| state.expected_wait_ms(state.queue.len()));
        let base_ms = wait_ms.0.max(MIN_RETRY_AFTER_MS);
        let jittered_ms = Millis(self.rng.random_range(base_ms..=base_ms * 2));
        let retry_after_ms = match cause {
            RefusalCause::NoRoute | RefusalCause::TooDeep | RefusalCause::DuplicateKey => None,
            _ => Some(jittered_ms),
        };
        Refusal { cause, outcome, retry_after_ms }
    }
}

fn cancel_all(attempts: &[AttemptId], actions: &mut Vec<Action>) {
    actions.extend(attempts.iter().map(|&attempt| Action::CancelAttempt { attempt }));
}

fn is_proof_of_not_run(end: AttemptEnd) -> bool {
    match end {
        AttemptEnd::Failed { stage: FailureStage::BeforeSending } => true,
        AttemptEnd::Cancelled { unsent } => unsent,
        AttemptEnd::Failed { .. } | AttemptEnd::Completed => false,
    }
}

/// What must not run twice, if the rule asks for it and the caller names it.
fn key_of(head: &CallHead, repeat: RepeatRule, service: &ServiceName) -> Option<ClaimKey> {
    let key = match repeat {
        RepeatRule::AtMostOnce => head.idempotency_key.clone()?,
        RepeatRule::Idempotent => return None,
    };
    Some(ClaimKey { caller: head.caller.clone(), service: service.clone(), key })
}

/// Whether an answer shows that its request ran.
fn progress_of(status: u16) -> KeyProgress {
    match status >= FIRST_FAILURE_STATUS {
        true => KeyProgress::MayHaveRun,
        false => KeyProgress::Run,
    }
}
