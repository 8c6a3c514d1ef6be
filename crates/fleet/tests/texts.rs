//! What processes print and publish, read back.

use fleet::{Listener, Metrics, Role};
use rstest::rstest;

#[rstest]
#[case("listening caller 127.0.0.2:80", Some((Role::Caller, "127.0.0.2:80")))]
#[case("listening hosts [::1]:7000", Some((Role::Hosts, "[::1]:7000")))]
#[case("listening nobody 127.0.0.1:80", None)]
#[case("listening caller somewhere", None)]
#[case("listening caller", None)]
#[case("calls: listening caller 127.0.0.1:80", None)]
#[case("", None)]
fn a_line_names_a_listener(#[case] line: &str, #[case] expected: Option<(Role, &str)>) {
    let found = Listener::parse(line).map(|l| (l.role, l.address.to_string()));
    assert_eq!(found, expected.map(|(role, address)| (role, address.to_owned())));
}

const METRICS: &str = "# HELP calls_total Calls
# TYPE calls_total counter
calls_total{outcome=\"answered\",caller=\"a\"} 3
calls_total{outcome=\"refused\",caller=\"a\"} 4
calls_total_other 100
plain 2.5 1700000000
odd{text=\"a } b\"} 1
broken{ 1
words many";

#[rstest]
#[case("calls_total", None, 7.0)]
#[case("calls_total", Some(("outcome", "refused")), 4.0)]
#[case("calls_total", Some(("caller", "a")), 7.0)]
#[case("calls_total", Some(("outcome", "lost")), 0.0)]
#[case("plain", None, 2.5)]
#[case("odd", None, 1.0)]
#[case("broken", None, 0.0)]
#[case("words", None, 0.0)]
#[case("missing", None, 0.0)]
fn metrics_are_summed(
    #[case] name: &str,
    #[case] label: Option<(&str, &str)>,
    #[case] expected: f64,
) {
    let metrics = Metrics::parse(METRICS);
    let found = match label {
        Some((label, value)) => metrics.sum_where(name, label, value),
        None => metrics.sum(name),
    };
    assert_eq!(found, expected);
}
