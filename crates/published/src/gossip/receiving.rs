//! Handling of peers' messages.

use super::{
    Effect, Fetch, FetchReply, FetchRequest, Gossip, HelloKind, Message, Origin, StateUpdate,
};
use crate::{CatchUp, Member};
use domain::Millis;
use rand::seq::SliceRandom;
use std::net::SocketAddr;

/// How long a host waits for a state that a peer offered: the time of a fetch by a slow machine.
const OFFER_WAIT_MS: Millis = Millis(250);

/// Minimum time between the starts of two fetches.
const MIN_FETCH_INTERVAL_MS: Millis = Millis(150);

/// Number of local-zone peers that are asked after the sender. Where the sender is busy with a
/// large change, others in the zone soon have it.
const MAX_LOCAL_CANDIDATES: usize = 8;

impl Gossip {
    pub(super) fn apply_fetch_reply(
        &mut self,
        now_ms: Millis,
        sender: SocketAddr,
        reply: FetchReply,
        effects: &mut Vec<Effect>,
    ) {
        let from = Origin::of(self.members.host_at(sender));
        let revision = Some(reply.catch_up.revision());
        let is_full = matches!(reply.catch_up, CatchUp::Snapshot(_));
        effects.push(Effect::FetchEnded { from: from.clone(), revision, is_full });
        // If changes are still missing, the next update shows it.
        let (state_changes, _) = self.state.apply_catch_up(now_ms - reply.age_ms, reply.catch_up);
        effects.push(Effect::StateUpdated { state_changes, from });
        self.record_members(now_ms, reply.members, effects);
        if self.state.confirmed_ms().is_some() {
            self.answer_next_joins(now_ms, effects);
        }
    }

    pub(super) fn handle_hello(
        &mut self,
        now_ms: Millis,
        from: Member,
        (kind, members_digest): (HelloKind, u64),
        sender: SocketAddr,
        effects: &mut Vec<Effect>,
    ) {
        let host = from.host.clone();
        self.record_member(now_ms, from, effects);
        self.members.record_response(&host);
        let members_differ = members_digest != self.members.digest();
        match kind {
            HelloKind::Request if members_differ => {
                self.send_members(sender, effects);
                self.send(self.hello_message(HelloKind::Reply), vec![sender], effects);
                self.offer_state(now_ms, sender, effects);
            }
            HelloKind::Reply if members_differ => self.send_members(sender, effects),
            HelloKind::Request | HelloKind::Reply | HelloKind::Alive => {}
        }
    }

    pub(super) fn handle_members(
        &mut self,
        now_ms: Millis,
        members: Vec<Member>,
        should_relay: bool,
        sender: SocketAddr,
        effects: &mut Vec<Effect>,
    ) {
        self.joins.remove_announced(&members);
        self.record_members(now_ms, members.clone(), effects);
        if should_relay {
            self.send(self.hello_message(HelloKind::Alive), vec![sender], effects);
            self.relay(Message::Members { members, should_relay: false }, effects);
        }
    }

    pub(super) fn handle_state_update(
        &mut self,
        now_ms: Millis,
        update: StateUpdate,
        should_relay: bool,
        sender: SocketAddr,
        effects: &mut Vec<Effect>,
    ) {
        self.record_member(now_ms, update.reader.clone(), effects);
        self.extend_bootstrap_wait(now_ms, OFFER_WAIT_MS);
        // Updates from a reader always have a list of changes, even an empty one; offers have none.
        if update.changes.is_some() {
            self.members.record_read(now_ms, &update.reader.host);
        }
        if should_relay {
            self.send(self.hello_message(HelloKind::Alive), vec![sender], effects);
        }
        let is_gapless = self.apply_update_changes(now_ms, &update, effects);
        let digest_differs =
            self.state.revision() == update.revision && self.state.digest() != update.digest;
        let known = self.state.known_revisions();
        let (min_revision, members_digest) = (update.revision, self.members.digest());
        match is_gapless {
            false => {
                let pending_update = Some(update).filter(|_| should_relay);
                let request = FetchRequest { known, min_revision, members_digest };
                self.fetch(now_ms, sender, request, pending_update, effects);
            }
            true => {
                if digest_differs {
                    let request = FetchRequest {
                        known: known.without_upstreams(),
                        min_revision,
                        members_digest,
                    };
                    self.fetch(now_ms, sender, request, None, effects);
                }
                if should_relay {
                    self.relay_update(update, effects);
                }
            }
        }
    }

