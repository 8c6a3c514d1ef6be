//! Where a request goes, what may be repeated, and when it is given up.
//!
//! Pure decisions: what upstreams told, the time and a seeded generator go in, choices
//! come out. [`UpstreamSet`] is the aggregate of what is known of upstreams;
//! [`attempts`] holds the rules of repeating; [`budget`] the host's part of what the
//! whole fleet may spend.

pub mod attempts;
pub mod budget;
mod choice;
mod load;
mod patience;
mod service_load;
mod split;
mod subset;
mod upstream;
mod upstream_set;

pub use choice::{ASKED_AT_ONCE, Candidate, GOOD_ENOUGH, weigh};
pub use load::LoadReport;
pub use patience::{Offer, Patience, Verdict};
pub use service_load::ServiceLoad;
pub use split::SplitTable;
pub use subset::{ALL, FAR, FleetShape, NEAR, Subset};
pub use upstream::{AskFailure, Known, SendFailure};
pub use upstream_set::{Reach, UpstreamSet};
