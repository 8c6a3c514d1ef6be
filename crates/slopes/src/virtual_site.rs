//! A whole site of real cores in virtual time, to count what its hosts tell each other.
//!
//! Nothing fails here and upstreams answer as they should: it is for counting messages,
//! bytes, reads and processor time, not for judging decisions. Messages to one peer that
//! come of one event share an envelope, as they mostly do in the daemon.

use crate::calls::{head, keyed_head};
use crate::error::SlopesError;
use crate::frames::{self, CONFIRMATION_FRAME_BYTES};
use crate::host::{host_id, host_list, settings};
use crate::meter::thread_cpu_ns;
use crate::published::{Published, SLOTS};
use decision_core::{
    Action, AnswerHead, Attempt, AttemptEnd, ConfigKey, ConfigReading, EntryHost, Event, HostList,
    HostSettings, LoadReport, MessageKind, PeerMessage, ProbeResult, PublishedValue, ReadOutcome,
    VersionPair,
};
use domain::{AttemptId, CallId, FastMap, HostId, Incarnation, Millis, Slots, UpstreamId, Version};
use std::collections::BTreeMap;

/// One way between two hosts.
const MESSAGE_MS: Millis = Millis(1);
/// A read of the platform's services.
const READ_MS: Millis = Millis(2);
/// Shortest and longest work on a call.
const WORK_MS: (u64, u64) = (10, 31);
const SEED: u64 = 11;

/// What the hosts of a site did, all together.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Bytes of peer frames sent, confirmations included.
    pub peer_bytes: f64,
    /// The part of these that claims of keys take.
    pub claim_bytes: f64,
    /// The part of these that lent slots take.
    pub slot_bytes: f64,
    /// Peer frames sent, without confirmations.
    pub peer_frames: u64,
    /// Processor time on ticks, peers' messages and readings.
    pub control_cpu_ns: f64,
    /// Processor time on calls.
    pub call_cpu_ns: f64,
    /// Reads of the configuration service, a watch counted as one.
    pub config_reads: u64,
    /// Probes.
    pub probes: u64,
    /// Calls that arrived.
    pub calls: u64,
    /// Calls refused.
    pub refused: u64,
}

/// Calls that all hosts together get, and to what.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// All hosts together.
    pub calls_per_second: u64,
    /// Calls of these that run at most once and carry a key.
    pub keyed_per_second: u64,
}

/// Real cores and what surrounds them.
#[derive(Debug)]
pub struct VirtualSite {
    now_ms: Millis,
    published: Published,
    list: HostList,
    hosts: Vec<EntryHost>,
    numbers: FastMap<HostId, usize>,
    ticks_ms: Vec<Millis>,
    is_down: Vec<bool>,
    runs: Vec<Incarnation>,
    events: BTreeMap<(Millis, u64), (usize, Event)>,
    watches: Vec<Watch>,
    values: FastMap<ConfigKey, PublishedValue>,
    busy: FastMap<UpstreamId, u32>,
    at_work: FastMap<(usize, AttemptId), UpstreamId>,
    sequence: u64,
    last_call: u64,
    /// What was done since it was last reset.
    pub counts: Counts,
}

#[derive(Debug)]
struct Watch {
    host: usize,
    key: ConfigKey,
    after: Option<Version>,
    until_ms: Millis,
}

impl VirtualSite {
    /// A site whose hosts have all just started.
    ///
    /// # Errors
    ///
    /// If a generated id is none.
    pub fn new(hosts: usize, published: Published) -> Result<VirtualSite, SlopesError> {
        let now_ms = Millis(1_000_000);
        let cores = (0..hosts).map(|number| {
            let settings = settings(number)?;
            Ok(EntryHost::new(settings, SEED + number as u64, now_ms))
        });
        let ids = (0..hosts).map(|number| Ok((host_id(number)?, number)));
        let value = |text| PublishedValue { version: Version(1), text };
        let values = [
            (ConfigKey::Base, value(published.base())),
            (ConfigKey::Overlay, value(published.overlay(0))),
        ];
        Ok(VirtualSite {
            now_ms,
            published,
            list: host_list(1, hosts)?,
            hosts: cores.collect::<Result<_, SlopesError>>()?,
            numbers: ids.collect::<Result<_, SlopesError>>()?,
            ticks_ms: vec![now_ms; hosts],
            is_down: vec![false; hosts],
            runs: vec![Incarnation(1); hosts],
            events: BTreeMap::new(),
            watches: Vec::new(),
            values: values.into_iter().collect(),
            busy: FastMap::default(),
            at_work: FastMap::default(),
            sequence: 0,
            last_call: 0,
            counts: Counts::default(),
        })
    }

