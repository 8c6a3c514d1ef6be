//! What the peers have in force, asked before a host relies on its own view.
//!
//! A host that has just started, or was paused, may read a stale configuration service.
//! So it asks all listed peers. A version in force at most of the listed hosts is then
//! found, however the service lies, once at least half of the listed hosts have told
//! theirs: the asker itself may have been one of the most, and has forgotten it.
//!
//! The list may name hosts that are gone, so waiting has an end, see [`StartLimits`].

use crate::adoption::VersionPair;
use domain::{HostId, Millis, Version};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};

/// Time between questions to a peer whose answer is needed.
const ASK_EVERY_MS: Millis = Millis(500);
/// Time between questions while there is nothing to put in force anyway.
const ASK_IDLY_EVERY_MS: Millis = Millis(5000);
/// Age at which an answer no longer counts, from its question on.
const ANSWER_VALID_MS: Millis = Millis(3000);
/// Age at which it is forgotten what a peer told: the peer is gone, and its versions with it.
const ANSWER_KEPT_MS: Millis = Millis(10_000);
/// Time after which questions that were not asked for a start are given up.
const GIVE_UP_AFTER_MS: Millis = Millis(10_000);
/// Time for fetching versions that some peer has seen but not put in force.
const FETCH_MS: Millis = Millis(2000);
/// Time that the last peers get to answer once most have.
const REST_MS: Millis = Millis(500);

/// When a host that has just started stops waiting for its peers' answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StartLimits {
    /// Time after which a majority of the listed hosts is enough, this one and such as have
    /// nothing in force counted.
    pub majority_start_after_ms: Millis,
    /// Time after which no answer is needed at all.
    pub lone_start_after_ms: Millis,
}

impl Default for StartLimits {
    fn default() -> StartLimits {
        StartLimits {
            majority_start_after_ms: Millis::from_secs(5),
            lone_start_after_ms: Millis::from_secs(30),
        }
    }
}

/// What a peer has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct PeerVersions {
    /// In force there.
    pub in_force: VersionPair,
    /// Seen there, in force or not.
    pub newest: VersionPair,
}

impl PeerVersions {
    fn has_any(&self) -> bool {
        self.in_force.base > Version(0)
    }
}

/// Questions to all listed peers, and their answers.
#[derive(Debug, Serialize)]
pub struct Confirmation {
    opened_ms: Millis,
    ask_ms: Millis,
    rounds: VecDeque<(u64, Millis)>,
    most_ms: Option<Millis>,
    fetching_ms: Option<Millis>,
    answers: BTreeMap<HostId, Answer>,
}

#[derive(Debug, Serialize)]
struct Answer {
    asked_ms: Millis,
    versions: PeerVersions,
}

/// How many of the listed hosts have answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turnout {
    /// Not a majority.
    Few,
    /// A majority, this host and those with nothing in force counted.
    Majority,
    /// Enough to know what is in force at most of them.
    Enough,
}

impl Confirmation {
    /// Questions that begin now.
    pub fn open(now_ms: Millis) -> Confirmation {
        Confirmation {
            opened_ms: now_ms,
            ask_ms: now_ms,
            rounds: VecDeque::new(),
            most_ms: None,
            fetching_ms: None,
            answers: BTreeMap::new(),
        }
    }

    /// When the next questions are due.
    pub fn ask_ms(&self) -> Millis {
        self.ask_ms
    }

    /// Time since the questions began.
    pub fn waited_ms(&self, now_ms: Millis) -> Millis {
        now_ms.since(self.opened_ms)
    }

    /// Whether it is time to do without the answers.
    pub fn is_given_up(&self, now_ms: Millis) -> bool {
        self.waited_ms(now_ms) >= GIVE_UP_AFTER_MS
    }

    /// Asks at once, unless questions left a moment ago.
    pub fn hurry(&mut self, now_ms: Millis) {
        let last_ms = self.rounds.back().map(|&(_, asked_ms)| asked_ms);
        let soon_ms = last_ms.map_or(now_ms, |last_ms| (last_ms + ASK_EVERY_MS).max(now_ms));
        self.ask_ms = self.ask_ms.min(soon_ms);
    }

    /// Puts the questions off: there is nobody to ask.
    pub fn postpone(&mut self, now_ms: Millis) {
        self.ask_ms = now_ms + ASK_EVERY_MS;
    }

