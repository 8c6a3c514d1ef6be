//! What peers tell each other is read whole or not at all.
#![allow(clippy::unwrap_used)]

use domain::Incarnation;
use gateway::peers::codec::{CodecError, decode, encode};
use published::{Held, Member, Message, Revision};
use rstest::rstest;

fn hello() -> Message {
    let from = Member {
        host: "front-1".parse().unwrap(),
        incarnation: Incarnation(7),
        availability_zone: "kariakoo".parse().unwrap(),
        address: "127.0.0.1:7000".parse().unwrap(),
    };
    Message::Hello { from, asks: true, digest: 99 }
}

#[test]
fn what_was_written_is_read() {
    assert_eq!(decode::<Message>(&encode(&hello()).unwrap()), Ok(hello()));
    let held = Held { revision: Revision(12), routing: Some(Revision(3)) };
    assert_eq!(decode::<Held>(&encode(&held).unwrap()), Ok(held));
}

#[rstest]
#[case::older(0)]
#[case::newer(200)]
fn another_protocol_is_refused_by_its_version(#[case] version: u8) {
    let mut bytes = encode(&hello()).unwrap();
    bytes[0] = version;
    assert_eq!(decode::<Message>(&bytes), Err(CodecError::OtherProtocol(version)));
}

#[test]
fn what_is_cut_short_is_refused() {
    let bytes = encode(&hello()).unwrap();
    for length in 0..bytes.len() {
        let read = decode::<Message>(&bytes[..length]);
        assert!(matches!(read, Err(CodecError::Malformed(_))), "{length}: {read:?}");
    }
}
