//! The upstream's contract: answers, slots, deadlines, drain, and each fault.

#![allow(clippy::unwrap_used)]

use domain::{ByteCount, Millis, Slots};
use reqwest::{Client, StatusCode};
use rstest::rstest;
use standins::upstream::{
    self, Answer, Health, Load, RunLedger, UpstreamFaults, UpstreamHandle, UpstreamSettings,
};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

const BODY: &[u8] = b"two reams of paper";
const PADDING: ByteCount = ByteCount(300_000);
/// Longer than any test takes.
const FOR_EVER_MS: Millis = Millis(3_600_000);

fn settings() -> UpstreamSettings {
    UpstreamSettings::new("portal-1".parse().unwrap(), "kariakoo".parse().unwrap())
}

fn client() -> Client {
    Client::builder().no_proxy().redirect(reqwest::redirect::Policy::none()).build().unwrap()
}

fn request(upstream: &UpstreamHandle, name: &str) -> reqwest::RequestBuilder {
    let url = format!("http://{}/orders", upstream.address);
    client().post(url).header("x-request", name).header("x-answer-bytes", PADDING.0).body(BODY)
}

/// Sends requests one after the other, and each stays in the upstream.
async fn occupy(upstream: &UpstreamHandle, requests: u32) -> Vec<JoinHandle<()>> {
    let mut tasks = Vec::new();
    for n in 0..requests {
        let request = request(upstream, &format!("occupant-{n}"));
        tasks.push(tokio::spawn(async move { drop(request.send().await) }));
        wait_until(|| upstream.load().busy.0 + upstream.load().queued == n + 1).await;
    }
    tasks
}

async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

fn text_header<'a>(answer: &'a reqwest::Response, name: &str) -> Option<&'a str> {
    answer.headers().get(name).map(|value| value.to_str().unwrap())
}

#[derive(Debug, PartialEq)]
enum Seen {
    Whole,
    OtherContent,
    Status(StatusCode),
    Cut,
    NoAnswer,
}

async fn see(upstream: &UpstreamHandle, name: &str) -> Seen {
    let Ok(answer) = request(upstream, name).send().await else { return Seen::NoAnswer };
    if answer.status() != StatusCode::OK {
        return Seen::Status(answer.status());
    }
    let Ok(body) = answer.bytes().await else { return Seen::Cut };
    match serde_json::from_slice::<Answer>(&body) {
        Ok(answer) if answer.answers(name, BODY, PADDING) => Seen::Whole,
        _ => Seen::OtherContent,
    }
}

#[rstest]
#[case::none("{}", Seen::Whole, 1)]
#[case::fail_fast(r#"{"fail_fast_share":1}"#, Seen::Status(StatusCode::INTERNAL_SERVER_ERROR), 1)]
#[case::cut(r#"{"cut_answer_share":1}"#, Seen::Cut, 1)]
#[case::cut_chunked(r#"{"cut_answer_share":1,"chunked":true}"#, Seen::Cut, 1)]
#[case::chunked(r#"{"chunked":true}"#, Seen::Whole, 1)]
#[case::close_before_answer(r#"{"close_before_answer_share":1}"#, Seen::NoAnswer, 1)]
#[case::close_on_accept(r#"{"close_on_accept":1}"#, Seen::NoAnswer, 0)]
#[case::redirect(r#"{"redirect":"http://127.0.0.1:1/"}"#, Seen::Status(StatusCode::FOUND), 0)]
#[case::truncated(r#"{"truncated_content_share":1}"#, Seen::OtherContent, 1)]
#[case::slow(r#"{"slow_factor":2,"noisy":{"every_ms":10,"for_ms":5,"factor":2}}"#, Seen::Whole, 1)]
#[tokio::test]
async fn a_fault_shows(#[case] faults: &str, #[case] expected: Seen, #[case] runs: u32) {
    let upstream = upstream::start(settings()).await.unwrap();
    let url = format!("http://{}/standin/faults", upstream.address);
    // This client keeps no connection, so that `close_on_accept` hits the request.
    let set = client().post(url).body(faults.to_owned()).send().await.unwrap();
    assert_eq!(set.status(), StatusCode::OK);

    assert_eq!(see(&upstream, "r-1").await, expected);
    let url = format!("http://{}/standin/runs", upstream.address);
    let text = client().get(url).send().await.unwrap().text().await.unwrap();
    let ledger: RunLedger = serde_json::from_str(&text).unwrap();
    assert_eq!(ledger.count("r-1"), runs);
    assert_eq!(ledger, upstream.runs());
}

