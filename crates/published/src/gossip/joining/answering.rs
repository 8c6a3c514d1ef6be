//! Answering hosts that join.
//!
//! Hundreds may join within half a second, and the seed that they ask is a machine like any
//! other. So it answers in one datagram, passes on the whole picture to one host of each
//! availability zone only, and past some number sends hosts on to those that were answered
//! first. Each host gives [`FAN_OUT`] copies of the picture; no link carries more.

use super::{Bootstrap, JoinReply};
use crate::Member;
use crate::gossip::{Effect, Gossip, Message};
use domain::{ByteCount, FastMap, HostId, Millis, ZoneName};
use rand::RngExt;
use std::cmp::Reverse;
use std::net::SocketAddr;

/// Hosts that each host passes the whole picture on to. Four copies of 75 kB take a link of
/// 20 Mbit/s 0.12 s.
const FAN_OUT: usize = 4;

/// Time that a host is given to fetch a small picture and to pass it on.
const PASS_ON_MS: u64 = 60;

/// The same for each thousand upstreams: [`FAN_OUT`] copies over a link of 20 Mbit/s.
const PASS_ON_THOUSAND_MS: u64 = 80;

/// A small link, by which the figures below go; a host behind a faster one does as many times as
/// much.
const SMALL_LINK_MBPS: u32 = 20;

/// Hosts that are answered here; the others are sent on. Thirty-two answers take a link of
/// 20 Mbit/s 20 ms, and a tenth of a core as long.
const MOST_ANSWERED: usize = 32;

/// Bytes that are answered at once where many wait. On a full link datagrams are lost: in virtual
/// time nine in ten of 472 hosts served 24 ms later where all answers left together.
const ANSWERED_AT_ONCE: ByteCount = ByteCount(12_000);

/// Pause before the next are answered: twice what a link of 20 Mbit/s needs for those.
const ANSWER_PAUSE_MS: Millis = Millis(10);

/// About the size of an answer that holds a snapshot, and of one that sends a host on.
const ANSWER_BYTES: ByteCount = ByteCount(1_400);
const REDIRECT_BYTES: ByteCount = ByteCount(150);

/// The first so many of them answer for this host: the most capable of those that waited.
const REDIRECT_TARGETS: usize = 16;

/// A host that asks again within this time has its answer on the way.
const ANSWER_AGAIN_MS: Millis = Millis(150);

/// Hosts that joined within this time pass the picture on to each other; later ones have the
/// seed to themselves.
const TOGETHER_MS: Millis = Millis(2_000);

/// Hosts that joined are announced together after this time: all that started with them.
const ANNOUNCE_AFTER_MS: Millis = Millis(150);

/// Most hosts that are announced. Where more start at once their lists come with the whole
/// picture, and what is missing by greetings: telling a zone of 100 hosts of 150 others took a
/// seed's link of 20 Mbit/s 0.4 s, in which nobody was told a first picture.
const MOST_ANNOUNCED: usize = 24;

/// What a host knows of those that join through it.
#[derive(Debug, Default)]
pub(in crate::gossip) struct JoinState {
    /// They asked while nothing was held here, or while others were being answered.
    waiting: FastMap<HostId, Waiting>,
    /// Whether the next of them are answered after a pause.
    is_answering: bool,
    /// Those that were answered lately, in that order.
    answered: Vec<Answered>,
    answered_ms: Millis,
    /// Heard of for the first time, and not logged yet: hundreds that join make one line.
    heard: Vec<HostId>,
    /// Not announced to the fleet yet.
    unannounced: Vec<Member>,
    /// Whether the source is being read here for the first time.
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

/// The place of a host in the tree of its availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Position(usize);

impl Position {
    /// Whose copy it takes; none for the first, which takes that of the host that answers.
    fn parent(self) -> Option<Position> {
        self.0.checked_sub(1).map(|before| Position(before / FAN_OUT))
    }

    /// Copies between that of the host that answers and its own.
    fn depth(self) -> u64 {
        self.parent().map_or(0, |parent| 1 + parent.depth())
    }
}

impl JoinState {
    pub(super) fn is_reading(&self) -> bool {
        self.is_reading
    }

    /// What another host announces need not be announced here too.
    pub(in crate::gossip) fn remove_announced(&mut self, members: &[Member]) {
        self.unannounced.retain(|member| !members.contains(member));
    }

    /// The number of a host among those that joined lately; none if it was answered just now.
    /// A host that asks again keeps its number.
    fn number(&mut self, now_ms: Millis, member: &Member) -> Option<usize> {
        if now_ms.since(self.answered_ms) > TOGETHER_MS {
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
        (now_ms.since(at_ms) >= ANSWER_AGAIN_MS).then_some(known)
    }
}

impl Gossip {
    /// Whether the source is being read here for a first picture: who joins may wait for it, and
    /// this host waits for nobody.
    pub fn set_initial_read(&mut self, is_reading: bool) {
        self.joins.is_reading = is_reading;
    }

