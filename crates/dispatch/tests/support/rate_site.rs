//! A fleet in virtual time whose upstreams take a rate only, as they are cold or say so in their
//! answers: real schedulers, directories and senders; messages that are lost, doubled and cut off.

mod host;
mod saying;

use super::submission;
use dispatch::backpressure::BackpressureUpdate;
use dispatch::scheduler::{
    Cell, Directory, Effect, Outcome, PlacementMessage, Requester, Submission, Ticket, Withdrawal,
};
use dispatch::{AttemptFailure, LoadReport, ZoneScope};
use domain::{FastMap, FastSet, Millis, ServiceName, Slots, UpstreamId, ZoneName};
use host::{Host, cold, known_fleet, requester};
use published::{Member, RunStart};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

const STEP_MS: u64 = 2;
const WAY_MS: u64 = 2;
/// News are told again after these times, and offered so often.
const TELL_AGAIN_MS: [u64; 2] = [100, 300];
const RESTART_MS: u64 = 400;
/// Peers that a host asks as it starts; one of them may have just started, too.
const ASKED_PEERS: usize = 3;
const ANSWERED_MS: u64 = 3 * WAY_MS;
const OFFER_EACH_MS: u64 = 500;
/// A scheduler that says nothing is done without after this time.
const UNHEARD_MS: u64 = 25;
/// Time until a refusal.
const REFUSED_MS: u64 = 2;
const SLOTS: u32 = 2;
const ZONES: usize = 3;
/// Upstreams are cold beyond the end of a play.
const AFTER_MS: Millis = Millis(1_000);

/// Why upstreams take a rate only.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reason {
    /// All are cold, from the start and beyond the end of the play.
    Cold,
    /// Their answers say so, from some moment to another.
    Limited { from_ms: u64, until_ms: u64 },
    /// They take what comes; every third says from some moment on that it is leaving.
    Leaving { from_ms: u64 },
    /// They take what comes; every third refuses all from some moment on, and asks whoever it refuses to
    /// back off.
    Refusing { from_ms: u64, backoff_ms: u64 },
}

/// What goes wrong meanwhile.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Harm {
    Nothing,
    /// One message in five is lost, one in five comes twice.
    Lossy,
    /// Each host that this divides reaches only itself.
    CutOff {
        every: usize,
    },
    /// Nobody schedules: each host sends by itself, from its own share.
    NoScheduler,
    /// Two halves don't reach each other.
    Split,
    /// All have just started, and know nobody but themselves.
    JustStarted,
    /// Who schedules is killed so often, and is back with nothing after a moment.
    SchedulersKilled {
        each_ms: u64,
    },
}

#[derive(Debug, Clone)]
pub struct Site {
    pub hosts: usize,
    pub upstreams: usize,
    pub rate: f64,
    pub reason: Reason,
    pub length_ms: u64,
    /// Time of a request at an upstream.
    pub work_ms: u64,
    /// Requests of all hosts in a second, in times of what the upstreams may get.
    pub demand: f64,
    pub harm: Harm,
    pub seed: u64,
}

enum Event {
    Scheduler { to: usize, from: usize, message: PlacementMessage },
    Host { to: usize, message: PlacementMessage },
    Asked { by: usize, run: u64, upstream: UpstreamId },
    Unheard { host: usize, ticket: u64 },
    Done { upstream: UpstreamId, host: usize, placed: Option<(usize, Ticket)> },
    Told { to: usize, told: Vec<BackpressureUpdate> },
    TellAgain { host: usize, told: Vec<BackpressureUpdate>, age_ms: Millis },
    AskPeer { host: usize },
}

/// What is told of each upstream: when requests arrived.
pub type Arrivals = FastMap<UpstreamId, Vec<u64>>;

/// Requests that reached one upstream, and who passed on its word.
#[derive(Debug, Clone, Default)]
pub struct Reached {
    /// When, and from which host.
    pub arrivals: Vec<(u64, usize)>,
    /// When a host first had an answer that said anything.
    pub told: FastMap<usize, u64>,
}

pub struct Play {
    site: Site,
    now_ms: u64,
    hosts: Vec<Host>,
    events: BTreeMap<(u64, u64), Event>,
    numbered: u64,
    rng: Pcg64Mcg,
    /// Requests that wait for their scheduler's word, by host and ticket.
    open: FastMap<(usize, u64), usize>,
    /// Those of them that were told that they wait.
    queued: FastSet<(usize, u64)>,
    running: FastMap<UpstreamId, u32>,
    reached: FastMap<UpstreamId, Reached>,
    cell: Cell,
}

fn zone(number: usize) -> ZoneName {
    format!("zone-{}", number % ZONES).parse().unwrap()
}

