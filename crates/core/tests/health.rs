//! Failing upstreams lose work and get it back; never so many that none is left.
#![allow(clippy::unwrap_used)]

mod support;

use config::RepeatRule;
use decision_core::{
    Action, AnswerHead, Attempt, AttemptEnd, CallDecision, Condition, ConfigKey, Event,
    FailureStage, RefusalCause, UpstreamReason,
};
use domain::{CallId, Millis, UpstreamId};
use rstest::rstest;
use support::pump::Pump;
use support::upstreams::{Manner, Site};
use support::{BASE, Bench, answer, head, refused_answer};

const TARGET: &str = "shop-1";
const UPSTREAMS: usize = 6;
/// Upstreams that the default floor keeps in.
const FLOOR: usize = 3;

/// How an attempt at the target goes.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Answered(u16),
    Shed,
    Broken(FailureStage),
    /// The answer's head is good, then it breaks off.
    CutAfterHead,
    /// The caller hangs up.
    CallerGone,
    /// Nothing comes until this long after the deadline.
    Expires {
        late_ms: u64,
    },
    /// The process is paused while the attempt is out.
    BrokenOverPause,
}

/// One host, driven call by call; whatever does not go to the target succeeds.
struct Driver {
    bench: Bench,
    now_ms: u64,
    last_call: u64,
}

impl Driver {
    /// Takes turns, so that calls reach the target whatever it did before: a load-aware
    /// policy would keep them away long before health does.
    fn new() -> Driver {
        let base = BASE.replace("load-aware", "round-robin");
        Driver { bench: Bench::with_base(&base), now_ms: 0, last_call: 0 }
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        self.bench.handle(self.now_ms, event)
    }

    fn pass(&mut self, span_ms: u64) {
        self.now_ms += span_ms;
        self.bench.tick(self.now_ms);
    }

    /// Calls until the target was tried that often; no call is sent a second time.
    fn meet(&mut self, fate: Fate, times: usize) {
        let mut met = 0;
        for _ in 0..200 * times {
            if met == times {
                return;
            }
            self.pass(10);
            self.last_call += 1;
            let call = CallId(self.last_call);
            let head = decision_core::CallHead {
                timeout_ms: Some(Millis(500)),
                body_replayable: false,
                ..head("/order/1")
            };
            let actions = self.handle(Event::CallArrived { call, head });
            let sent = actions.iter().find_map(|action| match action {
                Action::Send(attempt) => Some(attempt.clone()),
                _ => None,
            });
            let Some(sent) = sent else { continue };
            match sent.upstream.as_str() {
                TARGET => {
                    met += 1;
                    self.end(&sent, fate);
                }
                _ => self.end(&sent, Fate::Answered(200)),
            }
        }
        assert_eq!(met, times, "the target gets that many calls");
    }

    fn end(&mut self, sent: &Attempt, fate: Fate) {
        let attempt = sent.attempt;
        let ended = |end| Event::AttemptEnded { attempt, end };
        let answered = |answer| Event::AnswerReady { attempt, answer };
        let broken = |stage| ended(AttemptEnd::Failed { stage });
        let cancelled = AttemptEnd::Cancelled { unsent: false };
        match fate {
            Fate::Answered(status) => {
                self.handle(answered(answer(status)));
                self.handle(ended(AttemptEnd::Completed));
            }
            Fate::Shed => {
                self.handle(answered(refused_answer()));
                self.handle(ended(AttemptEnd::Completed));
            }
            Fate::Broken(FailureStage::TimedOut) => {
                self.pass(500);
                self.handle(broken(FailureStage::TimedOut));
            }
            Fate::Broken(stage) => drop(self.handle(broken(stage))),
            Fate::CutAfterHead => {
                self.handle(answered(AnswerHead { is_whole: false, ..answer(200) }));
                self.handle(broken(FailureStage::AnswerCut));
            }
            Fate::CallerGone => {
                self.handle(Event::CallerGone { call: sent.call });
                self.handle(ended(cancelled));
            }
            Fate::Expires { late_ms } => {
                self.pass(500);
                self.pass(late_ms);
                self.handle(ended(cancelled));
            }
            Fate::BrokenOverPause => {
                self.now_ms += 30_000;
                self.handle(broken(FailureStage::AfterSending));
            }
        }
    }

    fn reasons(&self) -> Vec<UpstreamReason> {
        let service = "shop".parse().unwrap();
        let id = TARGET.parse().unwrap();
        self.bench.host.explain_upstream(&service, &id).unwrap().reasons
    }

