//! What is believed moves forward only, and nothing that lapsed is dropped too soon.
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

/// Applies changes one by one at one moment; returns who is left, in order.
fn after(changes: Vec<Change>) -> Vec<String> {
    let mut picture = PublishedState::default();
    for change in changes {
        picture.apply_changes(Millis(10), Revision(0), Revision(0), vec![change]);
    }
    names(&picture)
}

fn gone(revision: u64, name: &str) -> StateChange {
    let cause = RemovalCause::Deleted;
    StateChange::UpstreamGone { upstream: id(name), revision: Revision(revision), cause }
}

fn names(picture: &PublishedState) -> Vec<String> {
    let name = |entry: &Entry<Arc<Upstream>>| {
        let mode = if entry.value.mode == UpstreamMode::Ready { "" } else { "-" };
        format!("{mode}{}", entry.value.id)
    };
    let mut names: Vec<String> = picture.upstreams().map(name).collect();
    names.sort();
    names
}

#[rstest]
#[case::in_order(vec![written(1, "a"), draining(2, "a")], &["-a"])]
#[case::late_news_of_an_older_state(vec![draining(2, "a"), written(1, "a")], &["-a"])]
#[case::removed(vec![written(1, "a"), removed(2, "a")], &[])]
#[case::late_news_of_a_removed_entry(vec![written(1, "a"), removed(3, "a"), written(2, "a")], &[])]
#[case::removal_before_its_entry(vec![removed(3, "a"), written(2, "a")], &[])]
#[case::late_removal(vec![written(5, "a"), removed(3, "a")], &["a"])]
#[case::written_anew(vec![written(1, "a"), removed(2, "a"), written(3, "a")], &["a"])]
#[case::others_are_left_alone(vec![written(1, "a"), written(2, "b"), removed(3, "a")], &["b"])]
fn entries_move_forward_only(#[case] changes: Vec<Change>, #[case] left: &[&str]) {
    assert_eq!(after(changes), left);
}

#[rstest]
#[case::newer(vec![routing(1, 10), routing(2, 11)], 11)]
#[case::late(vec![routing(2, 11), routing(1, 10)], 11)]
#[case::smaller_version_under_a_greater_revision(vec![routing(1, 10), routing(2, 9)], 10)]
#[case::twice(vec![routing(1, 10), routing(1, 10)], 10)]
fn routing_never_goes_back(#[case] changes: Vec<Change>, #[case] in_force: u64) {
    let mut picture = PublishedState::default();
    for change in changes {
        picture.apply_changes(Millis(10), Revision(0), Revision(0), vec![change]);
    }
    assert_eq!(picture.routing().unwrap().value.version, Version(in_force));
}

#[test]
fn missing_entries_of_a_whole_reading_are_gone() {
    let mut picture = PublishedState::default();
    picture.apply_snapshot(Millis(10), snapshot(5, vec![written(1, "a"), written(2, "b")]));
    let state_changes = picture.apply_snapshot(Millis(20), snapshot(9, vec![written(2, "b")]));
    assert_eq!(names(&picture), ["b"]);
    assert_eq!(state_changes, [gone(9, "a")]);
}

#[test]
fn an_older_whole_reading_removes_nothing() {
    let mut picture = PublishedState::default();
    picture.apply_snapshot(Millis(10), snapshot(9, vec![written(7, "a")]));
    picture.apply_snapshot(Millis(20), snapshot(5, Vec::new()));
    assert_eq!(names(&picture), ["a"]);
}

#[test]
fn an_entry_newer_than_a_whole_reading_stays() {
    let mut picture = PublishedState::default();
    picture.apply_snapshot(Millis(10), snapshot(5, vec![written(1, "a")]));
    picture.apply_changes(Millis(11), Revision(5), Revision(5), vec![written(8, "b")]);
    picture.apply_snapshot(Millis(20), snapshot(7, vec![written(1, "a")]));
    assert_eq!(names(&picture), ["a", "b"]);
}

