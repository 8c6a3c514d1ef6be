//! The site in virtual time: entry hosts with their real decision core, model upstreams.
//!
//! Time is in microseconds; the core is told whole milliseconds, as in the daemon.

use crate::report::{Report, Tally};
use crate::site::{Plan, Scenario, Sizes, report_lag, upstream_name};
use crate::upstream::{Health, Job, Started, Taken, Upstream, exponential};
use decision_core::{
    Action, AnswerHead, Attempt, AttemptEnd, CallHead, ConfigKey, ConfigReading, EntryHost,
    Envelope, Event, HostList, HostSettings, ListedHost, PROTOCOL_VERSION, PeerMessage,
    ProbeResult, PublishedValue, ReadOutcome,
};
use domain::{
    AttemptId, CallId, CallerId, FastMap, HostId, Incarnation, Millis, Slots, UpstreamId, Version,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Time before the first arrival, in which hosts read what they need.
const SETTLE_US: u64 = 2_000_000;
/// Time after the first arrival that is not measured.
const WARM_UP_US: u64 = 3_000_000;
/// Time that a read of the platform takes.
const READ_US: u64 = 2000;
/// Bytes of a remote call around an envelope, its acknowledgement included.
const RPC_BYTES: u64 = 110;
/// Length and mean distance of noise at an upstream.
const NOISE_US: u64 = 50_000;
const NOISE_EVERY_US: f64 = 2_000_000.0;
/// Callers, one of which may be greedy.
const CALLERS: usize = 20;
const GREEDY_SHARE: f64 = 0.5;

/// Something due.
#[derive(Debug)]
enum Due {
    Arrival { service: usize },
    ToHost { host: usize, event: Event },
    Tick { host: usize },
    ToUpstream { upstream: usize, job: Job },
    JobDone { upstream: usize, job: Job },
    Cancel { upstream: usize, job: Job },
    Noise { upstream: usize },
}

/// One entry host.
#[derive(Debug)]
struct Host {
    core: EntryHost,
    id: HostId,
    zone: usize,
    tick_us: u64,
    out: FastMap<AttemptId, usize>,
}

/// A call in progress.
#[derive(Debug)]
struct CallInfo {
    arrived_us: u64,
    measured: bool,
}

/// The site.
struct World {
    plan: Plan,
    sizes: Sizes,
    now_us: u64,
    end_us: u64,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    events: FastMap<u64, Due>,
    last_event: u64,
    hosts: Vec<Host>,
    list: HostList,
    upstreams: Vec<Upstream>,
    upstream_ids: FastMap<UpstreamId, usize>,
    central: Vec<VecDeque<CallId>>,
    rates: Vec<f64>,
    callers: Vec<CallerId>,
    calls: FastMap<CallId, CallInfo>,
    answers: FastMap<(usize, AttemptId), bool>,
    last_call: u64,
    tally: Tally,
    rng: Pcg64Mcg,
}

/// Runs a plan.
///
/// # Panics
///
/// If the model's own configuration is bad.
pub fn run(plan: Plan) -> Report {
    let mut world = World::new(plan);
    let capacity: f64 = world.upstreams.iter().map(Upstream::capacity).sum();
    world.run();
    Report::new(world.plan.clone(), &world.tally, capacity)
}

impl World {
    fn new(plan: Plan) -> World {
        let sizes = Sizes::of(plan.firm);
        let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
        let upstreams = upstreams(&plan, &sizes, &mut rng);
        let mut upstream_ids = FastMap::default();
        for (index, (service, place)) in places(&sizes).enumerate() {
            upstream_ids.insert(id(&upstream_name(service, place)), index);
        }
        let capacity = |service| {
            upstreams.iter().filter(|u| u.service == service).map(Upstream::capacity).sum::<f64>()
        };
        let rates = (0..sizes.services.len()).map(|s| capacity(s) * plan.load).collect();
        let hosts: Vec<Host> =
            (0..plan.hosts).map(|index| Host::new(index, &plan, &sizes)).collect();
        let listed = hosts.iter().enumerate().map(|(index, host)| ListedHost {
            host: host.id.clone(),
            peer_address: format!("127.1.0.{}:80", index + 1).parse().unwrap_or_else(|_| panic!()),
            availability_zone: id(sizes.zones[host.zone]),
            leaving: false,
        });
        World {
            now_us: 0,
            end_us: SETTLE_US + WARM_UP_US + plan.seconds * 1_000_000,
            due: BinaryHeap::new(),
            events: FastMap::default(),
            last_event: 0,
            list: HostList { version: Version(1), hosts: listed.collect() },
            hosts,
            central: vec![VecDeque::new(); sizes.services.len()],
            upstreams,
            upstream_ids,
            rates,
            callers: (0..CALLERS).map(|caller| id(&format!("c{caller}"))).collect(),
            calls: FastMap::default(),
            answers: FastMap::default(),
            last_call: 0,
            tally: Tally::new(),
            rng,
            sizes,
            plan,
        }
    }

    fn run(&mut self) {
        for host in 0..self.hosts.len() {
            self.push(0, Due::Tick { host });
        }
        for service in 0..self.rates.len() {
            self.push(SETTLE_US, Due::Arrival { service });
        }
        if self.plan.scenario == Scenario::Noisy {
            for upstream in 0..self.upstreams.len() {
                self.plan_noise(upstream);
            }
        }
        while let Some(Reverse((at_us, event))) = self.due.pop() {
            if at_us > self.end_us {
                return;
            }
            self.now_us = at_us;
            if let Some(due) = self.events.remove(&event) {
                self.happen(due);
            }
        }
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Arrival { service } => self.arrive(service),
            Due::ToHost { host, event } => self.tell(host, event),
            Due::Tick { host } => {
                self.hosts[host].tick_us = u64::MAX;
                self.tell(host, Event::Tick);
            }
            Due::ToUpstream { upstream, job } => self.reach_upstream(upstream, job),
            Due::JobDone { upstream, job } => self.job_done(upstream, job),
            Due::Cancel { upstream, job } => {
                if let Some(next) = self.upstreams[upstream].end(self.now_us, job) {
                    self.start(upstream, next);
                }
            }
            Due::Noise { upstream } => {
                self.upstreams[upstream].noisy_until_us = self.now_us + NOISE_US;
                self.plan_noise(upstream);
            }
        }
    }

    fn push(&mut self, at_us: u64, due: Due) {
        self.last_event += 1;
        self.due.push(Reverse((at_us, self.last_event)));
        self.events.insert(self.last_event, due);
    }

    fn plan_noise(&mut self, upstream: usize) {
        let distance_us = exponential(&mut self.rng) * NOISE_EVERY_US;
        self.push(self.now_us + distance_us as u64, Due::Noise { upstream });
    }

    fn is_measured(&self) -> bool {
        self.now_us >= SETTLE_US + WARM_UP_US
    }

    fn arrive(&mut self, service: usize) {
        let gap_us = exponential(&mut self.rng) / self.rates[service] * 1e6;
        self.push(self.now_us + gap_us.max(1.0) as u64, Due::Arrival { service });
        self.last_call += 1;
        let call = CallId(self.last_call);
        let measured = self.is_measured();
        self.tally.offered += u64::from(measured);
        self.calls.insert(call, CallInfo { arrived_us: self.now_us, measured });
        let host = self.rng.random_range(0..self.hosts.len());
        let caller = self.draw_caller();
        if self.plan.way.policy().is_none() {
            self.central[service].push_back(call);
            self.dispatch_central(service);
            return;
        }
        let head = CallHead {
            caller: self.callers[caller].clone(),
            method: "GET".to_owned(),
            path: format!("/s{service}/x"),
            idempotency_key: None,
            timeout_ms: None,
            spent_attempts: 0,
            depth: 0,
            body_replayable: true,
        };
        self.tell(host, Event::CallArrived { call, head });
    }

    fn draw_caller(&mut self) -> usize {
        let greedy =
            self.plan.scenario == Scenario::Greedy && self.rng.random::<f64>() < GREEDY_SHARE;
        if greedy { 0 } else { self.rng.random_range(0..CALLERS) }
    }

    fn tell(&mut self, host: usize, event: Event) {
        let now_ms = Millis(self.now_us / 1000);
        let mut actions = Vec::new();
        self.hosts[host].core.handle(now_ms, event, &mut actions);
        let mut mail: Vec<(HostId, Vec<PeerMessage>)> = Vec::new();
        for action in actions {
            self.act(host, action, &mut mail);
        }
        for (to, messages) in mail {
            self.send_mail(host, &to, messages);
        }
        let tick_us = self.hosts[host].core.next_tick_ms().0.saturating_mul(1000);
        let tick_us = tick_us.max(self.now_us + 1);
        if tick_us < self.hosts[host].tick_us {
            self.hosts[host].tick_us = tick_us;
            self.push(tick_us, Due::Tick { host });
        }
    }

    fn act(&mut self, host: usize, action: Action, mail: &mut Vec<(HostId, Vec<PeerMessage>)>) {
        match action {
            Action::Send(attempt) => self.send(host, &attempt),
            Action::CancelAttempt { attempt } => self.cancel(host, attempt),
            Action::Deliver { call, attempt } => self.deliver(host, call, attempt),
            Action::Refuse { call, refusal } => {
                if let Some(info) = self.calls.remove(&call).filter(|info| info.measured) {
                    self.tally.refuse(refusal.cause, self.now_us - info.arrived_us);
                }
            }
            Action::Probe { probe, upstream, .. } => {
                self.tally.probes += u64::from(self.is_measured());
                let Some(&index) = self.upstream_ids.get(&upstream) else { return };
                let round_us = 2 * self.delay_us(host, index);
                let load = Some(self.report_of(index));
                let latency_ms = Millis(round_us / 1000);
                let result = ProbeResult::Alive { load, leaving: false, latency_ms };
                self.tell_later(round_us, host, Event::ProbeEnded { probe, result });
            }
            Action::SendPeer { to, message, .. } => {
                match mail.iter_mut().find(|(other, _)| *other == to) {
                    Some((_, messages)) => messages.push(message),
                    None => mail.push((to, vec![message])),
                }
            }
            Action::ReadConfig { key, after, wait_ms } => {
                let outcome = match (key, after) {
                    (ConfigKey::Overlay, _) => ReadOutcome::Missing,
                    (ConfigKey::Base, Some(_)) => ReadOutcome::Unchanged,
                    (ConfigKey::Base, None) => {
                        let text = self.sizes.base(&self.plan).to_string();
                        ReadOutcome::Value(PublishedValue { version: Version(1), text })
                    }
                };
                let event = Event::ConfigRead(ConfigReading { key, outcome });
                self.tell_later(READ_US + wait_ms.0 * 1000, host, event);
            }
            Action::ReadHostList => {
                self.tell_later(READ_US, host, Event::HostListRead(Some(self.list.clone())));
            }
            _ => {}
        }
    }

    fn tell_later(&mut self, after_us: u64, host: usize, event: Event) {
        self.push(self.now_us + after_us, Due::ToHost { host, event });
    }

    fn send_mail(&mut self, from: usize, to: &HostId, messages: Vec<PeerMessage>) {
        let Some(host) = self.hosts.iter().position(|host| host.id == *to) else { return };
        let envelope = Envelope {
            protocol: PROTOCOL_VERSION,
            from: self.hosts[from].id.clone(),
            incarnation: Incarnation(1),
            messages,
        };
        if self.is_measured() {
            self.tally.messages += 1;
            let bytes = serde_json::to_string(&envelope).map_or(0, |text| text.len() as u64);
            self.tally.message_bytes += bytes + RPC_BYTES;
        }
        let delay_us = self.sizes.delay_us(self.hosts[from].zone, self.hosts[host].zone);
        for message in envelope.messages {
            let from = envelope.from.clone();
            let event = Event::PeerReceived { from, incarnation: Incarnation(1), message };
            self.tell_later(delay_us, host, event);
        }
    }

    fn delay_us(&self, host: usize, upstream: usize) -> u64 {
        self.sizes.delay_us(self.hosts[host].zone, self.upstreams[upstream].zone)
    }

    fn send(&mut self, host: usize, attempt: &Attempt) {
        let Some(&upstream) = self.upstream_ids.get(&attempt.upstream) else { return };
        self.tally.attempts += u64::from(self.is_measured());
        self.hosts[host].out.insert(attempt.attempt, upstream);
        let job = Job { host, attempt: attempt.attempt };
        let at_us = self.now_us + self.delay_us(host, upstream);
        self.push(at_us, Due::ToUpstream { upstream, job });
    }

    fn cancel(&mut self, host: usize, attempt: AttemptId) {
        let Some(upstream) = self.hosts[host].out.remove(&attempt) else { return };
        let job = Job { host, attempt };
        let at_us = self.now_us + self.delay_us(host, upstream);
        self.push(at_us, Due::Cancel { upstream, job });
        let end = AttemptEnd::Cancelled { unsent: false };
        self.tell_later(0, host, Event::AttemptEnded { attempt, end });
    }

    fn deliver(&mut self, host: usize, call: CallId, attempt: AttemptId) {
        let good = self.answers.get(&(host, attempt)).copied().unwrap_or(false);
        self.note_answer(call, good);
    }

    fn note_answer(&mut self, call: CallId, good: bool) {
        let Some(info) = self.calls.remove(&call).filter(|info| info.measured) else { return };
        if !good {
            self.tally.errors += 1;
            return;
        }
        self.tally.good += 1;
        self.tally.latency.saturating_record(self.now_us - info.arrived_us);
    }

    fn reach_upstream(&mut self, upstream: usize, job: Job) {
        match self.upstreams[upstream].take(self.now_us, job) {
            Taken::Started(started) => self.start(upstream, Some(started)),
            Taken::Waits => {}
            Taken::Shed => {
                self.tally.shed += u64::from(self.is_measured());
                self.answer(upstream, job, 503, true);
            }
        }
    }

    fn start(&mut self, upstream: usize, started: Option<Started>) {
        if let Some(Started { job, takes_us }) = started {
            self.push(self.now_us + takes_us, Due::JobDone { upstream, job });
        }
    }

    fn job_done(&mut self, upstream: usize, job: Job) {
        let Some(next) = self.upstreams[upstream].end(self.now_us, job) else { return };
        let failing = self.upstreams[upstream].health == Health::Failing;
        self.start(upstream, next);
        if self.plan.way.policy().is_none() {
            self.note_answer(CallId(job.attempt.0), !failing);
            self.dispatch_central(self.upstreams[upstream].service);
            return;
        }
        self.answer(upstream, job, if failing { 500 } else { 200 }, false);
    }

    fn answer(&mut self, upstream: usize, job: Job, status: u16, not_run: bool) {
        let Job { host, attempt } = job;
        self.answers.insert((host, attempt), status < 400);
        let load = Some(self.report_of(upstream));
        let answer = AnswerHead { status, is_whole: true, not_run, load, leaving: false };
        let delay_us = self.delay_us(host, upstream);
        self.tell_later(delay_us, host, Event::AnswerReady { attempt, answer });
        let end = AttemptEnd::Completed;
        self.tell_later(delay_us, host, Event::AttemptEnded { attempt, end });
    }

    fn report_of(&mut self, upstream: usize) -> decision_core::LoadReport {
        let lag_us = report_lag(self.plan.scenario).0 * 1000;
        self.upstreams[upstream].report(self.now_us, lag_us)
    }

    fn dispatch_central(&mut self, service: usize) {
        while !self.central[service].is_empty() {
            let Some(index) = self.best_for_central(service) else { return };
            let Some(call) = self.central[service].pop_front() else { return };
            let now_us = self.now_us;
            let deadline_us = self.plan.deadline_ms * 1000;
            if self.calls.get(&call).is_none_or(|call| call.arrived_us + deadline_us < now_us) {
                continue;
            }
            let job = Job { host: 0, attempt: AttemptId(call.0) };
            if let Taken::Started(started) = self.upstreams[index].take(now_us, job) {
                self.start(index, Some(started));
            }
        }
    }

    /// The fastest upstream with a free slot, unless waiting for a usual one takes less time.
    fn best_for_central(&self, service: usize) -> Option<usize> {
        let factor = |index: &usize| self.upstreams[*index].factor(self.now_us);
        let working = (0..self.upstreams.len()).filter(|&index| {
            let upstream = &self.upstreams[index];
            upstream.service == service && upstream.health != Health::Failing
        });
        let free = working.clone().filter(|&index| self.upstreams[index].has_slot());
        let best = free.min_by(|a, b| factor(a).total_cmp(&factor(b)))?;
        let usual = working.filter(|index| factor(index) <= 1.0).count();
        let usual_slots = (usual * self.sizes.slots as usize).max(1) as f64;
        let wait = (self.central[service].len() as f64) / usual_slots;
        (factor(&best) <= 1.0 + wait).then_some(best)
    }
}

