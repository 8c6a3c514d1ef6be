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
//! - **A suspect of [`TRIAL_CRASHES`]** is sent to one upstream at a time by the whole fleet; the
//!   others wait for what comes of it.
//! - **From [`HELD_CRASHES`] on** it is refused at once, until a time that grows with each
//!   further crash has passed, and then tried by one host again.
//!
//! Nothing is kept or told while no upstream crashes.

mod message;
mod suspect;

pub use message::{QuarantineMessage, ToldSuspect};
pub use suspect::Crash;

use domain::{FastMap, HostId, Millis, RequestFingerprint};
use serde::Serialize;
use suspect::Suspect;

/// Crashes in a row from which on a request is sent to one upstream at a time. One crash is
/// mostly that of a bystander, whose time is running.
pub const TRIAL_CRASHES: usize = 2;

/// Crashes in a row from which on a request is held back. A bystander of two crashes in a row is
/// rare where many upstreams end at once; nobody was seen to be one of three.
pub const HELD_CRASHES: usize = 3;

/// How long a request is held back: after its third crash, and after each further one. It crashes
/// one more upstream in a day; an operator lifts it sooner.
const HOLDS_MS: [Millis; 2] = [Millis::from_secs(4 * 3_600), Millis::from_secs(24 * 3_600)];

/// How long it is first held back where others were in as many crashes: upstreams end one after
/// the other by themselves, and what many callers ask for may be on three of them.
const DOUBTFUL_HOLD_MS: Millis = Millis::from_secs(30);

/// So many others with [`TRIAL_CRASHES`] in a row make a verdict doubtful: beside a request that
/// crashes upstreams hardly any is in two of its crashes.
const DOUBTFUL_OTHERS: usize = 2;

/// Crashes of the others count if they are no older than that.
const DOUBTFUL_WITHIN_MS: Millis = Millis::from_secs(10);

/// A request that is not held back is forgotten so long after its last crash.
const FORGET_MS: Millis = Millis::from_secs(3_600);

/// One that was held back is forgotten so long after it may be tried again.
const FORGET_HELD_MS: Millis = Millis::from_secs(24 * 3_600);

/// How long it is remembered that a request was cleared: late messages of its crashes are void.
const REMEMBER_CLEARED_MS: Millis = Millis::from_secs(60);

/// So long after the last news all have it, but for those that were cut off.
const SETTLED_MS: Millis = Millis::from_secs(10);

/// Time between two offers until then. Each host is offered it as often, by some other.
const OFFER_MS: Millis = Millis(400);

/// Time between two offers after that: forty bytes each.
const SETTLED_OFFER_MS: Millis = Millis::from_secs(10);

/// What happened before the start of the process has its place in time as well: peers tell of
/// crashes that are older than a host that has just started. Longer than anything is remembered.
const BEFORE_START_MS: Millis = Millis::from_secs(7 * 24 * 3_600);

/// Most requests that are remembered, some 300 KB. The fewest crashes leave first, then the oldest.
const MAX_SUSPECTS: usize = 1_024;

/// Most that are told in one message: four kilobytes.
const TOLD_AT_ONCE: usize = 24;

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Like any other.
    Free,
    /// As the only one of its kind in the fleet.
    Trial,
    /// Not while another host tries it, for so long at most.
    Wait {
        /// The time.
        for_ms: Millis,
    },
    /// Not before this time has passed.
    Held {
        /// The time.
        for_ms: Millis,
    },
}

/// Something changed that operators are told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changed {
    /// Of which request.
    pub fingerprint: RequestFingerprint,
    /// What.
    pub change: Change,
    /// The crashes that are held against it now.
    pub crashes: Vec<Crash>,
}

/// What changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// It is tried by one host at a time.
    Suspected,
    /// It is held back.
    Held,
    /// Nothing is held against it any more.
    Cleared,
}

/// What is held against a request, for operators.
#[derive(Debug, Clone, Serialize)]
pub struct SuspectDump {
    /// Which.
    pub fingerprint: RequestFingerprint,
    /// Upstreams that crashed under it, one after the other.
    pub crashes: Vec<CrashDump>,
    /// How long it is still held back; none if it isn't.
    pub held_for_ms: Option<Millis>,
    /// Whether a host tries it now.
    pub is_on_trial: bool,
}

