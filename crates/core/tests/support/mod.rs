//! A host with a small configuration, driven event by event.
#![allow(clippy::unwrap_used, dead_code)]

pub mod configs;
pub mod fleet;
pub mod pump;
pub mod upstreams;

use config::RepeatRule;
use decision_core::{
    Action, AnswerHead, Attempt, CallHead, ConfigKey, ConfigReading, EntryHost, Event,
    HostSettings, PublishedValue, ReadOutcome, Refusal,
};
use domain::{AttemptId, CallId, Incarnation, Millis, Version};

/// Two upstreams with two slots each; `/order` runs at most once.
pub const BASE: &str = r#"{
    "availability_zones": ["a", "b"],
    "policy": "load-aware",
    "services": { "shop": {
        "routes": [
            { "path_prefix": "/read", "repeat": "idempotent" },
            { "path_prefix": "/order", "repeat": "at-most-once" }
        ],
        "upstreams": {
            "shop-1": { "address": "127.0.0.1:9001", "availability_zone": "a",
                        "slots": 2, "connections": 20 },
            "shop-2": { "address": "127.0.0.1:9002", "availability_zone": "b",
                        "slots": 2, "connections": 20 }
        }
    } }
}"#;

/// The host and the actions of the last arrival.
pub struct Bench {
    pub host: EntryHost,
    /// Whether the body of calls that arrive can be sent again.
    pub body_replayable: bool,
}

/// What an arrival led to.
pub struct Arrival(pub Vec<Action>);

impl Arrival {
    pub fn attempt(&self) -> AttemptId {
        self.send().unwrap().attempt
    }

    pub fn send(&self) -> Option<&Attempt> {
        self.0.iter().find_map(|action| match action {
            Action::Send(attempt) => Some(attempt),
            _ => None,
        })
    }
}

impl Bench {
    pub fn configured() -> Bench {
        Bench::with_base(BASE)
    }

    pub fn with_base(base: &str) -> Bench {
        let mut bench = Bench::alone();
        bench.publish(ConfigKey::Base, 1, base);
        bench.read(ConfigKey::Overlay, ReadOutcome::Missing);
        bench
    }

    /// The only host of its fleet, without a configuration.
    pub fn alone() -> Bench {
        let settings = HostSettings {
            host: "e1".parse().unwrap(),
            incarnation: Incarnation(1),
            site: "site".parse().unwrap(),
            availability_zone: "a".parse().unwrap(),
            drain_notice_ms: Millis(2000),
        };
        let mut bench =
            Bench { host: EntryHost::new(settings, 7, Millis::ZERO), body_replayable: true };
        bench.handle(0, Event::HostListRead(Some(pump::host_list(1, 1))));
        bench
    }

    pub fn publish(&mut self, key: ConfigKey, version: u64, text: &str) -> Vec<Action> {
        let value = PublishedValue { version: Version(version), text: text.to_owned() };
        self.read(key, ReadOutcome::Value(value))
    }

    pub fn read(&mut self, key: ConfigKey, outcome: ReadOutcome) -> Vec<Action> {
        self.handle(0, Event::ConfigRead(ConfigReading { key, outcome }))
    }

    pub fn arrive(&mut self, call: CallId, repeat: RepeatRule) -> Arrival {
        self.arrive_at(0, call, repeat)
    }

    pub fn arrive_at(&mut self, now_ms: u64, call: CallId, repeat: RepeatRule) -> Arrival {
        let path = match repeat {
            RepeatRule::Idempotent => "/read/1",
            RepeatRule::AtMostOnce => "/order/1",
        };
        let head = CallHead { body_replayable: self.body_replayable, ..head(path) };
        Arrival(self.handle(now_ms, Event::CallArrived { call, head }))
    }

    /// Takes all four slots.
    pub fn fill_slots(&mut self) -> Vec<AttemptId> {
        let fill = |call| self.arrive(CallId(call), RepeatRule::Idempotent).attempt();
        (100..104).map(fill).collect()
    }

    pub fn handle(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        let mut actions = vec![];
        self.host.handle(Millis(now_ms), event, &mut actions);
        actions
    }

    pub fn tick(&mut self, now_ms: u64) -> Vec<Action> {
        self.handle(now_ms, Event::Tick)
    }
}

pub fn head(path: &str) -> CallHead {
    CallHead {
        caller: "desk".parse().unwrap(),
        method: "POST".to_owned(),
        path: path.to_owned(),
        idempotency_key: None,
        timeout_ms: None,
        spent_attempts: 0,
        depth: 0,
        body_replayable: true,
    }
}

pub fn answer(status: u16) -> AnswerHead {
    AnswerHead { status, is_whole: true, not_run: false, load: None, leaving: false }
}

pub fn refused_answer() -> AnswerHead {
    AnswerHead { not_run: true, ..answer(503) }
}

pub fn refusal_of(id: CallId, actions: &[Action]) -> Option<Refusal> {
    actions.iter().find_map(|action| match action {
        Action::Refuse { call, refusal } if *call == id => Some(*refusal),
        _ => None,
    })
}

/// A fleet with base 1 in force everywhere, left alone for a while.
pub fn fleet(count: usize, seed: u64) -> pump::Pump {
    let mut pump = pump::Pump::new(count, seed);
    pump.publish_first();
    pump.start_all();
    pump.run_for(25_000);
    assert!(pump.processes.values().all(|process| process.ready));
    pump
}
