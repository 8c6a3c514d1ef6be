//! What entry hosts tell each other.
//!
//! Datagrams carry who is there and what was read: most of it fits one, nothing waits for
//! a silent peer, and no connection has to be kept for it, which `jsonrpsee` over WebSocket
//! would need between any two hosts. A lost datagram is found by revision and digest; the
//! whole picture is then fetched over a connection. Bytes between availability zones are
//! paid for, so both are in the compact `postcard` encoding.

mod datagram;
mod picture;

pub use datagram::{Datagram, News};

use crate::event_log::LogEvent;
use crate::host::{ACCEPT_PAUSE, Host};
use domain::{HostId, Millis};
use published::{CatchUp, Change, Held, Member, Revision};
use rand::RngExt;
use rand::seq::IndexedRandom;
use std::cell::Cell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};

/// Largest datagram that is sent; larger news is fetched.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// Members told in one datagram.
const MEMBERS_TOLD: usize = 10;

/// Time between greetings while nobody answered yet.
const FIRST_GREETINGS: Duration = Duration::from_millis(200);

/// Time between greetings to one known host, which repair what was lost.
const GREETINGS: Duration = Duration::from_secs(3);

/// Part of the greetings that goes to a seed: after a split each side knows only its own.
const SEED_GREETINGS: f64 = 0.3;

/// Hosts that start together must not greet together for ever.
const GREETING_JITTER: std::ops::Range<f64> = 0.8..1.2;

/// Largest datagram that can come.
const LARGEST_DATAGRAM_BYTES: usize = 64 * 1024;

/// Pause after an error of the socket, which an earlier datagram to nobody causes.
const RECEIVE_PAUSE: Duration = Duration::from_millis(5);

/// Longest time to fetch a picture.
const FETCH_LIMIT: Duration = Duration::from_millis(800);

/// Shortest time between two fetches.
const FETCH_PAUSE_MS: Millis = Millis(150);

/// The host's voice towards its peers.
#[derive(Debug)]
pub struct Peers {
    host: Rc<Host>,
    socket: UdpSocket,
    is_fetching: Cell<bool>,
    fetched_ms: Cell<Millis>,
}

impl Peers {
    /// Speaks through a bound socket.
    pub fn new(host: Rc<Host>, socket: UdpSocket) -> Rc<Peers> {
        let (is_fetching, fetched_ms) = (Cell::new(false), Cell::new(Millis::ZERO));
        Rc::new(Peers { host, socket, is_fetching, fetched_ms })
    }

    /// Greets seeds and peers; never ends.
    pub async fn greet(self: Rc<Peers>) {
        loop {
            let is_alone = self.host.hosts() <= 1;
            self.greet_once(is_alone);
            let pause = if is_alone { FIRST_GREETINGS } else { GREETINGS };
            let jitter = self.host.rng.borrow_mut().random_range(GREETING_JITTER);
            tokio::time::sleep(pause.mul_f64(jitter)).await;
        }
    }

    fn greet_once(&self, is_alone: bool) {
        let seeds = self.seed_addresses();
        let others: Vec<SocketAddr> =
            self.host.members.borrow().others().map(|member| member.address).collect();
        let seed = seeds.choose(&mut *self.host.rng.borrow_mut()).copied();
        let other = others.choose(&mut *self.host.rng.borrow_mut()).copied();
        match is_alone {
            true => seeds.iter().for_each(|&seed| self.hello(seed, true)),
            false if self.host.rng.borrow_mut().random_bool(SEED_GREETINGS) => {
                seed.into_iter().for_each(|seed| self.hello(seed, true));
            }
            false => other.into_iter().for_each(|other| self.hello(other, true)),
        }
    }

    fn seed_addresses(&self) -> Vec<SocketAddr> {
        let settings = self.host.settings.borrow();
        let is_other = |seed: &&IpAddr| **seed != settings.peers.ip();
        let port = settings.peers.port();
        settings.seeds.iter().filter(is_other).map(|&ip| SocketAddr::new(ip, port)).collect()
    }

    fn hello(&self, to: SocketAddr, asks: bool) {
        let members = self.host.members.borrow();
        let (from, digest) = (members.own().clone(), members.digest());
        let hello = Datagram::Hello { from, asks, digest };
        self.send(&hello, &[to]);
    }

    /// Tells the fleet what was read: this zone itself, the others through a few of their hosts.
    pub fn tell_news(&self, after: Revision, changes: Vec<Change>) {
        let news = self.news(after, Some(changes));
        self.tell_fleet(|passes_on| Datagram::News { news: news.clone(), passes_on });
    }

    /// Tells the fleet that this host could not read.
    pub fn tell_unread(&self) {
        let reader = self.host.members.borrow().own().clone();
        self.tell_fleet(|passes_on| Datagram::Unread { reader: reader.clone(), passes_on });
    }

