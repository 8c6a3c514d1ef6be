//! Upstreams that register themselves.

use crate::Evacuations;
use domain::{Millis, ServiceName, Slots, UpstreamId, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An instance of a service, as it registers itself.
///
/// It may restart under the same id; what was known of the former run then no longer applies.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its id.
    pub id: UpstreamId,
    /// The service that it serves.
    pub service: ServiceName,
    /// Where it listens. Another upstream may use the address once this one is gone.
    pub address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: ZoneName,
    /// Number of requests that it works on at once.
    pub slots: Slots,
    /// Whether it accepts new requests.
    pub mode: UpstreamMode,
    /// Remaining warm-up time when it wrote the entry.
    pub warmup_left_ms: Millis,
    /// The run of the instance that wrote the entry.
    pub run: RunStart,
}

impl Upstream {
    /// Whether this entry is of a later run of the instance than `other`.
    pub fn is_later_run_than(&self, other: &Upstream) -> bool {
        self.run.is_after(other.run)
    }

    /// Whether new requests may be sent to it.
    pub fn eligibility(&self, evacuations: &Evacuations) -> Eligibility {
        match self.mode {
            UpstreamMode::Draining => Eligibility::Draining,
            UpstreamMode::Ready if evacuations.contains(&self.availability_zone) => {
                Eligibility::ZoneEvacuated
            }
            UpstreamMode::Ready => Eligibility::Eligible,
        }
    }
}

/// When a run of an instance started, in Unix milliseconds by the instance's own clock.
///
/// Older releases of the instances don't state it. Two runs count as the same if either start is
/// missing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RunStart(pub Option<Millis>);

impl RunStart {
    /// Whether this run is known to have started after `other`.
    pub fn is_after(self, other: RunStart) -> bool {
        matches!((self.0, other.0), (Some(own_ms), Some(other_ms)) if own_ms > other_ms)
    }

    /// Whether both may be the same run.
    pub fn is_same(self, other: RunStart) -> bool {
        !self.is_after(other) && !other.is_after(self)
    }

    /// This start, or `other` if this one is missing.
    pub fn or(self, other: RunStart) -> RunStart {
        RunStart(self.0.or(other.0))
    }
}

/// The mode that an upstream states for itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamMode {
    /// It accepts new requests.
    Ready,
    /// It is leaving and accepts no new requests.
    Draining,
}

/// Whether an upstream may get new requests, and otherwise the reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Eligibility {
    /// It may.
    Eligible,
    /// It is leaving.
    Draining,
    /// Its availability zone is evacuated.
    ZoneEvacuated,
    /// It has announced in its responses that it is leaving, but not in its entry yet.
    SaysLeaving,
}
