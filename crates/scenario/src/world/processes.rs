//! Starts, pauses and ends of processes, and what passes between a core and the stage.

use super::{BALANCER_LAG_MS, Happening, LINGER_MS, ONE_WAY_MS, World};
use crate::ledger::{Adoption, CallEnd};
use crate::sabotage::Sabotage;
use crate::script::Place;
use decision_core::{Action, EntryHost, Event, HostSettings, VersionPair};
use domain::{Incarnation, Millis};

impl World {
    pub(super) fn start(&mut self, host: usize) {
        if self.hosts[host].core.is_some() {
            return;
        }
        let now_ms = self.now_ms;
        let process = &mut self.hosts[host];
        process.incarnation += 1;
        process.started_ms = now_ms;
        process.last_versions = VersionPair::default();
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

    pub(super) fn stop(&mut self, host: &str) {
        let Some(host) = self.host_index(host) else { return };
        let incarnation = self.hosts[host].incarnation;
        self.tell(host, incarnation, Event::StopRequested);
        if self.sabotage == Some(Sabotage::HastyExit) {
            self.exit(host);
        }
    }

    pub(super) fn kill(&mut self, host: &str) {
        let Some(host) = self.host_index(host) else { return };
        self.end_process(host, CallEnd::HostDied);
        self.disturb(host, self.now_ms);
    }

    pub(super) fn exit(&mut self, host: usize) {
        self.ledger.exits.push((self.now_ms, host));
        self.end_process(host, CallEnd::CutByExit);
    }

    pub(super) fn end_process(&mut self, host: usize, end: CallEnd) {
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

    pub(super) fn pause(&mut self, host: &str, for_ms: Millis) {
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

    pub(super) fn resume(&mut self, host: usize, incarnation: u64) {
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
    pub(super) fn tell(&mut self, host: usize, incarnation: u64, event: Event) {
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

    pub(super) fn note_versions(&mut self, host: usize, versions: VersionPair) {
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

    pub(super) fn act(&mut self, host: usize, incarnation: u64, action: Action) {
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

    pub(super) fn post(&mut self, at_ms: Millis, host: usize, incarnation: u64, event: Event) {
        self.schedule(at_ms, Happening::ToHost { host, incarnation, event });
    }
}
