//! An upstream that starts again under its id, and entries that name no upstream.
#![allow(clippy::unwrap_used)]

mod support;

use domain::Millis;
use published::{
    Change, PublishedState, REREGISTRATION_GRACE_MS, RemovalCause, Revision, RunStart,
    SOURCE_OUTAGE_MS, Snapshot, StateChange,
};
use rstest::rstest;
use support::{draining, id, of_run, overwritten, removal, removed, snapshot, written};

fn start(start_ms: u64) -> RunStart {
    RunStart(Some(Millis(start_ms)))
}

fn restarted(revision: u64, former_ms: u64, now_ms: u64) -> StateChange {
    StateChange::UpstreamRestarted {
        upstream: id("a"),
        revision: Revision(revision),
        former_start_ms: start(former_ms),
        start_ms: start(now_ms),
    }
}

/// The run that is believed after these changes; none if there is no entry.
fn run_after(changes: Vec<Change>) -> Option<RunStart> {
    let mut picture = PublishedState::default();
    for change in changes {
        picture.apply_changes(Millis(10), Revision(0), Revision(0), vec![change]);
    }
    picture.upstream(&id("a")).map(|entry| entry.value.run)
}

#[rstest]
#[case::later_run(vec![of_run(1, "a", 100), of_run(2, "a", 200)], Some(start(200)))]
#[case::late_words_of_the_former_run(
    vec![of_run(1, "a", 100), of_run(2, "a", 200), of_run(3, "a", 100)],
    Some(start(200)),
)]
#[case::out_of_order(vec![of_run(2, "a", 100), of_run(1, "a", 200)], Some(start(200)))]
#[case::a_start_that_is_not_told_is_the_same_run(
    vec![of_run(1, "a", 100), written(2, "a")],
    Some(start(100)),
)]
#[case::a_start_that_is_told_later(vec![written(1, "a"), of_run(2, "a", 100)], Some(start(100)))]
#[case::late_words_after_its_removal(
    vec![of_run(1, "a", 200), removed(2, "a"), of_run(3, "a", 100)],
    None,
)]
#[case::late_words_after_two_removals(
    vec![of_run(1, "a", 200), removed(2, "a"), removed(3, "a"), of_run(4, "a", 100)],
    None,
)]
#[case::a_later_run_after_its_removal(
    vec![of_run(1, "a", 100), removed(2, "a"), of_run(3, "a", 200)],
    Some(start(200)),
)]
#[case::a_later_run_that_was_removed_since(
    vec![of_run(1, "a", 100), removed(3, "a"), of_run(2, "a", 200)],
    None,
)]
fn the_latest_run_is_believed(#[case] changes: Vec<Change>, #[case] run: Option<RunStart>) {
    assert_eq!(run_after(changes), run);
}

#[test]
fn a_restart_is_told_once_with_both_starts() {
    let mut picture = PublishedState::default();
    picture.apply_snapshot(Millis(10), snapshot(1, vec![of_run(1, "a", 100)]));
    let take = |picture: &mut PublishedState, revision, change| {
        picture
            .apply_changes(Millis(20), Revision(revision - 1), Revision(revision), vec![change])
            .0
    };
    assert_eq!(take(&mut picture, 2, of_run(2, "a", 200)), [restarted(2, 100, 200)]);
    assert_eq!(take(&mut picture, 3, of_run(3, "a", 200)), []);
    assert_eq!(take(&mut picture, 4, written(4, "a")), []);
    assert_eq!(take(&mut picture, 5, of_run(5, "a", 300)), [restarted(5, 200, 300)]);
}

#[test]
fn a_run_that_begins_while_its_former_was_leaving_takes_work() {
    let mut picture = PublishedState::default();
    picture.apply_snapshot(Millis(10), snapshot(2, vec![of_run(1, "a", 100)]));
    picture.apply_changes(Millis(11), Revision(2), Revision(3), vec![draining(3, "a")]);
    let (state_changes, _) =
        picture.apply_changes(Millis(12), Revision(3), Revision(4), vec![of_run(4, "a", 200)]);
    let joined = StateChange::UpstreamJoined { upstream: id("a"), revision: Revision(4) };
    assert_eq!(state_changes, [restarted(4, 100, 200), joined]);
}

