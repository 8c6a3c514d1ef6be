//! Published values of any size, as operators write them: only what has no default.

use serde_json::{Map, Value, json};

/// Availability zones of the site.
const ZONES: usize = 4;
/// Slots of each upstream.
pub const SLOTS: u32 = 6;
const CONNECTIONS: usize = 250;
/// Values that the changed field takes by turns.
const CHANGES: usize = 100;
/// Upstreams of a service that the base states; the overlay states the others.
const BASE_SHARE: usize = 2;

/// How much a site's configuration holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SiteSize {
    /// Instances of all services.
    pub upstreams: usize,
    /// Services.
    pub services: usize,
}

/// Base and overlay of a site.
#[derive(Debug, Clone)]
pub struct Published {
    size: SiteSize,
    policy: &'static str,
}

impl Published {
    /// Values of that size under a policy.
    pub fn new(size: SiteSize, policy: &'static str) -> Published {
        Published { size, policy }
    }

    /// Routes of all services and every second upstream.
    pub fn base(&self) -> String {
        let zones: Vec<String> = (0..ZONES).map(zone).collect();
        let services = self.services(|index| {
            json!({
                "routes": [
                    { "method": "GET", "path_prefix": read_path(index), "repeat": "idempotent" },
                    { "path_prefix": order_path(index), "repeat": "at-most-once" }
                ],
                "deadline_ms": 2000,
                "upstreams": self.upstreams_of(index, 0, 0),
            })
        });
        json!({ "availability_zones": zones, "policy": self.policy, "services": services })
            .to_string()
    }

    /// The other upstreams; `change` is a number that one field of one upstream depends on.
    pub fn overlay(&self, change: usize) -> String {
        let services =
            self.services(|index| json!({ "upstreams": self.upstreams_of(index, 1, change) }));
        json!({ "services": services }).to_string()
    }

    /// Path of a request that a service may be sent twice.
    pub fn read_path(&self, service: usize) -> String {
        format!("{}/42", read_path(service % self.size.services))
    }

    /// Path of a request that a service may be sent once.
    pub fn order_path(&self, service: usize) -> String {
        format!("{}/42", order_path(service % self.size.services))
    }

    fn services(&self, state: impl Fn(usize) -> Value) -> Map<String, Value> {
        (0..self.size.services).map(|index| (service(index), state(index))).collect()
    }

    fn upstreams_of(&self, service: usize, rest: usize, change: usize) -> Map<String, Value> {
        let SiteSize { upstreams, services } = self.size;
        let numbers = (service..upstreams).step_by(services).enumerate();
        let stated = numbers.filter(|(place, _)| place % BASE_SHARE == rest);
        let changed = |number| if number == services { change } else { 0 };
        stated
            .map(|(_, number)| (upstream(number), upstream_state(number, changed(number))))
            .collect()
    }
}

fn upstream_state(number: usize, change: usize) -> Value {
    json!({
        "address": format!("10.{}.{}.{}:8080", number >> 16, (number >> 8) & 0xff, number & 0xff),
        "availability_zone": zone(number % ZONES),
        "slots": SLOTS,
        "connections": CONNECTIONS + change % CHANGES,
    })
}

fn zone(number: usize) -> String {
    format!("zone-{number}")
}

fn service(number: usize) -> String {
    format!("service-{number:04}")
}

fn upstream(number: usize) -> String {
    format!("up-{number:05}")
}

fn read_path(service: usize) -> String {
    format!("/s{service:04}/read")
}

fn order_path(service: usize) -> String {
    format!("/s{service:04}/order")
}
