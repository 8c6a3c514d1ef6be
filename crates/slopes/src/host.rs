//! One real core with a configuration in force, driven by hand.

use crate::error::SlopesError;
use crate::published::Published;
use decision_core::{
    Action, ConfigKey, ConfigReading, EntryHost, Event, HostList, HostSettings, ListedHost,
    PublishedValue, ReadOutcome,
};
use domain::{HostId, Incarnation, Millis, Version};
use std::net::{Ipv4Addr, SocketAddr};

/// Steps of the clock while the host starts.
const START_STEP_MS: Millis = Millis(100);
/// Steps after which a host that isn't ready never will be.
const MAX_START_STEPS: usize = 600;
const SEED: u64 = 7;
const FIRST_PORT: u16 = 7001;

/// One real core with a configuration in force.
#[derive(Debug)]
pub struct LoadedHost {
    /// The core.
    pub core: EntryHost,
    /// The time it was last told.
    pub now_ms: Millis,
    published: Published,
    last_version: u64,
}

impl LoadedHost {
    /// A host that has just put the published values in force.
    ///
    /// # Errors
    ///
    /// If the host does not get ready.
    pub fn start(published: Published) -> Result<LoadedHost, SlopesError> {
        let now_ms = Millis(1);
        let core = EntryHost::new(settings(0)?, SEED, now_ms);
        let mut host = LoadedHost { core, now_ms, published, last_version: 1 };
        host.tell(Event::Tick);
        host.tell(Event::HostListRead(Some(host_list(1, 1)?)));
        let base = reading(ConfigKey::Base, 1, host.published.base());
        let overlay = reading(ConfigKey::Overlay, 1, host.published.overlay(0));
        let mut actions = host.tell(base);
        actions.extend(host.tell(overlay));
        for _ in 0..MAX_START_STEPS {
            if actions.contains(&Action::SetReady(true)) {
                return Ok(host);
            }
            host.now_ms = host.now_ms + START_STEP_MS;
            actions = host.tell(Event::Tick);
        }
        Err(SlopesError::NotReady)
    }

    /// Hands the core an event at the present time.
    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.core.handle(self.now_ms, event, &mut actions);
        actions
    }

    /// The reading that brings the next change: one overlay with a few upstreams changed.
    pub fn next_change(&mut self) -> Event {
        self.last_version += 1;
        let change = self.last_version as usize;
        reading(ConfigKey::Overlay, self.last_version, self.published.overlay(change))
    }

    /// The published values.
    pub fn published(&self) -> &Published {
        &self.published
    }
}

/// Settings of the host of that number.
///
/// # Errors
///
/// If a generated name is no id.
pub fn settings(number: usize) -> Result<HostSettings, SlopesError> {
    Ok(HostSettings {
        host: host_id(number)?,
        incarnation: Incarnation(1),
        site: "site".parse().map_err(|_| SlopesError::BadId)?,
        availability_zone: zone(number)?,
        drain_notice_ms: Millis(2000),
    })
}

/// A list of so many hosts, the first being host zero.
///
/// # Errors
///
/// If a generated name is no id.
pub fn host_list(version: u64, hosts: usize) -> Result<HostList, SlopesError> {
    let listed = (0..hosts).map(|number| {
        Ok(ListedHost {
            host: host_id(number)?,
            peer_address: peer_address(number),
            availability_zone: zone(number)?,
            leaving: false,
        })
    });
    Ok(HostList { version: Version(version), hosts: listed.collect::<Result<_, SlopesError>>()? })
}

/// Id of the host of that number.
///
/// # Errors
///
/// If the generated name is no id.
pub fn host_id(number: usize) -> Result<HostId, SlopesError> {
    format!("entry-{number:03}").parse().map_err(|_| SlopesError::BadId)
}

/// Where the host of that number listens for its peers.
pub fn peer_address(number: usize) -> SocketAddr {
    let [high, low] = (number as u16).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 200, high, low), FIRST_PORT))
}

fn zone(number: usize) -> Result<domain::ZoneName, SlopesError> {
    format!("zone-{}", number % 4).parse().map_err(|_| SlopesError::BadId)
}

fn reading(key: ConfigKey, version: u64, text: String) -> Event {
    let value = PublishedValue { version: Version(version), text };
    Event::ConfigRead(ConfigReading { key, outcome: ReadOutcome::Value(value) })
}
