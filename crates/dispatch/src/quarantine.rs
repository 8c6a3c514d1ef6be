//! Quarantines requests that crash the upstreams that run them.
//!
//! Such a request (a "query of death") comes back under other ids at any host, and its upstreams'
//! other requests are lost with them. [`Quarantine`] is a host's state; hosts broadcast it, so
//! that crashes that several of them saw add up.
//!
//! - **Evidence** is an upstream whose process ended while it ran the request. Each request in
//!   flight there is a suspect, so one crash proves little. What tells the cause from bystanders
//!   is the sequence: the same request crashes one upstream after the other, and never completes
//!   in between. A request that completes is cleared, whichever host saw it.
//! - **From [`MIN_CRASHES_FOR_TRIAL`] on** the whole fleet sends the request to one upstream at a
//!   time; its other copies wait for the result.
//! - **From [`MIN_CRASHES_FOR_HOLD`] on** it is refused until a hold, which grows with each
//!   further crash, has passed; then one host tries it again.
//!
//! Nothing is stored or sent while no upstream crashes.

mod message;
mod report;
mod suspect;
mod sync;
mod verdict;

pub use message::{QuarantineMessage, SuspectUpdate};
pub use report::{CrashDump, SuspectChange, SuspectDump, SuspectStatus};
pub use suspect::Crash;
pub use sync::MAX_SUSPECTS_PER_MESSAGE;
pub use verdict::{Admission, MIN_CRASHES_FOR_HOLD, MIN_CRASHES_FOR_TRIAL, RequestTime};

use domain::{FastMap, Millis, RequestFingerprint};
use suspect::Suspect;
use verdict::held_until_ms;

/// How long a request that isn't held is remembered after its last crash.
const RETENTION_MS: Millis = Millis::from_secs(3_600);

/// How long a request is remembered after its hold.
const HELD_RETENTION_MS: Millis = Millis::from_secs(24 * 3_600);

/// How long a cleared request is remembered, to ignore late messages about its crashes.
const CLEARED_RETENTION_MS: Millis = Millis::from_secs(60);

/// Offset added to the process's clock, so that crashes reported by peers that precede the start
/// of this process have a time, too. Longer than anything is remembered.
const CLOCK_OFFSET_MS: Millis = Millis::from_secs(7 * 24 * 3_600);

/// Maximum number of remembered requests, some 300 KB. Those with the fewest crashes are dropped
/// first, then the oldest.
const MAX_SUSPECTS: usize = 1_024;

/// A host's state of requests that crash upstreams.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: FastMap<RequestFingerprint, Suspect>,
    /// Suspects to broadcast.
    pending: Vec<RequestFingerprint>,
    /// When a digest was last sent to a peer.
    digest_sent_ms: Millis,
}

impl Quarantine {
    /// Whether there is no suspect; then no request's fingerprint is needed.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Number of requests that are held now.
    pub fn count_held(&self, now_ms: Millis) -> usize {
        let now_ms = with_offset(now_ms);
        let is_held = |suspect: &&Suspect| held_until_ms(suspect).is_some_and(|at| now_ms < at);
        self.suspects.values().filter(is_held).count()
    }

    /// Whether a request may be sent now; to be checked on arrival, and again just before it is
    /// sent.
    pub fn admit(&self, now_ms: Millis, fingerprint: RequestFingerprint) -> Admission {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or(Admission::Free, |suspect| verdict::admit(with_offset(now_ms), suspect))
    }

    /// The same, for a request with this much time.
    pub fn admit_in_time(
        &self,
        now_ms: Millis,
        fingerprint: RequestFingerprint,
        time: RequestTime,
    ) -> Admission {
        let suspect = self.suspects.get(&fingerprint);
        let admit = |suspect| verdict::admit_in_time(with_offset(now_ms), suspect, time);
        suspect.map_or(Admission::Free, admit)
    }

