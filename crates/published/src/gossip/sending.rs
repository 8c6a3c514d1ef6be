//! Messages that a host sends, and their recipients.

use super::{Effect, Gossip, HelloKind, Message, StateUpdate};
use crate::{Change, Recipient, Revision};
use domain::Millis;
use std::net::SocketAddr;

/// Members in one message: about five kilobytes.
const MEMBERS_PER_MESSAGE: usize = 100;

impl Gossip {
    pub(super) fn hello_message(&self, kind: HelloKind) -> Message {
        let members_digest = self.members.digest();
        Message::Hello { from: self.members.own().clone(), kind, members_digest }
    }

    pub(super) fn send_members(&self, to: SocketAddr, effects: &mut Vec<Effect>) {
        for chunk in self.members.all().chunks(MEMBERS_PER_MESSAGE) {
            let message = Message::Members { members: chunk.to_vec(), should_relay: false };
            self.send(message, vec![to], effects);
        }
    }

    /// Tells a new host that it can fetch the published state here.
    pub(super) fn offer_state(&self, now_ms: Millis, to: SocketAddr, effects: &mut Vec<Effect>) {
        if self.state.confirmed_ms().is_some() {
            let update = self.state_update(now_ms, self.state.revision(), None);
            self.send(Message::StateUpdate { update, should_relay: false }, vec![to], effects);
        }
    }

    /// This host's state, as an update.
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
        let message = |should_relay| Message::StateUpdate { update: update.clone(), should_relay };
        self.broadcast(now_ms, message, effects);
    }

    /// Sends a message to the hosts of the local zone, and through relays to those of other zones.
    pub(super) fn broadcast(
        &mut self,
        now_ms: Millis,
        message: impl Fn(bool) -> Message,
        effects: &mut Vec<Effect>,
    ) {
        let recipients = self.members.recipients(now_ms);
        for should_relay in [true, false] {
            let selected =
                recipients.iter().filter(|recipient| recipient.should_relay == should_relay);
            let to = selected.map(|&Recipient { address, .. }| address).collect();
            self.send(message(should_relay), to, effects);
        }
    }

    pub(super) fn relay_update(&self, update: StateUpdate, effects: &mut Vec<Effect>) {
        self.relay(Message::StateUpdate { update, should_relay: false }, effects);
    }

    /// Forwards a message from another zone to the hosts of the local zone.
    pub(super) fn relay(&self, message: Message, effects: &mut Vec<Effect>) {
        let local_peers = self.members.local_zone_peers().into_iter();
        let to = local_peers.chain(self.members.leaving_local_zone_peers()).collect();
        self.send(message, to, effects);
    }

    /// Queues a message, unless this host has announced its exit: peers no longer count on it.
    pub(super) fn send(&self, message: Message, to: Vec<SocketAddr>, effects: &mut Vec<Effect>) {
        if !self.is_leaving && !to.is_empty() {
            effects.push(Effect::Send { message, to });
        }
    }
}
