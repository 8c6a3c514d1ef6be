//! The fleet stays within its retries, and uses them, while hosts lend what they counted to
//! schedulers. In virtual time, without a network.
#![allow(clippy::unwrap_used)]

mod support;

use dispatch::budget::{FleetRetryLimits, RetryBudget};
use dispatch::retry_pool::{Lender, Loan, RetryDecision, RetryPools};
use dispatch::scheduler::{
    Cell, Effect, PlacementMessage, RefusalCause, Requester, SchedulerSet, Submission, Ticket,
};
use domain::{HostId, Incarnation, Millis, ServiceName, Share};
use published::{Capacity, Member};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use std::collections::BTreeMap;
use support::{report, submission};

const WINDOW_MS: u64 = 10_000;
const END_MS: u64 = 45_000;
const TIMEOUT_MS: u64 = 25;
const LIMITS: FleetRetryLimits =
    FleetRetryLimits { ratio: Share(0.2), slack: 156.0, window_ms: Millis(WINDOW_MS) };

fn service() -> ServiceName {
    "parts".parse().unwrap()
}

fn cell() -> Cell {
    Cell { service: service(), zone: None }
}

fn host_id(number: usize) -> HostId {
    format!("front-{number}").parse().unwrap()
}

fn requester(host: usize) -> Requester {
    Requester::Peer(format!("127.0.0.1:{}", 7_000 + host).parse().unwrap())
}

/// What happens to a fleet.
struct Scenario {
    hosts: usize,
    /// Requests of each host per second.
    per_s: f64,
    loss: f64,
    copies: f64,
    /// The time from which all requests fail.
    failing_from_ms: u64,
    /// The hosts whose requests fail.
    is_failing: fn(usize) -> bool,
    /// Interval at which hosts restart.
    restart_interval_ms: Option<u64>,
    /// Whether a host is up at a time.
    is_up: fn(u64, usize) -> bool,
    /// The scheduler of a host at a time; none if the host is cut off.
    scheduler: fn(u64, usize) -> Option<usize>,
}

const CALM: Scenario = Scenario {
    hosts: 48,
    per_s: 20.0,
    loss: 0.0,
    copies: 0.0,
    failing_from_ms: 0,
    is_failing: |_| true,
    restart_interval_ms: None,
    is_up: |_, _| true,
    scheduler: |_, _| Some(0),
};

struct Host {
    budget: RetryBudget,
    lender: Lender,
    pools: RetryPools,
    incarnation: u64,
    is_up: bool,
    misses: u32,
    excluded: Option<Member>,
}

impl Host {
    fn start(number: usize, now_ms: u64, incarnation: u64) -> Host {
        let mut pools = RetryPools::default();
        pools.set_limits(LIMITS);
        let budget = RetryBudget::new(LIMITS, Millis(now_ms));
        let lender = Lender::new(host_id(number));
        Host { budget, lender, pools, incarnation, is_up: true, misses: 0, excluded: None }
    }
}

enum Event {
    Submit { from: usize, to: usize, submission: Submission },
    Reply { to: usize, scheduler: usize, ticket: u64, decision: RetryDecision },
    Timeout { host: usize, scheduler: Member, ticket: u64 },
}

struct Fleet {
    scenario: Scenario,
    now_ms: u64,
    hosts: Vec<Host>,
    events: BTreeMap<(u64, u64), Event>,
    /// Open submissions by ticket: whether they ask for a retry.
    open: BTreeMap<u64, bool>,
    drawn: u64,
    requests: Vec<u32>,
    retries: Vec<u32>,
    rng: Pcg64Mcg,
}

impl Fleet {
    fn run(scenario: Scenario) -> Fleet {
        let mut fleet = Fleet {
            hosts: (0..scenario.hosts).map(|host| Host::start(host, 0, 0)).collect(),
            scenario,
            now_ms: 0,
            events: BTreeMap::new(),
            open: BTreeMap::new(),
            drawn: 0,
            requests: vec![0; END_MS as usize],
            retries: vec![0; END_MS as usize],
            rng: Pcg64Mcg::seed_from_u64(11),
        };
        while fleet.now_ms < END_MS {
            fleet.step();
            fleet.now_ms += 1;
        }
        fleet
    }

