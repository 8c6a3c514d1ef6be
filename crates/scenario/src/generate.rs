//! Random scenarios, for searching failures that nobody thought of.
//!
//! The fleet stays small and the faults are frequent and overlap. A failing one
//! shrinks and prints in the scenario language, ready to be kept as a file.

use crate::check::Breach;
use crate::script::{
    CallSpec, Command, HostSpec, Place, RouteSpec, Scenario, Step, UpstreamFault, UpstreamSpec, Via,
};
use domain::Millis;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};

/// Faults and calls stop here; what is left settles until the end.
const LAST_STEP_MS: u64 = 20_000;
/// End of the play.
const END_MS: Millis = Millis(40_000);
/// Keys that repeated requests share.
const KEYS: u32 = 6;
const ZONES: [&str; 2] = ["a", "b"];

/// A scenario that breaks a promise.
#[derive(Debug, Clone, PartialEq)]
pub struct Failure {
    /// The smallest such scenario found.
    pub scenario: Scenario,
    /// What it breaks.
    pub breaches: Vec<Breach>,
}

/// Plays random scenarios; the same seed gives the same ones.
///
/// # Errors
///
/// The first failure found, made small.
pub fn search(seed: u64, cases: u32) -> Result<(), Box<Failure>> {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let played = TestRunner::new_with_rng(config, rng).run(&scenarios(), |scenario| {
        let breaches = crate::run(&scenario, None).breaches;
        prop_assert!(breaches.is_empty());
        Ok(())
    });
    match played {
        Ok(()) | Err(TestError::Abort(_)) => Ok(()),
        Err(TestError::Fail(_, scenario)) => {
            let breaches = crate::run(&scenario, None).breaches;
            Err(Box::new(Failure { scenario, breaches }))
        }
    }
}

/// Any small fleet under any few faults.
pub fn scenarios() -> impl Strategy<Value = Scenario> {
    (2..=5_usize, 2..=4_usize).prop_flat_map(|(hosts, upstreams)| {
        let background = (50..200_u64).prop_map(|every_ms| Step {
            at_ms: Millis(1500),
            command: Command::Calls {
                call: read_call(),
                every_ms: Millis(every_ms),
                until_ms: Millis(LAST_STEP_MS),
            },
        });
        let orders = prop::collection::vec(order_step(hosts), 5..30);
        let faults = prop::collection::vec(fault_step(hosts, upstreams), 0..8);
        (background, orders, faults).prop_map(move |(background, orders, faults)| {
            let mut steps: Vec<Step> = std::iter::once(background)
                .chain(orders)
                .chain(faults.into_iter().flatten())
                .collect();
            steps.sort_by_key(|step| step.at_ms);
            Scenario {
                hosts: (1..=hosts).map(host_spec).collect(),
                upstreams: (1..=upstreams).map(upstream_spec).collect(),
                routes: routes(),
                base_patch: None,
                steps,
                end_ms: END_MS,
                expectations: vec![],
            }
        })
    })
}

fn host_spec(index: usize) -> HostSpec {
    HostSpec { host: format!("e{index}"), zone: ZONES[index % 2].to_owned() }
}

fn upstream_spec(index: usize) -> UpstreamSpec {
    UpstreamSpec {
        upstream: format!("shop-{index}"),
        zone: ZONES[index % 2].to_owned(),
        slots: 2,
        service_ms: Millis(20),
    }
}

fn routes() -> Vec<RouteSpec> {
    vec![
        RouteSpec { prefix: "/read".to_owned(), at_most_once: false },
        RouteSpec { prefix: "/order".to_owned(), at_most_once: true },
    ]
}

fn read_call() -> CallSpec {
    CallSpec {
        via: Via::Balancer,
        method: "GET".to_owned(),
        path: "/read/1".to_owned(),
        key: None,
        caller: "desk".to_owned(),
        timeout_ms: Millis(1000),
    }
}

fn order_step(hosts: usize) -> impl Strategy<Value = Step> {
    (1500..LAST_STEP_MS, 1..=hosts, prop::option::of(0..KEYS), any::<bool>()).prop_map(
        |(at_ms, host, key, balanced)| Step {
            at_ms: Millis(at_ms),
            command: Command::Call(CallSpec {
                via: if balanced { Via::Balancer } else { Via::Host(format!("e{host}")) },
                method: "POST".to_owned(),
                path: "/order".to_owned(),
                key: key.map(|key| format!("k{key}")),
                caller: "desk".to_owned(),
                timeout_ms: Millis(1000),
            }),
        },
    )
}

/// One fault; a stop or kill brings its later start with it.
fn fault_step(hosts: usize, upstreams: usize) -> impl Strategy<Value = Vec<Step>> {
    let host = (1..=hosts).prop_map(|host| format!("e{host}"));
    let span = (100..8000_u64).prop_map(Millis);
    let host_fault = (0..5_u32, host, span.clone()).prop_map(|(kind, host, for_ms)| {
        let start = Command::Start { host: host.clone() };
        match kind {
            0 => vec![(Millis::ZERO, Command::Pause { host, for_ms })],
            1 => vec![(Millis::ZERO, Command::Kill { host }), (for_ms, start)],
            2 => vec![(Millis::ZERO, Command::Stop { host }), (for_ms + Millis(6000), start)],
            3 => vec![(Millis::ZERO, Command::Cut { hosts: vec![host], for_ms })],
            _ => vec![
                (Millis::ZERO, Command::ListDrop { host: host.clone() }),
                (for_ms, Command::ListAdd { host }),
            ],
        }
    });
    let platform_fault = (0..5_u32, span.clone(), 1..60_u32).prop_map(|(kind, for_ms, percent)| {
        let command = match kind {
            0 => Command::ServiceDown { for_ms },
            1 => Command::ServiceStale { host: None, for_ms },
            2 => Command::ListStale { host: None, for_ms },
            3 => Command::Loss { percent, for_ms },
            _ => Command::Publish {
                place: Place::Overlay,
                patch: format!("{{\"limits\":{{\"max_calls\":{}}}}}", 1000 + percent),
            },
        };
        vec![(Millis::ZERO, command)]
    });
    let upstream_fault = (0..5_u32, 1..=upstreams, span, 1..=100_u32).prop_map(
        |(kind, upstream, for_ms, percent)| {
            let fault = match kind {
                0 => UpstreamFault::Slow { factor: 10, for_ms },
                1 => UpstreamFault::Fail { percent, for_ms },
                2 => UpstreamFault::LoseAnswers { percent, for_ms },
                3 => UpstreamFault::CutAnswers { percent, for_ms },
                _ => UpstreamFault::RefuseConnections { for_ms },
            };
            let upstream = format!("shop-{upstream}");
            vec![(Millis::ZERO, Command::Upstream { upstream, fault })]
        },
    );
    let commands = prop_oneof![host_fault, platform_fault, upstream_fault];
    (1500..LAST_STEP_MS, commands).prop_map(|(at_ms, commands)| {
        let step = |(after_ms, command)| Step { at_ms: Millis(at_ms) + after_ms, command };
        commands.into_iter().map(step).collect()
    })
}
