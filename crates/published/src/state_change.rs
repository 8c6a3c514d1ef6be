//! Changes of what is believed, for logs.

use crate::{RemovalCause, Revision, RunStart};
use domain::{Millis, UpstreamId, Version, ZoneName};
use serde::Serialize;

/// A change of what is believed, for logs.
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
    /// A routing with a smaller version came under a greater revision, and was not taken.
    RoutingRefused {
        /// Its version.
        version: Version,
        /// What is in force.
        in_force: Version,
    },
    /// Nothing new is sent to the upstreams of a zone.
    ZoneEvacuated {
        /// Which zone.
        zone: ZoneName,
        /// Its revision.
        revision: Revision,
    },
    /// An evacuation was taken back.
    ZoneRestored {
        /// Which zone.
        zone: ZoneName,
        /// The revision that ended it.
        revision: Revision,
    },
    /// An upstream takes work.
    UpstreamJoined {
        /// Its id.
        upstream: UpstreamId,
        /// Its revision.
        revision: Revision,
    },
    /// An upstream says that it is leaving.
    UpstreamLeaving {
        /// Its id.
        upstream: UpstreamId,
        /// Its revision.
        revision: Revision,
    },
    /// An upstream's entry lapsed while the source was away; it is kept for a while.
    UpstreamLapsed {
        /// Its id.
        upstream: UpstreamId,
        /// When it is gone unless it came back.
        until_ms: Millis,
    },
    /// An upstream's entry that had lapsed was written anew.
    UpstreamReturned {
        /// Its id.
        upstream: UpstreamId,
        /// Its revision.
        revision: Revision,
    },
    /// An upstream started again under its id: what was known of it is dropped.
    UpstreamRestarted {
        /// Its id.
        upstream: UpstreamId,
        /// The revision that tells of it.
        revision: Revision,
        /// Start of the run that is over.
        former_start_ms: RunStart,
        /// Start of the run that goes on.
        start_ms: RunStart,
    },
    /// An upstream's entry is gone.
    UpstreamGone {
        /// Its id.
        upstream: UpstreamId,
        /// The revision that removed it.
        revision: Revision,
        /// How it ended.
        cause: RemovalCause,
    },
}