    /// Runs without calls.
    ///
    /// # Errors
    ///
    /// If a message can't be written.
    pub fn run_quiet(&mut self, span_ms: Millis) -> Result<(), SlopesError> {
        self.run_until(self.now_ms + span_ms)
    }

    /// Runs under load; calls come evenly, to all hosts and services in turn.
    ///
    /// # Errors
    ///
    /// If a message can't be written.
    pub fn run_loaded(&mut self, span_ms: Millis, load: Load) -> Result<(), SlopesError> {
        let end_ms = self.now_ms + span_ms;
        let (mut owed, mut keyed_owed) = (0, 0);
        while self.now_ms < end_ms {
            owed += load.calls_per_second;
            while owed >= 1000 {
                owed -= 1000;
                keyed_owed += load.keyed_per_second;
                let is_keyed = keyed_owed >= load.calls_per_second;
                keyed_owed -= if is_keyed { load.calls_per_second } else { 0 };
                self.call_arrives(is_keyed)?;
            }
            self.run_until(self.now_ms + Millis(1))?;
        }
        Ok(())
    }

    /// Publishes a change of the overlay. Returns the time until every host has it in force.
    ///
    /// # Errors
    ///
    /// If that takes longer than the limit.
    pub fn change(&mut self, limit_ms: Millis) -> Result<Millis, SlopesError> {
        let version = Version(self.in_force(0).overlay.0 + 1);
        let text = self.published.overlay(version.0 as usize);
        self.values.insert(ConfigKey::Overlay, PublishedValue { version, text });
        self.end_watches();
        let start_ms = self.now_ms;
        let is_behind =
            |site: &VirtualSite| site.hosts.iter().any(|host| host.versions().overlay < version);
        while is_behind(self) {
            if self.now_ms.since(start_ms) > limit_ms {
                return Err(SlopesError::NotReady);
            }
            self.run_until(self.now_ms + Millis(1))?;
        }
        Ok(self.now_ms.since(start_ms))
    }

    /// Replaces the first host by a new run of itself that knows nothing. Returns the time
    /// until it has a configuration in force.
    ///
    /// # Errors
    ///
    /// If that takes longer than the limit.
    pub fn restart(&mut self, limit_ms: Millis) -> Result<Millis, SlopesError> {
        self.runs[0].0 += 1;
        let settings = HostSettings { incarnation: self.runs[0], ..settings(0)? };
        self.hosts[0] = EntryHost::new(settings, SEED, self.now_ms);
        self.ticks_ms[0] = self.now_ms;
        self.watches.retain(|watch| watch.host != 0);
        self.events.retain(|_, (host, _)| *host != 0);
        let start_ms = self.now_ms;
        while !self.is_ready() {
            if self.now_ms.since(start_ms) > limit_ms {
                return Err(SlopesError::NotReady);
            }
            self.run_until(self.now_ms + Millis(1))?;
        }
        Ok(self.now_ms.since(start_ms))
    }

    /// Whether every host has a configuration in force.
    pub fn is_ready(&self) -> bool {
        (0..self.hosts.len()).all(|host| self.in_force(host).base > Version(0))
    }

    /// Ends every host of that number and one in `zones` after it; the list keeps them.
    pub fn lose_zone(&mut self, number: usize, zones: usize) {
        for host in (number..self.hosts.len()).step_by(zones) {
            self.is_down[host] = true;
            self.ticks_ms[host] = Millis::MAX;
        }
        let is_down = &self.is_down;
        self.events.retain(|_, (host, _)| !is_down[*host]);
        self.watches.retain(|watch| !is_down[watch.host]);
    }

    /// The host list stops naming the hosts that ended.
    pub fn drop_lost_from_list(&mut self) {
        self.list.version.0 += 1;
        let (numbers, is_down) = (&self.numbers, &self.is_down);
        let lost = |host: &HostId| numbers.get(host).is_some_and(|&number| is_down[number]);
        self.list.hosts.retain(|listed| !lost(&listed.host));
    }

