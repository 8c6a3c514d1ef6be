//! Several entry hosts with scripted time: messages, readings and host lists between them.
//!
//! Whatever happens outside the hosts is a field here that a test sets: delay, loss and
//! doubling of messages, cuts, pauses, restarts, a service that is down or stale at
//! some readers, a host list that lags. The seed decides the rest, so a run repeats.
#![allow(clippy::unwrap_used, dead_code)]

use decision_core::{
    Action, ConfigKey, ConfigReading, EntryHost, Event, HostList, HostSettings, ListedHost,
    PublishedValue, ReadOutcome, VersionPair,
};
use domain::{HostId, Incarnation, Millis, Version};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// Time that the service and the host list take to answer.
const READ_DELAY_MS: u64 = 2;

/// Makes the host of a new run; tests that need other settings change them here.
pub type MakeHost = fn(HostSettings, u64, Millis) -> EntryHost;

/// Where a host stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessState {
    Running,
    /// Stopped by a signal: events wait for it.
    Paused,
    /// Not running: events are lost.
    Down,
}

/// One host and what it did.
pub struct Process {
    pub host: EntryHost,
    pub state: ProcessState,
    pub incarnation: Incarnation,
    pub ready: bool,
    /// When it became ready in this run.
    pub ready_at_ms: Option<Millis>,
    pub exited: bool,
    inbox: Vec<Event>,
    next_tick_ms: Millis,
}

/// The network between hosts.
pub struct Network {
    pub delay_ms: u64,
    /// Added to the delay, at random up to this.
    pub jitter_ms: u64,
    /// Out of a hundred messages.
    pub lost_percent: u32,
    /// Out of a hundred messages.
    pub doubled_percent: u32,
    /// Pairs, in the direction of sending, that hear nothing.
    pub cut: BTreeSet<(HostId, HostId)>,
}

/// The configuration service.
#[derive(Default)]
pub struct Service {
    /// All versions ever published, per key.
    pub published: BTreeMap<ConfigKey, Vec<PublishedValue>>,
    /// Readers that get no answer.
    pub down_for: BTreeSet<HostId>,
    /// Readers that see nothing newer than this version.
    pub stale_for: BTreeMap<(HostId, ConfigKey), Version>,
    /// Readings so far.
    pub reads: usize,
}

/// A host went back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reversion {
    pub host: HostId,
    pub at_ms: Millis,
    /// When the run that went back was started.
    pub started_ms: Millis,
    pub before: VersionPair,
    pub after: VersionPair,
}

struct Watch {
    reader: HostId,
    key: ConfigKey,
    after: Option<Version>,
    until_ms: Millis,
}

/// The fleet and everything around it.
pub struct Pump {
    pub now_ms: Millis,
    pub processes: BTreeMap<HostId, Process>,
    pub network: Network,
    pub service: Service,
    pub list: HostList,
    /// Hosts that get an older list, or none.
    pub list_for: BTreeMap<HostId, Option<HostList>>,
    /// Actions that the pump has no use for (calls, probes), with their time and host.
    pub outbox: Vec<(Millis, HostId, Action)>,
    /// Messages sent, per sender.
    pub sent: BTreeMap<HostId, usize>,
    /// Serialised bytes of the messages sent, per sender.
    pub sent_bytes: BTreeMap<HostId, usize>,
    pub make_host: MakeHost,
    /// What each host had in force, run after run, with the time of the change.
    pub history: BTreeMap<HostId, Vec<(Millis, VersionPair)>>,
    /// When each host's runs were started.
    pub starts: BTreeMap<HostId, Vec<Millis>>,
    /// Events handed to hosts so far.
    pub handled: usize,
    events: BTreeMap<(Millis, u64), (HostId, Event)>,
    watches: Vec<Watch>,
    sequence: u64,
    rng: Pcg64Mcg,
}

pub fn host_id(number: usize) -> HostId {
    format!("e{number}").parse().unwrap()
}

/// Hosts `e1` to `e<count>`, in availability zones `a`, `b` and `c` by turns.
pub fn host_list(version: u64, count: usize) -> HostList {
    let hosts = (1..=count).map(|number| ListedHost {
        host: host_id(number),
        peer_address: format!("127.0.0.1:{}", 7000 + number).parse().unwrap(),
        availability_zone: zone_of(number).parse().unwrap(),
        leaving: false,
    });
    HostList { version: Version(version), hosts: hosts.collect() }
}

