//! A configuration is put to use, and what it no longer names is let go.

use crate::action::Action;
use crate::entry_host::{EntryHost, InForce};
use crate::refusal::RefusalCause;
use crate::service::ServiceState;
use config::{RouteTable, SiteConfig};
use domain::{CallId, Millis, ServiceName};

/// Time for which calls that wait for a removed service are still sent.
const RETIRED_SENDS_MS: Millis = Millis(3000);

impl EntryHost {
    pub(super) fn put_in_force(
        &mut self,
        now_ms: Millis,
        config: SiteConfig,
        actions: &mut Vec<Action>,
    ) {
        for (name, service) in &config.services {
            let returns = self.control.retired.remove(name).is_some();
            match self.services.get_mut(name) {
                // Most changes touch few services, and calls wait for this.
                Some(state) if !returns && state.holds(service) => {}
                Some(state) => state.republish(service.clone(), now_ms),
                None => {
                    let state = ServiceState::new(name.clone(), service.clone(), now_ms);
                    self.services.insert(name.clone(), state);
                }
            }
        }
        for name in self.services.keys().filter(|name| !config.services.contains_key(*name)) {
            self.control.retired.entry(name.clone()).or_insert(now_ms);
        }
        let routes = RouteTable::new(&config);
        let first = self.in_force.is_none();
        self.in_force = Some(InForce { config, routes });
        if first && !self.lifecycle.is_leaving() {
            actions.push(Action::SetReady(true));
        }
        let waiting = self.services.iter().filter(|(_, state)| state.queue.len() > 0);
        let names: Vec<_> = waiting.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.dispatch(now_ms, &name, actions);
        }
        self.end_retired_services(now_ms, actions);
        self.announce(now_ms, actions);
    }

    /// Lets removed services go: their calls end, later ones don't reach their upstreams.
    pub(super) fn end_retired_services(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        let retired = std::mem::take(&mut self.control.retired);
        for (name, since_ms) in retired {
            if now_ms.since(since_ms) >= RETIRED_SENDS_MS {
                self.close_service(&name, actions);
            }
            match self.services.get(&name) {
                Some(state) if state.calls > 0 => {
                    self.control.retired.insert(name, since_ms);
                }
                _ => drop(self.services.remove(&name)),
            }
        }
    }

    fn close_service(&mut self, name: &ServiceName, actions: &mut Vec<Action>) {
        let Some(state) = self.services.get_mut(name) else { return };
        state.upstreams.iter_mut().for_each(|upstream| upstream.removed = true);
        while let Some(id) = self.next_in_line(name) {
            self.finish(id, RefusalCause::NoUpstream, actions);
        }
    }

    fn next_in_line(&self, name: &ServiceName) -> Option<CallId> {
        self.services.get(name)?.queue.peek()
    }
}
