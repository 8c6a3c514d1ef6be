//! How a host that has just started begins to read.

use crate::{Entry, Item};
use domain::{FastSet, Millis, ServiceName};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::num::NonZeroU32;

/// How long such a host waits for a seed: the way there and back, with a slow machine at its end.
/// Where seeds start later than the rest, 111 hosts behind 10 Mbit/s were ready 0.30 s after their
/// start in the middle, and 0.14 s with this, those without callers among them.
pub(super) const SAMPLE_WAIT_MS: Millis = Millis(20);

/// How long a seed that has just started waits for another seed's picture before it reads: the
/// way there and back, with a slow machine at its end.
const SEED_WAIT_MS: Millis = Millis(15);

/// How long any other host waits at least for a seed to answer before it makes one call by
/// itself: the way there and back, twice. One call brings all of a small source, and of a large
/// one enough to serve.
const START_WAIT_MS: Millis = Millis(40);

/// Longest further wait, drawn by each host.
const START_SPREAD_MS: u64 = 40;

/// A host waits as many times as long as its own link needs for the largest answer of one call.
/// On a fast link the call costs nothing. Behind 20 Mbit/s it takes 60 ms, and where 472 such
/// hosts made it at once the source's own link was full for half a second: they were ready 50 ms
/// later than those that waited for a seed.
const START_WAIT_CALLS: u64 = 4;

/// A host whose link needs longer than this for such an answer, and whose callers wait, reads a
/// sample of the upstreams in place of it: some kilobytes.
const NARROW_CALL_MS: u64 = 30;

/// Largest answer of one call, in bits: 500 values of 300 bytes.
const CALL_KILOBITS: u64 = 1_200;

/// How long a host that made one call waits for the rest from a peer. Machines that get their
/// power back together start within half a second, the seeds among them.
const REST_WAIT_MS: Millis = Millis(300);

/// Longest further wait, drawn by each host, so that where all seeds are lost not all the others
/// read on at once.
const REST_SPREAD_MS: u64 = 400;

/// The same where the whole system starts for the first time: callers come later, and a
/// hundred hosts that all read would be paid for.
const FIRST_START_SPREAD_MS: u64 = 1_500;

/// How a host came to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartConditions {
    /// The others ask this host first, so it reads at once.
    pub is_seed: bool,
    /// The whole system starts for the first time.
    pub is_first: bool,
    /// Other hosts that it can ask.
    pub other_seeds: usize,
    /// Speed of its link; none if it is not told.
    pub link_mbps: Option<NonZeroU32>,
}

impl StartConditions {
    /// How long its link needs for the largest answer of one call.
    fn call_ms(&self) -> u64 {
        self.link_mbps.map_or(0, |link_mbps| CALL_KILOBITS / u64::from(link_mbps.get()))
    }

    /// How long it waits for others before it reads.
    pub(super) fn waits(&self, rng: &mut Pcg64Mcg) -> StartWaits {
        let link_ms = START_WAIT_CALLS * self.call_ms();
        let spread_ms = match self.is_first {
            true => FIRST_START_SPREAD_MS,
            false => START_SPREAD_MS + link_ms,
        };
        let drawn_ms = Millis(rng.random_range(0..=spread_ms));
        let rest_ms = REST_WAIT_MS + Millis(rng.random_range(0..=REST_SPREAD_MS));
        let (first_ms, rest_ms) = match self.other_seeds {
            0 => (Millis::ZERO, Millis::ZERO),
            _ if self.is_seed => (SEED_WAIT_MS, Millis::ZERO),
            _ => (START_WAIT_MS + Millis(link_ms) + drawn_ms, rest_ms),
        };
        StartWaits { first_ms, rest_ms }
    }

    /// Whether a sample is worth reading: the link is narrow, and nobody begins with what this
    /// host tells.
    pub(super) fn may_sample(&self) -> bool {
        self.call_ms() > NARROW_CALL_MS && !self.is_seed && self.other_seeds > 0
    }
}

/// How long a host that has just started waits for others.
#[derive(Debug, Clone, Copy)]
pub(super) struct StartWaits {
    /// Before it reads as much as one call brings.
    pub(super) first_ms: Millis,
    /// Before it reads the rest.
    pub(super) rest_ms: Millis,
}

/// Whether values hold a routing, and upstreams of each service that it sends requests to.
pub fn covers_services(items: &[Entry<Item>]) -> bool {
    let service = |entry: &Entry<Item>| match &entry.value {
        Item::Upstream(upstream) => Some(upstream.service.clone()),
        Item::Routing(_) | Item::Evacuation(_) => None,
    };
    let covered: FastSet<ServiceName> = items.iter().filter_map(service).collect();
    items.iter().any(|entry| match &entry.value {
        Item::Routing(routing) => {
            let mut wanted = routing.routes.iter().flat_map(|route| &route.split);
            wanted.all(|destination| covered.contains(&destination.service))
        }
        Item::Upstream(_) | Item::Evacuation(_) => false,
    })
}
