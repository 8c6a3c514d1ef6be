//! Chooses the peer through which a host opens a connection to an upstream that it can't reach.

use crate::links::is_silent;
use domain::{FastMap, HostId, Millis, ZoneName};
use published::Member;
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;

/// Peers that are asked for one connection, one after the other.
pub const MAX_RELAYS: usize = 5;

/// How long a peer that could not help is not asked; doubled each time up to [`MAX_AVOIDED_MS`].
const MIN_AVOIDED_MS: u64 = 250;

/// Longest time for which a peer is not asked: its links may be back, and the others' gone.
const MAX_AVOIDED_MS: u64 = 1_000;

/// How long a peer that helped is preferred to those of which nothing is known.
const PROVEN_MS: Millis = Millis(5_000);

/// Least share of the choices among all peers, also while some are proven.
const MIN_EXPLORED_SHARE: f64 = 0.1;

/// Weight of one outcome in the share of peers that could not help.
const OUTCOME_WEIGHT: f64 = 0.2;

/// Factor on the load of a peer in neither the host's nor the upstream's zone: its traffic crosses
/// zones twice.
const FAR_FACTOR: f64 = 2.0;

/// Zones of a host and of the upstream that it wants to reach.
#[derive(Debug, Clone, Copy)]
pub struct RelayZones<'a> {
    /// Zone of the host.
    pub own: &'a ZoneName,
    /// Zone of the upstream.
    pub upstream: &'a ZoneName,
}

impl RelayZones<'_> {
    fn is_near(&self, relay: &Member) -> bool {
        [self.own, self.upstream].contains(&&relay.availability_zone)
    }
}

/// What a host knows of its peers as relays.
#[derive(Debug, Default)]
pub struct RelayDirectory {
    relays: FastMap<HostId, Relay>,
    /// Moving average of the share of peers that could not help, 0 to 1.
    failure_share: f64,
}

#[derive(Debug, Default)]
struct Relay {
    failures: u32,
    avoided_until_ms: Millis,
    responded_ms: Option<Millis>,
    /// Tunnels that it stated to serve, for all hosts.
    tunnels: u32,
}

impl RelayDirectory {
    /// Chooses a peer to relay a connection; none if all were excluded, or could not help lately.
    pub fn choose<'m>(
        &self,
        now_ms: Millis,
        zones: RelayZones<'_>,
        peers: impl Iterator<Item = &'m Member>,
        excluded: &[HostId],
        rng: &mut Pcg64Mcg,
    ) -> Option<&'m Member> {
        let is_eligible =
            |peer: &&Member| !excluded.contains(&peer.host) && !self.is_avoided(now_ms, &peer.host);
        let eligible: Vec<&Member> = peers.filter(is_eligible).collect();
        let is_proven = |peer: &&&Member| self.is_proven(now_ms, &peer.host);
        let proven: Vec<&Member> = eligible.iter().filter(is_proven).copied().collect();
        // The load spreads over all peers as long as most of them help.
        let explored_share = (1.0 - self.failure_share).max(MIN_EXPLORED_SHARE);
        let explores = proven.is_empty() || rng.random_bool(explored_share);
        let among = if explores { &eligible } else { &proven };
        let near: Vec<&Member> = among.iter().filter(|peer| zones.is_near(peer)).copied().collect();
        let drawn = [among.choose(rng), among.choose(rng), near.choose(rng)];
        drawn
            .into_iter()
            .flatten()
            .copied()
            .min_by(|a, b| self.load(a, zones).total_cmp(&self.load(b, zones)))
    }

    /// Whether any of these peers may be able to help.
    pub fn has_eligible<'m>(
        &self,
        now_ms: Millis,
        mut peers: impl Iterator<Item = &'m Member>,
    ) -> bool {
        peers.any(|peer| !self.is_avoided(now_ms, &peer.host))
    }

    /// Load of a relay for its capacity, as far as it stated it.
    fn load(&self, peer: &Member, zones: RelayZones<'_>) -> f64 {
        let tunnels = self.relays.get(&peer.host).map_or(0, |relay| relay.tunnels);
        let capacity = f64::from(peer.capacity.cpu_percent.max(1));
        let distance = if zones.is_near(peer) { 1.0 } else { FAR_FACTOR };
        f64::from(tunnels + 1) / capacity * distance
    }

    fn is_avoided(&self, now_ms: Millis, host: &HostId) -> bool {
        self.relays.get(host).is_some_and(|relay| now_ms < relay.avoided_until_ms)
    }

    fn is_proven(&self, now_ms: Millis, host: &HostId) -> bool {
        let responded_ms = self.relays.get(host).and_then(|relay| relay.responded_ms);
        responded_ms.is_some_and(|at_ms| now_ms.since(at_ms) < PROVEN_MS)
    }

    /// Records that a relay opened a connection, and how many tunnels it stated to serve.
    pub fn record_opened(&mut self, host: &HostId, tunnels: u32) {
        let relay = self.relays.entry(host.clone()).or_default();
        relay.tunnels = tunnels;
        self.record_outcome(0.0);
    }

    /// Records that an upstream responded through a relay.
    pub fn record_response(&mut self, now_ms: Millis, host: &HostId) {
        let relay = self.relays.entry(host.clone()).or_default();
        relay.failures = 0;
        relay.responded_ms = Some(now_ms);
    }

    /// Records that a relay did not reach an upstream, without knowing whether that is due to its own
    /// links.
    pub fn record_doubtful(&mut self, now_ms: Millis, host: &HostId) {
        let relay = self.relays.entry(host.clone()).or_default();
        relay.avoided_until_ms = now_ms + Millis(MIN_AVOIDED_MS);
    }

    /// Records that a relay could not help, or nothing came through it.
    pub fn record_failure(&mut self, now_ms: Millis, host: &HostId) {
        let relay = self.relays.entry(host.clone()).or_default();
        let avoided_ms = (MIN_AVOIDED_MS << relay.failures.min(8)).min(MAX_AVOIDED_MS);
        relay.failures += 1;
        relay.responded_ms = None;
        relay.avoided_until_ms = now_ms + Millis(avoided_ms);
        self.record_outcome(1.0);
    }

    fn record_outcome(&mut self, failures: f64) {
        self.failure_share += (failures - self.failure_share) * OUTCOME_WEIGHT;
    }

    /// Whether an idle connection through a relay may have died unnoticed.
    pub fn is_silent(&self, now_ms: Millis, host: &HostId) -> bool {
        is_silent(self.relays.get(host).and_then(|relay| relay.responded_ms), now_ms)
    }

    /// Drops what is known of hosts that are no longer members.
    pub fn retain(&mut self, is_member: impl Fn(&HostId) -> bool) {
        self.relays.retain(|host, _| is_member(host));
    }
}
