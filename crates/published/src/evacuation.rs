//! Availability zones that operators have evacuated: their upstreams get no new requests.
//!
//! An evacuation is published state, not an event. It reaches a host that was cut off, lost its
//! history or has just started in the same way as the routing, ordered by the same revisions, and
//! ends only when it is withdrawn. A zone without known upstreams may be evacuated, too, since they
//! may be published later.

use crate::Revision;
use domain::{FastMap, Millis, ZoneName};
use serde::{Deserialize, Serialize};

/// The end of an evacuation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationEnd {
    /// The zone.
    pub zone: ZoneName,
    /// The change that ended it.
    pub revision: Revision,
}

/// The evacuated zones, and recently ended evacuations.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    in_force: FastMap<ZoneName, Revision>,
    /// Rejects messages about an evacuation that arrive after its end.
    ended: FastMap<ZoneName, Ended>,
}

#[derive(Debug, Clone, Copy)]
struct Ended {
    revision: Revision,
    since_ms: Millis,
}

impl Evacuations {
    /// Whether a zone is evacuated.
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.in_force.contains_key(zone)
    }

    /// The evacuated zones, with the revisions of their evacuations.
    pub fn in_force(&self) -> impl Iterator<Item = (&ZoneName, Revision)> {
        self.in_force.iter().map(|(zone, &revision)| (zone, revision))
    }

    /// The recently ended evacuations.
    pub(crate) fn ended(&self) -> impl Iterator<Item = EvacuationEnd> {
        let end = |(zone, ended): (&ZoneName, &Ended)| EvacuationEnd {
            zone: zone.clone(),
            revision: ended.revision,
        };
        self.ended.iter().map(end)
    }

    /// Records an evacuation. Returns true if the zone was not evacuated before.
    pub(crate) fn begin(&mut self, revision: Revision, zone: ZoneName) -> bool {
        if self.ended.get(&zone).is_some_and(|ended| ended.revision >= revision) {
            return false;
        }
        self.ended.remove(&zone);
        let current = self.in_force.get(&zone).copied();
        let newest = current.unwrap_or_default().max(revision);
        self.in_force.insert(zone, newest);
        current.is_none()
    }

    /// Records the end of an evacuation. Returns true if the zone was evacuated before.
    pub(crate) fn end(&mut self, now_ms: Millis, end: EvacuationEnd) -> bool {
        let EvacuationEnd { zone, revision } = end;
        let current = self.in_force.get(&zone).copied();
        if current.is_some_and(|current| current > revision) {
            return false;
        }
        let former = self.ended.get(&zone).map(|ended| ended.revision).unwrap_or_default();
        let revision = former.max(revision);
        self.in_force.remove(&zone);
        self.ended.insert(zone, Ended { revision, since_ms: now_ms });
        current.is_some()
    }

    /// Removes ends that are older than `age_ms`; returns the greatest revision among them.
    pub(crate) fn expire(&mut self, now_ms: Millis, age_ms: Millis) -> Revision {
        let has_expired = |ended: &Ended| now_ms.since(ended.since_ms) >= age_ms;
        let expired = self.ended.values().filter(|ended| has_expired(ended));
        let last = expired.map(|ended| ended.revision).max().unwrap_or_default();
        self.ended.retain(|_, ended| !has_expired(ended));
        last
    }
}