impl Host {
    fn new(index: usize, plan: &Plan, sizes: &Sizes) -> Host {
        let zone = index % sizes.zones.len();
        let settings = HostSettings {
            host: id(&format!("e{index}")),
            incarnation: Incarnation(1),
            site: id("model"),
            availability_zone: id(sizes.zones[zone]),
            drain_notice_ms: Millis(2000),
        };
        let seed = plan.seed * 1000 + index as u64;
        Host {
            id: settings.host.clone(),
            core: EntryHost::new(settings, seed, Millis::ZERO),
            zone,
            tick_us: 0,
            out: FastMap::default(),
        }
    }
}

/// Service and place in it of every upstream.
fn places(sizes: &Sizes) -> impl Iterator<Item = (usize, usize)> + '_ {
    let services = sizes.services.iter().enumerate();
    services.flat_map(|(service, &count)| (0..count).map(move |place| (service, place)))
}

fn upstreams(plan: &Plan, sizes: &Sizes, rng: &mut Pcg64Mcg) -> Vec<Upstream> {
    let largest = sizes.services.iter().enumerate().max_by_key(|&(_, &count)| count);
    let largest = largest.map_or(0, |(service, _)| service);
    let place = |(service, place): (usize, usize)| {
        let health = match (plan.scenario, place) {
            (Scenario::Faults, 0 | 1) if service == largest => Health::Straggler,
            (Scenario::Faults, 2) if service == largest => Health::Failing,
            _ => Health::Good,
        };
        let (slots, queue) = (Slots(sizes.slots).0, sizes.upstream_queue());
        let rng = Pcg64Mcg::seed_from_u64(rng.random());
        Upstream::new(place % sizes.zones.len(), service, health, slots, queue, rng)
    };
    places(sizes).map(place).collect()
}

fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().unwrap_or_else(|error| panic!("bad name {text:?}: {error:?}"))
}
