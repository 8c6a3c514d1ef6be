//! Configurations that `merge` accepts or rejects, and the problems and warnings reported.
#![allow(clippy::unwrap_used)]

use config::{MAX_PROBLEMS, MAX_TEXT_BYTES, Problem, merge, merge_with_warnings};
use rstest::rstest;

const BASE: &str = r#"{
    "availability_zones": ["kariakoo", "msasani"],
    "measurement": { "probes_per_second": 4 },
    "services": {
        "portal": {
            "routes": [{ "path_prefix": "/portal", "repeat": "idempotent" }],
            "upstreams": {
                "portal-1": {
                    "address": "192.0.2.1:8080", "availability_zone": "kariakoo",
                    "slots": 6, "connections": 250
                },
                "portal-2": {
                    "address": "192.0.2.2:8080", "availability_zone": "msasani",
                    "slots": 6, "connections": 250
                }
            }
        },
        "parts": {
            "routes": [{ "method": "POST", "path_prefix": "/parts", "repeat": "at-most-once" }],
            "upstreams": {
                "parts-1": {
                    "address": "192.0.2.3:8080", "availability_zone": "kariakoo",
                    "slots": 6, "connections": 250
                }
            }
        }
    }
}"#;

/// Formats each problem without its value and remedy, and checks that it has a remedy.
fn summarize(problems: &[Problem]) -> Vec<String> {
    let summary = |problem: &Problem| {
        assert!(!problem.remedy.is_empty(), "{problem:?}");
        format!("{} {} {}", problem.source, problem.field, problem.kind)
    };
    problems.iter().map(summary).collect()
}

fn check_fast_path_agrees(base: &str, overlay: Option<&str>) {
    let full = merge_with_warnings(base, overlay).map(|merged| merged.config);
    assert_eq!(merge(base, overlay), full, "fast and full path differ");
}

fn check(base: &str, overlay: Option<&str>, expected: &[&str]) {
    check_fast_path_agrees(base, overlay);
    let found = match merge(base, overlay) {
        Ok(_) => Vec::new(),
        Err(error) => summarize(&error.problems),
    };
    assert_eq!(found, expected);
}

