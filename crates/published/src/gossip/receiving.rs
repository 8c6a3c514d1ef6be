//! What a host takes from its peers' messages.

use super::{
    Effect, Fetch, FetchReply, FetchRequest, Gossip, HelloKind, Message, Origin, StateUpdate,
};
use crate::{CatchUp, Member};
use domain::Millis;
use rand::seq::SliceRandom;
use std::net::SocketAddr;

/// How long an offered picture is waited for: a fetch on a slow machine.
const OFFER_MS: Millis = Millis(250);

/// Shortest time between two fetches.
const FETCH_PAUSE_MS: Millis = Millis(150);

/// Neighbours that are asked where the teller is busy: among forty the first that hold a
/// large change are found within some rounds.
const MOST_NEIGHBOURS: usize = 8;

impl Gossip {
    pub(super) fn apply_fetch_reply(
        &mut self,
        now_ms: Millis,
        teller: SocketAddr,
        told: FetchReply,
        effects: &mut Vec<Effect>,
    ) {
        let from = Origin::of(self.members.host_at(teller));
        let revision = Some(told.catch_up.revision());
        let is_full = matches!(told.catch_up, CatchUp::Snapshot(_));
        effects.push(Effect::FetchEnded { from: from.clone(), revision, is_full });
        // What is missing still shows at the next news.
        let (state_changes, _) = self.state.apply_catch_up(now_ms - told.age_ms, told.catch_up);
        effects.push(Effect::StateUpdated { state_changes, from });
        self.record_members(now_ms, told.members, effects);
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
        let knows_others = members_digest != self.members.digest();
        match kind {
            HelloKind::Request if knows_others => {
                self.send_members(sender, effects);
                self.send(self.hello_message(HelloKind::Reply), vec![sender], effects);
                self.offer_state(now_ms, sender, effects);
            }
            HelloKind::Reply if knows_others => self.send_members(sender, effects),
            HelloKind::Request | HelloKind::Reply | HelloKind::Alive => {}
        }
    }

    pub(super) fn handle_members(
        &mut self,
        now_ms: Millis,
        members: Vec<Member>,
        should_relay: bool,
        teller: SocketAddr,
        effects: &mut Vec<Effect>,
    ) {
        self.joins.remove_announced(&members);
        self.record_members(now_ms, members.clone(), effects);
        if should_relay {
            self.send(self.hello_message(HelloKind::Alive), vec![teller], effects);
            self.relay(Message::Members { members, should_relay: false }, effects);
        }
    }

    pub(super) fn handle_state_update(
        &mut self,
        now_ms: Millis,
        update: StateUpdate,
        should_relay: bool,
        teller: SocketAddr,
        effects: &mut Vec<Effect>,
    ) {
        self.record_member(now_ms, update.reader.clone(), effects);
        self.extend_bootstrap_wait(now_ms, OFFER_MS);
        // Only a host that reads tells changes, even none; one that offers tells none.
        if update.changes.is_some() {
            self.members.record_read(now_ms, &update.reader.host);
        }
        if should_relay {
            self.send(self.hello_message(HelloKind::Alive), vec![teller], effects);
        }
        let is_gapless = self.apply_update_changes(now_ms, &update, effects);
        let differs =
            self.state.revision() == update.revision && self.state.digest() != update.digest;
        let known = self.state.known_revisions();
        let (min_revision, members_digest) = (update.revision, self.members.digest());
        match is_gapless {
            false => {
                let pending_update = Some(update).filter(|_| should_relay);
                let request = FetchRequest { known, min_revision, members_digest };
                self.fetch(now_ms, teller, request, pending_update, effects);
            }
            true => {
                if differs {
                    let request = FetchRequest {
                        known: known.without_upstreams(),
                        min_revision,
                        members_digest,
                    };
                    self.fetch(now_ms, teller, request, None, effects);
                }
                if should_relay {
                    self.relay_update(update, effects);
                }
            }
        }
    }

    /// False if something before them is missing.
    fn apply_update_changes(
        &mut self,
        now_ms: Millis,
        update: &StateUpdate,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let at_ms = now_ms - update.age_ms;
        let changes = update.changes.clone().unwrap_or_default();
        let held = self.state.revision();
        let is_complete = update.after <= held && update.after <= update.revision;
        let revision = if is_complete { update.revision } else { held };
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
        teller: SocketAddr,
        effects: &mut Vec<Effect>,
    ) {
        self.record_member(now_ms, reader.clone(), effects);
        self.members.record_failed_read(now_ms, &reader.host);
        if should_relay {
            self.send(self.hello_message(HelloKind::Alive), vec![teller], effects);
            self.relay(Message::ReadFailed { reader, should_relay: false }, effects);
        }
    }

    /// Asks whoever told of something newer; what waits for it is passed on after that.
    fn fetch(
        &mut self,
        now_ms: Millis,
        teller: SocketAddr,
        request: FetchRequest,
        pending_update: Option<StateUpdate>,
        effects: &mut Vec<Effect>,
    ) {
        let is_early = self.last_fetch_ms.is_some_and(|at_ms| now_ms.since(at_ms) < FETCH_PAUSE_MS)
            && self.state.confirmed_ms().is_some();
        if is_early || self.is_fetching {
            pending_update.into_iter().for_each(|update| self.relay_update(update, effects));
            return;
        }
        let from = self.fetch_candidates(teller);
        let (begun_ms, delay_ms) = (now_ms, Millis::ZERO);
        let fetch = Fetch { from, request, delay_ms, begun_ms, pending_update };
        self.begin_fetch(now_ms, fetch, effects);
    }

    pub(super) fn begin_fetch(&mut self, now_ms: Millis, fetch: Fetch, effects: &mut Vec<Effect>) {
        self.is_fetching = true;
        self.last_fetch_ms = Some(now_ms);
        effects.push(Effect::Fetch(fetch));
    }

    /// Whom to ask: who told of it, then neighbours that may hold it by now, as a host tells
    /// few at once what is large. For a first picture neighbours come first: they have the
    /// same, and their bytes are not paid for.
    pub(super) fn fetch_candidates(&mut self, teller: SocketAddr) -> Vec<SocketAddr> {
        let mut neighbours = self.members.local_zone_peers();
        let (near, _) = neighbours.partial_shuffle(&mut self.rng, MOST_NEIGHBOURS);
        let near = near.iter().copied().filter(|&address| address != teller);
        match self.state.confirmed_ms() {
            None => near.chain([teller]).collect(),
            Some(_) => std::iter::once(teller).chain(near).collect(),
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
        let mut heard = Vec::new();
        for member in members {
            let peer = member.host.clone();
            if self.members.record(now_ms, member) {
                heard.push(peer);
            }
        }
        if !heard.is_empty() {
            effects.push(Effect::PeersDiscovered(heard));
        }
    }
}
