//! Simulates a site in virtual time: real gossip and readers, a source and a network that fail.
//!
//! After every step it checks the guarantees: no state goes back, and a change is in force within
//! [`BOUND_MS`] at every host that no fault has affected for [`RECOVERY_MS`].

use super::{id, removed, routing, written};
use domain::{Incarnation, Millis};
use published::{
    Capacity, Change, Effect, Entry, Fetch, FetchReply, Gossip, Item, Member, Message,
    PublishedState, ReadStep, Reader, Revision, Snapshot, StartConditions, Waiting,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Time within which a published change must be in force.
const BOUND_MS: Millis = Millis(2_000);

/// Time after a fault in which an affected host guarantees nothing.
const RECOVERY_MS: Millis = Millis(3_000);

const RESPONSE_MS: Millis = Millis(4);
const SOURCE_TIMEOUT_MS: Millis = Millis(400);
const FETCH_TIMEOUT_MS: Millis = Millis(800);
const HELLO_INTERVAL_MS: u64 = 3_000;
const JOIN_INTERVAL_MS: u64 = 40;
const SEEDS: usize = 3;
const EXPIRE_INTERVAL_MS: u64 = 500;

/// A fault of the source, the network or hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The source answers no host whose number is a multiple of this.
    SourceSilent { every: usize },
    /// A zone is cut off from all others, but reaches the source.
    ZoneCut { zone: usize },
    /// A host is cut off from all others, but reaches the source.
    HostCut { host: usize },
    /// Hosts whose number is a multiple of this are killed, and restarted at the end of the fault.
    Killed { every: usize },
    /// This percentage of messages is lost.
    Lossy { percent: u32 },
    /// The source forgets its history.
    HistoryLost,
}

/// A fault, and when it is active.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FaultWindow {
    pub fault: Fault,
    pub from_ms: Millis,
    pub to_ms: Millis,
}

/// A mechanism that is disabled, to test that the checks detect it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Disabled {
    /// All mechanisms work.
    Nothing,
    /// Replies to fetches are lost.
    FetchReplies,
    /// Only the host with the greatest reader weight ever reads.
    Takeover,
    /// Relays don't forward updates.
    Relays,
}

struct Host {
    gossip: Gossip,
    reader: Reader,
    address: SocketAddr,
    zone: usize,
    is_up: bool,
    is_reading: bool,
    wake_ms: Millis,
    in_force: Revision,
    last_fault_ms: Millis,
}

enum Event {
    Message {
        to: usize,
        from: SocketAddr,
        message: Message,
    },
    FetchEnded {
        to: usize,
        run: Incarnation,
        fetch: Fetch,
        answer: Option<(SocketAddr, FetchReply)>,
    },
    AnnounceJoined {
        host: usize,
        run: Incarnation,
    },
    AnswerPendingJoins {
        host: usize,
        run: Incarnation,
    },
    Fetch {
        host: usize,
        run: Incarnation,
        fetch: Fetch,
    },
    Read {
        host: usize,
        run: Incarnation,
        step: ReadStep,
        after: Revision,
    },
}

/// The simulated site.
pub struct Site {
    now_ms: Millis,
    hosts: Vec<Host>,
    events: BTreeMap<(Millis, u64), Event>,
    event_count: u64,
    rng: Pcg64Mcg,
    faults: Vec<FaultWindow>,
    disabled: Disabled,
    items: BTreeMap<String, Entry<Item>>,
    history: Vec<Change>,
    history_since: Revision,
    revision: Revision,
    /// When each revision was published.
    published: Vec<(Revision, Millis)>,
    pub calls: usize,
}

fn revision_of(change: &Change) -> Revision {
    match change {
        Change::Written(entry) => entry.revision,
        Change::Patched(entry) => entry.revision,
        Change::Removed(removal) => removal.revision,
        Change::EvacuationEnded(end) => end.revision,
    }
}

