//! Slot leases: asked for, used, given back, and done without where the lender is silent.
#![allow(clippy::unwrap_used)]

mod support;

use decision_core::{
    Action, Attempt, AttemptEnd, Event, Heartbeat, LentSlot, PeerMessage, ReturnedSlot,
};
use domain::{AttemptId, CallId, HostId, Incarnation, LeaseId, ServiceName};
use rstest::rstest;
use std::collections::BTreeSet;
use support::{Bench, answer, head, pump};

const CALL: CallId = CallId(1);
const SERVICES: usize = 8;
const START_MS: u64 = 1000;

/// A host whose fleet is itself and `e2`, and the time.
struct Pair {
    bench: Bench,
    now_ms: u64,
}

impl Pair {
    fn new() -> Pair {
        let services: Vec<String> = (0..SERVICES).map(service_json).collect();
        let base = format!(
            r#"{{ "availability_zones": ["a", "b"], "policy": "slot-lease",
                  "measurement": {{ "control_bytes_per_second": 1000000 }},
                  "services": {{ {} }} }}"#,
            services.join(",")
        );
        let mut bench = Bench::with_base(&base);
        bench.handle(START_MS, Event::HostListRead(Some(pump::host_list(2, 2))));
        let mut pair = Pair { bench, now_ms: START_MS };
        pair.hear(PeerMessage::Heartbeat(Heartbeat::default()));
        pair
    }

    fn hear(&mut self, message: PeerMessage) -> Vec<Action> {
        let event = Event::PeerReceived { from: peer(), incarnation: Incarnation(1), message };
        self.bench.handle(self.now_ms, event)
    }

    fn arrive(&mut self, service: usize, call: CallId) -> Vec<Action> {
        let head = head(&format!("/s{service}"));
        self.bench.handle(self.now_ms, Event::CallArrived { call, head })
    }

    /// A service that `e2` lends, after `CALL` has asked for a slot of it.
    fn asked(&mut self) -> ServiceName {
        for service in 0..SERVICES {
            let call = if service == 0 { CALL } else { CallId(100 + service as u64) };
            let actions = self.arrive(service, call);
            if asks(&actions) == Some(1) {
                assert_eq!(sent(&actions), None);
                return name(service);
            }
        }
        panic!("one of the services is lent by the peer");
    }

    fn lend(&mut self, service: &ServiceName, slots: &[(u64, &str)]) -> Vec<Action> {
        let lent = slots.iter().map(|&(lease, upstream)| LentSlot {
            lease: LeaseId(lease),
            upstream: format!("{service}-{upstream}").parse().unwrap(),
        });
        let slots = lent.collect();
        self.hear(PeerMessage::SlotsLent { service: service.clone(), asked: 1, slots })
    }

    /// What `e2` gets when it asks for slots of a service that this host lends.
    fn lends(&mut self, service: &ServiceName, count: u32, back: Vec<LeaseId>) -> Vec<LentSlot> {
        let returned = back.into_iter().map(|lease| returned(lease.0)).collect();
        let service = service.clone();
        let actions = self.hear(PeerMessage::SlotsWanted { service, count, returned });
        let lent = actions.into_iter().find_map(|action| match action {
            Action::SendPeer { message: PeerMessage::SlotsLent { slots, .. }, .. } => Some(slots),
            _ => None,
        });
        lent.unwrap_or_default()
    }

    fn pass(&mut self, span_ms: u64) -> Vec<Action> {
        self.now_ms += span_ms;
        self.bench.tick(self.now_ms)
    }
}

fn service_json(service: usize) -> String {
    let upstream = |id: usize| {
        format!(
            r#""s{service}-{id}": {{ "address": "127.0.{service}.{id}:80",
               "availability_zone": "a", "slots": 2, "connections": 20 }}"#
        )
    };
    let upstreams = [upstream(1), upstream(2), upstream(3)].join(",");
    format!(
        r#""s{service}": {{ "upstreams": {{ {upstreams} }},
           "routes": [{{ "path_prefix": "/s{service}", "repeat": "idempotent" }}] }}"#
    )
}

fn name(service: usize) -> ServiceName {
    format!("s{service}").parse().unwrap()
}

fn peer() -> HostId {
    "e2".parse().unwrap()
}

fn returned(lease: u64) -> ReturnedSlot {
    ReturnedSlot { lease: LeaseId(lease), latency_ms: None, failed: false, load: None }
}

fn wanted(actions: &[Action]) -> Option<(u32, Vec<ReturnedSlot>)> {
    actions.iter().find_map(|action| match action {
        Action::SendPeer {
            to, message: PeerMessage::SlotsWanted { count, returned, .. }, ..
        } if *to == peer() => Some((*count, returned.clone())),
        _ => None,
    })
}

fn asks(actions: &[Action]) -> Option<u32> {
    wanted(actions).map(|(count, _)| count)
}

fn sent(actions: &[Action]) -> Option<Attempt> {
    actions.iter().find_map(|action| match action {
        Action::Send(attempt) => Some(attempt.clone()),
        _ => None,
    })
}

fn end(pair: &mut Pair, attempt: AttemptId) -> Vec<Action> {
    let ready = Event::AnswerReady { attempt, answer: answer(200) };
    let mut actions = pair.bench.handle(pair.now_ms, ready);
    let end = AttemptEnd::Completed;
    actions.extend(pair.bench.handle(pair.now_ms, Event::AttemptEnded { attempt, end }));
    actions
}

