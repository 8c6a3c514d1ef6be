//! Hosts whose requests are placed by one scheduler, and which bypass it if it doesn't respond.
#![allow(clippy::unwrap_used)]

mod support;

use dispatch::scheduler::{Cell, Directory};
use domain::{FastSet, Incarnation, Millis};
use gateway::peers::codec::{Datagram, encode};
use gateway::run::Gateway;
use published::{Capacity, HelloKind, Member, Message};
use std::net::UdpSocket;
use std::time::Duration;
use support::caller::{Caller, get, post};
use support::source::Published;
use support::thread_time::ThreadTime;
use support::upstream::{Behaviour, StandInUpstream};
use support::{
    caller_address, on_one_thread, ready, service, settings, start, upstream_item, wait_until,
};

/// Load of an upstream that is slowed down: no host sends to it without the scheduler.
const NOT_IDLE: &str = "0,0,6,150";

/// A thread that was held up for less than this is taken to be undisturbed: a tenth of the time for
/// which hosts wait for a scheduler or a probe.
const HELD_UP: Duration = Duration::from_millis(3);

/// Most requests of one host until three are undisturbed.
const MAX_ROUNDS: usize = 1_000;

fn cell() -> Cell {
    Cell { service: service(), zone: None }
}

/// What chose the upstream of each request in the log: a scheduler's host, or `asking`. Prints the
/// log, which a failing test shows.
fn chosen_by(gateway: &Gateway) -> Vec<String> {
    let log = gateway.host().log.take_buffered();
    println!("{log}");
    let chosen = log.lines().filter(|line| line.contains("\"event\":\"chosen\""));
    let by = |line: &str| {
        let line: serde_json::Value = serde_json::from_str(line).unwrap();
        line["scheduler"].as_str().unwrap_or("asking").to_owned()
    };
    chosen.map(by).collect()
}

async fn fleet(size: usize, upstream: &StandInUpstream) -> Vec<Gateway> {
    let published = Published::default();
    published.write_routing(support::routing(1));
    published.write("servers", upstream_item(upstream.id(), upstream.address()));
    let mut first = settings(&[]);
    let seed = first.peers;
    first.seeds = vec![seed.ip()];
    let mut hosts = vec![start(first, &published).await];
    for _ in 1..size {
        hosts.push(start(settings(&[seed]), &published).await);
    }
    let knows_all = |host: &Gateway| host.host().members().all().len() == size;
    wait_until("all know each other", || hosts.iter().all(knows_all)).await;
    wait_until("all are ready", || hosts.iter().all(|host| host.host().is_ready())).await;
    hosts
}

/// Sends requests until three were undisturbed, and returns what chose the upstreams of those; adds
/// the number of all to `sent`. Scheduler and host share a thread here: where it is held up, the
/// scheduler is silent for the host.
async fn chosen_by_undisturbed(
    gateway: &Gateway,
    request: impl Fn(usize) -> String,
    sent: &mut usize,
) -> Vec<String> {
    let mut caller = Caller::connect(caller_address(gateway)).await;
    let mut chosen = Vec::new();
    let mut undisturbed = 0;
    for round in 0..MAX_ROUNDS {
        let time = ThreadTime::start();
        let got = caller.exchange(&request(round)).await;
        assert_eq!((got.status, got.is_sealed), (200, true));
        *sent += 1;
        let by = chosen_by(gateway);
        if time.held_up() < HELD_UP {
            chosen.extend(by);
            undisturbed += 1;
        }
        if undisturbed == 3 {
            return chosen;
        }
    }
    panic!("held up in all but {undisturbed} of {MAX_ROUNDS} rounds");
}

/// Guards against hosts that choose upstreams by themselves beside a scheduler that replies.
#[test]
fn one_scheduler_places_the_requests_of_all_hosts() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        upstream.set_load(NOT_IDLE);
        let hosts = fleet(4, &upstream).await;
        let mut schedulers = FastSet::default();
        let mut sent = 0;
        for (number, host) in hosts.iter().enumerate() {
            let request = |round| post("/once/x", &format!("{number}-{round}"), "{}");
            schedulers.extend(chosen_by_undisturbed(host, request, &mut sent).await);
        }
        assert_eq!(schedulers.len(), 1, "{schedulers:?}");
        assert!(!schedulers.contains("asking"));
        let seen: FastSet<String> = upstream.requests().into_iter().map(|seen| seen.id).collect();
        assert_eq!((seen.len(), upstream.requests().len()), (sent, sent));
    });
}

