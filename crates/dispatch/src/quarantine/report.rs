//! What operators are told of requests that crash upstreams.

use super::suspect::{Crash, Suspect};
use super::verdict::{MIN_CRASHES_FOR_HOLD, MIN_CRASHES_FOR_TRIAL, held_until_ms};
use super::{BEFORE_START_MS, Quarantine, counted, importance};
use domain::{HostId, Millis, RequestFingerprint, UpstreamId};
use serde::Serialize;
use std::cmp::Reverse;

/// Something changed that operators are told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectChange {
    /// Of which request.
    pub fingerprint: RequestFingerprint,
    /// What.
    pub status: SuspectStatus,
    /// The crashes that are held against it now.
    pub crashes: Vec<Crash>,
}

/// What changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SuspectStatus {
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
    pub upstream: UpstreamId,
    /// The host that saw it.
    pub seen_by: HostId,
    /// How long ago.
    pub age_ms: Millis,
}

impl Quarantine {
    /// Everything, for operators: what is held back first.
    pub fn dump(&self, now_ms: Millis) -> Vec<SuspectDump> {
        let now_ms = counted(now_ms);
        let mut all: Vec<_> =
            self.suspects.iter().filter(|(_, suspect)| !suspect.crashes().is_empty()).collect();
        all.sort_by_key(|(_, suspect)| Reverse(importance(suspect)));
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
}

impl SuspectChange {
    /// Another crash counts against a request; none if nothing follows from it yet.
    pub(super) fn by_crash(
        fingerprint: RequestFingerprint,
        suspect: &Suspect,
    ) -> Option<SuspectChange> {
        let status = match suspect.crashes().len() {
            crashes if crashes >= MIN_CRASHES_FOR_HOLD => SuspectStatus::Held,
            crashes if crashes >= MIN_CRASHES_FOR_TRIAL => SuspectStatus::Suspected,
            _ => return None,
        };
        let crashes = suspect.crashes().iter().cloned();
        let crashes = crashes.map(|crash| crash.earlier_by(BEFORE_START_MS)).collect();
        Some(SuspectChange { fingerprint, status, crashes })
    }

    /// Nothing counts against a request any more.
    pub(super) fn cleared(fingerprint: RequestFingerprint) -> SuspectChange {
        SuspectChange { fingerprint, status: SuspectStatus::Cleared, crashes: Vec::new() }
    }
}

fn dump_crash(now_ms: Millis, crash: &Crash) -> CrashDump {
    CrashDump {
        upstream: crash.upstream.clone(),
        seen_by: crash.seen_by.clone(),
        age_ms: now_ms.since(crash.crashed_ms),
    }
}
