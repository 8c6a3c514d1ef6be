//! Allowances of the whole fleet: by how many hosts they are divided, and this host's part.

use super::Host;
use crate::settings::Settings;
use dispatch::FleetSize;
use dispatch::probe_budget::{LOCAL_ZONE_PROBE_SHARE, SCHEDULER_PROBE_SHARE};
use dispatch::retry_budget::RetryBudget;
use domain::{Millis, PerSecond};
use std::cell::RefMut;

/// For this long after its start, a host doesn't know how many hosts there are.
const DISCOVERY_MS: Millis = Millis(3_000);

impl Host {
    /// Number of hosts that share the fleet's allowances; none if this one can't know it, as it has
    /// just started or heard of no other host, though it has seeds.
    pub fn sharing_hosts(&self) -> Option<u32> {
        let members = self.members();
        let is_alone = self.settings.borrow().seeds.iter().all(|seed| *seed == self.own_ip());
        let is_new = self.now_ms().since(self.started_ms) < DISCOVERY_MS;
        (!is_new && (is_alone || members.knows_others())).then(|| members.sharing_count())
    }

    /// The retry budget, for the hosts that share it now.
    pub fn retry_budget(&self) -> RefMut<'_, RetryBudget> {
        let hosts = self.sharing_hosts();
        let mut budget = self.retry_budget.borrow_mut();
        budget.set_hosts(hosts);
        budget
    }

    /// Numbers of hosts that share the probes and the rates of upstreams.
    pub fn fleet_size(&self) -> FleetSize {
        let members = self.members();
        FleetSize {
            hosts: members.count_with_silent(),
            hosts_in_zone: members.count_with_silent_in_zone(),
        }
    }

    /// Records that the process runs, so that probe budgets accrue nothing while it is suspended.
    pub fn record_awake(&self) {
        let now_ms = self.now_ms();
        for budget in [&self.probe_budget, &self.zone_probe_budget, &self.placement.probe_budget] {
            budget.borrow_mut().record_awake(now_ms);
        }
    }

    /// Applies the allowances of reloaded settings.
    pub(super) fn set_allowances(&self, settings: &Settings) {
        self.retry_budget.borrow_mut().set_allowed(settings.limits.retries);
        self.probe_budget.borrow_mut().set_allowed(unscheduled_probes(settings));
        self.zone_probe_budget.borrow_mut().set_allowed(local_zone_probes(settings));
        self.placement.probe_budget.borrow_mut().set_allowed(scheduler_probes(settings));
    }
}

/// Rate of probes for requests that no scheduler places.
pub(super) fn unscheduled_probes(settings: &Settings) -> PerSecond {
    PerSecond(settings.limits.probes.0 * (1.0 - SCHEDULER_PROBE_SHARE - LOCAL_ZONE_PROBE_SHARE))
}

/// Rate of probes for requests that go to an idle upstream in the local availability zone.
pub(super) fn local_zone_probes(settings: &Settings) -> PerSecond {
    PerSecond(settings.limits.probes.0 * LOCAL_ZONE_PROBE_SHARE)
}

/// Rate of probes for requests that this host schedules.
pub(super) fn scheduler_probes(settings: &Settings) -> PerSecond {
    PerSecond(settings.limits.probes.0 * SCHEDULER_PROBE_SHARE)
}
