//! Upstreams that restart under their id, and entries that are overwritten by invalid values.
#![allow(clippy::unwrap_used)]

mod support;

use domain::Millis;
use published::{
    Change, Item, PublishedState, REREGISTRATION_GRACE_MS, RemovalCause, Revision, RunStart,
    SOURCE_OUTAGE_MS, Snapshot, StateChange, UpstreamMode,
};
use rstest::rstest;
use std::sync::Arc;
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

/// The run of the entry after some changes; `None` if there is no entry.
fn run_after(changes: Vec<Change>) -> Option<RunStart> {
    let mut state = PublishedState::default();
    for change in changes {
        state.apply_changes(Millis(10), Revision(0), Revision(0), vec![change]);
    }
    state.upstream(&id("a")).map(|entry| entry.value.run)
}

#[rstest]
#[case::later_run(vec![of_run(1, "a", 100), of_run(2, "a", 200)], Some(start(200)))]
#[case::late_entry_of_the_former_run(
    vec![of_run(1, "a", 100), of_run(2, "a", 200), of_run(3, "a", 100)],
    Some(start(200)),
)]
#[case::out_of_order(vec![of_run(2, "a", 100), of_run(1, "a", 200)], Some(start(200)))]
#[case::a_missing_start_means_the_same_run(
    vec![of_run(1, "a", 100), written(2, "a")],
    Some(start(100)),
)]
#[case::a_start_that_is_stated_later(vec![written(1, "a"), of_run(2, "a", 100)], Some(start(100)))]
#[case::late_entry_after_its_removal(
    vec![of_run(1, "a", 200), removed(2, "a"), of_run(3, "a", 100)],
    None,
)]
#[case::late_entry_after_two_removals(
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
fn the_latest_run_is_kept(#[case] changes: Vec<Change>, #[case] run: Option<RunStart>) {
    assert_eq!(run_after(changes), run);
}

/// An entry of a run that says that it is leaving.
fn leaving_run(revision: u64, start_ms: u64) -> Change {
    let Change::Written(mut entry) = of_run(revision, "a", start_ms) else { unreachable!() };
    if let Item::Upstream(upstream) = &mut entry.value {
        Arc::make_mut(upstream).mode = UpstreamMode::Draining;
    }
    Change::Written(entry)
}

/// Guards against an upstream that gets requests though the source has acknowledged that it leaves:
/// its clock was set back before it restarted, so its entries look like those of an earlier run.
#[rstest]
#[case::set_back(
    vec![of_run(1, "a", 200), of_run(2, "a", 100), leaving_run(3, 100)],
    Some(UpstreamMode::Draining),
)]
#[case::set_back_and_only_its_last_write_is_seen(
    vec![of_run(1, "a", 200), leaving_run(3, 100)],
    Some(UpstreamMode::Draining),
)]
#[case::set_back_and_out_of_order(
    vec![leaving_run(3, 100), of_run(1, "a", 200)],
    Some(UpstreamMode::Draining),
)]
#[case::set_back_and_gone(
    vec![of_run(1, "a", 200), leaving_run(3, 100), removed(4, "a")],
    None,
)]
#[case::an_older_write_that_is_late(
    vec![of_run(5, "a", 200), leaving_run(3, 100)],
    Some(UpstreamMode::Ready),
)]
#[case::a_late_write_of_the_former_run_is_taken_back(
    vec![of_run(1, "a", 200), leaving_run(2, 100), of_run(3, "a", 200)],
    Some(UpstreamMode::Ready),
)]
#[case::a_later_run_that_leaves(
    vec![of_run(1, "a", 100), leaving_run(2, 200)],
    Some(UpstreamMode::Draining),
)]
fn the_newest_word_that_an_upstream_leaves_counts(
    #[case] changes: Vec<Change>,
    #[case] expected: Option<UpstreamMode>,
) {
    let mut state = PublishedState::default();
    for change in changes {
        state.apply_changes(Millis(10), Revision(0), Revision(0), vec![change]);
    }
    assert_eq!(state.upstream(&id("a")).map(|entry| entry.value.mode), expected);
}

/// Guards against hosts that go on differing on whether an upstream leaves, as one of them has seen
/// its earlier entries and the other has not.
#[test]
fn hosts_that_saw_different_entries_agree_that_an_upstream_leaves() {
    let mut informed = PublishedState::default();
    informed.apply_snapshot(Millis(10), snapshot(1, vec![of_run(1, "a", 200)]));
    informed.apply_changes(Millis(11), Revision(1), Revision(3), vec![leaving_run(3, 100)]);
    let mut started = PublishedState::default();
    started.apply_snapshot(Millis(12), snapshot(3, vec![leaving_run(3, 100)]));
    let known = started.known_revisions().without_upstreams();
    started.apply_catch_up(Millis(13), informed.catch_up(known));
    assert_eq!(started.upstream(&id("a")), informed.upstream(&id("a")));
    assert_eq!(started.upstream(&id("a")).unwrap().value.mode, UpstreamMode::Draining);
}

#[test]
fn a_restart_is_reported_once_with_both_starts() {
    let mut state = PublishedState::default();
    state.apply_snapshot(Millis(10), snapshot(1, vec![of_run(1, "a", 100)]));
    let apply = |state: &mut PublishedState, revision, change| {
        state.apply_changes(Millis(20), Revision(revision - 1), Revision(revision), vec![change]).0
    };
    assert_eq!(apply(&mut state, 2, of_run(2, "a", 200)), [restarted(2, 100, 200)]);
    assert_eq!(apply(&mut state, 3, of_run(3, "a", 200)), []);
    assert_eq!(apply(&mut state, 4, written(4, "a")), []);
    assert_eq!(apply(&mut state, 5, of_run(5, "a", 300)), [restarted(5, 200, 300)]);
}

