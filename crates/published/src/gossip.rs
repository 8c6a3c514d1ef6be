//! A host's part in the gossip protocol.
//!
//! [`Gossip`] holds what this host knows of the source and of the fleet. Messages, reads of the
//! source and the time go in; [`Effect`]s come out, and the caller carries them out. Revisions
//! and digests reveal a lost message; what is missing is then fetched from the sender.

mod effect;
mod joining;
mod message;
mod receiving;
mod sending;

pub use effect::{Effect, Fetch, FetchReply, FetchRequest, Origin};
pub use joining::{Bootstrap, JoinReply};
pub use message::{HelloKind, Message, StateUpdate};

use crate::{Change, Member, Members, PublishedState, Recipient, Revision, Snapshot};
use domain::Millis;
use joining::JoinState;
use rand::RngExt;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;

/// Share of hello messages that goes to a seed, so that the halves of a split fleet meet again.
const SEED_HELLO_SHARE: f64 = 0.1;

/// Share of hello messages that stays in the local availability zone, where traffic is free: member
/// lists that differ are exchanged in full, and what one host learns soon reaches its whole zone.
const LOCAL_ZONE_HELLO_SHARE: f64 = 0.7;

/// What a host knows, and its part in spreading it.
#[derive(Debug)]
pub struct Gossip {
    members: Members,
    state: PublishedState,
    rng: Pcg64Mcg,
    is_fetching: bool,
    last_fetch_ms: Option<Millis>,
    /// When a peer first promised a bootstrap snapshot.
    promised_at_ms: Option<Millis>,
    /// End of the time in which this host waits for that snapshot.
    wait_until_ms: Millis,
    /// Number of join messages sent so far; it selects the next seed.
    joins_sent: usize,
    joins: JoinState,
    is_leaving: bool,
}

impl Gossip {
    /// A host that knows only itself.
    pub fn new(own: Member, rng: Pcg64Mcg) -> Gossip {
        Gossip {
            members: Members::new(own),
            state: PublishedState::default(),
            rng,
            is_fetching: false,
            last_fetch_ms: None,
            promised_at_ms: None,
            wait_until_ms: Millis::ZERO,
            joins_sent: 0,
            joins: JoinState::default(),
            is_leaving: false,
        }
    }

    /// The hosts that this one knows.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The published state as this host knows it.
    pub fn published_state(&self) -> &PublishedState {
        &self.state
    }

    /// Whether a fetch of what is missing is under way.
    pub fn is_fetching(&self) -> bool {
        self.is_fetching
    }

    /// Whether a peer has promised the first snapshot, and it may still arrive.
    pub fn is_bootstrap_pending(&self, now_ms: Millis) -> bool {
        now_ms < self.wait_until_ms && self.state.confirmed_ms().is_none()
    }

    /// Sends a hello to one peer or seed, to repair what was lost of the member lists.
    pub fn send_hello(&mut self, seeds: &[SocketAddr]) -> Vec<Effect> {
        let local = self.members.local_zone_peers();
        let to = match self.rng.random::<f64>() {
            drawn if drawn < SEED_HELLO_SHARE => seeds.choose(&mut self.rng).copied(),
            drawn if drawn < SEED_HELLO_SHARE + LOCAL_ZONE_HELLO_SHARE => {
                local.choose(&mut self.rng).copied()
            }
            _ => self.members.others().choose(&mut self.rng).map(|member| member.address),
        };
        let to = to.or_else(|| seeds.choose(&mut self.rng).copied()).into_iter().collect();
        let mut effects = Vec::new();
        self.send(self.hello_message(HelloKind::Request), to, &mut effects);
        effects
    }

    /// Merges a full snapshot that this host read, and broadcasts the new revision.
    pub fn apply_snapshot(&mut self, now_ms: Millis, snapshot: Snapshot) -> Vec<Effect> {
        let before = self.state.revision();
        let state_changes = self.state.apply_snapshot(now_ms, snapshot);
        // Without the changes in the message, peers that lack some see a gap and fetch.
        let after = if state_changes.is_empty() { before } else { self.state.revision() };
        let mut effects = vec![Effect::StateUpdated { state_changes, from: Origin::Source }];
        self.set_initial_read(false);
        self.answer_next_joins(now_ms, &mut effects);
        self.broadcast_update(now_ms, after, Vec::new(), &mut effects);
        effects
    }

    /// Merges changes that this host read, and broadcasts them.
    pub fn apply_changes(
        &mut self,
        now_ms: Millis,
        after: Revision,
        revision: Revision,
        changes: &[Change],
    ) -> Vec<Effect> {
        let patched = self.state.with_routing_patches(changes);
        let (state_changes, _) = self.state.apply_changes(now_ms, after, revision, patched.clone());
        let mut effects = vec![Effect::StateUpdated { state_changes, from: Origin::Source }];
        self.broadcast_update(now_ms, after, patched, &mut effects);
        effects
    }

