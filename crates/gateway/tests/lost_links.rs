//! Hosts that lose their links to all upstreams, while callers, the source and the other hosts
//! still reach them.
#![allow(clippy::unwrap_used)]

mod support;

use dispatch::scheduler::{Cell, Directory};
use domain::{HostId, Millis};
use gateway::run::Gateway;
use rstest::rstest;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use support::caller::{Caller, get, post};
use support::upstream::{Cut, StandInUpstream};
use support::{
    LogsOnFailure, caller_address, fleet, on_one_thread, published, service, wait_until,
};

const HOSTS: usize = 5;

/// Hosts that are cut off.
const CUT_OFF: usize = 3;

const CALLERS_PER_HOST: usize = 4;

const UPSTREAMS: [&str; 6] = ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6"];

/// Work of a request, half of its objective.
const WORK_MS: u64 = 200;

/// Load of an upstream that is slowed down: no host sends to it without the scheduler.
const NOT_IDLE: &str = "0,0,6,150";

/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(30);

/// Time after a cut from which callers are served.
const DETECTION_TIME: Duration = Duration::from_secs(1);

/// Time for which is measured before the cut, and from [`DETECTION_TIME`] after it.
const MEASURED_TIME: Duration = Duration::from_millis(1_500);

/// Least share of first tries served at cut-off hosts, by that at the others.
const MIN_SERVED_TO_OTHERS: f64 = 0.95;

/// Least share of first tries served at the others, by that before the cut.
const MIN_SERVED_TO_BEFORE: f64 = 0.97;

/// When a request was sent to a host, and the status that it got; 0 if the connection ended.
type Outcomes = Rc<RefCell<Vec<(usize, Instant, u16)>>>;

