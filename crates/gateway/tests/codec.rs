//! Messages between hosts round-trip, are small, and are rejected if malformed.
#![allow(clippy::unwrap_used)]

use dispatch::RouteKey;
use dispatch::quarantine::{Crash, Quarantine, QuarantineMessage};
use dispatch::scheduler::{Cell, PlacementMessage, Submission, Ticket};
use domain::{Incarnation, Millis, RequestFingerprint};
use gateway::peers::codec::{CodecError, Datagram, decode, encode};
use published::{Capacity, HelloKind, KnownRevisions, Member, Message, Revision, RunStart};
use rstest::rstest;

fn hello() -> Message {
    let from = Member {
        host: "front-1".parse().unwrap(),
        incarnation: Incarnation(7),
        availability_zone: "kariakoo".parse().unwrap(),
        address: "127.0.0.1:7000".parse().unwrap(),
        capacity: Capacity::default(),
    };
    Message::Hello { from, kind: HelloKind::Request, members_digest: 99 }
}

#[test]
fn messages_round_trip() {
    assert_eq!(decode::<Message>(&encode(&hello()).unwrap()), Ok(hello()));
    let known = KnownRevisions { revision: Revision(12), routing: Some(Revision(3)) };
    assert_eq!(decode::<KnownRevisions>(&encode(&known).unwrap()), Ok(known));
}

#[rstest]
#[case::older(0)]
#[case::newer(200)]
fn other_protocol_versions_are_rejected(#[case] version: u8) {
    let mut bytes = encode(&hello()).unwrap();
    bytes[0] = version;
    assert_eq!(decode::<Message>(&bytes), Err(CodecError::OtherProtocol(version)));
}

#[test]
fn truncated_messages_are_rejected() {
    let bytes = encode(&hello()).unwrap();
    for length in 0..bytes.len() {
        let decoded = decode::<Message>(&bytes[..length]);
        assert!(matches!(decoded, Err(CodecError::Malformed(_))), "{length}: {decoded:?}");
    }
}

#[test]
fn submissions_are_small_and_round_trip() {
    let submission = Submission {
        ticket: Ticket(9_000_000),
        cell: Cell { service: "parts".parse().unwrap(), zone: None },
        zone: "kariakoo".parse().unwrap(),
        route: RouteKey::ONLY,
        route_time: None,
        priority: 1,
        objective_ms: Millis(400),
        age_ms: Millis(3),
        left_ms: Millis(1_200),
        tried: Vec::new(),
        backing_off: Vec::new(),
        lends_rate_share: true,
    };
    let datagram = Datagram::Placement(PlacementMessage::Submit(submission));
    let bytes = encode(&datagram).unwrap();
    assert_eq!(decode::<Datagram>(&bytes), Ok(datagram));
    // Each request may send one to another availability zone, and that traffic is paid for.
    assert!(bytes.len() < 40, "{}", bytes.len());
}

/// The update about a request that crashed three upstreams is one small datagram.
#[test]
fn suspect_updates_are_small() {
    let mut quarantine = Quarantine::default();
    for number in 1..=3 {
        let crash = Crash {
            upstream: format!("i-03d32811{number}8").parse().unwrap(),
            run: RunStart::default(),
            seen_by: format!("front-baneshwor-{number}").parse().unwrap(),
            sent_ms: Millis(number * 1_000),
            crashed_ms: Millis(number * 1_000 + 60),
        };
        quarantine.record_crash(RequestFingerprint(u128::MAX / 3), crash);
    }
    let suspects = quarantine.take_pending(Millis(4_000)).unwrap();
    let update = QuarantineMessage::Suspects { suspects, should_relay: true };
    let bytes = encode(&Datagram::Quarantine(update.clone())).unwrap();
    println!("{} bytes", bytes.len());
    assert!(bytes.len() < 200, "{}", bytes.len());
    assert_eq!(decode::<Datagram>(&bytes), Ok(Datagram::Quarantine(update)));
}
