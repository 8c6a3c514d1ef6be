//! What hosts tell each other, when, and what they take from it.

use super::message::SuspectUpdate;
use super::report::SuspectChange;
use super::suspect::Suspect;
use super::{Quarantine, counted, importance};
use domain::{Millis, RequestFingerprint};
use std::cmp::Reverse;

/// Most that are told in one message: four kilobytes.
const TOLD_AT_ONCE: usize = 24;

/// So long after the last news all have it, but for those that were cut off.
const SETTLED_MS: Millis = Millis::from_secs(10);

/// Time between two offers until then. Each host is offered it as often, by some other.
const OFFER_MS: Millis = Millis(400);

/// Time between two offers after that: forty bytes each.
const SETTLED_OFFER_MS: Millis = Millis::from_secs(10);

impl Quarantine {
    /// What peers are to be told since the last time; none if nothing.
    pub fn take_pending(&mut self, now_ms: Millis) -> Option<Vec<SuspectUpdate>> {
        let now_ms = counted(now_ms);
        let mut untold = std::mem::take(&mut self.untold);
        untold.sort_unstable();
        untold.dedup();
        let tell = |fingerprint: RequestFingerprint| {
            let suspect = self.suspects.get(&fingerprint)?;
            Some(SuspectUpdate::of(now_ms, fingerprint, suspect))
        };
        // What is past one message is found missing by the digest.
        let told: Vec<_> = untold.into_iter().filter_map(tell).take(TOLD_AT_ONCE).collect();
        Some(told).filter(|told| !told.is_empty())
    }

    /// What a host that holds something else is told: what is held back first.
    pub fn export(&self, now_ms: Millis) -> Vec<SuspectUpdate> {
        let now_ms = counted(now_ms);
        let mut all: Vec<_> = self.suspects.iter().filter(|(_, s)| s.is_told()).collect();
        all.sort_by_key(|(_, suspect)| Reverse(importance(suspect)));
        let told = all.into_iter().take(TOLD_AT_ONCE);
        told.map(|(&fingerprint, suspect)| SuspectUpdate::of(now_ms, fingerprint, suspect))
            .collect()
    }

    /// Equal for hosts that hold the same against the same requests.
    pub fn digest(&self) -> u64 {
        let is_told = |suspect: &Suspect| suspect.is_told() && !suspect.crashes().is_empty();
        let accused = self.suspects.iter().filter(|(_, suspect)| is_told(suspect));
        let weights = accused.map(|(fingerprint, suspect)| {
            let crashes = suspect.crashes().len() as u64;
            fingerprint.low_bits().wrapping_mul(2 * crashes + 1)
        });
        weights.fold(0, u64::wrapping_add)
    }

    /// Digest to offer a peer, if it is time: often while news may still be missing somewhere.
    pub fn digest_if_due(&mut self, now_ms: Millis) -> Option<u64> {
        let now_ms = counted(now_ms);
        let last_ms = self.suspects.values().map(Suspect::last_ms).max()?;
        let pause_ms = match now_ms.since(last_ms) < SETTLED_MS {
            true => OFFER_MS,
            false => SETTLED_OFFER_MS,
        };
        if now_ms.since(self.offered_ms) < pause_ms {
            return None;
        }
        self.offered_ms = now_ms;
        Some(self.digest())
    }

    /// Takes a peer's word.
    pub fn merge(&mut self, now_ms: Millis, told: Vec<SuspectUpdate>) -> Vec<SuspectChange> {
        let now_ms = counted(now_ms);
        let changed = told.into_iter().filter_map(|told| self.take_one(now_ms, told)).collect();
        self.make_room();
        changed
    }

    fn take_one(&mut self, now_ms: Millis, told: SuspectUpdate) -> Option<SuspectChange> {
        let fingerprint = told.fingerprint;
        let suspect = self.suspects.entry(fingerprint).or_default();
        // What this host kept to itself adds up with what the peer saw.
        if !suspect.is_told() && !suspect.crashes().is_empty() {
            self.untold.push(fingerprint);
        }
        suspect.set_told();
        let trial_until_ms = told.trial_until_ms(now_ms);
        let is_cleared = told.cleared_ms(now_ms).is_some_and(|at_ms| suspect.clear(at_ms));
        let before = suspect.crashes().len();
        for crash in told.into_crashes(now_ms) {
            suspect.add_crash(crash);
        }
        if let Some(until_ms) = trial_until_ms {
            suspect.begin_trial(until_ms);
        }
        match suspect.crashes().len() > before {
            true => {
                let changed = SuspectChange::by_crash(fingerprint, suspect);
                self.note_doubt(fingerprint);
                changed
            }
            false => is_cleared.then(|| SuspectChange::cleared(fingerprint)),
        }
    }

    pub(super) fn will_tell(&mut self, fingerprint: RequestFingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.set_told();
            self.untold.push(fingerprint);
        }
    }
}
