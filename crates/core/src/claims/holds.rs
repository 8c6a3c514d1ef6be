//! What a host remembers of the claims that it said yes to.
//!
//! A key may have several holds, since claims that were told by peers need not agree; a
//! new claim gets a yes only where no other is held. The table is bounded and refuses
//! rather than forgets.

use crate::message::{ClaimId, ClaimKey, KeyProgress, StandingClaim};
use domain::{FastMap, HostId, Millis};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};

use super::KEY_WINDOW_MS;

/// Most claims remembered.
pub const MAX_HOLDS: usize = 32_768;
/// Most released claims remembered.
const MAX_RELEASED: usize = 4096;
/// Time for which a released claim is refused if its question comes late.
const RELEASED_FOR_MS: Millis = Millis(30_000);

/// A claim that is remembered.
#[derive(Debug, Clone, Serialize)]
pub struct Hold {
    /// The claim.
    pub claim: ClaimId,
    /// When it is forgotten.
    pub expires_ms: Millis,
    /// How far it got, if it is this host's own.
    pub progress: Option<KeyProgress>,
}

/// What becomes of a question.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HoldAnswer {
    /// The claim is remembered now, or was before.
    Held,
    /// Another one is.
    Taken {
        /// Whose it is.
        holder: HostId,
        /// How far that one got, if it is this host's own.
        progress: Option<KeyProgress>,
    },
    /// The claim was released before.
    Released,
    /// There is no room.
    Full,
}

/// All claims that a host remembers.
#[derive(Debug, Default)]
pub struct Holds {
    by_key: BTreeMap<ClaimKey, Vec<Hold>>,
    expiries: VecDeque<(Millis, ClaimKey)>,
    released: FastMap<ClaimId, Millis>,
    released_order: VecDeque<(Millis, ClaimId)>,
    len: usize,
}

impl Holds {
    /// Claims remembered.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Remembers a claim unless another one is remembered for its key.
    pub fn ask(&mut self, now_ms: Millis, key: &ClaimKey, claim: &ClaimId) -> HoldAnswer {
        match self.other(key, claim) {
            Some(taken) => taken,
            None if self.released.contains_key(claim) => HoldAnswer::Released,
            None if self.keep(now_ms, key, claim, KEY_WINDOW_MS) => HoldAnswer::Held,
            None => HoldAnswer::Full,
        }
    }

    /// Remembers a claim next to any other, unless it was released. Returns false if there
    /// is no room.
    pub fn keep(
        &mut self,
        now_ms: Millis,
        key: &ClaimKey,
        claim: &ClaimId,
        for_ms: Millis,
    ) -> bool {
        let known =
            self.by_key.get(key).is_some_and(|holds| holds.iter().any(|h| h.claim == *claim));
        if known || self.released.contains_key(claim) {
            return true;
        }
        if self.len >= MAX_HOLDS || self.expiries.len() >= 2 * MAX_HOLDS {
            return false;
        }
        let expires_ms = now_ms + for_ms;
        let hold = Hold { claim: claim.clone(), expires_ms, progress: None };
        self.by_key.entry(key.clone()).or_default().push(hold);
        let at = self.expiries.partition_point(|&(earlier_ms, _)| earlier_ms <= expires_ms);
        self.expiries.insert(at, (expires_ms, key.clone()));
        self.len += 1;
        true
    }

    /// Notes how far an own claim got.
    pub fn note_progress(&mut self, key: &ClaimKey, claim: &ClaimId, progress: KeyProgress) {
        let holds = self.by_key.get_mut(key).map_or(&mut [][..], Vec::as_mut_slice);
        if let Some(hold) = holds.iter_mut().find(|hold| hold.claim == *claim) {
            hold.progress = hold.progress.max(Some(progress));
        }
    }

    /// How far the own claim for a key got, if there is one.
    pub fn own_progress(&self, key: &ClaimKey) -> Option<KeyProgress> {
        self.by_key.get(key)?.iter().filter_map(|hold| hold.progress).max()
    }

    /// Forgets a claim that surely did not run and never will.
    pub fn release(&mut self, now_ms: Millis, key: &ClaimKey, claim: &ClaimId) {
        if let Some(holds) = self.by_key.get_mut(key) {
            let before = holds.len();
            holds.retain(|hold| hold.claim != *claim);
            self.len -= before - holds.len();
            if holds.is_empty() {
                self.by_key.remove(key);
            }
        }
        self.note_released(now_ms, claim);
    }

    /// Forgets what is older than the key window.
    pub fn expire(&mut self, now_ms: Millis) {
        while let Some((_, key)) = self.expiries.pop_front_if(|(at_ms, _)| *at_ms <= now_ms) {
            self.expire_key(now_ms, &key);
        }
        while let Some((_, claim)) = self.released_order.pop_front_if(|(at_ms, _)| *at_ms <= now_ms)
        {
            self.released.remove(&claim);
        }
    }

    /// When the next claim is forgotten.
    pub fn next_expiry_ms(&self) -> Option<Millis> {
        self.expiries.front().map(|&(at_ms, _)| at_ms)
    }

    /// Everything that is remembered, for a peer that has forgotten.
    pub fn standing(&self, now_ms: Millis) -> Vec<StandingClaim> {
        let of_key = |(key, holds): (&ClaimKey, &Vec<Hold>)| {
            let standing = |hold: &Hold| StandingClaim {
                key: key.clone(),
                claim: hold.claim.clone(),
                left_ms: hold.expires_ms.since(now_ms),
            };
            holds.iter().map(standing).collect::<Vec<_>>()
        };
        self.by_key.iter().flat_map(of_key).collect()
    }

    fn other(&self, key: &ClaimKey, claim: &ClaimId) -> Option<HoldAnswer> {
        let others = self.by_key.get(key)?.iter().filter(|hold| hold.claim != *claim);
        let other = others.max_by_key(|hold| hold.progress)?;
        Some(HoldAnswer::Taken { holder: other.claim.host.clone(), progress: other.progress })
    }

    fn expire_key(&mut self, now_ms: Millis, key: &ClaimKey) {
        let Some(holds) = self.by_key.get_mut(key) else { return };
        let before = holds.len();
        holds.retain(|hold| hold.expires_ms > now_ms);
        self.len -= before - holds.len();
        if holds.is_empty() {
            self.by_key.remove(key);
        }
    }

    fn note_released(&mut self, now_ms: Millis, claim: &ClaimId) {
        let until_ms = now_ms + RELEASED_FOR_MS;
        if self.released.insert(claim.clone(), until_ms).is_none() {
            self.released_order.push_back((until_ms, claim.clone()));
        }
        if self.released_order.len() > MAX_RELEASED
            && let Some((_, oldest)) = self.released_order.pop_front()
        {
            self.released.remove(&oldest);
        }
    }
}