    /// Notes a round of questions that leaves now.
    pub fn note_asked(&mut self, now_ms: Millis, round: u64, has_candidate: bool) {
        self.ask_ms = now_ms + if has_candidate { ASK_EVERY_MS } else { ASK_IDLY_EVERY_MS };
        self.rounds.retain(|(_, asked_ms)| now_ms.since(*asked_ms) < ANSWER_VALID_MS);
        self.rounds.push_back((round, now_ms));
        self.answers.retain(|_, answer| now_ms.since(answer.asked_ms) < ANSWER_KEPT_MS);
    }

    /// Whether a peer's answer will still count when the next questions are due.
    pub fn has_lasting_answer(&self, now_ms: Millis, host: &HostId) -> bool {
        self.fresh_answer(now_ms + ASK_EVERY_MS, host).is_some()
    }

    /// Takes an answer; one to an old question says nothing of now.
    pub fn take_answer(&mut self, host: &HostId, round: u64, versions: PeerVersions) {
        let asked = self.rounds.iter().find(|(number, _)| *number == round);
        if let Some(&(_, asked_ms)) = asked {
            self.answers.insert(host.clone(), Answer { asked_ms, versions });
        }
    }

    /// Takes what a peer told unasked: it may be late, so it only adds.
    pub fn take_news(&mut self, host: &HostId, versions: PeerVersions) {
        if let Some(answer) = self.answers.get_mut(host) {
            let known = answer.versions;
            answer.versions = PeerVersions {
                in_force: known.in_force.join(versions.in_force),
                newest: known.newest.join(versions.newest),
            };
        }
    }

    /// How many of these listed peers have answered.
    pub fn turnout<'a>(
        &mut self,
        now_ms: Millis,
        peers: impl Iterator<Item = &'a HostId>,
    ) -> Turnout {
        let (mut listed, mut answered, mut informed) = (0, 0, 0);
        for peer in peers {
            listed += 1;
            let answer = self.fresh_answer(now_ms, peer);
            answered += usize::from(answer.is_some());
            informed += usize::from(answer.is_some_and(PeerVersions::has_any));
        }
        let hosts: usize = listed + 1;
        match answered {
            _ if answered == listed => Turnout::Enough,
            _ if informed >= hosts.div_ceil(2) && self.rest_had_time(now_ms) => Turnout::Enough,
            _ if (answered + 1) * 2 > hosts => Turnout::Majority,
            _ => Turnout::Few,
        }
    }

    /// Gives the last peers a moment once most have answered.
    fn rest_had_time(&mut self, now_ms: Millis) -> bool {
        let most_ms = *self.most_ms.get_or_insert(now_ms);
        now_ms.since(most_ms) >= REST_MS
    }

    /// Whether all that the answers tell of is here, or could not be had in time.
    pub fn is_fetched(&mut self, now_ms: Millis, held: VersionPair) -> bool {
        if held.covers(self.newest()) {
            self.fetching_ms = None;
            return true;
        }
        let fetching_ms = *self.fetching_ms.get_or_insert(now_ms);
        held.covers(self.in_force()) && now_ms.since(fetching_ms) >= FETCH_MS
    }

    fn fresh_answer(&self, now_ms: Millis, host: &HostId) -> Option<&PeerVersions> {
        let answer = self.answers.get(host)?;
        (now_ms.since(answer.asked_ms) < ANSWER_VALID_MS).then_some(&answer.versions)
    }

    /// Newest versions in force among the answers.
    fn in_force(&self) -> VersionPair {
        let pairs = self.answers.values().map(|answer| answer.versions.in_force);
        pairs.fold(VersionPair::default(), VersionPair::join)
    }

    /// Newest versions seen among the answers.
    fn newest(&self) -> VersionPair {
        let pairs = self.answers.values().map(|answer| answer.versions.newest);
        pairs.fold(self.in_force(), VersionPair::join)
    }

    /// Pairs that the first pair in force must cover, the most wanted first.
    ///
    /// Two peers may have pairs neither of which covers the other; if nothing valid covers
    /// both, the one that more peers have decides. What some peer has passed is no floor.
    pub fn floors(&self) -> Vec<VersionPair> {
        let pairs: Vec<VersionPair> =
            self.answers.values().map(|answer| answer.versions.in_force).collect();
        let support = |pair: &VersionPair| pairs.iter().filter(|had| had.covers(*pair)).count();
        let is_passed =
            |pair: &VersionPair| pairs.iter().any(|had| had != pair && had.covers(*pair));
        let mut floors: Vec<VersionPair> =
            pairs.iter().filter(|pair| !is_passed(pair)).copied().collect();
        floors.sort_unstable_by_key(|pair| Reverse((support(pair), *pair)));
        floors.insert(0, self.in_force());
        floors.dedup();
        floors
    }
}
