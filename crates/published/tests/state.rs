//! The published state never goes back, and entries that expired in an outage are kept long enough.
#![allow(clippy::unwrap_used)]

mod support;

use domain::{Millis, Version};
use published::{
    Change, Entry, Item, PublishedState, REREGISTRATION_GRACE_MS, RemovalCause, Revision,
    SOURCE_OUTAGE_MS, StateChange, Upstream, UpstreamMode,
};
use rstest::rstest;
use std::sync::Arc;
use support::{draining, id, removed, routing, snapshot, written};

/// Applies changes one by one; returns the remaining upstreams in order of their names.
fn after(changes: Vec<Change>) -> Vec<String> {
    let mut state = PublishedState::default();
    for change in changes {
        state.apply_changes(Millis(10), Revision(0), Revision(0), vec![change]);
    }
    names(&state)
}

fn gone(revision: u64, name: &str) -> StateChange {
    let cause = RemovalCause::Deleted;
    StateChange::UpstreamGone { upstream: id(name), revision: Revision(revision), cause }
}

fn names(state: &PublishedState) -> Vec<String> {
    let name = |entry: &Entry<Arc<Upstream>>| {
        let mode = if entry.value.mode == UpstreamMode::Ready { "" } else { "-" };
        format!("{mode}{}", entry.value.id)
    };
    let mut names: Vec<String> = state.upstreams().map(name).collect();
    names.sort();
    names
}

#[rstest]
#[case::in_order(vec![written(1, "a"), draining(2, "a")], &["-a"])]
#[case::late_message_about_an_older_state(vec![draining(2, "a"), written(1, "a")], &["-a"])]
#[case::removed(vec![written(1, "a"), removed(2, "a")], &[])]
#[case::late_message_about_a_removed_entry(vec![written(1, "a"), removed(3, "a"), written(2, "a")], &[])]
#[case::removal_before_its_entry(vec![removed(3, "a"), written(2, "a")], &[])]
#[case::late_removal(vec![written(5, "a"), removed(3, "a")], &["a"])]
#[case::written_again(vec![written(1, "a"), removed(2, "a"), written(3, "a")], &["a"])]
#[case::others_stay(vec![written(1, "a"), written(2, "b"), removed(3, "a")], &["b"])]
fn entries_never_go_back(#[case] changes: Vec<Change>, #[case] left: &[&str]) {
    assert_eq!(after(changes), left);
}

#[rstest]
#[case::newer(vec![routing(1, 10), routing(2, 11)], 11)]
#[case::late(vec![routing(2, 11), routing(1, 10)], 11)]
#[case::smaller_version_under_a_greater_revision(vec![routing(1, 10), routing(2, 9)], 10)]
#[case::twice(vec![routing(1, 10), routing(1, 10)], 10)]
fn routing_never_goes_back(#[case] changes: Vec<Change>, #[case] in_force: u64) {
    let mut state = PublishedState::default();
    for change in changes {
        state.apply_changes(Millis(10), Revision(0), Revision(0), vec![change]);
    }
    assert_eq!(state.routing().unwrap().value.version, Version(in_force));
}

#[test]
fn entries_missing_from_a_snapshot_are_removed() {
    let mut state = PublishedState::default();
    state.apply_snapshot(Millis(10), snapshot(5, vec![written(1, "a"), written(2, "b")]));
    let state_changes = state.apply_snapshot(Millis(20), snapshot(9, vec![written(2, "b")]));
    assert_eq!(names(&state), ["b"]);
    assert_eq!(state_changes, [gone(9, "a")]);
}

#[test]
fn an_older_snapshot_removes_nothing() {
    let mut state = PublishedState::default();
    state.apply_snapshot(Millis(10), snapshot(9, vec![written(7, "a")]));
    state.apply_snapshot(Millis(20), snapshot(5, Vec::new()));
    assert_eq!(names(&state), ["a"]);
}

#[test]
fn an_entry_newer_than_a_snapshot_stays() {
    let mut state = PublishedState::default();
    state.apply_snapshot(Millis(10), snapshot(5, vec![written(1, "a")]));
    state.apply_changes(Millis(11), Revision(5), Revision(5), vec![written(8, "b")]);
    state.apply_snapshot(Millis(20), snapshot(7, vec![written(1, "a")]));
    assert_eq!(names(&state), ["a", "b"]);
}

