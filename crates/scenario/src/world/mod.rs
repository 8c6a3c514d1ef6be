//! Plays a scenario: one list of happenings in order of time, real cores, fakes around.
//!
//! Each process has a clock of its own that starts somewhere else, so a core that sends
//! a point in time to a peer is found out. A paused process receives nothing; when it
//! wakes it finds all that came meanwhile, at once.

mod callers;
mod platform;
mod processes;
mod upstreams;

use crate::fakes::{FakeUpstream, JobId, Network, Platform, listed_host};
use crate::ledger::Ledger;
use crate::sabotage::Sabotage;
use crate::script::{Command, Scenario};
use decision_core::{ConfigKey, EntryHost, Event};
use domain::{AttemptId, CallId, HostId, Millis};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// Time of a message or request on its way.
const ONE_WAY_MS: Millis = Millis(1);
/// Time until the balancer notices that a host is ready, or no more.
const BALANCER_LAG_MS: Millis = Millis(300);
/// Time that a process takes to end once its core has no more to do; what it has accepted
/// by then is still answered, as the daemon does.
const LINGER_MS: Millis = Millis(50);
/// Time after its deadline at which a caller hangs up.
const CALLER_GRACE_MS: Millis = Millis(500);
/// Time that a probe takes to fail.
const PROBE_FAILURE_MS: Millis = Millis(50);
/// Apart from each other by this, the processes' clocks begin.
const CLOCK_STEP_MS: u64 = 1_000_003;
/// Seed of everything that the harness rolls.
const HARNESS_SEED: u64 = 11;

/// The play and all that is on stage.
#[derive(Debug)]
pub struct World {
    /// Time.
    pub now_ms: Millis,
    /// Entry hosts.
    pub hosts: Vec<HostProcess>,
    /// Upstreams.
    pub upstreams: Vec<FakeUpstream>,
    /// Configuration service and host list.
    pub platform: Platform,
    /// Who can reach whom.
    pub network: Network,
    /// What happened.
    pub ledger: Ledger,
    /// When the play ends.
    end_ms: Millis,
    sabotage: Option<Sabotage>,
    agenda: BTreeMap<(Millis, u64), Happening>,
    order: u64,
    jobs: Vec<Job>,
    turn: usize,
    rng: Pcg64Mcg,
}

/// One entry host's process.
#[derive(Debug)]
pub struct HostProcess {
    /// Its id.
    pub id: HostId,
    /// Its zone.
    pub zone: String,
    /// The core, while the process lives.
    pub core: Option<EntryHost>,
    /// Counts its runs.
    pub incarnation: u64,
    /// It stands still until then.
    pub paused_until_ms: Millis,
    /// The balancer takes it for ready.
    pub in_rotation: bool,
    started_ms: Millis,
    held: Vec<Event>,
    wake_ms: Millis,
    last_versions: decision_core::VersionPair,
}

#[derive(Debug)]
enum Happening {
    Command(Command),
    ToHost { host: usize, incarnation: u64, event: Event },
    Wake { host: usize, incarnation: u64 },
    Resume { host: usize, incarnation: u64 },
    End { host: usize, incarnation: u64 },
    Rotation { host: usize, incarnation: u64, ready: bool },
    Arrive { job: JobId },
    Work { job: JobId },
    CancelJob { job: JobId },
    HangUp { call: CallId },
    Watch { host: usize, incarnation: u64, key: ConfigKey, after: u64, until_ms: Millis },
}

#[derive(Debug)]
struct Job {
    host: usize,
    incarnation: u64,
    attempt: AttemptId,
    call: CallId,
    upstream: usize,
    ended: bool,
    /// The request whose answer was handed over as this one's.
    answered_by: Option<JobId>,
}

impl World {
    /// The stage before the play.
    pub fn new(scenario: &Scenario, sabotage: Option<Sabotage>) -> World {
        let mut world = World {
            now_ms: Millis::ZERO,
            hosts: scenario.hosts.iter().map(|h| HostProcess::new(&h.host, &h.zone)).collect(),
            upstreams: scenario.upstreams.iter().cloned().map(FakeUpstream::new).collect(),
            platform: Platform::new(scenario),
            network: Network::default(),
            ledger: Ledger::default(),
            end_ms: scenario.end_ms,
            sabotage,
            agenda: BTreeMap::new(),
            order: 0,
            jobs: vec![],
            turn: 0,
            rng: Pcg64Mcg::seed_from_u64(HARNESS_SEED),
        };
        world.ledger.disturbed_until_ms = vec![Millis::ZERO; world.hosts.len()];
        for host in 0..world.hosts.len() {
            world.start(host);
        }
        for step in &scenario.steps {
            world.schedule(step.at_ms, Happening::Command(step.command.clone()));
        }
        world
    }

