//! A host's answers to others that join.
//!
//! Hundreds of hosts may join within half a second through a seed no larger than they are. So the
//! seed answers in one datagram, sends the full snapshot to only one host of each availability
//! zone, and beyond a limit redirects hosts to those that joined first. Each host sends the full
//! snapshot to at most [`FAN_OUT`] others, in a tree for each zone.

use super::{Bootstrap, JoinReply};
use crate::Member;
use crate::gossip::{Effect, Gossip, Message};
use domain::{ByteCount, FastMap, HostId, Millis, ZoneName};
use rand::RngExt;
use std::cmp::Reverse;
use std::net::SocketAddr;

/// Hosts that each host sends the full snapshot to. Four copies of 75 kB take 0.12 s on a link of
/// 20 Mbit/s.
const FAN_OUT: usize = 4;

/// Time for a host to fetch a small snapshot and to send it on.
const FORWARD_MS: u64 = 60;

/// Additional time for each thousand upstreams: [`FAN_OUT`] copies over a link of 20 Mbit/s.
const FORWARD_PER_THOUSAND_MS: u64 = 80;

/// Link speed that the limits below assume; they are multiplied for a host with a faster link.
const REFERENCE_LINK_MBPS: u32 = 20;

/// Number of hosts of a group that are answered; more are redirected. The answers take a link of
/// 20 Mbit/s, or a tenth of a core, 20 ms.
const MAX_ANSWERED: usize = 32;

/// Bytes of answers that are sent in one burst: a full link drops datagrams.
const ANSWER_BURST_BYTES: ByteCount = ByteCount(12_000);

/// Pause after each burst: twice the time that a link of 20 Mbit/s needs for it.
const ANSWER_PAUSE_MS: Millis = Millis(10);

/// Approximate sizes of an answer with a snapshot and of a redirect.
const ANSWER_BYTES: ByteCount = ByteCount(1_400);
const REDIRECT_BYTES: ByteCount = ByteCount(150);

/// Number of hosts that others are redirected to: the most capable of those that waited.
const REDIRECT_TARGETS: usize = 16;

/// A repeated join within this time is ignored, since the answer to the first may be on its way.
const REPEATED_JOIN_MS: Millis = Millis(150);

/// Hosts that join with smaller gaps than this form one group, whose members send each other the
/// full snapshot. After a longer gap the next group starts at the seed.
const MAX_GROUP_GAP_MS: Millis = Millis(2_000);

/// Delay before joined hosts are announced, so that those that started together share a message.
const ANNOUNCE_DELAY_MS: Millis = Millis(150);

/// Largest number of joined hosts that are announced. Larger groups learn of each other from the
/// member lists in fetch replies and hellos, as announcing them would delay the join answers.
const MAX_ANNOUNCED: usize = 24;

/// State of the hosts that join through this one.
#[derive(Debug, Default)]
pub(in crate::gossip) struct JoinState {
    /// Hosts to answer once there is a state to send, or after the next pause.
    waiting: FastMap<HostId, Waiting>,
    /// Whether a pause between answers is under way.
    is_pausing: bool,
    /// Recently answered hosts, in the order of their first joins.
    answered: Vec<Answered>,
    answered_ms: Millis,
    /// New hosts that are not logged yet; one log line covers all that join together.
    new_hosts: Vec<HostId>,
    /// Joined hosts that are not announced to the fleet yet.
    unannounced: Vec<Member>,
    /// Whether this host's first full read of the source is under way.
    is_reading: bool,
}

#[derive(Debug)]
struct Waiting {
    member: Member,
    is_redirected: bool,
}

#[derive(Debug)]
struct Answered {
    address: SocketAddr,
    zone: ZoneName,
    at_ms: Millis,
}

/// Index of a host in its zone's distribution tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Position(usize);

impl Position {
    /// The host that it fetches from; `None` for the first, which fetches from the answering host.
    fn parent(self) -> Option<Position> {
        self.0.checked_sub(1).map(|before| Position(before / FAN_OUT))
    }

