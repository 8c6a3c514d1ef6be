//! Upstreams, hosts and callers in virtual time, around the real decisions.
//!
//! Nobody knows from a running fleet what could have been served at best. Here the same load
//! is played with the product's own scheduler, with a queue that sees everything at once, and
//! with simpler rules beside them; the difference is what decisions can still gain. A play is
//! a pure function of its [`Site`], its [`Policy`] and a seed: figures are the same on each
//! machine.
//!
//! - [`site`]: what is played
//! - [`upstream`]: an upstream with slots, a queue, neighbours and a slow-down of its own
//! - [`play`]: hosts and callers around it
//! - [`figures`]: what callers got

pub mod figures;
pub mod play;
mod policy;
pub mod site;
mod timeline;
pub mod upstream;

pub use figures::Figures;
pub use play::play;
pub use policy::Policy;
pub use site::Site;