#[test]
fn a_request_for_an_idle_local_upstream_bypasses_the_scheduler() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _) = ready(&[&upstream]).await;
        let request = |round| get("/any/x", &format!("id-{round}"));
        let chosen = chosen_by_undisturbed(&gateway, request, &mut 0).await;
        assert_eq!(chosen, ["asking"; 3]);
    });
}

/// A host that doesn't exist, and is the primary scheduler by the order of hosts.
fn unresponsive_scheduler(gateway: &Gateway) -> Member {
    let own = gateway.host().members().own().clone();
    let silent = |number: u32| Member {
        host: format!("silent-{number}").parse().unwrap(),
        incarnation: Incarnation(1),
        availability_zone: own.availability_zone.clone(),
        address: "127.0.0.1:9".parse().unwrap(),
        capacity: Capacity::default(),
    };
    let is_chosen = |member: &Member| {
        let all = [own.clone(), member.clone()];
        let chosen = Directory::default().choose(Millis::ZERO, &cell(), all.iter()).cloned();
        chosen.as_ref() == Some(member)
    };
    (0..).map(silent).find(is_chosen).unwrap()
}

fn send_hello(gateway: &Gateway, from: Member) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let hello =
        Datagram::Gossip(Message::Hello { from, kind: HelloKind::Alive, members_digest: 0 });
    let peers = gateway.host().settings.borrow().peers;
    socket.send_to(&encode(&hello).unwrap(), peers).unwrap();
}

#[test]
fn an_unresponsive_scheduler_is_bypassed_and_then_excluded() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        upstream.set_load(NOT_IDLE);
        let (gateway, _) = ready(&[&upstream]).await;
        let unresponsive = unresponsive_scheduler(&gateway);
        send_hello(&gateway, unresponsive.clone());
        wait_until("it is known", || gateway.host().host_count() == 2).await;
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        for round in 0..3 {
            let got = caller.exchange(&post("/once/x", &format!("id-{round}"), "{}")).await;
            assert_eq!(got.status, 200);
        }
        let own = gateway.host().members().own().host.to_string();
        // Two requests get no reply; then the next host in order schedules.
        assert_eq!(chosen_by(&gateway), ["asking", "asking", own.as_str()]);
        assert_eq!(upstream.requests().len(), 3);
        // A new run of it is used again.
        send_hello(&gateway, Member { incarnation: Incarnation(2), ..unresponsive });
        wait_until("it is known again", || {
            gateway.host().log.take_buffered().contains("peers-heard")
        })
        .await;
        assert_eq!(caller.exchange(&post("/once/x", "id-3", "{}")).await.status, 200);
        assert_eq!(chosen_by(&gateway), ["asking"]);
    });
}

#[test]
fn a_placement_is_released_when_its_caller_disconnects() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        upstream.set_load(NOT_IDLE);
        let (gateway, _) = ready(&[&upstream]).await;
        upstream.add_to_script([Behaviour::Slow(5_000)]);
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        caller.send(&get("/any/x", "id-1")).await;
        wait_until("it arrived", || upstream.requests().len() == 1).await;
        let open = || {
            let upstreams = gateway.host().upstreams.borrow();
            upstreams.get(&"i-1".parse().unwrap()).unwrap().in_flight()
        };
        assert_eq!(open(), 1);
        drop(caller);
        wait_until("its placement is released", || open() == 0).await;
    });
}

#[test]
fn a_stopping_host_schedules_no_more() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        upstream.set_load(NOT_IDLE);
        let hosts = fleet(2, &upstream).await;
        let name = |host: &Gateway| host.host().members().own().host.to_string();
        let members: Vec<Member> =
            hosts.iter().map(|host| host.host().members().own().clone()).collect();
        let chosen = Directory::default().choose(Millis::ZERO, &cell(), members.iter()).unwrap();
        let (scheduler, other) = match chosen.host.as_str() == name(&hosts[0]) {
            true => (&hosts[0], &hosts[1]),
            false => (&hosts[1], &hosts[0]),
        };
        let mut caller = Caller::connect(caller_address(other)).await;
        assert_eq!(caller.exchange(&post("/once/x", "id-0", "{}")).await.status, 200);
        assert_eq!(chosen_by(other), [name(scheduler)]);
        let stopping = scheduler.stop();
        let asking = async {
            wait_until("its leaving is received", || other.host().host_count() == 1).await;
            let got = caller.exchange(&post("/once/x", "id-1", "{}")).await;
            assert_eq!((got.status, chosen_by(other)), (200, vec![name(other)]));
        };
        tokio::join!(stopping, asking);
    });
}
