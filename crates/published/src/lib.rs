//! The state that the platform publishes, as each host knows it.
//!
//! Three things are published at the source: the [`Routing`] that operators write, the availability
//! zones that they evacuate ([`Evacuations`]), and one [`Upstream`] entry for each instance that
//! registers itself. One revision orders all changes, so any two versions of a key can be compared
//! locally. [`PublishedState`] merges what is read and received: an older version never replaces a
//! newer one, and entries that expired during an outage of the source get time to come back.
//! [`Gossip`] spreads the state to all hosts, and [`Reader`] decides which host reads the source.
//!
//! This crate does no IO; the caller passes the time in.

mod change;
mod evacuation;
mod gossip;
mod members;
mod organisation;
mod patch;
mod preference;
mod reading;
mod routing;
mod state;
mod state_change;
mod upstream;

pub use change::{Change, Entry, Item, Removal, RemovalCause, Revision, Snapshot};
pub use evacuation::{EvacuationEnd, Evacuations};
pub use gossip::{
    Bootstrap, Effect, Fetch, FetchReply, FetchRequest, Gossip, HelloKind, JoinReply, Message,
    Origin, StateUpdate,
};
pub use members::{Capacity, Member, Members, Recipient};
pub use organisation::{KeyDigest, Organisation, Quota};
pub use patch::RoutingPatch;
pub use preference::{PreferredCounts, preferred_upstreams};
pub use reading::{
    ACTIVE_READERS, LONG_POLL_MS, ReadStep, Reader, StartConditions, Waiting, covers_services,
};
pub use routing::{
    CallerLimits, Destination, Idempotency, MatchedRoute, Route, RouteTable, Routing,
    ServiceSettings,
};
pub use state::{
    BootstrapSnapshot, CatchUp, KnownRevisions, PublishedState, REREGISTRATION_GRACE_MS,
    SOURCE_OUTAGE_MS,
};
pub use state_change::StateChange;
pub use upstream::{Eligibility, RunStart, Upstream, UpstreamMode};
