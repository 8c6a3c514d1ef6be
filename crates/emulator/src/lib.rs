//! Simulates upstreams, hosts and callers in virtual time, with the load balancer's real scheduler.
//!
//! A running deployment does not show how many requests it could have served at best. The
//! emulator gives the same load to the scheduler, to an ideal queue that knows the state of every
//! upstream at once, and to simpler policies; the difference shows how much better scheduling
//! could get. The result depends only on the [`Site`], the [`Policy`] and the seed, so it is the
//! same on every machine.
//!
//! - [`site`]: the simulated deployment and its load
//! - [`upstream`]: an upstream with slots, a queue and noisy neighbours
//! - [`simulation`]: the hosts and callers
//! - [`figures`]: what callers experienced

pub mod figures;
mod policy;
pub mod simulation;
pub mod site;
mod timeline;
pub mod upstream;

pub use figures::Figures;
pub use policy::Policy;
pub use simulation::simulate;
pub use site::Site;
