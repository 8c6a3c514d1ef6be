//! Plays a scenario: one list of happenings in order of time, real cores, fakes around.
//!
//! Each process has a clock of its own that starts somewhere else, so a core that sends
//! a point in time to a peer is found out. A paused process receives nothing; when it
//! wakes it finds all that came meanwhile, at once.

use crate::fakes::{Answering, FakeUpstream, JobId, Network, Platform, Reception, listed_host};
use crate::ledger::{Adoption, Arrival, CallEnd, CallRecord, Ledger};
use crate::sabotage::Sabotage;
use crate::script::{CallSpec, Command, Place, Scenario, Via};
use config::RepeatRule;
use decision_core::{
    Action, AnswerHead, Attempt, AttemptEnd, CallHead, ClaimVerdict, ClaimVote, ConfigKey,
    ConfigReading, EntryHost, Event, FailureStage, HostSettings, PeerMessage, ProbeResult,
    PublishedValue, ReadOutcome,
};
use domain::{AttemptId, CallId, HostId, Incarnation, Millis, UpstreamId};
use rand::{RngExt, SeedableRng};
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

// Processes.
impl World {
    fn start(&mut self, host: usize) {
        if self.hosts[host].core.is_some() {
            return;
        }
        let now_ms = self.now_ms;
        let process = &mut self.hosts[host];
        process.incarnation += 1;
        process.started_ms = now_ms;
        process.last_versions = decision_core::VersionPair::default();
        let settings = HostSettings {
            host: process.id.clone(),
            incarnation: Incarnation(process.incarnation),
            site: "site".parse().expect("a name"),
            availability_zone: process.zone.parse().expect("a scenario's zones are names"),
            drain_notice_ms: Millis(2000),
        };
        let seed = host as u64 * 1000 + process.incarnation;
        let clock_ms = process.clock(host, now_ms);
        process.core = Some(EntryHost::new(settings, seed, clock_ms));
        process.wake_ms = now_ms;
        let incarnation = process.incarnation;
        self.disturb(host, now_ms);
        self.schedule(now_ms, Happening::Wake { host, incarnation });
    }

    fn stop(&mut self, host: &str) {
        let Some(host) = self.host_index(host) else { return };
        let incarnation = self.hosts[host].incarnation;
        self.tell(host, incarnation, Event::StopRequested);
        if self.sabotage == Some(Sabotage::HastyExit) {
            self.exit(host);
        }
    }

    fn kill(&mut self, host: &str) {
        let Some(host) = self.host_index(host) else { return };
        self.end_process(host, CallEnd::HostDied);
        self.disturb(host, self.now_ms);
    }

    fn exit(&mut self, host: usize) {
        self.ledger.exits.push((self.now_ms, host));
        self.end_process(host, CallEnd::CutByExit);
    }

    fn end_process(&mut self, host: usize, end: CallEnd) {
        let now_ms = self.now_ms;
        let process = &mut self.hosts[host];
        process.core = None;
        process.held.clear();
        process.paused_until_ms = Millis::ZERO;
        process.wake_ms = Millis::MAX;
        let incarnation = process.incarnation;
        self.schedule(
            now_ms + BALANCER_LAG_MS,
            Happening::Rotation { host, incarnation, ready: false },
        );
        for call in &mut self.ledger.calls {
            if call.host == Some(host) && call.ends.is_empty() {
                call.ends.push((now_ms, end));
            }
        }
        for job in 0..self.jobs.len() {
            if self.jobs[job].host == host && self.jobs[job].incarnation == incarnation {
                self.release(job);
            }
        }
    }

    fn pause(&mut self, host: &str, for_ms: Millis) {
        let Some(host) = self.host_index(host) else { return };
        let until_ms = self.now_ms + for_ms;
        let process = &mut self.hosts[host];
        if process.core.is_none() {
            return;
        }
        process.paused_until_ms = process.paused_until_ms.max(until_ms);
        let incarnation = process.incarnation;
        for call in &mut self.ledger.calls {
            if call.host == Some(host) && call.ends.is_empty() {
                call.disturbed = true;
            }
        }
        self.disturb(host, until_ms);
        self.schedule(until_ms, Happening::Resume { host, incarnation });
    }

