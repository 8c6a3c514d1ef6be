//! A fleet in virtual time whose hosts send every retry that their budgets allow.
//!
//! Hosts start, are killed, exit with an announcement, are cut off from each other and suspended.
//! Those in touch hear of a started host within a second; an announced exit is heard at once.

use dispatch::retry_budget::{FleetRetryLimits, RetryBudget};
use domain::{HostId, Incarnation, Millis, ServiceName};
use published::{Capacity, Member, Members};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;

/// Time of one step.
pub const STEP_MS: u64 = 100;

/// A host serves open requests for this long after it announced its exit.
const DRAIN_MS: u64 = 2_000;

/// For this long after its start, a host doesn't know the fleet.
const DISCOVERY_MS: u64 = 3_000;

/// Longest time until a host hears of one that started.
const HEARD_MS: u64 = 1_000;

/// Time between two rounds in which all hosts in touch hear of each other.
const GOSSIP_MS: u64 = 3_000;

/// What happens to a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostEvent {
    /// It is killed, and starts again after a time.
    Kill { down_ms: u64 },
    /// It announces its exit, finishes open requests, ends, and starts again after a time.
    Exit { down_ms: u64 },
    /// It stands still.
    Suspend { for_ms: u64 },
    /// It can reach only hosts of the same island.
    Island(u32),
}

/// A schedule.
#[derive(Debug, Clone)]
pub struct Schedule {
    /// Limits of the whole fleet.
    pub allowed: FleetRetryLimits,
    /// Number of hosts.
    pub hosts: usize,
    /// Requests of the whole fleet in a second.
    pub requests_per_s: f64,
    /// End of the schedule.
    pub duration_ms: u64,
    /// Hosts start within this time.
    pub start_spread_ms: u64,
    /// Whether any request fails, from when.
    pub fails_from_ms: u64,
    /// Share of the hosts whose requests fail.
    pub failing_share: f64,
    /// Events with their time and host.
    pub events: Vec<(u64, usize, HostEvent)>,
    /// Seed of the moments at which requests arrive and hosts hear of each other.
    pub seed: u64,
}

/// Requests and retries of each step, of all hosts together.
#[derive(Debug, Clone, Default)]
pub struct Sent {
    pub requests: Vec<u32>,
    pub retries: Vec<u32>,
}

#[derive(Debug)]
struct Run {
    started_ms: u64,
    budget: RetryBudget,
    members: Members,
    leaves_ms: Option<u64>,
}

impl Run {
    /// Sets the number of hosts that share the fixed part, as far as the host knows it. All know
    /// seeds, unless there is one host only.
    fn set_hosts(&mut self, now_ms: u64, hosts: usize) {
        let is_new = now_ms - self.started_ms < DISCOVERY_MS;
        let is_known = hosts == 1 || !is_new && self.members.knows_others();
        self.budget.set_hosts(is_known.then(|| self.members.sharing_count()));
    }
}

#[derive(Debug)]
struct SimulatedHost {
    member: Member,
    run: Option<Run>,
    starts_ms: Option<u64>,
    suspended_until_ms: u64,
    island: u32,
}

impl SimulatedHost {
    fn is_awake(&self, now_ms: u64) -> bool {
        self.run.is_some() && self.suspended_until_ms <= now_ms
    }

    fn takes_requests(&self, now_ms: u64) -> bool {
        self.is_awake(now_ms) && self.run.as_ref().is_some_and(|run| run.leaves_ms.is_none())
    }
}

/// Plays a schedule.
pub fn play(schedule: &Schedule) -> Sent {
    Fleet::new(schedule).play()
}

struct Fleet<'a> {
    schedule: &'a Schedule,
    service: ServiceName,
    hosts: Vec<SimulatedHost>,
    /// Who is to hear of a started host, and when.
    heard: Vec<(u64, usize, usize)>,
    rng: Pcg64Mcg,
    runs: u64,
}