fn zone_of(number: usize) -> &'static str {
    ["a", "b", "c"][(number - 1) % 3]
}

impl Pump {
    /// A fleet of listed hosts, none of which runs yet.
    pub fn new(count: usize, seed: u64) -> Pump {
        Pump {
            now_ms: Millis(1_000_000),
            processes: BTreeMap::new(),
            network: Network {
                delay_ms: 1,
                jitter_ms: 1,
                lost_percent: 0,
                doubled_percent: 0,
                cut: BTreeSet::new(),
            },
            service: Service::default(),
            list: host_list(1, count),
            list_for: BTreeMap::new(),
            outbox: Vec::new(),
            sent: BTreeMap::new(),
            sent_bytes: BTreeMap::new(),
            make_host: EntryHost::new,
            history: BTreeMap::new(),
            starts: BTreeMap::new(),
            handled: 0,
            events: BTreeMap::new(),
            watches: Vec::new(),
            sequence: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Publishes a value; watches that wait for it come back.
    pub fn publish(&mut self, key: ConfigKey, version: u64, text: &str) {
        let value = PublishedValue { version: Version(version), text: text.to_owned() };
        self.service.published.entry(key).or_default().push(value);
        self.wake_watches();
    }

    /// Publishes base 1 and no overlay.
    pub fn publish_first(&mut self) {
        self.publish(ConfigKey::Base, 1, super::BASE);
    }

    /// Starts a host, or starts it again as a new run.
    pub fn start(&mut self, number: usize) {
        let host = host_id(number);
        self.starts.entry(host.clone()).or_default().push(self.now_ms);
        let settings = HostSettings {
            host: host.clone(),
            incarnation: Incarnation(self.now_ms.0),
            site: "site".parse().unwrap(),
            availability_zone: zone_of(number).parse().unwrap(),
            drain_notice_ms: Millis(2000),
        };
        let incarnation = settings.incarnation;
        let process = Process {
            incarnation,
            host: (self.make_host)(settings, self.rng.random(), self.now_ms),
            state: ProcessState::Running,
            ready: false,
            ready_at_ms: None,
            exited: false,
            inbox: Vec::new(),
            next_tick_ms: self.now_ms,
        };
        self.processes.insert(host, process);
    }

    pub fn start_all(&mut self) {
        (1..=self.list.hosts.len()).for_each(|number| self.start(number));
    }

    /// Kills a host; its state is lost.
    pub fn kill(&mut self, number: usize) {
        let host = host_id(number);
        self.watches.retain(|watch| watch.reader != host);
        self.process_mut(number).state = ProcessState::Down;
    }

    pub fn pause(&mut self, number: usize) {
        self.process_mut(number).state = ProcessState::Paused;
    }

    /// Wakes a paused host; it first gets all that arrived meanwhile.
    pub fn resume(&mut self, number: usize) {
        let process = self.process_mut(number);
        process.state = ProcessState::Running;
        let inbox = std::mem::take(&mut process.inbox);
        for event in inbox {
            self.handle(&host_id(number), event);
        }
    }

    /// Cuts the network between two groups, both ways.
    pub fn cut(&mut self, one: &[usize], other: &[usize]) {
        for (&a, &b) in one.iter().flat_map(|a| other.iter().map(move |b| (a, b))) {
            self.network.cut.insert((host_id(a), host_id(b)));
            self.network.cut.insert((host_id(b), host_id(a)));
        }
    }

    pub fn heal(&mut self) {
        self.network.cut.clear();
    }

    pub fn process(&self, number: usize) -> &Process {
        &self.processes[&host_id(number)]
    }

    pub fn process_mut(&mut self, number: usize) -> &mut Process {
        self.processes.get_mut(&host_id(number)).unwrap()
    }

    /// Hands an event to a host now.
    pub fn inject(&mut self, number: usize, event: Event) {
        self.deliver(&host_id(number), event);
    }

    pub fn run_for(&mut self, span_ms: u64) {
        self.run_until(self.now_ms + Millis(span_ms));
    }

    pub fn run_until(&mut self, until_ms: Millis) {
        while let Some(next_ms) = self.next_step_ms().filter(|&next_ms| next_ms <= until_ms) {
            self.now_ms = self.now_ms.max(next_ms);
            self.step();
        }
        self.now_ms = self.now_ms.max(until_ms);
    }

    /// Runs until something holds. Returns whether it did within the time.
    pub fn run_while(&mut self, limit_ms: u64, goes_on: impl Fn(&Pump) -> bool) -> bool {
        let limit_ms = self.now_ms + Millis(limit_ms);
        while goes_on(self) {
            match self.next_step_ms() {
                Some(next_ms) if next_ms <= limit_ms => {
                    self.now_ms = self.now_ms.max(next_ms);
                    self.step();
                }
                _ => return false,
            }
        }
        true
    }

    fn next_step_ms(&self) -> Option<Millis> {
        let running = self.processes.values().filter(|p| p.state == ProcessState::Running);
        let tick_ms = running.map(|process| process.next_tick_ms);
        let event_ms = self.events.first_key_value().map(|(&(at_ms, _), _)| at_ms);
        let watch_ms = self.watches.iter().map(|watch| watch.until_ms);
        tick_ms.chain(event_ms).chain(watch_ms).min()
    }

    fn step(&mut self) {
        self.end_watches();
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= self.now_ms
        {
            let (host, event) = entry.remove();
            self.deliver(&host, event);
        }
        let due = |process: &Process| {
            process.state == ProcessState::Running && process.next_tick_ms <= self.now_ms
        };
        let hosts: Vec<HostId> =
            self.processes.iter().filter(|(_, p)| due(p)).map(|(id, _)| id.clone()).collect();
        hosts.iter().for_each(|host| self.handle(host, Event::Tick));
    }

    fn deliver(&mut self, to: &HostId, event: Event) {
        let Some(process) = self.processes.get_mut(to) else { return };
        match process.state {
            ProcessState::Running => self.handle(to, event),
            ProcessState::Paused => process.inbox.push(event),
            ProcessState::Down => {}
        }
    }

    fn handle(&mut self, id: &HostId, event: Event) {
        let now_ms = self.now_ms;
        let Some(process) = self.processes.get_mut(id) else { return };
        let mut actions = Vec::new();
        process.host.handle(now_ms, event, &mut actions);
        // A tick that leaves the next one due at once would keep scripted time from passing.
        process.next_tick_ms = process.host.next_tick_ms().max(now_ms + Millis(1));
        let incarnation = process.incarnation;
        let versions = process.host.versions();
        self.handled += 1;
        self.note_versions(id, versions);
        for action in actions {
            self.carry_out(id, incarnation, action);
        }
    }

    /// A host that has nothing in force yet serves nobody, so it is not older than before.
    fn note_versions(&mut self, id: &HostId, versions: VersionPair) {
        let history = self.history.entry(id.clone()).or_default();
        let is_new = history.last().is_none_or(|(_, last)| *last != versions);
        if is_new && versions.base > Version(0) {
            history.push((self.now_ms, versions));
        }
    }

    /// Changes of a host to a pair that does not cover the one it had before.
    pub fn reversions(&self) -> Vec<Reversion> {
        let mut found = Vec::new();
        for (host, history) in &self.history {
            for ((_, before), (at_ms, after)) in history.iter().zip(history.iter().skip(1)) {
                if !after.covers(*before) {
                    let starts = self.starts[host].iter().filter(|start| **start <= *at_ms);
                    let started_ms = starts.max().copied().unwrap_or(Millis::ZERO);
                    let (host, at_ms) = (host.clone(), *at_ms);
                    let (before, after) = (*before, *after);
                    found.push(Reversion { host, at_ms, started_ms, before, after });
                }
            }
        }
        found
    }

    /// The first of [`Pump::reversions`].
    pub fn reverted(&self) -> Option<Reversion> {
        self.reversions().into_iter().next()
    }

    /// Whether most hosts had this pair, or one beyond it, in force before some time.
    pub fn was_accepted(&self, pair: VersionPair, before_ms: Millis) -> bool {
        let had = |history: &&Vec<(Millis, VersionPair)>| {
            history.iter().any(|(at_ms, had)| *at_ms < before_ms && had.covers(pair))
        };
        self.history.values().filter(had).count() * 2 > self.history.len()
    }

    /// When the last of the running hosts got to this pair or beyond; nothing if one hasn't.
    pub fn everywhere_at_ms(&self, pair: VersionPair) -> Option<Millis> {
        let running = self.processes.iter().filter(|(_, p)| p.state == ProcessState::Running);
        let reached = running.map(|(id, _)| {
            let history = self.history.get(id)?;
            history.iter().find(|(_, versions)| versions.covers(pair)).map(|(at_ms, _)| *at_ms)
        });
        reached.collect::<Option<Vec<_>>>()?.into_iter().max()
    }

    fn carry_out(&mut self, from: &HostId, incarnation: Incarnation, action: Action) {
        match action {
            Action::SendPeer { to, message, .. } => {
                *self.sent.entry(from.clone()).or_default() += 1;
                let bytes = serde_json::to_string(&message).unwrap().len();
                *self.sent_bytes.entry(from.clone()).or_default() += bytes;
                let event = Event::PeerReceived { from: from.clone(), incarnation, message };
                self.transmit(from, &to, event);
            }
            Action::ReadConfig { key, after, wait_ms } => self.read(from, key, after, wait_ms),
            Action::ReadHostList => {
                let list = self.list_for.get(from).cloned();
                let event = Event::HostListRead(list.unwrap_or_else(|| Some(self.list.clone())));
                self.schedule(READ_DELAY_MS, from, event);
            }
            Action::SetReady(ready) => {
                let now_ms = self.now_ms;
                let process = self.processes.get_mut(from).unwrap();
                process.ready = ready;
                process.ready_at_ms = process.ready_at_ms.or(ready.then_some(now_ms));
            }
            Action::Exit => {
                let process = self.processes.get_mut(from).unwrap();
                process.exited = true;
                process.state = ProcessState::Down;
            }
            other => self.outbox.push((self.now_ms, from.clone(), other)),
        }
    }

    fn transmit(&mut self, from: &HostId, to: &HostId, event: Event) {
        let cut = self.network.cut.contains(&(from.clone(), to.clone()));
        let lost = self.rng.random_range(0..100) < self.network.lost_percent;
        let doubled = self.rng.random_range(0..100) < self.network.doubled_percent;
        if cut || lost {
            return;
        }
        for _ in 0..=usize::from(doubled) {
            let jitter_ms = self.rng.random_range(0..=self.network.jitter_ms);
            self.schedule(self.network.delay_ms + jitter_ms, to, event.clone());
        }
    }

    fn schedule(&mut self, after_ms: u64, to: &HostId, event: Event) {
        self.sequence += 1;
        let at_ms = self.now_ms + Millis(after_ms);
        self.events.insert((at_ms, self.sequence), (to.clone(), event));
    }

    fn read(&mut self, reader: &HostId, key: ConfigKey, after: Option<Version>, wait_ms: Millis) {
        self.service.reads += 1;
        match self.outcome(reader, key, after) {
            ReadOutcome::Unchanged if wait_ms > Millis::ZERO => {
                let until_ms = self.now_ms + wait_ms;
                self.watches.push(Watch { reader: reader.clone(), key, after, until_ms });
            }
            outcome => self.answer(reader, key, outcome),
        }
    }

    fn answer(&mut self, reader: &HostId, key: ConfigKey, outcome: ReadOutcome) {
        let event = Event::ConfigRead(ConfigReading { key, outcome });
        self.schedule(READ_DELAY_MS, reader, event);
    }

    fn outcome(&self, reader: &HostId, key: ConfigKey, after: Option<Version>) -> ReadOutcome {
        if self.service.down_for.contains(reader) {
            return ReadOutcome::Unavailable;
        }
        let newest_seen = self.service.stale_for.get(&(reader.clone(), key));
        let seen = |value: &&PublishedValue| newest_seen.is_none_or(|&v| value.version <= v);
        let published = self.service.published.get(&key);
        match published.and_then(|values| values.iter().rfind(seen)) {
            None => ReadOutcome::Missing,
            Some(value) if after.is_some_and(|after| value.version <= after) => {
                ReadOutcome::Unchanged
            }
            Some(value) => ReadOutcome::Value(value.clone()),
        }
    }

    fn wake_watches(&mut self) {
        for watch in std::mem::take(&mut self.watches) {
            match self.outcome(&watch.reader, watch.key, watch.after) {
                ReadOutcome::Unchanged => self.watches.push(watch),
                outcome => self.answer(&watch.reader, watch.key, outcome),
            }
        }
    }

    fn end_watches(&mut self) {
        let now_ms = self.now_ms;
        let (over, waiting) =
            std::mem::take(&mut self.watches).into_iter().partition(|w| w.until_ms <= now_ms);
        self.watches = waiting;
        let over: Vec<Watch> = over;
        for watch in over {
            let outcome = self.outcome(&watch.reader, watch.key, watch.after);
            self.answer(&watch.reader, watch.key, outcome);
        }
    }
}