    fn resume(&mut self, host: usize, incarnation: u64) {
        let process = &mut self.hosts[host];
        if process.incarnation != incarnation || self.now_ms < process.paused_until_ms {
            return;
        }
        for event in std::mem::take(&mut process.held) {
            self.tell(host, incarnation, event);
        }
        self.tell(host, incarnation, Event::Tick);
    }

    /// Hands an event to a core and carries out what it wants.
    fn tell(&mut self, host: usize, incarnation: u64, event: Event) {
        let now_ms = self.now_ms;
        let process = &mut self.hosts[host];
        if process.incarnation != incarnation {
            return;
        }
        let clock_ms = process.clock(host, now_ms);
        let Some(core) = &mut process.core else { return };
        if now_ms < process.paused_until_ms {
            process.held.push(event);
            return;
        }
        let mut actions = vec![];
        core.handle(clock_ms, event, &mut actions);
        let versions = core.versions();
        let tick_ms = core.next_tick_ms().since(clock_ms).0.max(1);
        let wake_ms = Millis(now_ms.0.saturating_add(tick_ms));
        if wake_ms < process.wake_ms {
            process.wake_ms = wake_ms;
            self.schedule(wake_ms, Happening::Wake { host, incarnation });
        }
        self.note_versions(host, versions);
        for action in actions {
            self.act(host, incarnation, action);
        }
    }

    fn note_versions(&mut self, host: usize, versions: decision_core::VersionPair) {
        let process = &mut self.hosts[host];
        if process.last_versions == versions {
            return;
        }
        process.last_versions = versions;
        let incarnation = process.incarnation;
        let text = |place, version| {
            let log = self.platform.publications(place);
            log.iter().find(|published| published.version == version).map(|p| p.text.as_str())
        };
        let overlay = text(Place::Overlay, versions.overlay);
        let published =
            text(Place::Base, versions.base).and_then(|base| config::merge(base, overlay).ok());
        let core = self.hosts[host].core.as_ref();
        let is_genuine = core.and_then(|core| core.dump().config) == published.as_ref();
        let at_ms = self.now_ms;
        self.ledger.adoptions.push(Adoption { at_ms, host, incarnation, versions, is_genuine });
    }

    fn act(&mut self, host: usize, incarnation: u64, action: Action) {
        match action {
            Action::Send(attempt) => self.send(host, incarnation, &attempt),
            Action::CancelAttempt { attempt } => self.cancel(host, incarnation, attempt),
            Action::Deliver { call, attempt } => self.deliver(host, incarnation, call, attempt),
            Action::Refuse { call, refusal } => self.end_call(call, CallEnd::Refused(refusal)),
            Action::Probe { probe, upstream, .. } => {
                self.probe(host, incarnation, probe, &upstream)
            }
            Action::SendPeer { to, message, .. } => self.send_peer(host, incarnation, &to, message),
            Action::ReadConfig { key, after, wait_ms } => {
                let after = after.map_or(0, |version| version.0);
                let until_ms = self.now_ms + wait_ms;
                self.ledger.config_reads += 1;
                let at_ms = self.now_ms + ONE_WAY_MS;
                let watch = Happening::Watch { host, incarnation, key, after, until_ms };
                self.schedule(at_ms, watch);
            }
            Action::ReadHostList => self.read_list(host, incarnation),
            Action::SetReady(ready) => {
                if ready {
                    let versions = self.hosts[host].last_versions;
                    self.ledger.ready.push((self.now_ms, host, versions));
                }
                let at_ms = self.now_ms + BALANCER_LAG_MS;
                self.schedule(at_ms, Happening::Rotation { host, incarnation, ready });
            }
            Action::Exit => {
                let at_ms = self.now_ms + LINGER_MS;
                self.schedule(at_ms, Happening::End { host, incarnation });
            }
        }
    }

    fn post(&mut self, at_ms: Millis, host: usize, incarnation: u64, event: Event) {
        self.schedule(at_ms, Happening::ToHost { host, incarnation, event });
    }
}