    fn step(&mut self) {
        let now_ms = self.now_ms;
        if let Some(interval_ms) = self.scenario.restart_interval_ms
            && now_ms.is_multiple_of(interval_ms)
        {
            let host = 1 + (now_ms / interval_ms) as usize % (self.scenario.hosts - 1);
            self.hosts[host] = Host::start(host, now_ms, now_ms);
        }
        for host in 0..self.scenario.hosts {
            let is_up = (self.scenario.is_up)(now_ms, host);
            if is_up && !self.hosts[host].is_up {
                self.hosts[host] = Host::start(host, now_ms, now_ms);
            }
            self.hosts[host].is_up = is_up;
            if is_up && self.rng.random::<f64>() < self.scenario.per_s / 1_000.0 {
                self.request(host);
            }
        }
        while let Some(((at_ms, number), event)) = self.events.pop_first() {
            if at_ms > now_ms {
                self.events.insert((at_ms, number), event);
                break;
            }
            self.handle(event);
        }
    }

    /// A request of which the first attempt may fail.
    fn request(&mut self, host: usize) {
        let now_ms = Millis(self.now_ms);
        let hosts = self.hosts.iter().filter(|host| host.is_up).count() as u32;
        self.requests[self.now_ms as usize] += 1;
        self.hosts[host].budget.record_request(now_ms, &service(), hosts);
        self.submit(host, false);
        if self.now_ms < self.scenario.failing_from_ms || !(self.scenario.is_failing)(host) {
            return;
        }
        if self.hosts[host].budget.try_spend(now_ms, &service()) {
            self.retries[self.now_ms as usize] += 1;
        } else if self.hosts[host].lender.has_scheduler(&service()) {
            self.submit(host, true);
        }
    }

    fn member(&self, host: usize) -> Member {
        Member {
            host: host_id(host),
            incarnation: Incarnation(self.hosts[host].incarnation),
            availability_zone: "kariakoo".parse().unwrap(),
            address: "127.0.0.1:7000".parse().unwrap(),
            capacity: Capacity::default(),
        }
    }

    fn submit(&mut self, from: usize, needs_retry_grant: bool) {
        let scheduler = (self.scenario.scheduler)(self.now_ms, from);
        // A host that is cut off goes on with the scheduler it had, until it excludes it.
        let to = scheduler.unwrap_or(0);
        let member = self.member(to);
        if self.hosts[from].excluded.as_ref() == Some(&member) {
            return;
        }
        let host = &mut self.hosts[from];
        let loan = host.lender.lend(Millis(self.now_ms), &cell(), &member, &mut host.budget);
        let Loan { requests: lent_requests, owed_retries } = loan;
        self.drawn += 1;
        let ticket = self.drawn;
        let submission =
            Submission { lent_requests, owed_retries, needs_retry_grant, ..submission(ticket) };
        self.open.insert(ticket, needs_retry_grant);
        if scheduler.is_some() {
            let sent = || Event::Submit { from, to, submission: submission.clone() };
            self.send(sent);
        }
        self.schedule(TIMEOUT_MS, Event::Timeout { host: from, scheduler: member, ticket });
    }

    /// Delivers a message once, never, or several times.
    fn send(&mut self, message: impl Fn() -> Event) {
        let (loss, copies) = (self.scenario.loss, self.scenario.copies);
        if self.rng.random::<f64>() >= loss {
            let delay_ms = self.rng.random_range(0..6);
            self.schedule(delay_ms, message());
        }
        if self.rng.random::<f64>() < copies {
            let delay_ms = self.rng.random_range(0..400);
            self.schedule(delay_ms, message());
        }
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.drawn += 1;
        self.events.insert((self.now_ms + delay_ms, self.drawn), event);
    }