#[rstest]
#[case::empty_overlay("{}", &[])]
#[case::one_field(r#"{"services": {"portal": {"upstreams": {"portal-1": {"slots": 5}}}}}"#, &[])]
#[case::removal(r#"{"services": {"parts": null}}"#, &[])]
#[case::new_upstream(
    r#"{"services": {"parts": {"upstreams": {"parts-2": {"address": "192.0.2.9:1",
        "availability_zone": "msasani", "slots": 1, "connections": 1, "leaving": true}}}}}"#,
    &[]
)]
#[case::not_an_object("[]", &["overlay (whole document) not an object"])]
#[case::zero_slots(
    r#"{"services": {"portal": {"upstreams": {"portal-1": {"slots": 0}}}}}"#,
    &["overlay services.portal.upstreams.portal-1.slots must not be zero"]
)]
#[case::zero_connections(
    r#"{"services": {"portal": {"upstreams": {"portal-1": {"connections": 0}}}}}"#,
    &["overlay services.portal.upstreams.portal-1.connections must not be zero"]
)]
#[case::fewer_connections_than_slots(
    r#"{"services": {"portal": {"upstreams": {"portal-1": {"slots": 251}}}}}"#,
    &["merged services.portal.upstreams.portal-1.connections fewer connections than slots"]
)]
#[case::unknown_zone(
    r#"{"availability_zones": ["kariakoo"]}"#,
    &["merged services.portal.upstreams.portal-2.availability_zone unknown availability zone"]
)]
#[case::duplicate_zone(
    r#"{"availability_zones": ["kariakoo", "msasani", "kariakoo"]}"#,
    &["overlay availability_zones[2] availability zone listed twice"]
)]
#[case::duplicate_address_across_services(
    r#"{"services": {"portal": {"upstreams": {"portal-2": {"address": "192.0.2.3:8080"}}}}}"#,
    &["merged services.portal.upstreams.portal-2.address address used twice"]
)]
#[case::port_zero(
    r#"{"services": {"portal": {"upstreams": {"portal-2": {"address": "192.0.2.3:0"}}}}}"#,
    &["overlay services.portal.upstreams.portal-2.address address can't be connected to"]
)]
#[case::no_route(
    r#"{"services": {"portal": {"routes": []}}}"#,
    &["overlay services.portal.routes service without route"]
)]
#[case::no_upstream(
    r#"{"services": {"parts": {"upstreams": {"parts-1": null}}}}"#,
    &["overlay services.parts.upstreams service without upstream"]
)]
#[case::malformed_prefix(
    r#"{"services": {"portal": {"routes": [{"path_prefix": "/a%2", "repeat": "idempotent"}]}}}"#,
    &["overlay services.portal.routes[0].path_prefix bad path prefix"]
)]
#[case::encoded_slash_in_prefix(
    r#"{"services": {"portal": {"routes": [{"path_prefix": "/a%2Fb", "repeat": "idempotent"}]}}}"#,
    &["overlay services.portal.routes[0].path_prefix bad path prefix"]
)]
#[case::parameter_in_prefix(
    r#"{"services": {"portal": {"routes": [{"path_prefix": "/a;b", "repeat": "idempotent"}]}}}"#,
    &["overlay services.portal.routes[0].path_prefix bad path prefix"]
)]
#[case::same_prefix_encoded(
    r#"{"services": {"portal": {"routes": [
        {"method": "POST", "path_prefix": "/p%61rts", "repeat": "idempotent"}]}}}"#,
    &["merged services.portal.routes[0] ambiguous route"]
)]
#[case::relative_prefix(
    r#"{"services": {"portal": {"routes": [{"path_prefix": "portal", "repeat": "idempotent"}]}}}"#,
    &["overlay services.portal.routes[0].path_prefix bad path prefix"]
)]
#[case::dot_segment_in_prefix(
    r#"{"services": {"portal": {"routes": [{"path_prefix": "/a/%2E./b", "repeat": "idempotent"}]}}}"#,
    &["overlay services.portal.routes[0].path_prefix bad path prefix"]
)]
#[case::empty_segment_in_prefix(
    r#"{"services": {"portal": {"routes": [{"path_prefix": "/a//b", "repeat": "idempotent"}]}}}"#,
    &["overlay services.portal.routes[0].path_prefix bad path prefix"]
)]
#[case::query_in_prefix(
    r#"{"services": {"portal": {"routes": [{"path_prefix": "/a?b", "repeat": "idempotent"}]}}}"#,
    &["overlay services.portal.routes[0].path_prefix bad path prefix"]
)]
#[case::ambiguous_across_services(
    r#"{"services": {"portal": {"routes": [
        {"method": "POST", "path_prefix": "/parts/", "repeat": "idempotent"}]}}}"#,
    &["merged services.portal.routes[0] ambiguous route"]
)]
#[case::share_out_of_range(
    r#"{"retry": {"budget_share": 1.5}, "hedge": {"budget_share": -0.1, "after_quantile": 2}}"#,
    &["overlay retry.budget_share share out of range",
      "overlay hedge.budget_share share out of range",
      "overlay hedge.after_quantile share out of range"]
)]
#[case::service_share_out_of_range(
    r#"{"services": {"parts": {"eject_floor_share": 50}}}"#,
    &["overlay services.parts.eject_floor_share share out of range"]
)]
#[case::negative_rate(
    r#"{"measurement": {"probes_per_second": -1}, "services": {"parts": {"probes_per_second": -2},
        "portal": {"probes_per_second": -1}}}"#,
    &["overlay measurement.probes_per_second rate out of range",
      "overlay services.parts.probes_per_second rate out of range",
      "overlay services.portal.probes_per_second rate out of range"]
)]
#[case::probes_above_budget(
    r#"{"services": {"parts": {"probes_per_second": 4.5}}}"#,
    &["merged services.parts.probes_per_second more probes than the whole budget"]
)]
#[case::budget_below_default(
    r#"{"measurement": {"probes_per_second": 0.5}, "services": {"portal": null}}"#,
    &["merged services.parts.probes_per_second more probes than the whole budget"]
)]
#[case::zero_deadline(
    r#"{"services": {"parts": {"deadline_ms": 0}}}"#,
    &["overlay services.parts.deadline_ms must not be zero"]
)]
#[case::zero_attempts(
    r#"{"retry": {"max_attempts": 0}}"#,
    &["overlay retry.max_attempts must not be zero"]
)]
#[case::zero_limits(
    r#"{"limits": {"max_calls": 0, "max_depth": 0, "max_body_bytes": 0},
        "measurement": {"control_bytes_per_second": 0}}"#,
    &["overlay limits.max_body_bytes must not be zero", "overlay limits.max_calls must not be zero",
      "overlay limits.max_depth must not be zero",
      "overlay measurement.control_bytes_per_second must not be zero"]
)]
#[case::held_answer_above_limit(
    r#"{"limits": {"held_answer_bytes": 1048577}}"#,
    &["overlay limits.held_answer_bytes above the limit"]
)]
#[case::unknown_fields_all_found(
    r#"{"polcy": "random", "services": {"parts": {"deadline": 3, "upstreams": {
        "parts-1": {"slot": 2}}}}}"#,
    &["overlay polcy unknown field", "overlay services.parts.deadline unknown field",
      "overlay services.parts.upstreams.parts-1.slot unknown field"]
)]
#[case::removed_required_field(
    r#"{"services": {"portal": {"upstreams": {"portal-1": {"slots": null}}}}}"#,
    &["overlay services.portal.upstreams.portal-1.slots missing field"]
)]
#[case::no_services(r#"{"services": null}"#, &["overlay services missing field"])]
fn merged_configuration_is_validated(#[case] overlay: &str, #[case] expected: &[&str]) {
    check(BASE, Some(overlay), expected);
}

