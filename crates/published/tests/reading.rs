//! One host reads the source for all, and another takes over soon if it fails.
#![allow(clippy::unwrap_used)]

use domain::{HostId, Incarnation, Millis};
use published::{
    Capacity, Member, Members, PublishedState, ReadStep, Reader, Revision, Snapshot,
    StartConditions, Waiting,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use std::num::NonZeroU32;

const HOSTS: u64 = 17;

/// Response time of the source.
const RESPONSE_MS: Millis = Millis(4);

/// Time within which a published change must be in force.
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

/// Timeout of a call to the source.
const SOURCE_TIMEOUT_MS: Millis = Millis(400);

/// One host of a fleet that knows all others.
struct Host {
    members: Members,
    state: PublishedState,
    reader: Reader,
    /// Whether requests wait for a routing.
    is_wanted: bool,
    is_fetching: bool,
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
        let state = PublishedState::default();
        Host { members, state, reader, is_wanted: false, is_fetching: false }
    }

    fn step(&mut self, now_ms: Millis) -> ReadStep {
        let waiting = Waiting { for_routing: self.is_wanted, for_fetch: self.is_fetching };
        self.reader.step(now_ms, &self.members, &self.state, waiting)
    }

    fn read(&mut self, now_ms: Millis) {
        let snapshot =
            Snapshot { revision: Revision(1), items: Vec::new(), overwritten: Vec::new() };
        self.state.apply_snapshot(now_ms, snapshot);
        self.reader.succeeded(now_ms, false);
    }

    fn receive(&mut self, now_ms: Millis, reader: &HostId) {
        let snapshot =
            Snapshot { revision: Revision(1), items: Vec::new(), overwritten: Vec::new() };
        self.state.apply_snapshot(now_ms, snapshot);
        self.members.record_read(now_ms, reader);
    }
}

/// A simulated fleet.
struct Fleet {
    hosts: Vec<Host>,
    /// When the read of each host ends, if one is under way.
    due: Vec<Option<Millis>>,
    /// Until when each host waits, unless it receives an update.
    wake: Vec<Millis>,
    /// An outage of the source, if there is one.
    outage: Option<Outage>,
}

/// A time in which the source doesn't answer some hosts.
struct Outage {
    from_ms: Millis,
    to_ms: Millis,
    /// Affects the hosts whose index is a multiple of this.
    every: usize,
}

impl Outage {
    fn affects(&self, now_ms: Millis, at: usize) -> bool {
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

    /// Simulates the fleet; `silent` hosts neither read nor receive. Returns the number of calls.
    fn run(&mut self, from_ms: Millis, to_ms: Millis, silent: &[usize]) -> usize {
        let mut calls = 0;
        for now in from_ms.0..to_ms.0 {
            let now_ms = Millis(now);
            let (mut succeeded, mut failed) = (Vec::new(), Vec::new());
            for (at, host) in self.hosts.iter_mut().enumerate() {
                let is_affected =
                    |at_ms: Millis| self.outage.as_ref().is_some_and(|o| o.affects(at_ms, at));
                if silent.contains(&at) {
                    continue;
                }
                match self.due[at] {
                    Some(due_ms) if due_ms <= now_ms && is_affected(now_ms - Millis(1)) => {
                        self.due[at] = None;
                        host.reader.failed(now_ms);
                        failed.push((at, host.members.own().host.clone()));
                    }
                    Some(due_ms) if due_ms <= now_ms => {
                        self.due[at] = None;
                        host.read(now_ms);
                        succeeded.push((at, host.members.own().host.clone()));
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
                                RESPONSE_MS
                            }
                            ReadStep::Changes(wait_ms) if is_affected(now_ms) => {
                                wait_ms + SOURCE_TIMEOUT_MS
                            }
                            ReadStep::Changes(wait_ms) => wait_ms + RESPONSE_MS,
                        };
                        calls += 1;
                        self.due[at] = Some(now_ms + took_ms);
                    }
                }
            }
            for (reader_at, reader) in failed {
                for (at, host) in self.hosts.iter_mut().enumerate() {
                    if at != reader_at {
                        host.members.record_failed_read(now_ms, &reader);
                    }
                }
            }
            for (reader_at, reader) in succeeded {
                for (at, host) in self.hosts.iter_mut().enumerate() {
                    if at != reader_at && !silent.contains(&at) {
                        host.receive(now_ms, &reader);
                        self.wake[at] = now_ms;
                    }
                }
            }
        }
        calls
    }

    fn oldest_ms(&self, now_ms: Millis) -> Millis {
        let age = |host: &Host| now_ms.since(host.state.confirmed_ms().unwrap());
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
    fleet.run(Millis::ZERO, Millis(5_000), &[]);
    assert_eq!(fleet.readers().len(), 1);
    let calls = fleet.run(Millis(5_000), Millis(12_000), &[]);
    assert!(calls <= 11, "{calls} calls in 7 s");
}

