//! Headers that nothing reads are logged, at a limited rate and in a limited number.
#![allow(clippy::unwrap_used)]

use domain::{Millis, UpstreamId};
use gateway::dialect::Dialect;
use gateway::http1::{HeadFields, ResponseHeadReader};
use gateway::unread_headers::{UnreadHeader, UnreadHeaderLog};
use rstest::rstest;

const NOW: Millis = Millis(1_000);

fn fields(lines: &str) -> HeadFields {
    let mut bytes = format!("HTTP/1.1 200 OK\r\n{lines}content-length: 0\r\n\r\n").into_bytes();
    ResponseHeadReader::new(true).read_from(&mut bytes).unwrap().unwrap().fields
}

fn headers_to_log(
    log: &mut UnreadHeaderLog,
    now_ms: Millis,
    id: &str,
    lines: &str,
) -> Vec<UnreadHeader> {
    let id: UpstreamId = id.parse().unwrap();
    log.headers_to_log(now_ms, &id, &fields(lines), &Dialect::default())
}

#[rstest]
#[case::nothing("", &[])]
#[case::known("x-upstream-seal: s\r\nX-Upstream-Load: 0,0,3\r\nDate: today\r\n", &[])]
#[case::unknown("X-Wants: less\r\n", &[("x-wants", "less")])]
#[case::two("X-Wants: less\r\nx-leaves: 1\r\n", &[("x-wants", "less"), ("x-leaves", "1")])]
fn unread_headers_are_logged(#[case] lines: &str, #[case] expected: &[(&str, &str)]) {
    let logged = headers_to_log(&mut UnreadHeaderLog::default(), NOW, "i-1", lines);
    let logged: Vec<(&str, &str)> =
        logged.iter().map(|header| (header.name.as_str(), header.value.as_str())).collect();
    assert_eq!(logged, expected);
}

#[test]
fn unchanged_values_are_logged_less_often_than_changed_ones() {
    let mut log = UnreadHeaderLog::default();
    assert_eq!(headers_to_log(&mut log, NOW, "i-1", "x-wants: 2\r\n").len(), 1);
    assert_eq!(headers_to_log(&mut log, NOW + Millis(999), "i-1", "x-wants: 3\r\n").len(), 0);
    assert_eq!(headers_to_log(&mut log, NOW + Millis(1_000), "i-1", "x-wants: 3\r\n").len(), 1);
    assert_eq!(headers_to_log(&mut log, NOW + Millis(10_999), "i-1", "x-wants: 3\r\n").len(), 0);
    assert_eq!(headers_to_log(&mut log, NOW + Millis(11_000), "i-1", "x-wants: 3\r\n").len(), 1);
    assert_eq!(headers_to_log(&mut log, NOW, "i-2", "x-wants: 3\r\n").len(), 1);
    assert_eq!(log.count_names(), 1);
}

#[test]
fn the_number_of_logged_headers_is_bounded() {
    let mut log = UnreadHeaderLog::default();
    let logged = (0..5_000)
        .map(|number| headers_to_log(&mut log, NOW, "i-1", &format!("x-{number}: 1\r\n")));
    assert_eq!(logged.map(|logged| logged.len()).sum::<usize>(), 512);
    log.retain(|_| false);
    assert_eq!(headers_to_log(&mut log, NOW, "i-1", "x-new: 1\r\n").len(), 1);
}
