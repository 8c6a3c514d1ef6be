//! Which crashes count against a request, when it is held, and what clears it.
#![allow(clippy::unwrap_used)]

use dispatch::quarantine::{
    Admission, Crash, MAX_SUSPECTS_PER_MESSAGE, Quarantine, RequestTime, SuspectUpdate,
};
use domain::{Millis, RequestFingerprint};
use published::RunStart;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const REQUEST: RequestFingerprint = RequestFingerprint(7);

/// The first hold.
const HOLD: Millis = Millis::from_secs(4 * 3_600);

/// A crash of an upstream at `crashed_ms`, of a request that was sent at `sent_ms`.
fn crash(upstream: &str, sent_ms: u64, crashed_ms: u64) -> Crash {
    Crash {
        upstream: upstream.parse().unwrap(),
        run: RunStart(Some(Millis(1))),
        seen_by: "front-1".parse().unwrap(),
        sent_ms: Millis(sent_ms),
        crashed_ms: Millis(crashed_ms),
    }
}

fn after(crashes: &[Crash]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for crash in crashes {
        quarantine.record_crash(REQUEST, crash.clone());
    }
    quarantine
}

/// Three consecutive crashes, the last at 400 ms.
fn three_crashes() -> Vec<Crash> {
    vec![crash("i-1", 0, 100), crash("i-2", 110, 200), crash("i-3", 300, 400)]
}

#[rstest]
#[case::none(vec![], Admission::Free)]
#[case::one(vec![crash("i-1", 0, 100)], Admission::Free)]
#[case::two_in_a_row(vec![crash("i-1", 0, 100), crash("i-2", 100, 200)], Admission::Trial)]
#[case::three_in_a_row(three_crashes(), Admission::Held { for_ms: HOLD - Millis(100) })]
#[case::out_of_order(
    vec![crash("i-3", 300, 400), crash("i-1", 0, 100), crash("i-2", 110, 200)],
    Admission::Held { for_ms: HOLD - Millis(100) },
)]
// Copies of it ran on upstreams that ended at the same moment.
#[case::simultaneous(
    vec![crash("i-1", 0, 100), crash("i-2", 50, 100), crash("i-3", 99, 105)],
    Admission::Free,
)]
// It was retried in the millisecond in which one upstream after the other ended.
#[case::retried_meanwhile(
    vec![crash("i-1", 0, 100), crash("i-2", 100, 100), crash("i-3", 101, 102)],
    Admission::Free,
)]
// One end that three attempts saw, or that was reported three times.
#[case::of_one_run(
    vec![crash("i-1", 0, 100), crash("i-1", 100, 103), crash("i-1", 300, 310)],
    Admission::Free,
)]
fn consecutive_crashes_hold_a_request(#[case] crashes: Vec<Crash>, #[case] expected: Admission) {
    assert_eq!(after(&crashes).admit(Millis(500), REQUEST), expected);
    assert_eq!(after(&crashes).admit(Millis(500), RequestFingerprint(8)), Admission::Free);
}

/// A crash of a process that doesn't report its start time counts again once the process may have
/// restarted.
#[rstest]
#[case::too_soon(199, Admission::Free)]
#[case::restarted_at_once(200, Admission::Trial)]
#[case::later(2_000, Admission::Trial)]
fn an_upstream_without_a_start_time_may_crash_again(
    #[case] sent_ms: u64,
    #[case] expected: Admission,
) {
    let of_unknown_run =
        |sent_ms| Crash { run: RunStart::default(), ..crash("i-1", sent_ms, sent_ms + 50) };
    let quarantine = after(&[of_unknown_run(0), of_unknown_run(sent_ms)]);
    assert_eq!(quarantine.admit(Millis(3_000), REQUEST), expected);
}

/// Guards against counting the crashes of an upstream that restarts at once as one crash, which cost
/// another upstream; and against counting one crash twice, as hosts notice it at different times and
/// messages about it are delayed.
#[rstest]
#[case::restarted_at_once(of("front-2", 300, 340), Admission::Trial)]
#[case::the_same_host(of("front-1", 300, 340), Admission::Trial)]
#[case::noticed_later(of("front-2", 40, 130), Admission::Free)]
#[case::reported_by_a_stalled_host(of("front-2", 140, 180), Admission::Free)]
#[case::in_flight_for_long(of("front-2", 20, 900), Admission::Free)]
fn an_upstream_without_a_start_time_crashes_again_if_it_took_another_request(
    #[case] second: Crash,
    #[case] expected: Admission,
) {
    let first = of("front-1", 0, 50);
    for crashes in [[first.clone(), second.clone()], [second.clone(), first.clone()]] {
        assert_eq!(after(&crashes).admit(Millis(1_000), REQUEST), expected);
    }
}

