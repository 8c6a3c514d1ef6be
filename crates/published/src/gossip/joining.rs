//! How a host that has just started gets the published state.
//!
//! It sends a join message to one seed after the other. A seed that has the state answers with a
//! [`BootstrapSnapshot`] in one datagram, enough to serve with, and with the hosts to fetch the
//! full snapshot from. That one comes over a connection, from a host of the same availability zone
//! that joined earlier, so the time until all have it grows with the logarithm of the fleet. A
//! host that waits for it doesn't read the source. [`answering`] is the seed's part.

mod answering;

pub(super) use answering::JoinState;

use super::{Effect, Fetch, FetchRequest, Gossip, Message, Origin};
use crate::{BootstrapSnapshot, Entry, Item, Member, Revision};
use domain::{HostId, Millis};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// How long to wait for a peer that is reading the source: a large source, on a small machine.
const READER_WAIT_MS: Millis = Millis(800);

/// How long to wait after an answer from a peer that neither has the state nor reads it.
const REJOIN_WAIT_MS: Millis = Millis(60);

/// How long to wait for the full snapshot before this host reads the source itself. A host that
/// has been undisturbed for 3 s must have what is published.
const SNAPSHOT_WAIT_MS: Millis = Millis(2_700);

/// The answer to a host that joins.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JoinReply {
    /// The host that answers.
    pub from: Member,
    /// Number of hosts that share allowances, as far as it knows.
    pub host_count: u32,
    /// What it sends of the published state.
    pub bootstrap: Bootstrap,
}

/// What a host that joins gets of the published state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Bootstrap {
    /// Nothing yet.
    NotReady {
        /// Whether the answering host is reading the source.
        is_reading: bool,
    },
    /// Another host will answer, since too many have joined here.
    Redirect {
        /// The address where that host receives gossip.
        to: SocketAddr,
    },
    /// Everything.
    Complete(BootstrapSnapshot),
    /// A part to serve with, and where to fetch the full snapshot.
    Partial {
        /// The part.
        snapshot: BootstrapSnapshot,
        /// Hosts that have the full snapshot, or will have it soon.
        rest_from: Vec<SocketAddr>,
        /// Delay before they are expected to have it.
        after_ms: Millis,
    },
}

impl JoinReply {
    /// The same without items that don't fit a datagram; the host fetches everything.
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
    /// Whether this host needs a join answer: for the state, or because it knows no other host.
    pub fn is_joining(&self, now_ms: Millis) -> bool {
        match self.state.confirmed_ms() {
            Some(_) => self.members.count() <= 1,
            None => !(self.state.is_partial() && self.is_bootstrap_pending(now_ms)),
        }
    }

    /// Sends a join message to the next seed.
    pub fn join(&mut self, seeds: &[SocketAddr]) -> Vec<Effect> {
        let mut effects = Vec::new();
        if seeds.is_empty() {
            return effects;
        }
        // Hosts that start at the same time begin with different seeds.
        let first = self.members.own().seed() as usize;
        let seed = seeds[first.wrapping_add(self.joins_sent) % seeds.len()];
        self.joins_sent += 1;
        let from = self.members.own().clone();
        self.send(Message::Join { from, is_redirected: false }, vec![seed], &mut effects);
        effects
    }

    /// Merges the first page of this host's own full read: enough to serve, and to answer joins.
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
        let peer = from.host.clone();
        self.record_member(now_ms, from, effects);
        self.members.record_response(&peer);
        self.members.record_fleet_size(now_ms, host_count);
        if self.state.confirmed_ms().is_some() {
            return;
        }
        match bootstrap {
            Bootstrap::NotReady { is_reading: true } => {
                self.extend_bootstrap_wait(now_ms, READER_WAIT_MS)
            }
            Bootstrap::NotReady { is_reading: false } => {
                self.extend_bootstrap_wait(now_ms, REJOIN_WAIT_MS)
            }
            Bootstrap::Redirect { to } => {
                self.extend_bootstrap_wait(now_ms, READER_WAIT_MS);
                let from = self.members.own().clone();
                self.send(Message::Join { from, is_redirected: true }, vec![to], effects);
            }
            Bootstrap::Complete(snapshot) => self.apply_bootstrap(now_ms, peer, snapshot, effects),
            // Two hosts that read the source and answer each other's joins must not both wait.
            Bootstrap::Partial { snapshot, .. } if self.joins.is_reading() => {
                self.apply_bootstrap(now_ms, peer, snapshot, effects);
            }
            Bootstrap::Partial { snapshot, rest_from, after_ms } => {
                self.extend_bootstrap_wait(now_ms, SNAPSHOT_WAIT_MS);
                let min_revision = snapshot.revision;
                self.apply_bootstrap(now_ms, peer, snapshot, effects);
                self.fetch_snapshot(now_ms, min_revision, (rest_from, after_ms), effects);
            }
        }
    }

    /// Extends the wait for a snapshot, up to [`SNAPSHOT_WAIT_MS`] after the first promise.
    pub(super) fn extend_bootstrap_wait(&mut self, now_ms: Millis, for_ms: Millis) {
        let first_ms = *self.promised_at_ms.get_or_insert(now_ms);
        let until_ms = (now_ms + for_ms).min(first_ms + SNAPSHOT_WAIT_MS);
        self.wait_until_ms = self.wait_until_ms.max(until_ms);
    }

    fn apply_bootstrap(
        &mut self,
        now_ms: Millis,
        peer: HostId,
        snapshot: BootstrapSnapshot,
        effects: &mut Vec<Effect>,
    ) {
        let state_changes = self.state.apply_bootstrap(now_ms - snapshot.age_ms, snapshot);
        effects.push(Effect::StateUpdated { state_changes, from: Origin::Peer(peer) });
        if self.state.can_bootstrap() {
            self.answer_next_joins(now_ms, effects);
        }
    }

    /// Fetches the full snapshot from any host, after the promised hosts did not deliver it.
    pub(super) fn fetch_snapshot_from_any(&mut self, now_ms: Millis, effects: &mut Vec<Effect>) {
        let others: Vec<SocketAddr> = self.members.others().map(|m| m.address).collect();
        let Some(&any) = others.choose(&mut self.rng) else { return };
        let from = self.fetch_candidates(any);
        self.fetch_snapshot(now_ms, self.state.revision(), (from, Millis::ZERO), effects);
    }

    fn fetch_snapshot(
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