    /// Records that a request is sent as a trial, which ends at `until_ms` at the latest.
    pub fn begin_trial(&mut self, fingerprint: RequestFingerprint, until_ms: Millis) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.begin_trial(with_offset(until_ms));
            self.mark_pending(fingerprint);
        }
    }

    /// Ends a trial of this host, if it is still running. Peers that don't receive that regard it
    /// as running until its time is over.
    pub fn end_trial(&mut self, fingerprint: RequestFingerprint) {
        let suspect = self.suspects.get_mut(&fingerprint);
        if suspect.is_some_and(Suspect::end_own_trial) {
            self.mark_pending(fingerprint);
        }
    }

    /// Records that an upstream crashed while it ran the request; returns the change, if its
    /// status changed.
    pub fn record_crash(
        &mut self,
        fingerprint: RequestFingerprint,
        crash: Crash,
    ) -> Option<SuspectChange> {
        let suspect = self.suspects.entry(fingerprint).or_default();
        if !suspect.add_crash(crash.later_by(CLOCK_OFFSET_MS)) {
            return None;
        }
        let (changed, crashes) =
            (SuspectChange::by_crash(fingerprint, suspect), suspect.crashes().len());
        self.update_doubtful(fingerprint);
        if crashes >= MIN_CRASHES_FOR_TRIAL {
            self.mark_pending(fingerprint);
        }
        self.evict();
        changed
    }

    /// Records that the caller received the final response to a request under which an upstream
    /// crashed.
    ///
    /// Only now is a first crash broadcast: most bystanders have been served by another upstream
    /// and cleared by then, so the crash of hundreds of upstreams doesn't flood the network.
    pub fn record_final_answer(&mut self, fingerprint: RequestFingerprint) {
        let is_new = |suspect: &Suspect| !suspect.crashes().is_empty() && !suspect.is_broadcast();
        if self.suspects.get(&fingerprint).is_some_and(is_new) {
            self.mark_pending(fingerprint);
        }
    }

    /// Clears a request that an upstream completed, or that an operator released.
    pub fn clear(
        &mut self,
        now_ms: Millis,
        fingerprint: RequestFingerprint,
    ) -> Option<SuspectChange> {
        let suspect = self.suspects.get_mut(&fingerprint)?;
        if !suspect.clear(with_offset(now_ms)) {
            return None;
        }
        match suspect.is_broadcast() {
            true => {
                self.pending.push(fingerprint);
                Some(SuspectChange::cleared(fingerprint))
            }
            false => {
                self.suspects.remove(&fingerprint);
                None
            }
        }
    }

    /// Drops suspects whose time has passed.
    pub fn expire(&mut self, now_ms: Millis) {
        let now_ms = with_offset(now_ms);
        self.suspects.retain(|_, suspect| match held_until_ms(suspect) {
            Some(until_ms) => now_ms.since(until_ms) < HELD_RETENTION_MS,
            None if suspect.crashes().is_empty() => {
                now_ms.since(suspect.last_ms()) < CLEARED_RETENTION_MS
            }
            None => now_ms.since(suspect.last_ms()) < RETENTION_MS,
        });
    }

    fn update_doubtful(&mut self, fingerprint: RequestFingerprint) {
        let Some(suspect) = self.suspects.get(&fingerprint) else { return };
        if suspect.crashes().len() != MIN_CRASHES_FOR_HOLD {
            return;
        }
        let others = self.suspects.iter().filter(|&(&other, _)| other != fingerprint);
        let is_doubtful = verdict::is_doubtful(suspect, others.map(|(_, other)| other));
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.set_doubtful(is_doubtful);
        }
    }

    fn evict(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
            let least = self.suspects.iter().min_by_key(|(_, suspect)| importance(suspect));
            let Some(&least) = least.map(|(fingerprint, _)| fingerprint) else { return };
            self.suspects.remove(&least);
        }
    }
}

fn importance(suspect: &Suspect) -> (usize, Millis) {
    (suspect.crashes().len(), suspect.last_ms())
}

/// Converts a time of the process's clock to the one used here.
fn with_offset(at_ms: Millis) -> Millis {
    at_ms + CLOCK_OFFSET_MS
}