    /// Tells the fleet of those that joined through this host.
    pub fn announce_joined(&mut self, now_ms: Millis) -> Vec<Effect> {
        let heard = std::mem::take(&mut self.joins.heard);
        let mut effects = vec![Effect::PeersDiscovered(heard)];
        let members = std::mem::take(&mut self.joins.unannounced);
        if (1..=MOST_ANNOUNCED).contains(&members.len()) {
            let known = |should_relay| Message::Members { members: members.clone(), should_relay };
            self.broadcast(now_ms, known, &mut effects);
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
            if self.joins.heard.is_empty() {
                effects.push(Effect::AnnounceJoined { delay_ms: ANNOUNCE_AFTER_MS });
            }
            self.joins.heard.push(member.host.clone());
            // Those that are sent here came in hundreds; see [`MOST_ANNOUNCED`].
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

    /// Answers some of those that wait, as far as something is held, the most capable first: the
    /// others take their copies.
    pub(in crate::gossip) fn answer_next_joins(
        &mut self,
        now_ms: Millis,
        effects: &mut Vec<Effect>,
    ) {
        if self.joins.waiting.is_empty() || self.joins.is_answering {
            return;
        }
        let waiting = std::mem::take(&mut self.joins.waiting);
        let mut waiting: Vec<Waiting> = waiting.into_values().collect();
        waiting.sort_by_key(|w| (Reverse(w.member.capacity), w.member.address));
        let at_once = ByteCount(ANSWERED_AT_ONCE.0 * self.times_small_link() as u64);
        let mut spent = ByteCount(0);
        for Waiting { member, is_redirected } in waiting {
            if spent >= at_once {
                let host = member.host.clone();
                self.joins.waiting.insert(host, Waiting { member, is_redirected });
                continue;
            }
            let bytes = self.answer_join(now_ms, &member, is_redirected, effects);
            spent = ByteCount(spent.0 + bytes.0);
        }
        if !self.joins.waiting.is_empty() {
            self.joins.is_answering = true;
            effects.push(Effect::AnswerPendingJoins { delay_ms: ANSWER_PAUSE_MS });
        }
    }

    /// Answers the next of those that wait.
    pub fn answer_pending_joins(&mut self, now_ms: Millis) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.joins.is_answering = false;
        self.answer_next_joins(now_ms, &mut effects);
        effects
    }

    /// How many times as fast as a small link that of this host is.
    fn times_small_link(&self) -> usize {
        (self.members.own().capacity.link_mbps / SMALL_LINK_MBPS).max(1) as usize
    }

    /// Answers a host; returns about how many bytes that takes.
    fn answer_join(
        &mut self,
        now_ms: Millis,
        member: &Member,
        is_redirected: bool,
        effects: &mut Vec<Effect>,
    ) -> ByteCount {
        let Some(number) = self.joins.number(now_ms, member) else { return ByteCount(0) };
        if number >= MOST_ANSWERED * self.times_small_link() && !is_redirected {
            let to = self.joins.answered[number % REDIRECT_TARGETS].address;
            self.send_join_reply(Bootstrap::Redirect { to }, member.address, effects);
            return REDIRECT_BYTES;
        }
        let (host, zone) = (&member.host, &member.availability_zone);
        let snapshot = self.state.bootstrap_for(now_ms, host, zone);
        let Some(snapshot) = snapshot else { return ByteCount(0) };
        let bootstrap = match snapshot.is_complete {
            true => Bootstrap::Complete(snapshot),
            false => {
                let (rest_from, after_ms) = self.rest_for(number, zone);
                Bootstrap::Partial { snapshot, rest_from, after_ms }
            }
        };
        self.send_join_reply(bootstrap, member.address, effects);
        ANSWER_BYTES
    }

    /// Where a host finds the rest of the picture, and when: with one of its zone that joined
    /// before it, the first of a zone here.
    fn rest_for(&mut self, number: usize, zone: &ZoneName) -> (Vec<SocketAddr>, Millis) {
        let before = self.joins.answered[..number].iter().filter(|one| one.zone == *zone);
        let before: Vec<SocketAddr> = before.map(|one| one.address).collect();
        let position = Position(before.len());
        let from = match position.parent() {
            None => vec![self.members.own().address],
            Some(parent) => vec![before[parent.0], before[self.rng.random_range(0..=parent.0)]],
        };
        let upstreams = self.state.upstreams().count() as u64;
        let pass_on_ms = PASS_ON_MS + PASS_ON_THOUSAND_MS * upstreams / 1_000;
        // What is held here may be a beginning itself.
        let is_late = self.state.confirmed_ms().is_none();
        (from, Millis(pass_on_ms * (position.depth() + u64::from(is_late))))
    }

    fn send_join_reply(&self, bootstrap: Bootstrap, to: SocketAddr, effects: &mut Vec<Effect>) {
        let (from, host_count) = (self.members.own().clone(), self.members.count());
        let reply = JoinReply { from, host_count, bootstrap };
        self.send(Message::JoinReply(Box::new(reply)), vec![to], effects);
    }
}