// Callers.
impl World {
    fn call(&mut self, spec: CallSpec) {
        let call = CallId(self.ledger.calls.len() as u64);
        let host = match &spec.via {
            Via::Host(host) => self.host_index(host).filter(|&h| self.hosts[h].core.is_some()),
            Via::Balancer => self.balanced(),
        };
        let disturbed = host.is_some_and(|h| self.now_ms < self.hosts[h].paused_until_ms);
        self.ledger.calls.push(CallRecord {
            repeat: self.repeat_rule(&spec.path),
            spec: spec.clone(),
            host,
            arrived_ms: self.now_ms,
            runs: 0,
            ends: vec![],
            disturbed,
        });
        let Some(host) = host else {
            self.end_call(call, CallEnd::NoHost);
            return;
        };
        let head = CallHead {
            caller: spec.caller.parse().expect("a scenario's callers are names"),
            method: spec.method,
            path: spec.path,
            idempotency_key: spec.key.map(|key| key.parse().expect("a scenario's keys are names")),
            timeout_ms: Some(spec.timeout_ms),
            spent_attempts: 0,
            depth: 0,
            body_replayable: true,
        };
        let hang_up_ms = self.now_ms + spec.timeout_ms + CALLER_GRACE_MS;
        self.schedule(hang_up_ms, Happening::HangUp { call });
        let incarnation = self.hosts[host].incarnation;
        self.tell(host, incarnation, Event::CallArrived { call, head });
    }

    fn balanced(&mut self) -> Option<usize> {
        let count = self.hosts.len();
        self.turn += 1;
        (0..count)
            .map(|step| (self.turn + step) % count)
            .find(|&host| self.hosts[host].in_rotation && self.hosts[host].core.is_some())
    }

    fn repeat_rule(&self, path: &str) -> RepeatRule {
        let text = &self.platform.base[0].text;
        let config = config::merge(text, None).ok();
        let route = config.as_ref().and_then(|config| config.route("GET", path));
        route.map_or(RepeatRule::Idempotent, |target| target.repeat)
    }

    fn hang_up(&mut self, call: CallId) {
        let record = &self.ledger.calls[call.0 as usize];
        if !record.ends.is_empty() {
            return;
        }
        let host = record.host;
        self.end_call(call, CallEnd::GaveUp);
        if let Some(host) = host {
            let incarnation = self.hosts[host].incarnation;
            self.tell(host, incarnation, Event::CallerGone { call });
        }
    }

    fn end_call(&mut self, call: CallId, end: CallEnd) {
        let now_ms = self.now_ms;
        let record = &mut self.ledger.calls[call.0 as usize];
        let hung_up = record.ends.iter().any(|(_, end)| *end == CallEnd::GaveUp);
        if !hung_up {
            record.ends.push((now_ms, end));
        }
    }

    fn deliver(&mut self, host: usize, incarnation: u64, call: CallId, attempt: AttemptId) {
        let job = self.job_of(host, incarnation, attempt);
        let answered_by = job.and_then(|job| self.jobs[job].answered_by);
        let own = answered_by.is_some_and(|job| self.jobs[job].call == call);
        self.end_call(call, if own { CallEnd::Answered } else { CallEnd::Wrong });
    }
}

// Upstreams.
impl World {
    fn job_of(&self, host: usize, incarnation: u64, attempt: AttemptId) -> Option<JobId> {
        self.jobs.iter().rposition(|job| {
            job.host == host && job.incarnation == incarnation && job.attempt == attempt
        })
    }

    fn send(&mut self, host: usize, incarnation: u64, attempt: &Attempt) {
        let clock_ms = self.hosts[host].clock(host, self.now_ms);
        if attempt.deadline_ms <= clock_ms {
            self.ledger.sent_late += 1;
        }
        let found =
            self.upstreams.iter().position(|up| up.spec.upstream == attempt.upstream.as_str());
        let Some(upstream) = found else {
            let end = AttemptEnd::Failed { stage: FailureStage::BeforeSending };
            let event = Event::AttemptEnded { attempt: attempt.attempt, end };
            self.post(self.now_ms + ONE_WAY_MS, host, incarnation, event);
            return;
        };
        let job = Job {
            host,
            incarnation,
            attempt: attempt.attempt,
            call: attempt.call,
            upstream,
            ended: false,
            answered_by: None,
        };
        self.jobs.push(job);
        let job = self.jobs.len() - 1;
        self.schedule(self.now_ms + ONE_WAY_MS, Happening::Arrive { job });
    }

