//! Hosts that can't be asked, and still share the allowances of the fleet.

use domain::{FastMap, HostId, Millis, ZoneName};

/// How long a host counts that announced its exit: it may restart, and spend before it is heard.
const EXITED_MS: Millis = Millis(60_000);

/// How long a host counts that fell silent, and a fleet size that a peer stated: longer than regions
/// lose each other.
const SILENT_MS: Millis = Millis(2 * 60 * 60 * 1_000);

/// How long a stated fleet size is stated to others in turn: until this host knows its peers. Longer,
/// hosts that start one after another would keep up the size of a fleet that is gone.
const RESTATED_MS: Millis = Millis(60_000);

/// Hosts that exited or fell silent.
#[derive(Debug, Default)]
pub(super) struct AbsentHosts {
    /// Hosts that announced their exit, until when they count.
    exited: FastMap<HostId, Millis>,
    /// Hosts that fell silent, their availability zones, and until when they count.
    silent: FastMap<HostId, (ZoneName, Millis)>,
    stated_hosts: u32,
    stated_ms: Millis,
    is_restated: bool,
}

impl AbsentHosts {
    /// Number of absent hosts.
    pub(super) fn count(&self) -> u32 {
        let count = self.exited.len() + self.silent.len();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Number of silent hosts, which may work on unseen.
    pub(super) fn silent(&self) -> u32 {
        u32::try_from(self.silent.len()).unwrap_or(u32::MAX)
    }

    /// Number of silent hosts of an availability zone.
    pub(super) fn silent_in(&self, zone: &ZoneName) -> u32 {
        let in_zone = self.silent.values().filter(|(of_host, _)| of_host == zone).count();
        u32::try_from(in_zone).unwrap_or(u32::MAX)
    }

    /// Greatest fleet that a peer has stated, without those that exited for good since.
    pub(super) fn stated_fleet(&self) -> u32 {
        self.stated_hosts
    }

    /// The same, if it is to be stated to others.
    pub(super) fn restated_fleet(&self) -> u32 {
        if self.is_restated { self.stated_hosts } else { 0 }
    }

    pub(super) fn record_stated_fleet(&mut self, now_ms: Millis, hosts: u32) {
        if hosts >= self.stated_hosts {
            self.stated_hosts = hosts;
            self.stated_ms = now_ms;
            self.is_restated = true;
        }
    }

    pub(super) fn record_exit(&mut self, now_ms: Millis, host: &HostId) {
        self.exited.insert(host.clone(), now_ms + EXITED_MS);
    }

    pub(super) fn record_silence(&mut self, now_ms: Millis, host: &HostId, zone: ZoneName) {
        self.silent.insert(host.clone(), (zone, now_ms + SILENT_MS));
    }

    /// A host is heard again.
    pub(super) fn remove(&mut self, host: &HostId) {
        self.exited.remove(host);
        self.silent.remove(host);
    }

    pub(super) fn expire(&mut self, now_ms: Millis) {
        let before = self.count();
        self.is_restated = now_ms.since(self.stated_ms) < RESTATED_MS;
        self.exited.retain(|_, until_ms| now_ms < *until_ms);
        self.silent.retain(|_, (_, until_ms)| now_ms < *until_ms);
        self.stated_hosts = match now_ms.since(self.stated_ms) < SILENT_MS {
            true => self.stated_hosts.saturating_sub(before - self.count()),
            false => 0,
        };
    }
}