/// Sends idempotent and other requests to a host in turn, on one connection for as long as it lives.
async fn run_caller(host: usize, caller: usize, address: SocketAddr, outcomes: Outcomes) {
    let mut connection = Caller::connect(address).await;
    for number in 0.. {
        let id = format!("{host}-{caller}-{number}");
        let request = match number % 2 {
            0 => get("/any/x", &id),
            _ => post("/once/x", &id, "{}"),
        };
        let sent = Instant::now();
        connection.send(&request).await;
        let status = match connection.receive().await {
            Some(response) => response.status,
            None => 0,
        };
        outcomes.borrow_mut().push((host, sent, status));
        if status == 0 {
            connection = Caller::connect(address).await;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Share of the requests sent to these hosts within `MEASURED_TIME` from a moment on that were served.
fn served_share(outcomes: &Outcomes, is_measured: impl Fn(usize) -> bool, from: Instant) -> f64 {
    let outcomes = outcomes.borrow();
    let sent = outcomes.iter().filter(|(host, sent, _)| {
        is_measured(*host) && *sent >= from && sent.duration_since(from) < MEASURED_TIME
    });
    let served: Vec<bool> = sent.map(|(_, _, status)| *status == 200).collect();
    assert!(served.len() >= 8, "too few requests to measure: {}", served.len());
    served.iter().filter(|&&served| served).count() as f64 / served.len() as f64
}

fn scheduler(hosts: &[Gateway]) -> HostId {
    let members = hosts[0].host().members().all();
    let cell = Cell { service: service(), zone: None };
    Directory::default().choose(Millis::ZERO, &cell, members.iter()).unwrap().host.clone()
}

/// The fleet with the scheduler first, or last.
fn ordered(mut hosts: Vec<Gateway>, is_scheduler_first: bool) -> Vec<Gateway> {
    let scheduler = scheduler(&hosts);
    hosts.sort_by_key(|host| {
        let is_scheduler = host.host().settings.borrow().host == scheduler;
        is_scheduler != is_scheduler_first
    });
    hosts
}

fn set_cut(upstreams: &[StandInUpstream], hosts: &[Gateway], cut: Option<Cut>) {
    for host in hosts {
        for upstream in upstreams {
            upstream.set_cut(host.host().own_ip(), cut);
        }
    }
}

async fn start_upstreams() -> Vec<StandInUpstream> {
    let mut upstreams = Vec::new();
    for id in UPSTREAMS {
        let upstream = StandInUpstream::start(id).await;
        upstream.set_load(NOT_IDLE);
        upstream.set_work_ms(WORK_MS);
        upstreams.push(upstream);
    }
    upstreams
}

/// Guards against hosts without links that serve nobody, and that take others' callers with them.
#[rstest]
fn callers_are_served_while_some_hosts_reach_no_upstream(
    #[values(Cut::Reset, Cut::Silent, Cut::OneWay, Cut::OnlyNew, Cut::OnlyOpen)] cut: Cut,
    #[values(false, true)] is_scheduler_cut: bool,
) {
    on_one_thread(async {
        let upstreams = start_upstreams().await;
        let published = published(&upstreams.iter().collect::<Vec<_>>());
        let hosts = ordered(fleet(HOSTS, &published).await, is_scheduler_cut);
        wait_until("all are ready", || hosts.iter().all(|host| host.host().is_ready())).await;
        let outcomes = Outcomes::default();
        let _logs = LogsOnFailure::of(&hosts);
        for (number, host) in hosts.iter().enumerate() {
            for caller in 0..CALLERS_PER_HOST {
                let address = caller_address(host);
                let calling = run_caller(number, caller, address, Rc::clone(&outcomes));
                tokio::task::spawn_local(calling);
            }
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        let before_from = Instant::now();
        tokio::time::sleep(MEASURED_TIME).await;
        set_cut(&upstreams, &hosts[..CUT_OFF], Some(cut));
        let from = Instant::now() + DETECTION_TIME;
        tokio::time::sleep(DETECTION_TIME + MEASURED_TIME * 2).await;
        let before = served_share(&outcomes, |host| host >= CUT_OFF, before_from);
        let others = served_share(&outcomes, |host| host >= CUT_OFF, from);
        let at_cut_off = served_share(&outcomes, |host| host < CUT_OFF, from);
        println!("served {before:.3} before, {others:.3} at others, {at_cut_off:.3} at cut-off");
        assert!(others >= MIN_SERVED_TO_BEFORE * before, "{others} after {before}");
        assert!(at_cut_off >= MIN_SERVED_TO_OTHERS * others, "{at_cut_off} beside {others}");
    });
}

/// Guards against slots that stay taken by requests whose links were lost, until these expire.
#[test]
fn slots_of_requests_behind_lost_links_are_free_for_others() {
    on_one_thread(async {
        let upstreams = start_upstreams().await;
        let upstreams = &upstreams[..2];
        let published = published(&upstreams.iter().collect::<Vec<_>>());
        let hosts = ordered(fleet(2, &published).await, false);
        wait_until("all are ready", || hosts.iter().all(|host| host.host().is_ready())).await;
        let _logs = LogsOnFailure::of(&hosts);
        for caller in 0..12 {
            let address = caller_address(&hosts[0]);
            tokio::task::spawn_local(async move {
                let mut connection = Caller::connect(address).await;
                for number in 0.. {
                    let id = format!("{caller}-{number}");
                    connection.exchange(&post("/once/x", &id, "{}")).await;
                }
            });
        }
        tokio::time::sleep(MEASURED_TIME).await;
        set_cut(upstreams, &hosts[..1], Some(Cut::Silent));
        // Requests time out 1.2 s after their arrival.
        tokio::time::sleep(Duration::from_millis(900)).await;
        let mut caller = Caller::connect(caller_address(&hosts[1])).await;
        let sent = Instant::now();
        let got = caller.exchange(&post("/once/x", "other", "{}")).await;
        assert_eq!(got.status, 200, "{}", got.cause);
        let longest = Duration::from_millis(2 * WORK_MS);
        assert!(sent.elapsed() < longest, "after {:?}", sent.elapsed());
    });
}
