//! Scripted failures against the decision core.
//!
//! A scenario is a text file: entry hosts, upstreams, what callers and operators do,
//! what fails and when. [`run`] plays it with scripted time, small fakes around real
//! [`decision_core::EntryHost`]s, and returns every promise that was broken. There is
//! no IO and no real clock, so a scenario gives the same verdict each time.

mod check;
mod fakes;
mod generate;
mod ledger;
mod parse;
mod print;
mod sabotage;
mod script;
mod world;

pub use check::{Breach, Verdict};
pub use generate::{Failure, scenarios, search};
pub use parse::{ParseError, parse};
pub use sabotage::Sabotage;
pub use script::{
    CallSpec, Command, Expectation, HostSpec, Place, RouteSpec, Scenario, Step, UpstreamFault,
    UpstreamSpec, Via,
};

/// Plays a scenario to its end.
///
/// With a [`Sabotage`] the harness breaks one mechanism on purpose, to show that the
/// checks notice.
pub fn run(scenario: &Scenario, sabotage: Option<Sabotage>) -> Verdict {
    let mut world = world::World::new(scenario, sabotage);
    world.play();
    check::judge(scenario, &world)
}
