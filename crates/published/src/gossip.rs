//! What a host does about what its peers tell it.
//!
//! [`Gossip`] is the aggregate of what this host believes of the source and of the fleet.
//! Messages, readings and the time go in, [`Effect`]s come out; whoever drives it sends
//! them. A lost message is found by revision and digest, and what is missing is then
//! fetched from whoever told of it.

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

/// Part of the greetings that goes to a seed: after a split each side knows only its own.
const SEED_GREETINGS: f64 = 0.1;

/// Part that stays within the availability zone, where bytes cost nothing: lists that differ are
/// exchanged whole, and what one host of a zone learned soon is known to all of it.
const NEAR_GREETINGS: f64 = 0.7;

/// What a host believes, and its part in telling it.
#[derive(Debug)]
pub struct Gossip {
    members: Members,
    state: PublishedState,
    rng: Pcg64Mcg,
    is_fetching: bool,
    fetched_ms: Option<Millis>,
    /// When a first picture was first promised.
    promised_ms: Option<Millis>,
    /// Until then it is on its way.
    promised_until_ms: Millis,
    /// Seeds that were asked for it so far.
    seeds_asked: usize,
    joins: JoinState,
    is_leaving: bool,
}

impl Gossip {
    /// A host that knows itself only.
    pub fn new(own: Member, rng: Pcg64Mcg) -> Gossip {
        Gossip {
            members: Members::new(own),
            state: PublishedState::default(),
            rng,
            is_fetching: false,
            fetched_ms: None,
            promised_ms: None,
            promised_until_ms: Millis::ZERO,
            seeds_asked: 0,
            joins: JoinState::default(),
            is_leaving: false,
        }
    }

    /// The hosts heard of.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// What is believed to be published.
    pub fn published_state(&self) -> &PublishedState {
        &self.state
    }

    /// Whether a first picture was offered and is on its way.
    pub fn is_bootstrap_pending(&self, now_ms: Millis) -> bool {
        now_ms < self.promised_until_ms && self.state.confirmed_ms().is_none()
    }

    /// Greets one peer, or one of the seeds: what was lost of the others' lists is made up for.
    pub fn send_hello(&mut self, seeds: &[SocketAddr]) -> Vec<Effect> {
        let near = self.members.local_zone_peers();
        let to = match self.rng.random::<f64>() {
            drawn if drawn < SEED_GREETINGS => seeds.choose(&mut self.rng).copied(),
            drawn if drawn < SEED_GREETINGS + NEAR_GREETINGS => near.choose(&mut self.rng).copied(),
            _ => self.members.others().choose(&mut self.rng).map(|member| member.address),
        };
        let to = to.or_else(|| seeds.choose(&mut self.rng).copied()).into_iter().collect();
        let mut effects = Vec::new();
        self.send(self.hello(HelloKind::Request), to, &mut effects);
        effects
    }

    /// Takes a whole reading of its own, and tells the fleet.
    pub fn apply_snapshot(&mut self, now_ms: Millis, snapshot: Snapshot) -> Vec<Effect> {
        let before = self.state.revision();
        let state_changes = self.state.apply_snapshot(now_ms, snapshot);
        // Told without the changes, peers that hold less find a gap and fetch.
        let after = if state_changes.is_empty() { before } else { self.state.revision() };
        let mut effects = vec![Effect::StateUpdated { state_changes, from: Origin::Source }];
        self.set_initial_read(false);
        self.answer_waiting(now_ms, &mut effects);
        self.tell_news(now_ms, after, Vec::new(), &mut effects);
        effects
    }

    /// Takes the changes that it read itself, and tells the fleet.
    pub fn apply_changes(
        &mut self,
        now_ms: Millis,
        after: Revision,
        revision: Revision,
        changes: &[Change],
    ) -> Vec<Effect> {
        let told = self.state.with_routing_patches(changes);
        let (state_changes, _) = self.state.apply_changes(now_ms, after, revision, told.clone());
        let mut effects = vec![Effect::StateUpdated { state_changes, from: Origin::Source }];
        self.tell_news(now_ms, after, told, &mut effects);
        effects
    }