/// A state that was confirmed at 1 s and next read, with two removals, at `at_ms`.
fn after_outage(at_ms: Millis) -> PublishedState {
    let mut state = PublishedState::default();
    state.apply_snapshot(Millis(1_000), snapshot(5, vec![written(1, "a"), draining(2, "b")]));
    state.apply_changes(at_ms, Revision(5), Revision(9), vec![removed(8, "a"), removed(9, "b")]);
    state
}

#[test]
fn entries_that_expired_during_an_outage_are_kept_for_a_grace_period() {
    let at_ms = Millis(1_001) + SOURCE_OUTAGE_MS;
    let mut state = after_outage(at_ms);
    // The upstream that was leaving is removed at once.
    assert_eq!(names(&state), ["a"]);
    assert!(state.expire(at_ms + REREGISTRATION_GRACE_MS - Millis(1)).is_empty());
    assert_eq!(names(&state), ["a"]);
    let state_changes = state.expire(at_ms + REREGISTRATION_GRACE_MS);
    assert_eq!(state_changes, [gone(8, "a")]);
    assert!(names(&state).is_empty());
}

#[test]
fn an_entry_that_is_registered_again_stays() {
    let at_ms = Millis(1_001) + SOURCE_OUTAGE_MS;
    let mut state = after_outage(at_ms);
    let (state_changes, _) =
        state.apply_changes(at_ms, Revision(9), Revision(10), vec![written(10, "a")]);
    assert_eq!(
        state_changes,
        [StateChange::UpstreamReturned { upstream: id("a"), revision: Revision(10) }]
    );
    assert!(state.expire(at_ms + REREGISTRATION_GRACE_MS).is_empty());
    assert_eq!(names(&state), ["a"]);
}

#[test]
fn without_an_outage_a_removal_takes_effect_at_once() {
    assert!(names(&after_outage(Millis(1_000) + SOURCE_OUTAGE_MS)).is_empty());
}

#[test]
fn long_after_an_outage_a_removal_takes_effect_at_once() {
    let at_ms = Millis(1_001) + SOURCE_OUTAGE_MS;
    let mut state = PublishedState::default();
    state.apply_snapshot(Millis(1_000), snapshot(5, vec![written(1, "a")]));
    state.confirm(at_ms, Revision(5));
    for step in 0..4 {
        state.confirm(at_ms + Millis(700 * step), Revision(5));
    }
    let late_ms = at_ms + REREGISTRATION_GRACE_MS;
    state.apply_changes(late_ms, Revision(5), Revision(6), vec![removed(6, "a")]);
    assert!(names(&state).is_empty());
}

#[test]
fn a_gap_is_reported_and_confirms_nothing() {
    let mut state = PublishedState::default();
    state.apply_snapshot(Millis(10), snapshot(5, vec![written(1, "a")]));
    let (_, is_gapless) =
        state.apply_changes(Millis(500), Revision(7), Revision(9), vec![written(9, "b")]);
    assert!(!is_gapless);
    assert_eq!(state.revision(), Revision(5));
    assert_eq!(state.confirmed_ms(), Some(Millis(10)));
    assert_eq!(names(&state), ["a", "b"]);
}

#[test]
fn a_confirmation_of_an_unknown_revision_is_ignored() {
    let mut state = PublishedState::default();
    state.apply_snapshot(Millis(10), snapshot(5, Vec::new()));
    state.confirm(Millis(500), Revision(6));
    assert_eq!(state.confirmed_ms(), Some(Millis(10)));
    state.confirm(Millis(500), Revision(5));
    assert_eq!(state.confirmed_ms(), Some(Millis(500)));
    state.confirm(Millis(400), Revision(5));
    assert_eq!(state.confirmed_ms(), Some(Millis(500)));
}

