//! Decides whether a request is held, and for how long.

use super::suspect::Suspect;
use domain::Millis;

/// Consecutive crashes from which on a request is sent to one upstream at a time. One crash is
/// mostly that of a bystander, whose caller is waiting.
pub const MIN_CRASHES_FOR_TRIAL: usize = 2;

/// Consecutive crashes from which on a request is held. Where upstreams crash now and then for
/// other reasons, a bystander may be in flight in two of these crashes, but in three only if a
/// whole service goes down.
pub const MIN_CRASHES_FOR_HOLD: usize = 3;

/// Duration of the hold after the third crash, and after each further one. A request that always
/// crashes upstreams then costs one more of them a day, unless an operator releases it sooner.
const HOLD_MS: [Millis; 2] = [Millis::from_secs(4 * 3_600), Millis::from_secs(24 * 3_600)];

/// Duration of the first hold if several other requests have recent crashes, too. Upstreams then
/// probably crash for another reason, and a frequent request may have been in flight on three of
/// them.
const DOUBTFUL_HOLD_MS: Millis = Millis::from_secs(30);

/// Number of other requests with [`MIN_CRASHES_FOR_TRIAL`] consecutive crashes that makes a hold
/// doubtful: if one request causes the crashes, hardly any other is in flight in two of them.
const DOUBTFUL_OTHERS: usize = 2;

/// Maximum age of the other requests' crashes.
const DOUBTFUL_AGE_MS: Millis = Millis::from_secs(10);

/// When a caller may retry whose request has too little time left for a trial.
const LATE_TRIAL_RETRY_MS: Millis = Millis(60);

/// The time of a request, of which a part may have passed while it waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestTime {
    /// From its arrival until its response is due.
    pub total_ms: Millis,
    /// Of that, what is left.
    pub left_ms: Millis,
}

/// Whether and how a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Like any other request.
    Free,
    /// As a trial, the only copy in the whole fleet.
    Trial,
    /// Not while another host tries it.
    Wait {
        /// At most until the trial ends.
        for_ms: Millis,
    },
    /// Not while it is held.
    Held {
        /// The rest of the hold.
        for_ms: Millis,
    },
}

/// Whether a request may be sent now.
pub(super) fn admit(now_ms: Millis, suspect: &Suspect) -> Admission {
    match (held_until_ms(suspect), suspect.trial_until_ms(now_ms)) {
        (Some(until_ms), _) if now_ms < until_ms => {
            Admission::Held { for_ms: until_ms.since(now_ms) }
        }
        _ if suspect.crashes().len() < MIN_CRASHES_FOR_TRIAL => Admission::Free,
        (_, Some(until_ms)) => Admission::Wait { for_ms: until_ms.since(now_ms) },
        (_, None) => Admission::Trial,
    }
}

/// The same for a request with this much time. One that has waited for most of its time isn't sent
/// as a trial if its time might end before the upstream does: nobody would learn of the crash.
pub(super) fn admit_in_time(now_ms: Millis, suspect: &Suspect, time: RequestTime) -> Admission {
    let is_mostly_over = time.left_ms.0.saturating_mul(2) < time.total_ms.0;
    match admit(now_ms, suspect) {
        Admission::Trial if is_mostly_over && time.left_ms < suspect.longest_to_crash_ms() => {
            Admission::Held { for_ms: LATE_TRIAL_RETRY_MS }
        }
        admission => admission,
    }
}

/// The end of the request's hold.
pub(super) fn held_until_ms(suspect: &Suspect) -> Option<Millis> {
    let crashes = suspect.crashes();
    let former_holds = crashes.len().checked_sub(MIN_CRASHES_FOR_HOLD)?;
    let hold_ms = match former_holds {
        0 if suspect.is_doubtful() => DOUBTFUL_HOLD_MS,
        _ => HOLD_MS[former_holds.min(HOLD_MS.len() - 1)],
    };
    crashes.last().map(|crash| crash.crashed_ms + hold_ms)
}

/// Whether a request that was just held may be a bystander.
pub(super) fn is_doubtful<'s>(
    suspect: &Suspect,
    others: impl Iterator<Item = &'s Suspect>,
) -> bool {
    let since_ms = suspect.last_ms() - DOUBTFUL_AGE_MS;
    let has_recent_crashes = |other: &&Suspect| {
        other.crashes().len() >= MIN_CRASHES_FOR_TRIAL && other.last_ms() >= since_ms
    };
    others.filter(has_recent_crashes).count() >= DOUBTFUL_OTHERS
}
