//! Values on their way between peers.
//!
//! Heartbeats tell versions; whoever is behind asks for the value and tells its own peers
//! when it has it. So one host that can read the service is enough for all.

use crate::action::Action;
use crate::adoption::VersionPair;
use crate::entry_host::EntryHost;
use crate::event::{ConfigKey, PublishedValue};
use crate::message::PeerMessage;
use config::SiteConfig;
use domain::{HostId, Millis, Version};

const KEYS: [ConfigKey; 2] = [ConfigKey::Base, ConfigKey::Overlay];

impl EntryHost {
    pub(super) fn note_peer_versions(
        &mut self,
        now_ms: Millis,
        from: &HostId,
        in_force: VersionPair,
        newest: VersionPair,
        actions: &mut Vec<Action>,
    ) {
        for key in KEYS {
            if let Some(version) = self.wanted(key, in_force, newest)
                && self.control.start_pull(now_ms, key, version)
            {
                let held = self.adoption.newest_before(key, version);
                self.send_peer(from, PeerMessage::ConfigWanted { key, version, held }, actions);
            }
        }
        if in_force.base > Version(0) && newest.overlay == Version(0) {
            let adopted = self.adoption.no_overlay();
            self.after_offer(now_ms, self.adoption.newest(), adopted, actions);
        }
    }

    pub(super) fn config_wanted(
        &mut self,
        from: &HostId,
        key: ConfigKey,
        version: Version,
        held: Version,
        actions: &mut Vec<Action>,
    ) {
        let newest = self.adoption.newest().of(key);
        let found = self.adoption.find(key, version).or_else(|| self.adoption.find(key, newest));
        let Some(value) = found else { return };
        let message = match self.adoption.splice(key, held, value.version) {
            Some(splice) => {
                PeerMessage::ConfigChanged { key, from: held, version: value.version, splice }
            }
            None => PeerMessage::ConfigOffered { key, value: value.clone() },
        };
        self.send_peer(from, message, actions);
    }

    /// Asks for the whole value, where a change does not fit what is here.
    pub(super) fn want_whole(
        &mut self,
        from: &HostId,
        key: ConfigKey,
        version: Version,
        actions: &mut Vec<Action>,
    ) {
        if version > self.adoption.in_force().of(key) && self.adoption.find(key, version).is_none()
        {
            let message = PeerMessage::ConfigWanted { key, version, held: Version(0) };
            self.send_peer(from, message, actions);
        }
    }

    pub(super) fn config_offered(
        &mut self,
        now_ms: Millis,
        key: ConfigKey,
        value: PublishedValue,
        actions: &mut Vec<Action>,
    ) {
        let before = self.adoption.newest();
        let adopted = self.adoption.offer(key, value);
        self.after_offer(now_ms, before, adopted, actions);
    }

    /// Puts to use what an offer brought, and tells peers at once of anything new.
    pub(super) fn after_offer(
        &mut self,
        now_ms: Millis,
        newest_before: VersionPair,
        adopted: Option<SiteConfig>,
        actions: &mut Vec<Action>,
    ) {
        match adopted {
            Some(config) => self.put_in_force(now_ms, config, actions),
            None if self.adoption.newest() != newest_before => self.announce(now_ms, actions),
            None => {}
        }
    }

    /// The version to ask a peer for: what it has in force goes before what it has seen.
    ///
    /// The newest may be one that nobody can put in force, and the one before it may be
    /// missing here.
    fn wanted(
        &self,
        key: ConfigKey,
        in_force: VersionPair,
        newest: VersionPair,
    ) -> Option<Version> {
        let is_missing = |version: Version| self.adoption.find(key, version).is_none();
        let (theirs, their_newest) = (in_force.of(key), newest.of(key));
        match theirs {
            _ if theirs > self.adoption.in_force().of(key) && is_missing(theirs) => Some(theirs),
            _ if their_newest > self.adoption.newest().of(key) => Some(their_newest),
            _ => None,
        }
    }
}