    fn in_force(&self, host: usize) -> VersionPair {
        self.hosts[host].versions()
    }

    fn run_until(&mut self, end_ms: Millis) -> Result<(), SlopesError> {
        while let Some(next_ms) = self.next_ms().filter(|&next_ms| next_ms <= end_ms) {
            self.now_ms = self.now_ms.max(next_ms);
            self.step()?;
        }
        self.now_ms = end_ms;
        Ok(())
    }

    fn next_ms(&self) -> Option<Millis> {
        let event_ms = self.events.first_key_value().map(|(&(at_ms, _), _)| at_ms);
        let watch_ms = self.watches.iter().map(|watch| watch.until_ms).min();
        self.ticks_ms.iter().copied().chain(event_ms).chain(watch_ms).min()
    }

    fn step(&mut self) -> Result<(), SlopesError> {
        let now_ms = self.now_ms;
        self.end_watches();
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= now_ms
        {
            let (host, event) = entry.remove();
            if self.still_happens(host, &event) {
                self.hand_over(host, event)?;
            }
        }
        for host in 0..self.hosts.len() {
            if self.ticks_ms[host] <= now_ms {
                self.hand_over(host, Event::Tick)?;
            }
        }
        Ok(())
    }

    fn hand_over(&mut self, host: usize, event: Event) -> Result<(), SlopesError> {
        let is_call = matches!(
            event,
            Event::CallArrived { .. } | Event::AnswerReady { .. } | Event::AttemptEnded { .. }
        );
        let is_tick = event == Event::Tick;
        let mut actions = Vec::new();
        let before = thread_cpu_ns();
        self.hosts[host].handle(self.now_ms, event, &mut actions);
        let cpu_ns = (thread_cpu_ns() - before) as f64;
        match is_call {
            true => self.counts.call_cpu_ns += cpu_ns,
            false => self.counts.control_cpu_ns += cpu_ns,
        }
        let next_ms = self.hosts[host].next_tick_ms();
        // A tick that leaves the next one due at once would keep the time from passing.
        self.ticks_ms[host] = if is_tick { next_ms.max(self.now_ms + Millis(1)) } else { next_ms };
        let mut envelopes: BTreeMap<HostId, Vec<PeerMessage>> = BTreeMap::new();
        for action in actions {
            match action {
                Action::SendPeer { to, message, .. } => {
                    envelopes.entry(to).or_default().push(message);
                }
                other => self.carry_out(host, other),
            }
        }
        envelopes.into_iter().try_for_each(|(to, messages)| self.transmit(host, &to, messages))
    }

    fn transmit(
        &mut self,
        from: usize,
        to: &HostId,
        messages: Vec<PeerMessage>,
    ) -> Result<(), SlopesError> {
        let envelope = frames::envelope(messages)?;
        let frame_bytes = frames::client_frame_bytes(frames::encode(&envelope)?.len());
        self.counts.peer_frames += 1;
        let bytes = (frame_bytes + CONFIRMATION_FRAME_BYTES) as f64;
        self.counts.peer_bytes += bytes;
        let share_of = |wanted: fn(MessageKind) -> bool| {
            let of_kind = envelope.messages.iter().filter(|message| wanted(message.kind()));
            of_kind.count() as f64 / envelope.messages.len() as f64
        };
        self.counts.claim_bytes += bytes * share_of(is_of_claims);
        self.counts.slot_bytes += bytes * share_of(|kind| kind == MessageKind::Slots);
        let Some(&receiver) = self.numbers.get(to) else { return Ok(()) };
        if self.is_down[receiver] {
            return Ok(());
        }
        for message in envelope.messages {
            let event =
                Event::PeerReceived { from: host_id(from)?, incarnation: self.runs[from], message };
            self.schedule(MESSAGE_MS, receiver, event);
        }
        Ok(())
    }