    /// Returns false if changes before the update's are missing here.
    fn apply_update_changes(
        &mut self,
        now_ms: Millis,
        update: &StateUpdate,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let at_ms = now_ms - update.age_ms;
        let changes = update.changes.clone().unwrap_or_default();
        let own_revision = self.state.revision();
        let is_complete = update.after <= own_revision && update.after <= update.revision;
        let revision = if is_complete { update.revision } else { own_revision };
        let (state_changes, is_gapless) =
            self.state.apply_changes(at_ms, update.after, revision, changes);
        effects.push(Effect::StateUpdated {
            state_changes,
            from: Origin::Peer(update.reader.host.clone()),
        });
        is_gapless && is_complete
    }

    pub(super) fn handle_read_failed(
        &mut self,
        now_ms: Millis,
        reader: Member,
        should_relay: bool,
        sender: SocketAddr,
        effects: &mut Vec<Effect>,
    ) {
        self.record_member(now_ms, reader.clone(), effects);
        self.members.record_failed_read(now_ms, &reader.host);
        if should_relay {
            self.send(self.hello_message(HelloKind::Alive), vec![sender], effects);
            self.relay(Message::ReadFailed { reader, should_relay: false }, effects);
        }
    }

    /// Fetches what is missing, from the sender first; relays the update after that.
    fn fetch(
        &mut self,
        now_ms: Millis,
        sender: SocketAddr,
        request: FetchRequest,
        pending_update: Option<StateUpdate>,
        effects: &mut Vec<Effect>,
    ) {
        let is_too_early =
            self.last_fetch_ms.is_some_and(|at_ms| now_ms.since(at_ms) < MIN_FETCH_INTERVAL_MS)
                && self.state.confirmed_ms().is_some();
        if is_too_early || self.is_fetching {
            pending_update.into_iter().for_each(|update| self.relay_update(update, effects));
            return;
        }
        let from = self.fetch_candidates(sender);
        let (begun_ms, delay_ms) = (now_ms, Millis::ZERO);
        let fetch = Fetch { from, request, delay_ms, begun_ms, pending_update };
        self.begin_fetch(now_ms, fetch, effects);
    }

    pub(super) fn begin_fetch(&mut self, now_ms: Millis, fetch: Fetch, effects: &mut Vec<Effect>) {
        self.is_fetching = true;
        self.last_fetch_ms = Some(now_ms);
        effects.push(Effect::Fetch(fetch));
    }

    /// The hosts to fetch from: the sender, then local-zone peers, which may have it by now, as
    /// a host answers few large fetches at once. While this host has no full snapshot, local-zone
    /// peers come first: they have the same, and their traffic is free.
    pub(super) fn fetch_candidates(&mut self, sender: SocketAddr) -> Vec<SocketAddr> {
        let mut local_peers = self.members.local_zone_peers();
        let (candidates, _) = local_peers.partial_shuffle(&mut self.rng, MAX_LOCAL_CANDIDATES);
        let candidates = candidates.iter().copied().filter(|&address| address != sender);
        match self.state.confirmed_ms() {
            None => candidates.chain([sender]).collect(),
            Some(_) => std::iter::once(sender).chain(candidates).collect(),
        }
    }

    pub(super) fn record_member(
        &mut self,
        now_ms: Millis,
        member: Member,
        effects: &mut Vec<Effect>,
    ) {
        self.record_members(now_ms, vec![member], effects);
    }

    fn record_members(&mut self, now_ms: Millis, members: Vec<Member>, effects: &mut Vec<Effect>) {
        let mut discovered = Vec::new();
        for member in members {
            let peer = member.host.clone();
            if self.members.record(now_ms, member) {
                discovered.push(peer);
            }
        }
        if !discovered.is_empty() {
            effects.push(Effect::PeersDiscovered(discovered));
        }
    }
}
