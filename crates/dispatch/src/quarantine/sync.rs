//! Synchronises the suspects between hosts: what is sent when, and how it is merged.

use super::message::{SuspectUpdate, TrialUpdate};
use super::report::SuspectChange;
use super::suspect::Suspect;
use super::{Quarantine, importance, with_offset};
use domain::{Millis, RequestFingerprint};
use std::cmp::Reverse;

/// Maximum number of suspects in one message: four kilobytes.
pub const MAX_SUSPECTS_PER_MESSAGE: usize = 24;

/// Time after the latest change until all hosts know it, except those that were cut off.
const SPREAD_MS: Millis = Millis::from_secs(10);

/// Interval at which a host sends a digest until then. On average it receives one as often.
const DIGEST_INTERVAL_MS: Millis = Millis(400);

/// The same after that; each digest takes forty bytes.
const SETTLED_DIGEST_INTERVAL_MS: Millis = Millis::from_secs(10);

impl Quarantine {
    /// Takes the suspects of the next message to broadcast, those with the most crashes first; none
    /// if there are none left.
    pub fn take_pending(&mut self, now_ms: Millis) -> Option<Vec<SuspectUpdate>> {
        let now_ms = with_offset(now_ms);
        let mut pending = std::mem::take(&mut self.pending);
        pending.sort_unstable();
        pending.dedup();
        let of_suspect = |fingerprint: &RequestFingerprint| {
            Reverse(self.suspects.get(fingerprint).map(importance))
        };
        pending.sort_by_key(of_suspect);
        self.pending = pending.split_off(pending.len().min(MAX_SUSPECTS_PER_MESSAGE));
        let to_update = |fingerprint: RequestFingerprint| {
            let suspect = self.suspects.get_mut(&fingerprint)?;
            let update = SuspectUpdate::of(now_ms, fingerprint, suspect);
            Some(match suspect.take_trial_end() {
                true => update.with_trial_ended(),
                false => update,
            })
        };
        let updates: Vec<_> = pending.into_iter().filter_map(to_update).collect();
        Some(updates).filter(|updates| !updates.is_empty())
    }

    /// All suspects for a peer with a different digest, those with the most crashes first. They take
    /// several messages of [`MAX_SUSPECTS_PER_MESSAGE`].
    pub fn export(&self, now_ms: Millis) -> Vec<SuspectUpdate> {
        let now_ms = with_offset(now_ms);
        let mut all: Vec<_> = self.suspects.iter().filter(|(_, s)| s.is_broadcast()).collect();
        all.sort_by_key(|(_, suspect)| Reverse(importance(suspect)));
        let update = |(&fingerprint, suspect)| SuspectUpdate::of(now_ms, fingerprint, suspect);
        all.into_iter().map(update).collect()
    }

    /// Digest of the suspects: equal for hosts that have the same.
    pub fn digest(&self) -> u64 {
        let is_broadcast =
            |suspect: &Suspect| suspect.is_broadcast() && !suspect.crashes().is_empty();
        let suspects = self.suspects.iter().filter(|(_, suspect)| is_broadcast(suspect));
        let weights = suspects.map(|(fingerprint, suspect)| {
            let crashes = suspect.crashes().len() as u64;
            fingerprint.low_bits().wrapping_mul(2 * crashes + 1)
        });
        weights.fold(0, u64::wrapping_add)
    }

    /// The digest to send to a peer, if one is due: often, while a change may still be missing
    /// somewhere.
    pub fn digest_if_due(&mut self, now_ms: Millis) -> Option<u64> {
        let now_ms = with_offset(now_ms);
        let last_ms = self.suspects.values().map(Suspect::last_ms).max()?;
        let pause_ms = match now_ms.since(last_ms) < SPREAD_MS {
            true => DIGEST_INTERVAL_MS,
            false => SETTLED_DIGEST_INTERVAL_MS,
        };
        if now_ms.since(self.digest_sent_ms) < pause_ms {
            return None;
        }
        self.digest_sent_ms = now_ms;
        Some(self.digest())
    }

    /// Merges a peer's suspects; returns what changed.
    pub fn merge(&mut self, now_ms: Millis, updates: Vec<SuspectUpdate>) -> Vec<SuspectChange> {
        let now_ms = with_offset(now_ms);
        let changed =
            updates.into_iter().filter_map(|update| self.merge_one(now_ms, update)).collect();
        self.evict();
        changed
    }

    fn merge_one(&mut self, now_ms: Millis, update: SuspectUpdate) -> Option<SuspectChange> {
        let fingerprint = update.fingerprint;
        let suspect = self.suspects.entry(fingerprint).or_default();
        // What only this host knew adds to what the peer saw, so it is broadcast now.
        if !suspect.is_broadcast() && !suspect.crashes().is_empty() {
            self.pending.push(fingerprint);
        }
        suspect.set_broadcast();
        let trial = update.trial(now_ms);
        let is_cleared = update.cleared_ms(now_ms).is_some_and(|at_ms| suspect.clear(at_ms));
        let before = suspect.crashes().len();
        suspect.merge_crashes(update.into_crashes(now_ms));
        match trial {
            Some(TrialUpdate::RunningUntil(until_ms)) => suspect.begin_trial(until_ms),
            Some(TrialUpdate::Ended) => suspect.end_trial(),
            None => {}
        }
        match suspect.crashes().len() > before {
            true => {
                let changed = SuspectChange::by_crash(fingerprint, suspect);
                self.update_doubtful(fingerprint);
                changed
            }
            false => is_cleared.then(|| SuspectChange::cleared(fingerprint)),
        }
    }

    pub(super) fn mark_pending(&mut self, fingerprint: RequestFingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.set_broadcast();
            self.pending.push(fingerprint);
        }
    }
}