    fn carry_out(&mut self, host: usize, action: Action) {
        match action {
            Action::Send(attempt) => self.work(host, attempt),
            Action::CancelAttempt { attempt } => self.cancel(host, attempt),
            Action::Refuse { .. } => self.counts.refused += 1,
            Action::Probe { probe, .. } => {
                self.counts.probes += 1;
                let load = Some(LoadReport { busy: Slots(1), queued: 0 });
                let result = ProbeResult::Alive {
                    load,
                    leaving: false,
                    latency_ms: MESSAGE_MS + MESSAGE_MS,
                };
                self.schedule(READ_MS, host, Event::ProbeEnded { probe, result });
            }
            Action::ReadConfig { key, after, wait_ms } => {
                self.counts.config_reads += 1;
                let until_ms = self.now_ms + wait_ms;
                self.watches.push(Watch { host, key, after, until_ms });
                self.end_watches();
            }
            Action::ReadHostList => {
                let list = self.list.clone();
                self.schedule(READ_MS, host, Event::HostListRead(Some(list)));
            }
            _ => {}
        }
    }

    fn call_arrives(&mut self, is_keyed: bool) -> Result<(), SlopesError> {
        self.last_call += 1;
        self.counts.calls += 1;
        let number = self.last_call as usize;
        // Consecutive calls of one host go to different services.
        let service = number / self.hosts.len() + number;
        let head = match is_keyed {
            true => keyed_head(self.published.order_path(service), self.last_call)?,
            false => head(self.published.read_path(service)),
        };
        let event = Event::CallArrived { call: CallId(self.last_call), head };
        let live: Vec<usize> = (0..self.hosts.len()).filter(|&host| !self.is_down[host]).collect();
        self.hand_over(live[number % live.len()], event)
    }

    /// An upstream works on a call at once, however many it has, and answers whole.
    fn work(&mut self, host: usize, attempt: Attempt) {
        let busy = self.busy.entry(attempt.upstream.clone()).or_default();
        *busy += 1;
        let load =
            LoadReport { busy: Slots((*busy).min(SLOTS)), queued: busy.saturating_sub(SLOTS) };
        self.at_work.insert((host, attempt.attempt), attempt.upstream);
        let spread = WORK_MS.1 - WORK_MS.0;
        let work_ms = Millis(WORK_MS.0 + attempt.call.0.wrapping_mul(0x9e37_79b9) % spread);
        let answer = AnswerHead {
            status: 200,
            is_whole: true,
            not_run: false,
            load: Some(load),
            leaving: false,
        };
        let attempt = attempt.attempt;
        self.schedule(work_ms, host, Event::AnswerReady { attempt, answer });
        let end = AttemptEnd::Completed;
        self.schedule(work_ms, host, Event::AttemptEnded { attempt, end });
    }

    /// Answers of cancelled attempts come to nothing; a completed attempt leaves its upstream.
    fn still_happens(&mut self, host: usize, event: &Event) -> bool {
        match event {
            Event::AnswerReady { attempt, .. } => self.at_work.contains_key(&(host, *attempt)),
            Event::AttemptEnded { attempt, end: AttemptEnd::Completed } => {
                self.leave_work(host, *attempt)
            }
            _ => true,
        }
    }

    fn cancel(&mut self, host: usize, attempt: AttemptId) {
        if self.leave_work(host, attempt) {
            let end = AttemptEnd::Cancelled { unsent: false };
            self.schedule(Millis::ZERO, host, Event::AttemptEnded { attempt, end });
        }
    }

    fn leave_work(&mut self, host: usize, attempt: AttemptId) -> bool {
        let Some(upstream) = self.at_work.remove(&(host, attempt)) else { return false };
        if let Some(busy) = self.busy.get_mut(&upstream) {
            *busy = busy.saturating_sub(1);
        }
        true
    }

    fn schedule(&mut self, after_ms: Millis, host: usize, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now_ms + after_ms, self.sequence), (host, event));
    }

    /// Ends the watches that have something to tell or have waited long enough.
    fn end_watches(&mut self) {
        let now_ms = self.now_ms;
        for watch in std::mem::take(&mut self.watches) {
            let value = self.values.get(&watch.key);
            let newer = value.filter(|value| watch.after.is_none_or(|after| value.version > after));
            let outcome = match newer {
                Some(value) => ReadOutcome::Value(value.clone()),
                None if watch.until_ms <= now_ms => ReadOutcome::Unchanged,
                None => {
                    self.watches.push(watch);
                    continue;
                }
            };
            let reading = ConfigReading { key: watch.key, outcome };
            self.schedule(READ_MS, watch.host, Event::ConfigRead(reading));
        }
    }
}

fn is_of_claims(kind: MessageKind) -> bool {
    matches!(kind, MessageKind::Claim | MessageKind::Standing)
}