#[test]
fn a_silent_reader_is_replaced_in_time() {
    let mut fleet = Fleet::new();
    fleet.run(Millis::ZERO, Millis(5_000), &[]);
    let silent = fleet.readers();
    let rest = |at: &usize| !silent.contains(at);
    let (mut oldest_ms, mut calls) = (Millis::ZERO, 0);
    for step in 0..60 {
        let from_ms = Millis(5_000 + step * 50);
        calls += fleet.run(from_ms, from_ms + Millis(50), &silent);
        let now_ms = from_ms + Millis(50);
        let ages = (0..fleet.hosts.len())
            .filter(rest)
            .map(|at| now_ms.since(fleet.hosts[at].state.confirmed_ms().unwrap()));
        oldest_ms = oldest_ms.max(ages.max().unwrap());
    }
    assert!(oldest_ms < BOUND_MS, "{oldest_ms}");
    // The calls of one reader in 3 s, and of the one that took over.
    assert!(calls <= 7, "{calls}");
}

#[test]
fn the_first_reader_takes_over_again_after_its_return() {
    let mut fleet = Fleet::new();
    fleet.run(Millis::ZERO, Millis(5_000), &[]);
    let first = fleet.readers();
    fleet.run(Millis(5_000), Millis(9_000), &first);
    fleet.run(Millis(9_000), Millis(14_000), &[]);
    assert_eq!(fleet.readers(), first);
}

/// Guards against a fleet that reads the source at the same moment when its first readers are gone:
/// each call counts, and the source answers 2,000 a second of all readers.
#[rstest]
#[case::a_zone(600, 40)]
#[case::half(600, 300)]
#[case::a_zone_of_many(3_000, 200)]
fn if_many_readers_are_lost_few_others_read_at_once(#[case] hosts: u64, #[case] lost: usize) {
    let mut fleet = Fleet::of(hosts);
    fleet.run(Millis::ZERO, Millis(3_000), &[]);
    let mut by_rank: Vec<usize> = (0..fleet.hosts.len()).collect();
    by_rank.sort_by_key(|&at| fleet.hosts[at].members.reader_rank());
    let calls = fleet.run(Millis(3_000), Millis(5_200), &by_rank[..lost]);
    let now_ms = Millis(5_200);
    let served = by_rank[lost..].iter().map(|&at| &fleet.hosts[at]);
    let oldest_ms = served.map(|host| now_ms.since(host.state.confirmed_ms().unwrap())).max();
    assert!(oldest_ms < Some(BOUND_MS), "{oldest_ms:?}");
    assert!(calls <= hosts as usize / 10, "{calls} calls of {hosts} hosts");
}

/// In an outage of 8 s, the number of calls hardly depends on the size of the fleet.
#[rstest]
#[case::small(17, 80)]
#[case::medium(60, 100)]
#[case::large(124, 100)]
#[case::huge(400, 100)]
fn an_outage_limits_the_calls_of_the_whole_fleet(#[case] hosts: u64, #[case] max_calls: usize) {
    let mut fleet = Fleet::of(hosts);
    fleet.run(Millis::ZERO, Millis(3_000), &[]);
    let (from_ms, to_ms) = (Millis(3_000), Millis(11_000));
    fleet.outage = Some(Outage { from_ms, to_ms, every: 1 });
    let calls = fleet.run(from_ms, to_ms, &[]);
    assert!(calls <= max_calls, "{calls} calls in 8 s");
    let recovered_ms = to_ms + Millis(1_000);
    fleet.run(to_ms, recovered_ms, &[]);
    assert!(
        fleet.oldest_ms(recovered_ms) < Millis(1_000),
        "the end of the outage was noticed late"
    );
}

#[rstest]
#[case::half_of_a_small_fleet(17, 2)]
#[case::half_of_a_large_fleet(124, 2)]
#[case::a_third(124, 3)]
fn if_the_source_fails_for_some_hosts_another_reads_for_all(
    #[case] hosts: u64,
    #[case] every: usize,
) {
    let mut fleet = Fleet::of(hosts);
    fleet.run(Millis::ZERO, Millis(3_000), &[]);
    let (from_ms, to_ms) = (Millis(3_000), Millis(11_000));
    fleet.outage = Some(Outage { from_ms, to_ms, every });
    let mut oldest_ms = Millis::ZERO;
    for step in 0..160 {
        let now_ms = from_ms + Millis(step * 50);
        fleet.run(now_ms, now_ms + Millis(50), &[]);
        oldest_ms = oldest_ms.max(fleet.oldest_ms(now_ms + Millis(50)));
    }
    assert!(oldest_ms < BOUND_MS, "{oldest_ms}");
}

#[test]
fn two_silent_readers_are_replaced() {
    let mut fleet = Fleet::new();
    fleet.run(Millis::ZERO, Millis(5_000), &[]);
    let first = fleet.readers();
    fleet.run(Millis(5_000), Millis(9_000), &first);
    let both: Vec<usize> = first.iter().chain(&fleet.readers()).copied().collect();
    fleet.run(Millis(9_000), Millis(12_000), &both);
    let new_readers = fleet.readers().into_iter().filter(|at| !both.contains(at)).count();
    assert_eq!(new_readers, 1);
}