impl Site {
    pub fn new(
        (hosts, zones, upstreams): (usize, usize, usize),
        seed: u64,
        faults: &[FaultWindow],
        disabled: Disabled,
    ) -> Site {
        let mut site = Site {
            now_ms: Millis(0),
            hosts: Vec::new(),
            events: BTreeMap::new(),
            event_count: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            faults: faults.to_vec(),
            disabled,
            items: BTreeMap::new(),
            history: Vec::new(),
            history_since: Revision(0),
            revision: Revision(0),
            published: Vec::new(),
            calls: 0,
        };
        site.publish(routing(1, 1));
        for number in 0..upstreams {
            site.publish(written(site.revision.0 + 1, &format!("first-{number}")));
        }
        for number in 0..hosts {
            let host = site.start(number, number % zones, true);
            site.hosts.push(host);
        }
        site
    }

    fn start(&mut self, number: usize, zone: usize, is_first: bool) -> Host {
        let address = SocketAddr::new([127, 0, 1, number as u8].into(), 7_000);
        let member = Member {
            host: format!("host-{number}").parse().unwrap(),
            incarnation: Incarnation(self.now_ms.0 + 1),
            availability_zone: format!("zone-{zone}").parse().unwrap(),
            address,
            capacity: Capacity::default(),
        };
        let rng = Pcg64Mcg::seed_from_u64(self.rng.random());
        let is_seed = number < SEEDS;
        let other_seeds = SEEDS - usize::from(is_seed);
        let start = StartConditions { is_seed, is_first, other_seeds, link_mbps: None };
        Host {
            gossip: Gossip::new(member, rng.clone()),
            reader: Reader::new(rng, self.now_ms, start),
            address,
            zone,
            is_up: true,
            is_reading: false,
            wake_ms: self.now_ms,
            in_force: Revision(0),
            last_fault_ms: self.now_ms,
        }
    }

    /// Publishes a change, which must have the next revision.
    pub fn publish(&mut self, change: Change) {
        self.revision = Revision(self.revision.0 + 1);
        assert_eq!(revision_of(&change), self.revision);
        match &change {
            Change::Written(entry) => {
                let key = match &entry.value {
                    Item::Routing(_) => "routing".to_owned(),
                    Item::Upstream(upstream) => upstream.id.to_string(),
                    Item::Evacuation(zone) => format!("evacuation of {zone}"),
                };
                self.items.insert(key, entry.clone());
            }
            Change::Removed(removal) => {
                self.items.remove(removal.upstream.as_str());
            }
            Change::EvacuationEnded(end) => {
                self.items.remove(&format!("evacuation of {}", end.zone));
            }
            Change::Patched(_) => unreachable!("the source publishes no patches"),
        }
        self.history.push(change);
        self.published.push((self.revision, self.now_ms));
    }

    /// Publishes a random change.
    pub fn publish_random(&mut self) {
        let next = self.revision.0 + 1;
        let name = format!("i-{}", self.rng.random_range(0..20));
        let is_there = self.items.contains_key(id(&name).as_str());
        let change = match self.rng.random_range(0..3) {
            0 => routing(next, next),
            1 if is_there => removed(next, &name),
            _ => written(next, &name),
        };
        self.publish(change);
    }

    /// Simulates the site up to `until_ms`; returns the first violated guarantee as an error.
    pub fn run_until(&mut self, until_ms: Millis) -> Result<(), String> {
        while self.now_ms < until_ms {
            self.now_ms = self.now_ms + Millis(1);
            self.apply_faults();
            self.deliver();
            for at in 0..self.hosts.len() {
                if self.hosts[at].is_up {
                    self.step(at);
                    self.check(at)?;
                }
            }
        }
        Ok(())
    }

    /// Checks that all running hosts have the published state.
    pub fn check_converged(&self) -> Result<(), String> {
        let up = || self.hosts.iter().filter(|host| host.is_up);
        let digests: Vec<u64> = up().map(|host| host.gossip.published_state().digest()).collect();
        match digests.windows(2).all(|pair| pair[0] == pair[1]) {
            true if up().all(|host| host.gossip.published_state().revision() >= self.revision) => {
                Ok(())
            }
            _ => Err("hosts have different states after all faults have ended".to_owned()),
        }
    }

    /// The revision of the next change.
    pub fn next_revision(&self) -> u64 {
        self.revision.0 + 1
    }

