//! The fakes around the cores: network, platform and upstreams.
//!
//! They hold what is true; what a host is told of it may be late, old or lost.

use crate::script::{Place, Scenario, UpstreamFault, UpstreamSpec};
use decision_core::{HostList, ListedHost, LoadReport};
use domain::{Millis, Slots, Version};
use std::collections::{BTreeMap, VecDeque};

/// Port of the first entry host's peer address.
const FIRST_PEER_PORT: u16 = 7001;
/// Port of the first upstream.
const FIRST_UPSTREAM_PORT: u16 = 9001;
/// Requests that may wait in an upstream, per slot.
const WAITING_PER_SLOT: usize = 2;

/// Something that lasts for a time and then ends by itself.
#[derive(Debug, Clone, Copy, Default)]
pub struct Spell {
    until_ms: Millis,
    percent: u32,
}

impl Spell {
    /// A spell of this strength.
    pub fn new(until_ms: Millis, percent: u32) -> Spell {
        Spell { until_ms, percent }
    }

    /// Its strength in percent, zero once it is over.
    pub fn percent(&self, now_ms: Millis) -> u32 {
        if now_ms < self.until_ms { self.percent } else { 0 }
    }

    /// Whether it lasts.
    pub fn lasts(&self, now_ms: Millis) -> bool {
        now_ms < self.until_ms
    }
}

/// Who can reach whom.
#[derive(Debug, Default)]
pub struct Network {
    cuts: Vec<(Vec<usize>, Millis)>,
    loss: Spell,
}

impl Network {
    /// Parts some hosts from the others.
    pub fn cut(&mut self, hosts: Vec<usize>, until_ms: Millis) {
        self.cuts.push((hosts, until_ms));
    }

    /// Loses a share of the messages.
    pub fn lose(&mut self, percent: u32, until_ms: Millis) {
        self.loss = Spell::new(until_ms, percent);
    }

    /// Whether a message gets through; `roll` is 0 to 99.
    pub fn passes(&self, now_ms: Millis, from: usize, to: usize, roll: u32) -> bool {
        self.connected(now_ms, from, to) && roll >= self.loss.percent(now_ms)
    }

    /// Whether no cut parts two hosts.
    pub fn connected(&self, now_ms: Millis, from: usize, to: usize) -> bool {
        !self.cuts.iter().any(|(side, until_ms)| {
            now_ms < *until_ms && side.contains(&from) != side.contains(&to)
        })
    }
}

/// A published text and when it was published.
#[derive(Debug, Clone)]
pub struct Publication {
    /// When.
    pub at_ms: Millis,
    /// Its version, strictly rising.
    pub version: Version,
    /// The text.
    pub text: String,
}

/// The configuration service and the host list.
#[derive(Debug)]
pub struct Platform {
    /// Bases, oldest first.
    pub base: Vec<Publication>,
    /// Overlays, oldest first.
    pub overlay: Vec<Publication>,
    /// Host lists, oldest first.
    pub lists: Vec<(Millis, HostList)>,
    /// The service doesn't answer.
    pub down: Spell,
    stale_config: BTreeMap<usize, (Millis, Spell)>,
    stale_list: BTreeMap<usize, (Millis, Spell)>,
}

impl Platform {
    /// What is published at time zero.
    pub fn new(scenario: &Scenario) -> Platform {
        let zero = Millis::ZERO;
        let base = Publication { at_ms: zero, version: Version(1), text: base_text(scenario) };
        Platform {
            base: vec![base],
            overlay: vec![],
            lists: vec![(zero, first_list(scenario))],
            down: Spell::default(),
            stale_config: BTreeMap::new(),
            stale_list: BTreeMap::new(),
        }
    }

    /// What was published in one place.
    pub fn publications(&self, place: Place) -> &Vec<Publication> {
        match place {
            Place::Base => &self.base,
            Place::Overlay => &self.overlay,
        }
    }

    /// Publishes: a base as a merge patch on the newest good one, an overlay or a text
    /// that is no JSON as it stands.
    pub fn publish(&mut self, now_ms: Millis, place: Place, patch: &str) {
        let log = match place {
            Place::Base => &mut self.base,
            Place::Overlay => &mut self.overlay,
        };
        let newest_good = log
            .iter()
            .rev()
            .find_map(|published| serde_json::from_str::<serde_json::Value>(&published.text).ok());
        let text = match (newest_good, serde_json::from_str(patch)) {
            (Some(mut value), Ok(patch)) if place == Place::Base => {
                json_patch::merge(&mut value, &patch);
                value.to_string()
            }
            _ => patch.to_owned(),
        };
        let version = Version(log.last().map_or(1, |last| last.version.0 + 1));
        log.push(Publication { at_ms: now_ms, version, text });
    }

