//! Messages between hosts, and what hosts read of the platform.

use super::{Happening, ONE_WAY_MS, World};
use crate::sabotage::Sabotage;
use crate::script::Place;
use decision_core::{
    ClaimVerdict, ClaimVote, ConfigKey, ConfigReading, Event, PeerMessage, PublishedValue,
    ReadOutcome,
};
use domain::{HostId, Incarnation, Millis};
use rand::RngExt;

impl World {
    pub(super) fn send_peer(
        &mut self,
        from: usize,
        incarnation: u64,
        to: &HostId,
        message: PeerMessage,
    ) {
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

    pub(super) fn read_config(
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

    pub(super) fn read_list(&mut self, host: usize, incarnation: u64) {
        let mut list = self.platform.read_list(self.now_ms, host);
        if self.sabotage == Some(Sabotage::LonelyLists) {
            let own = self.hosts[host].id.clone();
            list.hosts.retain(|listed| listed.host == own);
        }
        let at_ms = self.now_ms + Millis(2 * ONE_WAY_MS.0);
        self.post(at_ms, host, incarnation, Event::HostListRead(Some(list)));
    }
}
