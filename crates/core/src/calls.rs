//! What happens to calls.
//!
//! A call is queued, sent, answered. Each step that could run a request a second time
//! goes through [`Call::may_repeat`], and each final answer through [`Call::outcome`].

use crate::action::{Action, Attempt};
use crate::call::{Call, LiveAttempt, Stage};
use crate::choice::Usual;
use crate::entry_host::EntryHost;
use crate::event::{AnswerHead, AttemptEnd, CallHead, FailureStage};
use crate::queue::Admission;
use crate::refusal::{Refusal, RefusalCause, RunOutcome};
use crate::service::{Avoid, ServiceState, TakenSlot};
use domain::{AttemptId, CallId, Millis, ServiceName, ZoneName};
use rand::RngExt;

/// Shortest time that a caller is told to stay away.
const MIN_RETRY_AFTER_MS: u64 = 1000;
/// Status from which an answer counts as the upstream's failure.
const FIRST_FAILURE_STATUS: u16 = 500;

/// Why a call may not wait.
#[derive(Debug)]
struct NotAdmitted {
    cause: RefusalCause,
    service: Option<ServiceName>,
}

impl NotAdmitted {
    fn by(service: &ServiceName, cause: RefusalCause) -> NotAdmitted {
        NotAdmitted { cause, service: Some(service.clone()) }
    }
}

