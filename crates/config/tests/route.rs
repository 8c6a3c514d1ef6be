//! Which route a request matches, and whether it may be retried.
#![allow(clippy::unwrap_used)]

use config::RepeatRule::{self, AtMostOnce, Idempotent};
use config::{RouteTable, merge};
use rstest::rstest;
use serde_json::json;

fn site() -> config::SiteConfig {
    let service = |routes: &str, port: u16| {
        format!(
            r#"{{"routes": [{routes}], "upstreams": {{"u{port}": {{"address": "192.0.2.1:{port}",
                "availability_zone": "z", "slots": 1, "connections": 1}}}}}}"#
        )
    };
    let root = r#"{"path_prefix": "/", "repeat": "idempotent"}"#;
    let portal = r#"{"path_prefix": "/portal", "repeat": "idempotent"},
        {"method": "POST", "path_prefix": "/portal", "repeat": "at-most-once"}"#;
    let orders =
        r#"{"method": "POST", "path_prefix": "/portal/orders/", "repeat": "at-most-once"}"#;
    let text = format!(
        r#"{{"availability_zones": ["z"],
            "services": {{"root": {}, "portal": {}, "orders": {}}}}}"#,
        service(root, 1),
        service(portal, 2),
        service(orders, 3),
    );
    merge(&text, None).unwrap()
}

#[rstest]
#[case::exact("GET", "/portal", Some(("portal", 0)))]
#[case::below("GET", "/portal/x/y", Some(("portal", 0)))]
#[case::trailing_slash("GET", "/portal/", Some(("portal", 0)))]
#[case::segment_boundary("GET", "/portals", Some(("root", 0)))]
#[case::root("GET", "/", Some(("root", 0)))]
#[case::specific_method_wins("POST", "/portal/x", Some(("portal", 1)))]
#[case::longest_prefix_wins("POST", "/portal/orders/7", Some(("orders", 0)))]
#[case::prefix_with_trailing_slash("POST", "/portal/orders", Some(("orders", 0)))]
#[case::longest_of_matching_methods("GET", "/portal/orders/7", Some(("portal", 0)))]
#[case::unknown_method("PURGE", "/portal", Some(("portal", 0)))]
#[case::method_is_case_sensitive("post", "/portal", Some(("portal", 0)))]
#[case::any_is_not_a_method("ANY", "/portal", Some(("portal", 0)))]
#[case::empty_first_segment("GET", "//portal", Some(("root", 0)))]
#[case::empty_inner_segment("POST", "/portal//orders", Some(("portal", 1)))]
#[case::encoded_letter("POST", "/portal/%6Frders", Some(("orders", 0)))]
#[case::all_encoded("POST", "/%70%6F%72%74%61%6c/%6f%72%64%65%72%73/7", Some(("orders", 0)))]
#[case::letters_beyond_ascii("GET", "/portal/caf%c3%A9", Some(("portal", 0)))]
#[case::encoded_slash_is_literal("GET", "/portal%2Forders", Some(("root", 0)))]
#[case::encoded_reserved_is_literal("GET", "/portal%24", Some(("root", 0)))]
#[case::truncated_encoding("GET", "/portal/%", None)]
#[case::truncated_encoding_digit("GET", "/portal/%4", None)]
#[case::not_hexadecimal("GET", "/portal/%zz", None)]
#[case::signed_hexadecimal("GET", "/portal/%+1", None)]
#[case::encoded_control("GET", "/portal/%00", None)]
#[case::overlong_encoding("GET", "/portal%c0%afx", None)]
#[case::parent_behind_encoded_slash("GET", "/portal/..%2Forders", None)]
#[case::parent_with_parameter("GET", "/portal/..;x/orders", None)]
#[case::parent_encoded_twice("GET", "/portal/%252e%252E/orders", None)]
#[case::parent_behind_encoded_backslash("GET", "/portal/..%5corders", None)]
#[case::case_matters("GET", "/Portal", Some(("root", 0)))]
#[case::dots_in_a_name("GET", "/portal/...", Some(("portal", 0)))]
#[case::parent_segment("POST", "/portal/../portal/orders", None)]
#[case::parent_segment_last("GET", "/portal/..", None)]
#[case::current_segment("POST", "/portal/./orders", None)]
#[case::encoded_parent("POST", "/portal/%2e%2E/portal", None)]
#[case::half_encoded_parent("GET", "/portal/.%2e", None)]
#[case::backslash("POST", "/portal\\..\\orders", None)]
#[case::empty("GET", "", None)]
#[case::asterisk("OPTIONS", "*", None)]
#[case::relative("GET", "portal", None)]
fn request_matches_route(
    #[case] method: &str,
    #[case] path: &str,
    #[case] expected: Option<(&str, usize)>,
) {
    let site = site();
    let table = RouteTable::new(&site);
    let found = table.find(method, path);
    let target = found.as_ref();
    assert_eq!(target.map(|target| (target.service.as_str(), target.route_index)), expected);
    assert_eq!(site.route(method, path), found);
}

