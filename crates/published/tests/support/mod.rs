//! Builders of published values, and simulated sites.
#![allow(clippy::unwrap_used, dead_code)]

pub mod site;
pub mod starting;

use domain::{Millis, Slots, UpstreamId, Version};
use published::{
    Change, Entry, Item, Removal, RemovalCause, Revision, RunStart, Snapshot, Upstream,
    UpstreamMode,
};
use std::sync::Arc;

pub fn id(name: &str) -> UpstreamId {
    name.parse().unwrap()
}

pub fn upstream(name: &str, mode: UpstreamMode) -> Arc<Upstream> {
    Arc::new(Upstream {
        id: id(name),
        service: "parts".parse().unwrap(),
        address: "127.0.0.1:8080".parse().unwrap(),
        availability_zone: "kariakoo".parse().unwrap(),
        slots: Slots(6),
        mode,
        warmup_left_ms: Millis::ZERO,
        run: RunStart::default(),
    })
}

pub fn written(revision: u64, name: &str) -> Change {
    let value = Item::Upstream(upstream(name, UpstreamMode::Ready));
    Change::Written(Entry { revision: Revision(revision), value })
}

pub fn draining(revision: u64, name: &str) -> Change {
    let value = Item::Upstream(upstream(name, UpstreamMode::Draining));
    Change::Written(Entry { revision: Revision(revision), value })
}

pub fn removed(revision: u64, name: &str) -> Change {
    Change::Removed(removal(revision, name, RemovalCause::Deleted))
}

pub fn overwritten(revision: u64, name: &str) -> Change {
    Change::Removed(removal(revision, name, RemovalCause::Overwritten))
}

pub fn removal(revision: u64, name: &str, cause: RemovalCause) -> Removal {
    Removal { upstream: id(name), revision: Revision(revision), cause }
}

/// An entry of the run of an upstream that started at `start_ms`.
pub fn of_run(revision: u64, name: &str, start_ms: u64) -> Change {
    let run = RunStart(Some(Millis(start_ms)));
    let upstream = Upstream { run, ..(*upstream(name, UpstreamMode::Ready)).clone() };
    let value = Item::Upstream(Arc::new(upstream));
    Change::Written(Entry { revision: Revision(revision), value })
}

pub fn routing(revision: u64, version: u64) -> Change {
    let routing = published::Routing {
        version: Version(version),
        limits: published::CallerLimits {
            head_bytes: domain::ByteCount(1),
            body_bytes: domain::ByteCount(1),
            head_timeout_ms: Millis(1),
            idle_timeout_ms: Millis(1),
        },
        routes: Vec::new(),
        services: Vec::new(),
        organisations: None,
    };
    Change::Written(Entry { revision: Revision(revision), value: Item::Routing(Arc::new(routing)) })
}

pub fn snapshot(revision: u64, items: Vec<Change>) -> Snapshot {
    let entry = |change| match change {
        Change::Written(entry) => entry,
        _ => unreachable!("a snapshot contains entries only"),
    };
    let items = items.into_iter().map(entry).collect();
    Snapshot { revision: Revision(revision), items, overwritten: Vec::new() }
}
