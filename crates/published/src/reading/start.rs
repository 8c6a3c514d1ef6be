//! How a host that has just started begins to read.

use crate::{Entry, Item};
use domain::{FastSet, Millis, ServiceName};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::num::NonZeroU32;

/// How long a host waits for a seed before it reads a sample: a round trip, with a slow seed.
pub(super) const SAMPLE_WAIT_MS: Millis = Millis(20);

/// How long a seed that has just started waits for another seed's state before it reads: a round
/// trip, with a slow peer.
const SEED_WAIT_MS: Millis = Millis(15);

/// Minimum time that any other host waits for a seed before it reads the first page: two round
/// trips. One page holds all of a small source, and enough of a large one to serve with.
const START_WAIT_MS: Millis = Millis(40);

/// Upper bound of an additional wait that each host draws at random.
const START_SPREAD_MS: u64 = 40;

/// Additional wait, as a multiple of the transfer time of a page over the host's own link. Many
/// hosts with slow links that read a page at once would fill the source's link.
const START_WAIT_PAGES: u64 = 4;

/// Transfer time of a page above which a host with waiting requests reads a small sample of the
/// upstreams instead.
const SLOW_PAGE_MS: u64 = 30;

/// Largest page, in kilobits: 500 values of 300 bytes.
const PAGE_KILOBITS: u64 = 1_200;

/// How long a host with the first page waits for a peer's full snapshot. Machines that are powered
/// on together start within half a second, the seeds among them.
const REST_WAIT_MS: Millis = Millis(300);

/// Upper bound of an additional wait that each host draws at random, so that hosts that lost all
/// seeds don't all read on at once.
const REST_SPREAD_MS: u64 = 400;

/// Upper bound of the random wait at the first start of the whole system, where requests come later
/// and reads by a hundred hosts would be a needless cost.
const FIRST_START_SPREAD_MS: u64 = 1_500;

/// The conditions under which a host starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartConditions {
    /// Whether this host is a seed: others send their joins here, so it reads at once.
    pub is_seed: bool,
    /// Whether the whole system starts for the first time.
    pub is_first: bool,
    /// Number of other seeds.
    pub other_seeds: usize,
    /// Speed of its link, if it is known.
    pub link_mbps: Option<NonZeroU32>,
}

impl StartConditions {
    /// Transfer time of a page over its link.
    fn page_ms(&self) -> u64 {
        self.link_mbps.map_or(0, |link_mbps| PAGE_KILOBITS / u64::from(link_mbps.get()))
    }

    /// Draws how long it waits for others before it reads.
    pub(super) fn waits(&self, rng: &mut Pcg64Mcg) -> StartWaits {
        let link_ms = START_WAIT_PAGES * self.page_ms();
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

    /// Whether a sample may be read first: the link is slow, and no joining host depends on it.
    pub(super) fn may_sample(&self) -> bool {
        self.page_ms() > SLOW_PAGE_MS && !self.is_seed && self.other_seeds > 0
    }
}

/// How long a host that has just started waits for others.
#[derive(Debug, Clone, Copy)]
pub(super) struct StartWaits {
    /// Before it reads the first page.
    pub(super) first_ms: Millis,
    /// Before it reads the other pages.
    pub(super) rest_ms: Millis,
}

/// Whether `items` holds a routing and an upstream of each service that it refers to.
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