/// Builds the table of one service with these routes.
fn table_with(routes: &[(&str, &str, RepeatRule)]) -> RouteTable {
    let routes = routes.iter().map(|(method, path_prefix, repeat)| {
        json!({"method": method, "path_prefix": path_prefix, "repeat": repeat})
    });
    let upstream = json!({"address": "192.0.2.1:1", "availability_zone": "z",
        "slots": 1, "connections": 1});
    let text = json!({"availability_zones": ["z"], "services": {"s": {
        "routes": routes.collect::<Vec<_>>(), "upstreams": {"u": upstream}}}});
    RouteTable::new(&merge(&text.to_string(), None).unwrap())
}

/// A path that an upstream could match to an at-most-once route runs at most once.
#[rstest]
#[case::plain("GET", "/orders", AtMostOnce)]
#[case::elsewhere("GET", "/offers", Idempotent)]
#[case::longer_name("GET", "/orders-open", Idempotent)]
#[case::encoded("GET", "/%6Frders", AtMostOnce)]
#[case::below_encoded("GET", "/%6frders/7", AtMostOnce)]
#[case::encoded_twice("GET", "/%256Frders", AtMostOnce)]
#[case::encoded_thrice("GET", "/%25256Frders", AtMostOnce)]
#[case::encoded_digits("GET", "/%25%36%46rders", AtMostOnce)]
#[case::empty_first_segment("GET", "//orders", AtMostOnce)]
#[case::empty_segments("GET", "///orders//7", AtMostOnce)]
#[case::empty_segment_elsewhere("GET", "//offers", Idempotent)]
#[case::encoded_slash_first("GET", "/%2Forders", AtMostOnce)]
#[case::encoded_slash_last("GET", "/orders%2F7", AtMostOnce)]
#[case::encoded_backslash("GET", "/%5Corders", AtMostOnce)]
#[case::parameter("GET", "/orders;id=1", AtMostOnce)]
#[case::encoded_parameter("GET", "/orders%3Bid=1/7", AtMostOnce)]
#[case::lone_parameter("GET", "/;id=1/orders", AtMostOnce)]
#[case::encoded_query("GET", "/orders%3Fx", AtMostOnce)]
#[case::encoded_fragment("GET", "/orders%23x", AtMostOnce)]
#[case::other_case("GET", "/Orders", AtMostOnce)]
#[case::encoded_reserved("GET", "/a%24b", AtMostOnce)]
#[case::idempotent_below("GET", "/orders/status/7", Idempotent)]
#[case::idempotent_below_upper_case("GET", "/orders/status/A%20B", Idempotent)]
#[case::idempotent_below_empty_segment("GET", "//orders/status", AtMostOnce)]
#[case::specific_method("GET", "/drafts", Idempotent)]
#[case::specific_method_loose_path("GET", "//drafts", Idempotent)]
#[case::any_method_loose_path("POST", "//drafts", AtMostOnce)]
#[case::routes_differ_only_in_case("GET", "/Notes", AtMostOnce)]
fn stricter_rule_applies_to_loosely_matching_paths(
    #[case] method: &str,
    #[case] path: &str,
    #[case] expected: RepeatRule,
) {
    let table = table_with(&[
        ("ANY", "/", Idempotent),
        ("ANY", "/orders", AtMostOnce),
        ("ANY", "/orders/status", Idempotent),
        ("ANY", "/a$b", AtMostOnce),
        ("ANY", "/drafts", AtMostOnce),
        ("GET", "/drafts", Idempotent),
        ("ANY", "/Notes", Idempotent),
        ("ANY", "/notes", AtMostOnce),
    ]);
    assert_eq!(table.find(method, path).unwrap().repeat, expected);
}

#[test]
fn encoded_prefix_matches_plain_path() {
    let table = table_with(&[("ANY", "/%6Frders", AtMostOnce)]);
    assert!(table.find("GET", "/orders/7").is_some());
}

#[test]
fn path_outside_all_prefixes_matches_no_route() {
    let mut site = site();
    site.services.retain(|name, _| name.as_str() != "root");
    assert!(site.route("GET", "/elsewhere").is_none());
}
