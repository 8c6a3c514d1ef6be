//! The quota of one organisation in virtual time: hosts that ask its owner, under faults.
#![allow(clippy::unwrap_used)]

use dispatch::quota::{Ping, QuotaClient, QuotaOwner, QuotaTolerance, Reach, Verdict, candidates};
use domain::{HostId, Incarnation, Millis, PerSecond, Share};
use published::{Capacity, Member, Organisation, Quota};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use std::net::SocketAddr;

const TOLERANCE: QuotaTolerance =
    QuotaTolerance { over: Share(0.25), slack: 20.0, window_ms: Millis(5_000) };

/// Time of a message between two hosts.
const TRANSIT_MS: Millis = Millis(1);

/// Time until a host counts as unresponsive for one request.
const TIMEOUT_MS: Millis = Millis(30);

const PING_EVERY_MS: u64 = 60;

const END_MS: u64 = 24_000;

/// What goes wrong from 8 to 16 s.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// The hosts fall into this many parts that don't reach each other.
    Split(usize),
    /// A third of the hosts reaches no other host.
    Lone,
    /// A tenth of the hosts is dead and takes no requests.
    Dead,
    /// All hosts restart at 8 s.
    AllRestart,
    /// The owner restarts each second.
    OwnerRestarts,
    /// Only the owner is cut off.
    OwnerCut,
    /// From 8 s on, the rate and the burst are a fifth.
    Lowered,
}

/// Which hosts get requests.
#[derive(Debug, Clone, Copy)]
enum Callers {
    /// All hosts alike.
    Everywhere,
    /// Three hosts.
    OnThree,
}

struct SimHost {
    client: QuotaClient,
    owner: QuotaOwner,
    reach: Reach,
}

impl SimHost {
    fn new(id: &HostId) -> SimHost {
        let client = QuotaClient::new(id.clone());
        SimHost { client, owner: QuotaOwner::default(), reach: Reach::default() }
    }
}

struct Simulation {
    members: Vec<Member>,
    hosts: Vec<SimHost>,
    candidates: Vec<Member>,
    organisation: Organisation,
    quota: Quota,
    fault: Fault,
    rng: Pcg64Mcg,
}