fn service() -> ServiceName {
    "parts".parse().unwrap()
}

impl Play {
    /// Plays; returns when requests reached each of the upstreams.
    pub fn run(site: &Site) -> Arrivals {
        let times = |reached: Reached| reached.arrivals.iter().map(|&(at_ms, _)| at_ms).collect();
        Play::run_whole(site).into_iter().map(|(id, reached)| (id, times(reached))).collect()
    }

    /// Plays; returns what reached each of the upstreams.
    pub fn run_whole(site: &Site) -> FastMap<UpstreamId, Reached> {
        let mut play = Play::new(site.clone());
        while play.now_ms < site.length_ms {
            play.now_ms += STEP_MS;
            play.harm();
            play.offer();
            play.arrive();
            play.deliver();
            for at in 0..play.hosts.len() {
                play.turn(at);
            }
        }
        play.reached
    }

    fn new(site: Site) -> Play {
        let entries: Vec<_> = (0..site.upstreams).map(|number| cold(number, &site)).collect();
        let hosts = (0..site.hosts).map(|number| Host::new(number, &site, &entries)).collect();
        let ids = entries.iter().map(|entry| entry.value.id.clone());
        Play {
            now_ms: 0,
            hosts,
            events: BTreeMap::new(),
            numbered: 0,
            rng: Pcg64Mcg::seed_from_u64(site.seed),
            open: FastMap::default(),
            queued: FastSet::default(),
            running: FastMap::default(),
            reached: ids.map(|id| (id, Reached::default())).collect(),
            cell: Cell { service: service(), zone: Some(zone(0)) },
            site,
        }
    }

    fn push(&mut self, after_ms: u64, event: Event) {
        self.numbered += 1;
        self.events.insert((self.now_ms + after_ms, self.numbered), event);
    }

    fn is_up(&self, host: usize) -> bool {
        self.now_ms >= self.hosts[host].up_from_ms
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_cut = match self.site.harm {
            Harm::CutOff { every } => from.is_multiple_of(every) || to.is_multiple_of(every),
            // Each half has hosts of all zones.
            Harm::Split => (from / ZONES) % 2 != (to / ZONES) % 2,
            Harm::JustStarted => true,
            Harm::Nothing | Harm::NoScheduler | Harm::Lossy | Harm::SchedulersKilled { .. } => {
                false
            }
        };
        from == to || (!is_cut && self.is_up(to))
    }

    fn carry(&mut self, from: usize, to: usize, event: impl Fn() -> Event) {
        let copies = match self.site.harm {
            Harm::Lossy if from != to => [0, 1, 1, 1, 2][self.rng.random_range(0..5)],
            _ => 1,
        };
        if self.reaches(from, to) {
            for _ in 0..copies {
                self.push(if from == to { 0 } else { WAY_MS }, event());
            }
        }
    }

    fn harm(&mut self) {
        let Harm::SchedulersKilled { each_ms } = self.site.harm else { return };
        if !self.now_ms.is_multiple_of(each_ms) {
            return;
        }
        let (hosts, now_ms) = (self.hosts.len(), Millis(self.now_ms));
        let Some(wanted) = self.hosts[hosts - 1].choose(now_ms, &self.cell, &self.members()) else {
            return;
        };
        let entries: Vec<_> =
            (0..self.site.upstreams).map(|number| cold(number, &self.site)).collect();
        let mut anew = Host::new(wanted, &self.site, &entries);
        anew.run = self.hosts[wanted].run + 1;
        anew.up_from_ms = self.now_ms + RESTART_MS;
        self.hosts[wanted] = anew;
        // It asks a peer as soon as it is back.
        self.push(RESTART_MS, Event::AskPeer { host: wanted });
    }

    fn members(&self) -> Vec<Member> {
        self.hosts.iter().map(|host| host.member.clone()).collect()
    }

    /// Callers' requests come at any host.
    fn arrive(&mut self) {
        let per_ms = self.site.rate * self.site.upstreams as f64 * self.site.demand / 1_000.0;
        let wanted = per_ms * STEP_MS as f64;
        let count = wanted as usize + usize::from(self.rng.random_bool(wanted.fract()));
        for _ in 0..count {
            let host = self.rng.random_range(0..self.hosts.len());
            // A host that starts serves once a peer has answered it.
            if self.now_ms >= self.hosts[host].up_from_ms + ANSWERED_MS {
                self.submit(host);
            }
        }
    }