    /// Shows a host an old configuration for a while.
    pub fn stale_config(&mut self, now_ms: Millis, host: usize, until_ms: Millis) {
        self.stale_config.insert(host, (now_ms, Spell::new(until_ms, 100)));
    }

    /// Shows a host an old list for a while.
    pub fn stale_list(&mut self, now_ms: Millis, host: usize, until_ms: Millis) {
        self.stale_list.insert(host, (now_ms, Spell::new(until_ms, 100)));
    }

    /// What a host reads in one place.
    pub fn read(&self, now_ms: Millis, host: usize, place: Place) -> Option<&Publication> {
        let seen_ms = seen_at(now_ms, self.stale_config.get(&host));
        self.publications(place).iter().rev().find(|published| published.at_ms <= seen_ms)
    }

    /// The list that a host reads.
    pub fn read_list(&self, now_ms: Millis, host: usize) -> HostList {
        let seen_ms = seen_at(now_ms, self.stale_list.get(&host));
        let found = self.lists.iter().rev().find(|(at_ms, _)| *at_ms <= seen_ms);
        found.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// Changes the list.
    pub fn change_list(&mut self, now_ms: Millis, change: impl FnOnce(&mut Vec<ListedHost>)) {
        let mut list = self.lists.last().map(|(_, list)| list.clone()).unwrap_or_default();
        list.version.0 += 1;
        change(&mut list.hosts);
        self.lists.push((now_ms, list));
    }
}

fn seen_at(now_ms: Millis, stale: Option<&(Millis, Spell)>) -> Millis {
    match stale {
        Some((since_ms, spell)) if spell.lasts(now_ms) => *since_ms,
        _ => now_ms,
    }
}

/// The base that a scenario's upstreams and routes amount to.
fn base_text(scenario: &Scenario) -> String {
    let routes: Vec<_> = scenario
        .routes
        .iter()
        .map(|route| {
            let rule = if route.at_most_once { "at-most-once" } else { "idempotent" };
            serde_json::json!({ "path_prefix": route.prefix, "repeat": rule })
        })
        .collect();
    let upstreams: serde_json::Map<_, _> = scenario
        .upstreams
        .iter()
        .enumerate()
        .map(|(index, up)| (up.upstream.clone(), upstream_value(index, up)))
        .collect();
    let mut zones: Vec<&str> = scenario.upstreams.iter().map(|up| up.zone.as_str()).collect();
    zones.extend(scenario.hosts.iter().map(|host| host.zone.as_str()));
    zones.sort_unstable();
    zones.dedup();
    let mut base = serde_json::json!({
        "availability_zones": zones,
        "services": { "shop": { "routes": routes, "upstreams": upstreams } },
    });
    if let Some(patch) = &scenario.base_patch {
        json_patch::merge(&mut base, patch);
    }
    base.to_string()
}

fn upstream_value(index: usize, up: &UpstreamSpec) -> serde_json::Value {
    serde_json::json!({
        "address": format!("127.0.0.1:{}", FIRST_UPSTREAM_PORT + index as u16),
        "availability_zone": up.zone,
        "slots": up.slots,
        "connections": up.slots * 40,
    })
}

fn first_list(scenario: &Scenario) -> HostList {
    let hosts = scenario.hosts.iter().enumerate();
    let hosts = hosts.map(|(index, spec)| listed_host(index, &spec.host, &spec.zone)).collect();
    HostList { version: Version(1), hosts }
}

/// How the list names a host.
pub fn listed_host(index: usize, host: &str, zone: &str) -> ListedHost {
    ListedHost {
        host: host.parse().expect("a scenario's host ids are names"),
        peer_address: ([127, 0, 0, 1], FIRST_PEER_PORT + index as u16).into(),
        availability_zone: zone.parse().expect("a scenario's zones are names"),
        leaving: false,
    }
}

/// A request in an upstream.
pub type JobId = usize;

/// One upstream.
#[derive(Debug)]
pub struct FakeUpstream {
    /// What it is.
    pub spec: UpstreamSpec,
    /// Requests that it works on.
    pub running: Vec<JobId>,
    /// Requests that wait.
    pub waiting: VecDeque<JobId>,
    /// When it was told to drain.
    pub leaving_since_ms: Option<Millis>,
    slow: (u32, Spell),
    fail: Spell,
    lose_answers: Spell,
    cut_answers: Spell,
    refuse: Spell,
}

/// What becomes of a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reception {
    /// The connection is refused.
    NoConnection,
    /// It is refused and declared not run.
    Refused,
    /// It runs at once.
    Runs,
    /// It waits for a slot.
    Waits,
    /// It fails at once with an error of its own.
    FailsFast,
}

