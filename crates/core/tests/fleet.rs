//! The fleet: configuration spreads, hosts start, pause, part and come back.
#![allow(clippy::unwrap_used)]

mod support;

use decision_core::{ConfigKey, VersionPair};
use domain::Version;
use support::BASE;
use support::pump::Pump;

fn running(count: usize) -> Pump {
    let mut pump = Pump::new(count, 7);
    pump.publish(ConfigKey::Base, 1, BASE);
    pump.start_all();
    pump.run_for(5000);
    pump
}

#[test]
fn a_change_reaches_every_host() {
    let mut pump = running(5);
    pump.publish(ConfigKey::Base, 2, BASE);
    pump.run_for(3000);
    for process in pump.processes.values() {
        let expected = VersionPair { base: Version(2), overlay: Version(0) };
        assert_eq!(process.host.dump().versions, expected);
    }
}