#[test]
fn a_new_run_after_a_draining_one_accepts_requests() {
    let mut state = PublishedState::default();
    state.apply_snapshot(Millis(10), snapshot(2, vec![of_run(1, "a", 100)]));
    state.apply_changes(Millis(11), Revision(2), Revision(3), vec![draining(3, "a")]);
    let (state_changes, _) =
        state.apply_changes(Millis(12), Revision(3), Revision(4), vec![of_run(4, "a", 200)]);
    let joined = StateChange::UpstreamJoined { upstream: id("a"), revision: Revision(4) };
    assert_eq!(state_changes, [restarted(4, 100, 200), joined]);
}

#[test]
fn a_new_run_after_a_lapsed_one_has_returned() {
    let mut state = PublishedState::default();
    state.apply_snapshot(Millis(1_000), snapshot(5, vec![of_run(1, "a", 100)]));
    let at_ms = Millis(1_001) + SOURCE_OUTAGE_MS;
    state.apply_changes(at_ms, Revision(5), Revision(6), vec![removed(6, "a")]);
    let (state_changes, _) =
        state.apply_changes(at_ms, Revision(6), Revision(7), vec![of_run(7, "a", 200)]);
    let returned = StateChange::UpstreamReturned { upstream: id("a"), revision: Revision(7) };
    assert_eq!(state_changes, [restarted(7, 100, 200), returned]);
    assert!(state.expire(at_ms + REREGISTRATION_GRACE_MS).is_empty());
    assert!(state.upstream(&id("a")).is_some());
}

#[test]
fn a_restart_reaches_a_peer_by_a_snapshot_and_by_changes() {
    let mut informed = PublishedState::default();
    informed.apply_snapshot(Millis(10), snapshot(1, vec![of_run(1, "a", 100)]));
    let mut peer = PublishedState::default();
    peer.apply_snapshot(Millis(10), informed.snapshot());
    informed.apply_changes(Millis(11), Revision(1), Revision(2), vec![of_run(2, "a", 200)]);
    let (state_changes, _) =
        peer.apply_catch_up(Millis(12), informed.catch_up(peer.known_revisions()));
    assert_eq!(state_changes, [restarted(2, 100, 200)]);
    // A peer that has a later entry of the former run is corrected.
    let mut behind = PublishedState::default();
    behind.apply_snapshot(Millis(10), snapshot(3, vec![of_run(3, "a", 100)]));
    behind.apply_catch_up(
        Millis(12),
        informed.catch_up(behind.known_revisions().without_upstreams()),
    );
    assert_eq!(behind.upstream(&id("a")).unwrap().value.run, start(200));
}

/// A state just after an outage, in which removed entries get a grace period.
fn after_outage() -> (PublishedState, Millis) {
    let mut state = PublishedState::default();
    state.apply_snapshot(Millis(1_000), snapshot(5, vec![written(1, "a"), written(2, "b")]));
    let at_ms = Millis(1_001) + SOURCE_OUTAGE_MS;
    state.confirm(at_ms, Revision(5));
    (state, at_ms)
}

#[rstest]
#[case::as_a_change(None)]
#[case::in_a_snapshot(Some(snapshot(6, vec![written(2, "b")])))]
fn an_overwritten_entry_is_removed_at_once(#[case] new_snapshot: Option<Snapshot>) {
    let (mut state, at_ms) = after_outage();
    let state_changes = match new_snapshot {
        None => {
            let changes = vec![overwritten(6, "a")];
            state.apply_changes(at_ms, Revision(5), Revision(6), changes).0
        }
        Some(snapshot) => {
            let overwritten = vec![removal(6, "a", RemovalCause::Overwritten)];
            state.apply_snapshot(at_ms, Snapshot { overwritten, ..snapshot })
        }
    };
    let cause = RemovalCause::Overwritten;
    let gone = StateChange::UpstreamGone { upstream: id("a"), revision: Revision(6), cause };
    assert_eq!(state_changes, [gone]);
    assert!(state.upstream(&id("a")).is_none());
    assert!(state.upstream(&id("b")).is_some());
    assert_eq!(state.revision(), Revision(6));
}

#[test]
fn overwriting_a_lapsed_entry_removes_it() {
    let (mut state, at_ms) = after_outage();
    state.apply_changes(at_ms, Revision(5), Revision(6), vec![removed(6, "a")]);
    assert!(state.upstream(&id("a")).is_some());
    state.apply_changes(at_ms, Revision(6), Revision(7), vec![overwritten(7, "a")]);
    assert!(state.upstream(&id("a")).is_none());
}

#[test]
fn an_overwritten_entry_may_be_written_again() {
    let (mut state, at_ms) = after_outage();
    state.apply_changes(at_ms, Revision(5), Revision(6), vec![overwritten(6, "a")]);
    state.apply_changes(at_ms, Revision(6), Revision(7), vec![written(7, "a")]);
    assert!(state.upstream(&id("a")).is_some());
}

#[rstest]
#[case::by_changes(false)]
#[case::by_a_full_snapshot(true)]
fn a_peer_removes_an_overwritten_entry_at_once(#[case] fetches_snapshot: bool) {
    let (mut informed, at_ms) = after_outage();
    let (mut peer, _) = after_outage();
    informed.apply_changes(at_ms, Revision(5), Revision(6), vec![overwritten(6, "a")]);
    let known = if fetches_snapshot {
        peer.known_revisions().without_upstreams()
    } else {
        peer.known_revisions()
    };
    peer.apply_catch_up(at_ms, informed.catch_up(known));
    assert!(peer.upstream(&id("a")).is_none());
    assert_eq!(peer.digest(), informed.digest());
}
