//! Which pair one host puts in force, whatever order the values come in.
#![allow(clippy::unwrap_used)]

mod support;

use decision_core::{ConfigKey, ReadOutcome, VersionPair};
use rstest::rstest;
use support::configs::{BROKEN, EMPTY, ZONES_AB, ZONES_ABC, base_needing_c, pair};
use support::{BASE, Bench};

/// A value that arrives: its version, and whether it fits the others.
#[derive(Debug, Clone, Copy)]
enum Step {
    Base(u64),
    BaseNeedingC(u64),
    BrokenBase(u64),
    Empty(u64),
    Abc(u64),
    Ab(u64),
    BrokenOverlay(u64),
    Missing,
}

use Step::{Ab, Abc, Base, BaseNeedingC, BrokenBase, BrokenOverlay, Empty, Missing};

fn apply(bench: &mut Bench, step: Step) {
    let (key, version, text) = match step {
        Base(version) => (ConfigKey::Base, version, BASE.to_owned()),
        BaseNeedingC(version) => (ConfigKey::Base, version, base_needing_c()),
        BrokenBase(version) => (ConfigKey::Base, version, BROKEN.to_owned()),
        Empty(version) => (ConfigKey::Overlay, version, EMPTY.to_owned()),
        Abc(version) => (ConfigKey::Overlay, version, ZONES_ABC.to_owned()),
        Ab(version) => (ConfigKey::Overlay, version, ZONES_AB.to_owned()),
        BrokenOverlay(version) => (ConfigKey::Overlay, version, BROKEN.to_owned()),
        Missing => {
            bench.read(ConfigKey::Overlay, ReadOutcome::Missing);
            return;
        }
    };
    bench.publish(key, version, &text);
}

fn after(steps: &[Step]) -> Bench {
    let mut bench = Bench::alone();
    let mut before = VersionPair::default();
    for &step in steps {
        apply(&mut bench, step);
        let now = bench.host.versions();
        assert!(now.covers(before), "{step:?} went back from {before:?} to {now:?}");
        before = now;
    }
    bench
}

#[rstest]
#[case::nothing_without_word_on_the_overlay(&[Base(1)], pair(0, 0))]
#[case::no_overlay(&[Base(1), Missing], pair(1, 0))]
#[case::overlay_first(&[Empty(1), Base(1)], pair(1, 1))]
#[case::older_base(&[Base(3), Missing, Base(2)], pair(3, 0))]
#[case::older_overlay(&[Base(1), Empty(3), Empty(2)], pair(1, 3))]
#[case::overlay_withdrawn(&[Base(1), Empty(1), Missing], pair(1, 1))]
#[case::broken_base(&[Base(1), Empty(1), BrokenBase(2)], pair(1, 1))]
#[case::broken_overlay(&[Base(1), Empty(1), BrokenOverlay(2)], pair(1, 1))]
#[case::healed_base(&[Base(1), Empty(1), BrokenBase(2), Base(3)], pair(3, 1))]
#[case::healed_overlay(&[Base(1), Empty(1), BrokenOverlay(2), Empty(3)], pair(1, 3))]
#[case::broken_overlay_holds_no_base_back(&[Base(1), Empty(1), BrokenOverlay(2), Base(2)], pair(2, 1))]
#[case::base_waits_for_its_overlay(&[Base(1), Empty(1), BaseNeedingC(2)], pair(1, 1))]
#[case::both_at_once(&[Base(1), Empty(1), BaseNeedingC(2), Abc(2)], pair(2, 2))]
#[case::both_at_once_overlay_first(&[Base(1), Empty(1), Abc(2), BaseNeedingC(2)], pair(2, 2))]
#[case::service_went_back_to_one_not_seen(&[Base(1), Empty(1), BrokenBase(3), Base(2)], pair(1, 1))]
#[case::first_is_broken(&[BrokenBase(1), Missing, Base(2)], pair(2, 0))]
#[case::never_back_for_a_fit(&[BaseNeedingC(2), Abc(1), Ab(2)], pair(2, 1))]
#[case::never_back_for_a_fit_either(&[Base(1), Abc(1), Ab(2), BaseNeedingC(2)], pair(1, 2))]
fn puts_in_force(#[case] steps: &[Step], #[case] expected: VersionPair) {
    assert_eq!(after(steps).host.versions(), expected);
}

#[rstest]
#[case::broken_base(&[Base(1), Empty(1), BrokenBase(2)], Some(pair(2, 1)))]
#[case::broken_overlay(&[Base(1), Empty(1), BrokenOverlay(2)], Some(pair(1, 2)))]
#[case::first_is_broken(&[BrokenBase(1), Missing], Some(pair(1, 0)))]
#[case::waiting_for_overlay(&[Base(1), Empty(1), BaseNeedingC(2)], Some(pair(2, 1)))]
#[case::healed(&[Base(1), Empty(1), BrokenBase(2), Base(3)], None)]
#[case::overlay_came(&[Base(1), Empty(1), BaseNeedingC(2), Abc(2)], None)]
fn names_what_it_refused(#[case] steps: &[Step], #[case] refused: Option<VersionPair>) {
    let bench = after(steps);
    let rejected = bench.host.dump().rejected;
    let named = rejected.as_ref().map(|r| VersionPair { base: r.base, overlay: r.overlay });
    assert_eq!(named, refused);
    assert!(rejected.is_none_or(|rejected| !rejected.problems.is_empty()));
}

#[test]
fn many_bad_versions_do_not_fill_the_host() {
    let mut bench = after(&[Base(1), Empty(1)]);
    (2..200).for_each(|version| apply(&mut bench, BrokenBase(version)));
    (2..200).for_each(|version| apply(&mut bench, BrokenOverlay(version)));
    assert_eq!(bench.host.versions(), pair(1, 1));
    apply(&mut bench, Base(200));
    apply(&mut bench, Empty(200));
    assert_eq!(bench.host.versions(), pair(200, 200));
    assert_eq!(bench.host.dump().rejected, None);
}

#[rstest]
#[case::restored(&[Base(5), Missing, Base(3), Base(4)], 2, 0)]
#[case::rewritten(&[Base(5), Missing, BaseNeedingC(5)], 0, 1)]
#[case::read_again(&[Base(5), Missing, Base(5)], 0, 0)]
fn reports_a_service_that_went_back(
    #[case] steps: &[Step],
    #[case] older: u64,
    #[case] rewritten: u64,
) {
    let bench = after(steps);
    assert_eq!(bench.host.versions(), pair(5, 0));
    let dump = bench.host.dump();
    assert_eq!((dump.reading_faults.older, dump.reading_faults.rewritten), (older, rewritten));
}
