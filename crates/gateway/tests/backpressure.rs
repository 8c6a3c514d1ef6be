//! Rate limits, backoffs and leaving flags that upstreams state: how they are read, and sent to peers.
#![allow(clippy::unwrap_used)]

mod support;

use domain::{Millis, UpstreamId};
use gateway::backpressure::read_decimal;
use gateway::run::Gateway;
use rstest::rstest;
use std::time::{Duration, Instant};
use support::caller::{Caller, get, post};
use support::source::Published;
use support::thread_time::ThreadTime;
use support::upstream::{Behaviour, StandInUpstream};
use support::{
    LogsOnFailure, caller_address, fleet, knows, on_one_thread, published, ready, settings, start,
    wait_until,
};

#[rstest]
#[case::whole("3", Some(3.0))]
#[case::decimal("2.6", Some(2.6))]
#[case::zero("0", Some(0.0))]
#[case::spaced(" 2.6 ", Some(2.6))]
#[case::no_whole_part(".5", Some(0.5))]
#[case::comma("2,6", None)]
#[case::negative("-1", None)]
#[case::signed("+1", None)]
#[case::exponent("1e300", None)]
#[case::no_number("NaN", None)]
#[case::infinite("inf", None)]
#[case::endless(&"9".repeat(400), None)]
#[case::two_points("1.2.3", None)]
#[case::point(".", None)]
#[case::empty("", None)]
#[case::date("Wed, 21 Oct 2026 07:28:00 GMT", None)]
fn only_plain_numbers_are_read(#[case] value: &str, #[case] wanted: Option<f64>) {
    assert_eq!(read_decimal(value.as_bytes()), wanted);
}

/// Any bytes are read as a finite, non-negative number or as none.
#[test]
fn no_bytes_are_read_as_an_invalid_number() {
    let alphabet = b"0123456789.,-+eEinfNa \xff\x00";
    let mut state = 7_u64;
    for _ in 0..200_000 {
        let mut next = || {
            state = state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            (state >> 33) as usize
        };
        let length = next() % 12;
        let value: Vec<u8> = (0..length).map(|_| alphabet[next() % alphabet.len()]).collect();
        let read = read_decimal(&value);
        assert!(read.is_none_or(|number| number.is_finite() && number >= 0.0), "{value:?}");
    }
}

/// A host that forwarded one request to an upstream that added headers to its response.
struct OneRequest {
    caller: Caller,
    status: u16,
    upstream: StandInUpstream,
    gateway: Gateway,
    _published: Published,
}

async fn send_one_request(says: &[&str], act: Behaviour) -> OneRequest {
    let upstream = StandInUpstream::start("i-1").await;
    let (gateway, published) = ready(&[&upstream]).await;
    upstream.set_extra_headers(says);
    upstream.add_to_script([act]);
    let mut caller = Caller::connect(caller_address(&gateway)).await;
    let status = caller.exchange(&post("/once/x", "id-1", "{}")).await.status;
    OneRequest { caller, status, upstream, gateway, _published: published }
}

fn limit(gateway: &Gateway, id: &str) -> Option<f64> {
    let id: UpstreamId = id.parse().unwrap();
    let now_ms = gateway.host().now_ms();
    gateway.host().upstreams.borrow().fleet_rate(now_ms, &id).map(|limit| limit.rate.0)
}

#[rstest]
#[case::stated(&["x-upstream-limit: 2.6"], Some(2.6))]
#[case::the_smallest_of_two(&["x-upstream-limit: 9", "x-upstream-limit: 3"], Some(3.0))]
#[case::unreadable(&["x-upstream-limit: 2,6"], None)]
#[case::one_unreadable(&["x-upstream-limit: much", "x-upstream-limit: 4"], Some(4.0))]
fn a_response_states_a_rate_limit(
    #[case] lines: &'static [&'static str],
    #[case] wanted: Option<f64>,
) {
    on_one_thread(async move {
        let result = send_one_request(lines, Behaviour::Respond).await;
        assert_eq!(result.status, 200);
        assert_eq!(limit(&result.gateway, "i-1"), wanted);
    });
}

#[test]
fn a_delivered_response_counts_without_a_seal() {
    on_one_thread(async {
        let result =
            send_one_request(&["x-upstream-limit: 2"], Behaviour::UnsealedStatus(404)).await;
        assert_eq!(result.status, 404);
        assert_eq!(limit(&result.gateway, "i-1"), Some(2.0));
    });
}

