//! Claims in the life of a call, and the messages about them.
//!
//! A call that needs a claim holds its slot while it is decided, so that nothing stands
//! between the decision and the sending. The decision is checked against the clock in
//! the same step that sends: a host that wakes from a pause finds its claim expired.

use super::pending::{Pending, Tally};
use super::{CallClaim, outcome_of};
use crate::action::Action;
use crate::call::Stage;
use crate::entry_host::EntryHost;
use crate::message::{
    ClaimId, ClaimKey, ClaimQuestion, ClaimVerdict, ClaimVote, KeyProgress, PeerMessage,
};
use crate::refusal::{RefusalCause, RunOutcome};
use crate::service::TakenSlot;
use domain::{CallId, HostId, Incarnation, Millis, ServiceName};

impl EntryHost {
    /// Asks for the claim of a call that holds a slot.
    pub(crate) fn ask_claim(
        &mut self,
        now_ms: Millis,
        id: CallId,
        slot: TakenSlot,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(key) = call.key.clone() else { return };
        let claim = self.claims.next_id();
        let number = claim.number;
        let committee = self.claims.committee(&key);
        call.stage = Stage::Claiming;
        call.claim = Some(CallClaim { id: claim.clone(), asked: committee.clone(), stands: false });
        let question = ClaimQuestion { claim, key: key.clone(), committee: committee.clone() };
        let pending = Pending::new(id, key, slot, now_ms, committee.clone());
        self.claims.pending.insert(number, pending);
        self.claims.counts.asked += 1;
        for voter in &committee {
            self.ask_voter(voter, &question, actions);
        }
        self.decide_claim(now_ms, number, actions);
    }

    /// Takes a message about claims.
    pub(crate) fn claim_received(
        &mut self,
        now_ms: Millis,
        from: HostId,
        incarnation: Incarnation,
        message: PeerMessage,
        actions: &mut Vec<Action>,
    ) {
        let is_senders = |claim: &ClaimId| claim.host == from && claim.incarnation == incarnation;
        match message {
            PeerMessage::ClaimAsked(question) if is_senders(&question.claim) => {
                let verdict = self.claims.vote(&question);
                let vote = ClaimVote { claim: question.claim, verdict };
                self.send_peer(&from, PeerMessage::ClaimVoted(vote), actions);
            }
            PeerMessage::ClaimReleased { claim, key } if is_senders(&claim) => {
                self.claims.holds.release(now_ms, &key, &claim);
            }
            PeerMessage::ClaimVoted(vote) => self.take_vote(now_ms, &from, vote, actions),
            PeerMessage::StandingWanted { round } if self.claims.join.may_tell() => {
                for told in self.claims.standing(round) {
                    self.send_peer(&from, PeerMessage::StandingOffered(told), actions);
                }
            }
            PeerMessage::StandingOffered(told) => self.claims.take_standing(from, &told),
            _ => {}
        }
    }

    /// Does what is due: decisions for want of votes, questions of a host that joins.
    pub(crate) fn run_claims(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        while let Some((&number, pending)) = self.claims.pending.first_key_value()
            && pending.expires_ms() <= now_ms
        {
            self.decide_and_dispatch(now_ms, number, actions);
        }
        let claims = &mut self.claims;
        if claims.list_known && !claims.join.finish(now_ms, &claims.own, &claims.electorate) {
            self.ask_for_standing(now_ms, actions);
        }
    }

    /// Notes the hosts on the list in force as voters.
    pub(crate) fn note_listed_voters(&mut self) {
        let list = self.membership.list();
        let hosts = list.into_iter().flat_map(|list| &list.hosts);
        self.claims.note_listed(hosts.map(|listed| &listed.host));
    }

    /// Notes that a call's request leaves, or that an upstream answered it.
    pub(crate) fn note_key_progress(&mut self, id: CallId, progress: KeyProgress) {
        let Some(call) = self.calls.get(&id) else { return };
        if let (Some(key), Some(claim)) = (&call.key, &call.claim) {
            self.claims.holds.note_progress(key, &claim.id, progress);
        }
    }

    /// Frees the slot that an undecided call holds; a vote that comes later finds nothing.
    pub(crate) fn drop_pending_claim(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        let Some(claim) = &call.claim else { return };
        let Some(pending) = self.claims.pending.remove(&claim.id.number) else { return };
        let service = call.service.clone();
        self.free_held_slot(&service, &pending.slot);
    }

    /// Gives up the key of a call that is over and surely did not run.
    pub(crate) fn release_key_if_not_run(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if call.stage != Stage::Over || call.outcome() != RunOutcome::NotRun {
            return;
        }
        let claim = call.claim.take();
        let Some(key) = call.key.take() else { return };
        self.claims.in_use.remove(&key);
        if let Some(claim) = claim {
            self.release_claim(&key, claim, actions);
        }
    }

