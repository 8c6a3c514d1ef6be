//! Readings of the configuration service.
//!
//! The service counts every reading of every host, so only a few hosts of a site wait
//! there for news, spread over the availability zones; rendezvous hashing over the live
//! hosts names them, so others take over when they fall silent or can't read. Everybody
//! else looks in now and then, in case all of those are told old news.

use crate::action::Action;
use crate::entry_host::EntryHost;
use crate::event::{ConfigKey, ConfigReading, ReadOutcome};
use crate::rendezvous::{Job, Role};
use domain::{HostId, Millis, Version, ZoneName};
use rand::RngExt;

/// Longest wait of one watch.
const WATCH_MS: Millis = Millis(20_000);
/// Hosts of a site that watch a value.
const WATCHERS: usize = 3;
/// Shortest time between two polls of a host.
const POLL_EVERY_MS: u64 = 2000;
/// Time between polls of a value by any host of the site: 4 a second.
const POLL_SITE_EVERY_MS: u64 = 250;

const KEYS: [ConfigKey; 2] = [ConfigKey::Base, ConfigKey::Overlay];

impl EntryHost {
    pub(crate) fn config_read(
        &mut self,
        now_ms: Millis,
        reading: ConfigReading,
        actions: &mut Vec<Action>,
    ) {
        let ConfigReading { key, outcome } = reading;
        let poll_after_ms = self.poll_after_ms();
        self.control.read_mut(key).note_outcome(now_ms, &outcome, poll_after_ms);
        let before = self.adoption.newest();
        let adopted = match outcome {
            ReadOutcome::Value(value) => self.adoption.take_reading(now_ms, key, value),
            ReadOutcome::Missing if key == ConfigKey::Overlay => self.adoption.no_overlay(),
            ReadOutcome::Missing | ReadOutcome::Unchanged | ReadOutcome::Unavailable => None,
        };
        self.after_offer(now_ms, before, adopted, actions);
        self.run_control_timers(now_ms, actions);
    }

    pub(super) fn read_config_if_due(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        for key in KEYS {
            let newest = self.adoption.newest().of(key);
            let read = self.control.read_mut(key);
            if read.due_ms() > now_ms {
                continue;
            }
            read.note_sent(now_ms);
            let after = (newest > Version(0)).then_some(newest);
            let waits = read.watching && after.is_some();
            let wait_ms = if waits { WATCH_MS } else { Millis::ZERO };
            actions.push(Action::ReadConfig { key, after, wait_ms });
        }
    }

    /// Decides anew whether this host watches; once a heartbeat is often enough.
    pub(super) fn choose_watchers(&mut self, now_ms: Millis) {
        for key in KEYS {
            self.control.read_mut(key).watching = self.is_watcher(now_ms, key);
        }
    }

    pub(super) fn read_config_soon(&mut self, now_ms: Millis) {
        for key in KEYS {
            self.control.read_mut(key).read_now(now_ms);
        }
    }

    fn is_watcher(&self, now_ms: Millis, key: ConfigKey) -> bool {
        self.adoption.has_started() && self.watchers(now_ms, key).contains(&&self.settings.host)
    }

    /// The hosts that watch a value: the most wanted of each zone first.
    fn watchers(&self, now_ms: Millis, key: ConfigKey) -> Vec<&HostId> {
        let name = match key {
            ConfigKey::Base => "base",
            ConfigKey::Overlay => "overlay",
        };
        let mut hosts = self.membership.candidates(now_ms);
        let readers: Vec<&HostId> =
            hosts.iter().copied().filter(|host| self.can_read(host)).collect();
        if !readers.is_empty() {
            hosts = readers;
        }
        let ranked = Job { role: Role::ConfigWatcher, name }.ranked(hosts);
        self.spread_over_zones(ranked).into_iter().take(WATCHERS).collect()
    }

    fn can_read(&self, host: &HostId) -> bool {
        match self.membership.peer(host) {
            _ if *host == self.settings.host => !self.control.reads_fail(),
            Some(peer) => !peer.heartbeat.reads_fail,
            None => true,
        }
    }

    fn spread_over_zones<'a>(&self, ranked: Vec<&'a HostId>) -> Vec<&'a HostId> {
        let mut zones: Vec<Option<&ZoneName>> = Vec::new();
        let (mut firsts, mut others) = (Vec::new(), Vec::new());
        for host in ranked {
            let zone = self.membership.listed(host).map(|listed| &listed.availability_zone);
            if zones.contains(&zone) {
                others.push(host);
                continue;
            }
            zones.push(zone);
            firsts.push(host);
        }
        firsts.into_iter().chain(others).collect()
    }

    fn poll_after_ms(&mut self) -> Millis {
        let hosts = self.membership.listed_count() as u64;
        let every_ms = POLL_EVERY_MS.max(hosts * POLL_SITE_EVERY_MS);
        Millis(self.rng.random_range(every_ms * 3 / 4..=every_ms * 5 / 4))
    }
}