    fn is_ejected(&self) -> bool {
        self.reasons().iter().any(|reason| matches!(reason, UpstreamReason::Ejected { .. }))
    }
}

#[rstest]
#[case::four_errors(Fate::Answered(500), 4, false)]
#[case::five_errors(Fate::Answered(500), 5, true)]
#[case::client_errors(Fate::Answered(404), 20, false)]
#[case::refused_connections(Fate::Broken(FailureStage::BeforeSending), 5, true)]
#[case::lost_answers(Fate::Broken(FailureStage::AfterSending), 5, true)]
#[case::timeouts(Fate::Broken(FailureStage::TimedOut), 5, true)]
#[case::cut_answers(Fate::CutAfterHead, 5, true)]
#[case::expired_calls(Fate::Expires { late_ms: 0 }, 5, true)]
#[case::expired_calls_noticed_late(Fate::Expires { late_ms: 300 }, 20, false)]
#[case::failures_over_a_pause(Fate::BrokenOverPause, 20, false)]
#[case::callers_that_hang_up(Fate::CallerGone, 20, false)]
#[case::shed_requests(Fate::Shed, 20, false)]
fn ejects_for_failures_only(#[case] fate: Fate, #[case] times: usize, #[case] ejected: bool) {
    let mut driver = Driver::new();
    driver.meet(fate, times);
    assert_eq!(driver.is_ejected(), ejected, "{:?}", driver.reasons());
}

#[rstest]
#[case::half_fail([true, false], true)]
#[case::a_quarter_fails([true, false, false, false], false)]
fn ejects_for_a_share_of_failures(
    #[case] pattern: impl IntoIterator<Item = bool, IntoIter: Clone>,
    #[case] ejected: bool,
) {
    let mut driver = Driver::new();
    for fails in pattern.into_iter().cycle().take(32) {
        if driver.is_ejected() {
            break;
        }
        driver.meet(Fate::Answered(if fails { 500 } else { 200 }), 1);
    }
    assert_eq!(driver.is_ejected(), ejected, "{:?}", driver.reasons());
}

#[test]
fn a_shed_request_backs_off_for_a_moment() {
    let mut driver = Driver::new();
    driver.meet(Fate::Shed, 1);
    assert!(matches!(driver.reasons()[..], [UpstreamReason::BacksOff { .. }]));
    driver.pass(1_000);
    assert_eq!(driver.reasons(), []);
}

#[test]
fn comes_back_by_a_trial_and_a_ramp() {
    let mut driver = Driver::new();
    driver.meet(Fate::Answered(500), 5);
    driver.pass(1_400);
    assert!(driver.is_ejected());
    driver.pass(1_200);
    assert!(matches!(driver.reasons()[..], [UpstreamReason::OnTrial { .. }]));
    driver.meet(Fate::Answered(200), 1);
    assert!(matches!(driver.reasons()[..], [UpstreamReason::SlowStart { .. }]));
    (0..6).for_each(|_| driver.pass(1_000));
    assert_eq!(driver.reasons(), []);
}

#[test]
fn a_failed_trial_ejects_for_longer() {
    let mut driver = Driver::new();
    driver.meet(Fate::Answered(500), 5);
    let mut spans_ms = Vec::new();
    for _ in 0..4 {
        let [UpstreamReason::Ejected { since_ms, until_ms, .. }] = driver.reasons()[..] else {
            panic!("{:?}", driver.reasons());
        };
        spans_ms.push(until_ms.since(since_ms).0);
        while driver.now_ms < until_ms.0 {
            driver.pass(500);
        }
        driver.meet(Fate::Answered(500), 1);
    }
    assert!(spans_ms.is_sorted_by(|a, b| a < b), "{spans_ms:?}");
}

/// A fleet of one with six upstreams.
fn site() -> Site {
    let mut pump = Pump::new(1, 3);
    pump.publish(ConfigKey::Base, 1, &base(UPSTREAMS));
    pump.start_all();
    let mut site = Site::new(pump, &[1]);
    site.run_for(1_000);
    site
}

fn base(upstreams: usize) -> String {
    let upstreams: Vec<String> = (1..=upstreams)
        .map(|n| {
            format!(
                r#""shop-{n}": {{"address": "127.0.0.1:{}", "availability_zone": "a",
                    "slots": 4, "connections": 20}}"#,
                9000 + n
            )
        })
        .collect();
    format!(
        r#"{{"availability_zones": ["a"], "policy": "load-aware", "services": {{"shop": {{
            "routes": [{{"path_prefix": "/read", "repeat": "idempotent"}}],
            "upstreams": {{{}}}}}}}}}"#,
        upstreams.join(",")
    )
}

