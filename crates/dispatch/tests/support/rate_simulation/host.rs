//! A simulated host, and what it knows from its start.

use super::super::{entry, id};
use super::{COLD_MARGIN_MS, Fault, LimitReason, SLOTS, Scenario, ZONES, service, zone};
use dispatch::scheduler::{Cell, Directory, Requester, SchedulerSet};
use dispatch::{FleetSize, LocalRateLimiter, UpstreamSet, assumed_fleet};
use domain::{Connections, HostId, Incarnation, Millis, PerSecond, Slots};
use published::{Capacity, Entry, Evacuations, Member, ServiceSettings, Upstream};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::sync::Arc;

pub(super) struct Host {
    pub(super) member: Member,
    pub(super) schedulers: SchedulerSet,
    pub(super) directory: Directory,
    pub(super) upstreams: UpstreamSet,
    pub(super) rate_limiter: LocalRateLimiter,
    pub(super) rng: Pcg64Mcg,
    /// Number of restarts; messages for a former run are dropped.
    pub(super) run: u64,
    pub(super) up_at_ms: u64,
}

impl Host {
    pub(super) fn new(
        number: usize,
        scenario: &Scenario,
        entries: &[Entry<Arc<Upstream>>],
    ) -> Host {
        let name: HostId = format!("front-{number}").parse().unwrap();
        let mut upstreams = UpstreamSet::new(name.clone(), zone(number));
        upstreams.sync(Millis::ZERO, entries.iter(), &Evacuations::default());
        let settings = ServiceSettings {
            name: service(),
            health_path: "/healthz".to_owned(),
            max_connections: Connections(100),
            cold_rate: Some(PerSecond(scenario.rate)),
        };
        upstreams.set_cold_rates(std::iter::once(&settings));
        let mut schedulers = SchedulerSet::new(name.clone());
        schedulers.set_fleet(known_fleet(scenario, Millis::ZERO));
        Host {
            member: Member {
                host: name.clone(),
                incarnation: Incarnation(1),
                availability_zone: zone(number),
                address: SocketAddr::new([127, 0, 0, 1].into(), number as u16),
                capacity: Capacity::default(),
            },
            schedulers,
            directory: Directory::default(),
            upstreams,
            rate_limiter: LocalRateLimiter::new(name),
            rng: Pcg64Mcg::seed_from_u64(scenario.seed.wrapping_mul(1_000) + number as u64),
            run: 0,
            up_at_ms: 0,
        }
    }

    pub(super) fn choose(&self, now_ms: Millis, cell: &Cell, members: &[Member]) -> Option<usize> {
        let chosen = self.directory.choose(now_ms, cell, members.iter());
        chosen.map(|member| usize::from(member.address.port()))
    }
}

/// The fleet as its hosts know it; hosts that have just started know only themselves.
pub(super) fn known_fleet(scenario: &Scenario, now_ms: Millis) -> FleetSize {
    let (hosts, hosts_in_zone) = (scenario.hosts as u32, scenario.hosts.div_ceil(ZONES) as u32);
    match scenario.fault {
        Fault::JustStarted => assumed_fleet(FleetSize { hosts: 1, hosts_in_zone: 1 }, now_ms),
        _ => FleetSize { hosts, hosts_in_zone },
    }
}

pub(super) fn requester(to: usize, from: usize) -> Requester {
    match to == from {
        true => Requester::OwnHost,
        false => Requester::Peer(SocketAddr::new([127, 0, 0, 1].into(), from as u16)),
    }
}

/// An upstream. All are in the first zone; cold ones stay cold throughout.
pub(super) fn upstream_entry(number: usize, scenario: &Scenario) -> Entry<Arc<Upstream>> {
    let entry = entry(&format!("i-{number}"), "zone-0");
    let value = Upstream {
        id: id(&format!("i-{number}")),
        slots: Slots(SLOTS),
        warmup_left_ms: match scenario.limit_reason {
            LimitReason::Cold => Millis(scenario.duration_ms) + COLD_MARGIN_MS,
            LimitReason::Limited { .. }
            | LimitReason::Leaving { .. }
            | LimitReason::Refusing { .. } => Millis::ZERO,
        },
        ..(*entry.value).clone()
    };
    Entry { value: Arc::new(value), ..entry }
}
