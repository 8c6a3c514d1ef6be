//! Messages in which hosts broadcast requests that crash upstreams.
//!
//! They carry ages instead of points in time, since each host has a clock of its own.

use super::Crash;
use super::suspect::Suspect;
use domain::{HostId, Millis, RequestFingerprint, UpstreamId};
use published::RunStart;
use serde::{Deserialize, Serialize};

/// A message that may be lost, duplicated, late or out of order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineMessage {
    /// Suspects, and requests that were cleared.
    Suspects {
        /// Some suspects.
        suspects: Vec<SuspectUpdate>,
        /// Whether the receiver is to relay it within its availability zone.
        should_relay: bool,
    },
    /// Digest of the sender's suspects; a receiver with a different one requests them.
    Digest {
        /// The digest.
        digest: u64,
    },
    /// Requests all suspects, if the receiver's digest differs.
    Request {
        /// Digest of the requesting host's suspects.
        digest: u64,
    },
}

/// The crashes of one request, and whether it was cleared or is on trial.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectUpdate {
    /// The request.
    pub fingerprint: RequestFingerprint,
    crashes: Vec<CrashUpdate>,
    cleared_age_ms: Option<Millis>,
    /// How much longer it may be on trial; zero if the sender's trial has just ended.
    trial_left_ms: Option<Millis>,
}

/// What an update says of a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TrialUpdate {
    /// A host runs it until then at the latest.
    RunningUntil(Millis),
    /// The sender ran it, and it has ended.
    Ended,
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
        let to_update = |crash: &Crash| CrashUpdate {
            upstream: crash.upstream.clone(),
            run: crash.run,
            seen_by: crash.seen_by.clone(),
            sent_age_ms: now_ms.since(crash.sent_ms),
            crashed_age_ms: now_ms.since(crash.crashed_ms),
        };
        SuspectUpdate {
            fingerprint,
            crashes: suspect.crashes().iter().map(to_update).collect(),
            cleared_age_ms: suspect.cleared_ms().map(|at_ms| now_ms.since(at_ms)),
            trial_left_ms: suspect.trial_until_ms(now_ms).map(|until_ms| until_ms.since(now_ms)),
        }
    }

    /// When the request was cleared, by the receiver's clock.
    pub(super) fn cleared_ms(&self, now_ms: Millis) -> Option<Millis> {
        self.cleared_age_ms.map(|age_ms| now_ms - age_ms)
    }

    /// The same update, which also says that the sender's trial has ended.
    pub(super) fn with_trial_ended(self) -> SuspectUpdate {
        SuspectUpdate { trial_left_ms: Some(Millis::ZERO), ..self }
    }

    /// What it says of a trial.
    pub(super) fn trial(&self, now_ms: Millis) -> Option<TrialUpdate> {
        self.trial_left_ms.map(|left_ms| match left_ms {
            Millis::ZERO => TrialUpdate::Ended,
            left_ms => TrialUpdate::RunningUntil(now_ms + left_ms),
        })
    }

    pub(super) fn into_crashes(self, now_ms: Millis) -> impl Iterator<Item = Crash> {
        self.crashes.into_iter().map(move |update| Crash {
            upstream: update.upstream,
            run: update.run,
            seen_by: update.seen_by,
            sent_ms: now_ms - update.sent_age_ms,
            crashed_ms: now_ms - update.crashed_age_ms,
        })
    }
}
