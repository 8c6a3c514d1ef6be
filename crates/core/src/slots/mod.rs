//! Slots lent from host to host, under [`config::Policy::SlotLease`].
//!
//! For each service one host, the lender, counts who uses which slot. A host with waiting
//! calls asks it for slots; every ask is answered at once, so silence means that the
//! lender is gone or paused, and the borrower falls back to the load-aware choice. All
//! state is soft: a lease that isn't returned expires, two lenders at once only lend too
//! much, and the upstream sheds. Asking costs control bytes, so a borrower asks only as
//! far as its budget goes.

mod borrower;
mod lender;

pub use borrower::Borrower;
pub use lender::Lender;

use crate::action::Action;
use crate::call::LiveAttempt;
use crate::entry_host::EntryHost;
use crate::event::{AttemptEnd, LoadReport};
use crate::message::PeerMessage;
use crate::rendezvous::{Job, Role};
use crate::service::TakenSlot;
use config::Policy;
use domain::{ByteCount, HostId, LeaseId, Millis, ServiceName, UpstreamId};
use serde::{Deserialize, Serialize};

/// Time after a pause in which asks are left unanswered: they may be as old as the pause.
const STALE_AFTER_PAUSE_MS: Millis = Millis(100);

/// Leases may spend the control budget divided by this; the rest is for everything else.
const BUDGET_DIVISOR: u64 = 2;

/// One slot, lent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LentSlot {
    /// The lender's number for it.
    pub lease: LeaseId,
    /// Whose slot.
    pub upstream: UpstreamId,
}

/// A slot given back, and what its use told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReturnedSlot {
    /// The lender's number for it.
    pub lease: LeaseId,
    /// Time to a good answer.
    pub latency_ms: Option<Millis>,
    /// It failed.
    pub failed: bool,
    /// What the upstream last said of its load.
    pub load: Option<LoadReport>,
}

/// A lease that this host holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldLease {
    /// Who lent it.
    pub lender: HostId,
    /// The lender's number for it.
    pub lease: LeaseId,
}

/// Where the slot for a call comes from.
#[derive(Debug, PartialEq, Eq)]
enum SlotSource {
    /// This host's own choice.
    Own,
    /// This host's account.
    OwnAccount,
    /// The lender, which has been or can be asked.
    Lender(HostId),
}

impl EntryHost {
    /// Asks for slots, or takes one: `None` if the call at the head must wait.
    pub(crate) fn lease_slot(
        &mut self,
        now_ms: Millis,
        service: &ServiceName,
        actions: &mut Vec<Action>,
    ) -> LeaseAnswer {
        match self.slot_source(now_ms, service) {
            SlotSource::Own => LeaseAnswer::ChooseYourself,
            SlotSource::OwnAccount => {
                let own = self.settings.host.clone();
                match self.lend(now_ms, service) {
                    Some(lent) => self.take_lent(now_ms, service, own, lent),
                    None => LeaseAnswer::ChooseYourself,
                }
            }
            SlotSource::Lender(lender) => {
                self.ask_for_slots(now_ms, service, &lender, actions);
                let state = self.services.get(service);
                match state.is_some_and(|state| state.queue.len() <= state.borrower.asked()) {
                    true => LeaseAnswer::Wait,
                    false => LeaseAnswer::ChooseYourself,
                }
            }
        }
    }

    /// A peer asks for slots and returns others.
    pub(crate) fn slots_wanted(
        &mut self,
        now_ms: Millis,
        from: &HostId,
        service: ServiceName,
        count: u32,
        returned: Vec<ReturnedSlot>,
        actions: &mut Vec<Action>,
    ) {
        for slot in returned {
            self.take_back(now_ms, &service, slot);
        }
        if self.pauses.resumed_within(now_ms, STALE_AFTER_PAUSE_MS) || count == 0 {
            return;
        }
        let lent = (0..count).map_while(|_| self.lend(now_ms, &service)).collect();
        self.send_peer(
            from,
            PeerMessage::SlotsLent { service, asked: count, slots: lent },
            actions,
        );
    }

