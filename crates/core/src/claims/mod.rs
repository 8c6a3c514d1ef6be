//! At most once: a key runs only under a claim that a quorum of the fleet confirmed.
//!
//! Before the first byte of a request with an idempotency key leaves, its entry host
//! asks the voters on that key. Each voter remembers the first claim that it said yes to
//! and refuses any other for the key window, so two claims can't both stand. Nothing is
//! replicated and nobody leads: each host keeps only what it was asked itself, in
//! memory. `docs/design/at-most-once.md` has the argument and the ways weighed.
//!
//! [`electorate`] says who votes and how many are enough, [`holds`] is a voter's memory,
//! [`join`] says when a host that has started or woken may vote, [`pending`] counts the
//! votes on one claim, [`steps`] ties them to calls and messages.

mod electorate;
mod holds;
mod join;
mod pending;
mod steps;
#[cfg(test)]
mod tests;

pub use join::{FIRST_RUN, VotingState};

use crate::message::{ClaimId, ClaimKey, ClaimQuestion, ClaimVerdict, KeyProgress, StandingClaims};
use crate::refusal::RunOutcome;
use domain::{CallId, HostId, Incarnation, Millis};
use electorate::{Electorate, tolerance};
use holds::{HoldAnswer, Holds};
use join::Join;
use pending::Pending;
use serde::Serialize;
use std::collections::BTreeMap;

/// Time for which a key is remembered; a repeat after it counts as a new request.
pub const KEY_WINDOW_MS: Millis = Millis(120_000);
/// Longest deadline of a call with a key: it ends well within the key window.
pub const MAX_KEYED_TIMEOUT_MS: Millis = Millis(KEY_WINDOW_MS.0 / 2);
/// Claims in one message.
const CLAIMS_PER_PART: usize = 64;

/// A call's claim.
#[derive(Debug)]
pub struct CallClaim {
    /// The claim.
    pub id: ClaimId,
    /// Who was asked.
    pub asked: Vec<HostId>,
    /// A quorum said yes.
    pub stands: bool,
}

/// What a host knows of keys.
#[derive(Debug)]
pub struct Claims {
    own: HostId,
    incarnation: Incarnation,
    now_ms: Millis,
    list_known: bool,
    electorate: Electorate,
    holds: Holds,
    join: Join,
    pending: BTreeMap<u64, Pending>,
    in_use: BTreeMap<ClaimKey, CallId>,
    last_number: u64,
    counts: ClaimCounts,
}

/// What became of claims and questions, counted.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct ClaimCounts {
    /// Claims asked for.
    pub asked: u64,
    /// Claims that stood.
    pub stood: u64,
    /// Claims that got too few votes.
    pub unconfirmed: u64,
    /// Calls whose key was in use.
    pub duplicates: u64,
}

/// What operators see of keys and claims.
#[derive(Debug, Serialize)]
pub struct ClaimsDump<'a> {
    /// Whether this host votes, and why not.
    pub voting: VotingState,
    /// Hosts that may hold a vote.
    pub electorate: &'a Electorate,
    /// Claims remembered.
    pub held: usize,
    /// When the oldest of them is forgotten.
    pub next_expiry_ms: Option<Millis>,
    /// Claims that are being decided.
    pub pending: usize,
    /// Counters.
    pub counts: ClaimCounts,
}

impl Claims {
    /// A host that has just started.
    pub fn new(own: HostId, incarnation: Incarnation, now_ms: Millis) -> Claims {
        Claims {
            join: Join::new(now_ms, incarnation),
            own,
            incarnation,
            now_ms,
            list_known: false,
            electorate: Electorate::default(),
            holds: Holds::default(),
            pending: BTreeMap::new(),
            in_use: BTreeMap::new(),
            last_number: 0,
            counts: ClaimCounts::default(),
        }
    }

    /// Notes that an event is about to be handled.
    pub fn note_event(&mut self, now_ms: Millis) {
        self.now_ms = self.now_ms.max(now_ms);
        self.holds.expire(self.now_ms);
    }

    /// Notes that this process woke from a pause.
    pub fn wake(&mut self, now_ms: Millis) {
        self.join.wake(now_ms);
    }