#[rstest]
#[case::policy(r#"{"policy": "fastest"}"#, "policy")]
#[case::negative_slots(
    r#"{"services": {"parts": {"upstreams": {"parts-1": {"slots": -1}}}}}"#,
    "services.parts.upstreams.parts-1.slots"
)]
#[case::text_for_number(r#"{"limits": {"max_calls": "many"}}"#, "limits.max_calls")]
#[case::fraction(r#"{"retry": {"max_attempts": 1.5}}"#, "retry.max_attempts")]
#[case::host_name(
    r#"{"services": {"parts": {"upstreams": {"parts-1": {"address": "localhost:80"}}}}}"#,
    "services.parts.upstreams.parts-1.address"
)]
#[case::method(
    r#"{"services": {"parts": {"routes": [
        {"method": "get", "path_prefix": "/", "repeat": "idempotent"}]}}}"#,
    "services.parts.routes[0].method"
)]
#[case::id_with_space(r#"{"services": {"a b": {}}}"#, r#"services."a b""#)]
#[case::empty_zone(r#"{"availability_zones": ["kariakoo", ""]}"#, "availability_zones[1]")]
fn wrong_value_is_reported_with_its_field(#[case] overlay: &str, #[case] field: &str) {
    let error = merge(BASE, Some(overlay)).unwrap_err();
    let found = summarize(&error.problems);
    assert!(found[0].starts_with(&format!("overlay {field} wrong value")), "{found:?}");
    assert_eq!(found.len(), 1, "{found:?}");
}

