//! Changes of the published state that are logged.

use crate::{RemovalCause, Revision, RunStart};
use domain::{Millis, UpstreamId, Version, ZoneName};
use serde::Serialize;

/// A change of the published state, for logs.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "belief", rename_all = "kebab-case")]
pub enum StateChange {
    /// A routing is in force.
    RoutingInForce {
        /// Its version.
        version: Version,
        /// Its revision.
        revision: Revision,
    },
    /// A routing with a smaller version than the one in force was rejected, despite its greater
    /// revision.
    RoutingRefused {
        /// Its version.
        version: Version,
        /// The version in force.
        in_force: Version,
    },
    /// A zone was evacuated: its upstreams get no new requests.
    ZoneEvacuated {
        /// The zone.
        zone: ZoneName,
        /// Its revision.
        revision: Revision,
    },
    /// An evacuation was withdrawn.
    ZoneRestored {
        /// The zone.
        zone: ZoneName,
        /// The revision that ended it.
        revision: Revision,
    },
    /// An upstream accepts requests.
    UpstreamJoined {
        /// Its id.
        upstream: UpstreamId,
        /// Its revision.
        revision: Revision,
    },
    /// An upstream announced that it is leaving.
    UpstreamLeaving {
        /// Its id.
        upstream: UpstreamId,
        /// Its revision.
        revision: Revision,
    },
    /// An upstream's entry expired during an outage of the source; it is kept for a grace period.
    UpstreamLapsed {
        /// Its id.
        upstream: UpstreamId,
        /// End of the grace period.
        until_ms: Millis,
    },
    /// An upstream whose entry had expired registered again.
    UpstreamReturned {
        /// Its id.
        upstream: UpstreamId,
        /// Its revision.
        revision: Revision,
    },
    /// An upstream restarted under its id: what was known of the former run is dropped.
    UpstreamRestarted {
        /// Its id.
        upstream: UpstreamId,
        /// The revision of the new run's entry.
        revision: Revision,
        /// Start of the former run.
        former_start_ms: RunStart,
        /// Start of the new run.
        start_ms: RunStart,
    },
    /// An upstream's entry was removed.
    UpstreamGone {
        /// Its id.
        upstream: UpstreamId,
        /// The revision that removed it.
        revision: Revision,
        /// The cause.
        cause: RemovalCause,
    },
}
