//! The promises, checked against the account of what really happened.

use crate::ledger::{CallEnd, CallRecord, Ledger};
use crate::script::{Expectation, Place, Scenario};
use crate::world::World;
use config::RepeatRule;
use decision_core::RunOutcome;
use domain::{Millis, Version};
use std::collections::BTreeMap;
use std::fmt;

/// Time after which an upstream that leaves receives nothing new.
const LEAVING_LIMIT_MS: Millis = Millis(4000);
/// Time after its deadline by which a call has its final answer.
const ANSWER_GRACE_MS: Millis = Millis(100);
/// Window over which probes are counted.
const PROBE_WINDOW_MS: Millis = Millis(10_000);

/// What a play showed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// Promises and expectations that did not hold.
    pub breaches: Vec<Breach>,
    /// Calls made.
    pub calls: usize,
    /// Calls answered by an upstream.
    pub answered: usize,
    /// Calls refused by an entry host.
    pub refused: usize,
    /// Probes of upstreams.
    pub probes: usize,
    /// Messages between entry hosts.
    pub peer_messages: u64,
    /// Reads of the configuration service.
    pub config_reads: u64,
}

/// Something that did not hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Breach {
    /// A call has no final answer, or a late one.
    Lost(usize),
    /// A call has more than one final answer.
    AnsweredTwice(usize),
    /// A call was handed another answer than its own.
    Wrong(usize),
    /// A request that runs at most once ran more often.
    Doubled(usize),
    /// A call was told "not run" and ran.
    FalseNotRun(usize),
    /// A planned stop cut a call.
    CutByExit(usize),
    /// An attempt left after its deadline.
    SentLate(u32),
    /// An upstream received work long after it began to leave.
    WorkWhileLeaving(String),
    /// More probes in a window than the budget allows.
    OverBudget {
        /// Probes counted.
        probes: usize,
        /// Probes allowed.
        allowed: usize,
    },
    /// A host put an older configuration in force.
    Reverted(String),
    /// An expectation of the scenario.
    Unmet(Expectation),
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Breach::Lost(call) => write!(f, "call {call} has no timely final answer"),
            Breach::AnsweredTwice(call) => write!(f, "call {call} has two final answers"),
            Breach::Wrong(call) => write!(f, "call {call} got another call's answer"),
            Breach::Doubled(call) => write!(f, "call {call} ran twice"),
            Breach::FalseNotRun(call) => write!(f, "call {call} was told not-run and ran"),
            Breach::CutByExit(call) => write!(f, "call {call} was cut by a planned stop"),
            Breach::SentLate(count) => write!(f, "{count} attempts left after their deadline"),
            Breach::WorkWhileLeaving(what) => write!(f, "work for a leaving upstream: {what}"),
            Breach::OverBudget { probes, allowed } => {
                write!(f, "{probes} probes in a window that allows {allowed}")
            }
            Breach::Reverted(what) => write!(f, "older configuration in force: {what}"),
            Breach::Unmet(expectation) => write!(f, "not met: expect {expectation}"),
        }
    }
}

/// Compares what happened with what was promised.
pub fn judge(scenario: &Scenario, world: &World) -> Verdict {
    let ledger = &world.ledger;
    let mut breaches = vec![];
    for (id, call) in ledger.calls.iter().enumerate() {
        check_call(id, call, world.now_ms, &mut breaches);
    }
    check_keys(ledger, &mut breaches);
    if ledger.sent_late > 0 {
        breaches.push(Breach::SentLate(ledger.sent_late));
    }
    check_leaving(world, &mut breaches);
    check_budget(world, &mut breaches);
    check_versions(ledger, &mut breaches);
    for expectation in &scenario.expectations {
        if !is_met(expectation, world) {
            breaches.push(Breach::Unmet(expectation.clone()));
        }
    }
    Verdict {
        breaches,
        calls: ledger.calls.len(),
        answered: count_ends(ledger, |end| matches!(end, CallEnd::Answered)),
        refused: count_ends(ledger, |end| matches!(end, CallEnd::Refused(_))),
        probes: ledger.probes.len(),
        peer_messages: ledger.peer_messages,
        config_reads: ledger.config_reads,
    }
}

fn check_call(id: usize, call: &CallRecord, end_ms: Millis, breaches: &mut Vec<Breach>) {
    if call.ends.len() > 1 {
        breaches.push(Breach::AnsweredTwice(id));
    }
    let due_ms = call.arrived_ms + call.spec.timeout_ms + ANSWER_GRACE_MS;
    let timely = match call.ends.first() {
        Some((_, CallEnd::GaveUp)) => false,
        Some((at_ms, _)) => *at_ms <= due_ms,
        None => end_ms < due_ms,
    };
    if !timely && !call.disturbed {
        breaches.push(Breach::Lost(id));
    }
    match call.ends.first() {
        Some((_, CallEnd::Wrong)) => breaches.push(Breach::Wrong(id)),
        Some((_, CallEnd::CutByExit)) => breaches.push(Breach::CutByExit(id)),
        Some((_, CallEnd::Refused(refusal)))
            if refusal.outcome == RunOutcome::NotRun && call.runs > 0 =>
        {
            breaches.push(Breach::FalseNotRun(id));
        }
        _ => {}
    }
    if call.repeat == RepeatRule::AtMostOnce && call.runs > 1 {
        breaches.push(Breach::Doubled(id));
    }
}