    fn handle(&mut self, event: Event) {
        let now_ms = Millis(self.now_ms);
        let (Event::Submit { to: at, .. }
        | Event::Reply { to: at, .. }
        | Event::Timeout { host: at, .. }) = event;
        if !self.hosts[at].is_up {
            return;
        }
        match event {
            Event::Submit { from, to, submission } => {
                let ticket = submission.ticket.0;
                let pools = &mut self.hosts[to].pools;
                let decision = pools.handle_submission(now_ms, requester(from), &submission, None);
                self.send(|| Event::Reply { to: from, scheduler: to, ticket, decision });
            }
            Event::Reply { to, scheduler, ticket, decision } => {
                let Some(asks) = self.open.remove(&ticket) else { return };
                let member = self.member(scheduler);
                let host = &mut self.hosts[to];
                host.lender.record_answer(&cell(), &member, &mut host.budget);
                host.misses = 0;
                if asks && !matches!(decision, RetryDecision::Refused { .. }) {
                    host.budget.record_grant(now_ms, &service());
                    self.retries[self.now_ms as usize] += 1;
                }
            }
            Event::Timeout { host, scheduler, ticket } => {
                if self.open.remove(&ticket).is_none() {
                    return;
                }
                let host = &mut self.hosts[host];
                host.misses += 1;
                host.lender.record_no_answer(&cell(), &scheduler);
                if host.misses == 2 {
                    host.lender.record_lost(&cell(), &scheduler, &mut host.budget);
                    host.excluded = Some(scheduler);
                }
            }
        }
    }

    /// Checks every window against the fleet's limit.
    fn check_windows(&self) {
        let sums = |counts: &[u32]| -> Vec<u64> {
            let sums = counts.iter().scan(0, |sum, &count| {
                *sum += u64::from(count);
                Some(*sum)
            });
            std::iter::once(0).chain(sums).collect()
        };
        let (requests, retries) = (sums(&self.requests), sums(&self.retries));
        let in_window = |sums: &[u64], end_ms: usize| {
            sums[end_ms] - sums[end_ms.saturating_sub(WINDOW_MS as usize)]
        };
        for end_ms in 0..=END_MS as usize {
            let counted = [0, WINDOW_MS / 2, WINDOW_MS]
                .map(|earlier_ms| in_window(&requests, end_ms.saturating_sub(earlier_ms as usize)));
            let requests = *counted.iter().max().unwrap();
            let allowed = LIMITS.ratio.0 * requests as f64 + LIMITS.slack;
            let used = in_window(&retries, end_ms);
            assert!(used as f64 <= allowed, "{used} of {allowed} until {end_ms} ms");
        }
    }

    fn used_share(&self, from_ms: u64, to_ms: u64) -> f64 {
        let sum = |counts: &[u32]| {
            counts[from_ms as usize..to_ms as usize].iter().map(|&count| f64::from(count)).sum()
        };
        let (requests, retries): (f64, f64) = (sum(&self.requests), sum(&self.retries));
        retries / (requests * LIMITS.ratio.0)
    }
}

/// Guards against a budget that stays unused though all hosts need more.
#[rstest]
#[case::three_hosts(3, 100.0)]
#[case::deployment_2(48, 20.0)]
#[case::deployment_1(93, 12.0)]
fn the_share_is_used_if_all_hosts_need_more(#[case] hosts: usize, #[case] per_s: f64) {
    let fleet = Fleet::run(Scenario { hosts, per_s, ..CALM });
    fleet.check_windows();
    let used = fleet.used_share(WINDOW_MS, END_MS);
    assert!(used >= 0.9, "{used}");
}

/// Guards against a new scheduler that grants less than what hosts would spend by themselves, 0.8 of
/// the share, since hosts hold back for what the last one granted.
#[rstest]
#[case::three_hosts(3, 100.0)]
#[case::deployment_2(48, 20.0)]
#[case::deployment_1(93, 12.0)]
fn the_share_is_used_after_the_scheduler_is_lost(#[case] hosts: usize, #[case] per_s: f64) {
    let scheduler = |now, _| Some(usize::from(now >= 24_000));
    let fleet = Fleet::run(Scenario { hosts, per_s, scheduler, ..CALM });
    fleet.check_windows();
    let used = fleet.used_share(24_000, 24_000 + WINDOW_MS);
    assert!(used >= 0.8, "{used}");
}