#[test]
fn a_lent_slot_is_used_at_once_and_given_back_after_the_answer() {
    let mut pair = Pair::new();
    let service = pair.asked();
    let attempt = sent(&pair.lend(&service, &[(7, "2")])).unwrap();
    assert_eq!(attempt.upstream.as_str(), format!("{service}-2"));
    pair.now_ms += 20;
    end(&mut pair, attempt.attempt);
    let (count, back) = wanted(&pair.pass(5)).unwrap();
    assert_eq!((count, back.len()), (0, 1));
    assert_eq!(back[0].lease, LeaseId(7));
    assert_eq!(back[0].latency_ms.map(|latency_ms| latency_ms.0), Some(20));
}

#[rstest]
#[case::caller_gone(true, "1")]
#[case::unknown_upstream(false, "9")]
fn a_slot_that_finds_no_use_is_given_back(#[case] gone: bool, #[case] upstream: &str) {
    let mut pair = Pair::new();
    let service = pair.asked();
    let last_call = CallId(100 + service.as_str()[1..].parse::<u64>().unwrap());
    let call = if last_call == CallId(100) { CALL } else { last_call };
    if gone {
        pair.bench.handle(pair.now_ms, Event::CallerGone { call });
    }
    let actions = pair.lend(&service, &[(7, upstream)]);
    assert!(sent(&actions).is_none_or(|attempt| !gone && attempt.upstream.as_str() != "9"));
    let later = pair.pass(5);
    let back = wanted(&actions).into_iter().chain(wanted(&later)).flat_map(|(_, back)| back);
    assert!(back.into_iter().any(|slot| slot.lease == LeaseId(7)));
}

#[rstest]
#[case::a_little_early(29, false)]
#[case::silent(30, true)]
fn a_silent_lender_is_done_without(#[case] after_ms: u64, #[case] sends: bool) {
    let mut pair = Pair::new();
    let service = pair.asked();
    let actions = pair.pass(after_ms);
    assert_eq!(sent(&actions).is_some(), sends);
    if sends {
        let index = service.as_str()[1..].parse().unwrap();
        let next = pair.arrive(index, CallId(50));
        assert_eq!(asks(&next), None, "a silent lender is left alone");
        assert!(sent(&next).is_some());
        pair.lend(&service, &[]);
        pair.pass(5);
        assert_eq!(asks(&pair.arrive(index, CallId(51))), Some(1), "until it is heard");
    }
}

#[test]
fn without_budget_nobody_is_asked() {
    let mut pair = Pair::new();
    let service = pair.asked();
    let index = service.as_str()[1..].parse().unwrap();
    let asked = (200..1200).filter(|&call| {
        let actions = pair.arrive(index, CallId(call));
        asks(&actions).is_some()
    });
    let asked = asked.count();
    assert!(asked < 100, "{asked} asks within a millisecond");
}

/// A service that this host itself lends.
fn own_service(pair: &mut Pair) -> ServiceName {
    let lent = (0..SERVICES).map(name).find(|service| {
        let slots = pair.lends(service, 1, vec![]);
        let own = sent(&pair.arrive(service.as_str()[1..].parse().unwrap(), CallId(900))).is_some();
        let back = slots.iter().map(|slot| slot.lease).collect();
        pair.lends(service, 0, back);
        own
    });
    lent.unwrap()
}

#[test]
fn a_lender_spreads_slots_and_stops_when_all_are_full() {
    let mut pair = Pair::new();
    let service = name(0);
    let first = pair.lends(&service, 3, vec![]);
    let upstreams: BTreeSet<&str> = first.iter().map(|slot| slot.upstream.as_str()).collect();
    assert_eq!(upstreams.len(), 3);
    let rest = pair.lends(&service, 100, vec![]);
    assert_eq!(first.len() + rest.len(), 12, "twice the slots: one round waits");
    assert_eq!(pair.lends(&service, 1, vec![]).len(), 0);
    assert_eq!(pair.lends(&service, 5, vec![first[0].lease]).len(), 1);
}

#[test]
fn a_lender_asks_nobody() {
    let mut pair = Pair::new();
    let service = own_service(&mut pair);
    let index = service.as_str()[1..].parse().unwrap();
    let actions = pair.arrive(index, CallId(901));
    assert!(sent(&actions).is_some());
    assert_eq!(asks(&actions), None);
}

#[rstest]
#[case::doubled_return(1, true)]
#[case::lost_return(2000, false)]
fn returns_may_be_doubled_or_lost(#[case] after_ms: u64, #[case] returned: bool) {
    let mut pair = Pair::new();
    let service = name(0);
    let lent = pair.lends(&service, 12, vec![]);
    assert_eq!(lent.len(), 12);
    pair.pass(after_ms / 2);
    pair.pass(after_ms - after_ms / 2);
    let back: Vec<LeaseId> = match returned {
        true => lent.iter().chain(&lent).map(|slot| slot.lease).collect(),
        false => vec![],
    };
    assert_eq!(pair.lends(&service, 100, back).len(), 12);
}

#[test]
fn a_lender_that_was_paused_leaves_old_asks_unanswered() {
    let mut pair = Pair::new();
    let service = name(0);
    pair.now_ms += 60_000;
    assert_eq!(pair.lends(&service, 1, vec![]), []);
    pair.pass(200);
    assert_eq!(pair.lends(&service, 1, vec![]).len(), 1);
}