    fn submit(&mut self, host: usize) {
        if self.site.harm == Harm::NoScheduler {
            return self.send_alone(host);
        }
        let now_ms = Millis(self.now_ms);
        let members = match self.site.harm {
            Harm::JustStarted => vec![self.hosts[host].member.clone()],
            _ => self.members(),
        };
        self.numbered += 1;
        let ticket = self.numbered;
        let Some(to) = self.hosts[host].choose(now_ms, &self.cell, &members) else {
            return self.send_alone(host);
        };
        let scheduler = self.hosts[to].member.host.clone();
        let lends_rate_share = self.hosts[host].sender.lend(now_ms, &self.cell, &scheduler);
        self.open.insert((host, ticket), to);
        let submission = Submission {
            cell: self.cell.clone(),
            zone: zone(0),
            objective_ms: Millis(1_500),
            left_ms: Millis(2_000),
            backing_off: self.hosts[host].upstreams.upstreams_in_backoff(now_ms, &service()),
            lends_rate_share,
            ..submission(ticket)
        };
        let message = PlacementMessage::Submit(submission);
        self.carry(host, to, || Event::Scheduler { to, from: host, message: message.clone() });
        self.push(UNHEARD_MS, Event::Unheard { host, ticket });
    }

    /// A host by itself asks some upstreams and sends to one that has a free slot, and that it may
    /// send to.
    fn send_alone(&mut self, host: usize) {
        let now_ms = Millis(self.now_ms);
        let hosts = known_fleet(&self.site, now_ms).hosts;
        let Host { upstreams, rng, sender, .. } = &mut self.hosts[host];
        let held_back = sender.blocked_upstreams(now_ms, upstreams, &service(), hosts);
        let part = (3, ZoneScope::Local);
        let asked =
            upstreams.choose_probe_targets(now_ms, &service(), &held_back, part, |_| false, rng);
        let running = |id: &UpstreamId| self.running.get(id).copied().unwrap_or_default();
        let Some(chosen) = asked.into_iter().find(|id| running(id) < SLOTS) else { return };
        sender.record_sent(now_ms, upstreams, &chosen, hosts);
        self.reach(&chosen, host, None);
    }

    fn reach(&mut self, upstream: &UpstreamId, host: usize, placed: Option<(usize, Ticket)>) {
        let reached = self.reached.entry(upstream.clone()).or_default();
        reached.arrivals.push((self.now_ms, host));
        *self.running.entry(upstream.clone()).or_default() += 1;
        let took_ms = if self.refuses(upstream) { REFUSED_MS } else { self.site.work_ms };
        self.push(took_ms, Event::Done { upstream: upstream.clone(), host, placed });
    }

    fn deliver(&mut self) {
        while self.events.first_key_value().is_some_and(|((at_ms, _), _)| *at_ms <= self.now_ms) {
            let Some((_, event)) = self.events.pop_first() else { return };
            self.take(event);
        }
    }

    fn take(&mut self, event: Event) {
        let now_ms = Millis(self.now_ms);
        match event {
            Event::Scheduler { to, from, message } if self.is_up(to) => {
                let requester = requester(to, from);
                let Host { schedulers, upstreams, rng, .. } = &mut self.hosts[to];
                let effects = schedulers.handle_message(now_ms, message, requester, upstreams, rng);
                self.carry_out(to, effects);
            }
            Event::Host { to, message } if self.is_up(to) => self.hear(to, message),
            Event::Asked { by, run, upstream } if self.hosts[by].run == run => {
                let running = self.running.get(&upstream).copied().unwrap_or_default();
                let report = LoadReport {
                    running: running.min(SLOTS),
                    waiting: running.saturating_sub(SLOTS),
                    slots: Slots(SLOTS),
                    slowness_percent: 100,
                };
                let told = (&upstream, RunStart::default());
                let left_ms = (Millis(self.site.length_ms) + AFTER_MS).since(now_ms);
                self.hosts[by].upstreams.record_report(now_ms, told, report);
                if self.site.reason == Reason::Cold {
                    self.hosts[by].upstreams.record_warmup_left(now_ms, told, Some(left_ms));
                }
            }
            // What a host that was killed waited for is over.
            Event::Unheard { host, ticket } if self.is_up(host) => {
                if self.queued.remove(&(host, ticket)) {
                    return;
                }
                let Some(to) = self.open.remove(&(host, ticket)) else { return };
                let silent = self.hosts[to].member.host.clone();
                self.hosts[host].directory.record_timeout(now_ms, &silent);
                self.withdraw(host, to, Ticket(ticket));
                self.send_alone(host);
            }
            Event::Done { upstream, host, placed } => {
                *self.running.entry(upstream.clone()).or_default() -= 1;
                let backpressure = self.said(&upstream);
                let failure = self.refuses(&upstream).then_some(AttemptFailure::Shed);
                let took_ms =
                    Millis(if failure.is_some() { REFUSED_MS } else { self.site.work_ms });
                let outcome = Outcome { failure, took_ms, report: None, backpressure };
                self.note_said(host, &upstream, outcome);
                if let Some((to, ticket)) = placed {
                    let message = PlacementMessage::Ended { ticket, outcome };
                    let event = || Event::Scheduler { to, from: host, message: message.clone() };
                    self.carry(host, to, event);
                }
            }
            Event::Told { to, told } if self.is_up(to) => {
                self.hosts[to].upstreams.merge_backpressure(now_ms, told);
            }
            Event::TellAgain { host, told, age_ms } if self.is_up(host) => {
                let later = |told: BackpressureUpdate| BackpressureUpdate {
                    age_ms: told.age_ms + age_ms,
                    ..told
                };
                let told: Vec<_> = told.into_iter().map(later).collect();
                self.tell_all(host, &told);
            }
            Event::AskPeer { host } if self.is_up(host) => {
                for next in 1..=ASKED_PEERS {
                    let peer = (host + next) % self.hosts.len();
                    let told = self.hosts[peer].upstreams.backpressure().export(now_ms);
                    self.push(2 * WAY_MS, Event::Told { to: host, told });
                }
            }
            Event::Scheduler { .. }
            | Event::Unheard { .. }
            | Event::TellAgain { .. }
            | Event::AskPeer { .. }
            | Event::Host { .. }
            | Event::Asked { .. }
            | Event::Told { .. } => {}
        }
    }