impl From<RefusalCause> for NotAdmitted {
    fn from(cause: RefusalCause) -> NotAdmitted {
        NotAdmitted { cause, service: None }
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
            Err(NotAdmitted { cause, service }) => {
                let refusal = self.refusal(cause, RunOutcome::NotRun, service.as_ref());
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
        self.forget_if_over(id);
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
        self.note_answer(now_ms, id, &answer);
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
            false => self.deliver(call_id, id, actions),
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
        self.free_slot(now_ms, &attempt, end);
        if let Some(call) = self.calls.get_mut(&attempt.call) {
            call.live.retain(|&live| live != id);
            if !attempt.answered && is_proof_of_not_run(end) {
                call.note_not_run();
            }
        }
        self.after_attempt(now_ms, id, &attempt, end, actions);
        self.forget_if_over(attempt.call);
        self.dispatch(now_ms, &attempt.service, actions);
    }

    /// Ends calls whose deadline has passed.
    pub(crate) fn expire_calls(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        while let Some(&(deadline_ms, id)) = self.deadlines.first()
            && deadline_ms <= now_ms
        {
            self.deadlines.pop_first();
            self.finish(id, RefusalCause::Expired, actions);
        }
    }

    /// Sends waiting calls of a service while slots are free.
    pub(crate) fn dispatch(
        &mut self,
        now_ms: Millis,
        service: &ServiceName,
        actions: &mut Vec<Action>,
    ) {
        let mut set_aside = Vec::new();
        while let Some(id) = self.next_waiting(service) {
            let left = self.send(now_ms, id, actions);
            let was_sent = self.calls.get(&id).is_some_and(|call| call.started > 0);
            if !left && !was_sent {
                break;
            }
            if let Some(state) = self.services.get_mut(service) {
                state.queue.pop();
            }
            if !left {
                set_aside.push(id);
            }
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
    ) -> Result<ServiceName, NotAdmitted> {
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
        let state = self.services.get_mut(&name).ok_or(RefusalCause::NoRoute)?;
        if !state.has_open_upstream() {
            return Err(NotAdmitted::by(&name, RefusalCause::NoUpstream));
        }
        let timeout_ms = head.timeout_ms.unwrap_or(state.published.deadline_ms);
        let ahead = state.queue.ahead_of(&head.caller);
        state.may_wait(now_ms, ahead, timeout_ms).map_err(|cause| NotAdmitted::by(&name, cause))?;
        let queue_limit = state.published.queue_limit as usize;
        let dropped = match state.queue.admit(&head.caller, id, queue_limit, caller_limit) {
            Admission::Waits => None,
            Admission::Replaces(dropped) => Some(dropped),
            Admission::CallerFull => {
                return Err(NotAdmitted::by(&name, RefusalCause::CallerShare));
            }
            Admission::QueueFull => {
                return Err(NotAdmitted::by(&name, RefusalCause::QueueFull));
            }
        };
        state.calls += 1;
        let call = Call {
            head,
            service: name.clone(),
            repeat,
            deadline_ms: now_ms + timeout_ms,
            stage: Stage::Waiting,
            live: Vec::new(),
            avoid: Avoid::default(),
            hedge_at_ms: None,
            started: 0,
            maybe_run: 0,
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

    /// Sends a call if a slot is free. Returns whether it left.
    fn send(&mut self, now_ms: Millis, id: CallId, actions: &mut Vec<Action>) -> bool {
        let Some(in_force) = &self.in_force else { return false };
        let Some(call) = self.calls.get_mut(&id) else { return true };
        let Some(state) = self.services.get_mut(&call.service) else { return false };
        let policy = in_force.config.policy;
        let Some(taken) = state.take_slot(now_ms, policy, &call.avoid, &mut self.rng) else {
            return false;
        };
        if call.started == 0 {
            state.retries.earn(in_force.config.retry.budget_share);
            state.hedges.earn(in_force.config.hedge.budget_share);
        }
        self.send_attempt(now_ms, id, taken, actions);
        self.plan_hedge(now_ms, id);
        true
    }

    /// Sends an attempt of a call into a slot that was taken for it.
    pub(crate) fn send_attempt(
        &mut self,
        now_ms: Millis,
        id: CallId,
        taken: TakenSlot,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let TakenSlot { upstream, address, rounds } = taken;
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
        }));
        let live = LiveAttempt {
            call: id,
            service: call.service.clone(),
            upstream,
            sent_ms: now_ms,
            rounds,
            answered: false,
        };
        self.attempts.insert(attempt, live);
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
            && state.has_open_upstream();
        if !allowed || !state.retries.spend() {
            return false;
        }
        call.stage = Stage::Waiting;
        if let Some(at_ms) = call.hedge_at_ms.take() {
            self.hedge_times.remove(&(at_ms, id));
        }
        state.queue.push_front(&call.head.caller, id);
        let service = call.service.clone();
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
        let Some(call) = self.calls.get_mut(&id) else { return };
        let outcome = call.outcome();
        let service = call.service.clone();
        if let Some(state) = self.services.get_mut(&service) {
            state.queue.remove(&call.head.caller, id);
        }
        call.stage = Stage::Over;
        cancel_all(&call.live, actions);
        self.drop_timers(id);
        let refusal = self.refusal(cause, outcome, Some(&service));
        actions.push(Action::Refuse { call: id, refusal });
        self.forget_if_over(id);
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
                let timed_out = end == AttemptEnd::Failed { stage: FailureStage::TimedOut };
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

    fn note_answer(&mut self, now_ms: Millis, id: AttemptId, answer: &AnswerHead) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let Some(state) = self.services.get_mut(&attempt.service) else { return };
        let usual_ms = Usual::of(&state.upstreams).service_ms();
        let Some(upstream) = state.upstream_mut(&attempt.upstream) else { return };
        upstream.note_report(now_ms, answer.load, answer.leaving);
        if answer.not_run {
            let slots = upstream.published.slots;
            return upstream.estimate.note_shed(now_ms, usual_ms, slots);
        }
        if answer.status >= FIRST_FAILURE_STATUS {
            upstream.note_failure();
            let zone = upstream.published.availability_zone.clone();
            return self.avoid_zone(attempt.call, zone);
        }
        let latency_ms = now_ms.since(attempt.sent_ms);
        upstream.estimate.note_latency(latency_ms, attempt.rounds);
        upstream.note_success(latency_ms);
        state.latency.note(latency_ms);
    }

    fn free_slot(&mut self, now_ms: Millis, attempt: &LiveAttempt, end: AttemptEnd) {
        let Some(state) = self.services.get_mut(&attempt.service) else { return };
        let Some(upstream) = state.upstream_mut(&attempt.upstream) else { return };
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        upstream.estimate.note_over(upstream.in_flight);
        match end {
            AttemptEnd::Failed { .. } => {
                upstream.note_failure();
                let zone = upstream.published.availability_zone.clone();
                self.avoid_zone(attempt.call, zone);
            }
            AttemptEnd::Cancelled { .. } if !attempt.answered => {
                upstream.estimate.note_overdue(now_ms.since(attempt.sent_ms), attempt.rounds);
            }
            AttemptEnd::Cancelled { .. } | AttemptEnd::Completed => {}
        }
    }

    fn avoid_zone(&mut self, id: CallId, zone: ZoneName) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.avoid.zone = Some(zone);
        }
    }

    fn forget_if_over(&mut self, id: CallId) {
        let over = self
            .calls
            .get(&id)
            .is_some_and(|call| call.stage == Stage::Over && call.live.is_empty());
        if !over {
            return;
        }
        let Some(call) = self.calls.remove(&id) else { return };
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