#[rstest]
#[case::unknown_field(r#"{"slow":2}"#)]
#[case::wrong_type(r#"{"stall_ms":"long"}"#)]
#[tokio::test]
async fn bad_faults_are_refused(#[case] faults: &str) {
    let upstream = upstream::start(settings()).await.unwrap();
    let url = format!("http://{}/standin/faults", upstream.address);
    let answer = client().post(url).body(faults.to_owned()).send().await.unwrap();
    assert_eq!(answer.status(), StatusCode::BAD_REQUEST);
    assert_eq!(upstream.faults(), UpstreamFaults::default());
}

#[tokio::test]
async fn a_full_queue_sheds_at_once() {
    let full =
        UpstreamSettings { slots: Slots(2), queue: 1, service_ms: FOR_EVER_MS, ..settings() };
    let upstream = upstream::start(full).await.unwrap();
    let occupants = occupy(&upstream, 3).await;

    let answer = request(&upstream, "shed").send().await.unwrap();
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(text_header(&answer, "x-outcome"), Some("not-run"));
    assert_eq!(text_header(&answer, "x-load"), Some("2/1"));
    assert_eq!(upstream.runs().count("shed"), 0);
    assert_eq!(upstream.totals().shed, 1);

    occupants.iter().for_each(JoinHandle::abort);
    wait_until(|| upstream.load() == Load::default()).await;
    assert_eq!(upstream.totals().completed, 0);
}

#[tokio::test]
async fn queued_work_expires() {
    let busy = UpstreamSettings { slots: Slots(1), service_ms: FOR_EVER_MS, ..settings() };
    let upstream = upstream::start(busy).await.unwrap();
    let _occupants = occupy(&upstream, 1).await;

    let answer = request(&upstream, "late").header("x-deadline-ms", 1).send().await.unwrap();
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(text_header(&answer, "x-outcome"), Some("not-run"));
    assert_eq!(upstream.runs().count("late"), 0);
    assert_eq!(upstream.totals().expired, 1);
}

#[tokio::test]
async fn a_disconnect_hands_the_slot_to_the_next() {
    let one = UpstreamSettings { slots: Slots(1), service_ms: Millis(1), ..settings() };
    let upstream = upstream::start(one).await.unwrap();
    upstream.set_faults(UpstreamFaults { stall_ms: FOR_EVER_MS, ..Default::default() });
    let occupants = occupy(&upstream, 1).await;
    upstream.set_faults(UpstreamFaults::default());
    let next = tokio::spawn(request(&upstream, "next").send());
    wait_until(|| upstream.load().queued == 1).await;

    occupants.iter().for_each(JoinHandle::abort);
    assert_eq!(next.await.unwrap().unwrap().status(), StatusCode::OK);
}

async fn health(upstream: &UpstreamHandle) -> (StatusCode, String) {
    let url = format!("http://{}/health", upstream.address);
    let answer = client().get(url).send().await.unwrap();
    (answer.status(), answer.text().await.unwrap())
}

fn lying(health: Health) -> UpstreamFaults {
    UpstreamFaults { lie_health: Some(health), ..Default::default() }
}

fn lying_load() -> UpstreamFaults {
    let lie = Load { busy: Slots(6), queued: 3 };
    UpstreamFaults { lie_load: Some(lie), ..Default::default() }
}

#[rstest]
#[case::serving(
    settings(),
    UpstreamFaults::default(),
    200,
    r#"{"state":"serving","busy":0,"queued":0}"#
)]
#[case::starting(
    UpstreamSettings { cold_start_ms: FOR_EVER_MS, ..settings() },
    UpstreamFaults::default(),
    200,
    r#"{"state":"starting","busy":0,"queued":0}"#
)]
#[case::lies_to_leave(
    settings(),
    lying(Health::Leaving),
    200,
    r#"{"state":"leaving","busy":0,"queued":0}"#
)]
#[case::lies_to_be_ill(
    settings(),
    lying(Health::Unhealthy),
    500,
    r#"{"state":"unhealthy","busy":0,"queued":0}"#
)]
#[case::lies_of_load(settings(), lying_load(), 200, r#"{"state":"serving","busy":6,"queued":3}"#)]
#[tokio::test]
async fn health_is_reported(
    #[case] settings: UpstreamSettings,
    #[case] faults: UpstreamFaults,
    #[case] status: u16,
    #[case] report: &str,
) {
    let upstream = upstream::start(settings).await.unwrap();
    upstream.set_faults(faults);
    assert_eq!(health(&upstream).await, (StatusCode::from_u16(status).unwrap(), report.into()));
    assert_eq!(upstream.totals().health_calls, 1);
}