/// Copies of a report that arrive with different delays are one crash, two crashes in one report are
/// two.
#[test]
fn copies_of_a_report_count_once() {
    let report = |crashes: &[Crash]| {
        let mut host = after(crashes);
        host.record_final_answer(REQUEST);
        host.take_pending(Millis(1_000)).unwrap()
    };
    let (first, second) = (of("front-1", 0, 50), of("front-1", 300, 350));
    let mut quarantine = Quarantine::default();
    for received_ms in [1_000, 1_600, 1_010] {
        quarantine.merge(Millis(received_ms), report(std::slice::from_ref(&first)));
        assert_eq!(quarantine.admit(Millis(2_000), REQUEST), Admission::Free);
    }
    for received_ms in [1_020, 1_700, 1_005] {
        quarantine.merge(Millis(received_ms), report(&[first.clone(), second.clone()]));
        assert_eq!(quarantine.admit(Millis(2_000), REQUEST), Admission::Trial);
    }
}

/// Guards against missing a crash, as the message about the one before was delayed: by its times the
/// second request was sent before the first crash.
#[test]
fn a_delayed_message_does_not_hide_the_next_crash() {
    let (mut sender, mut receiver) = (after(&[of("front-1", 0, 100)]), Quarantine::default());
    sender.record_final_answer(REQUEST);
    receiver.merge(Millis(112), sender.take_pending(Millis(100)).unwrap());
    sender.record_crash(
        REQUEST,
        Crash { upstream: "i-2".parse().unwrap(), ..of("front-1", 101, 150) },
    );
    receiver.merge(Millis(151), sender.take_pending(Millis(150)).unwrap());
    assert_eq!(receiver.admit(Millis(160), REQUEST), Admission::Trial);
}

/// A crash of an upstream without a start time.
fn of(host: &str, sent_ms: u64, crashed_ms: u64) -> Crash {
    let run = RunStart::default();
    Crash { run, seen_by: host.parse().unwrap(), ..crash("i-1", sent_ms, crashed_ms) }
}

/// A request that completed is not the cause, whatever crashed beside it, and even if an update
/// about it arrives late.
#[test]
fn a_response_clears_it() {
    let mut quarantine = after(&three_crashes());
    let updates = quarantine.take_pending(Millis(450)).unwrap();
    assert!(quarantine.clear(Millis(460), REQUEST).is_some());
    assert_eq!(quarantine.admit(Millis(500), REQUEST), Admission::Free);
    quarantine.merge(Millis(460), updates);
    assert_eq!(quarantine.admit(Millis(500), REQUEST), Admission::Free);
    quarantine.record_crash(REQUEST, crash("i-4", 470, 490));
    assert_eq!(quarantine.admit(Millis(500), REQUEST), Admission::Free, "it begins anew");
}

/// Guards against a trial whose time ends before its upstream crashes: nobody learned of the crash,
/// and the next trial cost another upstream. The longest of the two crashes took 90 ms.
#[rstest]
#[case::fresh(1_200, 1_200, Admission::Trial)]
#[case::has_waited(1_200, 90, Admission::Trial)]
#[case::has_waited_for_too_long(1_200, 89, Admission::Held { for_ms: Millis(60) })]
#[case::short_but_fresh(50, 50, Admission::Trial)]
fn a_trial_has_the_time_to_show_a_crash(
    #[case] total_ms: u64,
    #[case] left_ms: u64,
    #[case] expected: Admission,
) {
    let quarantine = after(&[crash("i-1", 0, 40), crash("i-2", 110, 200)]);
    let time = RequestTime { total_ms: Millis(total_ms), left_ms: Millis(left_ms) };
    assert_eq!(quarantine.admit_in_time(Millis(500), REQUEST, time), expected);
    let other = RequestFingerprint(8);
    assert_eq!(quarantine.admit_in_time(Millis(500), other, time), Admission::Free);
}

