//! Logging never blocks, and counts the lines that it drops.
#![allow(clippy::unwrap_used)]

use dispatch::attempts::{Cause, Refusal};
use domain::Millis;
use gateway::event_log::{EventLog, LogEvent, Out};
use std::fs::File;
use std::io::Read;
use std::os::fd::OwnedFd;
use std::time::{Duration, Instant};

fn accept_failed(problem: &str) -> LogEvent<'_> {
    LogEvent::AcceptFailed { problem: problem.to_owned() }
}

fn refused(id: &str) -> LogEvent<'_> {
    LogEvent::Refused {
        id,
        status: 503,
        refusal: Refusal::not_run(Cause::Overloaded),
        after_ms: Millis(3),
        sendings: 0,
        picture_age_ms: None,
    }
}

fn routine(service: &domain::ServiceName) -> LogEvent<'_> {
    LogEvent::Routed {
        id: "id-1",
        route: "r",
        organisation: None,
        service,
        routing: domain::Version(1),
        left_ms: Millis(100),
        picture_age_ms: Some(Millis(5)),
    }
}

/// A pipe that is read only by [`drain`].
fn pipe() -> (File, Out) {
    let (reader, writer) = std::io::pipe().unwrap();
    let writer = File::from(OwnedFd::from(writer));
    rustix::fs::fcntl_setfl(&writer, rustix::fs::OFlags::NONBLOCK).unwrap();
    (File::from(OwnedFd::from(reader)), Out::File(writer))
}

#[test]
fn a_stalled_reader_blocks_nothing_and_routine_lines_are_dropped_first() {
    let (reader, out) = pipe();
    let log = EventLog::new("front-1".parse().unwrap(), Some(out));
    let service = "parts".parse().unwrap();
    let start = Instant::now();
    for _ in 0..20_000 {
        log.write(&routine(&service));
        log.flush();
    }
    let routine_dropped = log.dropped();
    assert!(routine_dropped > 0);
    log.write(&refused("id-told"));
    assert_eq!(log.dropped(), routine_dropped, "a refusal is logged while there is room");
    assert!(start.elapsed() < Duration::from_secs(20));

    let text = drain(&log, reader);
    let logged = text.lines().find(|line| line.contains("id-told")).unwrap();
    assert!(logged.contains(&format!("\"dropped_routine\":{routine_dropped}")), "{logged}");
    for line in text.lines() {
        serde_json::from_str::<serde_json::Value>(line).unwrap();
    }
}

#[test]
fn the_buffer_is_bounded_for_all_lines() {
    let log = EventLog::new("front-1".parse().unwrap(), None);
    for _ in 0..20_000 {
        log.write(&refused("id"));
    }
    assert!(log.dropped() > 0);
    assert!(log.take_buffered().len() < 300 * 1024);
    log.write(&accept_failed("after"));
    let line: serde_json::Value = serde_json::from_str(&log.take_buffered()).unwrap();
    assert_eq!(line["dropped_telling"].as_u64().unwrap(), log.dropped());
}

#[test]
fn a_line_has_host_time_event_and_cause() {
    let log = EventLog::new("front-1".parse().unwrap(), None);
    log.write(&refused("id-1"));
    let line: serde_json::Value = serde_json::from_str(&log.take_buffered()).unwrap();
    assert_eq!(line["host"], "front-1");
    assert_eq!(line["event"], "refused");
    assert_eq!(line["id"], "id-1");
    assert_eq!(line["cause"], "overloaded");
    assert_eq!(line["is_not_run"], true);
    assert!(line["at_ms"].as_u64().unwrap() > 1_000_000_000_000);
}

fn drain(log: &EventLog, mut reader: File) -> String {
    let mut text = Vec::new();
    let mut chunk = vec![0; 64 * 1024];
    loop {
        let read = reader.read(&mut chunk).unwrap();
        text.extend_from_slice(&chunk[..read]);
        log.flush();
        if text.windows(7).any(|window| window == b"id-told") && text.ends_with(b"\n") {
            return String::from_utf8(text).unwrap();
        }
    }
}
