//! What hosts tell each other of requests that crash upstreams.
//!
//! Points in time travel as ages, since each host has a clock of its own.

use super::Crash;
use super::suspect::Suspect;
use domain::{HostId, Millis, RequestFingerprint, UpstreamId};
use published::RunStart;
use serde::{Deserialize, Serialize};

/// A message that may be lost, doubled, late or out of order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineMessage {
    /// What is held against requests, and what was cleared.
    Suspects {
        /// Some of them.
        suspects: Vec<SuspectUpdate>,
        /// Whether the host that hears it is to pass it on in its availability zone.
        should_relay: bool,
    },
    /// Digest of what is held; whoever holds something else asks for it.
    Digest {
        /// The digest.
        digest: u64,
    },
    /// Whoever hears it is to tell what it holds, if that is something else.
    Request {
        /// Digest of what the asking host holds.
        digest: u64,
    },
}

/// What is held against one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectUpdate {
    /// Which.
    pub fingerprint: RequestFingerprint,
    crashes: Vec<CrashUpdate>,
    cleared_age_ms: Option<Millis>,
    trial_left_ms: Option<Millis>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct CrashUpdate {
    upstream: UpstreamId,
    run: RunStart,
    seen_by: HostId,
    sent_age_ms: Millis,
    crashed_age_ms: Millis,
}

impl SuspectUpdate {
    pub(super) fn of(
        now_ms: Millis,
        fingerprint: RequestFingerprint,
        suspect: &Suspect,
    ) -> SuspectUpdate {
        let tell = |crash: &Crash| CrashUpdate {
            upstream: crash.upstream.clone(),
            run: crash.run,
            seen_by: crash.seen_by.clone(),
            sent_age_ms: now_ms.since(crash.sent_ms),
            crashed_age_ms: now_ms.since(crash.crashed_ms),
        };
        SuspectUpdate {
            fingerprint,
            crashes: suspect.crashes().iter().map(tell).collect(),
            cleared_age_ms: suspect.cleared_ms().map(|at_ms| now_ms.since(at_ms)),
            trial_left_ms: suspect.trial_until_ms(now_ms).map(|until_ms| until_ms.since(now_ms)),
        }
    }

    /// When the request was cleared, by the clock of the host that hears it.
    pub(super) fn cleared_ms(&self, now_ms: Millis) -> Option<Millis> {
        self.cleared_age_ms.map(|age_ms| now_ms - age_ms)
    }

    pub(super) fn trial_until_ms(&self, now_ms: Millis) -> Option<Millis> {
        self.trial_left_ms.map(|left_ms| now_ms + left_ms)
    }

    pub(super) fn into_crashes(self, now_ms: Millis) -> impl Iterator<Item = Crash> {
        self.crashes.into_iter().map(move |told| Crash {
            upstream: told.upstream,
            run: told.run,
            seen_by: told.seen_by,
            sent_ms: now_ms - told.sent_age_ms,
            crashed_ms: now_ms - told.crashed_age_ms,
        })
    }
}