#[tokio::test]
async fn load_is_reported_late() {
    let busy = UpstreamSettings { service_ms: FOR_EVER_MS, ..settings() };
    let upstream = upstream::start(busy).await.unwrap();
    upstream.set_faults(UpstreamFaults { late_load_ms: FOR_EVER_MS, ..Default::default() });
    let _occupants = occupy(&upstream, 2).await;
    assert_eq!(health(&upstream).await.1, r#"{"state":"serving","busy":0,"queued":0}"#);
    upstream.set_faults(UpstreamFaults::default());
    assert_eq!(health(&upstream).await.1, r#"{"state":"serving","busy":2,"queued":0}"#);
}

fn slowed(text: &str) -> UpstreamFaults {
    serde_json::from_str(text).unwrap()
}

/// Only lower bounds, which hold on a busy machine too.
#[rstest]
#[case::fixed(settings(), "{}", "kariakoo", 5)]
#[case::slow(settings(), r#"{"slow_factor":8}"#, "kariakoo", 40)]
#[case::stalled(settings(), r#"{"stall_ms":30}"#, "kariakoo", 35)]
#[case::noisy(settings(), r#"{"noisy":{"every_ms":9,"for_ms":9,"factor":8}}"#, "kariakoo", 40)]
#[case::cold(
    UpstreamSettings { cold_start_ms: FOR_EVER_MS, ..settings() }, "{}", "kariakoo", 15
)]
#[case::same_zone(
    UpstreamSettings { zone_delay_ms: FOR_EVER_MS, ..settings() }, "{}", "kariakoo", 5
)]
#[case::other_zone(
    UpstreamSettings { zone_delay_ms: Millis(20), ..settings() }, "{}", "temeke", 45
)]
#[tokio::test]
async fn work_takes_its_time(
    #[case] settings: UpstreamSettings,
    #[case] faults: &str,
    #[case] entry_zone: &str,
    #[case] at_least_ms: u64,
) {
    let upstream = upstream::start(settings).await.unwrap();
    upstream.set_faults(slowed(faults));
    let sent = Instant::now();
    let answer = request(&upstream, "r-1").header("x-entry-zone", entry_zone).send().await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    assert!(sent.elapsed() >= Duration::from_millis(at_least_ms));
}

async fn refuses_connections(address: SocketAddr) -> bool {
    match client().get(format!("http://{address}/health")).send().await {
        Ok(_) => false,
        Err(error) => error.is_connect(),
    }
}

#[tokio::test]
async fn leaving_ends_what_is_in_flight() {
    let one = UpstreamSettings { slots: Slots(1), drain_notice_ms: Millis(1), ..settings() };
    let upstream = upstream::start(one).await.unwrap();
    let address = upstream.address;
    upstream.set_faults(UpstreamFaults { stall_ms: FOR_EVER_MS, ..Default::default() });
    let occupants = occupy(&upstream, 1).await;
    upstream.set_faults(UpstreamFaults::default());
    let in_flight = tokio::spawn(request(&upstream, "in-flight").send());
    wait_until(|| upstream.load().queued == 1).await;

    let _silent = TcpStream::connect(address).await.unwrap();

    upstream.start_leaving();
    assert_eq!(health(&upstream).await.1, r#"{"state":"leaving","busy":1,"queued":1}"#);
    let drain = tokio::spawn(upstream.drain());
    while !refuses_connections(address).await {}
    occupants.iter().for_each(JoinHandle::abort);

    let answer = in_flight.await.unwrap().unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(text_header(&answer, "x-leaving"), Some("1"));
    assert!(answer.json::<Answer>().await.unwrap().answers("in-flight", BODY, PADDING));
    drain.await.unwrap();
}
