//! A host that missed changes gets what it lacks, and no more.
#![allow(clippy::unwrap_used)]

mod support;

use domain::Millis;
use published::{
    CatchUp, Change, PublishedState, REREGISTRATION_GRACE_MS, Revision, SOURCE_OUTAGE_MS,
};
use rstest::rstest;
use support::{draining, removed, routing, snapshot, written};

const BEGIN_MS: Millis = Millis(10);

/// A state at revision 10.
fn state_at_10() -> PublishedState {
    let mut state = PublishedState::default();
    let items = vec![routing(1, 7), written(2, "a"), written(3, "b"), written(4, "c")];
    state.apply_snapshot(BEGIN_MS, snapshot(10, items));
    state
}

fn apply(state: &mut PublishedState, changes: &[Change]) {
    let after = state.revision();
    let patched = state.with_routing_patches(changes);
    let revision = Revision(after.0 + 10);
    assert!(state.apply_changes(Millis(20), after, revision, patched).1);
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
fn a_host_that_missed_changes_catches_up(
    #[case] changes: &[Change],
    #[case] expected_count: usize,
) {
    let (mut peer, mut behind) = (state_at_10(), state_at_10());
    apply(&mut peer, changes);
    let catch_up = peer.catch_up(behind.known_revisions());
    match &catch_up {
        CatchUp::Changes { changes, .. } => {
            assert_eq!(changes.len(), expected_count, "{changes:?}")
        }
        CatchUp::Snapshot(_) => panic!("a full snapshot was sent"),
    }
    assert!(behind.apply_catch_up(Millis(30), catch_up).1);
    assert_eq!(behind.digest(), peer.digest());
    assert_eq!(behind.revision(), peer.revision());
    assert_eq!(behind.routing().unwrap().value, peer.routing().unwrap().value);
}

#[test]
fn a_routing_is_sent_as_a_patch() {
    let (mut peer, behind) = (state_at_10(), state_at_10());
    apply(&mut peer, &[routing(11, 8)]);
    let CatchUp::Changes { changes, .. } = peer.catch_up(behind.known_revisions()) else {
        panic!()
    };
    assert!(matches!(&changes[..], [Change::Patched(_)]), "{changes:?}");
}

#[test]
fn a_new_host_gets_a_full_snapshot() {
    let peer = state_at_10();
    let mut new = PublishedState::default();
    let CatchUp::Snapshot(sent) = peer.catch_up(new.known_revisions()) else { panic!() };
    assert_eq!(sent.items.len(), 4);
    new.apply_catch_up(Millis(20), CatchUp::Snapshot(sent));
    assert_eq!(new.digest(), peer.digest());
}

#[test]
fn a_host_with_a_different_digest_gets_all_entries_but_no_routing() {
    let (peer, mut other) = (state_at_10(), state_at_10());
    apply(&mut other, &[]);
    let mut differing = PublishedState::default();
    differing.apply_snapshot(
        BEGIN_MS,
        snapshot(10, vec![routing(1, 7), written(2, "a"), written(5, "x")]),
    );
    assert_ne!(differing.digest(), peer.digest());
    let CatchUp::Snapshot(sent) = peer.catch_up(differing.known_revisions().without_upstreams())
    else {
        panic!()
    };
    assert_eq!(sent.items.len(), 3, "{sent:?}");
    differing.apply_catch_up(Millis(20), CatchUp::Snapshot(sent));
    assert_eq!(differing.digest(), peer.digest());
}

#[test]
fn a_removal_without_tombstone_is_sent_by_a_full_snapshot() {
    let (mut peer, mut behind) = (state_at_10(), state_at_10());
    apply(&mut peer, &[removed(11, "a")]);
    peer.expire(Millis(100_000));
    let catch_up = peer.catch_up(behind.known_revisions());
    assert!(matches!(catch_up, CatchUp::Snapshot(_)), "{catch_up:?}");
    behind.apply_catch_up(Millis(100_001), catch_up);
    // To the host that is behind, this looks like an outage, so the entry lapses first.
    behind.expire(Millis(100_001) + REREGISTRATION_GRACE_MS);
    assert_eq!(behind.digest(), peer.digest());
}

/// A peer whose entry `a` lapsed after an outage, and a host that missed the removal.
fn lapsed() -> (PublishedState, PublishedState) {
    let (mut peer, behind) = (state_at_10(), state_at_10());
    let return_ms = BEGIN_MS + SOURCE_OUTAGE_MS + Millis(1);
    peer.apply_changes(return_ms, Revision(10), Revision(11), vec![removed(11, "a")]);
    assert!(peer.upstreams().any(|entry| entry.value.id.as_str() == "a"));
    (peer, behind)
}

#[test]
fn a_lapsed_entry_is_sent_as_removed_during_its_grace_period() {
    let (mut peer, mut behind) = lapsed();
    let fetched_ms = BEGIN_MS + SOURCE_OUTAGE_MS + Millis(100);
    behind.apply_catch_up(fetched_ms, peer.catch_up(behind.known_revisions()));
    assert_eq!(behind.digest(), peer.digest(), "both keep the lapsed entry");
    peer.expire(fetched_ms + REREGISTRATION_GRACE_MS);
    behind.expire(fetched_ms + REREGISTRATION_GRACE_MS);
    assert_eq!(behind.digest(), peer.digest(), "both dropped it");
    assert_eq!(behind.upstreams().count(), 2);
}

#[test]
fn a_new_host_gets_no_lapsed_entries() {
    let (peer, _) = lapsed();
    let mut new = PublishedState::default();
    new.apply_catch_up(BEGIN_MS + SOURCE_OUTAGE_MS, peer.catch_up(new.known_revisions()));
    assert_eq!(new.upstreams().count(), 2);
    assert_eq!(new.digest(), peer.digest(), "lapsed entries are not part of the digest");
}

#[test]
fn dropping_a_lapsed_entry_keeps_the_digest() {
    let (mut peer, mut behind) = lapsed();
    let waiting = peer.digest();
    behind.apply_catch_up(
        BEGIN_MS + SOURCE_OUTAGE_MS + Millis(100),
        peer.catch_up(behind.known_revisions()),
    );
    peer.expire(BEGIN_MS + SOURCE_OUTAGE_MS + REREGISTRATION_GRACE_MS + Millis(2));
    assert_eq!(peer.upstreams().count(), 2);
    assert_eq!(behind.upstreams().count(), 3, "it still keeps the lapsed entry");
    assert_eq!([peer.digest(), behind.digest()], [waiting, waiting]);
}