/// A picture that was last confirmed at 1 s and read again after the source was away.
fn returned(at_ms: Millis) -> PublishedState {
    let mut picture = PublishedState::default();
    picture.apply_snapshot(Millis(1_000), snapshot(5, vec![written(1, "a"), draining(2, "b")]));
    picture.apply_changes(at_ms, Revision(5), Revision(9), vec![removed(8, "a"), removed(9, "b")]);
    picture
}

#[test]
fn what_lapsed_while_the_source_was_away_is_kept_for_its_return() {
    let at_ms = Millis(1_001) + SOURCE_OUTAGE_MS;
    let mut picture = returned(at_ms);
    // One that had said it was leaving is gone for good.
    assert_eq!(names(&picture), ["a"]);
    assert!(picture.expire(at_ms + REREGISTRATION_GRACE_MS - Millis(1)).is_empty());
    assert_eq!(names(&picture), ["a"]);
    let state_changes = picture.expire(at_ms + REREGISTRATION_GRACE_MS);
    assert_eq!(state_changes, [gone(8, "a")]);
    assert!(names(&picture).is_empty());
}

#[test]
fn what_came_back_stays() {
    let at_ms = Millis(1_001) + SOURCE_OUTAGE_MS;
    let mut picture = returned(at_ms);
    let (state_changes, _) =
        picture.apply_changes(at_ms, Revision(9), Revision(10), vec![written(10, "a")]);
    assert_eq!(
        state_changes,
        [StateChange::UpstreamReturned { upstream: id("a"), revision: Revision(10) }]
    );
    assert!(picture.expire(at_ms + REREGISTRATION_GRACE_MS).is_empty());
    assert_eq!(names(&picture), ["a"]);
}

#[test]
fn in_calm_times_a_removal_is_final_at_once() {
    assert!(names(&returned(Millis(1_000) + SOURCE_OUTAGE_MS)).is_empty());
}

#[test]
fn a_removal_long_after_the_return_is_final_at_once() {
    let at_ms = Millis(1_001) + SOURCE_OUTAGE_MS;
    let mut picture = PublishedState::default();
    picture.apply_snapshot(Millis(1_000), snapshot(5, vec![written(1, "a")]));
    picture.confirm(at_ms, Revision(5));
    for step in 0..4 {
        picture.confirm(at_ms + Millis(700 * step), Revision(5));
    }
    let late_ms = at_ms + REREGISTRATION_GRACE_MS;
    picture.apply_changes(late_ms, Revision(5), Revision(6), vec![removed(6, "a")]);
    assert!(names(&picture).is_empty());
}

#[test]
fn a_gap_is_told_and_confirms_nothing() {
    let mut picture = PublishedState::default();
    picture.apply_snapshot(Millis(10), snapshot(5, vec![written(1, "a")]));
    let (_, is_gapless) =
        picture.apply_changes(Millis(500), Revision(7), Revision(9), vec![written(9, "b")]);
    assert!(!is_gapless);
    assert_eq!(picture.revision(), Revision(5));
    assert_eq!(picture.confirmed_ms(), Some(Millis(10)));
    assert_eq!(names(&picture), ["a", "b"]);
}

#[test]
fn a_confirmation_of_what_is_not_held_counts_nothing() {
    let mut picture = PublishedState::default();
    picture.apply_snapshot(Millis(10), snapshot(5, Vec::new()));
    picture.confirm(Millis(500), Revision(6));
    assert_eq!(picture.confirmed_ms(), Some(Millis(10)));
    picture.confirm(Millis(500), Revision(5));
    assert_eq!(picture.confirmed_ms(), Some(Millis(500)));
    picture.confirm(Millis(400), Revision(5));
    assert_eq!(picture.confirmed_ms(), Some(Millis(500)));
}