impl Fleet<'_> {
    fn new(schedule: &Schedule) -> Fleet<'_> {
        let mut rng = Pcg64Mcg::seed_from_u64(schedule.seed);
        let spread_ms = schedule.start_spread_ms.max(1);
        let hosts = (0..schedule.hosts)
            .map(|index| SimulatedHost {
                member: member(index),
                run: None,
                starts_ms: Some(rng.random_range(0..spread_ms)),
                suspended_until_ms: 0,
                island: 0,
            })
            .collect();
        let service = "parts".parse().unwrap();
        Fleet { schedule, service, hosts, heard: Vec::new(), rng, runs: 0 }
    }

    fn play(mut self) -> Sent {
        let mut sent = Sent::default();
        let mut due_requests = 0.0;
        for now_ms in (0..self.schedule.duration_ms).step_by(STEP_MS as usize) {
            self.start_and_end_hosts(now_ms);
            self.apply_events(now_ms);
            self.hear(now_ms);
            due_requests += self.schedule.requests_per_s * STEP_MS as f64 / 1000.0;
            let requests = due_requests as u32;
            due_requests -= f64::from(requests);
            self.arrive(now_ms, requests);
            sent.requests.push(requests);
            sent.retries.push(self.retry(now_ms));
        }
        sent
    }

    fn start_and_end_hosts(&mut self, now_ms: u64) {
        for index in 0..self.hosts.len() {
            if self.hosts[index].starts_ms.is_some_and(|at_ms| at_ms <= now_ms) {
                self.start(index, now_ms);
            }
            let host = &mut self.hosts[index];
            let leaves_ms = host.run.as_ref().and_then(|run| run.leaves_ms);
            if leaves_ms.is_some_and(|at_ms| at_ms <= now_ms) {
                host.run = None;
            }
        }
    }

    fn start(&mut self, index: usize, now_ms: u64) {
        self.runs += 1;
        let seed = self.rng.random();
        let host = &mut self.hosts[index];
        host.member.incarnation = Incarnation(self.runs);
        host.starts_ms = None;
        host.suspended_until_ms = 0;
        let budget = RetryBudget::new(self.schedule.allowed, Millis(now_ms), seed);
        let members = Members::new(host.member.clone());
        host.run = Some(Run { started_ms: now_ms, budget, members, leaves_ms: None });
        for other in (0..self.hosts.len()).filter(|other| *other != index) {
            let [first_ms, second_ms] = [0; 2].map(|_| now_ms + self.rng.random_range(0..HEARD_MS));
            self.heard.push((first_ms, index, other));
            self.heard.push((second_ms, other, index));
        }
        self.join(index, now_ms);
    }

    /// A peer states the size of the fleet to a host that starts.
    fn join(&mut self, index: usize, now_ms: u64) {
        let peer = (0..self.hosts.len())
            .find(|&peer| peer != index && self.are_in_touch(index, peer, now_ms));
        let count = peer
            .and_then(|peer| self.hosts[peer].run.as_ref())
            .map(|run| run.members.stated_sharing_count());
        if let (Some(count), Some(run)) = (count, self.hosts[index].run.as_mut()) {
            run.members.record_fleet_size(Millis(now_ms), count);
        }
    }

    fn are_in_touch(&self, one: usize, other: usize, now_ms: u64) -> bool {
        let (one, other) = (&self.hosts[one], &self.hosts[other]);
        one.is_awake(now_ms) && other.is_awake(now_ms) && one.island == other.island
    }

    fn apply_events(&mut self, now_ms: u64) {
        let schedule = self.schedule;
        for &(at_ms, index, event) in &schedule.events {
            if at_ms / STEP_MS != now_ms / STEP_MS {
                continue;
            }
            match event {
                HostEvent::Kill { down_ms } if self.hosts[index].run.is_some() => {
                    self.hosts[index].run = None;
                    self.hosts[index].starts_ms = Some(now_ms + down_ms);
                }
                HostEvent::Exit { down_ms } if self.hosts[index].takes_requests(now_ms) => {
                    self.announce_exit(index, now_ms);
                    self.hosts[index].starts_ms = Some(now_ms + DRAIN_MS + down_ms);
                }
                HostEvent::Suspend { for_ms } => {
                    self.hosts[index].suspended_until_ms = now_ms + for_ms;
                }
                HostEvent::Island(island) => self.hosts[index].island = island,
                HostEvent::Kill { .. } | HostEvent::Exit { .. } => {}
            }
        }
    }

    fn announce_exit(&mut self, index: usize, now_ms: u64) {
        let Member { host, incarnation, .. } = self.hosts[index].member.clone();
        if let Some(run) = &mut self.hosts[index].run {
            run.leaves_ms = Some(now_ms + DRAIN_MS);
        }
        for peer in 0..self.hosts.len() {
            if peer != index && self.are_in_touch(index, peer, now_ms) {
                let run = self.hosts[peer].run.as_mut().unwrap();
                run.members.remove_leaving(Millis(now_ms), &host, incarnation);
            }
        }
    }

    fn hear(&mut self, now_ms: u64) {
        let heard = std::mem::take(&mut self.heard);
        let (due, later) = heard.into_iter().partition(|(at_ms, ..)| *at_ms <= now_ms);
        self.heard = later;
        let due: Vec<(u64, usize, usize)> = due;
        for (_, of, by) in due {
            self.record(of, by, now_ms);
        }
        if now_ms.is_multiple_of(GOSSIP_MS) {
            for of in 0..self.hosts.len() {
                (0..self.hosts.len()).for_each(|by| self.record(of, by, now_ms));
            }
        }
        for host in self.hosts.iter_mut().filter(|host| host.is_awake(now_ms)) {
            host.run.iter_mut().for_each(|run| drop(run.members.expire(Millis(now_ms))));
        }
    }

    fn record(&mut self, of: usize, by: usize, now_ms: u64) {
        let is_leaving = self.hosts[of].run.as_ref().is_some_and(|run| run.leaves_ms.is_some());
        if of != by && !is_leaving && self.are_in_touch(of, by, now_ms) {
            let member = self.hosts[of].member.clone();
            self.hosts[by].run.as_mut().unwrap().members.record(Millis(now_ms), member);
        }
    }

    /// Requests arrive at hosts that take them; at any, if none does.
    fn arrive(&mut self, now_ms: u64, requests: u32) {
        let ready: Vec<usize> = (0..self.hosts.len())
            .filter(|&index| self.hosts[index].takes_requests(now_ms))
            .collect();
        if ready.is_empty() {
            return;
        }
        for _ in 0..requests {
            let index = ready[self.rng.random_range(0..ready.len())];
            let run = self.hosts[index].run.as_mut().unwrap();
            run.set_hosts(now_ms, self.schedule.hosts);
            run.budget.record_request(Millis(now_ms), &self.service);
        }
    }

    /// Number of retries that all hosts send; each host sends as many as it may.
    fn retry(&mut self, now_ms: u64) -> u32 {
        if now_ms < self.schedule.fails_from_ms {
            return 0;
        }
        let failing = (self.schedule.failing_share * self.hosts.len() as f64).ceil() as usize;
        let mut retries = 0;
        for host in self.hosts.iter_mut().take(failing).filter(|host| host.is_awake(now_ms)) {
            let run = host.run.as_mut().unwrap();
            run.set_hosts(now_ms, self.schedule.hosts);
            while run.budget.try_reserve(Millis(now_ms), &self.service) {
                run.budget.record_sent(Millis(now_ms), &self.service);
                retries += 1;
            }
        }
        retries
    }
}

