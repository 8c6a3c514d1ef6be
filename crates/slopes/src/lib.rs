//! What the core costs as fleet and configuration grow.
//!
//! Each quantity is measured at several sizes on the real crates, as processor time of
//! the measuring thread, counted allocations and counted bytes, and a line is fitted
//! through the points. Intercepts and slopes are what a capacity plan is made of.

mod calls;
mod changes;
mod claims;
mod error;
mod fit;
mod fleet;
mod frames;
mod host;
mod markdown;
mod memory;
mod meter;
mod operator;
mod outage;
mod plan;
mod published;
mod report;
mod series;
mod site;
mod virtual_site;

pub use calls::CallLoop;
pub use error::SlopesError;
pub use fit::{Fit, FitError, fit};
pub use frames::Frame;
pub use host::LoadedHost;
pub use markdown::Markdown;
pub use meter::{Cost, HeapCounts, Meter};
pub use outage::Outage;
pub use plan::{DEPLOYMENTS, Deployment, Plan, Sum, Verdict, plans};
pub use published::{Published, SiteSize};
pub use report::{Report, measure_all};
pub use series::{Point, Series, Unit, Variable};
pub use virtual_site::{Counts, Load, VirtualSite};