    /// The lender's answer: each slot goes to a call that waits, or back.
    pub(crate) fn slots_lent(
        &mut self,
        now_ms: Millis,
        from: HostId,
        service: ServiceName,
        asked: u32,
        slots: Vec<LentSlot>,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.services.get_mut(&service) else { return };
        let denied = asked.saturating_sub(slots.len() as u32);
        state.borrower.note_answer(now_ms, &from, asked);
        for lent in slots {
            let lease = lent.lease;
            let used = match self.take_lent(now_ms, &service, from.clone(), lent) {
                LeaseAnswer::Slot(slot) => self.send_next(now_ms, &service, slot, actions),
                LeaseAnswer::Wait | LeaseAnswer::ChooseYourself => false,
            };
            if !used && let Some(state) = self.services.get_mut(&service) {
                state.borrower.give_back(now_ms, &from, unused(lease));
            }
        }
        if let Some(state) = self.services.get_mut(&service) {
            state.borrower.note_denied(denied);
        }
        self.dispatch(now_ms, &service, actions);
    }

    /// Returns the lease of an attempt that ended.
    pub(crate) fn return_lease(&mut self, now_ms: Millis, attempt: &LiveAttempt, end: AttemptEnd) {
        let Some(held) = &attempt.lease else { return };
        let Some(state) = self.services.get_mut(&attempt.service) else { return };
        let broke_off = matches!(end, AttemptEnd::Failed { .. });
        let good = attempt.good_answer && !broke_off;
        let failed = broke_off || (attempt.answered && !good && !attempt.shed);
        let latency_ms = good.then(|| now_ms.since(attempt.sent_ms));
        let fresh = |&(at_ms, _): &(Millis, LoadReport)| at_ms >= attempt.sent_ms;
        let load = state.upstream(&attempt.upstream).and_then(|u| u.load).filter(fresh);
        let load = load.map(|(_, load)| load);
        let returned = ReturnedSlot { lease: held.lease, latency_ms, failed, load };
        match held.lender == self.settings.host {
            true => state.lender.release(held.lease).is_some(),
            false => state.borrower.give_back(now_ms, &held.lender, returned),
        };
    }

    /// Returns the lease of a slot that was not used.
    pub(crate) fn return_unused(
        &mut self,
        now_ms: Millis,
        service: &ServiceName,
        slot: &TakenSlot,
    ) {
        let Some(held) = &slot.lease else { return };
        let Some(state) = self.services.get_mut(service) else { return };
        match held.lender == self.settings.host {
            true => state.lender.release(held.lease).is_some(),
            false => state.borrower.give_back(now_ms, &held.lender, unused(held.lease)),
        };
    }

    /// Sends returns that are due, and gives up on lenders that are silent.
    pub(crate) fn run_slots(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        let due = |at_ms: Option<Millis>| at_ms.is_some_and(|at_ms| at_ms <= now_ms);
        let services = self.services.values().filter(|state| due(state.borrower.due_ms()));
        let names: Vec<ServiceName> = services.map(|state| state.name.clone()).collect();
        for name in names {
            let Some(state) = self.services.get_mut(&name) else { continue };
            state.borrower.give_up_if_silent(now_ms);
            if let Some((lender, returned)) = state.borrower.due_returns(now_ms) {
                let message =
                    PeerMessage::SlotsWanted { service: name.clone(), count: 0, returned };
                self.send_peer(&lender, message, actions);
            }
            self.dispatch(now_ms, &name, actions);
        }
    }

