//! Published values, their changes and snapshots.

use crate::{EvacuationEnd, Routing, RoutingPatch, Upstream};
use domain::{UpstreamId, ZoneName};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Position of a change in the order of all changes.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A value and the revision that wrote it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry<T> {
    /// Revision of its last change.
    pub revision: Revision,
    /// The value.
    pub value: T,
}

/// One published value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Item {
    /// The routing.
    Routing(Arc<Routing>),
    /// An upstream's entry.
    Upstream(Arc<Upstream>),
    /// An evacuated zone, whose upstreams get no new requests.
    Evacuation(ZoneName),
}

/// The removal of an upstream's entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Removal {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The revision that removed it.
    pub revision: Revision,
    /// The cause.
    pub cause: RemovalCause,
}

/// Why an upstream's entry was removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RemovalCause {
    /// It is no longer published: the upstream left, or could not renew it in time.
    Deleted,
    /// It was overwritten by a value that is no valid upstream. It won't be renewed, so its removal
    /// takes effect at once even after an outage.
    Overwritten,
}

/// A change of what is published.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// A value was written.
    Written(Entry<Item>),
    /// The routing was written; this is the patch of the one before.
    Patched(Entry<RoutingPatch>),
    /// An entry was removed.
    Removed(Removal),
    /// An evacuation was withdrawn.
    EvacuationEnded(EvacuationEnd),
}

/// Everything that is published as of a revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision up to which no change is missing.
    pub revision: Revision,
    /// All values.
    pub items: Vec<Entry<Item>>,
    /// Entries that were overwritten by a value that is no valid upstream.
    pub overwritten: Vec<Removal>,
}
