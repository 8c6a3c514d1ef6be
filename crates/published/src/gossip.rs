//! What a host does about what its peers tell it.
//!
//! [`Gossip`] is the aggregate of what this host believes of the source and of the fleet.
//! Messages, readings and the time go in, [`Effect`]s come out; whoever drives it sends
//! them. A lost message is found by revision and digest, and what is missing is then
//! fetched from whoever told of it.

mod message;

pub use message::{Message, News};

use crate::{Belief, CatchUp, Change, Held, Listener, Member, Members, Picture, Revision, Whole};
use domain::{HostId, Millis};
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Members told in one message: half a kilobyte.
const MEMBERS_TOLD: usize = 10;

/// Part of the greetings that goes to a seed: after a split each side knows only its own.
const SEED_GREETINGS: f64 = 0.3;

/// Shortest time between two fetches.
const FETCH_PAUSE_MS: Millis = Millis(150);

/// How long an offered picture is waited for: a fetch on a slow machine.
const OFFER_MS: Millis = Millis(250);

/// What is to be done, or to be logged.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send this.
    Send {
        /// What.
        message: Message,
        /// To whom.
        to: Vec<SocketAddr>,
    },
    /// Ask for what is missing, then hand it to [`Gossip::take_told`].
    Fetch(Fetch),
    /// Something else is believed, or the same was confirmed.
    Believed {
        /// What changed; nothing if it was confirmed.
        beliefs: Vec<Belief>,
        /// Where it comes from.
        from: Origin,
    },
    /// What a fetch came to.
    Fetched {
        /// Whom it was asked of.
        from: Origin,
        /// What it told; none if it did not answer.
        revision: Option<Revision>,
        /// Whether all entries were told, or only what changed.
        is_whole: bool,
    },
    /// A host was heard of for the first time, or in a new run.
    PeerHeard(HostId),
    /// A host left or was silent for long.
    PeerGone(HostId),
}

/// Where a change of belief comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// This host read it.
    Source,
    /// A peer told it.
    Peer(HostId),
    /// A host that is not known told it.
    Stranger,
    /// Time has passed.
    Time,
}

impl Origin {
    /// Its name in logs.
    pub fn as_str(&self) -> &str {
        match self {
            Origin::Source => "source",
            Origin::Peer(host) => host.as_str(),
            Origin::Stranger => "unknown",
            Origin::Time => "time",
        }
    }

    fn of(host: Option<&HostId>) -> Origin {
        host.cloned().map_or(Origin::Stranger, Origin::Peer)
    }
}

/// A question for what is missing.
#[derive(Debug, Clone, PartialEq)]
pub struct Fetch {
    /// Whom to ask, one after the other until one answers.
    pub from: Vec<SocketAddr>,
    /// What this host holds.
    pub held: Held,
    begun_ms: Millis,
    /// What is to be passed on once nothing is missing.
    passed_on: Option<News>,
}