    fn tell_fleet(&self, datagram: impl Fn(bool) -> Datagram) {
        let listeners = self.host.members.borrow_mut().listeners(self.host.now_ms());
        for passes_on in [true, false] {
            let told = listeners.iter().filter(|listener| listener.passes_on == passes_on);
            let to: Vec<SocketAddr> = told.map(|listener| listener.address).collect();
            self.send(&datagram(passes_on), &to);
        }
    }

    /// What this host holds, as news.
    fn news(&self, after: Revision, changes: Option<Vec<Change>>) -> News {
        let picture = self.host.picture.borrow();
        News {
            reader: self.host.members.borrow().own().clone(),
            revision: picture.revision(),
            age_ms: picture.age_ms(self.host.now_ms()).unwrap_or_default(),
            digest: picture.digest(),
            after,
            changes,
        }
    }

    /// Tells the other hosts of this zone what a reader told this one.
    fn pass_on(&self, datagram: &Datagram) {
        let to = self.host.members.borrow().neighbours();
        self.send(datagram, &to);
    }

    fn pass_on_news(&self, news: News) {
        self.pass_on(&Datagram::News { news, passes_on: false });
    }

    /// Tells all peers that this host leaves.
    pub fn say_bye(&self) {
        let members = self.host.members.borrow();
        let own = members.own();
        let bye = Datagram::Bye { host: own.host.clone(), incarnation: own.incarnation };
        let to: Vec<SocketAddr> = members.others().map(|member| member.address).collect();
        self.send(&bye, &to);
    }

    /// A host that stops says nothing but farewell: its peers count on it no more.
    fn send(&self, datagram: &Datagram, to: &[SocketAddr]) {
        if self.host.is_stopping() && !matches!(datagram, Datagram::Bye { .. }) {
            return;
        }
        let encoded = postcard::to_stdvec(datagram).unwrap_or_default();
        let encoded = match datagram {
            Datagram::News { news, passes_on } if encoded.len() > MAX_DATAGRAM_BYTES => {
                without_changes(news, *passes_on)
            }
            _ => encoded,
        };
        for &address in to {
            // Lost is lost: what it says is repeated, or found missing.
            if self.socket.try_send_to(&encoded, address).is_ok() {
                self.host.metrics.told_peers(encoded.len());
            }
        }
    }

