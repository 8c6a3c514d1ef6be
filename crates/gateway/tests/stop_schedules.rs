//! Requests that become ready to be sent at any moment of a planned stop, in whatever way they
//! arrive: each gets a whole, true response before the process ends, or was not read.
//!
//! `STOP_SCHEDULES` sets the number of drawn stops, `STOP_SEED` their seed.
#![allow(clippy::unwrap_used)]

mod support;

use dispatch::ShutdownSchedule;
use domain::Millis;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use support::caller::{Caller, CallerResponse};
use support::upstream::{Behaviour, StandInUpstream};
use support::{caller_address, on_one_thread, published, routing, settings, start, wait_until};

/// How long before the stop the first calls begin.
const BEFORE_STOP: Duration = Duration::from_millis(200);

/// Longest time that routes allow.
const ROUTE_TIMEOUT_MS: u64 = 20_000;

/// Responses are to be ready 100 ms before the end; what comes in that time may be left unread.
const LAST_RESPONSES: Duration = Duration::from_millis(100);

/// Tolerance for a busy machine.
const SLACK: Duration = Duration::from_millis(30);

/// How a request arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Arrival {
    NewConnection,
    KeptConnection,
    /// Behind a read that takes this time.
    Behind(u64),
    /// Its head, and its last byte this time later.
    Head(u64),
    /// A body with a length, and its last byte this time later.
    Body(u64),
    /// A body in chunks, and its last chunk this time later.
    Chunks(u64),
}

#[derive(Debug, Clone)]
struct Call {
    arrival: Arrival,
    /// From the first call on.
    begins_ms: u64,
    work_ms: u64,
    /// How long its caller waits.
    allowed_ms: u64,
    is_idempotent: bool,
    /// The first upstream rejects it.
    is_rejected_once: bool,
}

#[derive(Debug, Clone)]
struct Stop {
    closes_idle_ms: u64,
    /// After idle connections are closed.
    ends_ms: u64,
    calls: Vec<Call>,
}

/// What is known of a call.
#[derive(Debug, Clone, Default)]
struct Outcome {
    /// When its first bytes were sent.
    begun: Option<Instant>,
    /// When its last byte was sent.
    sent: Option<Instant>,
    /// Its response, and when it came.
    response: Option<(Instant, CallerResponse)>,
}

fn any_call() -> impl Strategy<Value = Call> {
    let delays = || 10u64..900;
    let arrival = prop_oneof![
        Just(Arrival::NewConnection),
        Just(Arrival::KeptConnection),
        delays().prop_map(Arrival::Behind),
        delays().prop_map(Arrival::Head),
        delays().prop_map(Arrival::Body),
        delays().prop_map(Arrival::Chunks),
    ];
    let work = prop_oneof![0u64..50, 50u64..1_500];
    let allowed = prop_oneof![100u64..1_500, Just(8_000)];
    (arrival, 0u64..1_200, work, allowed, any::<bool>(), prop::bool::weighted(0.2)).prop_map(
        |(arrival, begins_ms, work_ms, allowed_ms, is_idempotent, is_rejected_once)| Call {
            arrival,
            begins_ms,
            work_ms,
            allowed_ms,
            is_idempotent,
            is_rejected_once,
        },
    )
}

fn any_stop() -> impl Strategy<Value = Stop> {
    (50u64..500, 150u64..700, prop::collection::vec(any_call(), 10..30))
        .prop_map(|(closes_idle_ms, ends_ms, calls)| Stop { closes_idle_ms, ends_ms, calls })
}

