//! When a host may vote.
//!
//! A host that has just started has forgotten what its former run said yes to. It votes
//! again once every claim of that time is decided ([`START_WAIT_MS`]) and it has fetched
//! the standing claims from so many hosts that at least one other voter of each is among
//! them; or else once the whole key window has passed.
//!
//! Hosts that may tell are those which vote, and those which never could have voted: a
//! first run that hasn't voted yet. So a fleet that is new to its site begins at once.
//!
//! A host that wakes from a pause remembers all it said, but can't know whether a newer
//! run has taken its place. It asks its peers before it votes again; hosts that have
//! heard of a newer run don't answer.

use domain::{HostId, Incarnation, Millis};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

use super::KEY_WINDOW_MS;
use super::electorate::{Electorate, MAX_COMMITTEE, quorum, tolerance};
use crate::message::StandingClaims;
use crate::pause::PAUSED_AFTER_MS;

/// Time after a start in which claims of the former run may still be undecided.
///
/// Longer than a pause that goes unnoticed and the longest life of an undecided claim.
pub const START_WAIT_MS: Millis = Millis(PAUSED_AFTER_MS.0 + 1000);
/// Time to the second question to peers that haven't answered; doubles each time.
const ASK_AGAIN_AFTER_MS: Millis = Millis(500);
/// Longest time between two questions: a whole fleet that starts asks for the key window.
const MAX_ASK_AGAIN_MS: Millis = Millis(16_000);
/// The run of a host id before which there surely was none.
pub const FIRST_RUN: Incarnation = Incarnation(1);

/// Whether this host votes, and why not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VotingState {
    /// It votes.
    Voting,
    /// The first run under its id: nothing can be forgotten.
    FirstRun,
    /// A later run, which has forgotten what the former one said.
    Restarted,
    /// It was paused.
    Woken,
}

/// The way to a vote.
#[derive(Debug, Serialize)]
pub struct Join {
    state: VotingState,
    started_ms: Millis,
    ask_ms: Millis,
    ask_again_ms: Millis,
    round: u64,
    answers: BTreeMap<HostId, Answer>,
}

/// What came of one peer's answer.
#[derive(Debug, Serialize)]
struct Answer {
    round: u64,
    parts: u32,
    received: BTreeSet<u32>,
}

impl Answer {
    fn is_whole(&self) -> bool {
        self.received.len() == self.parts as usize
    }
}

impl Join {
    /// A host that starts.
    pub fn new(now_ms: Millis, incarnation: Incarnation) -> Join {
        let (state, ask_ms) = match incarnation {
            FIRST_RUN => (VotingState::FirstRun, now_ms),
            _ => (VotingState::Restarted, now_ms + START_WAIT_MS),
        };
        Join {
            state,
            started_ms: now_ms,
            ask_ms,
            ask_again_ms: ASK_AGAIN_AFTER_MS,
            round: 0,
            answers: BTreeMap::new(),
        }
    }

    /// Whether this host votes.
    pub fn state(&self) -> VotingState {
        self.state
    }

    /// Whether this host votes.
    pub fn may_vote(&self) -> bool {
        self.state == VotingState::Voting
    }

    /// Whether a host that joins may rely on what this one tells.
    pub fn may_tell(&self) -> bool {
        matches!(self.state, VotingState::Voting | VotingState::FirstRun)
    }

    /// Begins anew after a pause; a host that had not voted yet stays what it was.
    pub fn wake(&mut self, now_ms: Millis) {
        if self.state == VotingState::Voting {
            self.state = VotingState::Woken;
            self.ask_ms = now_ms;
        }
        self.started_ms = now_ms;
        self.ask_ms = self.ask_ms.max(now_ms);
        self.ask_again_ms = ASK_AGAIN_AFTER_MS;
        self.answers.clear();
    }

    /// When peers are asked next.
    pub fn next_ask_ms(&self) -> Option<Millis> {
        (!self.may_vote()).then_some(self.ask_ms)
    }

    /// Starts a round of questions if one is due. Returns its number.
    pub fn start_round(&mut self, now_ms: Millis) -> Option<u64> {
        if self.may_vote() || self.ask_ms > now_ms {
            return None;
        }
        self.ask_ms = now_ms + self.ask_again_ms;
        self.ask_again_ms = MAX_ASK_AGAIN_MS.min(Millis(self.ask_again_ms.0 * 2));
        self.round += 1;
        Some(self.round)
    }

    /// Whether a peer's whole answer is here.
    pub fn has_answer_of(&self, host: &HostId) -> bool {
        self.answers.get(host).is_some_and(Answer::is_whole)
    }

    /// Whether an answer belongs to a question of this run that is still open.
    pub fn wants(&self, from: &HostId, told: &StandingClaims) -> bool {
        !self.may_vote()
            && (1..=self.round).contains(&told.round)
            && told.part < told.parts
            && !self.has_answer_of(from)
    }

    /// Notes one part of a peer's answer.
    pub fn note_answer(&mut self, from: HostId, told: &StandingClaims) {
        let fresh = || Answer { round: told.round, parts: told.parts, received: BTreeSet::new() };
        let answer = self.answers.entry(from).or_insert_with(fresh);
        if answer.round < told.round {
            *answer = fresh();
        }
        if answer.round == told.round {
            answer.received.insert(told.part);
        }
    }

    /// Starts to vote if enough is known. Returns whether it did so now.
    pub fn finish(&mut self, now_ms: Millis, own: &HostId, electorate: &Electorate) -> bool {
        let done = match self.state {
            VotingState::Voting => return false,
            VotingState::FirstRun | VotingState::Woken => self.heard_enough(own, electorate, 1),
            VotingState::Restarted => {
                self.window_passed(now_ms) || self.heard_enough(own, electorate, 2)
            }
        };
        if done {
            self.state = VotingState::Voting;
            self.answers.clear();
        }
        done
    }

    /// Whether at least one voter of each standing claim has answered.
    ///
    /// `unheard_voters` counts the voters of a quorum that can't: the first that would
    /// have to be among the silent, and this host's former run if it may have voted.
    fn heard_enough(&self, own: &HostId, electorate: &Electorate, unheard_voters: usize) -> bool {
        let committee = electorate.len().min(MAX_COMMITTEE);
        let silent =
            electorate.ids().filter(|host| *host != own && !self.has_answer_of(host)).count();
        silent + unheard_voters + tolerance(committee) <= quorum(committee)
    }

    fn window_passed(&self, now_ms: Millis) -> bool {
        now_ms.since(self.started_ms) >= KEY_WINDOW_MS + START_WAIT_MS
    }
}
