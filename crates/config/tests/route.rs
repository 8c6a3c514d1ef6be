//! Which route a request takes, by table.
#![allow(clippy::unwrap_used)]

use config::{RouteTable, merge};
use rstest::rstest;

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
#[case::segment_border("GET", "/portals", Some(("root", 0)))]
#[case::root("GET", "/", Some(("root", 0)))]
#[case::stated_method_wins("POST", "/portal/x", Some(("portal", 1)))]
#[case::longest_prefix_wins("POST", "/portal/orders/7", Some(("orders", 0)))]
#[case::prefix_with_trailing_slash("POST", "/portal/orders", Some(("orders", 0)))]
#[case::longest_of_matching_methods("GET", "/portal/orders/7", Some(("portal", 0)))]
#[case::unknown_method("PURGE", "/portal", Some(("portal", 0)))]
#[case::method_is_case_sensitive("post", "/portal", Some(("portal", 0)))]
#[case::method_any_is_no_name("ANY", "/portal", Some(("portal", 0)))]
#[case::empty_first_segment("GET", "//portal", Some(("root", 0)))]
#[case::empty_inner_segment("POST", "/portal//orders", Some(("portal", 1)))]
#[case::encoding_is_literal("POST", "/portal/%6Frders", Some(("portal", 1)))]
#[case::encoded_slash_is_literal("GET", "/portal%2Forders", Some(("root", 0)))]
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
fn request_takes_route(
    #[case] method: &str,
    #[case] path: &str,
    #[case] expected: Option<(&str, usize)>,
) {
    let site = site();
    let table = RouteTable::new(&site);
    let found = table.find(method, path);
    assert_eq!(found.map(|target| (target.service.as_str(), target.route_index)), expected);
    let route = site.route(method, path).map(|(name, _, route)| (name.clone(), route.repeat));
    assert_eq!(route, found.map(|target| (target.service.clone(), target.repeat)));
}

#[test]
fn without_root_route_nothing_matches_by_default() {
    let mut site = site();
    site.services.retain(|name, _| name.as_str() != "root");
    assert!(site.route("GET", "/elsewhere").is_none());
}