impl Simulation {
    fn new(hosts: usize, quota: Quota, fault: Fault, seed: u64) -> Simulation {
        let member = |number: usize| Member {
            host: format!("front-{number}").parse().unwrap(),
            incarnation: Incarnation(number as u64 + 1),
            availability_zone: "kariakoo".parse().unwrap(),
            address: format!("10.{}.{}.1:7001", number / 250, number % 250).parse().unwrap(),
            capacity: Capacity::default(),
        };
        let members: Vec<Member> = (0..hosts).map(member).collect();
        let organisation = Organisation {
            name: "acme".parse().unwrap(),
            keys: Vec::new(),
            priority: None,
            quota: Some(quota),
        };
        Simulation {
            hosts: members.iter().map(|member| SimHost::new(&member.host)).collect(),
            candidates: candidates(&organisation.name, &members),
            members,
            organisation,
            quota,
            fault,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn number(&self, member: &Member) -> usize {
        self.members.iter().position(|other| other.host == member.host).unwrap()
    }

    fn has_fault(&self, now_ms: Millis) -> bool {
        (8_000..16_000).contains(&now_ms.0)
    }

    fn is_dead(&self, now_ms: Millis, host: usize) -> bool {
        let hosts = self.members.len();
        self.fault == Fault::Dead && self.has_fault(now_ms) && host >= hosts - hosts / 10
    }

    fn reaches(&self, now_ms: Millis, from: usize, to: usize) -> bool {
        let owner = self.number(&self.candidates[0]);
        let is_up = !self.is_dead(now_ms, to);
        is_up
            && match self.fault {
                _ if from == to || !self.has_fault(now_ms) => true,
                Fault::Split(parts) => from % parts == to % parts,
                Fault::Lone => !from.is_multiple_of(3) && !to.is_multiple_of(3),
                Fault::OwnerCut => from != owner && to != owner,
                _ => true,
            }
    }

    fn quota_at(&self, now_ms: Millis) -> Quota {
        match self.fault == Fault::Lowered && now_ms.0 >= 8_000 {
            true => Quota { rate: PerSecond(self.quota.rate.0 / 5.0), burst: self.quota.burst / 5 },
            false => self.quota,
        }
    }

    fn decide(&mut self, now_ms: Millis, owner: usize) -> Verdict {
        let (quota, hosts) = (self.quota_at(now_ms), self.members.len() as u32);
        let SimHost { owner, reach, .. } = &mut self.hosts[owner];
        owner.decide(now_ms, &self.organisation.name, quota, TOLERANCE, reach.part(hosts, hosts))
    }

    /// The answer of a host that is asked: by the owner if the host reaches it, else its own.
    fn answer(&mut self, now_ms: Millis, asked: usize) -> Verdict {
        let owner = self.number(&self.candidates[0]);
        match asked != owner && self.reaches(now_ms, asked, owner) {
            true => self.decide(now_ms + TRANSIT_MS, owner),
            false => self.decide(now_ms, asked),
        }
    }

    /// Whether a request that arrives at a host is admitted, and when.
    fn request(&mut self, mut now_ms: Millis, host: usize) -> Option<Millis> {
        let organisation = self.organisation.clone();
        if let Some(verdict) = self.hosts[host].client.decide_alone(now_ms, &organisation) {
            return (verdict == Verdict::Granted).then_some(now_ms);
        }
        let mut asked = Vec::new();
        loop {
            let next = self.hosts[host].client.next_owner(now_ms, &self.candidates, &asked);
            let Some(owner) = next.cloned() else { break };
            let number = self.number(&owner);
            if !self.reaches(now_ms, host, number) {
                now_ms = now_ms + TIMEOUT_MS;
                self.hosts[host].client.record_timeout(now_ms, &owner.host);
                asked.push(owner.host);
                continue;
            }
            let verdict = match number == host {
                true => self.decide(now_ms, host),
                false => self.answer(now_ms + TRANSIT_MS, number),
            };
            now_ms = now_ms + TRANSIT_MS + TRANSIT_MS;
            let client = &mut self.hosts[host].client;
            client.record_answer(now_ms, &owner.host, &organisation.name, verdict);
            return (verdict == Verdict::Granted).then_some(now_ms);
        }
        let (quota, hosts) = (self.quota_at(now_ms), self.members.len() as u32);
        let client = &mut self.hosts[host].client;
        client.take_standing(now_ms, &organisation.name, quota, TOLERANCE, hosts).then_some(now_ms)
    }

    fn ping(&mut self, now_ms: Millis) {
        for host in 0..self.hosts.len() {
            if !self.hosts[host].owner.is_active(now_ms) {
                self.hosts[host].reach.reset();
                continue;
            }
            let others = self.members.iter().enumerate();
            let others = others.filter(|(number, _)| *number != host);
            let others = others.map(|(_, member)| member.address);
            let ping = self.hosts[host].reach.next_ping(now_ms, others, &mut self.rng);
            let Some(Ping { number, to }) = ping else { continue };
            let to = self.members.iter().position(|member| member.address == to).unwrap();
            if self.reaches(now_ms, host, to) {
                self.hosts[host].reach.record_pong(now_ms + TRANSIT_MS + TRANSIT_MS, number);
            }
        }
    }

    fn restart(&mut self, host: usize) {
        self.hosts[host] = SimHost::new(&self.members[host].host);
    }

    fn run_faults(&mut self, now_ms: Millis) {
        match self.fault {
            Fault::AllRestart if now_ms.0 == 8_000 => {
                (0..self.hosts.len()).for_each(|host| self.restart(host));
            }
            Fault::OwnerRestarts if self.has_fault(now_ms) && now_ms.0.is_multiple_of(1_000) => {
                self.restart(self.number(&self.candidates[0]));
            }
            _ => {}
        }
    }

    /// Plays requests at a multiple of the rate; returns when requests arrived and were admitted.
    fn play(&mut self, callers: Callers, demand: f64) -> Played {
        let mut played = Played::default();
        let chance = self.quota.rate.0 * demand / 1_000.0;
        for at_ms in (0..END_MS).map(Millis) {
            self.run_faults(at_ms);
            if at_ms.0.is_multiple_of(PING_EVERY_MS) {
                self.ping(at_ms);
            }
            // At most three requests a millisecond.
            for _ in 0..3 {
                if self.rng.random::<f64>() >= chance / 3.0 {
                    continue;
                }
                let host = match callers {
                    Callers::Everywhere => self.rng.random_range(0..self.members.len()),
                    Callers::OnThree => self.rng.random_range(1..4),
                };
                if !self.is_dead(at_ms, host) {
                    played.asked.push(at_ms);
                    played.admitted.extend(self.request(at_ms, host));
                }
            }
        }
        played.admitted.sort();
        played
    }
}

#[derive(Debug, Default)]
struct Played {
    asked: Vec<Millis>,
    admitted: Vec<Millis>,
}

impl Played {
    fn admitted_within(&self, from_ms: u64, to_ms: u64) -> usize {
        let is_within = |at_ms: &&Millis| (from_ms..to_ms).contains(&at_ms.0);
        self.admitted.iter().filter(is_within).count()
    }

    /// Most admitted requests in a window that starts at `from_ms` or later.
    fn most_in_window(&self, from_ms: u64) -> usize {
        let starts = self.admitted.iter().filter(|at_ms| at_ms.0 >= from_ms);
        let count = |start: &Millis| self.admitted_within(start.0, start.0 + TOLERANCE.window_ms.0);
        starts.map(count).max().unwrap_or_default()
    }
}

fn bound(quota: Quota) -> f64 {
    let window_s = TOLERANCE.window_ms.as_f64() / 1_000.0;
    let allowed = quota.rate.0 * window_s + f64::from(quota.burst);
    allowed * (1.0 + TOLERANCE.over.0) + TOLERANCE.slack
}

/// The fleet admits more than the bound, while it is split, restarts or loses the owner.
#[rstest]
fn a_fleet_stays_within_the_bound(
    #[values(13, 97, 600, 3_000)] hosts: usize,
    #[values((2.0, 2), (20.0, 20), (74.0, 74), (74.0, 0))] quota: (f64, u32),
    #[values(Callers::Everywhere, Callers::OnThree)] callers: Callers,
    #[values(
        Fault::None,
        Fault::Split(2),
        Fault::Split(3),
        Fault::Lone,
        Fault::Dead,
        Fault::AllRestart,
        Fault::OwnerRestarts,
        Fault::OwnerCut,
        Fault::Lowered
    )]
    fault: Fault,
    #[values(1, 2)] seed: u64,
) {
    let quota = Quota { rate: PerSecond(quota.0), burst: quota.1 };
    let mut simulation = Simulation::new(hosts, quota, fault, seed);
    let played = simulation.play(callers, 5.0);
    let most = played.most_in_window(0);
    assert!(most as f64 <= bound(quota), "{most} in a window, {} allowed", bound(quota));
    if fault == Fault::Lowered {
        // A lower limit binds one window later.
        let lowered = simulation.quota_at(Millis(END_MS));
        let most = played.most_in_window(8_000 + TOLERANCE.window_ms.0);
        assert!(most as f64 <= bound(lowered), "{most}, {} allowed", bound(lowered));
    }
}

