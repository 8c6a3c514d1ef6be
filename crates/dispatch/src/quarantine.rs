//! Requests that crash the upstreams that run them are held back.
//!
//! Such a request (a "query of death") comes again under other ids at any host, and takes with
//! it whatever else its upstreams run. [`Quarantine`] is what a host knows of them; hosts tell
//! each other, so that crashes seen by several add up.
//!
//! - **Evidence** is an upstream whose process ended while it ran the request. Each request that
//!   an upstream had is a suspect, so one crash says little. What tells the guilty from the
//!   bystanders is the sequence: the same request crashes the next upstream, and the next, and is
//!   never run to its end in between. One that was is cleared, whoever saw it.
//! - **A suspect of [`MIN_CRASHES_FOR_TRIAL`]** is sent to one upstream at a time by the whole fleet; the
//!   others wait for what comes of it.
//! - **From [`MIN_CRASHES_FOR_HOLD`] on** it is refused at once, until a time that grows with each
//!   further crash has passed, and then tried by one host again.
//!
//! Nothing is kept or told while no upstream crashes. In virtual time one such request, three times a
//! second for 95 s at 13 hosts, ended 5 upstreams in place of 228, and at 472 hosts 7 in place of
//! 1,256; no other request was held back.

mod message;
mod report;
mod suspect;
mod telling;
mod verdict;

pub use message::{QuarantineMessage, SuspectUpdate};
pub use report::{CrashDump, SuspectChange, SuspectDump, SuspectStatus};
pub use suspect::Crash;
pub use verdict::{Admission, MIN_CRASHES_FOR_HOLD, MIN_CRASHES_FOR_TRIAL};

use domain::{FastMap, Millis, RequestFingerprint};
use suspect::Suspect;
use verdict::held_until_ms;

/// A request that is not held back is forgotten so long after its last crash.
const FORGET_MS: Millis = Millis::from_secs(3_600);

/// One that was held back is forgotten so long after it may be tried again.
const FORGET_HELD_MS: Millis = Millis::from_secs(24 * 3_600);

/// How long it is remembered that a request was cleared: late messages of its crashes are void.
const REMEMBER_CLEARED_MS: Millis = Millis::from_secs(60);

/// What happened before the start of the process has its place in time as well: peers tell of
/// crashes that are older than a host that has just started. Longer than anything is remembered.
const BEFORE_START_MS: Millis = Millis::from_secs(7 * 24 * 3_600);

/// Most requests that are remembered, some 300 KB. The fewest crashes leave first, then the oldest.
const MAX_SUSPECTS: usize = 1_024;

/// What a host knows of requests that crash upstreams.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: FastMap<RequestFingerprint, Suspect>,
    /// Those that peers are to be told of.
    untold: Vec<RequestFingerprint>,
    /// When a peer was last offered what is held.
    offered_ms: Millis,
}

impl Quarantine {
    /// Whether nothing is held against any request: then nobody needs its fingerprint.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Requests that are held back now.
    pub fn count_held(&self, now_ms: Millis) -> usize {
        let now_ms = counted(now_ms);
        let is_held = |suspect: &&Suspect| held_until_ms(suspect).is_some_and(|at| now_ms < at);
        self.suspects.values().filter(is_held).count()
    }

    /// Whether a request may be sent now. Asked when it arrives, and again just before it leaves.
    pub fn admit(&self, now_ms: Millis, fingerprint: RequestFingerprint) -> Admission {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or(Admission::Free, |suspect| verdict::admit(counted(now_ms), suspect))
    }

    /// A request leaves as a trial, which is over at `until_ms` at the latest.
    pub fn begin_trial(&mut self, fingerprint: RequestFingerprint, until_ms: Millis) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.begin_trial(counted(until_ms));
            self.will_tell(fingerprint);
        }
    }

    /// A trial of this host ended. The others take it to be over when its time is.
    pub fn end_trial(&mut self, fingerprint: RequestFingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.end_trial();
        }
    }

    /// An upstream crashed while it ran the request.
    pub fn record_crash(
        &mut self,
        fingerprint: RequestFingerprint,
        crash: Crash,
    ) -> Option<SuspectChange> {
        let suspect = self.suspects.entry(fingerprint).or_default();
        if !suspect.add_crash(crash.later_by(BEFORE_START_MS)) {
            return None;
        }
        let (changed, crashes) =
            (SuspectChange::by_crash(fingerprint, suspect), suspect.crashes().len());
        self.note_doubt(fingerprint);
        if crashes >= MIN_CRASHES_FOR_TRIAL {
            self.will_tell(fingerprint);
        }
        self.make_room();
        changed
    }

    /// A request that an upstream crashed under got its final answer.
    ///
    /// A first crash is told now only: most that were beside it are served elsewhere and
    /// cleared by then, so a crash of hundreds of upstreams fills no link.
    pub fn record_final_answer(&mut self, fingerprint: RequestFingerprint) {
        let is_new = |suspect: &Suspect| !suspect.crashes().is_empty() && !suspect.is_told();
        if self.suspects.get(&fingerprint).is_some_and(is_new) {
            self.will_tell(fingerprint);
        }
    }

    /// An upstream ran the request to its end, or an operator lifts the verdict on it.
    pub fn clear(
        &mut self,
        now_ms: Millis,
        fingerprint: RequestFingerprint,
    ) -> Option<SuspectChange> {
        let suspect = self.suspects.get_mut(&fingerprint)?;
        if !suspect.clear(counted(now_ms)) {
            return None;
        }
        match suspect.is_told() {
            true => {
                self.untold.push(fingerprint);
                Some(SuspectChange::cleared(fingerprint))
            }
            false => {
                self.suspects.remove(&fingerprint);
                None
            }
        }
    }

    /// Forgets what is over.
    pub fn expire(&mut self, now_ms: Millis) {
        let now_ms = counted(now_ms);
        self.suspects.retain(|_, suspect| match held_until_ms(suspect) {
            Some(until_ms) => now_ms.since(until_ms) < FORGET_HELD_MS,
            None if suspect.crashes().is_empty() => {
                now_ms.since(suspect.last_ms()) < REMEMBER_CLEARED_MS
            }
            None => now_ms.since(suspect.last_ms()) < FORGET_MS,
        });
    }

    fn note_doubt(&mut self, fingerprint: RequestFingerprint) {
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

    fn make_room(&mut self) {
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

/// A point in time of the process as it is kept here.
fn counted(at_ms: Millis) -> Millis {
    at_ms + BEFORE_START_MS
}
