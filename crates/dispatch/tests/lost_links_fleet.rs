//! Fleets of 13 to 472 hosts of which a part loses its links to all upstreams, in virtual time:
//! who notices, who schedules, and through whom the others' connections go.
#![allow(clippy::unwrap_used)]

use dispatch::relays::{MAX_RELAYS, RelayDirectory, RelayZones};
use dispatch::scheduler::{Cell, Directory};
use dispatch::{LinkMonitor, LinkState};
use domain::{HostId, Incarnation, Millis, ServiceName, UpstreamId, ZoneName};
use published::{Capacity, Member};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const ZONES: usize = 4;
const SERVICES: usize = 3;
const UPSTREAMS: usize = 12;

/// Requests of a host per second.
const RATE: u64 = 5;

/// Round trip between two hosts, or a host and an upstream.
const ROUND_TRIP_MS: u64 = 3;

/// Head start of a direct connection.
const HEAD_START_MS: u64 = 25;

/// Time after which a relay that waits for an upstream gives up.
const RELAY_LIMIT_MS: u64 = 50;

/// Time within which a connection has to be open for its request to be served.
const OPEN_LIMIT_MS: u64 = 250;

/// Time between two direct probes of upstreams that only peers reach.
const RECHECK_MS: u64 = 300;

/// When the cut begins, and when it ends.
const CUT_MS: u64 = 3_000;
const HEALED_MS: u64 = 9_000;
const END_MS: u64 = 12_000;

/// Time after which callers are served as before.
const DETECTION_MS: u64 = 1_000;

/// How long a tunnel is used.
const TUNNEL_MS: u64 = 2_000;

/// Retries of one request with another upstream.
const MAX_TRIED: usize = 8;

struct Host {
    member: Member,
    is_cut: bool,
    links: LinkMonitor,
    relays: RelayDirectory,
    schedulers: Directory,
    /// When it opened tunnels for others.
    relayed_ms: Vec<u64>,
}

impl Host {
    /// Tunnels that are open, if each lasts as long as [`TUNNEL_MS`].
    fn open_tunnels(&self, now_ms: u64) -> u32 {
        let recent = self.relayed_ms.iter().rev().take_while(|&&at_ms| at_ms + TUNNEL_MS > now_ms);
        recent.count() as u32
    }
}

struct Fleet {
    hosts: Vec<Host>,
    members: Vec<Member>,
    is_silent: bool,
    rng: Pcg64Mcg,
}

/// Requests of some hosts in a span of time.
#[derive(Debug, Default)]
struct Tries {
    all: u32,
    served: u32,
}

impl Tries {
    fn share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.all.max(1))
    }
}

fn service(number: usize) -> ServiceName {
    format!("service-{number}").parse().unwrap()
}

fn upstream(service: usize, number: usize) -> UpstreamId {
    format!("i-{service}-{number}").parse().unwrap()
}

fn zone(number: usize) -> ZoneName {
    format!("zone-{}", number % ZONES).parse().unwrap()
}

impl Fleet {
    fn new(size: usize, is_silent: bool, seed: u64) -> Fleet {
        let member = |number: usize| Member {
            host: format!("front-{number}").parse().unwrap(),
            incarnation: Incarnation(1),
            availability_zone: zone(number),
            address: ([10, 0, (number / 250) as u8, (number % 250) as u8], 7_540).into(),
            capacity: Capacity { link_mbps: 20, cpu_percent: 10 },
        };
        let members: Vec<Member> = (0..size).map(member).collect();
        let host = |member: &Member| Host {
            member: member.clone(),
            is_cut: false,
            links: LinkMonitor::default(),
            relays: RelayDirectory::default(),
            schedulers: Directory::default(),
            relayed_ms: Vec::new(),
        };
        let hosts = members.iter().map(host).collect();
        Fleet { hosts, members, is_silent, rng: Pcg64Mcg::seed_from_u64(seed) }
    }

    fn position(&self, host: &HostId) -> usize {
        self.members.iter().position(|member| member.host == *host).unwrap()
    }

    /// Serves a request; the time until its connection is open, if that is in time.
    fn serve(&mut self, at: usize, now_ms: u64) -> Option<u64> {
        let of = self.rng.random_range(0..SERVICES);
        let mut took_ms = self.place(at, of, now_ms);
        for _ in 0..MAX_TRIED {
            let number = self.rng.random_range(0..UPSTREAMS);
            let (is_open, opening_ms) = self.open(at, of, number, now_ms + took_ms);
            took_ms += opening_ms;
            if is_open {
                return Some(took_ms).filter(|&took_ms| took_ms <= OPEN_LIMIT_MS);
            }
        }
        None
    }

