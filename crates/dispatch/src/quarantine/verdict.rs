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