impl Call {
    /// The request in the pieces in which it is sent, and the pause between them.
    fn pieces(&self, id: &str) -> (String, String, u64) {
        let Call { allowed_ms, is_idempotent, .. } = self;
        let (method, route) = if *is_idempotent { ("GET", "any") } else { ("POST", "once") };
        let fields =
            format!("Host: a.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {allowed_ms}\r\n");
        let head = format!("{method} /{route}/x HTTP/1.1\r\n{fields}");
        match self.arrival {
            Arrival::NewConnection | Arrival::KeptConnection | Arrival::Behind(_) => {
                (String::new(), format!("{head}\r\n"), 0)
            }
            Arrival::Head(pause_ms) => (head, "\r\n".to_owned(), pause_ms),
            Arrival::Body(pause_ms) => {
                (format!("{head}Content-Length: 5\r\n\r\nbody"), "!".to_owned(), pause_ms)
            }
            Arrival::Chunks(pause_ms) => {
                let first = format!("{head}Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n");
                (first, "0\r\n\r\n".to_owned(), pause_ms)
            }
        }
    }

    /// Makes the call; `outcome` has what is known of it at any time.
    async fn run(self, id: String, mut caller: Caller, outcome: Rc<RefCell<Outcome>>) {
        if let Arrival::Behind(work_ms) = self.arrival {
            let first = format!(
                "GET /any/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: before-{id}\r\n\
                 X-Deadline-Ms: 8000\r\n\r\n"
            );
            let _ = caller.stream.try_write(first.as_bytes());
            tokio::time::sleep(Duration::from_millis(work_ms / 2)).await;
        }
        let (first, last, pause_ms) = self.pieces(&id);
        outcome.borrow_mut().begun = Some(Instant::now());
        let _ = caller.stream.try_write(first.as_bytes());
        let pause = Duration::from_millis(pause_ms);
        // A refusal may come before the last byte was sent.
        let mut response = match tokio::time::timeout(pause, caller.receive()).await {
            Ok(early) => early,
            Err(_) => {
                if caller.stream.try_write(last.as_bytes()).is_ok() {
                    outcome.borrow_mut().sent = Some(Instant::now());
                }
                caller.receive().await
            }
        };
        if matches!(self.arrival, Arrival::Behind(_)) && response.is_some() {
            response = caller.receive().await;
        }
        outcome.borrow_mut().response = response.map(|response| (Instant::now(), response));
    }

    /// What it did at the upstream: when it arrived there, and how often it ran.
    fn runs(&self, id: &str, upstream: &StandInUpstream) -> (Vec<Instant>, usize) {
        let is_of = |it: &&support::upstream::ReceivedRequest| it.id == id;
        let arrivals = upstream.requests().iter().filter(is_of).count();
        let at = upstream.arrivals_with_prefix(id);
        (at, arrivals.saturating_sub(usize::from(self.is_rejected_once)))
    }
}

/// What a call got by the end of the process, and what it did at the upstream.
#[derive(Debug)]
struct Played {
    call: Call,
    outcome: Outcome,
    arrivals: Vec<Instant>,
    runs: usize,
}

/// The moments of a stop.
#[derive(Debug, Clone, Copy)]
struct Moments {
    closes_idle: Instant,
    ends: Instant,
}