fn member(index: usize) -> Member {
    let host: HostId = format!("front-{index}").parse().unwrap();
    let address = SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7540));
    Member {
        host,
        incarnation: Incarnation(0),
        availability_zone: "kariakoo".parse().unwrap(),
        address,
        capacity: Capacity::default(),
    }
}

/// Most retries in a window beyond what is allowed for it, over all windows; negative if none is.
/// The requests are those of the window, the one before it, or the one half a window before,
/// whichever has most.
pub fn most_excess(sent: &Sent, allowed: FleetRetryLimits) -> f64 {
    let steps = (allowed.window_ms.0 / STEP_MS) as usize;
    let sum = |counts: &[u32], from: i64| -> f64 {
        let at = |index: i64| index.clamp(0, counts.len() as i64) as usize;
        counts[at(from)..at(from + steps as i64)].iter().map(|&count| f64::from(count)).sum()
    };
    let excess = |from: usize| {
        let (from, length) = (from as i64, steps as i64);
        let requests = [from, from - length / 2, from - length]
            .map(|start| sum(&sent.requests, start))
            .into_iter()
            .fold(0.0, f64::max);
        sum(&sent.retries, from) - allowed.ratio.0 * requests - allowed.slack
    };
    (0..sent.retries.len()).map(excess).fold(f64::NEG_INFINITY, f64::max)
}
