//! How a host that has just started comes to its first picture.
//!
//! It serves first and meets the others later. It asks one seed after the other; a seed that
//! holds the picture answers in one datagram with what the host needs to begin
//! ([`BootstrapSnapshot`]), and says where the rest is to be had. The rest comes over a
//! connection, from a host of the same availability zone that joined before, so the time until
//! all hold it grows with the logarithm of the fleet. Nobody reads the source while a picture is
//! on its way. Answering is the part of [`answering`].

mod answering;

pub(super) use answering::JoinState;

use super::{Effect, Fetch, FetchRequest, Gossip, Message, Origin};
use crate::{BootstrapSnapshot, Entry, Item, Member, Revision};
use domain::{HostId, Millis};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A host that told that it reads the source is waited for so long: the whole of a large
/// source, on a small machine.
const READING_MS: Millis = Millis(800);

/// One that holds nothing and does not read is asked again after a moment.
const NOT_READING_MS: Millis = Millis(60);

/// How long the rest of a picture is waited for; then the host reads by itself. A host that
/// nothing harmed for 3 s has to hold what is published.
const REST_MS: Millis = Millis(2_700);

/// The answer to a host that joins.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JoinReply {
    /// Who answers.
    pub from: Member,
    /// Hosts that it knows.
    pub host_count: u32,
    /// What it tells of the picture.
    pub bootstrap: Bootstrap,
}

/// What a host that joins is told of the picture.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Bootstrap {
    /// Nothing yet.
    NotReady {
        /// Whether the source is being read there.
        is_reading: bool,
    },
    /// Another host tells it: too many ask here.
    Redirect {
        /// Where that host hears its peers.
        to: SocketAddr,
    },
    /// All of it.
    Complete(BootstrapSnapshot),
    /// What to begin with, and where the rest is to be had.
    Partial {
        /// What to begin with.
        snapshot: BootstrapSnapshot,
        /// Hosts that have the rest, or will have it soon.
        rest_from: Vec<SocketAddr>,
        /// When they will.
        after_ms: Millis,
    },
}

impl JoinReply {
    /// The same for a host that has to fetch everything: the items don't fit a datagram.
    pub fn without_items(&self) -> JoinReply {
        let own = self.from.address;
        let bootstrap = match &self.bootstrap {
            Bootstrap::NotReady { .. } | Bootstrap::Redirect { .. } => self.bootstrap.clone(),
            Bootstrap::Complete(snapshot) => Bootstrap::Partial {
                snapshot: snapshot.without_items(),
                rest_from: vec![own],
                after_ms: Millis::ZERO,
            },
            Bootstrap::Partial { snapshot, rest_from, after_ms } => Bootstrap::Partial {
                snapshot: snapshot.without_items(),
                rest_from: rest_from.clone(),
                after_ms: *after_ms,
            },
        };
        JoinReply { bootstrap, ..self.clone() }
    }
}

impl Gossip {
    /// Whether this host still has to find somebody who tells it the picture, or knows nobody.
    pub fn is_joining(&self, now_ms: Millis) -> bool {
        match self.state.confirmed_ms() {
            Some(_) => self.members.count() <= 1,
            None => !(self.state.is_partial() && self.is_bootstrap_pending(now_ms)),
        }
    }

    /// Asks the next of the seeds.
    pub fn join(&mut self, seeds: &[SocketAddr]) -> Vec<Effect> {
        let mut effects = Vec::new();
        if seeds.is_empty() {
            return effects;
        }
        // Hosts that start together don't all ask the same.
        let first = self.members.own().seed() as usize;
        let seed = seeds[first.wrapping_add(self.joins_sent) % seeds.len()];
        self.joins_sent += 1;
        let from = self.members.own().clone();
        self.send(Message::Join { from, is_redirected: false }, vec![seed], &mut effects);
        effects
    }