    /// Submits a request to a scheduler; the time until it is placed.
    fn place(&mut self, at: usize, of: usize, now_ms: u64) -> u64 {
        let cell = Cell { service: service(of), zone: None };
        let mut took_ms = 0;
        for _ in 0..4 {
            let chosen =
                self.hosts[at].schedulers.choose(Millis(now_ms), &cell, self.members.iter());
            let Some(chosen) = chosen.map(|member| member.host.clone()) else { break };
            took_ms += ROUND_TRIP_MS;
            let scheduler = self.position(&chosen);
            if self.hosts[scheduler].links.state(&cell.service) == LinkState::Down {
                self.hosts[at].schedulers.record_cut_off(Millis(now_ms), &chosen);
                continue;
            }
            // It probes an upstream before it places the request.
            let number = self.rng.random_range(0..UPSTREAMS);
            let (_, probing_ms) = self.open(scheduler, of, number, now_ms + took_ms);
            return took_ms + probing_ms;
        }
        took_ms
    }

    /// Opens a connection; whether that succeeded, and the time that it took.
    fn open(&mut self, at: usize, of: usize, number: usize, now_ms: u64) -> (bool, u64) {
        let (service, upstream) = (service(of), upstream(of, number));
        let mut took_ms = 0;
        if !self.hosts[at].links.is_detoured(&service, &upstream) {
            if !self.hosts[at].is_cut {
                let host = &mut self.hosts[at];
                host.links.record_response(Millis(now_ms), &service, &upstream);
                return (true, 2 * ROUND_TRIP_MS);
            }
            took_ms += if self.is_silent { HEAD_START_MS } else { ROUND_TRIP_MS };
            self.hosts[at].links.record_unreached(&service, &upstream);
        }
        let mut asked = Vec::new();
        while asked.len() < MAX_RELAYS {
            let Some(relay) = self.choose_relay(at, number, &asked, now_ms) else { break };
            let (is_open, relaying_ms) = self.relay(relay, of, number, now_ms + took_ms);
            took_ms += relaying_ms;
            let tunnels = self.hosts[relay].open_tunnels(now_ms);
            let relay = self.members[relay].host.clone();
            let host = &mut self.hosts[at];
            if is_open {
                host.relays.record_opened(&relay, tunnels);
                host.relays.record_response(Millis(now_ms), &relay);
                host.links.record_reached_by_peer(&service, &upstream);
                return (true, took_ms);
            }
            host.relays.record_failure(Millis(now_ms), &relay);
            asked.push(relay);
        }
        (false, took_ms)
    }

    fn choose_relay(
        &mut self,
        at: usize,
        number: usize,
        asked: &[HostId],
        now_ms: u64,
    ) -> Option<usize> {
        let host = &self.hosts[at];
        let of_upstream = zone(number);
        let zones = RelayZones { own: &host.member.availability_zone, upstream: &of_upstream };
        let peers = self.members.iter().filter(|member| member.host != host.member.host);
        let chosen = host.relays.choose(Millis(now_ms), zones, peers, asked, &mut self.rng)?;
        let chosen = chosen.host.clone();
        Some(self.position(&chosen))
    }

    /// Asks a host to open a connection; whether it did, and the time that it took.
    fn relay(&mut self, relay: usize, of: usize, number: usize, now_ms: u64) -> (bool, u64) {
        let (service, upstream) = (service(of), upstream(of, number));
        let host = &mut self.hosts[relay];
        if host.links.is_detoured(&service, &upstream) {
            return (false, ROUND_TRIP_MS);
        }
        if host.is_cut {
            host.links.record_unreached(&service, &upstream);
            let waited_ms = if self.is_silent { RELAY_LIMIT_MS } else { ROUND_TRIP_MS };
            return (false, ROUND_TRIP_MS + waited_ms);
        }
        host.links.record_response(Millis(now_ms), &service, &upstream);
        host.relayed_ms.push(now_ms);
        (true, 3 * ROUND_TRIP_MS)
    }

