//! What upstreams say that nothing reads is told to operators, once in a while and bounded.
#![allow(clippy::unwrap_used)]

use domain::{Millis, UpstreamId};
use gateway::dialect::Dialect;
use gateway::http1::{HeadFields, read_response};
use gateway::unread_headers::{UnreadHeader, UnreadHeaderLog};
use rstest::rstest;

const NOW: Millis = Millis(1_000);

fn fields(lines: &str) -> HeadFields {
    let mut bytes = format!("HTTP/1.1 200 OK\r\n{lines}content-length: 0\r\n\r\n").into_bytes();
    read_response(&mut bytes, true).unwrap().unwrap().fields
}

fn note(marks: &mut UnreadHeaderLog, now_ms: Millis, id: &str, lines: &str) -> Vec<UnreadHeader> {
    let id: UpstreamId = id.parse().unwrap();
    marks.headers_to_log(now_ms, &id, &fields(lines), &Dialect::default())
}

#[rstest]
#[case::nothing("", &[])]
#[case::known("x-upstream-seal: s\r\nX-Upstream-Load: 0,0,3\r\nDate: today\r\n", &[])]
#[case::unknown("X-Wants: less\r\n", &[("x-wants", "less")])]
#[case::two("X-Wants: less\r\nx-leaves: 1\r\n", &[("x-wants", "less"), ("x-leaves", "1")])]
fn what_nothing_reads_is_told(#[case] lines: &str, #[case] wanted: &[(&str, &str)]) {
    let told = note(&mut UnreadHeaderLog::default(), NOW, "i-1", lines);
    let told: Vec<(&str, &str)> =
        told.iter().map(|mark| (mark.name.as_str(), mark.value.as_str())).collect();
    assert_eq!(told, wanted);
}

#[test]
fn the_same_is_told_again_after_a_while_and_a_change_sooner() {
    let mut marks = UnreadHeaderLog::default();
    assert_eq!(note(&mut marks, NOW, "i-1", "x-wants: 2\r\n").len(), 1);
    assert_eq!(note(&mut marks, NOW + Millis(999), "i-1", "x-wants: 3\r\n").len(), 0);
    assert_eq!(note(&mut marks, NOW + Millis(1_000), "i-1", "x-wants: 3\r\n").len(), 1);
    assert_eq!(note(&mut marks, NOW + Millis(10_999), "i-1", "x-wants: 3\r\n").len(), 0);
    assert_eq!(note(&mut marks, NOW + Millis(11_000), "i-1", "x-wants: 3\r\n").len(), 1);
    assert_eq!(note(&mut marks, NOW, "i-2", "x-wants: 3\r\n").len(), 1);
    assert_eq!(marks.count_names(), 1);
}

#[test]
fn an_upstream_that_invents_marks_fills_neither_log_nor_memory() {
    let mut marks = UnreadHeaderLog::default();
    let told = (0..5_000).map(|number| note(&mut marks, NOW, "i-1", &format!("x-{number}: 1\r\n")));
    assert_eq!(told.map(|told| told.len()).sum::<usize>(), 512);
    marks.retain(|_| false);
    assert_eq!(note(&mut marks, NOW, "i-1", "x-new: 1\r\n").len(), 1);
}
