//! Who reads the source: one host in calm times, another soon after it fell silent.
#![allow(clippy::unwrap_used)]

use domain::{HostId, Incarnation, Millis};
use published::{
    Capacity, Member, Members, PublishedState, ReadStep, Reader, Revision, Snapshot,
    StartConditions,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use std::num::NonZeroU32;

const HOSTS: u64 = 17;

/// Time of an answer of the source.
const ANSWER_MS: Millis = Millis(4);

/// Changes have to be in force this long after they were acknowledged.
const BOUND_MS: Millis = Millis(2_000);

fn member(number: u64) -> Member {
    Member {
        host: format!("host-{number}").parse().unwrap(),
        incarnation: Incarnation(1),
        availability_zone: "kariakoo".parse().unwrap(),
        address: format!("127.0.{}.{}:7000", number / 250, number % 250).parse().unwrap(),
        capacity: Capacity::default(),
    }
}

/// A source that says nothing is given up after this time.
const SILENCE_MS: Millis = Millis(400);

/// One host of a fleet that knows all others.
struct Host {
    members: Members,
    picture: PublishedState,
    reader: Reader,
    /// Callers wait for a routing.
    is_wanted: bool,
}

impl Host {
    fn new(number: u64, start: StartConditions) -> Host {
        Host::of(HOSTS, number, start)
    }

    fn of(hosts: u64, number: u64, start: StartConditions) -> Host {
        let mut members = Members::new(member(number));
        for other in 1..=hosts {
            members.record(Millis::ZERO, member(other));
        }
        let rng = Pcg64Mcg::seed_from_u64(number);
        let reader = Reader::new(rng, Millis::ZERO, start);
        Host { members, picture: PublishedState::default(), reader, is_wanted: false }
    }

    fn step(&mut self, now_ms: Millis) -> ReadStep {
        self.reader.step(now_ms, &self.members, &self.picture, self.is_wanted)
    }

    fn read(&mut self, now_ms: Millis) {
        let snapshot =
            Snapshot { revision: Revision(1), items: Vec::new(), overwritten: Vec::new() };
        self.picture.apply_snapshot(now_ms, snapshot);
        self.reader.succeeded(now_ms, false);
    }

    fn hear(&mut self, now_ms: Millis, reader: &HostId) {
        let snapshot =
            Snapshot { revision: Revision(1), items: Vec::new(), overwritten: Vec::new() };
        self.picture.apply_snapshot(now_ms, snapshot);
        self.members.record_read(now_ms, reader);
    }
}

/// A fleet; `silent` hosts neither read nor hear.
struct Fleet {
    hosts: Vec<Host>,
    /// When the reading of each host that reads comes back.
    due: Vec<Option<Millis>>,
    /// Until when each host waits, unless it hears of a reading.
    wake: Vec<Millis>,
    /// While the source is silent, and to whom; none: to nobody.
    outage: Option<Outage>,
}

/// A source that doesn't answer some hosts.
struct Outage {
    from_ms: Millis,
    to_ms: Millis,
    /// Every host is met, or only those whose number this divides.
    every: usize,
}

impl Outage {
    fn meets(&self, now_ms: Millis, at: usize) -> bool {
        (self.from_ms..self.to_ms).contains(&now_ms) && at.is_multiple_of(self.every)
    }
}

impl Fleet {
    fn new() -> Fleet {
        Fleet::of(HOSTS)
    }

    fn of(size: u64) -> Fleet {
        let start =
            StartConditions { is_seed: false, is_first: false, other_seeds: 0, link_mbps: None };
        let mut hosts: Vec<Host> = (1..=size).map(|number| Host::of(size, number, start)).collect();
        for host in &mut hosts {
            host.read(Millis::ZERO);
        }
        let due = hosts.iter().map(|_| None).collect();
        let wake = hosts.iter().map(|_| Millis::ZERO).collect();
        Fleet { hosts, due, wake, outage: None }
    }

    /// Plays to `to_ms`; returns how many calls were made.
    fn play(&mut self, from_ms: Millis, to_ms: Millis, silent: &[usize]) -> usize {
        let mut calls = 0;
        for now in from_ms.0..to_ms.0 {
            let now_ms = Millis(now);
            let (mut told, mut failed) = (Vec::new(), Vec::new());
            for (at, host) in self.hosts.iter_mut().enumerate() {
                let is_met =
                    |at_ms: Millis| self.outage.as_ref().is_some_and(|o| o.meets(at_ms, at));
                if silent.contains(&at) {
                    continue;
                }
                match self.due[at] {
                    Some(due_ms) if due_ms <= now_ms && is_met(now_ms - Millis(1)) => {
                        self.due[at] = None;
                        host.reader.failed(now_ms);
                        failed.push((at, host.members.own().host.clone()));
                    }
                    Some(due_ms) if due_ms <= now_ms => {
                        self.due[at] = None;
                        host.read(now_ms);
                        told.push((at, host.members.own().host.clone()));
                    }
                    Some(_) => {}
                    None if now_ms < self.wake[at] => {}
                    None => {
                        let took_ms = match host.step(now_ms) {
                            ReadStep::Wait(until_ms) => {
                                self.wake[at] = until_ms;
                                continue;
                            }
                            ReadStep::Sample | ReadStep::FirstPage | ReadStep::Snapshot => {
                                ANSWER_MS
                            }
                            ReadStep::Changes(wait_ms) if is_met(now_ms) => wait_ms + SILENCE_MS,
                            ReadStep::Changes(wait_ms) => wait_ms + ANSWER_MS,
                        };
                        calls += 1;
                        self.due[at] = Some(now_ms + took_ms);
                    }
                }
            }
            for (teller, reader) in failed {
                for (at, host) in self.hosts.iter_mut().enumerate() {
                    if at != teller {
                        host.members.record_failed_read(now_ms, &reader);
                    }
                }
            }
            for (teller, reader) in told {
                for (at, host) in self.hosts.iter_mut().enumerate() {
                    if at != teller && !silent.contains(&at) {
                        host.hear(now_ms, &reader);
                        self.wake[at] = now_ms;
                    }
                }
            }
        }
        calls
    }

    fn oldest_ms(&self, now_ms: Millis) -> Millis {
        let age = |host: &Host| now_ms.since(host.picture.confirmed_ms().unwrap());
        self.hosts.iter().map(age).max().unwrap()
    }

    fn readers(&self) -> Vec<usize> {
        let reads = |at: &usize| self.hosts[*at].reader.is_reading();
        (0..self.hosts.len()).filter(reads).collect()
    }
}

#[test]
fn one_host_reads_for_all() {
    let mut fleet = Fleet::new();
    fleet.play(Millis::ZERO, Millis(5_000), &[]);
    assert_eq!(fleet.readers().len(), 1);
    let calls = fleet.play(Millis(5_000), Millis(12_000), &[]);
    assert!(calls <= 11, "{calls} calls in 7 s");
}

#[test]
fn a_silent_reader_is_replaced_within_the_bound() {
    let mut fleet = Fleet::new();
    fleet.play(Millis::ZERO, Millis(5_000), &[]);
    let gone = fleet.readers();
    let rest = |at: &usize| !gone.contains(at);
    let (mut oldest_ms, mut calls) = (Millis::ZERO, 0);
    for step in 0..60 {
        let from_ms = Millis(5_000 + step * 50);
        calls += fleet.play(from_ms, from_ms + Millis(50), &gone);
        let now_ms = from_ms + Millis(50);
        let ages = (0..fleet.hosts.len())
            .filter(rest)
            .map(|at| now_ms.since(fleet.hosts[at].picture.confirmed_ms().unwrap()));
        oldest_ms = oldest_ms.max(ages.max().unwrap());
    }
    assert!(oldest_ms < BOUND_MS, "{oldest_ms}");
    // 3 s of one reader, and the one that stepped in: the others did not all read.
    assert!(calls <= 7, "{calls}");
}

#[test]
fn the_first_reader_takes_over_again() {
    let mut fleet = Fleet::new();
    fleet.play(Millis::ZERO, Millis(5_000), &[]);
    let first = fleet.readers();
    fleet.play(Millis(5_000), Millis(9_000), &first);
    fleet.play(Millis(9_000), Millis(14_000), &[]);
    assert_eq!(fleet.readers(), first);
}

/// Eight seconds of silence: the tries of all hosts grow more slowly than the fleet.
#[rstest]
#[case::today(17, 80)]
#[case::larger(60, 100)]
#[case::grown(124, 100)]
#[case::far_larger(400, 100)]
fn a_silent_source_is_tried_by_a_few(#[case] hosts: u64, #[case] most: usize) {
    let mut fleet = Fleet::of(hosts);
    fleet.play(Millis::ZERO, Millis(3_000), &[]);
    let (from_ms, to_ms) = (Millis(3_000), Millis(11_000));
    fleet.outage = Some(Outage { from_ms, to_ms, every: 1 });
    let calls = fleet.play(from_ms, to_ms, &[]);
    assert!(calls <= most, "{calls} calls in 8 s");
    let heard_ms = to_ms + Millis(1_000);
    fleet.play(to_ms, heard_ms, &[]);
    assert!(fleet.oldest_ms(heard_ms) < Millis(1_000), "its return was heard of late");
}

#[rstest]
#[case::half_of_today(17, 2)]
#[case::half_of_the_grown(124, 2)]
#[case::a_third(124, 3)]
fn where_some_are_not_answered_another_reads_for_all(#[case] hosts: u64, #[case] every: usize) {
    let mut fleet = Fleet::of(hosts);
    fleet.play(Millis::ZERO, Millis(3_000), &[]);
    let (from_ms, to_ms) = (Millis(3_000), Millis(11_000));
    fleet.outage = Some(Outage { from_ms, to_ms, every });
    let mut oldest_ms = Millis::ZERO;
    for step in 0..160 {
        let now_ms = from_ms + Millis(step * 50);
        fleet.play(now_ms, now_ms + Millis(50), &[]);
        oldest_ms = oldest_ms.max(fleet.oldest_ms(now_ms + Millis(50)));
    }
    assert!(oldest_ms < BOUND_MS, "{oldest_ms}");
}

#[test]
fn two_silent_readers_are_replaced_too() {
    let mut fleet = Fleet::new();
    fleet.play(Millis::ZERO, Millis(5_000), &[]);
    let first = fleet.readers();
    fleet.play(Millis(5_000), Millis(9_000), &first);
    let both: Vec<usize> = first.iter().chain(&fleet.readers()).copied().collect();
    fleet.play(Millis(9_000), Millis(12_000), &both);
    let heard = fleet.readers().into_iter().filter(|at| !both.contains(at)).count();
    assert_eq!(heard, 1);
}

#[rstest]
#[case::alone(StartConditions { is_seed: true, is_first: true, other_seeds: 0, link_mbps: None }, 0, 0)]
#[case::nobody_to_ask(StartConditions { is_seed: false, is_first: false, other_seeds: 0, link_mbps: None }, 0, 0)]
#[case::seed(StartConditions { is_seed: true, is_first: true, other_seeds: 2, link_mbps: None }, 15, 15)]
#[case::restart(StartConditions { is_seed: false, is_first: false, other_seeds: 3, link_mbps: None }, 80, 780)]
#[case::behind_a_narrow_link(StartConditions { is_seed: false, is_first: false, other_seeds: 3, link_mbps: NonZeroU32::new(20) }, 560, 1_260)]
#[case::behind_a_wide_link(StartConditions { is_seed: false, is_first: false, other_seeds: 3, link_mbps: NonZeroU32::new(1_000) }, 88, 788)]
#[case::first_start(StartConditions { is_seed: false, is_first: true, other_seeds: 3, link_mbps: None }, 1_540, 2_240)]
fn a_start_reads_in_time(
    #[case] start: StartConditions,
    #[case] first_ms: u64,
    #[case] rest_ms: u64,
) {
    let mut host = Host::new(3, start);
    let due_ms = |step: ReadStep| match step {
        ReadStep::Wait(until_ms) => until_ms,
        ReadStep::Sample | ReadStep::FirstPage | ReadStep::Snapshot | ReadStep::Changes(_) => {
            Millis::ZERO
        }
    };
    assert!(due_ms(host.step(Millis::ZERO)) <= Millis(first_ms));
    assert_eq!(host.step(Millis(first_ms)), ReadStep::FirstPage);
    // One call brought all of a small source; the rest of a large one may come from a peer.
    host.reader.first_page_succeeded();
    assert!(due_ms(host.step(Millis(first_ms))) <= Millis(rest_ms));
    assert_eq!(host.step(Millis(rest_ms)), ReadStep::Snapshot);
}

/// Who has callers waiting and a narrow link doesn't wait for it to carry everything.
#[rstest]
#[case::behind_a_narrow_link(10, false, 3, Some(20))]
#[case::behind_a_wide_link(1_000, false, 3, None)]
#[case::seed(10, true, 2, None)]
#[case::nobody_to_ask(10, false, 0, None)]
fn a_host_whose_callers_wait_reads_a_sample(
    #[case] link_mbps: u32,
    #[case] is_seed: bool,
    #[case] other_seeds: usize,
    #[case] sample_ms: Option<u64>,
) {
    let link_mbps = NonZeroU32::new(link_mbps);
    let mut host =
        Host::new(3, StartConditions { is_seed, is_first: false, other_seeds, link_mbps });
    host.is_wanted = true;
    let mut sampled_ms = None;
    for now in 0..100 {
        if host.step(Millis(now)) == ReadStep::Sample {
            sampled_ms.get_or_insert(now);
        }
    }
    assert_eq!(sampled_ms, sample_ms);
}

/// The rest comes later; a sample that lacks a service is no beginning.
#[rstest]
#[case::enough(true, false)]
#[case::too_small(false, true)]
fn after_a_sample_the_rest_is_read(#[case] is_enough: bool, #[case] reads_on: bool) {
    let link_mbps = NonZeroU32::new(10);
    let start = StartConditions { is_seed: false, is_first: false, other_seeds: 3, link_mbps };
    let mut host = Host::new(3, start);
    host.is_wanted = true;
    assert_eq!(host.step(Millis(20)), ReadStep::Sample);
    host.reader.sample_succeeded(is_enough);
    let next = host.step(Millis(1_000));
    assert_eq!(next == ReadStep::FirstPage, reads_on, "{next:?}");
    assert_eq!(host.step(Millis(2_000)) == ReadStep::Snapshot, !reads_on);
}

#[test]
fn failures_are_followed_by_growing_pauses_that_end() {
    let mut host = Host::new(
        3,
        StartConditions { is_seed: true, is_first: false, other_seeds: 0, link_mbps: None },
    );
    let mut now_ms = Millis::ZERO;
    let mut pauses = Vec::new();
    for _ in 0..8 {
        host.reader.failed(now_ms);
        match host.step(now_ms) {
            ReadStep::Wait(until_ms) => pauses.push(until_ms.since(now_ms)),
            step => panic!("{step:?} right after a failure"),
        }
        now_ms = now_ms + *pauses.last().unwrap();
    }
    assert!(pauses[0] >= Millis(250) && pauses[0] < Millis(350), "{pauses:?}");
    assert!(pauses.iter().all(|pause| *pause <= Millis(1_600)), "{pauses:?}");
}

#[test]
fn lost_history_is_followed_by_a_whole_reading() {
    let mut host = Host::new(
        3,
        StartConditions { is_seed: true, is_first: false, other_seeds: 0, link_mbps: None },
    );
    host.read(Millis(10));
    host.reader.require_snapshot();
    assert_eq!(host.step(Millis(2_000)), ReadStep::Snapshot);
}

#[test]
fn a_source_that_answers_is_not_held_to_be_away() {
    let mut host = Host::new(
        3,
        StartConditions { is_seed: false, is_first: false, other_seeds: 0, link_mbps: None },
    );
    host.read(Millis(10));
    let others: Vec<HostId> = host.members.others().map(|member| member.host.clone()).collect();
    let fail_all = |host: &mut Host, now_ms| {
        others.iter().for_each(|other| host.members.record_failed_read(now_ms, other));
    };
    fail_all(&mut host, Millis(2_000));
    let ReadStep::Wait(until_ms) = host.step(Millis(2_000)) else { panic!("it tried at once") };
    fail_all(&mut host, until_ms);
    assert!(matches!(host.step(until_ms), ReadStep::Changes(_)));
    // The source answered that its history is gone: it is there.
    host.reader.require_snapshot();
    assert_eq!(host.step(until_ms), ReadStep::Snapshot);
}

#[test]
fn a_picture_from_a_peer_need_not_be_read_again() {
    let mut host = Host::new(
        3,
        StartConditions { is_seed: true, is_first: false, other_seeds: 0, link_mbps: None },
    );
    let reader = member(4).host;
    host.hear(Millis(10), &reader);
    assert!(matches!(host.step(Millis(5_000)), ReadStep::Changes(_)));
}