    /// Probes one of the upstreams that only peers reach.
    fn recheck(&mut self, at: usize, now_ms: u64) {
        let host = &mut self.hosts[at];
        let detoured: Vec<UpstreamId> = host.links.detoured().cloned().collect();
        let Some(upstream) = detoured.choose(&mut self.rng).filter(|_| !host.is_cut) else {
            return;
        };
        let of = upstream.as_str().split('-').nth(1).unwrap().parse().unwrap();
        host.links.record_response(Millis(now_ms), &service(of), upstream);
    }

    /// Plays all hosts' requests; counts the tries of cut-off hosts and of the others in a span, and
    /// those of the others before the cut.
    fn play(&mut self, cut: &[usize], measured_ms: (u64, u64)) -> (Tries, Tries, Tries) {
        let (mut at_cut, mut at_others, mut before) =
            (Tries::default(), Tries::default(), Tries::default());
        let size = self.hosts.len();
        for now_ms in 0..END_MS {
            if now_ms == CUT_MS || now_ms == HEALED_MS {
                cut.iter().for_each(|&at| self.hosts[at].is_cut = now_ms == CUT_MS);
            }
            for at in 0..size {
                if now_ms % RECHECK_MS == at as u64 % RECHECK_MS {
                    self.recheck(at, now_ms);
                }
                if !self.rng.random_bool(RATE as f64 / 1_000.0) {
                    continue;
                }
                let is_served = self.serve(at, now_ms).is_some();
                let is_cut = cut.contains(&at);
                let tries = match (is_cut, now_ms) {
                    (false, ..CUT_MS) => &mut before,
                    (_, at_ms) if at_ms < measured_ms.0 || measured_ms.1 <= at_ms => continue,
                    (true, _) => &mut at_cut,
                    (false, _) => &mut at_others,
                };
                tries.all += 1;
                tries.served += u32::from(is_served);
            }
        }
        (at_cut, at_others, before)
    }
}

/// The hosts that a cut hits: a share of all, or of one zone.
fn hit(size: usize, percent: usize, is_one_zone: bool) -> Vec<usize> {
    let candidates: Vec<usize> =
        (0..size).filter(|number| !is_one_zone || number % ZONES == 1).collect();
    let count = (candidates.len() * percent).div_ceil(100);
    candidates.into_iter().take(count).collect()
}

/// Guards against callers of cut-off hosts, or of the others, that are served less than in a fleet
/// with good links.
#[rstest]
fn callers_are_served_while_a_part_of_the_fleet_reaches_no_upstream(
    #[values(13, 111, 472)] size: usize,
    #[values((5, false), (60, false), (90, false), (60, true), (100, true))] part: (usize, bool),
    #[values(false, true)] is_silent: bool,
) {
    let cut = hit(size, part.0, part.1);
    let mut fleet = Fleet::new(size, is_silent, 11);
    let (at_cut, at_others, before) = fleet.play(&cut, (CUT_MS + DETECTION_MS, HEALED_MS));
    println!("{size} hosts, {} cut off: {at_cut:?} {at_others:?} {before:?}", cut.len());
    assert!(at_cut.share() >= 0.95 * at_others.share(), "{at_cut:?} {at_others:?}");
    assert!(at_others.share() >= 0.97 * before.share(), "{at_others:?} {before:?}");
    let relayed: Vec<usize> = fleet.hosts.iter().map(|host| host.relayed_ms.len()).collect();
    let mean = relayed.iter().sum::<usize>() as f64 / (size - cut.len()) as f64;
    let most = *relayed.iter().max().unwrap() as f64;
    assert!(most <= 3.0 * mean + 20.0, "a relay opened {most} tunnels, {mean} on average");
}

/// Guards against requests that wait although no host reaches an upstream, and against hosts that
/// don't return to direct connections.
#[rstest]
fn a_fleet_without_links_refuses_at_once_and_serves_again(#[values(13, 111)] size: usize) {
    let cut: Vec<usize> = (0..size).collect();
    let mut fleet = Fleet::new(size, true, 12);
    let (served_cut_off, _, _) = fleet.play(&cut, (CUT_MS + DETECTION_MS, HEALED_MS));
    assert_eq!(served_cut_off.served, 0);
    let mut fleet = Fleet::new(size, true, 12);
    let (after, _, _) = fleet.play(&cut, (HEALED_MS + DETECTION_MS, END_MS));
    assert!(after.share() >= 0.97, "{after:?}");
    assert_eq!(fleet.hosts.iter().map(|host| host.links.down_count()).sum::<usize>(), 0);
}