    /// Plays to the end.
    pub fn play(&mut self) {
        while let Some(entry) = self.agenda.first_entry() {
            if entry.key().0 > self.end_ms {
                return;
            }
            let ((at_ms, _), happening) = entry.remove_entry();
            self.now_ms = at_ms;
            self.happen(happening);
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Command(command) => self.command(command),
            Happening::ToHost { host, incarnation, event } => {
                self.tell(host, incarnation, event);
            }
            Happening::Wake { host, incarnation } => {
                if self.hosts[host].wake_ms <= self.now_ms {
                    self.hosts[host].wake_ms = Millis::MAX;
                    self.tell(host, incarnation, Event::Tick);
                }
            }
            Happening::Resume { host, incarnation } => self.resume(host, incarnation),
            Happening::End { host, incarnation } => {
                if self.hosts[host].incarnation == incarnation && self.hosts[host].core.is_some() {
                    self.exit(host);
                }
            }
            Happening::Rotation { host, incarnation, ready } => {
                if self.hosts[host].incarnation == incarnation {
                    self.hosts[host].in_rotation = ready;
                }
            }
            Happening::Arrive { job } => self.arrive(job),
            Happening::Work { job } => self.finish_work(job),
            Happening::CancelJob { job } => self.release(job),
            Happening::HangUp { call } => self.hang_up(call),
            Happening::Watch { host, incarnation, key, after, until_ms } => {
                self.read_config(host, incarnation, key, after, until_ms);
            }
        }
    }

    fn schedule(&mut self, at_ms: Millis, happening: Happening) {
        self.order += 1;
        self.agenda.insert((at_ms, self.order), happening);
    }

    fn command(&mut self, command: Command) {
        let now_ms = self.now_ms;
        match command {
            Command::Call(spec) => self.call(spec),
            Command::Calls { call, every_ms, until_ms } => {
                let next_ms = now_ms + every_ms;
                if next_ms < until_ms {
                    let again = Command::Calls { call: call.clone(), every_ms, until_ms };
                    self.schedule(next_ms, Happening::Command(again));
                }
                self.call(call);
            }
            Command::Pause { host, for_ms } => self.pause(&host, for_ms),
            Command::Kill { host } => self.kill(&host),
            Command::Start { host } => {
                if let Some(host) = self.host_index(&host) {
                    self.start(host);
                }
            }
            Command::Stop { host } => self.stop(&host),
            Command::Cut { hosts, for_ms } => {
                let hosts: Vec<usize> = hosts.iter().filter_map(|h| self.host_index(h)).collect();
                for host in 0..self.hosts.len() {
                    self.disturb(host, now_ms + for_ms);
                }
                self.network.cut(hosts, now_ms + for_ms);
            }
            Command::Loss { percent, for_ms } => {
                for host in 0..self.hosts.len() {
                    self.disturb(host, now_ms + for_ms);
                }
                self.network.lose(percent, now_ms + for_ms);
            }
            Command::ListAdd { host } => self.list_add(&host),
            Command::ListDrop { host } => {
                self.platform.change_list(now_ms, |hosts| {
                    hosts.retain(|listed| listed.host.as_str() != host);
                });
            }
            Command::ListStale { host, for_ms } => {
                for host in self.readers(host.as_deref()) {
                    self.platform.stale_list(now_ms, host, now_ms + for_ms);
                }
            }
            Command::ServiceDown { for_ms } => {
                self.platform.down = crate::fakes::Spell::new(now_ms + for_ms, 100);
            }
            Command::ServiceStale { host, for_ms } => {
                for host in self.readers(host.as_deref()) {
                    self.platform.stale_config(now_ms, host, now_ms + for_ms);
                }
            }
            Command::Publish { place, patch } => self.platform.publish(now_ms, place, &patch),
            Command::Upstream { upstream, fault } => {
                let found = self.upstreams.iter_mut().find(|up| up.spec.upstream == upstream);
                if let Some(found) = found {
                    found.befall(now_ms, fault);
                }
            }
        }
    }

    fn host_index(&self, id: &str) -> Option<usize> {
        self.hosts.iter().position(|host| host.id.as_str() == id)
    }

    fn readers(&self, host: Option<&str>) -> Vec<usize> {
        match host {
            Some(host) => self.host_index(host).into_iter().collect(),
            None => (0..self.hosts.len()).collect(),
        }
    }

    fn disturb(&mut self, host: usize, until_ms: Millis) {
        let mark = &mut self.ledger.disturbed_until_ms[host];
        *mark = (*mark).max(until_ms);
    }

    fn list_add(&mut self, host: &str) {
        let Some(index) = self.host_index(host) else { return };
        let listed = listed_host(index, host, &self.hosts[index].zone);
        self.platform.change_list(self.now_ms, |hosts| {
            hosts.retain(|other| other.host != listed.host);
            hosts.push(listed);
        });
    }
}

impl HostProcess {
    fn new(id: &str, zone: &str) -> HostProcess {
        HostProcess {
            id: id.parse().expect("a scenario's host ids are names"),
            zone: zone.to_owned(),
            core: None,
            incarnation: 0,
            paused_until_ms: Millis::ZERO,
            in_rotation: false,
            started_ms: Millis::ZERO,
            held: vec![],
            wake_ms: Millis::MAX,
            last_versions: decision_core::VersionPair::default(),
        }
    }

    /// The process's own clock.
    fn clock(&self, index: usize, now_ms: Millis) -> Millis {
        now_ms.since(self.started_ms) + Millis((index as u64 + 1) * CLOCK_STEP_MS)
    }
}