#[rstest]
#[case::empty("", "overlay (whole document) no JSON")]
#[case::truncated(r#"{"services": {"parts""#, "overlay (whole document) no JSON")]
#[case::trailing("{} {}", "overlay (whole document) no JSON")]
#[case::comment("{} // none", "overlay (whole document) no JSON")]
#[case::infinite(r#"{"retry": {"budget_share": 1e999}}"#, "overlay (whole document) no JSON")]
#[case::duplicate(
    r#"{"services": {"parts": {"deadline_ms": 1, "deadline_ms": 2}}}"#,
    "overlay services.parts.deadline_ms key stated twice"
)]
#[case::duplicate_in_array(
    r#"{"services": {"parts": {"routes": [{}, {"method": "GET", "method": "GET"}]}}}"#,
    "overlay services.parts.routes[1].method key stated twice"
)]
fn invalid_json_is_rejected(#[case] overlay: &str, #[case] expected: &str) {
    let error = merge(BASE, Some(overlay)).unwrap_err();
    let found = summarize(&error.problems);
    assert!(found[0].starts_with(expected), "{found:?}");
}

#[test]
fn every_truncated_text_is_rejected() {
    for end in 0..BASE.len() {
        assert!(merge(&BASE[..end], None).is_err(), "cut at {end}");
    }
}

#[rstest]
#[case::at_the_limit(MAX_TEXT_BYTES, &[])]
#[case::above(MAX_TEXT_BYTES + 1, &["base (whole document) too large"])]
fn text_has_a_size_limit(#[case] size_bytes: usize, #[case] expected: &[&str]) {
    let mut base = BASE.to_owned();
    base.push_str(&" ".repeat(size_bytes - BASE.len()));
    check(&base, None, expected);
}

#[rstest]
#[case::unknown_fields(
    r#""slot": 1, "slots": 1, "connections": 1, "availability_zone": "msasani""#
)]
#[case::zero_slots(r#""slots": 0, "connections": 1, "availability_zone": "msasani""#)]
fn problems_are_capped(#[case] fields: &str) {
    let upstream = |n| format!(r#""u{n}": {{"address": "192.0.2.9:{n}", {fields}}}"#);
    let upstreams: Vec<String> = (1..=MAX_PROBLEMS + 1).map(upstream).collect();
    let overlay =
        format!(r#"{{"services": {{"parts": {{"upstreams": {{{}}}}}}}}}"#, upstreams.join(","));
    let error = merge(BASE, Some(&overlay)).unwrap_err();
    assert_eq!(error.problems.len(), MAX_PROBLEMS);
}

#[test]
fn problems_of_both_texts_are_collected() {
    let error = merge("{", Some("[]")).unwrap_err();
    assert_eq!(error.problems.len(), 2);
}

#[test]
fn message_names_document_field_value_and_remedy() {
    let overlay = r#"{"services": {"portal": {"upstreams": {"portal-1": {"slots": 0}}}}}"#;
    let error = merge(BASE, Some(overlay)).unwrap_err();
    let expected = "overlay: services.portal.upstreams.portal-1.slots: must not be zero, \
                    found 0: give it at least 1 slot, or set \"leaving\": true to keep work away";
    assert_eq!(error.to_string(), expected);
}

#[rstest]
#[case::difference(r#"{"policy": "random"}"#, &[])]
#[case::same_value(
    r#"{"measurement": {"probes_per_second": 4}}"#,
    &["overlay measurement.probes_per_second the base says the same"]
)]
#[case::same_array(
    r#"{"availability_zones": ["kariakoo", "msasani"]}"#,
    &["overlay availability_zones the base says the same"]
)]
#[case::removes_nothing(
    r#"{"services": {"ghost": null}}"#,
    &["overlay services.ghost the base has no such field"]
)]
fn redundant_overlay_fields_cause_warnings(#[case] overlay: &str, #[case] expected: &[&str]) {
    check_fast_path_agrees(BASE, Some(overlay));
    let merged = merge_with_warnings(BASE, Some(overlay)).unwrap();
    assert_eq!(summarize(&merged.warnings), expected);
}