/// Guards against copies of a suspected request waiting until the end of a trial's time, though it
/// ended long before.
#[test]
fn the_end_of_a_trial_is_broadcast() {
    let (mut own, mut other) = (after(&three_crashes()[..2]), Quarantine::default());
    own.begin_trial(REQUEST, Millis(900));
    let begun = own.take_pending(Millis(300)).unwrap();
    other.merge(Millis(300), begun);
    own.end_trial(REQUEST);
    other.merge(Millis(400), own.take_pending(Millis(400)).expect("the end"));
    assert_eq!(other.admit(Millis(400), REQUEST), Admission::Trial);
    own.end_trial(REQUEST);
    assert_eq!(own.take_pending(Millis(400)), None, "it is broadcast once");
    // What the host exports later says nothing of the trial, which may be another host's by then.
    other.begin_trial(REQUEST, Millis(1_500));
    other.merge(Millis(500), own.export(Millis(500)));
    assert_eq!(other.admit(Millis(500), REQUEST), Admission::Wait { for_ms: Millis(1_000) });
}

/// A suspected request is on one upstream of the fleet at a time, until the trial's time is over.
#[test]
fn one_host_at_a_time_tries_it() {
    let (mut own, mut other) = (after(&three_crashes()[..2]), Quarantine::default());
    own.begin_trial(REQUEST, Millis(900));
    other.merge(Millis(300), own.take_pending(Millis(300)).unwrap());
    let wait = Admission::Wait { for_ms: Millis(500) };
    assert_eq!(other.admit(Millis(400), REQUEST), wait);
    assert_eq!(own.admit(Millis(400), REQUEST), wait);
    assert_eq!(other.admit(Millis(900), REQUEST), Admission::Trial);
    own.end_trial(REQUEST);
    assert_eq!(own.admit(Millis(400), REQUEST), Admission::Trial);
}

/// It may crash one more upstream in a day.
#[test]
fn each_further_crash_extends_the_hold() {
    let mut quarantine = after(&three_crashes());
    let mut now_ms = Millis(400);
    let mut trials_s = Vec::new();
    let day_ms = Millis::from_secs(24 * 3_600);
    while now_ms < day_ms {
        now_ms = now_ms + Millis(1_000);
        quarantine.expire(now_ms);
        if quarantine.admit(now_ms, REQUEST) == Admission::Trial {
            trials_s.push(now_ms.0 / 1_000);
            let upstream = format!("i-{}", now_ms.0);
            quarantine.record_crash(REQUEST, crash(&upstream, now_ms.0, now_ms.0 + 50));
        }
    }
    assert_eq!(trials_s, [14_400]);
}

/// Where upstreams crash one after the other for another reason, three of them may run a request
/// that many callers send.
#[rstest]
#[case::alone(0, HOLD)]
#[case::beside_one(1, HOLD)]
#[case::beside_many(5, Millis(30_000))]
fn a_request_among_many_suspects_is_held_briefly(#[case] others: u128, #[case] hold_ms: Millis) {
    let mut quarantine = Quarantine::default();
    for other in 0..others {
        for crash in &three_crashes()[..2] {
            quarantine.record_crash(RequestFingerprint(100 + other), crash.clone());
        }
    }
    three_crashes().into_iter().for_each(|crash| drop(quarantine.record_crash(REQUEST, crash)));
    let held = Admission::Held { for_ms: hold_ms - Millis(100) };
    assert_eq!(quarantine.admit(Millis(500), REQUEST), held);
}

/// Hosts that received the same messages have the same state, even if some were duplicated, late
/// or out of order.
#[test]
fn the_order_of_messages_does_not_matter() {
    let updates: Vec<Vec<SuspectUpdate>> = three_crashes()
        .into_iter()
        .map(|crash| {
            let mut host = after(&[crash]);
            host.record_final_answer(REQUEST);
            host.take_pending(Millis(500)).unwrap()
        })
        .collect();
    for seed in 0..50 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut messages: Vec<_> = updates.iter().chain(&updates).cloned().collect();
        messages.shuffle(&mut rng);
        let mut quarantine = Quarantine::default();
        for message in messages {
            quarantine.merge(Millis(500), message);
        }
        let held = Admission::Held { for_ms: HOLD - Millis(100) };
        assert_eq!(quarantine.admit(Millis(500), REQUEST), held, "seed {seed}");
    }
}

/// A starting host receives updates about crashes before its start.
#[test]
fn crashes_before_the_start_count() {
    let mut updates = after(&three_crashes());
    let updates = updates.take_pending(Millis(10_000)).unwrap();
    let mut later = Quarantine::default();
    later.merge(Millis(2), updates.clone());
    let held = Admission::Held { for_ms: HOLD - Millis(9_600) };
    assert_eq!(later.admit(Millis(2), REQUEST), held);
    let mut twice = Quarantine::default();
    let mut two = after(&three_crashes()[..2]);
    let two = two.take_pending(Millis(10_000)).unwrap();
    twice.merge(Millis(2), two.clone());
    twice.merge(Millis(3), two);
    assert_eq!(twice.admit(Millis(4), REQUEST), Admission::Trial);
}

