//! A host that knows that an upstream is leaving keeps that until the upstream serves again,
//! whatever is lost, late, doubled, paused or restarted meanwhile.
#![allow(clippy::unwrap_used)]

mod support;

use decision_core::{ConfigKey, SETTLE_MS};
use domain::Millis;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use support::BASE;
use support::pump::{ProcessState, Pump, host_id};
use support::upstreams::{Manner, Site};

const HOSTS: usize = 4;
const GONE: &str = "shop-1";
const CASES: u32 = 12;
const STEP_MS: u64 = 500;

#[derive(Debug, Clone)]
enum Trouble {
    Leave,
    Serve,
    Pause(usize),
    Resume,
    Restart(usize),
    Cut(usize),
    Heal,
    Network { jitter_ms: u64, lost_percent: u32 },
    Publish,
}

struct Trial {
    site: Site,
    version: u64,
    /// Start of the time in which the upstream says that it is leaving.
    leaves_since_ms: Option<Millis>,
    /// Hosts that have heard it say so in that time.
    knows: [bool; HOSTS + 1],
}

impl Trial {
    fn new() -> Trial {
        let mut pump = Pump::new(HOSTS, 3);
        pump.publish(ConfigKey::Base, 1, BASE);
        pump.start_all();
        let mut site = Site::new(pump, &[1, 2, 3, 4]);
        site.run_for(2_000);
        site.pump.run_for(SETTLE_MS.0);
        Trial { site, version: 1, leaves_since_ms: None, knows: [false; HOSTS + 1] }
    }

    fn apply(&mut self, trouble: &Trouble) {
        let now_ms = self.site.pump.now_ms;
        match *trouble {
            Trouble::Leave => {
                self.site.set(GONE, Manner::Leaves);
                self.leaves_since_ms = self.leaves_since_ms.or(Some(now_ms));
            }
            Trouble::Serve => {
                self.site.set(GONE, Manner::Serves);
                self.leaves_since_ms = None;
                self.knows = [false; HOSTS + 1];
            }
            Trouble::Pause(number) if self.is(number, ProcessState::Running) => {
                self.site.pump.pause(number);
                self.site.called.retain(|&called| called != number);
            }
            Trouble::Pause(_) => {}
            Trouble::Resume => {
                let paused = |number: &usize| self.is(*number, ProcessState::Paused);
                let paused: Vec<usize> = (1..=HOSTS).filter(paused).collect();
                paused.into_iter().for_each(|number| self.site.pump.resume(number));
                self.site.called = (1..=HOSTS).collect();
            }
            Trouble::Restart(number) => {
                self.site.pump.start(number);
                self.knows[number] = false;
            }
            Trouble::Cut(at) => {
                let hosts: Vec<usize> = (1..=HOSTS).collect();
                self.site.pump.cut(&hosts[..at], &hosts[at..]);
            }
            Trouble::Heal => self.site.pump.heal(),
            Trouble::Network { jitter_ms, lost_percent } => {
                self.site.pump.network.jitter_ms = jitter_ms;
                self.site.pump.network.lost_percent = lost_percent;
                self.site.pump.network.doubled_percent = lost_percent;
            }
            Trouble::Publish => {
                self.version += 1;
                let slots = format!("\"slots\": {}", 2 + self.version % 3);
                let text = BASE.replacen("\"slots\": 2", &slots, 1);
                self.site.pump.publish(ConfigKey::Base, self.version, &text);
            }
        }
    }

    fn is(&self, number: usize, state: ProcessState) -> bool {
        self.site.pump.process(number).state == state
    }

    /// Runs on.
    ///
    /// # Errors
    ///
    /// The host that knew and sent a call all the same.
    fn run_for(&mut self, span_ms: u64) -> Result<(), String> {
        for _ in 0..span_ms / STEP_MS {
            let before = self.site.sent.len();
            self.site.run_for(STEP_MS);
            let Some(since_ms) = self.leaves_since_ms else { continue };
            let sent = self.site.sent[before..].iter().filter(|s| s.upstream.as_str() == GONE);
            let forgot = sent
                .clone()
                .find(|sending| (1..=HOSTS).any(|n| self.knows[n] && sending.host == host_id(n)));
            if let Some(sending) = forgot {
                return Err(format!("{} forgot at {}", sending.host, sending.at_ms));
            }
            (1..=HOSTS).for_each(|number| self.knows[number] |= self.heard_since(number, since_ms));
        }
        Ok(())
    }

    fn heard_since(&self, number: usize, since_ms: Millis) -> bool {
        if self.site.pump.process(number).host.dump().services.is_empty() {
            return false;
        }
        let mark = self.site.state(number, GONE).leaving;
        mark.is_some_and(|mark| mark.heard_ms >= since_ms)
    }
}

fn troubles() -> impl Strategy<Value = Vec<(Trouble, u64)>> {
    let host = || 1..=HOSTS;
    let trouble = prop_oneof![
        3 => Just(Trouble::Leave),
        2 => Just(Trouble::Serve),
        1 => host().prop_map(Trouble::Pause),
        2 => Just(Trouble::Resume),
        1 => host().prop_map(Trouble::Restart),
        1 => (1..HOSTS).prop_map(Trouble::Cut),
        1 => Just(Trouble::Heal),
        2 => (0..60_000_u64, 0..50_u32)
            .prop_map(|(jitter_ms, lost_percent)| Trouble::Network { jitter_ms, lost_percent }),
        1 => Just(Trouble::Publish),
    ];
    prop::collection::vec((trouble, 1_000..50_000_u64), 10..20)
}

#[test]
fn nobody_forgets_that_an_upstream_is_leaving() {
    let config = ProptestConfig { cases: CASES, failure_persistence: None, ..Default::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&troubles(), |troubles| {
        let mut trial = Trial::new();
        for (trouble, gap_ms) in &troubles {
            trial.apply(trouble);
            trial.run_for(*gap_ms).map_err(TestCaseError::fail)?;
        }
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
