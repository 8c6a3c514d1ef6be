//! A host must send no requests to an upstream for the time that the upstream stated in `retry-after`.
//! An upstream that refuses at once reports no load, so it would otherwise look like the best choice.
#![allow(clippy::unwrap_used)]

mod support;

use rstest::rstest;
use std::ops::RangeInclusive;
use std::time::{Duration, Instant};
use support::caller::{Caller, get};
use support::upstream::{Behaviour, StandInUpstream};
use support::{caller_address, fleet, on_one_thread, published, ready};

const BACKOFF: Duration = Duration::from_secs(3);

/// Requests in flight may still arrive within this time.
const GRACE: Duration = Duration::from_millis(500);

/// Most requests that may arrive from a host later in its backoff.
const ALLOWED: usize = 2;

const HOSTS: usize = 3;
const CALLERS_EACH: usize = 3;
const PAUSE: Duration = Duration::from_millis(5);

/// Duration of a request at the upstreams that serve.
const WORK_MS: u64 = 20;

/// Load that these report: they are slowed down, so that the upstreams that refuse look better.
const SLOWED: &str = "0,0,6,400";

#[test]
fn an_upstream_that_states_retry_after_gets_no_requests_from_that_host() {
    on_one_thread(async {
        let refusing = [StandInUpstream::start("i-1").await, StandInUpstream::start("i-2").await];
        let others = [StandInUpstream::start("i-3").await, StandInUpstream::start("i-4").await];
        let published = published(&[&refusing[0], &refusing[1], &others[0], &others[1]]);
        let hosts = fleet(HOSTS, &published).await;
        for upstream in &refusing {
            upstream.set_extra_headers(&[&format!("retry-after: {}", BACKOFF.as_secs())]);
            upstream.add_to_script(std::iter::repeat_n(Behaviour::NotRun, 10_000));
        }
        for upstream in &others {
            upstream.set_load(SLOWED);
            upstream.add_to_script(std::iter::repeat_n(Behaviour::Slow(WORK_MS), 10_000));
        }
        let end = Instant::now() + BACKOFF;
        let calling = (0..HOSTS * CALLERS_EACH).map(|number| {
            let (host, address) = (number % HOSTS, caller_address(&hosts[number % HOSTS]));
            tokio::task::spawn_local(async move {
                let mut caller = Caller::connect(address).await;
                let (mut sent, mut served) = (0, 0);
                while Instant::now() < end {
                    sent += 1;
                    let got =
                        caller.exchange(&get("/any/x", &format!("h{host}-{number}-{sent}"))).await;
                    served += usize::from(got.status == 200);
                    tokio::time::sleep(PAUSE).await;
                }
                (sent, served)
            })
        });
        let calling: Vec<_> = calling.collect();
        let (mut sent, mut served) = (0, 0);
        for callers in calling {
            let (more_sent, more_served) = callers.await.unwrap();
            (sent, served) = (sent + more_sent, served + more_served);
        }
        for (upstream, host) in
            refusing.iter().flat_map(|it| (0..HOSTS).map(move |host| (it, host)))
        {
            let name = format!("h{host}-");
            let Some(refused) = upstream.first_with_prefix(&name) else { continue };
            let got = upstream.arrived_with_prefix(&name, refused + GRACE..refused + BACKOFF);
            println!("{} from host {host}: {got} of {ALLOWED} allowed", upstream.id());
            assert!(got <= ALLOWED, "host {host}: {got} requests in a backoff of {BACKOFF:?}");
        }
        assert_eq!(served, sent, "the others have capacity");
    });
}

/// Guards against one wait for all rejections: callers of upstreams with room return too late for
/// their objective of 400 ms, those of full upstreams too soon.
#[rstest]
#[case::with_room("0,0,6,100", "0,0,6,100", "with-room", 0.005..=0.048)]
// They look idle when they are chosen. Then, 43 requests of 20 ms have to end on six slots.
#[case::full("0,0,6,100", "6,42,6,100", "full", 0.143..=2.0)]
#[case::no_report("none", "none", "", 0.06..=0.12)]
fn callers_of_rejecting_upstreams_return_by_the_reported_load(
    #[case] load_when_probed: &'static str,
    #[case] load: &'static str,
    #[case] state: &'static str,
    #[case] expected_s: RangeInclusive<f64>,
) {
    on_one_thread(async move {
        let mut upstreams = Vec::new();
        // As many as one request is sent to, if all reject it.
        for id in ["i-1", "i-2", "i-3", "i-4"] {
            let upstream = StandInUpstream::start(id).await;
            upstream.set_load(load_when_probed);
            upstream.set_work_ms(20);
            upstreams.push(upstream);
        }
        let (gateway, _) = ready(&upstreams.iter().collect::<Vec<_>>()).await;
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        // Several, so that one that is delayed by the test's machine hardly moves the mean.
        for number in 0..10 {
            let served = caller.exchange(&get("/any/x", &format!("served-{number}"))).await;
            assert_eq!(served.status, 200);
        }
        for upstream in &upstreams {
            upstream.set_work_ms(0);
            upstream.set_extra_headers(&[&format!("x-upstream-load: {load}")]);
            upstream.add_to_script([Behaviour::NotRun]);
        }
        let got = caller.exchange(&get("/any/x", "rejected")).await;
        let log = gateway.host().log.take_buffered();
        assert_eq!((got.status, got.cause.as_str()), (503, "upstreams-refused"), "{log}");
        let retry_after_s = got.retry_after.unwrap();
        assert!(expected_s.contains(&retry_after_s), "{got:?}");
        let logged = format!("\"retry_after_ms\":{:.0},\"rejection", retry_after_s * 1_000.0);
        assert_eq!(log.contains(&logged), !state.is_empty(), "drawn once: {logged} {log}");
        let metrics = gateway.host().metrics.render();
        for (text, field) in [(log, "\"rejection_state\":"), (metrics, "rejections_total{state=")] {
            let shown = text.split_once(field).map(|(_, rest)| rest.split('"').nth(1).unwrap());
            assert_eq!(shown.unwrap_or_default(), state, "{text}");
        }
    });
}