    /// Notes the hosts on the list in force.
    pub fn note_listed<'a>(&mut self, listed: impl Iterator<Item = &'a HostId>) {
        for host in listed {
            self.list_known = true;
            self.electorate.note_seen(self.now_ms, host);
        }
        self.electorate.note_seen(self.now_ms, &self.own);
        self.electorate.expire(self.now_ms);
    }

    /// Notes a message of a host, listed or not: its list may lead.
    pub fn note_heard(&mut self, from: &HostId) {
        self.electorate.note_seen(self.now_ms, from);
    }

    /// Whether the request of a key ran, if this host knows of a use of it.
    pub fn outcome_of_use(&self, key: &ClaimKey) -> Option<RunOutcome> {
        match self.in_use.contains_key(key) {
            true => Some(RunOutcome::Unknown),
            false => self.holds.own_progress(key).map(|progress| outcome_of(Some(progress))),
        }
    }

    /// Notes a call that comes in with a key.
    pub fn begin_use(&mut self, key: &ClaimKey, call: CallId) {
        self.in_use.insert(key.clone(), call);
    }

    /// Notes that the call of a key is forgotten; its claim stays remembered.
    pub fn end_use(&mut self, key: &ClaimKey) {
        self.in_use.remove(key);
    }

    /// When the next decision is due.
    pub fn next_due_ms(&self) -> Option<Millis> {
        let decision_ms = self.pending.first_key_value().map(|(_, pending)| pending.expires_ms());
        let ask_ms = self.join.next_ask_ms().filter(|_| self.list_known);
        decision_ms.into_iter().chain(ask_ms).min()
    }

    /// What operators see.
    pub fn dump(&self) -> ClaimsDump<'_> {
        ClaimsDump {
            voting: self.join.state(),
            electorate: &self.electorate,
            held: self.holds.len(),
            next_expiry_ms: self.holds.next_expiry_ms(),
            pending: self.pending.len(),
            counts: self.counts,
        }
    }

    fn next_id(&mut self) -> ClaimId {
        self.last_number += 1;
        let (host, incarnation) = (self.own.clone(), self.incarnation);
        ClaimId { host, incarnation, number: self.last_number }
    }

    fn committee(&self, key: &ClaimKey) -> Vec<HostId> {
        match self.list_known {
            true => self.electorate.committee(key),
            false => Vec::new(),
        }
    }

    fn vote(&mut self, question: &ClaimQuestion) -> ClaimVerdict {
        if !self.join.may_vote() {
            return ClaimVerdict::Abstains;
        }
        let committee = self.electorate.committee(&question.key);
        let is_asked = |host: &&HostId| question.committee.binary_search(host).is_ok();
        let missing = committee.len() - committee.iter().filter(is_asked).count();
        if missing > tolerance(committee.len()) {
            return ClaimVerdict::Differs { electorate: self.electorate.recent(self.now_ms) };
        }
        match self.holds.ask(self.now_ms, &question.key, &question.claim) {
            HoldAnswer::Held => ClaimVerdict::Yes,
            HoldAnswer::Taken { holder, progress } => ClaimVerdict::Taken { holder, progress },
            HoldAnswer::Released | HoldAnswer::Full => ClaimVerdict::Abstains,
        }
    }

    fn standing(&self, round: u64) -> Vec<StandingClaims> {
        let claims = self.holds.standing(self.now_ms);
        let parts = claims.len().div_ceil(CLAIMS_PER_PART).max(1);
        let part = |part: usize| {
            let start = part * CLAIMS_PER_PART;
            let end = claims.len().min(start + CLAIMS_PER_PART);
            let first = part == 0;
            StandingClaims {
                round,
                part: part as u32,
                parts: parts as u32,
                electorate: if first { self.electorate.recent(self.now_ms) } else { Vec::new() },
                claims: claims[start..end].to_vec(),
            }
        };
        (0..parts).map(part).collect()
    }

    fn take_standing(&mut self, from: HostId, told: &StandingClaims) {
        if !self.join.wants(&from, told) {
            return;
        }
        let now_ms = self.now_ms;
        self.electorate.merge(now_ms, &told.electorate);
        let kept = told.claims.iter().all(|standing| {
            let left_ms = standing.left_ms.min(KEY_WINDOW_MS);
            self.holds.keep(now_ms, &standing.key, &standing.claim, left_ms)
        });
        if kept {
            self.join.note_answer(from, told);
        }
    }
}

/// Whether a request ran, from how far its claim got.
fn outcome_of(progress: Option<KeyProgress>) -> RunOutcome {
    match progress {
        Some(KeyProgress::Run) => RunOutcome::Run,
        Some(KeyProgress::MayHaveRun | KeyProgress::Pending) | None => RunOutcome::Unknown,
    }
}