    fn withdraw(&mut self, host: usize, to: usize, ticket: Ticket) {
        let message = PlacementMessage::Withdrawn { ticket, withdrawal: Withdrawal::NotSent };
        self.carry(host, to, || Event::Scheduler { to, from: host, message: message.clone() });
    }

    fn hear(&mut self, host: usize, message: PlacementMessage) {
        match message {
            PlacementMessage::Placed { ticket, placement } => {
                let Some(to) = self.open.remove(&(host, ticket.0)) else { return };
                let now_ms = Millis(self.now_ms);
                let upstreams = &self.hosts[host].upstreams;
                let may_send = upstreams.accepts_requests(&placement.upstream)
                    && upstreams.remaining_backoff(now_ms, &placement.upstream).is_none();
                match may_send {
                    true => self.reach(&placement.upstream, host, Some((to, ticket))),
                    false => self.withdraw(host, to, ticket),
                }
            }
            PlacementMessage::Refused { ticket, .. } => {
                self.open.remove(&(host, ticket.0));
            }
            PlacementMessage::Queued { ticket } => {
                self.queued.insert((host, ticket.0));
                if let Some(&to) = self.open.get(&(host, ticket.0)) {
                    let scheduler = self.hosts[to].member.host.clone();
                    self.hosts[host].directory.record_response(&scheduler);
                }
            }
            PlacementMessage::Submit(_)
            | PlacementMessage::Ended { .. }
            | PlacementMessage::Withdrawn { .. } => {}
        }
    }

    fn turn(&mut self, at: usize) {
        if !self.is_up(at) || !self.now_ms.is_multiple_of(4) {
            return;
        }
        let now_ms = Millis(self.now_ms);
        let fleet = known_fleet(&self.site, now_ms);
        let is_due = self.now_ms.is_multiple_of(OFFER_EACH_MS);
        if is_due || self.hosts[at].schedulers.has_unknown_primary() {
            self.note_order(at);
        }
        let Host { schedulers, upstreams, rng, .. } = &mut self.hosts[at];
        schedulers.set_fleet(fleet);
        if schedulers.next_schedule_ms(now_ms).is_none() {
            return;
        }
        let effects = schedulers.schedule(now_ms, upstreams, rng);
        self.carry_out(at, effects);
    }

    fn note_order(&mut self, at: usize) {
        let members = match self.site.harm {
            Harm::JustStarted => vec![self.hosts[at].member.clone()],
            _ => self.members(),
        };
        let own = self.hosts[at].member.host.clone();
        let is_primary = |cell: &Cell| {
            Directory::primary(cell, members.iter()).is_some_and(|first| first.host == own)
        };
        self.hosts[at].schedulers.set_primary(is_primary);
    }

    fn carry_out(&mut self, at: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => {
                    let to = match to {
                        Requester::OwnHost => at,
                        Requester::Peer(address) => usize::from(address.port()),
                    };
                    self.carry(at, to, || Event::Host { to, message: message.clone() });
                }
                Effect::Probe(upstream) => {
                    let run = self.hosts[at].run;
                    self.push(2 * WAY_MS, Event::Asked { by: at, run, upstream });
                }
            }
        }
    }
}
