//! Peers send what changed, and the result is the published text to the byte.
#![allow(clippy::unwrap_used)]

mod support;

use decision_core::{ConfigKey, Event, PeerMessage, Splice};
use domain::{ByteCount, Version};
use rstest::rstest;
use support::configs::pair;
use support::pump::{Pump, host_id};
use support::{BASE, fleet};

const NO_LIMIT: ByteCount = ByteCount(u64::MAX);

/// Long enough that a change is worth being sent alone.
fn long(middle: &str) -> String {
    format!("{}{middle}{}", "a".repeat(300), "z".repeat(300))
}

#[rstest]
#[case::replaced("1", "2")]
#[case::inserted("", "new")]
#[case::removed("old", "")]
#[case::repeated("aaaz", "aazz")]
#[case::same("1", "1")]
#[case::other_second_byte("\u{e9}", "\u{e8}")]
#[case::other_first_byte("\u{3a9}", "\u{6a9}")]
#[case::half_a_character("\u{e9}", "\u{e9}\u{e8}")]
fn makes_the_new_text(#[case] old: &str, #[case] new: &str) {
    let (old, new) = (long(old), long(new));
    let splice = Splice::between(&old, &new).unwrap();
    assert!(splice.middle.len() < 10);
    assert_eq!(splice.apply(&old, NO_LIMIT), Some(new));
}

#[test]
fn sends_the_whole_where_a_change_saves_nothing() {
    assert_eq!(Splice::between("{}", "{ }"), None);
    assert_eq!(Splice::between(&"a".repeat(1000), &"b".repeat(1000)), None);
}

#[rstest]
#[case::other_text(|_: &mut Splice| (), long("3"))]
#[case::shorter_text(|_: &mut Splice| (), "a".to_owned())]
#[case::damaged(|splice: &mut Splice| splice.middle.push('x'), long("1"))]
#[case::beyond_the_end(|splice: &mut Splice| splice.tail_bytes = usize::MAX, long("1"))]
#[case::within_a_character(|splice: &mut Splice| splice.head_bytes = 301, long("\u{e9}"))]
fn notices_what_does_not_fit(#[case] damage: fn(&mut Splice), #[case] old: String) {
    let mut splice = Splice::between(&long("1"), &long("22")).unwrap();
    damage(&mut splice);
    let made = splice.apply(&old, NO_LIMIT);
    assert!(made.is_none() || made == Some(long("22")), "{made:?}");
}

#[test]
fn a_long_result_is_refused() {
    let splice = Splice::between(&long("1"), &long("2")).unwrap();
    assert_eq!(splice.apply(&long("1"), ByteCount(600)), None);
}

/// A base of many services, one slot count in the middle of it as given.
fn large_base(slots: u32) -> String {
    let upstream = |n: u32| {
        let slots = if n == 500 { slots } else { 2 };
        format!(
            r#""u{n}": {{ "address": "127.0.0.1:{}", "availability_zone": "a", "slots": {slots}, "connections": 20 }}"#,
            10_000 + n
        )
    };
    let upstreams: Vec<String> = (0..1000).map(upstream).collect();
    BASE.replace("\"shop-1\"", &format!("{}, \"shop-1\"", upstreams.join(", ")))
}

fn sent_bytes(pump: &Pump) -> usize {
    pump.sent_bytes.values().sum()
}

#[test]
fn a_small_change_of_a_large_base_costs_little() {
    let mut pump = fleet(5, 1);
    pump.publish(ConfigKey::Base, 2, &large_base(2));
    pump.run_for(3000);
    let before = sent_bytes(&pump);
    pump.publish(ConfigKey::Base, 3, &large_base(3));
    pump.run_for(1000);
    let bytes = sent_bytes(&pump) - before;
    let whole = large_base(3).len();
    println!("a change of {whole} bytes reached 5 hosts with {bytes} bytes of messages");
    assert!(pump.everywhere_at_ms(pair(3, 0)).is_some());
    assert!(bytes < whole / 10);
}

#[test]
fn a_change_that_does_not_fit_is_followed_by_the_whole() {
    let mut pump = fleet(2, 2);
    pump.service.down_for = [host_id(1), host_id(2)].into();
    pump.run_for(3000);
    let value = decision_core::PublishedValue { version: Version(2), text: large_base(3) };
    let incarnation = pump.process(2).incarnation;
    let offered = PeerMessage::ConfigOffered { key: ConfigKey::Base, value };
    let event = Event::PeerReceived { from: host_id(1), incarnation, message: offered };
    pump.inject(2, event);
    let splice = Splice::between(&large_base(2), &large_base(3)).unwrap();
    let (key, from, version) = (ConfigKey::Base, Version(1), Version(2));
    let message = PeerMessage::ConfigChanged { key, from, version, splice };
    pump.inject(1, Event::PeerReceived { from: host_id(2), incarnation, message });
    assert_eq!(pump.process(1).host.versions(), pair(1, 0));
    pump.run_for(20);
    assert_eq!(pump.process(1).host.versions(), pair(2, 0));
}
