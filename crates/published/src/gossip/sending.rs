//! What a host says, and to whom.

use super::{Effect, Gossip, HelloKind, Message, StateUpdate};
use crate::{Change, Recipient, Revision};
use domain::Millis;
use std::net::SocketAddr;

/// Members told in one message: five kilobytes.
const MEMBERS_TOLD: usize = 100;

impl Gossip {
    pub(super) fn hello_message(&self, kind: HelloKind) -> Message {
        let members_digest = self.members.digest();
        Message::Hello { from: self.members.own().clone(), kind, members_digest }
    }

    pub(super) fn send_members(&self, to: SocketAddr, effects: &mut Vec<Effect>) {
        for some in self.members.all().chunks(MEMBERS_TOLD) {
            let known = Message::Members { members: some.to_vec(), should_relay: false };
            self.send(known, vec![to], effects);
        }
    }

    /// A host that is new is told that there is a picture to be had here.
    pub(super) fn offer_state(&self, now_ms: Millis, to: SocketAddr, effects: &mut Vec<Effect>) {
        if self.state.confirmed_ms().is_some() {
            let update = self.state_update(now_ms, self.state.revision(), None);
            self.send(Message::StateUpdate { update, should_relay: false }, vec![to], effects);
        }
    }

    /// What this host holds, as news.
    fn state_update(
        &self,
        now_ms: Millis,
        after: Revision,
        changes: Option<Vec<Change>>,
    ) -> StateUpdate {
        StateUpdate {
            reader: self.members.own().clone(),
            revision: self.state.revision(),
            age_ms: self.state.age_ms(now_ms).unwrap_or_default(),
            digest: self.state.digest(),
            after,
            changes,
        }
    }

    pub(super) fn broadcast_update(
        &mut self,
        now_ms: Millis,
        after: Revision,
        changes: Vec<Change>,
        effects: &mut Vec<Effect>,
    ) {
        let update = self.state_update(now_ms, after, Some(changes));
        let told = |should_relay| Message::StateUpdate { update: update.clone(), should_relay };
        self.broadcast(now_ms, told, effects);
    }

    /// Tells this zone itself, and the others through a few of their hosts.
    pub(super) fn broadcast(
        &mut self,
        now_ms: Millis,
        message: impl Fn(bool) -> Message,
        effects: &mut Vec<Effect>,
    ) {
        let listeners = self.members.recipients(now_ms);
        for should_relay in [true, false] {
            let told = listeners.iter().filter(|listener| listener.should_relay == should_relay);
            let to = told.map(|&Recipient { address, .. }| address).collect();
            self.send(message(should_relay), to, effects);
        }
    }

    pub(super) fn relay_update(&self, update: StateUpdate, effects: &mut Vec<Effect>) {
        self.relay(Message::StateUpdate { update, should_relay: false }, effects);
    }

    /// Tells the other hosts of this zone what a host of another zone told.
    pub(super) fn relay(&self, message: Message, effects: &mut Vec<Effect>) {
        let neighbours = self.members.local_zone_peers().into_iter();
        let to = neighbours.chain(self.members.leaving_local_zone_peers()).collect();
        self.send(message, to, effects);
    }

    /// A host that stops says nothing but farewell: its peers count on it no more.
    pub(super) fn send(&self, message: Message, to: Vec<SocketAddr>, effects: &mut Vec<Effect>) {
        if !self.is_leaving && !to.is_empty() {
            effects.push(Effect::Send { message, to });
        }
    }
}