#[rstest]
#[case::unsealed(Behaviour::UnsealedStatus(503))]
#[case::cut_short(Behaviour::Truncated)]
#[case::no_seal(Behaviour::Unsealed)]
fn a_response_that_may_not_be_the_upstreams_is_ignored(#[case] act: Behaviour) {
    on_one_thread(async move {
        let result = send_one_request(&["x-upstream-limit: 2"], act).await;
        assert_eq!(limit(&result.gateway, "i-1"), None);
    });
}

fn backs_off_ms(gateway: &Gateway, id: &str) -> Option<u64> {
    backs_off_ms_at(gateway, gateway.host().now_ms(), id)
}

/// The backoff that is left at a time, which the caller may have read before.
fn backs_off_ms_at(gateway: &Gateway, now_ms: Millis, id: &str) -> Option<u64> {
    let id: UpstreamId = id.parse().unwrap();
    gateway.host().upstreams.borrow().remaining_backoff(now_ms, &id).map(|left_ms| left_ms.0)
}

/// Hosts extend the time by up to a tenth.
#[rstest]
#[case::seconds(&["retry-after: 3"], Some(3_000))]
#[case::fraction(&["retry-after: 1.5"], Some(1_500))]
#[case::the_longest_of_two(&["retry-after: 1", "retry-after: 3"], Some(3_000))]
#[case::a_year(&["retry-after: 31536000"], Some(60_000))]
#[case::zero(&["retry-after: 0"], None)]
#[case::negative(&["retry-after: -1"], None)]
#[case::date(&["retry-after: Wed, 21 Oct 2026 07:28:00 GMT"], None)]
#[case::date_and_seconds(&["retry-after: soon", "retry-after: 3"], Some(3_000))]
#[case::none(&[], None)]
fn a_refusal_states_a_backoff(
    #[case] lines: &'static [&'static str],
    #[case] wanted_ms: Option<u64>,
) {
    on_one_thread(async move {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _published) = ready(&[&upstream]).await;
        upstream.set_extra_headers(lines);
        upstream.add_to_script([Behaviour::NotRun]);
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        let begun_ms = gateway.host().now_ms().0;
        caller.exchange(&post("/once/x", "id-1", "{}")).await;
        // One reading of the clock, since the test may be held up between two.
        let now_ms = gateway.host().now_ms();
        match (backs_off_ms_at(&gateway, now_ms, "i-1"), wanted_ms) {
            (Some(left_ms), Some(wanted_ms)) => {
                let until_ms = now_ms.0 + left_ms;
                assert!(until_ms >= begun_ms + wanted_ms, "{left_ms}");
                assert!(left_ms <= wanted_ms + wanted_ms / 10, "{left_ms}");
            }
            (left_ms, wanted_ms) => assert_eq!(left_ms, wanted_ms),
        }
    });
}

/// Only a refusal by the upstream states a backoff: `retry-after` on a served response is for the
/// caller, and a response of a proxy isn't the upstream's.
#[rstest]
#[case::served(Behaviour::Respond)]
#[case::failed(Behaviour::Status(500))]
#[case::unsealed_and_unmarked(Behaviour::UnsealedStatus(503))]
fn a_response_that_is_no_refusal_states_no_backoff(#[case] act: Behaviour) {
    on_one_thread(async move {
        let result = send_one_request(&["retry-after: 3"], act).await;
        assert_eq!(backs_off_ms(&result.gateway, "i-1"), None);
    });
}

#[test]
fn if_all_upstreams_are_in_backoff_requests_are_refused_at_once_with_retry_after() {
    on_one_thread(async {
        let upstreams = [StandInUpstream::start("i-1").await, StandInUpstream::start("i-2").await];
        let (gateway, _published) = ready(&[&upstreams[0], &upstreams[1]]).await;
        let _logs = LogsOnFailure::of([&gateway]);
        for (upstream, backoff) in upstreams.iter().zip(["retry-after: 30", "retry-after: 1"]) {
            upstream.set_extra_headers(&[backoff]);
            upstream.add_to_script([Behaviour::NotRun]);
        }
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        assert_eq!(caller.exchange(&get("/any/x", "id-1")).await.status, 503);
        for number in 2..5 {
            let (begun, time) = (Instant::now(), ThreadTime::start());
            let got = caller.exchange(&post("/once/x", &format!("id-{number}"), "{}")).await;
            assert_eq!((got.status, got.cause.as_str()), (503, "upstreams-limited"));
            let took = time.elapsed();
            assert!(took < Duration::from_millis(100), "{took:?} of {:?}", begun.elapsed());
            let retry_after = got.retry_after.unwrap();
            assert!((0.5..2.3).contains(&retry_after), "{retry_after}");
        }
        assert_eq!(upstreams.iter().map(|it| it.requests().len()).sum::<usize>(), 2);
        let is_free = || backs_off_ms(&gateway, "i-2").is_none();
        wait_until("the first backoff is over", is_free).await;
        assert_eq!(caller.exchange(&get("/any/x", "id-9")).await.status, 200);
    });
}

