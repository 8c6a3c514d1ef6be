//! Differences that an overlay makes to a configuration.
#![allow(clippy::unwrap_used)]

use config::{diff, merge};
use rstest::rstest;

const BASE: &str = r#"{
    "availability_zones": ["z"],
    "services": {"portal": {
        "routes": [{"path_prefix": "/", "repeat": "idempotent"}],
        "upstreams": {"p1": {"address": "192.0.2.1:1", "availability_zone": "z",
            "slots": 6, "connections": 250}}
    }}
}"#;

#[rstest]
#[case::empty_overlay("{}", &[])]
#[case::setting(r#"{"retry": {"max_attempts": 2}}"#, &["setting retry.max_attempts: 3 -> 2"])]
#[case::service_field(
    r#"{"services": {"portal": {"deadline_ms": 500}}}"#,
    &["service portal deadline_ms: 2000 -> 500"]
)]
#[case::upstream_field(
    r#"{"services": {"portal": {"upstreams": {"p1": {"leaving": true, "slots": 3}}}}}"#,
    &["upstream portal/p1 leaving: false -> true", "upstream portal/p1 slots: 6 -> 3"]
)]
#[case::upstream_replaced(
    r#"{"services": {"portal": {"upstreams": {"p1": null, "p2": {"address": "192.0.2.2:1",
        "availability_zone": "z", "slots": 6, "connections": 250}}}}}"#,
    &["upstream portal/p1 removed", "upstream portal/p2 added"]
)]
#[case::service_added(
    r#"{"services": {"parts": {"routes": [{"path_prefix": "/p", "repeat": "idempotent"}],
        "upstreams": {"p2": {"address": "192.0.2.2:1", "availability_zone": "z",
        "slots": 6, "connections": 250}}}}}"#,
    &["service parts added"]
)]
fn diff_lists_changes_of_overlay(#[case] overlay: &str, #[case] expected: &[&str]) {
    let from = merge(BASE, None).unwrap();
    let to = merge(BASE, Some(overlay)).unwrap();
    let changes: Vec<String> = diff(&from, &to).iter().map(|change| change.to_string()).collect();
    assert_eq!(changes, expected);
    assert_eq!(diff(&to, &from).len(), expected.len());
}