fn name(number: usize) -> String {
    format!("shop-{number}")
}

fn explain(site: &Site, id: &str) -> decision_core::UpstreamExplanation {
    let (service, id) = ("shop".parse().unwrap(), id.parse().unwrap());
    site.pump.process(1).host.explain_upstream(&service, &id).unwrap()
}

fn ejected(site: &Site) -> usize {
    let now_ms = site.pump.now_ms;
    (1..=UPSTREAMS).filter(|&n| site.state(1, &name(n)).is_ejected(now_ms)).count()
}

#[rstest]
#[case::one(1, Manner::FailsFast)]
#[case::half(3, Manner::Dead)]
#[case::most(5, Manner::FailsFast)]
#[case::all(6, Manner::FailsFast)]
#[case::all_dead(6, Manner::Dead)]
fn the_floor_stays_in_and_a_service_is_never_empty(#[case] failing: usize, #[case] manner: Manner) {
    let mut site = site();
    (1..=failing).for_each(|number| site.set(&name(number), manner));
    for _ in 0..120 {
        let before = site.sent.len();
        site.run_for(500);
        assert!(ejected(&site) <= UPSTREAMS - FLOOR);
        assert!(site.sent.len() >= before + 10, "every call is sent");
    }
    if failing == UPSTREAMS {
        let open_slots = |number| explain(&site, &name(number)).open_slots;
        assert!((1..=UPSTREAMS).all(|number| open_slots(number) == 4), "all are used in full");
    }
    (1..=failing).for_each(|number| site.set(&name(number), Manner::Serves));
    site.run_for(100_000);
    assert_eq!(ejected(&site), 0);
}

#[test]
fn a_fast_failing_upstream_attracts_no_traffic() {
    let mut site = site();
    site.set(TARGET, Manner::FailsFast);
    let from_ms = site.pump.now_ms;
    let before = site.sent.len();
    site.run_for(60_000);
    let share = site.sent_since(TARGET, from_ms) as f64 / (site.sent.len() - before) as f64;
    assert!(share < 0.05, "{share}");
}

#[test]
fn a_straggler_keeps_its_place_with_fewer_slots() {
    let mut site = site();
    (1..=UPSTREAMS).for_each(|number| {
        site.latency_ms.insert(name(number).parse::<UpstreamId>().unwrap(), 50);
    });
    site.latency_ms.insert(TARGET.parse().unwrap(), 800);
    site.run_for(30_000);
    let state = site.state(1, TARGET);
    assert!(!state.is_ejected(site.pump.now_ms));
    assert_eq!(state.usable_slots(site.pump.now_ms), 1);
    assert_eq!(site.state(1, "shop-2").usable_slots(site.pump.now_ms), 4);
}

#[test]
fn an_upstream_that_is_new_starts_slowly() {
    let mut site = site();
    site.pump.publish(ConfigKey::Base, 2, &base(UPSTREAMS + 1));
    site.run_for(1_000);
    let added = name(UPSTREAMS + 1);
    assert!(matches!(site.state(1, &added).health.condition, Condition::Ramping { .. }));
    assert_eq!(site.state(1, &added).usable_slots(site.pump.now_ms), 1);
    assert_eq!(site.state(1, TARGET).usable_slots(site.pump.now_ms), 4);
    site.run_for(5_000);
    assert_eq!(site.state(1, &added).usable_slots(site.pump.now_ms), 4);
}

#[test]
fn a_call_is_explained_step_by_step() {
    let mut bench = Bench::configured();
    let call = CallId(1);
    let attempt = bench.arrive(call, RepeatRule::AtMostOnce).attempt();
    let stage = FailureStage::AfterSending;
    bench.handle(5, Event::AttemptEnded { attempt, end: AttemptEnd::Failed { stage } });
    let steps: Vec<_> =
        bench.host.explain_call(call).into_iter().map(|step| step.decision).collect();
    assert!(
        matches!(&steps[..], [
            CallDecision::Arrived,
            CallDecision::Sent { .. },
            CallDecision::Refused { refusal },
        ] if refusal.cause == RefusalCause::UpstreamFailed),
        "{steps:?}"
    );
}

#[test]
fn the_trace_of_calls_is_bounded() {
    let mut bench = Bench::configured();
    for call in 1..=decision_core::MAX_STEPS as u64 {
        bench.arrive(CallId(call), RepeatRule::Idempotent);
    }
    assert_eq!(bench.host.explain_call(CallId(1)), []);
    assert!(!bench.host.explain_call(CallId(decision_core::MAX_STEPS as u64)).is_empty());
}
