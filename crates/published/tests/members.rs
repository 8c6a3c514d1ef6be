//! The hosts heard of.
#![allow(clippy::unwrap_used)]

use domain::{Incarnation, Millis};
use published::{Member, Members};

fn member(name: &str, incarnation: u64) -> Member {
    Member {
        host: name.parse().unwrap(),
        incarnation: Incarnation(incarnation),
        availability_zone: "kariakoo".parse().unwrap(),
        address: "127.0.0.1:7000".parse().unwrap(),
    }
}

#[test]
fn a_host_is_news_once_in_each_run() {
    let mut members = Members::new(member("a", 1));
    assert!(members.note(Millis(1), member("b", 1)));
    assert!(!members.note(Millis(2), member("b", 1)));
    assert!(members.note(Millis(3), member("b", 2)));
    assert!(!members.note(Millis(4), member("b", 1)));
    assert!(!members.note(Millis(5), member("a", 9)));
    assert_eq!(members.count(), 2);
}

#[test]
fn a_farewell_of_an_earlier_run_is_ignored() {
    let mut members = Members::new(member("a", 1));
    members.note(Millis(1), member("b", 2));
    assert!(!members.leave(&"b".parse().unwrap(), Incarnation(1)));
    assert!(members.leave(&"b".parse().unwrap(), Incarnation(2)));
    assert_eq!(members.count(), 1);
}

#[test]
fn a_silent_host_counts_for_a_long_time() {
    let mut members = Members::new(member("a", 1));
    members.note(Millis(0), member("b", 1));
    assert!(members.forget(Millis(60_000)).is_empty());
    assert_eq!(members.forget(Millis(60_001)).len(), 1);
}

#[test]
fn equal_sets_have_equal_digests() {
    let mut a = Members::new(member("a", 1));
    let mut b = Members::new(member("b", 1));
    assert_ne!(a.digest(), b.digest());
    a.note(Millis(1), member("b", 1));
    b.note(Millis(1), member("a", 1));
    assert_eq!(a.digest(), b.digest());
    b.note(Millis(2), member("a", 2));
    assert_ne!(a.digest(), b.digest());
}

#[test]
fn readers_rank_alike_for_all() {
    let names = ["a", "b", "c", "d"];
    let mut ranks: Vec<usize> = names
        .iter()
        .map(|own| {
            let mut members = Members::new(member(own, 1));
            for other in names {
                members.note(Millis(1), member(other, 1));
            }
            members.reader_rank()
        })
        .collect();
    ranks.sort_unstable();
    assert_eq!(ranks, [0, 1, 2, 3]);
}

#[test]
fn hosts_that_start_at_the_same_moment_draw_differently() {
    let seeds = [("a", 1), ("b", 1), ("a", 2)].map(|(name, run)| member(name, run).seed());
    assert_ne!(seeds[0], seeds[1], "two hosts");
    assert_ne!(seeds[0], seeds[2], "two runs of one host");
    assert_eq!(seeds[0], member("a", 1).seed());
}
