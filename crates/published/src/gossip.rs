//! What a host does about what its peers tell it.
//!
//! [`Gossip`] is the aggregate of what this host believes of the source and of the fleet.
//! Messages, readings and the time go in, [`Effect`]s come out; whoever drives it sends
//! them. A lost message is found by revision and digest, and what is missing is then
//! fetched from whoever told of it.

mod effect;
mod hearing;
mod message;
mod telling;

pub use effect::{Effect, Fetch, Origin, Question, Told};
pub use message::{Message, News};

use crate::{Change, Member, Members, Picture, Revision, Whole};
use domain::Millis;
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;

/// Part of the greetings that goes to a seed: after a split each side knows only its own.
const SEED_GREETINGS: f64 = 0.3;

/// How long an offered picture is waited for: a fetch on a slow machine.
const OFFER_MS: Millis = Millis(250);

/// What a host believes, and its part in telling it.
#[derive(Debug)]
pub struct Gossip {
    members: Members,
    picture: Picture,
    rng: Pcg64Mcg,
    is_fetching: bool,
    fetched_ms: Option<Millis>,
    offered_ms: Option<Millis>,
    is_leaving: bool,
}

impl Gossip {
    /// A host that knows itself only.
    pub fn new(own: Member, rng: Pcg64Mcg) -> Gossip {
        Gossip {
            members: Members::new(own),
            picture: Picture::default(),
            rng,
            is_fetching: false,
            fetched_ms: None,
            offered_ms: None,
            is_leaving: false,
        }
    }

    /// The hosts heard of.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// What is believed to be published.
    pub fn picture(&self) -> &Picture {
        &self.picture
    }

    /// Whether a first picture was offered and is on its way.
    pub fn is_being_told(&self, now_ms: Millis) -> bool {
        let is_offered = self.offered_ms.is_some_and(|at_ms| now_ms.since(at_ms) < OFFER_MS);
        is_offered && self.picture.confirmed_ms().is_none()
    }

    /// Greets all seeds while nobody is known, then one of them or one peer.
    pub fn greet(&mut self, seeds: &[SocketAddr]) -> Vec<Effect> {
        let others: Vec<SocketAddr> = self.members.others().map(|m| m.address).collect();
        let to: Vec<SocketAddr> = match others.is_empty() {
            true => seeds.to_vec(),
            false if self.rng.random_bool(SEED_GREETINGS) => {
                seeds.choose(&mut self.rng).copied().into_iter().collect()
            }
            false => others.choose(&mut self.rng).copied().into_iter().collect(),
        };
        let mut effects = Vec::new();
        self.send(self.hello(true), to, &mut effects);
        effects
    }

    /// Takes a whole reading of its own, and tells the fleet.
    pub fn take_whole(&mut self, now_ms: Millis, whole: Whole) -> Vec<Effect> {
        let before = self.picture.revision();
        let beliefs = self.picture.take_whole(now_ms, whole);
        // Told without the changes, peers that hold less find a gap and fetch.
        let after = if beliefs.is_empty() { before } else { self.picture.revision() };
        let mut effects = vec![Effect::Believed { beliefs, from: Origin::Source }];
        self.tell_news(now_ms, after, Vec::new(), &mut effects);
        effects
    }

    /// Takes the changes that it read itself, and tells the fleet.
    pub fn take_changes(
        &mut self,
        now_ms: Millis,
        after: Revision,
        revision: Revision,
        changes: &[Change],
    ) -> Vec<Effect> {
        let told = self.picture.patched(changes);
        let (beliefs, _) = self.picture.take_changes(now_ms, after, revision, told.clone());
        let mut effects = vec![Effect::Believed { beliefs, from: Origin::Source }];
        self.tell_news(now_ms, after, told, &mut effects);
        effects
    }

    /// Tells the fleet that this host could not read.
    pub fn tell_unread(&mut self, now_ms: Millis) -> Vec<Effect> {
        let reader = self.members.own().clone();
        let mut effects = Vec::new();
        let unread = |passes_on| Message::Unread { reader: reader.clone(), passes_on };
        self.tell_fleet(now_ms, unread, &mut effects);
        effects
    }

    /// Tells all hosts that this one leaves; nothing is said after that.
    pub fn leave(&mut self) -> Vec<Effect> {
        let own = self.members.own();
        let bye = Message::Bye { host: own.host.clone(), incarnation: own.incarnation };
        let to = self.members.others().map(|member| member.address).collect();
        let mut effects = Vec::new();
        self.send(bye, to, &mut effects);
        self.is_leaving = true;
        effects
    }

    /// Drops what time has settled: lapsed entries, and hosts that were silent for long.
    pub fn settle(&mut self, now_ms: Millis) -> Vec<Effect> {
        let beliefs = self.picture.settle(now_ms);
        let believed =
            (!beliefs.is_empty()).then_some(Effect::Believed { beliefs, from: Origin::Time });
        let gone = self.members.forget(now_ms).into_iter().map(Effect::PeerGone);
        believed.into_iter().chain(gone).collect()
    }

    /// Takes a peer's message.
    pub fn take(&mut self, now_ms: Millis, message: Message, sender: SocketAddr) -> Vec<Effect> {
        let mut effects = Vec::new();
        match message {
            Message::Hello { from, asks, digest } => {
                let host = from.host.clone();
                self.note(now_ms, from, &mut effects);
                self.members.note_answer(&host);
                if asks && digest != self.members.digest() {
                    self.tell_members(sender, &mut effects);
                    self.offer(now_ms, sender, &mut effects);
                }
            }
            Message::Known { members } => {
                for member in members {
                    let address = member.address;
                    if self.note(now_ms, member, &mut effects) {
                        self.send(self.hello(false), vec![address], &mut effects);
                    }
                }
            }
            Message::News { news, passes_on } => {
                self.take_news(now_ms, news, passes_on, sender, &mut effects);
            }
            Message::Unread { reader, passes_on } => {
                self.take_unread(now_ms, reader, passes_on, sender, &mut effects);
            }
            Message::Bye { host, incarnation } => {
                if self.members.leave(&host, incarnation) {
                    effects.push(Effect::PeerGone(host));
                }
            }
        }
        effects
    }

    /// What a peer lacks; none before this host holds what is wanted.
    pub fn tell(&self, now_ms: Millis, question: Question) -> Option<Told> {
        let age_ms = self.picture.age_ms(now_ms)?;
        let is_help = self.picture.revision() >= question.wanted;
        is_help.then(|| Told { age_ms, catch_up: self.picture.catch_up(question.held) })
    }

    /// Takes the answer to a fetch, if one came; then passes on what was waiting for it.
    pub fn take_told(
        &mut self,
        now_ms: Millis,
        fetch: Fetch,
        answer: Option<(SocketAddr, Told)>,
    ) -> Vec<Effect> {
        self.is_fetching = false;
        let mut effects = Vec::new();
        match answer {
            Some((teller, told)) => self.catch_up(now_ms, teller, told, &mut effects),
            None => {
                let asked = fetch.from.last().and_then(|&address| self.members.host_at(address));
                let from = Origin::of(asked);
                effects.push(Effect::Fetched { from, revision: None, is_whole: false });
            }
        }
        if let Some(news) = fetch.passed_on {
            let age_ms = news.age_ms + now_ms.since(fetch.begun_ms);
            self.pass_on_news(News { age_ms, ..news }, &mut effects);
        }
        effects
    }
}