    /// Sends the call at the head with a slot that was lent. Returns whether one left.
    fn send_next(
        &mut self,
        now_ms: Millis,
        service: &ServiceName,
        slot: TakenSlot,
        actions: &mut Vec<Action>,
    ) -> bool {
        let next = self.services.get(service).and_then(|state| state.queue.peek());
        let call = next.and_then(|id| self.calls.get(&id).map(|call| (id, call)));
        let fits = call.filter(|(_, call)| {
            call.deadline_ms > now_ms && !call.avoid.upstreams.contains(&slot.upstream)
        });
        let Some((id, _)) = fits else {
            self.free_held_slot(service, &slot);
            return false;
        };
        if let Some(state) = self.services.get_mut(service) {
            state.queue.pop();
        }
        self.send_or_claim(now_ms, id, slot, actions);
        true
    }

    fn slot_source(&self, now_ms: Millis, service: &ServiceName) -> SlotSource {
        let leases = self.in_force.as_ref().is_some_and(|f| f.config.policy == Policy::SlotLease);
        if !leases {
            return SlotSource::Own;
        }
        let job = Job { role: Role::SlotLender, name: service.as_str() };
        let Some(lender) = job.first(self.membership.candidates(now_ms)) else {
            return SlotSource::Own;
        };
        let Some(state) = self.services.get(service) else { return SlotSource::Own };
        match lender {
            lender if *lender == self.settings.host => SlotSource::OwnAccount,
            lender if state.borrower.may_ask(now_ms, lender) => SlotSource::Lender(lender.clone()),
            _ => SlotSource::Own,
        }
    }

    fn ask_for_slots(
        &mut self,
        now_ms: Millis,
        service: &ServiceName,
        lender: &HostId,
        actions: &mut Vec<Action>,
    ) {
        let Some(in_force) = &self.in_force else { return };
        let all = in_force.config.measurement.control_bytes_per_second;
        let services = self.services.len().max(1) as u64;
        let budget = ByteCount(all.0 / BUDGET_DIVISOR / services);
        let Some(state) = self.services.get_mut(service) else { return };
        let waiting = state.queue.len() as u32;
        let Some((count, returned)) = state.borrower.ask(now_ms, lender, waiting, budget) else {
            return;
        };
        let message = PeerMessage::SlotsWanted { service: service.clone(), count, returned };
        self.send_peer(lender, message, actions);
    }

    fn lend(&mut self, now_ms: Millis, service: &ServiceName) -> Option<LentSlot> {
        let state = self.services.get_mut(service)?;
        let lent = lender::best_slot(now_ms, state)?;
        let lease = state.lender.lend(now_ms, lent.clone());
        Some(LentSlot { lease, upstream: lent })
    }

    fn take_back(&mut self, now_ms: Millis, service: &ServiceName, slot: ReturnedSlot) {
        let Some(state) = self.services.get_mut(service) else { return };
        let Some(lease) = state.lender.release(slot.lease) else { return };
        let Some(upstream) = state.upstream_mut(&lease.upstream) else { return };
        if let Some(load) = slot.load {
            upstream.note_peer_report(now_ms, Some(load));
        }
        if let Some(latency_ms) = slot.latency_ms {
            upstream.estimate.note_latency(latency_ms, 1.0);
        }
        if slot.failed {
            upstream.note_failure(lease.lent_ms);
        }
    }

    fn take_lent(
        &mut self,
        now_ms: Millis,
        service: &ServiceName,
        lender: HostId,
        lent: LentSlot,
    ) -> LeaseAnswer {
        let LentSlot { lease, upstream } = lent;
        let state = self.services.get_mut(service);
        match state.and_then(|state| state.take_slot_of(now_ms, &upstream)) {
            Some(slot) => {
                let held = HeldLease { lender, lease };
                LeaseAnswer::Slot(TakenSlot { lease: Some(held), ..slot })
            }
            None => LeaseAnswer::Wait,
        }
    }
}

/// What asking for a slot gave.
#[derive(Debug)]
pub enum LeaseAnswer {
    /// A slot, now.
    Slot(TakenSlot),
    /// The lender was asked; the slot comes as a message.
    Wait,
    /// Nobody lends: choose by what this host knows.
    ChooseYourself,
}

fn unused(lease: LeaseId) -> ReturnedSlot {
    ReturnedSlot { lease, latency_ms: None, failed: false, load: None }
}