#[test]
fn a_snapshot_gives_a_peer_the_same_state() {
    let mut state = PublishedState::default();
    let items = vec![routing(1, 3), written(2, "a"), draining(3, "b")];
    state.apply_snapshot(Millis(10), snapshot(5, items));
    let mut peer = PublishedState::default();
    assert_ne!(peer.digest(), state.digest());
    peer.apply_snapshot(Millis(20), state.snapshot());
    assert_eq!(peer.digest(), state.digest());
    assert_eq!(peer.revision(), state.revision());
    assert_eq!(names(&peer), names(&state));
}

fn route(name: &str, timeout_ms: u64) -> published::Route {
    published::Route {
        name: name.to_owned(),
        host: "a.example".to_owned(),
        prefix: format!("/{name}/"),
        idempotency: published::Idempotency::Idempotent,
        objective_ms: Millis(400),
        timeout_ms: Millis(timeout_ms),
        attempts: 2,
        priority: 0,
        is_public: false,
        split: Vec::new(),
    }
}

fn routing_with(revision: u64, routes: Vec<published::Route>) -> Change {
    let Change::Written(Entry { value: Item::Routing(empty), .. }) = routing(revision, revision)
    else {
        unreachable!("`routing` writes a routing");
    };
    let full = published::Routing { routes, ..(*empty).clone() };
    Change::Written(Entry { revision: Revision(revision), value: Item::Routing(Arc::new(full)) })
}

fn routes(state: &PublishedState) -> Vec<(String, u64)> {
    let routes = &state.routing().unwrap().value.routes;
    let mut routes: Vec<(String, u64)> =
        routes.iter().map(|route| (route.name.clone(), route.timeout_ms.0)).collect();
    routes.sort();
    routes
}

#[test]
fn a_patched_routing_equals_the_new_one() {
    let old = routing_with(1, vec![route("a", 100), route("b", 100), route("c", 100)]);
    let new = routing_with(2, vec![route("a", 100), route("b", 200), route("d", 100)]);
    let newest = routing_with(3, vec![route("a", 100), route("b", 300)]);
    let mut reader = PublishedState::default();
    let mut peer = PublishedState::default();
    for state in [&mut reader, &mut peer] {
        state.apply_changes(Millis(1), Revision(0), Revision(1), vec![old.clone()]);
    }
    let changes = vec![new, newest];
    let patched = reader.with_routing_patches(&changes);
    assert!(patched.iter().all(|change| matches!(change, Change::Patched(_))), "{patched:?}");
    reader.apply_changes(Millis(2), Revision(1), Revision(3), changes);
    let (_, is_gapless) = peer.apply_changes(Millis(2), Revision(1), Revision(3), patched);
    assert!(is_gapless);
    assert_eq!(routes(&peer), routes(&reader));
    assert_eq!(routes(&peer), [("a".to_owned(), 100), ("b".to_owned(), 300)]);
    assert_eq!(peer.digest(), reader.digest());
}

#[test]
fn a_patch_of_an_unknown_routing_is_a_gap() {
    let old = routing_with(1, vec![route("a", 100)]);
    let new = routing_with(2, vec![route("b", 100)]);
    let mut reader = PublishedState::default();
    reader.apply_changes(Millis(1), Revision(0), Revision(1), vec![old]);
    let patched = reader.with_routing_patches(&[new]);
    let mut peer = PublishedState::default();
    let (state_changes, is_gapless) =
        peer.apply_changes(Millis(2), Revision(0), Revision(2), patched);
    assert!(state_changes.is_empty());
    assert!(!is_gapless);
    assert_eq!(peer.revision(), Revision(0));
}

#[test]
fn a_routing_with_equal_route_names_is_not_patched() {
    let mut second = route("a", 300);
    second.prefix = "/other/".to_owned();
    let old = routing_with(1, vec![route("a", 100)]);
    let new = routing_with(2, vec![route("a", 100), second]);
    let mut reader = PublishedState::default();
    reader.apply_changes(Millis(1), Revision(0), Revision(1), vec![old.clone()]);
    let patched = reader.with_routing_patches(&[new]);
    assert!(matches!(&patched[..], [Change::Written(_)]), "{patched:?}");
    reader.apply_changes(Millis(2), Revision(1), Revision(2), patched);
    assert_eq!(routes(&reader).len(), 2);
}
