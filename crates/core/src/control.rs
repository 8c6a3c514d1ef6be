//! Configuration and fleet: what is read, told to peers and put in force.

use crate::action::Action;
use crate::entry_host::{EntryHost, InForce};
use crate::event::{ConfigKey, ConfigReading, HostList, ReadOutcome};
use crate::membership::HEARTBEAT_EVERY_MS;
use crate::message::{Heartbeat, PeerMessage};
use crate::service::ServiceState;
use config::{RouteTable, SiteConfig};
use domain::{HostId, Incarnation, Millis, Version};

/// Time between readings of the host list.
const HOST_LIST_EVERY_MS: Millis = Millis(1000);
/// Longest wait of one watch.
const WATCH_MS: Millis = Millis(20_000);
/// A watch that has not come back by then is lost.
const WATCH_LOST_AFTER_MS: Millis = Millis(25_000);
/// Time to the next reading after a failed one.
const READ_AGAIN_AFTER_MS: Millis = Millis(500);

impl EntryHost {
    pub(crate) fn peer_received(
        &mut self,
        now_ms: Millis,
        from: HostId,
        incarnation: Incarnation,
        message: PeerMessage,
        actions: &mut Vec<Action>,
    ) {
        match message {
            PeerMessage::Heartbeat(heartbeat) => {
                self.ask_for_newer(&from, &heartbeat, actions);
                self.membership.take_heartbeat(now_ms, from, incarnation, heartbeat);
            }
            PeerMessage::ConfigWanted { key } => {
                if let Some(value) = self.adoption.newest(key).cloned() {
                    self.send_peer(&from, PeerMessage::ConfigOffered { key, value }, actions);
                }
            }
            PeerMessage::ConfigOffered { key, value } => {
                if let Some(config) = self.adoption.offer(key, value) {
                    self.put_in_force(now_ms, config, actions);
                }
            }
        }
    }

    pub(crate) fn config_read(
        &mut self,
        now_ms: Millis,
        reading: ConfigReading,
        actions: &mut Vec<Action>,
    ) {
        let ConfigReading { key, outcome } = reading;
        let failed = matches!(outcome, ReadOutcome::Unavailable | ReadOutcome::Missing);
        let adopted = match outcome {
            ReadOutcome::Value(value) => self.adoption.offer(key, value),
            ReadOutcome::Missing if key == ConfigKey::Overlay => self.adoption.no_overlay(),
            ReadOutcome::Missing | ReadOutcome::Unchanged | ReadOutcome::Unavailable => None,
        };
        let again_ms = if failed { now_ms + READ_AGAIN_AFTER_MS } else { now_ms };
        *self.read_timer(key) = again_ms;
        if let Some(config) = adopted {
            self.put_in_force(now_ms, config, actions);
        }
        self.run_control_timers(now_ms, actions);
    }

    pub(crate) fn host_list_read(&mut self, list: Option<HostList>) {
        if let Some(list) = list {
            self.membership.take_list(list);
        }
    }

    pub(crate) fn run_control_timers(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        if self.timers.host_list_ms <= now_ms {
            self.timers.host_list_ms = now_ms + HOST_LIST_EVERY_MS;
            actions.push(Action::ReadHostList);
        }
        if self.timers.heartbeat_ms <= now_ms {
            self.timers.heartbeat_ms = now_ms + HEARTBEAT_EVERY_MS;
            self.send_heartbeats(now_ms, actions);
        }
        for key in [ConfigKey::Base, ConfigKey::Overlay] {
            self.read_config_if_due(now_ms, key, actions);
        }
    }

    pub(crate) fn send_heartbeats(&mut self, _now_ms: Millis, actions: &mut Vec<Action>) {
        let versions = self.adoption.in_force();
        let heartbeat = Heartbeat {
            base: versions.base,
            overlay: versions.overlay,
            leaving: self.lifecycle.is_leaving(),
        };
        for peer in self.membership.listed_peers(&self.settings.host) {
            actions.push(Action::SendPeer {
                to: peer.host.clone(),
                address: peer.peer_address,
                message: PeerMessage::Heartbeat(heartbeat.clone()),
            });
        }
    }

    pub(crate) fn send_peer(&self, to: &HostId, message: PeerMessage, actions: &mut Vec<Action>) {
        if let Some(listed) = self.membership.listed(to) {
            let address = listed.peer_address;
            actions.push(Action::SendPeer { to: to.clone(), address, message });
        }
    }

    fn ask_for_newer(&self, from: &HostId, heartbeat: &Heartbeat, actions: &mut Vec<Action>) {
        let newer = |key, theirs: Version| {
            self.adoption.newest(key).is_none_or(|ours| theirs > ours.version) && theirs.0 > 0
        };
        for (key, version) in
            [(ConfigKey::Base, heartbeat.base), (ConfigKey::Overlay, heartbeat.overlay)]
        {
            if newer(key, version) {
                self.send_peer(from, PeerMessage::ConfigWanted { key }, actions);
            }
        }
    }

    fn read_config_if_due(&mut self, now_ms: Millis, key: ConfigKey, actions: &mut Vec<Action>) {
        let after = self.adoption.newest(key).map(|value| value.version);
        let timer_ms = self.read_timer(key);
        if *timer_ms > now_ms {
            return;
        }
        *timer_ms = now_ms + WATCH_LOST_AFTER_MS;
        let wait_ms = if after.is_some() { WATCH_MS } else { Millis::ZERO };
        actions.push(Action::ReadConfig { key, after, wait_ms });
    }

    fn read_timer(&mut self, key: ConfigKey) -> &mut Millis {
        match key {
            ConfigKey::Base => &mut self.timers.base_read_ms,
            ConfigKey::Overlay => &mut self.timers.overlay_read_ms,
        }
    }

    fn put_in_force(&mut self, now_ms: Millis, config: SiteConfig, actions: &mut Vec<Action>) {
        for (name, service) in &config.services {
            match self.services.get_mut(name) {
                Some(state) => state.republish(service.clone()),
                None => {
                    let state = ServiceState::new(name.clone(), service.clone());
                    self.services.insert(name.clone(), state);
                }
            }
        }
        self.services.retain(|name, state| config.services.contains_key(name) || state.calls > 0);
        let routes = RouteTable::new(&config);
        let first = self.in_force.is_none();
        self.in_force = Some(InForce { config, routes });
        if first && !self.lifecycle.is_leaving() {
            actions.push(Action::SetReady(true));
        }
        let names: Vec<_> = self.services.keys().cloned().collect();
        for name in names {
            self.dispatch(now_ms, &name, actions);
        }
        self.send_heartbeats(now_ms, actions);
    }
}
