//! Estimates which part of the fleet a host reaches, by pinging other hosts in random order.

use domain::{FastMap, Millis};
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Time between two pings. The cost for each host doesn't grow with the fleet.
pub const PING_INTERVAL_MS: Millis = Millis(60);

/// Time after which a ping counts as lost: a round trip between regions, on slow machines.
const PING_TIMEOUT_MS: Millis = Millis(100);

/// Results that are kept: two seconds.
const SAMPLE: usize = 32;

/// Latest results, which count alone if they are worse: the part that a split leaves must be known
/// before much more than that part was granted.
const LATEST: usize = 6;

/// The part that is assumed without results: a host mostly becomes an owner since the one before is
/// out of reach, which a split may have caused.
const UNKNOWN_PART: f64 = 0.6;

/// Pings to other hosts, and their results.
#[derive(Debug, Default)]
pub struct Reach {
    next_number: u64,
    open: FastMap<u64, Millis>,
    results: VecDeque<bool>,
    /// Hosts that are still to be pinged before any is pinged again: a small fleet is known exactly.
    round: Vec<SocketAddr>,
}

/// A ping to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ping {
    /// Identifies it.
    pub number: u64,
    /// The host to ping.
    pub to: SocketAddr,
}

impl Reach {
    /// Returns the next ping, of which one is sent every [`PING_INTERVAL_MS`]; none if there are no
    /// `others`, which are all other hosts.
    pub fn next_ping(
        &mut self,
        now_ms: Millis,
        others: impl Iterator<Item = SocketAddr>,
        rng: &mut Pcg64Mcg,
    ) -> Option<Ping> {
        self.expire(now_ms);
        if self.round.is_empty() {
            self.round = others.collect();
            self.round.shuffle(rng);
        }
        let to = self.round.pop()?;
        self.next_number += 1;
        self.open.insert(self.next_number, now_ms);
        Some(Ping { number: self.next_number, to })
    }

    /// Records the answer to a ping.
    pub fn record_pong(&mut self, now_ms: Millis, number: u64) {
        self.expire(now_ms);
        if self.open.remove(&number).is_some() {
            self.record(true);
        }
    }

    /// Forgets everything, as after a pause in which nothing was granted.
    pub fn reset(&mut self) {
        *self = Reach { next_number: self.next_number, ..Reach::default() };
    }

    /// The part that this host reaches, itself included, of `sharing` hosts that share quotas. It
    /// pings `known` ones, itself included; the others fell silent long ago.
    pub fn part(&self, known: u32, sharing: u32) -> f64 {
        let known_part = f64::from(known) / f64::from(sharing.max(known).max(1));
        self.part_of_known(known) * known_part
    }

    fn part_of_known(&self, hosts: u32) -> f64 {
        if hosts <= 1 {
            return 1.0;
        }
        if self.results.len() < LATEST {
            return UNKNOWN_PART;
        }
        let part_of = |latest: usize| {
            let results = self.results.iter().rev().take(latest);
            let reached = results.filter(|is_reached| **is_reached).count();
            reached as f64 / latest.min(self.results.len()) as f64
        };
        let part_of_others = part_of(SAMPLE).min(part_of(LATEST));
        let hosts = f64::from(hosts);
        (1.0 + part_of_others * (hosts - 1.0)) / hosts
    }

    fn expire(&mut self, now_ms: Millis) {
        let is_late = |sent_ms: &Millis| now_ms.since(*sent_ms) > PING_TIMEOUT_MS;
        let late = self.open.values().filter(|sent_ms| is_late(sent_ms)).count();
        self.open.retain(|_, sent_ms| !is_late(sent_ms));
        (0..late).for_each(|_| self.record(false));
    }

    fn record(&mut self, is_reached: bool) {
        self.results.push_back(is_reached);
        if self.results.len() > SAMPLE {
            self.results.pop_front();
        }
    }
}