    /// Takes datagrams; never ends.
    pub async fn listen(self: Rc<Peers>) {
        let mut buffer = vec![0; LARGEST_DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((read, from)) => match postcard::from_bytes(&buffer[..read]) {
                    Ok(datagram) => self.take(datagram, from),
                    Err(e) => self.host.log.write(&LogEvent::PeerUnreadable {
                        from: from.to_string(),
                        problem: e.to_string(),
                    }),
                },
                // An earlier datagram found nobody; the socket itself is sound.
                Err(_) => tokio::time::sleep(RECEIVE_PAUSE).await,
            }
        }
    }

    fn take(self: &Rc<Peers>, datagram: Datagram, sender: SocketAddr) {
        match datagram {
            Datagram::Hello { from, asks, digest } => {
                let host = from.host.clone();
                self.note(from);
                self.host.members.borrow_mut().note_answer(&host);
                let differs = digest != self.host.members.borrow().digest();
                if asks && differs {
                    self.tell_members(sender);
                    self.tell_picture(sender);
                }
            }
            Datagram::Known { members } => {
                for member in members {
                    let address = member.address;
                    if self.note(member) {
                        self.hello(address, false);
                    }
                }
            }
            Datagram::News { news, passes_on } => self.take_news(news, passes_on, sender),
            Datagram::Unread { reader, passes_on } => self.take_unread(reader, passes_on, sender),
            Datagram::Bye { host, incarnation } => {
                if self.host.members.borrow_mut().leave(&host, incarnation) {
                    let hosts = self.host.hosts();
                    self.host.log.write(&LogEvent::PeerGone { peer: &host, hosts });
                }
            }
        }
    }

    fn note(&self, member: Member) -> bool {
        let peer = member.host.clone();
        let is_news = self.host.members.borrow_mut().note(self.host.now_ms(), member);
        if is_news {
            let hosts = self.host.hosts();
            self.host.log.write(&LogEvent::PeerHeard { peer: &peer, hosts });
        }
        is_news
    }

    fn tell_members(&self, to: SocketAddr) {
        let members = self.host.members.borrow().all();
        for some in members.chunks(MEMBERS_TOLD) {
            self.send(&Datagram::Known { members: some.to_vec() }, &[to]);
        }
    }

    /// A host that is new is told that there is a picture to be had here.
    fn tell_picture(&self, to: SocketAddr) {
        if self.host.picture_age_ms().is_none() {
            return;
        }
        let revision = self.host.picture.borrow().revision();
        let news = self.news(revision, None);
        self.send(&Datagram::News { news, passes_on: false }, &[to]);
    }

    fn take_news(self: &Rc<Peers>, news: News, passes_on: bool, teller: SocketAddr) {
        let now_ms = self.host.now_ms();
        self.note(news.reader.clone());
        self.host.offered_ms.set(Some(now_ms));
        // Only a host that reads tells changes, even none; one that offers tells none.
        if news.changes.is_some() {
            self.host.members.borrow_mut().note_reader(now_ms, &news.reader.host);
        }
        if passes_on {
            self.hello(teller, false);
        }
        let is_gapless = self.take_changes(&news);
        let differs = {
            let picture = self.host.picture.borrow();
            picture.revision() == news.revision && picture.digest() != news.digest
        };
        let held = self.host.picture.borrow().held();
        match is_gapless {
            false => self.fetch(teller, held, Some(news).filter(|_| passes_on)),
            true => {
                if differs {
                    self.fetch(teller, held.without_entries(), None);
                }
                if passes_on {
                    self.pass_on_news(news);
                }
            }
        }
    }

    fn take_unread(&self, reader: Member, passes_on: bool, teller: SocketAddr) {
        let now_ms = self.host.now_ms();
        let host = reader.host.clone();
        self.note(reader.clone());
        self.host.members.borrow_mut().note_failed_reader(now_ms, &host);
        if passes_on {
            self.hello(teller, false);
            self.pass_on(&Datagram::Unread { reader, passes_on: false });
        }
    }

    /// False if something before them is missing.
    fn take_changes(&self, news: &News) -> bool {
        let at_ms = self.host.now_ms() - news.age_ms;
        let (beliefs, is_gapless) = {
            let mut picture = self.host.picture.borrow_mut();
            let changes = news.changes.clone().unwrap_or_default();
            let is_complete = news.after <= picture.revision() && news.after <= news.revision;
            let revision = if is_complete { news.revision } else { picture.revision() };
            let (beliefs, is_gapless) = picture.take_changes(at_ms, news.after, revision, changes);
            (beliefs, is_gapless && is_complete)
        };
        self.host.picture_changed(&beliefs, news.reader.host.as_str());
        is_gapless
    }

    /// Asks whoever told of something newer; then passes the news on, if that is asked for.
    fn fetch(self: &Rc<Peers>, teller: SocketAddr, held: Held, passed_on: Option<News>) {
        let is_early = self.host.now_ms().since(self.fetched_ms.get()) < FETCH_PAUSE_MS
            && self.host.picture.borrow().confirmed_ms().is_some();
        if is_early || self.is_fetching.replace(true) {
            passed_on.into_iter().for_each(|news| self.pass_on_news(news));
            return;
        }
        let begun_ms = self.host.now_ms();
        self.fetched_ms.set(begun_ms);
        let peers = Rc::clone(self);
        let near = self.near_teller();
        tokio::task::spawn_local(async move {
            let mut told = None;
            for address in near.into_iter().chain([teller]) {
                let fetching = picture::fetch(address, held);
                let fetched = tokio::time::timeout(FETCH_LIMIT, fetching).await;
                told = fetched.ok().and_then(Result::ok);
                if told.is_some() {
                    break;
                }
            }
            peers.is_fetching.set(false);
            peers.take_told(teller, told);
            if let Some(news) = passed_on {
                let age_ms = news.age_ms + peers.host.now_ms().since(begun_ms);
                peers.pass_on_news(News { age_ms, ..news });
            }
        });
    }

    fn take_told(&self, teller: SocketAddr, told: Option<picture::Told>) {
        let host = self.host.members.borrow().host_at(teller).cloned();
        let name = host.as_ref().map_or("unknown", HostId::as_str);
        let is_done = told.is_some();
        let revision = told.as_ref().map(|told| told.catch_up.revision()).unwrap_or_default();
        let is_whole = matches!(&told, Some(told) if matches!(told.catch_up, CatchUp::Whole(_)));
        self.host.log.write(&LogEvent::Fetched { peer: name, revision, is_done, is_whole });
        let Some(told) = told else { return };
        let at_ms = self.host.now_ms() - told.age_ms;
        // What is missing still shows at the next news.
        let (beliefs, _) = self.host.picture.borrow_mut().take_catch_up(at_ms, told.catch_up);
        self.host.picture_changed(&beliefs, name);
    }

    /// Who is asked for a first picture before the teller: a host of the own zone has the same,
    /// and its bytes are not paid for.
    fn near_teller(&self) -> Option<SocketAddr> {
        if self.host.picture.borrow().confirmed_ms().is_some() {
            return None;
        }
        let near = self.host.members.borrow().neighbours();
        near.choose(&mut *self.host.rng.borrow_mut()).copied()
    }

    /// Gives the picture to peers that ask for it; never ends.
    pub async fn give(self: Rc<Peers>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let host = Rc::clone(&self.host);
                    tokio::task::spawn_local(async move {
                        // A peer that is gone asks another.
                        let giving = picture::give(&host, stream);
                        let _ = tokio::time::timeout(FETCH_LIMIT, giving).await;
                    });
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
    }
}

fn without_changes(news: &News, passes_on: bool) -> Vec<u8> {
    let news = News { after: news.revision, changes: Some(Vec::new()), ..news.clone() };
    postcard::to_stdvec(&Datagram::News { news, passes_on }).unwrap_or_default()
}