async fn play(stop: &Stop) -> (Vec<Played>, Moments) {
    let upstream = StandInUpstream::start("i-1").await;
    let published = published(&[&upstream]);
    let mut routing = routing(2);
    routing.routes.iter_mut().for_each(|route| route.timeout_ms = Millis(ROUTE_TIMEOUT_MS));
    routing.limits.head_timeout_ms = Millis(5_000);
    published.write_routing(routing);
    let gateway = start(settings(&[]), &published).await;
    wait_until("it is ready", || gateway.host().is_ready()).await;
    let mut outcomes = Vec::new();
    for (number, call) in stop.calls.iter().enumerate() {
        // Ends with a mark, so that no id is the prefix of another.
        let id = format!("c{number};");
        let rejected = call.is_rejected_once.then_some(Behaviour::NotRun);
        upstream.set_script_of(&id, rejected.into_iter().chain([Behaviour::Slow(call.work_ms)]));
        if let Arrival::Behind(work_ms) = call.arrival {
            upstream.set_script_of(&format!("before-{id}"), [Behaviour::Slow(work_ms)]);
        }
        let outcome = Rc::new(RefCell::<Outcome>::default());
        outcomes.push(Rc::clone(&outcome));
        let address = caller_address(&gateway);
        let kept = match call.arrival {
            Arrival::KeptConnection => Some(Caller::connect(address).await),
            _ => None,
        };
        let call = call.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_millis(call.begins_ms)).await;
            let connection = match kept {
                Some(kept) => Some(kept),
                None => Caller::try_connect(address).await,
            };
            if let Some(connection) = connection {
                call.run(id, connection, outcome).await;
            }
        });
    }
    tokio::time::sleep(BEFORE_STOP).await;
    let host = gateway.host();
    let now_ms = host.now_ms();
    let schedule = ShutdownSchedule {
        begun_ms: now_ms,
        closes_idle_ms: now_ms + Millis(stop.closes_idle_ms),
        ends_ms: now_ms + Millis(stop.closes_idle_ms + stop.ends_ms),
    };
    host.shutdown.begin(schedule);
    host.clock.sleep_until(schedule.closes_idle_ms).await;
    host.shutdown.close_idle();
    let closes_idle = Instant::now();
    host.clock.sleep_until(schedule.ends_ms).await;
    let moments = Moments { closes_idle, ends: Instant::now() };
    let played = stop.calls.iter().zip(&outcomes).enumerate().map(|(number, (call, outcome))| {
        let (arrivals, runs) = call.runs(&format!("c{number};"), &upstream);
        Played { call: call.clone(), outcome: outcome.borrow().clone(), arrivals, runs }
    });
    (played.collect(), moments)
}

/// Whether a call got what it was promised, if the process ends now.
fn is_kept(played: &Played, moments: Moments) -> bool {
    let Played { call, outcome, arrivals, runs } = played;
    let (begun, sent) = match outcome {
        Outcome { begun: Some(begun), sent, .. } => (*begun, *sent),
        Outcome { begun: None, .. } => return *runs == 0,
    };
    let allowed = Duration::from_millis(call.allowed_ms);
    let last_response = moments.ends - LAST_RESPONSES;
    match &outcome.response {
        Some((_, response)) if response.status == 200 => {
            *runs == 1 && response.body.contains("ran c")
        }
        Some((_, response)) if matches!(response.status, 503 | 408) => *runs == 0,
        Some((at, response)) => response.status == 504 && *at + SLACK >= begun + allowed,
        None if *runs == 0 => match (call.arrival, sent) {
            // Behind a response that is pending or closes the connection.
            (Arrival::Behind(_), _) => true,
            // The connection was idle, or not accepted.
            (_, _) if begun + SLACK >= moments.closes_idle => true,
            (_, Some(sent)) => sent + SLACK >= last_response,
            (_, None) => false,
        },
        // At work since before idle connections were closed, for a caller that would wait on.
        None => {
            arrivals.iter().all(|at| *at < moments.closes_idle + SLACK)
                && begun + allowed + SLACK >= last_response
        }
    }
}

/// A number that the environment sets, or a default.
fn setting<T: std::str::FromStr>(name: &str, default: T) -> T {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: setting("STOP_SCHEDULES", 12),
        rng_seed: RngSeed::Fixed(setting("STOP_SEED", 68)),
        failure_persistence: None,
        max_shrink_iters: 60,
        ..ProptestConfig::default()
    })]

    /// Guards against a stop that cuts a request, whatever way and whenever it became ready.
    #[test]
    fn each_request_of_a_stop_gets_a_true_response_or_is_not_read(stop in any_stop()) {
        on_one_thread(async move {
            let (played, moments) = play(&stop).await;
            let broken: Vec<&Played> = played.iter().filter(|it| !is_kept(it, moments)).collect();
            assert!(broken.is_empty(), "{moments:?} {broken:#?}");
        });
    }
}
