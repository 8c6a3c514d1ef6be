//! Several hosts, wired by messages that may be lost, doubled, late or cut off.
//!
//! Time is scripted. Each process has its own clock offset and may be paused, killed,
//! started anew, or replaced while it is paused. What leaves for an upstream is recorded
//! at the moment at which its first byte would leave.

use super::{BASE, head};
use decision_core::{
    Action, AnswerHead, Attempt, AttemptEnd, ClaimVerdict, ConfigKey, ConfigReading, EntryHost,
    Event, FailureStage, HostList, HostSettings, KEY_WINDOW_MS, ListedHost, MessageKind,
    PeerMessage, PublishedValue, ReadOutcome, Refusal, RunOutcome, VotingState,
};
use domain::{AttemptId, CallId, HostId, Incarnation, Millis, Version};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// A deliberately broken part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Broken {
    /// Nothing is.
    Nothing,
    /// Voters say yes to everything.
    AlwaysYes,
    /// A host that starts anew takes itself for a first run.
    ForgetsItsFormerRun,
    /// Peers tell a host that joins of no claims.
    TellsNoClaims,
    /// Each claim is released as soon as it was voted on.
    ReleasesAtOnce,
}

/// What the network does to a message.
#[derive(Debug, Clone, Copy)]
pub struct Wire {
    pub loss_percent: u32,
    pub double_percent: u32,
    pub max_delay_ms: u64,
}

pub const STEADY: Wire = Wire { loss_percent: 0, double_percent: 0, max_delay_ms: 1 };

/// What an upstream does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    Answers,
    Fails,
    Declines,
    NeverConnects,
    Silent,
}

/// The final answer to a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Told {
    Answer,
    Refused(Refusal),
}

#[derive(Debug)]
pub struct CallRecord {
    pub key: String,
    pub arrived_ms: u64,
    pub runs_ms: Vec<u64>,
    pub told: Vec<Told>,
}

#[derive(Debug)]
struct Process {
    core: EntryHost,
    incarnation: Incarnation,
    clock_offset_ms: u64,
    paused: bool,
    inbox: Vec<Happening>,
    unsent: BTreeMap<AttemptId, Attempt>,
    out: BTreeSet<AttemptId>,
}

#[derive(Debug, Clone)]
enum Happening {
    Event(Event),
    Leaves(Attempt),
}

/// A process: which host, which run.
type Run = (usize, u64);

pub struct Fleet {
    pub now_ms: u64,
    pub wire: Wire,
    /// Added to the delay of questions, times the receiver's number.
    pub question_delay_ms: u64,
    pub replies: Vec<Reply>,
    pub broken: Broken,
    pub calls: BTreeMap<u64, CallRecord>,
    /// Messages about claims, and their bytes as JSON.
    pub claim_messages: u64,
    pub claim_bytes: u64,
    pub lists: Vec<HostList>,
    rng: Pcg64Mcg,
    processes: BTreeMap<Run, Process>,
    current: BTreeMap<usize, u64>,
    cut: BTreeSet<(usize, usize)>,
    agenda: BTreeMap<(u64, u64), (Run, Happening)>,
    sequence: u64,
}

pub fn host_id(host: usize) -> HostId {
    format!("e{host}").parse().unwrap()
}

pub fn list_of(version: u64, hosts: &[usize]) -> HostList {
    let listed = |&host: &usize| ListedHost {
        host: host_id(host),
        peer_address: format!("127.0.0.1:{}", 7000 + host).parse().unwrap(),
        availability_zone: "a".parse().unwrap(),
        leaving: false,
    };
    HostList { version: Version(version), hosts: hosts.iter().map(listed).collect() }
}

impl Fleet {
    /// Hosts 0 to `count - 1`, all new, all listed, voting.
    pub fn new(count: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet::down(count, seed);
        for host in 0..count {
            fleet.start(host);
        }
        fleet.run_for(100);
        fleet
    }