    fn cancel(&mut self, host: usize, incarnation: u64, attempt: AttemptId) {
        let Some(job) = self.job_of(host, incarnation, attempt) else { return };
        self.schedule(self.now_ms + ONE_WAY_MS, Happening::CancelJob { job });
        if !self.jobs[job].ended {
            self.end_attempt(job, AttemptEnd::Cancelled { unsent: false });
        }
    }

    fn arrive(&mut self, job: JobId) {
        if self.jobs[job].ended {
            return;
        }
        let now_ms = self.now_ms;
        let roll = self.rng.random_range(0..100);
        let upstream = self.jobs[job].upstream;
        let hidden = self.sabotage == Some(Sabotage::HiddenLeaving);
        let reception = self.upstreams[upstream].receive(now_ms, job, roll, hidden);
        if reception != Reception::NoConnection {
            let id = &self.upstreams[upstream].spec.upstream;
            self.ledger.arrivals.push(Arrival {
                at_ms: now_ms,
                upstream: id.parse().expect("a scenario's upstreams are names"),
                host: self.jobs[job].host,
            });
        }
        match reception {
            Reception::NoConnection => {
                let end = AttemptEnd::Failed { stage: FailureStage::BeforeSending };
                self.end_attempt(job, end);
            }
            Reception::Refused => self.answer(job, 503, true),
            Reception::FailsFast => {
                self.count_run(job);
                self.answer(job, 500, false);
            }
            Reception::Runs => self.begin(job),
            Reception::Waits => {}
        }
    }

    fn begin(&mut self, job: JobId) {
        self.count_run(job);
        let service_ms = self.upstreams[self.jobs[job].upstream].service_ms(self.now_ms);
        self.schedule(self.now_ms + service_ms, Happening::Work { job });
    }

    fn count_run(&mut self, job: JobId) {
        let call = self.jobs[job].call;
        self.ledger.calls[call.0 as usize].runs += 1;
    }

    fn finish_work(&mut self, job: JobId) {
        let upstream = self.jobs[job].upstream;
        if !self.upstreams[upstream].running.contains(&job) {
            return;
        }
        let roll = self.rng.random_range(0..100);
        let answering = self.upstreams[upstream].answering(self.now_ms, roll);
        self.release(job);
        match answering {
            Answering::Whole => self.answer(job, 200, false),
            Answering::Lost => self.fail_after_sending(job, FailureStage::AfterSending),
            Answering::Cut => self.fail_after_sending(job, FailureStage::AnswerCut),
        }
    }

    fn release(&mut self, job: JobId) {
        let upstream = self.jobs[job].upstream;
        if let Some(next) = self.upstreams[upstream].release(job) {
            self.begin(next);
        }
    }

    fn fail_after_sending(&mut self, job: JobId, stage: FailureStage) {
        let stage = match self.sabotage {
            Some(Sabotage::ForgedProof) => FailureStage::BeforeSending,
            _ => stage,
        };
        self.end_attempt(job, AttemptEnd::Failed { stage });
    }

    fn end_attempt(&mut self, job: JobId, end: AttemptEnd) {
        if std::mem::replace(&mut self.jobs[job].ended, true) {
            return;
        }
        let Job { host, incarnation, attempt, .. } = self.jobs[job];
        let event = Event::AttemptEnded { attempt, end };
        self.post(self.now_ms + ONE_WAY_MS, host, incarnation, event);
    }

    fn answer(&mut self, job: JobId, status: u16, not_run: bool) {
        if self.jobs[job].ended {
            return;
        }
        let upstream = &self.upstreams[self.jobs[job].upstream];
        let hidden = self.sabotage == Some(Sabotage::HiddenLeaving);
        let answer = AnswerHead {
            status,
            is_whole: true,
            not_run,
            load: Some(upstream.load()),
            leaving: upstream.leaving_since_ms.is_some() && !hidden,
        };
        let target = self.answered_job(job);
        self.jobs[target].answered_by = Some(job);
        let Job { host, incarnation, attempt, .. } = self.jobs[target];
        let event = Event::AnswerReady { attempt, answer };
        self.post(self.now_ms + ONE_WAY_MS, host, incarnation, event);
        self.end_attempt(job, AttemptEnd::Completed);
    }

