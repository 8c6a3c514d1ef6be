//! Log events and dumps about requests that crash upstreams, for operators.

use super::suspect::{Crash, Suspect};
use super::verdict::{MIN_CRASHES_FOR_HOLD, MIN_CRASHES_FOR_TRIAL, held_until_ms};
use super::{CLOCK_OFFSET_MS, Quarantine, importance, with_offset};
use domain::{HostId, Millis, RequestFingerprint, UpstreamId};
use serde::Serialize;
use std::cmp::Reverse;

/// A change of a request's status, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectChange {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Its new status.
    pub status: SuspectStatus,
    /// The crashes that count against it now.
    pub crashes: Vec<Crash>,
}

/// Status of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SuspectStatus {
    /// One host at a time tries it.
    Suspected,
    /// It is held.
    Held,
    /// No crash counts against it any more.
    Cleared,
}

/// A suspect, for operators.
#[derive(Debug, Clone, Serialize)]
pub struct SuspectDump {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Crashes that count against it, in order.
    pub crashes: Vec<CrashDump>,
    /// How much longer it is held; none if it isn't.
    pub held_for_ms: Option<Millis>,
    /// Whether a host is trying it now.
    pub is_on_trial: bool,
}

/// One crash, for operators.
#[derive(Debug, Clone, Serialize)]
pub struct CrashDump {
    /// The upstream that crashed.
    pub upstream: UpstreamId,
    /// The host that saw it.
    pub seen_by: HostId,
    /// Time since the crash.
    pub age_ms: Millis,
}

impl Quarantine {
    /// All suspects, for operators: those with the most crashes first.
    pub fn dump(&self, now_ms: Millis) -> Vec<SuspectDump> {
        let now_ms = with_offset(now_ms);
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
    /// The change caused by another crash; none if the request isn't suspected yet.
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
        let crashes = crashes.map(|crash| crash.earlier_by(CLOCK_OFFSET_MS)).collect();
        Some(SuspectChange { fingerprint, status, crashes })
    }

    /// The change to cleared.
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
