//! How many requests an upstream may get from the whole fleet ([`budget`], [`sharing`]).
//!
//! Such a rate belongs to all hosts together. Each host has an equal
//! share of it, and lends it to the scheduler that it hands its requests to ([`Lenders`]). So a
//! scheduler that all hosts use spends all of the rate, a host that is cut off its own share only,
//! and however the fleet is divided the sum stays within the rate. A share is lent to one
//! scheduler at a time. The first in order for a cell takes all of the rate once it has heard from some of its hosts,
//! as most have no request within a second; what those lend that use another one meanwhile comes on top of it,
//! and what the platform bears beyond the rate is for that.

mod budget;
mod sharing;

pub use budget::FleetRate;
pub(crate) use budget::RateBudget;
pub(crate) use sharing::{Lenders, LentShares};
pub use sharing::{LocalRateLimiter, assumed_fleet};