    /// The request that an answer is handed over as the answer of: its own, unless sabotaged.
    fn answered_job(&self, job: JobId) -> JobId {
        if self.sabotage != Some(Sabotage::SwappedAnswers) {
            return job;
        }
        let own = &self.jobs[job];
        let other = self.jobs.iter().rposition(|other| {
            other.host == own.host
                && other.incarnation == own.incarnation
                && other.call != own.call
                && !other.ended
        });
        other.unwrap_or(job)
    }

    fn probe(
        &mut self,
        host: usize,
        incarnation: u64,
        probe: domain::ProbeId,
        upstream: &UpstreamId,
    ) {
        let now_ms = self.now_ms;
        self.ledger.probes.push(now_ms);
        let found = self.upstreams.iter().find(|up| up.spec.upstream == upstream.as_str());
        let hidden = self.sabotage == Some(Sabotage::HiddenLeaving);
        let (at_ms, result) = match found {
            Some(up) if up.answers_probes(now_ms) => {
                let leaving = up.leaving_since_ms.is_some() && !hidden;
                let latency_ms = Millis(2 * ONE_WAY_MS.0);
                let load = Some(up.load());
                (now_ms + latency_ms, ProbeResult::Alive { load, leaving, latency_ms })
            }
            _ => (now_ms + PROBE_FAILURE_MS, ProbeResult::Failed),
        };
        self.post(at_ms, host, incarnation, Event::ProbeEnded { probe, result });
    }
}

// Peers and platform.
impl World {
    fn send_peer(&mut self, from: usize, incarnation: u64, to: &HostId, message: PeerMessage) {
        let message = match (self.sabotage, message) {
            (Some(Sabotage::ForgedVotes), PeerMessage::ClaimVoted(vote)) => {
                PeerMessage::ClaimVoted(ClaimVote { verdict: ClaimVerdict::Yes, ..vote })
            }
            (_, message) => message,
        };
        self.ledger.peer_messages += 1;
        let Some(target) = self.host_index(to.as_str()) else { return };
        let roll = self.rng.random_range(0..100);
        if !self.network.passes(self.now_ms, from, target, roll) {
            return;
        }
        let event = Event::PeerReceived {
            from: self.hosts[from].id.clone(),
            incarnation: Incarnation(incarnation),
            message,
        };
        let receiver_run = self.hosts[target].incarnation;
        self.post(self.now_ms + ONE_WAY_MS, target, receiver_run, event);
    }

    fn read_config(
        &mut self,
        host: usize,
        incarnation: u64,
        key: ConfigKey,
        after: u64,
        until_ms: Millis,
    ) {
        let place = match key {
            ConfigKey::Base => Place::Base,
            ConfigKey::Overlay => Place::Overlay,
        };
        let published = self.platform.read(self.now_ms, host, place).cloned();
        let outcome = match published {
            _ if self.platform.down.lasts(self.now_ms) => ReadOutcome::Unavailable,
            Some(published) if published.version.0 > after => {
                let text = match self.sabotage {
                    Some(Sabotage::RenumberedConfig) => {
                        self.platform.publications(place)[0].text.clone()
                    }
                    _ => published.text,
                };
                ReadOutcome::Value(PublishedValue { version: published.version, text })
            }
            _ if self.now_ms < until_ms => {
                let again_ms = self.now_ms + Millis(5);
                let watch = Happening::Watch { host, incarnation, key, after, until_ms };
                self.schedule(again_ms, watch);
                return;
            }
            Some(_) => ReadOutcome::Unchanged,
            None => ReadOutcome::Missing,
        };
        let event = Event::ConfigRead(ConfigReading { key, outcome });
        self.post(self.now_ms + ONE_WAY_MS, host, incarnation, event);
    }

    fn read_list(&mut self, host: usize, incarnation: u64) {
        let mut list = self.platform.read_list(self.now_ms, host);
        if self.sabotage == Some(Sabotage::LonelyLists) {
            let own = self.hosts[host].id.clone();
            list.hosts.retain(|listed| listed.host == own);
        }
        let at_ms = self.now_ms + Millis(2 * ONE_WAY_MS.0);
        self.post(at_ms, host, incarnation, Event::HostListRead(Some(list)));
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