    /// Takes the beginning of a whole reading of its own: enough to serve, and to help others to.
    pub fn apply_partial_items(&mut self, now_ms: Millis, items: Vec<Entry<Item>>) -> Vec<Effect> {
        let state_changes = self.state.apply_items(items);
        let mut effects = vec![Effect::StateUpdated { state_changes, from: Origin::Source }];
        if self.state.is_partial() {
            self.answer_next_joins(now_ms, &mut effects);
        }
        effects
    }

    pub(super) fn handle_join_reply(
        &mut self,
        now_ms: Millis,
        reply: JoinReply,
        effects: &mut Vec<Effect>,
    ) {
        let JoinReply { from, host_count, bootstrap } = reply;
        let teller = from.host.clone();
        self.record_member(now_ms, from, effects);
        self.members.record_response(&teller);
        self.members.record_fleet_size(now_ms, host_count);
        if self.state.confirmed_ms().is_some() {
            return;
        }
        match bootstrap {
            Bootstrap::NotReady { is_reading: true } => {
                self.extend_bootstrap_wait(now_ms, READING_MS)
            }
            Bootstrap::NotReady { is_reading: false } => {
                self.extend_bootstrap_wait(now_ms, NOT_READING_MS)
            }
            Bootstrap::Redirect { to } => {
                self.extend_bootstrap_wait(now_ms, READING_MS);
                let from = self.members.own().clone();
                self.send(Message::Join { from, is_redirected: true }, vec![to], effects);
            }
            Bootstrap::Complete(snapshot) => {
                self.apply_bootstrap(now_ms, teller, snapshot, effects)
            }
            // Two that read and tell each other what they have so far must not both wait.
            Bootstrap::Partial { snapshot, .. } if self.joins.is_reading() => {
                self.apply_bootstrap(now_ms, teller, snapshot, effects);
            }
            Bootstrap::Partial { snapshot, rest_from, after_ms } => {
                self.extend_bootstrap_wait(now_ms, REST_MS);
                let wanted = snapshot.revision;
                self.apply_bootstrap(now_ms, teller, snapshot, effects);
                self.fetch_rest(now_ms, wanted, (rest_from, after_ms), effects);
            }
        }
    }

    /// Something of the first picture is on its way; promises don't go on for ever.
    pub(super) fn extend_bootstrap_wait(&mut self, now_ms: Millis, for_ms: Millis) {
        let first_ms = *self.promised_at_ms.get_or_insert(now_ms);
        let until_ms = (now_ms + for_ms).min(first_ms + REST_MS);
        self.wait_until_ms = self.wait_until_ms.max(until_ms);
    }

    fn apply_bootstrap(
        &mut self,
        now_ms: Millis,
        teller: HostId,
        snapshot: BootstrapSnapshot,
        effects: &mut Vec<Effect>,
    ) {
        let state_changes = self.state.apply_bootstrap(now_ms - snapshot.age_ms, snapshot);
        effects.push(Effect::StateUpdated { state_changes, from: Origin::Peer(teller) });
        if self.state.can_bootstrap() {
            self.answer_next_joins(now_ms, effects);
        }
    }

    /// The rest did not come from where it was promised: any host is asked.
    pub(super) fn fetch_from_any(&mut self, now_ms: Millis, effects: &mut Vec<Effect>) {
        let others: Vec<SocketAddr> = self.members.others().map(|m| m.address).collect();
        let Some(&any) = others.choose(&mut self.rng) else { return };
        let from = self.fetch_candidates(any);
        self.fetch_rest(now_ms, self.state.revision(), (from, Millis::ZERO), effects);
    }

    fn fetch_rest(
        &mut self,
        now_ms: Millis,
        min_revision: Revision,
        (from, delay_ms): (Vec<SocketAddr>, Millis),
        effects: &mut Vec<Effect>,
    ) {
        if self.is_fetching {
            return;
        }
        let (known, members_digest) = (self.state.known_revisions(), self.members.digest());
        let request = FetchRequest { known, min_revision, members_digest };
        let fetch = Fetch { from, request, delay_ms, begun_ms: now_ms, pending_update: None };
        self.begin_fetch(now_ms, fetch, effects);
    }
}
