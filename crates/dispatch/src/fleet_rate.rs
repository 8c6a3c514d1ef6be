//! Keeps the requests of the whole fleet to an upstream within a rate ([`budget`], [`sharing`]).
//!
//! All hosts have an equal share of such a rate. A host lends its share to the scheduler that it
//! submits its requests to ([`Lenders`]), and to one scheduler at a time. So a scheduler that all
//! hosts use spends the whole rate, a host that is cut off spends its own share only, and the sum
//! stays within the rate however the fleet is partitioned. One exception: the primary scheduler of
//! a cell spends the whole rate as soon as some of its hosts lend to it, since most hosts have no
//! request within a second. What the others lend to another scheduler meanwhile is sent on top of
//! the rate, for which the platform leaves some room.

mod budget;
mod sharing;

pub use budget::FleetRate;
pub(crate) use budget::RateBudget;
pub(crate) use sharing::{Lenders, LentShares};
pub use sharing::{LocalRateLimiter, assumed_fleet};