/// Requests are refused below the quota: callers on few hosts get only these hosts' shares, or
/// tokens are lost between requests.
#[rstest]
fn demand_beyond_the_quota_uses_it(
    #[values(13, 97, 600, 3_000)] hosts: usize,
    #[values((5.0, 5), (74.0, 74), (74.0, 0))] quota: (f64, u32),
    #[values(Callers::Everywhere, Callers::OnThree)] callers: Callers,
    #[values(Fault::None, Fault::Dead)] fault: Fault,
) {
    let quota = Quota { rate: PerSecond(quota.0), burst: quota.1 };
    let played = Simulation::new(hosts, quota, fault, 1).play(callers, 3.0);
    let used = played.admitted_within(2_000, END_MS) as f64;
    let allowed = quota.rate.0 * (END_MS - 2_000) as f64 / 1_000.0;
    assert!(used >= 0.95 * allowed, "{used} of {allowed} used");
}

/// Requests that a single counter for the whole fleet would admit are refused.
#[rstest]
fn demand_within_the_quota_is_admitted(
    #[values(13, 97, 600, 3_000)] hosts: usize,
    #[values(2.0, 20.0, 74.0)] rate: f64,
    #[values(Callers::Everywhere, Callers::OnThree)] callers: Callers,
    #[values(Fault::None, Fault::Dead, Fault::AllRestart, Fault::OwnerCut)] fault: Fault,
) {
    let quota = Quota { rate: PerSecond(rate), burst: rate as u32 };
    let played = Simulation::new(hosts, quota, fault, 1).play(callers, 0.6);
    let wanted = admitted_by_one_counter(quota, &played.asked);
    let missing = wanted.saturating_sub(played.admitted.len());
    assert!(missing * 20 <= wanted, "{} of {wanted}", played.admitted.len());
}

fn admitted_by_one_counter(quota: Quota, asked: &[Millis]) -> usize {
    let (mut tokens, mut last_ms, mut admitted) = (f64::from(quota.burst), Millis::ZERO, 0);
    for &at_ms in asked {
        let gained = at_ms.since(last_ms).as_f64() / 1_000.0 * quota.rate.0;
        tokens = (tokens + gained).min(f64::from(quota.burst));
        last_ms = at_ms;
        if tokens >= 1.0 {
            tokens -= 1.0;
            admitted += 1;
        }
    }
    admitted
}

/// Guards against two owners that each grant the whole quota once a side of a cut has forgotten the
/// other.
#[rstest]
#[case::halves(9, 18, 0.5)]
#[case::one_host(1, 18, 1.0 / 18.0)]
#[case::nobody_is_missing(18, 18, 1.0)]
fn the_part_that_is_reached_counts_hosts_that_fell_silent(
    #[case] known: u32,
    #[case] sharing: u32,
    #[case] expected: f64,
) {
    let mut reach = Reach::default();
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    for now_ms in (0..60_000).step_by(50) {
        let others = (1..known).map(|host| SocketAddr::from(([10, 0, 0, host as u8], 7540)));
        let ping = reach.next_ping(Millis(now_ms), others, &mut rng);
        ping.into_iter().for_each(|ping| reach.record_pong(Millis(now_ms + 1), ping.number));
    }
    let part = reach.part(known, sharing);
    assert!((part - expected).abs() < 1e-9, "{part}");
}