#[test]
fn a_run_that_begins_while_its_former_had_lapsed_is_back() {
    let mut picture = PublishedState::default();
    picture.apply_snapshot(Millis(1_000), snapshot(5, vec![of_run(1, "a", 100)]));
    let at_ms = Millis(1_001) + SOURCE_OUTAGE_MS;
    picture.apply_changes(at_ms, Revision(5), Revision(6), vec![removed(6, "a")]);
    let (state_changes, _) =
        picture.apply_changes(at_ms, Revision(6), Revision(7), vec![of_run(7, "a", 200)]);
    let returned = StateChange::UpstreamReturned { upstream: id("a"), revision: Revision(7) };
    assert_eq!(state_changes, [restarted(7, 100, 200), returned]);
    assert!(picture.expire(at_ms + REREGISTRATION_GRACE_MS).is_empty());
    assert!(picture.upstream(&id("a")).is_some());
}

#[test]
fn a_restart_reaches_a_peer_by_a_whole_picture_and_by_changes() {
    let mut teller = PublishedState::default();
    teller.apply_snapshot(Millis(10), snapshot(1, vec![of_run(1, "a", 100)]));
    let mut peer = PublishedState::default();
    peer.apply_snapshot(Millis(10), teller.snapshot());
    teller.apply_changes(Millis(11), Revision(1), Revision(2), vec![of_run(2, "a", 200)]);
    let (state_changes, _) =
        peer.apply_catch_up(Millis(12), teller.catch_up(peer.known_revisions()));
    assert_eq!(state_changes, [restarted(2, 100, 200)]);
    // One that took the former run's late words for the newest is set right by either way.
    let mut misled = PublishedState::default();
    misled.apply_snapshot(Millis(10), snapshot(3, vec![of_run(3, "a", 100)]));
    misled
        .apply_catch_up(Millis(12), teller.catch_up(misled.known_revisions().without_upstreams()));
    assert_eq!(misled.upstream(&id("a")).unwrap().value.run, start(200));
}

/// A picture that was read again after the source was away: what is removed now may come back.
fn returned() -> (PublishedState, Millis) {
    let mut picture = PublishedState::default();
    picture.apply_snapshot(Millis(1_000), snapshot(5, vec![written(1, "a"), written(2, "b")]));
    let at_ms = Millis(1_001) + SOURCE_OUTAGE_MS;
    picture.confirm(at_ms, Revision(5));
    (picture, at_ms)
}

#[rstest]
#[case::as_a_change(None)]
#[case::in_a_whole_reading(Some(snapshot(6, vec![written(2, "b")])))]
fn an_entry_that_names_no_upstream_ends_the_former_at_once(#[case] reading: Option<Snapshot>) {
    let (mut picture, at_ms) = returned();
    let state_changes = match reading {
        None => {
            let changes = vec![overwritten(6, "a")];
            picture.apply_changes(at_ms, Revision(5), Revision(6), changes).0
        }
        Some(snapshot) => {
            let overwritten = vec![removal(6, "a", RemovalCause::Overwritten)];
            picture.apply_snapshot(at_ms, Snapshot { overwritten, ..snapshot })
        }
    };
    let cause = RemovalCause::Overwritten;
    let gone = StateChange::UpstreamGone { upstream: id("a"), revision: Revision(6), cause };
    assert_eq!(state_changes, [gone]);
    assert!(picture.upstream(&id("a")).is_none());
    assert!(picture.upstream(&id("b")).is_some());
    assert_eq!(picture.revision(), Revision(6));
}

#[test]
fn one_that_had_lapsed_is_waited_for_no_more() {
    let (mut picture, at_ms) = returned();
    picture.apply_changes(at_ms, Revision(5), Revision(6), vec![removed(6, "a")]);
    assert!(picture.upstream(&id("a")).is_some());
    picture.apply_changes(at_ms, Revision(6), Revision(7), vec![overwritten(7, "a")]);
    assert!(picture.upstream(&id("a")).is_none());
}

#[test]
fn what_is_written_over_it_takes_work_again() {
    let (mut picture, at_ms) = returned();
    picture.apply_changes(at_ms, Revision(5), Revision(6), vec![overwritten(6, "a")]);
    picture.apply_changes(at_ms, Revision(6), Revision(7), vec![written(7, "a")]);
    assert!(picture.upstream(&id("a")).is_some());
}

#[rstest]
#[case::by_changes(false)]
#[case::by_a_whole_picture(true)]
fn a_peer_ends_it_at_once_too(#[case] is_complete: bool) {
    let (mut teller, at_ms) = returned();
    let (mut peer, _) = returned();
    teller.apply_changes(at_ms, Revision(5), Revision(6), vec![overwritten(6, "a")]);
    let held = if is_complete {
        peer.known_revisions().without_upstreams()
    } else {
        peer.known_revisions()
    };
    peer.apply_catch_up(at_ms, teller.catch_up(held));
    assert!(peer.upstream(&id("a")).is_none());
    assert_eq!(peer.digest(), teller.digest());
}