/// How a request that ran is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answering {
    /// Whole.
    Whole,
    /// Not at all.
    Lost,
    /// Broken off.
    Cut,
}

impl FakeUpstream {
    /// An idle upstream.
    pub fn new(spec: UpstreamSpec) -> FakeUpstream {
        FakeUpstream {
            spec,
            running: vec![],
            waiting: VecDeque::new(),
            leaving_since_ms: None,
            slow: (1, Spell::default()),
            fail: Spell::default(),
            lose_answers: Spell::default(),
            cut_answers: Spell::default(),
            refuse: Spell::default(),
        }
    }

    /// Something befalls it.
    pub fn befall(&mut self, now_ms: Millis, fault: UpstreamFault) {
        match fault {
            UpstreamFault::Leave => {
                self.leaving_since_ms.get_or_insert(now_ms);
            }
            UpstreamFault::Slow { factor, for_ms } => {
                self.slow = (factor, Spell::new(now_ms + for_ms, 100));
            }
            UpstreamFault::Fail { percent, for_ms } => {
                self.fail = Spell::new(now_ms + for_ms, percent);
            }
            UpstreamFault::LoseAnswers { percent, for_ms } => {
                self.lose_answers = Spell::new(now_ms + for_ms, percent);
            }
            UpstreamFault::CutAnswers { percent, for_ms } => {
                self.cut_answers = Spell::new(now_ms + for_ms, percent);
            }
            UpstreamFault::RefuseConnections { for_ms } => {
                self.refuse = Spell::new(now_ms + for_ms, 100);
            }
        }
    }

    /// Takes a request in; `roll` is 0 to 99. One that hides its leaving goes on working.
    pub fn receive(&mut self, now_ms: Millis, job: JobId, roll: u32, hidden: bool) -> Reception {
        if self.refuse.lasts(now_ms) {
            return Reception::NoConnection;
        }
        if self.leaving_since_ms.is_some() && !hidden {
            return Reception::Refused;
        }
        if roll < self.fail.percent(now_ms) {
            return Reception::FailsFast;
        }
        if self.running.len() < self.spec.slots as usize {
            self.running.push(job);
            return Reception::Runs;
        }
        if self.waiting.len() < self.spec.slots as usize * WAITING_PER_SLOT {
            self.waiting.push_back(job);
            return Reception::Waits;
        }
        Reception::Refused
    }

    /// Ends a request; returns one that now starts.
    pub fn release(&mut self, job: JobId) -> Option<JobId> {
        self.waiting.retain(|&other| other != job);
        let count = self.running.len();
        self.running.retain(|&other| other != job);
        if self.running.len() == count {
            return None;
        }
        let next = self.waiting.pop_front()?;
        self.running.push(next);
        Some(next)
    }

    /// Time that a request takes from now.
    pub fn service_ms(&self, now_ms: Millis) -> Millis {
        let factor = if self.slow.1.lasts(now_ms) { self.slow.0 } else { 1 };
        Millis(self.spec.service_ms.0 * u64::from(factor))
    }

    /// How an answer that is due now fares; `roll` is 0 to 99.
    pub fn answering(&self, now_ms: Millis, roll: u32) -> Answering {
        match roll {
            roll if roll < self.lose_answers.percent(now_ms) => Answering::Lost,
            roll if roll < self.cut_answers.percent(now_ms) => Answering::Cut,
            _ => Answering::Whole,
        }
    }

    /// Whether its health endpoint answers.
    pub fn answers_probes(&self, now_ms: Millis) -> bool {
        !self.refuse.lasts(now_ms)
    }

    /// What it says of its load.
    pub fn load(&self) -> LoadReport {
        LoadReport { busy: Slots(self.running.len() as u32), queued: self.waiting.len() as u32 }
    }
}
