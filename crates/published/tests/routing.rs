//! Routes match by exact host and longest prefix.
#![allow(clippy::unwrap_used)]

use domain::{ByteCount, Millis, Version};
use published::{CallerLimits, Destination, Idempotency, Route, RouteTable, Routing};
use rstest::rstest;
use std::sync::Arc;

fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: format!("{host}{prefix}"),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        idempotency: Idempotency::Idempotent,
        objective_ms: Millis(400),
        timeout_ms: Millis(1_200),
        attempts: 2,
        priority: 0,
        is_public: false,
        split: vec![Destination { service: "parts".parse().unwrap(), weight: 1 }],
    }
}

fn table() -> RouteTable {
    let limits = CallerLimits {
        head_bytes: ByteCount(1),
        body_bytes: ByteCount(1),
        head_timeout_ms: Millis(1),
        idle_timeout_ms: Millis(1),
    };
    let routes =
        vec![route("a.example", "/x/"), route("a.example", "/x/y/"), route("B.example", "/")];
    let routing =
        Routing { version: Version(7), limits, routes, services: Vec::new(), organisations: None };
    RouteTable::new(Arc::new(routing))
}

#[rstest]
#[case::prefix("a.example", "/x/1", Some("a.example/x/"))]
#[case::longest("a.example", "/x/y/1", Some("a.example/x/y/"))]
#[case::prefix_itself("a.example", "/x/", Some("a.example/x/"))]
#[case::not_a_whole_segment("a.example", "/x", None)]
#[case::other_segment("a.example", "/xy/", None)]
#[case::port_is_ignored("a.example:8080", "/x/1", Some("a.example/x/"))]
#[case::case_is_ignored("A.Example", "/x/1", Some("a.example/x/"))]
#[case::host_of_the_table_too("b.example", "/any", Some("B.example/"))]
#[case::other_host("c.example", "/x/1", None)]
#[case::part_of_a_host("example", "/x/1", None)]
fn finds_the_route_of_a_request(
    #[case] host: &str,
    #[case] path: &str,
    #[case] wanted: Option<&str>,
) {
    let table = table();
    let found = table.find(host, path);
    assert_eq!(found.as_ref().map(|found| found.route.name.as_str()), wanted);
    assert!(found.is_none_or(|found| found.version == Version(7)));
}
