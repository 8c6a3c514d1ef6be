//! What the platform publishes, as the product believes it.
//!
//! Three things are published: the [`Routing`] that operators write, the availability zones
//! that they evacuate ([`Evacuations`]), and one [`Upstream`] entry for each instance that
//! registers itself. One revision orders every change, so what is newer never has to be asked of
//! anybody. [`PublishedState`] holds what is believed and keeps the rules: nothing older is ever put in
//! force, nothing that lapsed while the source was away is dropped before it had time to come
//! back. [`Gossip`] is a host's part in telling the fleet, [`Reader`] its part in reading.
//!
//! This crate knows nothing of IO, and time is handed in.

mod change;
mod evacuation;
mod gossip;
mod members;
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
pub use patch::RoutingPatch;
pub use preference::{PreferredCounts, preferred_upstreams};
pub use reading::{
    ACTIVE_READERS, LONG_POLL_MS, ReadStep, Reader, StartConditions, covers_services,
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
