//! Upstreams and submissions for the tests.
#![allow(clippy::unwrap_used, dead_code)]

pub mod queue_simulation;
pub mod rate_simulation;

use dispatch::scheduler::{Cell, Effect, PlacementMessage, Submission, Ticket};
use dispatch::{LoadReport, RouteKey, UpstreamSet, UpstreamState};
use domain::{Millis, Slots, UpstreamId};
use published::{Entry, Evacuations, Revision, RunStart, Upstream, UpstreamMode};
use std::sync::Arc;

pub const SLOTS: u32 = 6;

pub fn id(name: &str) -> UpstreamId {
    name.parse().unwrap()
}

pub fn entry(name: &str, zone: &str) -> Entry<Arc<Upstream>> {
    entry_in(name, zone, UpstreamMode::Ready)
}

pub fn entry_in(name: &str, zone: &str, mode: UpstreamMode) -> Entry<Arc<Upstream>> {
    let value = Upstream {
        id: id(name),
        service: "parts".parse().unwrap(),
        address: "127.0.0.1:8080".parse().unwrap(),
        availability_zone: zone.parse().unwrap(),
        slots: Slots(SLOTS),
        mode,
        warmup_left_ms: Millis::ZERO,
        run: RunStart::default(),
    };
    Entry { revision: Revision(1), value: Arc::new(value) }
}

/// An entry of the process run that started at `start_ms`.
pub fn of_run(name: &str, start_ms: u64) -> Entry<Arc<Upstream>> {
    let run = RunStart(Some(Millis(start_ms)));
    let value = Upstream { run, ..(*entry(name, "kariakoo").value).clone() };
    Entry { revision: Revision(start_ms), value: Arc::new(value) }
}

pub fn upstream_state(name: &str) -> UpstreamState {
    UpstreamState::new(&entry(name, "kariakoo"), Millis::ZERO)
}

pub fn report(running: u32, waiting: u32, slowness_percent: u32) -> LoadReport {
    LoadReport { running, waiting, slots: Slots(SLOTS), slowness_percent }
}

/// An upstream set as seen from a host in `kariakoo`.
pub fn set(entries: &[Entry<Arc<Upstream>>]) -> UpstreamSet {
    let mut set = UpstreamSet::new("front-1".parse().unwrap(), "kariakoo".parse().unwrap());
    set.sync(Millis::ZERO, entries.iter(), &Evacuations::default());
    set
}

/// A submission of a host in `kariakoo` for any availability zone.
pub fn submission(ticket: u64) -> Submission {
    Submission {
        ticket: Ticket(ticket),
        cell: Cell { service: "parts".parse().unwrap(), zone: None },
        zone: "kariakoo".parse().unwrap(),
        route: RouteKey::ONLY,
        route_time: None,
        priority: 0,
        objective_ms: Millis(400),
        age_ms: Millis::ZERO,
        left_ms: Millis(1_200),
        tried: Vec::new(),
        backing_off: Vec::new(),
        lends_rate_share: true,
    }
}

/// Where the first request that the effects place is placed.
pub fn placed(effects: &[Effect]) -> Option<UpstreamId> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send { message: PlacementMessage::Placed { placement, .. }, .. } => {
            Some(placement.upstream.clone())
        }
        _ => None,
    })
}
