//! Availability zones that operators have evacuated: nothing new is to be sent to upstreams there.
//!
//! An evacuation is state, not an event. It is part of what is published, so it reaches a host
//! that was cut off, lost its history or has just started the same way as the routing does, and
//! is ordered by the same revisions. It ends only when it is taken back; that an upstream's zone
//! is unknown here says nothing, as its upstreams may be published later.

use crate::Revision;
use domain::{FastMap, Millis, ZoneName};
use serde::{Deserialize, Serialize};

/// The end of an evacuation: the zone may be used again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationEnd {
    /// Which zone.
    pub zone: ZoneName,
    /// The change that ended it.
    pub revision: Revision,
}

/// The zones that are evacuated, and those that were until a while ago.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    in_force: FastMap<ZoneName, Revision>,
    /// Guards against late news of an evacuation that has ended.
    ended: FastMap<ZoneName, Ended>,
}

#[derive(Debug, Clone, Copy)]
struct Ended {
    revision: Revision,
    since_ms: Millis,
}

impl Evacuations {
    /// Whether nothing new is to be sent to upstreams of a zone.
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.in_force.contains_key(zone)
    }

    /// The zones that are evacuated, and the revisions that say so.
    pub fn in_force(&self) -> impl Iterator<Item = (&ZoneName, Revision)> {
        self.in_force.iter().map(|(zone, &revision)| (zone, revision))
    }

    /// The ends that are remembered.
    pub(crate) fn ended(&self) -> impl Iterator<Item = EvacuationEnd> {
        let end = |(zone, ended): (&ZoneName, &Ended)| EvacuationEnd {
            zone: zone.clone(),
            revision: ended.revision,
        };
        self.ended.iter().map(end)
    }

    /// True if the zone was not evacuated before.
    pub(crate) fn begin(&mut self, revision: Revision, zone: ZoneName) -> bool {
        if self.ended.get(&zone).is_some_and(|ended| ended.revision >= revision) {
            return false;
        }
        self.ended.remove(&zone);
        let held = self.in_force.get(&zone).copied();
        let newest = held.unwrap_or_default().max(revision);
        self.in_force.insert(zone, newest);
        held.is_none()
    }

    /// True if the zone was evacuated until now.
    pub(crate) fn end(&mut self, now_ms: Millis, end: EvacuationEnd) -> bool {
        let EvacuationEnd { zone, revision } = end;
        let held = self.in_force.get(&zone).copied();
        if held.is_some_and(|held| held > revision) {
            return false;
        }
        let former = self.ended.get(&zone).map(|ended| ended.revision).unwrap_or_default();
        let revision = former.max(revision);
        self.in_force.remove(&zone);
        self.ended.insert(zone, Ended { revision, since_ms: now_ms });
        held.is_some()
    }

    /// Forgets ends that are older than `age_ms`; the last revision that was forgotten.
    pub(crate) fn expire(&mut self, now_ms: Millis, age_ms: Millis) -> Revision {
        let is_old = |ended: &Ended| now_ms.since(ended.since_ms) >= age_ms;
        let old = self.ended.values().filter(|ended| is_old(ended));
        let last = old.map(|ended| ended.revision).max().unwrap_or_default();
        self.ended.retain(|_, ended| !is_old(ended));
        last
    }
}