    /// Number of hosts between it and the answering host.
    fn depth(self) -> u64 {
        self.parent().map_or(0, |parent| 1 + parent.depth())
    }
}

impl JoinState {
    pub(super) fn is_reading(&self) -> bool {
        self.is_reading
    }

    /// Drops hosts that another host has announced already.
    pub(in crate::gossip) fn remove_announced(&mut self, members: &[Member]) {
        self.unannounced.retain(|member| !members.contains(member));
    }

    /// Index of a host in its group; `None` if it was answered too recently. A host that joins
    /// again keeps its index.
    fn index_in_group(&mut self, now_ms: Millis, member: &Member) -> Option<usize> {
        if now_ms.since(self.answered_ms) > MAX_GROUP_GAP_MS {
            self.answered.clear();
        }
        self.answered_ms = now_ms;
        let address = member.address;
        let known = self.answered.iter().position(|answered| answered.address == address);
        let Some(known) = known else {
            let zone = member.availability_zone.clone();
            self.answered.push(Answered { address, zone, at_ms: now_ms });
            return Some(self.answered.len() - 1);
        };
        let at_ms = std::mem::replace(&mut self.answered[known].at_ms, now_ms);
        (now_ms.since(at_ms) >= REPEATED_JOIN_MS).then_some(known)
    }
}

impl Gossip {
    /// Sets whether this host's first full read of the source is under way. Meanwhile joining hosts
    /// wait for it, and it doesn't wait for others.
    pub fn set_initial_read(&mut self, is_reading: bool) {
        self.joins.is_reading = is_reading;
    }

    /// Announces the hosts that joined through this one.
    pub fn announce_joined(&mut self, now_ms: Millis) -> Vec<Effect> {
        let new_hosts = std::mem::take(&mut self.joins.new_hosts);
        let mut effects = vec![Effect::PeersDiscovered(new_hosts)];
        let members = std::mem::take(&mut self.joins.unannounced);
        if (1..=MAX_ANNOUNCED).contains(&members.len()) {
            let message =
                |should_relay| Message::Members { members: members.clone(), should_relay };
            self.broadcast(now_ms, message, &mut effects);
        }
        effects
    }

    pub(in crate::gossip) fn handle_join(
        &mut self,
        now_ms: Millis,
        member: Member,
        is_redirected: bool,
        effects: &mut Vec<Effect>,
    ) {
        if self.members.record(now_ms, member.clone()) {
            if self.joins.new_hosts.is_empty() {
                effects.push(Effect::AnnounceJoined { delay_ms: ANNOUNCE_DELAY_MS });
            }
            self.joins.new_hosts.push(member.host.clone());
            // Redirected hosts belong to a large group; see [`MAX_ANNOUNCED`].
            if !is_redirected {
                self.joins.unannounced.push(member.clone());
            }
        }
        let (is_reading, to) = (self.joins.is_reading, member.address);
        let can_answer = self.state.can_bootstrap();
        if can_answer && self.joins.waiting.is_empty() {
            self.answer_join(now_ms, &member, is_redirected, effects);
            return;
        }
        self.joins.waiting.insert(member.host.clone(), Waiting { member, is_redirected });
        if !can_answer {
            self.send_join_reply(Bootstrap::NotReady { is_reading }, to, effects);
        }
    }