    /// Tells the fleet that this host could not read.
    pub fn broadcast_read_failure(&mut self, now_ms: Millis) -> Vec<Effect> {
        let reader = self.members.own().clone();
        let mut effects = Vec::new();
        self.set_initial_read(false);
        let unread = |should_relay| Message::ReadFailed { reader: reader.clone(), should_relay };
        self.tell_fleet(now_ms, unread, &mut effects);
        effects
    }

    /// Whom to tell what all hosts are to hear.
    pub fn recipients(&mut self, now_ms: Millis) -> Vec<Recipient> {
        match self.is_leaving {
            true => Vec::new(),
            false => self.members.recipients(now_ms),
        }
    }

    /// Shows a peer whose message is passed on that this host is there.
    pub fn acknowledge_relay(&self, to: SocketAddr) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.send(self.hello(HelloKind::Alive), vec![to], &mut effects);
        effects
    }

    /// Tells all hosts that this one leaves; nothing is said after that.
    pub fn leave(&mut self) -> Vec<Effect> {
        let own = self.members.own();
        let bye = Message::Leave { host: own.host.clone(), incarnation: own.incarnation };
        let to = self.members.others().map(|member| member.address).collect();
        let mut effects = Vec::new();
        self.send(bye, to, &mut effects);
        self.is_leaving = true;
        effects
    }

    /// Drops what time has settled: lapsed entries, and hosts that were silent for long.
    pub fn expire(&mut self, now_ms: Millis) -> Vec<Effect> {
        let mut effects = Vec::new();
        let state_changes = self.state.expire(now_ms);
        if !state_changes.is_empty() {
            effects.push(Effect::StateUpdated { state_changes, from: Origin::Expiry });
        }
        effects.extend(self.members.expire(now_ms).into_iter().map(Effect::PeerRemoved));
        if self.state.is_partial() {
            self.fetch_from_any(now_ms, &mut effects);
        }
        effects
    }

    /// Takes a peer's message.
    pub fn handle_message(
        &mut self,
        now_ms: Millis,
        message: Message,
        sender: SocketAddr,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        match message {
            Message::Join { from, is_redirected } => {
                self.take_join(now_ms, from, is_redirected, &mut effects);
            }
            Message::JoinReply(reply) => self.take_join_reply(now_ms, *reply, &mut effects),
            Message::Hello { from, kind, members_digest } => {
                self.take_hello(now_ms, from, (kind, members_digest), sender, &mut effects);
            }
            Message::Members { members, should_relay } => {
                self.take_known(now_ms, members, should_relay, sender, &mut effects);
            }
            Message::StateUpdate { update, should_relay } => {
                self.take_news(now_ms, update, should_relay, sender, &mut effects);
            }
            Message::ReadFailed { reader, should_relay } => {
                self.take_unread(now_ms, reader, should_relay, sender, &mut effects);
            }
            Message::Leave { host, incarnation } => {
                if self.members.remove_leaving(now_ms, &host, incarnation) {
                    effects.push(Effect::PeerRemoved(host));
                }
            }
        }
        effects
    }

    /// What a peer lacks; none before this host holds what is wanted.
    pub fn reply_to_fetch(&self, now_ms: Millis, request: FetchRequest) -> Option<FetchReply> {
        let age_ms = self.state.age_ms(now_ms)?;
        let is_help = self.state.revision() >= request.min_revision;
        let knows_more = request.members_digest != self.members.digest();
        is_help.then(|| FetchReply {
            age_ms,
            catch_up: self.state.catch_up(request.known),
            members: if knows_more { self.members.all() } else { Vec::new() },
        })
    }

    /// Takes the answer to a fetch, if one came; then passes on what was waiting for it.
    pub fn finish_fetch(
        &mut self,
        now_ms: Millis,
        fetch: Fetch,
        answer: Option<(SocketAddr, FetchReply)>,
    ) -> Vec<Effect> {
        self.is_fetching = false;
        let mut effects = Vec::new();
        match answer {
            Some((teller, told)) => self.catch_up(now_ms, teller, told, &mut effects),
            None => {
                let asked = fetch.from.last().and_then(|&address| self.members.host_at(address));
                let from = Origin::of(asked);
                effects.push(Effect::FetchEnded { from, revision: None, is_full: false });
            }
        }
        if let Some(update) = fetch.pending_update {
            let age_ms = update.age_ms + now_ms.since(fetch.begun_ms);
            self.pass_on_news(StateUpdate { age_ms, ..update }, &mut effects);
        }
        effects
    }
}