    /// The same, but not started.
    pub fn down(count: usize, seed: u64) -> Fleet {
        let all: Vec<usize> = (0..count).collect();
        Fleet {
            now_ms: 1000,
            wire: STEADY,
            question_delay_ms: 0,
            replies: vec![Reply::Answers],
            broken: Broken::Nothing,
            calls: BTreeMap::new(),
            claim_messages: 0,
            claim_bytes: 0,
            lists: vec![list_of(1, &all); count],
            rng: Pcg64Mcg::seed_from_u64(seed),
            processes: BTreeMap::new(),
            current: BTreeMap::new(),
            cut: BTreeSet::new(),
            agenda: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// Starts a process under a host id; a paused one of the same id lives on, unreachable.
    pub fn start(&mut self, host: usize) {
        let run = self.current.get(&host).map_or(1, |run| run + 1);
        self.current.insert(host, run);
        let number = match self.broken {
            Broken::ForgetsItsFormerRun => 1,
            _ => run,
        };
        let incarnation = Incarnation(number);
        let settings = HostSettings {
            host: host_id(host),
            incarnation,
            site: "site".parse().unwrap(),
            availability_zone: "a".parse().unwrap(),
            drain_notice_ms: Millis(2000),
        };
        let clock_offset_ms = self.rng.random_range(0..1_000_000);
        let seed = self.rng.random();
        let core = EntryHost::new(settings, seed, Millis(self.now_ms + clock_offset_ms));
        let process = Process {
            core,
            incarnation,
            clock_offset_ms,
            paused: false,
            inbox: vec![],
            unsent: BTreeMap::new(),
            out: BTreeSet::new(),
        };
        self.processes.insert((host, run), process);
        let value = PublishedValue { version: Version(1), text: BASE.to_owned() };
        let base = ConfigReading { key: ConfigKey::Base, outcome: ReadOutcome::Value(value) };
        let overlay = ConfigReading { key: ConfigKey::Overlay, outcome: ReadOutcome::Missing };
        for reading in [base, overlay] {
            self.happen((host, run), Happening::Event(Event::ConfigRead(reading)));
        }
        self.happen((host, run), Happening::Event(Event::Tick));
    }

    /// Ends the current process of a host, paused or not.
    pub fn kill(&mut self, host: usize) {
        if let Some(&run) = self.current.get(&host) {
            self.processes.remove(&(host, run));
        }
    }

    pub fn restart(&mut self, host: usize) {
        self.kill(host);
        self.start(host);
    }

    pub fn pause(&mut self, host: usize) {
        if let Some(process) = self.current_process(host) {
            process.paused = true;
        }
    }

    /// Wakes every paused process of a host; what came in meanwhile is handled first.
    pub fn wake(&mut self, host: usize) {
        let runs: Vec<Run> = self.processes.keys().copied().filter(|run| run.0 == host).collect();
        for run in runs {
            let Some(process) = self.processes.get_mut(&run) else { continue };
            process.paused = false;
            for happening in std::mem::take(&mut process.inbox) {
                self.happen(run, happening);
            }
        }
    }

    /// Cuts all links between the two sides.
    pub fn partition(&mut self, one: &[usize], other: &[usize]) {
        for &a in one {
            for &b in other {
                self.cut.extend([(a, b), (b, a)]);
            }
        }
    }

    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// A request that must not run twice comes in at a host. Returns the call.
    pub fn order(&mut self, host: usize, key: &str) -> u64 {
        let call = self.calls.len() as u64;
        let record = CallRecord {
            key: key.to_owned(),
            arrived_ms: self.now_ms,
            runs_ms: vec![],
            told: vec![],
        };
        self.calls.insert(call, record);
        let mut head = head("/order/1");
        head.idempotency_key = Some(key.parse().unwrap());
        if let Some(&run) = self.current.get(&host) {
            let event = Event::CallArrived { call: CallId(call), head };
            self.happen((host, run), Happening::Event(event));
        }
        call
    }

    /// A request that must not run twice, and the time until it is settled.
    pub fn order_and_wait(&mut self, host: usize, key: &str) -> Option<Told> {
        let call = self.order(host, key);
        self.run_for(1000);
        self.told(call)
    }

    pub fn told(&self, call: u64) -> Option<Told> {
        self.calls[&call].told.first().copied()
    }

    pub fn runs(&self, key: &str) -> usize {
        self.calls.values().filter(|call| call.key == key).map(|call| call.runs_ms.len()).sum()
    }

    pub fn voting(&self, host: usize) -> Option<VotingState> {
        let run = self.current.get(&host)?;
        Some(self.processes.get(&(host, *run))?.core.dump().claims.voting)
    }

    pub fn core(&self, host: usize) -> &EntryHost {
        &self.processes[&(host, self.current[&host])].core
    }

    pub fn is_up(&self, host: usize) -> bool {
        self.current.get(&host).is_some_and(|&run| self.processes.contains_key(&(host, run)))
    }

    pub fn run_for(&mut self, span_ms: u64) {
        let until_ms = self.now_ms + span_ms;
        while let Some(at_ms) = self.next_ms().filter(|&at_ms| at_ms <= until_ms) {
            self.now_ms = self.now_ms.max(at_ms);
            self.step();
        }
        self.now_ms = until_ms;
    }

    /// Everything that went wrong so far.
    pub fn violations(&self) -> Vec<String> {
        let mut found = vec![];
        for (id, call) in &self.calls {
            let not_run = call.told.iter().any(|told| {
                matches!(told, Told::Refused(refusal)
                    if refusal.outcome == RunOutcome::NotRun)
            });
            let is_repeat = |other: &&CallRecord| other.key == call.key;
            if call.told.len() > 1 {
                found.push(format!("call {id} was answered {} times", call.told.len()));
            }
            if not_run && !call.runs_ms.is_empty() {
                found.push(format!("call {id} ran and was told that it did not"));
            }
            let window_end_ms = call.arrived_ms + KEY_WINDOW_MS.0;
            let in_window = |&ran_ms: &u64| ran_ms >= call.arrived_ms && ran_ms < window_end_ms;
            let runs = self.calls.values().filter(is_repeat).flat_map(|other| &other.runs_ms);
            if !call.runs_ms.is_empty() && runs.copied().filter(in_window).count() > 1 {
                found.push(format!("key {} ran twice within the window", call.key));
            }
        }
        found
    }

    fn next_ms(&self) -> Option<u64> {
        let agenda = self.agenda.keys().next().map(|&(at_ms, _)| at_ms);
        let ticks = self.processes.values().filter(|process| !process.paused).map(tick_ms);
        agenda.into_iter().chain(ticks).min().map(|at_ms| at_ms.max(self.now_ms))
    }

    fn step(&mut self) {
        let due =
            self.agenda.first_key_value().is_some_and(|(&(at_ms, _), _)| at_ms <= self.now_ms);
        if due && let Some((_, (run, happening))) = self.agenda.pop_first() {
            return self.happen(run, happening);
        }
        let now_ms = self.now_ms;
        let due = |(run, process): (&Run, &Process)| {
            (!process.paused && tick_ms(process) <= now_ms).then_some(*run)
        };
        match self.processes.iter().find_map(due) {
            Some(run) => self.happen(run, Happening::Event(Event::Tick)),
            None => self.now_ms += 1,
        }
    }

    fn happen(&mut self, run: Run, happening: Happening) {
        let Some(process) = self.processes.get_mut(&run) else { return };
        if process.paused {
            process.inbox.push(happening);
            return;
        }
        match happening {
            Happening::Leaves(attempt) => self.leaves(run, attempt),
            Happening::Event(event) => {
                if let Event::AttemptEnded { attempt, .. } = event {
                    process.out.remove(&attempt);
                }
                let local_ms = Millis(self.now_ms + process.clock_offset_ms);
                let mut actions = vec![];
                process.core.handle(local_ms, event, &mut actions);
                for action in actions {
                    self.carry_out(run, action);
                }
            }
        }
    }

    fn carry_out(&mut self, run: Run, action: Action) {
        match action {
            Action::SendPeer { to, message, .. } => self.send_peer(run, &to, message),
            Action::Send(attempt) => {
                let delay_ms = self.rng.random_range(0..=1);
                let Some(process) = self.processes.get_mut(&run) else { return };
                process.unsent.insert(attempt.attempt, attempt.clone());
                process.out.insert(attempt.attempt);
                self.plan(delay_ms, run, Happening::Leaves(attempt));
            }
            Action::CancelAttempt { attempt } => {
                let Some(process) = self.processes.get_mut(&run) else { return };
                let unsent = process.unsent.remove(&attempt).is_some();
                if process.out.contains(&attempt) {
                    let end = AttemptEnd::Cancelled { unsent };
                    self.plan(0, run, Happening::Event(Event::AttemptEnded { attempt, end }));
                }
            }
            Action::Deliver { call, .. } => self.tell(call, Told::Answer),
            Action::Refuse { call, refusal } => self.tell(call, Told::Refused(refusal)),
            Action::ReadHostList => {
                let list = self.lists[run.0].clone();
                self.plan(0, run, Happening::Event(Event::HostListRead(Some(list))));
            }
            Action::Probe { .. }
            | Action::ReadConfig { .. }
            | Action::SetReady(_)
            | Action::Exit => {}
        }
    }

    fn tell(&mut self, call: CallId, told: Told) {
        self.calls.get_mut(&call.0).unwrap().told.push(told);
    }

    /// The moment at which the first byte would leave: a driver checks the deadline here.
    fn leaves(&mut self, run: Run, attempt: Attempt) {
        let reply = self.replies[self.rng.random_range(0..self.replies.len())];
        let Some(process) = self.processes.get_mut(&run) else { return };
        if process.unsent.remove(&attempt.attempt).is_none() {
            return;
        }
        let id = attempt.attempt;
        let late = attempt.deadline_ms.0 <= self.now_ms + process.clock_offset_ms;
        let failed = |stage| Event::AttemptEnded { attempt: id, end: AttemptEnd::Failed { stage } };
        let completed = Event::AttemptEnded { attempt: id, end: AttemptEnd::Completed };
        let events = match reply {
            _ if late => vec![failed(FailureStage::BeforeSending)],
            Reply::NeverConnects => vec![failed(FailureStage::BeforeSending)],
            Reply::Fails => vec![failed(FailureStage::AfterSending)],
            Reply::Silent => vec![],
            Reply::Answers => vec![answered(id, 200, false), completed],
            Reply::Declines => vec![answered(id, 503, true), completed],
        };
        let ran = !late && !matches!(reply, Reply::NeverConnects | Reply::Declines);
        if ran {
            let now_ms = self.now_ms;
            self.calls.get_mut(&attempt.call.0).unwrap().runs_ms.push(now_ms);
        }
        let delay_ms = self.rng.random_range(1..20);
        for event in events {
            self.plan(delay_ms, run, Happening::Event(event));
        }
    }

    fn send_peer(&mut self, run: Run, to: &HostId, message: PeerMessage) {
        let receiver: usize = to.as_str()[1..].parse().unwrap();
        let Some(process) = self.processes.get(&run) else { return };
        let incarnation = process.incarnation;
        if message.kind() == MessageKind::Claim {
            self.claim_messages += 1;
            self.claim_bytes += serde_json::to_string(&message).unwrap().len() as u64;
        }
        let messages = self.tampered(message);
        if self.cut.contains(&(run.0, receiver)) {
            return;
        }
        for message in messages {
            let copies = match self.rng.random_range(0..100) {
                roll if roll < self.wire.loss_percent => 0,
                roll if roll < self.wire.loss_percent + self.wire.double_percent => 2,
                _ => 1,
            };
            let added_ms = match message {
                PeerMessage::ClaimAsked(_) => self.question_delay_ms * receiver as u64,
                _ => 0,
            };
            for _ in 0..copies {
                let delay_ms = added_ms + self.rng.random_range(0..=self.wire.max_delay_ms);
                let (from, message) = (host_id(run.0), message.clone());
                let event = Event::PeerReceived { from, incarnation, message };
                let Some(&current) = self.current.get(&receiver) else { continue };
                self.plan(delay_ms, (receiver, current), Happening::Event(event));
            }
        }
    }

    /// What a broken part makes of a message.
    fn tampered(&self, message: PeerMessage) -> Vec<PeerMessage> {
        match (self.broken, message) {
            (Broken::AlwaysYes, PeerMessage::ClaimVoted(mut vote)) => {
                vote.verdict = ClaimVerdict::Yes;
                vec![PeerMessage::ClaimVoted(vote)]
            }
            (Broken::TellsNoClaims, PeerMessage::StandingOffered(mut told)) => {
                told.claims.clear();
                vec![PeerMessage::StandingOffered(told)]
            }
            (Broken::ReleasesAtOnce, PeerMessage::ClaimAsked(question)) => {
                let (claim, key) = (question.claim.clone(), question.key.clone());
                vec![PeerMessage::ClaimAsked(question), PeerMessage::ClaimReleased { claim, key }]
            }
            (_, message) => vec![message],
        }
    }

    fn plan(&mut self, delay_ms: u64, run: Run, happening: Happening) {
        self.sequence += 1;
        self.agenda.insert((self.now_ms + delay_ms, self.sequence), (run, happening));
    }

    fn current_process(&mut self, host: usize) -> Option<&mut Process> {
        let run = *self.current.get(&host)?;
        self.processes.get_mut(&(host, run))
    }
}

fn tick_ms(process: &Process) -> u64 {
    process.core.next_tick_ms().0.saturating_sub(process.clock_offset_ms)
}

fn answered(attempt: AttemptId, status: u16, not_run: bool) -> Event {
    let answer = AnswerHead { status, is_whole: true, not_run, load: None, leaving: false };
    Event::AnswerReady { attempt, answer }
}