/// Digests differ exactly where a host lacks something.
#[test]
fn the_digest_shows_what_a_host_missed() {
    let mut informed = after(&three_crashes());
    informed.take_pending(Millis(500));
    let mut missed = Quarantine::default();
    assert_ne!(informed.digest(), missed.digest());
    missed.merge(Millis(600), informed.export(Millis(600)));
    assert_eq!(informed.digest(), missed.digest());
    assert_eq!(missed.count_held(Millis(600)), 1);
    missed.clear(Millis(700), REQUEST);
    assert_ne!(informed.digest(), missed.digest());
}

/// The first crash of a request that another upstream serves is not broadcast.
#[test]
fn bystanders_are_not_broadcast() {
    let mut quarantine = after(&[crash("i-1", 0, 100)]);
    assert!(quarantine.take_pending(Millis(110)).is_none());
    assert_eq!(quarantine.digest(), Quarantine::default().digest());
    assert!(quarantine.clear(Millis(200), REQUEST).is_none());
    assert!(quarantine.take_pending(Millis(210)).is_none());
    assert!(quarantine.is_empty());
    let mut quarantine = after(&[crash("i-1", 0, 100)]);
    quarantine.record_final_answer(REQUEST);
    assert_eq!(quarantine.take_pending(Millis(110)).unwrap().len(), 1);
}

/// Guards against suspects that no peer learns of, since one message doesn't hold them all.
#[test]
fn all_suspects_reach_all_hosts() {
    let mut hosts: Vec<Quarantine> = (0..3).map(|_| Quarantine::default()).collect();
    for number in 0..100 {
        for crash in &three_crashes()[..2] {
            hosts[0].record_crash(RequestFingerprint(1_000 + number), crash.clone());
        }
    }
    while let Some(updates) = hosts[0].take_pending(Millis(500)) {
        assert!(updates.len() <= MAX_SUSPECTS_PER_MESSAGE);
        hosts[1].merge(Millis(501), updates);
    }
    let missed = hosts[1].export(Millis(600));
    for message in missed.chunks(MAX_SUSPECTS_PER_MESSAGE) {
        hosts[2].merge(Millis(601), message.to_vec());
    }
    for number in 0..100 {
        let request = RequestFingerprint(1_000 + number);
        let admissions = hosts.iter().map(|host| host.admit(Millis(700), request));
        assert!(admissions.eq([Admission::Trial; 3]), "{number}");
    }
    let digests: Vec<u64> = hosts.iter().map(Quarantine::digest).collect();
    assert!(digests.iter().all(|digest| *digest == digests[0]), "{digests:?}");
}

/// A first crash that was not broadcast counts, and is broadcast, once a peer reports the same
/// request.
#[test]
fn an_unsent_crash_adds_to_what_a_peer_saw() {
    let mut own = after(&three_crashes()[..1]);
    assert!(own.take_pending(Millis(410)).is_none());
    let mut peer = after(&three_crashes()[1..]);
    own.merge(Millis(410), peer.take_pending(Millis(410)).unwrap());
    assert!(matches!(own.admit(Millis(420), REQUEST), Admission::Held { .. }));
    peer.merge(Millis(420), own.take_pending(Millis(420)).unwrap());
    assert!(matches!(peer.admit(Millis(430), REQUEST), Admission::Held { .. }));
}

/// Thousands of requests with one crash each don't displace one that is held.
#[test]
fn memory_is_bounded_and_the_fewest_crashes_are_evicted_first() {
    let mut quarantine = after(&three_crashes());
    for number in 0..20_000 {
        let other = RequestFingerprint(1_000 + number);
        let at_ms = 1_000 + u64::try_from(number).unwrap();
        quarantine.record_crash(other, crash("i-9", at_ms, at_ms + 10));
    }
    assert!(quarantine.dump(Millis(22_000)).len() <= 1_024);
    assert!(matches!(quarantine.admit(Millis(22_000), REQUEST), Admission::Held { .. }));
}

/// Crashes expire.
#[test]
fn crashes_expire() {
    let mut quarantine = after(&three_crashes()[..2]);
    quarantine.expire(Millis::from_secs(3_000));
    assert_eq!(quarantine.admit(Millis::from_secs(3_000), REQUEST), Admission::Trial);
    quarantine.expire(Millis::from_secs(3_700));
    assert!(quarantine.is_empty());
}