/// Guards against requests that allow retries twice: at two schedulers, or at a scheduler and at
/// the host. All requests fail shortly before the change, so that nothing saved is left unspent.
#[rstest]
#[case::scheduler_lost(|now, _| Some(usize::from(now >= 24_000)))]
#[case::two_schedulers(|_, host| Some(host % 2))]
#[case::schedulers_change_places(|now, host| Some((host + usize::from(now >= 24_000)) % 2))]
#[case::third_cut_off(|now, host| (now < 24_000 || host % 3 > 0).then_some(0))]
#[case::all_cut_off(|now, _| (now < 24_000).then_some(0))]
fn changes_of_the_scheduler_keep_the_fleet_within_its_retries(
    #[case] scheduler: fn(u64, usize) -> Option<usize>,
    #[values((3, 150.0), (48, 30.0), (93, 15.0))] (hosts, per_s): (usize, f64),
    #[values(0, 22_000)] failing_from_ms: u64,
) {
    let scenario = Scenario { hosts, per_s, failing_from_ms, scheduler, ..CALM };
    Fleet::run(scenario).check_windows();
}

/// Guards against a new scheduler that grants again what the last one granted to a few hosts alone.
#[rstest]
#[case::lost(|now, _| Some(usize::from(now >= 24_000)), |_, _| true)]
#[case::restarted(|_, _| Some(0), |now, host| host > 0 || !(24_000..24_050).contains(&now))]
fn grants_to_a_few_hosts_count_at_the_next_scheduler(
    #[case] scheduler: fn(u64, usize) -> Option<usize>,
    #[case] is_up: fn(u64, usize) -> bool,
    #[values((3, 150.0), (48, 30.0), (93, 15.0))] (hosts, per_s): (usize, f64),
) {
    let is_failing = |host| host % 3 == 1;
    let scenario = Scenario { failing_from_ms: 18_400, is_failing, scheduler, is_up, ..CALM };
    Fleet::run(Scenario { hosts, per_s, ..scenario }).check_windows();
}

/// Guards against a budget that grows as hosts come and go, the scheduler among them.
#[rstest]
#[case::scheduler_restarts(|now, host| host > 0 || !(24_000..24_050).contains(&now))]
#[case::half_killed(|now, host| now < 24_000 || host % 2 == 0)]
#[case::half_added(|now, host| now >= 24_000 || host % 2 == 0)]
fn killed_restarted_and_added_hosts_keep_the_fleet_within_its_retries(
    #[case] is_up: fn(u64, usize) -> bool,
    #[values((3, 150.0), (48, 30.0), (93, 15.0))] (hosts, per_s): (usize, f64),
    #[values(0, 22_000)] failing_from_ms: u64,
) {
    Fleet::run(Scenario { hosts, per_s, failing_from_ms, is_up, ..CALM }).check_windows();
}

/// Guards against copies of a submission that count or grant twice, and against restarted hosts
/// that lend again.
#[rstest]
#[case::lossy(0.05, 0.0, None)]
#[case::copied(0.0, 0.5, None)]
#[case::restarts(0.0, 0.0, Some(700))]
#[case::all(0.05, 0.3, Some(700))]
fn lost_and_copied_messages_and_restarts_keep_the_fleet_within_its_retries(
    #[case] loss: f64,
    #[case] copies: f64,
    #[case] restart_interval_ms: Option<u64>,
    #[values((3, 150.0), (48, 30.0), (93, 15.0))] (hosts, per_s): (usize, f64),
) {
    let scenario = Scenario { hosts, per_s, loss, copies, restart_interval_ms, ..CALM };
    Fleet::run(scenario).check_windows();
}

fn pools() -> RetryPools {
    let mut pools = RetryPools::default();
    pools.set_limits(LIMITS);
    pools
}

