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
    pub(super) fn catch_up(
        &mut self,
        now_ms: Millis,
        teller: SocketAddr,
        told: FetchReply,
        effects: &mut Vec<Effect>,
    ) {
        let from = Origin::of(self.members.host_at(teller));
        let revision = Some(told.catch_up.revision());
        let is_whole = matches!(told.catch_up, CatchUp::Whole(_));
        effects.push(Effect::Fetched { from: from.clone(), revision, is_whole });
        // What is missing still shows at the next news.
        let (beliefs, _) = self.picture.take_catch_up(now_ms - told.age_ms, told.catch_up);
        effects.push(Effect::Believed { beliefs, from });
        self.note_all(now_ms, told.members, effects);
        if self.picture.confirmed_ms().is_some() {
            self.answer_waiting(now_ms, effects);
        }
    }

    pub(super) fn take_hello(
        &mut self,
        now_ms: Millis,
        from: Member,
        (greeting, digest): (HelloKind, u64),
        sender: SocketAddr,
        effects: &mut Vec<Effect>,
    ) {
        let host = from.host.clone();
        self.note(now_ms, from, effects);
        self.members.note_answer(&host);
        let knows_others = digest != self.members.digest();
        match greeting {
            HelloKind::Request if knows_others => {
                self.tell_members(sender, effects);
                self.send(self.hello(HelloKind::Reply), vec![sender], effects);
                self.offer(now_ms, sender, effects);
            }
            HelloKind::Reply if knows_others => self.tell_members(sender, effects),
            HelloKind::Request | HelloKind::Reply | HelloKind::Alive => {}
        }
    }

    pub(super) fn take_known(
        &mut self,
        now_ms: Millis,
        members: Vec<Member>,
        passes_on: bool,
        teller: SocketAddr,
        effects: &mut Vec<Effect>,
    ) {
        self.joins.note_announced(&members);
        self.note_all(now_ms, members.clone(), effects);
        if passes_on {
            self.send(self.hello(HelloKind::Alive), vec![teller], effects);
            self.pass_on(Message::Known { members, passes_on: false }, effects);
        }
    }

    pub(super) fn take_news(
        &mut self,
        now_ms: Millis,
        news: StateUpdate,
        passes_on: bool,
        teller: SocketAddr,
        effects: &mut Vec<Effect>,
    ) {
        self.note(now_ms, news.reader.clone(), effects);
        self.promise(now_ms, OFFER_MS);
        // Only a host that reads tells changes, even none; one that offers tells none.
        if news.changes.is_some() {
            self.members.note_reader(now_ms, &news.reader.host);
        }
        if passes_on {
            self.send(self.hello(HelloKind::Alive), vec![teller], effects);
        }
        let is_gapless = self.take_told_changes(now_ms, &news, effects);
        let differs =
            self.picture.revision() == news.revision && self.picture.digest() != news.digest;
        let held = self.picture.held();
        let (wanted, members) = (news.revision, self.members.digest());
        match is_gapless {
            false => {
                let passed_on = Some(news).filter(|_| passes_on);
                let question = FetchRequest { held, wanted, members };
                self.fetch(now_ms, teller, question, passed_on, effects);
            }
            true => {
                if differs {
                    let question = FetchRequest { held: held.without_entries(), wanted, members };
                    self.fetch(now_ms, teller, question, None, effects);
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
        news: &StateUpdate,
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

    pub(super) fn take_unread(
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
            self.send(self.hello(HelloKind::Alive), vec![teller], effects);
            self.pass_on(Message::Unread { reader, passes_on: false }, effects);
        }
    }

    /// Asks whoever told of something newer; what waits for it is passed on after that.
    fn fetch(
        &mut self,
        now_ms: Millis,
        teller: SocketAddr,
        question: FetchRequest,
        passed_on: Option<StateUpdate>,
        effects: &mut Vec<Effect>,
    ) {
        let is_early = self.fetched_ms.is_some_and(|at_ms| now_ms.since(at_ms) < FETCH_PAUSE_MS)
            && self.picture.confirmed_ms().is_some();
        if is_early || self.is_fetching {
            passed_on.into_iter().for_each(|news| self.pass_on_news(news, effects));
            return;
        }
        let from = self.tellers(teller);
        let (begun_ms, after_ms) = (now_ms, Millis::ZERO);
        let fetch = Fetch { from, question, after_ms, begun_ms, passed_on };
        self.begin_fetch(now_ms, fetch, effects);
    }

    pub(super) fn begin_fetch(&mut self, now_ms: Millis, fetch: Fetch, effects: &mut Vec<Effect>) {
        self.is_fetching = true;
        self.fetched_ms = Some(now_ms);
        effects.push(Effect::Fetch(fetch));
    }

    /// Whom to ask: who told of it, then neighbours that may hold it by now, as a host tells
    /// few at once what is large. For a first picture neighbours come first: they have the
    /// same, and their bytes are not paid for.
    pub(super) fn tellers(&mut self, teller: SocketAddr) -> Vec<SocketAddr> {
        let mut neighbours = self.members.neighbours();
        let (near, _) = neighbours.partial_shuffle(&mut self.rng, MOST_NEIGHBOURS);
        let near = near.iter().copied().filter(|&address| address != teller);
        match self.picture.confirmed_ms() {
            None => near.chain([teller]).collect(),
            Some(_) => std::iter::once(teller).chain(near).collect(),
        }
    }

    pub(super) fn note(&mut self, now_ms: Millis, member: Member, effects: &mut Vec<Effect>) {
        self.note_all(now_ms, vec![member], effects);
    }

    fn note_all(&mut self, now_ms: Millis, members: Vec<Member>, effects: &mut Vec<Effect>) {
        let mut heard = Vec::new();
        for member in members {
            let peer = member.host.clone();
            if self.members.note(now_ms, member) {
                heard.push(peer);
            }
        }
        if !heard.is_empty() {
            effects.push(Effect::PeersHeard(heard));
        }
    }
}
