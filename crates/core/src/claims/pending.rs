//! A claim that is being decided.
//!
//! It stands with yes from a quorum, within [`CLAIM_TIMEOUT_MS`] on the claimant's own
//! clock. It fails as soon as a quorum can't be reached any more.

use crate::message::{ClaimKey, ClaimVerdict, KeyProgress};
use crate::service::TakenSlot;
use domain::{CallId, HostId, Millis};
use std::collections::BTreeSet;

use super::electorate::quorum;

/// Life of an undecided claim.
pub const CLAIM_TIMEOUT_MS: Millis = Millis(300);

/// One question to the voters on a key.
#[derive(Debug)]
pub struct Pending {
    /// The call that it is for.
    pub call: CallId,
    /// The key.
    pub key: ClaimKey,
    /// The slot that the call holds.
    pub slot: TakenSlot,
    /// When it was asked.
    pub asked_ms: Millis,
    /// Who votes.
    pub committee: Vec<HostId>,
    unheard: BTreeSet<HostId>,
    yes: usize,
    taken: Option<Taken>,
}

/// What voters said of another claim for the key.
#[derive(Debug, Clone)]
struct Taken {
    holder: HostId,
    progress: Option<KeyProgress>,
}

/// Where a claim stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tally {
    /// Undecided.
    Open,
    /// A quorum said yes in time.
    Stands,
    /// Too few can say yes any more, or in time.
    Unconfirmed,
    /// Another claim has the key.
    Duplicate {
        /// How far that one got, as far as known.
        progress: Option<KeyProgress>,
    },
}

impl Pending {
    /// A claim that nobody has voted on.
    pub fn new(
        call: CallId,
        key: ClaimKey,
        slot: TakenSlot,
        asked_ms: Millis,
        committee: Vec<HostId>,
    ) -> Pending {
        let unheard = committee.iter().cloned().collect();
        Pending { call, key, slot, asked_ms, committee, unheard, yes: 0, taken: None }
    }

    /// When it fails for want of votes.
    pub fn expires_ms(&self) -> Millis {
        self.asked_ms + CLAIM_TIMEOUT_MS
    }

    /// Counts a vote; a second one of the same host changes nothing.
    pub fn note(&mut self, voter: &HostId, verdict: &ClaimVerdict) {
        if !self.unheard.remove(voter) {
            return;
        }
        match verdict {
            ClaimVerdict::Yes => self.yes += 1,
            ClaimVerdict::Taken { holder, progress } => {
                let known = self.taken.as_ref().and_then(|taken| taken.progress);
                if self.taken.is_none() || *progress > known {
                    let (holder, progress) = (holder.clone(), *progress);
                    self.taken = Some(Taken { holder, progress });
                }
            }
            ClaimVerdict::Abstains | ClaimVerdict::Differs { .. } => {}
        }
    }

    /// Where it stands now.
    pub fn tally(&self, now_ms: Millis) -> Tally {
        let needed = quorum(self.committee.len());
        let timed_out = now_ms >= self.expires_ms();
        match &self.taken {
            _ if self.yes >= needed && !timed_out => Tally::Stands,
            _ if self.yes + self.unheard.len() >= needed && !timed_out => Tally::Open,
            Some(taken) if self.unheard.contains(&taken.holder) && !timed_out => Tally::Open,
            Some(Taken { progress: Some(KeyProgress::Pending), .. }) | None => Tally::Unconfirmed,
            Some(Taken { progress, .. }) => Tally::Duplicate { progress: *progress },
        }
    }
}