    /// Broadcasts that this host failed to read the source.
    pub fn broadcast_read_failure(&mut self, now_ms: Millis) -> Vec<Effect> {
        let reader = self.members.own().clone();
        let mut effects = Vec::new();
        self.set_initial_read(false);
        let read_failed =
            |should_relay| Message::ReadFailed { reader: reader.clone(), should_relay };
        self.broadcast(now_ms, read_failed, &mut effects);
        effects
    }

    /// The hosts that a broadcast is sent to.
    pub fn recipients(&mut self, now_ms: Millis) -> Vec<Recipient> {
        match self.is_leaving {
            true => Vec::new(),
            false => self.members.recipients(now_ms),
        }
    }

    /// Shows the sender of a message to be relayed that this host is alive.
    pub fn acknowledge_relay(&self, to: SocketAddr) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.send(self.hello_message(HelloKind::Alive), vec![to], &mut effects);
        effects
    }

    /// Announces to all hosts that this one leaves; it sends nothing after that.
    pub fn leave(&mut self) -> Vec<Effect> {
        let own = self.members.own();
        let leave = Message::Leave { host: own.host.clone(), incarnation: own.incarnation };
        let to = self.members.others().map(|member| member.address).collect();
        let mut effects = Vec::new();
        self.send(leave, to, &mut effects);
        self.is_leaving = true;
        effects
    }

    /// Removes lapsed entries and unresponsive hosts; fetches what is missing of a partial state.
    pub fn expire(&mut self, now_ms: Millis) -> Vec<Effect> {
        let mut effects = Vec::new();
        let state_changes = self.state.expire(now_ms);
        if !state_changes.is_empty() {
            effects.push(Effect::StateUpdated { state_changes, from: Origin::Expiry });
        }
        effects.extend(self.members.expire(now_ms).into_iter().map(Effect::PeerRemoved));
        if self.state.is_partial() {
            self.fetch_snapshot_from_any(now_ms, &mut effects);
        }
        effects
    }

    /// Handles a peer's message.
    pub fn handle_message(
        &mut self,
        now_ms: Millis,
        message: Message,
        sender: SocketAddr,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        match message {
            Message::Join { from, is_redirected } => {
                self.handle_join(now_ms, from, is_redirected, &mut effects);
            }
            Message::JoinReply(reply) => self.handle_join_reply(now_ms, *reply, &mut effects),
            Message::Hello { from, kind, members_digest } => {
                self.handle_hello(now_ms, from, (kind, members_digest), sender, &mut effects);
            }
            Message::Members { members, should_relay } => {
                self.handle_members(now_ms, members, should_relay, sender, &mut effects);
            }
            Message::StateUpdate { update, should_relay } => {
                self.handle_state_update(now_ms, update, should_relay, sender, &mut effects);
            }
            Message::ReadFailed { reader, should_relay } => {
                self.handle_read_failed(now_ms, reader, should_relay, sender, &mut effects);
            }
            Message::Leave { host, incarnation } => {
                if self.members.remove_leaving(now_ms, &host, incarnation) {
                    effects.push(Effect::PeerRemoved(host));
                }
            }
        }
        effects
    }

    /// Returns what a peer lacks, or `None` if this host lacks the requested revision itself.
    pub fn reply_to_fetch(&self, now_ms: Millis, request: FetchRequest) -> Option<FetchReply> {
        let age_ms = self.state.age_ms(now_ms)?;
        let has_revision = self.state.revision() >= request.min_revision;
        let members_differ = request.members_digest != self.members.digest();
        has_revision.then(|| FetchReply {
            age_ms,
            catch_up: self.state.catch_up(request.known),
            members: if members_differ { self.members.all() } else { Vec::new() },
        })
    }

    /// Ends a fetch: merges the reply, if one came, and relays the update that waited for it.
    pub fn finish_fetch(
        &mut self,
        now_ms: Millis,
        fetch: Fetch,
        reply: Option<(SocketAddr, FetchReply)>,
    ) -> Vec<Effect> {
        self.is_fetching = false;
        let mut effects = Vec::new();
        match reply {
            Some((peer, reply)) => self.apply_fetch_reply(now_ms, peer, reply, &mut effects),
            None => {
                let last_asked =
                    fetch.from.last().and_then(|&address| self.members.host_at(address));
                let from = Origin::of(last_asked);
                effects.push(Effect::FetchEnded { from, revision: None, is_full: false });
            }
        }
        if let Some(update) = fetch.pending_update {
            let age_ms = update.age_ms + now_ms.since(fetch.begun_ms);
            self.relay_update(StateUpdate { age_ms, ..update }, &mut effects);
        }
        effects
    }
}