#[rstest]
#[case::alone(StartConditions { is_seed: true, is_first: true, other_seeds: 0, link_mbps: None }, 0, 0)]
#[case::no_seeds(StartConditions { is_seed: false, is_first: false, other_seeds: 0, link_mbps: None }, 0, 0)]
#[case::seed(StartConditions { is_seed: true, is_first: true, other_seeds: 2, link_mbps: None }, 15, 15)]
#[case::restart(StartConditions { is_seed: false, is_first: false, other_seeds: 3, link_mbps: None }, 80, 780)]
#[case::slow_link(StartConditions { is_seed: false, is_first: false, other_seeds: 3, link_mbps: NonZeroU32::new(20) }, 560, 1_260)]
#[case::fast_link(StartConditions { is_seed: false, is_first: false, other_seeds: 3, link_mbps: NonZeroU32::new(1_000) }, 88, 788)]
#[case::first_start(StartConditions { is_seed: false, is_first: true, other_seeds: 3, link_mbps: None }, 1_540, 2_240)]
fn a_host_reads_in_time_after_its_start(
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
    // The source has more pages, which may come from a peer.
    host.reader.first_page_succeeded();
    assert!(due_ms(host.step(Millis(first_ms))) <= Millis(rest_ms));
    assert_eq!(host.step(Millis(rest_ms)), ReadStep::Snapshot);
}

#[rstest]
#[case::slow_link(10, false, 3, Some(20))]
#[case::fast_link(1_000, false, 3, None)]
#[case::seed(10, true, 2, None)]
#[case::no_seeds(10, false, 0, None)]
fn a_host_with_waiting_requests_and_a_slow_link_reads_a_sample(
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

/// If the sample lacks a service, the first page is read next.
#[rstest]
#[case::enough(true, false)]
#[case::too_small(false, true)]
fn a_snapshot_is_read_after_a_sample(#[case] is_enough: bool, #[case] reads_on: bool) {
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
fn pauses_after_failures_grow_up_to_a_limit() {
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
fn a_full_snapshot_is_read_after_a_lost_history() {
    let mut host = Host::new(
        3,
        StartConditions { is_seed: true, is_first: false, other_seeds: 0, link_mbps: None },
    );
    host.read(Millis(10));
    host.reader.require_snapshot();
    assert_eq!(host.step(Millis(2_000)), ReadStep::Snapshot);
}

#[test]
fn a_source_with_a_lost_history_counts_as_available() {
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
    let ReadStep::Wait(until_ms) = host.step(Millis(2_000)) else { panic!("it read at once") };
    fail_all(&mut host, until_ms);
    assert!(matches!(host.step(until_ms), ReadStep::Changes(_)));
    // The source answered that it lost its history.
    host.reader.require_snapshot();
    assert_eq!(host.step(until_ms), ReadStep::Snapshot);
}

/// Guards against hosts that read a change from the source while a peer is about to send it, as each
/// peer sends a large one to few hosts at a time. They still read in time if it doesn't come.
#[test]
fn a_host_that_fetches_a_change_reads_last() {
    let mut fleet = Fleet::new();
    fleet.run(Millis::ZERO, Millis(5_000), &[]);
    let reader = fleet.readers()[0];
    let host = &mut fleet.hosts[if reader == 0 { 1 } else { 0 }];
    let confirmed_ms = host.state.confirmed_ms().unwrap();
    let turn = host.step(confirmed_ms + Millis(500));
    host.is_fetching = true;
    let last_turn = ReadStep::Wait(confirmed_ms + BOUND_MS - Millis(200));
    assert_eq!(host.step(confirmed_ms + Millis(500)), last_turn);
    assert!(matches!(host.step(confirmed_ms + BOUND_MS - Millis(200)), ReadStep::Changes(_)));
    host.is_fetching = false;
    assert_ne!(turn, last_turn);
}

/// Guards against a host that reads the source again after an outage, and then waits for its turn in
/// the outage, since its peers had failed before: nobody read on, and changes were late.
#[test]
fn a_host_that_has_read_the_source_reads_on_though_others_had_failed() {
    let mut fleet = Fleet::of(113);
    fleet.run(Millis::ZERO, Millis(3_000), &[]);
    let at = fleet.readers()[0];
    let reader = &mut fleet.hosts[at];
    let others: Vec<HostId> = reader.members.others().map(|other| other.host.clone()).collect();
    others.iter().for_each(|other| reader.members.record_failed_read(Millis(3_050), other));
    reader.read(Millis(3_100));
    assert!(matches!(reader.step(Millis(3_100)), ReadStep::Changes(_)));
    // Failures after that count again.
    others.iter().for_each(|other| reader.members.record_failed_read(Millis(3_200), other));
    assert!(matches!(reader.step(Millis(3_200)), ReadStep::Wait(_)));
}

#[test]
fn a_snapshot_from_a_peer_is_not_read_again() {
    let mut host = Host::new(
        3,
        StartConditions { is_seed: true, is_first: false, other_seeds: 0, link_mbps: None },
    );
    let reader = member(4).host;
    host.receive(Millis(10), &reader);
    assert!(matches!(host.step(Millis(5_000)), ReadStep::Changes(_)));
}