#[test]
fn a_peer_that_takes_the_whole_holds_the_same() {
    let mut picture = PublishedState::default();
    let items = vec![routing(1, 3), written(2, "a"), draining(3, "b")];
    picture.apply_snapshot(Millis(10), snapshot(5, items));
    let mut peer = PublishedState::default();
    assert_ne!(peer.digest(), picture.digest());
    peer.apply_snapshot(Millis(20), picture.snapshot());
    assert_eq!(peer.digest(), picture.digest());
    assert_eq!(peer.revision(), picture.revision());
    assert_eq!(names(&peer), names(&picture));
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
        split: Vec::new(),
    }
}

fn routing_with(revision: u64, routes: Vec<published::Route>) -> Change {
    let Change::Written(Entry { value: Item::Routing(empty), .. }) = routing(revision, revision)
    else {
        unreachable!("a routing was written");
    };
    let full = published::Routing { routes, ..(*empty).clone() };
    Change::Written(Entry { revision: Revision(revision), value: Item::Routing(Arc::new(full)) })
}

fn routes(picture: &PublishedState) -> Vec<(String, u64)> {
    let routes = &picture.routing().unwrap().value.routes;
    let mut routes: Vec<(String, u64)> =
        routes.iter().map(|route| (route.name.clone(), route.timeout_ms.0)).collect();
    routes.sort();
    routes
}

#[test]
fn a_routing_told_as_a_difference_is_the_same() {
    let old = routing_with(1, vec![route("a", 100), route("b", 100), route("c", 100)]);
    let new = routing_with(2, vec![route("a", 100), route("b", 200), route("d", 100)]);
    let newest = routing_with(3, vec![route("a", 100), route("b", 300)]);
    let mut reader = PublishedState::default();
    let mut peer = PublishedState::default();
    for picture in [&mut reader, &mut peer] {
        picture.apply_changes(Millis(1), Revision(0), Revision(1), vec![old.clone()]);
    }
    let changes = vec![new, newest];
    let told = reader.with_routing_patches(&changes);
    assert!(told.iter().all(|change| matches!(change, Change::Patched(_))), "{told:?}");
    reader.apply_changes(Millis(2), Revision(1), Revision(3), changes);
    let (_, is_gapless) = peer.apply_changes(Millis(2), Revision(1), Revision(3), told);
    assert!(is_gapless);
    assert_eq!(routes(&peer), routes(&reader));
    assert_eq!(routes(&peer), [("a".to_owned(), 100), ("b".to_owned(), 300)]);
    assert_eq!(peer.digest(), reader.digest());
}

#[test]
fn a_difference_from_a_routing_that_is_not_held_is_a_gap() {
    let old = routing_with(1, vec![route("a", 100)]);
    let new = routing_with(2, vec![route("b", 100)]);
    let mut reader = PublishedState::default();
    reader.apply_changes(Millis(1), Revision(0), Revision(1), vec![old]);
    let told = reader.with_routing_patches(&[new]);
    let mut peer = PublishedState::default();
    let (state_changes, is_gapless) = peer.apply_changes(Millis(2), Revision(0), Revision(2), told);
    assert!(state_changes.is_empty());
    assert!(!is_gapless);
    assert_eq!(peer.revision(), Revision(0));
}

#[test]
fn routes_that_share_a_name_are_told_whole() {
    let mut second = route("a", 300);
    second.prefix = "/other/".to_owned();
    let old = routing_with(1, vec![route("a", 100)]);
    let new = routing_with(2, vec![route("a", 100), second]);
    let mut reader = PublishedState::default();
    reader.apply_changes(Millis(1), Revision(0), Revision(1), vec![old.clone()]);
    let told = reader.with_routing_patches(&[new]);
    assert!(matches!(&told[..], [Change::Written(_)]), "{told:?}");
    reader.apply_changes(Millis(2), Revision(1), Revision(2), told);
    assert_eq!(routes(&reader).len(), 2);
}