    /// Whether `holds` is true for the state of each running host.
    pub fn all_hosts(&self, holds: impl Fn(&PublishedState) -> bool) -> bool {
        self.hosts.iter().filter(|host| host.is_up).all(|host| holds(host.gossip.published_state()))
    }

    fn active(&self) -> impl Iterator<Item = Fault> + '_ {
        let now_ms = self.now_ms;
        let is_active =
            move |window: &&FaultWindow| (window.from_ms..window.to_ms).contains(&now_ms);
        self.faults.iter().filter(is_active).map(|window| window.fault)
    }

    fn apply_faults(&mut self) {
        let active: Vec<Fault> = self.active().collect();
        for at in 0..self.hosts.len() {
            let is_killed = active
                .iter()
                .any(|fault| matches!(fault, Fault::Killed { every } if at.is_multiple_of(*every)));
            match (is_killed, self.hosts[at].is_up) {
                (true, true) => self.hosts[at].is_up = false,
                (false, false) => self.hosts[at] = self.start(at, self.hosts[at].zone, false),
                _ => {}
            }
        }
        if active.contains(&Fault::HistoryLost) {
            self.history.clear();
            self.history_since = self.revision;
        }
        for at in 0..self.hosts.len() {
            if active.iter().any(|&fault| self.is_affected(at, fault)) {
                self.hosts[at].last_fault_ms = self.now_ms;
            }
        }
    }

    /// Whether a fault affects a host. Faults of the source and of all links affect every host.
    fn is_affected(&self, at: usize, fault: Fault) -> bool {
        match fault {
            Fault::SourceSilent { .. } | Fault::HistoryLost | Fault::Lossy { .. } => true,
            Fault::ZoneCut { zone } => self.hosts[at].zone == zone,
            Fault::HostCut { host } => at == host,
            Fault::Killed { every } => at.is_multiple_of(every),
        }
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let differs = |zone: usize| (self.hosts[a].zone == zone) != (self.hosts[b].zone == zone);
        self.active().any(|fault| match fault {
            Fault::ZoneCut { zone } => differs(zone),
            Fault::HostCut { host } => a != b && (a == host || b == host),
            _ => false,
        })
    }

    fn is_lost(&mut self) -> bool {
        let percents = self.active().filter_map(|fault| match fault {
            Fault::Lossy { percent } => Some(percent),
            _ => None,
        });
        // One message in two hundred is lost even without a fault.
        let per_mille = 5 + 10 * percents.max().unwrap_or(0);
        self.rng.random_range(0..1_000) < per_mille
    }

    fn delay_ms(&self, a: usize, b: usize) -> Millis {
        if self.hosts[a].zone == self.hosts[b].zone { Millis(1) } else { Millis(2) }
    }

    fn at_address(&self, address: SocketAddr) -> usize {
        self.hosts.iter().position(|host| host.address == address).unwrap()
    }

    fn run_of(&self, at: usize) -> Incarnation {
        self.hosts[at].gossip.members().own().incarnation
    }

    fn push(&mut self, at_ms: Millis, event: Event) {
        self.event_count += 1;
        self.events.insert((at_ms, self.event_count), event);
    }

    fn deliver(&mut self) {
        while self.events.first_key_value().is_some_and(|((at_ms, _), _)| *at_ms <= self.now_ms) {
            let Some((_, event)) = self.events.pop_first() else { return };
            let now_ms = self.now_ms;
            match event {
                Event::Message { to, from, message } if self.hosts[to].is_up => {
                    let message = self.received(message);
                    let effects = self.hosts[to].gossip.handle_message(now_ms, message, from);
                    self.carry_out(to, effects);
                }
                Event::FetchEnded { to, run, fetch, answer }
                    if self.hosts[to].is_up && self.run_of(to) == run =>
                {
                    let answer = answer.filter(|_| self.disabled != Disabled::FetchReplies);
                    let effects = self.hosts[to].gossip.finish_fetch(now_ms, fetch, answer);
                    self.carry_out(to, effects);
                }
                Event::AnnounceJoined { host, run }
                    if self.hosts[host].is_up && self.run_of(host) == run =>
                {
                    let effects = self.hosts[host].gossip.announce_joined(now_ms);
                    self.carry_out(host, effects);
                }
                Event::AnswerPendingJoins { host, run }
                    if self.hosts[host].is_up && self.run_of(host) == run =>
                {
                    let effects = self.hosts[host].gossip.answer_pending_joins(now_ms);
                    self.carry_out(host, effects);
                }
                Event::Fetch { host, run, fetch }
                    if self.hosts[host].is_up && self.run_of(host) == run =>
                {
                    self.fetch(host, fetch);
                }
                Event::Read { host, run, step, after }
                    if self.hosts[host].is_up && self.run_of(host) == run =>
                {
                    self.read(host, step, after);
                }
                _ => {}
            }
        }
    }

    fn received(&self, message: Message) -> Message {
        match message {
            Message::StateUpdate { update, .. } if self.disabled == Disabled::Relays => {
                Message::StateUpdate { update, should_relay: false }
            }
            message => message,
        }
    }

    fn step(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let offset = 17 * at as u64;
        let is_joining = self.hosts[at].gossip.is_joining(now_ms);
        let every_ms = if is_joining { JOIN_INTERVAL_MS } else { HELLO_INTERVAL_MS };
        if (now_ms.0 + offset).is_multiple_of(every_ms) {
            let seeds = self.hosts[..SEEDS].iter().map(|host| host.address);
            let own = self.hosts[at].address;
            let others: Vec<SocketAddr> = seeds.filter(|seed| *seed != own).collect();
            let gossip = &mut self.hosts[at].gossip;
            let effects =
                if is_joining { gossip.join(&others) } else { gossip.send_hello(&others) };
            self.carry_out(at, effects);
        }
        if (now_ms.0 + offset).is_multiple_of(EXPIRE_INTERVAL_MS) {
            let effects = self.hosts[at].gossip.expire(now_ms);
            self.carry_out(at, effects);
        }
        self.step_reader(at);
    }

    fn step_reader(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let host = &mut self.hosts[at];
        let is_waiting = host.is_reading || now_ms < host.wake_ms;
        if is_waiting || host.gossip.is_bootstrap_pending(now_ms) {
            return;
        }
        let waiting = Waiting { for_routing: false, for_fetch: host.gossip.is_fetching() };
        let (members, state) = (host.gossip.members(), host.gossip.published_state());
        let step = host.reader.step(now_ms, members, state, waiting);
        let is_takeover_disabled = self.disabled == Disabled::Takeover
            && host.gossip.members().reader_rank() > 0
            && host.gossip.published_state().confirmed_ms().is_some();
        let wait_ms = match step {
            ReadStep::Wait(until_ms) => {
                host.wake_ms = until_ms;
                return;
            }
            _ if is_takeover_disabled => return,
            ReadStep::Sample | ReadStep::FirstPage | ReadStep::Snapshot => Millis(0),
            ReadStep::Changes(wait_ms) => wait_ms,
        };
        host.is_reading = true;
        if matches!(step, ReadStep::FirstPage | ReadStep::Snapshot) {
            host.gossip.set_initial_read(true);
        }
        self.calls += 1;
        let after = host.gossip.published_state().revision();
        let has_changes = after < self.revision;
        let took_ms = match self.is_silent_to(at) {
            true => wait_ms + SOURCE_TIMEOUT_MS,
            false if has_changes => RESPONSE_MS,
            false => RESPONSE_MS + wait_ms,
        };
        let run = self.run_of(at);
        self.push(now_ms + took_ms, Event::Read { host: at, run, step, after });
    }

    fn is_silent_to(&self, at: usize) -> bool {
        let is_affected =
            |fault| matches!(fault, Fault::SourceSilent { every } if at.is_multiple_of(every));
        self.active().any(is_affected)
    }

    fn read(&mut self, at: usize, step: ReadStep, after: Revision) {
        let now_ms = self.now_ms;
        self.hosts[at].is_reading = false;
        if self.is_silent_to(at) {
            self.hosts[at].reader.failed(now_ms);
            let effects = self.hosts[at].gossip.broadcast_read_failure(now_ms);
            return self.carry_out(at, effects);
        }
        if matches!(step, ReadStep::FirstPage | ReadStep::Snapshot) {
            let snapshot = Snapshot {
                revision: self.revision,
                items: self.items.values().cloned().collect(),
                overwritten: Vec::new(),
            };
            let effects = self.hosts[at].gossip.apply_snapshot(now_ms, snapshot);
            self.hosts[at].reader.succeeded(now_ms, true);
            return self.carry_out(at, effects);
        }
        if after < self.history_since {
            return self.hosts[at].reader.require_snapshot();
        }
        let is_newer = |change: &&Change| revision_of(change) > after;
        let changes: Vec<Change> = self.history.iter().filter(is_newer).cloned().collect();
        let effects = self.hosts[at].gossip.apply_changes(now_ms, after, self.revision, &changes);
        self.hosts[at].reader.succeeded(now_ms, !changes.is_empty());
        self.carry_out(at, effects);
    }

    fn carry_out(&mut self, at: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { message, to } => {
                    for address in to {
                        self.send(at, address, message.clone());
                    }
                }
                Effect::Fetch(fetch) => {
                    let run = self.run_of(at);
                    self.push(self.now_ms + fetch.delay_ms, Event::Fetch { host: at, run, fetch });
                }
                Effect::StateUpdated { .. } => self.hosts[at].wake_ms = self.now_ms,
                Effect::AnswerPendingJoins { delay_ms } => {
                    let run = self.run_of(at);
                    self.push(self.now_ms + delay_ms, Event::AnswerPendingJoins { host: at, run });
                }
                Effect::AnnounceJoined { delay_ms } => {
                    let run = self.run_of(at);
                    self.push(self.now_ms + delay_ms, Event::AnnounceJoined { host: at, run });
                }
                Effect::FetchEnded { .. } | Effect::PeersDiscovered(_) | Effect::PeerRemoved(_) => {
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let to = self.at_address(to);
        if self.is_cut(from, to) || self.is_lost() {
            return;
        }
        let at_ms = self.now_ms + self.delay_ms(from, to);
        let from = self.hosts[from].address;
        self.push(at_ms, Event::Message { to, from, message });
    }

    fn fetch(&mut self, at: usize, fetch: Fetch) {
        let mut took_ms = Millis(0);
        let mut answer = None;
        for &address in &fetch.from {
            let peer = self.at_address(address);
            let is_there = self.hosts[peer].is_up && !self.is_cut(at, peer);
            let reply = self.hosts[peer].gossip.reply_to_fetch(self.now_ms, fetch.request);
            match reply.filter(|_| is_there) {
                Some(reply) => {
                    took_ms = took_ms + self.delay_ms(at, peer) + self.delay_ms(at, peer);
                    answer = Some((address, reply));
                    break;
                }
                // A running host that can't help closes the connection at once.
                None if is_there => took_ms = took_ms + self.delay_ms(at, peer),
                None => took_ms = took_ms + FETCH_TIMEOUT_MS,
            }
        }
        let run = self.run_of(at);
        // The reply ages on its way.
        let aged = answer.map(|(address, reply)| {
            (address, FetchReply { age_ms: reply.age_ms + took_ms, ..reply })
        });
        self.push(self.now_ms + took_ms, Event::FetchEnded { to: at, run, fetch, answer: aged });
    }

    fn check(&mut self, at: usize) -> Result<(), String> {
        let now_ms = self.now_ms;
        let host = &mut self.hosts[at];
        let state = host.gossip.published_state();
        let in_force = state.routing().map_or(Revision(0), |entry| entry.revision);
        if in_force < host.in_force {
            return Err(format!("at {now_ms} host {at} went back to routing revision {in_force}"));
        }
        host.in_force = in_force;
        let has_recovered = now_ms.since(host.last_fault_ms) > RECOVERY_MS;
        let due = |published: &&(Revision, Millis)| now_ms.since(published.1) > BOUND_MS;
        let due = self.published.iter().rev().find(due).map(|(revision, _)| *revision);
        match due {
            Some(due) if has_recovered && state.revision() < due => Err(format!(
                "at {now_ms} host {at} has revision {} instead of {due}",
                state.revision()
            )),
            _ => Ok(()),
        }
    }
}