/// The answer to a [`Fetch`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// Age of the reading.
    pub age_ms: Millis,
    /// What the asking host lacked.
    pub catch_up: CatchUp,
}

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

    /// What a peer lacks that holds so much; none before this host knows anything.
    pub fn tell(&self, now_ms: Millis, held: Held) -> Option<Told> {
        let age_ms = self.picture.age_ms(now_ms)?;
        Some(Told { age_ms, catch_up: self.picture.catch_up(held) })
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

    fn catch_up(
        &mut self,
        now_ms: Millis,
        teller: SocketAddr,
        told: Told,
        effects: &mut Vec<Effect>,
    ) {
        let from = Origin::of(self.members.host_at(teller));
        let revision = Some(told.catch_up.revision());
        let is_whole = matches!(told.catch_up, CatchUp::Whole(_));
        effects.push(Effect::Fetched { from: from.clone(), revision, is_whole });
        // What is missing still shows at the next news.
        let (beliefs, _) = self.picture.take_catch_up(now_ms - told.age_ms, told.catch_up);
        effects.push(Effect::Believed { beliefs, from });
    }

    fn take_news(
        &mut self,
        now_ms: Millis,
        news: News,
        passes_on: bool,
        teller: SocketAddr,
        effects: &mut Vec<Effect>,
    ) {
        self.note(now_ms, news.reader.clone(), effects);
        self.offered_ms = Some(now_ms);
        // Only a host that reads tells changes, even none; one that offers tells none.
        if news.changes.is_some() {
            self.members.note_reader(now_ms, &news.reader.host);
        }
        if passes_on {
            self.send(self.hello(false), vec![teller], effects);
        }
        let is_gapless = self.take_told_changes(now_ms, &news, effects);
        let differs =
            self.picture.revision() == news.revision && self.picture.digest() != news.digest;
        let held = self.picture.held();
        match is_gapless {
            false => self.fetch(now_ms, teller, held, Some(news).filter(|_| passes_on), effects),
            true => {
                if differs {
                    self.fetch(now_ms, teller, held.without_entries(), None, effects);
                }
                if passes_on {
                    self.pass_on_news(news, effects);
                }
            }
        }
    }

    /// False if something before them is missing.
    fn take_told_changes(
        &mut self,
        now_ms: Millis,
        news: &News,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let at_ms = now_ms - news.age_ms;
        let changes = news.changes.clone().unwrap_or_default();
        let held = self.picture.revision();
        let is_complete = news.after <= held && news.after <= news.revision;
        let revision = if is_complete { news.revision } else { held };
        let (beliefs, is_gapless) = self.picture.take_changes(at_ms, news.after, revision, changes);
        effects.push(Effect::Believed { beliefs, from: Origin::Peer(news.reader.host.clone()) });
        is_gapless && is_complete
    }

    fn take_unread(
        &mut self,
        now_ms: Millis,
        reader: Member,
        passes_on: bool,
        teller: SocketAddr,
        effects: &mut Vec<Effect>,
    ) {
        self.note(now_ms, reader.clone(), effects);
        self.members.note_failed_reader(now_ms, &reader.host);
        if passes_on {
            self.send(self.hello(false), vec![teller], effects);
            self.pass_on(Message::Unread { reader, passes_on: false }, effects);
        }
    }

    /// Asks whoever told of something newer; what waits for it is passed on after that.
    fn fetch(
        &mut self,
        now_ms: Millis,
        teller: SocketAddr,
        held: Held,
        passed_on: Option<News>,
        effects: &mut Vec<Effect>,
    ) {
        let is_early = self.fetched_ms.is_some_and(|at_ms| now_ms.since(at_ms) < FETCH_PAUSE_MS)
            && self.picture.confirmed_ms().is_some();
        if is_early || self.is_fetching {
            passed_on.into_iter().for_each(|news| self.pass_on_news(news, effects));
            return;
        }
        self.is_fetching = true;
        self.fetched_ms = Some(now_ms);
        let from = self.near_teller().into_iter().chain([teller]).collect();
        effects.push(Effect::Fetch(Fetch { from, held, begun_ms: now_ms, passed_on }));
    }

    /// Who is asked for a first picture before the teller: a host of the own zone has the same,
    /// and its bytes are not paid for.
    fn near_teller(&mut self) -> Option<SocketAddr> {
        if self.picture.confirmed_ms().is_some() {
            return None;
        }
        self.members.neighbours().choose(&mut self.rng).copied()
    }

    fn note(&mut self, now_ms: Millis, member: Member, effects: &mut Vec<Effect>) -> bool {
        let peer = member.host.clone();
        let is_news = self.members.note(now_ms, member);
        if is_news {
            effects.push(Effect::PeerHeard(peer));
        }
        is_news
    }

    fn hello(&self, asks: bool) -> Message {
        Message::Hello { from: self.members.own().clone(), asks, digest: self.members.digest() }
    }

    fn tell_members(&self, to: SocketAddr, effects: &mut Vec<Effect>) {
        for some in self.members.all().chunks(MEMBERS_TOLD) {
            self.send(Message::Known { members: some.to_vec() }, vec![to], effects);
        }
    }

    /// A host that is new is told that there is a picture to be had here.
    fn offer(&self, now_ms: Millis, to: SocketAddr, effects: &mut Vec<Effect>) {
        if self.picture.confirmed_ms().is_some() {
            let news = self.news(now_ms, self.picture.revision(), None);
            self.send(Message::News { news, passes_on: false }, vec![to], effects);
        }
    }

    /// What this host holds, as news.
    fn news(&self, now_ms: Millis, after: Revision, changes: Option<Vec<Change>>) -> News {
        News {
            reader: self.members.own().clone(),
            revision: self.picture.revision(),
            age_ms: self.picture.age_ms(now_ms).unwrap_or_default(),
            digest: self.picture.digest(),
            after,
            changes,
        }
    }

    fn tell_news(
        &mut self,
        now_ms: Millis,
        after: Revision,
        changes: Vec<Change>,
        effects: &mut Vec<Effect>,
    ) {
        let news = self.news(now_ms, after, Some(changes));
        let told = |passes_on| Message::News { news: news.clone(), passes_on };
        self.tell_fleet(now_ms, told, effects);
    }

    /// Tells this zone itself, and the others through a few of their hosts.
    fn tell_fleet(
        &mut self,
        now_ms: Millis,
        message: impl Fn(bool) -> Message,
        effects: &mut Vec<Effect>,
    ) {
        let listeners = self.members.listeners(now_ms);
        for passes_on in [true, false] {
            let told = listeners.iter().filter(|listener| listener.passes_on == passes_on);
            let to = told.map(|&Listener { address, .. }| address).collect();
            self.send(message(passes_on), to, effects);
        }
    }

    fn pass_on_news(&self, news: News, effects: &mut Vec<Effect>) {
        self.pass_on(Message::News { news, passes_on: false }, effects);
    }

    /// Tells the other hosts of this zone what a host of another zone told.
    fn pass_on(&self, message: Message, effects: &mut Vec<Effect>) {
        self.send(message, self.members.neighbours(), effects);
    }

    /// A host that stops says nothing but farewell: its peers count on it no more.
    fn send(&self, message: Message, to: Vec<SocketAddr>, effects: &mut Vec<Effect>) {
        if !self.is_leaving && !to.is_empty() {
            effects.push(Effect::Send { message, to });
        }
    }
}
