//! A host that missed news is told what it lacks, and no more.
#![allow(clippy::unwrap_used)]

mod support;

use domain::Millis;
use published::{
    CatchUp, Change, PublishedState, REREGISTRATION_GRACE_MS, Revision, SOURCE_OUTAGE_MS,
};
use rstest::rstest;
use support::{draining, removed, routing, snapshot, written};

const BEGIN_MS: Millis = Millis(10);

/// A picture as of revision 10.
fn picture() -> PublishedState {
    let mut picture = PublishedState::default();
    let items = vec![routing(1, 7), written(2, "a"), written(3, "b"), written(4, "c")];
    picture.apply_snapshot(BEGIN_MS, snapshot(10, items));
    picture
}

fn take(picture: &mut PublishedState, changes: &[Change]) {
    let after = picture.revision();
    let told = picture.with_routing_patches(changes);
    let revision = Revision(after.0 + 10);
    assert!(picture.apply_changes(Millis(20), after, revision, told).1);
}

#[rstest]
#[case::nothing_changed(&[], 0)]
#[case::an_entry_written(&[written(11, "d")], 1)]
#[case::an_entry_leaving(&[draining(11, "a")], 1)]
#[case::an_entry_removed(&[removed(11, "a")], 1)]
#[case::written_and_removed(&[written(11, "d"), removed(12, "d")], 1)]
#[case::removed_and_written(&[removed(11, "a"), written(12, "a")], 1)]
#[case::the_routing(&[routing(11, 8)], 1)]
#[case::the_routing_twice(&[routing(11, 8), routing(12, 9)], 1)]
#[case::all_of_it(&[routing(11, 8), written(12, "d"), removed(13, "b"), draining(14, "c")], 4)]
fn a_peer_that_missed_it_catches_up(#[case] changes: &[Change], #[case] told: usize) {
    let (mut teller, mut behind) = (picture(), picture());
    take(&mut teller, changes);
    let catch_up = teller.catch_up(behind.known_revisions());
    match &catch_up {
        CatchUp::Changes { changes, .. } => assert_eq!(changes.len(), told, "{changes:?}"),
        CatchUp::Snapshot(_) => panic!("told everything"),
    }
    assert!(behind.apply_catch_up(Millis(30), catch_up).1);
    assert_eq!(behind.digest(), teller.digest());
    assert_eq!(behind.revision(), teller.revision());
    assert_eq!(behind.routing().unwrap().value, teller.routing().unwrap().value);
}

#[test]
fn a_routing_is_told_as_its_difference() {
    let (mut teller, behind) = (picture(), picture());
    take(&mut teller, &[routing(11, 8)]);
    let CatchUp::Changes { changes, .. } = teller.catch_up(behind.known_revisions()) else {
        panic!()
    };
    assert!(matches!(&changes[..], [Change::Patched(_)]), "{changes:?}");
}

#[test]
fn who_holds_nothing_is_told_everything() {
    let teller = picture();
    let mut new = PublishedState::default();
    let CatchUp::Snapshot(everything) = teller.catch_up(new.known_revisions()) else { panic!() };
    assert_eq!(everything.items.len(), 4);
    new.apply_catch_up(Millis(20), CatchUp::Snapshot(everything));
    assert_eq!(new.digest(), teller.digest());
}

#[test]
fn who_holds_another_set_under_the_same_revision_is_told_all_entries_but_no_routing() {
    let (teller, mut other) = (picture(), picture());
    take(&mut other, &[]);
    let mut torn = PublishedState::default();
    torn.apply_snapshot(
        BEGIN_MS,
        snapshot(10, vec![routing(1, 7), written(2, "a"), written(5, "x")]),
    );
    assert_ne!(torn.digest(), teller.digest());
    let CatchUp::Snapshot(everything) = teller.catch_up(torn.known_revisions().without_upstreams())
    else {
        panic!()
    };
    assert_eq!(everything.items.len(), 3, "{everything:?}");
    torn.apply_catch_up(Millis(20), CatchUp::Snapshot(everything));
    assert_eq!(torn.digest(), teller.digest());
}

#[test]
fn a_removal_whose_tombstone_is_gone_is_not_missed() {
    let (mut teller, mut behind) = (picture(), picture());
    take(&mut teller, &[removed(11, "a")]);
    teller.expire(Millis(100_000));
    let catch_up = teller.catch_up(behind.known_revisions());
    assert!(matches!(catch_up, CatchUp::Snapshot(_)), "{catch_up:?}");
    behind.apply_catch_up(Millis(100_001), catch_up);
    // For the one behind the source was away so long; entries may come back.
    behind.expire(Millis(100_001) + REREGISTRATION_GRACE_MS);
    assert_eq!(behind.digest(), teller.digest());
}

/// A teller whose entry `a` lapsed while the source was away, and a peer that missed it.
fn lapsed() -> (PublishedState, PublishedState) {
    let (mut teller, behind) = (picture(), picture());
    let return_ms = BEGIN_MS + SOURCE_OUTAGE_MS + Millis(1);
    teller.apply_changes(return_ms, Revision(10), Revision(11), vec![removed(11, "a")]);
    assert!(teller.upstreams().any(|entry| entry.value.id.as_str() == "a"));
    (teller, behind)
}

#[test]
fn a_lapse_is_told_though_the_teller_still_waits_for_the_return() {
    let (mut teller, mut behind) = lapsed();
    let told_ms = BEGIN_MS + SOURCE_OUTAGE_MS + Millis(100);
    behind.apply_catch_up(told_ms, teller.catch_up(behind.known_revisions()));
    assert_eq!(behind.digest(), teller.digest(), "both wait");
    teller.expire(told_ms + REREGISTRATION_GRACE_MS);
    behind.expire(told_ms + REREGISTRATION_GRACE_MS);
    assert_eq!(behind.digest(), teller.digest(), "both gave it up");
    assert_eq!(behind.upstreams().count(), 2);
}

#[test]
fn who_is_new_is_not_told_of_what_lapsed() {
    let (teller, _) = lapsed();
    let mut new = PublishedState::default();
    new.apply_catch_up(BEGIN_MS + SOURCE_OUTAGE_MS, teller.catch_up(new.known_revisions()));
    assert_eq!(new.upstreams().count(), 2);
    assert_eq!(new.digest(), teller.digest(), "they hold the same of what is published");
}

#[test]
fn giving_up_what_lapsed_sets_nobody_apart() {
    let (mut teller, mut behind) = lapsed();
    let waiting = teller.digest();
    behind.apply_catch_up(
        BEGIN_MS + SOURCE_OUTAGE_MS + Millis(100),
        teller.catch_up(behind.known_revisions()),
    );
    teller.expire(BEGIN_MS + SOURCE_OUTAGE_MS + REREGISTRATION_GRACE_MS + Millis(2));
    assert_eq!(teller.upstreams().count(), 2);
    assert_eq!(behind.upstreams().count(), 3, "it still waits");
    assert_eq!([teller.digest(), behind.digest()], [waiting, waiting]);
}