    fn ask_voter(&mut self, voter: &HostId, question: &ClaimQuestion, actions: &mut Vec<Action>) {
        if *voter != self.settings.host {
            self.send_peer(voter, PeerMessage::ClaimAsked(question.clone()), actions);
            return;
        }
        let verdict = self.claims.vote(question);
        self.claims.holds.note_progress(&question.key, &question.claim, KeyProgress::Pending);
        if let Some(pending) = self.claims.pending.get_mut(&question.claim.number) {
            pending.note(voter, &verdict);
        }
    }

    fn take_vote(
        &mut self,
        now_ms: Millis,
        from: &HostId,
        vote: ClaimVote,
        actions: &mut Vec<Action>,
    ) {
        if vote.claim.host != self.settings.host
            || vote.claim.incarnation != self.settings.incarnation
        {
            return;
        }
        if let ClaimVerdict::Differs { electorate } = &vote.verdict {
            self.claims.electorate.merge(now_ms, electorate);
        }
        let number = vote.claim.number;
        if let Some(pending) = self.claims.pending.get_mut(&number) {
            pending.note(from, &vote.verdict);
            self.decide_and_dispatch(now_ms, number, actions);
        }
    }

    fn decide_and_dispatch(&mut self, now_ms: Millis, number: u64, actions: &mut Vec<Action>) {
        let Some(pending) = self.claims.pending.get(&number) else { return };
        let Some(call) = self.calls.get(&pending.call) else { return };
        let service = call.service.clone();
        self.decide_claim(now_ms, number, actions);
        self.dispatch(now_ms, &service, actions);
    }

    fn decide_claim(&mut self, now_ms: Millis, number: u64, actions: &mut Vec<Action>) {
        let Some(pending) = self.claims.pending.get(&number) else { return };
        let id = pending.call;
        let (cause, outcome) = match pending.tally(now_ms) {
            Tally::Open => return,
            Tally::Stands => return self.claim_stands(now_ms, number, actions),
            Tally::Unconfirmed => {
                self.claims.counts.unconfirmed += 1;
                (RefusalCause::KeyUnconfirmed, RunOutcome::NotRun)
            }
            Tally::Duplicate { progress } => {
                self.claims.counts.duplicates += 1;
                (RefusalCause::DuplicateKey, outcome_of(progress))
            }
        };
        self.conclude(id, cause, outcome, actions);
    }

    fn claim_stands(&mut self, now_ms: Millis, number: u64, actions: &mut Vec<Action>) {
        let Some(pending) = self.claims.pending.remove(&number) else { return };
        let Pending { call: id, key, slot, asked_ms, .. } = pending;
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(claim) = &mut call.claim else { return };
        claim.stands = true;
        let service = call.service.clone();
        let window_ms = super::KEY_WINDOW_MS - now_ms.since(asked_ms);
        let kept = self.claims.holds.keep(now_ms, &key, &claim.id, window_ms);
        self.claims.counts.stood += 1;
        let state = self.services.get_mut(&service);
        let upstream = state.and_then(|state| state.upstream_mut(&slot.upstream));
        let is_open = upstream.is_some_and(|upstream| {
            upstream.is_open() && upstream.published.address == slot.address
        });
        let refused = match now_ms < call.deadline_ms {
            true if kept => None,
            true => Some(RefusalCause::KeyUnconfirmed),
            false => Some(RefusalCause::Expired),
        };
        match refused {
            None if is_open => return self.emit_send(now_ms, id, slot, actions),
            None => self.wait_again(id),
            Some(cause) => self.finish(id, cause, actions),
        }
        self.free_held_slot(&service, &slot);
        self.return_unused(now_ms, &service, &slot);
    }

    /// Frees a slot that was taken and not used.
    pub(crate) fn free_held_slot(&mut self, service: &ServiceName, slot: &TakenSlot) {
        let state = self.services.get_mut(service);
        if let Some(upstream) = state.and_then(|state| state.upstream_mut(&slot.upstream)) {
            upstream.in_flight = upstream.in_flight.saturating_sub(1);
            upstream.estimate.note_over(upstream.in_flight);
        }
    }

    fn release_claim(&mut self, key: &ClaimKey, claim: CallClaim, actions: &mut Vec<Action>) {
        let now_ms = self.claims.now_ms;
        self.claims.holds.release(now_ms, key, &claim.id);
        for voter in claim.asked.iter().filter(|voter| **voter != self.settings.host) {
            let (claim, key) = (claim.id.clone(), key.clone());
            self.send_peer(voter, PeerMessage::ClaimReleased { claim, key }, actions);
        }
    }

    fn ask_for_standing(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        let Some(round) = self.claims.join.start_round(now_ms) else { return };
        let claims = &self.claims;
        let silent = claims
            .electorate
            .ids()
            .filter(|host| **host != claims.own && !claims.join.has_answer_of(host));
        for host in silent {
            self.send_peer(host, PeerMessage::StandingWanted { round }, actions);
        }
    }
}
