//! The balancer's contract, with upstreams in the place of entry hosts: what answers
//! every path answers `/readyz` too.

#![allow(clippy::unwrap_used)]

use domain::ByteCount;
use reqwest::{Client, StatusCode};
use rstest::rstest;
use standins::balancer::{self, BalancerHandle, BalancerSettings, Entry};
use standins::upstream::{self, Answer, UpstreamFaults, UpstreamHandle, UpstreamSettings};
use std::net::{Ipv4Addr, SocketAddr};
use tokio::net::TcpSocket;

const BODY: &[u8] = b"a pack of screws";
const PADDING: ByteCount = ByteCount(300_000);

async fn host(id: &str) -> UpstreamHandle {
    let settings = UpstreamSettings::new(id.parse().unwrap(), "lalitpur".parse().unwrap());
    upstream::start(settings).await.unwrap()
}

fn entry(id: &str, caller_address: SocketAddr, operator_address: SocketAddr) -> Entry {
    Entry { host: id.parse().unwrap(), caller_address, operator_address }
}

async fn balance(entries: Vec<Entry>) -> BalancerHandle {
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    balancer::start(BalancerSettings { listen, entries }).await.unwrap()
}

/// A port that is taken and where nobody listens, as long as the socket lives.
fn nowhere() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
    let address = socket.local_addr().unwrap();
    (socket, address)
}

async fn send(balancer: &BalancerHandle, name: &str) -> reqwest::Result<reqwest::Response> {
    let client = Client::builder().no_proxy().build().unwrap();
    let url = format!("http://{}/orders?kind=pack", balancer.address);
    let request = client.post(url).header("x-request", name);
    request.header("x-answer-bytes", PADDING.0).body(BODY).send().await
}

/// Status, outcome and, if there is one, the sender of a whole answer.
async fn outcome(balancer: &BalancerHandle, name: &str) -> String {
    let Ok(answer) = send(balancer, name).await else { return "no answer".into() };
    let status = answer.status().as_u16();
    if let Some(outcome) = answer.headers().get("x-outcome") {
        return format!("{status} {}", outcome.to_str().unwrap());
    }
    let Ok(body) = answer.bytes().await else { return format!("{status} cut") };
    match serde_json::from_slice::<Answer>(&body) {
        Ok(answer) if answer.answers(name, BODY, PADDING) => {
            format!("{status} {}", answer.upstream)
        }
        _ => format!("{status}"),
    }
}

#[tokio::test]
async fn ready_hosts_take_turns() {
    let (a, b) = (host("a").await, host("b").await);
    let unready = host("unready").await;
    let (_socket, nowhere) = nowhere();
    let balancer = balance(vec![
        entry("a", a.address, a.address),
        entry("unready", unready.address, nowhere),
        entry("b", b.address, b.address),
    ])
    .await;
    let mut answers = Vec::new();
    for n in 0..4 {
        answers.push(outcome(&balancer, &format!("r-{n}")).await);
    }
    assert_eq!(answers, ["200 a", "200 b", "200 a", "200 b"]);
}

#[tokio::test]
async fn the_next_host_is_tried_when_none_listens() {
    let a = host("a").await;
    // It says that it is ready although nobody listens where it takes requests.
    let (_socket, nowhere) = nowhere();
    let gone = entry("gone", nowhere, a.address);
    let balancer = balance(vec![gone.clone(), entry("a", a.address, a.address)]).await;
    assert_eq!(outcome(&balancer, "r-1").await, "200 a");
    balancer.replace_entries(vec![gone]).await;
    assert_eq!(outcome(&balancer, "r-2").await, "503 not-run");
    balancer.replace_entries(Vec::new()).await;
    assert_eq!(outcome(&balancer, "r-3").await, "503 not-run");
}

#[rstest]
#[case::cut(r#"{"cut_answer_share":1}"#, "200 cut")]
#[case::cut_chunked(r#"{"cut_answer_share":1,"chunked":true}"#, "200 cut")]
#[case::no_answer(r#"{"close_before_answer_share":1}"#, "502 unknown")]
#[case::error(r#"{"fail_fast_share":1}"#, "500")]
#[tokio::test]
async fn nothing_is_sent_twice(#[case] faults: &str, #[case] expected: &str) {
    let (a, b) = (host("a").await, host("b").await);
    let ready = host("ready").await;
    let faults: UpstreamFaults = serde_json::from_str(faults).unwrap();
    a.set_faults(faults.clone());
    b.set_faults(faults);
    let entries = vec![entry("a", a.address, ready.address), entry("b", b.address, ready.address)];
    let balancer = balance(entries).await;
    assert_eq!(outcome(&balancer, "r-1").await, expected);
    assert_eq!(a.runs().count("r-1") + b.runs().count("r-1"), 1);
}

#[tokio::test]
async fn entries_are_replaced_and_checked_over_http() {
    let a = host("a").await;
    let balancer = balance(Vec::new()).await;
    let client = Client::builder().no_proxy().build().unwrap();
    let url = format!("http://{}/standin/entries", balancer.address);
    let entries = serde_json::to_string(&[entry("a", a.address, a.address)]).unwrap();
    let answer = client.put(url).body(entries).send().await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(outcome(&balancer, "r-1").await, "200 a");

    drop(a);
    while balancer.entries().iter().any(|status| status.ready) {
        tokio::task::yield_now().await;
    }
    assert_eq!(outcome(&balancer, "r-2").await, "503 not-run");
}

#[rstest]
#[case::whole("e1=127.0.0.1:1=127.0.0.1:2", true)]
#[case::no_operator_address("e1=127.0.0.1:1", false)]
#[case::too_many_parts("e1=127.0.0.1:1=127.0.0.1:2=3", false)]
#[case::no_port("e1=127.0.0.1=127.0.0.1:2", false)]
fn an_entry_is_parsed(#[case] text: &str, #[case] parses: bool) {
    assert_eq!(text.parse::<Entry>().is_ok(), parses);
}