/// One crash, for operators.
#[derive(Debug, Clone, Serialize)]
pub struct CrashDump {
    /// The upstream.
    pub upstream: domain::UpstreamId,
    /// The host that saw it.
    pub seen_by: HostId,
    /// How long ago.
    pub age_ms: Millis,
}

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
    pub fn held(&self, now_ms: Millis) -> usize {
        let now_ms = now_ms + BEFORE_START_MS;
        let is_held = |suspect: &&Suspect| held_until_ms(suspect).is_some_and(|at| now_ms < at);
        self.suspects.values().filter(is_held).count()
    }

    /// Whether a request may be sent now. Asked when it arrives, and again just before it leaves.
    pub fn admit(&self, now_ms: Millis, fingerprint: RequestFingerprint) -> Admission {
        let now_ms = now_ms + BEFORE_START_MS;
        let Some(suspect) = self.suspects.get(&fingerprint) else { return Admission::Free };
        match (held_until_ms(suspect), suspect.trial_until_ms(now_ms)) {
            (Some(until_ms), _) if now_ms < until_ms => {
                Admission::Held { for_ms: until_ms.since(now_ms) }
            }
            _ if suspect.crashes().len() < TRIAL_CRASHES => Admission::Free,
            (_, Some(until_ms)) => Admission::Wait { for_ms: until_ms.since(now_ms) },
            (_, None) => Admission::Trial,
        }
    }

    /// A request leaves as a trial, which is over at `until_ms` at the latest.
    pub fn begin_trial(&mut self, fingerprint: RequestFingerprint, until_ms: Millis) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.begin_trial(until_ms + BEFORE_START_MS);
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
    pub fn note_crash(&mut self, fingerprint: RequestFingerprint, crash: Crash) -> Option<Changed> {
        let suspect = self.suspects.entry(fingerprint).or_default();
        if !suspect.add_crash(crash.later_by(BEFORE_START_MS)) {
            return None;
        }
        let (changed, crashes) = (changed_by_crash(fingerprint, suspect), suspect.crashes().len());
        self.note_doubt(fingerprint);
        if crashes >= TRIAL_CRASHES {
            self.will_tell(fingerprint);
        }
        self.make_room();
        changed
    }

    /// The request got its final answer, and none of an upstream.
    ///
    /// A first crash is told now only: most that were beside it are answered elsewhere and
    /// cleared by then, so a crash of hundreds of upstreams fills no link.
    pub fn note_given_up(&mut self, fingerprint: RequestFingerprint) {
        let is_new = |suspect: &Suspect| !suspect.crashes().is_empty() && !suspect.is_told();
        if self.suspects.get(&fingerprint).is_some_and(is_new) {
            self.will_tell(fingerprint);
        }
    }

    /// An upstream ran the request to its end, or an operator lifts the verdict on it.
    pub fn clear(&mut self, now_ms: Millis, fingerprint: RequestFingerprint) -> Option<Changed> {
        let suspect = self.suspects.get_mut(&fingerprint)?;
        if !suspect.clear(now_ms + BEFORE_START_MS) {
            return None;
        }
        match suspect.is_told() {
            true => {
                self.untold.push(fingerprint);
                Some(cleared(fingerprint))
            }
            false => {
                self.suspects.remove(&fingerprint);
                None
            }
        }
    }

    /// Takes a peer's word.
    pub fn take(&mut self, now_ms: Millis, told: Vec<ToldSuspect>) -> Vec<Changed> {
        let now_ms = now_ms + BEFORE_START_MS;
        let changed = told.into_iter().filter_map(|told| self.take_one(now_ms, told)).collect();
        self.make_room();
        changed
    }

    fn take_one(&mut self, now_ms: Millis, told: ToldSuspect) -> Option<Changed> {
        let fingerprint = told.fingerprint;
        let suspect = self.suspects.entry(fingerprint).or_default();
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
                let changed = changed_by_crash(fingerprint, suspect);
                self.note_doubt(fingerprint);
                changed
            }
            false => is_cleared.then(|| cleared(fingerprint)),
        }
    }

    /// Whether a verdict that was just reached may be that of a bystander.
    fn note_doubt(&mut self, fingerprint: RequestFingerprint) {
        let Some(suspect) = self.suspects.get(&fingerprint) else { return };
        if suspect.crashes().len() != HELD_CRASHES {
            return;
        }
        let since_ms = suspect.last_ms() - DOUBTFUL_WITHIN_MS;
        let is_alike =
            |other: &Suspect| other.crashes().len() >= TRIAL_CRASHES && other.last_ms() >= since_ms;
        let others = self.suspects.iter().filter(|&(&other, _)| other != fingerprint);
        let alike = others.filter(|(_, other)| is_alike(other)).count();
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.set_doubtful(alike >= DOUBTFUL_OTHERS);
        }
    }

    /// What peers are to be told since the last time; none if nothing.
    pub fn take_untold(&mut self, now_ms: Millis) -> Option<Vec<ToldSuspect>> {
        let now_ms = now_ms + BEFORE_START_MS;
        let mut untold = std::mem::take(&mut self.untold);
        untold.sort_unstable();
        untold.dedup();
        let tell = |fingerprint: RequestFingerprint| {
            let suspect = self.suspects.get(&fingerprint)?;
            Some(ToldSuspect::of(now_ms, fingerprint, suspect))
        };
        // What is past one message is found missing by the digest.
        let told: Vec<_> = untold.into_iter().filter_map(tell).take(TOLD_AT_ONCE).collect();
        Some(told).filter(|told| !told.is_empty())
    }

    /// What a host that holds something else is told: what is held back first.
    pub fn tell(&self, now_ms: Millis) -> Vec<ToldSuspect> {
        let now_ms = now_ms + BEFORE_START_MS;
        let mut all: Vec<_> = self.suspects.iter().filter(|(_, s)| s.is_told()).collect();
        all.sort_by_key(|(_, suspect)| std::cmp::Reverse(importance(suspect)));
        let told = all.into_iter().take(TOLD_AT_ONCE);
        told.map(|(&fingerprint, suspect)| ToldSuspect::of(now_ms, fingerprint, suspect)).collect()
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
    pub fn offer(&mut self, now_ms: Millis) -> Option<u64> {
        let now_ms = now_ms + BEFORE_START_MS;
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

    /// Forgets what is over.
    pub fn settle(&mut self, now_ms: Millis) {
        let now_ms = now_ms + BEFORE_START_MS;
        self.suspects.retain(|_, suspect| match held_until_ms(suspect) {
            Some(until_ms) => now_ms.since(until_ms) < FORGET_HELD_MS,
            None if suspect.crashes().is_empty() => {
                now_ms.since(suspect.last_ms()) < REMEMBER_CLEARED_MS
            }
            None => now_ms.since(suspect.last_ms()) < FORGET_MS,
        });
    }

    /// Everything, for operators: what is held back first.
    pub fn dump(&self, now_ms: Millis) -> Vec<SuspectDump> {
        let now_ms = now_ms + BEFORE_START_MS;
        let mut all: Vec<_> =
            self.suspects.iter().filter(|(_, suspect)| !suspect.crashes().is_empty()).collect();
        all.sort_by_key(|(_, suspect)| std::cmp::Reverse(importance(suspect)));
        let dump = |(&fingerprint, suspect): (&RequestFingerprint, &Suspect)| SuspectDump {
            fingerprint,
            crashes: suspect.crashes().iter().map(|crash| dump_crash(now_ms, crash)).collect(),
            held_for_ms: held_until_ms(suspect)
                .filter(|&until_ms| now_ms < until_ms)
                .map(|until_ms| until_ms.since(now_ms)),
            is_on_trial: suspect.trial_until_ms(now_ms).is_some(),
        };
        all.into_iter().map(dump).collect()
    }

    fn will_tell(&mut self, fingerprint: RequestFingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.set_told();
            self.untold.push(fingerprint);
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

/// Time until which a request is held back.
fn held_until_ms(suspect: &Suspect) -> Option<Millis> {
    let crashes = suspect.crashes();
    let former_holds = crashes.len().checked_sub(HELD_CRASHES)?;
    let hold_ms = match former_holds {
        0 if suspect.is_doubtful() => DOUBTFUL_HOLD_MS,
        _ => HOLDS_MS[former_holds.min(HOLDS_MS.len() - 1)],
    };
    crashes.last().map(|crash| crash.crashed_ms + hold_ms)
}

fn importance(suspect: &Suspect) -> (usize, Millis) {
    (suspect.crashes().len(), suspect.last_ms())
}

fn changed_by_crash(fingerprint: RequestFingerprint, suspect: &Suspect) -> Option<Changed> {
    let change = match suspect.crashes().len() {
        crashes if crashes >= HELD_CRASHES => Change::Held,
        crashes if crashes >= TRIAL_CRASHES => Change::Suspected,
        _ => return None,
    };
    let crashes = suspect.crashes().iter().cloned();
    let crashes = crashes.map(|crash| crash.earlier_by(BEFORE_START_MS)).collect();
    Some(Changed { fingerprint, change, crashes })
}

fn cleared(fingerprint: RequestFingerprint) -> Changed {
    Changed { fingerprint, change: Change::Cleared, crashes: Vec::new() }
}

fn dump_crash(now_ms: Millis, crash: &Crash) -> CrashDump {
    CrashDump {
        upstream: crash.upstream.clone(),
        seen_by: crash.seen_by.clone(),
        age_ms: now_ms.since(crash.crashed_ms),
    }
}
