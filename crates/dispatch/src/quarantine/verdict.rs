//! When a request is held back, and for how long.

use super::suspect::Suspect;
use domain::Millis;

/// Crashes in a row from which on a request is sent to one upstream at a time. One crash is
/// mostly that of a bystander, whose time is running.
pub const MIN_CRASHES_FOR_TRIAL: usize = 2;

/// Crashes in a row from which on a request is held back. Where upstreams end by themselves now and
/// then, a bystander is in two of their crashes; in three only by the end of a whole service.
pub const MIN_CRASHES_FOR_HOLD: usize = 3;

/// How long a request is held back: after its third crash, and after each further one. It crashes
/// one more upstream in a day; an operator lifts it sooner.
const HOLDS_MS: [Millis; 2] = [Millis::from_secs(4 * 3_600), Millis::from_secs(24 * 3_600)];

/// How long it is first held back where others were in as many crashes: upstreams end one after
/// the other by themselves, and what many callers ask for may be on three of them.
const DOUBTFUL_HOLD_MS: Millis = Millis::from_secs(30);

/// So many others with [`MIN_CRASHES_FOR_TRIAL`] in a row make a verdict doubtful: beside a request that
/// crashes upstreams hardly any is in two of its crashes.
const DOUBTFUL_OTHERS: usize = 2;

/// Crashes of the others count if they are no older than that.
const DOUBTFUL_WITHIN_MS: Millis = Millis::from_secs(10);

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

/// Time until which a request is held back.
pub(super) fn held_until_ms(suspect: &Suspect) -> Option<Millis> {
    let crashes = suspect.crashes();
    let former_holds = crashes.len().checked_sub(MIN_CRASHES_FOR_HOLD)?;
    let hold_ms = match former_holds {
        0 if suspect.is_doubtful() => DOUBTFUL_HOLD_MS,
        _ => HOLDS_MS[former_holds.min(HOLDS_MS.len() - 1)],
    };
    crashes.last().map(|crash| crash.crashed_ms + hold_ms)
}

/// Whether a verdict that was just reached may be that of a bystander.
pub(super) fn is_doubtful<'s>(
    suspect: &Suspect,
    others: impl Iterator<Item = &'s Suspect>,
) -> bool {
    let since_ms = suspect.last_ms() - DOUBTFUL_WITHIN_MS;
    let is_alike = |other: &&Suspect| {
        other.crashes().len() >= MIN_CRASHES_FOR_TRIAL && other.last_ms() >= since_ms
    };
    others.filter(is_alike).count() >= DOUBTFUL_OTHERS
}