#[test]
fn a_stated_limit_reaches_all_hosts_and_one_that_starts_later() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let published = published(&[&upstream]);
        let mut hosts = fleet(3, &published).await;
        let _logs = LogsOnFailure::of(&hosts);
        upstream.set_extra_headers(&["x-upstream-limit: 4"]);
        let mut caller = Caller::connect(caller_address(&hosts[0])).await;
        assert_eq!(caller.exchange(&post("/once/x", "id-1", "{}")).await.status, 200);
        let time = ThreadTime::start();
        wait_until("all know", || hosts.iter().all(|host| limit(host, "i-1") == Some(4.0))).await;
        assert!(time.elapsed() < Duration::from_millis(500));
        let seed = hosts[0].host().settings.borrow().peers;
        let late = start(settings(&[seed]), &published).await;
        wait_until("it knows the others", || knows(&late, 4)).await;
        wait_until("it knows the limit", || limit(&late, "i-1") == Some(4.0)).await;
        hosts.push(late);
        upstream.set_extra_headers(&[]);
        let is_over = || hosts.iter().all(|host| limit(host, "i-1").is_none());
        for number in 0..40 {
            let got = caller.exchange(&get("/any/x", &format!("late-{number}"))).await;
            if got.status == 200 {
                break;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        wait_until("it is over for all", is_over).await;
    });
}

#[test]
fn if_all_upstreams_are_rate_limited_requests_are_refused_at_once_with_retry_after() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _published) = ready(&[&upstream]).await;
        upstream.set_extra_headers(&["x-upstream-limit: 1"]);
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        let (mut served, mut refused) = (0, 0);
        for number in 0..20 {
            let time = ThreadTime::start();
            let got = caller.exchange(&get("/any/x", &format!("id-{number}"))).await;
            match got.status {
                200 => served += 1,
                503 => {
                    refused += 1;
                    assert!(time.elapsed() < Duration::from_millis(450));
                    assert!(got.retry_after.is_some(), "{}", got.cause);
                }
                status => panic!("{status}"),
            }
        }
        assert!(served >= 1 && refused >= 1, "{served} served, {refused} refused");
    });
}

#[rstest]
#[case::leaving(&["x-upstream-leaving: 1"], true)]
#[case::not_leaving(&["x-upstream-leaving: 0"], false)]
#[case::unreadable(&["x-upstream-leaving: soon"], false)]
#[case::one_of_two(&["x-upstream-leaving: 0", "x-upstream-leaving: 1"], true)]
fn a_response_states_that_its_upstream_leaves(
    #[case] lines: &'static [&'static str],
    #[case] wanted: bool,
) {
    on_one_thread(async move {
        let mut result = send_one_request(lines, Behaviour::Respond).await;
        assert_eq!(result.status, 200);
        let got = result.caller.exchange(&post("/once/x", "id-2", "{}")).await;
        let refused = (503, "no-upstream", true);
        let outcome = (got.status, got.cause.as_str(), got.retry_after.is_some());
        assert_eq!(outcome == refused, wanted, "{outcome:?}");
        assert_eq!(result.upstream.requests().len(), if wanted { 1 } else { 2 });
    });
}

/// Guards against cutting the requests of an upstream that says that it is leaving. The first one's
/// response is held until the second has said so.
#[test]
fn requests_in_flight_at_a_leaving_upstream_complete() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _published) = ready(&[&upstream]).await;
        let _logs = LogsOnFailure::of([&gateway]);
        upstream.add_to_script([Behaviour::Held, Behaviour::Respond]);
        let mut slow = Caller::connect(caller_address(&gateway)).await;
        slow.send(&post("/once/x", "id-1", "{}")).await;
        wait_until("it runs", || upstream.requests().len() == 1).await;
        upstream.set_extra_headers(&["x-upstream-leaving: 1"]);
        let mut other = Caller::connect(caller_address(&gateway)).await;
        assert_eq!(other.exchange(&post("/once/x", "id-2", "{}")).await.status, 200);
        upstream.release();
        let got = slow.receive().await.unwrap();
        assert_eq!((got.status, got.is_sealed), (200, true));
    });
}
