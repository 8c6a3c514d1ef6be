//! What one request that crashes its upstreams costs a fleet, with quarantine and without.
//!
//! In virtual time: hosts that lose a part of what they tell each other, upstreams that are back
//! after three seconds, callers that come again once, others that run beside it. Run with
//! `--nocapture` for the figures of the design note.
#![allow(clippy::unwrap_used)]

#[path = "support/crashing.rs"]
mod crashing;

use crashing::{Outcome, Play, play};
use rstest::rstest;

const SEEDS: std::ops::Range<u64> = 0..8;

fn usual(hosts: usize, upstreams: usize) -> Play {
    Play {
        hosts,
        upstreams,
        guilty_per_s: 3.0,
        others_per_s: 5.0,
        ends_per_s: 0.0,
        lost: 0.03,
        has_quarantine: true,
        all_lost_ms: None,
        seed: 0,
    }
}

fn worst(of: Play) -> Outcome {
    let outcomes = SEEDS.map(|seed| play(Play { seed, ..of }));
    outcomes.fold(Outcome::default(), |worst, one| Outcome {
        ended: worst.ended.max(one.ended),
        after_third: worst.after_third.max(one.after_third),
        much_later: worst.much_later.max(one.much_later),
        others_held: worst.others_held.max(one.others_held),
        others_failed: worst.others_failed.max(one.others_failed),
        messages: worst.messages.max(one.messages),
    })
}

#[rstest]
#[case::small(usual(13, 8), 3)]
#[case::medium(usual(110, 235), 3)]
#[case::large(usual(472, 1_080), 3)]
#[case::rare(Play { guilty_per_s: 0.2, ..usual(13, 8) }, 0)]
#[case::in_bursts(Play { guilty_per_s: 30.0, ..usual(110, 235) }, 8)]
#[case::over_bad_links(Play { lost: 0.3, ..usual(110, 235) }, 5)]
fn it_ends_few_upstreams(#[case] of: Play, #[case] most_after_third: u32) {
    let (held, free) = (worst(of), worst(Play { has_quarantine: false, ..of }));
    println!("{of:?}\n  with {held:?}\n  without {free:?}");
    assert!(held.after_third <= most_after_third, "{held:?}");
    assert_eq!(held.much_later, 0, "{held:?}");
    assert!(free.ended > 2 * held.ended, "it is played as it was seen: {free:?}");
    assert_eq!(held.others_held, 0, "{held:?}");
}

/// Nobody remembers it after a loss of all hosts; it is recognised again as soon as before.
#[test]
fn after_a_loss_of_all_hosts_it_is_recognised_again() {
    let outcome = worst(Play { all_lost_ms: Some(45_000), ..usual(13, 8) });
    println!("{outcome:?}");
    assert!(outcome.ended <= 10, "{outcome:?}");
}

/// Where upstreams end by themselves, up to a fifth of them every second, nothing is held back.
#[rstest]
fn no_bystander_is_held_back(#[values(0.2, 1.0, 5.0, 47.0)] ends_per_s: f64) {
    let of = Play { guilty_per_s: 0.0, ends_per_s, ..usual(110, 235) };
    let outcome = worst(of);
    println!("{ends_per_s} {outcome:?}");
    assert_eq!(outcome.others_held, 0, "{outcome:?}");
}