    /// Answers the waiting hosts, up to the limit for one burst, once there is a state to send. The
    /// most capable come first, since others fetch from them.
    pub(in crate::gossip) fn answer_next_joins(
        &mut self,
        now_ms: Millis,
        effects: &mut Vec<Effect>,
    ) {
        if self.joins.waiting.is_empty() || self.joins.is_pausing {
            return;
        }
        let waiting = std::mem::take(&mut self.joins.waiting);
        let mut waiting: Vec<Waiting> = waiting.into_values().collect();
        waiting.sort_by_key(|w| (Reverse(w.member.capacity), w.member.address));
        let burst = ByteCount(ANSWER_BURST_BYTES.0 * self.link_factor() as u64);
        let mut sent = ByteCount(0);
        for Waiting { member, is_redirected } in waiting {
            if sent >= burst {
                let host = member.host.clone();
                self.joins.waiting.insert(host, Waiting { member, is_redirected });
                continue;
            }
            let bytes = self.answer_join(now_ms, &member, is_redirected, effects);
            sent = ByteCount(sent.0 + bytes.0);
        }
        if !self.joins.waiting.is_empty() {
            self.joins.is_pausing = true;
            effects.push(Effect::AnswerPendingJoins { delay_ms: ANSWER_PAUSE_MS });
        }
    }

    /// Continues after a pause.
    pub fn answer_pending_joins(&mut self, now_ms: Millis) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.joins.is_pausing = false;
        self.answer_next_joins(now_ms, &mut effects);
        effects
    }

    /// This host's link speed as a multiple of [`REFERENCE_LINK_MBPS`], at least 1.
    fn link_factor(&self) -> usize {
        (self.members.own().capacity.link_mbps / REFERENCE_LINK_MBPS).max(1) as usize
    }

    /// Answers a host; returns the approximate size of the answer.
    fn answer_join(
        &mut self,
        now_ms: Millis,
        member: &Member,
        is_redirected: bool,
        effects: &mut Vec<Effect>,
    ) -> ByteCount {
        let Some(index) = self.joins.index_in_group(now_ms, member) else { return ByteCount(0) };
        if index >= MAX_ANSWERED * self.link_factor() && !is_redirected {
            let to = self.joins.answered[index % REDIRECT_TARGETS].address;
            self.send_join_reply(Bootstrap::Redirect { to }, member.address, effects);
            return REDIRECT_BYTES;
        }
        let (host, zone) = (&member.host, &member.availability_zone);
        let snapshot = self.state.bootstrap_for(now_ms, host, zone);
        let Some(snapshot) = snapshot else { return ByteCount(0) };
        let bootstrap = match snapshot.is_complete {
            true => Bootstrap::Complete(snapshot),
            false => {
                let (rest_from, after_ms) = self.snapshot_sources(index, zone);
                Bootstrap::Partial { snapshot, rest_from, after_ms }
            }
        };
        self.send_join_reply(bootstrap, member.address, effects);
        ANSWER_BYTES
    }

    /// The hosts that a host fetches the full snapshot from, and the delay before it does: hosts of
    /// its zone that joined before it, or this host for the first of a zone.
    fn snapshot_sources(&mut self, index: usize, zone: &ZoneName) -> (Vec<SocketAddr>, Millis) {
        let before = self.joins.answered[..index].iter().filter(|one| one.zone == *zone);
        let before: Vec<SocketAddr> = before.map(|one| one.address).collect();
        let position = Position(before.len());
        let from = match position.parent() {
            None => vec![self.members.own().address],
            Some(parent) => vec![before[parent.0], before[self.rng.random_range(0..=parent.0)]],
        };
        let upstreams = self.state.upstreams().count() as u64;
        let forward_ms = FORWARD_MS + FORWARD_PER_THOUSAND_MS * upstreams / 1_000;
        // This host itself may still lack the full snapshot.
        let is_incomplete = self.state.confirmed_ms().is_none();
        (from, Millis(forward_ms * (position.depth() + u64::from(is_incomplete))))
    }

    fn send_join_reply(&self, bootstrap: Bootstrap, to: SocketAddr, effects: &mut Vec<Effect>) {
        let (from, host_count) = (self.members.own().clone(), self.members.stated_sharing_count());
        let reply = JoinReply { from, host_count, bootstrap };
        self.send(Message::JoinReply(Box::new(reply)), vec![to], effects);
    }
}