/// Requests of one caller with one key count as one request.
fn check_keys(ledger: &Ledger, breaches: &mut Vec<Breach>) {
    let mut runs: BTreeMap<(&str, &str), u32> = BTreeMap::new();
    for (id, call) in ledger.calls.iter().enumerate() {
        let Some(key) = &call.spec.key else { continue };
        if call.repeat == RepeatRule::Idempotent || call.runs == 0 {
            continue;
        }
        let count = runs.entry((&call.spec.caller, key)).or_default();
        *count += call.runs;
        if *count > 1 && call.runs == 1 {
            breaches.push(Breach::Doubled(id));
        }
    }
}

fn check_leaving(world: &World, breaches: &mut Vec<Breach>) {
    for upstream in &world.upstreams {
        let Some(since_ms) = upstream.leaving_since_ms else { continue };
        let late = world.ledger.arrivals.iter().find(|arrival| {
            let settled_ms = world.ledger.disturbed_until_ms[arrival.host].max(since_ms);
            arrival.upstream.as_str() == upstream.spec.upstream
                && arrival.at_ms > settled_ms + LEAVING_LIMIT_MS
        });
        if let Some(arrival) = late {
            let host = &world.hosts[arrival.host].id;
            let what = format!("{} from {host} at {}", arrival.upstream, arrival.at_ms);
            breaches.push(Breach::WorkWhileLeaving(what));
        }
    }
}

/// In each window the budget may be overstepped by one probe for each host that was listed.
fn check_budget(world: &World, breaches: &mut Vec<Breach>) {
    let Ok(config) = config::merge(&world.platform.base[0].text, None) else { return };
    let per_second: f64 = config
        .services
        .values()
        .map(|service| service.probes_per_second.0)
        .sum::<f64>()
        .min(config.measurement.probes_per_second.0);
    let window = per_second * PROBE_WINDOW_MS.as_f64() / 1000.0;
    let allowed = window.ceil() as usize + world.hosts.len();
    let times = &world.ledger.probes;
    let mut first = 0;
    for (last, at_ms) in times.iter().enumerate() {
        while times[first] + PROBE_WINDOW_MS <= *at_ms {
            first += 1;
        }
        let probes = last + 1 - first;
        if probes > allowed {
            breaches.push(Breach::OverBudget { probes, allowed });
            return;
        }
    }
}

fn check_versions(ledger: &Ledger, breaches: &mut Vec<Breach>) {
    let mut newest: BTreeMap<(usize, u64), (Version, Version)> = BTreeMap::new();
    for adoption in &ledger.adoptions {
        let key = (adoption.host, adoption.incarnation);
        let now = (adoption.versions.base, adoption.versions.overlay);
        let before = newest.insert(key, now).unwrap_or_default();
        if now.0 < before.0 || now.1 < before.1 || !adoption.is_genuine {
            let what = format!("host {} at {}", adoption.host, adoption.at_ms);
            breaches.push(Breach::Reverted(what));
        }
    }
    for (at_ms, host, versions) in &ledger.ready {
        let settled = ledger.disturbed_until_ms.iter().all(|until_ms| until_ms <= at_ms);
        let newer = ledger.adoptions.iter().any(|other| {
            other.at_ms + Millis(1000) < *at_ms
                && (other.versions.base > versions.base
                    || other.versions.overlay > versions.overlay)
        });
        if newer && settled {
            breaches.push(Breach::Reverted(format!("host {host} ready at {at_ms}")));
        }
    }
}

fn is_met(expectation: &Expectation, world: &World) -> bool {
    let ledger = &world.ledger;
    match expectation {
        Expectation::AnsweredPercent(percent) => {
            let answered = count_ends(ledger, |end| matches!(end, CallEnd::Answered));
            answered * 100 >= ledger.calls.len() * *percent as usize
        }
        Expectation::RefusedAtMost(count) => {
            count_ends(ledger, |end| matches!(end, CallEnd::Refused(_))) <= *count as usize
        }
        Expectation::InForce { place, version, by_ms } => {
            world.hosts.iter().enumerate().filter(|(_, host)| host.core.is_some()).all(
                |(index, host)| {
                    let mut adoptions = ledger.adoptions.iter().filter(|adoption| {
                        adoption.host == index
                            && adoption.incarnation == host.incarnation
                            && adoption.at_ms <= *by_ms
                    });
                    adoptions.any(|adoption| match place {
                        Place::Base => adoption.versions.base.0 == *version,
                        Place::Overlay => adoption.versions.overlay.0 == *version,
                    })
                },
            )
        }
        Expectation::NoWork { upstream, after_ms } => !ledger
            .arrivals
            .iter()
            .any(|arrival| arrival.upstream.as_str() == upstream && arrival.at_ms > *after_ms),
        Expectation::Ended { host, by_ms } => ledger
            .exits
            .iter()
            .any(|(at_ms, index)| world.hosts[*index].id.as_str() == host && at_ms <= by_ms),
        Expectation::Runs { key, times } => {
            let calls = ledger.calls.iter().filter(|call| call.spec.key.as_ref() == Some(key));
            calls.map(|call| call.runs).sum::<u32>() == *times
        }
    }
}

fn count_ends(ledger: &Ledger, counts: impl Fn(&CallEnd) -> bool) -> usize {
    let firsts = ledger.calls.iter().filter_map(|call| call.ends.first());
    firsts.filter(|(_, end)| counts(end)).count()
}
