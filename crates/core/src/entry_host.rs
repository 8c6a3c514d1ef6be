//! The aggregate: one entry host.

use crate::action::Action;
use crate::event::Event;
use domain::{HostId, Incarnation, Millis, SiteName, ZoneName};
use serde::{Deserialize, Serialize};

/// What an entry host knows of itself from the start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostSettings {
    /// Its id.
    pub host: HostId,
    /// This run.
    pub incarnation: Incarnation,
    /// Its site.
    pub site: SiteName,
    /// Where it stands.
    pub availability_zone: ZoneName,
}

/// One entry host: events in, actions out.
#[derive(Debug)]
pub struct EntryHost {
    settings: HostSettings,
}

impl EntryHost {
    /// A host that has just started and knows only its settings.
    pub fn new(settings: HostSettings, _seed: u64, _now_ms: Millis) -> EntryHost {
        EntryHost { settings }
    }

    /// Takes one event at a point in time and appends what is to be done.
    pub fn handle(&mut self, _now_ms: Millis, _event: Event, _actions: &mut Vec<Action>) {}

    /// When the next [`Event::Tick`] is due at the latest.
    pub fn next_tick_ms(&self) -> Millis {
        Millis::MAX
    }

    /// Everything the host holds, for operators.
    pub fn dump(&self) -> serde_json::Value {
        serde_json::json!({ "settings": self.settings })
    }
}