fn retry(ticket: u64, priority: u32, age_ms: u64) -> Submission {
    let age_ms = Millis(age_ms);
    Submission { needs_retry_grant: true, priority, age_ms, ..submission(ticket) }
}

/// How many of these a pool grants with 1,000 requests lent.
fn grants(pools: &mut RetryPools, retries: impl Iterator<Item = Submission>) -> usize {
    let now_ms = Millis(20_000);
    let service_time_ms = Some(Millis(100));
    let is_granted = |submission: &Submission| {
        pools.handle_submission(now_ms, requester(1), submission, service_time_ms)
            == RetryDecision::Granted
    };
    retries.filter(is_granted).count()
}

/// Guards against a spent pool when urgent requests, or those that can be in time, need a retry.
#[test]
fn the_last_retries_go_to_urgent_requests_in_time() {
    let mut pools = pools();
    let lending = Submission { lent_requests: 1_000, ..submission(1) };
    pools.handle_submission(Millis(20_000), requester(1), &lending, None);
    // Of 180 retries. The objective is 400 ms.
    assert_eq!(grants(&mut pools, (100..400).map(|ticket| retry(ticket, 2, 350))), 136);
    assert_eq!(grants(&mut pools, (400..401).map(|ticket| retry(ticket, 0, 0))), 1);
    assert_eq!(grants(&mut pools, (500..800).map(|ticket| retry(ticket, 2, 0))), 34);
    assert_eq!(grants(&mut pools, (800..999).map(|ticket| retry(ticket, 0, 0))), 9);
}

/// Guards against a copy that is granted again after its first was placed or refused and forgotten,
/// and against a retry that stays spent though its request was refused.
#[test]
fn a_scheduler_refuses_a_retry_without_a_grant_and_counts_copies_once() {
    let mut upstreams = support::set(&[support::entry("i-1", "kariakoo")]);
    let mut schedulers = SchedulerSet::new("front-1".parse().unwrap());
    schedulers.set_retry_limits(LIMITS);
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut submit = |now_ms, submission: Submission| {
        let now_ms = Millis(now_ms);
        let at = (&support::id("i-1"), published::RunStart::default());
        upstreams.record_report(now_ms, at, report(0, 0, 100));
        let ticket = submission.ticket;
        let message = PlacementMessage::Submit(submission);
        let from = requester(1);
        let effects = schedulers.handle_message(now_ms, message, from, &mut upstreams, &mut rng);
        let withdrawn = PlacementMessage::Withdrawn {
            ticket,
            withdrawal: dispatch::scheduler::Withdrawal::Sent,
        };
        schedulers.handle_message(now_ms, withdrawn, from, &mut upstreams, &mut rng);
        effects
    };
    let refused = |ticket, left| {
        let cause = RefusalCause::NoRetryLeft { left };
        let message = PlacementMessage::Refused { ticket: Ticket(ticket), cause };
        vec![Effect::Send { to: requester(1), message }]
    };
    assert_eq!(submit(20_000, retry(1, 0, 0)), refused(1, 0));
    // Six requests allow one retry.
    submit(20_000, Submission { lent_requests: 6, ..submission(2) });
    submit(20_300, Submission { lent_requests: 6, ..submission(2) });
    assert_ne!(submit(20_300, retry(3, 0, 0)), refused(3, 0));
    assert_ne!(submit(20_600, retry(3, 0, 0)), refused(3, 0));
    assert_eq!(submit(20_600, retry(4, 0, 0)), refused(4, 0));
    submit(20_700, Submission { lent_requests: 6, ..submission(5) });
    assert_eq!(submit(20_700, retry(1, 0, 0)), refused(1, 0));
    // No upstream is left for this one, so its retry is taken back.
    let unplaced = Submission { tried: vec![support::id("i-1")], ..retry(6, 0, 0) };
    assert_ne!(submit(20_700, unplaced.clone()), refused(6, 0));
    assert_eq!(submit(20_700, unplaced), refused(6, 0));
    assert_ne!(submit(20_700, retry(7, 0, 0)), refused(7, 0));
    assert_eq!(submit(20_700, retry(8, 0, 0)), refused(8, 0));
}
