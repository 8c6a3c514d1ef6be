//! How long ago a host heard of each listed one, in one character each.
//!
//! Hosts of a large fleet don't all talk to each other every second, so each passes on
//! what it heard. The order of the host list gives the places, so both sides must hold the
//! same version of it. Ages are rounded up: passed on in a circle, they only grow.

use domain::Millis;

/// One step of an age.
const STEP_MS: u64 = 250;
/// Not heard of, or too long ago to matter.
const UNKNOWN: char = '-';
/// Steps that a character can show.
const STEPS: u32 = 36;

/// The character for an age.
pub fn encode(age_ms: Option<Millis>) -> char {
    let steps = age_ms.map(|age_ms| age_ms.0.div_ceil(STEP_MS));
    let steps = steps.and_then(|steps| u32::try_from(steps).ok());
    steps
        .and_then(|steps| char::from_digit(steps, STEPS).filter(|_| steps < STEPS))
        .unwrap_or(UNKNOWN)
}

/// The age that a character stands for, with one step for the way.
pub fn decode(c: char) -> Option<Millis> {
    c.to_digit(STEPS).map(|steps| Millis((u64::from(steps) + 1) * STEP_MS))
}
