//! Organisations are found by their keys, and change by patches.
#![allow(clippy::unwrap_used)]

use domain::{ByteCount, Millis, PerSecond, Version};
use published::{
    CallerLimits, KeyDigest, Organisation, Quota, Revision, RouteTable, Routing, RoutingPatch,
};
use rstest::rstest;
use std::sync::Arc;

fn organisation(name: &str, keys: &[&str], rate: f64) -> Organisation {
    Organisation {
        name: name.parse().unwrap(),
        keys: keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect(),
        priority: None,
        quota: Some(Quota { rate: PerSecond(rate), burst: 1 }),
    }
}

fn routing(version: u64, organisations: Option<Vec<Organisation>>) -> Routing {
    Routing {
        version: Version(version),
        limits: CallerLimits {
            head_bytes: ByteCount(1),
            body_bytes: ByteCount(1),
            head_timeout_ms: Millis(1),
            idle_timeout_ms: Millis(1),
        },
        routes: Vec::new(),
        services: Vec::new(),
        organisations,
    }
}

fn a() -> Organisation {
    organisation("a", &["a-1", "a-2"], 5.0)
}

fn b() -> Organisation {
    organisation("b", &["b-1"], 7.0)
}

#[rstest]
#[case("a-1", Some("a"))]
#[case("a-2", Some("a"))]
#[case("b-1", Some("b"))]
#[case("b-2", None)]
#[case("", None)]
fn finds_the_organisation_that_holds_a_key(#[case] key: &str, #[case] expected: Option<&str>) {
    let table = RouteTable::new(Arc::new(routing(1, Some(vec![a(), b()]))));
    let found = table.organisation_of(key.as_bytes());
    assert_eq!(found.map(|found| found.name.as_str()), expected);
}

/// A patch loses a key that was taken away, or keeps the need for keys when it ends.
#[rstest]
#[case::same(Some(vec![a(), b()]), Some(vec![a(), b()]))]
#[case::key_taken_away(Some(vec![a(), b()]), Some(vec![organisation("a", &["a-2"], 5.0), b()]))]
#[case::quota(Some(vec![a(), b()]), Some(vec![a(), organisation("b", &["b-1"], 1.0)]))]
#[case::one_leaves_and_one_comes(Some(vec![a()]), Some(vec![b()]))]
#[case::all_leave(Some(vec![a()]), Some(vec![]))]
#[case::keys_are_needed_from_now_on(None, Some(vec![a()]))]
#[case::keys_are_needed_no_more(Some(vec![a()]), None)]
fn a_patch_carries_changes_of_organisations(
    #[case] old: Option<Vec<Organisation>>,
    #[case] new: Option<Vec<Organisation>>,
) {
    let (old, new) = (routing(1, old), routing(2, new));
    let patched = RoutingPatch::between(Revision(1), &old, &new).unwrap().apply(&old);
    let sorted = |routing: &Routing| {
        let mut organisations = routing.organisations.clone();
        organisations.iter_mut().for_each(|all| all.sort_by_key(|each| each.name.clone()));
        organisations
    };
    assert_eq!(sorted(&patched), sorted(&new));
}

/// A digest shown by Debug could be tried against guessed keys.
#[test]
fn a_digest_is_not_shown() {
    assert_eq!(format!("{:?}", KeyDigest::of(b"k")), "KeyDigest(..)");
}

/// Requests of an urgent organisation wait behind those of their route's priority.
#[rstest]
#[case::nobody_known(None, 2)]
#[case::organisation_without_a_priority(Some(None), 2)]
#[case::urgent_organisation(Some(Some(0)), 0)]
#[case::patient_organisation(Some(Some(5)), 5)]
fn an_organisations_priority_goes_before_its_routes(
    #[case] sender: Option<Option<u32>>,
    #[case] expected: u32,
) {
    let sender = sender.map(|priority| Organisation { priority, ..a() });
    assert_eq!(Organisation::priority_of(sender.as_ref(), 2), expected);
}
